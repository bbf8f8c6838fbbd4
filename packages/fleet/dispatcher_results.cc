// Handles the results of orders: which runs they prove to exist or to have
// ended.

#include "fleet/crash_evidence.h"
#include "fleet/dispatcher.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::fleet {

namespace {

// Delay before a renewal that received no answer is repeated.
constexpr Millis kRetryDelay(400);
// The same for a worker that has announced its end. Shorter, because the next
// answer or refused connection probably ends its runs.
constexpr Millis kLeaveRetryDelay(100);
// Minimum time between two renewals of one worker.
constexpr Millis kMinRenewalInterval(100);
// Unknown runs of one answer that are stopped; the others are stopped after the
// next one. Bounds the queue that each stop is compared with.
constexpr size_t kMaxUnknownRunsStopped = 100;
// Change of a worker's learned speed that is written to the replicated state.
constexpr double kMinRecordedSpeedChange = 0.2;
// Time for which a worker that reported itself unhealthy receives no tasks.
constexpr Millis kUnhealthyPause = Seconds(2);

} // namespace

void
Dispatcher::OnResult(const Order& aOrder,
                     const OrderResult& aResult,
                     Millis aNow)
{
  if (aResult.answeredBy && *aResult.answeredBy != aOrder.incarnation) {
    LogOtherProcess(aOrder, aResult, aNow);
  }
  const Worker* worker = mState.FindWorker(aOrder.worker);
  if (worker == nullptr) {
    for (const EndedRun& it : aResult.ended) {
      LogUnrecordedEnd(aOrder, it, "worker_removed", aNow);
    }
    return;
  }
  WorkerLink& link = LinkOf(*worker, aNow);
  if (worker->report.incarnation != aOrder.incarnation) {
    RecordEarlierEnds(aOrder, aResult);
    if (aOrder.kind == Order::Kind::kRenew &&
        link.earlierRenewalsInFlight > 0) {
      --link.earlierRenewalsInFlight;
      ScheduleWorker(aOrder.worker, aNow);
    }
    return;
  }
  bool failed = aResult.outcome != OrderResult::Outcome::kAnswered;
  if (aOrder.kind == Order::Kind::kRenew &&
      (link.gone || (link.draining && failed))) {
    LogDepartingRenewal(aOrder, aResult, link.gone, aNow);
  }
  if (aOrder.sentAt < link.CreatedAt()) {
    RecordEarlierEnds(aOrder, aResult);
    return;
  }
  bool wasUsable = mPool.IsUsable(aOrder.worker, aNow);
  ScheduleWorker(aOrder.worker, aNow);
  if (aOrder.kind == Order::Kind::kRenew) {
    --link.renewalsInFlight;
  } else {
    link.orderQueue.Done();
  }
  if (aResult.outcome == OrderResult::Outcome::kOtherIncarnation) {
    if (!link.gone) {
      link.crashed = !link.draining;
    }
    link.gone = true;
    link.processEnded = true;
    link.unreachableSince = link.unreachableSince.value_or(aNow);
    auto run = link.runs.find(aOrder.run);
    if (aOrder.kind == Order::Kind::kStart && run != link.runs.end()) {
      run->second.startSentAt.reset();
    }
  }
  bool refused = aResult.outcome == OrderResult::Outcome::kConnectionRefused;
  // A process that announced its end listens until it ends.
  if (refused && link.leftAt && aOrder.sentAt >= *link.leftAt) {
    link.processEnded = true;
  }
  if (link.gone && aOrder.kind != Order::Kind::kRenew) {
    return;
  }
  bool unanswered = refused ||
                    aResult.outcome == OrderResult::Outcome::kNotSent ||
                    aResult.outcome == OrderResult::Outcome::kNoAnswer;
  bool unhealthy = aResult.outcome == OrderResult::Outcome::kRefused &&
                   aResult.refusal == OrderRefusal::kUnhealthy;
  if (unhealthy) {
    link.WithdrawLease(aOrder.leaseUntil);
  }
  if (aOrder.kind == Order::Kind::kRenew) {
    link.renewalRefused = unhealthy;
  }
  // A refused renewal extended no lease.
  bool notRenewed = aOrder.kind == Order::Kind::kRenew &&
                    aResult.outcome == OrderResult::Outcome::kRefused;
  if (unanswered || notRenewed) {
    link.reachable = false;
  } else if (aResult.Executed()) {
    link.reachable = true;
  }
  if (notRenewed) {
    link.nextRenewalAt = std::max(aNow, aOrder.sentAt + kMinRenewalInterval);
  }
  if (unanswered) {
    ++mCounters.unansweredOrders;
    link.unreachableSince = link.unreachableSince.value_or(aNow);
    link.nextRenewalAt =
      std::max(link.nextRenewalAt,
               aNow + (link.leftAt ? kLeaveRetryDelay : kRetryDelay));
  } else {
    link.lastHeard = aNow;
    if (!link.gone) {
      link.unreachableSince.reset();
    }
  }
  if (aResult.clock) {
    link.OnClock(*aResult.clock, aNow);
  }
  switch (aOrder.kind) {
    case Order::Kind::kStart:
      mCounters.startResponseTimes.Observe(aNow - aOrder.sentAt);
      OnStartResult(aOrder, aResult, link, aNow);
      break;
    case Order::Kind::kStop:
      OnStopResult(aOrder, aResult, link, aNow);
      break;
    case Order::Kind::kRenew:
      if (aResult.Executed()) {
        OnRenewResult(aOrder, aResult, *worker, link, aNow);
      }
      break;
  }
  SendNext(*worker, link, aNow);
  mPlanDue = mPlanDue || wasUsable != mPool.IsUsable(aOrder.worker, aNow);
}

