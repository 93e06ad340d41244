// Needs, surpluses and moves.
#include "dispatch/PoolBalance.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::dispatch {

namespace {

// Kept beyond the need of the moment: a wide job arrives at once, and an
// instance takes seconds to come.
constexpr std::size_t kReserve = 3;
// A surplus that lasts this long goes to standby: longer than two moves cost
// against the price of an idle instance.
constexpr Duration kIdleBeforeStandby = std::chrono::seconds(3);
// Of the work planned by declared estimates. Running tasks count whole until
// they end, so the plan is too high.
constexpr double kPlannedPart = 0.7;
// Stands for the size of an upstream before one has been seen.
constexpr double kAssumedCores = 16.0;

} // namespace

std::size_t
PoolBalance::Needed(const PoolLoad& aPool)
{
  if (aPool.standby) {
    return 0;
  }
  const double each = aPool.coresEach > 0 ? aPool.coresEach : kAssumedCores;
  // The plan keeps the room of later steps while earlier ones end.
  const double cores =
    aPool.lastingCores +
    std::max(aPool.runningCores + aPool.waitingCores,
             kPlannedPart * aPool.plannedCores + aPool.expectedCores);
  return static_cast<std::size_t>(std::ceil(cores / each)) + kReserve;
}

std::vector<PoolMove>
PoolBalance::Next(std::vector<PoolLoad> aPools, Time aNow)
{
  std::vector<PoolMove> moves;
  const PoolLoad* standby = nullptr;
  std::vector<PoolLoad*> givers;
  std::vector<std::pair<std::size_t, PoolLoad*>> takers;
  for (PoolLoad& pool : aPools) {
    const std::size_t needed = Needed(pool);
    const std::size_t have = pool.present + pool.arriving;
    if (pool.standby) {
      standby = &pool;
      givers.insert(givers.begin(), &pool);
      continue;
    }
    if (have > needed) {
      this->surplusSince.try_emplace(pool.service, aNow);
      const std::size_t spare = std::min(have - needed, pool.idle.size());
      pool.idle.resize(spare);
      givers.push_back(&pool);
      continue;
    }
    this->surplusSince.erase(pool.service);
    pool.idle.clear();
    const bool asks = pool.waitingCores > 0 || pool.expectedCores > 0;
    if (have < needed && asks) {
      takers.emplace_back(needed - have, &pool);
    }
  }
  std::sort(
    takers.begin(), takers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first > aRight.first;
    });
  for (auto& [missing, taker] : takers) {
    for (PoolLoad* giver : givers) {
      while (missing > 0 && !giver->idle.empty()) {
        moves.push_back({ giver->idle.back(), taker->service });
        giver->idle.pop_back();
        --missing;
      }
    }
  }
  for (const PoolLoad* giver : givers) {
    const auto since = this->surplusSince.find(giver->service);
    const bool longIdle = since != this->surplusSince.end() &&
                          aNow - since->second >= kIdleBeforeStandby;
    if (standby == nullptr || giver->standby || !longIdle) {
      continue;
    }
    for (const std::string& instance : giver->idle) {
      moves.push_back({ instance, standby->service });
    }
  }
  return moves;
}

} // namespace hyssoppaddle::dispatch
