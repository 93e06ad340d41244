// Internal state of Raft, shared by its source files.
#ifndef hyssoppaddle_agreement_RaftImpl_h
#define hyssoppaddle_agreement_RaftImpl_h

#include "agreement/Raft.h"
#include "agreement/ReplicaLog.h"
#include "base/Random.h"

#include <deque>
#include <map>
#include <set>

namespace hyssoppaddle::agreement {

// A snapshot that can be sent to other replicas. Held by shared_ptr because a
// transfer may continue after a newer snapshot has been taken.
struct StoredSnapshot
{
  SnapshotMeta meta;
  std::string bytes;
  std::uint64_t digest = 0; // XXH64 of bytes
};

std::uint64_t
SnapshotDigest(std::string_view aBytes);

enum class FlowState : std::uint8_t
{
  Probe,     // one append at a time until the match index is known
  Replicate, // pipelined
  Snapshot,  // the entries it needs have been compacted away
};

// Replication state that the leader keeps per replica.
struct Progress
{
  FlowState state = FlowState::Probe;
  LogIndex match = 0;            // durable on the replica up to here
  LogIndex next = 1;             // first index to send
  std::deque<LogIndex> inFlight; // last index of each unanswered append
  bool probeSent = false;
  LogIndex sentCommit = 0;
  std::uint64_t ackedRound = 0;
  Time lastSent{};
  std::optional<Time> lastHeard;
  std::optional<Time> linkLostAt;
  Time trackedSince{}; // when this leader began to replicate to it

  std::shared_ptr<const StoredSnapshot> snapshot; // being sent
  std::uint64_t ackedOffset = 0;
  std::uint64_t sentOffset = 0;

  // Recovery nonce of the replica; not 0 while it recovers from the loss of its
  // storage. It then counts towards no quorum.
  std::uint64_t recovery = 0;
  // Index of the entry appended when this leader learned of the loss. Once a
  // majority of the other replicas has it, no vote or entry that the replica
  // lost can still take effect in a term after this leader's.
  LogIndex recoveryTarget = 0;

  // Index of the entry that removes the replica from the configuration. Appends
  // continue until the replica knows that the entry is committed.
  std::optional<LogIndex> removedAt;
  Time removalDeadline{};
};

struct DeferredMessage
{
  InstanceId to;
  Message message;
};

// A Persist effect that has not been reported as durable yet.
struct OutstandingPersist
{
  std::uint64_t sequence = 0;
  LogIndex lastIndex = 0; // durable up to here once done; 0 without entries
  std::vector<DeferredMessage> deferred;
};

// Changes of the current step that the next Persist effect will contain.
struct PendingPersist
{
  std::optional<LogIndex> truncateFrom;
  std::vector<LogEntry> entries;
  std::shared_ptr<const StoredSnapshot> snapshot;
};

struct PartialSnapshot
{
  SnapshotMeta meta;
  std::uint64_t digest = 0;
  std::uint64_t totalBytes = 0;
  std::string bytes;
};

// Reads that are confirmed by the same round of appends.
struct ReadRound
{
  std::uint64_t round = 0; // 0: none outstanding
  LogIndex index = 0;
  std::vector<std::uint64_t> tokens;
};

struct Raft::Impl
{
  Impl(InstanceId aSelf,
       Configuration aInitial,
       RecoveredLog aRecovered,
       std::uint64_t aSeed,
       Time aNow,
       RaftTimes aTimes,
       RaftLimits aLimits);

  // RaftInspect.cpp
  [[nodiscard]] std::uint64_t Fingerprint() const;

