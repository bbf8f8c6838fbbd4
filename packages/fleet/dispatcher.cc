#include "fleet/dispatcher.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// Pause before an order that got no answer is repeated.
constexpr Millis kRetryPause(400);
// Shortest time between two renewals of one worker.
constexpr Millis kRenewPause(100);
// A worker without runs that was silent this long is forgotten.
constexpr Millis kForgetAfter = Seconds(20);
// How long an unhealthy worker is left alone.
constexpr Millis kUnhealthyPause = Seconds(2);
// Each worker is looked at this often, for stalls and the ends of leases.
constexpr Millis kLookInterval(250);
// Shortest time between two plans, which bounds their share of the processor.
constexpr Millis kPlanPause(15);
// Plans are made at least this often while units wait.
constexpr Millis kPlanInterval(250);

} // namespace

Dispatcher::Dispatcher(DispatcherOptions aOptions,
                       const FleetState& aState,
                       FencingToken aToken,
                       Millis aNow)
  : mOptions(aOptions)
  , mState(aState)
  , mToken(aToken)
  , mProposals(aState)
  , mWatch(aState, mLinks, mForecast, aOptions.maxStopTime)
  , mPlanner(aOptions.planner)
  , mHealth(aOptions.health)
  , mPool(aState, mLinks, mHealth, mProposals, aOptions.heartbeatInterval)
  , mNextPlan(aNow)
  , mNextTick(aNow)
{
  for (const auto& [id, worker] : aState.Workers()) {
    LinkOf(worker, aNow);
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
  WorkerLink fresh(report.incarnation, aNow, mOptions.leaseDuration);
  fresh.draining = report.draining;
  fresh.sequence = report.sequence;
  for (const RunRef& run : aWorker.active) {
    bool underway = it != mLinks.end() && it->second.runs.contains(run) &&
                    it->second.runs[run].phase != RunView::Phase::kConfirmed;
    // What earlier leaders started, or an earlier incarnation ran, is resolved
    // by the first renewal; a start that is still underway, by a stop.
    fresh.runs[run] = underway ? RunView{ .phase = RunView::Phase::kUnresolved,
                                          .stopWanted = true }
                               : RunView{ .phase = RunView::Phase::kConfirmed,
                                          .resolvedAt = aNow - Millis(1) };
  }
  mHealth.Forget(report.id);
  WakeWorker(report.id, aNow);
  return mLinks.insert_or_assign(report.id, std::move(fresh)).first->second;
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
  bool same =
    known != nullptr && known->report.incarnation == aReport.incarnation;
  if (known != nullptr && !same &&
      aReport.incarnation < known->report.incarnation) {
    return false;
  }
  if (same) {
    WorkerLink& link = LinkOf(*known, aNow);
    if (aReport.sequence < link.sequence) {
      return false;
    }
    link.sequence = aReport.sequence;
    link.draining = aReport.draining;
    mPlanDue = mPlanDue || !mPool.IsUsable(aReport.id, aNow);
    link.lastHeard = aNow;
    link.OnClock(aReport.clock, aNow);
    const WorkerReport& held = known->report;
    if (held.draining == aReport.draining &&
        held.capacity == aReport.capacity && held.address == aReport.address &&
        held.service == aReport.service && held.labels == aReport.labels) {
      return false;
    }
  }
  mProposals.Report(aReport);
  return true;
}

bool
Dispatcher::OnLeave(const WorkerId& aWorker)
{
  const Worker* known = mState.FindWorker(aWorker);
  if (known == nullptr) {
    return false;
  }
  mProposals.Gone(*known);
  return true;
}

void
Dispatcher::OnResult(const Order& aOrder,
                     const OrderResult& aResult,
                     Millis aNow)
{
  const Worker* worker = mState.FindWorker(aOrder.worker);
  if (worker == nullptr || worker->report.incarnation != aOrder.incarnation) {
    return;
  }
  WorkerLink& link = LinkOf(*worker, aNow);
  bool usable = mPool.IsUsable(aOrder.worker, aNow);
  WakeWorker(aOrder.worker, aNow);
  if (aOrder.kind == Order::Kind::kRenew) {
    link.renewInFlight = false;
  } else {
    link.lane.Done();
  }
  if (aResult.outcome == OrderResult::Outcome::kOtherIncarnation) {
    mProposals.Gone(*worker);
    return;
  }
  bool silent = aResult.outcome == OrderResult::Outcome::kNotSent ||
                aResult.outcome == OrderResult::Outcome::kNoAnswer;
  link.reachable = !silent;
  if (silent) {
    ++mCounters.unansweredOrders;
    link.renewDue = std::max(link.renewDue, aNow + kRetryPause);
  } else {
    link.lastHeard = aNow;
  }
  if (aResult.clock) {
    link.OnClock(*aResult.clock, aNow);
  }
  switch (aOrder.kind) {
    case Order::Kind::kStart:
      mCounters.startResponseTimes.Observe(aNow - aOrder.sentAt);
      OnStartResult(aOrder, aResult, link, aNow);
      break;
    case Order::Kind::kStop: {
      auto run = link.runs.find(aOrder.run);
      if (!silent && run != link.runs.end()) {
        RunView& view = run->second;
        view.phase = RunView::Phase::kConfirmed;
        view.stopAnswered = true;
        // The first answer counts: a renewal that is sent from then on does
        // not list the run if it never came.
        view.resolvedAt = std::min(view.resolvedAt, aNow);
        link.renewDue = aNow;
      }
      if (!silent) {
        std::erase(link.suspects, aOrder.run);
      }
      break;
    }
    case Order::Kind::kRenew:
      if (aResult.outcome == OrderResult::Outcome::kAnswered) {
        OnRenewResult(aOrder, aResult, *worker, link, aNow);
      }
      break;
  }
  SendNext(*worker, link, aNow);
  mPlanDue = mPlanDue || usable != mPool.IsUsable(aOrder.worker, aNow);
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
        run.resolvedAt = aNow;
      }
      break;
    case OrderResult::Outcome::kRefused:
      ++mCounters.refusals[static_cast<size_t>(aResult.refusal)];
      if (aResult.refusal == OrderRefusal::kUnhealthy) {
        aLink.unhealthyUntil = aNow + kUnhealthyPause;
      }
      [[fallthrough]];
    case OrderResult::Outcome::kNotSent:
      NoteRun("start_refused", aOrder.worker, aOrder.run)
        .Add("reason",
             aResult.outcome == OrderResult::Outcome::kNotSent
               ? "not_sent"
               : OrderRefusalName(aResult.refusal))
        .Add("sent_ms_ago", aNow - aOrder.sentAt);
      mProposals.End(aOrder.worker, aOrder.run, EndKind::kRejected, {});
      break;
    case OrderResult::Outcome::kNoAnswer:
      NoteRun("start_unanswered", aOrder.worker, aOrder.run)
        .Add("sent_ms_ago", aNow - aOrder.sentAt)
        .Add("heard_ms_ago", aNow - aLink.lastHeard);
      run.phase = RunView::Phase::kUnresolved;
      run.stopWanted = true;
      break;
    case OrderResult::Outcome::kOtherIncarnation:
      break;
  }
}

