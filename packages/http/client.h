// HTTP/1.1 client for control calls that opens a connection for each request.
//
// Each result carries a verdict: `kNotRun` only if no write was started, so
// that the kernel cannot have accepted any byte of the request.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/time.h"
#include "base/verdict.h"
#include "http/endpoint.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <system_error>

namespace limpetwood::http {

struct FetchOptions
{
  Millis timeout = Seconds(5);
  uint64_t maxBodyBytes = 64U << 20U;
};

struct FetchResult
{
  Verdict verdict = Verdict::kNotRun;
  // Set unless the verdict is `kAnswered`.
  std::error_code error;
  Response response;
};

using FetchCallback = std::function<void(FetchResult)>;

// Sends `aRequest` and calls `aDone` exactly once. Sets the headers `Host`,
// `Content-Length` and `Connection`.
void
Fetch(boost::asio::io_context& aContext,
      const Endpoint& aEndpoint,
      Request aRequest,
      FetchOptions aOptions,
      FetchCallback aDone);

// Runs `Fetch` on its own io_context and waits for the result. For command-line
// tools and tests.
FetchResult
FetchAndWait(const Endpoint& aEndpoint,
             Request aRequest,
             FetchOptions aOptions);

} // namespace limpetwood::http
