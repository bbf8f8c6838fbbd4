#include "fleet/dispatcher.h"

#include "fleet/crash_evidence.h"

#include <algorithm>
#include <cstdlib>

namespace limpetwood::fleet {

namespace {

// Delay before a stop is repeated that was refused or not answered.
constexpr Millis kRetryDelay(400);
// A worker without runs that is silent for this long is removed.
constexpr Millis kIdleWorkerTimeout = Seconds(20);
// Minimum time for which a worker with runs delays the answer to a renewal.
constexpr Millis kMinRenewalWait(100);
// Maximum time for which a worker with a run on trial does.
constexpr Millis kTrialRenewalWait(300);
// Interval at which each worker is checked for stalled runs and expired leases.
constexpr Millis kWorkerCheckInterval(250);
// Time for which a start without an answer may still be executed.
constexpr Millis kMaxStartDelay = Seconds(60);
// Change of a worker's departure that a next leader must know.
constexpr Millis kMinDepartureChange(500);

bool
DepartureMoved(const WorkerReport& aStored, const WorkerReport& aReport)
{
  if (!aStored.departsIn || !aReport.departsIn) {
    return aStored.departsIn.has_value() != aReport.departsIn.has_value();
  }
  Millis change =
    (aReport.clock + *aReport.departsIn) - (aStored.clock + *aStored.departsIn);
  return std::abs(change.Count()) >= kMinDepartureChange.Count();
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions aOptions,
                       const FleetState& aState,
                       FencingToken aToken,
                       Millis aNow,
                       Millis aSilence)
  : mOptions(aOptions)
  , mState(aState)
  , mToken(aToken)
  , mProposals(aState)
  , mMonitor(aState,
             mLinks,
             mForecast,
             mSpeeds,
             aOptions.maxStopTime,
             aOptions.callerCost)
  , mPlanner(aOptions.planner)
  , mHealth(aOptions.health)
  , mPool(aState,
          mLinks,
          mHealth,
          mProposals,
          mMonitor,
          mSpeeds,
          aOptions.heartbeatInterval)
  , mNextPlan(aNow)
  , mNextTick(aNow)
{
  // The stored capacities are trusted for one report interval, in which the
  // workers report to this leader.
  Millis reportedAt =
    aNow - aSilence - mOptions.heartbeatInterval * (kMaxMissedReports - 1);
  for (const auto& [id, worker] : aState.Workers()) {
    WorkerLink& link = LinkOf(worker, aNow);
    link.reportedAt = reportedAt;
    // The stored report may be old; the next one says whether the worker is
    // slow.
    link.coldUntil = aNow;
    if (worker.speed) {
      mSpeeds.Restore(id, *worker.speed);
    }
  }
}

WorkerLink&
Dispatcher::LinkOf(const Worker& aWorker, Millis aNow)
{
  const WorkerReport& report = aWorker.report;
  auto it = mLinks.find(report.id);
  if (it != mLinks.end() &&
      it->second.CurrentIncarnation() == report.incarnation) {
    return it->second;
  }
  WorkerLink added(report.incarnation, aNow, mOptions.leaseDuration);
  added.OnDrainState(report);
  added.sequence = report.sequence;
  added.capacity = report.capacity;
  added.coldUntil = aNow + report.coldRemaining;
  added.reportedAt = aNow;
  bool replaced = it != mLinks.end();
  if (replaced) {
    added.earlierRenewalsInFlight =
      it->second.earlierRenewalsInFlight + it->second.renewalsInFlight;
    added.startsWithoutAnswer = it->second.startsWithoutAnswer;
  } else if (auto node = mAbandonedStarts.extract(report.id)) {
    added.startsWithoutAnswer = std::move(node.mapped().runs);
  }
  for (const RunRef& run : added.startsWithoutAnswer) {
    if (!aWorker.active.contains(run)) {
      added.unconfirmedStarts.emplace(run, aNow - kRetryDelay);
    }
  }
  bool announced = replaced && (it->second.draining || it->second.leftAt);
  std::map<RunRef, CrashEvidence> evidence;
  if (replaced && !announced) {
    evidence = JudgeCrash(aWorker, it->second, aNow);
  }
  for (const RunRef& run : aWorker.active) {
    // What the earlier process executed does not bind the new one.
    bool startUnresolved =
      replaced && it->second.runs.contains(run) &&
      (it->second.runs[run].phase != RunView::Phase::kConfirmed ||
       it->second.startsWithoutAnswer.contains(run));
    // Runs of earlier leaders or of an earlier incarnation are resolved by the
    // first renewal. A start without a conclusive answer may still reach the
    // new incarnation, so it is resolved by a stop.
    added.runs[run] =
      startUnresolved
        ? RunView{ .phase = RunView::Phase::kUnresolved, .stopRequested = true }
        : RunView{ .phase = RunView::Phase::kConfirmed,
                   .conclusiveAfter = aNow - Millis(1) };
    RunView& view = added.runs[run];
    view.trackedSince = aNow;
    view.begun = !startUnresolved;
    const Task& task = *mState.FindTask(run.task);
    bool ofUnseenProcess = !replaced && task.incarnation != Incarnation() &&
                           task.incarnation != report.incarnation;
    if (auto judged = evidence.find(run); judged != evidence.end()) {
      view.crash = judged->second;
    } else if (ofUnseenProcess) {
      view.crash = CrashEvidence::kNone;
    }
  }
  mHealth.Forget(report.id);
  mSpeeds.Forget(report.id);
  ScheduleWorker(report.id, aNow);
  return mLinks.insert_or_assign(report.id, std::move(added)).first->second;
}

Order
Dispatcher::MakeOrder(Order::Kind aKind,
                      const Worker& aWorker,
                      Millis aNow) const
{
  Order out;
  out.kind = aKind;
  out.worker = aWorker.report.id;
  out.incarnation = aWorker.report.incarnation;
  out.address = aWorker.report.address;
  out.token = mToken;
  out.sentAt = aNow;
  return out;
}

bool
Dispatcher::OnReport(const WorkerReport& aReport, Millis aNow)
{
  const Worker* known = mState.FindWorker(aReport.id);
  bool sameIncarnation =
    known != nullptr && known->report.incarnation == aReport.incarnation;
  if (known != nullptr && !sameIncarnation &&
      aReport.incarnation < known->report.incarnation) {
    return false;
  }
  if (sameIncarnation) {
    WorkerLink& link = LinkOf(*known, aNow);
    if (aReport.sequence < link.sequence) {
      return false;
    }
    link.sequence = aReport.sequence;
    link.OnDrainState(aReport);
    // The report can make a silent worker usable again.
    mPlanDue = mPlanDue || !mPool.IsUsable(aReport.id, aNow);
    link.lastHeard = aNow;
    link.reportedAt = aNow;
    link.capacity = aReport.capacity;
    link.coldUntil = aNow + aReport.coldRemaining;
    link.OnClock(aReport.clock, aNow);
    const WorkerReport& stored = known->report;
    if (stored.draining == aReport.draining &&
        !DepartureMoved(stored, aReport) &&
        stored.capacity == aReport.capacity &&
        stored.address == aReport.address &&
        stored.service == aReport.service && stored.zone == aReport.zone &&
        stored.rack == aReport.rack && stored.labels == aReport.labels) {
      return false;
    }
  }
  mProposals.ProposeReport(aReport);
  return true;
}

void
Dispatcher::SendStop(const Worker& aWorker, const RunRef& aRun, Millis aNow)
{
  Order stop = MakeOrder(Order::Kind::kStop, aWorker, aNow);
  stop.run = aRun;
  WorkerLink& link = LinkOf(aWorker, aNow);
  link.orderQueue.Add(std::move(stop));
  SendNext(aWorker, link, aNow);
}

void
Dispatcher::SendNext(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  while (std::optional<Order> next = aLink.orderQueue.Next()) {
    if (next->kind == Order::Kind::kStart) {
      std::string_view reason = WithdrawalReason(*next, aLink);
      if (!reason.empty()) {
        aLink.orderQueue.Done();
        WithdrawStart(*next, reason, aNow);
        continue;
      }
      next->leaseUntil = aLink.GrantLease(aNow, mOptions.leaseDuration);
      aLink.runs[next->run].startSentAt = aNow;
      ++mCounters.starts;
    } else {
      ++mCounters.stops;
      auto run = aLink.runs.find(next->run);
      if (run != aLink.runs.end()) {
        run->second.stopSentAt = aNow;
      }
      auto unconfirmed = aLink.unconfirmedStarts.find(next->run);
      if (unconfirmed != aLink.unconfirmedStarts.end()) {
        unconfirmed->second = aNow;
      }
    }
    next->sentAt = aNow;
    mOrders.push_back(std::move(*next));
  }
  ScheduleWorker(aWorker.report.id, aNow + kWorkerCheckInterval);
}

void
Dispatcher::OnCommitted(const gen::Command& aCommand, Millis aNow)
{
  for (const gen::RunEnd& it : aCommand.ends) {
    RunRef run{ .task = FromWire(it.task),
                .attempt = Attempt(static_cast<uint32_t>(it.run)) };
    mProposals.OnEndCommitted(run);
    WorkerId worker(it.worker);
    auto kind = static_cast<EndKind>(it.kind);
    ++mCounters.ends[static_cast<size_t>(kind)];
    if (kind == EndKind::kDone) {
      mHealth.OnDone(worker);
      RecordRunTime(worker, run, aNow);
    } else if (kind == EndKind::kFailed) {
      mHealth.OnRunFailed(worker, run.task.job, aNow);
    }
    const Job* job = mState.FindJob(run.task.job);
    bool avoidWorker =
      kind == EndKind::kFailed || kind == EndKind::kWorkerCrashed;
    if (avoidWorker && job != nullptr && !job->Ended()) {
      mPlanner.OnRunFailed(run.task.job, worker);
    }
    auto link = mLinks.find(worker);
    if (link == mLinks.end()) {
      continue;
    }
    ScheduleWorker(worker, aNow);
    ScheduleGang(run, aNow);
    link->second.runs.erase(run);
    link->second.uncommittedEnds.erase(run);
    if (link->second.uncommittedEnds.empty()) {
      link->second.endsCommitted = link->second.endsProposed;
    }
  }
  for (const gen::WorkerGone& it : aCommand.gone) {
    mProposals.OnRemovalCommitted(WorkerId(it.id));
    if (mState.FindWorker(WorkerId(it.id)) == nullptr) {
      AbandonStarts(WorkerId(it.id), aNow);
      mLinks.erase(WorkerId(it.id));
      mSpeeds.Forget(WorkerId(it.id));
    }
  }
  for (const gen::WorkerReport& it : aCommand.workers) {
    if (const Worker* worker = mState.FindWorker(WorkerId(it.id))) {
      LinkOf(*worker, aNow).OnClock(Millis(it.clockMs), aNow);
    }
  }
  SendStarts(aCommand, aNow);
  mPlanDue = true;
  ScheduleTick(aNow);
}

void
Dispatcher::AbandonStarts(const WorkerId& aWorker, Millis aNow)
{
  std::erase_if(mAbandonedStarts, [&](const auto& aEntry) {
    return aNow - aEntry.second.since > kMaxStartDelay;
  });
  auto link = mLinks.find(aWorker);
  if (link != mLinks.end() && !link->second.startsWithoutAnswer.empty()) {
    mAbandonedStarts[aWorker] = { std::move(link->second.startsWithoutAnswer),
                                  aNow };
  }
}

void
Dispatcher::OnJobEnded(const JobId& aJob, Millis aNow)
{
  mPlanDue = true;
  mPlanner.OnJobEnded(aJob);
  mMonitor.OnJobEnded(aJob);
  const Job* job = mState.FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  for (const Occurrence& occurrence : job->occurrences) {
    for (const Step& step : occurrence.steps) {
      ScheduleStep(step, aNow);
    }
  }
}

void
Dispatcher::ScheduleGang(const RunRef& aRun, Millis aNow)
{
  const Job* job = mState.FindJob(aRun.task.job);
  if (job != nullptr && job->spec.steps[aRun.task.step].gang) {
    ScheduleStep(job->occurrences[aRun.task.occurrence].steps[aRun.task.step],
                 aNow);
  }
}

void
Dispatcher::ScheduleStep(const Step& aStep, Millis aNow)
{
  for (const Task& it : aStep.tasks) {
    if (it.phase == Task::Phase::kActive) {
      ScheduleWorker(it.worker, aNow);
    }
  }
}

void
Dispatcher::RecordRunTime(const WorkerId& aWorker,
                          const RunRef& aRun,
                          Millis aNow)
{
  const Job* job = mState.FindJob(aRun.task.job);
  auto link = mLinks.find(aWorker);
  if (job == nullptr || link == mLinks.end()) {
    return;
  }
  auto run = link->second.runs.find(aRun);
  // Runs that resumed from a checkpoint took less time than a whole task.
  bool ranWholeTask = run != link->second.runs.end() &&
                      run->second.startSentAt &&
                      mState.FindTask(aRun.task)->checkpoint.empty();
  if (ranWholeTask) {
    mForecast.OnDone(job->queue, aNow - *run->second.startSentAt);
  }
}

void
Dispatcher::ScheduleWorker(const WorkerId& aWorker, Millis aTime)
{
  mTimers.Schedule(aWorker, aTime);
  ScheduleTick(aTime);
}

void
Dispatcher::Tick(Millis aNow, Millis aWallNow)
{
  mNextTick = aNow + mOptions.heartbeatInterval;
  ReleaseTrials(aNow);
  for (const WorkerId& it : mTimers.TakeDue(aNow)) {
    if (const Worker* worker = mState.FindWorker(it)) {
      TickWorker(*worker, LinkOf(*worker, aNow), aNow);
    }
  }
  mPlannedAt.reset();
  bool planDue = (mPlanDue && aNow >= mEarliestPlan) || aNow >= mNextPlan;
  if (!mStartsProposed && planDue) {
    RunPlanningPass(aNow, aWallNow);
  }
  // At least 1 ms ahead, so that the caller does not tick again at once.
  ScheduleTick(mPlanDue ? std::max(mEarliestPlan, aNow + Millis(1))
                        : mNextPlan);
  ScheduleTick(mTimers.NextDue());
}

void
Dispatcher::TickWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  // Drop the views of runs that are no longer active, such as those lost with
  // an earlier incarnation.
  std::erase_if(aLink.runs, [&](const auto& aEntry) {
    return !aWorker.active.contains(aEntry.first);
  });
  if (aLink.gone) {
    TickGoneWorker(aWorker, aLink, aNow);
    return;
  }
  EndExpiredRuns(aWorker, aLink, aNow);
  EvictRuns(aWorker, aLink, aNow);
  StopRuns(aWorker, aLink, aNow);
  RenewWorker(aWorker, aLink, aNow);
  if (aWorker.active.empty() && aNow - aLink.lastHeard > kIdleWorkerTimeout) {
    mProposals.ProposeRemoval(aWorker);
  }
  ScheduleWorker(aWorker.report.id, aNow + kWorkerCheckInterval);
}

void
Dispatcher::EndExpiredRuns(const Worker& aWorker,
                           WorkerLink& aLink,
                           Millis aNow)
{
  if (aWorker.active.empty() || aLink.MayHoldLease() ||
      !aLink.HasLeaseExpired(aNow)) {
    return;
  }
  // A worker that has been silent since a start may have crashed or be cut off.
  // A start that it answered makes a suspect, one that it may not have received
  // only counts.
  for (const auto& [run, evidence] : JudgeCrash(aWorker, aLink, aNow)) {
    RunView& view = aLink.runs.at(run);
    bool atStart = evidence == CrashEvidence::kAtStart ||
                   evidence == CrashEvidence::kAloneAtStart;
    if (atStart && !view.crash) {
      view.crash = view.phase == RunView::Phase::kConfirmed
                     ? CrashEvidence::kAtStart
                     : CrashEvidence::kNone;
    }
  }
  for (const RunRef& it : aWorker.active) {
    auto run = aLink.runs.find(it);
    bool unresolved = run != aLink.runs.end() &&
                      run->second.phase == RunView::Phase::kUnresolved;
    if (unresolved && !mProposals.HasProposedEnd(it)) {
      aLink.unconfirmedStarts.emplace(it, run->second.stopSentAt);
    }
    if (run == aLink.runs.end()) {
      mProposals.ProposeEnd(aWorker.report.id, it, EndKind::kLost, {});
    } else {
      ProposeLostRun(aWorker, it, run->second);
    }
  }
}

void
Dispatcher::StopRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  aLink.refusesStops = false;
  for (auto& [run, view] : aLink.runs) {
    bool refused = view.stopRefusedSince &&
                   aNow - *view.stopRefusedSince >= mOptions.leaseDuration;
    aLink.refusesStops = aLink.refusesStops || refused;
    if (mMonitor.HasStalled(run, view, aLink)) {
      view.stopRequested = true;
      view.stopReason = StopReason::kStalled;
      ++mCounters.stalledRuns;
      LogRunEvent("run_stalled", aWorker.report.id, run)
        .Add("percent", view.progress.Percent())
        .Add("grew_ms_ago", aNow - *view.progress.LastIncreaseAt())
        .Add("heard_ms_ago", aNow - aLink.lastHeard);
      mHealth.OnStalled(aWorker.report.id, aNow);
    }
    if (!mMonitor.MustStop(run, view) || mProposals.HasProposedEnd(run)) {
      continue;
    }
    // An executed stop is repeated only when the run should have ended long
    // ago.
    Millis repeatInterval =
      view.stopExecuted ? mOptions.maxStopTime * 2 : kRetryDelay;
    if (aNow - view.stopSentAt >= repeatInterval) {
      view.stopSentAt = aNow;
      SendStop(aWorker, run, aNow);
    }
    ScheduleWorker(aWorker.report.id, view.stopSentAt + repeatInterval);
  }
  for (auto& [run, stopSentAt] : aLink.unconfirmedStarts) {
    if (!aLink.reachable) {
      break;
    }
    if (aNow - stopSentAt >= kRetryDelay) {
      stopSentAt = aNow;
      SendStop(aWorker, run, aNow);
    }
    ScheduleWorker(aWorker.report.id, stopSentAt + kRetryDelay);
  }
}

