// Worker announcements and leases, adoption of running gangs, and quarantine.

#include "base/hash.h"
#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

void
Core::Handle(const WorkerAnnounced& aEvent)
{
  WorkerIndex index = mWorkers.Find(aEvent.worker);
  bool same = false;
  bool crashed = false;
  Millis lastSeen;
  if (index != kNoIndex) {
    const Worker& old = mWorkers.At(index);
    if (aEvent.incarnation < old.incarnation) {
      mCounters.Add(CounterKind::kRefusedStaleIncarnation);
      return;
    }
    same = aEvent.incarnation == old.incarnation;
    crashed = !same;
    lastSeen = LastSeen(index);
  }
  index = mWorkers.Announce(aEvent);
  mLeases.Renew(index, mNow);
  if (crashed) {
    OnWorkerCrashed(index, aEvent.tasks, lastSeen);
  }
  mUnconfirmedTasks.erase(index);
  Reconcile(index, aEvent.tasks, same);
  mRepairNeeded = true;
  mPassNeeded = true;
}

void
Core::Handle(const WorkerRenewed& aEvent)
{
  WorkerIndex index = mWorkers.Find(aEvent.worker);
  if (index == kNoIndex || !mWorkers.At(index).alive ||
      mWorkers.At(index).incarnation != aEvent.incarnation) {
    mCounters.Add(CounterKind::kRefusedUnknownWorker);
    return;
  }
  mLeases.Renew(index, mNow);
  mUnconfirmedTasks.erase(index);
  mWorkers.SetCpuUsage(index, aEvent.cpuUsage);
}

// Handles the end of a lease. The worker has stopped its tasks or is about to;
// its capacity is not reused before the lease margin has passed.
void
Core::OnLeaseEnded(WorkerIndex aWorker)
{
  mWorkers.SetAlive(aWorker, false);
  std::vector<TaskRef> tasks = mWorkers.At(aWorker).tasks;
  for (const TaskRef& task : tasks) {
    Job& job = mJobs[task.job];
    if (task.member >= job.members.size()) {
      continue;
    }
    if (job.phase == Phase::kPreparing || job.phase == Phase::kJournaling) {
      Rollback(task.job, CounterKind::kRetryWorkerLost, "worker_lost");
      continue;
    }
    Member& member = job.members[task.member];
    if (!MayBeExecuting(member.state)) {
      continue;
    }
    member.state = MemberState::kLeaseLost;
    if (job.phase != Phase::kStopping) {
      mCounters.Add(CounterKind::kRetryWorkerLost);
      StopGang(task.job,
               job.assigned ? AfterStop::kRequeue : AfterStop::kRemove,
               "worker_lost");
    }
    if (!mOptions.testSwitches.waitForLeaseMargin) {
      ReleaseMember(task.job, task.member, MemberState::kReleased);
      FinishIfStopped(task.job);
    }
  }
  std::vector<JobSlot> claimingJobs = mClaimingJobs;
  for (JobSlot slot : claimingJobs) {
    const Job& job = mJobs[slot];
    bool affected =
      std::any_of(job.members.begin(),
                  job.members.end(),
                  [&](const Member& it) { return it.worker == aWorker; });
    if (job.occupied && job.phase == Phase::kClaiming && affected) {
      DropClaims(slot, "worker_lost");
    }
  }
  if (mOptions.testSwitches.unbindLostWorkers) {
    mGuarantees.UnbindWorker(aWorker);
  }
  mRepairNeeded = true;
  mPassNeeded = true;
}

void
Core::OnLeaseMarginEnded(WorkerIndex aWorker)
{
  std::vector<TaskRef> tasks = mWorkers.At(aWorker).tasks;
  for (const TaskRef& task : tasks) {
    if (mJobs[task.job].members[task.member].state == MemberState::kLeaseLost) {
      AddUnconfirmedTask({ task.job, task.member });
      ReleaseMember(task.job, task.member, MemberState::kReleased);
      FinishIfStopped(task.job);
    }
  }
}

