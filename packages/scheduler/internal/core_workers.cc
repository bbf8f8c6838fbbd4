// Workers: announcements, leases, takeover of running gangs, quarantine.

#include "base/hash.h"
#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

void
Core::Handle(const WorkerAnnounced& aEvent)
{
  WorkerIndex index = mWorkers.Find(aEvent.worker);
  bool same = false;
  if (index != kNone) {
    const Worker& old = mWorkers.At(index);
    if (aEvent.incarnation < old.incarnation) {
      mCounters.Add(CounterKind::kRefusedStaleIncarnation);
      return;
    }
    same = aEvent.incarnation == old.incarnation;
  }
  index = mWorkers.Announce(aEvent);
  mLeases.Renew(index, mNow);
  Reconcile(index, aEvent.tasks, same);
  mRepair = true;
  mDirty = true;
}

void
Core::Handle(const WorkerRenewed& aEvent)
{
  WorkerIndex index = mWorkers.Find(aEvent.worker);
  if (index == kNone || !mWorkers.At(index).alive ||
      mWorkers.At(index).incarnation != aEvent.incarnation) {
    mCounters.Add(CounterKind::kRefusedUnknownWorker);
    return;
  }
  mLeases.Renew(index, mNow);
  mWorkers.SetUsage(index, aEvent.usage);
}

// The worker has stopped its tasks by itself or is about to. Its capacity is
// not given away before the margin has passed.
void
Core::LeaseEnded(WorkerIndex aWorker)
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
    if (!MayRun(member.state)) {
      continue;
    }
    member.state = MemberState::kLost;
    if (job.phase != Phase::kStopping) {
      mCounters.Add(CounterKind::kRetryWorkerLost);
      StopGang(task.job,
               job.assigned ? AfterStop::kRequeue : AfterStop::kForget,
               "worker_lost");
    }
    if (!mOptions.switches.waitForLeaseMargin) {
      VacateMember(task.job, task.member, MemberState::kGone);
      FinishIfStopped(task.job);
    }
  }
  std::vector<JobSlot> claimers = mClaimers;
  for (JobSlot slot : claimers) {
    const Job& job = mJobs[slot];
    bool affected =
      std::any_of(job.members.begin(),
                  job.members.end(),
                  [&](const Member& it) { return it.worker == aWorker; });
    if (job.inUse && job.phase == Phase::kClaiming && affected) {
      DropClaims(slot, "worker_lost");
    }
  }
  if (mOptions.switches.keepCells) {
    mGuarantees.DropWorker(aWorker);
  }
  mRepair = true;
  mDirty = true;
}

void
Core::LeaseMarginEnded(WorkerIndex aWorker)
{
  std::vector<TaskRef> tasks = mWorkers.At(aWorker).tasks;
  for (const TaskRef& task : tasks) {
    if (mJobs[task.job].members[task.member].state == MemberState::kLost) {
      VacateMember(task.job, task.member, MemberState::kGone);
      FinishIfStopped(task.job);
    }
  }
}

// Compares what a worker announces with what it should run.
void
Core::Reconcile(WorkerIndex aWorker,
                const std::vector<RunningTask>& aTasks,
                bool aSameIncarnation)
{
  std::vector<TaskRef> expected = mWorkers.At(aWorker).tasks;
  std::vector<TaskRef> listed;
  for (const RunningTask& task : aTasks) {
    auto it = mById.find(task.job);
    JobSlot slot = it == mById.end() ? kNone : it->second;
    uint32_t member = task.member.Value();
    bool known = slot != kNone && mJobs[slot].attempt == task.attempt &&
                 member < mJobs[slot].members.size() &&
                 mJobs[slot].members[member].worker == aWorker &&
                 Occupies(mJobs[slot].members[member].state);
    if (!known) {
      Recover(aWorker, task);
      continue;
    }
    listed.push_back({ slot, member });
    Member& entry = mJobs[slot].members[member];
    if (entry.state == MemberState::kLost) {
      entry.state = MemberState::kStopping;
      Emit(
        SendStop{ AddressOf(mJobs[slot], member), mOptions.stopRetry.Count() });
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
      // The announcement may be older than the prepare. A worker that started
      // anew has no hold and refuses the start.
      continue;
    }
    if (state == MemberState::kLost) {
      VacateMember(task.job, task.member, MemberState::kGone);
      FinishIfStopped(task.job);
      continue;
    }
    // The announcement may be older than a start that is on its way, also when
    // the worker started anew and was prepared before it announced that. So the
    // capacity is free only when the worker has answered a stop.
    if (state == MemberState::kRunning ||
        (state == MemberState::kStarting && !aSameIncarnation)) {
      mCounters.Add(CounterKind::kRetryWorkerLost);
      StopGang(task.job,
               job.assigned ? AfterStop::kRequeue : AfterStop::kForget,
               "task_missing");
    }
  }
}

void
Core::StopUnknown(WorkerIndex aWorker, const RunningTask& aTask)
{
  FencingToken token = std::max(aTask.token, NextToken());
  Emit(SendStop{
    { mWorkers.At(aWorker).id, aTask.job, aTask.attempt, aTask.member, token },
    mOptions.stopRetry.Count() });
}

