// Event dispatch, durable state and role changes of a Raft replica.
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

namespace {

// Number of missed heartbeats after which a learner reports no leader.
constexpr int kLearnerMissedHeartbeats = 3;
// Pre-votes are asked for again this many times per election timeout.
constexpr int kPreVotesPerTimeout = 4;

} // namespace

Raft::Impl::Impl(InstanceId aSelf,
                 Configuration aInitial,
                 RecoveredLog aRecovered,
                 std::uint64_t aSeed,
                 Time aNow,
                 RaftTimes aTimes,
                 RaftLimits aLimits)
  : self(std::move(aSelf))
  , times(aTimes)
  , limits(aLimits)
  , random(aSeed)
  , now(aNow)
  , currentHardState(aRecovered.hardState)
{
  const SnapshotMeta& meta = aRecovered.snapshotMeta;
  if (meta.index > 0) {
    this->log = ReplicaLog(meta.index, meta.term, meta.configuration);
    this->snapshot = std::make_shared<StoredSnapshot>(
      StoredSnapshot{ meta,
                      aRecovered.snapshotBytes,
                      SnapshotDigest(aRecovered.snapshotBytes) });
  } else {
    this->log = ReplicaLog(0, 0, std::move(aInitial));
  }
  for (LogEntry& entry : aRecovered.entries) {
    // A process that is restarted again and again would never take a snapshot.
    this->bytesSinceSnapshot += entry.payload.size();
    this->log.Append(std::move(entry));
  }
  this->emittedHardState = this->currentHardState;
  this->currentHardState.recovering =
    this->currentHardState.recovering || !aRecovered.voteStateIntact;
  while (this->currentHardState.recovering && this->recoveryNonce == 0) {
    this->recoveryNonce = this->random.Next();
  }
  this->durableIndex = this->log.LastIndex();
  this->commitIndex = meta.index;
  this->appliedIndex = meta.index;
  // No leader is known yet, so the leader lease must not block votes.
  this->lastLeaderContact = aNow - this->times.maxElectionTimeout;
  this->ScheduleFirstCampaign();
}

Effects
Raft::Impl::Step(const Event& aEvent, Time aNow)
{
  this->now = std::max(this->now, aNow);
  this->effects.clear();
  this->Start();
  std::visit([this](const auto& aTyped) { this->Handle(aTyped); }, aEvent);
  this->EmitPersist();
  this->ReportRole();
  return std::exchange(this->effects, {});
}

void
Raft::Impl::Start()
{
  if (this->started) {
    return;
  }
  this->started = true;
  if (this->snapshot) {
    this->effects.emplace_back(
      RestoreSnapshot{ this->snapshot->meta, this->snapshot->bytes });
  }
}

void
Raft::Impl::Handle(const Tick& /*aEvent*/)
{
  if (this->role == Role::Leader) {
    this->LeaderTick();
    return;
  }
  this->ElectionTick();
}

void
Raft::Impl::Handle(const MessageReceived& aEvent)
{
  std::visit([&](const auto& aTyped) { this->On(aEvent.from, aTyped); },
             aEvent.message);
}

void
Raft::Impl::Handle(const Propose& aEvent)
{
  if (this->role != Role::Leader || this->transferring) {
    const bool known = this->role != Role::Leader;
    this->effects.emplace_back(ProposalFailed{
      aEvent.token, false, known ? this->leader : this->transferTarget });
    return;
  }
  const LogIndex index = this->log.LastIndex() + 1;
  this->proposals[index] = aEvent.token;
  this->AppendLocal(LogEntry{
    index, this->currentHardState.term, EntryKind::Command, aEvent.payload });
  this->Broadcast();
}

