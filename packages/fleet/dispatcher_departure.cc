// Empties workers before their process ends as announced, renews those that
// have left without a lease until their runs have certainly ended, and removes
// them then.
//
// What a worker lists just before its process ends may never arrive, so no run
// is left to end at that time.

#include "fleet/dispatcher.h"

#include <algorithm>
#include <utility>

namespace limpetwood::fleet {

namespace {

// Maximum time for which a worker that has announced its end delays the answer
// to a renewal.
constexpr Millis kLeaveRenewalWait(500);
// Interval at which a worker that is not removed yet is checked.
constexpr Millis kGoneWorkerCheckInterval(250);
// Interval at which the runs of a worker that is about to depart are checked.
constexpr Millis kEvictionCheckInterval(50);

// Time before the departure of a worker by which its last run should have
// ended, so that the end is read while the worker still answers.
constexpr Millis kDepartureMargin(500);

// Why nothing can run on a worker that is gone.
std::string_view
RemovalReason(const Worker& aWorker, const WorkerLink& aLink)
{
  if (aWorker.active.empty()) {
    return "no_runs";
  }
  return aLink.processEnded ? "process_ended" : "lease_expired";
}

} // namespace

bool
Dispatcher::MustEvict(const Worker& aWorker,
                      const RunRef& aRun,
                      const WorkerLink& aLink,
                      Millis aNow) const
{
  auto untilDeparture = aLink.TimeToDeparture(aNow);
  if (!untilDeparture ||
      *untilDeparture > mOptions.maxStopTime + kDepartureMargin) {
    return false;
  }
  const Job& job = *mState.FindJob(aRun.task.job);
  return job.spec.steps[aRun.task.step].longRunning ||
         mMonitor.RemainingTimeOf(aWorker.report.id, aRun, aNow) >
           *untilDeparture - kDepartureMargin;
}

void
Dispatcher::EvictRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  for (auto& [run, view] : aLink.runs) {
    if (mMonitor.MustStop(run, view) || mProposals.HasProposedEnd(run) ||
        !MustEvict(aWorker, run, aLink, aNow)) {
      continue;
    }
    view.stopRequested = true;
    view.stopReason = StopReason::kWorkerDeparts;
    ++mCounters.evictedRuns;
    LogRunEvent("run_evicted", aWorker.report.id, run)
      .Add("percent", view.progress.Percent())
      .Add("departs_in_ms", *aLink.TimeToDeparture(aNow));
  }
  auto untilDeparture = aLink.TimeToDeparture(aNow);
  if (untilDeparture && !aWorker.active.empty()) {
    ScheduleWorker(
      aWorker.report.id,
      aNow + std::max(*untilDeparture - mOptions.maxStopTime - kDepartureMargin,
                      kEvictionCheckInterval));
  }
}

bool
Dispatcher::OnLeave(const WorkerId& aWorker,
                    Incarnation aIncarnation,
                    Millis aNow)
{
  const Worker* known = mState.FindWorker(aWorker);
  bool replaced = known != nullptr && aIncarnation != Incarnation() &&
                  aIncarnation != known->report.incarnation;
  if (known == nullptr || replaced) {
    return false;
  }
  WorkerLink& link = LinkOf(*known, aNow);
  mEvents.emplace_back("worker_leaving")
    .Add("worker", aWorker)
    .Add("repeated", link.gone)
    .Add("active", known->active.size())
    .Add("renewals_in_flight", link.renewalsInFlight)
    .Add("ends_listed", link.endsProposed)
    .Add("ends_acknowledged", link.endsAcknowledged);
  if (!link.gone && !known->active.empty()) {
    link.leftAt = aNow;
    link.leaveRenewalDue = true;
    ScheduleWorker(aWorker, aNow);
  }
  link.gone = true;
  if (RemoveIfSettled(*known, link, aNow)) {
    return true;
  }
  // The process ends when it has the answer. The commit lets the last renewal
  // overtake it.
  WorkerReport report = known->report;
  report.draining = true;
  mProposals.ProposeReport(report);
  return true;
}

bool
Dispatcher::MayRun(const Worker& aWorker,
                   const WorkerLink& aLink,
                   Millis aNow) const
{
  bool endUnknown = std::any_of(
    aWorker.active.begin(), aWorker.active.end(), [&](const RunRef& it) {
      return !mProposals.HasProposedEnd(it);
    });
  return endUnknown && !aLink.processEnded && !aLink.HasLeaseExpired(aNow);
}

bool
Dispatcher::RemoveIfSettled(const Worker& aWorker,
                            const WorkerLink& aLink,
                            Millis aNow)
{
  bool endProposed = std::any_of(
    aWorker.active.begin(), aWorker.active.end(), [&](const RunRef& it) {
      return mProposals.HasProposedEnd(it);
    });
  if (MayRun(aWorker, aLink, aNow) || aLink.MayAnswer() ||
      aLink.leaveRenewalDue || endProposed) {
    return false;
  }
  if (!mProposals.HasProposedRemoval(aWorker.report.id)) {
    mEvents.emplace_back("worker_removal_proposed")
      .Add("worker", aWorker.report.id)
      .Add("reason", RemovalReason(aWorker, aLink))
      .Add("active", aWorker.active.size())
      .Add("since_leave_ms", aNow - aLink.leftAt.value_or(aNow))
      .Add("ends_listed", aLink.endsProposed)
      .Add("ends_acknowledged", aLink.endsAcknowledged);
    mProposals.ProposeRemoval(aWorker);
  }
  return true;
}

void
Dispatcher::TickGoneWorker(const Worker& aWorker,
                           WorkerLink& aLink,
                           Millis aNow)
{
  if (std::exchange(aLink.leaveRenewalDue, false)) {
    // Answered at once, so that it overtakes the answer to the worker's leave.
    SendRenewal(aWorker, aLink, Millis(0), std::nullopt, aNow);
  } else if (MayRun(aWorker, aLink, aNow) && aLink.renewalsInFlight == 0 &&
             aNow >= aLink.nextRenewalAt) {
    SendRenewal(aWorker, aLink, kLeaveRenewalWait, std::nullopt, aNow);
  }
  if (aLink.crashed && !aLink.MayAnswer()) {
    ProposeCrashedRuns(aWorker, aLink);
  }
  if (!RemoveIfSettled(aWorker, aLink, aNow)) {
    ScheduleWorker(aWorker.report.id, aNow + kGoneWorkerCheckInterval);
    ScheduleWorker(aWorker.report.id,
                   std::max(aLink.nextRenewalAt, aNow + Millis(1)));
  }
}

} // namespace limpetwood::fleet
