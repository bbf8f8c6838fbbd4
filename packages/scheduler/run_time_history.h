// Predicts run times from the finished jobs of each workspace.
//
// Declared run times only provide a scale. The history records the distribution
// of the ratio of actual to declared run time, in steps of a factor of two. A
// workspace with inaccurate declarations therefore has a high upper quantile,
// and its jobs are backfilled conservatively.

#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace limpetwood::scheduler {

class RunTimeHistory
{
public:
  void Record(uint32_t aWorkspace, Millis aDeclared, Millis aActual);

  // Returns the total run time that a job does not exceed with probability
  // `aQuantile`, given that it has already run for `aElapsed`. Returns twice
  // the elapsed time if no recorded job ran that long.
  Millis Predict(uint32_t aWorkspace,
                 Millis aDeclared,
                 Millis aElapsed,
                 double aQuantile) const;

private:
  static constexpr int kRatioSteps = 24;
  // The step of ratios above 1/2 and up to 1.
  static constexpr int kStepOfRatioOne = 12;
  // All counts of a workspace are halved when their total reaches this number,
  // so that old jobs lose weight and a changed behaviour is learned.
  static constexpr uint32_t kHalvingThreshold = 400;

  struct RatioHistogram
  {
    std::array<uint32_t, kRatioSteps> counts{};
    uint32_t total = 0;
  };

  static int RatioStep(Millis aDeclared, Millis aActual);

  std::vector<RatioHistogram> mWorkspaces;
};

} // namespace limpetwood::scheduler
