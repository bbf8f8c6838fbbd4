#include "scheduler/run_time_history.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::scheduler {

namespace {

// Weight of the assumption that declarations are right, or too low by up to a
// factor of four, in numbers of jobs. Without it, the first finished job of a
// workspace would decide alone.
constexpr uint32_t kPriorAtOne = 2;
constexpr uint32_t kPriorAtFour = 2;

double
Scale(Millis aDeclared)
{
  return static_cast<double>(std::max<int64_t>(aDeclared.Count(), 1000));
}

} // namespace

int
History::StepOf(Millis aDeclared, Millis aActual)
{
  double ratio = static_cast<double>(std::max<int64_t>(aActual.Count(), 1)) /
                 Scale(aDeclared);
  int step = static_cast<int>(std::ceil(std::log2(ratio))) + kMiddle;
  return std::clamp(step, 0, kSteps - 1);
}

void
History::Record(uint32_t aWorkspace, Millis aDeclared, Millis aActual)
{
  if (aWorkspace >= mWorkspaces.size()) {
    mWorkspaces.resize(aWorkspace + 1);
  }
  Ratios& ratios = mWorkspaces[aWorkspace];
  ++ratios.counts[static_cast<std::size_t>(StepOf(aDeclared, aActual))];
  if (++ratios.total >= kHalveAt) {
    ratios.total = 0;
    for (uint32_t& count : ratios.counts) {
      count /= 2;
      ratios.total += count;
    }
  }
}

Millis
History::Predict(uint32_t aWorkspace,
                 Millis aDeclared,
                 Millis aElapsed,
                 double aQuantile) const
{
  static const Ratios kEmpty;
  const Ratios& ratios =
    aWorkspace < mWorkspaces.size() ? mWorkspaces[aWorkspace] : kEmpty;
  // Steps whose upper bound lies beyond the elapsed time remain possible.
  int first = aElapsed > Millis() ? StepOf(aDeclared, aElapsed + Millis(1)) : 0;
  std::array<uint32_t, kSteps> counts = ratios.counts;
  counts[kMiddle] += kPriorAtOne;
  counts[kMiddle + 2] += kPriorAtFour;
  uint32_t total = 0;
  for (int i = first; i < kSteps; ++i) {
    total += counts[static_cast<std::size_t>(i)];
  }
  if (total == 0) {
    return aElapsed * 2;
  }
  double wanted = aQuantile * total;
  double seen = 0;
  int step = kSteps - 1;
  for (int i = first; i < kSteps; ++i) {
    seen += counts[static_cast<std::size_t>(i)];
    if (seen >= wanted) {
      step = i;
      break;
    }
  }
  double millis = Scale(aDeclared) * std::exp2(step - kMiddle);
  return std::max(Millis(static_cast<int64_t>(millis)), aElapsed);
}

} // namespace limpetwood::scheduler