void
Dispatcher::NoteRunning(const OrderResult& aResult,
                        WorkerLink& aLink,
                        Millis aNow)
{
  for (const RunningRun& it : aResult.running) {
    auto found = aLink.runs.find(it.run);
    if (found == aLink.runs.end()) {
      continue;
    }
    RunView& run = found->second;
    if (run.phase != RunView::Phase::kUnresolved) {
      run.phase = RunView::Phase::kConfirmed;
    }
    run.resolvedAt = std::min(run.resolvedAt, aNow);
    run.progress.Observe(it.percent, aNow);
    if (!it.checkpoint.empty()) {
      run.checkpoint = it.checkpoint;
    }
  }
}

void
Dispatcher::JudgeProgress(const OrderResult& aResult,
                          const Worker& aWorker,
                          WorkerLink& aLink,
                          Millis aNow)
{
  for (const RunningRun& it : aResult.running) {
    auto found = aLink.runs.find(it.run);
    if (found == aLink.runs.end() || found->second.stopWanted) {
      continue;
    }
    RunView& view = found->second;
    switch (mWatch.PaceOf(it.run, view)) {
      case Pace::kUnknown:
        break;
      case Pace::kSteady:
        mHealth.OnSteady(aWorker.report.id);
        break;
      case Pace::kHopeless:
        view.stopWanted = true;
        ++mCounters.laggingRuns;
        NoteRun("run_lagging", aWorker.report.id, it.run)
          .Add("percent", it.percent)
          .Add("seen_for_ms", aNow - view.progress.FirstAt().value_or(aNow));
        [[fallthrough]];
      case Pace::kLagging:
        mHealth.OnSlow(aWorker.report.id, aNow);
        break;
    }
  }
}

