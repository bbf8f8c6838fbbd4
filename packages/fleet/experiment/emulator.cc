#include "fleet/experiment/emulator.h"

namespace limpetwood::fleet::experiment {

namespace {

constexpr Millis kCommitTime(10);

DispatcherOptions
DispatcherOptionsFor(const EmulatorOptions& aOptions)
{
  DispatcherOptions out;
  out.maxStopTime = aOptions.maxStopTime;
  out.planner = aOptions.planner;
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
  gen::Workspace workspace;
  workspace.name = Workload::kWorkspace;
  workspace.guaranteedAccelerators =
    static_cast<int64_t>(mOptions.workers) * mOptions.capacity.accelerators / 2;
  configuration.workspaces.push_back(workspace);
  gen::Command command;
  command.__set_configuration(configuration);
  mState.Apply(command);
}

Outcomes
Emulator::Run()
{
  Millis end = mBegin + mOptions.duration + mOptions.drainTime;
  for (; mNow < end; mNow += kTickInterval) {
    mWorkers.BeginTick(mNow - mBegin, mNow);
    if (mNow < mBegin + mOptions.duration) {
      SubmitArrivals();
    }
    mWorkers.Advance(mDispatcher);
    Commit();
    mDispatcher.Tick(mNow, mNow);
    if (mDispatcher.HasCommand()) {
      mProposed.emplace_back(mNow + kCommitTime, mDispatcher.TakeCommand());
    }
    for (const Order& it : mDispatcher.TakeOrders()) {
      mWorkers.Deliver(it, mDispatcher);
    }
    mDispatcher.TakeEvents();
    mState.TakeChanges();
    mMetrics.AccountEndedJobs(mNow);
  }
  mMetrics.AccountLiveJobs();
  return mMetrics.Result();
}

void
Emulator::SubmitArrivals()
{
  for (gen::SubmitJob& it : mWorkload.TakeArrivals(mNow)) {
    JobId id(it.id);
    gen::Command command;
    command.jobs.push_back(std::move(it));
    mState.Apply(command);
    mDispatcher.OnChanged();
    mMetrics.OnAccepted(id);
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
