// Finds workers that fail everything they start.
//
// A failure says nothing by itself: the job or the worker may be at fault. The
// jobs that failed on a worker are compared with other workers: a job that
// failed elsewhere too counts against the job, one that did not counts against
// the worker. A worker with failures of three distinct jobs since its last
// success, none of which failed elsewhere, is suspect. Suspicion is taken back
// as soon as the same jobs fail elsewhere.

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
  // Distinct jobs that make a worker suspect.
  uint32_t suspectThreshold = 3;
  Millis initialQuarantine = Minutes(2);
  Millis maxQuarantine = Hours(1);
  // At most this share of the workers is quarantined at once, so that a wave
  // of faulty jobs does not empty the zone.
  double maxQuarantinedShare = 0.1;
};

class WorkerFaultDetector
{
public:
  explicit WorkerFaultDetector(WorkerFaultOptions aOptions);

  // A task of the job failed on the worker. `aElsewhere` are other workers on
  // which the same job failed before.
  void RecordFailure(uint64_t aJob,
                     WorkerIndex aWorker,
                     const std::vector<WorkerIndex>& aOtherWorkers);
  // A task succeeded, or has run long enough to show that the worker works.
  void RecordSuccess(WorkerIndex aWorker);

  bool IsSuspect(WorkerIndex aWorker) const;

  // Quarantines a suspect worker unless too many are; returns the end.
  bool Quarantine(WorkerIndex aWorker, Millis aNow, uint32_t aWorkerCount);
  // The quarantine has passed: the worker gets one task as a probe.
  void StartProbe(WorkerIndex aWorker);
  // A probe failed: quarantined again for twice the time.
  void FailProbe(WorkerIndex aWorker, Millis aNow);
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
    // Jobs that failed here since the last success and nowhere else.
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
