// Selects the workers that can take new tasks and describes them to the
// planner.
//
// Workers that are silent, draining, unhealthy, in an evacuated zone or have a
// high fault score are excluded. If more than half as many workers are excluded
// for their fault score as remain, the jobs are the likelier cause, and those
// workers are kept.

#pragma once

#include "fleet/health.h"
#include "fleet/placement.h"
#include "fleet/proposals.h"
#include "fleet/run_monitor.h"
#include "fleet/state.h"
#include "fleet/worker_link.h"
#include "fleet/worker_speeds.h"

#include <string_view>
#include <vector>

namespace limpetwood::fleet {

// A worker that was silent for this many report intervals takes no tasks; nor
// does one whose reports were, because its capacity may have shrunk.
inline constexpr int64_t kMaxMissedReports = 3;

class WorkerPool
{
public:
  // `aHeartbeatInterval` is the interval at which workers report.
  WorkerPool(const FleetState& aState,
             const WorkerLinks& aLinks,
             const Health& aHealth,
             const Proposals& aProposals,
             const RunMonitor& aMonitor,
             const WorkerSpeeds& aSpeeds,
             Millis aHeartbeatInterval)
    : mState(aState)
    , mLinks(aLinks)
    , mHealth(aHealth)
    , mProposals(aProposals)
    , mMonitor(aMonitor)
    , mSpeeds(aSpeeds)
    , mHeartbeatInterval(aHeartbeatInterval)
  {
  }

  // Whether the worker is healthy and not draining, may hold a lease, is in a
  // zone that is not evacuated, and has seen the fencing token of this term.
  // Does not consider its fault score.
  bool IsUsable(const WorkerId& aWorker, Millis aNow) const
  {
    return ReasonNotUsable(aWorker, aNow).empty();
  }

  // Why `Candidates` leaves the worker out, as a word for the log; empty if it
  // does not.
  std::string_view ReasonNotCandidate(const WorkerId& aWorker,
                                      Millis aNow) const;

  // Number of accelerators of all usable workers.
  Resources UsableResources(Millis aNow) const;

  // The usable workers with their available resources, without those that are
  // excluded for their fault score, about to be removed, or run a task on
  // trial.
  std::vector<Candidate> Candidates(Millis aNow) const;

private:
  // Why the worker is not usable; empty if it is.
  std::string_view ReasonNotUsable(const WorkerId& aWorker, Millis aNow) const;
  // The same for a worker that takes no new tasks, whatever its fault score is.
  std::string_view ReasonTakesNoTasks(const WorkerId& aWorker,
                                      Millis aNow) const;
  bool HasRunOnTrial(const Worker& aWorker) const;

  const FleetState& mState;
  const WorkerLinks& mLinks;
  const Health& mHealth;
  const Proposals& mProposals;
  const RunMonitor& mMonitor;
  const WorkerSpeeds& mSpeeds;
  const Millis mHeartbeatInterval;
};

} // namespace limpetwood::fleet
