// The files of one replica: state, snapshot and log segments.
//
// - `state-0`, `state-1`: two copies of the `StateRecord`, each replaced
//   atomically. Either one is enough, so damage to one copy cannot make a
//   replica vote twice in a term.
// - `snapshot-<index>`: at most one, replaced atomically.
// - `log-<sequence>`: segments of checksummed records. Records are never
//   overwritten; an entry replaces all earlier entries from its index on. Each
//   segment states how many bytes of the previous one are valid, so a torn tail
//   is cut off by starting the next segment.
//
// At open, everything that is read is synced first, because a process that was
// killed may have written it without a sync.
//
// At open, an incomplete or zeroed record at the very end is a torn write and
// is cut off. Any other invalid record is damage: synced entries may be lost,
// so the replica is marked as repairing before the rest of the log is removed.

#pragma once

#include "replication/codec.h"
#include "replication/disk.h"
#include "replication/internal/segments.h"

#include <map>
#include <span>

namespace limpetwood::replication {

struct LogStoreOptions
{
  std::string folder;
  // Identity to store in a folder that has none.
  DiskId newDiskId{};
  // A new segment is started once the current one has reached this size.
  uint64_t segmentBytes = 8U << 20U;
};

// The state recovered at open.
struct LoadedLog
{
  StateRecord state{};
  Snapshot snapshot{};
  // The entries after the snapshot.
  std::vector<Entry> entries{};
  // True if damage was found at this open.
  bool damaged = false;
  // True if this replica got a new disk id although the folder had content:
  // either no copy of the state was readable, or damage left nothing of the
  // log.
  bool identityLost = false;
};

class LogStore
{
public:
  // Creates the folder if missing. `aLoaded` is valid on success. This and the
  // other calls fail with the errors of `Disk`.
  static Result<std::unique_ptr<LogStore>> Open(Disk& aDisk,
                                                LogStoreOptions aOptions,
                                                LoadedLog& aLoaded);

  // Replaces the state; durable on success. Ignores `aState.sequence`.
  std::error_code WriteState(StateRecord aState);

  // Appends entries, which are durable only after `Sync`.
  std::error_code Append(std::span<const Entry> aEntries);

  // Makes all appended entries durable.
  std::error_code Sync();

  // Replaces the snapshot by one of this replica's own state machine and
  // removes the segments that it covers. Durable on success.
  std::error_code SaveSnapshot(const Snapshot& aSnapshot);

  // Replaces the snapshot and the whole log by a snapshot from the leader.
  // Durable on success.
  std::error_code InstallSnapshot(const Snapshot& aSnapshot);

private:
  LogStore(Disk& aDisk, LogStoreOptions aOptions);

  std::string PathOf(const std::string& aName) const;
  std::error_code Load(LoadedLog& aLoaded);
  // Reads the identity, or creates one in an otherwise empty folder.
  std::error_code LoadState(LoadedLog& aLoaded);
  std::error_code LoadSnapshot(LoadedLog& aLoaded);
  std::error_code LoadSegments(LoadedLog& aLoaded);
  // Drops loaded entries that the snapshot covers. If the entries do not
  // continue the snapshot, as after an interrupted `InstallSnapshot`, drops all
  // of them and returns false.
  static bool DropCoveredEntries(LoadedLog& aLoaded);
  // Durably marks the replica as repairing. Must precede the removal of any
  // damaged data.
  std::error_code MarkDamaged(LoadedLog& aLoaded);
  std::error_code ReplaceFile(const std::string& aName,
                              std::string_view aHeader,
                              std::string_view aBody);
  std::error_code WriteSnapshot(const Snapshot& aSnapshot);
  std::error_code RemoveFilesWithPrefix(std::string_view aPrefix,
                                        std::string_view aExcept);
  // Removes the segments from sequence number `aFrom` on, the last one first.
  std::error_code RemoveSegmentsFrom(uint64_t aFrom);
  std::error_code StartSegment(uint64_t aSequence);

  Disk& mDisk;
  const LogStoreOptions mOptions;
  uint64_t mStateSequence = 0;
  // By sequence number, without gaps. The last segment is open in
  // `mOpenSegment`.
  std::map<uint64_t, internal::SegmentInfo> mSegments;
  std::unique_ptr<AppendFile> mOpenSegment;
  // Reused by `Append` to avoid allocations.
  std::string mAppendBuffer;
};

} // namespace limpetwood::replication
