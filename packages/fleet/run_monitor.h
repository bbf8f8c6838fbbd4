// Determines which runs the leader must stop, and estimates their progress.
//
// Detects workers that stall or are slow without failing: members of a gang are
// compared with each other, single runs with the learned run time of their
// queue, and a run without progress is considered stalled.

#pragma once

#include "fleet/forecast.h"
#include "fleet/planner.h"
#include "fleet/state.h"
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
             Millis aMaxStopTime)
    : mState(aState)
    , mLinks(aLinks)
    , mForecast(aForecast)
    , mMaxStopTime(aMaxStopTime)
  {
  }

  // Whether the leader requested the stop of the run, its job failed, was
  // cancelled or is no longer stored, or its gang lost a member before it was
  // done. Runs of completed jobs end on their own.
  bool MustStop(const RunRef& aRun, const RunView& aView) const;

  // Whether reports of the worker show that the run made no progress for the
  // stall time. Silence of the worker is no evidence: its runs may go on.
  bool HasStalled(const RunRef& aRun,
                  const RunView& aView,
                  const WorkerLink& aLink) const;

  // Time by which the next report of the run is needed: at once for a run that
  // has reached the stall time without progress.
  Millis MaxReportDelay(const RunView& aView) const;

  // Whether the run is suspected of crashing its worker and has not been active
  // for long enough to be cleared.
  bool IsOnTrial(const RunRef& aRun, const RunView& aView) const;

  // Compares the run with its peers, or with the learned time of its queue.
  Pace PaceOf(const RunRef& aRun, const RunView& aView) const;

  // Cost of stopping the run now.
  RunCost CostOf(const WorkerId& aWorker,
                 const RunRef& aRun,
                 Millis aNow) const;

  // Expected remaining time; `Millis::Max()` if unknown.
  Millis RemainingTimeOf(const WorkerId& aWorker,
                         const RunRef& aRun,
                         Millis aNow) const;

private:
  // Returns null if this leader does not track the run on the worker.
  const RunView* FindView(const WorkerId& aWorker, const RunRef& aRun) const;
  // Progress of the other active members of a gang.
  std::vector<const Progress*> PeersOf(const RunRef& aRun,
                                       const StepSpec& aSpec) const;

  const FleetState& mState;
  const WorkerLinks& mLinks;
  const Forecast& mForecast;
  const Millis mMaxStopTime;
};

} // namespace limpetwood::fleet
