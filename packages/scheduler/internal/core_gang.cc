// The phases of an attempt: claim, prepare, journal, start, run, preempt, stop.

#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

TaskAddress
Core::AddressOf(const Job& aJob, uint32_t aMember) const
{
  const Member& member = aJob.members[aMember];
  return { mWorkers.At(member.worker).id,
           aJob.id,
           aJob.attempt,
           MemberIndex(aMember),
           member.token };
}

std::optional<Core::MemberRef>
Core::FindMember(const WorkerId& aWorker,
                 const JobId& aJob,
                 Attempt aAttempt,
                 MemberIndex aMember,
                 FencingToken aToken,
                 bool aExactToken)
{
  auto it = mSlotById.find(aJob);
  if (it == mSlotById.end()) {
    return std::nullopt;
  }
  const Job& job = mJobs[it->second];
  if (job.attempt != aAttempt || aMember.Value() >= job.members.size()) {
    return std::nullopt;
  }
  const Member& member = job.members[aMember.Value()];
  if (!HoldsCapacity(member.state) ||
      mWorkers.At(member.worker).id != aWorker) {
    return std::nullopt;
  }
  // A member adopted from an earlier authority may still report with the token
  // it was started with.
  bool current = aExactToken ? aToken == member.token : aToken <= member.token;
  if (!current) {
    return std::nullopt;
  }
  return MemberRef{ it->second, aMember.Value() };
}

// Claims the capacity of all members and preempts the victims. The gang is
// prepared as soon as all claimed capacity is free.
void
Core::BeginAttempt(JobSlot aSlot,
                   Placement aWorkers,
                   std::vector<JobSlot> aVictims,
                   bool aGuaranteed)
{
  // Sort the members by worker, as required by `CanAllocateClaims`.
  std::sort(aWorkers.begin(), aWorkers.end());
  Job& job = mJobs[aSlot];
  mQueue.Remove(aSlot);
  job.members.assign(aWorkers.size(), Member());
  job.guaranteed = aGuaranteed && job.need.accelerators > 0;
  job.backfilled = false;
  job.longRunning = IsLongRunning(job);
  job.reason = "";
  for (std::size_t i = 0; i < aWorkers.size(); ++i) {
    WorkerIndex worker = aWorkers[i];
    AcceleratorMask free = mWorkers.At(worker).FreeMask();
    AcceleratorMask mask = LowestBits(free, job.need.accelerators);
    if (CountBits(mask) < job.need.accelerators) {
      AcceleratorMask later =
        FreeAcceleratorsAfter(mWorkers, mJobs, worker, aVictims);
      mask |=
        LowestBits(later & ~free, job.need.accelerators - CountBits(mask));
    }
    job.members[i] = { worker, MemberState::kClaimed, false, {}, mask, {} };
    if (mOptions.testSwitches.claimCapacity) {
      mWorkers.Claim(worker, job.need, mask);
    }
    if (job.guaranteed) {
      mGuarantees.AddUse(job.workspace, worker, job.need.accelerators);
    }
    mWorkspaces[job.workspace].used += job.need.accelerators;
    if (worker < mReservationOfWorker.size() &&
        mReservationOfWorker[worker] != 0 &&
        mReservations[mReservationOfWorker[worker] - 1U].job != aSlot) {
      job.backfilled = true;
    }
  }
  if (job.backfilled) {
    mCounters.Add(CounterKind::kBackfilled);
  }
  job.phase = Phase::kClaiming;
  job.victims = std::move(aVictims);
  SetDeadline(aSlot, Millis::Max());
  for (JobSlot victim : job.victims) {
    Preempt(victim, aSlot);
  }
  if (job.victims.empty() && CanAllocateClaims(job)) {
    Prepare(aSlot);
  } else {
    mClaimingJobs.push_back(aSlot);
  }
}

bool
Core::CanAllocateClaims(const Job& aJob) const
{
  // Members are sorted by worker; check the members of each worker together.
  for (std::size_t i = 0; i < aJob.members.size();) {
    MemberResources sum;
    AcceleratorMask mask = 0;
    WorkerIndex worker = aJob.members[i].worker;
    for (; i < aJob.members.size() && aJob.members[i].worker == worker; ++i) {
      sum.cores += aJob.need.cores;
      sum.memoryMb += aJob.need.memoryMb;
      mask |= aJob.members[i].mask;
    }
    if (!mWorkers.CanAllocateClaim(worker, sum, mask)) {
      return false;
    }
  }
  return true;
}

void
Core::PrepareClaimingJobs()
{
  for (std::size_t i = 0; i < mClaimingJobs.size();) {
    JobSlot slot = mClaimingJobs[i];
    bool waits = mJobs[slot].occupied && mJobs[slot].phase == Phase::kClaiming;
    if (waits && !CanAllocateClaims(mJobs[slot])) {
      ++i;
      continue;
    }
    mClaimingJobs.erase(mClaimingJobs.begin() + static_cast<std::ptrdiff_t>(i));
    if (waits) {
      Prepare(slot);
    }
  }
}

