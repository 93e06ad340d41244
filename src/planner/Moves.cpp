// Lending policy. Constants were chosen with bench/PolicyBench; docs/planner.md
// gives the figures.
#include "planner/Moves.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::planner {

namespace {

constexpr int kPoolsPerTick = 8;
// Demand is smoothed over this time; peaks that rotate between queues within
// seconds leave it nearly flat.
constexpr double kSmoothingSeconds = 120.0;
// A shortage or surplus must last this long.
constexpr Duration kShortTime{ 60000000 };
constexpr Duration kIdleTime{ 300000000 };
// A move costs a drain, a reboot and a soak on one instance, twice, since what
// is lent returns; it must gain more than that within the horizon.
constexpr double kMoveSeconds = 2 * 240.0;
constexpr double kHorizonSeconds = 1800.0;
// Demand above this part of the capacity is a shortage. A deployment that
// weighs nearness to share more lends earlier and takes back later.
constexpr double kShortAt = 0.97;
constexpr double kShortByNearness = 0.1;
constexpr double kIdleAt = 0.8;
constexpr double kIdleByNearness = 0.2;
// Below this load the spare pool lends whatever the receiver's load is.
constexpr double kQuiet = 0.3;
// A backlog counts at most this many times the capacity.
constexpr double kLargestDemand = 2.0;

} // namespace

Moves::Moves(const PoolDemand& aDemand,
             const InstanceLoads& aLoads,
             const Budget& aBudget,
             Transfers& aTransfers)
  : demand(aDemand)
  , loads(aLoads)
  , budget(aBudget)
  , transfers(aTransfers)
{
}

void
Moves::Clear()
{
  this->trends.clear();
}

void
Moves::ReadBundle(const state::Bundle& aBundle)
{
  this->pools.clear();
  this->spare = PoolId();
  for (const state::PoolSpec& pool : aBundle.pools) {
    this->pools.push_back(pool.name);
    if (pool.spare) {
      this->spare = pool.name;
    }
  }
}

double
Moves::Smoothed(const PoolId& aPool) const
{
  const auto found = this->trends.find(aPool);
  return found == this->trends.end() ? 0 : found->second.used;
}

void
Moves::OnTick(Context& aContext, const std::set<PoolId>& aBlocked)
{
  if (this->spare.empty() || this->pools.empty()) {
    return;
  }
  const std::size_t count =
    std::min<std::size_t>(kPoolsPerTick, this->pools.size());
  for (std::size_t step = 0; step < count; ++step) {
    this->cursor = (this->cursor + 1) % this->pools.size();
    const PoolId& pool = this->pools[this->cursor];
    this->Evaluate(aContext, pool, aBlocked.contains(pool));
  }
}

void
Moves::Follow(const Context& aContext, const PoolId& aPool, Trend& aTrend)
{
  const auto capacity = static_cast<double>(this->loads.PoolOf(aPool).slots);
  const double demanded = this->demand.Slots(aPool);
  const double used = std::min(demanded, capacity);
  const double wanted = std::min(demanded, capacity * kLargestDemand);
  if (!aTrend.started) {
    aTrend.started = true;
    aTrend.used = used;
    aTrend.wanted = wanted;
    aTrend.at = aContext.now;
    return;
  }
  const double seconds =
    static_cast<double>((aContext.now - aTrend.at).count()) / 1e6;
  const double weight = 1.0 - std::exp(-seconds / kSmoothingSeconds);
  aTrend.used += (used - aTrend.used) * weight;
  aTrend.wanted += (wanted - aTrend.wanted) * weight;
  aTrend.at = aContext.now;
}

void
Moves::Evaluate(Context& aContext, const PoolId& aPool, bool aWaveWaits)
{
  Trend& trend = this->trends[aPool];
  this->Follow(aContext, aPool, trend);
  if (aPool == this->spare) {
    return;
  }
  const double weight = aContext.state.ActiveBundle().policy.nearnessWeight;
  const PoolLoad& load = this->loads.PoolOf(aPool);
  const auto capacity = static_cast<double>(load.slots);
  const double perInstance =
    load.instances == 0 ? 8.0 : capacity / load.instances;
  const double shortAt = (kShortAt - kShortByNearness * weight) * capacity;
  const double idleAt =
    (kIdleAt - kIdleByNearness * weight) * (capacity - perInstance);
  const auto mark = [&](std::optional<Time>& aSince, bool aHolds) {
    if (!aHolds) {
      aSince.reset();
    } else if (!aSince) {
      aSince = aContext.now;
    }
  };
  // Only a shortage that pays for its move within the horizon counts. A queue
  // that empties between peaks is none, however long it was at its peak.
  const double gain = (trend.wanted - shortAt) * kHorizonSeconds;
  mark(trend.shortSince,
       trend.used >= shortAt && gain > perInstance * kMoveSeconds);
  mark(trend.idleSince, trend.used < idleAt);
  this->MaybeBorrow(aContext, aPool, trend, aWaveWaits);
  this->MaybeReturn(aContext, aPool, trend);
}

