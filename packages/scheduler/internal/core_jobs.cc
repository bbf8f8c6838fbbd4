// Job lifecycle from assignment to completion, configuration changes and
// alarms.

#include "base/hash.h"
#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

// Maximum numbers of cancellations and configuration rechecks handled in one
// step; the remaining ones are handled in the next step.
constexpr std::size_t kCancelsPerStep = 256;
constexpr std::size_t kRechecksPerStep = 2000;

std::string
ShapeText(const model::Shape& aShape)
{
  static constexpr const char* kNames[] = { "worker", "rack", "zone" };
  return std::to_string(aShape.accelerators.Value()) + "/" +
         kNames[static_cast<std::size_t>(aShape.topologyScope)];
}

} // namespace

uint32_t
Core::WorkspaceIndex(const WorkspaceId& aId)
{
  auto [it, added] =
    mWorkspaceById.emplace(aId, static_cast<uint32_t>(mWorkspaces.size()));
  if (added) {
    mWorkspaces.emplace_back();
    mWorkspaces.back().id = aId;
  }
  return it->second;
}

void
Core::Handle(const ConfigurationChanged& aEvent)
{
  mConfigured = true;
  mDocument = aEvent.planned.document;
  mDocument.services.clear();
  mZones = aEvent.zones;
  mWeights = mDocument.policy;
  double sum = mWeights.completionTime + mWeights.fragmentation;
  if (sum <= 0) {
    mWeights = {};
    sum = 1;
  }
  mWeights.completionTime /= sum;
  mWeights.fragmentation /= sum;
  // The policy weights sum to 1 here, so with equal weights, the packing weight
  // is 1. The separation weight is a quarter of the packing weight.
  mPlacementPolicy.packingWeight = 2 * mWeights.fragmentation;
  mPlacementPolicy.separationWeight = 0.25 * mPlacementPolicy.packingWeight;
  for (WorkspaceState& it : mWorkspaces) {
    it.configured = false;
    it.quota = 0;
  }
  for (const model::Workspace& it : mDocument.workspaces) {
    WorkspaceState& state = mWorkspaces[WorkspaceIndex(it.id)];
    state.configured = true;
    state.share = it.share;
    state.quota = it.quota.accelerators.Value();
  }
  std::vector<Cell> cells;
  for (const model::PinnedShape& it : aEvent.planned.plan.shapes) {
    if (std::find(mZones.begin(), mZones.end(), it.zone) != mZones.end()) {
      cells.push_back({ WorkspaceIndex(it.workspace), it.zone, it.shape, {} });
    }
  }
  mGuarantees.Configure(std::move(cells));
  mRepairNeeded = true;
  mPassNeeded = true;
  mNextRecheck = 0;
}

// Checks waiting jobs against a changed configuration, a limited number per
// step.
void
Core::RecheckWaitingJobs()
{
  for (std::size_t i = 0; i < kRechecksPerStep && mNextRecheck != kNoIndex;
       ++i) {
    if (mNextRecheck >= mJobs.size()) {
      mNextRecheck = kNoIndex;
      return;
    }
    EndIfImpossible(mNextRecheck++);
  }
}

JobSlot
Core::CreateJob(const JobId& aId)
{
  JobSlot slot = kNoIndex;
  if (mFreeSlots.empty()) {
    slot = static_cast<JobSlot>(mJobs.size());
    mJobs.emplace_back();
  } else {
    slot = mFreeSlots.back();
    mFreeSlots.pop_back();
  }
  // The generation continues across reuse of a slot, so that timers of the
  // previous job stay invalid.
  uint32_t generation = mJobs[slot].generation + 1;
  mJobs[slot] = Job();
  mJobs[slot].generation = generation;
  mJobs[slot].occupied = true;
  mJobs[slot].id = aId;
  mSlotById.emplace(aId, slot);
  return slot;
}

void
Core::RemoveJob(JobSlot aSlot)
{
  mQueue.Remove(aSlot);
  mSlotById.erase(mJobs[aSlot].id);
  uint32_t generation = mJobs[aSlot].generation + 1;
  mJobs[aSlot] = Job();
  mJobs[aSlot].generation = generation;
  mFreeSlots.push_back(aSlot);
}