void
Raft::Impl::Handle(const Persisted& aEvent)
{
  std::vector<DeferredMessage> deferred;
  while (!this->outstanding.empty() &&
         this->outstanding.front().sequence <= aEvent.sequence) {
    OutstandingPersist& done = this->outstanding.front();
    this->durableIndex = std::max(this->durableIndex, done.lastIndex);
    std::move(
      done.deferred.begin(), done.deferred.end(), std::back_inserter(deferred));
    this->outstanding.pop_front();
  }
  this->ReleaseDeferred(std::move(deferred));
  if (this->role == Role::Candidate &&
      aEvent.sequence >= this->ownVoteSequence) {
    this->votes.insert(this->self);
    this->CountVotes();
  }
  if (this->role == Role::Leader) {
    this->AdvanceCommit();
  }
}

void
Raft::Impl::Handle(const SnapshotTaken& aEvent)
{
  this->requestedSnapshotIndex = 0;
  const LogIndex index = aEvent.meta.index;
  if (this->snapshot && index <= this->snapshot->meta.index) {
    return; // a newer snapshot has already been installed
  }
  this->snapshot = std::make_shared<StoredSnapshot>(
    StoredSnapshot{ aEvent.meta, aEvent.bytes, SnapshotDigest(aEvent.bytes) });
  if (index > this->log.BaseIndex()) {
    this->log.CompactTo(
      this->log.CompactionIndex(std::min(index, this->log.LastIndex()),
                                this->limits.entriesKeptAfterSnapshot,
                                this->limits.bytesKeptAfterSnapshot));
  }
}

// Deferred messages depend on durable state. They wait for the Persist effect
// of the same step or, without one, for the last outstanding Persist effect.
void
Raft::Impl::EmitPersist()
{
  const bool changed = this->currentHardState != this->emittedHardState;
  std::vector<DeferredMessage> deferred =
    std::exchange(this->deferredThisStep, {});
  if (changed || this->pendingPersist.truncateFrom ||
      !this->pendingPersist.entries.empty() || this->pendingPersist.snapshot) {
    PendingPersist pending = std::exchange(this->pendingPersist, {});
    Persist persist;
    persist.sequence = ++this->lastSequence;
    if (changed) {
      persist.hardState = this->currentHardState;
      this->emittedHardState = this->currentHardState;
      this->hardStateSequence = persist.sequence;
    }
    const bool entries = !pending.entries.empty();
    const LogIndex last = entries ? pending.entries.back().index : 0;
    persist.truncateFrom = pending.truncateFrom;
    persist.entries = std::move(pending.entries);
    LogIndex durable = last;
    if (pending.snapshot) {
      persist.snapshotMeta = pending.snapshot->meta;
      persist.snapshotBytes = pending.snapshot->bytes;
      durable = std::max(durable, pending.snapshot->meta.index);
    }
    this->outstanding.push_back({ persist.sequence, durable, {} });
    this->effects.insert(this->effects.begin(), std::move(persist));
  }
  if (this->outstanding.empty()) {
    this->ReleaseDeferred(std::move(deferred));
    return;
  }
  std::vector<DeferredMessage>& waiting = this->outstanding.back().deferred;
  std::move(deferred.begin(), deferred.end(), std::back_inserter(waiting));
}

// Of consecutive accepting replies to the same leader only the last is sent, as
// it subsumes the earlier ones.
void
Raft::Impl::ReleaseDeferred(std::vector<DeferredMessage> aDeferred)
{
  const auto acceptance = [](const DeferredMessage& aMessage) {
    const auto* reply = std::get_if<AppendReply>(&aMessage.message);
    return reply != nullptr && reply->accepted ? reply : nullptr;
  };
  for (std::size_t i = 0; i < aDeferred.size(); ++i) {
    const AppendReply* current = acceptance(aDeferred[i]);
    const AppendReply* next =
      i + 1 < aDeferred.size() ? acceptance(aDeferred[i + 1]) : nullptr;
    const bool contained =
      current != nullptr && next != nullptr &&
      aDeferred[i].to == aDeferred[i + 1].to && current->term == next->term &&
      current->recovery == next->recovery &&
      current->matchIndex <= next->matchIndex && current->round <= next->round;
    if (!contained) {
      this->Send(aDeferred[i].to, std::move(aDeferred[i].message));
    }
  }
}

