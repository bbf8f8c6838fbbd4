#include "fleet/forecast.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// The mean follows changes over about this many tasks.
constexpr uint32_t kWindow = 50;
// Below this the caller's estimate is used.
constexpr uint32_t kEnoughSamples = 3;
constexpr int32_t kAllDone = 100;

} // namespace

void
Forecast::OnDone(const QueueId& aQueue, Millis aTime)
{
  Record& record = mQueues[aQueue];
  record.samples = std::min(record.samples + 1, kWindow);
  record.meanMs +=
    (static_cast<double>(aTime.Count()) - record.meanMs) / record.samples;
}

Millis
Forecast::Expect(const QueueId& aQueue, Millis aEstimate) const
{
  return Learned(aQueue).value_or(aEstimate);
}

Millis
Forecast::Rest(const QueueId& aQueue,
               const Progress& aProgress,
               Millis aNow) const
{
  auto grewAt = aProgress.GrewAt();
  Millis since = grewAt ? aNow - *grewAt : Millis(0);
  auto rate = aProgress.MeanRate();
  if (rate && *rate > 0) {
    double left = kAllDone - std::min(aProgress.Percent(), kAllDone);
    Millis rest(static_cast<int64_t>(left / *rate * 1000));
    return std::max(rest - since, Millis(0));
  }
  auto learned = Learned(aQueue);
  if (!learned) {
    return Millis::Max();
  }
  Millis rest = *learned * (kAllDone - aProgress.Percent()) / kAllDone;
  return std::max(rest - since, Millis(0));
}

std::optional<Millis>
Forecast::Learned(const QueueId& aQueue) const
{
  auto it = mQueues.find(aQueue);
  if (it == mQueues.end() || it->second.samples < kEnoughSamples) {
    return std::nullopt;
  }
  return Millis(static_cast<int64_t>(it->second.meanMs));
}

} // namespace limpetwood::fleet
