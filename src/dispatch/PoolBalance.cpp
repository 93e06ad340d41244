// Computes the need and surplus of each pool, and the moves between them.
#include "dispatch/PoolBalance.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::dispatch {

namespace {

// Spare upstreams kept beyond the current need, because a job with many tasks
// arrives at once and an instance takes seconds to move.
constexpr std::size_t kReserveUpstreams = 3;
// A surplus of this duration moves to standby. It is longer than the time for
// which an idle instance costs as much as two moves.
constexpr Duration kIdleBeforeStandby = std::chrono::seconds(3);
// Demand that has ceased for this time was the end of a peak, not a pause in
// it.
constexpr Duration kCalmAfter = std::chrono::seconds(2);
// An idle pool gives this part of its surplus to standby at a time, but at
// least kMinRelease: when one queue's peak ends another one's begins, and an
// instance on its way to standby cannot serve it.
constexpr std::size_t kReleaseDivisor = 16;
constexpr std::size_t kMinRelease = 4;
// A service without any job for this time counts as idle.
constexpr Duration kMaxDemandWait = std::chrono::seconds(60);
// Fraction of the planned cores that is counted. Running tasks count in full
// until they end, so the plan is too high.
constexpr double kPlannedFraction = 0.7;
// Assumed size of an upstream before one has been seen.
constexpr double kDefaultCoresPerUpstream = 16.0;

} // namespace

std::size_t
PoolBalance::NeededUpstreams(const PoolLoad& aPool)
{
  if (aPool.standby) {
    return 0;
  }
  const double each = aPool.coresPerUpstream > 0 ? aPool.coresPerUpstream
                                                 : kDefaultCoresPerUpstream;
  // The planned cores keep capacity for later steps while earlier steps end.
  const double cores =
    aPool.longRunningCores +
    std::max(aPool.runningCores + aPool.waitingCores,
             kPlannedFraction * aPool.plannedCores + aPool.expectedCores);
  const std::size_t byCores =
    static_cast<std::size_t>(std::ceil(cores / each)) + kReserveUpstreams;
  if (aPool.missing == 0) {
    return byCores;
  }
  return std::max(byCores, aPool.present + aPool.arriving + aPool.missing);
}

std::size_t
PoolBalance::UpstreamsForPeak(const PoolLoad& aPool)
{
  const std::size_t needed = NeededUpstreams(aPool);
  if (aPool.standby || aPool.peakCores <= 0) {
    return needed;
  }
  PoolLoad atPeak = aPool;
  atPeak.expectedCores = 0;
  atPeak.plannedCores = 0;
  atPeak.waitingCores = 0;
  atPeak.runningCores = std::max(aPool.peakCores, aPool.runningCores);
  return std::max(needed, NeededUpstreams(atPeak));
}

bool
PoolBalance::AwaitsDemand(const PoolLoad& aPool, Time aNow) const
{
  return !aPool.demandObserved && aNow - *this->observedSince < kMaxDemandWait;
}

bool
PoolBalance::IsCalm(Time aNow) const
{
  return !this->lastAskedAt || aNow - *this->lastAskedAt >= kCalmAfter;
}

std::vector<PoolMove>
PoolBalance::PlanMoves(std::vector<PoolLoad> aPools, Time aNow)
{
  this->observedSince = this->observedSince.value_or(aNow);
  std::vector<PoolMove> moves;
  const PoolLoad* standby = nullptr;
  std::vector<PoolLoad*> donors;
  std::vector<std::pair<std::size_t, PoolLoad*>> receivers;
  std::vector<std::pair<std::size_t, PoolLoad*>> peaks;
  for (PoolLoad& pool : aPools) {
    const std::size_t neededNow = NeededUpstreams(pool);
    const std::size_t needed = UpstreamsForPeak(pool);
    const std::size_t have = pool.present + pool.arriving;
    if (pool.standby) {
      standby = &pool;
      donors.insert(donors.begin(), &pool);
      continue;
    }
    if (have > needed) {
      if (!this->AwaitsDemand(pool, aNow)) {
        this->surplusSince.try_emplace(pool.service, aNow);
      }
      const std::size_t spare = std::min(have - needed, pool.idle.size());
      pool.idle.resize(spare);
      donors.push_back(&pool);
      continue;
    }
    this->surplusSince.erase(pool.service);
    pool.idle.clear();
    const bool asks =
      pool.waitingCores > 0 || pool.expectedCores > 0 || pool.missing > 0;
    if (have < neededNow && asks) {
      receivers.emplace_back(neededNow - have, &pool);
    }
    if (pool.peakCores > 0 && needed > std::max(have, neededNow)) {
      peaks.emplace_back(needed - std::max(have, neededNow), &pool);
    }
  }
  std::sort(receivers.begin(),
            receivers.end(),
            [](const auto& aLeft, const auto& aRight) {
              return aLeft.first > aRight.first;
            });
  if (!receivers.empty()) {
    this->lastAskedAt = aNow;
  }
  receivers.insert(receivers.end(), peaks.begin(), peaks.end());
  for (auto& [missing, receiver] : receivers) {
    for (PoolLoad* donor : donors) {
      while (missing > 0 && !donor->idle.empty()) {
        moves.push_back({ donor->idle.back(), receiver->service });
        donor->idle.pop_back();
        --missing;
      }
    }
  }
  for (const PoolLoad* donor : donors) {
    const auto since = this->surplusSince.find(donor->service);
    const bool longIdle = since != this->surplusSince.end() &&
                          aNow - since->second >= kIdleBeforeStandby;
    if (standby == nullptr || donor->standby || !longIdle) {
      continue;
    }
    const std::size_t released =
      std::max(donor->idle.size() / kReleaseDivisor, kMinRelease);
    for (std::size_t i = 0; i < std::min(released, donor->idle.size()); ++i) {
      moves.push_back({ donor->idle[i], standby->service });
    }
  }
  return moves;
}

} // namespace hyssoppaddle::dispatch
