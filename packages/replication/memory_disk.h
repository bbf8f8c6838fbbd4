// In-memory `Disk` with fault injection, for tests.

#pragma once

#include "base/random.h"
#include "replication/disk.h"

#include <cstddef>
#include <limits>
#include <map>
#include <set>

namespace limpetwood::replication {

// Models a disk that loses unsynced data at a crash: it keeps the synced part
// of each file, each folder as of its last `SyncFolder`, and nothing in a
// folder that was made since the last `SyncFolder` above it. A crash may also
// leave some of the unsynced bytes of a file (a torn write).
//
// File objects must not be used after `Crash` or `Erase`.
class MemoryDisk : public Disk
{
public:
  std::error_code MakeFolder(const std::string& aFolder) override;
  Result<std::vector<std::string>> List(const std::string& aFolder) override;
  Result<std::string> Read(const std::string& aPath) override;
  std::error_code SyncFile(const std::string& aPath) override;
  Result<std::unique_ptr<AppendFile>> Create(const std::string& aPath) override;
  std::error_code Rename(const std::string& aFrom,
                         const std::string& aTo) override;
  std::error_code Remove(const std::string& aPath) override;
  std::error_code SyncFolder(const std::string& aFolder) override;

  // Drops unsynced changes, except for a random prefix of each file's unsynced
  // bytes.
  void Crash(Random& aRandom);
  // Removes all files.
  void Erase();
  // Flips a random bit in a random file whose name begins with `aPrefix`; false
  // if all such files are empty or there is none.
  bool FlipBit(Random& aRandom, std::string_view aPrefix);
  // All writes and syncs fail with `aError` until it is reset to `{}`.
  void FailWith(std::error_code aError) { mInjectedError = aError; }
  // All writes and syncs after the next `aOperations` fail with `kIo`.
  void FailAfter(size_t aOperations) { mOperationsLeft = aOperations; }
  // Appends beyond this total size of all files fail with `kNoSpace`.
  void SetCapacity(size_t aBytes) { mCapacity = aBytes; }
  // Makes `Sync` and `SyncFolder` report success without syncing.
  void IgnoreSyncs(bool aIgnore) { mIgnoreSyncs = aIgnore; }

  size_t UsedBytes() const;
  uint64_t SyncCount() const { return mSyncCount; }

private:
  friend class MemoryFile;
  struct Content
  {
    std::string bytes;
    size_t synced = 0;
  };
  // The injected error of a write or sync, or none.
  std::error_code NextError();

  using Files = std::map<std::string, std::shared_ptr<Content>>;

  Files mFiles;
  // The folder entries as of the last `SyncFolder`, which survive a crash.
  Files mDurableFiles;
  std::set<std::string> mFolders;
  // Folders whose creation does not survive a crash yet.
  std::set<std::string> mUnsyncedFolders;
  std::error_code mInjectedError;
  size_t mOperationsLeft = std::numeric_limits<size_t>::max();
  size_t mCapacity = std::numeric_limits<size_t>::max();
  bool mIgnoreSyncs = false;
  uint64_t mSyncCount = 0;
};

} // namespace limpetwood::replication
