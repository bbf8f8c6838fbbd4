#include "fleet/planner.h"

#include "fleet/crash_evidence.h"
#include "fleet/reclaim.h"
#include "fleet/reservation.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace limpetwood::fleet {

namespace {

// Additional time of a task on a slow worker, in percent of its expected time.
constexpr int64_t kMaxSlowdownPercent = 125;
// Bounds of the time between two attempts to make room for a unit; see
// `Planner::MustSkipAttempt`.
constexpr Millis kMinAttemptDelay(50);
constexpr Millis kMaxAttemptDelay(500);
// Time within which a task must end on a worker that is reserved, in percent of
// its expected time.
constexpr int64_t kBackfillPercent = 150;

// Returns the tasks of one step of an occurrence that can start now.
// A gang starts only as a whole, so none of its tasks can start while one is
// active.
std::vector<uint32_t>
WaitingTasks(const Job& aJob, uint32_t aOccurrence, uint32_t aStep)
{
  std::vector<uint32_t> out;
  const StepSpec& spec = aJob.spec.steps[aStep];
  if (aOccurrence >= aJob.occurrences.size()) {
    for (uint32_t n = 0; n < spec.tasks; ++n) {
      out.push_back(n);
    }
    return out;
  }
  const Step& step = aJob.occurrences[aOccurrence].steps[aStep];
  if (spec.gang && step.active > 0) {
    return out;
  }
  for (uint32_t n = 0; n < spec.tasks; ++n) {
    if (step.tasks[n].phase == Task::Phase::kWaiting) {
      out.push_back(n);
    }
  }
  return out;
}

bool
DependenciesDone(const Job& aJob, uint32_t aOccurrence, uint32_t aStep)
{
  const std::vector<uint32_t>& dependencies =
    aJob.spec.steps[aStep].dependencies;
  return std::all_of(
    dependencies.begin(), dependencies.end(), [&](uint32_t aEarlier) {
      return aJob.StepDone(aOccurrence, aEarlier);
    });
}

Attempt
LastAttemptOf(const Unit& aUnit, uint32_t aTask)
{
  if (aUnit.occurrence >= aUnit.job->occurrences.size()) {
    return {};
  }
  const Step& step = aUnit.job->occurrences[aUnit.occurrence].steps[aUnit.step];
  // All members of a gang start with the same attempt number.
  return aUnit.Spec().gang ? step.lastAttempt : step.tasks[aTask].attempt;
}

// Active tasks of the unit's step, and those that the pass starts, by worker.
std::map<WorkerId, uint32_t>
ActiveTasksOf(const Unit& aUnit, const Plan& aPlan)
{
  std::map<WorkerId, uint32_t> out;
  if (aUnit.occurrence < aUnit.job->occurrences.size()) {
    const Occurrence& occurrence = aUnit.job->occurrences[aUnit.occurrence];
    for (const Task& it : occurrence.steps[aUnit.step].tasks) {
      if (it.phase == Task::Phase::kActive) {
        ++out[it.worker];
      }
    }
  }
  for (const PlannedStart& it : aPlan.starts) {
    if (StepOf(it.run.task) == aUnit.Ref()) {
      ++out[it.worker];
    }
  }
  return out;
}

// Idle and total resources of some workers.
class Usage
{
public:
  void Add(const Candidate& aWorker)
  {
    mIdle += aWorker.available;
    mTotal += aWorker.report->capacity;
  }
  // Counts processors if the workers have no accelerators.
  bool MoreThanHalfIdle() const
  {
    return mTotal.accelerators > 0
             ? mIdle.accelerators * 2 > mTotal.accelerators
             : mIdle.cpu * 2 > mTotal.cpu;
  }

private:
  Resources mIdle;
  Resources mTotal;
};

} // namespace

