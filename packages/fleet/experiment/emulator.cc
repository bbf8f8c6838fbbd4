#include "fleet/experiment/emulator.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::fleet::experiment {

namespace {

constexpr Millis kTickInterval(10);
constexpr Millis kCommitTime(10);
constexpr Millis kReportInterval(1500);
// Slowdown of a gang that prefers one rack and spans several.
constexpr double kMultiRackSlowdown = 3;
// A result has no value when its latency exceeds the objective by this factor.
constexpr int64_t kMaxLatenessFactor = 3;
// Time within which a smaller capacity must be respected.
constexpr Millis kResizeGracePeriod = Seconds(3) + kReportInterval;
constexpr int64_t kResizeDivisor = 8;
// After this many workers crashed under a deadly task, it may be started this
// many times more.
constexpr size_t kCrashLimit = 3;
constexpr size_t kMaxStartsAfterLimit = 2;
const ServiceId kService("service");

DispatcherOptions
DispatcherOptionsFor(const EmulatorOptions& aOptions)
{
  DispatcherOptions out;
  out.maxStopTime = aOptions.maxStopTime;
  out.planner = aOptions.planner;
  out.planner.reclaimTimeout = aOptions.maxStopTime + Millis(600);
  return out;
}

std::string
JobName(uint64_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

} // namespace

double
Outcomes::ValueRatio() const
{
  double earnedValue = 0;
  double maxValue = 0;
  for (const auto& [name, it] : classes) {
    earnedValue += it.earnedValue;
    maxValue += it.maxValue;
  }
  return maxValue > 0 ? earnedValue / maxValue : 0;
}

Emulator::Emulator(EmulatorOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mStopTimes(mOptions.seed + 1)
  , mCrashes(mOptions.seed + 2)
  , mDispatcher(DispatcherOptionsFor(mOptions), mState, FencingToken(1), mNow)
{
  for (size_t n = 0; n < mOptions.workers; ++n) {
    WorkerReport report;
    report.id = WorkerId("w" + std::to_string(n));
    report.incarnation = Incarnation(1);
    report.service = kService;
    report.rack = RackId("r" + std::to_string(n / mOptions.workersPerRack));
    report.address = "a" + std::to_string(n);
    report.capacity = mOptions.capacity;
    mWorkers[report.id].report = report;
  }
  size_t position = 0;
  for (auto& [id, worker] : mWorkers) {
    worker.position = position++;
  }
  gen::Configuration configuration;
  configuration.version = 1;
  gen::Workspace workspace;
  workspace.name = "workspace";
  workspace.guaranteedAccelerators =
    static_cast<int64_t>(mOptions.workers) * mOptions.capacity.accelerators / 2;
  configuration.workspaces.push_back(workspace);
  gen::Command command;
  command.__set_configuration(configuration);
  mState.Apply(command);
}

Outcomes
Emulator::Run()
{
  Millis end = mBegin + mOptions.duration + mOptions.drainTime;
  for (; mNow < end; mNow += kTickInterval) {
    ApplyDisturbances();
    CrashWorkers();
    if (mNow < mBegin + mOptions.duration) {
      SubmitArrivals();
    }
    for (auto& [id, worker] : mWorkers) {
      AdvanceRuns(worker);
      AnswerRenewals(worker);
      if (worker.alive && mNow >= worker.nextReport) {
        worker.nextReport = mNow + kReportInterval;
        ++worker.report.sequence;
        worker.report.clock = mNow;
        mDispatcher.OnReport(worker.report, mNow);
      }
    }
    Commit();
    mDispatcher.Tick(mNow, mNow);
    if (mDispatcher.HasCommand()) {
      mProposed.emplace_back(mNow + kCommitTime, mDispatcher.TakeCommand());
    }
    for (const Order& it : mDispatcher.TakeOrders()) {
      Deliver(it);
    }
    mDispatcher.TakeEvents();
    mState.TakeChanges();
    AccountEndedJobs();
  }
  for (auto& [id, job] : mJobs) {
    if (!job.accounted && !job.deadly) {
      ++mOutcomes.classes[job.jobClass->name].withoutValue;
    }
  }
  return mOutcomes;
}

void
Emulator::SubmitArrivals()
{
  double boost = 1;
  for (const Disturbance& it : mOptions.disturbances) {
    bool active = it.kind == Disturbance::Kind::kBurst &&
                  mNow >= mBegin + it.at && mNow < mBegin + it.at + it.duration;
    boost = active ? std::max(boost, it.factor) : boost;
  }
  for (const JobClass& it : mOptions.classes) {
    Millis& next = mNextArrival[it.name];
    double rate =
      it.arrivalsPerSecond * (&it == &mOptions.classes[0] ? boost : 1);
    while (next <= mNow) {
      if (next > Millis(0)) {
        SubmitJob(it);
      }
      double gap = -std::log(1 - mRandom.UniformDouble()) / rate * 1000;
      next = std::max(next, mNow) + Millis(static_cast<int64_t>(gap) + 1);
    }
  }
}

void
Emulator::SubmitJob(const JobClass& aClass)
{
  StepSpec step;
  double tasks = -std::log(1 - mRandom.UniformDouble()) * aClass.meanTasks;
  step.tasks =
    static_cast<uint32_t>(std::clamp(tasks, 1.0, aClass.meanTasks * 6));
  step.gang = aClass.gang;
  step.resources = {
    .cpu = aClass.cpu,
    .memoryMb = 1000,
    .accelerators =
      aClass.accelerators[mRandom.Below(aClass.accelerators.size())]
  };
  step.prefersOneRack = mRandom.Chance(aClass.oneRackProbability);
  step.savesCheckpoints = mRandom.Chance(aClass.checkpointProbability);
  auto mean = static_cast<double>(aClass.meanRunTime.Count());
  Millis work(
    static_cast<int64_t>(mean * (0.6 + 0.8 * mRandom.UniformDouble())));
  // Callers' estimates are wrong by up to a factor of two.
  step.estimate =
    Millis(static_cast<int64_t>(static_cast<double>(work.Count()) *
                                std::exp2(mRandom.UniformDouble() * 2 - 1)));
  JobSpec spec;
  spec.steps = { step };
  gen::SubmitJob job;
  job.id = JobName(mNextJob++);
  job.queue = aClass.name;
  job.workspace = "workspace";
  job.serviceId = kService.Value();
  job.spec = ToWire(spec);
  job.acceptedAtMs = mNow.Count();
  job.priority = aClass.priority;
  job.maxAttempts = static_cast<int32_t>(aClass.maxAttempts);
  job.stretch = aClass.stretch;
  job.targetLatencyMs = aClass.targetLatency.Count();
  gen::Command command;
  command.jobs.push_back(job);
  mState.Apply(command);
  mDispatcher.OnChanged();
  JobInfo& info = mJobs[JobId(job.id)];
  info.jobClass = &aClass;
  info.submittedAt = mNow;
  info.work = work;
  info.objective = aClass.targetLatency +
                   Millis(static_cast<int64_t>(
                     static_cast<double>(work.Count()) * aClass.stretch));
  // Larger jobs have more value, up to four times the mean size.
  info.value = 0.3 + 0.7 * std::min(step.tasks / aClass.meanTasks, 4.0);
  for (const Disturbance& it : mOptions.disturbances) {
    bool active = it.kind == Disturbance::Kind::kDeadly &&
                  mNow >= mBegin + it.at && mNow < mBegin + it.at + it.duration;
    info.deadly = info.deadly || (active && &aClass == &mOptions.classes[0] &&
                                  mCrashes.Chance(it.share));
  }
  if (info.deadly) {
    return;
  }
  ClassOutcome& outcome = mOutcomes.classes[aClass.name];
  ++outcome.jobs;
  outcome.maxValue += aClass.value * info.value;
}

void
Emulator::ApplyDisturbances()
{
  for (const Disturbance& it : mOptions.disturbances) {
    bool begins = mNow == mBegin + it.at;
    bool ends = mNow == mBegin + it.at + it.duration;
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
      if (worker.position % gap != 0) {
        continue;
      }
      switch (it.kind) {
        case Disturbance::Kind::kBurst:
        case Disturbance::Kind::kDeadly:
          break;
        case Disturbance::Kind::kResize:
          Resize(worker,
                 mOptions.capacity.accelerators /
                   (begins ? kResizeDivisor : 1));
          break;
        case Disturbance::Kind::kHang:
          worker.hanging = begins;
          break;
        case Disturbance::Kind::kSlow:
          worker.slowdown = begins ? it.factor : 1;
          break;
        case Disturbance::Kind::kFail:
          worker.failing = begins;
          break;
        case Disturbance::Kind::kLoss:
          if (begins) {
            worker.alive = false;
            while (!worker.runs.empty()) {
              EndRun(worker, worker.runs.begin()->first, EndKind::kLost, true);
            }
          }
          break;
      }
    }
  }
}

void
Emulator::Resize(WorkerState& aWorker, int64_t aAccelerators)
{
  aWorker.earlierAccelerators = aWorker.report.capacity.accelerators;
  aWorker.earlierCapacityUntil = mNow + kResizeGracePeriod;
  aWorker.report.capacity.accelerators = aAccelerators;
}

bool
Emulator::CrashesWorker(const TaskRef& aTask) const
{
  const Job* job = mState.FindJob(aTask.job);
  return mJobs.at(aTask.job).deadly && job != nullptr &&
         aTask.index + 1 == job->spec.steps[aTask.step].tasks;
}

void
Emulator::CrashWorkers()
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
Emulator::Crash(WorkerState& aWorker)
{
  ++mOutcomes.workersCrashed;
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
    if (run.spec->steps[task.step].gang) {
      EndGang(run, EndKind::kGangMemberEnded);
    }
  }
  aWorker.ended.clear();
}

