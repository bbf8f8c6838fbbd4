// Which runs the leader must stop, and what it knows of their progress.
//
// Answers workers that stand still or crawl without failing: members of a gang
// are compared with each other, single runs with what their queue usually
// takes, and a run whose progress stops counts as stalled.

#pragma once

#include "fleet/forecast.h"
#include "fleet/planner.h"
#include "fleet/state.h"
#include "fleet/worker_link.h"

#include <vector>

namespace limpetwood::fleet {

class RunWatch
{
public:
  // `aStopTime` bounds how long a stop may take.
  RunWatch(const FleetState& aState,
           const WorkerLinks& aLinks,
           const Forecast& aForecast,
           Millis aStopTime)
    : mState(aState)
    , mLinks(aLinks)
    , mForecast(aForecast)
    , mStopTime(aStopTime)
  {
  }

  // Its job has ended, its gang lost a member, or the leader gave it up.
  bool MustStop(const RunRef& aRun, const RunView& aView) const;

  // `aFreshFor`: a worker that was heard within this time would have reported
  // progress.
  bool HasStalled(const RunRef& aRun,
                  const RunView& aView,
                  const WorkerLink& aLink,
                  Millis aFreshFor,
                  Millis aNow) const;

  // How a run compares with its peers and with others of its queue.
  Pace PaceOf(const RunRef& aRun, const RunView& aView) const;

  // What a stop would lose.
  RunCost CostOf(const WorkerId& aWorker,
                 const RunRef& aRun,
                 Millis aNow) const;

  // Expected time to the end; `Millis::Max()` while nothing is known.
  Millis RestOf(const WorkerId& aWorker, const RunRef& aRun, Millis aNow) const;

private:
  // Null if the leader never saw the run on the worker.
  const RunView* FindView(const WorkerId& aWorker, const RunRef& aRun) const;
  // Progress of the other members of a gang.
  std::vector<const Progress*> PeersOf(const RunRef& aRun,
                                       const StepSpec& aSpec) const;

  const FleetState& mState;
  const WorkerLinks& mLinks;
  const Forecast& mForecast;
  const Millis mStopTime;
};

} // namespace limpetwood::fleet
