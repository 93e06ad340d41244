// Measures the load of each service, decides which jobs are rejected, and logs
// the figures.
#include "dispatch/Dispatcher.h"
#include "dispatch/EffectiveCores.h"
#include "dispatch/Text.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// How long a measured load is used for admission. Jobs that are accepted in the
// meantime are added to it.
constexpr Duration kLoadLifetime = milliseconds(100);
// Interval between two service_load lines.
constexpr Duration kLoadLogInterval = seconds(1);

} // namespace

ServiceLoad
Dispatcher::LoadOf(const ServiceId& aService) const
{
  ServiceLoad load;
  for (const auto& [id, view] : this->views) {
    if (view.service == aService && !view.longRunning) {
      load.backlog += view.possibleWork;
    }
  }
  for (const auto& [id, session] : this->sessions) {
    if (session.record.service != aService || !IsUsable(session, this->now)) {
      continue;
    }
    ++load.upstreams;
    const state::Resources& capacity = session.record.capacity;
    load.capacity += EffectiveCores(capacity, capacity) -
                     EffectiveCores(session.longRunningUse, capacity);
  }
  return load;
}

RecentLoad&
Dispatcher::RecentLoadOf(const ServiceId& aService)
{
  const auto [found, isNew] = this->recentLoads.try_emplace(aService);
  RecentLoad& recent = found->second;
  if (isNew || this->now - recent.measuredAt >= kLoadLifetime) {
    recent = { this->now, this->LoadOf(aService), std::nullopt };
    ++this->loadMeasurements;
  }
  return recent;
}

std::optional<Duration>
Dispatcher::RetryAfter(const work::Queue& aQueue, const work::JobSpec& aSpec)
{
  RecentLoad& recent = this->RecentLoadOf(aQueue.service);
  ServiceLoad load = recent.load;
  const bool hasRoom =
    load.capacity > 0 && !dispatch::RetryAfter(load, aQueue, aSpec);
  if (hasRoom) {
    return std::nullopt; // more cores would not change the answer
  }
  if (!recent.reachable) {
    recent.reachable = this->ReachableCores(aQueue.service);
    ++this->loadMeasurements;
  }
  load.reachable = *recent.reachable;
  return dispatch::RetryAfter(load, aQueue, aSpec);
}

std::uint64_t
Dispatcher::CountQueuedJobs(const work::Queue& aQueue) const
{
  std::uint64_t count = 0;
  for (const auto& [id, view] : this->views) {
    count += view.queue == aQueue.name && !view.started ? 1 : 0;
  }
  return count;
}

// Logs once a second the figures that rejections and moves are based on.
void
Dispatcher::LogServiceLoads()
{
  if (this->now - this->loadsLoggedAt < kLoadLogInterval) {
    return;
  }
  this->loadsLoggedAt = this->now;
  std::set<ServiceId> services;
  for (const work::Queue& queue : this->state.CurrentSetup().queues) {
    services.insert(queue.service);
  }
  for (const ServiceId& service : services) {
    const ServiceLoad load = this->LoadOf(service);
    std::int64_t busy = 0;
    for (const auto& [id, session] : this->sessions) {
      busy += session.record.service == service ? session.used.milliCpus : 0;
    }
    std::size_t waiting = 0;
    std::size_t limited = 0;
    for (const auto& [id, view] : this->views) {
      if (view.service == service && !view.waiting.empty()) {
        ++waiting;
        const work::Job& job = *this->FindJob(id);
        const auto& step = job.spec.steps[view.waiting.front().step];
        limited += this->IsWithinLimit(view.workspace, step.size) ? 0 : 1;
      }
    }
    this->LogDecision(
      "service_load",
      {},
      { { "service", service.value },
        { "upstreams", Text(load.upstreams) },
        { "cores", Text(static_cast<std::int64_t>(load.capacity)) },
        { "busy_millicores", Text(busy) },
        { "backlog_core_ms", Text(static_cast<std::int64_t>(load.backlog)) },
        { "waiting_jobs", Text(waiting) },
        { "at_workspace_limit", Text(limited) } });
    this->output.decisions.back().isSummary = true;
    this->LogWaitingTask(service);
  }
  this->LogRunLoad();
}

void
Dispatcher::LogRunLoad()
{
  RunGauges gauges;
  gauges.jobs = this->views.size();
  for (const auto& [id, session] : this->sessions) {
    gauges.running += session.runs.size();
  }
  gauges.startsUnderway = this->CountStartsUnderway();
  gauges.startLimit = this->startWindow.Limit();
  this->output.decisions.push_back(this->runMeter.TakeReport(gauges));
}

// Logs why no upstream takes one of the waiting tasks, because the totals of
// service_load do not tell. Long-running tasks come first: tasks that end by
// themselves make room for the others.
void
Dispatcher::LogWaitingTask(const ServiceId& aService)
{
  const JobView* waiting = nullptr;
  for (const auto& [id, view] : this->views) {
    const bool waits = view.service == aService && !view.waiting.empty();
    if (waits &&
        (waiting == nullptr || (view.longRunning && !waiting->longRunning))) {
      waiting = &view;
    }
  }
  if (waiting == nullptr) {
    return;
  }
  const PlacementQuery query =
    this->QueryOf(*waiting, waiting->waiting.front().First(waiting->id));
  const std::vector<Candidate> candidates =
    FindCandidates(this->sessions, aService, this->now);
  state::Resources most;
  for (const Candidate& candidate : candidates) {
    const state::Resources free = candidate.session->Free();
    most.milliCpus = std::max(most.milliCpus, free.milliCpus);
    most.memoryMb = std::max(most.memoryMb, free.memoryMb);
  }
  const RefusalCounts refusals = CountRefusals(candidates, query);
  const auto count = [&refusals](Refusal aRefusal) {
    return Text(refusals[static_cast<std::size_t>(aRefusal)]);
  };
  const bool isAllowed =
    this->IsWithinLimit(waiting->workspace, query.step->size);
  this->LogDecision(
    "task_waits",
    waiting->id.value,
    { { "service", aService.value },
      { "planned_ms_ago", Text(this->now - this->plannedAt[aService]) },
      { "at_workspace_limit", isAllowed ? "no" : "yes" },
      { "impossible",
        waiting->IsImpossible(waiting->waiting.front()) ? "yes" : "no" },
      { "task", Text(query.task) },
      { "long_running", query.step->longRunning ? "yes" : "no" },
      { "fills", query.step->fills ? "yes" : "no" },
      { "waiting", Text(waiting->CountWaiting()) },
      { "millicores", Text(query.step->size.milliCpus) },
      { "memory_mb", Text(query.step->size.memoryMb) },
      { "most_free_millicores", Text(most.milliCpus) },
      { "most_free_memory_mb", Text(most.memoryMb) },
      { "upstreams", Text(candidates.size()) },
      { "suitable", count(Refusal::None) },
      { "no_cores", count(Refusal::Cores) },
      { "no_memory", count(Refusal::Memory) },
      { "no_accelerator", count(Refusal::Accelerators) },
      { "no_label", count(Refusal::Label) },
      { "step_limit", count(Refusal::StepLimit) },
      { "no_ticket", count(Refusal::Ticket) },
      { "slow", count(Refusal::Slow) } });
}

} // namespace hyssoppaddle::dispatch
