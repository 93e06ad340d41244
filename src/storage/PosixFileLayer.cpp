// FileLayer for a folder of the real file system.
#include "storage/FileLayer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace hyssoppaddle::storage {

namespace {

constexpr mode_t kFolderMode = 0700;
constexpr mode_t kFileMode = 0600;
constexpr std::size_t kReadBytes = 256UL * 1024;
constexpr const char* kLockName = "lock";

tl::unexpected<Error>
FailWith(ErrorCode aCode,
         std::string_view aOperation,
         std::string_view aName,
         int aErrno)
{
  return Fail(aCode,
              std::string(aOperation) + " " + std::string(aName) + ": " +
                std::generic_category().message(aErrno));
}

tl::unexpected<Error>
FailErrno(std::string_view aOperation, std::string_view aName)
{
  const int code = errno;
  return FailWith(ErrorCode::IoFailure, aOperation, aName, code);
}

// For operations that have no effect, or a known one, when they are refused.
tl::unexpected<Error>
FailRefusable(std::string_view aOperation, std::string_view aName)
{
  constexpr std::array<int, 5> kRefusals{
    ENOSPC, EDQUOT, EMFILE, ENFILE, ENOMEM
  };
  const int code = errno;
  const bool isRefusal =
    std::find(kRefusals.begin(), kRefusals.end(), code) != kRefusals.end();
  return FailWith(isRefusal ? ErrorCode::OutOfResources : ErrorCode::IoFailure,
                  aOperation,
                  aName,
                  code);
}

// Owns a file descriptor and closes it.
class Descriptor
{
public:
  explicit Descriptor(int aValue)
    : value(aValue)
  {
  }
  ~Descriptor()
  {
    if (this->value >= 0) {
      ::close(this->value);
    }
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  Descriptor(Descriptor&& aOther) noexcept
    : value(std::exchange(aOther.value, -1))
  {
  }
  Descriptor& operator=(Descriptor&& aOther) noexcept
  {
    std::swap(this->value, aOther.value);
    return *this;
  }
  [[nodiscard]] bool IsOpen() const { return this->value >= 0; }
  [[nodiscard]] int Get() const { return this->value; }

private:
  int value;
};

class PosixAppendFile : public AppendFile
{
public:
  PosixAppendFile(Descriptor aFile, std::string aName)
    : file(std::move(aFile))
    , name(std::move(aName))
  {
  }

  Result<void> Append(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      const ssize_t count =
        ::write(this->file.Get(), aBytes.data(), aBytes.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return FailRefusable("write", this->name);
      }
      aBytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
  }

  // Must not be retried after an error: the kernel may have dropped the dirty
  // pages, and a second call would then report success.
  Result<void> Sync() override
  {
    if (::fdatasync(this->file.Get()) != 0) {
      return FailErrno("sync", this->name);
    }
    return {};
  }

  Result<void> CutBack(std::uint64_t aSize) override
  {
    if (::ftruncate(this->file.Get(), static_cast<off_t>(aSize)) != 0) {
      return FailErrno("truncate", this->name);
    }
    return {};
  }

private:
  Descriptor file;
  std::string name;
};

class PosixFileLayer : public FileLayer
{
public:
  PosixFileLayer(Descriptor aFolder, std::string aPath)
    : folder(std::move(aFolder))
    , path(std::move(aPath))
  {
  }

  Result<std::unique_ptr<AppendFile>> OpenForAppend(
    std::string_view aName) override
  {
    const std::string name(aName);
    Descriptor file(::openat(this->folder.Get(),
                             name.c_str(),
                             O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
                             kFileMode));
    if (!file.IsOpen()) {
      return FailRefusable("open", name);
    }
    return std::make_unique<PosixAppendFile>(std::move(file), name);
  }

  Result<std::string> Read(std::string_view aName) override
  {
    const std::string name(aName);
    const Descriptor file(
      ::openat(this->folder.Get(), name.c_str(), O_RDONLY | O_CLOEXEC));
    if (!file.IsOpen() && errno == ENOENT) {
      return Fail(ErrorCode::NotFound, name + " does not exist");
    }
    if (!file.IsOpen()) {
      return FailErrno("open", name);
    }
    std::string content;
    for (;;) {
      const std::size_t before = content.size();
      content.resize(before + kReadBytes);
      const ssize_t count =
        ::read(file.Get(), content.data() + before, kReadBytes);
      const auto taken = static_cast<std::size_t>(std::max<ssize_t>(count, 0));
      content.resize(before + taken);
      if (count < 0 && errno != EINTR) {
        return FailErrno("read", name);
      }
      if (count == 0) {
        return content;
      }
    }
  }

  Result<std::vector<std::string>> List() override
  {
    DIR* listing = ::opendir(this->path.c_str());
    if (listing == nullptr) {
      return FailErrno("list", this->path);
    }
    std::vector<std::string> names;
    // readdir is safe here because only this thread uses the stream.
    while (const dirent* item = ::readdir(listing)) { // NOLINT
      const std::string name = static_cast<const char*>(item->d_name);
      if (name != "." && name != "..") {
        names.push_back(name);
      }
    }
    ::closedir(listing);
    std::sort(names.begin(), names.end());
    return names;
  }

  Result<void> Truncate(std::string_view aName, std::uint64_t aSize) override
  {
    const std::string name(aName);
    const Descriptor file(
      ::openat(this->folder.Get(), name.c_str(), O_WRONLY | O_CLOEXEC));
    if (!file.IsOpen() ||
        ::ftruncate(file.Get(), static_cast<off_t>(aSize)) != 0 ||
        ::fdatasync(file.Get()) != 0) {
      return FailErrno("truncate", name);
    }
    return {};
  }

  Result<void> Rename(std::string_view aFrom, std::string_view aTo) override
  {
    const std::string from(aFrom);
    const std::string to(aTo);
    const int folderFile = this->folder.Get();
    if (::renameat(folderFile, from.c_str(), folderFile, to.c_str()) != 0) {
      return FailRefusable("rename", from);
    }
    return {};
  }

  Result<void> Remove(std::string_view aName) override
  {
    const std::string name(aName);
    if (::unlinkat(this->folder.Get(), name.c_str(), 0) != 0) {
      return FailErrno("remove", name);
    }
    return {};
  }

  Result<void> SyncFolder() override
  {
    if (::fsync(this->folder.Get()) != 0) {
      return FailErrno("sync", this->path);
    }
    return {};
  }

  Result<void> Lock() override
  {
    Descriptor file(::openat(
      this->folder.Get(), kLockName, O_RDWR | O_CREAT | O_CLOEXEC, kFileMode));
    if (!file.IsOpen()) {
      return FailErrno("open", kLockName);
    }
    if (::flock(file.Get(), LOCK_EX | LOCK_NB) != 0) {
      if (errno == EWOULDBLOCK) {
        return Fail(ErrorCode::Conflict,
                    "another process has locked " + this->path);
      }
      return FailErrno("lock", this->path);
    }
    this->lock = std::move(file);
    return {};
  }

private:
  Descriptor folder;
  Descriptor lock{ -1 };
  std::string path;
};

} // namespace

Result<std::unique_ptr<FileLayer>>
OpenPosixFolder(std::string_view aFolder)
{
  const std::string path(aFolder);
  if (::mkdir(path.c_str(), kFolderMode) != 0 && errno != EEXIST) {
    return FailErrno("create", path);
  }
  Descriptor folder(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.IsOpen()) {
    return FailErrno("open", path);
  }
  return std::make_unique<PosixFileLayer>(std::move(folder), path);
}

} // namespace hyssoppaddle::storage
