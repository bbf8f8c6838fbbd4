// Suspicion against workers, from what became of the runs on them.
//
// Answers the load in which some workers fail, slow down or stall all that they
// are given while they look healthy: such a worker is always empty, so without
// memory it would draw every new gang. Suspicion fades with time and ends with
// a run that is done, so that a faulty job does not empty the pool.

#pragma once

#include "fleet/types.h"

#include <map>

namespace limpetwood::fleet {

struct HealthOptions
{
  // How long a failure counts against a worker.
  Millis memory = Seconds(8);
  // A worker with this much suspicion takes no tasks.
  int excludeAt = 3;
};

class Health
{
public:
  explicit Health(HealthOptions aOptions)
    : mOptions(aOptions)
  {
  }

  void OnDone(const WorkerId& aWorker);
  // A run failed there, though not necessarily by the worker's fault.
  void OnFailed(const WorkerId& aWorker, const JobId& aJob, Millis aNow);
  // A run is much slower there than its peers elsewhere.
  void OnSlow(const WorkerId& aWorker, Millis aNow);
  // A run there keeps up with its peers.
  void OnSteady(const WorkerId& aWorker);
  // A run made no progress while its peers did.
  void OnStalled(const WorkerId& aWorker, Millis aNow);

  // 0 for a worker without fault; higher is worse.
  int SuspicionOf(const WorkerId& aWorker, Millis aNow) const;
  bool IsExcluded(const WorkerId& aWorker, Millis aNow) const;

  void Forget(const WorkerId& aWorker) { mWorkers.erase(aWorker); }

private:
  struct Record
  {
    int points = 0;
    Millis lastAt;
    // A job counts once, so that one faulty job is no proof.
    JobId lastJob;
  };

  void Add(const WorkerId& aWorker, int aPoints, Millis aNow);

  HealthOptions mOptions;
  std::map<WorkerId, Record> mWorkers;
};

} // namespace limpetwood::fleet
