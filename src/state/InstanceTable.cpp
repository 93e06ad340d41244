// Phases, moves and requested actions of instances. Every change of pool or
// phase updates the indexes, so that the budget check reads a single counter.
#include "state/InstanceTable.h"

#include "state/PhaseRules.h"

namespace hyssoppaddle::state {

namespace {

bool
IsPlannedStop(InstancePhase aTo)
{
  return aTo == InstancePhase::Draining;
}

// Returns true if an instance in this phase is out of service, so that its
// record can be removed safely.
bool
IsOutOfService(InstancePhase aPhase)
{
  return aPhase == InstancePhase::Expected ||
         aPhase == InstancePhase::Stopped || aPhase == InstancePhase::Lost;
}

bool
IsInService(InstancePhase aPhase)
{
  return aPhase == InstancePhase::Serving || aPhase == InstancePhase::Soaking;
}

} // namespace

Outcome
InstanceTable::SetPhase(const SetInstancePhase& aCommand,
                        const BundleTable& aBundles,
                        const std::string& aBoot,
                        Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.instance);
  if (entry == this->records.End()) {
    return Refuse(ErrorCode::NotFound,
                  "no instance is named " + aCommand.instance.value);
  }
  InstanceRecord& record = entry->second;
  if (record.phase != aCommand.from) {
    return Refuse(ErrorCode::Conflict,
                  "the instance is " + std::string(ToString(record.phase)));
  }
  if (!IsAllowedTransition(aCommand.from, aCommand.to)) {
    return Refuse(ErrorCode::InvalidArgument,
                  "an instance that is " +
                    std::string(ToString(aCommand.from)) + " cannot become " +
                    std::string(ToString(aCommand.to)));
  }
  if (Outcome outcome = this->CheckBudget(record, aCommand, aBundles);
      !outcome.Ok()) {
    return outcome;
  }
  if (aCommand.from == InstancePhase::Soaking &&
      aCommand.to == InstancePhase::Serving &&
      aContext.now < record.since + aBundles.Active().policy.soakTime) {
    return Refuse(ErrorCode::Conflict, "the soak time has not passed");
  }
  if (IsPlannedStop(aCommand.to)) {
    record.bootIdAtStop = aBoot;
  }
  this->SetPhase(
    entry, aCommand.to, aCommand.purpose, aCommand.reason, aContext);
  this->DropIfRetired(entry);
  return Accept();
}

Outcome
InstanceTable::CheckBudget(const InstanceRecord& aRecord,
                           const SetInstancePhase& aCommand,
                           const BundleTable& aBundles) const
{
  const bool leavesService = aCommand.from == InstancePhase::Serving;
  if (!leavesService && !IsPlannedStop(aCommand.to)) {
    return Accept();
  }
  const PoolSpec* pool = aBundles.FindPool(aRecord.pool);
  const std::uint32_t needed = pool == nullptr ? 0 : pool->minAvailable;
  const std::uint32_t serving = this->AvailableIn(aRecord.pool);
  const std::uint32_t after = leavesService ? serving - 1 : serving;
  if (after >= needed) {
    return Accept();
  }
  return Refuse(ErrorCode::Conflict,
                "pool " + aRecord.pool.value + " would have " +
                  std::to_string(after) + " serving, but min_available is " +
                  std::to_string(needed));
}

Outcome
InstanceTable::Move(const MoveInstance& aCommand,
                    const BundleTable& aBundles,
                    Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.instance);
  if (entry == this->records.End()) {
    return Refuse(ErrorCode::NotFound,
                  "no instance is named " + aCommand.instance.value);
  }
  InstanceRecord& record = entry->second;
  if (record.phase != InstancePhase::Moving || record.pool != aCommand.from) {
    return Refuse(ErrorCode::Conflict,
                  "the instance is " + std::string(ToString(record.phase)) +
                    " in pool " + record.pool.value);
  }
  if (aBundles.FindPool(aCommand.to) == nullptr) {
    return Refuse(ErrorCode::NotFound, "no pool is named " + aCommand.to.value);
  }
  this->SetPool(entry, aCommand.to);
  record.movingToPool = PoolId();
  if (record.requested == InstanceAction::Move &&
      record.requestedPool == aCommand.to) {
    record.requested.reset();
    record.requestedPool = PoolId();
  }
  aContext.changes.instances.push_back(aCommand.instance);
  return Accept();
}

Outcome
InstanceTable::Request(const RequestInstanceAction& aCommand,
                       const BundleTable& aBundles,
                       Context& aContext)
{
  const Entry entry = this->records.FindEntry(aCommand.instance);
  if (entry == this->records.End()) {
    return Refuse(ErrorCode::NotFound,
                  "no instance is named " + aCommand.instance.value);
  }
  InstanceRecord& record = entry->second;
  const bool isMove = aCommand.request == InstanceAction::Move;
  if (isMove && aBundles.FindPool(aCommand.to) == nullptr) {
    return Refuse(ErrorCode::NotFound, "no pool is named " + aCommand.to.value);
  }
  if (isMove && record.pool == aCommand.to) {
    return Refuse(ErrorCode::Conflict,
                  "the instance is in pool " + aCommand.to.value + " already");
  }
  record.requested = aCommand.request;
  record.requestedPool = isMove ? aCommand.to : PoolId();
  const bool isDone =
    aCommand.request == InstanceAction::Return && IsInService(record.phase);
  if (isDone) {
    record.requested.reset();
  }
  aContext.changes.instances.push_back(aCommand.instance);
  return Accept(isDone ? "the instance is in service"
                       : "the request waits for the planner");
}

