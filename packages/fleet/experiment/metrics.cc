#include "fleet/experiment/metrics.h"

namespace limpetwood::fleet::experiment {

namespace {

// A result has no value when its latency exceeds the objective by this factor.
constexpr int64_t kMaxLatenessFactor = 3;

} // namespace

double
Outcomes::ValueRatio() const
{
  double earnedValue = 0;
  double maxValue = 0;
  for (const auto& [name, it] : classes) {
    earnedValue += it.earnedValue;
    maxValue += it.maxValue;
  }
  return maxValue > 0 ? earnedValue / maxValue : 0;
}

void
Metrics::OnAccepted(const JobId& aJob)
{
  const JobInfo& job = mWorkload.Find(aJob);
  if (job.deadly) {
    return;
  }
  ClassOutcome& outcome = mOutcomes.classes[job.jobClass->name];
  ++outcome.jobs;
  outcome.maxValue += job.jobClass->value * job.value;
}

void
Metrics::OnRunStarted(const JobId& aJob, Millis aNow)
{
  JobInfo& job = mWorkload.Find(aJob);
  if (!job.started && !job.deadly) {
    job.started = true;
    mOutcomes.classes[job.jobClass->name].startDelays.push_back(
      aNow - job.submittedAt);
  }
}

void
Metrics::OnRunEnded(const StepSpec& aStep, Millis aDuration, bool aWasted)
{
  double used = static_cast<double>(aDuration.Count()) / 1000 *
                static_cast<double>(aStep.resources.accelerators);
  mOutcomes.usedAcceleratorSeconds += used;
  mOutcomes.wastedAcceleratorSeconds += aWasted ? used : 0;
}

void
Metrics::AccountEndedJobs(Millis aNow)
{
  for (auto& [id, info] : mWorkload.Jobs()) {
    if (info.accounted) {
      continue;
    }
    const Job* job = mState.FindJob(id);
    if (job == nullptr || !job->Ended()) {
      continue;
    }
    info.accounted = true;
    if (info.deadly) {
      continue;
    }
    mOutcomes.soundJobsFailed += job->status == JobStatus::kFailed ? 1 : 0;
    ClassOutcome& outcome = mOutcomes.classes[info.jobClass->name];
    Millis took = aNow - info.submittedAt;
    bool done = job->status == JobStatus::kCompleted;
    if (done && took <= info.objective) {
      ++outcome.inTime;
      outcome.earnedValue += info.jobClass->value * info.value;
    } else if (done && took <= info.objective * kMaxLatenessFactor) {
      ++outcome.late;
      outcome.earnedValue += info.jobClass->lateValue * info.value;
    } else {
      ++outcome.withoutValue;
    }
  }
}

void
Metrics::AccountLiveJobs()
{
  for (auto& [id, job] : mWorkload.Jobs()) {
    if (!job.accounted && !job.deadly) {
      ++mOutcomes.classes[job.jobClass->name].withoutValue;
    }
  }
}

} // namespace limpetwood::fleet::experiment
