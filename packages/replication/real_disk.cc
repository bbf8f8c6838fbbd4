#include "replication/disk.h"

#include "base/error.h"

#include <cerrno>
#include <cstdio>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

namespace limpetwood::replication {
namespace {

std::error_code
ToErrorCode(int aErrno)
{
  switch (aErrno) {
    case ENOSPC:
    case EDQUOT:
      return Errc::kNoSpace;
    case ENOENT:
      return Errc::kNotFound;
    default:
      return Errc::kIo;
  }
}

// Owns a file descriptor.
class FileDescriptor
{
public:
  explicit FileDescriptor(int aFd)
    : mFd(aFd)
  {
  }
  ~FileDescriptor()
  {
    if (mFd >= 0) {
      ::close(mFd);
    }
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int Get() const { return mFd; }

private:
  const int mFd;
};

class RealFile : public AppendFile
{
public:
  explicit RealFile(int aFd)
    : mFd(aFd)
  {
  }

  std::error_code Append(std::string_view aBytes) override
  {
    while (!aBytes.empty()) {
      ssize_t n = ::write(mFd.Get(), aBytes.data(), aBytes.size());
      if (n < 0) {
        if (errno == EINTR) {
          continue;
        }
        return ToErrorCode(errno);
      }
      aBytes.remove_prefix(static_cast<size_t>(n));
    }
    return {};
  }

  std::error_code Sync() override
  {
    return ::fdatasync(mFd.Get()) == 0 ? std::error_code() : ToErrorCode(errno);
  }

private:
  FileDescriptor mFd;
};

class RealDiskImpl : public Disk
{
public:
  std::error_code MakeFolder(const std::string& aFolder) override
  {
    std::error_code ec;
    std::filesystem::create_directories(aFolder, ec);
    return ec ? ToErrorCode(ec.value()) : std::error_code();
  }

  Result<std::vector<std::string>> List(const std::string& aFolder) override
  {
    std::error_code ec;
    std::filesystem::directory_iterator it(aFolder, ec);
    std::vector<std::string> names;
    for (; !ec && it != std::filesystem::directory_iterator();
         it.increment(ec)) {
      names.push_back(it->path().filename().string());
    }
    if (ec) {
      return ToErrorCode(ec.value());
    }
    return names;
  }

  Result<std::string> Read(const std::string& aPath) override
  {
    FileDescriptor fd(::open(aPath.c_str(), O_RDONLY | O_CLOEXEC));
    struct stat info = {};
    if (fd.Get() < 0 || ::fstat(fd.Get(), &info) != 0) {
      return ToErrorCode(errno);
    }
    std::string bytes(static_cast<size_t>(info.st_size), '\0');
    size_t bytesRead = 0;
    while (bytesRead < bytes.size()) {
      ssize_t n = ::pread(fd.Get(),
                          bytes.data() + bytesRead,
                          bytes.size() - bytesRead,
                          static_cast<off_t>(bytesRead));
      if (n < 0 && errno == EINTR) {
        continue;
      }
      if (n < 0) {
        return ToErrorCode(errno);
      }
      if (n == 0) {
        bytes.resize(bytesRead);
        break;
      }
      bytesRead += static_cast<size_t>(n);
    }
    return bytes;
  }

  std::error_code SyncFile(const std::string& aPath) override
  {
    FileDescriptor fd(::open(aPath.c_str(), O_WRONLY | O_CLOEXEC));
    if (fd.Get() < 0) {
      return ToErrorCode(errno);
    }
    return ::fdatasync(fd.Get()) == 0 ? std::error_code() : ToErrorCode(errno);
  }

  Result<std::unique_ptr<AppendFile>> Create(const std::string& aPath) override
  {
    int fd = ::open(
      aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0640);
    if (fd < 0) {
      return ToErrorCode(errno);
    }
    return std::unique_ptr<AppendFile>(std::make_unique<RealFile>(fd));
  }

  std::error_code Rename(const std::string& aFrom,
                         const std::string& aTo) override
  {
    return ::rename(aFrom.c_str(), aTo.c_str()) == 0 ? std::error_code()
                                                     : ToErrorCode(errno);
  }

  std::error_code Remove(const std::string& aPath) override
  {
    return ::unlink(aPath.c_str()) == 0 ? std::error_code()
                                        : ToErrorCode(errno);
  }

  std::error_code SyncFolder(const std::string& aFolder) override
  {
    const char* path = aFolder.empty() ? "." : aFolder.c_str();
    FileDescriptor fd(::open(path, O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (fd.Get() < 0) {
      return ToErrorCode(errno);
    }
    return ::fsync(fd.Get()) == 0 ? std::error_code() : ToErrorCode(errno);
  }
};

} // namespace

Disk&
RealDisk()
{
  static RealDiskImpl sDisk;
  return sDisk;
}

} // namespace limpetwood::replication
