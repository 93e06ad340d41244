// Input events and output effects of the deterministic core of one daemon.
#ifndef hyssoppaddle_core_Events_h
#define hyssoppaddle_core_Events_h

#include "agreement/Events.h"
#include "planner/Planner.h"
#include "request/Events.h"
#include "state/Commands.h"
#include "state/Outcome.h"
#include "wire/PeerMessage.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::core {

// A command from an operator, member, caller or upstream that has to go through
// the replicated log.
struct CommandReceived
{
  std::uint64_t token = 0; // identifies the waiting HTTP exchange
  state::Command command;
};

struct PeerReceived
{
  InstanceId from;
  wire::PeerMessage message;
};

// The connection to a peer ended. The outcome of commands that were forwarded
// over it is unknown.
struct PeerLost
{
  InstanceId peer;
};

// The write requested by WriteStorage with this sequence number is durable.
struct StorageWritten
{
  std::uint64_t sequence = 0;
};

// The snapshot requested by SaveSnapshot is durable.
struct SnapshotSaved
{
  agreement::SnapshotMeta meta;
  std::string bytes;
};

// Starts a linearizable read. ReadDecided follows once this instance has
// applied every entry that was committed when this event arrived.
struct ReadRequested
{
  std::uint64_t token = 0;
};

// An announcement of an upstream, with its task reports.
struct AnnouncementReceived
{
  std::uint64_t token = 0;
  state::Announcement announcement;
  std::vector<state::TaskReport> reports;
};

// An operator requests a change to the set of entry instances.
struct ConfigurationChangeRequested
{
  std::uint64_t token = 0;
  agreement::ChangeKind kind = agreement::ChangeKind::AddLearner;
  InstanceId instance;
};

struct Tick
{};

using Event = std::variant<CommandReceived,
                           PeerReceived,
                           PeerLost,
                           StorageWritten,
                           SnapshotSaved,
                           ReadRequested,
                           AnnouncementReceived,
                           ConfigurationChangeRequested,
                           request::Event,
                           Tick>;

struct SendPeer
{
  InstanceId to;
  wire::PeerMessage message;
};

struct WriteStorage
{
  agreement::Persist persist;
};

struct SaveSnapshot
{
  agreement::SnapshotMeta meta;
  std::string bytes;
};

// Answer to CommandReceived or ConfigurationChangeRequested.
struct CommandDecided
{
  std::uint64_t token = 0;
  bool decided = false; // false: no leader could be reached
  bool unknown = false; // not decided yet, but may still be committed
  state::Outcome outcome;
};

struct ReadDecided
{
  std::uint64_t token = 0;
  bool ready = false;
};

struct AnswerAnnouncement
{
  std::uint64_t token = 0;
  bool accepted =
    true; // false: stale; the stored boot time and sequence follow
  std::int64_t storedBootedAtMs = 0;
  std::uint64_t storedSequence = 0;
  Duration interval{ 0 };
  std::vector<planner::Instruction> instructions;
};

struct DeliverInstruction
{
  planner::Instruction instruction;
  std::string address;
  std::string payload; // of the job, for StartTask
  ServiceId service;
};

struct LeaderChanged
{
  InstanceId leader;
  agreement::Term term = 0;
  bool self = false;
};

using Effect = std::variant<SendPeer,
                            WriteStorage,
                            SaveSnapshot,
                            CommandDecided,
                            ReadDecided,
                            AnswerAnnouncement,
                            DeliverInstruction,
                            LeaderChanged,
                            request::Effect,
                            planner::LogDecision>;

using Effects = std::vector<Effect>;

} // namespace hyssoppaddle::core

#endif
