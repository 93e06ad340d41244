// Reads a data folder without changing it; LogStore and Verify build on it.
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
  agreement::LogIndex lastIndex = 0; // highest entry in it; 0 when none
};

struct FolderContent
{
  std::optional<OwnerRecord> owner;
  std::vector<SegmentInfo> segments; // ascending and without gaps
  agreement::RecoveredLog log;
  bool hasHardState = false;
  std::vector<std::uint64_t> snapshots; // indexes of the files, ascending
  std::vector<std::string> temporary;   // left over from a crash
  std::uint64_t tornBytes = 0;
};

// Corrupt, with file and offset, for damage that is not a torn tail.
Result<FolderContent>
ReadFolder(FileLayer& aFiles);

} // namespace hyssoppaddle::storage

#endif
