// Grants, returns, withholds and reclaims permits, and keeps the sum over all
// entry instances for each team.
#include "state/PermitTable.h"

#include <algorithm>
#include <string>

namespace hyssoppaddle::state {

Outcome
PermitTable::Register(const RegisterEntry& aCommand, Context& aContext)
{
  if (aCommand.entry.empty() || aCommand.boot.empty()) {
    return Refuse(ErrorCode::InvalidArgument,
                  "an entry instance registers with its name and boot ID");
  }
  EntryRecord& record = this->records[aCommand.entry];
  if (record.boot == aCommand.boot) {
    return AcceptRepeated("this boot is already registered");
  }
  if (std::ranges::find(record.earlierBoots, aCommand.boot) !=
      record.earlierBoots.end()) {
    return Refuse(ErrorCode::Conflict, "a later boot is registered");
  }
  this->Withhold(aCommand.entry, record, aContext.now);
  if (!record.boot.empty()) {
    record.earlierBoots.insert(record.earlierBoots.begin(), record.boot);
    record.earlierBoots.resize(
      std::min(record.earlierBoots.size(), kMaxKeptEarlierBoots));
  }
  record.boot = aCommand.boot;
  record.lastReturnSequence = 0;
  record.registeredAt = aContext.now;
  aContext.changes.entries.push_back(aCommand.entry);
  return Accept();
}

void
PermitTable::Withhold(const InstanceId& aEntry,
                      EntryRecord& aRecord,
                      WallTime aNow)
{
  if (aRecord.permits.empty()) {
    return;
  }
  for (const auto& [team, count] : aRecord.permits) {
    aRecord.withheld[team] += count;
  }
  aRecord.permits.clear();
  this->withholding.erase({ aRecord.withheldUntil, aEntry });
  aRecord.withheldUntil = aNow + WithClockMargin(kMaxRequestDeadline);
  this->withholding.emplace(aRecord.withheldUntil, aEntry);
}

Outcome
PermitTable::Grant(const GrantPermits& aCommand,
                   std::uint32_t aFree,
                   Context& aContext)
{
  if (Outcome outcome = this->CheckBoot(aCommand.entry, aCommand.boot);
      !outcome.Ok()) {
    return outcome;
  }
  if (aCommand.count == 0) {
    return Refuse(ErrorCode::InvalidArgument, "the count is 0");
  }
  if (aCommand.count > aFree) {
    return Refuse(ErrorCode::Conflict,
                  "only " + std::to_string(aFree) + " slots of team " +
                    aCommand.team.value + " are free");
  }
  this->records[aCommand.entry].permits[aCommand.team] += aCommand.count;
  this->AddCommitted(aCommand.team, aCommand.count);
  aContext.changes.entries.push_back(aCommand.entry);
  return Accept();
}

Outcome
PermitTable::Return(const ReturnPermits& aCommand, Context& aContext)
{
  if (Outcome outcome = this->CheckBoot(aCommand.entry, aCommand.boot);
      !outcome.Ok()) {
    return outcome;
  }
  EntryRecord& record = this->records[aCommand.entry];
  if (aCommand.sequence <= record.lastReturnSequence) {
    return AcceptRepeated("this return was applied before");
  }
  auto& permits = record.permits;
  const auto held = permits.find(aCommand.team);
  if (aCommand.count == 0 || held == permits.end() ||
      held->second < aCommand.count) {
    return Refuse(ErrorCode::Conflict,
                  "fewer permits are held than are returned, or none is");
  }
  record.lastReturnSequence = aCommand.sequence;
  held->second -= aCommand.count;
  if (held->second == 0) {
    permits.erase(held);
  }
  this->RemoveCommitted(aCommand.team, aCommand.count);
  aContext.changes.entries.push_back(aCommand.entry);
  return Accept();
}

Outcome
PermitTable::Reclaim(const ReclaimPermits& aCommand, Context& aContext)
{
  if (Outcome outcome = this->CheckBoot(aCommand.entry, aCommand.boot);
      !outcome.Ok()) {
    return outcome;
  }
  EntryRecord& record = this->records[aCommand.entry];
  for (const auto& [team, count] : record.permits) {
    this->RemoveCommitted(team, count);
  }
  record.permits.clear();
  aContext.changes.entries.push_back(aCommand.entry);
  return Accept();
}

void
PermitTable::Expire(Context& aContext)
{
  while (!this->withholding.empty() &&
         this->withholding.begin()->first <= aContext.now) {
    const InstanceId entry = this->withholding.begin()->second;
    EntryRecord& record = this->records[entry];
    for (const auto& [team, count] : record.withheld) {
      this->RemoveCommitted(team, count);
    }
    record.withheld.clear();
    this->withholding.erase(this->withholding.begin());
    aContext.changes.entries.push_back(entry);
  }
}

std::uint32_t
PermitTable::CommittedTo(const TeamId& aTeam) const
{
  const auto found = this->committed.find(aTeam);
  return found == this->committed.end() ? 0 : found->second;
}

void
PermitTable::Load(std::map<InstanceId, EntryRecord> aRecords)
{
  this->records = std::move(aRecords);
  this->committed.clear();
  this->withholding.clear();
  for (const auto& [entry, record] : this->records) {
    for (const auto& [team, count] : record.permits) {
      this->AddCommitted(team, count);
    }
    for (const auto& [team, count] : record.withheld) {
      this->AddCommitted(team, count);
    }
    if (!record.withheld.empty()) {
      this->withholding.emplace(record.withheldUntil, entry);
    }
  }
}

void
PermitTable::AddCommitted(const TeamId& aTeam, std::uint32_t aCount)
{
  if (aCount > 0) {
    this->committed[aTeam] += aCount;
  }
}

void
PermitTable::RemoveCommitted(const TeamId& aTeam, std::uint32_t aCount)
{
  const auto found = this->committed.find(aTeam);
  if (found == this->committed.end()) {
    return;
  }
  found->second -= aCount;
  if (found->second == 0) {
    this->committed.erase(found);
  }
}

Outcome
PermitTable::CheckBoot(const InstanceId& aEntry, const std::string& aBoot) const
{
  const auto found = this->records.find(aEntry);
  if (found == this->records.end() || found->second.boot != aBoot) {
    return Refuse(ErrorCode::Conflict, "this boot is not the registered one");
  }
  return Accept();
}

} // namespace hyssoppaddle::state