void
Raft::Impl::ReportRole()
{
  RoleChanged current{ this->role, this->currentHardState.term, this->leader };
  const bool same = this->reported && this->reported->role == current.role &&
                    this->reported->term == current.term &&
                    this->reported->leader == current.leader;
  if (!same) {
    this->reported = current;
    this->effects.emplace_back(std::move(current));
  }
}

void
Raft::Impl::Send(const InstanceId& aTo, Message aMessage)
{
  this->effects.emplace_back(SendMessage{ aTo, std::move(aMessage) });
}

void
Raft::Impl::SendWhenDurable(const InstanceId& aTo, Message aMessage)
{
  this->deferredThisStep.push_back({ aTo, std::move(aMessage) });
}

void
Raft::Impl::SendAtTerm(const InstanceId& aTo, Message aMessage)
{
  if (this->IsTermDurable()) {
    this->Send(aTo, std::move(aMessage));
    return;
  }
  this->SendWhenDurable(aTo, std::move(aMessage));
}

bool
Raft::Impl::IsTermDurable() const
{
  return this->currentHardState == this->emittedHardState &&
         (this->outstanding.empty() ||
          this->outstanding.front().sequence > this->hardStateSequence);
}

void
Raft::Impl::AppendLocal(LogEntry aEntry)
{
  this->bytesSinceSnapshot += aEntry.payload.size();
  this->pendingPersist.entries.push_back(aEntry);
  this->log.Append(std::move(aEntry));
}

// aFrom must be above the commit index.
void
Raft::Impl::TruncateLocal(LogIndex aFrom)
{
  this->log.TruncateFrom(aFrom);
  this->pendingPersist.truncateFrom =
    std::min(aFrom, this->pendingPersist.truncateFrom.value_or(aFrom));
  std::erase_if(this->pendingPersist.entries,
                [&](const LogEntry& aEntry) { return aEntry.index >= aFrom; });
  this->durableIndex = std::min(this->durableIndex, aFrom - 1);
  for (OutstandingPersist& waiting : this->outstanding) {
    waiting.lastIndex = std::min(waiting.lastIndex, aFrom - 1);
  }
}

void
Raft::Impl::AdoptTerm(Term aTerm)
{
  this->currentHardState.term = aTerm;
  this->currentHardState.votedFor = InstanceId();
  this->BecomeFollower(InstanceId());
}

void
Raft::Impl::BecomeFollower(const InstanceId& aLeader)
{
  const Role before = std::exchange(this->role, Role::Follower);
  this->leader = aLeader;
  this->votes.clear();
  if (before != Role::Follower) {
    this->ResetElectionDeadline();
  }
  if (before == Role::Leader) {
    this->FailPending();
  }
}

void
Raft::Impl::FailPending()
{
  for (const auto& [index, token] : this->proposals) {
    this->effects.emplace_back(ProposalFailed{ token, true, this->leader });
  }
  this->proposals.clear();
  for (const std::uint64_t token : this->activeReadRound.tokens) {
    this->effects.emplace_back(ReadFailed{ token, this->leader });
  }
  for (const std::uint64_t token : this->pendingReads) {
    this->effects.emplace_back(ReadFailed{ token, this->leader });
  }
  this->activeReadRound = {};
  this->pendingReads.clear();
  this->progress.clear();
  this->transferring = false;
}

// A replica that cannot campaign uses the deadline only to drop a leader that
// no longer sends messages.
void
Raft::Impl::ResetElectionDeadline()
{
  if (!this->MayCampaign() && !this->IsEmptyReplica()) {
    this->electionDeadline =
      this->now + kLearnerMissedHeartbeats * this->times.learnerHeartbeat;
    return;
  }
  const Duration timeout = this->random.Between(this->times.minElectionTimeout,
                                                this->times.maxElectionTimeout);
  // A refused pre-vote binds nobody, and the others may grant the next one a
  // moment later: when their contact with the leader is old enough, or when a
  // partition has ended.
  const bool isPreVote = this->role == Role::PreCandidate;
  this->electionDeadline =
    this->now + (isPreVote ? timeout / kPreVotesPerTimeout : timeout);
}

