// Reads a data folder and distinguishes a torn tail from other damage.
#include "storage/FolderReader.h"

#include "storage/FileLayer.h"

#include <algorithm>
#include <utility>

namespace hyssoppaddle::storage {

namespace {

tl::unexpected<Error>
FailCorrupt(const std::string& aFile,
            std::uint64_t aOffset,
            const std::string& aProblem)
{
  return Fail(ErrorCode::Corrupt,
              aFile + " at byte " + std::to_string(aOffset) + ": " + aProblem);
}

// Rebuilds the log from the records of all segments, oldest first.
class Replay
{
public:
  explicit Replay(FolderContent& aContent)
    : content(aContent)
  {
  }

  // Returns a description of the problem; empty if the record is consistent.
  std::string Add(Record aRecord, SegmentInfo& aSegment)
  {
    if (auto* state = std::get_if<agreement::HardState>(&aRecord)) {
      this->content.log.hardState = std::move(*state);
      this->content.hasHardState = true;
      return {};
    }
    if (const auto* truncate = std::get_if<TruncateRecord>(&aRecord)) {
      std::vector<agreement::LogEntry>& entries = this->content.log.entries;
      while (!entries.empty() && entries.back().index >= truncate->from) {
        entries.pop_back();
      }
      return {};
    }
    return this->AddEntry(std::get<agreement::LogEntry>(std::move(aRecord)),
                          aSegment);
  }

private:
  std::string AddEntry(agreement::LogEntry aEntry, SegmentInfo& aSegment)
  {
    std::vector<agreement::LogEntry>& entries = this->content.log.entries;
    const agreement::LogIndex covered = this->content.log.snapshotMeta.index;
    aSegment.lastIndex = std::max(aSegment.lastIndex, aEntry.index);
    if (aEntry.index <= covered) {
      return {};
    }
    const agreement::LogIndex expected =
      entries.empty() ? covered + 1 : entries.back().index + 1;
    if (aEntry.index != expected) {
      return "entry " + std::to_string(aEntry.index) + " where entry " +
             std::to_string(expected) + " is expected";
    }
    entries.push_back(std::move(aEntry));
    return {};
  }

