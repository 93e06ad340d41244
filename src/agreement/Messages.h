// Messages of the replicated log between entry instances.
#ifndef hyssoppaddle_agreement_Messages_h
#define hyssoppaddle_agreement_Messages_h

#include "agreement/LogEntry.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hyssoppaddle::agreement {

// Pre-vote (preVote = true, no term is taken) or vote.
struct VoteRequest
{
  Term term = 0;
  bool preVote = false;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;
  bool transfer = false; // the leader asked for it: ignores the leader lease
  bool operator==(const VoteRequest&) const = default;
};

struct VoteReply
{
  Term term = 0;
  bool preVote = false;
  bool granted = false;
  bool operator==(const VoteReply&) const = default;
};

// Also the heartbeat, when it has no entries.
struct AppendRequest
{
  Term term = 0;
  LogIndex previousIndex = 0;
  Term previousTerm = 0;
  LogIndex commitIndex = 0;
  std::uint64_t round = 0; // echoed; confirms leadership for reads
  // Echo of AppendReply::recovery: the receiver is caught up and may vote.
  std::uint64_t recovered = 0;
  std::vector<LogEntry> entries;
  bool operator==(const AppendRequest&) const = default;
};

struct AppendReply
{
  Term term = 0;
  bool accepted = false;
  LogIndex matchIndex = 0; // durable up to here when accepted
  LogIndex hint = 0;       // first index to send next when not accepted
  std::uint64_t round = 0;
  // Not 0 while the sender has lost its storage: its answers do not count
  // towards commits, reads and the check of the quorum. New per process life.
  std::uint64_t recovery = 0;
  bool operator==(const AppendReply&) const = default;
};

// Part of a snapshot, at most 16 KiB of data.
struct SnapshotChunk
{
  Term term = 0;
  SnapshotMeta meta;
  std::uint64_t offset = 0;
  std::uint64_t totalBytes = 0;
  // XXH64 of all bytes: chunks of two leaders may be combined only when equal.
  std::uint64_t digest = 0;
  std::string data;
  std::uint64_t round = 0;
  bool operator==(const SnapshotChunk&) const = default;
};

struct SnapshotReply
{
  Term term = 0;
  LogIndex index = 0;           // of the snapshot
  std::uint64_t nextOffset = 0; // resumes here
  bool installed = false;
  std::uint64_t round = 0;
  std::uint64_t recovery = 0; // as in AppendReply
  bool operator==(const SnapshotReply&) const = default;
};

// Leader to a caught-up voter: start an election now.
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