void
FleetView::AddCallerLoss(RunEstimate& aRun, const CallerCost& aCost)
{
  const Job& job = *aRun.job;
  uint32_t occurrence = aRun.run.task.occurrence;
  Millis total = aRun.cost.totalTime;
  // Tasks that last have no end by which they could be late.
  if (aRun.remaining == Millis::Max() ||
      job.spec.steps[aRun.run.task.step].longRunning) {
    return;
  }
  if (aCost.IsWorthless(job, occurrence, aRun.remaining, total)) {
    aRun.cost.lostWork = Millis(0);
  }
  // A run that saves checkpoints goes on where it was.
  if (!job.spec.steps[aRun.run.task.step].savesCheckpoints) {
    aRun.callerLoss =
      aCost.LossByRestart(job, occurrence, aRun.remaining, total);
  }
}

const std::vector<RunEstimate>&
FleetView::RunsOf(const Candidate& aWorker) const
{
  auto [it, inserted] = runEstimates.try_emplace(aWorker.report);
  if (!inserted) {
    return it->second;
  }
  for (const RunRef& run : state->FindWorker(aWorker.id)->active) {
    const Job* job = state->FindJob(run.task.job);
    it->second.push_back(
      { .run = run,
        .job = job,
        .resources = job->spec.steps[run.task.step].CountedResources(),
        .remaining = remainingTimeOf(aWorker.id, run),
        .cost = costOf(aWorker.id, run) });
    RunEstimate& added = it->second.back();
    if (callerCost != nullptr && !added.cost.stopping) {
      AddCallerLoss(added, *callerCost);
    }
  }
  std::sort(it->second.begin(),
            it->second.end(),
            [](const RunEstimate& x, const RunEstimate& y) {
              return x.remaining < y.remaining;
            });
  return it->second;
}

std::vector<Unit>
Planner::CollectUnits(const FleetView& aView, Plan& aPlan) const
{
  std::vector<Unit> out;
  for (const JobId& id : aView.state->LiveJobs()) {
    const Job& job = *aView.state->FindJob(id);
    if (job.Ended()) {
      continue;
    }
    for (uint32_t k = 0; k < job.spec.OccurrenceCount(); ++k) {
      Millis due = job.acceptedAt;
      if (job.spec.occurrences > 0) {
        due = job.spec.firstRunAt + job.spec.interval * k;
      }
      if (due > aView.wallNow && job.spec.occurrences > 0) {
        aPlan.nextDue = std::min(aPlan.nextDue, due);
        break;
      }
      for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        if (job.StepDone(k, step) || !DependenciesDone(job, k, step)) {
          continue;
        }
        std::vector<uint32_t> tasks = WaitingTasks(job, k, step);
        if (!tasks.empty()) {
          AddUnit({ .job = &job,
                    .occurrence = k,
                    .step = step,
                    .tasks = std::move(tasks),
                    .due = due },
                  aView,
                  out);
        }
      }
    }
  }
  return out;
}

void
Planner::AddUnit(Unit aUnit, const FleetView& aView, std::vector<Unit>& aUnits)
{
  const Job& job = *aUnit.job;
  if (aUnit.occurrence >= job.occurrences.size()) {
    aUnits.push_back(std::move(aUnit));
    return;
  }
  const Step& step = job.occurrences[aUnit.occurrence].steps[aUnit.step];
  bool anySuspect = std::any_of(step.tasks.begin(),
                                step.tasks.end(),
                                [](const Task& it) { return IsSuspect(it); });
  if (!anySuspect || aUnit.Spec().gang) {
    aUnit.onTrial = anySuspect;
    aUnits.push_back(std::move(aUnit));
    return;
  }
  bool onTrial = false;
  bool passed = false;
  for (uint32_t n = 0; n < step.tasks.size(); ++n) {
    const Task& task = step.tasks[n];
    if (!IsSuspect(task) || task.phase == Task::Phase::kWaiting) {
      continue;
    }
    RunRef run{ { job.id, aUnit.occurrence, aUnit.step, n }, task.attempt };
    bool active = task.phase == Task::Phase::kActive;
    bool tried = active && aView.isOnTrial && aView.isOnTrial(task.worker, run);
    onTrial = onTrial || tried;
    passed = passed || !tried;
  }
  if (onTrial && !passed) {
    return;
  }
  auto suspects = std::stable_partition(
    aUnit.tasks.begin(), aUnit.tasks.end(), [&](uint32_t aTask) {
      return !IsSuspect(step.tasks[aTask]);
    });
  Unit trial = aUnit;
  trial.onTrial = true;
  trial.tasks.assign(suspects, aUnit.tasks.end());
  aUnit.tasks.erase(suspects, aUnit.tasks.end());
  if (!passed && !trial.tasks.empty()) {
    trial.tasks.resize(1);
  } else if (!aUnit.tasks.empty()) {
    aUnits.push_back(std::move(aUnit));
  }
  if (!trial.tasks.empty()) {
    aUnits.push_back(std::move(trial));
  }
}

