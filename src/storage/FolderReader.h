// Reads a data folder without changing it. Used by LogStore and Verify.
#ifndef hyssoppaddle_storage_FolderReader_h
#define hyssoppaddle_storage_FolderReader_h

#include "agreement/Raft.h"
#include "base/Result.h"
#include "storage/Format.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppaddle::storage {

class FileLayer;

struct SegmentInfo
{
  std::uint64_t number = 0;
  std::uint64_t validBytes = 0; // up to the end of the last valid frame
  std::uint64_t fileBytes = 0;
  agreement::LogIndex lastIndex = 0; // highest entry index; 0 without entries
};

struct FolderContent
{
  std::optional<OwnerRecord> owner;
  std::vector<SegmentInfo> segments; // ascending and without gaps
  agreement::RecoveredLog log;
  bool hasHardState = false;
  std::vector<std::uint64_t> snapshots;    // indexes of the files, ascending
  std::vector<std::string> temporaryFiles; // left behind by a crash
  std::uint64_t tornBytes = 0;
};

// Fails with Corrupt, naming file and offset, for damage that is not a torn
// tail.
Result<FolderContent>
ReadFolder(FileLayer& aFiles);

} // namespace hyssoppaddle::storage

#endif
