#include "replication/memory_disk.h"

#include "base/error.h"

#include <utility>

namespace limpetwood::replication {
namespace {

std::string_view
NameOf(std::string_view aPath)
{
  return aPath.substr(aPath.rfind('/') + 1);
}

std::string_view
FolderOf(std::string_view aPath)
{
  size_t slash = aPath.rfind('/');
  return slash == std::string_view::npos ? std::string_view()
                                         : aPath.substr(0, slash);
}

} // namespace

class MemoryFile : public AppendFile
{
public:
  MemoryFile(MemoryDisk& aDisk, std::shared_ptr<MemoryDisk::Content> aContent)
    : mDisk(aDisk)
    , mContent(std::move(aContent))
  {
  }

  std::error_code Append(std::string_view aBytes) override
  {
    if (std::error_code ec = mDisk.NextError()) {
      return ec;
    }
    size_t used = mDisk.UsedBytes();
    if (used + aBytes.size() > mDisk.mCapacity) {
      // A full disk stores the part that fits.
      mContent->bytes += aBytes.substr(0, mDisk.mCapacity - used);
      return Errc::kNoSpace;
    }
    mContent->bytes += aBytes;
    return {};
  }

  std::error_code Sync() override
  {
    if (std::error_code ec = mDisk.NextError()) {
      return ec;
    }
    ++mDisk.mSyncCount;
    if (!mDisk.mIgnoreSyncs) {
      mContent->synced = mContent->bytes.size();
    }
    return {};
  }

private:
  MemoryDisk& mDisk;
  std::shared_ptr<MemoryDisk::Content> mContent;
};

std::error_code
MemoryDisk::NextError()
{
  if (mInjectedError) {
    return mInjectedError;
  }
  if (mOperationsLeft == 0) {
    return Errc::kIo;
  }
  --mOperationsLeft;
  return {};
}

std::error_code
MemoryDisk::MakeFolder(const std::string& aFolder)
{
  if (std::error_code ec = NextError()) {
    return ec;
  }
  if (mFolders.insert(aFolder).second) {
    mUnsyncedFolders.insert(aFolder);
  }
  return {};
}

Result<std::vector<std::string>>
MemoryDisk::List(const std::string& aFolder)
{
  std::vector<std::string> names;
  for (const auto& [path, content] : mFiles) {
    if (FolderOf(path) == aFolder) {
      names.emplace_back(NameOf(path));
    }
  }
  return names;
}

Result<std::string>
MemoryDisk::Read(const std::string& aPath)
{
  auto it = mFiles.find(aPath);
  if (it == mFiles.end()) {
    return make_error_code(Errc::kNotFound);
  }
  return it->second->bytes;
}

std::error_code
MemoryDisk::SyncFile(const std::string& aPath)
{
  if (std::error_code ec = NextError()) {
    return ec;
  }
  auto it = mFiles.find(aPath);
  if (it == mFiles.end()) {
    return Errc::kNotFound;
  }
  ++mSyncCount;
  if (!mIgnoreSyncs) {
    it->second->synced = it->second->bytes.size();
  }
  return {};
}

Result<std::unique_ptr<AppendFile>>
MemoryDisk::Create(const std::string& aPath)
{
  if (std::error_code ec = NextError()) {
    return ec;
  }
  auto content = std::make_shared<Content>();
  mFiles[aPath] = content;
  return std::unique_ptr<AppendFile>(
    std::make_unique<MemoryFile>(*this, std::move(content)));
}

std::error_code
MemoryDisk::Rename(const std::string& aFrom, const std::string& aTo)
{
  if (std::error_code ec = NextError()) {
    return ec;
  }
  auto it = mFiles.find(aFrom);
  if (it == mFiles.end()) {
    return Errc::kNotFound;
  }
  std::shared_ptr<Content> content = it->second;
  mFiles.erase(it);
  mFiles[aTo] = std::move(content);
  return {};
}

std::error_code
MemoryDisk::Remove(const std::string& aPath)
{
  if (std::error_code ec = NextError()) {
    return ec;
  }
  return mFiles.erase(aPath) == 1 ? std::error_code() : Errc::kNotFound;
}

std::error_code
MemoryDisk::SyncFolder(const std::string& aFolder)
{
  if (std::error_code ec = NextError()) {
    return ec;
  }
  ++mSyncCount;
  if (mIgnoreSyncs) {
    return {};
  }
  std::erase_if(mUnsyncedFolders,
                [&](const std::string& it) { return FolderOf(it) == aFolder; });
  std::erase_if(mDurableFiles, [&](const auto& aFile) {
    return FolderOf(aFile.first) == aFolder;
  });
  for (const auto& [path, content] : mFiles) {
    if (FolderOf(path) == aFolder) {
      mDurableFiles[path] = content;
    }
  }
  return {};
}

void
MemoryDisk::Crash(Random& aRandom)
{
  for (const std::string& it : std::exchange(mUnsyncedFolders, {})) {
    mFolders.erase(it);
    std::erase_if(mDurableFiles, [&](const auto& aFile) {
      return FolderOf(aFile.first) == it;
    });
  }
  mFiles = mDurableFiles;
  for (auto& [path, content] : mFiles) {
    size_t unsynced = content->bytes.size() - content->synced;
    size_t kept = unsynced == 0 ? 0 : aRandom.Below(unsynced + 1);
    content->bytes.resize(content->synced + kept);
    content->synced = content->bytes.size();
  }
}

void
MemoryDisk::Erase()
{
  mFiles.clear();
  mDurableFiles.clear();
  mFolders.clear();
  mUnsyncedFolders.clear();
}

bool
MemoryDisk::FlipBit(Random& aRandom, std::string_view aPrefix)
{
  std::vector<Content*> candidates;
  for (auto& [path, content] : mFiles) {
    if (NameOf(path).starts_with(aPrefix) && !content->bytes.empty()) {
      candidates.push_back(content.get());
    }
  }
  if (candidates.empty()) {
    return false;
  }
  std::string& bytes = candidates[aRandom.Below(candidates.size())]->bytes;
  auto& byte = bytes[aRandom.Below(bytes.size())];
  byte = static_cast<char>(byte ^ (1 << aRandom.Below(8)));
  return true;
}

size_t
MemoryDisk::UsedBytes() const
{
  size_t sum = 0;
  for (const auto& [path, content] : mFiles) {
    sum += content->bytes.size();
  }
  return sum;
}

} // namespace limpetwood::replication
