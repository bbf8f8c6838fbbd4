// Jobs from assignment to their end, configuration changes and alarms.

#include "base/hash.h"
#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

// Cancellations and rechecks handled in one step; the rest waits for the next
// one.
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
    mByWorkspace.emplace(aId, static_cast<uint32_t>(mWorkspaces.size()));
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
  // With equal weights, keeping racks whole has weight 1.
  mPolicy.keepWhole = 2 * mWeights.fragmentation;
  mPolicy.keepApart = 0.25 * mPolicy.keepWhole;
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
  mRepair = true;
  mDirty = true;
  mRecheck = 0;
}

// Compares waiting jobs with a changed configuration, some in each step.
void
Core::RecheckSome()
{
  for (std::size_t i = 0; i < kRechecksPerStep && mRecheck != kNone; ++i) {
    if (mRecheck >= mJobs.size()) {
      mRecheck = kNone;
      return;
    }
    EndIfImpossible(mRecheck++);
  }
}

JobSlot
Core::CreateJob(const JobId& aId)
{
  JobSlot slot = kNone;
  if (mFreeSlots.empty()) {
    slot = static_cast<JobSlot>(mJobs.size());
    mJobs.emplace_back();
  } else {
    slot = mFreeSlots.back();
    mFreeSlots.pop_back();
  }
  // A generation that goes on keeps timers of the slot's former job invalid.
  uint32_t generation = mJobs[slot].generation + 1;
  mJobs[slot] = Job();
  mJobs[slot].generation = generation;
  mJobs[slot].inUse = true;
  mJobs[slot].id = aId;
  mById.emplace(aId, slot);
  return slot;
}

void
Core::Forget(JobSlot aSlot)
{
  mQueue.Remove(aSlot);
  mById.erase(mJobs[aSlot].id);
  uint32_t generation = mJobs[aSlot].generation + 1;
  mJobs[aSlot] = Job();
  mJobs[aSlot].generation = generation;
  mFreeSlots.push_back(aSlot);
}

void
Core::Handle(const JobAssigned& aEvent)
{
  auto it = mById.find(aEvent.job);
  if (it != mById.end() && mJobs[it->second].assigned) {
    mCounters.Add(CounterKind::kRefusedDuplicateJob);
    return;
  }
  bool reported = it != mById.end();
  JobSlot slot = reported ? it->second : CreateJob(aEvent.job);
  Job& job = mJobs[slot];
  job.assigned = true;
  job.spec = aEvent.spec;
  job.spec.payload.clear();
  job.spec.payload.shrink_to_fit();
  job.workspace = WorkspaceIndex(job.spec.workspace);
  job.submittedAt = aEvent.submittedAt;
  job.checkpoint = aEvent.checkpoint;
  Need need = NeedOf(job.spec);
  if (reported) {
    // Its tasks were announced before: count what they really use.
    for (uint32_t i = 0; i < job.members.size(); ++i) {
      Member& member = job.members[i];
      if (!Occupies(member.state)) {
        continue;
      }
      mWorkers.AddUnknown(member.worker, -1);
      mWorkers.Vacate(member.worker, job.need, member.mask, { slot, i });
      if (member.mask == 0) {
        member.mask =
          LowestBits(mWorkers.At(member.worker).FreeMask(), need.accelerators);
      }
      mWorkers.Occupy(member.worker, need, member.mask, { slot, i }, false);
      mMix.Add(
        mWorkers.At(member.worker).rack, job.longRunning, need.accelerators);
      mWorkspaces[job.workspace].used += need.accelerators;
    }
    job.need = need;
    if (job.afterStop == AfterStop::kForget) {
      job.afterStop = AfterStop::kRequeue;
    }
    job.attempt = std::max(job.attempt, aEvent.lastAttempt);
    AdoptIfWhole(slot);
    ReplayParked();
    return;
  }
  job.need = need;
  job.attempt = aEvent.lastAttempt;
  if (job.attempt > Attempt(0) && mOptions.switches.waitForEarlierAttempt) {
    job.notBefore = mRecoveryEnd + mOptions.leaseMargin;
  }
  job.phase = Phase::kQueued;
  EndIfImpossible(slot);
  if (job.phase == Phase::kQueued) {
    Enqueue(slot);
    ReplayParked();
  }
}

// Successes that waited for their job's assignment.
void
Core::ReplayParked()
{
  std::vector<TaskReport> parked = std::move(mParked);
  mParked.clear();
  for (const TaskReport& it : parked) {
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
  mUrgent = mUrgent || job.spec.priority == model::Priority::kUrgent;
  mDirty = true;
}

const char*
Core::WhyImpossible(const Job& aJob) const
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
  if (!mConfigured || !job.inUse || job.phase != Phase::kQueued) {
    return;
  }
  const char* reason = WhyImpossible(job);
  if (*reason != 0) {
    mCounters.Add(mWorkspaces[job.workspace].configured
                    ? CounterKind::kRefusedImpossible
                    : CounterKind::kRefusedUnknownWorkspace);
    End(aSlot, JobEventKind::kImpossible, reason);
  }
}

void
Core::End(JobSlot aSlot, JobEventKind aKind, const char* aReason)
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
  mPending.emplace(job.record, aSlot);
  mDirty = true;
}

void
Core::Handle(const JobCancelled& aEvent)
{
  mCancelled.insert(mCancelled.end(), aEvent.jobs.begin(), aEvent.jobs.end());
}

