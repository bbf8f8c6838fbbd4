#include "replication/internal/segments.h"

#include "replication/codec.h"
#include "replication/internal/record.h"

#include <algorithm>
#include <optional>

namespace limpetwood::replication::internal {
namespace {

constexpr size_t kHeaderPayloadBytes = 16;

struct SegmentHeader
{
  RecordStatus status = RecordStatus::kEnd;
  uint64_t sequence = 0;
  uint64_t previousBytes = 0;
  size_t end = 0;
};

SegmentHeader
ReadSegmentHeader(std::string_view aBytes)
{
  Record record = ReadRecord(aBytes, 0);
  if (record.status != RecordStatus::kValid) {
    return { .status = record.status };
  }
  if (record.payload.size() != kHeaderPayloadBytes) {
    return { .status = RecordStatus::kDamaged };
  }
  return { .status = RecordStatus::kValid,
           .sequence = ReadLittleEndian(record.payload, 0, 8),
           .previousBytes = ReadLittleEndian(record.payload, 8, 8),
           .end = record.end };
}

// True for a segment whose creation was interrupted before its header was
// synced. Such a segment never held a synced entry.
bool
IsUnfinishedSegment(const SegmentFile& aFile)
{
  RecordStatus status = ReadSegmentHeader(aFile.bytes).status;
  return (status == RecordStatus::kTorn || status == RecordStatus::kEnd) &&
         aFile.bytes.size() <= kRecordHeaderBytes + kHeaderPayloadBytes;
}

// Appends an entry after removing all entries from its index on. Returns false
// if there is a gap before it.
bool
InsertEntry(std::vector<Entry>& aEntries, Entry aEntry)
{
  if (!aEntries.empty()) {
    uint64_t first = aEntries[0].index;
    if (aEntry.index > first + aEntries.size()) {
      return false;
    }
    aEntries.resize(aEntry.index <= first ? 0 : aEntry.index - first);
  }
  aEntries.push_back(std::move(aEntry));
  return true;
}

// Reads the records in `aBytes`, the valid part of one segment. A torn write is
// accepted only in the last segment; for the others the following segment
// states the valid size. Returns false on damage.
bool
ScanRecords(std::string_view aBytes,
            bool aAllowTornTail,
            SegmentInfo& aInfo,
            std::vector<Entry>& aEntries)
{
  while (true) {
    Record record = ReadRecord(aBytes, aInfo.bytes);
    if (record.status != RecordStatus::kValid) {
      return record.status == RecordStatus::kEnd ||
             (record.status == RecordStatus::kTorn && aAllowTornTail);
    }
    Result<Entry> entry = DecodeEntry(record.payload);
    if (!entry || entry.Value().index != record.index ||
        !InsertEntry(aEntries, std::move(entry).Value())) {
      return false;
    }
    aInfo.maxIndex = std::max(aInfo.maxIndex, record.index);
    aInfo.bytes = record.end;
  }
}

} // namespace

std::string
EncodeSegmentHeader(uint64_t aSequence, uint64_t aPreviousBytes)
{
  std::string payload;
  AppendLittleEndian(payload, aSequence, 8);
  AppendLittleEndian(payload, aPreviousBytes, 8);
  std::string out;
  AppendRecord(out, 0, payload);
  return out;
}

SegmentScan
ScanSegments(const std::vector<SegmentFile>& aFiles)
{
  SegmentScan scan;
  size_t count = aFiles.size();
  if (count > 0) {
    scan.nextSequence = aFiles.front().sequence;
    if (IsUnfinishedSegment(aFiles.back())) {
      --count;
    }
  }
  for (size_t i = 0; i < count && !scan.damaged; ++i) {
    const SegmentFile& file = aFiles[i];
    SegmentHeader header = ReadSegmentHeader(file.bytes);
    if (header.status != RecordStatus::kValid ||
        header.sequence != file.sequence ||
        file.sequence != scan.nextSequence) {
      scan.damaged = true;
      break;
    }
    std::string_view bytes = file.bytes;
    bool last = i + 1 == count;
    if (!last) {
      SegmentHeader following = ReadSegmentHeader(aFiles[i + 1].bytes);
      // An invalid header is detected in the next iteration.
      uint64_t size = following.status == RecordStatus::kValid
                        ? following.previousBytes
                        : bytes.size();
      scan.damaged = size > bytes.size();
      bytes = bytes.substr(0, size);
    }
    SegmentInfo info{ .maxIndex = 0, .bytes = header.end };
    if (!ScanRecords(bytes, last, info, scan.entries)) {
      scan.damaged = true;
    }
    scan.segments[file.sequence] = info;
    scan.nextSequence = file.sequence + 1;
  }
  return scan;
}

} // namespace limpetwood::replication::internal
