// The file operations that durable state needs. The POSIX layer serves the
// daemon; the fake in test/storage tears, loses and fails them.
#ifndef hyssoppaddle_storage_FileLayer_h
#define hyssoppaddle_storage_FileLayer_h

#include "base/Result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::storage {

// An open file, written only at its end.
class AppendFile
{
public:
  virtual ~AppendFile() = default;
  virtual Result<void> Append(std::string_view aBytes) = 0;
  virtual Result<void> Sync() = 0;
};

// Paths are relative to the data folder. Content and names last only once the
// file and the folder are synced.
class FileLayer
{
public:
  virtual ~FileLayer() = default;
  virtual Result<std::unique_ptr<AppendFile>> OpenForAppend(
    std::string_view aName) = 0;
  virtual Result<std::string> Read(std::string_view aName) = 0;
  virtual Result<std::vector<std::string>> List() = 0; // sorted names
  virtual Result<void> Truncate(std::string_view aName,
                                std::uint64_t aSize) = 0;
  virtual Result<void> Rename(std::string_view aFrom, std::string_view aTo) = 0;
  virtual Result<void> Remove(std::string_view aName) = 0;
  virtual Result<void> SyncFolder() = 0;
  // Exclusive lock, held until this object ends. Conflict when another process
  // holds it.
  virtual Result<void> Lock() = 0;
};

// Layer over a folder of the real file system; creates it when missing.
Result<std::unique_ptr<FileLayer>>
OpenPosixFolder(std::string_view aFolder);

} // namespace hyssoppaddle::storage

#endif
