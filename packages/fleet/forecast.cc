#include "fleet/forecast.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// The mean follows changes over about this many tasks.
constexpr uint32_t kWindow = 50;
// Below this the caller's estimate is used.
constexpr uint32_t kEnoughSamples = 3;
// Progress below this says little about the rate.
constexpr int32_t kTellingPercent = 8;
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
  auto it = mQueues.find(aQueue);
  if (it == mQueues.end() || it->second.samples < kEnoughSamples) {
    return aEstimate;
  }
  return Millis(static_cast<int64_t>(it->second.meanMs));
}

Millis
Forecast::Rest(const QueueId& aQueue,
               Millis aEstimate,
               Millis aElapsed,
               int32_t aPercent) const
{
  if (aPercent >= kTellingPercent && aElapsed > Millis(0)) {
    return aElapsed * (kAllDone - std::min(aPercent, kAllDone)) / aPercent;
  }
  return std::max(Expect(aQueue, aEstimate) - aElapsed, Millis(0));
}

} // namespace limpetwood::fleet
