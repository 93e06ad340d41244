// Follower side of replication: handles appends and snapshot chunks.
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

// Returns false if the sender is not the leader of the current term.
bool
Raft::Impl::AcceptLeader(const InstanceId& aFrom, Term aTerm)
{
  const bool leads = this->role == Role::Leader;
  if (aTerm < this->currentHardState.term ||
      (leads && aTerm == this->currentHardState.term)) {
    return false;
  }
  if (aTerm > this->currentHardState.term) {
    this->AdoptTerm(aTerm);
  }
  if (this->role != Role::Follower || this->leader != aFrom) {
    this->BecomeFollower(aFrom);
  }
  this->lastLeaderContact = this->now;
  this->leaderLinkLostAt.reset();
  this->ResetElectionDeadline();
  return true;
}

void
Raft::Impl::On(const InstanceId& aFrom, const AppendRequest& aRequest)
{
  if (!this->AcceptLeader(aFrom, aRequest.term)) {
    this->Reject(aFrom, 0, 0);
    return;
  }
  // Entries below the base are committed and therefore match.
  const LogIndex previous = aRequest.previousIndex;
  const bool matches = previous < this->log.BaseIndex() ||
                       this->log.TermAt(previous) == aRequest.previousTerm;
  if (!matches || !this->MergeEntries(aRequest)) {
    this->Reject(aFrom, this->RetryIndex(previous), aRequest.round);
    return;
  }
  const LogIndex verified = previous + aRequest.entries.size();
  this->CommitUpTo(std::min(aRequest.commitIndex, verified));
  if (aRequest.recovered != 0 && aRequest.recovered == this->recoveryNonce) {
    this->EndRecovery(aFrom);
  }
  this->Accept(aFrom, verified, aRequest.round);
}

// An append without new entries is answered at once with the durable index.
// Entries that are still being written are acknowledged by the deferred reply
// to the append that carried them.
void
Raft::Impl::Accept(const InstanceId& aTo,
                   LogIndex aVerified,
                   std::uint64_t aRound)
{
  AppendReply reply;
  reply.term = this->currentHardState.term;
  reply.accepted = true;
  reply.round = aRound;
  reply.recovery = this->recoveryNonce;
  if (this->pendingPersist.entries.empty()) {
    reply.matchIndex = std::min(aVerified, this->durableIndex);
    this->SendAtTerm(aTo, reply);
    return;
  }
  reply.matchIndex = aVerified;
  this->SendWhenDurable(aTo, reply);
}

void
Raft::Impl::Reject(const InstanceId& aTo, LogIndex aHint, std::uint64_t aRound)
{
  AppendReply reply;
  reply.term = this->currentHardState.term;
  reply.hint = aHint;
  reply.round = aRound;
  reply.recovery = this->recoveryNonce;
  this->SendAtTerm(aTo, reply);
}

// Lets the leader back up by a whole term per rejection instead of one entry.
LogIndex
Raft::Impl::RetryIndex(LogIndex aPrevious) const
{
  if (aPrevious > this->log.LastIndex()) {
    return this->log.LastIndex() + 1;
  }
  return std::max(this->log.FirstOfTerm(aPrevious), this->commitIndex + 1);
}

// Returns false if the request conflicts with a committed entry. This happens
// only after a majority has lost its storage; keeping the committed entries is
// then the only safe choice.
bool
Raft::Impl::MergeEntries(const AppendRequest& aRequest)
{
  for (const LogEntry& entry : aRequest.entries) {
    if (entry.index <= this->log.BaseIndex()) {
      continue;
    }
    const std::optional<Term> known = this->log.TermAt(entry.index);
    if (known == entry.term) {
      continue;
    }
    if (known && entry.index <= this->commitIndex) {
      return false;
    }
    if (known) {
      this->TruncateLocal(entry.index);
    }
    this->AppendLocal(entry);
  }
  return true;
}

void
Raft::Impl::CommitUpTo(LogIndex aIndex)
{
  if (aIndex > this->commitIndex) {
    this->commitIndex = aIndex;
    this->ApplyCommitted();
  }
}

