#include "routing/server_health.h"

namespace limpetwood::routing {

namespace {

// A refusal usually indicates load rather than a fault, so four refusals count
// as much as one failure.
constexpr uint32_t kFailurePoints = 4;
constexpr uint32_t kRefusalPoints = 1;
// Weight of a new sample in the moving average of the latency.
constexpr double kLatencySampleWeight = 0.2;
// The latency estimate halves after this idle time in milliseconds, so that a
// server that is avoided because of old samples is tried again.
constexpr double kLatencyHalvingIdleMs = 10'000;
// Maximum factor by which slow start raises the score of a server.
constexpr double kMaxSlowStartPenalty = 10;

} // namespace

bool
ServerHealth::AttemptEnded(const AttemptOutcome& aOutcome,
                           const RouterOptions& aOptions,
                           Millis aNow)
{
  if (aOutcome.result == AttemptResult::kAbandoned) {
    return false;
  }
  bool answered = aOutcome.result == AttemptResult::kAnswered;
  if (answered || aOutcome.result == AttemptResult::kTimedOut) {
    auto sample = static_cast<double>(aOutcome.latency.Count());
    mLatencyMs = mHasSample
                   ? mLatencyMs + kLatencySampleWeight * (sample - mLatencyMs)
                   : sample;
    mHasSample = true;
    mLastSampleAt = aNow;
  }
  if (answered && !aOutcome.serverError) {
    mLastProgress = aNow;
    mFailurePoints = 0;
    mConsecutiveEjections = 0;
    return false;
  }
  mFailurePoints += aOutcome.result == AttemptResult::kServerRefused
                      ? kRefusalPoints
                      : kFailurePoints;
  return !mEjected &&
         mFailurePoints >= aOptions.ejectAfterFailures * kFailurePoints;
}

void
ServerHealth::Eject(const RouterOptions& aOptions, Millis aNow)
{
  mEjected = true;
  // The bound of 10 keeps the shift in range.
  uint32_t doublings = std::min(mConsecutiveEjections, 10U);
  Millis time = aOptions.ejectionTime * (int64_t(1) << doublings);
  mEjectedUntil = aNow + std::min(time, aOptions.maxEjectionTime);
  ++mConsecutiveEjections;
}

bool
ServerHealth::Readmit(const RouterOptions& aOptions, Millis aNow)
{
  if (!mEjected || aNow < mEjectedUntil) {
    return false;
  }
  mEjected = false;
  // A single further failure ejects the server again.
  mFailurePoints = (aOptions.ejectAfterFailures - 1) * kFailurePoints;
  mAdmittedAt = aNow;
  mLastProgress = aNow;
  return true;
}

double
ServerHealth::Score(uint32_t aInUse,
                    const RouterOptions& aOptions,
                    Millis aNow) const
{
  auto idle = static_cast<double>((aNow - mLastSampleAt).Count());
  double latency = mLatencyMs / (1 + idle / kLatencyHalvingIdleMs);
  if (aInUse > 0) {
    // No answer for longer than the average latency indicates a stall.
    latency =
      std::max(latency, static_cast<double>((aNow - mLastProgress).Count()));
  }
  double score = (latency + 1) * (aInUse + 1);
  Millis age = aNow - mAdmittedAt;
  if (age < aOptions.slowStart) {
    double part = static_cast<double>(age.Count()) /
                  static_cast<double>(aOptions.slowStart.Count());
    score /= std::max(1 / kMaxSlowStartPenalty, part);
  }
  return score;
}

} // namespace limpetwood::routing
