#include "fleet/caller_cost.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::fleet {

namespace {

// Weight of one accelerator in cores, as the platform prices them.
constexpr double kCoresPerAccelerator = 8;
// Share of a result's value that does not depend on its size.
constexpr double kFixedShare = 0.3;
// Share of its value that a late result loses.
constexpr double kLateLoss = 0.75;
// A result has no value when its latency exceeds the objective by this factor.
constexpr int64_t kMaxLatenessFactor = 3;
// Time for stopping a run and starting it elsewhere.
constexpr Millis kRestartDelay(500);

double
SecondsOf(Millis aTime)
{
  return static_cast<double>(aTime.Count()) / 1000;
}

Millis
DueTime(const Job& aJob, uint32_t aOccurrence)
{
  return aJob.spec.occurrences == 0
           ? aJob.acceptedAt
           : aJob.spec.firstRunAt + aJob.spec.interval * aOccurrence;
}

} // namespace

double
ResourceWeight(const Resources& aResources)
{
  return static_cast<double>(aResources.accelerators) * kCoresPerAccelerator +
         static_cast<double>(aResources.cpu) / 1000;
}

Millis
CriticalPathTime(const Job& aJob, const Forecast& aForecast)
{
  const std::vector<StepSpec>& steps = aJob.spec.steps;
  std::vector<Millis> ends(steps.size());
  Millis longest;
  for (size_t n = 0; n < steps.size(); ++n) {
    Millis start;
    for (uint32_t it : steps[n].dependencies) {
      start = std::max(start, ends[it]);
    }
    ends[n] = start + aForecast.ExpectedTime(aJob.queue, steps[n].estimate);
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

CallerCost::CallerCost(const FleetState& aState,
                       const Forecast& aForecast,
                       Millis aWallNow)
  : mForecast(aForecast)
  , mWallNow(aWallNow)
{
  std::map<QueueId, size_t> jobs;
  // Rates of work and value. A job counts by the inverse of its run time, since
  // long jobs are over-represented among the live ones.
  double work = 0;
  for (const JobId& it : aState.LiveJobs()) {
    const Job& job = *aState.FindJob(it);
    double jobWork = WorkOf(job);
    mMeanWork[job.queue] += jobWork;
    ++jobs[job.queue];
    work += jobWork / RunSecondsOf(job);
  }
  for (auto& [queue, sum] : mMeanWork) {
    sum /= static_cast<double>(jobs[queue]);
  }
  double value = 0;
  for (const JobId& it : aState.LiveJobs()) {
    const Job& job = *aState.FindJob(it);
    value += ValueOf(job) / RunSecondsOf(job);
  }
  mWorkPerValue = value > 0 ? work / value : 0;
}

double
CallerCost::RunSecondsOf(const Job& aJob) const
{
  constexpr Millis kMinRunTime(100);
  return SecondsOf(std::max(CriticalPathTime(aJob, mForecast), kMinRunTime));
}

double
CallerCost::WorkOf(const Job& aJob) const
{
  double out = 0;
  for (const StepSpec& it : aJob.spec.steps) {
    Millis time = mForecast.ExpectedTime(aJob.queue, it.estimate);
    out += ResourceWeight(it.resources) * it.tasks * SecondsOf(time);
  }
  return out;
}

double
CallerCost::ValueOf(const Job& aJob) const
{
  auto mean = mMeanWork.find(aJob.queue);
  double relativeWork = mean == mMeanWork.end() || mean->second <= 0
                          ? 1
                          : WorkOf(aJob) / mean->second;
  return std::exp2(-std::max(aJob.priority, 0)) *
         (kFixedShare + (1 - kFixedShare) * relativeWork);
}

double
CallerCost::GainInTime(const Job& aJob) const
{
  return ValueOf(aJob) * kLateLoss * mWorkPerValue;
}

Millis
CallerCost::InTimeUntil(const Job& aJob,
                        uint32_t aOccurrence,
                        Millis aTotal) const
{
  Millis path = std::max(CriticalPathTime(aJob, mForecast), aTotal);
  return DueTime(aJob, aOccurrence) + aJob.targetLatency +
         Millis(static_cast<int64_t>(static_cast<double>(path.Count()) *
                                     aJob.stretch));
}

bool
CallerCost::IsWorthless(const Job& aJob,
                        uint32_t aOccurrence,
                        Millis aRemaining,
                        Millis aTotal) const
{
  Millis due = DueTime(aJob, aOccurrence);
  Millis objective = InTimeUntil(aJob, aOccurrence, aTotal) - due;
  return mWallNow + aRemaining > due + objective * kMaxLatenessFactor;
}

double
CallerCost::LossByRestart(const Job& aJob,
                          uint32_t aOccurrence,
                          Millis aRemaining,
                          Millis aTotal) const
{
  Millis until = InTimeUntil(aJob, aOccurrence, aTotal);
  bool inTime = mWallNow + aRemaining <= until;
  bool inTimeAfter = mWallNow + kRestartDelay + aTotal <= until;
  return inTime && !inTimeAfter ? GainInTime(aJob) : 0;
}

} // namespace limpetwood::fleet
