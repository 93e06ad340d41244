// Chooses the next tasks and their upstreams.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"
#include "dispatch/WorkRank.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::dispatch {

namespace {

// Number of tasks that may wait for room before a pass is cut short. The room
// that is left, and what becomes free beside it, is then kept for the tasks
// ranked first: smaller tasks behind them would take it piece by piece, and
// large ones would wait for as long as smaller ones come.
constexpr std::size_t kMaxWaitingForRoom = 40;
// A pass that was cut short is completed once the service has not been planned
// for this time. No room becomes free then, and what is left is of no use to
// the tasks ranked first.
constexpr Duration kSettleTime = milliseconds(500);

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
  Time& last = this->plannedAt[aService];
  const bool isSettled = this->now - last >= kSettleTime;
  last = this->now;
  this->cutShort.erase(aService);
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
  std::size_t waitingForRoom = 0;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    if (waitingForRoom > kMaxWaitingForRoom && !isSettled) {
      this->cutShort.insert(aService);
      return;
    }
    auto& [rank, view] = waiting[i];
    const std::vector<work::TaskRef> tasks = this->TasksToPlace(pass, *view);
    const std::size_t before = view->pending.size();
    this->PlaceTasks(pass, *view, tasks);
    const std::size_t placed = before - view->pending.size();
    if (placed > 0) {
      this->LogPlacement(*view, tasks.front(), placed, rank, i);
    }
    waitingForRoom += this->CountWaitingForRoom(pass, *view);
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
  this->planSteps += aView.pending.size();
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

std::size_t
Dispatcher::CountWaitingForRoom(const PlanPass& aPass,
                                const JobView& aView) const
{
  if (this->NeedsTicket(aView) || !aView.hasQueue) {
    return 0;
  }
  const work::Job& job = *this->FindJob(aView.id);
  std::size_t count = 0;
  const work::TaskRef* last = nullptr;
  bool waits = false;
  for (const work::TaskRef& task : aView.pending) {
    if (last == nullptr || !IsSameStep(*last, task)) {
      const work::Step& step = job.spec.steps[task.step];
      waits = !step.longRunning && aPass.FitsIntoEmpty(step) &&
              this->IsWithinLimit(aView.workspace, step.size);
    }
    count += waits ? 1 : 0;
    last = &task;
  }
  return count;
}

void
Dispatcher::CompleteSettledPlans()
{
  for (const ServiceId& service : this->cutShort) {
    if (this->now - this->plannedAt[service] >= kSettleTime) {
      this->dirtyServices.insert(service);
    }
  }
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
  this->planSteps += aView.pending.size();
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
    const auto found = std::find(pending.begin(), pending.end(), ref);
    this->planSteps += static_cast<std::uint64_t>(found - pending.begin()) + 1;
    if (found == pending.end()) {
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
    this->planSteps += aView.pending.size();
    std::erase(aView.pending, ref);
  }
  return true;
}

PlacementQuery
Dispatcher::QueryOf(const JobView& aView, const work::TaskRef& aTask) const
{
  const work::Job& job = *this->FindJob(aTask.job);
  PlacementQuery query;
  query.step = &job.spec.steps[aTask.step];
  query.task = aTask;
  query.runs = job.Find(aTask)->runs;
  if (!this->interference.IsEmpty()) {
    query.interference = &this->interference;
    query.kind = KindOf(job.queue, *query.step, aTask.step);
  }
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
  this->planSteps += aPass.Candidates().size();
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
  LiveRun live = DescribeRun(job, aTask, run);
  live.phaseSince = this->now;
  live.isSecond = !query.runs.empty();
  this->AddRun(*chosen->id, { aTask, aNumber }, std::move(live));
  this->proposedStarts.insert(aTask);
  this->output.commands.emplace_back(work::StartRun{ aTask, run });
  return true;
}

} // namespace hyssoppaddle::dispatch
