#include "fleet/change_event.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

std::string_view
StatusName(JobStatus aStatus)
{
  switch (aStatus) {
    case JobStatus::kQueued:
      return "queued";
    case JobStatus::kRunning:
      return "running";
    case JobStatus::kCompleted:
      return "completed";
    case JobStatus::kFailed:
      return "failed";
    case JobStatus::kCancelled:
      break;
  }
  return "cancelled";
}

LogEvent
JobAcceptedEvent(const Job& aJob, const FleetState& aState)
{
  LogEvent event("job_accepted");
  event.Add("job", aJob.id)
    .Add("queue", aJob.queue)
    .Add("workspace", aJob.workspace)
    .Add("priority", aJob.priority)
    .Add("steps", aJob.spec.steps.size())
    .Add("saves_checkpoints",
         std::any_of(aJob.spec.steps.begin(),
                     aJob.spec.steps.end(),
                     [](const StepSpec& it) { return it.savesCheckpoints; }))
    .Add("tasks", aJob.spec.steps.front().tasks)
    .Add("one_rack", aJob.spec.steps.front().prefersOneRack)
    .Add("estimate_ms", aJob.spec.steps.front().estimate)
    .Add("configuration", aState.Version());
  return event;
}

LogEvent
JobEndedEvent(const Job& aJob)
{
  LogEvent event("job_ended");
  event.Add("job", aJob.id)
    .Add("status", StatusName(aJob.status))
    .Add("age_ms", aJob.endedAt - aJob.acceptedAt)
    .Add("active_runs", aJob.activeRuns);
  if (!aJob.reason.empty()) {
    event.Add("reason", aJob.reason);
  }
  return event;
}

LogEvent
RunEndedEvent(const Change& aChange, const FleetState& aState)
{
  LogEvent event("run_ended");
  event.Add("run", RunName(aChange.run))
    .Add("how", EndKindName(aChange.end))
    .Add("worker", aChange.worker);
  if (aChange.end == EndKind::kStopped) {
    event.Add("reason", StopReasonName(aChange.stopReason));
  }
  const Task* task = aState.FindTask(aChange.run.task);
  if (aChange.end == EndKind::kWorkerCrashed && task != nullptr) {
    event.Add("evidence", CrashEvidenceName(aChange.evidence))
      .Add("crashes", task->crashes)
      .Add("crashes_at_start", task->crashesAtStart);
  }
  return event;
}

LogEvent
ZoneEvacuatedEvent(const ZoneId& aZone, const FleetState& aState)
{
  size_t workers = 0;
  size_t runs = 0;
  int64_t remaining = 0;
  for (const auto& [id, worker] : aState.Workers()) {
    if (worker.report.zone == aZone) {
      ++workers;
      runs += worker.active.size();
    }
    if (!aState.IsEvacuated(worker.report.zone)) {
      remaining += worker.report.capacity.accelerators;
    }
  }
  int64_t guaranteed = 0;
  if (aState.Config()) {
    for (const Workspace& it : aState.Config()->workspaces) {
      guaranteed += it.guaranteedAccelerators;
    }
  }
  LogEvent event("zone_evacuated");
  event.Add("zone", aZone)
    .Add("workers", workers)
    .Add("active_runs", runs)
    .Add("remaining_accelerators", remaining)
    .Add("guaranteed_accelerators", guaranteed);
  return event;
}

} // namespace

std::optional<LogEvent>
LogEventFor(const Change& aChange, const FleetState& aState)
{
  switch (aChange.kind) {
    case Change::Kind::kConfiguration:
      return LogEvent("configuration_in_force")
        .Add("version", aState.Version());
    case Change::Kind::kJobAccepted:
    case Change::Kind::kJobEnded: {
      const Job* job = aState.FindJob(aChange.run.task.job);
      if (job == nullptr) {
        return std::nullopt;
      }
      return aChange.kind == Change::Kind::kJobAccepted
               ? JobAcceptedEvent(*job, aState)
               : JobEndedEvent(*job);
    }
    case Change::Kind::kRunEnded:
      if (aChange.end == EndKind::kDone) {
        return std::nullopt;
      }
      return RunEndedEvent(aChange, aState);
    case Change::Kind::kWorkerJoined:
      return LogEvent("worker_joined").Add("worker", aChange.worker);
    case Change::Kind::kWorkerDraining:
      return LogEvent("worker_draining").Add("worker", aChange.worker);
    case Change::Kind::kWorkerGone:
      return LogEvent("worker_gone").Add("worker", aChange.worker);
    case Change::Kind::kZoneEvacuated:
      return ZoneEvacuatedEvent(aChange.zone, aState);
    case Change::Kind::kZoneRestored:
      break;
  }
  return LogEvent("zone_restored").Add("zone", aChange.zone);
}

} // namespace limpetwood::fleet
