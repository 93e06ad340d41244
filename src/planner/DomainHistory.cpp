// Detects the loss of a rack, and a second loss right after a repair.
#include "planner/DomainHistory.h"

namespace hyssoppaddle::planner {

namespace {

constexpr Duration kHour{ std::chrono::hours(1) };
// A rack counts as lost from this number of lost instances on.
constexpr std::size_t kLostRackThreshold = 2;

template<typename Key>
std::optional<Time>
Find(const std::map<Key, Time>& aTimes, const Key& aKey)
{
  const auto found = aTimes.find(aKey);
  return found == aTimes.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

void
DomainHistory::Clear()
{
  *this = DomainHistory();
}

bool
DomainHistory::IsRecent(const std::optional<Time>& aAt,
                        Duration aPeriod,
                        Time aNow) const
{
  return aAt.has_value() && aNow - *aAt < aPeriod;
}

void
DomainHistory::OnInstance(const state::FleetState& aState,
                          const InstanceId& aInstance,
                          Duration aSoak,
                          Time aNow)
{
  const auto found = aState.Instances().find(aInstance);
  if (found == aState.Instances().end()) {
    this->phases.erase(aInstance);
    this->lost.erase(aInstance);
    this->lostSince.erase(aInstance);
    return;
  }
  const state::InstanceRecord& record = found->second;
  const auto known = this->phases.find(aInstance);
  const bool wasLost = this->lost.contains(aInstance);
  // An upstream that ends after it announced its departure does not count as
  // lost.
  const auto upstream = aState.Upstreams().find(aInstance);
  const bool hasDeparted =
    upstream != aState.Upstreams().end() &&
    upstream->second.announcement.state == state::UpstreamState::Departing;
  const bool isLost =
    record.phase == state::InstancePhase::Lost && !hasDeparted;
  const bool isBack = record.phase == state::InstancePhase::Soaking ||
                      record.phase == state::InstancePhase::Serving;
  const bool isNew = known == this->phases.end();
  this->phases[aInstance] = record.phase;
  if (isLost && !wasLost) {
    this->lost.insert(aInstance);
    this->lostSince[aInstance] = aNow;
    this->lostInRack[record.rack].insert(aInstance);
    // An instance that was already lost when this leader was elected raises no
    // alarm.
    if (!isNew) {
      this->OnLoss(record, aInstance, aSoak, aNow);
    }
  }
  if (!isLost && wasLost) {
    this->lost.erase(aInstance);
    this->lostInRack[record.rack].erase(aInstance);
  }
  const bool hadLoss = this->lostSince.contains(aInstance);
  if (isBack && hadLoss) {
    this->lostSince.erase(aInstance);
    this->returnedInRack[record.rack] = aNow;
    this->returnedInDataCentre[record.dataCentre] = aNow;
    this->returnedInPool[record.pool] = aNow;
  }
}

void
DomainHistory::OnLoss(const state::InstanceRecord& aRecord,
                      const InstanceId& aInstance,
                      Duration aSoak,
                      Time aNow)
{
  this->lastLossAt = aNow;
  std::set<Time>& times = this->losses[aInstance];
  times.insert(aNow);
  while (aNow - *times.begin() > kHour) {
    times.erase(times.begin());
  }
  const bool afterRepair =
    this->IsRecent(Find(this->returnedInRack, aRecord.rack), aSoak, aNow) ||
    this->IsRecent(
      Find(this->returnedInDataCentre, aRecord.dataCentre), aSoak, aNow) ||
    this->IsRecent(Find(this->returnedInPool, aRecord.pool), aSoak, aNow);
  if (afterRepair) {
    this->alarm =
      Alarm{ "instance " + aInstance.value +
               " was lost right after a repair in rack " + aRecord.rack.value +
               ", data centre " + aRecord.dataCentre.value,
             aNow };
  } else if (this->lostInRack[aRecord.rack].size() >= kLostRackThreshold) {
    this->alarm =
      Alarm{ std::to_string(this->lostInRack[aRecord.rack].size()) +
               " instances of rack " + aRecord.rack.value + " are lost",
             aNow };
  }
}

bool
DomainHistory::RepairedWithin(const PoolId& aPool,
                              Duration aPeriod,
                              Time aNow) const
{
  return this->IsRecent(Find(this->returnedInPool, aPool), aPeriod, aNow);
}

std::uint32_t
DomainHistory::LossesOf(const InstanceId& aInstance, Time aNow) const
{
  const auto found = this->losses.find(aInstance);
  std::uint32_t count = 0;
  if (found != this->losses.end()) {
    for (const Time at : found->second) {
      count += aNow - at <= kHour ? 1 : 0;
    }
  }
  return count;
}

std::optional<Time>
DomainHistory::LostSince(const InstanceId& aInstance) const
{
  return Find(this->lostSince, aInstance);
}

} // namespace hyssoppaddle::planner
