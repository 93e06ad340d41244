// Chooses the next tasks and their upstreams, and decides which jobs are
// rejected.
#include "dispatch/Dispatcher.h"
#include "dispatch/EffectiveCores.h"
#include "dispatch/Text.h"
#include "dispatch/WorkRank.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::dispatch {

namespace {

// How long a measured load is used for admission. Jobs that are accepted in the
// meantime are added to it.
constexpr Duration kLoadLifetime = milliseconds(100);
// Interval between two service_load lines.
constexpr Duration kLoadLogInterval = seconds(1);

// What keeps a task waiting is the same for all tasks of its step.
bool
IsSameStep(const work::TaskRef& aLeft, const work::TaskRef& aRight)
{
  return aLeft.occurrence == aRight.occurrence && aLeft.step == aRight.step;
}

bool
Exceeds(std::int64_t aUsed, std::int64_t aMore, std::int64_t aLimit)
{
  return aLimit > 0 && aMore > 0 && aUsed + aMore > aLimit;
}

} // namespace

void
Dispatcher::Plan()
{
  const std::set<ServiceId> services = std::exchange(this->dirtyServices, {});
  for (const ServiceId& service : services) {
    this->PlanService(service);
  }
}

void
Dispatcher::PlanService(const ServiceId& aService)
{
  this->plannedAt[aService] = this->now;
  std::vector<std::pair<WorkRank, JobView*>> waiting;
  std::map<WorkspaceId, double> shares;
  for (auto& [id, view] : this->views) {
    if (view.service == aService && !view.pending.empty()) {
      const auto [share, isNew] = shares.try_emplace(view.workspace, 0.0);
      if (isNew) {
        share->second = this->ShareOf(view.workspace);
      }
      waiting.emplace_back(RankOf(view, share->second, this->wall), &view);
    }
  }
  if (waiting.empty()) {
    return;
  }
  std::sort(
    waiting.begin(), waiting.end(), [](const auto& aLeft, const auto& aRight) {
      if (const auto order = aLeft.first <=> aRight.first; order != 0) {
        return order < 0;
      }
      return aLeft.second->id < aRight.second->id;
    });
  PlanPass pass(this->TakeCandidates(aService));
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    auto& [rank, view] = waiting[i];
    const std::vector<work::TaskRef> tasks = this->TasksToPlace(pass, *view);
    const std::size_t before = view->pending.size();
    this->PlaceTasks(pass, *view, tasks);
    const std::size_t placed = before - view->pending.size();
    if (placed > 0) {
      this->LogPlacement(*view, tasks.front(), placed, rank, i);
    }
  }
}

std::vector<work::TaskRef>
Dispatcher::TasksToPlace(const PlanPass& aPass, const JobView& aView)
{
  const work::Job& job = *this->FindJob(aView.id);
  const bool needsTicket = this->NeedsTicket(aView);
  std::vector<work::TaskRef> tasks;
  const work::TaskRef* last = nullptr;
  bool mayFit = false;
  for (const work::TaskRef& task : aView.pending) {
    if (last == nullptr || !IsSameStep(*last, task)) {
      const work::Step& step = job.spec.steps[task.step];
      // A task that needs tickets requests them before there is room for it.
      mayFit = (needsTicket || !(step.gang ? aPass.IsGangUnplaceable(step)
                                           : aPass.IsUnplaceable(step))) &&
               this->CheckLimit(aView, step.size);
    }
    if (mayFit) {
      tasks.push_back(task);
    }
    last = &task;
  }
  return tasks;
}

bool
Dispatcher::NeedsTicket(const JobView& aView) const
{
  return aView.needsAdvice && this->options.hasAdvisor;
}

bool
Dispatcher::CheckLimit(const JobView& aView, const state::Resources& aSize)
{
  if (this->IsWithinLimit(aView.workspace, aSize)) {
    return true;
  }
  this->waitingForLimit[aView.workspace].insert(aView.service);
  return false;
}

std::vector<Candidate>
Dispatcher::TakeCandidates(const ServiceId& aService)
{
  std::vector<Candidate> candidates;
  for (auto& [id, session] : this->sessions) {
    if (session.record.service != aService) {
      continue;
    }
    session.leftOutOfPlan = !IsUsable(session, this->now);
    if (!session.leftOutOfPlan) {
      candidates.push_back({ &id, &session });
    }
  }
  return candidates;
}

void
Dispatcher::PlanAgainIfUsable(UpstreamSession& aSession)
{
  if (aSession.leftOutOfPlan && IsUsable(aSession, this->now)) {
    aSession.leftOutOfPlan = false;
    this->dirtyServices.insert(aSession.record.service);
  }
}

