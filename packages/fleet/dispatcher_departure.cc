// Handles workers that announce their end: renews them without a lease until
// their runs have certainly ended, and removes them then.

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
  if (MayRun(aWorker, aLink, aNow) || aLink.renewalsInFlight > 0 ||
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
  if (aLink.crashed) {
    ProposeCrashedRuns(aWorker, aLink);
  }
  if (!RemoveIfSettled(aWorker, aLink, aNow)) {
    ScheduleWorker(aWorker.report.id, aNow + kGoneWorkerCheckInterval);
    ScheduleWorker(aWorker.report.id,
                   std::max(aLink.nextRenewalAt, aNow + Millis(1)));
  }
}

} // namespace limpetwood::fleet