void
Emulator::Restart(WorkerState& aWorker)
{
  aWorker.restartAt = Millis::Max();
  WorkerState next;
  next.position = aWorker.position;
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
Emulator::CheckStart(const WorkerState& aWorker, const TaskRef& aTask)
{
  for (const auto& [id, other] : mWorkers) {
    mOutcomes.violations += other.runs.contains(aTask) ? 1 : 0;
  }
  int64_t limit = aWorker.report.capacity.accelerators;
  if (mNow < aWorker.earlierCapacityUntil) {
    limit = std::max(limit, aWorker.earlierAccelerators);
  }
  const JobSpec& spec = mState.FindJob(aTask.job)->spec;
  int64_t used =
    aWorker.usedAccelerators + spec.steps[aTask.step].resources.accelerators;
  mOutcomes.limitViolations += used > limit ? 1 : 0;
  if (!CrashesWorker(aTask)) {
    return;
  }
  CrashRecord& record = mCrashRecords[aTask];
  if (record.crashes >= kCrashLimit &&
      ++record.startsAfterLimit > kMaxStartsAfterLimit) {
    ++mOutcomes.budgetViolations;
  }
}

void
Emulator::Commit()
{
  while (!mProposed.empty() && mProposed.front().first <= mNow) {
    gen::Command command = std::move(mProposed.front().second);
    mProposed.erase(mProposed.begin());
    command.atMs = mNow.Count();
    mState.Apply(command);
    mDispatcher.OnCommitted(command, mNow);
  }
}

void
Emulator::Deliver(const Order& aOrder)
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
    mDispatcher.OnResult(aOrder, result, mNow);
    return;
  }
  if (aOrder.incarnation != worker.report.incarnation) {
    result.outcome = OrderResult::Outcome::kNoAnswer;
    result.clock.reset();
    mDispatcher.OnResult(aOrder, result, mNow);
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
    mDispatcher.OnResult(aOrder, result, mNow);
    return;
  }
  CheckStart(worker, task);
  JobInfo& job = mJobs[task.job];
  const JobSpec& spec = mState.FindJob(task.job)->spec;
  const StepSpec& step = spec.steps[task.step];
  worker.usedAccelerators += step.resources.accelerators;
  double saved = aOrder.checkpoint.empty() ? 0 : std::stod(aOrder.checkpoint);
  worker.runs[task] = { .run = aOrder.run,
                        .spec = &spec,
                        .startedAt = mNow,
                        .done = saved,
                        .work = static_cast<double>(job.work.Count()) };
  if (CrashesWorker(task)) {
    worker.runs[task].crashAt =
      mNow + mCrashes.Between(Millis(10), Millis(200));
  }
  if (!job.started && !job.deadly) {
    job.started = true;
    mOutcomes.classes[job.jobClass->name].startDelays.push_back(
      mNow - job.submittedAt);
  }
  mDispatcher.OnResult(aOrder, result, mNow);
}

