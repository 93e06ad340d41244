// Entries of the replicated log and the durable state of one replica.
#ifndef hyssoppaddle_agreement_LogEntry_h
#define hyssoppaddle_agreement_LogEntry_h

#include "base/Id.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace hyssoppaddle::agreement {

using Term = std::uint64_t;
using LogIndex = std::uint64_t; // the first entry has index 1

// Voters and learners of the cluster. At most 12 in total.
struct Configuration
{
  std::vector<InstanceId> voters;   // sorted
  std::vector<InstanceId> learners; // sorted
  bool operator==(const Configuration&) const = default;
};

enum class EntryKind : std::uint8_t
{
  Command,       // payload is an encoded state::Command
  Configuration, // payload is an encoded Configuration
  Empty,         // first entry of a leader's term
};

struct LogEntry
{
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::Command;
  std::string payload;
  bool operator==(const LogEntry&) const = default;
};

// Bytes that the entry takes in a log in memory.
[[nodiscard]] inline std::size_t
SizeInMemory(const LogEntry& aEntry)
{
  return sizeof(LogEntry) + aEntry.payload.size();
}

// Must be durable before any message that depends on it is sent.
struct HardState
{
  Term term = 0;
  InstanceId votedFor; // empty: no vote in this term
  // Set after the replica lost its storage, until a leader confirms that it has
  // caught up. While it is set, the replica neither votes nor campaigns, and
  // its replies do not count towards any quorum.
  bool recovering = false;
  bool operator==(const HardState&) const = default;
};

struct SnapshotMeta
{
  LogIndex index = 0;
  Term term = 0;
  Configuration configuration;
  bool operator==(const SnapshotMeta&) const = default;
};

} // namespace hyssoppaddle::agreement

#endif
