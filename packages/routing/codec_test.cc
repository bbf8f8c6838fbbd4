// Tests the codec for completeness and for robustness against malformed bytes.

#include "routing/codec.h"

#include "base/random.h"

#include <gtest/gtest.h>

namespace limpetwood::routing {
namespace {

std::vector<PeerMessage>
Samples()
{
  ServerIdentity server{ ServerId("b1"),
                         ServiceId("render"),
                         ZoneId("sogn"),
                         "127.0.0.1:80",
                         Incarnation(7) };
  KeyHolder holder{ InstanceId("e1"), 0xfedcba9876543210ULL };
  return {
    Digest{ 9,
            true,
            { { ServiceId("render"), 3, 24, 2 } },
            { { ~0U, 5 } },
            { 12, { ZoneId("sogn"), ZoneId("voss") } } },
    HomeClaim{ ServerId("b1"), Incarnation(3) },
    BorrowRequest{ LeaseId(~0ULL), 4, ServiceId("x"), { ServerId("b2") } },
    BorrowReply{ LeaseId(5), { { LeaseId(5), server, Millis(1500), 2 } } },
    ReturnLeases{
      { { LeaseId(5), true, AttemptResult::kTimedOut, true, Millis(30) } } },
    RenewLeases{ { LeaseId(1), LeaseId(2) } },
    RevokeLeases{ { LeaseId(3) } },
    KeyRecord{ IdempotencyKey("k"), holder, { ~0ULL, 4 } },
    KeyReply{ IdempotencyKey("k"),
              holder,
              KeyStatus::kAlreadyStarted,
              Verdict::kNotRun },
    KeyOutcome{ IdempotencyKey("k"), holder, Verdict::kAnswered },
  };
}

// Guards against fields that are missing in one direction of the conversion.
TEST(Codec, EveryMessageSurvivesARoundTrip)
{
  std::vector<PeerMessage> samples = Samples();
  EXPECT_EQ(samples.size(), std::variant_size_v<PeerMessage>);
  for (const PeerMessage& it : samples) {
    auto decoded = DecodePeerMessage(EncodePeerMessage(it));
    ASSERT_TRUE(decoded.Ok()) << it.index();
    EXPECT_TRUE(decoded.Value() == it) << it.index();
  }
}

// Guards against accepting truncated messages or trailing bytes.
TEST(Codec, CutOrExtendedMessagesAreRefused)
{
  for (const PeerMessage& it : Samples()) {
    std::string bytes = EncodePeerMessage(it);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      EXPECT_FALSE(DecodePeerMessage(bytes.substr(0, n)).Ok()) << it.index();
    }
    EXPECT_FALSE(DecodePeerMessage(bytes + 'x').Ok()) << it.index();
  }
}

// Guards against crashes and unbounded memory use on bytes from a faulty or
// incompatible peer: any input gives an error or a message within the limits.
TEST(Codec, ArbitraryBytesGiveAnErrorOrABoundedMessage)
{
  Random random(11);
  std::vector<PeerMessage> samples = Samples();
  int accepted = 0;
  for (int n = 0; n < 50'000; ++n) {
    std::string bytes =
      EncodePeerMessage(samples[random.Below(samples.size())]);
    for (uint64_t flips = 1 + random.Below(4); flips > 0; --flips) {
      bytes[random.Below(bytes.size())] = static_cast<char>(random());
    }
    auto decoded = DecodePeerMessage(bytes);
    if (decoded.Ok()) {
      ++accepted;
      EXPECT_LE(EncodePeerMessage(decoded.Value()).size(),
                kMaxPeerMessageBytes);
    }
  }
  EXPECT_GT(accepted, 0);
  EXPECT_FALSE(
    DecodePeerMessage(std::string(kMaxPeerMessageBytes + 1, '\0')).Ok());
}

// Guards against reserving memory for a declared list length far beyond the
// received bytes.
TEST(Codec, DeclaredListLengthIsBounded)
{
  // Field 6 (`renewLeases`, a `LeaseList`): list of i64 with 2^28 - 1 entries.
  std::string bytes("\x6c\x19\xf6\xff\xff\xff\x7f", 7);
  EXPECT_FALSE(DecodePeerMessage(bytes).Ok());
}

// Guards against out-of-range values, which would index past an array or
// overflow a sum.
TEST(Codec, ValuesOutOfRangeAreRefused)
{
  ReturnLeases message{
    { { LeaseId(5), true, static_cast<AttemptResult>(99), false, Millis(1) } }
  };
  EXPECT_FALSE(DecodePeerMessage(EncodePeerMessage(message)).Ok());
  message.leases[0].result = AttemptResult::kAnswered;
  message.leases[0].latency = Millis(-1);
  EXPECT_FALSE(DecodePeerMessage(EncodePeerMessage(message)).Ok());
  Digest digest{ 1, false, { { ServiceId("x"), ~0U, 1 } }, {} };
  EXPECT_FALSE(DecodePeerMessage(EncodePeerMessage(digest)).Ok());
}

} // namespace
} // namespace limpetwood::routing
