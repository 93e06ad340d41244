// Input events and output effects of the replicated log of one entry instance.
#ifndef hyssoppaddle_agreement_Events_h
#define hyssoppaddle_agreement_Events_h

#include "agreement/Messages.h"
#include "base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::agreement {

struct Tick
{};

struct MessageReceived
{
  InstanceId from;
  Message message;
};

// Proposes one command. All entries appended in one step share one Persist
// effect.
struct Propose
{
  std::uint64_t token = 0; // chosen by the caller, unique while pending
  std::string payload;
};

// The write of the Persist effect with this sequence number is durable.
struct Persisted
{
  std::uint64_t sequence = 0;
};

// The connection to that replica was closed. On a voter that follows it, this
// is a sign that the process of the leader has ended.
struct LinkLost
{
  InstanceId peer;
};

// There is a connection to that replica again.
struct LinkRestored
{
  InstanceId peer;
};

// Starts a linearizable read. ReadReady follows once a majority has answered a
// round of appends sent after this event, which confirms the leadership.
struct ReadRequest
{
  std::uint64_t token = 0;
};

// Answer to TakeSnapshot: the state as of meta.index, already durable.
struct SnapshotTaken
{
  SnapshotMeta meta;
  std::string bytes;
};

enum class ChangeKind : std::uint8_t
{
  AddLearner,
  PromoteToVoter,
  Remove,
  DemoteToLearner, // the replica keeps its log and receives entries
};

struct ChangeConfiguration
{
  std::uint64_t token = 0;
  ChangeKind kind = ChangeKind::AddLearner;
  InstanceId instance;
};

// Transfers leadership to another voter, before a planned stop of the leader or
// because another voter is faster.
struct TransferLeadership
{
  InstanceId target; // empty: the live voter that has the most entries
};

using Event = std::variant<Tick,
                           MessageReceived,
                           Propose,
                           Persisted,
                           LinkLost,
                           LinkRestored,
                           ReadRequest,
                           SnapshotTaken,
                           ChangeConfiguration,
                           TransferLeadership>;

enum class Role : std::uint8_t
{
  Follower, // voter or learner
  PreCandidate,
  Candidate,
  Leader,
};

struct SendMessage
{
  InstanceId to;
  Message message;
};

// Request to write and sync this data and then to report Persisted with the
// same sequence number. Persist effects must be executed in order.
struct Persist
{
  std::uint64_t sequence = 0;
  std::optional<HardState> hardState;
  std::optional<LogIndex> truncateFrom; // removes entries from this index on
  std::vector<LogEntry> entries;
  std::optional<SnapshotMeta> snapshotMeta; // set for an installed snapshot
  std::string snapshotBytes;
};

// Committed entries in log order, each exactly once per run of the process.
struct ApplyEntries
{
  std::vector<LogEntry> entries;
};

// Replaces the state machine by this snapshot.
struct RestoreSnapshot
{
  SnapshotMeta meta;
  std::string bytes;
};

// Requests a snapshot of the applied state because the log exceeds its limit.
struct TakeSnapshot
{
  SnapshotMeta meta;
};

struct ProposalCommitted
{
  std::uint64_t token = 0;
  LogIndex index = 0;
};

// The proposal was not appended, or this replica lost the leadership before the
// commit. `unknown` is true when a later leader may still commit the entry.
struct ProposalFailed
{
  std::uint64_t token = 0;
  bool unknown = false;
  InstanceId leaderHint;
};

struct ReadReady
{
  std::uint64_t token = 0;
  LogIndex index = 0; // the reader must have applied entries up to here
};

struct ReadFailed
{
  std::uint64_t token = 0;
  InstanceId leaderHint;
};

struct RoleChanged
{
  Role role = Role::Follower;
  Term term = 0;
  InstanceId leader; // empty when unknown
};

using Effect = std::variant<SendMessage,
                            Persist,
                            ApplyEntries,
                            RestoreSnapshot,
                            TakeSnapshot,
                            ProposalCommitted,
                            ProposalFailed,
                            ReadReady,
                            ReadFailed,
                            RoleChanged>;

using Effects = std::vector<Effect>;

} // namespace hyssoppaddle::agreement

#endif
