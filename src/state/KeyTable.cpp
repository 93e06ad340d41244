// Grants, withdraws and expires keys.
#include "state/KeyTable.h"

#include <algorithm>

namespace hyssoppaddle::state {

namespace {

bool
IsSameGrant(const KeyRecord& aRecord, const GrantKey& aCommand)
{
  return aRecord.role == aCommand.role && aRecord.subject == aCommand.subject &&
         aRecord.digest == aCommand.digest;
}

bool
NeedsSubject(KeyRole aRole)
{
  return aRole == KeyRole::Member || aRole == KeyRole::Team;
}

} // namespace

Outcome
KeyTable::Grant(const GrantKey& aCommand, Context& aContext)
{
  if (aCommand.key.empty() || aCommand.digest.size() != kKeyDigestBytes) {
    return Refuse(ErrorCode::InvalidArgument,
                  "a key needs an ID and a digest of 32 bytes");
  }
  if (NeedsSubject(aCommand.role) == aCommand.subject.empty()) {
    return Refuse(ErrorCode::InvalidArgument,
                  "a key of a team or member names its subject, and no other "
                  "key has one");
  }
  const auto known = this->records.find(aCommand.key);
  if (known != this->records.end()) {
    const bool same = IsSameGrant(known->second, aCommand);
    if (same && !known->second.withdrawnAt.has_value()) {
      return AcceptRepeated("the key was already granted");
    }
    return Refuse(ErrorCode::Conflict,
                  same ? "the key has been withdrawn; grant a new one"
                       : "another key has this ID");
  }
  KeyRecord record;
  record.role = aCommand.role;
  record.subject = aCommand.subject;
  record.digest = aCommand.digest;
  record.grantedAt = aContext.now;
  this->records.emplace(aCommand.key, std::move(record));
  aContext.changes.keys = true;
  return Accept("key " + aCommand.key.value + " is granted");
}

Outcome
KeyTable::Withdraw(const WithdrawKey& aCommand, Context& aContext)
{
  const auto known = this->records.find(aCommand.key);
  if (known == this->records.end()) {
    return Refuse(ErrorCode::NotFound,
                  "no key has the ID " + aCommand.key.value);
  }
  if (aCommand.overlap < Duration(0) || aCommand.overlap > kMaxKeyOverlap) {
    return Refuse(ErrorCode::InvalidArgument,
                  "the overlap must be between 0 and 7 days");
  }
  std::optional<WallTime>& end = known->second.withdrawnAt;
  const WallTime wanted = aContext.now + aCommand.overlap;
  // A second withdrawal can shorten the overlap but not extend it.
  if (end.has_value() && *end <= wanted) {
    return AcceptRepeated("the key was already withdrawn");
  }
  if (end.has_value()) {
    this->withdrawn.erase({ *end, aCommand.key });
  }
  end = wanted;
  this->withdrawn.emplace(wanted, aCommand.key);
  aContext.changes.keys = true;
  return Accept("key " + aCommand.key.value + " is withdrawn");
}

void
KeyTable::Expire(WallTime aNow)
{
  while (!this->withdrawn.empty()) {
    const auto oldest = this->withdrawn.begin();
    if (oldest->first + kWithdrawnKeyRetention > aNow) {
      return;
    }
    this->records.erase(oldest->second);
    this->withdrawn.erase(oldest);
  }
}

void
KeyTable::Load(std::map<KeyId, KeyRecord> aRecords)
{
  this->records = std::move(aRecords);
  this->withdrawn.clear();
  for (const auto& [key, record] : this->records) {
    if (record.withdrawnAt.has_value()) {
      this->withdrawn.emplace(*record.withdrawnAt, key);
    }
  }
}

} // namespace hyssoppaddle::state