bool
Moves::MayLend(const Context& aContext, const PoolId& aPool) const
{
  const PoolLoad& lender = this->loads.PoolOf(this->spare);
  if (lender.instances == 0 || this->budget.Spare(aContext, this->spare) == 0) {
    return false;
  }
  const state::PoolSpec* spec = aContext.state.FindPool(aPool);
  if (spec != nullptr &&
      aContext.state.AvailableIn(aPool) < spec->minAvailable) {
    return true;
  }
  const double left = static_cast<double>(lender.slots) *
                      (lender.instances - 1) / lender.instances;
  const auto own = static_cast<double>(this->loads.PoolOf(aPool).slots);
  const double receiver = own > 0 ? this->Smoothed(aPool) / own : 1.0;
  return this->Smoothed(this->spare) < left * std::max(receiver, kQuiet);
}

void
Moves::MaybeBorrow(Context& aContext,
                   const PoolId& aPool,
                   Trend& aTrend,
                   bool aWaveWaits)
{
  const bool isShort =
    aTrend.shortSince && aContext.now - *aTrend.shortSince >= kShortTime;
  const state::PoolSpec* spec = aContext.state.FindPool(aPool);
  // A wave can wait for ever when the pool has no slack of its own.
  const bool hasNoSlack =
    aWaveWaits && spec != nullptr &&
    aContext.state.InstancesOf(aPool).size() <= spec->minAvailable;
  if ((!isShort && !hasNoSlack) || this->transfers.To(aPool) > 0 ||
      this->transfers.From(this->spare) > 0 ||
      !this->MayLend(aContext, aPool)) {
    return;
  }
  const std::string reason =
    isShort ? "demand of pool " + aPool.value + " exceeds its capacity"
            : "pool " + aPool.value + " has no slack for its maintenance";
  const std::optional<InstanceId> moved = this->transfers.Start(
    aContext, this->spare, aPool, state::StopPurpose::Move, reason);
  if (moved) {
    aTrend.shortSince.reset();
    this->Log(aContext, *moved, aPool, reason);
  }
}

std::uint32_t
Moves::Borrowed(const Context& aContext, const PoolId& aPool) const
{
  const state::PoolSpec* spec = aContext.state.FindPool(aPool);
  const std::size_t own = spec == nullptr ? 0 : spec->instances.size();
  std::size_t up = 0;
  for (const InstanceId& instance : aContext.state.InstancesOf(aPool)) {
    up += aContext.state.Instances().at(instance).phase !=
              state::InstancePhase::Lost
            ? 1
            : 0;
  }
  return up > own ? static_cast<std::uint32_t>(up - own) : 0;
}

void
Moves::MaybeReturn(Context& aContext, const PoolId& aPool, Trend& aTrend)
{
  const bool isIdle =
    aTrend.idleSince && aContext.now - *aTrend.idleSince >= kIdleTime;
  if (!isIdle || this->transfers.From(aPool) > 0 ||
      this->transfers.To(aPool) > 0 || this->Borrowed(aContext, aPool) == 0) {
    return;
  }
  const std::string reason =
    "pool " + aPool.value + " no longer needs what it borrowed";
  const std::optional<InstanceId> moved = this->transfers.Start(
    aContext, aPool, this->spare, state::StopPurpose::Move, reason);
  if (moved) {
    aTrend.idleSince.reset();
    this->Log(aContext, *moved, this->spare, reason);
  }
}

void
Moves::Log(Context& aContext,
           const InstanceId& aInstance,
           const PoolId& aTo,
           const std::string& aReason) const
{
  aContext.Log(
    LogDecision{ .kind = "move",
                 .subject = aInstance.value,
                 .team = {},
                 .pool = aTo,
                 .candidates = {},
                 .chosen = aTo.value,
                 .rule = "smoothed demand, gain over the cost of the drain",
                 .reason = aReason });
}

} // namespace hyssoppaddle::planner
