// Settings and counters of the request path.

#pragma once

#include "base/time.h"
#include "http/pool.h"
#include "http/stream_server.h"

#include <cstdint>
#include <map>
#include <string>

namespace limpetwood::proxy {

// Bounds on bodies; a longer request is refused with 413, a longer answer ends
// as a broken one.
struct BodyLimits
{
  uint64_t maxRequestBytes = 16U << 20U;
  uint64_t maxResponseBytes = 64U << 20U;
};

struct ProxyOptions
{
  http::ServerLimits server{};
  http::PoolLimits pool{};

  // A request body up to this size is held, so that it can be sent again. A
  // longer one is passed on in parts and cannot be repeated once the caller
  // has sent more than this.
  size_t replayBufferBytes = 64U << 10U;

  // Between two parts of an answer, and for the backend server to take one
  // part of a request.
  Millis stallTimeout = Seconds(30);

  // Switches single mechanisms off, so that tests can show that their checks
  // fail without them.
  struct TestOnly
  {
    bool acceptTruncatedResponses = false;
    bool retryPartialBodies = false;
    bool ignoreCallerDisconnect = false;
    bool endRequestsOnDrain = false;
  };
  TestOnly testOnly{};
};

struct ProxyCounters
{
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t notRun = 0;
  uint64_t mayHaveRun = 0;
  // The caller's connection was lost before its answer was complete.
  uint64_t callerDisconnects = 0;
  // Answers that broke off after a part had reached the caller.
  uint64_t truncatedResponses = 0;
  // Requests that the operator's shutdown ended.
  uint64_t endedByShutdown = 0;
  // Peer messages that could not be read.
  uint64_t malformedPeerMessages = 0;
  // Ends without an answer, by the value of `Limpetwood-Reason`.
  std::map<std::string, uint64_t, std::less<>> reasons;
};

} // namespace limpetwood::proxy
