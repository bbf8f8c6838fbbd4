#include "fleet/forecast.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// Up to this number of samples all have equal weight. After that the mean is a
// moving average in which each new sample has a weight of 1 / kMaxSamples.
constexpr uint32_t kMaxSamples = 50;
// With fewer samples the caller's estimate is used.
constexpr uint32_t kMinSamples = 3;
constexpr int32_t kCompletePercent = 100;

} // namespace

void
Forecast::OnDone(const QueueId& aQueue, Millis aTime)
{
  Record& record = mQueues[aQueue];
  record.samples = std::min(record.samples + 1, kMaxSamples);
  record.meanMs +=
    (static_cast<double>(aTime.Count()) - record.meanMs) / record.samples;
}

Millis
Forecast::ExpectedTime(const QueueId& aQueue, Millis aEstimate) const
{
  return LearnedTime(aQueue).value_or(aEstimate);
}

Millis
Forecast::RemainingTime(const QueueId& aQueue,
                        const Progress& aProgress,
                        Millis aNow) const
{
  auto lastIncreaseAt = aProgress.LastIncreaseAt();
  Millis sinceIncrease = lastIncreaseAt ? aNow - *lastIncreaseAt : Millis(0);
  auto rate = aProgress.MeanRate();
  if (rate && *rate > 0) {
    double left =
      kCompletePercent - std::min(aProgress.Percent(), kCompletePercent);
    Millis remaining(static_cast<int64_t>(left / *rate * 1000));
    return std::max(remaining - sinceIncrease, Millis(0));
  }
  auto learnedTime = LearnedTime(aQueue);
  if (!learnedTime) {
    return Millis::Max();
  }
  Millis remaining =
    *learnedTime * (kCompletePercent - aProgress.Percent()) / kCompletePercent;
  return std::max(remaining - sinceIncrease, Millis(0));
}

std::optional<Millis>
Forecast::LearnedTime(const QueueId& aQueue) const
{
  auto it = mQueues.find(aQueue);
  if (it == mQueues.end() || it->second.samples < kMinSamples) {
    return std::nullopt;
  }
  return Millis(static_cast<int64_t>(it->second.meanMs));
}

} // namespace limpetwood::fleet
