// Encoding of the messages between entry instances and of the log entries that
// they carry.
#ifndef hyssoppaddle_wire_PeerSchema_h
#define hyssoppaddle_wire_PeerSchema_h

#include "agreement/Messages.h"
#include "wire/CommandSchema.h"
#include "wire/PeerMessage.h"

namespace hyssoppaddle::wire {

HYSSOPPADDLE_LAST_VALUE(agreement::EntryKind, Empty);

HYSSOPPADDLE_SCHEMA(agreement::Configuration, aIt.voters, aIt.learners);
HYSSOPPADDLE_SCHEMA(agreement::LogEntry,
                    aIt.index,
                    aIt.term,
                    aIt.kind,
                    aIt.payload);
HYSSOPPADDLE_SCHEMA(agreement::SnapshotMeta,
                    aIt.index,
                    aIt.term,
                    aIt.configuration);
HYSSOPPADDLE_SCHEMA(agreement::VoteRequest,
                    aIt.term,
                    aIt.preVote,
                    aIt.lastIndex,
                    aIt.lastTerm,
                    aIt.transfer);
HYSSOPPADDLE_SCHEMA(agreement::VoteReply, aIt.term, aIt.preVote, aIt.granted);
HYSSOPPADDLE_SCHEMA(agreement::AppendRequest,
                    aIt.term,
                    aIt.previousIndex,
                    aIt.previousTerm,
                    aIt.commitIndex,
                    aIt.round,
                    aIt.recovered,
                    aIt.entries);
HYSSOPPADDLE_SCHEMA(agreement::AppendReply,
                    aIt.term,
                    aIt.accepted,
                    aIt.matchIndex,
                    aIt.hint,
                    aIt.round,
                    aIt.recovery);
HYSSOPPADDLE_SCHEMA(agreement::SnapshotChunk,
                    aIt.term,
                    aIt.meta,
                    aIt.offset,
                    aIt.totalBytes,
                    aIt.digest,
                    aIt.data,
                    aIt.round);
HYSSOPPADDLE_SCHEMA(agreement::SnapshotReply,
                    aIt.term,
                    aIt.index,
                    aIt.nextOffset,
                    aIt.installed,
                    aIt.round,
                    aIt.recovery);
HYSSOPPADDLE_SCHEMA(agreement::TimeoutNow, aIt.term);

template<>
struct TypeNumbers<agreement::Message>
{
  static constexpr std::array<std::uint16_t, 7> kNumbers{
    1, // VoteRequest
    2, // VoteReply
    3, // AppendRequest
    4, // AppendReply
    5, // SnapshotChunk
    6, // SnapshotReply
    7, // TimeoutNow
  };
};

HYSSOPPADDLE_SCHEMA(Greeting,
                    aIt.protocol,
                    aIt.cluster,
                    aIt.instance,
                    aIt.boot,
                    aIt.nonce);
HYSSOPPADDLE_SCHEMA(GreetingProof, aIt.proof);
HYSSOPPADDLE_SCHEMA(RaftMessage, aIt.message);
HYSSOPPADDLE_SCHEMA(ForwardRequest, aIt.token, aIt.command);
HYSSOPPADDLE_SCHEMA(ForwardReply,
                    aIt.token,
                    aIt.decided,
                    aIt.unknown,
                    aIt.index,
                    aIt.outcome);
HYSSOPPADDLE_SCHEMA(TeamDemand, aIt.team, aIt.inUse, aIt.waiting);
HYSSOPPADDLE_SCHEMA(RenewRequest,
                    aIt.nonce,
                    aIt.boot,
                    aIt.appliedIndex,
                    aIt.bundleVersion,
                    aIt.demand);
HYSSOPPADDLE_SCHEMA(RenewReply, aIt.nonce, aIt.confirmedIndex, aIt.recalls);
HYSSOPPADDLE_SCHEMA(UpstreamLiveness,
                    aIt.instance,
                    aIt.boot,
                    aIt.sequence,
                    aIt.silent);
HYSSOPPADDLE_SCHEMA(UpstreamLivenessBatch, aIt.upstreams);
HYSSOPPADDLE_SCHEMA(JoinRequest, aIt.wantsVote);
HYSSOPPADDLE_SCHEMA(HeaderField, aIt.name, aIt.value);
HYSSOPPADDLE_SCHEMA(RemoteCall,
                    aIt.token,
                    aIt.control,
                    aIt.method,
                    aIt.target,
                    aIt.fields,
                    aIt.body);
HYSSOPPADDLE_SCHEMA(RemoteReply,
                    aIt.token,
                    aIt.status,
                    aIt.mayHaveRun,
                    aIt.fields,
                    aIt.body);
HYSSOPPADDLE_SCHEMA(NodeStatus,
                    aIt.hasDisk,
                    aIt.leader,
                    aIt.term,
                    aIt.replicas);

template<>
struct TypeNumbers<PeerMessage>
{
  static constexpr std::array<std::uint16_t, 12> kNumbers{
    1,  // Greeting
    2,  // GreetingProof
    3,  // RaftMessage
    4,  // ForwardRequest
    5,  // ForwardReply
    6,  // RenewRequest
    7,  // RenewReply
    8,  // UpstreamLivenessBatch
    9,  // JoinRequest
    10, // RemoteCall
    11, // RemoteReply
    12, // NodeStatus
  };
};

} // namespace hyssoppaddle::wire

#endif
