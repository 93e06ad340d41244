// File formats of the data folder.
//
// log-N.seg: a header (magic, version, N, checksum), then frames. One frame
// holds all records of one synced write. A valid frame therefore proves that
// everything before it was synced, and damage before a valid frame is not a
// torn tail. snapshot-I.snap: header, metadata, bytes, checksum. owner: header,
// cluster, instance, storage identity, checksum.
#ifndef hyssoppaddle_storage_Format_h
#define hyssoppaddle_storage_Format_h

#include "agreement/Events.h"
#include "base/Result.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssoppaddle::storage {

inline constexpr std::size_t kSegmentHeaderBytes = 24;
inline constexpr std::string_view kOwnerName = "owner";
inline constexpr std::string_view kTemporarySuffix = ".tmp";

std::string
SegmentName(std::uint64_t aNumber);
std::string
SnapshotName(agreement::LogIndex aIndex);
// Returns nothing if aName is not a name of that kind.
std::optional<std::uint64_t>
ParseSegmentName(std::string_view aName);
std::optional<std::uint64_t>
ParseSnapshotName(std::string_view aName);

std::string
EncodeSegmentHeader(std::uint64_t aNumber);
enum class HeaderState : std::uint8_t
{
  Valid,
  Torn,       // too short or wrong checksum
  Mismatched, // another format version or segment number
};
HeaderState
CheckSegmentHeader(std::string_view aBytes, std::uint64_t aNumber);

struct TruncateRecord
{
  agreement::LogIndex from = 0;
};
using Record =
  std::variant<agreement::HardState, TruncateRecord, agreement::LogEntry>;

// Appends one record to the body of a frame.
void
PutRecord(std::string& aBody, const Record& aRecord);
// Adds magic, length and checksum. The checksum is seeded with aSegment, so
// that a frame of another segment is not accepted.
std::string
EncodeFrame(std::string_view aBody, std::uint64_t aSegment);

struct Frame
{
  std::vector<Record> records;
  std::uint64_t bytes = 0; // size in the file, including the frame header
};
// Decodes the frame at the front of aBytes; returns nothing if it is not valid.
std::optional<Frame>
DecodeFrame(std::string_view aBytes, std::uint64_t aSegment);

struct SnapshotFile
{
  agreement::SnapshotMeta meta;
  std::string bytes;
};
std::string
EncodeSnapshot(const agreement::SnapshotMeta& aMeta, std::string_view aBytes);
std::optional<SnapshotFile>
DecodeSnapshot(std::string_view aBytes);

struct OwnerRecord
{
  std::string cluster;
  InstanceId instance;
  std::string identity; // random, 32 hexadecimal digits
};
std::string
EncodeOwner(const OwnerRecord& aOwner);
std::optional<OwnerRecord>
DecodeOwner(std::string_view aBytes);

} // namespace hyssoppaddle::storage

#endif
