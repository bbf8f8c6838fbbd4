#include "fleet/admission.h"

#include "fleet/planner.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A result this many times later than its objective is worth nothing.
constexpr int64_t kWorthlessAfter = 3;
// Bounds of the time after which a caller is asked to come back.
constexpr Millis kSoonest = Seconds(1);
constexpr Millis kLatest = Seconds(60);
// Callers are spread over this part of the time, so that they do not all come
// back together.
constexpr int64_t kSpreadPercent = 25;

// Accelerator time that one step of an occurrence still needs.
Millis
NeedOf(const Job& aJob,
       uint32_t aOccurrence,
       uint32_t aStep,
       const Forecast& aForecast)
{
  const StepSpec& spec = aJob.spec.steps[aStep];
  if (spec.longRunning || aJob.StepDone(aOccurrence, aStep)) {
    return {};
  }
  int64_t waiting = spec.tasks;
  int64_t active = 0;
  if (aOccurrence < aJob.occurrences.size()) {
    const Step& step = aJob.occurrences[aOccurrence].steps[aStep];
    active = step.active;
    waiting = static_cast<int64_t>(spec.tasks) - step.done - active;
  }
  Millis time = aForecast.Expect(aJob.queue, spec.estimate);
  // Active tasks are half through on average.
  return time * spec.resources.accelerators * (waiting * 2 + active) / 2;
}

} // namespace

Millis
BacklogOf(int32_t aPriority, const AdmissionInput& aInput)
{
  Millis out;
  for (const JobId& id : aInput.state->LiveJobs()) {
    const Job& job = *aInput.state->FindJob(id);
    // Later occurrences of repeated jobs are not due yet.
    if (job.Ended() || job.priority > aPriority || job.spec.occurrences > 0) {
      continue;
    }
    for (uint32_t n = 0; n < job.spec.steps.size(); ++n) {
      out += NeedOf(job, 0, n, *aInput.forecast);
    }
  }
  return out;
}

AdmissionVerdict
Admit(const Job& aJob, const AdmissionInput& aInput)
{
  bool always = aJob.priority == 0 || aJob.spec.occurrences > 0 ||
                aInput.usableAccelerators == 0;
  if (always) {
    return {};
  }
  Millis wait = BacklogOf(aJob.priority, aInput) / aInput.usableAccelerators;
  Millis chain = LongestChain(aJob, *aInput.forecast);
  auto allowed =
    static_cast<int64_t>(static_cast<double>(chain.Count()) * aJob.stretch);
  Millis worthless = (aJob.targetLatency + Millis(allowed)) * kWorthlessAfter;
  if (wait + chain <= worthless) {
    return {};
  }
  Millis excess = std::clamp(wait + chain - worthless, kSoonest, kLatest);
  auto turn =
    static_cast<int64_t>(std::hash<JobId>()(aJob.id) % (kSpreadPercent + 1));
  return { .accepted = false,
           .retryAfter = excess + excess * turn / 100,
           .expected = wait + chain,
           .worthlessAfter = worthless };
}

} // namespace limpetwood::fleet
