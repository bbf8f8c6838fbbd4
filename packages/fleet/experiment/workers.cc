#include "fleet/experiment/workers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace limpetwood::fleet::experiment {

namespace {

constexpr Millis kReportInterval(1500);
// Slowdown of a gang that prefers one rack and spans several.
constexpr double kMultiRackSlowdown = 3;
// Time within which a smaller capacity must be respected.
constexpr Millis kResizeGracePeriod = Seconds(3) + kReportInterval;
constexpr int64_t kResizeDivisor = 8;
// After this many workers crashed under a deadly task, it may be started this
// many times more.
constexpr size_t kCrashLimit = 3;
constexpr size_t kMaxStartsAfterLimit = 2;

} // namespace

EmulatedWorkers::EmulatedWorkers(const EmulatorOptions& aOptions,
                                 const FleetState& aState,
                                 const Workload& aWorkload,
                                 Metrics& aMetrics)
  : mOptions(aOptions)
  , mState(aState)
  , mWorkload(aWorkload)
  , mMetrics(aMetrics)
  , mStopTimes(aOptions.seed + 1)
  , mCrashes(aOptions.seed + 3)
{
  for (size_t n = 0; n < mOptions.workers; ++n) {
    WorkerReport report;
    report.id = WorkerId("w" + std::to_string(n));
    report.incarnation = Incarnation(1);
    report.service = Workload::kService;
    report.rack = RackId("r" + std::to_string(n / mOptions.workersPerRack));
    report.address = "a" + std::to_string(n);
    report.capacity = mOptions.capacity;
    mWorkers[report.id].report = report;
  }
  size_t position = 0;
  for (auto& [id, worker] : mWorkers) {
    worker.position = position++;
  }
  ChooseSlowWorkers();
}

void
EmulatedWorkers::ChooseSlowWorkers()
{
  std::vector<WorkerState*> others;
  for (auto& [id, worker] : mWorkers) {
    others.push_back(&worker);
  }
  Random random(mOptions.seed + 4);
  double share = std::clamp(mOptions.slowWorkerShare, 0.0, 1.0);
  auto count = static_cast<size_t>(
    std::lround(share * static_cast<double>(mOptions.workers)));
  for (size_t n = 0; n < count; ++n) {
    std::swap(others[n], others[n + random.Below(others.size() - n)]);
    others[n]->speed = mOptions.slowWorkerSpeed;
  }
}

void
EmulatedWorkers::BeginTick(Millis aElapsed, Millis aNow)
{
  mNow = aNow;
  for (const Disturbance& it : mOptions.disturbances) {
    bool begins = aElapsed == it.at;
    bool ends = aElapsed == it.at + it.duration;
    if (!begins && !ends) {
      continue;
    }
    auto count =
      static_cast<size_t>(it.share * static_cast<double>(mOptions.workers));
    // Workers are chosen at regular intervals, so that the same ones recover at
    // the end.
    size_t gap =
      std::max<size_t>(1, mOptions.workers / std::max<size_t>(1, count));
    for (auto& [id, worker] : mWorkers) {
      if (worker.position % gap == 0) {
        Disturb(worker, it, begins);
      }
    }
  }
  CrashWorkers();
}

size_t
EmulatedWorkers::ActiveRuns() const
{
  size_t out = 0;
  for (const auto& [id, worker] : mWorkers) {
    out += worker.runs.size();
  }
  return out;
}

void
EmulatedWorkers::Disturb(WorkerState& aWorker,
                         const Disturbance& aDisturbance,
                         bool aBegins)
{
  switch (aDisturbance.kind) {
    case Disturbance::Kind::kBurst:
    case Disturbance::Kind::kDeadly:
    case Disturbance::Kind::kFlood:
    case Disturbance::Kind::kCancel:
      break;
    case Disturbance::Kind::kResize:
      Resize(aWorker,
             mOptions.capacity.accelerators / (aBegins ? kResizeDivisor : 1));
      break;
    case Disturbance::Kind::kHang:
      aWorker.hanging = aBegins;
      break;
    case Disturbance::Kind::kSlow:
      aWorker.slowdown = aBegins ? aDisturbance.factor : 1;
      break;
    case Disturbance::Kind::kFail:
      aWorker.failing = aBegins;
      break;
    case Disturbance::Kind::kLoss:
      if (aBegins) {
        aWorker.alive = false;
        while (!aWorker.runs.empty()) {
          EndRun(aWorker, aWorker.runs.begin()->first, EndKind::kLost, true);
        }
      }
      break;
  }
}

