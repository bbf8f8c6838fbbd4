#include "fleet/health.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// Scores of faults by the strength of the evidence against the worker: a
// failure may be caused by the job; a slow or stalled run usually is not.
constexpr int kFailureScore = 1;
constexpr int kSlowScore = 2;
constexpr int kStallScore = 3;
// Upper bound of the fault score of a worker.
constexpr int kMaxScore = 6;

} // namespace

void
Health::OnDone(const WorkerId& aWorker)
{
  mWorkers.erase(aWorker);
}

void
Health::OnRunFailed(const WorkerId& aWorker, const JobId& aJob, Millis aNow)
{
  auto it = mWorkers.find(aWorker);
  if (it != mWorkers.end() && it->second.lastFailedJob == aJob) {
    return;
  }
  Add(aWorker, kFailureScore, aNow);
  mWorkers[aWorker].lastFailedJob = aJob;
}

void
Health::OnSlow(const WorkerId& aWorker, Millis aNow)
{
  Add(aWorker, kSlowScore, aNow);
}

void
Health::OnNormalPace(const WorkerId& aWorker)
{
  auto it = mWorkers.find(aWorker);
  // A normal pace does not disprove failures.
  if (it != mWorkers.end() && it->second.lastFailedJob.empty()) {
    mWorkers.erase(it);
  }
}

void
Health::OnStalled(const WorkerId& aWorker, Millis aNow)
{
  Add(aWorker, kStallScore, aNow);
}

void
Health::Add(const WorkerId& aWorker, int aScore, Millis aNow)
{
  Record& record = mWorkers[aWorker];
  if (aNow - record.lastFaultAt > mOptions.scoreLifetime) {
    record.score = 0;
  }
  record.score = std::min(record.score + aScore, kMaxScore);
  record.lastFaultAt = aNow;
}

int
Health::FaultScoreOf(const WorkerId& aWorker, Millis aNow) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end() ||
      aNow - it->second.lastFaultAt > mOptions.scoreLifetime) {
    return 0;
  }
  return it->second.score;
}

bool
Health::IsExcluded(const WorkerId& aWorker, Millis aNow) const
{
  return FaultScoreOf(aWorker, aNow) >= mOptions.excludeScore;
}

} // namespace limpetwood::fleet
