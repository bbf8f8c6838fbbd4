#include "fleet/experiment/emulator.h"

#include "fleet/admission.h"

namespace limpetwood::fleet::experiment {

namespace {

constexpr Millis kCommitTime(10);

DispatcherOptions
DispatcherOptionsFor(const EmulatorOptions& aOptions)
{
  DispatcherOptions out;
  out.maxStopTime = aOptions.maxStopTime;
  out.planner = aOptions.planner;
  out.callerCost = aOptions.callerCost;
  out.planner.callerCost = aOptions.callerCost;
  out.planner.reclaimTimeout = aOptions.maxStopTime + Millis(600);
  return out;
}

} // namespace

Emulator::Emulator(EmulatorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mDispatcher(DispatcherOptionsFor(mOptions), mState, FencingToken(1), mNow)
  , mWorkload(mOptions, mBegin)
  , mMetrics(mState, mWorkload)
  , mWorkers(mOptions, mState, mWorkload, mMetrics)
{
  gen::Configuration configuration;
  configuration.version = 1;
  int64_t accelerators =
    static_cast<int64_t>(mOptions.workers) * mOptions.capacity.accelerators;
  for (size_t n = 0; n < mOptions.workspaces; ++n) {
    gen::Workspace workspace;
    workspace.name = Workload::WorkspaceName(n);
    workspace.guaranteedAccelerators =
      accelerators / 2 / static_cast<int64_t>(mOptions.workspaces);
    configuration.workspaces.push_back(workspace);
  }
  gen::Command command;
  command.__set_configuration(configuration);
  mState.Apply(command);
}

Outcomes
Emulator::Run()
{
  Millis end = mBegin + mOptions.duration + mOptions.drainTime;
  for (; mNow < end && !IsDrained(); mNow += kTickInterval) {
    mWorkers.BeginTick(mNow - mBegin, mNow);
    SendRequests();
    mWorkers.Advance(mDispatcher);
    Commit();
    mDispatcher.Tick(mNow, mNow);
    if (mDispatcher.HasCommand()) {
      mProposed.emplace_back(mNow + kCommitTime, mDispatcher.TakeCommand());
    }
    for (const Order& it : mDispatcher.TakeOrders()) {
      mWorkers.Deliver(it, mDispatcher);
    }
    HandleDecisions();
  }
  mMetrics.Finish(mNow);
  mMetrics.Counters().counts.runsActive = mWorkers.ActiveRuns();
  return mMetrics.Result();
}

bool
Emulator::IsDrained() const
{
  return mNow >= mBegin + mOptions.duration && mWorkload.Returning() == 0 &&
         mState.LiveJobs().empty();
}

void
Emulator::SendRequests()
{
  if (mNow < mBegin + mOptions.duration) {
    for (gen::SubmitJob& it : mWorkload.TakeArrivals(mNow)) {
      mMetrics.OnSubmitted(JobId(it.id));
      Submit(std::move(it));
    }
  }
  for (gen::SubmitJob& it : mWorkload.TakeReturns(mNow)) {
    Submit(std::move(it));
  }
  gen::Command command;
  command.atMs = mNow.Count();
  for (const JobId& it : mWorkload.TakeCancellations(mNow)) {
    command.cancelled.push_back(it.Value());
  }
  if (!command.cancelled.empty()) {
    mState.Apply(command);
  }
}

void
Emulator::Submit(gen::SubmitJob aJob)
{
  if (mOptions.admissionEnabled) {
    AdmissionVerdict verdict =
      Admit(FleetState::JobFromSubmission(aJob),
            { .state = &mState,
              .forecast = &mDispatcher.GetForecast(),
              .usable = mDispatcher.UsableResources(mNow) });
    if (!verdict.accepted) {
      JobId id(aJob.id);
      // Callers are told the delay in whole seconds, rounded up.
      Millis retryAfter = Seconds((verdict.retryAfter.Count() + 999) / 1000);
      bool returns = mWorkload.OnRefused(std::move(aJob), retryAfter, mNow);
      mMetrics.OnRefused(id, !returns);
      return;
    }
  }
  gen::Command command;
  command.jobs.push_back(std::move(aJob));
  mState.Apply(command);
  mDispatcher.OnChanged();
}

void
Emulator::HandleDecisions()
{
  for (const LogEvent& it : mDispatcher.TakeEvents()) {
    mMetrics.OnEvent(it);
  }
  for (const Change& it : mState.TakeChanges()) {
    if (it.kind == Change::Kind::kJobEnded) {
      mDispatcher.OnJobEnded(it.run.task.job, mNow);
    }
    mMetrics.OnChange(it, mNow);
  }
}

void
Emulator::Commit()
{
  while (!mProposed.empty() && mProposed.front().first <= mNow) {
    gen::Command command = std::move(mProposed.front().second);
    mProposed.erase(mProposed.begin());
    command.atMs = mNow.Count();
    mState.Apply(command);
    mDispatcher.OnCommitted(command, mNow);
  }
}

} // namespace limpetwood::fleet::experiment
