// Elections of the replicated log: pre-vote, votes, recovery of a replica that
// lost its storage.
#include "agreement/ConfigurationCodec.h"
#include "agreement/RaftImpl.h"

#include <algorithm>

namespace hyssoppaddle::agreement {

void
Raft::Impl::ElectionTick()
{
  if (this->now < this->electionDeadline) {
    return;
  }
  this->leader = InstanceId();
  if (this->MayCampaign()) {
    this->StartPreVote();
    return;
  }
  this->role = Role::Follower;
  this->ResetElectionDeadline();
  if (this->IsBlank()) {
    this->AnnounceBlank();
  }
  if (this->MayCampaign()) {
    this->StartPreVote(); // the only voter, or the last to learn of the others
  }
}

bool
Raft::Impl::MayCampaign() const
{
  return !this->hard.recovering && this->IsVoter(this->self);
}

// A voter that lost its storage, or one of a cluster that never ran.
bool
Raft::Impl::IsBlank() const
{
  return this->hard.recovering && this->hard.term == 0 &&
         this->log.LastIndex() == 0 && this->IsVoter(this->self);
}

bool
Raft::Impl::HearsLeader() const
{
  if (this->role == Role::Leader) {
    return true; // the check of the quorum ends this role in time
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
  this->AskForVotes(VoteRequest{ this->hard.term + 1,
                                 true,
                                 this->log.LastIndex(),
                                 this->log.LastTerm(),
                                 false });
  this->CountVotes();
}

void
Raft::Impl::StartElection(bool aTransfer)
{
  this->AdoptTerm(this->hard.term + 1);
  this->role = Role::Candidate;
  this->hard.votedFor = this->self;
  this->ResetElectionDeadline();
  // The own vote counts once the Persist of this step is durable.
  this->ownVoteSequence = this->lastSequence + 1;
  this->AskForVotes(VoteRequest{ this->hard.term,
                                 false,
                                 this->log.LastIndex(),
                                 this->log.LastTerm(),
                                 aTransfer });
}

void
Raft::Impl::AskForVotes(const VoteRequest& aRequest)
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

// Tells the other voters that this one knows nothing. When all voters of the
// initial configuration do so, the cluster is new and they may vote; a lost
// storage looks different, because some other voter remembers a term.
void
Raft::Impl::AnnounceBlank()
{
  this->AskForVotes(VoteRequest{ 1, true, 0, 0, false });
  this->NoteBlank(this->self, VoteRequest{ 1, true, 0, 0, false });
}

void
Raft::Impl::NoteBlank(const InstanceId& aFrom, const VoteRequest& aRequest)
{
  const bool blank = aRequest.preVote && aRequest.term == 1 &&
                     aRequest.lastIndex == 0 && aRequest.lastTerm == 0;
  if (!blank || !this->IsBlank()) {
    return;
  }
  this->blankPeers.insert(aFrom);
  const auto& voters = this->log.ActiveConfiguration().voters;
  const bool all =
    std::all_of(voters.begin(), voters.end(), [&](const InstanceId& aVoter) {
      return aVoter == this->self || this->blankPeers.contains(aVoter);
    });
  if (all) {
    this->hard.recovering = false;
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
  LogEntry first{ this->termStart, this->hard.term, EntryKind::Empty, {} };
  if (this->log.ConfigurationIndex() == 0) {
    // Puts the initial configuration on record: from here on, a change of the
    // settings of one replica cannot make configurations differ.
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
  const bool protectsLeader = this->HearsLeader() && !aRequest.transfer;
  if (aRequest.term > this->hard.term && !protectsLeader) {
    this->AdoptTerm(aRequest.term);
  }
  const bool free = this->hard.votedFor.empty() || this->hard.votedFor == aFrom;
  const bool granted = aRequest.term == this->hard.term && free &&
                       !this->hard.recovering && this->leader.empty() &&
                       this->IsUpToDate(aRequest);
  if (granted) {
    this->role = Role::Follower;
    this->hard.votedFor = aFrom;
    this->ResetElectionDeadline();
  }
  this->SendWhenDurable(aFrom, VoteReply{ this->hard.term, false, granted });
}

void
Raft::Impl::OnPreVote(const InstanceId& aFrom, const VoteRequest& aRequest)
{
  this->NoteBlank(aFrom, aRequest);
  const bool granted = aRequest.term > this->hard.term &&
                       !this->hard.recovering && !this->HearsLeader() &&
                       this->IsUpToDate(aRequest);
  const Term term = granted ? aRequest.term : this->hard.term;
  this->SendAtTerm(aFrom, VoteReply{ term, true, granted });
}

void
Raft::Impl::On(const InstanceId& aFrom, const VoteReply& aReply)
{
  if (!aReply.granted) {
    if (aReply.term > this->hard.term && this->IsVoter(aFrom)) {
      this->AdoptTerm(aReply.term);
    }
    return;
  }
  const bool preVote = this->role == Role::PreCandidate && aReply.preVote &&
                       aReply.term == this->hard.term + 1;
  const bool vote = this->role == Role::Candidate && !aReply.preVote &&
                    aReply.term == this->hard.term;
  if (preVote || vote) {
    this->votes.insert(aFrom);
    this->CountVotes();
  }
}

void
Raft::Impl::On(const InstanceId& aFrom, const TimeoutNow& aRequest)
{
  const bool current = aRequest.term == this->hard.term &&
                       this->role == Role::Follower && this->leader == aFrom;
  if (current && this->MayCampaign()) {
    this->StartElection(true);
  }
}

} // namespace hyssoppaddle::agreement
