// The leader's view of one worker beyond the replicated state: the worker's
// clock, the lease it may hold, whether it answers, and the status of the
// orders sent to it.
//
// Leases are expressed in the worker's clock. The leader tracks a lower bound
// of that clock, so that it never grants a longer lease than intended and
// treats a lease as expired only when it is certain to have expired.

#pragma once

#include "fleet/order.h"
#include "fleet/order_queue.h"
#include "fleet/progress.h"

#include <map>
#include <optional>
#include <set>

namespace limpetwood::fleet {

// The leader's view of a run on a worker.
struct RunView
{
  enum class Phase
  {
    // The start was queued or sent, and has no result yet.
    kStarting,
    // The worker executed the start or a stop, or listed the run.
    kConfirmed,
    // The start received no answer; the worker may still execute it.
    kUnresolved,
  };

  Phase phase = Phase::kStarting;
  // The result of a renewal sent after this time shows conclusively whether the
  // run exists. A renewal sent in the same millisecond does not, because its
  // order relative to the start is unknown.
  Millis conclusiveAfter = Millis::Max();
  // The worker has answered the start or listed the run. Assumed for runs that
  // an earlier leader started.
  bool begun = false;
  bool stopRequested = false;
  // Why, unless the job or the gang cannot continue.
  StopReason stopReason = StopReason::kNone;
  // The worker has executed a stop.
  bool stopExecuted = false;
  // Time of the first refused stop since the last executed one.
  std::optional<Millis> stopRefusedSince{};
  // Time of the latest stop, on the leader's clock. The initial value is long
  // enough ago that the first stop is sent without delay.
  Millis stopSentAt{ -1'000'000 };
  // Empty while the start is queued, and for runs that an earlier leader
  // started.
  std::optional<Millis> startSentAt{};
  // Time since which this leader knows the run.
  Millis trackedSince{};
  // The worker listed the run when it had been active for `kStartWatchTime`.
  bool passedStart = false;
  // Its rate was recorded for its step.
  bool rateRecorded = false;
  // Its rate was compared with those of the step's other runs.
  bool speedObserved = false;
  // Set if the worker's process that the run was started on has ended without
  // notice.
  std::optional<CrashEvidence> crash{};
  Progress progress{};
  std::string checkpoint{};
};

class WorkerLink
{
public:
  // `aNow` is the time at which the leader took over or the worker joined.
  // `aMaxLease` is the longest lease that an earlier leader can have granted.
  WorkerLink(Incarnation aIncarnation, Millis aNow, Millis aMaxLease);

  Incarnation CurrentIncarnation() const { return mIncarnation; }
  // Orders that were sent earlier belong to a link that was removed.
  Millis CreatedAt() const { return mCreatedAt; }

  // Records that the worker's clock read `aClock` no later than `aNow`.
  void OnClock(Millis aClock, Millis aNow);
  // Lower bound of the worker's clock; empty before the first reading.
  std::optional<Millis> ClockLowerBound(Millis aNow) const;

  // Records and returns the end of a lease that starts now and lasts `aLength`,
  // on the worker's clock; the end of an earlier lease if that is later.
  // Precondition: the clock is known.
  Millis GrantLease(Millis aNow, Millis aLength);
  // The worker refused an order with this lease as unhealthy, and so has done
  // nothing: the lease is not in force.
  void WithdrawLease(Millis aUntil);
  // Whether the worker may be granted a lease. Without, its runs end at expiry.
  bool MayHoldLease() const
  {
    return reachable && !refusesStops && unconfirmedStarts.empty();
  }
  // Whether an answer of the worker or of an earlier process of it may still
  // list ends.
  bool MayAnswer() const
  {
    return renewalsInFlight > 0 || earlierRenewalsInFlight > 0;
  }
  // Whether orders may carry a lease. One that is refused is withdrawn.
  bool MaySendLease() const
  {
    return (reachable || renewalRefused) && !refusesStops &&
           unconfirmedStarts.empty();
  }
  // Whether every lease granted so far has certainly expired.
  bool HasLeaseExpired(Millis aNow) const;

