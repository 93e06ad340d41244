// Durable log of one voter.
#include "storage/LogStore.h"

#include "storage/FileLayer.h"
#include "storage/FolderReader.h"
#include "storage/Format.h"

#include <algorithm>
#include <optional>
#include <random>
#include <utility>

namespace hyssoppaddle::storage {

namespace {

std::string
NewIdentity()
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kIdentityLength = 32;
  std::random_device source;
  std::uniform_int_distribution<std::size_t> digit(0, kDigits.size() - 1);
  std::string identity;
  for (int i = 0; i < kIdentityLength; ++i) {
    identity.push_back(kDigits[digit(source)]);
  }
  return identity;
}

} // namespace

struct LogStore::Impl
{
  std::unique_ptr<FileLayer> files;
  LogStoreOptions options;
  FolderContent content; // log is moved out by TakeRecovered
  OwnerRecord owner;
  std::unique_ptr<AppendFile> current; // the last of content.segments
  agreement::HardState hardState;      // as last written
  bool hasHardState = false;
  agreement::LogIndex snapshotIndex = 0;
  bool failed = false;
  // Set while the last batch is refused: the sequence number of its first item,
  // and how many of its items are already on disk.
  std::optional<std::uint64_t> refusedSequence;
  std::size_t writtenItems = 0;

  Result<void> Open();
  [[nodiscard]] Result<void> CheckOwner() const;
  Result<void> RemoveTemporaryFiles();
  Result<void> WriteOwnerRecord();
  Result<void> RemoveTornTail();
  Result<void> StartSegment();
  Result<void> WriteFileAtomically(std::string_view aName,
                                   std::string_view aBytes);
  // Removes a file that was not completed, so that aRefusal leaves no trace.
  Result<void> RemoveRefusedFile(std::string_view aName, const Error& aRefusal);
  Result<void> WriteFrame(const std::string& aBody,
                          agreement::LogIndex aLastIndex);
  Result<void> WriteAll(std::span<const agreement::Persist> aBatch);
  Result<void> SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                            std::string_view aBytes);
  Result<void> RemoveCoveredFiles();
  // Records a failure that leaves unknown what reached the disk.
  Result<void> RecordFailure(Result<void> aResult);
};

Result<void>
LogStore::Impl::Open()
{
  Result<void> locked = this->files->Lock();
  if (!locked) {
    return locked;
  }
  Result<FolderContent> read = ReadFolder(*this->files);
  if (!read) {
    return tl::unexpected(read.error());
  }
  this->content = std::move(*read);
  this->hardState = this->content.log.hardState;
  this->hasHardState = this->content.hasHardState;
  this->snapshotIndex = this->content.log.snapshotMeta.index;
  // The torn tail is removed before covered segments: until then the hard state
  // may be only in a covered segment, afterwards the last segment has it.
  return this->CheckOwner()
    .and_then([&] { return this->RemoveTemporaryFiles(); })
    .and_then([&] { return this->WriteOwnerRecord(); })
    .and_then([&] { return this->RemoveTornTail(); })
    .and_then([&] { return this->RemoveCoveredFiles(); });
}

Result<void>
LogStore::Impl::CheckOwner() const
{
  const std::optional<OwnerRecord>& found = this->content.owner;
  if (!found || (found->cluster == this->options.cluster &&
                 found->instance == this->options.owner)) {
    return {};
  }
  return Fail(ErrorCode::Conflict,
              "the data folder belongs to instance " + found->instance.value +
                " of cluster " + found->cluster);
}

// Writes the owner record of a new folder.
Result<void>
LogStore::Impl::WriteOwnerRecord()
{
  if (this->content.owner) {
    this->owner = *this->content.owner;
    return {};
  }
  this->owner =
    OwnerRecord{ this->options.cluster, this->options.owner, NewIdentity() };
  return this->WriteFileAtomically(kOwnerName, EncodeOwner(this->owner));
}

// Removes files left behind by a crash: a new file of the same name must start
// empty.
Result<void>
LogStore::Impl::RemoveTemporaryFiles()
{
  for (const std::string& name : this->content.temporaryFiles) {
    Result<void> removed = this->files->Remove(name);
    if (!removed) {
      return removed;
    }
  }
  return {};
}