  FolderContent& content;
};

Result<void>
ListFiles(FileLayer& aFiles, FolderContent& aContent)
{
  Result<std::vector<std::string>> names = aFiles.List();
  if (!names) {
    return tl::unexpected(names.error());
  }
  for (const std::string& name : *names) {
    if (name.ends_with(kTemporarySuffix)) {
      aContent.temporaryFiles.push_back(name);
    } else if (const auto segment = ParseSegmentName(name)) {
      aContent.segments.push_back({ *segment, 0, 0, 0 });
    } else if (const auto snapshot = ParseSnapshotName(name)) {
      aContent.snapshots.push_back(*snapshot);
    }
  }
  return {};
}

Result<void>
ReadOwner(FileLayer& aFiles, FolderContent& aContent)
{
  const Result<std::string> bytes = aFiles.Read(kOwnerName);
  if (!bytes && bytes.error().code == ErrorCode::NotFound) {
    if (aContent.segments.empty() && aContent.snapshots.empty()) {
      return {};
    }
    return FailCorrupt(
      std::string(kOwnerName), 0, "the owner record is missing");
  }
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  aContent.owner = DecodeOwner(*bytes);
  if (!aContent.owner) {
    return FailCorrupt(std::string(kOwnerName),
                       0,
                       "the owner record is damaged or of another version");
  }
  return {};
}

Result<void>
ReadSnapshot(FileLayer& aFiles, FolderContent& aContent)
{
  if (aContent.snapshots.empty()) {
    return {};
  }
  const std::string name = SnapshotName(aContent.snapshots.back());
  const Result<std::string> bytes = aFiles.Read(name);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  std::optional<SnapshotFile> file = DecodeSnapshot(*bytes);
  if (!file || file->meta.index != aContent.snapshots.back()) {
    return FailCorrupt(
      name, 0, "the snapshot is damaged or of another version");
  }
  aContent.log.snapshotMeta = std::move(file->meta);
  aContent.log.snapshotBytes = std::move(file->bytes);
  return {};
}

// Offset of the first valid frame after aFrom, if there is one.
std::optional<std::uint64_t>
FindFrameAfter(std::string_view aBytes,
               std::uint64_t aFrom,
               std::uint64_t aSegment)
{
  for (std::uint64_t at = aFrom + 1; at < aBytes.size(); ++at) {
    if (aBytes[at] == 'H' && DecodeFrame(aBytes.substr(at), aSegment)) {
      return at;
    }
  }
  return std::nullopt;
}

// Handles bytes at aOffset that are not a valid frame: accepts them as a torn
// tail or fails with Corrupt.
Result<void>
CheckTail(const std::string& aName,
          std::string_view aBytes,
          std::uint64_t aOffset,
          bool aIsLast,
          const SegmentInfo& aSegment,
          FolderContent& aContent)
{
  if (!aIsLast) {
    return FailCorrupt(aName, aOffset, "damaged, and a later segment follows");
  }
  const auto later = FindFrameAfter(aBytes, aOffset, aSegment.number);
  if (later) {
    return FailCorrupt(aName,
                       aOffset,
                       "damaged, and a valid frame follows at byte " +
                         std::to_string(*later));
  }
  aContent.tornBytes = aBytes.size() - aOffset;
  return {};
}

Result<void>
ReadSegment(FileLayer& aFiles,
            SegmentInfo& aSegment,
            bool aIsLast,
            FolderContent& aContent)
{
  const std::string name = SegmentName(aSegment.number);
  const Result<std::string> bytes = aFiles.Read(name);
  if (!bytes) {
    return tl::unexpected(bytes.error());
  }
  aSegment.fileBytes = bytes->size();
  const std::string_view all = *bytes;
  switch (CheckSegmentHeader(all, aSegment.number)) {
    case HeaderState::Valid:
      break;
    case HeaderState::Torn:
      return CheckTail(name, all, 0, aIsLast, aSegment, aContent);
    case HeaderState::Mismatched:
      return FailCorrupt(name, 0, "another format version or segment number");
  }
  Replay replay(aContent);
  std::uint64_t offset = kSegmentHeaderBytes;
  aSegment.validBytes = offset;
  while (offset < all.size()) {
    std::optional<Frame> frame =
      DecodeFrame(all.substr(offset), aSegment.number);
    if (!frame) {
      return CheckTail(name, all, offset, aIsLast, aSegment, aContent);
    }
    for (Record& record : frame->records) {
      const std::string problem = replay.Add(std::move(record), aSegment);
      if (!problem.empty()) {
        return FailCorrupt(name, offset, problem);
      }
    }
    offset += frame->bytes;
    aSegment.validBytes = offset;
  }
  return {};
}

Result<void>
ReadSegments(FileLayer& aFiles, FolderContent& aContent)
{
  std::vector<SegmentInfo>& segments = aContent.segments;
  for (std::size_t i = 0; i < segments.size(); ++i) {
    if (i > 0 && segments[i].number != segments[i - 1].number + 1) {
      return FailCorrupt(
        SegmentName(segments[i - 1].number + 1), 0, "the segment is missing");
    }
    const bool isLast = i + 1 == segments.size();
    Result<void> read = ReadSegment(aFiles, segments[i], isLast, aContent);
    if (!read) {
      return read;
    }
  }
  return {};
}

} // namespace

Result<FolderContent>
ReadFolder(FileLayer& aFiles)
{
  using Step = Result<void> (*)(FileLayer&, FolderContent&);
  constexpr Step kSteps[] = {
    ListFiles, ReadOwner, ReadSnapshot, ReadSegments
  };
  FolderContent content;
  for (const Step step : kSteps) {
    const Result<void> done = step(aFiles, content);
    if (!done) {
      return tl::unexpected(done.error());
    }
  }
  content.log.voteStateIntact =
    content.hasHardState && !content.log.hardState.recovering;
  return content;
}

} // namespace hyssoppaddle::storage
