// Which workers take new tasks, and what the planner may know of them.
//
// Answers workers that are silent, leave, are unhealthy or fail much: they are
// left out, but never so many that the jobs are more likely at fault.

#pragma once

#include "fleet/health.h"
#include "fleet/placement.h"
#include "fleet/proposals.h"
#include "fleet/state.h"
#include "fleet/worker_link.h"

#include <vector>

namespace limpetwood::fleet {

class WorkerPool
{
public:
  // `aHeartbeat` is the interval at which workers report.
  WorkerPool(const FleetState& aState,
             const WorkerLinks& aLinks,
             const Health& aHealth,
             const Proposals& aProposals,
             Millis aHeartbeat)
    : mState(aState)
    , mLinks(aLinks)
    , mHealth(aHealth)
    , mProposals(aProposals)
    , mHeartbeat(aHeartbeat)
  {
  }

  // Whether a worker takes new tasks.
  bool IsUsable(const WorkerId& aWorker, Millis aNow) const;

  // Accelerators of the workers that do.
  int64_t UsableAccelerators(Millis aNow) const;

  // Those workers with their room.
  std::vector<Candidate> Candidates(Millis aNow) const;

private:
  const FleetState& mState;
  const WorkerLinks& mLinks;
  const Health& mHealth;
  const Proposals& mProposals;
  const Millis mHeartbeat;
};

} // namespace limpetwood::fleet
