// Leader side of replication: appends, heartbeats and the commit index.
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace hyssoppaddle::agreement {

void
Raft::Impl::LeaderTick()
{
  if (this->now >= this->QuorumDeadline()) {
    this->BecomeFollower(InstanceId());
    return;
  }
  if (this->transferring && this->now >= this->transferDeadline) {
    this->transferring = false;
  }
  this->DropRemovedReplicas();
  for (auto& [replica, state] : this->progress) {
    if (this->now - state.lastSent >= this->HeartbeatInterval(replica)) {
      this->SendHeartbeat(replica, state);
    }
  }
}

Time
Raft::Impl::LeaderNextTick() const
{
  Time next = this->QuorumDeadline();
  if (this->transferring) {
    next = std::min(next, this->transferDeadline);
  }
  for (const auto& [replica, state] : this->progress) {
    next = std::min(next, state.lastSent + this->HeartbeatInterval(replica));
  }
  return next;
}

Duration
Raft::Impl::HeartbeatInterval(const InstanceId& aReplica) const
{
  return this->IsVoter(aReplica) ? this->times.voterHeartbeat
                                 : this->times.learnerHeartbeat;
}

// Time at which the leader steps down unless more replies arrive: the minimum
// election timeout after the oldest of the latest replies of the majority that
// replied most recently.
Time
Raft::Impl::QuorumDeadline() const
{
  std::vector<Time> heard;
  for (const InstanceId& voter : this->log.ActiveConfiguration().voters) {
    if (voter == this->self) {
      heard.push_back(Time::max() - this->times.minElectionTimeout);
      continue;
    }
    const auto found = this->progress.find(voter);
    const bool counts =
      found != this->progress.end() && found->second.recovery == 0;
    const std::optional<Time> last =
      counts ? found->second.lastHeard : std::nullopt;
    heard.push_back(std::max(last.value_or(this->electedAt), this->electedAt));
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  const std::size_t needed = this->Majority();
  return heard[needed - 1] + this->times.minElectionTimeout;
}

// Creates a Progress for each other replica of the configuration that has none;
// it starts by probing at aNext.
void
Raft::Impl::SyncProgress(LogIndex aNext)
{
  const Configuration& active = this->log.ActiveConfiguration();
  const auto add = [&](const InstanceId& aReplica) {
    if (aReplica == this->self) {
      return;
    }
    const auto [found, isNew] = this->progress.try_emplace(aReplica);
    if (isNew || found->second.removedAt) {
      found->second.trackedSince = this->now;
    }
    found->second.removedAt.reset();
    if (isNew) {
      found->second.next = aNext;
      found->second.lastSent = this->now;
    }
  };
  std::for_each(active.voters.begin(), active.voters.end(), add);
  std::for_each(active.learners.begin(), active.learners.end(), add);
}

void
Raft::Impl::Broadcast()
{
  for (auto& [replica, state] : this->progress) {
    this->SendPending(replica, state);
  }
}

// A heartbeat also detects lost appends: its previous index is the last one
// sent, so a replica that lacks that entry rejects it and the leader resends.
void
Raft::Impl::SendHeartbeat(const InstanceId& aTo, Progress& aProgress)
{
  if (aProgress.state == FlowState::Snapshot) {
    aProgress.sentOffset = aProgress.ackedOffset;
    this->SendChunks(aTo, aProgress);
    return;
  }
  this->SendAppend(aTo, aProgress, aProgress.state == FlowState::Probe);
}

void
Raft::Impl::SendAppend(const InstanceId& aTo,
                       Progress& aProgress,
                       bool aWithEntries)
{
  // While a snapshot is being sent, an append only carries the round number.
  const bool installing = aProgress.state == FlowState::Snapshot;
  const LogIndex previous =
    installing ? this->log.LastIndex() : aProgress.next - 1;
  const std::optional<Term> previousTerm = this->log.TermAt(previous);
  if (!previousTerm) {
    this->StartSnapshot(aTo, aProgress);
    return;
  }
  AppendRequest request;
  request.term = this->currentHardState.term;
  request.previousIndex = previous;
  request.previousTerm = *previousTerm;
  request.commitIndex = this->commitIndex;
  request.round = this->round;
  if (aProgress.recovery != 0 && std::min(aProgress.match, this->commitIndex) >=
                                   aProgress.recoveryTarget) {
    request.recovered = aProgress.recovery;
  }
  if (aWithEntries) {
    request.entries = this->log.Slice(aProgress.next,
                                      this->limits.maxEntriesPerAppend,
                                      this->limits.maxBytesPerAppend);
  }
  if (aProgress.state == FlowState::Probe) {
    aProgress.probeSent = true;
  } else if (!request.entries.empty()) {
    aProgress.next = request.entries.back().index + 1;
    aProgress.inFlight.push_back(request.entries.back().index);
  }
  aProgress.sentCommit = this->commitIndex;
  if (!installing) {
    aProgress.lastSent = this->now; // SendChunk sets it during a snapshot
  }
  this->Send(aTo, std::move(request));
}

// Sends entries as far as the window allows. Without entries it sends a new
// commit index, so that replicas need not wait for a heartbeat to apply it.
void
Raft::Impl::SendPending(const InstanceId& aTo, Progress& aProgress)
{
  const auto hasEntries = [&] {
    return aProgress.next <= this->log.LastIndex();
  };
  if (aProgress.state == FlowState::Probe) {
    if (!aProgress.probeSent && hasEntries()) {
      this->SendAppend(aTo, aProgress, true);
    }
    return;
  }
  while (aProgress.state == FlowState::Replicate && hasEntries() &&
         aProgress.inFlight.size() < this->limits.maxAppendsInFlight) {
    this->SendAppend(aTo, aProgress, true);
  }
  if (aProgress.state == FlowState::Replicate && aProgress.inFlight.empty() &&
      aProgress.sentCommit < this->commitIndex) {
    this->SendAppend(aTo, aProgress, false);
  }
}

// Counts copies only of entries of the current term; committing one of them
// also commits all earlier entries.
void
Raft::Impl::AdvanceCommit()
{
  std::vector<LogIndex> durable;
  for (const InstanceId& voter : this->log.ActiveConfiguration().voters) {
    if (voter == this->self) {
      durable.push_back(this->durableIndex);
      continue;
    }
    const auto found = this->progress.find(voter);
    const bool counts =
      found != this->progress.end() && found->second.recovery == 0;
    durable.push_back(counts ? found->second.match : 0);
  }
  std::sort(durable.begin(), durable.end(), std::greater<>());
  const LogIndex agreed = durable[this->Majority() - 1];
  if (agreed <= this->commitIndex || agreed < this->termStart) {
    return;
  }
  this->commitIndex = agreed;
  this->ApplyCommitted();
  this->FinishRemovals();
  if (this->role == Role::Leader) {
    this->StartReadRound();
    this->Broadcast();
  }
}

void
Raft::Impl::On(const InstanceId& aFrom, const AppendReply& aReply)
{
  Progress* state =
    this->RecordReply(aFrom, aReply.term, aReply.round, aReply.recovery);
  if (state == nullptr) {
    return;
  }
  if (state->state != FlowState::Snapshot) {
    if (aReply.accepted) {
      this->OnAccepted(*state, aReply.matchIndex);
    } else {
      this->OnRejected(*state, aReply.hint);
    }
    this->SendPending(aFrom, *state);
  }
  this->AdvanceCommit();
  if (this->role == Role::Leader) {
    this->CheckReadRound();
    this->TryTransfer();
  }
}

// Returns null if the reply is not for this leader and term.
Progress*
Raft::Impl::RecordReply(const InstanceId& aFrom,
                        Term aTerm,
                        std::uint64_t aRound,
                        std::uint64_t aRecovery)
{
  const auto found = this->progress.find(aFrom);
  if (this->role != Role::Leader || found == this->progress.end()) {
    return nullptr; // a removed replica has no effect on this leader
  }
  if (aTerm > this->currentHardState.term) {
    this->AdoptTerm(aTerm);
    return nullptr;
  }
  if (aTerm < this->currentHardState.term) {
    return nullptr;
  }
  if (!this->TrackRecovery(found->second, aRecovery)) {
    return nullptr;
  }
  found->second.lastHeard = this->now;
  found->second.ackedRound = std::max(found->second.ackedRound, aRound);
  return &found->second;
}

// Returns false for a reply that was sent before the replica lost its storage.
bool
Raft::Impl::TrackRecovery(Progress& aProgress, std::uint64_t aRecovery)
{
  if (aRecovery == aProgress.recovery) {
    return true;
  }
  if (aRecovery == 0) {
    const bool isRecoveryConfirmed =
      std::min(aProgress.match, this->commitIndex) >= aProgress.recoveryTarget;
    if (isRecoveryConfirmed) {
      aProgress.recovery = 0;
    }
    return isRecoveryConfirmed;
  }
  aProgress.recovery = aRecovery;
  aProgress.match = 0;
  aProgress.recoveryTarget = this->log.LastIndex() + 1;
  this->AppendLocal(LogEntry{ aProgress.recoveryTarget,
                              this->currentHardState.term,
                              EntryKind::Empty,
                              {} });
  this->Broadcast();
  return true;
}

void
Raft::Impl::OnAccepted(Progress& aProgress, LogIndex aMatch)
{
  aProgress.match = std::max(aProgress.match, aMatch);
  aProgress.probeSent = false;
  while (!aProgress.inFlight.empty() && aProgress.inFlight.front() <= aMatch) {
    aProgress.inFlight.pop_front();
  }
  if (aProgress.state == FlowState::Probe) {
    aProgress.state = FlowState::Replicate;
    aProgress.next = aProgress.match + 1;
    aProgress.inFlight.clear();
  }
  aProgress.next = std::max(aProgress.next, aProgress.match + 1);
}

// A hint at or below the match index comes from a delayed reply or from lost
// storage. Lowering the match index is safe in both cases; a later reply raises
// it again.
void
Raft::Impl::OnRejected(Progress& aProgress, LogIndex aHint)
{
  const LogIndex hint = std::max<LogIndex>(aHint, 1);
  aProgress.match = std::min(aProgress.match, hint - 1);
  aProgress.state = FlowState::Probe;
  aProgress.probeSent = false;
  aProgress.inFlight.clear();
  aProgress.next = std::min(hint, this->log.LastIndex() + 1);
}

std::optional<Time>
Raft::LastHeard(const InstanceId& aReplica) const
{
  const auto found = this->impl->progress.find(aReplica);
  if (found == this->impl->progress.end()) {
    return std::nullopt;
  }
  const Progress& state = found->second;
  const bool isStale = state.lastHeard && state.linkLostAt &&
                       *state.lastHeard <= *state.linkLostAt;
  return isStale ? std::nullopt : state.lastHeard;
}

bool
Raft::IsCaughtUp(const InstanceId& aLearner) const
{
  return this->impl->IsCaughtUp(aLearner);
}

std::optional<Time>
Raft::LastContact(const InstanceId& aReplica) const
{
  const auto found = this->impl->progress.find(aReplica);
  if (found == this->impl->progress.end()) {
    return std::nullopt;
  }
  const Progress& state = found->second;
  return std::max(state.lastHeard.value_or(Time{}), state.trackedSince);
}

} // namespace hyssoppaddle::agreement
