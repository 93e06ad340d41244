// Budget arithmetic. FleetState refuses what breaks a budget; this unit keeps
// the planner from proposing it.
#include "planner/Budget.h"

#include <algorithm>

namespace hyssoppaddle::planner {

namespace {

constexpr Duration kStopProposalTimeout{ std::chrono::seconds(10) };

} // namespace

Budget::Budget(const DomainHistory& aHistory)
  : history(aHistory)
{
}

void
Budget::Clear()
{
  this->pendingStops.clear();
  this->pendingStopsInPool.clear();
}

// Right after a repair, the failure domain that was repaired may be lost
// again: as many instances as the pool has in its largest rack are kept.
std::uint32_t
Budget::RepairReserve(const Context& aContext, const PoolId& aPool) const
{
  const Duration soak = aContext.state.ActiveBundle().policy.soakTime;
  if (!this->history.RepairedWithin(aPool, soak, aContext.now)) {
    return 0;
  }
  std::map<RackId, std::uint32_t> racks;
  std::uint32_t largest = 0;
  for (const InstanceId& instance : aContext.state.InstancesOf(aPool)) {
    const state::InstanceRecord& record =
      aContext.state.Instances().at(instance);
    if (record.phase == state::InstancePhase::Serving) {
      largest = std::max(largest, ++racks[record.rack]);
    }
  }
  return largest;
}

std::uint32_t
Budget::SpareInstances(const Context& aContext, const PoolId& aPool) const
{
  const state::PoolSpec* pool = aContext.state.FindPool(aPool);
  const std::uint32_t needed = pool == nullptr ? 0 : pool->minAvailable;
  const auto pending = this->pendingStopsInPool.find(aPool);
  const std::uint32_t taken =
    needed + this->RepairReserve(aContext, aPool) +
    (pending == this->pendingStopsInPool.end() ? 0 : pending->second);
  const std::uint32_t available = aContext.state.AvailableIn(aPool);
  return available > taken ? available - taken : 0;
}

std::string
Budget::DescribeShortage(const Context& aContext, const PoolId& aPool) const
{
  if (this->SpareInstances(aContext, aPool) > 0) {
    return {};
  }
  const state::PoolSpec* pool = aContext.state.FindPool(aPool);
  const std::uint32_t reserve = this->RepairReserve(aContext, aPool);
  std::string text = "pool " + aPool.value + " has " +
                     std::to_string(aContext.state.AvailableIn(aPool)) +
                     " serving and min_available is " +
                     std::to_string(pool == nullptr ? 0 : pool->minAvailable);
  if (reserve > 0) {
    text += ", with a reserve of " + std::to_string(reserve) +
            " right after a repair";
  }
  return text;
}

bool
Budget::ProposeDrain(Context& aContext,
                     const InstanceId& aInstance,
                     state::StopPurpose aPurpose,
                     const std::string& aReason)
{
  const state::InstanceRecord& record =
    aContext.state.Instances().at(aInstance);
  if (record.phase != state::InstancePhase::Serving ||
      this->pendingStops.contains(aInstance) ||
      this->SpareInstances(aContext, record.pool) == 0 ||
      !aContext.TakeDecision()) {
    return false;
  }
  this->pendingStops.emplace(
    aInstance, PendingStop{ record.pool, aContext.now + kStopProposalTimeout });
  ++this->pendingStopsInPool[record.pool];
  aContext.Propose(state::SetInstancePhase{ aInstance,
                                            state::InstancePhase::Serving,
                                            state::InstancePhase::Draining,
                                            aPurpose,
                                            aReason });
  return true;
}

void
Budget::RemovePendingStop(const InstanceId& aInstance)
{
  const auto found = this->pendingStops.find(aInstance);
  if (found == this->pendingStops.end()) {
    return;
  }
  const auto pool = this->pendingStopsInPool.find(found->second.pool);
  if (--pool->second == 0) {
    this->pendingStopsInPool.erase(pool);
  }
  this->pendingStops.erase(found);
}

void
Budget::OnInstance(const state::FleetState& aState, const InstanceId& aInstance)
{
  const auto found = aState.Instances().find(aInstance);
  if (found == aState.Instances().end() ||
      found->second.phase != state::InstancePhase::Serving) {
    this->RemovePendingStop(aInstance);
  }
}

void
Budget::OnRefused(const InstanceId& aInstance)
{
  this->RemovePendingStop(aInstance);
}

void
Budget::OnTick(Time aNow)
{
  for (auto stop = this->pendingStops.begin();
       stop != this->pendingStops.end();) {
    const auto current = stop++;
    if (current->second.timeoutAt <= aNow) {
      this->RemovePendingStop(InstanceId(current->first));
    }
  }
}

} // namespace hyssoppaddle::planner
