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
// A workspace that has sent no job for this time is owed its whole burst, so
// older jobs that have ended no longer matter.
constexpr Duration kReplayTime = seconds(15);
// Interval between two service_load lines.
constexpr Duration kLoadLogInterval = seconds(1);

} // namespace

ServiceLoad
Dispatcher::LoadOf(const ServiceId& aService) const
{
  ServiceLoad load;
  load.hasWaitingTasks = false;
  for (const auto& [id, view] : this->views) {
    if (view.service == aService && !view.longRunning) {
      load.backlog += view.remainingWork;
    }
    load.hasWaitingTasks |= view.service == aService && !view.pending.empty();
  }
  for (const auto& [id, session] : this->sessions) {
    if (session.record.service != aService || !IsUsable(session, this->now)) {
      continue;
    }
    ++load.upstreams;
    const state::Resources& capacity = session.record.capacity;
    load.capacity += EffectiveCores(capacity, capacity) -
                     EffectiveCores(LongRunningUse(session), capacity);
  }
  return load;
}

Dispatcher::RecentLoad&
Dispatcher::RecentLoadOf(const ServiceId& aService)
{
  const auto [found, isNew] = this->recentLoads.try_emplace(aService);
  RecentLoad& recent = found->second;
  if (isNew || this->now - recent.measuredAt >= kLoadLifetime) {
    recent = { this->now,
               this->LoadOf(aService),
               this->AcceptedWorkOf(aService),
               std::nullopt };
    ++this->loadMeasurements;
  }
  return recent;
}

std::vector<AcceptedWork>
Dispatcher::AcceptedWorkOf(const ServiceId& aService) const
{
  std::vector<AcceptedWork> accepted;
  std::map<WorkspaceId, double> shares;
  for (const auto& [id, view] : this->views) {
    if (view.service != aService || view.longRunning) {
      continue;
    }
    const auto [share, isNew] = shares.try_emplace(view.workspace, 0.0);
    if (isNew) {
      share->second = this->ShareOf(view.workspace);
    }
    accepted.push_back({ RankOf(view, share->second, this->wall),
                         view.remainingWork - view.unstartedWork,
                         view.unstartedWork });
  }
  return accepted;
}

void
Dispatcher::RecordAccepted(const JobId& aId)
{
  const work::Job* job = this->FindJob(aId);
  if (job == nullptr) {
    return;
  }
  const work::Setup& setup = this->state.CurrentSetup();
  const work::Queue* queue = this->queues.Find(setup, job->queue);
  if (queue == nullptr) {
    return;
  }
  const JobView view =
    MakeOfferView(aId, job->workspace, *queue, job->spec, job->acceptedAt);
  if (!view.longRunning) {
    this->meanWork.Add(view.queue, view.totalWork);
  }
  this->workspaceShares.OnAccepted(
    aId, job->workspace, OwedRate(setup, job->workspace), job->acceptedAt);
}

// The turns that were assigned to rejected jobs are not recorded: their callers
// come back at the announced time and are treated like any other.
void
Dispatcher::RebuildShares()
{
  const work::WorkTables& tables = this->state.Tables();
  std::vector<std::pair<WallTime, JobId>> accepted;
  for (const auto& [id, job] : tables.jobs) {
    if (!job.IsFinal() || tables.now - job.acceptedAt < kReplayTime) {
      accepted.emplace_back(job.acceptedAt, id);
    }
  }
  std::sort(accepted.begin(), accepted.end());
  for (const auto& [at, id] : accepted) {
    this->RecordAccepted(id);
    if (this->FindJob(id)->IsFinal()) {
      this->workspaceShares.Forget(id);
    }
  }
}

