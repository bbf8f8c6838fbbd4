#include "scheduler/worker_fault_detector.h"

#include <algorithm>

namespace limpetwood::scheduler {

WorkerFaultDetector::WorkerFaultDetector(WorkerFaultOptions aOptions)
  : mOptions(aOptions)
{
}

WorkerFaultDetector::WorkerRecord&
WorkerFaultDetector::RecordOf(WorkerIndex aWorker)
{
  if (aWorker >= mWorkers.size()) {
    mWorkers.resize(aWorker + 1);
  }
  return mWorkers[aWorker];
}

void
WorkerFaultDetector::RecordFailure(
  uint64_t aJob,
  WorkerIndex aWorker,
  const std::vector<WorkerIndex>& aOtherWorkers)
{
  bool failedElsewhere = false;
  for (WorkerIndex it : aOtherWorkers) {
    if (it != aWorker) {
      failedElsewhere = true;
      std::erase(RecordOf(it).implicatingJobs, aJob);
    }
  }
  std::vector<uint64_t>& implicatingJobs = RecordOf(aWorker).implicatingJobs;
  bool alreadyCounted =
    std::find(implicatingJobs.begin(), implicatingJobs.end(), aJob) !=
    implicatingJobs.end();
  // Keep up to twice as many failures as the threshold, so that the worker
  // stays suspect after some of them are attributed to the job instead.
  if (!failedElsewhere && !alreadyCounted &&
      implicatingJobs.size() < 2 * mOptions.suspectThreshold) {
    implicatingJobs.push_back(aJob);
  }
}

void
WorkerFaultDetector::RecordSuccess(WorkerIndex aWorker)
{
  if (aWorker < mWorkers.size()) {
    mWorkers[aWorker].implicatingJobs.clear();
  }
}

bool
WorkerFaultDetector::IsSuspect(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() &&
         mWorkers[aWorker].implicatingJobs.size() >= mOptions.suspectThreshold;
}

bool
WorkerFaultDetector::Quarantine(WorkerIndex aWorker,
                                Millis aNow,
                                uint32_t aWorkerCount)
{
  WorkerRecord& record = RecordOf(aWorker);
  auto maxQuarantinedWorkers = std::max<uint32_t>(
    1, static_cast<uint32_t>(aWorkerCount * mOptions.maxQuarantinedShare));
  if (record.state == State::kQuarantined ||
      mQuarantinedCount >= maxQuarantinedWorkers) {
    return false;
  }
  record.state = State::kQuarantined;
  record.quarantineLength = mOptions.initialQuarantine;
  record.quarantineEnd = aNow + record.quarantineLength;
  ++mQuarantinedCount;
  return true;
}

void
WorkerFaultDetector::StartProbe(WorkerIndex aWorker)
{
  WorkerRecord& record = RecordOf(aWorker);
  if (record.state == State::kQuarantined) {
    --mQuarantinedCount;
  }
  record.state = State::kProbing;
}

void
WorkerFaultDetector::FailProbe(WorkerIndex aWorker, Millis aNow)
{
  WorkerRecord& record = RecordOf(aWorker);
  record.state = State::kQuarantined;
  record.quarantineLength =
    std::min(record.quarantineLength * 2, mOptions.maxQuarantine);
  record.quarantineEnd = aNow + record.quarantineLength;
  ++mQuarantinedCount;
}

void
WorkerFaultDetector::Readmit(WorkerIndex aWorker)
{
  WorkerRecord& record = RecordOf(aWorker);
  if (record.state == State::kQuarantined) {
    --mQuarantinedCount;
  }
  record.state = State::kTrusted;
  record.implicatingJobs.clear();
}

bool
WorkerFaultDetector::IsQuarantined(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() &&
         mWorkers[aWorker].state == State::kQuarantined;
}

bool
WorkerFaultDetector::IsProbing(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() &&
         mWorkers[aWorker].state == State::kProbing;
}

Millis
WorkerFaultDetector::QuarantineEnd(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() ? mWorkers[aWorker].quarantineEnd : Millis();
}

} // namespace limpetwood::scheduler