void
Dispatcher::OnStartResult(const Order& aOrder,
                          const OrderResult& aResult,
                          WorkerLink& aLink,
                          Millis aNow)
{
  auto it = aLink.runs.find(aOrder.run);
  if (it == aLink.runs.end()) {
    return;
  }
  RunView& run = it->second;
  switch (aResult.outcome) {
    case OrderResult::Outcome::kAnswered:
      if (run.phase == RunView::Phase::kStarting) {
        run.phase = RunView::Phase::kConfirmed;
        run.begun = true;
        run.conclusiveAfter = aNow;
      }
      break;
    case OrderResult::Outcome::kRefused:
      ++mCounters.refusals[static_cast<size_t>(aResult.refusal)];
      if (aResult.refusal == OrderRefusal::kUnhealthy) {
        aLink.unhealthyUntil = aNow + kUnhealthyPause;
      }
      [[fallthrough]];
    case OrderResult::Outcome::kNotSent:
    case OrderResult::Outcome::kConnectionRefused:
      LogRunEvent("start_refused", aOrder.worker, aOrder.run)
        .Add("reason",
             aResult.outcome == OrderResult::Outcome::kRefused
               ? OrderRefusalName(aResult.refusal)
               : "not_sent")
        .Add("sent_ms_ago", aNow - aOrder.sentAt);
      mProposals.ProposeEnd(aOrder.worker, aOrder.run, EndKind::kRejected, {});
      break;
    case OrderResult::Outcome::kNoAnswer:
      LogRunEvent("start_unanswered", aOrder.worker, aOrder.run)
        .Add("sent_ms_ago", aNow - aOrder.sentAt)
        .Add("heard_ms_ago", aNow - aLink.lastHeard);
      aLink.startsWithoutAnswer.insert(aOrder.run);
      run.phase = RunView::Phase::kUnresolved;
      run.stopRequested = true;
      run.stopReason = StopReason::kUnanswered;
      break;
    case OrderResult::Outcome::kOtherIncarnation:
      break;
  }
}

void
Dispatcher::OnStopResult(const Order& aOrder,
                         const OrderResult& aResult,
                         WorkerLink& aLink,
                         Millis aNow)
{
  auto it = aLink.runs.find(aOrder.run);
  RunView* run = it == aLink.runs.end() ? nullptr : &it->second;
  if (aResult.Executed()) {
    // The worker refuses a start of the run from now on.
    aLink.unconfirmedStarts.erase(aOrder.run);
    if (run == nullptr) {
      return;
    }
    run->phase = RunView::Phase::kConfirmed;
    run->stopExecuted = true;
    run->stopRefusedSince.reset();
    // The time of the first executed stop is kept: a renewal sent after it
    // lists the run if and only if the run exists. A later time would postpone
    // that proof with each repeated stop.
    run->conclusiveAfter = std::min(run->conclusiveAfter, aNow);
    aLink.nextRenewalAt = aNow;
  } else if (aResult.outcome == OrderResult::Outcome::kRefused) {
    LogRunEvent("stop_refused", aOrder.worker, aOrder.run)
      .Add("reason", OrderRefusalName(aResult.refusal));
    if (run != nullptr) {
      run->stopRefusedSince = run->stopRefusedSince.value_or(aNow);
    }
  }
}

void
Dispatcher::ProposeLostRun(const Worker& aWorker,
                           const RunRef& aRun,
                           const RunView& aView)
{
  mProposals.ProposeEnd(aWorker.report.id,
                        aRun,
                        aView.crash ? EndKind::kWorkerCrashed : EndKind::kLost,
                        aView.checkpoint,
                        aView.crash.value_or(CrashEvidence::kNone),
                        aView.stopReason);
}

