#include "http/internal/wire.h"

#include <boost/beast/http/status.hpp>

#include <cstdio>

namespace limpetwood::http {

namespace {

bool
IsFramingHeader(std::string_view aName)
{
  return EqualsIgnoreCase(aName, "Content-Length") ||
         EqualsIgnoreCase(aName, "Transfer-Encoding") ||
         EqualsIgnoreCase(aName, "Connection");
}

void
AppendHeaders(std::string& aText, const Headers& aHeaders)
{
  for (const auto& [name, value] : aHeaders.Fields()) {
    if (!IsFramingHeader(name)) {
      aText.append(name).append(": ").append(value).append("\r\n");
    }
  }
}

} // namespace

std::string
FormatRequestHead(const RequestHead& aHead)
{
  std::string text;
  text.reserve(512);
  text.append(aHead.method).append(" ").append(aHead.target);
  text.append(" HTTP/1.1\r\n");
  AppendHeaders(text, aHead.headers);
  bool omitsZeroLength = aHead.method == "GET" || aHead.method == "HEAD";
  if (!aHead.contentLength) {
    text.append("Transfer-Encoding: chunked\r\n");
  } else if (*aHead.contentLength > 0 || !omitsZeroLength) {
    text.append("Content-Length: ")
      .append(std::to_string(*aHead.contentLength))
      .append("\r\n");
  }
  text.append("\r\n");
  return text;
}

std::string
FormatResponseHead(const ResponseHead& aHead, Framing aFraming, bool aKeepAlive)
{
  namespace bhttp = boost::beast::http;
  auto phrase = bhttp::obsolete_reason(
    bhttp::int_to_status(static_cast<unsigned>(aHead.status)));
  std::string text;
  text.reserve(512);
  text.append("HTTP/1.1 ").append(std::to_string(aHead.status)).append(" ");
  text.append(phrase.data(), phrase.size()).append("\r\n");
  AppendHeaders(text, aHead.headers);
  // A response to HEAD keeps the length of the body that it leaves out.
  bool omitsLength = aHead.status == 204 || aHead.status == 304;
  if (aFraming == Framing::kChunked) {
    text.append("Transfer-Encoding: chunked\r\n");
  } else if (aHead.contentLength && !omitsLength) {
    text.append("Content-Length: ")
      .append(std::to_string(*aHead.contentLength))
      .append("\r\n");
  }
  if (!aKeepAlive) {
    text.append("Connection: close\r\n");
  }
  text.append("\r\n");
  return text;
}

void
OutgoingPart::Assign(std::string aHead,
                     std::string_view aPart,
                     bool aLast,
                     Framing aFraming)
{
  using boost::asio::buffer;
  mHead = std::move(aHead);
  mBuffers = {};
  mBuffers[0] = buffer(mHead);
  if (aFraming == Framing::kNone) {
    return;
  }
  bool chunked = aFraming == Framing::kChunked;
  if (!aPart.empty()) {
    if (chunked) {
      int n = std::snprintf(
        mChunkSize.data(), mChunkSize.size(), "%zx\r\n", aPart.size());
      mBuffers[1] = buffer(mChunkSize.data(), static_cast<size_t>(n));
    }
    mBuffers[2] = buffer(aPart);
  }
  if (chunked) {
    std::string_view chunkEnd = aPart.empty() ? (aLast ? "0\r\n\r\n" : "")
                                : aLast       ? "\r\n0\r\n\r\n"
                                              : "\r\n";
    mBuffers[3] = buffer(chunkEnd);
  }
}

} // namespace limpetwood::http