  // Raft.cpp: dispatch, durable state, roles.
  Effects Step(const Event& aEvent, Time aNow);
  [[nodiscard]] Time NextTick() const;
  void Handle(const Tick& aEvent);
  void Handle(const MessageReceived& aEvent);
  void Handle(const Propose& aEvent);
  void Handle(const Persisted& aEvent);
  void Handle(const LinkLost& aEvent);
  void Handle(const LinkRestored& aEvent);
  void Handle(const ReadRequest& aEvent);
  void Handle(const SnapshotTaken& aEvent);
  void Handle(const ChangeConfiguration& aEvent);
  void Handle(const TransferLeadership& aEvent);
  void Start();
  void EmitPersist();
  void ReleaseDeferred(std::vector<DeferredMessage> aDeferred);
  void ReportRole();
  void Send(const InstanceId& aTo, Message aMessage);
  // Sends once all state changes up to the end of this step are durable.
  void SendWhenDurable(const InstanceId& aTo, Message aMessage);
  // Sends once the current term is durable; entries may still be pending.
  void SendAtTerm(const InstanceId& aTo, Message aMessage);
  [[nodiscard]] bool IsTermDurable() const;
  void AppendLocal(LogEntry aEntry);
  void TruncateLocal(LogIndex aFrom);
  void AdoptTerm(Term aTerm);
  void BecomeFollower(const InstanceId& aLeader);
  void FailPending();
  void ResetElectionDeadline();
  void ApplyCommitted();
  void MaybeTakeSnapshot();
  [[nodiscard]] bool IsVoter(const InstanceId& aReplica) const;
  [[nodiscard]] std::size_t Majority() const;

  // RaftElection.cpp
  void ScheduleFirstCampaign();
  // Lets the voters campaign one after the other when they notice the same
  // loss.
  [[nodiscard]] Duration CampaignDelay() const;
  void ElectionTick();
  [[nodiscard]] bool MayCampaign() const;
  [[nodiscard]] bool IsEmptyReplica() const;
  [[nodiscard]] bool HasRecentLeaderContact() const;
  [[nodiscard]] bool IsUpToDate(const VoteRequest& aRequest) const;
  void StartPreVote();
  void StartElection(bool aTransfer);
  void RequestVotes(const VoteRequest& aRequest);
  void AnnounceEmptyReplica();
  void RecordEmptyReplica(const InstanceId& aFrom, const VoteRequest& aRequest);
  void CountVotes();
  void BecomeLeader();
  void On(const InstanceId& aFrom, const VoteRequest& aRequest);
  void On(const InstanceId& aFrom, const VoteReply& aReply);
  void On(const InstanceId& aFrom, const TimeoutNow& aRequest);
  void OnPreVote(const InstanceId& aFrom, const VoteRequest& aRequest);

  // RaftFollower.cpp
  [[nodiscard]] bool AcceptLeader(const InstanceId& aFrom, Term aTerm);
  void On(const InstanceId& aFrom, const AppendRequest& aRequest);
  void Accept(const InstanceId& aTo, LogIndex aVerified, std::uint64_t aRound);
  void Reject(const InstanceId& aTo, LogIndex aHint, std::uint64_t aRound);
  [[nodiscard]] LogIndex RetryIndex(LogIndex aPrevious) const;
  void CommitUpTo(LogIndex aIndex);
  [[nodiscard]] bool MergeEntries(const AppendRequest& aRequest);
  void EndRecovery(const InstanceId& aLeader);
  void On(const InstanceId& aFrom, const SnapshotChunk& aChunk);
  void CollectChunk(const SnapshotChunk& aChunk);
  [[nodiscard]] bool InstallCollectedSnapshot();
  void ReplySnapshot(const InstanceId& aTo,
                     const SnapshotChunk& aChunk,
                     std::uint64_t aNextOffset,
                     bool aInstalled);

  // RaftReplication.cpp
  void LeaderTick();
  [[nodiscard]] Time LeaderNextTick() const;
  [[nodiscard]] Duration HeartbeatInterval(const InstanceId& aReplica) const;
  [[nodiscard]] Time QuorumDeadline() const;
  void SyncProgress(LogIndex aNext);
  void Broadcast();
  void SendHeartbeat(const InstanceId& aTo, Progress& aProgress);
  void SendAppend(const InstanceId& aTo,
                  Progress& aProgress,
                  bool aWithEntries);
  void SendPending(const InstanceId& aTo, Progress& aProgress);
  void AdvanceCommit();
  void On(const InstanceId& aFrom, const AppendReply& aReply);
  [[nodiscard]] Progress* RecordReply(const InstanceId& aFrom,
                                      Term aTerm,
                                      std::uint64_t aRound,
                                      std::uint64_t aRecovery);
  [[nodiscard]] bool TrackRecovery(Progress& aProgress,
                                   std::uint64_t aRecovery);
  void OnAccepted(Progress& aProgress, LogIndex aMatch);
  void OnRejected(Progress& aProgress, LogIndex aHint);