void
Core::Handle(const JobAssigned& aEvent)
{
  auto it = mSlotById.find(aEvent.job);
  if (it != mSlotById.end() && mJobs[it->second].assigned) {
    mCounters.Add(CounterKind::kRefusedDuplicateJob);
    return;
  }
  bool reported = it != mSlotById.end();
  JobSlot slot = reported ? it->second : CreateJob(aEvent.job);
  Job& job = mJobs[slot];
  job.assigned = true;
  job.spec = aEvent.spec;
  job.spec.payload.clear();
  job.spec.payload.shrink_to_fit();
  job.workspace = WorkspaceIndex(job.spec.workspace);
  job.submittedAt = aEvent.submittedAt;
  job.checkpoint = aEvent.checkpoint;
  job.crashes = aEvent.crashes;
  for (const model::WorkerCrash& it : job.crashes.Crashes()) {
    job.crashedWorkers.insert(it.worker);
  }
  MemberResources need = MemberResourcesOf(job.spec);
  if (reported) {
    // The job's tasks were announced before its assignment; account their
    // actual resource use now.
    for (uint32_t i = 0; i < job.members.size(); ++i) {
      Member& member = job.members[i];
      if (!HoldsCapacity(member.state)) {
        continue;
      }
      mWorkers.AdjustUnassignedTasks(member.worker, -1);
      mWorkers.Release(member.worker, job.need, member.mask, { slot, i });
      if (member.mask == 0) {
        member.mask =
          LowestBits(mWorkers.At(member.worker).FreeMask(), need.accelerators);
      }
      mWorkers.Allocate(member.worker, need, member.mask, { slot, i }, false);
      mRackRunTimeMix.Add(
        mWorkers.At(member.worker).rack, job.longRunning, need.accelerators);
      mWorkspaces[job.workspace].used += need.accelerators;
    }
    job.need = need;
    if (job.afterStop == AfterStop::kRemove) {
      job.afterStop = AfterStop::kRequeue;
    }
    job.attempt = std::max(job.attempt, aEvent.lastAttempt);
    AdoptIfComplete(slot);
    ReplayUnassignedSuccesses();
    return;
  }
  job.need = need;
  job.attempt = aEvent.lastAttempt;
  if (job.attempt > Attempt(0) &&
      mOptions.testSwitches.waitForEarlierAttempts) {
    job.notBefore = mRecoveryEnd + mOptions.leaseMargin;
  }
  job.phase = Phase::kQueued;
  EndIfImpossible(slot);
  if (job.phase == Phase::kQueued) {
    Enqueue(slot);
    ReplayUnassignedSuccesses();
  }
}

// Handles again the successes that were reported before their job was assigned.
void
Core::ReplayUnassignedSuccesses()
{
  std::vector<TaskReport> successes = std::move(mUnassignedSuccesses);
  mUnassignedSuccesses.clear();
  for (const TaskReport& it : successes) {
    Handle(it);
  }
}

void
Core::Enqueue(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  job.phase = Phase::kQueued;
  job.guaranteed = false;
  job.members.clear();
  SetDeadline(aSlot, Millis::Max());
  mQueue.Push(aSlot);
  if (job.notBefore > mNow) {
    SetTimer(job.notBefore, TimerKind::kPass);
  }
  mUrgentWaiting =
    mUrgentWaiting || job.spec.priority == model::Priority::kUrgent;
  mPassNeeded = true;
}

const char*
Core::ImpossibleReason(const Job& aJob) const
{
  const WorkspaceState& workspace = mWorkspaces[aJob.workspace];
  if (!workspace.configured) {
    return "unknown_workspace";
  }
  if (aJob.spec.TotalAccelerators().Value() > workspace.quota) {
    return "exceeds_quota";
  }
  uint64_t onWorker = 0;
  uint64_t onRack = 0;
  uint64_t onZone = 0;
  for (const ZoneId& zone : mZones) {
    uint64_t sum = 0;
    for (const model::Rack& rack : mDocument.racks) {
      if (rack.zone != zone || rack.workers == 0) {
        continue;
      }
      uint64_t fits = CountFits(rack.acceleratorsPerWorker.Value(),
                                rack.coresPerWorker,
                                static_cast<int64_t>(rack.memoryMbPerWorker),
                                aJob.need);
      onWorker = std::max(onWorker, fits);
      onRack = std::max(onRack, fits * rack.workers);
      sum += fits * rack.workers;
    }
    onZone = std::max(onZone, sum);
  }
  if (onWorker == 0) {
    return "member_exceeds_workers";
  }
  uint32_t members = aJob.spec.members;
  if (aJob.spec.topologyScope == model::TopologyScope::kWorker &&
      onWorker < members) {
    return "gang_exceeds_workers";
  }
  if (aJob.spec.topologyScope == model::TopologyScope::kRack &&
      onRack < members) {
    return "gang_exceeds_racks";
  }
  return onZone < members ? "gang_exceeds_zones" : "";
}

void
Core::EndIfImpossible(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  if (!mConfigured || !job.occupied || job.phase != Phase::kQueued) {
    return;
  }
  const char* reason = ImpossibleReason(job);
  if (*reason != 0) {
    mCounters.Add(mWorkspaces[job.workspace].configured
                    ? CounterKind::kRefusedImpossible
                    : CounterKind::kRefusedUnknownWorkspace);
    EndJob(aSlot, JobEventKind::kImpossible, reason);
  }
}