// Compares the tasks that a worker announces with the expected ones.
void
Core::Reconcile(WorkerIndex aWorker,
                const std::vector<RunningTask>& aTasks,
                bool aSameIncarnation)
{
  std::vector<TaskRef> expected = mWorkers.At(aWorker).tasks;
  std::vector<TaskRef> listed;
  for (const RunningTask& task : aTasks) {
    auto it = mSlotById.find(task.job);
    JobSlot slot = it == mSlotById.end() ? kNoIndex : it->second;
    uint32_t member = task.member.Value();
    bool known = slot != kNoIndex && mJobs[slot].attempt == task.attempt &&
                 member < mJobs[slot].members.size() &&
                 mJobs[slot].members[member].worker == aWorker &&
                 HoldsCapacity(mJobs[slot].members[member].state);
    if (!known) {
      RecoverTask(aWorker, task);
      continue;
    }
    listed.push_back({ slot, member });
    Member& entry = mJobs[slot].members[member];
    if (entry.state == MemberState::kLeaseLost) {
      entry.state = MemberState::kStopping;
      Emit(SendStop{ AddressOf(mJobs[slot], member),
                     mOptions.stopRetryInterval.Count() });
    }
  }
  for (const TaskRef& task : expected) {
    if (std::find(listed.begin(), listed.end(), task) != listed.end() ||
        task.member >= mJobs[task.job].members.size()) {
      continue;
    }
    Job& job = mJobs[task.job];
    MemberState state = job.members[task.member].state;
    if (state == MemberState::kPreparing || state == MemberState::kPrepared) {
      // The announcement may have been sent before the prepare arrived. A
      // restarted worker has no prepared resources and refuses the start.
      continue;
    }
    if (state == MemberState::kLeaseLost) {
      ReleaseMember(task.job, task.member, MemberState::kReleased);
      FinishIfStopped(task.job);
      continue;
    }
    // The announcement may have been sent before a start arrived, even from a
    // restarted worker that was prepared before it announced itself. The
    // capacity is therefore free only when the worker has answered a stop.
    if (state == MemberState::kRunning ||
        (state == MemberState::kStarting && !aSameIncarnation)) {
      mCounters.Add(CounterKind::kRetryWorkerLost);
      StopGang(task.job,
               job.assigned ? AfterStop::kRequeue : AfterStop::kRemove,
               "task_missing");
    }
  }
}

Millis
Core::LastSeen(WorkerIndex aWorker) const
{
  return mLeases.End(aWorker) - mOptions.workerLease;
}

// Remembers a task that its worker may have lost in a crash: the lease has
// ended, or the answer to a stop may be that of the next incarnation.
void
Core::AddUnconfirmedTask(MemberRef aRef)
{
  const Job& job = mJobs[aRef.slot];
  const Member& member = job.members[aRef.member];
  bool seenSinceStart =
    !member.startedAt || LastSeen(member.worker) > *member.startedAt;
  if (job.assigned &&
      (member.state == MemberState::kLeaseLost || !seenSinceStart)) {
    mUnconfirmedTasks[member.worker].push_back(
      { job.id, job.attempt, MemberIndex(aRef.member), member.startedAt });
  }
}

void
Core::OnWorkerCrashed(WorkerIndex aWorker,
                      const std::vector<RunningTask>& aTasks,
                      Millis aLastSeen)
{
  std::vector<UnconfirmedTask> lost;
  if (auto it = mUnconfirmedTasks.find(aWorker);
      it != mUnconfirmedTasks.end()) {
    lost = it->second;
  }
  for (const TaskRef& task : mWorkers.At(aWorker).tasks) {
    const Job& job = mJobs[task.job];
    if (task.member >= job.members.size() ||
        !MayBeExecuting(job.members[task.member].state)) {
      continue;
    }
    // The new incarnation may have started a task before it announced itself.
    bool listed =
      std::any_of(aTasks.begin(), aTasks.end(), [&](const RunningTask& it) {
        return it.job == job.id && it.attempt == job.attempt &&
               it.member.Value() == task.member;
      });
    if (!listed) {
      lost.push_back({ job.id,
                       job.attempt,
                       MemberIndex(task.member),
                       job.members[task.member].startedAt });
    }
  }
  bool alone =
    std::all_of(lost.begin(), lost.end(), [&](const UnconfirmedTask& it) {
      return it.job == lost.front().job;
    });
  if (!lost.empty()) {
    mCounters.Add(CounterKind::kWorkerCrashed);
  }
  for (const UnconfirmedTask& it : lost) {
    auto slot = mSlotById.find(it.job);
    if (slot == mSlotById.end()) {
      continue;
    }
    bool afterStart =
      it.startedAt && aLastSeen < *it.startedAt + mOptions.crashAfterStart;
    RecordCrash(
      slot->second,
      { it.attempt, it.member, mWorkers.At(aWorker).id, afterStart, alone });
  }
}