Plan
Planner::Decide(FleetView aView)
{
  Plan plan;
  std::optional<CallerCost> callerCost;
  if (mOptions.callerCost) {
    callerCost.emplace(*aView.state, *aView.forecast, aView.wallNow);
    aView.callerCost = &*callerCost;
  }
  std::vector<Unit> units = CollectUnits(aView, plan);
  SortByRank(units, aView);
  std::erase_if(mPendingPreemptions, [&](const auto& aEntry) {
    const Job* job = aView.state->FindJob(aEntry.first);
    return aEntry.second.expiresAt <= aView.now || job == nullptr ||
           job->Ended();
  });
  std::map<UnitKey, Waiting> waiting;
  for (const Unit& it : units) {
    auto known = mWaiting.find(KeyOf(it));
    waiting[KeyOf(it)] =
      known == mWaiting.end()
        ? Waiting{ .since = aView.now,
                   .nextReportAt = aView.now + mOptions.minReportDelay }
        : known->second;
  }
  mWaiting = std::move(waiting);
  mTotalWeight = 0;
  mReservedWeight = 0;
  for (const auto& [id, worker] : aView.state->Workers()) {
    if (!aView.state->IsEvacuated(worker.report.zone)) {
      mTotalWeight += ResourceWeight(worker.report.capacity);
    }
  }
  size_t handledUnits = 0;
  bool limitReached = false;
  mUnplaceable.clear();
  for (const Unit& it : units) {
    bool knownNotToFit = IsKnownNotToFit(it, aView, plan);
    size_t placed = 0;
    bool needsOneRack = false;
    if (!knownNotToFit) {
      PlacementRequest request = RequestFor(it, aView, plan, 0);
      needsOneRack = fleet::NeedsOneRack(request);
      placed = PlaceUnit(it, request, aView, plan);
    }
    if (placed == it.tasks.size()) {
      mPendingPreemptions.erase(it.job->id);
      continue;
    }
    ++plan.blockedUnits;
    ReportIfDue(it, placed, aView, plan);
    // Whether there are idle workers says nothing about other units, and
    // nothing is stopped or reserved to get one.
    bool needsIdleWorkers = NeedsIdleWorkers(it, aView);
    if (!knownNotToFit && !needsIdleWorkers) {
      mUnplaceable.push_back({ .unit = &it, .needsOneRack = needsOneRack });
    }
    if (HoldPending(it, aView)) {
      ++handledUnits;
      continue;
    }
    if (needsIdleWorkers || MustSkipAttempt(it, aView)) {
      continue;
    }
    if (handledUnits >= mOptions.maxBlockedUnitsPerPass) {
      limitReached = true;
      continue;
    }
    ++handledUnits;
    MakeRoomFor(it, placed, aView, plan);
  }
  mLimitReached = limitReached;
  mUnplaceable.clear();
  mHeldWorkers.clear();
  return plan;
}

bool
Planner::HoldPending(const Unit& aUnit, FleetView& aView)
{
  auto pending = mPendingPreemptions.find(aUnit.job->id);
  if (pending == mPendingPreemptions.end()) {
    return false;
  }
  HoldWorkers(pending->second.workers,
              aUnit,
              HeldWorker::Reason::kPreemption,
              pending->second.expiresAt - aView.now,
              aView);
  return true;
}