void
Core::Prepare(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  job.attempt = job.attempt.Next();
  job.phase = Phase::kPreparing;
  job.victims.clear();
  auto size = static_cast<uint32_t>(job.members.size());
  for (uint32_t i = 0; i < size; ++i) {
    Member& member = job.members[i];
    member.state = MemberState::kPreparing;
    member.token = NextToken();
    mWorkers.Allocate(member.worker, job.need, member.mask, { aSlot, i }, true);
    mRackRunTimeMix.Add(
      mWorkers.At(member.worker).rack, job.longRunning, job.need.accelerators);
    Emit(SendPrepare{ AddressOf(job, i),
                      size,
                      MaskToIndices(member.mask),
                      job.need.cores,
                      job.need.memoryMb,
                      mOptions.workerLease.Count() });
  }
  SetDeadline(aSlot, mNow + mOptions.prepareTimeout);
}

void
Core::Handle(const PrepareAcknowledged& aEvent)
{
  auto ref = FindMember(aEvent.worker,
                        aEvent.job,
                        aEvent.attempt,
                        aEvent.member,
                        aEvent.token,
                        true);
  if (!ref) {
    mCounters.Add(CounterKind::kRefusedStaleReport);
    return;
  }
  Job& job = mJobs[ref->slot];
  Member& member = job.members[ref->member];
  if (job.phase != Phase::kPreparing ||
      member.state != MemberState::kPreparing) {
    return;
  }
  member.state = MemberState::kPrepared;
  if (!AllMembers(job, MemberState::kPrepared)) {
    return;
  }
  job.phase = Phase::kJournaling;
  // Workers keep prepared resources for one lease duration. If the record takes
  // longer than half of it, a start could arrive after the resources were
  // released.
  SetDeadline(ref->slot, mNow + mOptions.workerLease / 2);
  job.record = WriteJournal(ref->slot, JobEventKind::kStarting);
  mPendingRecords.emplace(job.record, ref->slot);
  if (!mOptions.testSwitches.journalBeforeStart) {
    mPendingRecords.erase(job.record);
    StartAll(ref->slot);
  }
}

void
Core::Handle(const PrepareRefused& aEvent)
{
  auto ref = FindMember(aEvent.worker,
                        aEvent.job,
                        aEvent.attempt,
                        aEvent.member,
                        aEvent.token,
                        true);
  if (!ref) {
    mCounters.Add(CounterKind::kRefusedStaleReport);
    return;
  }
  Phase phase = mJobs[ref->slot].phase;
  if (phase == Phase::kPreparing || phase == Phase::kJournaling) {
    Rollback(ref->slot, CounterKind::kRetryPrepareRefused, "prepare_refused");
  }
}

void
Core::StartAll(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  job.phase = Phase::kStarting;
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    job.members[i].state = MemberState::kStarting;
    job.members[i].startedAt = mNow;
    Emit(SendStart{ AddressOf(job, i),
                    MaskToIndices(job.members[i].mask),
                    mOptions.workerLease.Count(),
                    job.checkpoint });
  }
  SetDeadline(aSlot, mNow + mOptions.startTimeout);
}

void
Core::Handle(const StartAcknowledged& aEvent)
{
  auto ref = FindMember(aEvent.worker,
                        aEvent.job,
                        aEvent.attempt,
                        aEvent.member,
                        aEvent.token,
                        true);
  if (!ref) {
    mCounters.Add(CounterKind::kRefusedStaleReport);
    return;
  }
  OnMemberStarted(*ref);
}

void
Core::OnMemberStarted(MemberRef aRef)
{
  Job& job = mJobs[aRef.slot];
  if (job.members[aRef.member].state == MemberState::kStarting) {
    job.members[aRef.member].state = MemberState::kRunning;
  }
  bool all =
    std::all_of(job.members.begin(), job.members.end(), [](const Member& it) {
      return it.state == MemberState::kRunning ||
             it.state == MemberState::kSucceeded;
    });
  if (job.phase != Phase::kStarting || !all) {
    return;
  }
  job.phase = Phase::kRunning;
  job.startedAt = mNow;
  job.resumePointAt = mNow;
  job.relocating = false;
  SetDeadline(aRef.slot, Millis::Max());
  WriteJournal(aRef.slot, JobEventKind::kRunning);
  mCounters.Add(CounterKind::kStarted);
  WatchForSoundRun(aRef.slot);
  for (const Member& it : job.members) {
    if (mFaultDetector.IsProbing(it.worker)) {
      // A probe lasts at most as long as the first quarantine.
      SetTimer(
        mNow + mOptions.initialQuarantine, TimerKind::kProbeEnd, aRef.slot);
    }
  }
}