void
Dispatcher::PlaceTasks(PlanPass& aPass,
                       JobView& aView,
                       std::span<const work::TaskRef> aTasks)
{
  const work::Job& job = *this->FindJob(aView.id);
  const work::TaskRef* missed = nullptr;
  for (const work::TaskRef& task : aTasks) {
    if (missed != nullptr && IsSameStep(*missed, task)) {
      continue;
    }
    const bool placed = job.spec.steps[task.step].gang
                          ? this->PlaceGang(aPass, aView, task)
                          : this->PlaceTask(aPass, aView, task);
    if (!placed) {
      missed = &task;
    }
  }
}

// Logs one line per job and plan, because a line per task would be hundreds of
// lines a second.
void
Dispatcher::LogPlacement(const JobView& aView,
                         const work::TaskRef& aFirst,
                         std::size_t aPlaced,
                         const WorkRank& aRank,
                         std::size_t aAhead)
{
  constexpr std::array<std::string_view, 3> kOutlooks{ "in time",
                                                       "late",
                                                       "hopeless" };
  this->LogDecision(
    "tasks_placed",
    aView.id.value,
    { { "first", Text(aFirst) },
      { "placed", Text(aPlaced) },
      { "waiting", Text(aView.pending.size()) },
      { "jobs_ahead", Text(aAhead) },
      { "outlook",
        std::string(kOutlooks[static_cast<std::size_t>(aRank.outlook)]) },
      { "setup", Text(this->state.CurrentSetup().version) } });
}

