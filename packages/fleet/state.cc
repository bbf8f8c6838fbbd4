#include "fleet/state.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// If more changes accumulate because the caller does not take them, as on
// followers, all are discarded.
constexpr size_t kMaxChanges = 4096;

// A job is given up when one of its tasks has crashed this many workers: when
// the last one ran nothing else, when the task had just started on each, or in
// all. The platform requires two and allows at most five; the last limit leaves
// one for a crash that no leader saw.
constexpr uint32_t kMaxProvenCrashes = 2;
constexpr uint32_t kMaxCrashesAtStart = 3;
constexpr uint32_t kMaxCrashes = 4;
// Number of crashes after which a task is tried apart although it had not just
// started on any of the workers.
constexpr uint32_t kSuspectCrashes = 2;

RunRef
RunOf(const gen::TaskRef& aTask, int32_t aRun)
{
  return { .task = FromWire(aTask),
           .attempt = Attempt(static_cast<uint32_t>(aRun)) };
}

} // namespace

bool
IsSuspect(const Task& aTask)
{
  return aTask.crashesAtStart > 0 || aTask.crashes >= kSuspectCrashes;
}

bool
Job::StepDone(uint32_t aOccurrence, uint32_t aStep) const
{
  if (aOccurrence >= occurrences.size()) {
    return false;
  }
  const Step& step = occurrences[aOccurrence].steps[aStep];
  return step.gangDone || step.done == step.tasks.size();
}

void
FleetState::Apply(const gen::Command& aCommand, uint64_t aIndex)
{
  Millis at(aCommand.atMs);
  if (aCommand.__isset.configuration) {
    ApplyConfiguration(aCommand.configuration);
  }
  for (const gen::ZoneOrder& it : aCommand.zoneOrders) {
    ApplyZoneOrder(it, aIndex, at);
  }
  for (const gen::WorkerReport& it : aCommand.workers) {
    ApplyWorker(it);
  }
  for (const gen::WorkerGone& it : aCommand.gone) {
    ApplyRemoval(it, at);
  }
  for (const gen::RunEnd& it : aCommand.ends) {
    ApplyEnd(RunOf(it.task, it.run),
             WorkerId(it.worker),
             static_cast<EndKind>(it.kind),
             it.checkpoint,
             at,
             static_cast<CrashEvidence>(it.evidence),
             static_cast<StopReason>(it.stopReason));
  }
  for (const gen::SubmitJob& it : aCommand.jobs) {
    ApplyJob(it);
  }
  for (const std::string& it : aCommand.cancelled) {
    ApplyCancel(JobId(it), at);
  }
  for (const gen::RefusedJob& it : aCommand.refused) {
    ApplyRefusal(it, at);
  }
  for (const gen::RunStart& it : aCommand.starts) {
    ApplyStart(it);
  }
  for (const std::string& it : aCommand.forgotten) {
    ApplyForget(JobId(it));
  }
  for (const gen::WorkerSpeed& it : aCommand.speeds) {
    ApplySpeed(it);
  }
  if (mChanges.size() > kMaxChanges) {
    mChanges.clear();
  }
}

void
FleetState::ApplyConfiguration(const gen::Configuration& aConfiguration)
{
  if (static_cast<uint64_t>(aConfiguration.version) <= Version().Value()) {
    return;
  }
  mConfiguration = FromWire(aConfiguration);
  RebuildKeyIndex();
  RecordChange({ .kind = Change::Kind::kConfiguration });
}

void
FleetState::RebuildKeyIndex()
{
  mWorkspaceByKey.clear();
  if (!mConfiguration) {
    return;
  }
  for (size_t n = 0; n < mConfiguration->workspaces.size(); ++n) {
    for (const std::string& it : mConfiguration->workspaces[n].keys) {
      mWorkspaceByKey[it] = n;
    }
  }
}

