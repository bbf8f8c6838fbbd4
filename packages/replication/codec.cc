#include "replication/codec.h"

#include "base/compact_codec.h"
#include "base/error.h"
#include "replication/gen-cpp/replication_types.h"

#include <algorithm>

namespace limpetwood::replication {
namespace {

// Bounds the memory that a decoder allocates for a list. The longest lists
// written are the entries of an append, of which there are at most
// `RaftOptions::maxEntriesPerAppend`.
constexpr size_t kMaxListElements = 4096;
// Larger inputs are rejected. The size of records is limited by their own
// length field before they are decoded.
constexpr size_t kMaxBytes = 1U << 30U;

std::string
Write(const auto& aValue)
{
  return EncodeCompact(aValue);
}

template<typename T>
bool
Read(std::string_view aBytes, T& aValue)
{
  if (aBytes.size() > kMaxBytes) {
    return false;
  }
  // The decoder allocates a string before it reads it, so the input size limits
  // the length of strings.
  auto decoded = DecodeCompact<T>(
    aBytes, { .maxBytes = aBytes.size(), .maxElements = kMaxListElements });
  if (!decoded) {
    return false;
  }
  aValue = std::move(decoded).Value();
  return true;
}

int64_t
ToSigned(uint64_t aValue)
{
  return static_cast<int64_t>(aValue);
}

uint64_t
ToUnsigned(int64_t aValue)
{
  return static_cast<uint64_t>(aValue);
}

wire::Member
ToWire(const Member& aMember)
{
  wire::Member out;
  out.__set_instance(aMember.instance.Value());
  out.__set_disk(ToSigned(aMember.disk.Value()));
  return out;
}

Member
FromWire(const wire::Member& aMember)
{
  return { InstanceId(aMember.instance), DiskId(ToUnsigned(aMember.disk)) };
}

wire::Membership
ToWire(const Membership& aMembership)
{
  wire::Membership out;
  for (const Member& it : aMembership.voters) {
    out.voters.push_back(ToWire(it));
  }
  for (const Member& it : aMembership.learners) {
    out.learners.push_back(ToWire(it));
  }
  return out;
}

Membership
FromWire(const wire::Membership& aMembership)
{
  Membership out;
  for (const wire::Member& it : aMembership.voters) {
    out.voters.push_back(FromWire(it));
  }
  for (const wire::Member& it : aMembership.learners) {
    out.learners.push_back(FromWire(it));
  }
  return out;
}

wire::Entry
ToWire(const Entry& aEntry)
{
  wire::Entry out;
  out.__set_term(ToSigned(aEntry.term));
  out.__set_index(ToSigned(aEntry.index));
  out.__set_kind(static_cast<int32_t>(aEntry.kind));
  if (!aEntry.data.empty()) {
    out.__set_data(aEntry.data);
  }
  if (aEntry.kind == EntryKind::kMembership) {
    out.__set_membership(ToWire(aEntry.membership));
  }
  return out;
}

bool
FromWire(wire::Entry& aIn, Entry& aOut)
{
  if (aIn.kind < 0 || aIn.kind > static_cast<int>(EntryKind::kMembership)) {
    return false;
  }
  // Only a membership entry carries a membership. The encoder writes none for
  // other kinds, so an entry that has one would change when encoded again.
  bool unexpectedMembership =
    aIn.kind != static_cast<int>(EntryKind::kMembership) &&
    !(aIn.membership.voters.empty() && aIn.membership.learners.empty());
  if (unexpectedMembership) {
    return false;
  }
  aOut.term = ToUnsigned(aIn.term);
  aOut.index = ToUnsigned(aIn.index);
  aOut.kind = static_cast<EntryKind>(aIn.kind);
  aOut.data = std::move(aIn.data);
  aOut.membership = FromWire(aIn.membership);
  // With a membership without voters, the group could not commit anything any
  // more.
  return aOut.kind != EntryKind::kMembership || !aOut.membership.voters.empty();
}

// Calls `aVisit` for each optional number of a message, with the wire field,
// its setter and the field of `Message`.
void
VisitNumbers(auto aVisit)
{
  using Wire = wire::Message;
  aVisit(&Wire::index, &Wire::__set_index, &Message::index);
  aVisit(&Wire::logTerm, &Wire::__set_logTerm, &Message::logTerm);
  aVisit(&Wire::commit, &Wire::__set_commit, &Message::commit);
  aVisit(&Wire::round, &Wire::__set_round, &Message::round);
  aVisit(&Wire::hintIndex, &Wire::__set_hintIndex, &Message::hintIndex);
  aVisit(&Wire::hintTerm, &Wire::__set_hintTerm, &Message::hintTerm);
  aVisit(&Wire::repair, &Wire::__set_repair, &Message::repairId);
  aVisit(&Wire::repairIndex, &Wire::__set_repairIndex, &Message::repairIndex);
  aVisit(&Wire::offset, &Wire::__set_offset, &Message::offset);
  aVisit(&Wire::total, &Wire::__set_total, &Message::total);
  aVisit(&Wire::checksum, &Wire::__set_checksum, &Message::checksum);
}

} // namespace

std::string
EncodeMessage(const Message& aMessage)
{
  wire::Message out;
  out.__set_kind(static_cast<int32_t>(aMessage.kind));
  out.__set_toDisk(ToSigned(aMessage.to.disk.Value()));
  out.__set_fromDisk(ToSigned(aMessage.from.disk.Value()));
  out.__set_group(ToSigned(aMessage.group.Value()));
  out.__set_term(ToSigned(aMessage.term));
  VisitNumbers([&](auto /*aField*/, auto aSetter, auto aValue) {
    if (aMessage.*aValue != 0) {
      (out.*aSetter)(ToSigned(aMessage.*aValue));
    }
  });
  if (aMessage.preVote) {
    out.__set_preVote(true);
  }
  if (aMessage.success) {
    out.__set_success(true);
  }
  if (aMessage.transfer) {
    out.__set_transfer(true);
  }
  if (!aMessage.entries.empty()) {
    out.__isset.entries = true;
    out.entries.reserve(aMessage.entries.size());
    for (const Entry& it : aMessage.entries) {
      out.entries.push_back(ToWire(it));
    }
  }
  if (!aMessage.data.empty()) {
    out.__set_data(aMessage.data);
  }
  if (aMessage.membership != Membership{}) {
    out.__set_membership(ToWire(aMessage.membership));
  }
  if (aMessage.status != FormationStatus::kEmpty) {
    out.__set_status(static_cast<int32_t>(aMessage.status));
  }
  if (!aMessage.leader.empty()) {
    out.__set_leader(aMessage.leader.Value());
  }
  return Write(out);
}

Result<Message>
DecodeMessage(std::string_view aBytes)
{
  wire::Message in;
  if (!Read(aBytes, in) || in.kind < static_cast<int>(MessageKind::kHello) ||
      in.kind > static_cast<int>(MessageKind::kTimeoutNow) || in.status < 0 ||
      in.status > static_cast<int>(FormationStatus::kActive)) {
    return make_error_code(Errc::kCorrupt);
  }
  Message out;
  out.kind = static_cast<MessageKind>(in.kind);
  out.to.disk = DiskId(ToUnsigned(in.toDisk));
  out.from.disk = DiskId(ToUnsigned(in.fromDisk));
  out.group = GroupId(ToUnsigned(in.group));
  out.term = ToUnsigned(in.term);
  VisitNumbers([&](auto aField, auto /*aSetter*/, auto aValue) {
    out.*aValue = ToUnsigned(in.*aField);
  });
  out.preVote = in.preVote;
  out.success = in.success;
  out.transfer = in.transfer;
  out.entries.resize(in.entries.size());
  for (size_t i = 0; i < in.entries.size(); ++i) {
    // The core relies on consecutive indexes.
    if (!FromWire(in.entries[i], out.entries[i]) ||
        out.entries[i].index != out.index + 1 + i) {
      return make_error_code(Errc::kCorrupt);
    }
  }
  out.data = std::move(in.data);
  out.membership = FromWire(in.membership);
  out.status = static_cast<FormationStatus>(in.status);
  out.leader = InstanceId(std::move(in.leader));
  return out;
}

std::string
EncodeEntry(const Entry& aEntry)
{
  return Write(ToWire(aEntry));
}

Result<Entry>
DecodeEntry(std::string_view aBytes)
{
  wire::Entry in;
  Entry out;
  if (!Read(aBytes, in) || !FromWire(in, out)) {
    return make_error_code(Errc::kCorrupt);
  }
  return out;
}

std::string
EncodeState(const StateRecord& aState)
{
  wire::State out;
  out.__set_sequence(ToSigned(aState.sequence));
  out.__set_disk(ToSigned(aState.disk.Value()));
  out.__set_group(ToSigned(aState.group.Value()));
  out.__set_initial(ToWire(aState.initialMembership));
  out.__set_term(ToSigned(aState.hardState.term));
  out.__set_vote(ToWire(aState.hardState.vote));
  out.__set_repairing(aState.hardState.repairing);
  return Write(out);
}

Result<StateRecord>
DecodeState(std::string_view aBytes)
{
  wire::State in;
  if (!Read(aBytes, in) || in.disk == 0) {
    return make_error_code(Errc::kCorrupt);
  }
  StateRecord out;
  out.sequence = ToUnsigned(in.sequence);
  out.disk = DiskId(ToUnsigned(in.disk));
  out.group = GroupId(ToUnsigned(in.group));
  out.initialMembership = FromWire(in.initial);
  out.hardState.term = ToUnsigned(in.term);
  out.hardState.vote = FromWire(in.vote);
  out.hardState.repairing = in.repairing;
  return out;
}

std::string
EncodeSnapshotHeader(const SnapshotHeader& aHeader)
{
  wire::SnapshotHead out;
  out.__set_index(ToSigned(aHeader.index));
  out.__set_term(ToSigned(aHeader.term));
  out.__set_membership(ToWire(aHeader.membership));
  out.__set_size(ToSigned(aHeader.size));
  out.__set_checksum(ToSigned(aHeader.checksum));
  return Write(out);
}

Result<SnapshotHeader>
DecodeSnapshotHeader(std::string_view aBytes)
{
  wire::SnapshotHead in;
  if (!Read(aBytes, in) || in.index <= 0 || in.membership.voters.empty()) {
    return make_error_code(Errc::kCorrupt);
  }
  return SnapshotHeader{ .index = ToUnsigned(in.index),
                         .term = ToUnsigned(in.term),
                         .membership = FromWire(in.membership),
                         .size = ToUnsigned(in.size),
                         .checksum = ToUnsigned(in.checksum) };
}

} // namespace limpetwood::replication