void
Planner::MakeRoomFor(const Unit& aUnit,
                     size_t aPlaced,
                     FleetView& aView,
                     Plan& aPlan)
{
  bool urgent = aUnit.job->priority == 0;
  bool gang = aUnit.Spec().gang;
  // Nothing is stopped or reserved for other units.
  if (!urgent && !gang) {
    return;
  }
  PlacementRequest request = RequestFor(aUnit, aView, aPlan, aPlaced);
  auto reservation = ChooseReservation(request, aView);
  if (mOptions.preemptionEnabled && urgent &&
      !WillFitInTime(aUnit, reservation, aView)) {
    PreemptFor(aUnit, std::move(request), aView, aPlan);
  }
  bool preempted = HoldPending(aUnit, aView);
  RecordAttempt(aUnit, !preempted && !reservation, aView);
  if (!preempted && mOptions.reservationsEnabled && gang && reservation) {
    Reserve(aUnit, *std::move(reservation), aView);
  }
}

bool
Planner::MustSkipAttempt(const Unit& aUnit, const FleetView& aView) const
{
  return mLimitReached && aUnit.job->priority == 0 &&
         aView.now < mWaiting.at(KeyOf(aUnit)).nextAttemptAt;
}

void
Planner::RecordAttempt(const Unit& aUnit,
                       bool aFitsNowhere,
                       const FleetView& aView)
{
  Waiting& waiting = mWaiting.at(KeyOf(aUnit));
  waiting.attemptDelay =
    aFitsNowhere
      ? std::clamp(waiting.attemptDelay * 2, kMinAttemptDelay, kMaxAttemptDelay)
      : Millis(0);
  waiting.nextAttemptAt = aView.now + waiting.attemptDelay;
}

bool
Planner::IsKnownNotToFit(const Unit& aUnit,
                         const FleetView& aView,
                         const Plan& aPlan) const
{
  const StepSpec& step = aUnit.Spec();
  // Evaluated only if a comparable unit failed, since it visits all candidates.
  std::optional<bool> needsOneRack;
  auto rackCovered = [&](const UnplaceableUnit& aFailed) {
    if (!aFailed.needsOneRack) {
      return true;
    }
    // With equal requirements, only the waiting times can make a difference.
    const StepSpec& failed = aFailed.unit->Spec();
    bool equal = step.prefersOneRack && step.perWorkerLimit == 0 &&
                 aUnit.tasks.size() == aFailed.unit->tasks.size() &&
                 step.CountedResources() == failed.CountedResources() &&
                 step.label == failed.label && !WaitedForRack(aUnit, aView);
    if (!equal && !needsOneRack) {
      needsOneRack = NeedsOneRack(aUnit, aView, aPlan);
    }
    return equal || *needsOneRack;
  };
  return std::any_of(
    mUnplaceable.begin(),
    mUnplaceable.end(),
    [&](const UnplaceableUnit& aFailed) {
      const StepSpec& failed = aFailed.unit->Spec();
      bool resourcesCovered =
        failed.CountedResources().FitsIn(step.CountedResources());
      // Single tasks start one by one; a gang, and tasks that need one rack,
      // need resources for all of them.
      bool sizeCovered = (!failed.gang && !aFailed.needsOneRack) ||
                         ((step.gang || aFailed.needsOneRack) &&
                          aUnit.tasks.size() >= aFailed.unit->tasks.size());
      bool labelCovered = failed.label.empty() || failed.label == step.label;
      bool unlimited = failed.perWorkerLimit == 0;
      bool reservationsCovered =
        mReservedWeight == 0 ||
        DurationOf(*aFailed.unit, aView) <= DurationOf(aUnit, aView);
      return aFailed.unit->job->service == aUnit.job->service &&
             resourcesCovered && sizeCovered && labelCovered && unlimited &&
             reservationsCovered && rackCovered(aFailed);
    });
}