void
Core::EndJob(JobSlot aSlot, JobEventKind aKind, const char* aReason)
{
  Job& job = mJobs[aSlot];
  mQueue.Remove(aSlot);
  job.phase = Phase::kEnding;
  job.reason = aReason;
  SetDeadline(aSlot, Millis::Max());
  switch (aKind) {
    case JobEventKind::kSucceeded:
      job.finalState = model::JobState::kSucceeded;
      mCounters.Add(CounterKind::kSucceeded);
      break;
    case JobEventKind::kFailed:
      job.finalState = model::JobState::kFailed;
      mCounters.Add(CounterKind::kFailed);
      break;
    case JobEventKind::kCancelled:
      job.finalState = model::JobState::kCancelled;
      mCounters.Add(CounterKind::kCancelled);
      break;
    default:
      job.finalState = model::JobState::kImpossible;
      break;
  }
  job.record = WriteJournal(aSlot, aKind);
  mPendingRecords.emplace(job.record, aSlot);
  mPassNeeded = true;
}

void
Core::Handle(const JobCancelled& aEvent)
{
  mPendingCancellations.insert(
    mPendingCancellations.end(), aEvent.jobs.begin(), aEvent.jobs.end());
}

void
Core::CancelPendingJobs()
{
  for (std::size_t i = 0; i < kCancelsPerStep && !mPendingCancellations.empty();
       ++i) {
    auto it = mSlotById.find(mPendingCancellations.front());
    mPendingCancellations.pop_front();
    if (it != mSlotById.end()) {
      CancelJob(it->second);
    }
  }
}

void
Core::CancelJob(JobSlot aSlot)
{
  switch (mJobs[aSlot].phase) {
    case Phase::kEnding:
      return;
    case Phase::kClaiming:
      DropClaims(aSlot, "cancelled");
      break;
    case Phase::kQueued:
      break;
    default:
      // If the `kStarting` record is still pending, it must no longer start the
      // gang.
      mPendingRecords.erase(mJobs[aSlot].record);
      StopGang(aSlot, AfterStop::kCancel, "cancelled");
      return;
  }
  EndJob(aSlot, JobEventKind::kCancelled, "cancelled");
}

void
Core::Handle(const TaskReport& aEvent)
{
  auto ref = FindMember(aEvent.worker,
                        aEvent.job,
                        aEvent.attempt,
                        aEvent.member,
                        aEvent.token,
                        false);
  if (!ref && RecoverSuccess(aEvent)) {
    return;
  }
  if (!ref) {
    mCounters.Add(CounterKind::kRefusedStaleReport);
    WorkerIndex worker = mWorkers.Find(aEvent.worker);
    bool running = aEvent.state == TaskState::kRunning;
    if (worker != kNoIndex && running && !IsRecovering()) {
      StopUnknownTask(
        worker,
        { aEvent.job, aEvent.attempt, aEvent.member, 1, aEvent.token, {} });
    }
    return;
  }
  // Members that are only prepared cannot report a task state. Ignore such
  // reports from a faulty worker; the acknowledgement of the start will show
  // the actual state.
  if (!MayBeExecuting(mJobs[ref->slot].members[ref->member].state)) {
    mCounters.Add(CounterKind::kRefusedStaleReport);
    return;
  }
  switch (aEvent.state) {
    case TaskState::kRunning:
      OnMemberStarted(*ref);
      break;
    case TaskState::kSucceeded:
      OnMemberSucceeded(*ref);
      break;
    case TaskState::kFailed:
      OnMemberFailed(*ref);
      break;
    case TaskState::kCheckpointed:
      OnMemberCheckpointed(*ref, aEvent.checkpoint);
      break;
    case TaskState::kStopped:
      AddUnconfirmedTask(*ref);
      ReleaseMember(ref->slot, ref->member, MemberState::kReleased);
      if (mJobs[ref->slot].phase != Phase::kStopping) {
        StopGang(ref->slot,
                 mJobs[ref->slot].assigned ? AfterStop::kRequeue
                                           : AfterStop::kRemove,
                 "member_stopped");
      } else {
        FinishIfStopped(ref->slot);
      }
      break;
  }
}

void
Core::OnMemberSucceeded(MemberRef aRef)
{
  Job& job = mJobs[aRef.slot];
  ReleaseMember(aRef.slot, aRef.member, MemberState::kSucceeded);
  if (job.phase == Phase::kRecovering) {
    AdoptIfComplete(aRef.slot);
    return;
  }
  if (job.phase == Phase::kStopping) {
    FinishIfStopped(aRef.slot);
    return;
  }
  OnMemberStarted(aRef);
  if (AllMembers(job, MemberState::kSucceeded)) {
    Succeed(aRef.slot);
  }
}

