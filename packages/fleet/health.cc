#include "fleet/health.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A failure may be the job's own; a stall among peers that move is not.
constexpr int kFailurePoints = 1;
constexpr int kSlowPoints = 2;
constexpr int kStallPoints = 3;
constexpr int kMostPoints = 6;

} // namespace

void
Health::OnDone(const WorkerId& aWorker)
{
  mWorkers.erase(aWorker);
}

void
Health::OnFailed(const WorkerId& aWorker, const JobId& aJob, Millis aNow)
{
  auto it = mWorkers.find(aWorker);
  if (it != mWorkers.end() && it->second.lastJob == aJob) {
    return;
  }
  Add(aWorker, kFailurePoints, aNow);
  mWorkers[aWorker].lastJob = aJob;
}

void
Health::OnSlow(const WorkerId& aWorker, Millis aNow)
{
  Add(aWorker, kSlowPoints, aNow);
}

void
Health::OnSteady(const WorkerId& aWorker)
{
  auto it = mWorkers.find(aWorker);
  // Says nothing about runs that failed there.
  if (it != mWorkers.end() && it->second.lastJob.empty()) {
    mWorkers.erase(it);
  }
}

void
Health::OnStalled(const WorkerId& aWorker, Millis aNow)
{
  Add(aWorker, kStallPoints, aNow);
}

void
Health::Add(const WorkerId& aWorker, int aPoints, Millis aNow)
{
  Record& record = mWorkers[aWorker];
  if (aNow - record.lastAt > mOptions.memory) {
    record.points = 0;
  }
  record.points = std::min(record.points + aPoints, kMostPoints);
  record.lastAt = aNow;
}

int
Health::SuspicionOf(const WorkerId& aWorker, Millis aNow) const
{
  auto it = mWorkers.find(aWorker);
  if (it == mWorkers.end() || aNow - it->second.lastAt > mOptions.memory) {
    return 0;
  }
  return it->second.points;
}

bool
Health::IsExcluded(const WorkerId& aWorker, Millis aNow) const
{
  return SuspicionOf(aWorker, aNow) >= mOptions.excludeAt;
}

} // namespace limpetwood::fleet