void
Planner::HoldWorkers(std::vector<WorkerId> aWorkers,
                     const Unit& aUnit,
                     HeldWorker::Reason aReason,
                     Millis aRemaining,
                     FleetView& aView)
{
  std::sort(aWorkers.begin(), aWorkers.end());
  std::erase_if(aView.candidates, [&](const Candidate& aCandidate) {
    bool held =
      std::binary_search(aWorkers.begin(), aWorkers.end(), aCandidate.id);
    if (held) {
      mHeldWorkers.push_back({ .candidate = aCandidate,
                               .beneficiary = aUnit.Ref(),
                               .reason = aReason,
                               .remaining = aRemaining });
    }
    return held;
  });
}

void
Planner::ReportIfDue(const Unit& aUnit,
                     size_t aPlaced,
                     const FleetView& aView,
                     Plan& aPlan)
{
  Waiting& waiting = mWaiting.at(KeyOf(aUnit));
  if (aView.now < waiting.nextReportAt || aView.now < mNextReportAt) {
    return;
  }
  Millis waited = aView.now - waiting.since;
  waiting.nextReportAt = aView.now + std::min(waited, mOptions.maxReportDelay);
  mNextReportAt = aView.now + mOptions.minReportInterval;
  PlacementRequest request = RequestFor(aUnit, aView, aPlan, aPlaced);
  WaitReport report = ReportWait(request, aView, mHeldWorkers);
  if (fleet::NeedsOneRack(request)) {
    report.rackWait = ExpectedRackWait(request, aView, mHeldWorkers);
  }
  report.step = aUnit.Ref();
  report.waited = waited;
  aPlan.waits.push_back(std::move(report));
}

bool
Planner::WillFitInTime(const Unit& aUnit,
                       const std::optional<ReservationChoice>& aChoice,
                       const FleetView& aView) const
{
  return aChoice && aView.wallNow + aChoice->wait <= LatestStart(aUnit, aView);
}

void
Planner::Reserve(const Unit& aUnit, ReservationChoice aChoice, FleetView& aView)
{
  double limit = mTotalWeight * mOptions.maxReservedShare;
  if (mReservedWeight + aChoice.weight > limit) {
    return;
  }
  mReservedWeight += aChoice.weight;
  std::sort(aChoice.workers.begin(), aChoice.workers.end());
  for (Candidate& it : aView.candidates) {
    bool earlier = !it.reservation || aChoice.wait < it.reservation->startsIn;
    if (earlier && std::binary_search(
                     aChoice.workers.begin(), aChoice.workers.end(), it.id)) {
      it.reservation = { .beneficiary = aUnit.Ref(), .startsIn = aChoice.wait };
    }
  }
}

Millis
Planner::DurationOf(const Unit& aUnit, const FleetView& aView) const
{
  const StepSpec& step = aUnit.Spec();
  if (step.longRunning) {
    return mOptions.maxLastingDelay;
  }
  Millis expected =
    aView.forecast->ExpectedTime(aUnit.job->queue, step.estimate);
  return std::clamp(expected * kBackfillPercent / 100,
                    mOptions.minReservationDelay,
                    mOptions.maxReservationDelay);
}

Millis
Planner::LatestStart(const Unit& aUnit, const FleetView& aView) const
{
  const Job& job = *aUnit.job;
  Millis criticalPath = CriticalPathTime(job, *aView.forecast);
  Millis taskTime =
    aView.forecast->ExpectedTime(job.queue, aUnit.Spec().estimate);
  auto allowed = static_cast<int64_t>(
    static_cast<double>(criticalPath.Count()) * job.stretch);
  return aUnit.due + job.targetLatency + Millis(allowed) - taskTime;
}

SpeedPreference
Planner::SpeedFor(const Unit& aUnit, const FleetView& aView) const
{
  if (!mOptions.callerCost) {
    return SpeedPreference::kNone;
  }
  if (aUnit.job->priority == 0) {
    return SpeedPreference::kFast;
  }
  // On a slow worker the result must still be in time.
  Millis taskTime =
    aView.forecast->ExpectedTime(aUnit.job->queue, aUnit.Spec().estimate);
  Millis delay = taskTime * kMaxSlowdownPercent / 100;
  bool hasSlack = aView.wallNow + delay <= LatestStart(aUnit, aView);
  return hasSlack ? SpeedPreference::kSlow : SpeedPreference::kNone;
}