void
Dispatcher::OnRenewResult(const Order& aOrder,
                          const OrderResult& aResult,
                          const Worker& aWorker,
                          WorkerLink& aLink,
                          Millis aNow)
{
  aLink.fenced = true;
  aLink.endsAcknowledged =
    std::max(aLink.endsAcknowledged, aOrder.acknowledgedEnds);
  NoteRunning(aResult, aLink, aNow);
  std::set<RunRef> listed;
  for (const EndedRun& it : aResult.ended) {
    listed.insert(it.run);
    if (it.number > aLink.endsProposed) {
      aLink.endsProposed = it.number;
      if (mProposals.End(aOrder.worker, it.run, it.kind, it.checkpoint)) {
        aLink.openEnds.insert(it.run);
      }
    }
  }
  for (const RunningRun& it : aResult.running) {
    listed.insert(it.run);
    if (!aWorker.active.contains(it.run)) {
      SendStop(aWorker, it.run, aNow);
    }
  }
  for (const RunRef& it : aWorker.active) {
    auto run = aLink.runs.find(it);
    if (!listed.contains(it) && run != aLink.runs.end() &&
        run->second.resolvedAt < aOrder.sentAt) {
      mProposals.End(aOrder.worker, it, EndKind::kLost, run->second.checkpoint);
    }
  }
  JudgeProgress(aResult, aWorker, aLink, aNow);
  // Ends that change nothing need no commit before they are acknowledged.
  if (aLink.openEnds.empty()) {
    aLink.endsCommitted = aLink.endsProposed;
  }
  // Answers without a wait are asked for at a bounded rate.
  aLink.renewDue = std::max(aNow, aOrder.sentAt + kRenewPause);
}

void
Dispatcher::SendStop(const Worker& aWorker, const RunRef& aRun, Millis aNow)
{
  Order stop = MakeOrder(Order::Kind::kStop, aWorker, aNow);
  stop.run = aRun;
  WorkerLink& link = LinkOf(aWorker, aNow);
  link.lane.Add(std::move(stop));
  SendNext(aWorker, link, aNow);
}

std::string_view
Dispatcher::WhyWithdraw(const Order& aStart, const WorkerLink& aLink) const
{
  auto run = aLink.runs.find(aStart.run);
  if (run == aLink.runs.end() || mProposals.IsEnding(aStart.run) ||
      !mState.IsActive(aStart.run, aStart.worker)) {
    return "ended";
  }
  if (mWatch.MustStop(aStart.run, run->second)) {
    return "not_wanted";
  }
  // It would wait for a worker that may be gone, and elsewhere it need not.
  return aLink.reachable ? "" : "worker_silent";
}

