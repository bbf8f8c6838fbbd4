// The framing of records in log segments and snapshot files.
//
// A record is `u32 length | u32 header checksum | u64 index | u64 checksum`,
// little endian, followed by `length` bytes of payload. The header has a
// checksum of its own, so that a damaged length is not mistaken for a torn
// write.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace limpetwood::replication::internal {

constexpr size_t kRecordHeaderBytes = 24;

enum class RecordStatus
{
  kValid,
  // No bytes are left.
  kEnd,
  // The file ends within the record, or contains only zeros from its start on.
  kTorn,
  // A checksum does not match.
  kDamaged,
};

struct Record
{
  RecordStatus status = RecordStatus::kEnd;
  uint64_t index = 0;
  std::string_view payload{};
  // Offset of the next record; of this record unless it is valid.
  size_t end = 0;
};

void
AppendRecord(std::string& aOut, uint64_t aIndex, std::string_view aPayload);

// Reads the record at `aOffset`. The payload points into `aBytes`.
Record
ReadRecord(std::string_view aBytes, size_t aOffset);

// Appends the lowest `aBytes` bytes of a number in little endian.
void
AppendLittleEndian(std::string& aOut, uint64_t aValue, size_t aBytes);

// Reads a number of `aCount` bytes. Precondition: `aBytes` has at least
// `aOffset + aCount` bytes.
uint64_t
ReadLittleEndian(std::string_view aBytes, size_t aOffset, size_t aCount);

} // namespace limpetwood::replication::internal
