// Read-only views of the scheduler's state for the API and for metrics.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/job.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace limpetwood::scheduler {

struct JobView
{
  JobId job;
  WorkspaceId workspace;
  model::JobState state = model::JobState::kQueued;
  Attempt attempt;
  // Why the job waits, failed or can never run; empty while it runs.
  std::string reason;
  Millis submittedAt;
  // Earliest time of the next attempt. Before it, tasks of an earlier attempt
  // may still be running, also if the job is queued.
  Millis notBefore;
  // Start of the current attempt.
  Millis startedAt;
  bool guaranteed = false;
  uint32_t failedAttempts = 0;
  std::vector<WorkerId> workers;
  // Handle of the latest complete checkpoint; empty if there is none.
  std::string checkpoint;
};

struct WorkerView
{
  WorkerId worker;
  ZoneId zone;
  RackId rack;
  std::string address;
  Incarnation incarnation;
  bool alive = false;
  bool quarantined = false;
  uint32_t cores = 0;
  uint32_t coresUsed = 0;
  uint64_t memoryMb = 0;
  uint64_t memoryMbUsed = 0;
  Accelerators accelerators;
  Accelerators acceleratorsUsed;
  // Accelerators reserved for guaranteed shapes.
  Accelerators acceleratorsReserved;
  uint32_t tasks = 0;
  // Share of the worker's cores in use, 0 to 1.
  double cpuUsage = 0;
  Millis leaseEnd;
};

// One counter for each reason of a refusal, a preemption or a retry, and for
// the events by which the targets are measured.
enum class CounterKind
{
  kRefusedImpossible,
  kRefusedUnknownWorkspace,
  kRefusedDuplicateJob,
  kRefusedStaleReport,
  kRefusedStaleIncarnation,
  kRefusedUnknownWorker,
  kPreemptedForGuarantee,
  kPreemptedForUrgent,
  kPreemptedForReservation,
  kPreemptedForRelocation,
  kPreemptionCancelled,
  kRetryPrepareRefused,
  kRetryPrepareTimeout,
  kRetryStartTimeout,
  kRetryWorkerLost,
  kRetryMemberFailed,
  kRetryIncompleteGang,
  kRetryStartsForbidden,
  kStarted,
  kSucceeded,
  kFailed,
  kCancelled,
  kBackfilled,
  kQuarantined,
  kReadmitted,
  kAdopted,
  kWorkerCrashed,
  kGivenUpAfterCrashes,
  kSize,
};

// Returns the metric label of a counter, such as "retry_worker_lost".
const char*
CounterName(CounterKind aCounter);

class Counters
{
public:
  void Add(CounterKind aCounter, uint64_t aDelta = 1)
  {
    mValues[static_cast<std::size_t>(aCounter)] += aDelta;
  }
  uint64_t Get(CounterKind aCounter) const
  {
    return mValues[static_cast<std::size_t>(aCounter)];
  }

private:
  std::array<uint64_t, static_cast<std::size_t>(CounterKind::kSize)> mValues{};
};

} // namespace limpetwood::scheduler
