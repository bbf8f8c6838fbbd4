// Options, body limits and counters of the proxy.

#pragma once

#include "base/log_event.h"
#include "base/time.h"
#include "http/pool.h"
#include "http/stream_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace limpetwood::proxy {

// Maximum body sizes for one service, in bytes. A longer request is rejected
// with status 413. A longer response ends the request with the reason
// "answer_too_large". `ProxyOptions::server.maxBodyBytes` limits the requests
// of all services in addition.
struct BodyLimits
{
  uint64_t maxRequestBytes = 16U << 20U;
  uint64_t maxResponseBytes = 64U << 20U;
};

struct ProxyOptions
{
  http::ServerLimits server{};
  http::PoolLimits pool{};

  // Bytes of a request body that are buffered so that a retry can send them
  // again. The rest of a longer body is streamed without buffering, after which
  // the request cannot be retried.
  size_t replayBufferBytes = 64U << 10U;

  // Maximum time between two parts of a response body, and for the backend
  // server to accept one part of a request body.
  Millis stallTimeout = Seconds(30);
  // Receives the log events; may be empty.
  LogFunction log{};

  // Disables individual safeguards, so that tests can verify that their checks
  // detect the resulting failures.
  struct TestOnly
  {
    // Passes a truncated response on as complete.
    bool acceptTruncatedResponses = false;
    // Retries a request although a part of its body is no longer buffered.
    bool retryPartialBodies = false;
    bool ignoreCallerDisconnect = false;
    bool endRequestsOnDrain = false;
  };
  TestOnly testOnly{};
};

struct ProxyCounters
{
  // Requests received.
  uint64_t requests = 0;
  // Requests by verdict.
  uint64_t answered = 0;
  uint64_t notRun = 0;
  uint64_t mayHaveRun = 0;
  // The caller disconnected before it had received the complete response.
  uint64_t callerDisconnects = 0;
  // Requests that ended with the reason "answer_broken": the server's response
  // failed after a part of it had been sent to the caller.
  uint64_t truncatedResponses = 0;
  // Requests ended by a shutdown: by the drain deadline or by the operator.
  uint64_t endedByShutdown = 0;
  // Messages from other instances that could not be decoded.
  uint64_t malformedPeerMessages = 0;
  // Requests with the verdict "not_run" or "may_have_run", by the value of
  // `Limpetwood-Reason`.
  std::map<std::string, uint64_t, std::less<>> reasons;
};

} // namespace limpetwood::proxy
