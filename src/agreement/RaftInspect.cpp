// Inspection of a replica: sizes and positions, and its copies and fingerprints
// for tests that explore all interleavings of several replicas up to a bounded
// depth.
#include "agreement/ConfigurationCodec.h"
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace hyssoppaddle::agreement {

namespace {

// Serializes the parts of a state in a fixed order.
class Writer
{
public:
  std::string text;

  void Put(std::uint64_t aNumber)
  {
    this->text += std::to_string(aNumber);
    this->text += ' ';
  }
  void Put(const std::string& aText)
  {
    this->Put(aText.size());
    this->text += aText;
  }
  void Put(const InstanceId& aId) { this->Put(aId.value); }
  // Only time differences affect decisions; they are clamped to 10 s.
  void PutAge(Time aTime, Time aNow)
  {
    constexpr Duration kMaxAge{ std::chrono::seconds(10) };
    const Duration age = std::clamp(aNow - aTime, -kMaxAge, kMaxAge);
    this->text += std::to_string(age.count());
    this->text += ' ';
  }
  void Put(const LogEntry& aEntry)
  {
    this->Put(aEntry.index);
    this->Put(aEntry.term);
    this->Put(static_cast<std::uint64_t>(aEntry.kind));
    this->Put(aEntry.payload);
  }
  void Put(const HardState& aState)
  {
    this->Put(aState.term);
    this->Put(aState.votedFor);
    this->Put(std::uint64_t{ aState.recovering });
  }
  void Put(const SnapshotMeta& aMeta)
  {
    this->Put(aMeta.index);
    this->Put(aMeta.term);
    this->Put(PackConfiguration(aMeta.configuration));
  }
  void Put(const VoteRequest& aMessage)
  {
    this->Put(aMessage.term);
    this->Put(std::uint64_t{ aMessage.preVote });
    this->Put(aMessage.lastIndex);
    this->Put(aMessage.lastTerm);
    this->Put(std::uint64_t{ aMessage.transfer });
  }
  void Put(const VoteReply& aMessage)
  {
    this->Put(aMessage.term);
    this->Put(std::uint64_t{ aMessage.preVote });
    this->Put(std::uint64_t{ aMessage.granted });
  }
  void Put(const AppendRequest& aMessage)
  {
    this->Put(aMessage.term);
    this->Put(aMessage.previousIndex);
    this->Put(aMessage.previousTerm);
    this->Put(aMessage.commitIndex);
    this->Put(aMessage.round);
    this->Put(aMessage.recovered);
    for (const LogEntry& entry : aMessage.entries) {
      this->Put(entry);
    }
  }
  void Put(const AppendReply& aMessage)
  {
    this->Put(aMessage.term);
    this->Put(std::uint64_t{ aMessage.accepted });
    this->Put(aMessage.matchIndex);
    this->Put(aMessage.hint);
    this->Put(aMessage.round);
    this->Put(aMessage.recovery);
  }
  void Put(const SnapshotChunk& aMessage)
  {
    this->Put(aMessage.term);
    this->Put(aMessage.meta);
    this->Put(aMessage.offset);
    this->Put(aMessage.digest);
    this->Put(aMessage.round);
  }
  void Put(const SnapshotReply& aMessage)
  {
    this->Put(aMessage.term);
    this->Put(aMessage.index);
    this->Put(aMessage.nextOffset);
    this->Put(std::uint64_t{ aMessage.installed });
    this->Put(aMessage.round);
    this->Put(aMessage.recovery);
  }
  void Put(const TimeoutNow& aMessage) { this->Put(aMessage.term); }
  void PutMessage(const Message& aMessage)
  {
    this->Put(std::uint64_t{ aMessage.index() });
    std::visit([&](const auto& aTyped) { this->Put(aTyped); }, aMessage);
  }
  void PutFlow(const Progress& aProgress, Time aNow)
  {
    this->Put(static_cast<std::uint64_t>(aProgress.state));
    this->Put(aProgress.match);
    this->Put(aProgress.next);
    for (const LogIndex last : aProgress.inFlight) {
      this->Put(last);
    }
    this->Put(std::uint64_t{ aProgress.probeSent });
    this->Put(aProgress.sentCommit);
    this->Put(aProgress.ackedRound);
    this->PutAge(aProgress.lastSent, aNow);
    this->PutAge(aProgress.lastHeard.value_or(Time()), aNow);
    this->PutAge(aProgress.linkLostAt.value_or(Time()), aNow);
    this->Put(aProgress.ackedOffset);
    this->Put(aProgress.sentOffset);
    this->Put(aProgress.recovery);
    this->Put(aProgress.recoveryTarget);
    this->Put(aProgress.removedAt.value_or(0));
  }
};

} // namespace

std::uint64_t
FingerprintOf(const Message& aMessage)
{
  Writer writer;
  writer.PutMessage(aMessage);
  return XXH64(writer.text.data(), writer.text.size(), 0);
}

std::uint64_t
Raft::Impl::Fingerprint() const
{
  Writer writer;
  writer.Put(this->currentHardState);
  writer.Put(this->emittedHardState);
  writer.Put(this->log.BaseIndex());
  for (LogIndex at = this->log.BaseIndex() + 1; at <= this->log.LastIndex();
       ++at) {
    writer.Put(this->log.At(at));
  }
  writer.Put(PackConfiguration(this->log.ActiveConfiguration()));
  writer.Put(this->snapshot ? this->snapshot->meta.index : 0);
  writer.Put(this->durableIndex);
  writer.Put(this->lastSequence - this->hardStateSequence);
  for (const OutstandingPersist& waiting : this->outstanding) {
    writer.Put(this->lastSequence - waiting.sequence);
    writer.Put(waiting.lastIndex);
    for (const DeferredMessage& deferred : waiting.deferred) {
      writer.Put(deferred.to);
      writer.PutMessage(deferred.message);
    }
  }
  writer.Put(static_cast<std::uint64_t>(this->role));
  writer.Put(this->leader);
  writer.Put(this->commitIndex);
  writer.Put(this->appliedIndex);
  writer.Put(this->requestedSnapshotIndex);
  writer.PutAge(this->electionDeadline + this->campaignDelay, this->now);
  writer.PutAge(this->lastLeaderContact, this->now);
  writer.PutAge(this->leaderLinkLostAt.value_or(Time()), this->now);
  writer.PutAge(this->deadlineBeforeLinkLoss, this->now);
  writer.Put(this->recoveryNonce);
  for (const InstanceId& voter : this->votes) {
    writer.Put(voter);
  }
  writer.Put(this->lastSequence - this->ownVoteSequence);
  for (const InstanceId& peer : this->emptyPeers) {
    writer.Put(peer);
  }
  writer.Put(this->partial ? this->partial->bytes.size() : 0);
  for (const auto& [replica, state] : this->progress) {
    writer.Put(replica);
    writer.PutFlow(state, this->now);
  }
  for (const auto& [index, token] : this->proposals) {
    writer.Put(index);
    writer.Put(token);
  }
  writer.PutAge(this->electedAt, this->now);
  writer.Put(this->termStart);
  writer.Put(this->round);
  writer.Put(this->activeReadRound.round);
  writer.Put(this->pendingReads.size());
  writer.Put(std::uint64_t{ this->transferring });
  writer.Put(std::uint64_t{ this->timeoutNowSent });
  writer.Put(this->transferTarget);
  return XXH64(writer.text.data(), writer.text.size(), 0);
}

Raft::Raft(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

Raft
Raft::Copy() const
{
  return Raft(std::make_unique<Impl>(*this->impl));
}

std::uint64_t
Raft::Fingerprint() const
{
  return this->impl->Fingerprint();
}

std::size_t
Raft::LogBytes() const
{
  return this->impl->log.Bytes();
}

LogIndex
Raft::MatchIndex(const InstanceId& aReplica) const
{
  if (aReplica == this->impl->self) {
    return this->impl->durableIndex;
  }
  const auto found = this->impl->progress.find(aReplica);
  return found == this->impl->progress.end() ? 0 : found->second.match;
}

} // namespace hyssoppaddle::agreement
