// Run times of finished jobs, by workspace.
//
// Declared run times are only a scale: what is learned is the distribution of
// actual over declared time, in steps of a factor of two. A workspace whose
// declarations are far off thus has a high upper quantile, and its jobs are
// backfilled with care.

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

  // A time that a job finishes within with probability `aQuantile`, given that
  // it has already run for `aElapsed`. Twice the elapsed time if no earlier
  // job ran that long.
  Millis Predict(uint32_t aWorkspace,
                 Millis aDeclared,
                 Millis aElapsed,
                 double aQuantile) const;

private:
  static constexpr int kRatioSteps = 24;
  static constexpr int kStepOfRatioOne = 12;
  // Old jobs fade out: counts are halved at this number, so that a workspace
  // that changes its habits is relearned.
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