ServiceLoad
Dispatcher::LoadOf(const ServiceId& aService) const
{
  ServiceLoad load;
  for (const auto& [id, view] : this->views) {
    if (view.service == aService && !view.longRunning) {
      load.backlog += view.remainingWork;
    }
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

bool
Dispatcher::IsWithinLimit(const WorkspaceId& aWorkspace,
                          const state::Resources& aSize) const
{
  const work::Workspace* workspace =
    this->state.CurrentSetup().FindWorkspace(aWorkspace);
  if (workspace == nullptr) {
    return true;
  }
  const auto found = this->used.find(aWorkspace);
  const state::Resources taken =
    found == this->used.end() ? state::Resources{} : found->second;
  const state::Resources& limit = workspace->limit;
  return !Exceeds(taken.milliCpus, aSize.milliCpus, limit.milliCpus) &&
         !Exceeds(taken.memoryMb, aSize.memoryMb, limit.memoryMb) &&
         !Exceeds(taken.accelerators, aSize.accelerators, limit.accelerators);
}

double
Dispatcher::ShareOf(const WorkspaceId& aWorkspace) const
{
  const work::Setup& setup = this->state.CurrentSetup();
  const work::Workspace* workspace = setup.FindWorkspace(aWorkspace);
  if (workspace == nullptr || workspace->weight <= 0) {
    return 1.0;
  }
  double weights = 0;
  for (const work::Workspace& other : setup.workspaces) {
    weights += other.weight;
  }
  std::int64_t total = 0;
  std::int64_t own = 0;
  for (const auto& [name, taken] : this->used) {
    total += taken.milliCpus;
    own += name == aWorkspace ? taken.milliCpus : 0;
  }
  if (total == 0) {
    return 1.0;
  }
  return static_cast<double>(own) / static_cast<double>(total) /
         (workspace->weight / weights);
}

// The rack where tasks of the step already run, otherwise the one with the most
// free capacity.
std::string
Dispatcher::RackOf(const PlanPass& aPass,
                   const work::Job& aJob,
                   const work::TaskRef& aTask) const
{
  if (!aJob.spec.steps[aTask.step].rackLocal) {
    return {};
  }
  for (const work::Task& task : aJob.tasks[aTask.occurrence][aTask.step]) {
    for (const work::Run& run : task.runs) {
      const auto session = this->sessions.find(run.upstream);
      if (session != this->sessions.end()) {
        return session->second.record.Rack();
      }
    }
  }
  std::map<std::string, std::int64_t> room;
  for (const Candidate& candidate : aPass.Candidates()) {
    room[candidate.session->record.Rack()] +=
      candidate.session->Free().milliCpus;
  }
  const auto most = std::max_element(
    room.begin(), room.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  return most == room.end() ? std::string() : most->first;
}

bool
Dispatcher::PlaceTask(PlanPass& aPass,
                      JobView& aView,
                      const work::TaskRef& aTask)
{
  const work::Job& job = *this->FindJob(aTask.job);
  const work::Task* task = job.Find(aTask);
  if (!this->ProposeStart(aPass, aView, aTask, task->lastRun + 1)) {
    return false;
  }
  std::erase(aView.pending, aTask);
  return true;
}

// Starts all members at once or none, because a member that waits for the
// others occupies capacity without doing work.
bool
Dispatcher::PlaceGang(PlanPass& aPass,
                      JobView& aView,
                      const work::TaskRef& aTask)
{
  const work::Job& job = *this->FindJob(aTask.job);
  const auto& members = job.tasks[aTask.occurrence][aTask.step];
  std::vector<work::TaskRef> refs;
  std::uint32_t number = 0;
  for (std::uint32_t i = 0; i < members.size(); ++i) {
    work::TaskRef ref = aTask;
    ref.index = i;
    const auto& pending = aView.pending;
    if (std::find(pending.begin(), pending.end(), ref) == pending.end()) {
      return false; // an earlier run of a member is still recorded
    }
    number = std::max(number, members[i].lastRun + 1);
    refs.push_back(std::move(ref));
  }
  const work::Step& step = job.spec.steps[aTask.step];
  const bool needsTicket = this->NeedsTicket(aView);
  if (!needsTicket && aPass.IsGangUnplaceable(step)) {
    return false;
  }
  state::Resources total;
  for (std::size_t i = 0; i < refs.size(); ++i) {
    total += step.size;
  }
  if (!this->CheckLimit(aView, total)) {
    return false;
  }
  const PlanPass::Misses misses = aPass.GetMisses();
  const std::size_t before = this->output.commands.size();
  for (const work::TaskRef& ref : refs) {
    if (this->ProposeStart(aPass, aView, ref, number)) {
      continue;
    }
    for (std::size_t i = before; i < this->output.commands.size(); ++i) {
      const auto& start = std::get<work::StartRun>(this->output.commands[i]);
      this->WithdrawRun(start.run.upstream, { start.task, start.run.number });
      this->proposedStarts.erase(start.task);
    }
    this->output.commands.resize(before);
    aPass.RestoreMisses(misses);
    if (aView.hasQueue && !needsTicket) {
      aPass.RecordGangMiss(step);
    }
    return false;
  }
  for (const work::TaskRef& ref : refs) {
    std::erase(aView.pending, ref);
  }
  return true;
}

PlacementQuery
Dispatcher::QueryOf(const JobView& aView, const work::TaskRef& aTask) const
{
  PlacementQuery query;
  query.step = &this->FindJob(aTask.job)->spec.steps[aTask.step];
  query.task = aTask;
  if (const auto failed = this->failedOn.find(aTask);
      failed != this->failedOn.end()) {
    query.avoid = failed->second;
  }
  if (this->NeedsTicket(aView)) {
    query.hasTicket = [this, aTask](const InstanceId& aUpstream) {
      return !this->tickets.Find(StepOf(aTask), aUpstream, this->now).empty();
    };
  }
  return query;
}

bool
Dispatcher::ProposeStart(PlanPass& aPass,
                         const JobView& aView,
                         const work::TaskRef& aTask,
                         std::uint32_t aNumber)
{
  const work::Job& job = *this->FindJob(aTask.job);
  const work::Step& step = job.spec.steps[aTask.step];
  // A task that needs tickets requests them before there is room for it.
  if ((!this->NeedsTicket(aView) && aPass.IsUnplaceable(step)) ||
      !this->CheckLimit(aView, step.size)) {
    return false;
  }
  if (!aView.hasQueue) {
    return false; // the current setup has no such queue
  }
  PlacementQuery query = this->QueryOf(aView, aTask);
  query.rack = this->RackOf(aPass, job, aTask);
  const Candidate* chosen = ChooseUpstream(aPass.Candidates(), query);
  if (chosen == nullptr) {
    if (query.hasTicket) {
      this->RequestTickets(aView, aTask);
    } else {
      aPass.RecordMiss(step);
    }
    return false;
  }
  work::Run run;
  run.number = aNumber;
  run.upstream = *chosen->id;
  run.boot = chosen->session->record.boot;
  run.startedAt = this->wall;
  LiveRun live;
  live.run = run;
  live.workspace = aView.workspace;
  live.size = step.size;
  live.phaseSince = this->now;
  live.longRunning = step.longRunning;
  live.fills = step.fills;
  this->AddRun(*chosen->id, { aTask, aNumber }, live);
  this->proposedStarts.insert(aTask);
  this->output.commands.emplace_back(work::StartRun{ aTask, run });
  return true;
}

} // namespace hyssoppaddle::dispatch
