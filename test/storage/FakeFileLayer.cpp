// In-memory file layer with fault injection.
#include "storage/FakeFileLayer.h"

#include <algorithm>

namespace hyssoppaddle::test {

namespace {

using File = FakeDisk::File;

tl::unexpected<Error>
FailCrashed()
{
  return Fail(ErrorCode::IoFailure, "the process has crashed");
}

class FakeAppendFile : public storage::AppendFile
{
public:
  FakeAppendFile(FakeDisk& aDisk, std::shared_ptr<File> aFile)
    : disk(aDisk)
    , file(std::move(aFile))
  {
  }

  Result<void> Append(std::string_view aBytes) override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    const std::size_t used = this->disk.UsedBytes();
    const std::size_t room =
      this->disk.capacity > used ? this->disk.capacity - used : 0;
    this->file->content += aBytes.substr(0, room);
    if (room < aBytes.size()) {
      return Fail(ErrorCode::OutOfResources, "no space left");
    }
    return {};
  }

  Result<void> Sync() override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    if (this->disk.syncsUntilFailure-- == 0) {
      return Fail(ErrorCode::IoFailure, "sync failed");
    }
    if (!this->disk.skipsSync) {
      this->file->syncedBytes = this->file->content.size();
    }
    return {};
  }

  Result<void> CutBack(std::uint64_t aSize) override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    this->file->content.resize(aSize);
    this->file->syncedBytes = std::min(this->file->syncedBytes, aSize);
    return {};
  }

private:
  FakeDisk& disk;
  std::shared_ptr<File> file;
};

class FakeFileLayer : public storage::FileLayer
{
public:
  explicit FakeFileLayer(FakeDisk& aDisk)
    : disk(aDisk)
  {
  }
  ~FakeFileLayer() override
  {
    if (this->holdsLock) {
      this->disk.locked = false;
    }
  }

  Result<std::unique_ptr<storage::AppendFile>> OpenForAppend(
    std::string_view aName) override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    if (!this->disk.hasDescriptors) {
      return Fail(ErrorCode::OutOfResources, "too many open files");
    }
    std::shared_ptr<File>& file = this->disk.names[std::string(aName)];
    if (!file) {
      file = std::make_shared<File>();
    }
    return std::make_unique<FakeAppendFile>(this->disk, file);
  }

  Result<std::string> Read(std::string_view aName) override
  {
    const auto found = this->disk.names.find(aName);
    if (found == this->disk.names.end()) {
      return Fail(ErrorCode::NotFound, "no such file");
    }
    return found->second->content;
  }

  Result<std::vector<std::string>> List() override
  {
    std::vector<std::string> list;
    for (const auto& [name, file] : this->disk.names) {
      list.push_back(name);
    }
    return list;
  }

  Result<void> Truncate(std::string_view aName, std::uint64_t aSize) override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    File& file = *this->disk.names.find(aName)->second;
    file.content.resize(aSize);
    file.syncedBytes = aSize;
    return {};
  }

  Result<void> Rename(std::string_view aFrom, std::string_view aTo) override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    const auto from = this->disk.names.find(aFrom);
    this->disk.names[std::string(aTo)] = from->second;
    this->disk.names.erase(from);
    return {};
  }

  Result<void> Remove(std::string_view aName) override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    this->disk.names.erase(std::string(aName));
    return {};
  }

  Result<void> SyncFolder() override
  {
    if (!this->disk.BeginOperation()) {
      return FailCrashed();
    }
    this->disk.syncedNames = this->disk.names;
    return {};
  }

  Result<void> Lock() override
  {
    if (this->disk.locked) {
      return Fail(ErrorCode::Conflict, "locked");
    }
    this->disk.locked = true;
    this->holdsLock = true;
    return {};
  }

private:
  FakeDisk& disk;
  bool holdsLock = false;
};

} // namespace

void
FakeDisk::Crash(Random& aRandom)
{
  if (aRandom.Below(2) == 0) {
    this->names = this->syncedNames;
  }
  this->syncedNames = this->names;
  for (const auto& [name, file] : this->names) {
    const std::size_t unsynced = file->content.size() - file->syncedBytes;
    file->content.resize(file->syncedBytes + aRandom.Below(unsynced + 1));
    // A page that was allocated but not written reads as zeros.
    const bool zeroed = aRandom.Below(3) == 0;
    for (std::size_t at = file->syncedBytes;
         zeroed && at < file->content.size();
         ++at) {
      file->content[at] = '\0';
    }
    file->syncedBytes = file->content.size();
  }
  this->operationsUntilCrash = ~std::size_t{ 0 };
}

std::size_t
FakeDisk::UsedBytes() const
{
  std::size_t used = 0;
  for (const auto& [name, file] : this->names) {
    used += file->content.size();
  }
  return used;
}

bool
FakeDisk::BeginOperation()
{
  ++this->operations;
  if (this->operationsUntilCrash == 0) {
    return false;
  }
  --this->operationsUntilCrash;
  return true;
}

std::unique_ptr<storage::FileLayer>
OpenFake(FakeDisk& aDisk)
{
  return std::make_unique<FakeFileLayer>(aDisk);
}

} // namespace hyssoppaddle::test