void
Raft::Impl::ApplyCommitted()
{
  if (this->appliedIndex >= this->commitIndex) {
    return;
  }
  ApplyEntries apply;
  while (this->appliedIndex < this->commitIndex) {
    ++this->appliedIndex;
    apply.entries.push_back(this->log.At(this->appliedIndex));
  }
  this->effects.emplace_back(std::move(apply));
  while (!this->proposals.empty() &&
         this->proposals.begin()->first <= this->commitIndex) {
    const auto [index, token] = *this->proposals.begin();
    this->effects.emplace_back(ProposalCommitted{ token, index });
    this->proposals.erase(this->proposals.begin());
  }
  this->MaybeTakeSnapshot();
}

void
Raft::Impl::MaybeTakeSnapshot()
{
  const LogIndex last = this->snapshot ? this->snapshot->meta.index : 0;
  const bool due =
    this->appliedIndex - last >= this->limits.snapshotAfterEntries ||
    this->bytesSinceSnapshot >= this->limits.snapshotAfterBytes;
  if (this->requestedSnapshotIndex != 0 || !due || this->appliedIndex <= last) {
    return;
  }
  this->requestedSnapshotIndex = this->appliedIndex;
  this->bytesSinceSnapshot = 0;
  this->effects.emplace_back(TakeSnapshot{
    SnapshotMeta{ this->appliedIndex,
                  this->log.TermAt(this->appliedIndex).value_or(0),
                  this->log.ConfigurationAt(this->appliedIndex) } });
}

bool
Raft::Impl::IsVoter(const InstanceId& aReplica) const
{
  const auto& voters = this->log.ActiveConfiguration().voters;
  return std::binary_search(voters.begin(), voters.end(), aReplica);
}

std::size_t
Raft::Impl::Majority() const
{
  return this->log.ActiveConfiguration().voters.size() / 2 + 1;
}

Time
Raft::Impl::NextTick() const
{
  if (this->role == Role::Leader) {
    return this->LeaderNextTick();
  }
  const bool hasElectionTimer = this->MayCampaign() || this->IsEmptyReplica();
  if (hasElectionTimer || !this->leader.empty()) {
    return this->electionDeadline + this->campaignDelay;
  }
  return Time::max();
}

Raft::Raft(InstanceId aSelf,
           Configuration aInitial,
           RecoveredLog aRecovered,
           std::uint64_t aSeed,
           Time aNow,
           RaftTimes aTimes,
           RaftLimits aLimits)
  : impl(std::make_unique<Impl>(std::move(aSelf),
                                std::move(aInitial),
                                std::move(aRecovered),
                                aSeed,
                                aNow,
                                aTimes,
                                aLimits))
{
}

Raft::~Raft() = default;
Raft::Raft(Raft&&) noexcept = default;
Raft&
Raft::operator=(Raft&&) noexcept = default;

Effects
Raft::Step(const Event& aEvent, Time aNow)
{
  return this->impl->Step(aEvent, aNow);
}

void
Raft::DelayCampaigns(Duration aDelay)
{
  this->impl->campaignDelay = aDelay;
}

Time
Raft::NextTick() const
{
  return this->impl->NextTick();
}

Role
Raft::CurrentRole() const
{
  return this->impl->role;
}

Term
Raft::CurrentTerm() const
{
  return this->impl->currentHardState.term;
}

const InstanceId&
Raft::Leader() const
{
  return this->impl->leader;
}

LogIndex
Raft::CommitIndex() const
{
  return this->impl->commitIndex;
}

LogIndex
Raft::LastIndex() const
{
  return this->impl->log.LastIndex();
}

const Configuration&
Raft::ActiveConfiguration() const
{
  return this->impl->log.ActiveConfiguration();
}

} // namespace hyssoppaddle::agreement
