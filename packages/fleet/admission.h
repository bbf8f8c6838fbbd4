// Decides whether a job is accepted.
//
// If the backlog is so long that the result of a new job would have no value by
// the time it is ready, the job is refused at once, with the time after which a
// new submission could complete in time. Urgent jobs are never refused, because
// they do not wait behind the others. Jobs with scheduled occurrences are not
// refused either, nor is any job while there are no usable accelerators,
// because the wait cannot be estimated.

#pragma once

#include "fleet/forecast.h"
#include "fleet/state.h"

namespace limpetwood::fleet {

struct AdmissionInput
{
  const FleetState* state = nullptr;
  const Forecast* forecast = nullptr;
  // Capacity of all usable workers together.
  Resources usable{};
};

struct AdmissionVerdict
{
  bool accepted = true;
  // Delay before the next submission, if the job was not accepted.
  Millis retryAfter{};
  // The values behind a refusal: the expected time until the result, and the
  // time after which the result has no value.
  Millis expectedLatency{};
  Millis maxUsefulLatency{};
};

// Precondition: `aJob` is not part of the state.
AdmissionVerdict
Admit(const Job& aJob, const AdmissionInput& aInput);

// Expected run time times accelerators that the unfinished jobs whose priority
// number is at most `aPriority` still occupy. A task occupies the share of its
// scarcest resource: one that needs half of a worker's memory keeps half of its
// accelerators from tasks of its kind, however few it uses. Long-running steps
// and jobs with scheduled occurrences are not counted.
Millis
BacklogOf(int32_t aPriority, const AdmissionInput& aInput);

} // namespace limpetwood::fleet
