#include "replication/log_store.h"

#include "base/error.h"
#include "base/hash.h"
#include "replication/internal/record.h"
#include "replication/internal/segments.h"

#include <algorithm>
#include <charconv>

namespace limpetwood::replication {
namespace {

using internal::AppendLittleEndian;
using internal::AppendRecord;
using internal::ReadLittleEndian;
using internal::ReadRecord;
using internal::Record;
using internal::RecordStatus;

constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kTemporarySuffix = ".tmp";

// Zero-padded, so that names sort by number. 20 digits hold any `uint64_t`.
std::string
NumberedFileName(std::string_view aPrefix, uint64_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(aPrefix) + std::string(20 - digits.size(), '0') + digits;
}

// The folder above; empty for a relative path of one component.
std::string
ParentOf(const std::string& aFolder)
{
  size_t slash = aFolder.rfind('/');
  if (slash == std::string::npos) {
    return {};
  }
  return aFolder.substr(0, std::max<size_t>(slash, 1));
}

// The numbers in the names of the files with a prefix, ascending.
std::vector<uint64_t>
ParseFileNumbers(const std::vector<std::string>& aNames,
                 std::string_view aPrefix)
{
  std::vector<uint64_t> numbers;
  for (const std::string& name : aNames) {
    uint64_t n = 0;
    const char* end = name.data() + name.size();
    if (name.starts_with(aPrefix)) {
      auto parsed = std::from_chars(name.data() + aPrefix.size(), end, n);
      if (parsed.ec == std::errc() && parsed.ptr == end) {
        numbers.push_back(n);
      }
    }
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

} // namespace

LogStore::LogStore(Disk& aDisk, LogStoreOptions aOptions)
  : mDisk(aDisk)
  , mOptions(std::move(aOptions))
{
}

Result<std::unique_ptr<LogStore>>
LogStore::Open(Disk& aDisk, LogStoreOptions aOptions, LoadedLog& aLoaded)
{
  aLoaded = {};
  std::unique_ptr<LogStore> store(new LogStore(aDisk, std::move(aOptions)));
  if (std::error_code ec = store->Load(aLoaded)) {
    return ec;
  }
  return store;
}

std::string
LogStore::PathOf(const std::string& aName) const
{
  return mOptions.folder + "/" + aName;
}

std::error_code
LogStore::Load(LoadedLog& aLoaded)
{
  if (std::error_code ec = mDisk.MakeFolder(mOptions.folder)) {
    return ec;
  }
  // An earlier start may have made the folder and lost power before this sync.
  if (std::error_code ec = mDisk.SyncFolder(ParentOf(mOptions.folder))) {
    return ec;
  }
  // A process that was killed may have renamed files without this sync. What is
  // read below counts as durable from then on. The files themselves are synced
  // before they are renamed.
  if (std::error_code ec = mDisk.SyncFolder(mOptions.folder)) {
    return ec;
  }
  if (std::error_code ec = LoadState(aLoaded)) {
    return ec;
  }
  if (std::error_code ec = LoadSnapshot(aLoaded)) {
    return ec;
  }
  return LoadSegments(aLoaded);
}

std::error_code
LogStore::LoadState(LoadedLog& aLoaded)
{
  Result<std::vector<std::string>> names = mDisk.List(mOptions.folder);
  if (!names) {
    return names.Error();
  }
  int valid = 0;
  for (const char* name : { "state-0", "state-1" }) {
    Result<std::string> bytes = mDisk.Read(PathOf(name));
    if (!bytes) {
      if (bytes.Error() != Errc::kNotFound) {
        return bytes.Error();
      }
      continue;
    }
    std::string_view view = bytes.Value();
    if (view.size() < 8 ||
        Hash64(view.substr(8)) != ReadLittleEndian(view, 0, 8)) {
      continue;
    }
    Result<StateRecord> state = DecodeState(view.substr(8));
    if (state) {
      ++valid;
      if (state.Value().sequence > aLoaded.state.sequence) {
        aLoaded.state = state.Value();
      }
    }
  }
  mStateSequence = aLoaded.state.sequence;
  if (valid == 0) {
    // The votes given under the former disk id are unknown, so the replica must
    // not use that id again: it could vote twice in a term.
    aLoaded.identityLost = !names.Value().empty();
    aLoaded.state.disk = mOptions.newDiskId;
    if (std::error_code ec = RemoveFilesWithPrefix(kSnapshotPrefix, {})) {
      return ec;
    }
    if (std::error_code ec = RemoveFilesWithPrefix(kSegmentPrefix, {})) {
      return ec;
    }
    if (std::error_code ec = mDisk.SyncFolder(mOptions.folder)) {
      return ec;
    }
  }
  return valid == 2 ? std::error_code() : WriteState(aLoaded.state);
}

std::error_code
LogStore::MarkDamaged(LoadedLog& aLoaded)
{
  aLoaded.damaged = true;
  if (aLoaded.state.hardState.repairing) {
    return {};
  }
  aLoaded.state.hardState.repairing = true;
  return WriteState(aLoaded.state);
}

std::error_code
LogStore::LoadSnapshot(LoadedLog& aLoaded)
{
  Result<std::vector<std::string>> names = mDisk.List(mOptions.folder);
  if (!names) {
    return names.Error();
  }
  std::vector<uint64_t> found =
    ParseFileNumbers(names.Value(), kSnapshotPrefix);
  std::string kept;
  while (!found.empty() && aLoaded.snapshot.index == 0) {
    std::string name = NumberedFileName(kSnapshotPrefix, found.back());
    Result<std::string> bytes = mDisk.Read(PathOf(name));
    if (!bytes) {
      return bytes.Error();
    }
    Record record = ReadRecord(bytes.Value(), 0);
    Result<SnapshotHeader> header = record.status == RecordStatus::kValid
                                      ? DecodeSnapshotHeader(record.payload)
                                      : make_error_code(Errc::kCorrupt);
    std::string data = bytes.Value().substr(record.end);
    if (header && header.Value().index == found.back() &&
        header.Value().size == data.size() &&
        header.Value().checksum == Hash64(data)) {
      aLoaded.snapshot = { .index = header.Value().index,
                           .term = header.Value().term,
                           .membership = header.Value().membership,
                           .data = std::make_shared<const std::string>(
                             std::move(data)) };
      kept = name;
    } else if (std::error_code ec = MarkDamaged(aLoaded)) {
      return ec;
    }
    found.pop_back();
  }
  return RemoveFilesWithPrefix(kSnapshotPrefix, kept);
}

std::error_code
LogStore::LoadSegments(LoadedLog& aLoaded)
{
  Result<std::vector<std::string>> names = mDisk.List(mOptions.folder);
  if (!names) {
    return names.Error();
  }
  std::vector<internal::SegmentFile> files;
  for (uint64_t sequence : ParseFileNumbers(names.Value(), kSegmentPrefix)) {
    std::string path = PathOf(NumberedFileName(kSegmentPrefix, sequence));
    // A process that was killed may have appended entries without a sync. They
    // are taken as stored, and the next segment states their size.
    if (std::error_code ec = mDisk.SyncFile(path)) {
      return ec;
    }
    Result<std::string> bytes = mDisk.Read(path);
    if (!bytes) {
      return bytes.Error();
    }
    files.push_back({ sequence, std::move(bytes).Value() });
  }
  internal::SegmentScan scan = internal::ScanSegments(files);
  mSegments = std::move(scan.segments);
  aLoaded.entries = std::move(scan.entries);
  uint64_t base = aLoaded.snapshot.index;
  // A member of a group has always had at least one segment.
  bool missing =
    mSegments.empty() && base == 0 && aLoaded.state.group.Value() != 0;
  bool gap = !aLoaded.entries.empty() && aLoaded.entries[0].index > base + 1;
  bool damaged = scan.damaged || missing || gap;
  if (damaged && base == 0 && !aLoaded.damaged && aLoaded.entries.empty()) {
    // Nothing is left to repair. If no entry was replicated yet, no leader
    // could be elected to end a repair. The disk is therefore treated as lost,
    // and the replica gets a new disk id.
    aLoaded.identityLost = true;
    aLoaded.damaged = true;
    aLoaded.state = { .disk = mOptions.newDiskId };
    if (std::error_code ec = WriteState(aLoaded.state)) {
      return ec;
    }
    if (std::error_code ec = RemoveSegmentsFrom(0)) {
      return ec;
    }
    return StartSegment(scan.nextSequence);
  }
  if (damaged) {
    if (std::error_code ec = MarkDamaged(aLoaded)) {
      return ec;
    }
  }
  uint64_t removeFrom = DropCoveredEntries(aLoaded) ? scan.nextSequence : 0;
  if (std::error_code ec = RemoveSegmentsFrom(removeFrom)) {
    return ec;
  }
  return StartSegment(scan.nextSequence);
}

bool
LogStore::DropCoveredEntries(LoadedLog& aLoaded)
{
  std::vector<Entry>& entries = aLoaded.entries;
  uint64_t base = aLoaded.snapshot.index;
  if (entries.empty() || entries[0].index == base + 1) {
    return true;
  }
  if (entries[0].index <= base && entries.back().index >= base) {
    auto it = entries.begin() + static_cast<ptrdiff_t>(base - entries[0].index);
    if (it->term == aLoaded.snapshot.term) {
      entries.erase(entries.begin(), it + 1);
      return true;
    }
  }
  entries.clear();
  return false;
}

std::error_code
LogStore::RemoveSegmentsFrom(uint64_t aFrom)
{
  Result<std::vector<std::string>> names = mDisk.List(mOptions.folder);
  if (!names) {
    return names.Error();
  }
  std::vector<uint64_t> found = ParseFileNumbers(names.Value(), kSegmentPrefix);
  bool removed = false;
  for (; !found.empty() && found.back() >= aFrom; found.pop_back()) {
    std::string path = PathOf(NumberedFileName(kSegmentPrefix, found.back()));
    if (std::error_code ec = mDisk.Remove(path)) {
      return ec;
    }
    mSegments.erase(found.back());
    removed = true;
  }
  return removed ? mDisk.SyncFolder(mOptions.folder) : std::error_code();
}

std::error_code
LogStore::StartSegment(uint64_t aSequence)
{
  Result<std::unique_ptr<AppendFile>> file =
    mDisk.Create(PathOf(NumberedFileName(kSegmentPrefix, aSequence)));
  if (!file) {
    return file.Error();
  }
  mOpenSegment = std::move(file).Value();
  auto previous = mSegments.find(aSequence - 1);
  std::string header = internal::EncodeSegmentHeader(
    aSequence, previous == mSegments.end() ? 0 : previous->second.bytes);
  mSegments[aSequence] = { .maxIndex = 0, .bytes = header.size() };
  if (std::error_code ec = mOpenSegment->Append(header)) {
    return ec;
  }
  if (std::error_code ec = mOpenSegment->Sync()) {
    return ec;
  }
  return mDisk.SyncFolder(mOptions.folder);
}

std::error_code
LogStore::ReplaceFile(const std::string& aName,
                      std::string_view aHeader,
                      std::string_view aBody)
{
  std::string path = PathOf(aName);
  std::string temporary = path + std::string(kTemporarySuffix);
  Result<std::unique_ptr<AppendFile>> file = mDisk.Create(temporary);
  if (!file) {
    return file.Error();
  }
  if (std::error_code ec = file.Value()->Append(aHeader)) {
    return ec;
  }
  if (std::error_code ec = file.Value()->Append(aBody)) {
    return ec;
  }
  if (std::error_code ec = file.Value()->Sync()) {
    return ec;
  }
  if (std::error_code ec = mDisk.Rename(temporary, path)) {
    return ec;
  }
  return mDisk.SyncFolder(mOptions.folder);
}

std::error_code
LogStore::RemoveFilesWithPrefix(std::string_view aPrefix,
                                std::string_view aExcept)
{
  Result<std::vector<std::string>> names = mDisk.List(mOptions.folder);
  if (!names) {
    return names.Error();
  }
  for (const std::string& name : names.Value()) {
    if (name.starts_with(aPrefix) && name != aExcept) {
      if (std::error_code ec = mDisk.Remove(PathOf(name))) {
        return ec;
      }
    }
  }
  return {};
}

std::error_code
LogStore::WriteState(StateRecord aState)
{
  aState.sequence = ++mStateSequence;
  std::string body = EncodeState(aState);
  std::string header;
  AppendLittleEndian(header, Hash64(body), 8);
  for (const char* name : { "state-0", "state-1" }) {
    if (std::error_code ec = ReplaceFile(name, header, body)) {
      return ec;
    }
  }
  return {};
}

std::error_code
LogStore::Append(std::span<const Entry> aEntries)
{
  if (mSegments.rbegin()->second.bytes >= mOptions.segmentBytes) {
    // The previous segment must be durable before the next one states its size.
    if (std::error_code ec = Sync()) {
      return ec;
    }
    if (std::error_code ec = StartSegment(mSegments.rbegin()->first + 1)) {
      return ec;
    }
  }
  internal::SegmentInfo& segment = mSegments.rbegin()->second;
  mAppendBuffer.clear();
  for (const Entry& it : aEntries) {
    AppendRecord(mAppendBuffer, it.index, EncodeEntry(it));
    segment.maxIndex = std::max(segment.maxIndex, it.index);
  }
  segment.bytes += mAppendBuffer.size();
  return mOpenSegment->Append(mAppendBuffer);
}

std::error_code
LogStore::Sync()
{
  return mOpenSegment->Sync();
}

std::error_code
LogStore::WriteSnapshot(const Snapshot& aSnapshot)
{
  SnapshotHeader header{ .index = aSnapshot.index,
                         .term = aSnapshot.term,
                         .membership = aSnapshot.membership,
                         .size = aSnapshot.data->size(),
                         .checksum = Hash64(*aSnapshot.data) };
  std::string record;
  AppendRecord(record, aSnapshot.index, EncodeSnapshotHeader(header));
  std::string name = NumberedFileName(kSnapshotPrefix, aSnapshot.index);
  if (std::error_code ec = ReplaceFile(name, record, *aSnapshot.data)) {
    return ec;
  }
  return RemoveFilesWithPrefix(kSnapshotPrefix, name);
}

std::error_code
LogStore::SaveSnapshot(const Snapshot& aSnapshot)
{
  if (std::error_code ec = WriteSnapshot(aSnapshot)) {
    return ec;
  }
  if (std::error_code ec = Sync()) {
    return ec;
  }
  if (std::error_code ec = StartSegment(mSegments.rbegin()->first + 1)) {
    return ec;
  }
  // Removes in ascending order, so that a crash leaves no gap between the
  // remaining segments.
  while (mSegments.size() > 1 &&
         mSegments.begin()->second.maxIndex <= aSnapshot.index) {
    std::string name =
      NumberedFileName(kSegmentPrefix, mSegments.begin()->first);
    if (std::error_code ec = mDisk.Remove(PathOf(name))) {
      return ec;
    }
    if (std::error_code ec = mDisk.SyncFolder(mOptions.folder)) {
      return ec;
    }
    mSegments.erase(mSegments.begin());
  }
  return {};
}

std::error_code
LogStore::InstallSnapshot(const Snapshot& aSnapshot)
{
  if (std::error_code ec = WriteSnapshot(aSnapshot)) {
    return ec;
  }
  uint64_t next = mSegments.rbegin()->first + 1;
  if (std::error_code ec = RemoveSegmentsFrom(0)) {
    return ec;
  }
  return StartSegment(next);
}

} // namespace limpetwood::replication
