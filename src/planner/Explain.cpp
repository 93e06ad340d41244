// Plain sentences for `explain`: why, waiting for what, and what would let it
// go on.
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
                         this->impl->wall,
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
  (void)aInstance;
  return {};
}

std::vector<std::string>
Planner::ExplainTeam(const TeamId& aTeam) const
{
  (void)aTeam;
  return {};
}

std::vector<std::string>
Planner::ExplainWave() const
{
  return {};
}

} // namespace hyssoppaddle::planner
