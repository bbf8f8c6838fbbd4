#include "scheduler/run_time_history.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::scheduler {

namespace {

// Prior weights, in numbers of jobs, of the assumptions that a declaration is
// right and that it is too low by a factor of up to four. Without them, the
// first finished job of a workspace would determine its predictions.
constexpr uint32_t kPriorJobsAtRatioOne = 2;
constexpr uint32_t kPriorJobsAtRatioFour = 2;

// Returns the declared run time in milliseconds, at least 1000 (1 s).
double
DeclaredMs(Millis aDeclared)
{
  return static_cast<double>(std::max<int64_t>(aDeclared.Count(), 1000));
}

} // namespace

int
RunTimeHistory::RatioStep(Millis aDeclared, Millis aActual)
{
  double ratio = static_cast<double>(std::max<int64_t>(aActual.Count(), 1)) /
                 DeclaredMs(aDeclared);
  int step = static_cast<int>(std::ceil(std::log2(ratio))) + kStepOfRatioOne;
  return std::clamp(step, 0, kRatioSteps - 1);
}

void
RunTimeHistory::Record(uint32_t aWorkspace, Millis aDeclared, Millis aActual)
{
  if (aWorkspace >= mWorkspaces.size()) {
    mWorkspaces.resize(aWorkspace + 1);
  }
  RatioHistogram& ratios = mWorkspaces[aWorkspace];
  ++ratios.counts[static_cast<std::size_t>(RatioStep(aDeclared, aActual))];
  if (++ratios.total >= kHalvingThreshold) {
    ratios.total = 0;
    for (uint32_t& count : ratios.counts) {
      count /= 2;
      ratios.total += count;
    }
  }
}

Millis
RunTimeHistory::Predict(uint32_t aWorkspace,
                        Millis aDeclared,
                        Millis aElapsed,
                        double aQuantile) const
{
  static const RatioHistogram kEmpty;
  const RatioHistogram& ratios =
    aWorkspace < mWorkspaces.size() ? mWorkspaces[aWorkspace] : kEmpty;
  // Only steps with an upper bound above the elapsed time remain possible.
  int first =
    aElapsed > Millis() ? RatioStep(aDeclared, aElapsed + Millis(1)) : 0;
  std::array<uint32_t, kRatioSteps> counts = ratios.counts;
  counts[kStepOfRatioOne] += kPriorJobsAtRatioOne;
  // Each step doubles the ratio, so the ratio of four is two steps above one.
  counts[kStepOfRatioOne + 2] += kPriorJobsAtRatioFour;
  uint32_t total = 0;
  for (int i = first; i < kRatioSteps; ++i) {
    total += counts[static_cast<std::size_t>(i)];
  }
  if (total == 0) {
    // No recorded job ran that long: assume that half of the run time has
    // passed.
    return aElapsed * 2;
  }
  double targetCount = aQuantile * total;
  double countSoFar = 0;
  int step = kRatioSteps - 1;
  for (int i = first; i < kRatioSteps; ++i) {
    countSoFar += counts[static_cast<std::size_t>(i)];
    if (countSoFar >= targetCount) {
      step = i;
      break;
    }
  }
  double millis = DeclaredMs(aDeclared) * std::exp2(step - kStepOfRatioOne);
  return std::max(Millis(static_cast<int64_t>(millis)), aElapsed);
}

} // namespace limpetwood::scheduler
