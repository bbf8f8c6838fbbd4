// Settings of the scheduler. The defaults follow the design document.

#pragma once

#include "base/time.h"
#include "model/crash_history.h"

#include <cstdint>

namespace limpetwood::scheduler {

// How the scheduler ensures that guaranteed shapes can be provided. See
// docs/decisions/scheduling.md for a comparison.
enum class GuaranteeMode
{
  // Each shape is bound to a cell of physical accelerators. Other work may run
  // there until the cell is reclaimed. The binding of an unused cell may
  // change.
  kFloatingCells,
  // Like `kFloatingCells`, but a binding changes only when a worker is lost.
  kFixedCells,
  // Like `kFloatingCells`, but cell sizes are rounded up to a power of two, as
  // in the buddy cell allocation of HiveD.
  kBuddyCells,
  // No cells: jobs with a guarantee preempt other work wherever they fit.
  kPreemptOnly,
};

// Safety mechanisms that tests disable to verify that the corresponding check
// detects a violation. All are enabled in production.
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
  // Time between the end of a lease and the reuse of the worker's capacity.
  // Allows for clock drift between the worker and the scheduler.
  Millis leaseMargin = Seconds(1);
  // Time in which all members of a gang must acknowledge their prepare, and
  // then their start. Otherwise the attempt is abandoned.
  Millis prepareTimeout = Seconds(1);
  Millis startTimeout = Seconds(2);
  // Interval at which a stop is sent again until it is answered or the worker's
  // lease has ended.
  Millis stopRetryInterval = Seconds(1);
  // Time limits of a preemption. For urgent jobs, checkpoint and throttling
  // together take less than the 0.8 s that an urgent start may spend on
  // checkpoint and stop.
  Millis checkpointDeadline = Seconds(30);
  Millis urgentCheckpointDeadline = Millis(500);
  Millis throttleDuration = Millis(100);
  // Estimated run time lost by stopping and restarting a checkpointable task.
  Millis restartOverhead = Seconds(60);
  // Upper bounds on the work of one step: waiting jobs tried in one pass, and
  // domains examined in one search for victims.
  uint32_t maxJobsPerPass = 10;
  uint32_t maxDomainsPerSearch = 8;
  // Waiting time after which capacity is reserved for a job.
  Millis reservationDelay = Minutes(1);
  // Waiting time after which a blocked large job may cause checkpointable work
  // to be moved.
  Millis relocationDelay = Minutes(1);
  // A job fails permanently after failures on `maxFailedWorkers` workers or
  // after `maxFailedAttempts` failed attempts.
  uint32_t maxFailedWorkers = 3;
  uint32_t maxFailedAttempts = 8;
  // A job fails permanently when crashes of its workers reach these limits.
  model::CrashLimits crashLimits;
  // A worker that is not seen alive later than this after the start of a task
  // has crashed right after the start.
  Millis crashAfterStart = Seconds(5);
  // A run of this length clears the crashes under earlier attempts.
  Millis soundRunTime = Seconds(30);
  // Duration of a worker's first quarantine. It doubles after each failed
  // probe, up to `maxQuarantine`.
  Millis initialQuarantine = Minutes(2);
  Millis maxQuarantine = Hours(1);
  // Delay before a job whose start was rolled back is tried again.
  Millis retryDelay = Seconds(1);
  GuaranteeMode guaranteeMode = GuaranteeMode::kFloatingCells;
  // Whether gangs may start before the first `StartsAllowed` event.
  bool startsAllowed = true;
  TestSwitches testSwitches;
};

} // namespace limpetwood::scheduler