void
Dispatcher::ProposeCrashedRuns(const Worker& aWorker, const WorkerLink& aLink)
{
  for (const auto& [run, evidence] :
       JudgeCrash(aWorker, aLink, aLink.lastHeard)) {
    mProposals.ProposeEnd(aWorker.report.id,
                          run,
                          EndKind::kWorkerCrashed,
                          aLink.runs.at(run).checkpoint,
                          evidence);
  }
}

void
Dispatcher::LogOtherProcess(const Order& aOrder,
                            const OrderResult& aResult,
                            Millis aNow)
{
  mEvents.emplace_back("order_answered_by_other_process")
    .Add("worker", aOrder.worker)
    .Add("order", OrderKindName(aOrder.kind))
    .Add("outcome", OrderOutcomeName(aResult.outcome))
    .Add("meant_for", aOrder.incarnation)
    .Add("answered_by", *aResult.answeredBy)
    .Add("acknowledged_ends", aOrder.acknowledgedEnds)
    .Add("sent_ms_ago", aNow - aOrder.sentAt);
}

void
Dispatcher::LogDepartingRenewal(const Order& aOrder,
                                const OrderResult& aResult,
                                bool aLeft,
                                Millis aNow)
{
  mEvents.emplace_back("departing_worker_renewed")
    .Add("worker", aOrder.worker)
    .Add("left", aLeft)
    .Add("outcome", OrderOutcomeName(aResult.outcome))
    .Add("error", aResult.error ? aResult.error.message() : "")
    .Add("sent_ms_ago", aNow - aOrder.sentAt)
    .Add("acknowledged_ends", aOrder.acknowledgedEnds)
    .Add("running", aResult.running.size())
    .Add("ended", aResult.ended.size())
    .Add("last_end", aResult.ended.empty() ? 0 : aResult.ended.back().number);
}

void
Dispatcher::LogUnrecordedEnd(const Order& aOrder,
                             const EndedRun& aEnd,
                             std::string_view aReason,
                             Millis aNow)
{
  const Task* task = mState.FindTask(aEnd.run.task);
  bool recorded = task != nullptr && task->phase == Task::Phase::kDone;
  if (aEnd.kind != EndKind::kDone || recorded) {
    return;
  }
  LogRunEvent("end_not_recorded", aOrder.worker, aEnd.run)
    .Add("reason", aReason)
    .Add("number", aEnd.number)
    .Add("sent_ms_ago", aNow - aOrder.sentAt)
    .Add("acknowledged_ends", aOrder.acknowledgedEnds);
}

void
Dispatcher::RecordEarlierEnds(const Order& aOrder, const OrderResult& aResult)
{
  // The new process may not list what the earlier one ran, and its first
  // renewal then ends the runs as lost. A task that was done must not run
  // again.
  for (const EndedRun& it : aResult.ended) {
    if (it.kind == EndKind::kDone) {
      mProposals.ProposeEnd(aOrder.worker, it.run, it.kind, it.checkpoint);
      ScheduleTick(aOrder.sentAt);
    }
  }
}

void
Dispatcher::RecordRunningRuns(const OrderResult& aResult,
                              WorkerLink& aLink,
                              Millis aNow)
{
  for (const RunningRun& it : aResult.running) {
    auto found = aLink.runs.find(it.run);
    if (found == aLink.runs.end()) {
      continue;
    }
    RunView& run = found->second;
    run.begun = true;
    if (run.phase != RunView::Phase::kUnresolved) {
      run.phase = RunView::Phase::kConfirmed;
    }
    run.conclusiveAfter = std::min(run.conclusiveAfter, aNow);
    Millis activeSince = run.startSentAt.value_or(run.trackedSince);
    if (!run.passedStart && aNow - activeSince >= kStartWatchTime) {
      run.passedStart = true;
      mPlanDue = mPlanDue || IsSuspect(mState, it.run);
    }
    run.progress.Observe(it.percent, aNow, aResult.clock.value_or(aNow));
    if (!it.checkpoint.empty()) {
      run.checkpoint = it.checkpoint;
    }
  }
}

void
Dispatcher::ObserveSpeeds(const OrderResult& aResult,
                          const Worker& aWorker,
                          WorkerLink& aLink)
{
  const WorkerId& id = aWorker.report.id;
  for (const RunningRun& it : aResult.running) {
    auto found = aLink.runs.find(it.run);
    auto ratio = found == aLink.runs.end()
                   ? std::nullopt
                   : mMonitor.RecordRate(id, it.run, found->second);
    if (!ratio) {
      continue;
    }
    mSpeeds.Observe(id, *ratio);
    auto speed = mSpeeds.SpeedOf(id);
    bool changed =
      speed && (!aWorker.speed ||
                WorkerSpeeds::ClassFor(*speed) !=
                  WorkerSpeeds::ClassFor(*aWorker.speed) ||
                std::abs(*speed - *aWorker.speed) > kMinRecordedSpeedChange);
    if (changed) {
      mProposals.ProposeSpeed(aWorker, *speed);
    }
  }
}