Result<void>
LogStore::Impl::RemoveTornTail()
{
  std::vector<SegmentInfo>& segments = this->content.segments;
  if (segments.empty()) {
    return this->StartSegment();
  }
  const SegmentInfo& last = segments.back();
  const std::string name = SegmentName(last.number);
  if (last.validBytes <= kSegmentHeaderBytes) {
    // A crash interrupted the creation of the segment, possibly before the hard
    // state was repeated in it. Nothing in it was ever reported as durable.
    Result<void> removed = this->files->Remove(name);
    if (!removed) {
      return removed;
    }
    segments.pop_back();
    return this->RemoveTornTail();
  }
  if (last.validBytes < last.fileBytes) {
    Result<void> cut = this->files->Truncate(name, last.validBytes);
    if (!cut) {
      return cut;
    }
  }
  Result<std::unique_ptr<AppendFile>> file = this->files->OpenForAppend(name);
  if (!file) {
    return tl::unexpected(file.error());
  }
  this->current = std::move(*file);
  return {};
}

// The hard state is repeated at the start of each segment, so that older
// segments can be removed.
Result<void>
LogStore::Impl::StartSegment()
{
  std::vector<SegmentInfo>& segments = this->content.segments;
  const std::uint64_t number =
    segments.empty() ? 1 : segments.back().number + 1;
  std::string bytes = EncodeSegmentHeader(number);
  if (this->hasHardState) {
    std::string body;
    PutRecord(body, this->hardState);
    bytes += EncodeFrame(body, number);
  }
  const std::string name = SegmentName(number);
  Result<std::unique_ptr<AppendFile>> file = this->files->OpenForAppend(name);
  if (!file) {
    return tl::unexpected(file.error());
  }
  const Result<void> appended = (*file)->Append(bytes);
  if (!appended) {
    return this->RemoveRefusedFile(name, appended.error());
  }
  Result<void> synced =
    (*file)->Sync().and_then([&] { return this->files->SyncFolder(); });
  if (!synced) {
    return synced;
  }
  this->current = std::move(*file);
  segments.push_back({ number, bytes.size(), bytes.size(), 0 });
  return {};
}

Result<void>
LogStore::Impl::RemoveRefusedFile(std::string_view aName, const Error& aRefusal)
{
  if (aRefusal.code == ErrorCode::OutOfResources) {
    Result<void> removed = this->files->Remove(aName);
    if (!removed) {
      return removed;
    }
  }
  return tl::unexpected(aRefusal);
}

Result<void>
LogStore::Impl::WriteFileAtomically(std::string_view aName,
                                    std::string_view aBytes)
{
  const std::string temporaryName =
    std::string(aName) + std::string(kTemporarySuffix);
  Result<std::unique_ptr<AppendFile>> file =
    this->files->OpenForAppend(temporaryName);
  if (!file) {
    return tl::unexpected(file.error());
  }
  const Result<void> renamed =
    (*file)
      ->Append(aBytes)
      .and_then([&] { return (*file)->Sync(); })
      .and_then([&] { return this->files->Rename(temporaryName, aName); });
  if (!renamed) {
    return this->RemoveRefusedFile(temporaryName, renamed.error());
  }
  return this->files->SyncFolder();
}

Result<void>
LogStore::Impl::WriteFrame(const std::string& aBody,
                           agreement::LogIndex aLastIndex)
{
  if (aBody.empty()) {
    return {};
  }
  if (this->content.segments.back().fileBytes >= this->options.segmentBytes) {
    Result<void> started = this->StartSegment();
    if (!started) {
      return started;
    }
  }
  SegmentInfo& segment = this->content.segments.back();
  const std::string frame = EncodeFrame(aBody, segment.number);
  Result<void> appended = this->current->Append(frame);
  if (!appended) {
    const bool isRefused = appended.error().code == ErrorCode::OutOfResources;
    return isRefused ? this->current->CutBack(segment.fileBytes).and_then([&] {
      return appended;
    })
                     : appended;
  }
  segment.fileBytes += frame.size();
  segment.validBytes = segment.fileBytes;
  segment.lastIndex = std::max(segment.lastIndex, aLastIndex);
  return this->current->Sync();
}

// A snapshot splits the batch: its truncation must be durable before it, and
// later entries are contiguous only with the snapshot.
Result<void>
LogStore::Impl::WriteAll(std::span<const agreement::Persist> aBatch)
{
  std::string body;
  agreement::LogIndex last = 0;
  for (std::size_t i = 0; i < aBatch.size(); ++i) {
    const agreement::Persist& item = aBatch[i];
    const bool isWritten = i < this->writtenItems;
    if (item.hardState && !isWritten) {
      this->hardState = *item.hardState;
      this->hasHardState = true;
      PutRecord(body, *item.hardState);
    }
    if (item.truncateFrom && !isWritten) {
      PutRecord(body, TruncateRecord{ *item.truncateFrom });
    }
    for (const agreement::LogEntry& entry : item.entries) {
      if (!isWritten) {
        PutRecord(body, entry);
        last = entry.index;
      }
    }
    if (item.snapshotMeta) {
      Result<void> saved = this->WriteFrame(body, last).and_then([&] {
        this->writtenItems = std::max(this->writtenItems, i + 1);
        return this->SaveSnapshot(*item.snapshotMeta, item.snapshotBytes);
      });
      if (!saved) {
        return saved;
      }
      body.clear();
      last = 0;
    }
  }
  return this->WriteFrame(body, last);
}