// A task of an earlier authority. It is counted as running, whether or not its
// job is known yet; whole gangs are taken over.
void
Core::Recover(WorkerIndex aWorker, const RunningTask& aTask)
{
  auto it = mById.find(aTask.job);
  JobSlot slot = it == mById.end() ? kNone : it->second;
  bool waiting = slot == kNone || mJobs[slot].phase == Phase::kRecovering ||
                 (mJobs[slot].phase == Phase::kQueued &&
                  mJobs[slot].attempt <= aTask.attempt);
  bool sound = aTask.gangSize > 0 && aTask.member.Value() < aTask.gangSize &&
               EpochOf(aTask.token) < mEpoch;
  if (!Recovering() || !waiting || !sound) {
    StopUnknown(aWorker, aTask);
    return;
  }
  if (slot == kNone) {
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
              job.members[index].state == MemberState::kGone;
  if (!fits) {
    StopUnknown(aWorker, aTask);
    return;
  }
  AcceleratorMask mask = 0;
  for (uint32_t n : aTask.accelerators) {
    mask |= n < kMaxAccelerators ? AcceleratorMask(1) << n : 0;
  }
  const Worker& worker = mWorkers.At(aWorker);
  mask &= worker.All() & ~worker.busy;
  if (mask == 0) {
    mask = LowestBits(worker.FreeMask(), job.need.accelerators);
  }
  job.members[index] = {
    aWorker, MemberState::kRunning, false, NextToken(), mask
  };
  mWorkers.Occupy(aWorker, job.need, mask, { slot, index }, false);
  mMix.Add(worker.rack, job.longRunning, job.need.accelerators);
  if (job.assigned) {
    mWorkspaces[job.workspace].used += job.need.accelerators;
  } else {
    mWorkers.AddUnknown(aWorker, 1);
  }
  AdoptIfWhole(slot);
}

bool
Core::RecoverSuccess(const TaskReport& aReport)
{
  WorkerIndex worker = mWorkers.Find(aReport.worker);
  if (!Recovering() || worker == kNone ||
      aReport.state != TaskState::kSucceeded ||
      EpochOf(aReport.token) >= mEpoch) {
    return false;
  }
  auto it = mById.find(aReport.job);
  if (it == mById.end() || !mJobs[it->second].assigned) {
    mParked.push_back(aReport);
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
      job.members[index].state != MemberState::kGone) {
    return false;
  }
  job.members[index].worker = worker;
  job.members[index].state = MemberState::kSucceeded;
  AdoptIfWhole(slot);
  return true;
}

void
Core::AdoptIfWhole(JobSlot aSlot)
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
  job.savedAt = mNow;
  SetDeadline(aSlot, Millis::Max());
  mCounters.Add(CounterKind::kAdopted);
  Promote(aSlot);
  WriteJournal(aSlot, JobEventKind::kRunning);
  if (AllMembers(job, MemberState::kSucceeded)) {
    Succeed(aSlot);
  }
}

void
Core::EndRecovery()
{
  for (JobSlot slot = 0; slot < mJobs.size(); ++slot) {
    Job& job = mJobs[slot];
    if (job.inUse && job.phase == Phase::kRecovering) {
      mCounters.Add(CounterKind::kRetryNotWhole);
      // Members that were not reported may run until their lease has ended.
      job.notBefore = mRecoveryEnd + mOptions.leaseMargin;
      StopGang(slot,
               job.assigned ? AfterStop::kRequeue : AfterStop::kForget,
               "not_whole");
    }
  }
  mParked.clear();
  mRepair = true;
  mDirty = true;
}

void
Core::BlameWorker(JobSlot aSlot, WorkerIndex aWorker)
{
  Job& job = mJobs[aSlot];
  mBlame.Failed(Hash64(job.id.Value()), aWorker, job.failedOn);
  if (std::find(job.failedOn.begin(), job.failedOn.end(), aWorker) ==
      job.failedOn.end()) {
    job.failedOn.push_back(aWorker);
  }
  if (mBlame.Probing(aWorker)) {
    mBlame.FailProbe(aWorker, mNow);
  } else if (!mBlame.Suspect(aWorker) ||
             !mBlame.Quarantine(aWorker, mNow, mWorkers.Size())) {
    // The job failed on a second worker, which may clear the first one.
    for (WorkerIndex it : job.failedOn) {
      if (mBlame.Quarantined(it) && !mBlame.Suspect(it)) {
        mBlame.Readmit(it);
        SetQuarantine(it, false, false);
        mCounters.Add(CounterKind::kReadmitted);
      }
    }
    return;
  }
  mCounters.Add(CounterKind::kQuarantined);
  SetQuarantine(aWorker, true, false);
  SetTimer(mBlame.QuarantineEnd(aWorker), TimerKind::kQuarantineEnd, aWorker);
}

void
Core::SetQuarantine(WorkerIndex aWorker, bool aOn, bool aProbing)
{
  if (aOn) {
    mGuarantees.DropWorker(aWorker);
  }
  mWorkers.SetQuarantine(aWorker, aOn, aProbing);
  mRepair = true;
  mDirty = true;
}

void
Core::RepairGuarantees()
{
  mRepair = false;
  if (mOptions.guaranteeMode == GuaranteeMode::kPreemptOnly) {
    return;
  }
  // Guaranteed work that lost its cell first tries to have a cell moved over
  // it; otherwise it becomes preemptible.
  for (JobSlot slot = 0; slot < mJobs.size(); ++slot) {
    Job& job = mJobs[slot];
    if (!job.inUse || !job.guaranteed) {
      continue;
    }
    bool covered = std::all_of(
      job.members.begin(), job.members.end(), [&](const Member& it) {
        bool holds = HoldsOrClaims(it.state);
        return !holds || mGuarantees.Used(job.workspace, it.worker) <=
                           mGuarantees.Reserved(job.workspace, it.worker);
      });
    if (!covered && mOptions.switches.demoteUncovered) {
      Demote(slot);
      Promote(slot);
    }
  }
  mGuarantees.BindMissing(mWorkers);
  UpdateAlarms();
}

} // namespace limpetwood::scheduler
