#include "fleet/worker_pool.h"

#include <algorithm>
#include <iterator>

namespace limpetwood::fleet {

namespace {

// Time for which a worker is new.
constexpr Millis kNewWorkerTime = Seconds(10);
// Workers are excluded for their fault score only while their number is at most
// the number of the others divided by this.
constexpr size_t kMaxExcludedDivisor = 2;

} // namespace

bool
WorkerPool::IsUsable(const WorkerId& aWorker, Millis aNow) const
{
  auto it = mLinks.find(aWorker);
  if (it == mLinks.end()) {
    return false;
  }
  const WorkerLink& link = it->second;
  const Worker* worker = mState.FindWorker(aWorker);
  return worker != nullptr && !mState.IsEvacuated(worker->report.zone) &&
         link.tokenAcknowledged && link.MayHoldLease() && !link.draining &&
         !link.gone && aNow >= link.unhealthyUntil &&
         aNow - link.lastHeard < mHeartbeatInterval * kMaxMissedReports &&
         aNow - link.reportedAt < mHeartbeatInterval * kMaxMissedReports &&
         link.ClockLowerBound(aNow).has_value();
}

Resources
WorkerPool::UsableResources(Millis aNow) const
{
  Resources out;
  for (const auto& [id, worker] : mState.Workers()) {
    if (IsUsable(id, aNow)) {
      out += worker.report.capacity;
    }
  }
  return out;
}

bool
WorkerPool::HasRunOnTrial(const Worker& aWorker) const
{
  auto link = mLinks.find(aWorker.report.id);
  return link != mLinks.end() &&
         std::any_of(
           aWorker.active.begin(), aWorker.active.end(), [&](const RunRef& it) {
             auto run = link->second.runs.find(it);
             return run != link->second.runs.end() &&
                    mMonitor.IsOnTrial(it, run->second);
           });
}

std::vector<Candidate>
WorkerPool::Candidates(Millis aNow) const
{
  std::vector<Candidate> out;
  std::vector<Candidate> excluded;
  for (const auto& [id, worker] : mState.Workers()) {
    bool usable = IsUsable(id, aNow) && !worker.report.draining &&
                  !mProposals.HasProposedRemoval(id) && !HasRunOnTrial(worker);
    if (!usable) {
      continue;
    }
    auto& into = mHealth.IsExcluded(id, aNow) ? excluded : out;
    into.push_back(
      { .id = id,
        .service = worker.report.service,
        .report = &worker.report,
        .available =
          Min(worker.report.capacity, mLinks.at(id).capacity) - worker.used,
        .idle = worker.active.empty(),
        .isNew = aNow - mLinks.at(id).CreatedAt() < kNewWorkerTime,
        .isCold = aNow < mLinks.at(id).coldUntil,
        .speed = mSpeeds.ClassOf(id),
        .faultScore = mHealth.FaultScoreOf(id, aNow) });
  }
  // If a large part of the workers looks faulty, the jobs are the likelier
  // cause.
  if (excluded.size() > out.size() / kMaxExcludedDivisor) {
    std::move(excluded.begin(), excluded.end(), std::back_inserter(out));
  }
  NumberRacks(out);
  return out;
}

} // namespace limpetwood::fleet
