// Single-server configuration changes and leadership transfer.
#include "agreement/ConfigurationCodec.h"
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

namespace {

// Number of entries that a learner may be behind when it is promoted. Under
// constant load it is always behind by the entries in flight.
constexpr LogIndex kMaxPromotionLagEntries = 64;

bool
Contains(const std::vector<InstanceId>& aNames, const InstanceId& aName)
{
  return std::binary_search(aNames.begin(), aNames.end(), aName);
}

void
Insert(std::vector<InstanceId>& aNames, const InstanceId& aName)
{
  aNames.insert(std::lower_bound(aNames.begin(), aNames.end(), aName), aName);
}

} // namespace

void
Raft::Impl::Handle(const ChangeConfiguration& aEvent)
{
  // A change must not start before an entry of this leader's term is committed.
  // Otherwise a change by an earlier leader could still take effect
  // concurrently.
  const bool ready = this->role == Role::Leader && !this->transferring &&
                     this->CommittedInTerm() &&
                     this->log.ConfigurationIndex() <= this->commitIndex;
  const std::optional<Configuration> next =
    ready ? this->ConfigurationAfter(aEvent) : std::nullopt;
  if (!next) {
    this->effects.emplace_back(
      ProposalFailed{ aEvent.token, false, this->leader });
    return;
  }
  const LogIndex index = this->log.LastIndex() + 1;
  this->proposals[index] = aEvent.token;
  if (aEvent.kind == ChangeKind::Remove) {
    const auto found = this->progress.find(aEvent.instance);
    if (found != this->progress.end()) {
      found->second.removedAt = index;
      found->second.removalDeadline =
        this->now + this->times.maxElectionTimeout;
    }
  }
  this->AppendLocal(LogEntry{ index,
                              this->currentHardState.term,
                              EntryKind::Configuration,
                              PackConfiguration(*next) });
  this->SyncProgress(index); // a new replica is probed at once
  this->Broadcast();
}

std::optional<Configuration>
Raft::Impl::ConfigurationAfter(const ChangeConfiguration& aChange) const
{
  Configuration next = this->log.ActiveConfiguration();
  const InstanceId& changedInstance = aChange.instance;
  const bool isVoter = Contains(next.voters, changedInstance);
  const bool isLearner = Contains(next.learners, changedInstance);
  switch (aChange.kind) {
    case ChangeKind::AddLearner:
      if (changedInstance.empty() || isVoter || isLearner ||
          next.voters.size() + next.learners.size() >=
            this->limits.maxReplicas) {
        return std::nullopt;
      }
      Insert(next.learners, changedInstance);
      return next;
    case ChangeKind::PromoteToVoter:
      if (!isLearner || !this->IsCaughtUp(changedInstance)) {
        return std::nullopt;
      }
      std::erase(next.learners, changedInstance);
      Insert(next.voters, changedInstance);
      break;
    case ChangeKind::Remove:
      if (!isVoter && !isLearner) {
        return std::nullopt;
      }
      std::erase(next.voters, changedInstance);
      std::erase(next.learners, changedInstance);
      break;
    case ChangeKind::DemoteToLearner:
      if (!isVoter) {
        return std::nullopt;
      }
      std::erase(next.voters, changedInstance);
      Insert(next.learners, changedInstance);
      break;
  }
  if (!this->HasLiveMajority(next)) {
    return std::nullopt;
  }
  return next;
}

bool
Raft::Impl::IsCaughtUp(const InstanceId& aLearner) const
{
  const auto found = this->progress.find(aLearner);
  if (found == this->progress.end() || !found->second.lastHeard) {
    return false;
  }
  const Progress& state = found->second;
  const Duration silence = this->now - *state.lastHeard;
  return state.state == FlowState::Replicate && state.recovery == 0 &&
         state.match + kMaxPromotionLagEntries >= this->commitIndex &&
         silence <= 2 * this->times.learnerHeartbeat;
}

