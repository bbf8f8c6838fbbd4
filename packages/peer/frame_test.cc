// Tests of the frame reader with arbitrary bytes and chunk sizes.

#include "peer/frame.h"

#include "base/error.h"
#include "base/random.h"

#include <gtest/gtest.h>

namespace limpetwood::peer {
namespace {

// Guards against frames that are lost, truncated or reordered when the bytes of
// a connection arrive in chunks of any size.
TEST(FrameReader, ReassemblesAnyChunking)
{
  Random random(3);
  for (int round = 0; round < 200; ++round) {
    std::string stream;
    std::vector<Frame> sent;
    for (int n = 0; n < 5; ++n) {
      Frame frame;
      frame.channel = static_cast<Channel>(random.Below(kChannels));
      frame.payload.assign(random.Below(300), static_cast<char>(n));
      stream += EncodeFrame(frame.channel, frame.payload);
      sent.push_back(frame);
    }
    FrameReader reader;
    std::vector<Frame> received;
    while (!stream.empty()) {
      size_t n = std::min<size_t>(stream.size(), 1 + random.Below(40));
      reader.Append(stream.substr(0, n));
      stream.erase(0, n);
      for (;;) {
        auto next = reader.Next();
        ASSERT_TRUE(next.Ok());
        if (!next.Value()) {
          break;
        }
        received.push_back(*next.Value());
      }
    }
    EXPECT_EQ(received, sent);
  }
}

// Guards against a reader that waits for, or allocates, an invalid length from
// an untrusted sender, or accepts an unknown channel.
TEST(FrameReader, InvalidHeadersAreErrors)
{
  for (std::string_view bytes :
       { std::string_view("\xff\xff\xff\xff\x01", 5), // Length 2^32 - 1
         std::string_view("\x00\x00\x00\x00\x01", 5), // Length 0
         // Unknown channel 0x63.
         std::string_view("\x00\x00\x00\x02\x63", 5) }) {
    FrameReader reader;
    reader.Append(bytes);
    EXPECT_EQ(reader.Next().Error(), make_error_code(Errc::kCorrupt));
  }
}

} // namespace
} // namespace limpetwood::peer
