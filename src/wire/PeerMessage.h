// Messages between entry instances: the greeting that authenticates a link, and
// the messages that follow it.
#ifndef hyssoppaddle_wire_PeerMessage_h
#define hyssoppaddle_wire_PeerMessage_h

#include "agreement/Messages.h"
#include "state/Commands.h"
#include "state/Outcome.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::wire {

// First frame in both directions. Once a side knows the nonce of the other, it
// sends GreetingProof with a keyed BLAKE2b hash over both nonces.
struct Greeting
{
  std::uint32_t protocol = 0;
  std::string cluster;
  InstanceId instance;
  std::string boot;
  std::string nonce; // 16 random bytes
  bool operator==(const Greeting&) const = default;
};

struct GreetingProof
{
  std::string proof; // 32 bytes
  bool operator==(const GreetingProof&) const = default;
};

struct RaftMessage
{
  agreement::Message message;
  bool operator==(const RaftMessage&) const = default;
};

// Asks the leader to append a command.
struct ForwardRequest
{
  std::uint64_t token = 0;
  state::Command command;
  bool operator==(const ForwardRequest&) const = default;
};

struct ForwardReply
{
  std::uint64_t token = 0;
  // False if the sender is not the leader or lost the leadership. If `unknown`
  // is set, the command may have been appended; otherwise it was not.
  bool decided = false;
  bool unknown = false;
  agreement::LogIndex index = 0; // log index to wait for before reading
  state::Outcome outcome;
  bool operator==(const ForwardReply&) const = default;
};

struct TeamDemand
{
  TeamId team;
  std::uint32_t inUse = 0;
  std::uint32_t waiting = 0;
  bool operator==(const TeamDemand&) const = default;
};

// Sent by an entry instance to the leader every second, and immediately when
// permits run short.
struct RenewRequest
{
  std::uint64_t nonce = 0;
  std::string boot;
  agreement::LogIndex appliedIndex = 0;
  std::uint64_t bundleVersion = 0; // in force on the sender
  std::vector<TeamDemand> demand;  // teams with permits or waiting work
  bool operator==(const RenewRequest&) const = default;
};

// Sent by the leader to an entry instance after a majority confirmed the
// leadership.
struct RenewReply
{
  std::uint64_t nonce = 0;
  agreement::LogIndex confirmedIndex = 0;
  // Permits that the leader asks back: inUse is the number per team. Only idle
  // permits are returned.
  std::vector<TeamDemand> recalls;
  bool operator==(const RenewReply&) const = default;
};

struct UpstreamLiveness
{
  InstanceId instance;
  std::string boot;
  std::uint64_t sequence = 0;
  bool silent = false; // the sender watches it and received nothing in time
  bool operator==(const UpstreamLiveness&) const = default;
};

// Upstreams that the sender newly watches or that newly became silent, batched
// for 100 ms.
struct UpstreamLivenessBatch
{
  std::vector<UpstreamLiveness> upstreams;
  bool operator==(const UpstreamLivenessBatch&) const = default;
};

// Asks the leader to add the sender, which is not yet in the configuration.
struct JoinRequest
{
  bool wantsVote = false;
  bool operator==(const JoinRequest&) const = default;
};

// One header field of a forwarded call.
struct HeaderField
{
  std::string name;
  std::string value;
  bool operator==(const HeaderField&) const = default;
};

// A complete HTTP request of a caller, an upstream or an operator, forwarded to
// the leader. Calls are idempotent, so the sender may retry one with a later
// leader.
struct RemoteCall
{
  std::uint64_t token = 0;
  bool control = false; // received on the control listener
  std::string method;
  std::string target;
  std::vector<HeaderField> fields;
  std::string body;
  bool operator==(const RemoteCall&) const = default;
};

// The token of a RemoteReply that answers no call and reports the state of its
// sender in `fields`. Nodes of earlier versions ignore it, while they refuse
// messages of unknown types.
inline constexpr std::uint64_t kReportToken = 0;

struct RemoteReply
{
  std::uint64_t token = 0;
  std::uint32_t status = 0; // 0: undecided; the sender retries the next leader
  bool mayHaveRun = false;  // whether an undecided call may have taken effect
  std::vector<HeaderField> fields;
  std::string body;
  bool operator==(const RemoteReply&) const = default;
};

// Sent at a fixed interval on each link. Shows that the link works and reports
// the current leader and the replicas.
struct NodeStatus
{
  bool hasDisk = false;
  InstanceId leader; // empty when unknown
  agreement::Term term = 0;
  std::vector<InstanceId> replicas; // voters and learners the sender knows
  bool operator==(const NodeStatus&) const = default;
};

using PeerMessage = std::variant<Greeting,
                                 GreetingProof,
                                 RaftMessage,
                                 ForwardRequest,
                                 ForwardReply,
                                 RenewRequest,
                                 RenewReply,
                                 UpstreamLivenessBatch,
                                 JoinRequest,
                                 RemoteCall,
                                 RemoteReply,
                                 NodeStatus>;

} // namespace hyssoppaddle::wire

#endif
