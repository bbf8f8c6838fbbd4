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
  std::optional<uint64_t> contentLength = 0;
  // For a head to be sent: closes the connection after the response.
  bool close = false;
};

// Receives one part of a body. The view is valid until the next read of the
// same message. `aLast` is true when the body is complete; the part may then be
// empty. After an error no further read is allowed.
using BodyCallback = std::function<
  void(std::error_code aError, std::string_view aPart, bool aLast)>;

using WriteCallback = std::function<void(std::error_code)>;

} // namespace limpetwood::http
