// Chooses the runs to stop so that an urgent step fits.
//
// Answers the load in which a workspace wants its guaranteed accelerators back
// while others use them: of all racks (or of all workers, where the rack does
// not matter) the one is taken where the least work is lost.

#pragma once

#include "fleet/planner.h"

#include <limits>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

struct ReclaimRequest
{
  const StepSpec* step = nullptr;
  const ServiceId* service = nullptr;
  uint32_t tasks = 0;
  // Only runs of jobs with a higher number are stopped.
  int32_t priority = 0;
  // No choice that loses more is made, in the unit of `ReclaimChoice::cost`.
  double mostCost = std::numeric_limits<double>::infinity();
};

struct ReclaimChoice
{
  std::vector<std::pair<WorkerId, RunRef>> victims{};
  // The workers on which the step will fit.
  std::vector<WorkerId> workers{};
  // Weighted work that is lost, see `WeightOf`.
  double cost = 0;
};

// Weight of a second of work on these resources, in cores.
double
WeightOf(const Resources& aNeed);

// Empty if stopping all less urgent runs would not be enough.
std::optional<ReclaimChoice>
ChooseVictims(const ReclaimRequest& aRequest, const FleetView& aView);

} // namespace limpetwood::fleet
