// Grants and ends claims. A claim is granted only once, unless its holder
// reports that nothing was sent to the upstream.
#include "state/ClaimTable.h"

#include <algorithm>
#include <vector>

namespace hyssoppaddle::state {

namespace {

Outcome
MakeClaimOutcome(bool aGranted, const ClaimRecord& aRecord)
{
  Outcome outcome;
  outcome.claim =
    ClaimOutcome{ aGranted, aRecord.state, aRecord.status, aRecord.attempt };
  return outcome;
}

} // namespace

ClaimTable::ClaimTable(std::size_t aMaxClaims)
  : maxClaims(aMaxClaims)
{
}

Outcome
ClaimTable::Claim(const ClaimRequest& aCommand, Context& aContext)
{
  if (Outcome outcome = this->Check(aCommand, aContext.now); !outcome.Ok()) {
    return outcome;
  }
  const ClaimKey key{ aCommand.team, aCommand.idempotencyKey };
  const auto known = this->records.find(key);
  if (known != this->records.end()) {
    return this->HandleRepeatedClaim(known, aCommand, aContext);
  }
  if (this->records.size() >= this->maxClaims) {
    return Refuse(ErrorCode::Unavailable,
                  "not run: " + std::to_string(this->maxClaims) +
                    " claims are live");
  }
  ClaimRecord record;
  record.requestDigest = aCommand.requestDigest;
  record.entry = aCommand.entry;
  record.claimedAt = aContext.now;
  const auto added = this->records.emplace(key, std::move(record)).first;
  this->expiry.emplace_back(aContext.now, added);
  return MakeClaimOutcome(true, added->second);
}

Outcome
ClaimTable::Check(const ClaimRequest& aCommand, WallTime aNow) const
{
  if (aCommand.idempotencyKey.empty() ||
      aCommand.idempotencyKey.size() > kMaxIdempotencyKeyBytes ||
      aCommand.requestDigest.size() > kMaxRequestDigestBytes) {
    return Refuse(ErrorCode::InvalidArgument,
                  "not run: an idempotency key has 1 to 256 bytes");
  }
  if (aCommand.createdAt + kClaimWindow <= aNow) {
    return Refuse(ErrorCode::InvalidArgument,
                  "not run: the request was created more than 24 h ago");
  }
  if (aCommand.createdAt > aNow + kMaxCreationTimeSkew) {
    return Refuse(ErrorCode::InvalidArgument,
                  "not run: the creation time of the request is in the future");
  }
  return Accept();
}

Outcome
ClaimTable::HandleRepeatedClaim(Map::iterator aKnown,
                                const ClaimRequest& aCommand,
                                Context& aContext)
{
  ClaimRecord& record = aKnown->second;
  if (record.requestDigest != aCommand.requestDigest) {
    return Refuse(ErrorCode::Conflict,
                  "not run: the idempotency key was used for another request");
  }
  if (record.state != ClaimState::NotRun) {
    return MakeClaimOutcome(false, record);
  }
  record.state = ClaimState::Running;
  record.entry = aCommand.entry;
  record.attempt += 1;
  if (record.claimedAt != aContext.now) {
    record.claimedAt = aContext.now;
    this->expiry.emplace_back(aContext.now, aKnown);
  }
  return MakeClaimOutcome(true, record);
}

Outcome
ClaimTable::Finish(const FinishClaim& aCommand)
{
  const auto known =
    this->records.find({ aCommand.team, aCommand.idempotencyKey });
  if (known == this->records.end()) {
    return Refuse(ErrorCode::NotFound, "no such claim is live");
  }
  if (aCommand.state == ClaimState::Running) {
    return Refuse(ErrorCode::InvalidArgument, "a claim cannot end as running");
  }
  ClaimRecord& record = known->second;
  if (record.attempt != aCommand.attempt) {
    return Refuse(ErrorCode::Conflict, "this attempt is not the last one");
  }
  if (record.state != ClaimState::Running) {
    return record.state == aCommand.state
             ? AcceptRepeated("the claim has ended before")
             : Refuse(ErrorCode::Conflict, "the claim has ended otherwise");
  }
  record.state = aCommand.state;
  record.status = aCommand.state == ClaimState::Done ? aCommand.status : 0;
  return Accept();
}

void
ClaimTable::Expire(WallTime aNow)
{
  while (!this->expiry.empty()) {
    const auto [claimedAt, record] = this->expiry.front();
    if (claimedAt + kClaimRetention > aNow) {
      return;
    }
    this->expiry.pop_front();
    if (record->second.claimedAt == claimedAt) {
      this->records.erase(record);
    }
  }
}

void
ClaimTable::Load(Map aRecords)
{
  this->records = std::move(aRecords);
  this->expiry.clear();
  for (auto entry = this->records.begin(); entry != this->records.end();
       ++entry) {
    this->expiry.emplace_back(entry->second.claimedAt, entry);
  }
  std::ranges::stable_sort(
    this->expiry, {}, &std::pair<WallTime, Map::iterator>::first);
}

} // namespace hyssoppaddle::state