bool
Emulator::IsGangPresent(const RunState& aRun) const
{
  const TaskRef& task = aRun.run.task;
  const StepSpec& step = aRun.spec->steps[task.step];
  if (!step.gang) {
    return true;
  }
  for (uint32_t n = 0; n < step.tasks; ++n) {
    TaskRef member = task;
    member.index = n;
    const Task* state = mState.FindTask(member);
    if (state == nullptr || state->phase != Task::Phase::kActive) {
      return false;
    }
    auto worker = mWorkers.find(state->worker);
    if (worker == mWorkers.end() || !worker->second.runs.contains(member)) {
      return false;
    }
  }
  return true;
}

double
Emulator::RackSlowdown(const RunState& aRun) const
{
  const StepSpec& step = aRun.spec->steps[aRun.run.task.step];
  if (!step.prefersOneRack || !step.gang) {
    return 1;
  }
  std::optional<RackId> rack;
  for (uint32_t n = 0; n < step.tasks; ++n) {
    TaskRef member = aRun.run.task;
    member.index = n;
    const Task* task = mState.FindTask(member);
    auto worker = mWorkers.find(task->worker);
    if (worker == mWorkers.end()) {
      continue;
    }
    if (rack && *rack != worker->second.report.rack) {
      return kMultiRackSlowdown;
    }
    rack = worker->second.report.rack;
  }
  return 1;
}

