#include "fleet/step_rates.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace limpetwood::fleet {

void
StepRates::Record(const TaskRef& aTask, const WorkerId& aWorker, double aRate)
{
  auto& samples = mSteps[{ aTask.job, aTask.occurrence, aTask.step }].samples;
  if (samples.size() < kMaxSamples || samples.contains(aTask.index)) {
    samples[aTask.index] = { .worker = aWorker, .rate = aRate };
  }
}

std::optional<double>
StepRates::MedianOfPeers(const TaskRef& aTask,
                         const WorkerId& aWorker,
                         const WorkerSpeeds& aSpeeds) const
{
  auto step = mSteps.find({ aTask.job, aTask.occurrence, aTask.step });
  if (step == mSteps.end()) {
    return std::nullopt;
  }
  std::vector<double> rates;
  for (const auto& [index, sample] : step->second.samples) {
    if (index != aTask.index && sample.worker != aWorker) {
      rates.push_back(sample.rate / aSpeeds.SpeedOf(sample.worker).value_or(1));
    }
  }
  if (rates.size() < kMinPeers) {
    return std::nullopt;
  }
  std::sort(rates.begin(), rates.end());
  // The geometric mean of the two middle rates of an even number. With one fast
  // and one slow peer, either of them alone would be off by their whole ratio.
  double median =
    std::sqrt(rates[(rates.size() - 1) / 2] * rates[rates.size() / 2]);
  return median > 0 ? std::optional(median) : std::nullopt;
}

bool
StepRates::TakeSample(const TaskRef& aTask, const WorkerId& aWorker)
{
  return mSteps[{ aTask.job, aTask.occurrence, aTask.step }]
    .sampledWorkers.insert(aWorker)
    .second;
}

void
StepRates::Forget(const JobId& aJob)
{
  auto begin = mSteps.lower_bound({ aJob, 0, 0 });
  auto end = begin;
  while (end != mSteps.end() && std::get<0>(end->first) == aJob) {
    ++end;
  }
  mSteps.erase(begin, end);
}

} // namespace limpetwood::fleet
