// Raft replica of one entry instance: elections with pre-vote and check-quorum,
// batched and pipelined appends, snapshots, single-server configuration changes
// and linearizable reads.
#ifndef hyssoppaddle_agreement_Raft_h
#define hyssoppaddle_agreement_Raft_h

#include "agreement/Events.h"
#include "base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppaddle::agreement {

struct RaftTimes
{
  Duration voterHeartbeat{ std::chrono::milliseconds(300) };
  Duration learnerHeartbeat{ std::chrono::seconds(1) };
  Duration minElectionTimeout{ std::chrono::milliseconds(1200) };
  Duration maxElectionTimeout{ std::chrono::seconds(2) };
  // A voter whose connection to the leader was closed campaigns after this time
  // unless it is connected again. Longer than a heartbeat interval, so that a
  // leader that is still alive has noticed the loss.
  Duration lostLinkGrace{ std::chrono::milliseconds(350) };
  // A voter that has just started campaigns after this time, or after its first
  // election timeout if that is shorter. Its links to the other voters should
  // exist by then, and a live leader should have sent a heartbeat.
  Duration restartGrace{ std::chrono::seconds(2) };
  // Between the campaigns of two voters after the same loss. Longer than an
  // election, so that the votes are not split.
  Duration campaignStep{ std::chrono::milliseconds(60) };
};

struct RaftLimits
{
  std::size_t maxEntriesPerAppend = 256;
  std::size_t maxBytesPerAppend = 256UL * 1024;
  std::size_t maxAppendsInFlight = 8; // per follower
  std::size_t snapshotChunkBytes = 16UL * 1024;
  std::size_t snapshotAfterEntries = 4096;
  std::size_t snapshotAfterBytes = 4UL * 1024 * 1024;
  // For followers slightly behind. Others get the snapshot. Both limits hold,
  // since a single entry can be as large as the configuration of a deployment.
  std::size_t entriesKeptAfterSnapshot = 1024;
  std::size_t bytesKeptAfterSnapshot = 4UL * 1024 * 1024;
  std::size_t maxReplicas = 12;
};

// Log and hard state that were read from storage at start.
struct RecoveredLog
{
  HardState hardState;
  SnapshotMeta snapshotMeta;
  std::string snapshotBytes;
  std::vector<LogEntry> entries; // contiguous, after the snapshot
  // False if the folder was empty or the replica had not finished recovering:
  // it may have lost a vote or an entry, so it must not vote before a leader
  // has brought it up to date.
  bool voteStateIntact = true;
};

// Hash of a message for state exploration, like Raft::Fingerprint.
std::uint64_t
FingerprintOf(const Message& aMessage);

class Raft
{
public:
  // aInitial is the bootstrap configuration of a new cluster and must be the
  // same on all replicas. It is used only if aRecovered has no configuration.
  Raft(InstanceId aSelf,
       Configuration aInitial,
       RecoveredLog aRecovered,
       std::uint64_t aSeed,
       Time aNow,
       RaftTimes aTimes = {},
       RaftLimits aLimits = {});
  ~Raft();
  Raft(Raft&&) noexcept;
  Raft& operator=(Raft&&) noexcept;

  Effects Step(const Event& aEvent, Time aNow);

  // Lets the other voters campaign first when a leader is lost. For a replica
  // that knows that it is slower than the others.
  void DelayCampaigns(Duration aDelay);

  // Earliest time at which a Tick can have an effect.
  [[nodiscard]] Time NextTick() const;

  [[nodiscard]] Role CurrentRole() const;
  [[nodiscard]] Term CurrentTerm() const;
  // True on a leader that rejects proposals because it transfers its
  // leadership.
  [[nodiscard]] bool IsTransferring() const;
  [[nodiscard]] const InstanceId& Leader() const; // empty when unknown
  [[nodiscard]] LogIndex CommitIndex() const;
  [[nodiscard]] LogIndex LastIndex() const;
  // Memory of the entries in the log.
  [[nodiscard]] std::size_t LogBytes() const;
  [[nodiscard]] const Configuration& ActiveConfiguration() const;
  // On the leader: time of the last reply from that replica; empty if its
  // connection was closed after that.
  [[nodiscard]] std::optional<Time> LastHeard(const InstanceId& aReplica) const;
  // On the leader: as LastHeard, but not before this leader began to replicate
  // to that replica. From then on the replica can be silent.
  [[nodiscard]] std::optional<Time> LastContact(
    const InstanceId& aReplica) const;
  // On the leader: whether that learner may become a voter now.
  [[nodiscard]] bool IsCaughtUp(const InstanceId& aLearner) const;
  // On the leader: index up to which that replica is durable; 0 when unknown.
  [[nodiscard]] LogIndex MatchIndex(const InstanceId& aReplica) const;

  // For tests that explore interleavings: an independent copy, and a hash of
  // all state that can affect a later step, with times relative to the last
  // step. The hash leaves out the random generator, which has no effect when
  // the minimum and maximum election timeouts are equal.
  [[nodiscard]] Raft Copy() const;
  [[nodiscard]] std::uint64_t Fingerprint() const;

private:
  struct Impl;
  explicit Raft(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::agreement

#endif