void
Dispatcher::CheckPace(const OrderResult& aResult,
                      const Worker& aWorker,
                      WorkerLink& aLink,
                      Millis aNow)
{
  for (const RunningRun& it : aResult.running) {
    auto found = aLink.runs.find(it.run);
    if (found == aLink.runs.end() || found->second.stopRequested) {
      continue;
    }
    RunView& view = found->second;
    switch (mMonitor.PaceOf(aWorker.report.id, it.run, view)) {
      case Pace::kUnknown:
        break;
      case Pace::kNormal:
        mHealth.OnNormalPace(aWorker.report.id);
        break;
      case Pace::kTooSlow:
        view.stopRequested = true;
        view.stopReason = StopReason::kSlow;
        ++mCounters.laggingRuns;
        LogRunEvent("run_lagging", aWorker.report.id, it.run)
          .Add("percent", it.percent)
          .Add("seen_for_ms",
               aNow - view.progress.FirstObservedAt().value_or(aNow));
        [[fallthrough]];
      case Pace::kSlow:
        mHealth.OnSlow(aWorker.report.id, aNow);
        break;
    }
  }
}

StopReason
Dispatcher::StopReasonOf(const EndedRun& aEnd, const WorkerLink& aLink) const
{
  auto run = aLink.runs.find(aEnd.run);
  if (run == aLink.runs.end()) {
    return StopReason::kNone;
  }
  const RunView& view = run->second;
  bool unexpected = aEnd.kind == EndKind::kStopped && !view.stopRequested &&
                    !mMonitor.MustStop(aEnd.run, view);
  return unexpected ? StopReason::kEarlierLeader : view.stopReason;
}

void
Dispatcher::OnRenewResult(const Order& aOrder,
                          const OrderResult& aResult,
                          const Worker& aWorker,
                          WorkerLink& aLink,
                          Millis aNow)
{
  aLink.tokenAcknowledged = true;
  aLink.endsAcknowledged =
    std::max(aLink.endsAcknowledged, aOrder.acknowledgedEnds);
  RecordRunningRuns(aResult, aLink, aNow);
  std::set<RunRef> listed;
  for (const EndedRun& it : aResult.ended) {
    listed.insert(it.run);
    aLink.startsWithoutAnswer.erase(it.run);
    aLink.endsProposed = std::max(aLink.endsProposed, it.number);
    if (it.number <= aLink.endsCommitted) {
      continue;
    }
    StopReason reason = StopReasonOf(it, aLink);
    bool proposed = mProposals.ProposeEnd(aOrder.worker,
                                          it.run,
                                          it.kind,
                                          it.checkpoint,
                                          CrashEvidence::kNone,
                                          reason);
    if (!mState.IsActive(it.run, aOrder.worker)) {
      LogUnrecordedEnd(aOrder, it, "not_active", aNow);
      continue;
    }
    bool added = aLink.uncommittedEnds.insert(it.run).second;
    if (added && !proposed) {
      LogUnrecordedEnd(aOrder, it, "end_proposed", aNow);
    }
  }
  size_t unknownRuns = 0;
  for (const RunningRun& it : aResult.running) {
    listed.insert(it.run);
    aLink.startsWithoutAnswer.erase(it.run);
    if (!aWorker.active.contains(it.run) &&
        ++unknownRuns <= kMaxUnknownRunsStopped) {
      SendStop(aWorker, it.run, aNow);
    }
  }
  for (const RunRef& it : aWorker.active) {
    auto run = aLink.runs.find(it);
    if (!listed.contains(it) && !aResult.endsTruncated &&
        aLink.earlierRenewalsInFlight == 0 && run != aLink.runs.end() &&
        run->second.conclusiveAfter < aOrder.sentAt) {
      if (run->second.begun || run->second.crash) {
        ProposeLostRun(aWorker, it, run->second);
      } else {
        mProposals.ProposeEnd(aOrder.worker, it, EndKind::kRejected, {});
      }
    }
  }
  ObserveSpeeds(aResult, aWorker, aLink);
  CheckPace(aResult, aWorker, aLink, aNow);
  // Ends that change nothing are acknowledged without a commit.
  if (aLink.uncommittedEnds.empty()) {
    aLink.endsCommitted = aLink.endsProposed;
  }
  // Bounds the rate of renewals that workers answer without a wait. The first
  // one after a leave asks for no wait, so the next one follows at once.
  bool firstAfterLeave = aLink.leftAt && aOrder.wait == Millis(0);
  aLink.nextRenewalAt = firstAfterLeave
                          ? aNow
                          : std::max(aNow, aOrder.sentAt + kMinRenewalInterval);
}

} // namespace limpetwood::fleet
