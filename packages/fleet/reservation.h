// Selects the workers to reserve for a step that does not fit at present.
//
// Until a step is expected to start, other tasks that end before may use the
// workers. Without reservations, small tasks take all capacity as it becomes
// free, and a gang never finds enough workers free at the same time. The choice
// is the set of workers on which the step fits earliest, by the expected ends
// of their runs.

#pragma once

#include "fleet/planner.h"

#include <optional>
#include <vector>

namespace limpetwood::fleet {

struct ReservationChoice
{
  std::vector<WorkerId> workers;
  // Expected time until all of them have enough free resources.
  Millis wait;
  // Weight of the resources of these workers.
  double weight = 0;
};

// Returns nothing if the step does not fit on the candidates even when all runs
// that will end have ended.
std::optional<ReservationChoice>
ChooseReservation(const PlacementRequest& aRequest, const FleetView& aView);

// Expected time until one rack has room for all tasks of the request, if
// nothing else starts there; nothing if no rack is expected to have it, however
// many of its runs end. `aHeld` are workers that are not candidates only
// because the pass keeps them for other units.
std::optional<Millis>
ExpectedRackWait(PlacementRequest aRequest,
                 const FleetView& aView,
                 const std::vector<HeldWorker>& aHeld);

} // namespace limpetwood::fleet
