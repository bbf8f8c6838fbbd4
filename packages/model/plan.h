// Assigns each guaranteed shape to a zone such that all shapes can be provided
// at the same time.

#pragma once

#include "model/document.h"
#include "model/fault.h"

namespace limpetwood::model {

// `plan` is complete only if `faults` is empty. A fault names either the
// accelerators that are missing in total or in a zone, or a guarantee and the
// number of its shapes that could not be placed.
struct PlanOutcome
{
  GuaranteePlan plan;
  Faults faults;
};

// Assigns every guaranteed shape to a zone, in document order. Precondition:
// the document passed all other checks.
//
// A complete plan is always feasible: it is derived from a packing of all
// shapes into the declared workers (see `model/internal/packing.h` for the
// packing rule). Shapes keep the zones of `aPrevious` where the document still
// allows it. Other shapes are spread over the zones, so that the loss of one
// zone affects as few shapes of a workspace as possible.
//
// Deterministic for equal arguments. The result is exact for small documents:
// if no greedy strategy succeeds, all packings are searched. Larger documents
// may be rejected although a packing exists; see `docs/configuration.md`.
PlanOutcome
PlanGuarantees(const Document& aDocument,
               const GuaranteePlan* aPrevious = nullptr);

} // namespace limpetwood::model