Result<void>
LogStore::Impl::SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                             std::string_view aBytes)
{
  if (aMeta.index <= this->snapshotIndex) {
    return {}; // a newer snapshot has already been installed
  }
  Result<void> written = this->WriteFileAtomically(
    SnapshotName(aMeta.index), EncodeSnapshot(aMeta, aBytes));
  if (!written) {
    return written;
  }
  this->snapshotIndex = aMeta.index;
  this->content.snapshots.push_back(aMeta.index);
  return this->RemoveCoveredFiles();
}

// Removes all but the newest snapshot and, starting with the oldest, the
// segments whose entries it covers.
Result<void>
LogStore::Impl::RemoveCoveredFiles()
{
  std::vector<std::uint64_t>& snapshots = this->content.snapshots;
  while (snapshots.size() > 1) {
    Result<void> removed = this->files->Remove(SnapshotName(snapshots.front()));
    if (!removed) {
      return removed;
    }
    snapshots.erase(snapshots.begin());
  }
  std::vector<SegmentInfo>& segments = this->content.segments;
  while (segments.size() > 1 &&
         segments.front().lastIndex <= this->snapshotIndex) {
    // Each removal is synced before the next, so that a crash cannot leave a
    // gap.
    Result<void> removed =
      this->files->Remove(SegmentName(segments.front().number)).and_then([&] {
        return this->files->SyncFolder();
      });
    if (!removed) {
      return removed;
    }
    segments.erase(segments.begin());
  }
  return {};
}

Result<void>
LogStore::Impl::RecordFailure(Result<void> aResult)
{
  const bool isUnknown =
    !aResult && aResult.error().code != ErrorCode::OutOfResources;
  this->failed = this->failed || isUnknown;
  return aResult;
}

Result<LogStore>
LogStore::Open(std::unique_ptr<FileLayer> aFiles,
               const LogStoreOptions& aOptions)
{
  auto opened = std::make_unique<Impl>();
  opened->files = std::move(aFiles);
  opened->options = aOptions;
  const Result<void> done = opened->Open();
  if (!done) {
    return tl::unexpected(done.error());
  }
  return LogStore(std::move(opened));
}

LogStore::LogStore(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

LogStore::~LogStore() = default;
LogStore::LogStore(LogStore&&) noexcept = default;
LogStore&
LogStore::operator=(LogStore&&) noexcept = default;

agreement::RecoveredLog
LogStore::TakeRecovered()
{
  return std::exchange(this->impl->content.log, {});
}

Result<void>
LogStore::Write(std::span<const agreement::Persist> aBatch)
{
  if (this->impl->failed) {
    return Fail(ErrorCode::Unavailable, "the store has failed before");
  }
  if (aBatch.empty()) {
    return {};
  }
  std::optional<std::uint64_t>& refused = this->impl->refusedSequence;
  if (refused && *refused != aBatch.front().sequence) {
    return this->impl->RecordFailure(Fail(
      ErrorCode::Unavailable, "the refused batch has to be written first"));
  }
  Result<void> written =
    this->impl->RecordFailure(this->impl->WriteAll(aBatch));
  refused.reset();
  if (written) {
    this->impl->writtenItems = 0;
  } else {
    refused = aBatch.front().sequence;
  }
  return written;
}

Result<void>
LogStore::SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                       std::string_view aBytes)
{
  if (this->impl->failed) {
    return Fail(ErrorCode::Unavailable, "the store has failed before");
  }
  return this->impl->RecordFailure(this->impl->SaveSnapshot(aMeta, aBytes));
}

std::uint64_t
LogStore::TornBytes() const
{
  return this->impl->content.tornBytes;
}

const std::string&
LogStore::Identity() const
{
  return this->impl->owner.identity;
}

VerifyReport
Verify(FileLayer& aFiles)
{
  VerifyReport report;
  const Result<FolderContent> content = ReadFolder(aFiles);
  if (!content) {
    report.problem = content.error().message;
    return report;
  }
  const agreement::RecoveredLog& log = content->log;
  report.sound = true;
  report.entries = log.entries.size();
  report.snapshotIndex = log.snapshotMeta.index;
  report.lastIndex =
    log.entries.empty() ? log.snapshotMeta.index : log.entries.back().index;
  report.tornBytes = content->tornBytes;
  return report;
}

} // namespace hyssoppaddle::storage
