// Incremental parser for the messages received on a connection. Performs no
// I/O: the owner writes received bytes through `Prepare` and `Commit`, and
// reads heads and body parts through `ParseHead` and `ParseBody`.

#pragma once

#include "base/error.h"
#include "http/stream.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <optional>

namespace limpetwood::http {

template<bool IsRequest>
class MessageReader
{
public:
  using Parser =
    boost::beast::http::parser<IsRequest, boost::beast::http::buffer_body>;
  using ErrorCode = boost::beast::error_code;

  enum class Progress
  {
    // More bytes must be received.
    kNeedMore,
    // A head or a part of a body is available.
    kReady,
    kError,
  };

  // Prepares for the head of the next message. Exceeding a limit ends parsing
  // with Beast's error `header_limit` or `body_limit`. `aSkipBody` is for
  // responses to HEAD.
  void Begin(uint32_t aMaxHeaderBytes,
             uint64_t aMaxBodyBytes,
             bool aSkipBody = false)
  {
    mParser.emplace();
    mParser->header_limit(aMaxHeaderBytes);
    mParser->body_limit(aMaxBodyBytes);
    mParser->skip(aSkipBody);
    ReleaseIdleMemory();
  }

  boost::asio::mutable_buffer Prepare(size_t aBytes)
  {
    return mBuffer.prepare(aBytes);
  }
  void Commit(size_t aBytes) { mBuffer.commit(aBytes); }
  size_t Buffered() const { return mBuffer.size(); }
  const Parser& GetParser() const { return *mParser; }
  bool Done() const { return mParser && mParser->is_done(); }

  // Parses buffered bytes up to the end of the head. Sets `aError` if the
  // result is `kError`.
  Progress ParseHead(ErrorCode& aError)
  {
    while (!mParser->is_header_done()) {
      if (mBuffer.size() == 0 || !FeedParser(aError)) {
        return aError ? Progress::kError : Progress::kNeedMore;
      }
    }
    return Progress::kReady;
  }

  // Parses the next part of the body, of at most `kBodyBufferBytes`. `aPart` is
  // valid until the next `ParseBody` or `Begin`. Sets `aError` if the result is
  // `kError`. Precondition: the head is complete and the body is not.
  Progress ParseBody(std::string_view& aPart, ErrorCode& aError)
  {
    if (!mBodyBuffer) {
      mBodyBuffer = std::make_unique<char[]>(kBodyBufferBytes);
    }
    auto& body = mParser->get().body();
    body.data = mBodyBuffer.get();
    body.size = kBodyBufferBytes;
    body.more = true;
    while (!mParser->is_done() && body.size > 0 && mBuffer.size() > 0) {
      if (!FeedParser(aError)) {
        if (aError) {
          return Progress::kError;
        }
        break;
      }
    }
    aPart = { mBodyBuffer.get(), kBodyBufferBytes - body.size };
    bool ready = !aPart.empty() || mParser->is_done();
    return ready ? Progress::kReady : Progress::kNeedMore;
  }

  // Frees the memory that is needed only while a body is read.
  void ReleaseIdleMemory()
  {
    mBodyBuffer.reset();
    if (mBuffer.capacity() > kIdleBufferBytes && mBuffer.size() == 0) {
      mBuffer.shrink_to_fit();
    }
  }

private:
  // Maximum size of one body part. Large enough that a 1 MB body needs few
  // system calls, and small enough for thousands of connections.
  static constexpr size_t kBodyBufferBytes = 64U << 10U;
  // A larger receive buffer is freed between messages when it is empty.
  static constexpr size_t kIdleBufferBytes = 4096;

  // Feeds buffered bytes to the parser; false when it needs more bytes or
  // space, or has failed.
  bool FeedParser(ErrorCode& aError)
  {
    size_t consumed = mParser->put(mBuffer.data(), aError);
    mBuffer.consume(consumed);
    bool needsMore = aError == boost::beast::http::error::need_more ||
                     aError == boost::beast::http::error::need_buffer;
    if (needsMore) {
      aError = {};
      return false;
    }
    return !aError;
  }

  boost::beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::unique_ptr<char[]> mBodyBuffer;
};

// Copies the headers and the framing of a parsed head.
template<typename Parser, typename Head>
void
CopyHead(const Parser& aParser, Head& aHead)
{
  for (const auto& it : aParser.get()) {
    aHead.headers.Add(
      std::string_view(it.name_string().data(), it.name_string().size()),
      std::string_view(it.value().data(), it.value().size()));
  }
  if (aParser.chunked()) {
    aHead.contentLength = std::nullopt;
  } else {
    aHead.contentLength = aParser.content_length().value_or(0);
  }
}

} // namespace limpetwood::http
