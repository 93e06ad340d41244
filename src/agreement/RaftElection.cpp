// Leader election: pre-votes, votes, and the start of a new cluster whose
// replicas all have empty storage.
#include "agreement/ConfigurationCodec.h"
#include "agreement/RaftImpl.h"

#include <algorithm>

namespace hyssoppaddle::agreement {

// All replicas may have restarted together, so a voter with a log does not wait
// for a whole election timeout. It disturbs no leader: the others refuse its
// pre-vote while they hear one.
void
Raft::Impl::ScheduleFirstCampaign()
{
  this->ResetElectionDeadline();
  if (!this->IsVoter(this->self)) {
    return;
  }
  if (this->Majority() == 1) {
    this->electionDeadline = this->now; // there is no other leader to wait for
  } else if (this->MayCampaign() && this->log.LastIndex() > 0) {
    this->electionDeadline =
      std::min(this->electionDeadline,
               this->now + this->times.restartGrace + this->CampaignDelay());
  }
}

Duration
Raft::Impl::CampaignDelay() const
{
  const auto& voters = this->log.ActiveConfiguration().voters;
  Duration delay{ 0 };
  // The order rotates with the term, so that a voter that cannot win is not
  // always the first.
  for (std::size_t i = 0; i < voters.size(); ++i) {
    const InstanceId& voter =
      voters[(this->currentHardState.term + i) % voters.size()];
    if (voter == this->self) {
      break;
    }
    delay += voter == this->leader ? Duration(0) : this->times.campaignStep;
  }
  return delay;
}

void
Raft::Impl::Handle(const LinkLost& aEvent)
{
  const auto replica = this->progress.find(aEvent.peer);
  if (replica != this->progress.end()) {
    replica->second.linkLostAt = this->now;
  }
  const bool followsIt = this->role == Role::Follower &&
                         this->leader == aEvent.peer && this->MayCampaign();
  if (!followsIt || this->leaderLinkLostAt) {
    return;
  }
  this->leaderLinkLostAt = this->now;
  this->deadlineBeforeLinkLoss = this->electionDeadline;
  this->electionDeadline =
    std::min(this->electionDeadline,
             this->now + this->times.lostLinkGrace + this->CampaignDelay());
}

void
Raft::Impl::Handle(const LinkRestored& aEvent)
{
  if (this->leaderLinkLostAt && this->leader == aEvent.peer) {
    this->leaderLinkLostAt.reset();
    this->electionDeadline = this->deadlineBeforeLinkLoss;
  }
}

void
Raft::Impl::ElectionTick()
{
  if (this->now < this->electionDeadline + this->campaignDelay) {
    return;
  }
  this->leader = InstanceId();
  if (this->MayCampaign()) {
    this->StartPreVote();
    return;
  }
  this->role = Role::Follower;
  this->ResetElectionDeadline();
  if (this->IsEmptyReplica()) {
    this->AnnounceEmptyReplica();
  }
  if (this->MayCampaign()) {
    // The only voter, or the last one that learned that all voters are empty.
    this->StartPreVote();
  }
}

bool
Raft::Impl::MayCampaign() const
{
  return !this->currentHardState.recovering && this->IsVoter(this->self);
}

// True for a voter that lost its storage and for a voter of a new cluster.
bool
Raft::Impl::IsEmptyReplica() const
{
  return this->currentHardState.recovering &&
         this->currentHardState.term == 0 && this->log.LastIndex() == 0 &&
         this->IsVoter(this->self);
}

bool
Raft::Impl::HasRecentLeaderContact() const
{
  if (this->role == Role::Leader) {
    return true; // the quorum check ends the role if contact is lost
  }
  if (this->leaderLinkLostAt &&
      this->now - *this->leaderLinkLostAt >= this->times.lostLinkGrace) {
    return false;
  }
  return this->now - this->lastLeaderContact < this->times.minElectionTimeout;
}

bool
Raft::Impl::IsUpToDate(const VoteRequest& aRequest) const
{
  const Term lastTerm = this->log.LastTerm();
  if (aRequest.lastTerm != lastTerm) {
    return aRequest.lastTerm > lastTerm;
  }
  return aRequest.lastIndex >= this->log.LastIndex();
}

void
Raft::Impl::StartPreVote()
{
  this->role = Role::PreCandidate;
  this->votes = { this->self };
  this->ResetElectionDeadline();
  this->RequestVotes(VoteRequest{ this->currentHardState.term + 1,
                                  true,
                                  this->log.LastIndex(),
                                  this->log.LastTerm(),
                                  false });
  this->CountVotes();
}

void
Raft::Impl::StartElection(bool aTransfer)
{
  this->AdoptTerm(this->currentHardState.term + 1);
  this->role = Role::Candidate;
  this->currentHardState.votedFor = this->self;
  this->ResetElectionDeadline();
  // The replica's own vote counts once the Persist effect of this step is
  // durable.
  this->ownVoteSequence = this->lastSequence + 1;
  this->RequestVotes(VoteRequest{ this->currentHardState.term,
                                  false,
                                  this->log.LastIndex(),
                                  this->log.LastTerm(),
                                  aTransfer });
}

void
Raft::Impl::RequestVotes(const VoteRequest& aRequest)
{
  for (const InstanceId& voter : this->log.ActiveConfiguration().voters) {
    if (voter == this->self) {
      continue;
    }
    if (aRequest.preVote) {
      this->Send(voter, aRequest);
    } else {
      this->SendWhenDurable(voter, aRequest);
    }
  }
}

// Tells the other voters that this replica has no term and no entries. If all
// voters of the initial configuration report this, the cluster is new and they
// may vote. After a loss of storage some other voter still has a term, which
// distinguishes the two cases.
void
Raft::Impl::AnnounceEmptyReplica()
{
  this->RequestVotes(VoteRequest{ 1, true, 0, 0, false });
  this->RecordEmptyReplica(this->self, VoteRequest{ 1, true, 0, 0, false });
}

void
Raft::Impl::RecordEmptyReplica(const InstanceId& aFrom,
                               const VoteRequest& aRequest)
{
  const bool isEmptyAnnouncement = aRequest.preVote && aRequest.term == 1 &&
                                   aRequest.lastIndex == 0 &&
                                   aRequest.lastTerm == 0;
  if (!isEmptyAnnouncement || !this->IsEmptyReplica()) {
    return;
  }
  this->emptyPeers.insert(aFrom);
  const auto& voters = this->log.ActiveConfiguration().voters;
  const bool all =
    std::all_of(voters.begin(), voters.end(), [&](const InstanceId& aVoter) {
      return aVoter == this->self || this->emptyPeers.contains(aVoter);
    });
  if (all) {
    this->currentHardState.recovering = false;
    this->recoveryNonce = 0;
  }
}

void
Raft::Impl::CountVotes()
{
  const auto& voters = this->log.ActiveConfiguration().voters;
  const auto granted = static_cast<std::size_t>(
    std::count_if(voters.begin(), voters.end(), [&](const InstanceId& aVoter) {
      return this->votes.contains(aVoter);
    }));
  if (granted < this->Majority()) {
    return;
  }
  if (this->role == Role::PreCandidate) {
    this->StartElection(false);
  } else if (this->role == Role::Candidate) {
    this->BecomeLeader();
  }
}

void
Raft::Impl::BecomeLeader()
{
  this->role = Role::Leader;
  this->leader = this->self;
  this->electedAt = this->now;
  this->votes.clear();
  this->progress.clear();
  this->termStart = this->log.LastIndex() + 1;
  this->SyncProgress(this->termStart);
  LogEntry first{
    this->termStart, this->currentHardState.term, EntryKind::Empty, {}
  };
  if (this->log.ConfigurationIndex() == 0) {
    // Writes the initial configuration to the log. From then on, changed
    // settings of one replica cannot make the configurations diverge.
    first.kind = EntryKind::Configuration;
    first.payload = PackConfiguration(this->log.ActiveConfiguration());
  }
  this->AppendLocal(std::move(first));
  this->Broadcast();
}

void
Raft::Impl::On(const InstanceId& aFrom, const VoteRequest& aRequest)
{
  if (aRequest.preVote) {
    this->OnPreVote(aFrom, aRequest);
    return;
  }
  const bool protectsLeader =
    this->HasRecentLeaderContact() && !aRequest.transfer;
  if (aRequest.term > this->currentHardState.term && !protectsLeader) {
    this->AdoptTerm(aRequest.term);
  }
  const bool isVoteAvailable = this->currentHardState.votedFor.empty() ||
                               this->currentHardState.votedFor == aFrom;
  const bool granted = aRequest.term == this->currentHardState.term &&
                       isVoteAvailable && !this->currentHardState.recovering &&
                       this->leader.empty() && this->IsUpToDate(aRequest);
  if (granted) {
    this->role = Role::Follower;
    this->currentHardState.votedFor = aFrom;
    this->ResetElectionDeadline();
  }
  this->SendWhenDurable(
    aFrom, VoteReply{ this->currentHardState.term, false, granted });
}

void
Raft::Impl::OnPreVote(const InstanceId& aFrom, const VoteRequest& aRequest)
{
  this->RecordEmptyReplica(aFrom, aRequest);
  const bool granted = aRequest.term > this->currentHardState.term &&
                       !this->currentHardState.recovering &&
                       !this->HasRecentLeaderContact() &&
                       this->IsUpToDate(aRequest);
  const Term term = granted ? aRequest.term : this->currentHardState.term;
  this->SendAtTerm(aFrom, VoteReply{ term, true, granted });
}

void
Raft::Impl::On(const InstanceId& aFrom, const VoteReply& aReply)
{
  if (!aReply.granted) {
    if (aReply.term > this->currentHardState.term && this->IsVoter(aFrom)) {
      this->AdoptTerm(aReply.term);
    }
    return;
  }
  const bool preVote = this->role == Role::PreCandidate && aReply.preVote &&
                       aReply.term == this->currentHardState.term + 1;
  const bool vote = this->role == Role::Candidate && !aReply.preVote &&
                    aReply.term == this->currentHardState.term;
  if (preVote || vote) {
    this->votes.insert(aFrom);
    this->CountVotes();
  }
}

void
Raft::Impl::On(const InstanceId& aFrom, const TimeoutNow& aRequest)
{
  const bool current = aRequest.term == this->currentHardState.term &&
                       this->role == Role::Follower && this->leader == aFrom;
  if (current && this->MayCampaign()) {
    this->StartElection(true);
  }
}

} // namespace hyssoppaddle::agreement