  void OnDrainState(const WorkerReport& aReport);
  // Time until the process may end as planned, at most: shorter by what the
  // worker's clock is ahead of its lower bound. Negative once it has passed;
  // empty if it is not known.
  std::optional<Millis> TimeToDeparture(Millis aNow) const;

  // Time of the latest message from the worker.
  Millis lastHeard{};
  // The worker has seen the fencing token of this term.
  bool tokenAcknowledged = false;
  // False after an unanswered order or a refused renewal until the worker
  // executes an order.
  bool reachable = true;
  // The worker refused the latest renewal as unhealthy.
  bool renewalRefused = false;
  // Time of the first unanswered order since the last answer.
  std::optional<Millis> unreachableSince{};
  // The worker reported itself unhealthy and receives no tasks before this
  // time.
  Millis unhealthyUntil{ -1'000'000 };
  // Highest sequence number of the worker's reports.
  uint64_t sequence = 0;
  // Capacity by the latest report, which may not be committed yet, and the time
  // of that report. The capacity can shrink while the worker runs.
  Resources capacity{};
  Millis reportedAt{};
  // The worker is slow until this time.
  Millis coldUntil{ -1'000'000 };
  bool draining = false;
  // Time on the worker's clock before which its process does not end as
  // planned; set only while it drains.
  std::optional<Millis> departsAt{};
  // The worker has announced its end, or another one listens at its address.
  // Its removal is proposed once its runs have certainly ended and nothing is
  // outstanding that may report the end of a run, so that no end is proposed
  // beside or after the removal.
  bool gone = false;
  // The worker's process has certainly ended, and with it all of its runs.
  // Implies `gone`.
  bool processEnded = false;
  // The worker is gone and did not announce it.
  bool crashed = false;
  // Time at which the worker announced its end. The announcement proves
  // nothing: the process ends only when it receives the acknowledgement, or
  // some seconds later. Until then the worker is renewed without a lease,
  // because ends that no renewal has listed are lost with its process.
  std::optional<Millis> leftAt{};
  // The first of these renewals is due. It is sent even if another one is in
  // flight, which the worker may hold back until it ends.
  bool leaveRenewalDue = false;

  // Starts and stops. Renewals are sent independently of this queue.
  OrderQueue orderQueue{};
  // At most one, and beside it the first one after the worker announced its
  // end.
  int renewalsInFlight = 0;
  // Renewals to earlier processes of the worker, whose answers may still list
  // ends of its runs. Until these are resolved, no run is given up because the
  // current process does not list it.
  int earlierRenewalsInFlight = 0;
  Millis nextRenewalAt{};
  // Numbers of the last end in the replicated state, and of the last end
  // proposed to it.
  uint64_t endsCommitted = 0;
  uint64_t endsProposed = 0;
  // Number of the last end whose acknowledgement reached the worker.
  uint64_t endsAcknowledged = 0;

  // Runs whose reported end, or another end of theirs, has been proposed and is
  // not committed yet. No end is acknowledged until there are none.
  std::set<RunRef> uncommittedEnds{};

  std::map<RunRef, RunView> runs{};
  // The worker has refused to stop one of them for as long as a lease lasts.
  bool refusesStops = false;
  // Runs that were ended at lease expiry although their start received no
  // answer, with the time of their latest stop. The worker must execute their
  // stops before it receives another lease.
  std::map<RunRef, Millis> unconfirmedStarts{};
  // Runs whose start got no answer and that the worker has not listed. Whatever
  // this process was told of them, a later one under the same id may execute
  // the start.
  std::set<RunRef> startsWithoutAnswer{};

private:
  Incarnation mIncarnation;
  Millis mCreatedAt;
  // Best known lower bound of the worker's clock, and the leader's time at
  // which it held.
  std::optional<Millis> mClockLowerBound;
  Millis mClockObservedAt;
  // Ends of the leases that may be in force, on the worker's clock.
  std::multiset<Millis> mGrants;
  // Time at which all leases of earlier leaders have expired, on the leader's
  // clock.
  Millis mEarlierLeasesEndAt;
};

using WorkerLinks = std::map<WorkerId, WorkerLink>;

} // namespace limpetwood::fleet
