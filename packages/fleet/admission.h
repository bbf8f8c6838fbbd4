// Decides whether a job is accepted.
//
// Answers a backlog so long that a new job's result would come when it is worth
// nothing any more: such a job is refused at once, with the time after which it
// would be in time to come back, instead of waiting in vain. Urgent jobs are
// never refused, because they do not wait behind the others.

#pragma once

#include "fleet/forecast.h"
#include "fleet/state.h"

namespace limpetwood::fleet {

struct AdmissionInput
{
  const FleetState* state = nullptr;
  const Forecast* forecast = nullptr;
  // Of the workers that take tasks.
  int64_t usableAccelerators = 0;
};

struct AdmissionVerdict
{
  bool accepted = true;
  // When to come back, if not.
  Millis retryAfter{};
  // What decided: the expected time to the result, and the time after which it
  // is worth nothing.
  Millis expected{};
  Millis worthlessAfter{};
};

// `aJob` is not part of the state yet.
AdmissionVerdict
Admit(const Job& aJob, const AdmissionInput& aInput);

// Accelerator time that jobs of at least this urgency still need.
Millis
BacklogOf(int32_t aPriority, const AdmissionInput& aInput);

} // namespace limpetwood::fleet
