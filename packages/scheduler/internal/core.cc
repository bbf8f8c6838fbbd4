// Event dispatch, timers and views.

#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

// Maximum numbers of timers and lease deadlines handled in one step; the
// remaining ones are handled in the next step.
constexpr std::size_t kTimersPerStep = 256;
constexpr std::size_t kLeasesPerStep = 64;

} // namespace

Core::Core(SchedulerOptions aOptions, Epoch aEpoch)
  : mOptions(aOptions)
  , mEpoch(aEpoch)
  , mStartsAllowed(aOptions.startsAllowed)
  , mLeases(aOptions.workerLease, aOptions.leaseMargin)
  , mGuarantees(aOptions.guaranteeMode)
  , mFaultDetector({ aOptions.maxFailedWorkers,
                     aOptions.initialQuarantine,
                     aOptions.maxQuarantine })
{
}

std::vector<Effect>
Core::Step(const Event& aEvent, Millis aNow)
{
  mNow = std::max(mNow, aNow);
  mEffects.clear();
  if (!mStarted) {
    mStarted = true;
    mRecoveryEnd = mNow + mOptions.workerLease;
    SetTimer(mRecoveryEnd, TimerKind::kRecoveryEnd);
  }
  std::visit([this](const auto& it) { Handle(it); }, aEvent);
  RunTimers();
  CancelPendingJobs();
  RecheckWaitingJobs();
  PrepareClaimingJobs();
  RunPassIfDue();
  return std::move(mEffects);
}

Millis
Core::NextDeadline() const
{
  if (!mPendingCancellations.empty() || mNextRecheck != kNoIndex) {
    return mNow;
  }
  Millis next = mLeases.NextDeadline();
  if (!mTimers.empty()) {
    next = std::min(next, mTimers.top().at);
  }
  if (mPassNeeded || mPassIncomplete) {
    next = std::min(next, mNextPass);
  }
  return std::max(next, mNow);
}

void
Core::Handle(const StartsAllowed& aEvent)
{
  mStartsAllowed = aEvent.allowed;
  if (mStartsAllowed) {
    mPassNeeded = true;
    return;
  }
  for (JobSlot slot = 0; slot < mJobs.size(); ++slot) {
    const Job& job = mJobs[slot];
    if (!job.occupied) {
      continue;
    }
    if (job.phase == Phase::kClaiming) {
      DropClaims(slot, "starts_forbidden");
    } else if (job.phase == Phase::kPreparing ||
               job.phase == Phase::kJournaling) {
      Rollback(slot, CounterKind::kRetryStartsForbidden, "starts_forbidden");
    }
  }
}

void
Core::Handle(const Tick& /*aEvent*/)
{
  // A tick only runs the timers and the pass, which follow in `Step`.
}

void
Core::RunTimers()
{
  for (const LeaseTable::Expiry& due :
       mLeases.TakeExpired(mNow, kLeasesPerStep)) {
    if (due.marginPassed) {
      OnLeaseMarginEnded(due.worker);
    } else {
      OnLeaseEnded(due.worker);
    }
  }
  for (std::size_t i = 0;
       i < kTimersPerStep && !mTimers.empty() && mTimers.top().at <= mNow;
       ++i) {
    Timer timer = mTimers.top();
    mTimers.pop();
    RunTimer(timer);
  }
}

void
Core::RunTimer(const Timer& aTimer)
{
  switch (aTimer.kind) {
    case TimerKind::kJob:
      if (mJobs[aTimer.index].occupied &&
          mJobs[aTimer.index].generation == aTimer.generation) {
        OnJobDeadline(aTimer.index);
      }
      break;
    case TimerKind::kPass:
      mPassNeeded = true;
      break;
    case TimerKind::kQuarantineEnd:
      if (mFaultDetector.IsQuarantined(aTimer.index) &&
          mFaultDetector.QuarantineEnd(aTimer.index) <= mNow) {
        mFaultDetector.StartProbe(aTimer.index);
        SetQuarantine(aTimer.index, false, true);
      }
      break;
    case TimerKind::kProbeEnd: {
      // A probe that runs until this timer shows that the worker is healthy.
      const Job& job = mJobs[aTimer.index];
      if (!job.occupied || job.generation != aTimer.generation) {
        break;
      }
      for (const Member& it : job.members) {
        if (it.state == MemberState::kRunning &&
            mFaultDetector.IsProbing(it.worker)) {
          mFaultDetector.Readmit(it.worker);
          SetQuarantine(it.worker, false, false);
          mCounters.Add(CounterKind::kReadmitted);
        }
      }
      break;
    }
    case TimerKind::kRecoveryEnd:
      EndRecovery();
      break;
    case TimerKind::kSoundRun:
      OnSoundRunDue(aTimer);
      break;
  }
}

void
Core::SetTimer(Millis aAt, TimerKind aKind, uint32_t aIndex)
{
  uint32_t generation =
    aKind == TimerKind::kProbeEnd ? mJobs[aIndex].generation : 0;
  mTimers.push({ aAt, aKind, aIndex, generation });
}

