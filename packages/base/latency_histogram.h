// Counts of durations in fixed buckets, for metrics.

#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>

namespace limpetwood {

class LatencyHistogram
{
public:
  // Upper bounds of the buckets in milliseconds; the last bucket has none. They
  // follow the objectives of urgent and of patient requests.
  static constexpr std::array<int64_t, 10> kBucketBoundsMs = {
    2, 5, 10, 25, 50, 100, 250, 1000, 3000, 10000
  };

  void Observe(Millis aTime)
  {
    size_t n = 0;
    while (n < kBucketBoundsMs.size() && aTime.Count() > kBucketBoundsMs[n]) {
      ++n;
    }
    ++mBuckets[n];
    mSumMs += aTime.Count();
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