void
InstanceTable::OnAnnouncement(const Announcement& aAnnouncement,
                              bool aIsNewBoot,
                              Context& aContext)
{
  const Entry entry = this->records.FindEntry(aAnnouncement.instance);
  if (entry == this->records.End()) {
    return;
  }
  InstanceRecord& record = entry->second;
  if (aAnnouncement.state == UpstreamState::Departing) {
    if (IsInService(record.phase)) {
      record.bootIdAtStop = aAnnouncement.boot;
      this->SetPhase(entry,
                     InstancePhase::Draining,
                     StopPurpose::None,
                     "the upstream announced its departure",
                     aContext);
    }
    return;
  }
  // In phase Rebooting, only a boot ID other than that of the stopped boot
  // proves that the reboot took place.
  const bool isNewBoot = record.phase == InstancePhase::Rebooting
                           ? aAnnouncement.boot != record.bootIdAtStop
                           : aIsNewBoot;
  const std::optional<InstancePhase> next =
    PhaseAfterServing(record.phase, record.purpose, isNewBoot);
  if (next.has_value()) {
    this->SetPhase(entry, *next, StopPurpose::None, "announced", aContext);
  }
}

void
InstanceTable::OnSilent(const InstanceId& aInstance, Context& aContext)
{
  const Entry entry = this->records.FindEntry(aInstance);
  if (entry == this->records.End() || !IsLostWhenSilent(entry->second.phase)) {
    return;
  }
  this->SetPhase(entry,
                 InstancePhase::Lost,
                 StopPurpose::None,
                 "the upstream fell silent",
                 aContext);
  this->DropIfRetired(entry);
}

void
InstanceTable::SetPhase(Entry aEntry,
                        InstancePhase aPhase,
                        StopPurpose aPurpose,
                        const std::string& aReason,
                        Context& aContext)
{
  InstanceRecord& record = aEntry->second;
  this->RemoveFromIndexes(aEntry);
  if (record.phase == InstancePhase::Rebooting &&
      aPhase == InstancePhase::Soaking) {
    record.lastMaintainedAt = aContext.now;
  }
  record.phase = aPhase;
  record.purpose = aPurpose;
  record.since = aContext.now;
  record.reason = aReason;
  record.movingToPool =
    aPhase == InstancePhase::Moving ? record.requestedPool : PoolId();
  if (IsInService(aPhase) && record.requested == InstanceAction::Return) {
    record.requested.reset();
  }
  this->AddToIndexes(aEntry);
  aContext.changes.instances.push_back(aEntry->first);
}

void
InstanceTable::DropIfRetired(Entry aEntry)
{
  if (aEntry->second.retired && IsOutOfService(aEntry->second.phase)) {
    this->RemoveFromIndexes(aEntry);
    this->records.Erase(aEntry);
  }
}

const InstanceRecord*
InstanceTable::Find(const InstanceId& aInstance) const
{
  return this->records.Find(aInstance);
}

const std::set<InstanceId>&
InstanceTable::InPool(const PoolId& aPool) const
{
  static const std::set<InstanceId> kNoInstances;
  const auto found = this->byPool.find(aPool);
  return found == this->byPool.end() ? kNoInstances : found->second;
}

std::uint32_t
InstanceTable::AvailableIn(const PoolId& aPool) const
{
  const auto found = this->available.find(aPool);
  return found == this->available.end() ? 0 : found->second;
}

void
InstanceTable::Load(std::map<InstanceId, InstanceRecord> aRecords)
{
  this->records.Load(std::move(aRecords));
  this->byPool.clear();
  this->available.clear();
  for (Entry entry = this->records.Begin(); entry != this->records.End();
       ++entry) {
    this->AddToIndexes(entry);
  }
}

void
InstanceTable::SetPool(Entry aEntry, const PoolId& aPool)
{
  this->RemoveFromIndexes(aEntry);
  aEntry->second.pool = aPool;
  this->AddToIndexes(aEntry);
}

void
InstanceTable::AddToIndexes(Entry aEntry)
{
  const InstanceRecord& record = aEntry->second;
  this->byPool[record.pool].insert(aEntry->first);
  if (record.phase == InstancePhase::Serving) {
    this->available[record.pool] += 1;
  }
}

void
InstanceTable::RemoveFromIndexes(Entry aEntry)
{
  const InstanceRecord& record = aEntry->second;
  const auto pool = this->byPool.find(record.pool);
  pool->second.erase(aEntry->first);
  if (pool->second.empty()) {
    this->byPool.erase(pool);
  }
  if (record.phase == InstancePhase::Serving) {
    const auto count = this->available.find(record.pool);
    count->second -= 1;
    if (count->second == 0) {
      this->available.erase(count);
    }
  }
}

} // namespace hyssoppaddle::state
