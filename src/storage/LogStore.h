// The durable log of one voter: segment files with checksums, snapshot files,
// an owner record.
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
  // Locks the folder, checks its owner record and reads it. Conflict when
  // another instance owns it, Corrupt (with file and offset) for damage that is
  // not a torn tail. A torn tail is truncated and reported by TornBytes().
  static Result<LogStore> Open(std::unique_ptr<FileLayer> aFiles,
                               const LogStoreOptions& aOptions);
  ~LogStore();
  LogStore(LogStore&&) noexcept;
  LogStore& operator=(LogStore&&) noexcept;

  // What was read at Open. Moves it out; call once.
  agreement::RecoveredLog TakeRecovered();

  // Writes all of aBatch in order with one sync. After an error the store
  // accepts nothing more: what reached the disk is unknown.
  Result<void> Write(std::span<const agreement::Persist> aBatch);

  // Writes the snapshot beside, syncs, renames, syncs the folder, then drops
  // segments and snapshots that are no longer needed.
  Result<void> SaveSnapshot(const agreement::SnapshotMeta& aMeta,
                            std::string_view aBytes);

  [[nodiscard]] std::uint64_t TornBytes() const;

  // Random, drawn when the folder was first used: a folder that was lost and
  // created again has another one.
  [[nodiscard]] const std::string& Identity() const;

private:
  struct Impl;
  explicit LogStore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> impl;
};

// Findings of `hyssoppaddle state verify FOLDER`; reads only, needs no lock.
struct VerifyReport
{
  bool sound = false;
  std::uint64_t entries = 0;
  agreement::LogIndex snapshotIndex = 0;
  agreement::LogIndex lastIndex = 0;
  std::uint64_t tornBytes = 0;
  std::string problem; // file and offset when not sound
};
VerifyReport
Verify(FileLayer& aFiles);

} // namespace hyssoppaddle::storage

#endif