void
EmulatedWorkers::Advance(Dispatcher& aDispatcher)
{
  for (auto& [id, worker] : mWorkers) {
    AdvanceRuns(worker);
    AnswerRenewals(worker, aDispatcher);
    if (worker.alive && mNow >= worker.nextReport) {
      worker.nextReport = mNow + kReportInterval;
      ++worker.report.sequence;
      worker.report.clock = mNow;
      aDispatcher.OnReport(worker.report, mNow);
    }
  }
}

void
EmulatedWorkers::Resize(WorkerState& aWorker, int64_t aAccelerators)
{
  aWorker.earlierAccelerators = aWorker.report.capacity.accelerators;
  aWorker.earlierCapacityUntil = mNow + kResizeGracePeriod;
  aWorker.report.capacity.accelerators = aAccelerators;
}

bool
EmulatedWorkers::CrashesWorker(const TaskRef& aTask) const
{
  const Job* job = mState.FindJob(aTask.job);
  return mWorkload.Find(aTask.job).deadly && job != nullptr &&
         aTask.index + 1 == job->spec.steps[aTask.step].tasks;
}

void
EmulatedWorkers::CrashWorkers()
{
  std::vector<WorkerState*> crashed;
  std::vector<WorkerState*> restarted;
  for (auto& [id, worker] : mWorkers) {
    bool crashes = std::any_of(
      worker.runs.begin(), worker.runs.end(), [&](const auto& aRun) {
        return aRun.second.crashAt <= mNow;
      });
    if (crashes) {
      crashed.push_back(&worker);
    } else if (worker.restartAt <= mNow) {
      restarted.push_back(&worker);
    }
  }
  for (WorkerState* it : crashed) {
    Crash(*it);
  }
  for (WorkerState* it : restarted) {
    Restart(*it);
  }
}

void
EmulatedWorkers::Crash(WorkerState& aWorker)
{
  ++mMetrics.Counters().workersCrashed;
  aWorker.alive = false;
  aWorker.restartAt = mNow + mCrashes.Between(Millis(500), Seconds(3));
  for (const auto& [task, run] : aWorker.runs) {
    if (CrashesWorker(task)) {
      ++mCrashRecords[task].crashes;
    }
  }
  while (!aWorker.runs.empty()) {
    auto [task, run] = *aWorker.runs.begin();
    EndRun(aWorker, task, EndKind::kLost, true);
    EndGang(run, EndKind::kGangMemberEnded);
  }
  aWorker.ended.clear();
}

void
EmulatedWorkers::Restart(WorkerState& aWorker)
{
  aWorker.restartAt = Millis::Max();
  WorkerState next;
  next.position = aWorker.position;
  next.speed = aWorker.speed;
  next.report = aWorker.report;
  next.report.incarnation = Incarnation(mNow.Count());
  next.report.sequence = 0;
  next.earlierCapacityUntil = aWorker.earlierCapacityUntil;
  next.earlierAccelerators = aWorker.earlierAccelerators;
  if (mCrashes.Chance(0.5)) {
    aWorker = std::move(next);
    return;
  }
  aWorker.replaced = true;
  next.report.id =
    WorkerId(aWorker.report.id.Value() + "." + std::to_string(mNow.Count()));
  mWorkers[next.report.id] = std::move(next);
}

void
EmulatedWorkers::CheckStart(const WorkerState& aWorker, const TaskRef& aTask)
{
  for (const auto& [id, other] : mWorkers) {
    mMetrics.Counters().violations += other.runs.contains(aTask) ? 1 : 0;
  }
  int64_t limit = aWorker.report.capacity.accelerators;
  if (mNow < aWorker.earlierCapacityUntil) {
    limit = std::max(limit, aWorker.earlierAccelerators);
  }
  const JobSpec& spec = mState.FindJob(aTask.job)->spec;
  int64_t used =
    aWorker.usedAccelerators + spec.steps[aTask.step].resources.accelerators;
  mMetrics.Counters().limitViolations += used > limit ? 1 : 0;
  if (!CrashesWorker(aTask)) {
    return;
  }
  CrashRecord& record = mCrashRecords[aTask];
  if (record.crashes >= kCrashLimit &&
      ++record.startsAfterLimit > kMaxStartsAfterLimit) {
    ++mMetrics.Counters().budgetViolations;
  }
}

