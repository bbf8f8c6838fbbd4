#include "control/evacuated_plan.h"

#include "model/plan.h"

namespace limpetwood::control {

EvacuatedPlan
PlanWithout(const std::set<ZoneId>& aEvacuated,
            const model::PlannedDocument& aPlanned)
{
  EvacuatedPlan result;
  result.plan = aPlanned.plan;
  if (aEvacuated.empty()) {
    return result;
  }
  // The zones stay in the document, because guarantees may name them.
  model::Document remaining = aPlanned.document;
  std::erase_if(remaining.racks, [&](const model::Rack& it) {
    return aEvacuated.contains(it.zone);
  });
  model::PlanOutcome outcome = model::PlanGuarantees(remaining, &aPlanned.plan);
  if (outcome.faults.empty()) {
    result.plan = std::move(outcome.plan);
  } else {
    result.missing = std::move(outcome.faults);
  }
  return result;
}

} // namespace limpetwood::control