void
Core::Succeed(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  for (const Member& it : job.members) {
    mFaultDetector.RecordSuccess(it.worker);
    if (mFaultDetector.IsProbing(it.worker)) {
      mFaultDetector.Readmit(it.worker);
      SetQuarantine(it.worker, false, false);
      mCounters.Add(CounterKind::kReadmitted);
    }
  }
  // A resumed attempt covers only part of the job's run time.
  if (job.attempt == Attempt(1) || job.checkpoint.empty()) {
    mRunTimeHistory.Record(
      job.workspace, job.spec.declaredRunTime, mNow - job.startedAt);
  }
  EndJob(aSlot, JobEventKind::kSucceeded, "");
}

void
Core::OnMemberFailed(MemberRef aRef)
{
  Job& job = mJobs[aRef.slot];
  WorkerIndex worker = job.members[aRef.member].worker;
  ReleaseMember(aRef.slot, aRef.member, MemberState::kReleased);
  if (job.phase == Phase::kStopping || !job.assigned) {
    if (job.phase == Phase::kStopping) {
      FinishIfStopped(aRef.slot);
    }
    return;
  }
  mCounters.Add(CounterKind::kRetryMemberFailed);
  ++job.failedAttempts;
  RecordFailureOnWorker(aRef.slot, worker);
  // Failures on workers found to be faulty do not count towards the limit on
  // workers; the limit on attempts applies in any case.
  auto countedFailures = std::count_if(
    job.failedWorkers.begin(), job.failedWorkers.end(), [&](WorkerIndex it) {
      return !mFaultDetector.IsQuarantined(it) && !mFaultDetector.IsProbing(it);
    });
  bool limitReached = countedFailures >= mOptions.maxFailedWorkers ||
                      job.failedAttempts >= mOptions.maxFailedAttempts;
  job.notBefore = mNow + mOptions.retryDelay * job.failedAttempts;
  StopGang(aRef.slot,
           limitReached ? AfterStop::kFail : AfterStop::kRequeue,
           "member_failed");
}

// The gang's checkpoint is replaced when all members have reported one; the
// handle of member 0 identifies the whole checkpoint.
void
Core::OnMemberCheckpointed(MemberRef aRef, const std::string& aHandle)
{
  Job& job = mJobs[aRef.slot];
  if (job.phase != Phase::kRunning && job.phase != Phase::kCheckpointing &&
      job.phase != Phase::kThrottling) {
    return;
  }
  job.members[aRef.member].checkpointed = true;
  if (aRef.member == 0) {
    job.pendingCheckpoint = aHandle;
  }
  bool all =
    std::all_of(job.members.begin(), job.members.end(), [](const Member& it) {
      return it.checkpointed || it.state == MemberState::kSucceeded;
    });
  if (!all) {
    return;
  }
  for (Member& it : job.members) {
    it.checkpointed = false;
  }
  job.checkpoint = std::move(job.pendingCheckpoint);
  job.pendingCheckpoint.clear();
  job.resumePointAt = mNow;
  if (job.phase == Phase::kCheckpointing) {
    Throttle(aRef.slot);
  }
}

// Updates the alarms, one per kind of guarantee with unbound cells. Alarms
// start after the recovery phase, which gives workers one lease duration to
// announce themselves.
void
Core::UpdateAlarms()
{
  if (IsRecovering() || !mConfigured) {
    return;
  }
  std::map<std::string, Alarm> now;
  if (mOptions.guaranteeMode != GuaranteeMode::kPreemptOnly) {
    std::map<std::string, uint32_t> counts;
    for (const Cell& cell : mGuarantees.Cells()) {
      if (cell.IsBound()) {
        continue;
      }
      const std::string& workspace = mWorkspaces[cell.workspace].id.Value();
      std::string shape = ShapeText(cell.shape);
      std::string key = workspace;
      key.append(" ").append(shape).append(" ").append(cell.zone.Value());
      Alarm alarm;
      alarm.reason = "guarantee_unsatisfied";
      alarm.values = {
        { "guarantee", key },
        { "workspace", workspace },
        { "shape", shape },
        { "zone", cell.zone.Value() },
        { "instances", std::to_string(++counts[key]) },
        { "missingAccelerators",
          std::to_string(mGuarantees.MissingAccelerators(mWorkers, cell)) },
      };
      now[key] = std::move(alarm);
    }
  }
  for (auto& [key, alarm] : mAlarms) {
    if (now.count(key) == 0) {
      alarm.active = false;
      Emit(alarm);
    }
  }
  for (auto& [key, alarm] : now) {
    auto it = mAlarms.find(key);
    if (it == mAlarms.end() || it->second.values != alarm.values) {
      Emit(alarm);
    }
  }
  mAlarms = std::move(now);
}

} // namespace limpetwood::scheduler
