// Chooses the workers on which a step that has no room will fit first.
//
// Answers the load in which small tasks take every piece of room that comes
// free, so that a gang never finds its workers free at the same time: room is
// kept for the gang where the runs that are in its way end soonest.

#pragma once

#include "fleet/planner.h"

#include <optional>
#include <vector>

namespace limpetwood::fleet {

struct ReservationChoice
{
  std::vector<WorkerId> workers;
  // Until all of them should have room.
  Millis wait;
};

// Empty if the step does not fit on the candidates even when they are idle.
std::optional<ReservationChoice>
ChooseReservation(const PlacementRequest& aRequest, const FleetView& aView);

} // namespace limpetwood::fleet
