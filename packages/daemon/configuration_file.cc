#include "daemon/configuration_file.h"

#include "base/error.h"
#include "base/hash.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <fstream>
#include <iterator>
#include <sstream>

namespace limpetwood::daemon {

namespace {

// The file has one line with the magic, the version and a hash of document and
// version, both in decimal, and then the document.
constexpr const char* kFileName = "/configuration";
constexpr const char* kTemporaryFileName = "/configuration.new";
constexpr std::string_view kMagic = "limpetwood-configuration-1";

std::error_code
LastError()
{
  return { errno, std::generic_category() };
}

std::error_code
SyncFolder(const std::string& aFolder)
{
  int fd = ::open(aFolder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) {
    return LastError();
  }
  std::error_code ec = ::fsync(fd) == 0 ? std::error_code() : LastError();
  ::close(fd);
  return ec;
}

std::error_code
WriteAndSync(const std::string& aPath, std::string_view aBytes)
{
  int fd =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (fd < 0) {
    return LastError();
  }
  std::error_code ec;
  while (!aBytes.empty() && !ec) {
    ssize_t n = ::write(fd, aBytes.data(), aBytes.size());
    if (n < 0 && errno != EINTR) {
      ec = LastError();
    } else if (n > 0) {
      aBytes.remove_prefix(static_cast<size_t>(n));
    }
  }
  if (!ec && ::fdatasync(fd) != 0) {
    ec = LastError();
  }
  ::close(fd);
  return ec;
}

} // namespace

std::error_code
StoreConfiguration(const std::string& aFolder,
                   const membership::VersionedConfiguration& aConfiguration)
{
  std::ostringstream out;
  out << kMagic << ' ' << aConfiguration.version.Value() << ' '
      << Hash64(aConfiguration.document, aConfiguration.version.Value()) << '\n'
      << aConfiguration.document;
  std::string temporary = aFolder + kTemporaryFileName;
  if (std::error_code ec = WriteAndSync(temporary, out.str())) {
    return ec;
  }
  if (::rename(temporary.c_str(), (aFolder + kFileName).c_str()) != 0) {
    return LastError();
  }
  return SyncFolder(aFolder);
}

Result<std::optional<membership::VersionedConfiguration>>
LoadConfiguration(const std::string& aFolder)
{
  // A process that was killed may have renamed the file without a sync; what is
  // read here is announced as stored.
  std::error_code synced = SyncFolder(aFolder);
  if (synced && synced != std::errc::no_such_file_or_directory) {
    return synced;
  }
  std::ifstream in(aFolder + kFileName, std::ios::binary);
  if (!in) {
    return std::optional<membership::VersionedConfiguration>();
  }
  std::string magic;
  uint64_t version = 0;
  uint64_t hash = 0;
  in >> magic >> version >> hash;
  if (!in || magic != kMagic || in.get() != '\n') {
    return make_error_code(Errc::kCorrupt);
  }
  membership::VersionedConfiguration stored;
  stored.version = ConfigVersion(version);
  stored.document.assign(std::istreambuf_iterator<char>(in), {});
  if (Hash64(stored.document, version) != hash) {
    return make_error_code(Errc::kCorrupt);
  }
  return std::optional<membership::VersionedConfiguration>(std::move(stored));
}

} // namespace limpetwood::daemon
