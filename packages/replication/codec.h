// Thrift compact encoding of messages and log records.
//
// Decoders accept arbitrary bytes. They allocate no more than a small multiple
// of the input size and fail with `kCorrupt` on anything that is not a valid
// encoding.

#pragma once

#include "base/result.h"
#include "replication/message.h"

#include <string>
#include <string_view>

namespace limpetwood::replication {

// Content of a replica's state file.
struct StateRecord
{
  // Increases with every write. Of the two copies of the file, the one with
  // the higher number is current.
  uint64_t sequence = 0;
  DiskId disk{};
  // 0 until the group was formed or this replica was admitted.
  GroupId group{};
  // The membership in force before the first log entry.
  Membership initialMembership{};
  HardState hardState{};

  bool operator==(const StateRecord&) const = default;
};

// Metadata of a snapshot file, stored in front of the data.
struct SnapshotHeader
{
  uint64_t index = 0;
  uint64_t term = 0;
  Membership membership{};
  // Size of the data in bytes.
  uint64_t size = 0;
  // `Hash64` of the data.
  uint64_t checksum = 0;

  bool operator==(const SnapshotHeader&) const = default;
};

// The instances of `to` and `from` are not encoded.
std::string
EncodeMessage(const Message& aMessage);
Result<Message>
DecodeMessage(std::string_view aBytes);

std::string
EncodeEntry(const Entry& aEntry);
Result<Entry>
DecodeEntry(std::string_view aBytes);

std::string
EncodeState(const StateRecord& aState);
Result<StateRecord>
DecodeState(std::string_view aBytes);

std::string
EncodeSnapshotHeader(const SnapshotHeader& aHeader);
Result<SnapshotHeader>
DecodeSnapshotHeader(std::string_view aBytes);

} // namespace limpetwood::replication
