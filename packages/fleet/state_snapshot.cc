// Conversion of the scheduler state to and from snapshots.

#include "fleet/state.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::fleet {

namespace {

gen::SubmitJob
SubmissionOf(const Job& aJob)
{
  gen::SubmitJob out;
  out.id = aJob.id.Value();
  out.queue = aJob.queue.Value();
  out.workspace = aJob.workspace.Value();
  out.serviceId = aJob.service.Value();
  out.spec = ToWire(aJob.spec);
  out.acceptedAtMs = aJob.acceptedAt.Count();
  out.priority = aJob.priority;
  out.maxAttempts = static_cast<int32_t>(aJob.maxAttempts);
  out.stretch = aJob.stretch;
  out.targetLatencyMs = aJob.targetLatency.Count();
  return out;
}

gen::StepSnapshot
WriteStep(const Step& aStep)
{
  gen::StepSnapshot out;
  for (const Task& it : aStep.tasks) {
    gen::TaskSnapshot task;
    task.phase = static_cast<int32_t>(it.phase);
    task.run = static_cast<int32_t>(it.attempt.Value());
    task.failures = static_cast<int32_t>(it.failures);
    task.worker = it.worker.Value();
    task.checkpoint = it.checkpoint;
    task.crashes = static_cast<int32_t>(it.crashes);
    task.crashesAtStart = static_cast<int32_t>(it.crashesAtStart);
    task.incarnation = static_cast<int64_t>(it.incarnation.Value());
    task.movedForPace = it.movedForPace;
    out.tasks.push_back(std::move(task));
  }
  out.gangFailures = static_cast<int32_t>(aStep.gangFailures);
  out.lastFailedRun = static_cast<int32_t>(aStep.lastFailedAttempt.Value());
  out.lastRun = static_cast<int32_t>(aStep.lastAttempt.Value());
  return out;
}

Step
ReadStep(const gen::StepSnapshot& aStep, const StepSpec& aSpec)
{
  Step out;
  for (const gen::TaskSnapshot& it : aStep.tasks) {
    Task& task = out.tasks.emplace_back();
    task.phase = static_cast<Task::Phase>(it.phase);
    task.attempt = Attempt(static_cast<uint32_t>(it.run));
    task.failures = static_cast<uint32_t>(it.failures);
    task.worker = WorkerId(it.worker);
    task.checkpoint = it.checkpoint;
    task.crashes = static_cast<uint32_t>(it.crashes);
    task.crashesAtStart = static_cast<uint32_t>(it.crashesAtStart);
    task.incarnation = Incarnation(static_cast<uint64_t>(it.incarnation));
    task.movedForPace = it.movedForPace;
    out.done += task.phase == Task::Phase::kDone ? 1 : 0;
    out.active += task.phase == Task::Phase::kActive ? 1 : 0;
  }
  out.gangFailures = static_cast<uint32_t>(aStep.gangFailures);
  out.lastFailedAttempt = Attempt(static_cast<uint32_t>(aStep.lastFailedRun));
  out.lastAttempt = Attempt(static_cast<uint32_t>(aStep.lastRun));
  out.gangDone = aSpec.gang && out.done > 0;
  return out;
}

// Whether the occurrences of all jobs have the steps and tasks that the jobs
// specify, so that every index is valid.
bool
HasValidShape(const gen::StateSnapshot& aSnapshot)
{
  for (const gen::JobSnapshot& job : aSnapshot.jobs) {
    const auto& steps = job.job.spec.steps;
    for (const gen::OccurrenceSnapshot& occurrence : job.occurrences) {
      if (occurrence.steps.size() != steps.size()) {
        return false;
      }
      for (size_t n = 0; n < steps.size(); ++n) {
        auto tasks = static_cast<size_t>(std::max(steps[n].tasks, 0));
        if (occurrence.steps[n].tasks.size() != tasks) {
          return false;
        }
      }
    }
  }
  return true;
}

} // namespace

