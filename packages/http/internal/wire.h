// Text of message heads and chunk frames as they go over a connection.

#pragma once

#include "http/stream.h"

#include <boost/asio/buffer.hpp>

#include <array>
#include <string>
#include <string_view>

namespace limpetwood::http {

// How the end of a body is marked.
enum class Framing
{
  kNone,
  kContentLength,
  kChunked,
  // By closing the connection; only for HTTP/1.0 callers.
  kCloseDelimited,
};

std::string
FormatRequestHead(const RequestHead& aHead);

std::string
FormatResponseHead(const ResponseHead& aHead,
                   Framing aFraming,
                   bool aKeepAlive);

// The buffers of one write: an optional head, one part of a body and its
// frame. Holds the texts that the buffers point to.
class OutgoingPart
{
public:
  // `aPart` must stay valid until the write has ended.
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
  std::array<char, 24> mChunkSize{};
  std::array<boost::asio::const_buffer, 4> mBuffers;
};

} // namespace limpetwood::http