Planner::Rank
Planner::RankOf(const Unit& aUnit, const FleetView& aView) const
{
  if (mOptions.rankPolicy == RankPolicy::kArrivalOrder) {
    return { 0, 0, aUnit.due, aUnit.job->id.Value() };
  }
  if (mOptions.rankPolicy == RankPolicy::kShortestFirst) {
    return { 0, 0, aUnit.Spec().estimate, aUnit.job->id.Value() };
  }
  Millis latest = LatestStart(aUnit, aView);
  Millis taskTime =
    aView.forecast->ExpectedTime(aUnit.job->queue, aUnit.Spec().estimate);
  Millis objective = latest + taskTime - aUnit.due;
  Millis valueEndsAt = aUnit.due + objective * mOptions.maxLatenessFactor;
  bool late = aView.wallNow > latest;
  bool hasNoValue = aView.wallNow + taskTime > valueEndsAt;
  // Tiers: 0 for urgent units, 1 for units in time, 2 for late ones, and 3 for
  // those whose result will have no value. Urgent units always come first: late
  // urgent work is worth as much as other work that is in time.
  int tier = hasNoValue ? 3 : late && aUnit.job->priority > 0 ? 2 : 1;
  if (aUnit.job->priority == 0) {
    tier = 0;
  }
  return { tier, aUnit.job->priority, latest, aUnit.job->id.Value() };
}

void
Planner::SortByRank(std::vector<Unit>& aUnits, const FleetView& aView) const
{
  std::vector<std::pair<Rank, size_t>> order;
  order.reserve(aUnits.size());
  for (size_t n = 0; n < aUnits.size(); ++n) {
    order.emplace_back(RankOf(aUnits[n], aView), n);
  }
  std::sort(order.begin(), order.end());
  std::vector<Unit> sorted;
  sorted.reserve(aUnits.size());
  for (const auto& [rank, n] : order) {
    sorted.push_back(std::move(aUnits[n]));
  }
  aUnits = std::move(sorted);
}

PlacementRequest
Planner::RequestFor(const Unit& aUnit,
                    const FleetView& aView,
                    const Plan& aPlan,
                    size_t aPlaced) const
{
  bool limited = aUnit.Spec().perWorkerLimit > 0;
  PlacementRequest out{
    .step = &aUnit.Spec(),
    .ref = aUnit.Ref(),
    .service = &aUnit.job->service,
    .tasks = static_cast<uint32_t>(aUnit.tasks.size() - aPlaced),
    .duration = DurationOf(aUnit, aView),
    .activeTasks =
      limited ? ActiveTasksOf(aUnit, aPlan) : std::map<WorkerId, uint32_t>(),
    .isAvoided =
      [this, &job = aUnit.job->id](const WorkerId& aWorker) {
        auto failed = mWorkersWithFailures.find(job);
        return failed != mWorkersWithFailures.end() &&
               failed->second.contains(aWorker);
      },
    .speed = SpeedFor(aUnit, aView),
    .onTrial = aUnit.onTrial,
    .onIdleWorkers = NeedsIdleWorkers(aUnit, aView),
    .bestFit = mOptions.bestFit,
  };
  out.maySpanRacks = MaySpanRacks(aUnit, out, aView);
  return out;
}

Planner::UnitKey
Planner::KeyOf(const Unit& aUnit)
{
  return { aUnit.job->id, aUnit.occurrence, aUnit.step, aUnit.onTrial };
}

Millis
Planner::WaitingTime(const Unit& aUnit, const FleetView& aView) const
{
  auto waiting = mWaiting.find(KeyOf(aUnit));
  return waiting == mWaiting.end() ? Millis(0)
                                   : aView.now - waiting->second.since;
}

bool
Planner::NeedsIdleWorkers(const Unit& aUnit, const FleetView& aView) const
{
  return aUnit.onTrial && WaitingTime(aUnit, aView) < mOptions.maxTrialWait;
}

