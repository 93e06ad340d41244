// Chooses and tracks instances that change their pool.
#include "planner/Transfers.h"

#include <tuple>

namespace hyssoppaddle::planner {

namespace {

using enum state::InstancePhase;

constexpr int kMaxScannedInstances = 64;
// A transfer whose drain was not applied within this time is abandoned.
constexpr Duration kStartTimeout{ std::chrono::seconds(15) };

void
Decrement(std::map<PoolId, std::uint32_t>& aCounts, const PoolId& aPool)
{
  const auto found = aCounts.find(aPool);
  if (found != aCounts.end() && --found->second == 0) {
    aCounts.erase(found);
  }
}

std::uint32_t
CountOf(const std::map<PoolId, std::uint32_t>& aCounts, const PoolId& aPool)
{
  const auto found = aCounts.find(aPool);
  return found == aCounts.end() ? 0 : found->second;
}

} // namespace

Transfers::Transfers(Budget& aBudget, Lifecycle& aLifecycle)
  : budget(aBudget)
  , lifecycle(aLifecycle)
{
}

void
Transfers::Clear()
{
  this->transfers.clear();
  this->results.clear();
  this->inbound.clear();
  this->outbound.clear();
}

std::optional<InstanceId>
Transfers::ChooseInstance(const Context& aContext,
                          const PoolId& aFrom,
                          const PoolId& aTo) const
{
  std::optional<InstanceId> best;
  std::tuple<bool, bool, std::size_t> bestKey;
  int scanned = 0;
  for (const InstanceId& instance : aContext.state.InstancesOf(aFrom)) {
    if (++scanned > kMaxScannedInstances) {
      break;
    }
    const state::InstanceRecord& record =
      aContext.state.Instances().at(instance);
    if (record.phase != Serving || record.retired ||
        record.requested.has_value() || this->transfers.contains(instance)) {
      continue;
    }
    // Prefers an instance that returns to its home pool; an instance in its
    // home pool is the last choice.
    const std::tuple key(record.homePool != aTo,
                         record.homePool == aFrom,
                         aContext.state.JobsOn(instance).size());
    if (!best || key < bestKey) {
      best = instance;
      bestKey = key;
    }
  }
  return best;
}

std::optional<InstanceId>
Transfers::Start(Context& aContext,
                 const PoolId& aFrom,
                 const PoolId& aTo,
                 state::StopPurpose aPurpose,
                 const std::string& aReason)
{
  std::optional<InstanceId> instance =
    this->ChooseInstance(aContext, aFrom, aTo);
  if (!instance ||
      !this->budget.ProposeDrain(aContext, *instance, aPurpose, aReason)) {
    return std::nullopt;
  }
  this->lifecycle.SetTarget(*instance, aTo);
  this->transfers.emplace(*instance, Transfer{ aFrom, aTo, aContext.now });
  this->results.erase(*instance);
  ++this->outbound[aFrom];
  ++this->inbound[aTo];
  return instance;
}

void
Transfers::End(const InstanceId& aInstance, TransferResult aResult)
{
  const auto found = this->transfers.find(aInstance);
  Decrement(this->outbound, found->second.from);
  Decrement(this->inbound, found->second.to);
  this->transfers.erase(found);
  this->results[aInstance] = aResult;
}

void
Transfers::OnInstance(const Context& aContext, const InstanceId& aInstance)
{
  const auto transfer = this->transfers.find(aInstance);
  if (transfer == this->transfers.end()) {
    return;
  }
  const auto found = aContext.state.Instances().find(aInstance);
  if (found == aContext.state.Instances().end()) {
    this->End(aInstance, TransferResult::Failed);
    return;
  }
  const state::InstanceRecord& record = found->second;
  const auto upstream = aContext.state.Upstreams().find(aInstance);
  const bool hasDeparted =
    upstream != aContext.state.Upstreams().end() &&
    upstream->second.announcement.state == state::UpstreamState::Departing;
  if (record.phase == Lost && !hasDeparted) {
    this->End(aInstance, TransferResult::Failed);
  } else if (record.pool == transfer->second.to &&
             (record.phase == Soaking || record.phase == Serving)) {
    this->End(aInstance, TransferResult::Arrived);
  }
}

void
Transfers::OnTick(const Context& aContext)
{
  for (auto entry = this->transfers.begin(); entry != this->transfers.end();) {
    const auto current = entry++;
    const auto found = aContext.state.Instances().find(current->first);
    const bool neverStarted = found != aContext.state.Instances().end() &&
                              found->second.phase == Serving;
    if (neverStarted &&
        aContext.now - current->second.startedAt > kStartTimeout) {
      this->End(InstanceId(current->first), TransferResult::Failed);
    }
  }
}

std::uint32_t
Transfers::InboundTo(const PoolId& aPool) const
{
  return CountOf(this->inbound, aPool);
}

std::uint32_t
Transfers::OutboundFrom(const PoolId& aPool) const
{
  return CountOf(this->outbound, aPool);
}

std::optional<TransferResult>
Transfers::TakeResult(const InstanceId& aInstance)
{
  const auto found = this->results.find(aInstance);
  if (found == this->results.end()) {
    return std::nullopt;
  }
  const TransferResult result = found->second;
  this->results.erase(found);
  return result;
}

bool
Transfers::IsUnderway(const InstanceId& aInstance) const
{
  return this->transfers.contains(aInstance);
}

} // namespace hyssoppaddle::planner
