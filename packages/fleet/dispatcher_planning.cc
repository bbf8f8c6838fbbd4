// Runs planning passes for the dispatcher, at a pace that leaves most of the
// processor to other work.

#include "fleet/dispatcher.h"

#include "fleet/wait_report.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::fleet {

namespace {

// Minimum time between two planning passes, which bounds their processor use.
constexpr Millis kMinPlanInterval(15);
// Minimum time between the starts of two planning passes as a multiple of the
// duration of the first: planning uses at most a quarter of the processor.
constexpr int64_t kMinPlanIntervalFactor = 4;
// Maximum time between two planning passes while units wait.
constexpr Millis kMaxPlanInterval(250);

} // namespace

void
Dispatcher::OnTickDuration(Millis aDuration)
{
  if (mPlannedAt) {
    mEarliestPlan =
      std::max(mEarliestPlan, *mPlannedAt + aDuration * kMinPlanIntervalFactor);
    mNextPlan = std::max(mNextPlan, mEarliestPlan);
  }
}

void
Dispatcher::RunPlanningPass(Millis aNow, Millis aWallNow)
{
  ++mCounters.planningPasses;
  mPlannedAt = aNow;
  mPlanDue = false;
  mEarliestPlan = aNow + kMinPlanInterval;
  FleetView view{ .state = &mState,
                  .candidates = mPool.Candidates(aNow),
                  .costOf =
                    [&](const WorkerId& aWorker, const RunRef& aRun) {
                      return mMonitor.CostOf(aWorker, aRun, aNow);
                    },
                  .remainingTimeOf =
                    [&](const WorkerId& aWorker, const RunRef& aRun) {
                      return mMonitor.RemainingTimeOf(aWorker, aRun, aNow);
                    },
                  .unusableReasonOf =
                    [&](const WorkerId& aWorker) {
                      return mPool.ReasonNotCandidate(aWorker, aNow);
                    },
                  .isOnTrial =
                    [&](const WorkerId& aWorker, const RunRef& aRun) {
                      auto link = mLinks.find(aWorker);
                      if (link == mLinks.end()) {
                        return true;
                      }
                      auto run = link->second.runs.find(aRun);
                      return run == link->second.runs.end() ||
                             mMonitor.IsOnTrial(aRun, run->second);
                    },
                  .forecast = &mForecast,
                  .now = aNow,
                  .wallNow = aWallNow };
  Plan plan = mPlanner.Decide(std::move(view));
  mBlockedUnits = plan.blockedUnits;
  // At most one second passes between two passes while no unit waits.
  mNextPlan = aNow + (plan.blockedUnits > 0 ? kMaxPlanInterval : Seconds(1));
  if (plan.nextDue != Millis::Max()) {
    mNextPlan = std::min(mNextPlan, aNow + (plan.nextDue - aWallNow));
  }
  for (const PlannedStart& it : plan.starts) {
    mProposals.ProposeStart(it.run, it.worker, it.incarnation);
  }
  mStartsProposed = !plan.starts.empty();
  LogStarts(plan);
  for (const WaitReport& it : plan.waits) {
    mEvents.push_back(LogEventFor(it));
  }
  for (const PlannedStop& it : plan.stops) {
    Preempt(it, aNow);
  }
}

void
Dispatcher::Preempt(const PlannedStop& aStop, Millis aNow)
{
  auto link = mLinks.find(aStop.worker);
  const Worker* worker = mState.FindWorker(aStop.worker);
  if (link == mLinks.end() || worker == nullptr) {
    return;
  }
  auto run = link->second.runs.find(aStop.run);
  if (run != link->second.runs.end() && !run->second.stopRequested) {
    LogEvent& event =
      LogRunEvent("run_preempted", aStop.worker, aStop.run)
        .Add("room_for", aStop.beneficiary)
        .Add("percent", run->second.progress.Percent())
        .Add("lost_ms", mMonitor.CostOf(aStop.worker, aStop.run, aNow).lostWork)
        .Add("cost_core_s", static_cast<int64_t>(aStop.cost));
    if (std::isfinite(aStop.maxCost)) {
      event.Add("max_cost_core_s", static_cast<int64_t>(aStop.maxCost));
    }
    run->second.stopRequested = true;
    run->second.stopReason = StopReason::kPreempted;
    ++mCounters.preemptions;
  }
  StopRuns(*worker, link->second, aNow);
}

void
Dispatcher::LogStarts(const Plan& aPlan)
{
  // One event for all tasks of a step that start together.
  for (size_t n = 0; n < aPlan.starts.size();) {
    const RunRef& first = aPlan.starts[n].run;
    std::string workers;
    size_t count = 0;
    size_t resumed = 0;
    size_t onFast = 0;
    size_t onSlow = 0;
    while (n < aPlan.starts.size() &&
           aPlan.starts[n].run.task.job == first.task.job &&
           aPlan.starts[n].run.task.step == first.task.step &&
           aPlan.starts[n].run.task.occurrence == first.task.occurrence) {
      workers += (count == 0 ? "" : ",") + aPlan.starts[n].worker.Value();
      const Task* task = mState.FindTask(aPlan.starts[n].run.task);
      resumed += task != nullptr && !task->checkpoint.empty() ? 1 : 0;
      onFast += aPlan.starts[n].speed == SpeedClass::kFast ? 1 : 0;
      onSlow += aPlan.starts[n].speed == SpeedClass::kSlow ? 1 : 0;
      ++count;
      ++n;
    }
    mEvents.emplace_back("runs_started")
      .Add("first", RunName(first))
      .Add("tasks", count)
      .Add("workers", workers)
      .Add("resumed", resumed)
      .Add("on_fast_workers", onFast)
      .Add("on_slow_workers", onSlow)
      .Add("blocked_units", aPlan.blockedUnits);
  }
}

} // namespace limpetwood::fleet
