// Selects the runs to preempt so that an urgent step fits.
//
// Used when a workspace needs its guaranteed accelerators while other jobs
// occupy them. Among all racks (or all workers, if the rack does not matter),
// the choice is the one that loses the least work.

#pragma once

#include "fleet/planner.h"

#include <limits>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

struct ReclaimRequest
{
  PlacementRequest placement{};
  // Only runs of jobs with a higher priority number are stopped.
  int32_t priority = 0;
  // Maximum cost of a choice, in the unit of `ReclaimChoice::cost`.
  double maxCost = std::numeric_limits<double>::infinity();
};

struct ReclaimChoice
{
  std::vector<std::pair<WorkerId, RunRef>> victims{};
  // Number of runs that are being stopped already and free room as well.
  size_t runsStopping = 0;
  // The workers on which the step fits after the stops.
  std::vector<WorkerId> workers{};
  // Work that is lost: the sum of run time in seconds times `ResourceWeight`.
  // Work of tasks that were restarted before counts more.
  double cost = 0;
};

// Returns nothing if stopping all less urgent runs does not suffice or costs
// more than `maxCost`. For single tasks that may use any rack, room for some of
// them suffices if there can be none for all.
std::optional<ReclaimChoice>
ChooseVictims(const ReclaimRequest& aRequest, const FleetView& aView);

} // namespace limpetwood::fleet