Job
FleetState::JobFromSubmission(const gen::SubmitJob& aJob)
{
  Job job;
  job.id = JobId(aJob.id);
  job.queue = QueueId(aJob.queue);
  job.workspace = WorkspaceId(aJob.workspace);
  job.service = ServiceId(aJob.serviceId);
  job.spec = FromWire(aJob.spec);
  job.acceptedAt = Millis(aJob.acceptedAtMs);
  job.priority = aJob.priority;
  job.maxAttempts = static_cast<uint32_t>(aJob.maxAttempts);
  job.stretch = aJob.stretch;
  job.targetLatency = Millis(aJob.targetLatencyMs);
  return job;
}

void
FleetState::ApplyJob(const gen::SubmitJob& aJob)
{
  Job job = JobFromSubmission(aJob);
  if (IsRefused(job.id, job.workspace, job.queue)) {
    return;
  }
  auto [it, inserted] = mJobs.try_emplace(job.id, std::move(job));
  if (inserted) {
    UpdateLive(it->second);
    RecordChange(
      { .kind = Change::Kind::kJobAccepted, .run = { { it->first }, {} } });
  }
}

void
FleetState::ApplyCancel(const JobId& aId, Millis aAt)
{
  auto it = mJobs.find(aId);
  if (it != mJobs.end() && !it->second.Ended()) {
    EndJob(it->second, JobStatus::kCancelled, {}, aAt);
  }
}

void
FleetState::ApplyRefusal(const gen::RefusedJob& aJob, Millis aAt)
{
  JobId id(aJob.id);
  WorkspaceId workspace(aJob.workspace);
  auto it = mJobs.find(id);
  bool known = it != mJobs.end() &&
               (it->second.workspace == workspace ||
                (workspace.empty() && IsPublicQueue(it->second.queue)));
  if (known) {
    // The job was accepted between the proposal and its commit.
    ApplyCancel(id, aAt);
  } else {
    mRefusedJobs.emplace(std::move(id), std::move(workspace));
  }
}

bool
FleetState::IsPublicQueue(const QueueId& aQueue) const
{
  return mConfiguration &&
         std::any_of(
           mConfiguration->queues.begin(),
           mConfiguration->queues.end(),
           [&](const Queue& it) { return it.name == aQueue && it.isPublic; });
}

bool
FleetState::IsRefused(const JobId& aJob,
                      const WorkspaceId& aWorkspace,
                      const QueueId& aQueue) const
{
  return mRefusedJobs.contains({ aJob, aWorkspace }) ||
         (mRefusedJobs.contains({ aJob, WorkspaceId() }) &&
          IsPublicQueue(aQueue));
}

bool
FleetState::IsRefused(const JobId& aJob) const
{
  auto it = mRefusedJobs.lower_bound({ aJob, WorkspaceId() });
  return it != mRefusedJobs.end() && it->first == aJob;
}

uint64_t
FleetState::ZoneRevisionOf(const ZoneId& aZone) const
{
  auto it = mZoneRevisions.find(aZone);
  return it == mZoneRevisions.end() ? 0 : it->second;
}

void
FleetState::ApplyZoneOrder(const gen::ZoneOrder& aOrder,
                           uint64_t aIndex,
                           Millis aAt)
{
  ZoneId zone(aOrder.zone);
  mZoneRevision = aIndex;
  mZoneRevisions[zone] = aIndex;
  bool changed = aOrder.evacuate ? mEvacuatedZones.emplace(zone, aAt).second
                                 : mEvacuatedZones.erase(zone) > 0;
  if (changed) {
    RecordChange({ .kind = aOrder.evacuate ? Change::Kind::kZoneEvacuated
                                           : Change::Kind::kZoneRestored,
                   .zone = zone });
  }
}

void
FleetState::ApplyWorker(const gen::WorkerReport& aReport)
{
  WorkerReport report = FromWire(aReport);
  auto it = mWorkers.find(report.id);
  if (it == mWorkers.end()) {
    RecordChange({ .kind = Change::Kind::kWorkerJoined, .worker = report.id });
    mWorkers[report.id].report = std::move(report);
    return;
  }
  WorkerReport& stored = it->second.report;
  if (report.incarnation < stored.incarnation ||
      (report.incarnation == stored.incarnation &&
       report.sequence < stored.sequence)) {
    return;
  }
  // Runs stay active across incarnations until the leader has queried the new
  // one, because a start in flight may have reached it.
  if (report.incarnation != stored.incarnation) {
    RecordChange({ .kind = Change::Kind::kWorkerJoined, .worker = report.id });
    it->second.speed.reset();
  }
  if (report.draining && !stored.draining) {
    RecordChange(
      { .kind = Change::Kind::kWorkerDraining, .worker = report.id });
  }
  stored = std::move(report);
}