void
Raft::Impl::EndRecovery(const InstanceId& aLeader)
{
  this->currentHardState.recovering = false;
  this->recoveryNonce = 0;
  if (this->currentHardState.votedFor.empty()) {
    // A vote in this term may have been lost with the storage. The leader of
    // the term is known, so no other vote is needed.
    this->currentHardState.votedFor = aLeader;
  }
  this->ResetElectionDeadline();
}

void
Raft::Impl::On(const InstanceId& aFrom, const SnapshotChunk& aChunk)
{
  if (!this->AcceptLeader(aFrom, aChunk.term)) {
    this->ReplySnapshot(aFrom, aChunk, 0, false);
    return;
  }
  if (aChunk.meta.index <= this->commitIndex) {
    this->partial.reset();
    this->ReplySnapshot(aFrom, aChunk, aChunk.totalBytes, true);
    return;
  }
  this->CollectChunk(aChunk);
  const std::uint64_t collected = this->partial->bytes.size();
  if (collected < aChunk.totalBytes) {
    this->ReplySnapshot(aFrom, aChunk, collected, false);
    return;
  }
  const bool installed = this->InstallCollectedSnapshot();
  this->ReplySnapshot(aFrom, aChunk, installed ? collected : 0, installed);
}

// Keeps chunks of the same snapshot that another leader has already sent.
void
Raft::Impl::CollectChunk(const SnapshotChunk& aChunk)
{
  const bool same = this->partial && this->partial->meta == aChunk.meta &&
                    this->partial->digest == aChunk.digest &&
                    this->partial->totalBytes == aChunk.totalBytes;
  if (!same) {
    this->partial =
      PartialSnapshot{ aChunk.meta, aChunk.digest, aChunk.totalBytes, {} };
  }
  std::string& bytes = this->partial->bytes;
  const bool fits = aChunk.offset == bytes.size() &&
                    aChunk.data.size() <= aChunk.totalBytes - bytes.size();
  if (fits) {
    bytes += aChunk.data;
  }
}

bool
Raft::Impl::InstallCollectedSnapshot()
{
  PartialSnapshot whole = std::move(*this->partial);
  this->partial.reset();
  if (SnapshotDigest(whole.bytes) != whole.digest) {
    return false;
  }
  const SnapshotMeta& meta = whole.meta;
  if (this->log.TermAt(meta.index) == meta.term) {
    this->log.CompactTo(meta.index); // the entries after it are still valid
  } else {
    if (this->log.LastIndex() >= meta.index) {
      // Removes only the conflicting entries: until the snapshot is durable,
      // entries below it may be copies that a commit relies on for its
      // majority.
      this->TruncateLocal(meta.index);
    }
    this->log = ReplicaLog(meta.index, meta.term, meta.configuration);
  }
  this->commitIndex = meta.index;
  this->appliedIndex = meta.index;
  this->requestedSnapshotIndex = 0;
  this->bytesSinceSnapshot = 0;
  this->effects.emplace_back(RestoreSnapshot{ meta, whole.bytes });
  this->snapshot = std::make_shared<StoredSnapshot>(
    StoredSnapshot{ meta, std::move(whole.bytes), whole.digest });
  this->pendingPersist.snapshot = this->snapshot;
  return true;
}

void
Raft::Impl::ReplySnapshot(const InstanceId& aTo,
                          const SnapshotChunk& aChunk,
                          std::uint64_t aNextOffset,
                          bool aInstalled)
{
  SnapshotReply reply;
  reply.term = this->currentHardState.term;
  reply.index = aChunk.meta.index;
  reply.nextOffset = aNextOffset;
  reply.installed = aInstalled;
  reply.round = aChunk.round;
  reply.recovery = this->recoveryNonce;
  if (aInstalled) {
    this->SendWhenDurable(aTo, reply);
  } else {
    this->SendAtTerm(aTo, reply);
  }
}

} // namespace hyssoppaddle::agreement
