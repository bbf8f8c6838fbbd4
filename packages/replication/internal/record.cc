#include "replication/internal/record.h"

#include "base/hash.h"

namespace limpetwood::replication::internal {
namespace {

constexpr size_t kIndexOffset = 8;
constexpr size_t kChecksumOffset = 16;

uint64_t
HeaderChecksum(uint64_t aLength, uint64_t aIndex, uint64_t aChecksum)
{
  std::string header;
  AppendLittleEndian(header, aLength, 4);
  AppendLittleEndian(header, aIndex, 8);
  AppendLittleEndian(header, aChecksum, 8);
  return Hash64(header) & 0xffffffffU;
}

} // namespace

void
AppendLittleEndian(std::string& aOut, uint64_t aValue, size_t aBytes)
{
  for (size_t i = 0; i < aBytes; ++i) {
    aOut.push_back(static_cast<char>(aValue >> (8 * i)));
  }
}

uint64_t
ReadLittleEndian(std::string_view aBytes, size_t aOffset, size_t aCount)
{
  uint64_t value = 0;
  for (size_t i = 0; i < aCount; ++i) {
    value |=
      static_cast<uint64_t>(static_cast<unsigned char>(aBytes[aOffset + i]))
      << (8 * i);
  }
  return value;
}

void
AppendRecord(std::string& aOut, uint64_t aIndex, std::string_view aPayload)
{
  uint64_t checksum = Hash64(aPayload, aIndex);
  AppendLittleEndian(aOut, aPayload.size(), 4);
  AppendLittleEndian(
    aOut, HeaderChecksum(aPayload.size(), aIndex, checksum), 4);
  AppendLittleEndian(aOut, aIndex, 8);
  AppendLittleEndian(aOut, checksum, 8);
  aOut += aPayload;
}

Record
ReadRecord(std::string_view aBytes, size_t aOffset)
{
  std::string_view remaining = aBytes.substr(aOffset);
  if (remaining.empty()) {
    return { .status = RecordStatus::kEnd, .end = aOffset };
  }
  // After a crash, file systems may have extended a file with zeros without
  // having written its data.
  if (remaining.size() < kRecordHeaderBytes ||
      remaining.find_first_not_of('\0') == std::string_view::npos) {
    return { .status = RecordStatus::kTorn, .end = aOffset };
  }
  uint64_t length = ReadLittleEndian(remaining, 0, 4);
  uint64_t index = ReadLittleEndian(remaining, kIndexOffset, 8);
  uint64_t checksum = ReadLittleEndian(remaining, kChecksumOffset, 8);
  if (ReadLittleEndian(remaining, 4, 4) !=
      HeaderChecksum(length, index, checksum)) {
    return { .status = RecordStatus::kDamaged, .end = aOffset };
  }
  if (remaining.size() - kRecordHeaderBytes < length) {
    return { .status = RecordStatus::kTorn, .end = aOffset };
  }
  std::string_view payload = remaining.substr(kRecordHeaderBytes, length);
  if (Hash64(payload, index) != checksum) {
    return { .status = RecordStatus::kDamaged, .end = aOffset };
  }
  return { .status = RecordStatus::kValid,
           .index = index,
           .payload = payload,
           .end = aOffset + kRecordHeaderBytes + length };
}

} // namespace limpetwood::replication::internal
