#include "scheduler/worker_fault_detector.h"

#include <algorithm>

namespace limpetwood::scheduler {

Blame::Blame(BlameOptions aOptions)
  : mOptions(aOptions)
{
}

Blame::Record&
Blame::At(WorkerIndex aWorker)
{
  if (aWorker >= mWorkers.size()) {
    mWorkers.resize(aWorker + 1);
  }
  return mWorkers[aWorker];
}

void
Blame::Failed(uint64_t aJob,
              WorkerIndex aWorker,
              const std::vector<WorkerIndex>& aElsewhere)
{
  bool elsewhere = false;
  for (WorkerIndex it : aElsewhere) {
    if (it != aWorker) {
      elsewhere = true;
      std::erase(At(it).against, aJob);
    }
  }
  std::vector<uint64_t>& against = At(aWorker).against;
  bool known = std::find(against.begin(), against.end(), aJob) != against.end();
  // Twice the threshold is enough to stay suspect after some retractions.
  if (!elsewhere && !known && against.size() < 2 * mOptions.suspectAfter) {
    against.push_back(aJob);
  }
}

void
Blame::Succeeded(WorkerIndex aWorker)
{
  if (aWorker < mWorkers.size()) {
    mWorkers[aWorker].against.clear();
  }
}

bool
Blame::Suspect(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() &&
         mWorkers[aWorker].against.size() >= mOptions.suspectAfter;
}

bool
Blame::Quarantine(WorkerIndex aWorker, Millis aNow, uint32_t aWorkers)
{
  Record& record = At(aWorker);
  auto most =
    std::max<uint32_t>(1, static_cast<uint32_t>(aWorkers * mOptions.maxShare));
  if (record.state == State::kQuarantined || mQuarantined >= most) {
    return false;
  }
  record.state = State::kQuarantined;
  record.length = mOptions.quarantine;
  record.end = aNow + record.length;
  ++mQuarantined;
  return true;
}

void
Blame::StartProbe(WorkerIndex aWorker)
{
  Record& record = At(aWorker);
  if (record.state == State::kQuarantined) {
    --mQuarantined;
  }
  record.state = State::kProbing;
}

void
Blame::FailProbe(WorkerIndex aWorker, Millis aNow)
{
  Record& record = At(aWorker);
  record.state = State::kQuarantined;
  record.length = std::min(record.length * 2, mOptions.maxQuarantine);
  record.end = aNow + record.length;
  ++mQuarantined;
}

void
Blame::Readmit(WorkerIndex aWorker)
{
  Record& record = At(aWorker);
  if (record.state == State::kQuarantined) {
    --mQuarantined;
  }
  record.state = State::kTrusted;
  record.against.clear();
}

bool
Blame::Quarantined(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() &&
         mWorkers[aWorker].state == State::kQuarantined;
}

bool
Blame::Probing(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() &&
         mWorkers[aWorker].state == State::kProbing;
}

Millis
Blame::QuarantineEnd(WorkerIndex aWorker) const
{
  return aWorker < mWorkers.size() ? mWorkers[aWorker].end : Millis();
}

} // namespace limpetwood::scheduler
