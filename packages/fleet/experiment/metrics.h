// What an emulated run earned, and what it cost.

#pragma once

#include "base/log_event.h"
#include "fleet/experiment/workload.h"
#include "fleet/state.h"

#include <map>
#include <set>
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
  // Times from submission to the end of completed jobs.
  std::vector<Millis> latencies;
};

// The jobs of one priority. Jobs whose tasks crash workers are not included.
struct PriorityOutcome
{
  // Jobs that were submitted, whether they were accepted or not.
  size_t jobs = 0;
  // Refused submissions, and jobs whose callers gave up after the last one.
  size_t refusals = 0;
  size_t givenUp = 0;
  // Jobs that are not rated: cancelled by their callers, or unfinished at the
  // end of the run but not late enough to be without value.
  size_t cancelled = 0;
  size_t open = 0;
  // Rated jobs: 1 is earned in time, less if late, and nothing for a result
  // beyond three times the objective, a failed job, or a caller that gave up.
  size_t rated = 0;
  size_t inTime = 0;
  double value = 0;
  // The rated jobs of workspaces that do not flood the fleet.
  size_t othersRated = 0;
  double othersValue = 0;
  // Stopped runs.
  size_t tooSlow = 0;
  size_t stalled = 0;
  size_t preempted = 0;
  // Tasks that were stopped more than once for being too slow, and the highest
  // number of such stops of one task. A gang counts as one task: each stop of a
  // member restarts all of them, and each attempt counts once.
  size_t repeatedlyTooSlow = 0;
  size_t mostTooSlow = 0;
  // Accelerator seconds in use, and of those the ones whose work was thrown
  // away. Work on jobs that their callers cancelled is not thrown away.
  double usedAcceleratorSeconds = 0;
  double lostAcceleratorSeconds = 0;
  // Attempts of gangs that ended before they were done, after a member had
  // started, for whatever reason except a cancellation by the caller.
  size_t brokenGangs = 0;

  double InTimeShare() const;
  double MeanValue() const;
  double OthersMeanValue() const;
  void Add(const PriorityOutcome& aOther);
};

// Where all jobs and runs went.
struct Counts
{
  size_t submitted = 0;
  size_t accepted = 0;
  size_t givenUp = 0;
  // Refused callers that have not returned yet.
  size_t returning = 0;
  size_t completed = 0;
  size_t failed = 0;
  size_t cancelled = 0;
  size_t live = 0;
  // Runs on the workers.
  size_t runsStarted = 0;
  size_t runsEnded = 0;
  size_t runsActive = 0;
};

struct Outcomes
{
  std::map<std::string, ClassOutcome> classes;
  std::map<int32_t, PriorityOutcome> priorities;
  Counts counts;
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

// Collects the outcomes. Jobs whose tasks crash workers are only part of
// `Counts`.
class Metrics
{
public:
  // Both arguments must outlive the metrics.
  Metrics(const FleetState& aState, Workload& aWorkload)
    : mState(aState)
    , mWorkload(aWorkload)
  {
  }

  void OnSubmitted(const JobId& aJob);
  void OnRefused(const JobId& aJob, bool aGivesUp);
  void OnRunStarted(const JobId& aJob, Millis aNow);
  // A run ended on its worker; its work is lost if `aWasted`.
  void OnRunEnded(const TaskRef& aTask, Millis aDuration, bool aWasted);
  // A change of the replicated state.
  void OnChange(const Change& aChange, Millis aNow);
  // A decision of the dispatcher.
  void OnEvent(const LogEvent& aEvent);
  // Accounts for what has not ended by the end of the run.
  void Finish(Millis aNow);

  // Counters that the emulated workers increment.
  Outcomes& Counters() { return mOutcomes; }
  const Outcomes& Result() const { return mOutcomes; }

private:
  PriorityOutcome& PriorityOf(const JobInfo& aJob)
  {
    return mOutcomes.priorities[aJob.jobClass->priority];
  }
  bool IsCancelled(const JobId& aJob) const;
  // Adds a job to the rated ones.
  void Rate(const JobInfo& aJob, double aValue, bool aInTime);
  void AccountEndedJob(const JobId& aJob, Millis aNow);
  void OnRunEndCommitted(const Change& aChange);

  const FleetState& mState;
  Workload& mWorkload;
  Outcomes mOutcomes;
  std::set<RunRef> mBrokenGangs;
  // The attempts of each task that were stopped for being too slow, by the task
  // part of `RunName`; for gangs without the index of the member.
  std::map<std::string, std::set<std::string>> mTooSlowAttempts;
};

} // namespace limpetwood::fleet::experiment
