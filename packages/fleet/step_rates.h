// Rates of progress of the runs of each step.
//
// Addresses a load in which some jobs take many times as long as others of
// their queue: whether a run is slow is judged by the other runs of its own
// step, which are as long, and not by the run times of the queue.

#pragma once

#include "fleet/types.h"
#include "fleet/worker_speeds.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <tuple>

namespace limpetwood::fleet {

class StepRates
{
public:
  // Records the rate, in percent per second, at which a run of the task
  // progressed on a worker. A later run of the task replaces it. Beyond
  // `kMaxSamples` tasks of a step nothing is recorded.
  void Record(const TaskRef& aTask, const WorkerId& aWorker, double aRate);

  // Median rate of the step's other tasks on other workers, each divided by the
  // speed of its worker: the rate to expect on a worker of speed 1, however
  // many of the peers run on slow ones. Empty if fewer than `kMinPeers` are
  // known.
  std::optional<double> MedianOfPeers(const TaskRef& aTask,
                                      const WorkerId& aWorker,
                                      const WorkerSpeeds& aSpeeds) const;

  // Returns true once for each worker of a step: several tasks on one worker
  // are no independent evidence about its speed.
  bool TakeSample(const TaskRef& aTask, const WorkerId& aWorker);

  void Forget(const JobId& aJob);

  static constexpr size_t kMinPeers = 2;
  static constexpr size_t kMaxSamples = 64;

private:
  struct Sample
  {
    WorkerId worker{};
    double rate = 0;
  };
  struct Step
  {
    // By index of the task.
    std::map<uint32_t, Sample> samples{};
    std::set<WorkerId> sampledWorkers{};
  };
  // Job, occurrence and step.
  using StepKey = std::tuple<JobId, uint32_t, uint32_t>;

  std::map<StepKey, Step> mSteps;
};

} // namespace limpetwood::fleet
