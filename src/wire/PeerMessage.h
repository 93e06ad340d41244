// Messages between entry instances, after the greeting.
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

// First frame in both directions. The proof is a keyed BLAKE2b over both
// nonces, sent in GreetingProof once the other nonce is known.
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

// A command for the leader to append.
struct ForwardRequest
{
  std::uint64_t token = 0;
  state::Command command;
  bool operator==(const ForwardRequest&) const = default;
};

struct ForwardReply
{
  std::uint64_t token = 0;
  // False when this instance does not lead or lost the leadership: the command
  // may (unknown) or may not have been appended.
  bool decided = false;
  bool unknown = false;
  agreement::LogIndex index = 0; // applied here, so a reader can wait for it
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

// Entry instance to leader, every second, and at once when permits run short.
struct RenewRequest
{
  std::uint64_t nonce = 0;
  std::string boot;
  agreement::LogIndex appliedIndex = 0;
  std::uint64_t bundleVersion = 0; // in force here
  std::vector<TeamDemand> demand;  // teams with permits or waiting work
  bool operator==(const RenewRequest&) const = default;
};

// Leader to entry instance, after a majority confirmed its leadership.
struct RenewReply
{
  std::uint64_t nonce = 0;
  agreement::LogIndex confirmedIndex = 0;
  // Permits the leader would like back, at most the idle ones are returned.
  std::vector<TeamDemand> recalls; // inUse = number wanted back
  bool operator==(const RenewReply&) const = default;
};

struct UpstreamLiveness
{
  InstanceId instance;
  std::string boot;
  std::uint64_t sequence = 0;
  bool silent = false; // watched here and not heard for the bound
  bool operator==(const UpstreamLiveness&) const = default;
};

// Newly watched and newly silent upstreams, batched for 100 ms.
struct UpstreamLivenessBatch
{
  std::vector<UpstreamLiveness> upstreams;
  bool operator==(const UpstreamLivenessBatch&) const = default;
};

// An instance that is not yet in the configuration asks the leader to add it.
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

// A whole request of a caller, an upstream or an operator for the leader. Calls
// are idempotent, so the sender may repeat one to a later leader.
struct RemoteCall
{
  std::uint64_t token = 0;
  bool control = false; // of the control listener
  std::string method;
  std::string target;
  std::vector<HeaderField> fields;
  std::string body;
  bool operator==(const RemoteCall&) const = default;
};

struct RemoteReply
{
  std::uint64_t token = 0;
  std::uint32_t status = 0; // 0: not decided there; the next leader is asked
  bool mayHaveRun = false;  // of an undecided call
  std::vector<HeaderField> fields;
  std::string body;
  bool operator==(const RemoteReply&) const = default;
};

// Sent at a fixed interval on every link: proves that the link works, and says
// who leads and where the replicas are.
struct NodeStatus
{
  bool hasDisk = false;
  InstanceId leader; // empty when unknown
  agreement::Term term = 0;
  std::vector<InstanceId> replicas; // voters and learners known here
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
