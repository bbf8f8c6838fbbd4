#include "fleet/admission.h"

#include "fleet/planner.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A result has no value when its latency exceeds the objective by this factor;
// the default of `PlannerOptions::maxLatenessFactor`.
constexpr int64_t kMaxLatenessFactor = 3;
// Bounds of the delay before a refused job may be submitted again.
constexpr Millis kMinRetryAfter = Seconds(1);
constexpr Millis kMaxRetryAfter = Seconds(60);
// Maximum jitter added to that delay, in percent, so that callers do not return
// at the same time.
constexpr int64_t kMaxJitterPercent = 25;

// Share of the usable capacity that one task occupies, by its scarcest
// resource, as a number of accelerators.
double
OccupiedAccelerators(const StepSpec& aStep, const Resources& aUsable)
{
  Resources task = aStep.CountedResources();
  auto inAccelerators = [&](int64_t aTask, int64_t aAll) {
    return aAll > 0 ? static_cast<double>(aTask) *
                        static_cast<double>(aUsable.accelerators) /
                        static_cast<double>(aAll)
                    : 0;
  };
  return std::max({ static_cast<double>(task.accelerators),
                    inAccelerators(task.cpu, aUsable.cpu),
                    inAccelerators(task.memoryMb, aUsable.memoryMb) });
}

// Accelerator time that one step of an occurrence still occupies.
Millis
RemainingAcceleratorTime(const Job& aJob,
                         uint32_t aOccurrence,
                         uint32_t aStep,
                         const AdmissionInput& aInput)
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
  Millis time = aInput.forecast->ExpectedTime(aJob.queue, spec.estimate);
  // Active tasks are half complete on average.
  double tasks = static_cast<double>(waiting * 2 + active) / 2;
  return Millis(
    static_cast<int64_t>(static_cast<double>(time.Count()) * tasks *
                         OccupiedAccelerators(spec, aInput.usable)));
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
      out += RemainingAcceleratorTime(job, 0, n, aInput);
    }
  }
  return out;
}

AdmissionVerdict
Admit(const Job& aJob, const AdmissionInput& aInput)
{
  bool exempt = aJob.priority == 0 || aJob.spec.occurrences > 0 ||
                aInput.usable.accelerators == 0;
  if (exempt) {
    return {};
  }
  Millis wait = BacklogOf(aJob.priority, aInput) / aInput.usable.accelerators;
  Millis criticalPath = CriticalPathTime(aJob, *aInput.forecast);
  auto allowed = static_cast<int64_t>(
    static_cast<double>(criticalPath.Count()) * aJob.stretch);
  Millis maxUsefulLatency =
    (aJob.targetLatency + Millis(allowed)) * kMaxLatenessFactor;
  if (wait + criticalPath <= maxUsefulLatency) {
    return {};
  }
  Millis retryDelay = std::clamp(
    wait + criticalPath - maxUsefulLatency, kMinRetryAfter, kMaxRetryAfter);
  // Derived from the job id, so it is the same on each submission of the job.
  auto jitterPercent =
    static_cast<int64_t>(std::hash<JobId>()(aJob.id) % (kMaxJitterPercent + 1));
  return { .accepted = false,
           .retryAfter = retryDelay + retryDelay * jitterPercent / 100,
           .expectedLatency = wait + criticalPath,
           .maxUsefulLatency = maxUsefulLatency };
}

} // namespace limpetwood::fleet
