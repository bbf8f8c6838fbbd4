#include "fleet/worker_speeds.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

constexpr size_t kMinSamples = 2;
// Tasks of one step differ by up to a third without any difference between
// workers, so smaller differences are not told apart.
constexpr double kFastSpeed = 1.15;
constexpr double kSlowSpeed = 1 / kFastSpeed;
// Bounds how long a worker that has changed its speed is judged by its past.
constexpr size_t kMaxSamples = 7;
// Samples after which the values are normalized again.
constexpr size_t kUpdateInterval = 16;

double
MedianOf(std::vector<double> aValues)
{
  auto middle = aValues.begin() + static_cast<ptrdiff_t>(aValues.size() / 2);
  std::nth_element(aValues.begin(), middle, aValues.end());
  return *middle;
}

} // namespace

void
WorkerSpeeds::Observe(const WorkerId& aWorker, double aRelativeRate)
{
  Record& record = mWorkers[aWorker];
  if (record.samples.size() == kMaxSamples) {
    record.samples.erase(record.samples.begin());
  }
  record.samples.push_back(
    std::clamp(aRelativeRate, 1 / kMaxFactor, kMaxFactor));
  if (record.samples.size() >= kMinSamples) {
    record.median = MedianOf(record.samples);
  }
  if (++mSamplesSinceUpdate >= kUpdateInterval) {
    Normalize();
  }
}

void
WorkerSpeeds::Restore(const WorkerId& aWorker, double aSpeed)
{
  mWorkers[aWorker].restored = aSpeed;
}

void
WorkerSpeeds::Normalize()
{
  mSamplesSinceUpdate = 0;
  std::vector<double> values;
  for (const auto& [id, record] : mWorkers) {
    if (auto value = record.Value()) {
      values.push_back(*value);
    }
  }
  if (values.empty()) {
    return;
  }
  // Only ratios of values carry information, because samples are relative to
  // earlier estimates. Without the common scale they would drift together.
  double reference = MedianOf(std::move(values));
  for (auto& [id, record] : mWorkers) {
    for (double& it : record.samples) {
      it /= reference;
    }
    for (auto* it : { &record.restored, &record.median }) {
      if (*it) {
        **it /= reference;
      }
    }
  }
}

std::optional<double>
WorkerSpeeds::SpeedOf(const WorkerId& aWorker) const
{
  auto it = mWorkers.find(aWorker);
  return it == mWorkers.end() ? std::nullopt : it->second.Value();
}

SpeedClass
WorkerSpeeds::ClassFor(double aSpeed)
{
  if (aSpeed >= kFastSpeed) {
    return SpeedClass::kFast;
  }
  return aSpeed <= kSlowSpeed ? SpeedClass::kSlow : SpeedClass::kNormal;
}

SpeedClass
WorkerSpeeds::ClassOf(const WorkerId& aWorker) const
{
  return ClassFor(SpeedOf(aWorker).value_or(1));
}

} // namespace limpetwood::fleet
