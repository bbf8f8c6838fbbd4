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
// Samples after which the reference is computed anew.
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
  // The sample is relative to a worker of speed 1, which has the reference as
  // its value.
  record.samples.push_back(
    mReference * std::clamp(aRelativeRate, 1 / kMaxFactor, kMaxFactor));
  if (record.samples.size() >= kMinSamples) {
    record.median = MedianOf(record.samples);
  }
  if (++mSamplesSinceUpdate >= kUpdateInterval) {
    UpdateReference();
  }
}

void
WorkerSpeeds::Restore(const WorkerId& aWorker, double aSpeed)
{
  mWorkers[aWorker].restored = aSpeed;
}

void
WorkerSpeeds::UpdateReference()
{
  mSamplesSinceUpdate = 0;
  std::vector<double> values;
  for (const auto& [id, record] : mWorkers) {
    if (auto value = record.Value()) {
      values.push_back(*value);
    }
  }
  if (!values.empty()) {
    mReference = MedianOf(std::move(values));
  }
}

std::optional<double>
WorkerSpeeds::SpeedOf(const WorkerId& aWorker) const
{
  auto it = mWorkers.find(aWorker);
  auto value = it == mWorkers.end() ? std::nullopt : it->second.Value();
  return value ? std::optional(*value / mReference) : std::nullopt;
}

SpeedClass
WorkerSpeeds::ClassOf(const WorkerId& aWorker) const
{
  double speed = SpeedOf(aWorker).value_or(1);
  if (speed >= kFastSpeed) {
    return SpeedClass::kFast;
  }
  return speed <= kSlowSpeed ? SpeedClass::kSlow : SpeedClass::kNormal;
}

} // namespace limpetwood::fleet
