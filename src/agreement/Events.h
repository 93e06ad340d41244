// Events into and effects out of the replicated log of one entry instance.
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

// Entries proposed in one call share one Persist effect.
struct Propose
{
  std::uint64_t token = 0; // chosen by the caller, unique while pending
  std::string payload;
};

// Everything of the Persist effect with this sequence number is durable.
struct Persisted
{
  std::uint64_t sequence = 0;
};

// Linearizable read: ReadReady follows once leadership is confirmed by a
// majority that answered a round sent after this event.
struct ReadRequest
{
  std::uint64_t token = 0;
};

// Answer to TakeSnapshot: state as of `index`, durable.
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
};

struct ChangeConfiguration
{
  std::uint64_t token = 0;
  ChangeKind kind = ChangeKind::AddLearner;
  InstanceId instance;
};

// Before a planned stop of the leader: hands over to a caught-up voter.
struct TransferLeadership
{};

using Event = std::variant<Tick,
                           MessageReceived,
                           Propose,
                           Persisted,
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

// Write and sync, then report Persisted with the same sequence number. Effects
// of this kind must be carried out in order.
struct Persist
{
  std::uint64_t sequence = 0;
  std::optional<HardState> hardState;
  std::optional<LogIndex> truncateFrom; // removes entries from this index on
  std::vector<LogEntry> entries;
  std::optional<SnapshotMeta> snapshotMeta; // an installed snapshot, with bytes
  std::string snapshotBytes;
};

// Committed entries in order, each exactly once per process life.
struct ApplyEntries
{
  std::vector<LogEntry> entries;
};

// The state machine is replaced by this snapshot.
struct RestoreSnapshot
{
  SnapshotMeta meta;
  std::string bytes;
};

// The log has grown past its bound: take a snapshot of the applied state.
struct TakeSnapshot
{
  SnapshotMeta meta;
};

struct ProposalCommitted
{
  std::uint64_t token = 0;
  LogIndex index = 0;
};

// Not appended, or lost with the leadership. `unknown` is true when the entry
// may still be committed by a later leader.
struct ProposalFailed
{
  std::uint64_t token = 0;
  bool unknown = false;
  InstanceId leaderHint;
};

struct ReadReady
{
  std::uint64_t token = 0;
  LogIndex index = 0; // the reader must have applied up to here
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
