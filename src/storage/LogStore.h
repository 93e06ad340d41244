// Durable log of one voter: segment files with checksums, snapshot files and an
// owner record.
#ifndef hyssoppaddle_storage_LogStore_h
#define hyssoppaddle_storage_LogStore_h

#include "agreement/Events.h"
#include "agreement/Raft.h"
#include "base/Result.h"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace hyssoppaddle::storage {

class FileLayer;

struct LogStoreOptions
{
  std::string cluster;
  InstanceId owner;
  std::size_t segmentBytes = 8UL * 1024 * 1024;
};

class LogStore
{
public:
  // Locks the folder, checks its owner record and reads it. Fails with Conflict
  // if another instance owns the folder, and with Corrupt (naming file and
  // offset) for damage that is not a torn tail. A torn tail is truncated, and
  // TornBytes() reports its size.
  static Result<LogStore> Open(std::unique_ptr<FileLayer> aFiles,
                               const LogStoreOptions& aOptions);
  ~LogStore();
  LogStore(LogStore&&) noexcept;
  LogStore& operator=(LogStore&&) noexcept;

  // Moves out the log that Open has read; call at most once.
  agreement::RecoveredLog TakeRecovered();

  // Writes aBatch in order, with one sync unless the batch contains a snapshot
  // or starts a segment. OutOfResources: the disk holds a known part of the
  // batch, and the next write must begin with the same batch. After any other
  // error all further writes fail, because it is unknown what reached the disk.
  Result<void> Write(std::span<const agreement::Persist> aBatch);

  // Writes the snapshot to a temporary file, syncs and renames it, syncs the
  // folder, then removes segments and snapshots that are no longer needed.
  // OutOfResources: nothing was changed.
  Result<void> SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                            std::string_view aBytes);

  [[nodiscard]] std::uint64_t TornBytes() const;

  // Random identity, drawn when the folder was first used. A folder that was
  // lost and created again has a different one.
  [[nodiscard]] const std::string& Identity() const;

private:
  struct Impl;
  explicit LogStore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

// Result of `hyssoppaddle state verify FOLDER`, which only reads and needs no
// lock.
struct VerifyReport
{
  bool sound = false;
  std::uint64_t entries = 0;
  agreement::LogIndex snapshotIndex = 0;
  agreement::LogIndex lastIndex = 0;
  std::uint64_t tornBytes = 0;
  std::string problem; // with file and offset; empty if sound
};
VerifyReport
Verify(FileLayer& aFiles);

} // namespace hyssoppaddle::storage

#endif
