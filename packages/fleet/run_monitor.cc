#include "fleet/run_monitor.h"

#include "fleet/crash_evidence.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A run without progress is considered stalled after this time at the earliest.
// It is several times the longest pause during a checkpoint restore.
constexpr Millis kStallTime(2500);
// The same as a multiple of the time in which the run gains one percent, so
// that a task of hours is not taken to be stalled.
constexpr int64_t kStallPercents = 4;
// Bounds this time for a run without progress, whose estimate may be wrong.
constexpr Millis kMaxFirstPercentTime = Hours(1);
// The rate of a run is recorded at this progress: before, whole percents are
// too coarse.
constexpr int32_t kMinRecordedPercent = 8;
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
         aView.progress.ObservedStandstill() > StallTimeOf(aRun, aView);
}

Millis
RunMonitor::StallTimeOf(const RunRef& aRun, const RunView& aView) const
{
  const Job* job = mState.FindJob(aRun.task.job);
  if (!mJudgeByStep || job == nullptr) {
    return kStallTime;
  }
  if (auto time = aView.progress.TimePerPercent()) {
    return std::max(kStallTime, *time * kStallPercents);
  }
  Millis expected = mForecast.ExpectedTime(
    job->queue, job->spec.steps[aRun.task.step].estimate);
  return std::clamp(expected * kStallPercents / kCompletePercent,
                    kStallTime,
                    kMaxFirstPercentTime);
}

Millis
RunMonitor::MaxReportDelay(const RunRef& aRun, const RunView& aView) const
{
  if (aView.progress.Percent() >= kCompletePercent) {
    return Millis::Max();
  }
  return std::max(
    StallTimeOf(aRun, aView) - aView.progress.ObservedStandstill(), Millis(0));
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

bool
RunMonitor::WasMoved(const RunRef& aRun) const
{
  const Job& job = *mState.FindJob(aRun.task.job);
  const Step& step =
    job.occurrences[aRun.task.occurrence].steps[aRun.task.step];
  if (!job.spec.steps[aRun.task.step].gang) {
    return step.tasks[aRun.task.index].movedForPace;
  }
  return std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
    return it.movedForPace;
  });
}

Pace
RunMonitor::PaceOf(const WorkerId& aWorker,
                   const RunRef& aRun,
                   const RunView& aView) const
{
  const Job* job = mState.FindJob(aRun.task.job);
  if (job == nullptr || job->spec.steps[aRun.task.step].longRunning) {
    return Pace::kUnknown;
  }
  PaceInput input{ .own = &aView.progress,
                   .peers = PeersOf(aRun, job->spec.steps[aRun.task.step]),
                   .learnedTime = mForecast.LearnedTime(job->queue),
                   .resumesFromCheckpoint = !aView.checkpoint.empty() };
  if (mJudgeByStep) {
    input.stepRate = mStepRates.MedianOfPeers(aRun.task, aWorker, mSpeeds);
  }
  Pace pace = JudgePace(input);
  if (!mJudgeByStep || (pace != Pace::kSlow && pace != Pace::kTooSlow)) {
    return pace;
  }
  // The rates of the step's other runs will show whether the job is long.
  const Step& step =
    job->occurrences[aRun.task.occurrence].steps[aRun.task.step];
  auto onOtherWorkers = static_cast<size_t>(
    std::count_if(step.tasks.begin(), step.tasks.end(), [&](const Task& it) {
      return it.phase == Task::Phase::kActive && it.worker != aWorker;
    }));
  if (input.peers.empty() && !input.stepRate &&
      onOtherWorkers >= StepRates::kMinPeers) {
    return Pace::kUnknown;
  }
  // Without peers, the run may be slow because its job is long.
  bool hasPeers = input.stepRate || !input.peers.empty();
  bool moved = WasMoved(aRun);
  if (pace == Pace::kTooSlow && !moved) {
    return pace;
  }
  return hasPeers && !moved ? Pace::kSlow : Pace::kUnknown;
}

std::optional<double>
RunMonitor::RecordRate(const WorkerId& aWorker,
                       const RunRef& aRun,
                       RunView& aView)
{
  auto rate = aView.progress.MeanRate();
  bool known = mJudgeByStep && !aView.speedObserved && rate && *rate > 0 &&
               aView.progress.Percent() >= kMinRecordedPercent;
  const Job* job = known ? mState.FindJob(aRun.task.job) : nullptr;
  // The rates of an ended job have been forgotten.
  if (job == nullptr || job->Ended() ||
      job->spec.steps[aRun.task.step].longRunning) {
    return std::nullopt;
  }
  if (!aView.rateRecorded) {
    aView.rateRecorded = true;
    mStepRates.Record(aRun.task, aWorker, *rate);
  }
  auto expected = mStepRates.MedianOfPeers(aRun.task, aWorker, mSpeeds);
  if (!expected) {
    return std::nullopt;
  }
  aView.speedObserved = true;
  return mStepRates.TakeSample(aRun.task, aWorker)
           ? std::optional(*rate / *expected)
           : std::nullopt;
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
  const StepSpec& spec = job.spec.steps[aRun.task.step];
  bool saves = spec.savesCheckpoints;
  auto rate = view->progress.MeanRate();
  out.totalTime = rate && *rate > 0
                    ? Millis(static_cast<int64_t>(100'000 / *rate))
                    : mForecast.ExpectedTime(job.queue, spec.estimate);
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