void
Dispatcher::SendNext(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  while (std::optional<Order> next = aLink.lane.Next()) {
    if (next->kind == Order::Kind::kStart) {
      std::string_view reason = WhyWithdraw(*next, aLink);
      if (!reason.empty()) {
        aLink.lane.Done();
        ++mCounters.startsWithdrawn;
        NoteRun("start_withdrawn", next->worker, next->run)
          .Add("reason", reason)
          .Add("waited_ms", aNow - next->sentAt);
        mProposals.End(next->worker, next->run, EndKind::kRejected, {});
        WakeAt(aNow);
        continue;
      }
      next->leaseUntil = aLink.GrantUntil(aNow, mOptions.leaseDuration);
      aLink.runs[next->run].startSentAt = aNow;
      ++mCounters.starts;
    } else {
      ++mCounters.stops;
      auto run = aLink.runs.find(next->run);
      if (run != aLink.runs.end()) {
        run->second.stopSentAt = aNow;
      }
    }
    next->sentAt = aNow;
    mOrders.push_back(std::move(*next));
  }
  WakeWorker(aWorker.report.id, aNow + kLookInterval);
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
      LearnFrom(worker, run, aNow);
    } else if (kind == EndKind::kFailed) {
      mHealth.OnFailed(worker, run.task.job, aNow);
      const Job* job = mState.FindJob(run.task.job);
      if (job != nullptr && !job->Ended()) {
        mPlanner.OnFailed(run.task.job, worker);
      }
    }
    auto link = mLinks.find(worker);
    if (link == mLinks.end()) {
      continue;
    }
    WakeWorker(worker, aNow);
    WakeGang(run, aNow);
    link->second.runs.erase(run);
    link->second.openEnds.erase(run);
    if (link->second.openEnds.empty()) {
      link->second.endsCommitted = link->second.endsProposed;
    }
  }
  for (const gen::WorkerGone& it : aCommand.gone) {
    mProposals.OnGoneCommitted(WorkerId(it.id));
    if (mState.FindWorker(WorkerId(it.id)) == nullptr) {
      mLinks.erase(WorkerId(it.id));
    }
  }
  for (const gen::WorkerReport& it : aCommand.workers) {
    if (const Worker* worker = mState.FindWorker(WorkerId(it.id))) {
      LinkOf(*worker, aNow).OnClock(Millis(it.clockMs), aNow);
    }
  }
  SendStarts(aCommand, aNow);
  mPlanDue = true;
  WakeAt(aNow);
}

void
Dispatcher::OnJobEnded(const JobId& aJob, Millis aNow)
{
  mPlanDue = true;
  mPlanner.OnJobEnded(aJob);
  const Job* job = mState.FindJob(aJob);
  if (job == nullptr) {
    return;
  }
  for (const Occurrence& occurrence : job->occurrences) {
    for (const Step& step : occurrence.steps) {
      WakeStep(step, aNow);
    }
  }
}

void
Dispatcher::WakeGang(const RunRef& aRun, Millis aNow)
{
  const Job* job = mState.FindJob(aRun.task.job);
  if (job != nullptr && job->spec.steps[aRun.task.step].gang) {
    WakeStep(job->occurrences[aRun.task.occurrence].steps[aRun.task.step],
             aNow);
  }
}

void
Dispatcher::WakeStep(const Step& aStep, Millis aNow)
{
  for (const Task& it : aStep.tasks) {
    if (it.phase == Task::Phase::kActive) {
      WakeWorker(it.worker, aNow);
    }
  }
}

void
Dispatcher::LearnFrom(const WorkerId& aWorker, const RunRef& aRun, Millis aNow)
{
  const Job* job = mState.FindJob(aRun.task.job);
  auto link = mLinks.find(aWorker);
  if (job == nullptr || link == mLinks.end()) {
    return;
  }
  auto run = link->second.runs.find(aRun);
  // A run that resumed from a checkpoint was shorter than its task.
  bool whole = run != link->second.runs.end() && run->second.startSentAt &&
               mState.FindTask(aRun.task)->checkpoint.empty();
  if (whole) {
    mForecast.OnDone(job->queue, aNow - *run->second.startSentAt);
  }
}

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
    link.runs[run] = {};
    Order start = MakeOrder(Order::Kind::kStart, worker, aNow);
    start.run = run;
    start.payload = job.spec.payload;
    start.checkpoint = mState.FindTask(run.task)->checkpoint;
    link.lane.Add(std::move(start));
    SendNext(worker, link, aNow);
    link.renewDue = std::min(link.renewDue, aNow);
    WakeWorker(id, aNow);
    bool first = run.attempt == Attempt(1) && run.task.index == 0 &&
                 run.task.step == 0 && job.spec.occurrences == 0;
    if (first) {
      mCounters.startDelays.Observe(wallNow - job.acceptedAt);
    }
  }
}

