// Latency histogram with fixed buckets, exported as a metric.

#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace limpetwood {

class LatencyHistogram
{
public:
  // Inclusive upper bounds of the buckets in milliseconds; one more bucket
  // counts all longer durations. The bounds cover the latency objectives of
  // both urgent and non-urgent requests.
  static constexpr std::array<int64_t, 10> kBucketBoundsMs = {
    2, 5, 10, 25, 50, 100, 250, 1000, 3000, 10000
  };

  void Observe(Millis aDuration)
  {
    size_t n = 0;
    while (n < kBucketBoundsMs.size() &&
           aDuration.Count() > kBucketBoundsMs[n]) {
      ++n;
    }
    ++mBuckets[n];
    mSumMs += aDuration.Count();
  }

  const std::array<uint64_t, kBucketBoundsMs.size() + 1>& BucketCounts() const
  {
    return mBuckets;
  }
  int64_t SumMs() const { return mSumMs; }

private:
  std::array<uint64_t, kBucketBoundsMs.size() + 1> mBuckets{};
  int64_t mSumMs = 0;
};

} // namespace limpetwood
