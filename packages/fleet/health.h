// Fault scores of workers, derived from the results of their runs.
//
// A faulty worker can look healthy while it fails, slows down or stalls every
// run. Such a worker is always idle, so without a fault score it would attract
// every new gang. The score expires with time and is cleared by a run that ends
// as done, so that a faulty job does not exclude all workers.

#pragma once

#include "fleet/types.h"

#include <map>

namespace limpetwood::fleet {

struct HealthOptions
{
  // How long a fault score remains valid after the last fault.
  Millis scoreLifetime = Seconds(8);
  // A worker with this fault score or more takes no tasks.
  int excludeScore = 3;
};

class Health
{
public:
  explicit Health(HealthOptions aOptions)
    : mOptions(aOptions)
  {
  }

  // A run on the worker ended as done. Clears the fault score.
  void OnDone(const WorkerId& aWorker);
  // A run failed on the worker; the worker is not necessarily the cause.
  void OnRunFailed(const WorkerId& aWorker, const JobId& aJob, Millis aNow);
  // A run on the worker is much slower than its peers on other workers, or
  // than the learned run time suggests.
  void OnSlow(const WorkerId& aWorker, Millis aNow);
  // A run on the worker progresses at a normal rate. Clears the fault score
  // unless a failed run contributed to it.
  void OnNormalPace(const WorkerId& aWorker);
  // A run on the worker made no progress for the stall time.
  void OnStalled(const WorkerId& aWorker, Millis aNow);

  // 0 for a worker without faults; higher is worse.
  int FaultScoreOf(const WorkerId& aWorker, Millis aNow) const;
  bool IsExcluded(const WorkerId& aWorker, Millis aNow) const;

  void Forget(const WorkerId& aWorker) { mWorkers.erase(aWorker); }

private:
  struct Record
  {
    int score = 0;
    Millis lastFaultAt;
    // The job of the last counted failure. Repeated failures of one job count
    // once, because the job may be the cause.
    JobId lastFailedJob;
  };

  void Add(const WorkerId& aWorker, int aScore, Millis aNow);

  HealthOptions mOptions;
  std::map<WorkerId, Record> mWorkers;
};

} // namespace limpetwood::fleet