void
Dispatcher::WakeWorker(const WorkerId& aWorker, Millis aTime)
{
  mAgenda.Wake(aWorker, aTime);
  WakeAt(aTime);
}

void
Dispatcher::Tick(Millis aNow, Millis aWallNow)
{
  mNextTick = aNow + mOptions.heartbeatInterval;
  for (const WorkerId& it : mAgenda.TakeDue(aNow)) {
    if (const Worker* worker = mState.FindWorker(it)) {
      TickWorker(*worker, LinkOf(*worker, aNow), aNow);
    }
  }
  bool planDue = (mPlanDue && aNow >= mEarliestPlan) || aNow >= mNextPlan;
  if (!mStartsProposed && planDue) {
    RunPlan(aNow, aWallNow);
  }
  WakeAt(mPlanDue ? std::max(mEarliestPlan, aNow + Millis(1)) : mNextPlan);
  WakeAt(mAgenda.Next());
}

void
Dispatcher::TickWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  // Runs that were started and lost with their incarnation.
  std::erase_if(aLink.runs, [&](const auto& aEntry) {
    return !aWorker.active.contains(aEntry.first);
  });
  EndLeases(aWorker, aLink, aNow);
  StopRuns(aWorker, aLink, aNow);
  RenewWorker(aWorker, aLink, aNow);
  if (aWorker.active.empty() && aNow - aLink.lastHeard > kForgetAfter) {
    mProposals.Gone(aWorker);
  }
  WakeWorker(aWorker.report.id, aNow + kLookInterval);
}

void
Dispatcher::EndLeases(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  if (aWorker.active.empty() || aLink.reachable || !aLink.LeaseOver(aNow)) {
    return;
  }
  for (const RunRef& it : aWorker.active) {
    auto run = aLink.runs.find(it);
    bool unresolved = run != aLink.runs.end() &&
                      run->second.phase == RunView::Phase::kUnresolved;
    if (unresolved && !mProposals.IsEnding(it)) {
      aLink.suspects.push_back(it);
    }
    mProposals.End(aWorker.report.id,
                   it,
                   EndKind::kLost,
                   run == aLink.runs.end() ? std::string()
                                           : run->second.checkpoint);
  }
}

void
Dispatcher::StopRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  for (auto& [run, view] : aLink.runs) {
    if (mWatch.HasStalled(run, view, aLink, mOptions.renewWait, aNow)) {
      view.stopWanted = true;
      ++mCounters.stalledRuns;
      NoteRun("run_stalled", aWorker.report.id, run)
        .Add("percent", view.progress.Percent())
        .Add("grew_ms_ago", aNow - *view.progress.GrewAt())
        .Add("heard_ms_ago", aNow - aLink.lastHeard);
      mHealth.OnStalled(aWorker.report.id, aNow);
    }
    if (!mWatch.MustStop(run, view) || mProposals.IsEnding(run)) {
      continue;
    }
    // A stop that was answered needs no repetition until it should be over.
    Millis pause = view.stopAnswered ? mOptions.maxStopTime * 2 : kRetryPause;
    if (aNow - view.stopSentAt >= pause) {
      view.stopSentAt = aNow;
      SendStop(aWorker, run, aNow);
    }
    WakeWorker(aWorker.report.id, view.stopSentAt + pause);
  }
  for (const RunRef& it : aLink.suspects) {
    if (aLink.reachable) {
      SendStop(aWorker, it, aNow);
    }
  }
}