std::optional<Rejection>
Dispatcher::CheckAdmission(const JobId& aJob,
                           const WorkspaceId& aWorkspace,
                           const work::Queue& aQueue,
                           const work::JobSpec& aSpec)
{
  RecentLoad& recent = this->RecentLoadOf(aQueue.service);
  const double rate = OwedRate(this->state.CurrentSetup(), aWorkspace);
  JobView view = MakeOfferView(aJob, aWorkspace, aQueue, aSpec, this->wall);
  view.meanWork = this->meanWork.Of(view.queue);
  view.isLent = !this->workspaceShares.IsOwed(aWorkspace, rate, this->wall);
  ServiceLoad load = recent.load;
  load.backlog = WorkAhead(recent.accepted,
                           RankOf(view, this->ShareOf(aWorkspace), this->wall));
  const bool hasRoom =
    load.capacity > 0 && !RetryAfter(load, aQueue, aSpec, view.isLent);
  if (hasRoom) {
    return std::nullopt; // more cores would not change the answer
  }
  if (!recent.reachable) {
    recent.reachable = this->ReachableCores(aQueue.service);
    ++this->loadMeasurements;
  }
  load.reachable = *recent.reachable;
  const auto retryAfter = RetryAfter(load, aQueue, aSpec, view.isLent);
  if (!retryAfter) {
    return std::nullopt;
  }
  if (!view.isLent) {
    return Rejection{ *retryAfter, false };
  }
  ++this->rejectedBeyondShare[aWorkspace];
  const Duration turn =
    this->workspaceShares.AssignTurn(aJob, aWorkspace, rate, this->wall);
  return Rejection{ turn, true };
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
      if (view.service == service && !view.pending.empty()) {
        ++waiting;
        const work::Job& job = *this->FindJob(id);
        const auto& step = job.spec.steps[view.pending.front().step];
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
    this->LogWaitingTask(service);
  }
  this->LogWorkspaceShares();
}

// Logs the workspaces that go beyond what they are owed.
void
Dispatcher::LogWorkspaceShares()
{
  struct Lent
  {
    std::size_t jobs = 0;
    std::size_t waiting = 0; // jobs with tasks that wait
  };
  std::map<WorkspaceId, Lent> workspaces;
  for (const auto& [id, view] : this->views) {
    if (this->workspaceShares.IsLent(id)) {
      Lent& lent = workspaces[view.workspace];
      ++lent.jobs;
      lent.waiting += view.pending.empty() ? 0 : 1;
    }
  }
  for (const auto& [workspace, count] : this->rejectedBeyondShare) {
    workspaces.try_emplace(workspace);
  }
  for (const auto& [workspace, lent] : workspaces) {
    const double rate = OwedRate(this->state.CurrentSetup(), workspace);
    this->LogDecision(
      "workspace_share",
      {},
      { { "workspace", workspace.value },
        { "owed_per_s", Text(static_cast<std::int64_t>(rate)) },
        { "lent_jobs", Text(lent.jobs) },
        { "lent_jobs_waiting", Text(lent.waiting) },
        { "rejected", Text(this->rejectedBeyondShare[workspace]) } });
  }
  this->rejectedBeyondShare.clear();
}

// Logs why no upstream takes one of the waiting tasks, because the totals of
// service_load do not tell. Long-running tasks come first: tasks that end by
// themselves make room for the others.
void
Dispatcher::LogWaitingTask(const ServiceId& aService)
{
  const JobView* waiting = nullptr;
  for (const auto& [id, view] : this->views) {
    const bool waits = view.service == aService && !view.pending.empty();
    if (waits &&
        (waiting == nullptr || (view.longRunning && !waiting->longRunning))) {
      waiting = &view;
    }
  }
  if (waiting == nullptr) {
    return;
  }
  const PlacementQuery query =
    this->QueryOf(*waiting, waiting->pending.front());
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
      { "task", Text(query.task) },
      { "long_running", query.step->longRunning ? "yes" : "no" },
      { "fills", query.step->fills ? "yes" : "no" },
      { "waiting", Text(waiting->pending.size()) },
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
      { "no_ticket", count(Refusal::Ticket) } });
}

} // namespace hyssoppaddle::dispatch
