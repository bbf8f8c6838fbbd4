// Framing of messages between instances: u32 length (big endian), u8 channel,
// payload. The length includes the channel byte and the payload.

#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace limpetwood::peer {

enum class Channel : uint8_t
{
  // The first frame of a connection names the sender; later ones are empty and
  // probe the connection.
  kHello = 0,
  kReplication = 1,
  kMembership = 2,
  kControl = 3,
  kRouting = 4,
};

// Number of channels.
constexpr size_t kChannels = 5;
constexpr size_t kFrameHeaderBytes = 5;
// Maximum size of a payload; `FrameReader` rejects frames with a larger one.
// Well above the largest payloads: a configuration document or one chunk of a
// snapshot.
constexpr size_t kMaxPayloadBytes = 16U << 20U;

struct Frame
{
  Channel channel = Channel::kHello;
  std::string payload;

  bool operator==(const Frame&) const = default;
};

// Precondition: the payload has at most `kMaxPayloadBytes`.
std::string
EncodeFrame(Channel aChannel, std::string_view aPayload);

// Splits a byte stream into frames. After an error the stream is unusable and
// the connection must be closed.
class FrameReader
{
public:
  void Append(std::string_view aBytes);

  // Returns the next complete frame, or an empty value if more bytes are
  // needed. Fails with `Errc::kCorrupt` on an invalid length or channel.
  Result<std::optional<Frame>> Next();

private:
  std::string mBuffer;
  // The frames in `mBuffer` before this offset were returned.
  size_t mOffset = 0;
};

} // namespace limpetwood::peer
