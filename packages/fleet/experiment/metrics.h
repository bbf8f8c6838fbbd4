// What an emulated run earned, and what it cost.

#pragma once

#include "fleet/experiment/workload.h"
#include "fleet/state.h"

#include <map>
#include <string>
#include <vector>

namespace limpetwood::fleet::experiment {

struct ClassOutcome
{
  size_t jobs = 0;
  size_t inTime = 0;
  size_t late = 0;
  size_t withoutValue = 0;
  double earnedValue = 0;
  double maxValue = 0;
  // Times from submission to the first start.
  std::vector<Millis> startDelays;
};

struct Outcomes
{
  std::map<std::string, ClassOutcome> classes;
  // Accelerator seconds in use, and of those the ones whose work was lost.
  double usedAcceleratorSeconds = 0;
  double wastedAcceleratorSeconds = 0;
  // Violated invariants: two runs of one task.
  size_t violations = 0;
  // Starts that exceeded a worker's capacity.
  size_t limitViolations = 0;
  // Starts of tasks that had crashed too many workers.
  size_t budgetViolations = 0;
  size_t workersCrashed = 0;
  // Jobs that failed although no task of theirs crashes workers.
  size_t soundJobsFailed = 0;

  double ValueRatio() const;
};

// Collects the outcomes. Jobs whose tasks crash workers are not counted.
class Metrics
{
public:
  // Both arguments must outlive the metrics.
  Metrics(const FleetState& aState, Workload& aWorkload)
    : mState(aState)
    , mWorkload(aWorkload)
  {
  }

  void OnAccepted(const JobId& aJob);
  void OnRunStarted(const JobId& aJob, Millis aNow);
  // A run of the step ended on its worker; its work is lost if `aWasted`.
  void OnRunEnded(const StepSpec& aStep, Millis aDuration, bool aWasted);
  // Accounts for the jobs that ended since the last call.
  void AccountEndedJobs(Millis aNow);
  // Accounts for the jobs that have not ended by the end of the run.
  void AccountLiveJobs();

  // Counters that the emulated workers increment.
  Outcomes& Counters() { return mOutcomes; }
  const Outcomes& Result() const { return mOutcomes; }

private:
  const FleetState& mState;
  Workload& mWorkload;
  Outcomes mOutcomes;
};

} // namespace limpetwood::fleet::experiment
