// Determines which runs the leader must stop, and estimates their progress.
//
// Detects workers that stall or are slow without failing: members of a gang are
// compared with each other, single runs with the learned run time of their
// queue, and a run without progress is considered stalled. With
// `judgeByStep`, single runs are compared with the other runs of their step,
// and a task moves for its pace at most once.

#pragma once

#include "fleet/forecast.h"
#include "fleet/planner.h"
#include "fleet/state.h"
#include "fleet/step_rates.h"
#include "fleet/worker_link.h"

#include <vector>

namespace limpetwood::fleet {

class RunMonitor
{
public:
  // `aMaxStopTime` bounds how long a stop may take.
  RunMonitor(const FleetState& aState,
             const WorkerLinks& aLinks,
             const Forecast& aForecast,
             const WorkerSpeeds& aSpeeds,
             Millis aMaxStopTime,
             bool aJudgeByStep = false)
    : mState(aState)
    , mLinks(aLinks)
    , mForecast(aForecast)
    , mSpeeds(aSpeeds)
    , mMaxStopTime(aMaxStopTime)
    , mJudgeByStep(aJudgeByStep)
  {
  }

  // Whether the leader requested the stop of the run, its job failed, was
  // cancelled or is no longer stored, or its gang lost a member before it was
  // done. Runs of completed jobs end on their own.
  bool MustStop(const RunRef& aRun, const RunView& aView) const;

  // Whether reports of the worker show that the run made no progress for its
  // stall time: several times the time that one percent takes it. Silence of
  // the worker is no evidence: its runs may go on.
  bool HasStalled(const RunRef& aRun,
                  const RunView& aView,
                  const WorkerLink& aLink) const;

  // Time by which the next report of the run is needed: at once for a run that
  // has reached the stall time without progress.
  Millis MaxReportDelay(const RunRef& aRun, const RunView& aView) const;

  // Whether the run is suspected of crashing its worker and has not been active
  // for long enough to be cleared.
  bool IsOnTrial(const RunRef& aRun, const RunView& aView) const;

  // Compares the run with its peers, or with the learned time of its queue.
  Pace PaceOf(const WorkerId& aWorker,
              const RunRef& aRun,
              const RunView& aView) const;

  // Records the rate of the run once it is known. Returns the rate divided by
  // the one that the step's other runs let expect, once for each worker of a
  // step; empty if there are too few.
  std::optional<double> RecordRate(const WorkerId& aWorker,
                                   const RunRef& aRun,
                                   RunView& aView);
  void OnJobEnded(const JobId& aJob) { mStepRates.Forget(aJob); }

  // Cost of stopping the run now.
  RunCost CostOf(const WorkerId& aWorker,
                 const RunRef& aRun,
                 Millis aNow) const;

  // Expected remaining time; `Millis::Max()` if unknown.
  Millis RemainingTimeOf(const WorkerId& aWorker,
                         const RunRef& aRun,
                         Millis aNow) const;

private:
  // Time without progress after which the run is considered stalled.
  Millis StallTimeOf(const RunRef& aRun, const RunView& aView) const;
  // Returns null if this leader does not track the run on the worker.
  const RunView* FindView(const WorkerId& aWorker, const RunRef& aRun) const;
  // Whether the task, or for a gang one of its step's, was moved for its pace.
  bool WasMoved(const RunRef& aRun) const;
  // Progress of the other active members of a gang.
  std::vector<const Progress*> PeersOf(const RunRef& aRun,
                                       const StepSpec& aSpec) const;

  const FleetState& mState;
  const WorkerLinks& mLinks;
  const Forecast& mForecast;
  const WorkerSpeeds& mSpeeds;
  const Millis mMaxStopTime;
  const bool mJudgeByStep;
  StepRates mStepRates;
};

} // namespace limpetwood::fleet
