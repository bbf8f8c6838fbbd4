// Decides whether and when a failed attempt is retried.
//
// Retries also need a token of a `RetryBudget`, to which each admitted request
// adds.

#pragma once

#include "base/random.h"
#include "base/retry_budget.h"
#include "base/time.h"
#include "base/verdict.h"
#include "routing/options.h"
#include "routing/request.h"

#include <algorithm>
#include <cstdint>

namespace limpetwood::routing {

// Allows a retry of all requests in progress on one server with 8 slots when it
// fails.
inline constexpr double kMaxSavedRetries = 10;

struct FailedAttempt
{
  AttemptOutcome outcome{};
  // 1 for the first attempt.
  uint32_t attempt = 1;
  bool repeatable = true;
  // Servers that the request may have crashed, including that of this attempt.
  uint32_t lostServers = 0;
  // This instance has a server that the request has not tried and that may take
  // it soon, or another instance reports servers of the service.
  bool hasOtherServer = true;
  Millis deadline{};
};

// True if the end of the attempt may mean that the request crashed its server:
// the connection failed without an answer. A server that is leaving closes its
// connections by intention, so `aLeaving` excludes it.
bool
MayHaveCrashed(const AttemptOutcome& aOutcome, bool aLeaving);

// Returns `kNone` if a retry is allowed, subject to the retry budget, else the
// reason why it is not.
Reason
CheckRetry(const FailedAttempt& aFailed,
           const RouterOptions& aOptions,
           Millis aNow);

// Exponential backoff after the failed attempt `aAttempt`, counted from 1. Half
// of the delay is random, so that requests that failed together are not retried
// together.
Millis
Backoff(uint32_t aAttempt, const RouterOptions& aOptions, Random& aRandom);

// Precondition: the result is not `kAnswered`.
RetryReason
RetryReasonOf(AttemptResult aResult);

} // namespace limpetwood::routing