// Abandons an attempt of which no member was started.
void
Core::Rollback(JobSlot aSlot, CounterKind aCounter, const char* aReason)
{
  Job& job = mJobs[aSlot];
  bool startRecordPending = job.phase == Phase::kJournaling;
  MakePreemptible(aSlot);
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    Emit(SendRelease{ AddressOf(job, i) });
    ReleaseMember(aSlot, i, MemberState::kReleased);
  }
  mCounters.Add(aCounter);
  job.reason = aReason;
  if (startRecordPending) {
    mPendingRecords.erase(job.record);
    WriteJournal(aSlot, JobEventKind::kStopped);
  }
  job.notBefore = mNow + mOptions.retryDelay;
  Enqueue(aSlot);
}

// Abandons an attempt that still waits for its victims. Victims that no other
// attempt needs and that are not throttled yet continue to run.
void
Core::DropClaims(JobSlot aSlot, const char* aReason)
{
  Job& job = mJobs[aSlot];
  MakePreemptible(aSlot);
  for (Member& it : job.members) {
    mWorkers.Unclaim(it.worker, job.need, it.mask);
    mWorkspaces[job.workspace].used -= job.need.accelerators;
    it.state = MemberState::kReleased;
  }
  job.members.clear();
  std::vector<JobSlot> victims = std::move(job.victims);
  job.victims.clear();
  job.reason = aReason;
  Enqueue(aSlot);
  for (JobSlot slot : victims) {
    Job& victim = mJobs[slot];
    bool needed =
      std::any_of(mClaimingJobs.begin(), mClaimingJobs.end(), [&](JobSlot it) {
        const std::vector<JobSlot>& others = mJobs[it].victims;
        return it != aSlot &&
               std::find(others.begin(), others.end(), slot) != others.end();
      });
    if (!needed && victim.occupied && victim.phase == Phase::kCheckpointing) {
      victim.phase = Phase::kRunning;
      victim.preemptor = kNoIndex;
      SetDeadline(slot, Millis::Max());
      mCounters.Add(CounterKind::kPreemptionCancelled);
    }
  }
}

void
Core::StopGang(JobSlot aSlot, AfterStop aAfter, const char* aReason)
{
  Job& job = mJobs[aSlot];
  if (job.phase == Phase::kStopping) {
    // Cancellation overrides all other outcomes; any outcome overrides
    // requeueing.
    if (aAfter == AfterStop::kCancel || job.afterStop == AfterStop::kRequeue) {
      job.afterStop = aAfter;
    }
    return;
  }
  MakePreemptible(aSlot);
  job.phase = Phase::kStopping;
  job.afterStop = aAfter;
  job.reason = aReason;
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    Member& member = job.members[i];
    if (member.state == MemberState::kPreparing ||
        member.state == MemberState::kPrepared) {
      Emit(SendRelease{ AddressOf(job, i) });
      ReleaseMember(aSlot, i, MemberState::kReleased);
    } else if (MayBeExecuting(member.state) &&
               member.state != MemberState::kLeaseLost) {
      bool alive = mWorkers.At(member.worker).alive;
      member.state = alive ? MemberState::kStopping : MemberState::kLeaseLost;
    }
  }
  SendStops(aSlot);
  FinishIfStopped(aSlot);
}

void
Core::SendStops(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    if (job.members[i].state == MemberState::kStopping) {
      Emit(SendStop{ AddressOf(job, i), mOptions.stopRetryInterval.Count() });
    }
  }
  SetDeadline(aSlot, mNow + mOptions.stopRetryInterval);
}

void
Core::FinishIfStopped(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  bool anyHeld =
    std::any_of(job.members.begin(), job.members.end(), [](const Member& it) {
      return HoldsCapacity(it.state);
    });
  if (job.phase != Phase::kStopping || anyHeld) {
    return;
  }
  bool succeeded = job.assigned && !job.members.empty() &&
                   AllMembers(job, MemberState::kSucceeded);
  job.members.clear();
  job.preemptor = kNoIndex;
  if (succeeded) {
    Succeed(aSlot);
    return;
  }
  switch (job.afterStop) {
    case AfterStop::kCancel:
      EndJob(aSlot, JobEventKind::kCancelled, "cancelled");
      break;
    case AfterStop::kFail:
      EndJob(aSlot, JobEventKind::kFailed, job.reason);
      break;
    case AfterStop::kRemove:
      RemoveJob(aSlot);
      break;
    case AfterStop::kRequeue:
      WriteJournal(aSlot, JobEventKind::kStopped);
      Enqueue(aSlot);
      break;
  }
}