void
Core::CancelSome()
{
  for (std::size_t i = 0; i < kCancelsPerStep && !mCancelled.empty(); ++i) {
    auto it = mById.find(mCancelled.front());
    mCancelled.pop_front();
    if (it != mById.end()) {
      Cancel(it->second);
    }
  }
}

void
Core::Cancel(JobSlot aSlot)
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
      // A record `starting` that is not durable yet no longer starts anything.
      mPending.erase(mJobs[aSlot].record);
      StopGang(aSlot, AfterStop::kCancel, "cancelled");
      return;
  }
  End(aSlot, JobEventKind::kCancelled, "cancelled");
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
    if (worker != kNone && running && !Recovering()) {
      StopUnknown(
        worker,
        { aEvent.job, aEvent.attempt, aEvent.member, 1, aEvent.token, {} });
    }
    return;
  }
  // Prepared members have not been started; a report about them is a fault of
  // the worker that the start's acknowledgement will show.
  if (!MayRun(mJobs[ref->slot].members[ref->member].state)) {
    mCounters.Add(CounterKind::kRefusedStaleReport);
    return;
  }
  switch (aEvent.state) {
    case TaskState::kRunning:
      MemberRunning(*ref);
      break;
    case TaskState::kSucceeded:
      MemberSucceeded(*ref);
      break;
    case TaskState::kFailed:
      MemberFailed(*ref);
      break;
    case TaskState::kCheckpointed:
      MemberCheckpointed(*ref, aEvent.checkpoint);
      break;
    case TaskState::kStopped:
      VacateMember(ref->slot, ref->member, MemberState::kGone);
      if (mJobs[ref->slot].phase != Phase::kStopping) {
        StopGang(ref->slot, AfterStop::kRequeue, "member_stopped");
      } else {
        FinishIfStopped(ref->slot);
      }
      break;
  }
}

void
Core::MemberSucceeded(MemberRef aRef)
{
  Job& job = mJobs[aRef.slot];
  VacateMember(aRef.slot, aRef.member, MemberState::kSucceeded);
  if (job.phase == Phase::kRecovering) {
    AdoptIfWhole(aRef.slot);
    return;
  }
  if (job.phase == Phase::kStopping) {
    FinishIfStopped(aRef.slot);
    return;
  }
  MemberRunning(aRef);
  if (AllMembers(job, MemberState::kSucceeded)) {
    Succeed(aRef.slot);
  }
}

void
Core::Succeed(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  for (const Member& it : job.members) {
    mBlame.Succeeded(it.worker);
    if (mBlame.Probing(it.worker)) {
      mBlame.Readmit(it.worker);
      SetQuarantine(it.worker, false, false);
      mCounters.Add(CounterKind::kReadmitted);
    }
  }
  // A resumed attempt shows only a part of the run time.
  if (job.attempt == Attempt(1) || job.checkpoint.empty()) {
    mHistory.Record(
      job.workspace, job.spec.declaredRunTime, mNow - job.startedAt);
  }
  End(aSlot, JobEventKind::kSucceeded, "");
}

void
Core::MemberFailed(MemberRef aRef)
{
  Job& job = mJobs[aRef.slot];
  WorkerIndex worker = job.members[aRef.member].worker;
  VacateMember(aRef.slot, aRef.member, MemberState::kGone);
  if (job.phase == Phase::kStopping || !job.assigned) {
    if (job.phase == Phase::kStopping) {
      FinishIfStopped(aRef.slot);
    }
    return;
  }
  mCounters.Add(CounterKind::kRetryMemberFailed);
  ++job.failedAttempts;
  BlameWorker(aRef.slot, worker);
  // Failures on workers that turned out to be faulty do not count against the
  // job; the bound on attempts ends it in any case.
  auto against = std::count_if(
    job.failedOn.begin(), job.failedOn.end(), [&](WorkerIndex it) {
      return !mBlame.Quarantined(it) && !mBlame.Probing(it);
    });
  bool over = against >= mOptions.distinctFailures ||
              job.failedAttempts >= mOptions.maxFailedAttempts;
  job.notBefore = mNow + mOptions.retryPause * job.failedAttempts;
  StopGang(
    aRef.slot, over ? AfterStop::kFail : AfterStop::kRequeue, "member_failed");
}

// The gang's checkpoint is replaced once all members have reported theirs; the
// handle of member 0 stands for all.
void
Core::MemberCheckpointed(MemberRef aRef, const std::string& aHandle)
{
  Job& job = mJobs[aRef.slot];
  if (job.phase != Phase::kRunning && job.phase != Phase::kCheckpointing &&
      job.phase != Phase::kThrottling) {
    return;
  }
  job.members[aRef.member].checkpointed = true;
  if (aRef.member == 0) {
    job.newCheckpoint = aHandle;
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
  job.checkpoint = std::move(job.newCheckpoint);
  job.newCheckpoint.clear();
  job.savedAt = mNow;
  if (job.phase == Phase::kCheckpointing) {
    Throttle(aRef.slot);
  }
}

// One alarm for each kind of guarantee that has no place. Not before the
// workers have had a lease's time to announce themselves.
void
Core::UpdateAlarms()
{
  if (Recovering() || !mConfigured) {
    return;
  }
  std::map<std::string, Alarm> now;
  if (mOptions.guaranteeMode != GuaranteeMode::kPreemptOnly) {
    std::map<std::string, uint32_t> counts;
    for (const Cell& cell : mGuarantees.Cells()) {
      if (cell.Bound()) {
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
          std::to_string(mGuarantees.Missing(mWorkers, cell)) },
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