void
FleetState::ApplyRemoval(const gen::WorkerGone& aGone, Millis aAt)
{
  WorkerId id(aGone.id);
  auto it = mWorkers.find(id);
  if (it == mWorkers.end() || it->second.report.incarnation.Value() !=
                                static_cast<uint64_t>(aGone.incarnation)) {
    return;
  }
  EndRunsOf(id, aAt);
  mWorkers.erase(id);
  RecordChange({ .kind = Change::Kind::kWorkerGone, .worker = id });
}

void
FleetState::EndRunsOf(const WorkerId& aId, Millis aAt)
{
  std::set<RunRef> lost = mWorkers[aId].active;
  for (const RunRef& it : lost) {
    ApplyEnd(it, aId, EndKind::kLost, {}, aAt);
  }
}

Occurrence&
FleetState::OccurrenceOf(Job& aJob, uint32_t aOccurrence)
{
  while (aJob.occurrences.size() <= aOccurrence) {
    Occurrence& added = aJob.occurrences.emplace_back();
    for (const StepSpec& it : aJob.spec.steps) {
      added.steps.emplace_back().tasks.resize(it.tasks);
    }
  }
  return aJob.occurrences[aOccurrence];
}

Task*
FleetState::MutableTask(const TaskRef& aTask, Job*& aJob, Step*& aStep)
{
  auto it = mJobs.find(aTask.job);
  if (it == mJobs.end() || aTask.step >= it->second.spec.steps.size() ||
      aTask.occurrence >= it->second.spec.OccurrenceCount() ||
      aTask.index >= it->second.spec.steps[aTask.step].tasks) {
    return nullptr;
  }
  aJob = &it->second;
  aStep = &OccurrenceOf(*aJob, aTask.occurrence).steps[aTask.step];
  return &aStep->tasks[aTask.index];
}

void
FleetState::ApplyStart(const gen::RunStart& aStart)
{
  RunRef run = RunOf(aStart.task, aStart.run);
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = MutableTask(run.task, job, step);
  auto worker = mWorkers.find(WorkerId(aStart.worker));
  bool applicable = task != nullptr && worker != mWorkers.end() &&
                    !IsEvacuated(worker->second.report.zone) && !job->Ended() &&
                    task->phase == Task::Phase::kWaiting && !step->gangDone &&
                    run.attempt > task->attempt &&
                    worker->second.report.incarnation.Value() ==
                      static_cast<uint64_t>(aStart.incarnation);
  if (!applicable) {
    return;
  }
  task->phase = Task::Phase::kActive;
  task->attempt = run.attempt;
  task->worker = worker->first;
  task->incarnation = worker->second.report.incarnation;
  step->lastAttempt = std::max(step->lastAttempt, run.attempt);
  ++step->active;
  ++job->activeRuns;
  worker->second.used += job->spec.steps[run.task.step].CountedResources();
  worker->second.active.insert(run);
  if (job->status == JobStatus::kQueued) {
    job->status = JobStatus::kRunning;
  }
}