void
EmulatedWorkers::Deliver(const Order& aOrder, Dispatcher& aDispatcher)
{
  WorkerState& worker = mWorkers[aOrder.worker];
  OrderResult result;
  result.outcome = OrderResult::Outcome::kAnswered;
  result.clock = mNow;
  if (!worker.alive) {
    // A crashed process leaves a machine that refuses connections.
    result.outcome = worker.restartAt != Millis::Max()
                       ? OrderResult::Outcome::kNotSent
                       : OrderResult::Outcome::kNoAnswer;
    result.outcome = worker.replaced ? OrderResult::Outcome::kOtherIncarnation
                                     : result.outcome;
    result.clock.reset();
    aDispatcher.OnResult(aOrder, result, mNow);
    return;
  }
  if (aOrder.incarnation != worker.report.incarnation) {
    result.outcome = OrderResult::Outcome::kNoAnswer;
    result.clock.reset();
    aDispatcher.OnResult(aOrder, result, mNow);
    return;
  }
  const TaskRef& task = aOrder.run.task;
  if (aOrder.kind == Order::Kind::kRenew) {
    std::erase_if(worker.ended, [&](const EndedRun& aEnd) {
      return aEnd.number <= aOrder.acknowledgedEnds;
    });
    worker.renewals.push_back(aOrder);
    return;
  }
  auto it = worker.runs.find(task);
  if (aOrder.kind == Order::Kind::kStop) {
    if (it != worker.runs.end()) {
      it->second.stopAt = std::min(
        it->second.stopAt,
        mNow + Millis(mStopTimes.Between(50, mOptions.maxStopTime.Count())));
    }
    aDispatcher.OnResult(aOrder, result, mNow);
    return;
  }
  Start(worker, aOrder);
  aDispatcher.OnResult(aOrder, result, mNow);
}

void
EmulatedWorkers::Start(WorkerState& aWorker, const Order& aOrder)
{
  const TaskRef& task = aOrder.run.task;
  CheckStart(aWorker, task);
  if (aWorker.runs.contains(task)) {
    // The later attempt replaces the earlier one, which is a violation.
    EndRun(aWorker, task, EndKind::kStopped, true);
  }
  const JobSpec& spec = mState.FindJob(task.job)->spec;
  aWorker.usedAccelerators += spec.steps[task.step].resources.accelerators;
  double saved = aOrder.checkpoint.empty() ? 0 : std::stod(aOrder.checkpoint);
  RunState& run = aWorker.runs[task];
  run = { .run = aOrder.run,
          .spec = &spec,
          .gang = UpdateGang(aOrder.run, spec.steps[task.step], &aWorker),
          .startedAt = mNow,
          .done = saved,
          .work = static_cast<double>(mWorkload.WorkOf(task).Count()) };
  if (CrashesWorker(task)) {
    run.crashAt = mNow + mCrashes.Between(Millis(10), Millis(200));
  }
  mMetrics.OnRunStarted(task.job, mNow);
}

EmulatedWorkers::Gang*
EmulatedWorkers::UpdateGang(const RunRef& aRun,
                            const StepSpec& aStep,
                            WorkerState* aWorker)
{
  if (!aStep.gang) {
    return nullptr;
  }
  RunRef key = aRun;
  key.task.index = 0;
  Gang& gang = mGangs[key];
  if (aWorker != nullptr) {
    gang.members[aRun.task.index] = aWorker;
  } else {
    gang.members.erase(aRun.task.index);
  }
  if (gang.members.empty()) {
    mGangs.erase(key);
    return nullptr;
  }
  const WorkerState& first = *gang.members.begin()->second;
  gang.complete = gang.members.size() == aStep.tasks;
  gang.slowestSpeed = first.speed;
  gang.rackSlowdown = 1;
  for (const auto& [index, worker] : gang.members) {
    gang.slowestSpeed = std::min(gang.slowestSpeed, worker->speed);
    if (aStep.prefersOneRack && worker->report.rack != first.report.rack) {
      gang.rackSlowdown = kMultiRackSlowdown;
    }
  }
  return &gang;
}

double
EmulatedWorkers::RateOf(const RunState& aRun, const WorkerState& aWorker) const
{
  if (aRun.gang == nullptr) {
    return aWorker.speed / aWorker.slowdown;
  }
  bool lockstep = mOptions.gangPace == GangPace::kSlowestMember;
  return (lockstep ? aRun.gang->slowestSpeed : aWorker.speed) /
         (aWorker.slowdown * aRun.gang->rackSlowdown);
}