void
Core::RecordCrash(JobSlot aSlot, model::WorkerCrash aCrash)
{
  Job& job = mJobs[aSlot];
  if (!job.assigned || job.phase == Phase::kEnding ||
      !job.crashes.Add(aCrash)) {
    return;
  }
  job.crashedWorkers.insert(aCrash.worker);
  JobEvent event;
  event.job = job.id;
  event.attempt = job.attempt;
  event.kind = JobEventKind::kWorkerCrashed;
  event.at = mNow;
  event.crash = std::move(aCrash);
  Emit(WriteJournalRecord{ RecordId(++mRecordCount), std::move(event) });
  if (job.crashes.Reaches(mOptions.crashLimits)) {
    mCounters.Add(CounterKind::kGivenUpAfterCrashes);
    GiveUp(aSlot, "crashed_workers");
    return;
  }
  job.notBefore =
    std::max(job.notBefore,
             mNow + mOptions.retryDelay *
                      static_cast<int64_t>(job.crashes.Crashes().size()));
  WatchForSoundRun(aSlot);
}

// Ends the job as failed once its tasks have stopped.
void
Core::GiveUp(JobSlot aSlot, const char* aReason)
{
  Job& job = mJobs[aSlot];
  switch (job.phase) {
    case Phase::kEnding:
      return;
    case Phase::kClaiming:
      DropClaims(aSlot, aReason);
      break;
    case Phase::kQueued:
      break;
    default:
      // If the `kStarting` record is still pending, it must no longer start the
      // gang.
      mPendingRecords.erase(job.record);
      job.reason = aReason;
      StopGang(aSlot, AfterStop::kFail, aReason);
      return;
  }
  EndJob(aSlot, JobEventKind::kFailed, aReason);
}

void
Core::WatchForSoundRun(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  if (job.phase == Phase::kRunning && !job.crashes.Crashes().empty()) {
    Millis due = std::max(job.startedAt + mOptions.soundRunTime, mNow);
    mTimers.push({ due, TimerKind::kSoundRun, aSlot, job.attempt.Value() });
  }
}

void
Core::OnSoundRunDue(const Timer& aTimer)
{
  JobSlot slot = aTimer.index;
  Job& job = mJobs[slot];
  bool runs = job.phase == Phase::kRunning ||
              job.phase == Phase::kCheckpointing ||
              job.phase == Phase::kThrottling;
  if (!job.occupied || job.attempt.Value() != aTimer.generation || !runs) {
    return;
  }
  Millis soundAt = job.startedAt + mOptions.soundRunTime;
  bool seen =
    std::all_of(job.members.begin(), job.members.end(), [&](const Member& it) {
      return it.state != MemberState::kRunning ||
             LastSeen(it.worker) >= soundAt;
    });
  if (!seen) {
    mTimers.push({ mNow + mOptions.workerLease / 3,
                   TimerKind::kSoundRun,
                   slot,
                   job.attempt.Value() });
    return;
  }
  if (job.crashes.ClearBefore(job.attempt)) {
    job.crashedWorkers.clear();
    WriteJournal(slot, JobEventKind::kSound);
  }
}

void
Core::StopUnknownTask(WorkerIndex aWorker, const RunningTask& aTask)
{
  FencingToken token = std::max(aTask.token, NextToken());
  Emit(SendStop{
    { mWorkers.At(aWorker).id, aTask.job, aTask.attempt, aTask.member, token },
    mOptions.stopRetryInterval.Count() });
}