bool
Planner::CouldOneRackHold(const PlacementRequest& aRequest,
                          const FleetView& aView) const
{
  std::map<uint32_t, uint32_t> tasksByRack;
  auto add = [&](const Candidate& aWorker) {
    if (auto idle = WorkerRoom::OnIdle(aRequest, aWorker)) {
      tasksByRack[aWorker.rack] += idle->Tasks();
    }
  };
  for (const Candidate& it : aView.candidates) {
    add(it);
  }
  for (const HeldWorker& it : mHeldWorkers) {
    add(it.candidate);
  }
  return std::any_of(
    tasksByRack.begin(), tasksByRack.end(), [&](const auto& aEntry) {
      return aEntry.second >= aRequest.tasks;
    });
}

bool
Planner::MaySpanRacks(const Unit& aUnit,
                      const PlacementRequest& aRequest,
                      const FleetView& aView) const
{
  const StepSpec& step = aUnit.Spec();
  if (!step.prefersOneRack || aRequest.tasks < 2) {
    return false;
  }
  bool neverFits = !CouldOneRackHold(aRequest, aView);
  if (neverFits || !WaitedForRack(aUnit, aView)) {
    return neverFits;
  }
  uint64_t tasksThatFit = 0;
  Usage matching;
  Usage service;
  for (const Candidate& it : aView.candidates) {
    if (it.report->service != aUnit.job->service) {
      continue;
    }
    service.Add(it);
    if (MayRun(step, aUnit.job->service, *it.report) &&
        !IsReservedAgainst(aRequest, it)) {
      matching.Add(it);
      auto room = WorkerRoom::On(aRequest, it);
      tasksThatFit += room ? room->Tasks() : 0;
    }
  }
  for (const HeldWorker& it : mHeldWorkers) {
    if (it.candidate.report->service == aUnit.job->service) {
      service.Add(it.candidate);
    }
  }
  // A step that lasts must not stand still while there is room. Others would
  // only run slower for having started earlier.
  bool lastsWithRoom =
    step.longRunning && tasksThatFit >= uint64_t{ aRequest.tasks } * 2;
  if (matching.MoreThanHalfIdle() || lastsWithRoom) {
    return true;
  }
  // Nothing would start on several racks either, and no room is made or
  // reserved there.
  if (tasksThatFit == 0 && !step.gang && aUnit.job->priority > 0) {
    return false;
  }
  std::optional<Millis> rackWait =
    ExpectedRackWait(aRequest, aView, mHeldWorkers);
  if (!rackWait) {
    return true;
  }
  Millis waited = WaitingTime(aUnit, aView);
  bool soon =
    waited < mOptions.maxRackWait * 2 && *rackWait <= mOptions.maxRackWait;
  if (service.MoreThanHalfIdle() && tasksThatFit >= aRequest.tasks && !soon) {
    return true;
  }
  // The estimate of tasks that last is not their run time.
  Millis taskTime =
    step.longRunning
      ? Millis(0)
      : aView.forecast->ExpectedTime(aUnit.job->queue, step.estimate);
  return waited + *rackWait > std::max(mOptions.maxTotalRackWait, taskTime * 2);
}

bool
Planner::NeedsOneRack(const Unit& aUnit,
                      const FleetView& aView,
                      const Plan& aPlan) const
{
  return aUnit.Spec().prefersOneRack &&
         fleet::NeedsOneRack(RequestFor(aUnit, aView, aPlan, 0));
}

bool
Planner::WaitedForRack(const Unit& aUnit, const FleetView& aView) const
{
  return WaitingTime(aUnit, aView) >= mOptions.maxRackWait;
}

