#include "fleet/run_watch.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A run whose progress stands still this long has stalled: several times the
// longest pause between two percent of the longest task, and of a restore.
constexpr Millis kStallTime(2500);
// A member of a gang that is through waits for the others at this progress.
constexpr int32_t kAllDone = 100;

} // namespace

const RunView*
RunWatch::FindView(const WorkerId& aWorker, const RunRef& aRun) const
{
  auto link = mLinks.find(aWorker);
  if (link == mLinks.end()) {
    return nullptr;
  }
  auto run = link->second.runs.find(aRun);
  return run == link->second.runs.end() ? nullptr : &run->second;
}

bool
RunWatch::MustStop(const RunRef& aRun, const RunView& aView) const
{
  if (aView.stopWanted) {
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
  // A gang that lost a member cannot go on.
  const Step& step =
    job->occurrences[aRun.task.occurrence].steps[aRun.task.step];
  return !step.gangDone && step.active < spec.tasks;
}

bool
RunWatch::HasStalled(const RunRef& aRun,
                     const RunView& aView,
                     const WorkerLink& aLink,
                     Millis aFreshFor,
                     Millis aNow) const
{
  const Job* job = mState.FindJob(aRun.task.job);
  return job != nullptr && !job->spec.steps[aRun.task.step].longRunning &&
         aView.progress.GrewAt() && !aView.stopWanted && aLink.reachable &&
         aView.progress.Percent() < kAllDone &&
         aNow - *aView.progress.GrewAt() > kStallTime &&
         aNow - aLink.lastHeard < aFreshFor;
}

std::vector<const Progress*>
RunWatch::PeersOf(const RunRef& aRun, const StepSpec& aSpec) const
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
RunWatch::PaceOf(const RunRef& aRun, const RunView& aView) const
{
  const Job* job = mState.FindJob(aRun.task.job);
  if (job == nullptr || job->spec.steps[aRun.task.step].longRunning) {
    return Pace::kUnknown;
  }
  return Judge({ .own = &aView.progress,
                 .peers = PeersOf(aRun, job->spec.steps[aRun.task.step]),
                 .expected = mForecast.Learned(job->queue),
                 .resumes = !aView.checkpoint.empty() });
}

RunCost
RunWatch::CostOf(const WorkerId& aWorker, const RunRef& aRun, Millis aNow) const
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
  if (view->progress.FirstAt() && !saves) {
    out.lost = aNow - *view->progress.FirstAt();
  }
  return out;
}

Millis
RunWatch::RestOf(const WorkerId& aWorker, const RunRef& aRun, Millis aNow) const
{
  const RunView* view = FindView(aWorker, aRun);
  if (view == nullptr) {
    return Millis::Max();
  }
  if (MustStop(aRun, *view)) {
    return std::max(view->stopSentAt + mStopTime - aNow, Millis(0));
  }
  const QueueId& queue = mState.FindJob(aRun.task.job)->queue;
  return mForecast.Rest(queue, view->progress, aNow);
}

} // namespace limpetwood::fleet
