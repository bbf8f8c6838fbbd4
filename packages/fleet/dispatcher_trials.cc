// Starts the members of a gang that may crash its workers: one first, and the
// others when it has been active for a while. A gang that does crash workers
// then costs one worker instead of one for each member.

#include "fleet/crash_evidence.h"
#include "fleet/dispatcher.h"

#include <utility>

namespace limpetwood::fleet {

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
