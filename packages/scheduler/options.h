// Settings of the scheduler. The defaults are those of the design page.

#pragma once

#include "base/time.h"

#include <cstdint>

namespace limpetwood::scheduler {

// How the shapes of the guarantees are kept satisfiable; see
// docs/decisions/scheduling.md for the comparison.
enum class GuaranteeMode
{
  // Each shape is bound to a physical cell; the binding of an unused cell may
  // move. Cells carry other work until they are reclaimed.
  kFloatingCells,
  // As above, but a binding changes only when a worker is lost.
  kFixedCells,
  // Floating cells of power-of-two size at aligned places, as in HiveD.
  kBuddyCells,
  // No cells: guaranteed jobs preempt wherever they fit.
  kPreemptOnly,
};

// Mechanisms that tests switch off in order to see a check fail. All are on
// outside tests.
struct TestSwitches
{
  bool claimCapacity = true;
  bool stopPartialStart = true;
  bool waitForLeaseMargin = true;
  bool advanceTokens = true;
  bool unbindLostWorkers = true;
  bool waitForEarlierAttempts = true;
  bool journalBeforeStart = true;
  bool demoteUncoveredWork = true;
};

struct SchedulerOptions
{
  Millis workerLease = Seconds(15);
  // Drift margin between the end of a lease and the reuse of the capacity.
  Millis leaseMargin = Seconds(1);
  Millis prepareTimeout = Seconds(1);
  Millis startTimeout = Seconds(2);
  // Stop is sent again until it is answered or the lease has ended.
  Millis stopRetryInterval = Seconds(1);
  // Deadlines of a preemption. The urgent ones add up to less than the 0.8 s
  // that the design page allows for checkpoint and stop.
  Millis checkpointDeadline = Seconds(30);
  Millis urgentCheckpointDeadline = Millis(500);
  Millis throttleDuration = Millis(100);
  // Work lost by stopping and restarting a checkpointable task.
  Millis restartCost = Seconds(60);
  // Bounds the work of one step.
  uint32_t maxJobsPerPass = 10;
  uint32_t maxDomainsPerSearch = 8;
  // Capacity is set aside for a job that has waited this long.
  Millis reservationDelay = Minutes(1);
  // A blocked large job may move checkpointable work after this wait.
  Millis relocationDelay = Minutes(1);
  // A job ends as failed after failures on this many workers, or after this
  // many failed attempts.
  uint32_t maxFailedWorkers = 3;
  uint32_t maxFailedAttempts = 8;
  // First quarantine of a worker; doubles up to the maximum.
  Millis initialQuarantine = Minutes(2);
  Millis maxQuarantine = Hours(1);
  // Pause before a job whose start was rolled back is tried again.
  Millis retryDelay = Seconds(1);
  GuaranteeMode guaranteeMode = GuaranteeMode::kFloatingCells;
  TestSwitches testSwitches;
};

} // namespace limpetwood::scheduler