gen::StateSnapshot
WriteState(const FleetState& aState)
{
  gen::StateSnapshot out;
  if (aState.mConfiguration) {
    out.__set_configuration(ToWire(*aState.mConfiguration));
  }
  for (const auto& [id, job] : aState.mJobs) {
    gen::JobSnapshot& added = out.jobs.emplace_back();
    added.job = SubmissionOf(job);
    added.status = static_cast<int32_t>(job.status);
    added.started = job.begun;
    added.endedAtMs = job.endedAt.Count();
    added.reason = job.reason;
    for (const Occurrence& occurrence : job.occurrences) {
      gen::OccurrenceSnapshot& written = added.occurrences.emplace_back();
      for (const Step& step : occurrence.steps) {
        written.steps.push_back(WriteStep(step));
      }
    }
  }
  for (const auto& [id, workspace] : aState.mRefusedJobs) {
    gen::RefusedJob& refused = out.refused.emplace_back();
    refused.id = id.Value();
    refused.workspace = workspace.Value();
  }
  for (const auto& [zone, since] : aState.mEvacuatedZones) {
    gen::EvacuatedZone& evacuated = out.evacuatedZones.emplace_back();
    evacuated.zone = zone.Value();
    evacuated.sinceMs = since.Count();
  }
  out.zoneRevision = static_cast<int64_t>(aState.mZoneRevision);
  for (const auto& [zone, revision] : aState.mZoneRevisions) {
    gen::ZoneRevision& written = out.zoneRevisions.emplace_back();
    written.zone = zone.Value();
    written.revision = static_cast<int64_t>(revision);
  }
  for (const auto& [id, worker] : aState.mWorkers) {
    out.workers.push_back(ToWire(worker.report));
    if (worker.speed) {
      gen::WorkerSpeed& speed = out.speeds.emplace_back();
      speed.worker = id.Value();
      speed.incarnation =
        static_cast<int64_t>(worker.report.incarnation.Value());
      speed.permille = static_cast<int32_t>(std::lround(*worker.speed * 1000));
    }
  }
  return out;
}

void
ReadState(const gen::StateSnapshot& aSnapshot, FleetState& aState)
{
  gen::Command base;
  base.workers = aSnapshot.workers;
  if (aSnapshot.__isset.configuration) {
    base.__set_configuration(aSnapshot.configuration);
  }
  for (const gen::JobSnapshot& it : aSnapshot.jobs) {
    base.jobs.push_back(it.job);
  }
  base.refused = aSnapshot.refused;
  base.speeds = aSnapshot.speeds;
  aState.Apply(base);
  for (const gen::EvacuatedZone& it : aSnapshot.evacuatedZones) {
    aState.mEvacuatedZones[ZoneId(it.zone)] = Millis(it.sinceMs);
  }
  aState.mZoneRevision = static_cast<uint64_t>(aSnapshot.zoneRevision);
  for (const gen::ZoneRevision& it : aSnapshot.zoneRevisions) {
    aState.mZoneRevisions[ZoneId(it.zone)] = static_cast<uint64_t>(it.revision);
  }
  for (const gen::JobSnapshot& it : aSnapshot.jobs) {
    Job& job = aState.mJobs[JobId(it.job.id)];
    job.status = static_cast<JobStatus>(it.status);
    job.begun = it.started;
    job.endedAt = Millis(it.endedAtMs);
    job.reason = it.reason;
    uint32_t number = 0;
    for (const gen::OccurrenceSnapshot& occurrence : it.occurrences) {
      Occurrence& read = job.occurrences.emplace_back();
      uint32_t index = 0;
      for (const gen::StepSnapshot& step : occurrence.steps) {
        const StepSpec& spec = job.spec.steps[index];
        read.steps.push_back(ReadStep(step, spec));
        const Step& added = read.steps.back();
        job.activeRuns += added.active;
        for (uint32_t n = 0; n < added.tasks.size(); ++n) {
          const Task& task = added.tasks[n];
          auto worker = aState.mWorkers.find(task.worker);
          if (task.phase == Task::Phase::kActive &&
              worker != aState.mWorkers.end()) {
            worker->second.active.insert(
              { { job.id, number, index, n }, task.attempt });
            worker->second.used += spec.CountedResources();
          }
        }
        ++index;
      }
      bool done = true;
      for (uint32_t n = 0; n < job.spec.steps.size(); ++n) {
        done = done && job.StepDone(number, n);
      }
      job.occurrencesDone += done ? 1 : 0;
      ++number;
    }
    aState.UpdateLive(job);
  }
  aState.mChanges.clear();
}

std::string
FleetState::TakeSnapshot() const
{
  return Encode(WriteState(*this));
}

bool
FleetState::Restore(std::string_view aSnapshot)
{
  auto decoded = Decode<gen::StateSnapshot>(aSnapshot);
  if (!decoded || !HasValidShape(decoded.Value())) {
    return false;
  }
  FleetState read;
  ReadState(decoded.Value(), read);
  *this = std::move(read);
  return true;
}

} // namespace limpetwood::fleet
