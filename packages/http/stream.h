// Heads of messages with streamed bodies, and the callbacks of streaming reads
// and writes.

#pragma once

#include "http/message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace limpetwood::http {

// `headers` of a received head include `Connection`, `Content-Length` and
// `Transfer-Encoding`. These headers are ignored in a head to be sent, whose
// framing depends only on `contentLength`.
struct RequestHead
{
  std::string method = "GET";
  // Path and query as received.
  std::string target = "/";
  Headers headers;
  // Body length in bytes; empty for a body in chunked encoding.
  std::optional<uint64_t> contentLength = 0;

  bool HasBody() const { return contentLength != uint64_t{ 0 }; }
};

struct ResponseHead
{
  int status = 200;
  Headers headers;
  // Body length in bytes. Empty for a body of unknown length, which is sent in
  // chunked encoding or, to an HTTP/1.0 peer, until the connection is closed.
  std::optional<uint64_t> contentLength = 0;
  // For a head to be sent: closes the connection after the response.
  bool close = false;
};

// Receives one part of a body. The view is valid until the next read of the
// same message. `aLast` is true when the body is complete; the part may then be
// empty. With an error, `aPart` and `aLast` have no meaning, and no further
// read is allowed.
using BodyCallback = std::function<
  void(std::error_code aError, std::string_view aPart, bool aLast)>;

// Called when the kernel has accepted all bytes of a write, or with an error.
// Also reports the result of `Connection::Connect`.
using WriteCallback = std::function<void(std::error_code)>;

} // namespace limpetwood::http