bool
EmulatedWorkers::IsFinished(const Gang& aGang, const TaskRef& aMember)
{
  return std::all_of(
    aGang.members.begin(), aGang.members.end(), [&](const auto& aEntry) {
      TaskRef member = aMember;
      member.index = aEntry.first;
      const RunState& run = aEntry.second->runs.at(member);
      return run.done >= run.work;
    });
}

void
EmulatedWorkers::EndRun(WorkerState& aWorker,
                        TaskRef aTask,
                        EndKind aKind,
                        bool aWasted)
{
  RunState run = aWorker.runs.at(aTask);
  const StepSpec& step = run.spec->steps[aTask.step];
  aWorker.runs.erase(aTask);
  UpdateGang(run.run, step, nullptr);
  aWorker.usedAccelerators -= step.resources.accelerators;
  bool saved = step.savesCheckpoints && aKind != EndKind::kLost;
  mMetrics.OnRunEnded(aTask, mNow - run.startedAt, aWasted && !saved);
  aWorker.ended.push_back(
    { .number = ++aWorker.endNumber,
      .run = run.run,
      .kind = aKind,
      .checkpoint = aWasted && saved ? std::to_string(run.done) : "" });
}

void
EmulatedWorkers::EndGang(const RunState& aRun, EndKind aKind)
{
  RunRef key = aRun.run;
  key.task.index = 0;
  auto gang = mGangs.find(key);
  if (gang == mGangs.end()) {
    return;
  }
  // Ends the runs of a copy, because each end changes the gang.
  for (const auto& [index, worker] : std::map(gang->second.members)) {
    TaskRef member = aRun.run.task;
    member.index = index;
    EndRun(*worker, member, aKind, aKind != EndKind::kDone);
  }
}

void
EmulatedWorkers::AdvanceRuns(WorkerState& aWorker)
{
  std::vector<std::pair<TaskRef, EndKind>> ends;
  for (auto& [task, run] : aWorker.runs) {
    bool present = run.gang == nullptr || run.gang->complete;
    if (run.stopAt <= mNow) {
      ends.emplace_back(task, EndKind::kStopped);
    } else if (aWorker.failing) {
      ends.emplace_back(task, EndKind::kFailed);
    } else if (!aWorker.hanging && present) {
      run.done +=
        static_cast<double>(kTickInterval.Count()) * RateOf(run, aWorker);
      if (run.done >= run.work && run.gang == nullptr) {
        ends.emplace_back(task, EndKind::kDone);
      }
    }
  }
  // A gang completes when its slowest member has finished.
  for (const auto& [task, run] : aWorker.runs) {
    if (run.gang != nullptr && task.index == 0 && run.done >= run.work &&
        run.gang->complete && IsFinished(*run.gang, task)) {
      ends.emplace_back(task, EndKind::kDone);
    }
  }
  for (const auto& [task, kind] : ends) {
    auto it = aWorker.runs.find(task);
    if (it == aWorker.runs.end()) {
      continue;
    }
    RunState run = it->second;
    EndRun(aWorker, task, kind, kind != EndKind::kDone);
    EndGang(run, kind == EndKind::kDone ? kind : EndKind::kGangMemberEnded);
  }
}

void
EmulatedWorkers::AnswerRenewals(WorkerState& aWorker, Dispatcher& aDispatcher)
{
  auto renewals = std::exchange(aWorker.renewals, {});
  for (const Order& it : renewals) {
    if (aWorker.alive && aWorker.ended.empty() && mNow < it.sentAt + it.wait) {
      aWorker.renewals.push_back(it);
      continue;
    }
    OrderResult result;
    result.outcome = aWorker.alive ? OrderResult::Outcome::kAnswered
                                   : OrderResult::Outcome::kNoAnswer;
    if (aWorker.alive) {
      result.clock = mNow;
      result.ended = aWorker.ended;
      for (const auto& [task, run] : aWorker.runs) {
        const StepSpec& step = run.spec->steps[task.step];
        result.running.push_back(
          { .run = run.run,
            .checkpoint = step.savesCheckpoints ? std::to_string(run.done) : "",
            .percent =
              static_cast<int32_t>(std::min(run.done / run.work, 1.0) * 100) });
      }
    }
    aDispatcher.OnResult(it, result, mNow);
  }
}

} // namespace limpetwood::fleet::experiment