void
FleetState::ApplyEnd(const RunRef& aRun,
                     const WorkerId& aWorker,
                     EndKind aKind,
                     const std::string& aCheckpoint,
                     Millis aAt,
                     CrashEvidence aEvidence,
                     StopReason aReason)
{
  Job* job = nullptr;
  Step* step = nullptr;
  Task* task = MutableTask(aRun.task, job, step);
  if (task == nullptr || task->phase != Task::Phase::kActive ||
      task->attempt != aRun.attempt || task->worker != aWorker) {
    return;
  }
  const StepSpec& spec = job->spec.steps[aRun.task.step];
  auto worker = mWorkers.find(aWorker);
  if (worker != mWorkers.end() && worker->second.active.erase(aRun) > 0) {
    worker->second.used -= spec.CountedResources();
  }
  task->phase = Task::Phase::kWaiting;
  task->worker = WorkerId();
  task->incarnation = Incarnation();
  --step->active;
  --job->activeRuns;
  if (!aCheckpoint.empty()) {
    for (Task& it : step->tasks) {
      if (spec.gang || &it == task) {
        it.checkpoint = aCheckpoint;
      }
    }
  }
  RecordChange({ .kind = Change::Kind::kRunEnded,
                 .run = aRun,
                 .worker = aWorker,
                 .end = aKind,
                 .evidence = aEvidence,
                 .stopReason = aReason });
  // An earlier leader may have stopped the run because it was slow.
  task->movedForPace = task->movedForPace || aReason == StopReason::kSlow ||
                       aReason == StopReason::kEarlierLeader;
  job->begun = job->begun || aKind != EndKind::kRejected;
  if (!job->begun && job->activeRuns == 0 &&
      job->status == JobStatus::kRunning) {
    job->status = JobStatus::kQueued;
  }
  if (aKind == EndKind::kWorkerCrashed) {
    RecordCrash(*job, *task, aEvidence, aAt);
  } else {
    RecordEnd(*job, *step, *task, spec, aRun, aKind, aAt);
  }
  UpdateLive(*job);
}

void
FleetState::RecordEnd(Job& aJob,
                      Step& aStep,
                      Task& aTask,
                      const StepSpec& aSpec,
                      const RunRef& aRun,
                      EndKind aKind,
                      Millis aAt)
{
  if (aKind == EndKind::kDone && !aSpec.longRunning) {
    aTask.phase = Task::Phase::kDone;
    ++aStep.done;
    aStep.gangDone = aStep.gangDone || aSpec.gang;
    CheckCompletion(aJob, aRun.task.occurrence, aAt);
    return;
  }
  // Long-running tasks restart until the job ends, so their failures do not
  // count.
  if (aKind != EndKind::kFailed || aSpec.longRunning) {
    return;
  }
  ++aTask.failures;
  uint32_t failures = aTask.failures;
  if (aSpec.gang) {
    if (aRun.attempt > aStep.lastFailedAttempt) {
      aStep.lastFailedAttempt = aRun.attempt;
      ++aStep.gangFailures;
    }
    failures = aStep.gangFailures;
  }
  if (failures >= aJob.maxAttempts && !aJob.Ended()) {
    EndJob(aJob, JobStatus::kFailed, "attempts exhausted", aAt);
  }
}

void
FleetState::RecordCrash(Job& aJob,
                        Task& aTask,
                        CrashEvidence aEvidence,
                        Millis aAt)
{
  if (aEvidence == CrashEvidence::kExonerated) {
    aTask.crashes = 0;
    aTask.crashesAtStart = 0;
    return;
  }
  ++aTask.crashes;
  aTask.crashesAtStart += aEvidence == CrashEvidence::kNone ? 0 : 1;
  bool proven = aEvidence == CrashEvidence::kAloneAtStart &&
                aTask.crashesAtStart >= kMaxProvenCrashes;
  if (aJob.Ended() || !(proven || aTask.crashesAtStart >= kMaxCrashesAtStart ||
                        aTask.crashes >= kMaxCrashes)) {
    return;
  }
  EndJob(aJob,
         JobStatus::kFailed,
         "a task crashed " + std::to_string(aTask.crashes) + " workers",
         aAt);
}

void
FleetState::CheckCompletion(Job& aJob, uint32_t aOccurrence, Millis aAt)
{
  for (uint32_t n = 0; n < aJob.spec.steps.size(); ++n) {
    if (!aJob.StepDone(aOccurrence, n)) {
      return;
    }
  }
  // Count from scratch: the later members of a gang end in an occurrence that
  // was already counted.
  uint32_t done = 0;
  for (uint32_t n = 0; n < aJob.occurrences.size(); ++n) {
    bool all = true;
    for (uint32_t step = 0; step < aJob.spec.steps.size(); ++step) {
      all = all && aJob.StepDone(n, step);
    }
    done += all ? 1 : 0;
  }
  aJob.occurrencesDone = done;
  if (done == aJob.spec.OccurrenceCount() && !aJob.Ended()) {
    EndJob(aJob, JobStatus::kCompleted, {}, aAt);
  }
}

