// Encoding and decoding of frames; see `frame.h`.

#include "peer/frame.h"

#include "base/error.h"

namespace limpetwood::peer {

namespace {

// Decodes the 4-byte length field at the start of a frame.
uint32_t
ReadLength(std::string_view aBytes)
{
  uint32_t length = 0;
  for (size_t n = 0; n < 4; ++n) {
    length = (length << 8U) | static_cast<uint8_t>(aBytes[n]);
  }
  return length;
}

} // namespace

std::string
EncodeFrame(Channel aChannel, std::string_view aPayload)
{
  auto length = static_cast<uint32_t>(aPayload.size() + 1);
  std::string frame;
  frame.reserve(kFrameHeaderBytes + aPayload.size());
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((length >> shift) & 0xffU));
  }
  frame.push_back(static_cast<char>(aChannel));
  frame.append(aPayload);
  return frame;
}

void
FrameReader::Append(std::string_view aBytes)
{
  if (mOffset > 0 && mOffset == mBuffer.size()) {
    mBuffer.clear();
    mOffset = 0;
  } else if (mOffset > mBuffer.size() / 2) {
    mBuffer.erase(0, mOffset);
    mOffset = 0;
  }
  mBuffer.append(aBytes);
}

Result<std::optional<Frame>>
FrameReader::Next()
{
  std::string_view unread = std::string_view(mBuffer).substr(mOffset);
  if (unread.size() < kFrameHeaderBytes) {
    return std::optional<Frame>();
  }
  size_t length = ReadLength(unread);
  auto channel = static_cast<uint8_t>(unread[4]);
  if (length == 0 || length > kMaxPayloadBytes + 1 || channel >= kChannels) {
    return make_error_code(Errc::kCorrupt);
  }
  // The 4 bytes of the length field are not counted in `length`.
  if (unread.size() < 4 + length) {
    return std::optional<Frame>();
  }
  Frame frame;
  frame.channel = static_cast<Channel>(channel);
  frame.payload = unread.substr(kFrameHeaderBytes, length - 1);
  mOffset += 4 + length;
  return std::optional<Frame>(std::move(frame));
}

} // namespace limpetwood::peer
