// Serialization of message heads and of chunk framing.

#pragma once

#include "http/stream.h"

#include <boost/asio/buffer.hpp>

#include <array>
#include <string>
#include <string_view>

namespace limpetwood::http {

// How the receiver finds the end of a body.
enum class Framing
{
  // No body is sent, as in a response to HEAD or with status 204 or 304.
  kNone,
  kContentLength,
  kChunked,
  // The connection is closed after the body; only for HTTP/1.0 peers.
  kCloseDelimited,
};

std::string
FormatRequestHead(const RequestHead& aHead);

std::string
FormatResponseHead(const ResponseHead& aHead,
                   Framing aFraming,
                   bool aKeepAlive);

// The buffers of one write: an optional head, one part of a body and its chunk
// framing. Owns the bytes of the head and of the chunk size.
class OutgoingPart
{
public:
  // `aPart` must stay valid until the write has completed.
  void Assign(std::string aHead,
              std::string_view aPart,
              bool aLast,
              Framing aFraming);

  const std::array<boost::asio::const_buffer, 4>& Buffers() const
  {
    return mBuffers;
  }

private:
  std::string mHead;
  // Holds up to 16 hexadecimal digits, CRLF and a terminating NUL.
  std::array<char, 24> mChunkSize{};
  // Head, chunk size, part of the body, end of the chunk; unused ones are
  // empty.
  std::array<boost::asio::const_buffer, 4> mBuffers;
};

} // namespace limpetwood::http
