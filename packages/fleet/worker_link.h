// What the leader knows about one worker beyond the replicated state: its
// clock, the lease that it may hold, whether it answers, and what became of the
// orders that it was sent.
//
// Leases are times on the worker's clock. The leader tracks a lower bound of
// that clock, so that it grants no more than it means to, and takes a lease for
// over only when it is over for certain.

#pragma once

#include "fleet/order.h"
#include "fleet/order_lane.h"
#include "fleet/progress.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace limpetwood::fleet {

// The leader's view of a run on a worker.
struct RunView
{
  enum class Phase
  {
    // The start is on its way.
    kStarting,
    // The start was answered or the worker lists the run.
    kConfirmed,
    // The start got no answer; the worker may still carry it out.
    kUnresolved,
  };

  Phase phase = Phase::kStarting;
  // A renewal sent later tells for certain whether the run exists; within the
  // same millisecond their order is not known.
  Millis resolvedAt = Millis::Max();
  bool stopWanted = false;
  bool stopAnswered = false;
  Millis stopSentAt{ -1'000'000 };
  // Empty for starts that wait for their turn, and for runs that an earlier
  // leader started.
  std::optional<Millis> startSentAt{};
  Progress progress{};
  std::string checkpoint{};
};

class WorkerLink
{
public:
  // `aNow` is when the leader took over, or when the worker joined.
  // `aLongestLease` bounds what an earlier leader may have granted.
  WorkerLink(Incarnation aIncarnation, Millis aNow, Millis aLongestLease);

  Incarnation CurrentIncarnation() const { return mIncarnation; }

  // The worker's clock showed `aClock` no later than `aNow`.
  void OnClock(Millis aClock, Millis aNow);
  // The worker's clock is at least this; empty if it was never heard.
  std::optional<Millis> ClockFloor(Millis aNow) const;

  // End of a lease of `aLength` from now. Precondition: the clock is known.
  Millis GrantUntil(Millis aNow, Millis aLength);
  // Whether no lease that was granted can still be in force.
  bool LeaseOver(Millis aNow) const;

  // Any message from the worker.
  Millis lastHeard{};
  // The worker has seen this term's fencing token.
  bool fenced = false;
  // False from an unanswered order to the next answer.
  bool reachable = true;
  Millis unhealthyUntil{ -1'000'000 };
  // Highest sequence of its reports.
  uint64_t sequence = 0;
  bool draining = false;

  // Starts and stops; renewals do not wait for them, nor they for renewals.
  OrderLane lane{};
  bool renewInFlight = false;
  Millis renewDue{};
  // Ends up to here are in the replicated state; the second one counts those
  // that are proposed.
  uint64_t endsCommitted = 0;
  uint64_t endsProposed = 0;
  // The ends that the worker was last told of as committed.
  uint64_t endsAcknowledged = 0;

  // Runs whose listed end is on its way to the log.
  std::set<RunRef> openEnds{};

  std::map<RunRef, RunView> runs{};
  // Runs given up when the lease was over, whose start got no answer. They are
  // stopped before the worker gets another lease.
  std::vector<RunRef> suspects{};

private:
  Incarnation mIncarnation;
  // Best known lower bound of the clock and when it was true.
  std::optional<Millis> mClock;
  Millis mClockAt;
  // Highest end of a lease that was sent, on the worker's clock.
  std::optional<Millis> mGranted;
  // Leases of earlier leaders are over then, on the leader's clock.
  Millis mEarlierOver;
};

using WorkerLinks = std::map<WorkerId, WorkerLink>;

} // namespace limpetwood::fleet