size_t
Planner::PlaceUnit(const Unit& aUnit,
                   const PlacementRequest& aRequest,
                   FleetView& aView,
                   Plan& aPlan)
{
  const StepSpec& step = aUnit.Spec();
  std::vector<size_t> chosen = Place(aRequest, aView.candidates);
  for (size_t n = 0; n < chosen.size(); ++n) {
    Candidate& it = aView.candidates[chosen[n]];
    it.available -= step.CountedResources();
    it.idle = false;
    Attempt attempt = LastAttemptOf(aUnit, aUnit.tasks[n]).Next();
    aPlan.starts.push_back({ .run = { { aUnit.job->id,
                                        aUnit.occurrence,
                                        aUnit.step,
                                        aUnit.tasks[n] },
                                      attempt },
                             .worker = it.id,
                             .incarnation = it.report->incarnation,
                             .speed = it.speed });
  }
  if (aUnit.onTrial) {
    std::vector<WorkerId> used;
    used.reserve(chosen.size());
    for (size_t it : chosen) {
      used.push_back(aView.candidates[it].id);
    }
    HoldWorkers(
      std::move(used), aUnit, HeldWorker::Reason::kTrial, Millis::Max(), aView);
  }
  return chosen.size();
}

bool
Planner::IsGuaranteed(const Unit& aUnit, const FleetView& aView)
{
  const Workspace* workspace = aView.state->FindWorkspace(aUnit.job->workspace);
  if (workspace == nullptr) {
    return false;
  }
  int64_t needed = 0;
  for (const JobId& id : aView.state->LiveJobs()) {
    const Job& job = *aView.state->FindJob(id);
    if (job.Ended() || job.priority > 0 || job.workspace != workspace->name) {
      continue;
    }
    int64_t widest = 0;
    for (const StepSpec& it : job.spec.steps) {
      widest = std::max(widest, it.resources.accelerators * it.tasks);
    }
    needed += widest;
  }
  return needed <= workspace->guaranteedAccelerators;
}

bool
Planner::MustMeetGuarantee(const Unit& aUnit, const FleetView& aView) const
{
  // The waiting time alone starts anew with each leader and each broken gang.
  Millis waited =
    std::max(WaitingTime(aUnit, aView), aView.wallNow - aUnit.due);
  if (waited >= mOptions.maxGuaranteeWait) {
    return true;
  }
  Millis latest = LatestStart(aUnit, aView);
  return aView.wallNow <= latest &&
         aView.wallNow + mOptions.reclaimTimeout / 2 > latest;
}

void
Planner::PreemptFor(const Unit& aUnit,
                    PlacementRequest aRequest,
                    FleetView& aView,
                    Plan& aPlan)
{
  const StepSpec& step = aUnit.Spec();
  ReclaimRequest request{ .placement = std::move(aRequest),
                          .priority = aUnit.job->priority };
  bool guaranteed = IsGuaranteed(aUnit, aView);
  if (!guaranteed && aView.wallNow > LatestStart(aUnit, aView)) {
    return;
  }
  if (aView.callerCost != nullptr) {
    // Until a guarantee is due, it displaces only what costs callers less.
    bool due = guaranteed && MustMeetGuarantee(aUnit, aView);
    if (!due) {
      request.maxCost = aView.callerCost->GainInTime(*aUnit.job);
    }
  } else if (!guaranteed) {
    Millis time = aView.forecast->ExpectedTime(aUnit.job->queue, step.estimate);
    request.maxCost = mOptions.maxPreemptionCostRatio *
                      ResourceWeight(step.resources) *
                      static_cast<double>(step.tasks) *
                      static_cast<double>(time.Count()) / 1000;
  }
  std::optional<ReclaimChoice> choice = ChooseVictims(request, aView);
  if (!choice || choice->victims.size() > mOptions.maxVictims) {
    return;
  }
  // Workers are kept only while something ends on them.
  if (choice->victims.empty() && choice->runsStopping == 0) {
    return;
  }
  mPendingPreemptions[aUnit.job->id] = {
    .workers = choice->workers, .expiresAt = aView.now + mOptions.reclaimTimeout
  };
  for (const auto& [worker, run] : choice->victims) {
    aPlan.stops.push_back({ .run = run,
                            .worker = worker,
                            .beneficiary = aUnit.job->id,
                            .cost = choice->cost,
                            .maxCost = request.maxCost });
  }
}

} // namespace limpetwood::fleet
