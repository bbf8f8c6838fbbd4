#include "routing/retry_policy.h"

namespace limpetwood::routing {

bool
MayHaveCrashed(const AttemptOutcome& aOutcome, bool aLeaving)
{
  return aOutcome.result == AttemptResult::kConnectionLost &&
         !aOutcome.answerStarted && !aLeaving;
}

Reason
CheckRetry(const FailedAttempt& aFailed,
           const RouterOptions& aOptions,
           Millis aNow)
{
  if (aFailed.outcome.answerStarted) {
    return Reason::kAnswerBroken;
  }
  if (aNow >= aFailed.deadline) {
    return Reason::kDeadlinePassed;
  }
  bool mayHaveRun = VerdictOf(aFailed.outcome.result) == Verdict::kMayHaveRun;
  if (mayHaveRun && !aFailed.repeatable && !aOptions.testOnly.retryAlways) {
    return Reason::kNotRepeatable;
  }
  if (aFailed.lostServers >= aOptions.maxLostServers &&
      !aOptions.testOnly.ignoreLostServers) {
    return Reason::kServersLost;
  }
  if (aFailed.attempt >= aOptions.maxAttempts || !aFailed.hasOtherServer) {
    return Reason::kAttemptsExhausted;
  }
  return Reason::kNone;
}

Millis
Backoff(uint32_t aAttempt, const RouterOptions& aOptions, Random& aRandom)
{
  // The bound of 16 keeps the shift in range.
  uint32_t doublings = std::min(aAttempt - 1, 16U);
  Millis full = std::min(aOptions.backoffBase * (int64_t(1) << doublings),
                         aOptions.backoffMax);
  return aRandom.Between(full / 2, full);
}

RetryReason
RetryReasonOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kNotSent:
      return RetryReason::kNotSent;
    case AttemptResult::kServerRefused:
      return RetryReason::kServerRefused;
    case AttemptResult::kTimedOut:
      return RetryReason::kNoResponse;
    default:
      return RetryReason::kConnectionLost;
  }
}

} // namespace limpetwood::routing