// Accounts a task started by an earlier authority as running, even if its job
// is not known yet. Gangs with all members reported are adopted.
void
Core::RecoverTask(WorkerIndex aWorker, const RunningTask& aTask)
{
  auto it = mSlotById.find(aTask.job);
  JobSlot slot = it == mSlotById.end() ? kNoIndex : it->second;
  bool waiting = slot == kNoIndex || mJobs[slot].phase == Phase::kRecovering ||
                 (mJobs[slot].phase == Phase::kQueued &&
                  mJobs[slot].attempt <= aTask.attempt);
  bool valid = aTask.gangSize > 0 && aTask.member.Value() < aTask.gangSize &&
               EpochOf(aTask.token) < mEpoch;
  if (!IsRecovering() || !waiting || !valid) {
    StopUnknownTask(aWorker, aTask);
    return;
  }
  if (slot == kNoIndex) {
    slot = CreateJob(aTask.job);
  }
  Job& job = mJobs[slot];
  if (job.phase == Phase::kQueued) {
    mQueue.Remove(slot);
    job.phase = Phase::kRecovering;
    job.attempt = aTask.attempt;
    job.members.assign(aTask.gangSize, Member());
    job.reason = "recovering";
  }
  uint32_t index = aTask.member.Value();
  bool fits = job.attempt == aTask.attempt &&
              job.members.size() == aTask.gangSize &&
              job.members[index].state == MemberState::kReleased;
  if (!fits) {
    StopUnknownTask(aWorker, aTask);
    return;
  }
  AcceleratorMask mask = 0;
  for (uint32_t n : aTask.accelerators) {
    mask |= n < kMaxAccelerators ? AcceleratorMask(1) << n : 0;
  }
  const Worker& worker = mWorkers.At(aWorker);
  mask &= worker.AllAccelerators() & ~worker.busyAccelerators;
  if (mask == 0) {
    mask = LowestBits(worker.FreeMask(), job.need.accelerators);
  }
  job.members[index] = { aWorker, MemberState::kRunning,
                         false,   NextToken(),
                         mask,    {} };
  mWorkers.Allocate(aWorker, job.need, mask, { slot, index }, false);
  mRackRunTimeMix.Add(worker.rack, job.longRunning, job.need.accelerators);
  if (job.assigned) {
    mWorkspaces[job.workspace].used += job.need.accelerators;
  } else {
    mWorkers.AdjustUnassignedTasks(aWorker, 1);
  }
  AdoptIfComplete(slot);
}

bool
Core::RecoverSuccess(const TaskReport& aReport)
{
  WorkerIndex worker = mWorkers.Find(aReport.worker);
  if (!IsRecovering() || worker == kNoIndex ||
      aReport.state != TaskState::kSucceeded ||
      EpochOf(aReport.token) >= mEpoch) {
    return false;
  }
  auto it = mSlotById.find(aReport.job);
  if (it == mSlotById.end() || !mJobs[it->second].assigned) {
    mUnassignedSuccesses.push_back(aReport);
    return true;
  }
  JobSlot slot = it->second;
  Job& job = mJobs[slot];
  uint32_t index = aReport.member.Value();
  if (job.attempt != aReport.attempt || index >= job.spec.members ||
      (job.phase != Phase::kQueued && job.phase != Phase::kRecovering)) {
    return false;
  }
  if (job.phase == Phase::kQueued) {
    mQueue.Remove(slot);
    job.phase = Phase::kRecovering;
    job.members.assign(job.spec.members, Member());
    job.reason = "recovering";
  }
  if (index >= job.members.size() ||
      job.members[index].state != MemberState::kReleased) {
    return false;
  }
  job.members[index].worker = worker;
  job.members[index].state = MemberState::kSucceeded;
  AdoptIfComplete(slot);
  return true;
}

