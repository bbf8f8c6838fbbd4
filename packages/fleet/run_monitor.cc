#include "fleet/run_monitor.h"

#include "fleet/crash_evidence.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A run without progress for this time is considered stalled. It is several
// times the longest interval between two one-percent increments of the longest
// task, and several times the longest pause during a checkpoint restore.
constexpr Millis kStallTime(2500);
// A gang member at this progress has finished and waits for the others.
constexpr int32_t kCompletePercent = 100;

} // namespace

const RunView*
RunMonitor::FindView(const WorkerId& aWorker, const RunRef& aRun) const
{
  auto link = mLinks.find(aWorker);
  if (link == mLinks.end()) {
    return nullptr;
  }
  auto run = link->second.runs.find(aRun);
  return run == link->second.runs.end() ? nullptr : &run->second;
}

bool
RunMonitor::MustStop(const RunRef& aRun, const RunView& aView) const
{
  if (aView.stopRequested) {
    return true;
  }
  const Job* job = mState.FindJob(aRun.task.job);
  if (job == nullptr ||
      (job->Ended() && job->status != JobStatus::kCompleted)) {
    return true;
  }
  const StepSpec& spec = job->spec.steps[aRun.task.step];
  if (!spec.gang) {
    return false;
  }
  // A gang that lost a member cannot continue.
  const Step& step =
    job->occurrences[aRun.task.occurrence].steps[aRun.task.step];
  return !step.gangDone && step.active < spec.tasks;
}

bool
RunMonitor::HasStalled(const RunRef& aRun,
                       const RunView& aView,
                       const WorkerLink& aLink) const
{
  const Job* job = mState.FindJob(aRun.task.job);
  return job != nullptr && !job->spec.steps[aRun.task.step].longRunning &&
         !aView.stopRequested && aLink.reachable &&
         aView.progress.Percent() < kCompletePercent &&
         aView.progress.ObservedStandstill() > kStallTime;
}

Millis
RunMonitor::MaxReportDelay(const RunView& aView) const
{
  if (aView.progress.Percent() >= kCompletePercent) {
    return Millis::Max();
  }
  return std::max(kStallTime - aView.progress.ObservedStandstill(), Millis(0));
}

bool
RunMonitor::IsOnTrial(const RunRef& aRun, const RunView& aView) const
{
  return !aView.passedStart && IsSuspect(mState, aRun);
}

std::vector<const Progress*>
RunMonitor::PeersOf(const RunRef& aRun, const StepSpec& aSpec) const
{
  std::vector<const Progress*> out;
  if (!aSpec.gang) {
    return out;
  }
  for (uint32_t n = 0; n < aSpec.tasks; ++n) {
    RunRef peer = aRun;
    peer.task.index = n;
    const Task* task = mState.FindTask(peer.task);
    if (n == aRun.task.index || task == nullptr ||
        task->phase != Task::Phase::kActive) {
      continue;
    }
    if (const RunView* view = FindView(task->worker, peer)) {
      out.push_back(&view->progress);
    }
  }
  return out;
}

Pace
RunMonitor::PaceOf(const RunRef& aRun, const RunView& aView) const
{
  const Job* job = mState.FindJob(aRun.task.job);
  if (job == nullptr || job->spec.steps[aRun.task.step].longRunning) {
    return Pace::kUnknown;
  }
  return JudgePace({ .own = &aView.progress,
                     .peers = PeersOf(aRun, job->spec.steps[aRun.task.step]),
                     .learnedTime = mForecast.LearnedTime(job->queue),
                     .resumesFromCheckpoint = !aView.checkpoint.empty() });
}

RunCost
RunMonitor::CostOf(const WorkerId& aWorker,
                   const RunRef& aRun,
                   Millis aNow) const
{
  const RunView* view = FindView(aWorker, aRun);
  if (view == nullptr) {
    return {};
  }
  const Job& job = *mState.FindJob(aRun.task.job);
  RunCost out;
  out.stopping = MustStop(aRun, *view);
  out.restarts = aRun.attempt.Value() - 1;
  bool saves = job.spec.steps[aRun.task.step].savesCheckpoints;
  if (view->progress.FirstObservedAt() && !saves) {
    out.lostWork = aNow - *view->progress.FirstObservedAt();
  }
  return out;
}

Millis
RunMonitor::RemainingTimeOf(const WorkerId& aWorker,
                            const RunRef& aRun,
                            Millis aNow) const
{
  const RunView* view = FindView(aWorker, aRun);
  if (view == nullptr) {
    return Millis::Max();
  }
  if (MustStop(aRun, *view)) {
    return std::max(view->stopSentAt + mMaxStopTime - aNow, Millis(0));
  }
  const QueueId& queue = mState.FindJob(aRun.task.job)->queue;
  return mForecast.RemainingTime(queue, view->progress, aNow);
}

} // namespace limpetwood::fleet
