// Relative speeds of workers, learned from the runs on them.
//
// Addresses a load on uneven workers: an urgent job on a worker at half of the
// others' speed ends late although it started at once, and a gang runs at the
// speed of its slowest member. A sample is the rate of a run divided by the
// rate expected from the other runs of its step on a worker of speed 1, so it
// does not depend on how long the job is.

#pragma once

#include "fleet/placement.h"
#include "fleet/types.h"

#include <map>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

class WorkerSpeeds
{
public:
  // Records a sample for the worker. Samples outside a factor of `kMaxFactor`
  // are bounded.
  void Observe(const WorkerId& aWorker, double aRelativeRate);
  // Sets the speed that an earlier leader had learned. It is used until enough
  // samples exist.
  void Restore(const WorkerId& aWorker, double aSpeed);
  // Forgets the worker, such as when another process runs under its id.
  void Forget(const WorkerId& aWorker) { mWorkers.erase(aWorker); }

  // The speed relative to the median of all known workers; empty if too little
  // is known.
  std::optional<double> SpeedOf(const WorkerId& aWorker) const;

  static SpeedClass ClassFor(double aSpeed);
  // `kNormal` if too little is known.
  SpeedClass ClassOf(const WorkerId& aWorker) const;

  static constexpr double kMaxFactor = 10;

private:
  struct Record
  {
    std::optional<double> restored{};
    // The latest samples, the oldest first.
    std::vector<double> samples{};
    // Median of the samples, the higher one of two: one task that is longer
    // than the others of its step does not make a worker slow. Empty if there
    // are too few.
    std::optional<double> median{};

    std::optional<double> Value() const { return median ? median : restored; }
  };

  // Divides all values by their median.
  void Normalize();

  std::map<WorkerId, Record> mWorkers;
  size_t mSamplesSinceUpdate = 0;
};

} // namespace limpetwood::fleet
