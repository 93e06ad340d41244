// Dispatch of events, durable state and roles of the replicated log.
#include "agreement/RaftImpl.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::agreement {

namespace {

// Lost heartbeats after which a learner no longer names a leader.
constexpr int kLearnerPatience = 3;

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
  , hard(aRecovered.hardState)
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
    this->log.Append(std::move(entry));
  }
  this->emittedHard = this->hard;
  this->hard.recovering = this->hard.recovering || !aRecovered.voteStateIntact;
  while (this->hard.recovering && this->recoveryNonce == 0) {
    this->recoveryNonce = this->random.Next();
  }
  this->durableIndex = this->log.LastIndex();
  this->commitIndex = meta.index;
  this->appliedIndex = meta.index;
  // No leader is known yet: the lease on votes must not hold.
  this->lastLeaderContact = aNow - this->times.maxElectionTimeout;
  this->ResetElectionDeadline();
  if (this->IsVoter(this->self) && this->Majority() == 1) {
    this->electionDeadline = aNow; // there is no other leader to wait for
  }
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
  this->AppendLocal(
    LogEntry{ index, this->hard.term, EntryKind::Command, aEvent.payload });
  this->Broadcast();
}

void
Raft::Impl::Handle(const Persisted& aEvent)
{
  std::vector<HeldMessage> held;
  while (!this->outstanding.empty() &&
         this->outstanding.front().sequence <= aEvent.sequence) {
    OutstandingPersist& done = this->outstanding.front();
    this->durableIndex = std::max(this->durableIndex, done.lastIndex);
    std::move(done.held.begin(), done.held.end(), std::back_inserter(held));
    this->outstanding.pop_front();
  }
  this->ReleaseHeld(std::move(held));
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
  this->snapshotWanted = 0;
  const LogIndex index = aEvent.meta.index;
  if (this->snapshot && index <= this->snapshot->meta.index) {
    return; // a leader's snapshot has overtaken it
  }
  this->snapshot = std::make_shared<StoredSnapshot>(
    StoredSnapshot{ aEvent.meta, aEvent.bytes, SnapshotDigest(aEvent.bytes) });
  const LogIndex kept = this->limits.entriesKeptAfterSnapshot;
  if (index > kept) {
    this->log.CompactTo(std::min(index - kept, this->log.LastIndex()));
  }
}

// Messages that promise something wait for the Persist of the same step, or for
// the last outstanding one.
void
Raft::Impl::EmitPersist()
{
  const bool changed = this->hard != this->emittedHard;
  std::vector<HeldMessage> held = std::exchange(this->heldThisStep, {});
  if (changed || this->unsaved.truncateFrom || !this->unsaved.entries.empty() ||
      this->unsaved.snapshot) {
    Unsaved what = std::exchange(this->unsaved, {});
    Persist persist;
    persist.sequence = ++this->lastSequence;
    if (changed) {
      persist.hardState = this->hard;
      this->emittedHard = this->hard;
      this->hardSequence = persist.sequence;
    }
    const bool entries = !what.entries.empty();
    const LogIndex last = entries ? what.entries.back().index : 0;
    persist.truncateFrom = what.truncateFrom;
    persist.entries = std::move(what.entries);
    LogIndex durable = last;
    if (what.snapshot) {
      persist.snapshotMeta = what.snapshot->meta;
      persist.snapshotBytes = what.snapshot->bytes;
      durable = std::max(durable, what.snapshot->meta.index);
    }
    this->outstanding.push_back({ persist.sequence, durable, {} });
    this->effects.insert(this->effects.begin(), std::move(persist));
  }
  if (this->outstanding.empty()) {
    this->ReleaseHeld(std::move(held));
    return;
  }
  std::vector<HeldMessage>& waiting = this->outstanding.back().held;
  std::move(held.begin(), held.end(), std::back_inserter(waiting));
}

// Of several acceptances to the same leader only the last is sent: it contains
// the others.
void
Raft::Impl::ReleaseHeld(std::vector<HeldMessage> aHeld)
{
  const auto acceptance = [](const HeldMessage& aMessage) {
    const auto* reply = std::get_if<AppendReply>(&aMessage.message);
    return reply != nullptr && reply->accepted ? reply : nullptr;
  };
  for (std::size_t i = 0; i < aHeld.size(); ++i) {
    const AppendReply* current = acceptance(aHeld[i]);
    const AppendReply* next =
      i + 1 < aHeld.size() ? acceptance(aHeld[i + 1]) : nullptr;
    const bool contained =
      current != nullptr && next != nullptr && aHeld[i].to == aHeld[i + 1].to &&
      current->term == next->term && current->recovery == next->recovery &&
      current->matchIndex <= next->matchIndex && current->round <= next->round;
    if (!contained) {
      this->Send(aHeld[i].to, std::move(aHeld[i].message));
    }
  }
}

void
Raft::Impl::ReportRole()
{
  RoleChanged current{ this->role, this->hard.term, this->leader };
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
  this->heldThisStep.push_back({ aTo, std::move(aMessage) });
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
  return this->hard == this->emittedHard &&
         (this->outstanding.empty() ||
          this->outstanding.front().sequence > this->hardSequence);
}

void
Raft::Impl::AppendLocal(LogEntry aEntry)
{
  this->bytesSinceSnapshot += aEntry.payload.size();
  this->unsaved.entries.push_back(aEntry);
  this->log.Append(std::move(aEntry));
}

// aFrom is above the commit index.
void
Raft::Impl::TruncateLocal(LogIndex aFrom)
{
  this->log.TruncateFrom(aFrom);
  this->unsaved.truncateFrom =
    std::min(aFrom, this->unsaved.truncateFrom.value_or(aFrom));
  std::erase_if(this->unsaved.entries,
                [&](const LogEntry& aEntry) { return aEntry.index >= aFrom; });
  this->durableIndex = std::min(this->durableIndex, aFrom - 1);
  for (OutstandingPersist& waiting : this->outstanding) {
    waiting.lastIndex = std::min(waiting.lastIndex, aFrom - 1);
  }
}

void
Raft::Impl::AdoptTerm(Term aTerm)
{
  this->hard.term = aTerm;
  this->hard.votedFor = InstanceId();
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
  for (const std::uint64_t token : this->reading.tokens) {
    this->effects.emplace_back(ReadFailed{ token, this->leader });
  }
  for (const std::uint64_t token : this->waitingReads) {
    this->effects.emplace_back(ReadFailed{ token, this->leader });
  }
  this->reading = {};
  this->waitingReads.clear();
  this->progress.clear();
  this->transferring = false;
}

// A replica that cannot campaign only forgets a silent leader.
void
Raft::Impl::ResetElectionDeadline()
{
  if (!this->MayCampaign() && !this->IsBlank()) {
    this->electionDeadline =
      this->now + kLearnerPatience * this->times.learnerHeartbeat;
    return;
  }
  this->electionDeadline =
    this->now + this->random.Between(this->times.minElectionTimeout,
                                     this->times.maxElectionTimeout);
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
  if (this->snapshotWanted != 0 || !due || this->appliedIndex <= last) {
    return;
  }
  this->snapshotWanted = this->appliedIndex;
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
  const bool waits = this->MayCampaign() || this->IsBlank();
  if (waits || !this->leader.empty()) {
    return this->electionDeadline;
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
  return this->impl->hard.term;
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

std::optional<Time>
Raft::LastHeard(const InstanceId& aReplica) const
{
  const auto found = this->impl->progress.find(aReplica);
  return found == this->impl->progress.end() ? std::nullopt
                                             : found->second.lastHeard;
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
