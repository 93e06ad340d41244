// The replicated log of one entry instance: elections with pre-vote and
// check-quorum, batched and pipelined appends, snapshots, configuration changes
// one at a time, confirmed reads.
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
  Duration voterHeartbeat{ 300000 };
  Duration learnerHeartbeat{ 1000000 };
  Duration minElectionTimeout{ 1200000 };
  Duration maxElectionTimeout{ 2000000 };
};

struct RaftLimits
{
  std::size_t maxEntriesPerAppend = 256;
  std::size_t maxBytesPerAppend = 256UL * 1024;
  std::size_t maxAppendsInFlight = 8; // per follower
  std::size_t snapshotChunkBytes = 16UL * 1024;
  std::size_t snapshotAfterEntries = 4096;
  std::size_t snapshotAfterBytes = 4UL * 1024 * 1024;
  std::size_t entriesKeptAfterSnapshot = 1024; // for followers slightly behind
  std::size_t maxReplicas = 12;
};

// What storage recovered at start.
struct RecoveredLog
{
  HardState hardState;
  SnapshotMeta snapshotMeta;
  std::string snapshotBytes;
  std::vector<LogEntry> entries; // contiguous, after the snapshot
  // False when the folder was empty: this replica must not vote before a leader
  // has caught it up, as it may have forgotten a vote or an entry.
  bool voteStateIntact = true;
};

// Hash of a message, as for Raft::Fingerprint.
std::uint64_t
FingerprintOf(const Message& aMessage);

class Raft
{
public:
  // aInitial is used only when aRecovered holds no configuration: the bootstrap
  // of a new cluster, equal on all its replicas.
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

  // Earliest time at which a Tick can have an effect.
  [[nodiscard]] Time NextTick() const;

  [[nodiscard]] Role CurrentRole() const;
  [[nodiscard]] Term CurrentTerm() const;
  [[nodiscard]] const InstanceId& Leader() const; // empty when unknown
  [[nodiscard]] LogIndex CommitIndex() const;
  [[nodiscard]] LogIndex LastIndex() const;
  [[nodiscard]] const Configuration& ActiveConfiguration() const;
  // On the leader: last time an answer of that replica arrived.
  [[nodiscard]] std::optional<Time> LastHeard(const InstanceId& aReplica) const;
  // On the leader: durable index of that replica, 0 when unknown.
  [[nodiscard]] LogIndex MatchIndex(const InstanceId& aReplica) const;

  // For the exploration of interleavings: a copy that goes on independently,
  // and a hash of all state that can affect a later step, with times relative
  // to the last step. The seeded generator is left out: with equal shortest and
  // longest election timeouts it decides nothing.
  [[nodiscard]] Raft Copy() const;
  [[nodiscard]] std::uint64_t Fingerprint() const;

private:
  struct Impl;
  explicit Raft(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

} // namespace hyssoppaddle::agreement

#endif
