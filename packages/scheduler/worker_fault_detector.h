// Detects workers that fail every task they start.
//
// A single failure can be caused by the job or by the worker. The detector
// compares failures across workers: a failure counts against the job if the
// same job also failed on another worker, otherwise against the worker. A
// worker is suspect after failures of three distinct jobs since its last
// success, if none of these jobs failed elsewhere. It is no longer suspect once
// the same jobs fail on other workers.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "scheduler/worker_table.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace limpetwood::scheduler {

struct WorkerFaultOptions
{
  // Number of distinct failed jobs that make a worker suspect.
  uint32_t suspectThreshold = 3;
  Millis initialQuarantine = Minutes(2);
  Millis maxQuarantine = Hours(1);
  // Maximum share of the workers that is quarantined at once, so that a series
  // of faulty jobs does not remove all workers of a zone.
  double maxQuarantinedShare = 0.1;
};

class WorkerFaultDetector
{
public:
  explicit WorkerFaultDetector(WorkerFaultOptions aOptions);

  // Records that a task of `aJob` failed on `aWorker`. `aOtherWorkers` are the
  // workers on which the same job failed before. `aJob` is any number that
  // identifies the job.
  void RecordFailure(uint64_t aJob,
                     WorkerIndex aWorker,
                     const std::vector<WorkerIndex>& aOtherWorkers);
  // Records a success and clears the failures counted against the worker.
  void RecordSuccess(WorkerIndex aWorker);

  bool IsSuspect(WorkerIndex aWorker) const;

  // Quarantines a worker. Returns false if it is quarantined already or too
  // many workers are. `maxQuarantinedShare` applies to `aWorkerCount`.
  bool Quarantine(WorkerIndex aWorker, Millis aNow, uint32_t aWorkerCount);
  // Ends the quarantine and allows the worker a single task as a probe.
  void StartProbe(WorkerIndex aWorker);
  // Quarantines the worker again for twice the previous duration.
  void FailProbe(WorkerIndex aWorker, Millis aNow);
  // Ends the quarantine or the probe; the worker is no longer limited.
  void Readmit(WorkerIndex aWorker);

  bool IsQuarantined(WorkerIndex aWorker) const;
  bool IsProbing(WorkerIndex aWorker) const;
  Millis QuarantineEnd(WorkerIndex aWorker) const;
  uint32_t QuarantinedCount() const { return mQuarantinedCount; }

private:
  enum class State : uint8_t
  {
    kTrusted,
    kQuarantined,
    kProbing,
  };

  struct WorkerRecord
  {
    State state = State::kTrusted;
    // Jobs that failed on this worker since its last success and on no other
    // worker.
    std::vector<uint64_t> implicatingJobs;
    Millis quarantineLength;
    Millis quarantineEnd;
  };

  WorkerRecord& RecordOf(WorkerIndex aWorker);

  WorkerFaultOptions mOptions;
  std::vector<WorkerRecord> mWorkers;
  uint32_t mQuarantinedCount = 0;
};

} // namespace limpetwood::scheduler