void
Core::SetDeadline(JobSlot aSlot, Millis aAt)
{
  Job& job = mJobs[aSlot];
  job.deadline = aAt;
  ++job.generation;
  if (aAt < Millis::Max()) {
    mTimers.push({ aAt, TimerKind::kJob, aSlot, job.generation });
  }
}

FencingToken
Core::NextToken()
{
  if (mOptions.testSwitches.advanceTokens || mTokenCount == 0) {
    ++mTokenCount;
  }
  return FirstTokenOf(mEpoch) + FencingToken(mTokenCount);
}

RecordId
Core::WriteJournal(JobSlot aSlot, JobEventKind aKind)
{
  const Job& job = mJobs[aSlot];
  RecordId record(++mRecordCount);
  JobEvent event;
  event.job = job.id;
  event.attempt = job.attempt;
  event.kind = aKind;
  event.at = mNow;
  event.reason = job.reason;
  event.checkpoint = job.checkpoint;
  if (aKind == JobEventKind::kStarting) {
    event.workers.reserve(job.members.size());
    for (const Member& it : job.members) {
      event.workers.push_back(mWorkers.At(it.worker).id);
    }
  }
  Emit(WriteJournalRecord{ record, std::move(event) });
  return record;
}

void
Core::Handle(const JournalCommitted& aEvent)
{
  auto it = mPendingRecords.find(aEvent.record);
  if (it == mPendingRecords.end()) {
    return;
  }
  JobSlot slot = it->second;
  mPendingRecords.erase(it);
  if (mJobs[slot].phase == Phase::kEnding) {
    RemoveJob(slot);
  } else if (mJobs[slot].phase == Phase::kJournaling) {
    StartAll(slot);
  }
}

JobView
Core::ViewOf(const Job& aJob) const
{
  JobView view;
  view.job = aJob.id;
  view.workspace = aJob.spec.workspace;
  view.state = StateOf(aJob);
  view.attempt = aJob.attempt;
  view.reason = aJob.reason;
  view.submittedAt = aJob.submittedAt;
  view.notBefore = aJob.notBefore;
  view.startedAt = aJob.startedAt;
  view.guaranteed = aJob.guaranteed;
  view.failedAttempts = aJob.failedAttempts;
  view.checkpoint = aJob.checkpoint;
  for (const Member& it : aJob.members) {
    if (HoldsCapacity(it.state)) {
      view.workers.push_back(mWorkers.At(it.worker).id);
    }
  }
  return view;
}

std::vector<JobView>
Core::Jobs() const
{
  std::vector<JobView> out;
  out.reserve(mSlotById.size());
  for (const auto& [id, slot] : mSlotById) {
    if (mJobs[slot].assigned) {
      out.push_back(ViewOf(mJobs[slot]));
    }
  }
  return out;
}

std::optional<JobView>
Core::FindJob(const JobId& aJob) const
{
  auto it = mSlotById.find(aJob);
  if (it == mSlotById.end() || !mJobs[it->second].assigned) {
    return std::nullopt;
  }
  return ViewOf(mJobs[it->second]);
}

WorkerView
Core::ViewOf(WorkerIndex aIndex) const
{
  const Worker& worker = mWorkers.At(aIndex);
  WorkerView view;
  view.worker = worker.id;
  view.zone = mWorkers.Zones()[worker.zone];
  view.rack = mWorkers.Racks()[worker.rack].id;
  view.address = worker.address;
  view.incarnation = worker.incarnation;
  view.alive = worker.alive;
  view.quarantined = worker.quarantined;
  view.cores = worker.cores;
  view.coresUsed = static_cast<uint32_t>(worker.coresUsed);
  view.memoryMb = worker.memoryMb;
  view.memoryMbUsed = static_cast<uint64_t>(worker.memoryMbUsed);
  view.accelerators = Accelerators(worker.accelerators);
  view.acceleratorsUsed = Accelerators(CountBits(worker.busyAccelerators));
  view.acceleratorsReserved = Accelerators(mGuarantees.Reserved(aIndex));
  view.tasks = static_cast<uint32_t>(worker.tasks.size());
  view.cpuUsage = worker.cpuUsage;
  view.leaseEnd = mLeases.End(aIndex);
  return view;
}

std::vector<WorkerView>
Core::Workers() const
{
  std::vector<WorkerView> out;
  out.reserve(mWorkers.Size());
  for (WorkerIndex i = 0; i < mWorkers.Size(); ++i) {
    out.push_back(ViewOf(i));
  }
  return out;
}

std::optional<WorkerView>
Core::FindWorker(const WorkerId& aWorker) const
{
  WorkerIndex index = mWorkers.Find(aWorker);
  if (index == kNoIndex) {
    return std::nullopt;
  }
  return ViewOf(index);
}

} // namespace limpetwood::scheduler