void
Dispatcher::RenewWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  bool pendingEnds = aLink.endsCommitted > aLink.endsAcknowledged;
  bool wanted = !aLink.tokenAcknowledged || !aLink.reachable || pendingEnds ||
                !aWorker.active.empty() || !aLink.unconfirmedStarts.empty();
  if (!wanted || aLink.renewalsInFlight > 0) {
    return;
  }
  if (aNow < aLink.nextRenewalAt) {
    ScheduleWorker(aWorker.report.id, aLink.nextRenewalAt);
    return;
  }
  // Waits until all proposed ends are committed; until then the worker would
  // only list them again.
  if (aLink.endsProposed > aLink.endsCommitted) {
    return;
  }
  bool stopsRequested =
    std::any_of(aLink.runs.begin(), aLink.runs.end(), [](const auto& aEntry) {
      return aEntry.second.stopRequested;
    });
  bool urgent = std::any_of(
    aWorker.active.begin(), aWorker.active.end(), [&](const RunRef& aRun) {
      return mState.FindJob(aRun.task.job)->priority == 0;
    });
  bool mayWait = aLink.tokenAcknowledged && aLink.reachable &&
                 !aWorker.active.empty() && !stopsRequested &&
                 aLink.earlierRenewalsInFlight == 0;
  Millis wait;
  if (mayWait) {
    wait = urgent ? mOptions.maxUrgentRenewalWait : mOptions.maxRenewalWait;
    for (const auto& [run, view] : aLink.runs) {
      Millis delay = mMonitor.MaxReportDelay(run, view);
      if (mMonitor.IsOnTrial(run, view)) {
        delay = std::min(delay, kTrialRenewalWait);
      }
      wait = std::min(wait, std::max(delay, kMinRenewalWait));
    }
  }
  // A lease may be in force from the moment it is sent, until the worker
  // refuses it. A worker that does not answer, or refuses stops, is sent none,
  // because its runs could then never be treated as ended.
  std::optional<Millis> leaseUntil;
  if (aLink.ClockLowerBound(aNow) && aLink.MaySendLease()) {
    leaseUntil = aLink.GrantLease(aNow, mOptions.leaseDuration);
  }
  SendRenewal(aWorker, aLink, wait, leaseUntil, aNow);
}

void
Dispatcher::SendRenewal(const Worker& aWorker,
                        WorkerLink& aLink,
                        Millis aWait,
                        std::optional<Millis> aLeaseUntil,
                        Millis aNow)
{
  Order renew = MakeOrder(Order::Kind::kRenew, aWorker, aNow);
  renew.acknowledgedEnds = aLink.endsCommitted;
  renew.wait = aWait;
  renew.leaseUntil = aLeaseUntil.value_or(Millis(0));
  ++aLink.renewalsInFlight;
  ++mCounters.renewals;
  mOrders.push_back(std::move(renew));
}

LogEvent&
Dispatcher::LogRunEvent(std::string_view aName,
                        const WorkerId& aWorker,
                        const RunRef& aRun)
{
  LogEvent& event = mEvents.emplace_back(aName);
  return event.Add("run", RunName(aRun)).Add("worker", aWorker);
}

std::vector<Order>
Dispatcher::TakeOrders()
{
  return std::exchange(mOrders, {});
}

} // namespace limpetwood::fleet