void
Emulator::EndRun(WorkerState& aWorker,
                 const TaskRef& aTask,
                 EndKind aKind,
                 bool aWasted)
{
  RunState run = aWorker.runs.at(aTask);
  const StepSpec& step = run.spec->steps[aTask.step];
  aWorker.runs.erase(aTask);
  aWorker.usedAccelerators -= step.resources.accelerators;
  double seconds = static_cast<double>((mNow - run.startedAt).Count()) / 1000;
  double used = seconds * static_cast<double>(step.resources.accelerators);
  mOutcomes.usedAcceleratorSeconds += used;
  bool saved = step.savesCheckpoints && aKind != EndKind::kLost;
  mOutcomes.wastedAcceleratorSeconds += aWasted && !saved ? used : 0;
  aWorker.ended.push_back(
    { .number = ++aWorker.endNumber,
      .run = run.run,
      .kind = aKind,
      .checkpoint = aWasted && saved ? std::to_string(run.done) : "" });
}

void
Emulator::EndGang(const RunState& aRun, EndKind aKind)
{
  const TaskRef& task = aRun.run.task;
  for (auto& [id, worker] : mWorkers) {
    std::vector<TaskRef> members;
    for (const auto& [member, run] : worker.runs) {
      if (member.job == task.job && member.step == task.step &&
          member.occurrence == task.occurrence) {
        members.push_back(member);
      }
    }
    for (const TaskRef& it : members) {
      EndRun(worker, it, aKind, aKind != EndKind::kDone);
    }
  }
}

void
Emulator::AdvanceRuns(WorkerState& aWorker)
{
  std::vector<std::pair<TaskRef, EndKind>> ends;
  for (auto& [task, run] : aWorker.runs) {
    if (run.stopAt <= mNow) {
      ends.emplace_back(task, EndKind::kStopped);
    } else if (aWorker.failing) {
      ends.emplace_back(task, EndKind::kFailed);
    } else if (!aWorker.hanging && IsGangPresent(run)) {
      run.done += static_cast<double>(kTickInterval.Count()) /
                  (aWorker.slowdown * RackSlowdown(run));
      if (run.done >= run.work && !run.spec->steps[task.step].gang) {
        ends.emplace_back(task, EndKind::kDone);
      }
    }
  }
  // A gang completes when its slowest member has finished.
  for (auto& [task, run] : aWorker.runs) {
    const StepSpec& step = run.spec->steps[task.step];
    if (!step.gang || task.index != 0 || run.done < run.work) {
      continue;
    }
    bool all = true;
    for (const auto& [id, other] : mWorkers) {
      for (const auto& [member, peer] : other.runs) {
        bool same = member.job == task.job && member.step == task.step;
        all = all && (!same || peer.done >= peer.work);
      }
    }
    if (all && IsGangPresent(run)) {
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
    if (run.spec->steps[task.step].gang) {
      EndGang(run, kind == EndKind::kDone ? kind : EndKind::kGangMemberEnded);
    }
  }
}

void
Emulator::AnswerRenewals(WorkerState& aWorker)
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
    mDispatcher.OnResult(it, result, mNow);
  }
}

void
Emulator::AccountEndedJobs()
{
  for (auto& [id, info] : mJobs) {
    if (info.accounted) {
      continue;
    }
    const Job* job = mState.FindJob(id);
    if (job == nullptr || !job->Ended()) {
      continue;
    }
    info.accounted = true;
    if (info.deadly) {
      continue;
    }
    mOutcomes.soundJobsFailed += job->status == JobStatus::kFailed ? 1 : 0;
    ClassOutcome& outcome = mOutcomes.classes[info.jobClass->name];
    Millis took = mNow - info.submittedAt;
    bool done = job->status == JobStatus::kCompleted;
    if (done && took <= info.objective) {
      ++outcome.inTime;
      outcome.earnedValue += info.jobClass->value * info.value;
    } else if (done && took <= info.objective * kMaxLatenessFactor) {
      ++outcome.late;
      outcome.earnedValue += info.jobClass->lateValue * info.value;
    } else {
      ++outcome.withoutValue;
    }
  }
}

} // namespace limpetwood::fleet::experiment
