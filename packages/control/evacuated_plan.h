// The guarantees while zones are evacuated.
//
// The plan of a configuration pins each guaranteed shape to a zone. While a
// zone is evacuated, its shapes are provided by other zones, as far as these
// have enough workers.

#pragma once

#include "model/validate.h"

#include <set>

namespace limpetwood::control {

struct EvacuatedPlan
{
  // Pins the shapes of evacuated zones to other zones. The plan of the
  // configuration if no zone is evacuated or `missing` is not empty.
  model::GuaranteePlan plan;
  // The guarantees that the remaining zones cannot satisfy.
  model::Faults missing;
};

// Deterministic, so that the control leader and all zone authorities compute
// the same plan. Shapes keep their zones where that is possible.
EvacuatedPlan
PlanWithout(const std::set<ZoneId>& aEvacuated,
            const model::PlannedDocument& aPlanned);

} // namespace limpetwood::control
