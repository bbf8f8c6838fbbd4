// Estimates queueing delay and service time, so that requests that cannot meet
// their deadline are refused early.

#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>

namespace limpetwood::routing {

// Estimates how long a request of one service waits for a slot.
class WaitEstimator
{
public:
  // Adds the time for which an answered attempt occupied its slot.
  void AddSample(Millis aServiceTime)
  {
    auto sample = static_cast<double>(aServiceTime.Count());
    mMeanServiceMs =
      mHasSample ? mMeanServiceMs + kSampleWeight * (sample - mMeanServiceMs)
                 : sample;
    // The asymmetric weights make the estimate converge near the 95th
    // percentile.
    double weight = sample > mServiceP95Ms ? kP95RiseWeight : kP95FallWeight;
    mServiceP95Ms =
      mHasSample ? mServiceP95Ms + weight * (sample - mServiceP95Ms) : sample;
    mHasSample = true;
  }

  // Expected wait of a request if `aAhead` requests, itself included, are
  // served by `aSlots` slots. Zero without samples, so that no request is
  // refused without evidence.
  Millis ExpectedWait(double aAhead, uint32_t aSlots) const
  {
    if (!mHasSample || aSlots == 0) {
      return Millis(0);
    }
    return Millis(static_cast<int64_t>(aAhead * mMeanServiceMs / aSlots));
  }

  // Estimated 95th percentile of the service time. A queued request with less
  // time left is not started: it would probably time out, and its slot would
  // stay occupied until the server's reports show that it no longer runs there.
  // Zero without samples.
  Millis ServiceTimeP95() const
  {
    return Millis(static_cast<int64_t>(mServiceP95Ms));
  }
  // At least 1, because the router uses it as `FairQueue::Entry::cost`, which
  // must not be zero.
  double MeanServiceMs() const { return std::max(1.0, mMeanServiceMs); }

private:
  // Weights of a new sample in the moving averages: mean, and the percentile
  // for samples above and below it.
  static constexpr double kSampleWeight = 0.02;
  static constexpr double kP95RiseWeight = 0.1;
  static constexpr double kP95FallWeight = 0.005;

  double mMeanServiceMs = 0;
  double mServiceP95Ms = 0;
  bool mHasSample = false;
};

} // namespace limpetwood::routing
