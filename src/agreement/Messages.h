// Replication and election messages between entry instances.
#ifndef hyssoppaddle_agreement_Messages_h
#define hyssoppaddle_agreement_Messages_h

#include "agreement/LogEntry.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::agreement {

// Requests a vote, or a pre-vote, which does not change the term of the
// receiver.
struct VoteRequest
{
  Term term = 0;
  bool preVote = false;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  // Set when the leader asked for the election (TimeoutNow): the receiver then
  // ignores its leader lease.
  bool transfer = false;
  bool operator==(const VoteRequest&) const = default;
};

struct VoteReply
{
  Term term = 0;
  bool preVote = false;
  bool granted = false;
  bool operator==(const VoteReply&) const = default;
};

// Appends entries; without entries it is a heartbeat.
struct AppendRequest
{
  Term term = 0;
  LogIndex previousIndex = 0;
  Term previousTerm = 0;
  LogIndex commitIndex = 0;
  std::uint64_t round = 0; // echoed in the reply; confirms leadership for reads
  // Echo of AppendReply::recovery: tells the receiver that it has caught up and
  // may vote. 0 otherwise.
  std::uint64_t recovered = 0;
  std::vector<LogEntry> entries;
  bool operator==(const AppendRequest&) const = default;
};

struct AppendReply
{
  Term term = 0;
  bool accepted = false;
  LogIndex matchIndex = 0; // if accepted: entries are durable up to here
  LogIndex hint = 0;       // if rejected: first index to send next
  std::uint64_t round = 0;
  // Recovery nonce; not 0 while the sender recovers from the loss of its
  // storage. Its replies then do not count towards commits, read confirmations
  // and the quorum check. Generated at random at each start of the process.
  std::uint64_t recovery = 0;
  bool operator==(const AppendReply&) const = default;
};

// Part of a snapshot with at most 16 KiB of data.
struct SnapshotChunk
{
  Term term = 0;
  SnapshotMeta meta;
  std::uint64_t offset = 0;
  std::uint64_t totalBytes = 0;
  // XXH64 of the whole snapshot. Chunks from two leaders may be combined only
  // if their digests are equal.
  std::uint64_t digest = 0;
  std::string data;
  std::uint64_t round = 0;
  bool operator==(const SnapshotChunk&) const = default;
};

struct SnapshotReply
{
  Term term = 0;
  LogIndex index = 0;           // index of the snapshot
  std::uint64_t nextOffset = 0; // offset of the next chunk to send
  bool installed = false;
  std::uint64_t round = 0;
  std::uint64_t recovery = 0; // as in AppendReply
  bool operator==(const SnapshotReply&) const = default;
};

// Sent by the leader to a caught-up voter: start an election immediately.
struct TimeoutNow
{
  Term term = 0;
  bool operator==(const TimeoutNow&) const = default;
};

using Message = std::variant<VoteRequest,
                             VoteReply,
                             AppendRequest,
                             AppendReply,
                             SnapshotChunk,
                             SnapshotReply,
                             TimeoutNow>;

} // namespace hyssoppaddle::agreement

#endif
