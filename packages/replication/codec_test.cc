// Tests of the message and record codec.

#include "replication/codec.h"
#include "replication/internal/segments.h"

#include "base/random.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <fstream>

namespace limpetwood::replication {
namespace {

// A message with all fields set to values other than their defaults.
Message
FullMessage()
{
  Message out;
  out.kind = MessageKind::kAppend;
  out.to.disk = DiskId(1);
  out.from.disk = DiskId(UINT64_MAX);
  out.group = GroupId(1ULL << 47U);
  out.term = 4;
  out.preVote = true;
  out.success = true;
  out.transfer = true;
  out.index = 6;
  out.logTerm = 3;
  out.commit = 5;
  out.round = 9;
  out.hintIndex = 2;
  out.hintTerm = 1;
  out.repairId = 77;
  out.repairIndex = 8;
  Membership members{ .voters = { { InstanceId("a"), DiskId(3) } },
                      .learners = { { InstanceId("b"), DiskId(4) } } };
  out.entries = { { .term = 4,
                    .index = 7,
                    .kind = EntryKind::kCommand,
                    .data = std::string("\0x", 2) },
                  { .term = 4,
                    .index = 8,
                    .kind = EntryKind::kMembership,
                    .membership = members } };
  out.offset = 10;
  out.total = 20;
  out.checksum = UINT64_MAX;
  out.data = "chunk";
  out.membership = members;
  out.status = FormationStatus::kActive;
  out.leader = InstanceId("c");
  return out;
}

// Guards against a field that the encoder or the decoder omits.
TEST(Codec, KeepsEveryFieldOfAMessage)
{
  Message message = FullMessage();
  Result<Message> decoded = DecodeMessage(EncodeMessage(message));
  ASSERT_TRUE(decoded.Ok());
  EXPECT_EQ(decoded.Value(), message);
}

// Guards against crashes and large allocations on truncated or altered bytes.
// If the environment variable CODEC_CORPUS names a folder, writes the fuzzer's
// seed corpus to it.
TEST(Codec, SurvivesAlteredBytes)
{
  Random random(1);
  std::string bytes = EncodeMessage(FullMessage());
  for (size_t size = 0; size < bytes.size(); ++size) {
    EXPECT_FALSE(DecodeMessage(bytes.substr(0, size)).Ok()) << size;
  }
  for (int i = 0; i < 100000; ++i) {
    std::string altered = bytes;
    for (uint64_t n = 0; n <= random.Below(4); ++n) {
      altered[random.Below(altered.size())] = static_cast<char>(random());
    }
    Result<Message> decoded = DecodeMessage(altered);
    if (decoded) {
      // `kMaxListElements` of codec.cc.
      EXPECT_LE(decoded.Value().entries.size(), 4096U);
    }
  }
  if (const char* folder = std::getenv("CODEC_CORPUS")) {
    StateRecord state{ .sequence = 3, .disk = DiskId(4) };
    SnapshotHeader header{ .index = 3,
                           .term = 2,
                           .membership = FullMessage().membership };
    std::string seeds[] = { bytes,
                            EncodeEntry(FullMessage().entries[1]),
                            EncodeState(state),
                            EncodeSnapshotHeader(header),
                            internal::EncodeSegmentHeader(1, 0) };
    for (size_t i = 0; i < std::size(seeds); ++i) {
      std::ofstream(std::string(folder) + "/seed-" + std::to_string(i))
        << static_cast<char>(i) << seeds[i];
    }
  }
}

} // namespace
} // namespace limpetwood::replication