  // RaftReads.cpp
  void StartReadRound();
  void CheckReadRound();
  [[nodiscard]] bool RoundConfirmed() const;
  [[nodiscard]] bool CommittedInTerm() const;

  // RaftSnapshot.cpp
  void StartSnapshot(const InstanceId& aTo, Progress& aProgress);
  void SendChunks(const InstanceId& aTo, Progress& aProgress);
  void SendChunk(const InstanceId& aTo, Progress& aProgress);
  void OnChunkAcknowledged(Progress& aProgress, std::uint64_t aNextOffset);
  void On(const InstanceId& aFrom, const SnapshotReply& aReply);

  // RaftConfiguration.cpp
  [[nodiscard]] std::optional<Configuration> ConfigurationAfter(
    const ChangeConfiguration& aChange) const;
  [[nodiscard]] bool IsCaughtUp(const InstanceId& aLearner) const;
  [[nodiscard]] bool HasLiveMajority(const Configuration& aNext) const;
  void FinishRemovals();
  void DropRemovedReplicas();
  void TryTransfer();
  [[nodiscard]] bool MayTakeOver(const InstanceId& aReplica,
                                 const Progress& aState) const;
  [[nodiscard]] InstanceId TransferCandidate() const;

  InstanceId self;
  RaftTimes times;
  RaftLimits limits;
  Random random;
  Time now{};
  bool started = false;

  // State to be made durable. The disk follows through Persist effects.
  HardState currentHardState;
  HardState emittedHardState; // as of the last Persist effect
  ReplicaLog log;
  std::shared_ptr<const StoredSnapshot> snapshot; // null: none yet
  LogIndex durableIndex = 0; // local entries are durable up to here
  std::uint64_t lastSequence = 0;
  std::uint64_t hardStateSequence = 0; // of the last Persist with a hard state
  std::deque<OutstandingPersist> outstanding; // ascending by sequence
  PendingPersist pendingPersist;
  std::vector<DeferredMessage> deferredThisStep;
  Effects effects;

  Role role = Role::Follower;
  InstanceId leader;
  std::optional<RoleChanged> reported;
  LogIndex commitIndex = 0; // never decreases
  LogIndex appliedIndex = 0;
  LogIndex requestedSnapshotIndex = 0; // index of the unanswered TakeSnapshot
  std::size_t bytesSinceSnapshot = 0;

  // Followers and candidates.
  Time electionDeadline{};
  Duration campaignDelay{ 0 }; // added to electionDeadline
  Time lastLeaderContact{};
  // Since when there is no connection to the leader. Empty while there is one.
  std::optional<Time> leaderLinkLostAt;
  // The election deadline that applies again when the link is restored.
  Time deadlineBeforeLinkLoss{};
  std::uint64_t recoveryNonce = 0; // not 0 while currentHardState.recovering
  std::set<InstanceId> votes;
  // Sequence number of the Persist effect that contains the own vote.
  std::uint64_t ownVoteSequence = 0;
  std::set<InstanceId> emptyPeers; // reported an empty log in term 0
  std::optional<PartialSnapshot> partial;

  // Leaders.
  std::map<InstanceId, Progress> progress;
  std::map<LogIndex, std::uint64_t> proposals; // index to token
  Time electedAt{};
  LogIndex termStart = 0; // index of the first entry of this leader's term
  std::uint64_t round = 0;
  ReadRound activeReadRound;
  std::vector<std::uint64_t> pendingReads;
  bool transferring = false;
  bool timeoutNowSent = false;
  InstanceId transferTarget;
  Time transferDeadline{};
};

} // namespace hyssoppaddle::agreement

#endif