// A change that leaves no majority of live voters would make the cluster
// permanently unavailable.
bool
Raft::Impl::HasLiveMajority(const Configuration& aNext) const
{
  const auto live = static_cast<std::size_t>(std::count_if(
    aNext.voters.begin(), aNext.voters.end(), [&](const InstanceId& aVoter) {
      if (aVoter == this->self) {
        return true;
      }
      const auto found = this->progress.find(aVoter);
      return found != this->progress.end() && found->second.recovery == 0 &&
             found->second.lastHeard &&
             this->now - *found->second.lastHeard <=
               2 * this->times.learnerHeartbeat;
    }));
  return !aNext.voters.empty() && live >= aNext.voters.size() / 2 + 1;
}

// A leader that removes itself continues until the removal is committed. It
// then transfers the leadership at once, so that the other voters need not wait
// for their election timeouts.
void
Raft::Impl::FinishRemovals()
{
  this->DropRemovedReplicas();
  if (this->role != Role::Leader || this->IsVoter(this->self) ||
      this->log.ConfigurationIndex() > this->commitIndex) {
    return;
  }
  this->Broadcast();
  const InstanceId next = this->TransferCandidate();
  if (!next.empty()) {
    this->Send(next, TimeoutNow{ this->currentHardState.term });
  }
  this->BecomeFollower(InstanceId());
}

// A removed replica still receives the entry that removes it, so that it does
// not campaign. A replica that does not answer is dropped after the maximum
// election timeout.
void
Raft::Impl::DropRemovedReplicas()
{
  std::erase_if(this->progress, [&](const auto& aItem) {
    const Progress& state = aItem.second;
    if (!state.removedAt) {
      return false;
    }
    const bool removalAcknowledged =
      state.match >= *state.removedAt && state.sentCommit >= *state.removedAt;
    return removalAcknowledged || this->now >= state.removalDeadline;
  });
}

void
Raft::Impl::Handle(const TransferLeadership& aEvent)
{
  if (this->role != Role::Leader || this->transferring) {
    return;
  }
  const auto wanted = this->progress.find(aEvent.target);
  if (aEvent.target.empty()) {
    this->transferTarget = this->TransferCandidate();
  } else if (wanted != this->progress.end() &&
             this->MayTakeOver(aEvent.target, wanted->second)) {
    this->transferTarget = aEvent.target;
  } else {
    this->transferTarget = InstanceId();
  }
  if (this->transferTarget.empty()) {
    return;
  }
  this->transferring = true;
  this->timeoutNowSent = false;
  this->transferDeadline = this->now + this->times.minElectionTimeout;
  this->TryTransfer();
}

void
Raft::Impl::TryTransfer()
{
  if (!this->transferring || this->timeoutNowSent) {
    return;
  }
  const auto found = this->progress.find(this->transferTarget);
  if (found == this->progress.end()) {
    return;
  }
  // Entries that were sent arrive before TimeoutNow on the same connection. A
  // leader that is slow need not wait for their acknowledgement. If one of them
  // is lost, the target wins no vote of a replica that has it.
  const Progress& state = found->second;
  const bool hasSentAll =
    state.state == FlowState::Replicate && state.next > this->log.LastIndex();
  if (hasSentAll || state.match == this->log.LastIndex()) {
    this->timeoutNowSent = true;
    this->Send(this->transferTarget, TimeoutNow{ this->currentHardState.term });
  }
}

// True for a live voter that is not recovering from a loss of its storage.
bool
Raft::Impl::MayTakeOver(const InstanceId& aReplica,
                        const Progress& aState) const
{
  return this->IsVoter(aReplica) && aState.recovery == 0 && aState.lastHeard &&
         this->now - *aState.lastHeard <= this->times.minElectionTimeout;
}

// The live voter with the highest match index; empty if there is none.
InstanceId
Raft::Impl::TransferCandidate() const
{
  InstanceId best;
  LogIndex bestMatch = 0;
  for (const auto& [replica, state] : this->progress) {
    if (this->MayTakeOver(replica, state) && state.match > bestMatch) {
      best = replica;
      bestMatch = state.match;
    }
  }
  return best;
}

bool
Raft::IsTransferring() const
{
  return this->impl->transferring;
}

} // namespace hyssoppaddle::agreement