void
Core::ReleaseMember(JobSlot aSlot, uint32_t aMember, MemberState aState)
{
  Job& job = mJobs[aSlot];
  Member& member = job.members[aMember];
  if (job.guaranteed) {
    mGuarantees.RemoveUse(job.workspace, member.worker, job.need.accelerators);
  }
  mWorkers.Release(member.worker, job.need, member.mask, { aSlot, aMember });
  mRackRunTimeMix.Add(mWorkers.At(member.worker).rack,
                      job.longRunning,
                      -static_cast<int64_t>(job.need.accelerators));
  if (job.assigned) {
    mWorkspaces[job.workspace].used -= job.need.accelerators;
  } else {
    mWorkers.AdjustUnassignedTasks(member.worker, -1);
  }
  member.state = aState;
  mPassNeeded = true;
}

void
Core::MakePreemptible(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  if (!job.guaranteed) {
    return;
  }
  for (const Member& it : job.members) {
    if (HoldsOrClaimsCapacity(it.state)) {
      mGuarantees.RemoveUse(job.workspace, it.worker, job.need.accelerators);
    }
  }
  job.guaranteed = false;
}

bool
Core::MakeGuaranteedIfCovered(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  if (job.guaranteed || job.need.accelerators == 0 ||
      job.workspace == kNoIndex) {
    return false;
  }
  Placement placement;
  for (const Member& it : job.members) {
    if (HoldsOrClaimsCapacity(it.state)) {
      placement.push_back(it.worker);
    }
  }
  std::vector<CellPart> cover =
    AcceleratorsByWorker(placement, job.need.accelerators);
  bool inside =
    std::all_of(cover.begin(), cover.end(), [&](const CellPart& it) {
      return mGuarantees.AvailableAccelerators(job.workspace, it.worker) >=
             it.count;
    });
  if (!inside) {
    bool moved = false;
    for (std::size_t cell : MovableCells(job)) {
      if (mGuarantees.MoveToCover(mWorkers, cell, cover)) {
        moved = true;
        break;
      }
    }
    if (!moved) {
      return false;
    }
  }
  for (const CellPart& it : cover) {
    mGuarantees.AddUse(job.workspace, it.worker, it.count);
  }
  job.guaranteed = true;
  return true;
}

void
Core::Preempt(JobSlot aSlot, JobSlot aPreemptor)
{
  Job& job = mJobs[aSlot];
  bool urgent = mJobs[aPreemptor].spec.priority == model::Priority::kUrgent;
  Millis length =
    urgent ? mOptions.urgentCheckpointDeadline : mOptions.checkpointDeadline;
  job.preemptor = aPreemptor;
  if (job.phase == Phase::kCheckpointing) {
    // An urgent preemptor shortens a checkpoint that is already in progress.
    if (job.deadline > mNow + length) {
      SetDeadline(aSlot, mNow + length);
    }
    return;
  }
  if (job.phase != Phase::kRunning) {
    return;
  }
  MakePreemptible(aSlot);
  job.reason = "preempted";
  if (!job.spec.checkpointable) {
    Throttle(aSlot);
    return;
  }
  job.phase = Phase::kCheckpointing;
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    Member& member = job.members[i];
    member.checkpointed = member.state == MemberState::kSucceeded;
    if (member.state == MemberState::kRunning) {
      Emit(SendCheckpoint{ AddressOf(job, i), length.Count() });
    }
  }
  SetDeadline(aSlot, mNow + length);
}

void
Core::Throttle(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  job.phase = Phase::kThrottling;
  for (uint32_t i = 0; i < job.members.size(); ++i) {
    if (job.members[i].state == MemberState::kRunning) {
      Emit(
        SendThrottle{ AddressOf(job, i), mOptions.throttleDuration.Count() });
    }
  }
  SetDeadline(aSlot, mNow + mOptions.throttleDuration);
}

void
Core::OnJobDeadline(JobSlot aSlot)
{
  switch (mJobs[aSlot].phase) {
    case Phase::kPreparing:
      Rollback(aSlot, CounterKind::kRetryPrepareTimeout, "prepare_timeout");
      break;
    case Phase::kJournaling:
      Rollback(aSlot, CounterKind::kRetryPrepareTimeout, "journal_timeout");
      break;
    case Phase::kStarting:
      if (mOptions.testSwitches.stopPartialStart) {
        mCounters.Add(CounterKind::kRetryStartTimeout);
        mJobs[aSlot].notBefore = mNow + mOptions.retryDelay;
        StopGang(aSlot, AfterStop::kRequeue, "start_timeout");
      }
      break;
    case Phase::kCheckpointing:
      Throttle(aSlot);
      break;
    case Phase::kThrottling:
      StopGang(aSlot, AfterStop::kRequeue, "preempted");
      break;
    case Phase::kStopping:
      SendStops(aSlot);
      break;
    default:
      break;
  }
}

} // namespace limpetwood::scheduler