void
Dispatcher::RenewWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow)
{
  bool pendingEnds = aLink.endsCommitted > aLink.endsAcknowledged;
  bool wanted = !aLink.fenced || !aLink.reachable || pendingEnds ||
                !aWorker.active.empty() || !aLink.suspects.empty();
  if (!wanted || aLink.renewInFlight) {
    return;
  }
  if (aNow < aLink.renewDue) {
    WakeWorker(aWorker.report.id, aLink.renewDue);
    return;
  }
  // Ends that are on their way to the log would be listed again.
  if (aLink.endsProposed > aLink.endsCommitted) {
    return;
  }
  Order renew = MakeOrder(Order::Kind::kRenew, aWorker, aNow);
  renew.acknowledgedEnds = aLink.endsCommitted;
  bool resolving =
    std::any_of(aLink.runs.begin(), aLink.runs.end(), [](const auto& aEntry) {
      return aEntry.second.stopWanted;
    });
  bool urgent = std::any_of(
    aWorker.active.begin(), aWorker.active.end(), [&](const RunRef& aRun) {
      return mState.FindJob(aRun.task.job)->priority == 0;
    });
  bool mayWait =
    aLink.fenced && aLink.reachable && !aWorker.active.empty() && !resolving;
  if (mayWait) {
    renew.wait = urgent ? mOptions.urgentWait : mOptions.renewWait;
  }
  // A lease that is sent may be in force from then on, so none is sent to a
  // worker that does not answer; its runs could never be given up.
  if (aLink.ClockFloor(aNow) && aLink.suspects.empty() && aLink.reachable) {
    renew.leaseUntil = aLink.GrantUntil(aNow, mOptions.leaseDuration);
  }
  aLink.renewInFlight = true;
  ++mCounters.renewals;
  mOrders.push_back(std::move(renew));
}

void
Dispatcher::RunPlan(Millis aNow, Millis aWallNow)
{
  ++mCounters.planningPasses;
  mPlanDue = false;
  mEarliestPlan = aNow + kPlanPause;
  FleetView view{ .state = &mState,
                  .candidates = mPool.Candidates(aNow),
                  .costOf =
                    [&](const WorkerId& aWorker, const RunRef& aRun) {
                      return mWatch.CostOf(aWorker, aRun, aNow);
                    },
                  .restOf =
                    [&](const WorkerId& aWorker, const RunRef& aRun) {
                      return mWatch.RestOf(aWorker, aRun, aNow);
                    },
                  .forecast = &mForecast,
                  .now = aNow,
                  .wallNow = aWallNow };
  Plan plan = mPlanner.Decide(std::move(view));
  mBlocked = plan.blocked;
  mNextPlan = aNow + (plan.blocked > 0 ? kPlanInterval : Seconds(1));
  if (plan.nextDue != Millis::Max()) {
    mNextPlan = std::min(mNextPlan, aNow + (plan.nextDue - aWallNow));
  }
  for (const PlannedStart& it : plan.starts) {
    mProposals.Start(it.run, it.worker, it.incarnation);
  }
  mStartsProposed = !plan.starts.empty();
  NoteStarts(plan);
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
  if (run != link->second.runs.end() && !run->second.stopWanted) {
    NoteRun("run_preempted", aStop.worker, aStop.run)
      .Add("room_for", aStop.roomFor)
      .Add("percent", run->second.progress.Percent())
      .Add("lost_ms", mWatch.CostOf(aStop.worker, aStop.run, aNow).lost);
    run->second.stopWanted = true;
    ++mCounters.preemptions;
  }
  StopRuns(*worker, link->second, aNow);
}

void
Dispatcher::NoteStarts(const Plan& aPlan)
{
  // One line for the tasks of a step that start together.
  for (size_t n = 0; n < aPlan.starts.size();) {
    const RunRef& first = aPlan.starts[n].run;
    std::string workers;
    size_t count = 0;
    while (n < aPlan.starts.size() &&
           aPlan.starts[n].run.task.job == first.task.job &&
           aPlan.starts[n].run.task.step == first.task.step &&
           aPlan.starts[n].run.task.occurrence == first.task.occurrence) {
      workers += (count == 0 ? "" : ",") + aPlan.starts[n].worker.Value();
      ++count;
      ++n;
    }
    mEvents.emplace_back("runs_started")
      .Add("first", NameOf(first))
      .Add("tasks", count)
      .Add("workers", workers)
      .Add("blocked_units", aPlan.blocked);
  }
}

LogEvent&
Dispatcher::NoteRun(std::string_view aName,
                    const WorkerId& aWorker,
                    const RunRef& aRun)
{
  LogEvent& event = mEvents.emplace_back(aName);
  return event.Add("run", NameOf(aRun)).Add("worker", aWorker);
}

std::vector<Order>
Dispatcher::TakeOrders()
{
  return std::exchange(mOrders, {});
}

} // namespace limpetwood::fleet
