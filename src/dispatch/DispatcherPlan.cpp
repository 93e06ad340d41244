// Chooses the jobs that are served next.
#include "dispatch/Dispatcher.h"
#include "dispatch/Text.h"
#include "dispatch/WorkRank.h"
#include "dispatch/WorkspaceLimit.h"

#include <algorithm>
#include <array>

namespace hyssoppaddle::dispatch {

namespace {

// Number of tasks that may wait for room before a round is cut short. The room
// that is left, and what becomes free beside it, is then kept for the tasks
// ranked first: smaller tasks behind them would take it piece by piece, and
// large ones would wait for as long as smaller ones come.
constexpr std::size_t kMaxWaitingForRoom = 40;
// A round that was cut short is completed once the service has not been planned
// for this time. No room becomes free then, and what is left is of no use to
// the tasks ranked first.
constexpr Duration kSettleTime = milliseconds(500);
// Comparisons after which a pass over all services ends. At less than a
// microsecond each, a pass on a tenth of a core ends within the timeout of an
// election, and heartbeats, leases and calls have their turn.
constexpr std::uint64_t kMaxPlanSteps = 50000;
// Longest time between two passes. Long-running tasks do not wait for starts
// that take long.
constexpr Duration kMaxPassInterval = milliseconds(100);

} // namespace

// Begins behind the service with which the last pass ended early, so that none
// of them waits for the others for good.
void
Dispatcher::Plan()
{
  const std::size_t underway =
    this->startWindow.IsLimited() ? this->CountStartsUnderway() : 0;
  this->isHeldBack =
    !this->startWindow.IsOpen(underway) && this->now < this->nextPassAt;
  if (this->isHeldBack) {
    return;
  }
  this->nextPassAt = this->now + kMaxPassInterval;
  this->startsLeft = this->startWindow.Room(underway);
  this->planEnd = this->planSteps + kMaxPlanSteps;
  std::set<ServiceId> services = std::exchange(this->dirtyServices, {});
  for (auto& [service, round] : this->unfinishedPlans) {
    round.isOutdated = !services.insert(service).second || round.isOutdated;
  }
  std::vector<ServicePlan> plans;
  plans.reserve(services.size());
  const auto first = services.upper_bound(this->planLast);
  for (auto service = first; service != services.end(); ++service) {
    plans.emplace_back(*service);
  }
  for (auto service = services.begin(); service != first; ++service) {
    plans.emplace_back(*service);
  }
  // A start that the leader can carry out now is worth most for a job in time,
  // whichever service it belongs to.
  for (const auto worst : { WorkRank::Outlook::InTime,
                            WorkRank::Outlook::Late,
                            WorkRank::Outlook::Hopeless }) {
    for (ServicePlan& plan : plans) {
      if (!plan.isEnded) {
        this->PlanService(plan, worst);
      }
    }
  }
}

// Looks at the jobs of a service up to an outlook. One that a pass does not
// reach is left for the next one.
void
Dispatcher::PlanService(ServicePlan& aPlan, WorkRank::Outlook aWorst)
{
  if (!aPlan.pass) {
    if (this->IsPassSpent()) {
      this->EndPlan(aPlan);
      return;
    }
    this->BeginPlan(aPlan);
  }
  PlanRound& round = aPlan.round;
  for (; aPlan.next < aPlan.waiting.size(); ++aPlan.next) {
    const RankedJob& job = aPlan.waiting[aPlan.next];
    if (job.rank.outlook > aWorst) {
      return;
    }
    if (this->startsLeft == 0 && !job.view->longRunning) {
      aPlan.isHeldBack = true;
      continue;
    }
    if (round.waitingForRoom > kMaxWaitingForRoom && !round.isSettled) {
      this->cutShort.insert(aPlan.service);
      break;
    }
    if (this->IsPassSpent()) {
      aPlan.isInterrupted = true;
      break;
    }
    if (!this->PlaceJob(*aPlan.pass, round, job, aPlan.next)) {
      aPlan.isInterrupted = true;
      this->planLast = aPlan.service;
      break;
    }
    if (this->startsLeft == 0) {
      aPlan.isHeldBack = true;
      this->planLast = aPlan.service;
    } else {
      round.waitingForRoom += this->CountWaitingForRoom(*aPlan.pass, *job.view);
    }
  }
  this->EndPlan(aPlan);
}

void
Dispatcher::BeginPlan(ServicePlan& aPlan)
{
  PlanRound& round = aPlan.round;
  const auto unfinished = this->unfinishedPlans.extract(aPlan.service);
  if (!unfinished.empty()) {
    round = std::move(unfinished.mapped());
  } else {
    round.isSettled = this->now - this->plannedAt[aPlan.service] >= kSettleTime;
  }
  this->plannedAt[aPlan.service] = this->now;
  this->cutShort.erase(aPlan.service);
  aPlan.waiting = this->RankJobs(aPlan.service, round);
  aPlan.pass.emplace(aPlan.waiting.empty()
                       ? std::vector<Candidate>()
                       : this->TakeCandidates(aPlan.service));
}

void
Dispatcher::EndPlan(ServicePlan& aPlan)
{
  aPlan.isEnded = true;
  if (!aPlan.pass) {
    if (!this->unfinishedPlans.contains(aPlan.service)) {
      this->dirtyServices.insert(aPlan.service);
    }
    return;
  }
  this->isHeldBack = this->isHeldBack || aPlan.isHeldBack;
  PlanRound& round = aPlan.round;
  round.isOutdated = round.isOutdated || aPlan.isHeldBack;
  if (aPlan.isInterrupted) {
    for (const RankedJob& job : std::span(aPlan.waiting).first(aPlan.next)) {
      round.seen.insert(job.view->id);
    }
    this->unfinishedPlans[aPlan.service] = std::move(round);
    return;
  }
  if (round.isOutdated) {
    this->dirtyServices.insert(aPlan.service);
  }
}

std::vector<RankedJob>
Dispatcher::RankJobs(const ServiceId& aService, const PlanRound& aRound)
{
  std::vector<RankedJob> jobs;
  std::map<WorkspaceId, double> shares;
  const ChainEstimate estimate = this->startWindow.IsLimited()
                                   ? ChainEstimate::Full
                                   : ChainEstimate::Optimistic;
  for (auto& [id, view] : this->views) {
    if (view.service != aService || view.waiting.empty() ||
        aRound.seen.contains(id)) {
      continue;
    }
    const auto [share, isNew] = shares.try_emplace(view.workspace, 0.0);
    if (isNew) {
      share->second = this->ShareOf(view.workspace);
    }
    jobs.push_back(
      { RankOf(view, share->second, this->wall, estimate), &view });
  }
  std::sort(jobs.begin(),
            jobs.end(),
            [](const RankedJob& aLeft, const RankedJob& aRight) {
              if (const auto order = aLeft.rank <=> aRight.rank; order != 0) {
                return order < 0;
              }
              return aLeft.view->id < aRight.view->id;
            });
  this->runMeter.RecordPass(jobs.size());
  return jobs;
}

bool
Dispatcher::NeedsTicket(const JobView& aView) const
{
  return aView.needsAdvice && this->options.hasAdvisor;
}

bool
Dispatcher::CheckLimit(const JobView& aView,
                       const work::Step& aStep,
                       std::uint32_t aCount)
{
  if (this->CountAllowed(aView.workspace, {}, aStep.size, aCount) == aCount) {
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
Dispatcher::CountWaitingForRoom(const PlanPass& aPass, const JobView& aView)
{
  if (this->NeedsTicket(aView) || !aView.hasQueue) {
    return 0;
  }
  const work::Job& job = *this->FindJob(aView.id);
  std::size_t count = 0;
  for (const WaitingStep& waiting : aView.waiting) {
    const work::Step& step = job.spec.steps[waiting.step];
    ++this->planSteps;
    if (step.longRunning || aView.IsImpossible(waiting) ||
        !this->IsWithinLimit(aView.workspace, step.size)) {
      continue;
    }
    this->planSteps += aPass.Candidates().size();
    count += aPass.FitsIntoEmpty(step) ? waiting.Count() : 0;
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
      { "waiting", Text(aView.CountWaiting()) },
      { "jobs_ahead", Text(aAhead) },
      { "outlook",
        std::string(kOutlooks[static_cast<std::size_t>(aRank.outlook)]) },
      { "setup", Text(this->state.CurrentSetup().version) } });
}

std::uint32_t
Dispatcher::CountAllowed(const WorkspaceId& aWorkspace,
                         const state::Resources& aBeside,
                         const state::Resources& aSize,
                         std::uint32_t aMost) const
{
  const work::Workspace* workspace =
    this->state.CurrentSetup().FindWorkspace(aWorkspace);
  if (workspace == nullptr) {
    return aMost;
  }
  state::Resources taken = aBeside;
  if (const auto found = this->used.find(aWorkspace);
      found != this->used.end()) {
    taken += found->second;
  }
  return CountWithinLimit(taken, aSize, workspace->limit, aMost);
}

bool
Dispatcher::IsWithinLimit(const WorkspaceId& aWorkspace,
                          const state::Resources& aSize) const
{
  return this->CountAllowed(aWorkspace, {}, aSize, 1) == 1;
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

} // namespace hyssoppaddle::dispatch