void
FleetState::EndJob(Job& aJob,
                   JobStatus aStatus,
                   std::string aReason,
                   Millis aAt)
{
  aJob.status = aStatus;
  aJob.reason = std::move(aReason);
  aJob.endedAt = aAt;
  UpdateLive(aJob);
  RecordChange({ .kind = Change::Kind::kJobEnded, .run = { { aJob.id }, {} } });
}

void
FleetState::ApplyForget(const JobId& aId)
{
  std::erase_if(mRefusedJobs,
                [&](const auto& aEntry) { return aEntry.first == aId; });
  auto it = mJobs.find(aId);
  if (it != mJobs.end() && it->second.Ended() && it->second.activeRuns == 0) {
    mLiveJobs.erase(aId);
    mJobs.erase(it);
  }
}

void
FleetState::ApplySpeed(const gen::WorkerSpeed& aSpeed)
{
  auto it = mWorkers.find(WorkerId(aSpeed.worker));
  if (it != mWorkers.end() && it->second.report.incarnation.Value() ==
                                static_cast<uint64_t>(aSpeed.incarnation)) {
    it->second.speed = std::max(aSpeed.permille, 1) / 1000.0;
  }
}

void
FleetState::UpdateLive(const Job& aJob)
{
  if (aJob.Ended() && aJob.activeRuns == 0) {
    mLiveJobs.erase(aJob.id);
  } else {
    mLiveJobs.insert(aJob.id);
  }
}

ConfigVersion
FleetState::Version() const
{
  return mConfiguration ? mConfiguration->version : ConfigVersion();
}

const Queue*
FleetState::FindQueue(std::string_view aHost, std::string_view aPath) const
{
  const Queue* best = nullptr;
  if (mConfiguration) {
    for (const Queue& it : mConfiguration->queues) {
      if (it.host == aHost && aPath.starts_with(it.prefix) &&
          (best == nullptr || it.prefix.size() > best->prefix.size())) {
        best = &it;
      }
    }
  }
  return best;
}

const Workspace*
FleetState::FindWorkspaceByKey(std::string_view aKey) const
{
  auto it = mWorkspaceByKey.find(aKey);
  return it == mWorkspaceByKey.end() ? nullptr
                                     : &mConfiguration->workspaces[it->second];
}

const Workspace*
FleetState::FindWorkspace(const WorkspaceId& aName) const
{
  if (mConfiguration) {
    for (const Workspace& it : mConfiguration->workspaces) {
      if (it.name == aName) {
        return &it;
      }
    }
  }
  return nullptr;
}

const Job*
FleetState::FindJob(const JobId& aId) const
{
  auto it = mJobs.find(aId);
  return it == mJobs.end() ? nullptr : &it->second;
}

const Worker*
FleetState::FindWorker(const WorkerId& aId) const
{
  auto it = mWorkers.find(aId);
  return it == mWorkers.end() ? nullptr : &it->second;
}

const Task*
FleetState::FindTask(const TaskRef& aTask) const
{
  const Job* job = FindJob(aTask.job);
  if (job == nullptr || aTask.occurrence >= job->occurrences.size() ||
      aTask.step >= job->spec.steps.size()) {
    return nullptr;
  }
  const Step& step = job->occurrences[aTask.occurrence].steps[aTask.step];
  return aTask.index < step.tasks.size() ? &step.tasks[aTask.index] : nullptr;
}

bool
FleetState::IsActive(const RunRef& aRun, const WorkerId& aWorker) const
{
  const Task* task = FindTask(aRun.task);
  return task != nullptr && task->phase == Task::Phase::kActive &&
         task->attempt == aRun.attempt && task->worker == aWorker;
}

std::vector<Change>
FleetState::TakeChanges()
{
  return std::exchange(mChanges, {});
}

} // namespace limpetwood::fleet
