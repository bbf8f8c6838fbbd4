// HTTP/1.1 client for whole messages that opens a connection for each request.
// `PooledClient` reuses connections.
//
// Each result of `Fetch` carries a verdict: `kAnswered` with a response,
// `kNotRun` if no write was started, so that the kernel cannot have accepted
// any byte of the request, and `kMayHaveRun` otherwise.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/time.h"
#include "base/verdict.h"
#include "http/endpoint.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <system_error>

namespace limpetwood::http {

struct FetchOptions
{
  // Total time for connecting, sending and receiving.
  Millis timeout = Seconds(5);
  // Maximum size of the response body. A longer one fails with `kMayHaveRun`.
  uint64_t maxBodyBytes = 64U << 20U;
};

struct FetchResult
{
  Verdict verdict = Verdict::kNotRun;
  // Set unless the verdict is `kAnswered`.
  std::error_code error;
  Response response;
  // Set if the request was not sent because of the answer to a probe; see
  // `PooledClient::FetchFrom`.
  std::optional<Response> probeResponse{};
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