void
Core::AdoptIfComplete(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  if (job.phase != Phase::kRecovering || !job.assigned ||
      job.members.size() != job.spec.members ||
      std::any_of(job.members.begin(), job.members.end(), [](const Member& it) {
        return it.state != MemberState::kRunning &&
               it.state != MemberState::kSucceeded;
      })) {
    return;
  }
  job.phase = Phase::kRunning;
  job.reason = "";
  job.startedAt = mNow;
  job.resumePointAt = mNow;
  SetDeadline(aSlot, Millis::Max());
  mCounters.Add(CounterKind::kAdopted);
  MakeGuaranteedIfCovered(aSlot);
  WriteJournal(aSlot, JobEventKind::kRunning);
  WatchForSoundRun(aSlot);
  if (AllMembers(job, MemberState::kSucceeded)) {
    Succeed(aSlot);
  }
}

void
Core::EndRecovery()
{
  for (JobSlot slot = 0; slot < mJobs.size(); ++slot) {
    Job& job = mJobs[slot];
    if (job.occupied && job.phase == Phase::kRecovering) {
      mCounters.Add(CounterKind::kRetryIncompleteGang);
      // Members that were not reported may run until the lease of their worker
      // and its margin have ended.
      job.notBefore = mRecoveryEnd + mOptions.leaseMargin;
      StopGang(slot,
               job.assigned ? AfterStop::kRequeue : AfterStop::kRemove,
               "not_whole");
    }
  }
  mUnassignedSuccesses.clear();
  mRepairNeeded = true;
  mPassNeeded = true;
}

void
Core::RecordFailureOnWorker(JobSlot aSlot, WorkerIndex aWorker)
{
  Job& job = mJobs[aSlot];
  mFaultDetector.RecordFailure(
    Hash64(job.id.Value()), aWorker, job.failedWorkers);
  if (std::find(job.failedWorkers.begin(), job.failedWorkers.end(), aWorker) ==
      job.failedWorkers.end()) {
    job.failedWorkers.push_back(aWorker);
  }
  if (mFaultDetector.IsProbing(aWorker)) {
    mFaultDetector.FailProbe(aWorker, mNow);
  } else if (!mFaultDetector.IsSuspect(aWorker) ||
             !mFaultDetector.Quarantine(aWorker, mNow, mWorkers.Size())) {
    // The job failed on a second worker, which may clear the suspicion of the
    // first one.
    for (WorkerIndex it : job.failedWorkers) {
      if (mFaultDetector.IsQuarantined(it) && !mFaultDetector.IsSuspect(it)) {
        mFaultDetector.Readmit(it);
        SetQuarantine(it, false, false);
        mCounters.Add(CounterKind::kReadmitted);
      }
    }
    return;
  }
  mCounters.Add(CounterKind::kQuarantined);
  SetQuarantine(aWorker, true, false);
  SetTimer(
    mFaultDetector.QuarantineEnd(aWorker), TimerKind::kQuarantineEnd, aWorker);
}

void
Core::SetQuarantine(WorkerIndex aWorker, bool aQuarantined, bool aProbing)
{
  if (aQuarantined) {
    mGuarantees.UnbindWorker(aWorker);
  }
  mWorkers.SetQuarantine(aWorker, aQuarantined, aProbing);
  mRepairNeeded = true;
  mPassNeeded = true;
}

void
Core::RepairGuarantees()
{
  mRepairNeeded = false;
  if (mOptions.guaranteeMode == GuaranteeMode::kPreemptOnly) {
    return;
  }
  // Guaranteed work that has lost its cell becomes preemptible unless a cell
  // can be moved to cover it.
  for (JobSlot slot = 0; slot < mJobs.size(); ++slot) {
    Job& job = mJobs[slot];
    if (!job.occupied || !job.guaranteed) {
      continue;
    }
    bool covered = std::all_of(
      job.members.begin(), job.members.end(), [&](const Member& it) {
        bool holds = HoldsOrClaimsCapacity(it.state);
        return !holds || mGuarantees.Used(job.workspace, it.worker) <=
                           mGuarantees.Reserved(job.workspace, it.worker);
      });
    if (!covered && mOptions.testSwitches.demoteUncoveredWork) {
      MakePreemptible(slot);
      MakeGuaranteedIfCovered(slot);
    }
  }
  mGuarantees.BindUnbound(mWorkers);
  UpdateAlarms();
}

} // namespace limpetwood::scheduler
