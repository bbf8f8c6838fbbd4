// Latency, failures and ejection state of one backend server, as observed by
// its home instance.

#pragma once

#include "base/time.h"
#include "routing/options.h"
#include "routing/request.h"

#include <algorithm>
#include <cstdint>

namespace limpetwood::routing {

class ServerHealth
{
public:
  explicit ServerHealth(Millis aNow)
    : mAdmittedAt(aNow)
    , mLastProgress(aNow)
    , mLastSampleAt(aNow)
  {
  }

  // `aInUse`: attempts in progress, including this one.
  void AttemptStarted(Millis aNow, uint32_t aInUse)
  {
    // Idle time before the first attempt does not count as a stall.
    if (aInUse == 1) {
      mLastProgress = aNow;
    }
  }

  // Returns true if the server has failed often enough to be ejected. The
  // caller decides whether the pool allows the ejection.
  bool AttemptEnded(const AttemptOutcome& aOutcome,
                    const RouterOptions& aOptions,
                    Millis aNow);

  void Eject(const RouterOptions& aOptions, Millis aNow);
  // Readmits the server if its ejection time has passed. Returns true if it was
  // readmitted; slow start then limits its load.
  bool Readmit(const RouterOptions& aOptions, Millis aNow);

  bool Ejected() const { return mEjected; }
  // Moving average over answered and timed-out attempts; 0 before the first
  // one.
  double LatencyMs() const { return mLatencyMs; }

  // Expected cost of one more attempt while `aInUse` attempts are in progress;
  // the server with the lowest score is preferred.
  double Score(uint32_t aInUse,
               const RouterOptions& aOptions,
               Millis aNow) const;

private:
  // Time at which the server was added to the pool or readmitted; slow start
  // counts from here.
  Millis mAdmittedAt;
  Millis mLastProgress;
  Millis mLastSampleAt;
  double mLatencyMs = 0;
  bool mHasSample = false;
  // Weighted failures since the last successful answer: four points for a
  // failure, one for an explicit refusal.
  uint32_t mFailurePoints = 0;
  uint32_t mConsecutiveEjections = 0;
  Millis mEjectedUntil;
  bool mEjected = false;
};

} // namespace limpetwood::routing
