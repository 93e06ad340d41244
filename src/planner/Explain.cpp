// Sentences for `explain`: the current state, what it waits for, and what
// allows it to continue.
#include "planner/PlannerImpl.h"

#include <string>

namespace hyssoppaddle::planner {

std::vector<std::string>
Planner::ExplainJob(const JobId& aJob) const
{
  const auto found = this->impl->state.Jobs().find(aJob);
  if (found == this->impl->state.Jobs().end()) {
    return { "no job has this ID" };
  }
  const state::JobRecord& record = found->second;
  Effects unused;
  const Context context{ this->impl->state,
                         this->impl->options,
                         this->impl->now,
                         this->impl->wallNow,
                         unused,
                         0 };
  if (record.state == state::JobState::Waiting) {
    return this->impl->placement.Explain(context, aJob);
  }
  if (!record.task) {
    return { "it has ended: " + record.reason };
  }
  const LiveTask* task = this->impl->jobs.Find(aJob);
  if (task == nullptr || !task->started) {
    return { "it is placed on " + record.task->instance.value +
               " and waits for the report that it started",
             "it is placed again or ends as outcome unknown when its lease "
             "runs out" };
  }
  return { "it runs on " + record.task->instance.value };
}

std::vector<std::string>
Planner::ExplainInstance(const InstanceId& aInstance) const
{
  const auto found = this->impl->state.Instances().find(aInstance);
  if (found == this->impl->state.Instances().end()) {
    return { "no instance has this name" };
  }
  Effects unused;
  const Context context{ this->impl->state,
                         this->impl->options,
                         this->impl->now,
                         this->impl->wallNow,
                         unused,
                         0 };
  std::vector<std::string> lines =
    this->impl->lifecycle.Explain(context, aInstance);
  const std::string repair = this->impl->repair.Explain(aInstance);
  if (!repair.empty()) {
    lines.push_back(repair);
  }
  const WorkerTrust trust =
    this->impl->jobs.Failures().TrustOf(aInstance, this->impl->now);
  if (trust != WorkerTrust::Trusted) {
    lines.emplace_back("it gets no tasks because at least 3 tasks of 2 jobs "
                       "failed only there");
    lines.emplace_back("it goes on when a probe task succeeds");
  }
  return lines;
}

std::vector<std::string>
Planner::ExplainTeam(const TeamId& aTeam) const
{
  const state::TeamSpec* team = this->impl->state.FindTeam(aTeam);
  if (team == nullptr) {
    return { "no team has this name" };
  }
  const std::uint32_t committed = this->impl->state.CommittedSlots(aTeam);
  const std::uint32_t cap = this->impl->permits.Cap(this->impl->state, aTeam);
  const wire::TeamDemand demand = this->impl->permits.Demand(aTeam);
  const std::uint64_t queued = this->impl->jobs.Queue().TeamSlots(aTeam);
  std::vector<std::string> lines{ "it has " + std::to_string(committed) +
                                    " of at most " +
                                    std::to_string(team->limit) + " slots",
                                  std::to_string(demand.waiting) +
                                    " requests and " + std::to_string(queued) +
                                    " slots of jobs wait" };
  if (demand.waiting + queued == 0) {
    return lines;
  }
  if (committed >= team->limit) {
    lines.emplace_back("it goes on when its work ends or its limit is raised");
  } else if (cap < team->limit) {
    lines.push_back("the pools are full, and its share allows " +
                    std::to_string(cap) + " permits");
    lines.emplace_back("it goes on when work of any team there ends");
  } else {
    lines.emplace_back("it goes on when a slot of its pools becomes free");
  }
  return lines;
}

std::vector<std::string>
Planner::ExplainWave() const
{
  Effects unused;
  const Context context{ this->impl->state,
                         this->impl->options,
                         this->impl->now,
                         this->impl->wallNow,
                         unused,
                         0 };
  return this->impl->maintenance.Explain(context);
}

} // namespace hyssoppaddle::planner
