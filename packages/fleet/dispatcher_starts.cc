// Sends committed starts to workers, unless they have become pointless or no
// longer fit.
//
// Of a gang that may crash its workers one member starts first, and the others
// when it has been active for a while. A gang that does crash workers then
// costs one worker instead of one for each member.

#include "fleet/crash_evidence.h"
#include "fleet/dispatcher.h"

#include <utility>

namespace limpetwood::fleet {

void
Dispatcher::SendStarts(const gen::Command& aCommand, Millis aNow)
{
  if (aCommand.starts.empty()) {
    return;
  }
  mStartsProposed = false;
  Millis wallNow(aCommand.atMs);
  for (const gen::RunStart& it : aCommand.starts) {
    RunRef run{ .task = FromWire(it.task),
                .attempt = Attempt(static_cast<uint32_t>(it.run)) };
    WorkerId id(it.worker);
    if (!mState.IsActive(run, id)) {
      continue;
    }
    const Worker& worker = *mState.FindWorker(id);
    const Job& job = *mState.FindJob(run.task.job);
    WorkerLink& link = LinkOf(worker, aNow);
    link.runs[run] = { .trackedSince = aNow };
    Order start = MakeOrder(Order::Kind::kStart, worker, aNow);
    start.run = run;
    start.payload = job.spec.payload;
    start.checkpoint = mState.FindTask(run.task)->checkpoint;
    if (MustWaitForTrial(run, aNow)) {
      mHeldStarts.push_back(std::move(start));
    } else {
      QueueStart(std::move(start), worker, aNow);
    }
    bool firstStartOfJob = run.attempt == Attempt(1) && run.task.index == 0 &&
                           run.task.step == 0 && job.spec.occurrences == 0;
    if (firstStartOfJob) {
      mCounters.startDelays.Observe(wallNow - job.acceptedAt);
    }
  }
}

bool
Dispatcher::HasBegun(const Job& aJob) const
{
  if (aJob.begun || aJob.activeRuns == 0) {
    return aJob.begun;
  }
  for (uint32_t occurrence = 0; occurrence < aJob.occurrences.size();
       ++occurrence) {
    const std::vector<Step>& steps = aJob.occurrences[occurrence].steps;
    for (uint32_t step = 0; step < steps.size(); ++step) {
      for (uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
        const Task& task = steps[step].tasks[index];
        if (task.phase == Task::Phase::kActive &&
            HasRunBegun({ { aJob.id, occurrence, step, index }, task.attempt },
                        task.worker)) {
          return true;
        }
      }
    }
  }
  return false;
}

bool
Dispatcher::HasRunBegun(const RunRef& aRun, const WorkerId& aWorker) const
{
  auto link = mLinks.find(aWorker);
  if (link == mLinks.end()) {
    return false;
  }
  auto run = link->second.runs.find(aRun);
  return run != link->second.runs.end() && run->second.begun;
}

std::string_view
Dispatcher::WithdrawalReason(const Order& aStart, const WorkerLink& aLink) const
{
  auto run = aLink.runs.find(aStart.run);
  if (run == aLink.runs.end() || mProposals.HasProposedEnd(aStart.run) ||
      !mState.IsActive(aStart.run, aStart.worker)) {
    return "ended";
  }
  if (mMonitor.MustStop(aStart.run, run->second)) {
    return "not_wanted";
  }
  if (aLink.gone) {
    return "worker_gone";
  }
  // The planner saw no draining yet, or the start has waited for the answer to
  // an earlier order since.
  if (aLink.draining) {
    return "worker_draining";
  }
  if (mState.IsEvacuated(mState.FindWorker(aStart.worker)->report.zone)) {
    return "zone_evacuated";
  }
  // The worker may be lost, and a start that was not sent can go to another
  // worker.
  if (!aLink.reachable) {
    return "worker_silent";
  }
  if (!aLink.MayHoldLease()) {
    return "no_lease";
  }
  return FitsCapacity(*mState.FindWorker(aStart.worker), aLink) ? ""
                                                                : "no_room";
}

bool
Dispatcher::FitsCapacity(const Worker& aWorker, const WorkerLink& aLink) const
{
  Resources used = aWorker.used;
  for (const RunRef& it : aWorker.active) {
    if (mProposals.HasProposedEnd(it)) {
      const Job& job = *mState.FindJob(it.task.job);
      used -= job.spec.steps[it.task.step].CountedResources();
    }
  }
  return used.FitsIn(Min(aWorker.report.capacity, aLink.capacity));
}

bool
Dispatcher::MustWaitForTrial(const RunRef& aRun, Millis aNow)
{
  const Job& job = *mState.FindJob(aRun.task.job);
  if (!job.spec.steps[aRun.task.step].gang || !IsSuspect(mState, aRun)) {
    return false;
  }
  const Step& step =
    job.occurrences[aRun.task.occurrence].steps[aRun.task.step];
  uint32_t first = FirstMemberOfTrial(step);
  const Task& task = step.tasks[first];
  if (first == aRun.task.index || task.phase != Task::Phase::kActive) {
    return false;
  }
  auto link = mLinks.find(task.worker);
  RunRef run{ .task = aRun.task, .attempt = task.attempt };
  run.task.index = first;
  if (link == mLinks.end() || !link->second.runs.contains(run)) {
    // The start of the first member is in the same command.
    return true;
  }
  const RunView& view = link->second.runs.at(run);
  if (view.phase != RunView::Phase::kConfirmed || !link->second.reachable) {
    return true;
  }
  Millis activeSince = view.startSentAt.value_or(view.trackedSince);
  ScheduleTick(activeSince + kGangTrialTime);
  return aNow - activeSince < kGangTrialTime;
}

void
Dispatcher::ReleaseTrials(Millis aNow)
{
  for (Order& it : std::exchange(mHeldStarts, {})) {
    const Worker* worker = mState.FindWorker(it.worker);
    auto link = mLinks.find(it.worker);
    if (worker == nullptr || link == mLinks.end()) {
      continue;
    }
    std::string_view reason = WithdrawalReason(it, link->second);
    if (!reason.empty()) {
      WithdrawStart(it, reason, aNow);
    } else if (MustWaitForTrial(it.run, aNow)) {
      mHeldStarts.push_back(std::move(it));
    } else {
      QueueStart(std::move(it), *worker, aNow);
    }
  }
}

void
Dispatcher::QueueStart(Order aStart, const Worker& aWorker, Millis aNow)
{
  WorkerLink& link = LinkOf(aWorker, aNow);
  link.orderQueue.Add(std::move(aStart));
  SendNext(aWorker, link, aNow);
  link.nextRenewalAt = std::min(link.nextRenewalAt, aNow);
  ScheduleWorker(aWorker.report.id, aNow);
}

void
Dispatcher::WithdrawStart(const Order& aStart,
                          std::string_view aReason,
                          Millis aNow)
{
  ++mCounters.startsWithdrawn;
  LogRunEvent("start_withdrawn", aStart.worker, aStart.run)
    .Add("reason", aReason)
    .Add("waited_ms", aNow - aStart.sentAt);
  mProposals.ProposeEnd(aStart.worker, aStart.run, EndKind::kRejected, {});
  ScheduleTick(aNow);
}

} // namespace limpetwood::fleet
