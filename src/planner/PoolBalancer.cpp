// Lending policy. The constants were chosen with bench/PolicyBench;
// docs/planner.md gives the results.
#include "planner/PoolBalancer.h"

#include <algorithm>
#include <cmath>

namespace hyssoppaddle::planner {

namespace {

constexpr int kPoolsPerTick = 8;
// Time constant of the smoothing of demand. Peaks that rotate between queues
// within seconds hardly change the smoothed value.
constexpr double kSmoothingSeconds = 120.0;
// A shortage or surplus must last this long before an instance is moved.
constexpr Duration kMinShortageTime{ std::chrono::seconds(60) };
constexpr Duration kMinIdleTime{ std::chrono::seconds(300) };
// A move costs a drain, a reboot and a soak of one instance, twice, since a
// lent instance is returned later. It must gain more slot time than that within
// the horizon.
constexpr double kMoveCostSeconds = 2 * 240.0;
constexpr double kMoveHorizonSeconds = 1800.0;
// Demand above this part of the capacity is a shortage. With a larger nearness
// weight the spare pool lends instances earlier and recalls them later.
constexpr double kShortageLoad = 0.97;
constexpr double kShortageLoadPerNearness = 0.1;
constexpr double kIdleLoad = 0.8;
constexpr double kIdleLoadPerNearness = 0.2;
// Below this load the spare pool lends regardless of the load of the receiver.
constexpr double kLowLoad = 0.3;
// Demand counts at most this many times the capacity.
constexpr double kMaxDemandFactor = 2.0;

} // namespace

PoolBalancer::PoolBalancer(const PoolDemand& aDemand,
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
PoolBalancer::Clear()
{
  this->trends.clear();
}

void
PoolBalancer::ReadBundle(const state::Bundle& aBundle)
{
  this->pools.clear();
  this->sparePool = PoolId();
  for (const state::PoolSpec& pool : aBundle.pools) {
    this->pools.push_back(pool.name);
    if (pool.spare) {
      this->sparePool = pool.name;
    }
  }
}

double
PoolBalancer::SmoothedDemand(const PoolId& aPool) const
{
  const auto found = this->trends.find(aPool);
  return found == this->trends.end() ? 0 : found->second.used;
}

void
PoolBalancer::OnTick(Context& aContext, const std::set<PoolId>& aBlocked)
{
  if (this->sparePool.empty() || this->pools.empty()) {
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
PoolBalancer::UpdateTrend(const Context& aContext,
                          const PoolId& aPool,
                          Trend& aTrend)
{
  const auto capacity = static_cast<double>(this->loads.PoolOf(aPool).slots);
  const double demanded = this->demand.Slots(aPool);
  const double used = std::min(demanded, capacity);
  const double wanted = std::min(demanded, capacity * kMaxDemandFactor);
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
PoolBalancer::Evaluate(Context& aContext, const PoolId& aPool, bool aWaveWaits)
{
  Trend& trend = this->trends[aPool];
  this->UpdateTrend(aContext, aPool, trend);
  if (aPool == this->sparePool) {
    return;
  }
  const double weight = aContext.state.ActiveBundle().policy.nearnessWeight;
  const PoolLoad& load = this->loads.PoolOf(aPool);
  const auto capacity = static_cast<double>(load.slots);
  const double slotsPerInstance =
    load.instances == 0 ? 8.0 : capacity / load.instances;
  const double shortageLevel =
    (kShortageLoad - kShortageLoadPerNearness * weight) * capacity;
  const double idleLevel =
    (kIdleLoad - kIdleLoadPerNearness * weight) * (capacity - slotsPerInstance);
  const auto trackSince = [&](std::optional<Time>& aSince, bool aHolds) {
    if (!aHolds) {
      aSince.reset();
    } else if (!aSince) {
      aSince = aContext.now;
    }
  };
  // Only a shortage whose gain within the horizon exceeds the cost of the move
  // counts. A queue that empties between peaks is no shortage, however long it
  // is at its peak.
  const double gain = (trend.wanted - shortageLevel) * kMoveHorizonSeconds;
  trackSince(trend.shortSince,
             trend.used >= shortageLevel &&
               gain > slotsPerInstance * kMoveCostSeconds);
  trackSince(trend.idleSince, trend.used < idleLevel);
  this->BorrowInstanceIfNeeded(aContext, aPool, trend, aWaveWaits);
  this->MaybeReturn(aContext, aPool, trend);
}

bool
PoolBalancer::MayLend(const Context& aContext, const PoolId& aPool) const
{
  const PoolLoad& lender = this->loads.PoolOf(this->sparePool);
  if (lender.instances == 0 ||
      this->budget.SpareInstances(aContext, this->sparePool) == 0) {
    return false;
  }
  const state::PoolSpec* spec = aContext.state.FindPool(aPool);
  if (spec != nullptr &&
      aContext.state.AvailableIn(aPool) < spec->minAvailable) {
    return true;
  }
  const double left = static_cast<double>(lender.slots) *
                      (lender.instances - 1) / lender.instances;
  const auto ownInstances =
    static_cast<double>(this->loads.PoolOf(aPool).slots);
  const double receiver =
    ownInstances > 0 ? this->SmoothedDemand(aPool) / ownInstances : 1.0;
  return this->SmoothedDemand(this->sparePool) <
         left * std::max(receiver, kLowLoad);
}

void
PoolBalancer::BorrowInstanceIfNeeded(Context& aContext,
                                     const PoolId& aPool,
                                     Trend& aTrend,
                                     bool aWaveWaits)
{
  const bool isShort =
    aTrend.shortSince && aContext.now - *aTrend.shortSince >= kMinShortageTime;
  const state::PoolSpec* spec = aContext.state.FindPool(aPool);
  // Without slack of its own the pool could block a wave forever.
  const bool hasNoSlack =
    aWaveWaits && spec != nullptr &&
    aContext.state.InstancesOf(aPool).size() <= spec->minAvailable;
  if ((!isShort && !hasNoSlack) || this->transfers.InboundTo(aPool) > 0 ||
      this->transfers.OutboundFrom(this->sparePool) > 0 ||
      !this->MayLend(aContext, aPool)) {
    return;
  }
  const std::string reason =
    isShort ? "demand of pool " + aPool.value + " exceeds its capacity"
            : "pool " + aPool.value + " has no slack for its maintenance";
  const std::optional<InstanceId> moved = this->transfers.Start(
    aContext, this->sparePool, aPool, state::StopPurpose::Move, reason);
  if (moved) {
    aTrend.shortSince.reset();
    this->Log(aContext, *moved, aPool, reason);
  }
}

std::uint32_t
PoolBalancer::Borrowed(const Context& aContext, const PoolId& aPool) const
{
  const state::PoolSpec* spec = aContext.state.FindPool(aPool);
  const std::size_t ownInstances = spec == nullptr ? 0 : spec->instances.size();
  std::size_t up = 0;
  for (const InstanceId& instance : aContext.state.InstancesOf(aPool)) {
    up += aContext.state.Instances().at(instance).phase !=
              state::InstancePhase::Lost
            ? 1
            : 0;
  }
  return up > ownInstances ? static_cast<std::uint32_t>(up - ownInstances) : 0;
}

void
PoolBalancer::MaybeReturn(Context& aContext, const PoolId& aPool, Trend& aTrend)
{
  const bool isIdle =
    aTrend.idleSince && aContext.now - *aTrend.idleSince >= kMinIdleTime;
  if (!isIdle || this->transfers.OutboundFrom(aPool) > 0 ||
      this->transfers.InboundTo(aPool) > 0 ||
      this->Borrowed(aContext, aPool) == 0) {
    return;
  }
  const std::string reason =
    "pool " + aPool.value + " no longer needs what it borrowed";
  const std::optional<InstanceId> moved = this->transfers.Start(
    aContext, aPool, this->sparePool, state::StopPurpose::Move, reason);
  if (moved) {
    aTrend.idleSince.reset();
    this->Log(aContext, *moved, this->sparePool, reason);
  }
}

void
PoolBalancer::Log(Context& aContext,
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
