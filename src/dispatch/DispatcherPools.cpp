// Measures the load of each pool.
#include "dispatch/Dispatcher.h"
#include "dispatch/EffectiveCores.h"
#include "dispatch/RoomSearch.h"
#include "dispatch/WorkRank.h"

#include <algorithm>

namespace hyssoppaddle::dispatch {

namespace {

// Lower bound of a critical path, because shorter estimates are unreliable.
constexpr Duration kMinChain = milliseconds(500);
// Late jobs are worth little at any time, so their pool need not grow to end
// them sooner than this.
constexpr Duration kLateClearance = seconds(3);
// From the end of a move to the first start: the announcement, its commit and
// the first renewal of the lease.
constexpr Duration kArrivalDelay = milliseconds(300);
// How long measured loads are used for admission. They are measured for the
// balance of the pools more often than this.
constexpr Duration kPoolsLifetime = milliseconds(200);

// True when the upstream takes tasks now or soon.
bool
IsAvailable(const UpstreamSession& aSession)
{
  return !aSession.record.draining && !aSession.evacuating &&
         !aSession.dataCentreEvacuating && !aSession.departedAt &&
         aSession.unanswered == 0;
}

} // namespace

std::vector<PoolLoad>
Dispatcher::PoolLoads() const
{
  std::vector<PoolLoad> pools;
  for (const work::Service& service : this->state.CurrentSetup().services) {
    PoolLoad& pool = pools.emplace_back();
    pool.service = service.name;
    pool.standby = service.standby;
    pool.waitingCores = this->WaitingCores(service.name);
    pool.plannedCores = this->PlannedCores(service.name);
    pool.expectedCores = this->forecast.ExpectedCores(
      service.name, this->options.moveTime + kArrivalDelay, this->now);
    pool.peakCores = this->turns.ExpectedCores(
      service.name, this->options.moveTime + kArrivalDelay, this->now);
    pool.demandObserved = this->forecast.HasArrivals(service.name);
  }
  const auto find = [&pools](const ServiceId& aService) {
    return std::find_if(pools.begin(), pools.end(), [&](const PoolLoad& aPool) {
      return aPool.service == aService;
    });
  };
  std::set<std::string_view> withUpstream;
  for (const auto& [id, session] : this->sessions) {
    withUpstream.insert(session.record.instance);
    const auto pool = find(session.record.service);
    if (pool != pools.end()) {
      this->AddToPool(session, *pool);
    }
  }
  for (const auto& [instance, arrival] : this->owner.arrivals) {
    const auto pool = find(arrival.pool);
    if (pool != pools.end() && !this->IsInEvacuation(instance)) {
      ++pool->arriving;
    }
  }
  for (const auto& [instance, row] : this->owner.instances) {
    const auto pool = find(row.pool);
    if (pool == pools.end() || withUpstream.contains(instance) ||
        this->IsInEvacuation(instance)) {
      continue;
    }
    // A move that an earlier leader ordered.
    const bool isArriving = !pool->standby &&
                            row.phase == InstancePhase::Moving &&
                            !this->owner.arrivals.contains(instance);
    pool->arriving += isArriving ? 1 : 0;
    if (pool->standby && this->IsUp(row) && this->IsFree(instance)) {
      pool->idle.push_back(instance);
    }
  }
  for (PoolLoad& pool : pools) {
    this->AddMissingUpstreams(pool);
  }
  return pools;
}

void
Dispatcher::MeasurePools()
{
  this->recentPools = this->PoolLoads();
  this->poolsMeasuredAt = this->now;
}

// Effective cores of the tasks that wait only for capacity.
double
Dispatcher::WaitingCores(const ServiceId& aService) const
{
  const state::Resources capacity = this->EmptyCapacity(aService);
  double cores = 0;
  for (const auto& [id, view] : this->views) {
    if (view.service != aService || view.waiting.empty()) {
      continue;
    }
    const work::Job& job = *this->FindJob(id);
    const double urgency = UrgencyOf(view, this->wall);
    for (const WaitingStep& waiting : view.waiting) {
      const work::Step& step = job.spec.steps[waiting.step];
      const bool waits = !step.fills && !view.IsImpossible(waiting) &&
                         this->IsWithinLimit(view.workspace, step.size);
      cores += waits ? urgency * EffectiveCores(step.size, capacity) *
                         static_cast<double>(waiting.Count())
                     : 0;
    }
  }
  return cores;
}

// Fraction of the cores of a job that its pool should have for it: less than 1
// for jobs that are late whatever is done.
double
Dispatcher::UrgencyOf(const JobView& aView, WallTime aNow)
{
  if (RankOf(aView, 1.0, aNow).outlook == WorkRank::Outlook::InTime) {
    return 1.0;
  }
  const Duration chain = ChainOf(aView);
  return static_cast<double>(chain.count()) /
         static_cast<double>(std::max(chain, kLateClearance).count());
}

Duration
Dispatcher::ChainOf(const JobView& aView)
{
  return std::max(aView.remainingChain, kMinChain);
}

// Average number of cores that the job keeps busy until it ends.
double
Dispatcher::CoresOf(const JobView& aView)
{
  if (aView.longRunning) {
    return 0;
  }
  return aView.possibleWork * 1000.0 /
         static_cast<double>(ChainOf(aView).count());
}

double
Dispatcher::PlannedCores(const ServiceId& aService) const
{
  double cores = 0;
  for (const auto& [id, view] : this->views) {
    cores += view.service == aService
               ? CoresOf(view) * UrgencyOf(view, this->wall)
               : 0;
  }
  return cores;
}

// Cores of the instances that are moving to this service, and of idle instances
// that could be moved to it.
double
Dispatcher::ReachableCores(const ServiceId& aService)
{
  if (!this->owner.hasList) {
    return 0;
  }
  double each = 0;
  std::size_t count = 0;
  if (this->now - this->poolsMeasuredAt >= kPoolsLifetime) {
    this->MeasurePools();
  }
  for (const PoolLoad& pool : this->recentPools) {
    each = std::max(each, pool.coresPerUpstream);
    const std::size_t needed = PoolBalance::NeededUpstreams(pool);
    const std::size_t spare = pool.present > needed ? pool.present - needed : 0;
    const bool isPresent = pool.service == aService;
    count += isPresent      ? pool.arriving
             : pool.standby ? pool.idle.size()
                            : std::min(spare, pool.idle.size());
  }
  return each * static_cast<double>(count);
}

void
Dispatcher::AddToPool(const UpstreamSession& aSession, PoolLoad& aPool) const
{
  const state::Resources& capacity = aSession.record.capacity;
  const double longRunning = EffectiveCores(aSession.longRunningUse, capacity);
  aPool.longRunningCores += longRunning;
  aPool.runningCores += EffectiveCores(aSession.used, capacity) - longRunning;
  if (capacity.milliCpus > 0) {
    aPool.coresPerUpstream = EffectiveCores(capacity, capacity);
  }
  const bool isAvailable = IsAvailable(aSession);
  aPool.present += isAvailable ? 1 : 0;
  const std::string& instance = aSession.record.instance;
  if (isAvailable && aSession.fenceConfirmed && aSession.runs.empty() &&
      !instance.empty() && this->IsFree(instance)) {
    aPool.idle.push_back(instance);
  }
}

// Counts the instances that the waiting long-running tasks need beyond those
// that the pool has. Whether an instance has a label or is allowed by the
// advisor is not known before it has joined the pool, so tasks that depend on
// it ask for none.
void
Dispatcher::AddMissingUpstreams(PoolLoad& aPool) const
{
  std::map<work::TaskRef, std::uint32_t> waiting; // tasks, by StepOf
  for (const auto& [id, view] : this->views) {
    const bool isAdvised = view.needsAdvice && this->options.hasAdvisor;
    if (view.service != aPool.service || !view.longRunning || isAdvised) {
      continue;
    }
    const work::Job& job = *this->FindJob(id);
    state::Resources asked;
    for (const WaitingStep& each : view.waiting) {
      const work::Step& step = job.spec.steps[each.step];
      const std::uint32_t allowed =
        this->CountAllowed(view.workspace, asked, step.size, each.Count());
      asked += step.size * each.Count();
      if (step.longRunning && step.requiredLabel.empty() && allowed > 0 &&
          !view.IsImpossible(each)) {
        waiting[each.Ref(id, 0)] += allowed;
      }
    }
  }
  if (waiting.empty()) {
    return;
  }
  RoomSearch search(this->EmptyCapacity(aPool.service));
  for (const auto& [id, session] : this->sessions) {
    if (session.record.service == aPool.service && IsAvailable(session)) {
      search.AddUpstream(session);
    }
  }
  search.AddEmpty(aPool.arriving);
  for (const auto& [task, count] : waiting) {
    const work::Step& step = this->FindJob(task.job)->spec.steps[task.step];
    search.Place(step, task, count);
  }
  aPool.missing = search.Missing();
  std::erase_if(aPool.idle, [&search](const std::string& aInstance) {
    return search.Reserved().contains(aInstance);
  });
}

// Capacity of an instance that joins the pool: that of the largest one there.
// Where there is none, those of other pools are all that is known.
state::Resources
Dispatcher::EmptyCapacity(const ServiceId& aService) const
{
  std::pair<bool, state::Resources> largest;
  for (const auto& [id, session] : this->sessions) {
    const state::Resources& capacity = session.record.capacity;
    const bool isOwn = session.record.service == aService;
    if (std::pair(isOwn, capacity.milliCpus) >
        std::pair(largest.first, largest.second.milliCpus)) {
      largest = { isOwn, capacity };
    }
  }
  return largest.second;
}

} // namespace hyssoppaddle::dispatch
