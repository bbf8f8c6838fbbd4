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

std::string_view
WorkerPool::ReasonNotUsable(const WorkerId& aWorker, Millis aNow) const
{
  auto it = mLinks.find(aWorker);
  const Worker* worker = mState.FindWorker(aWorker);
  if (it == mLinks.end() || worker == nullptr) {
    return "unknown";
  }
  const WorkerLink& link = it->second;
  if (mState.IsEvacuated(worker->report.zone)) {
    return "zone_evacuated";
  }
  if (link.gone) {
    return "gone";
  }
  if (link.draining) {
    return "draining";
  }
  if (!link.tokenAcknowledged || !link.ClockLowerBound(aNow)) {
    return "not_answered_yet";
  }
  if (!link.MayHoldLease()) {
    return "no_lease";
  }
  if (aNow < link.unhealthyUntil) {
    return "unhealthy";
  }
  Millis maxSilence = mHeartbeatInterval * kMaxMissedReports;
  bool silent =
    aNow - link.lastHeard >= maxSilence || aNow - link.reportedAt >= maxSilence;
  return silent ? "silent" : "";
}

std::string_view
WorkerPool::ReasonTakesNoTasks(const WorkerId& aWorker, Millis aNow) const
{
  std::string_view reason = ReasonNotUsable(aWorker, aNow);
  if (!reason.empty()) {
    return reason;
  }
  const Worker& worker = *mState.FindWorker(aWorker);
  if (worker.report.draining) {
    return "draining";
  }
  if (mProposals.HasProposedRemoval(aWorker)) {
    return "gone";
  }
  return HasRunOnTrial(worker) ? "task_on_trial" : "";
}

std::string_view
WorkerPool::ReasonNotCandidate(const WorkerId& aWorker, Millis aNow) const
{
  std::string_view reason = ReasonTakesNoTasks(aWorker, aNow);
  bool faulty = reason.empty() && mHealth.IsExcluded(aWorker, aNow);
  return faulty ? "fault_score" : reason;
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
    if (!ReasonTakesNoTasks(id, aNow).empty()) {
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
