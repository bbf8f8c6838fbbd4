// A planner and its state in virtual time, without a dispatcher: tests start
// runs directly and request plans.

#pragma once

#include "fleet/planner.h"

#include <map>
#include <string>
#include <string_view>

namespace limpetwood::fleet::testing {

inline const ServiceId kService("service");

class PlannerFleet
{
public:
  explicit PlannerFleet(PlannerOptions aOptions = {})
    : mOptions(aOptions)
    , mPlanner(aOptions)
  {
  }

  void AddWorker(const std::string& aId,
                 const std::string& aRack,
                 const std::string& aKind = "a")
  {
    WorkerReport report;
    report.id = WorkerId(aId);
    report.incarnation = Incarnation(1);
    report.service = kService;
    report.rack = RackId(aRack);
    report.labels = { aKind, aRack };
    report.capacity = { .cpu = 64'000,
                        .memoryMb = 64'000,
                        .accelerators = mAccelerators };
    gen::Command command;
    command.workers.push_back(ToWire(report));
    mState.Apply(command);
  }

  // Removes the worker for good; its runs end as lost.
  void RemoveWorker(const std::string& aId)
  {
    gen::WorkerGone gone;
    gone.id = aId;
    gone.incarnation = 1;
    gen::Command command;
    command.gone.push_back(gone);
    mState.Apply(command);
  }

  // Replaces the planner by one that remembers nothing, as a change of leader
  // does.
  void ReplacePlanner() { mPlanner = Planner(mOptions); }

  // Accelerators of each worker that is added later.
  void SetAccelerators(int64_t aCount) { mAccelerators = aCount; }

  void Guarantee(int64_t aAccelerators)
  {
    gen::Configuration configuration;
    configuration.version = 1;
    gen::Workspace workspace;
    workspace.name = "workspace";
    workspace.guaranteedAccelerators = aAccelerators;
    configuration.workspaces.push_back(workspace);
    gen::Command command;
    command.__set_configuration(configuration);
    mState.Apply(command);
  }

  void Submit(const std::string& aId, const StepSpec& aStep, int32_t aPriority)
  {
    JobSpec spec;
    spec.steps = { aStep };
    gen::SubmitJob job;
    job.id = aId;
    job.queue = "queue-" + std::to_string(aPriority);
    job.workspace = "workspace";
    job.serviceId = kService.Value();
    job.spec = ToWire(spec);
    job.acceptedAtMs = mNow.Count();
    job.priority = aPriority;
    job.maxAttempts = 3;
    job.stretch = 2;
    job.targetLatencyMs = 1000;
    gen::Command command;
    command.jobs.push_back(std::move(job));
    mState.Apply(command);
  }

  // Records that a run of the job failed on the worker.
  void RecordFailure(const std::string& aId, const std::string& aWorker)
  {
    mPlanner.OnRunFailed(JobId(aId), WorkerId(aWorker));
  }

  // Starts a run that ends after `aRemaining`; preempting it loses `aLostWork`.
  void StartRun(const std::string& aId,
                uint32_t aIndex,
                const std::string& aWorker,
                Millis aLostWork,
                Millis aRemaining,
                uint32_t aAttempt = 1)
  {
    gen::RunStart start;
    start.task = ToWire(TaskRef{ .job = JobId(aId), .index = aIndex });
    start.run = static_cast<int32_t>(aAttempt);
    start.worker = aWorker;
    start.incarnation = 1;
    gen::Command command;
    command.starts.push_back(start);
    mState.Apply(command);
    RunRef run{ .task = { .job = JobId(aId), .index = aIndex },
                .attempt = Attempt(aAttempt) };
    mLostWork[run] = aLostWork;
    mRemaining[run] = aRemaining;
  }

  // Starts a task of the job and ends it by a crash of the worker.
  void CrashUnder(const std::string& aId,
                  const std::string& aWorker,
                  uint32_t aIndex = 0)
  {
    StartRun(aId, aIndex, aWorker, Millis(0), Millis(0));
    gen::RunEnd end;
    end.task = ToWire(TaskRef{ .job = JobId(aId), .index = aIndex });
    end.run = 1;
    end.worker = aWorker;
    end.kind = static_cast<int32_t>(EndKind::kWorkerCrashed);
    end.evidence = static_cast<int32_t>(CrashEvidence::kAtStart);
    gen::Command command;
    command.ends.push_back(end);
    mState.Apply(command);
  }

  // Ends a run as stopped.
  void StopRun(const RunRef& aRun, const std::string& aWorker)
  {
    gen::RunEnd end;
    end.task = ToWire(aRun.task);
    end.run = static_cast<int32_t>(aRun.attempt.Value());
    end.worker = aWorker;
    end.kind = static_cast<int32_t>(EndKind::kStopped);
    gen::Command command;
    command.ends.push_back(end);
    mState.Apply(command);
  }

  const FleetState& State() const { return mState; }

  Plan Decide() { return mPlanner.Decide(View()); }

  // The worker is not a candidate, for this reason.
  void MakeUnusable(const std::string& aId, std::string_view aReason)
  {
    mUnusable[WorkerId(aId)] = aReason;
  }

  FleetView View()
  {
    FleetView view{ .state = &mState,
                    .candidates = {},
                    .costOf =
                      [this](const WorkerId&, const RunRef& aRun) {
                        return RunCost{ .lostWork = mLostWork[aRun] };
                      },
                    .remainingTimeOf =
                      [this](const WorkerId&, const RunRef& aRun) {
                        return mRemaining[aRun];
                      },
                    .unusableReasonOf =
                      [this](const WorkerId& aWorker) {
                        return mUnusable.at(aWorker);
                      },
                    .forecast = &mForecast,
                    .now = mNow,
                    .wallNow = mNow };
    for (const auto& [id, worker] : mState.Workers()) {
      if (mUnusable.contains(id)) {
        continue;
      }
      view.candidates.push_back(
        { .id = id,
          .service = worker.report.service,
          .report = &worker.report,
          .available = worker.report.capacity - worker.used });
    }
    NumberRacks(view.candidates);
    return view;
  }

  void Advance(Millis aTime) { mNow += aTime; }

private:
  FleetState mState;
  PlannerOptions mOptions;
  Planner mPlanner;
  Forecast mForecast;
  Millis mNow{ 1'000'000 };
  int64_t mAccelerators = 8;
  std::map<RunRef, Millis> mLostWork;
  std::map<RunRef, Millis> mRemaining;
  std::map<WorkerId, std::string_view> mUnusable;
};

// A step of tasks with an expected time of 4 s.
inline StepSpec
StepOf(uint32_t aTasks, int64_t aAccelerators, bool aGang)
{
  StepSpec step;
  step.tasks = aTasks;
  step.gang = aGang;
  step.resources = { .cpu = 1000,
                     .memoryMb = 1000,
                     .accelerators = aAccelerators };
  step.estimate = Millis(4000);
  return step;
}

inline std::string
JobName(int aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

} // namespace limpetwood::fleet::testing
