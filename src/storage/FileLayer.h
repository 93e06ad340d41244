// File operations needed by durable state. The daemon uses the POSIX layer; the
// fake in test/storage simulates torn writes, lost data and failed operations.
#ifndef hyssoppaddle_storage_FileLayer_h
#define hyssoppaddle_storage_FileLayer_h

#include "base/Result.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hyssoppaddle::storage {

// An open file to which data can only be appended.
class AppendFile
{
public:
  virtual ~AppendFile() = default;
  // After an error, any part of aBytes may have been appended.
  virtual Result<void> Append(std::string_view aBytes) = 0;
  virtual Result<void> Sync() = 0;
  // Removes everything after the first aSize bytes. The next Sync makes it
  // durable.
  virtual Result<void> CutBack(std::uint64_t aSize) = 0;
};

// File names are relative to the data folder. Content is durable only after a
// sync of the file, a name only after a sync of the folder. An operation that
// the system refused for lack of space, memory or descriptors fails with
// OutOfResources. A sync never does, because it is unknown what it has written.
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
  // Takes an exclusive lock until this object is destroyed. Fails with Conflict
  // if another process holds it.
  virtual Result<void> Lock() = 0;
};

// Opens a folder of the real file system and creates it if it does not exist.
Result<std::unique_ptr<FileLayer>>
OpenPosixFolder(std::string_view aFolder);

} // namespace hyssoppaddle::storage

#endif
