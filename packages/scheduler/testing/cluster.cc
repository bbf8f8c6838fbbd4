#include "scheduler/testing/cluster.h"

#include <algorithm>
#include <cstdlib>

namespace limpetwood::scheduler::testing {

namespace {

constexpr Millis kRenewalInterval = Seconds(5);
constexpr std::size_t kMaxViolations = 20;

Millis
ParseProgress(const std::string& aCheckpoint)
{
  return Millis(std::strtoll(aCheckpoint.c_str(), nullptr, 10));
}

} // namespace

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(aOptions)
  , mRandom(aOptions.seed)
  , mScheduler(std::make_unique<Scheduler>(aOptions.scheduler, mEpoch))
{
}

void
Cluster::RunAt(Millis aTime, std::function<void()> aAction)
{
  mActions.push(
    { std::max(aTime, mNow), mNextActionOrder++, std::move(aAction) });
}

void
Cluster::RunUntil(Millis aTime)
{
  while (true) {
    Millis deadline = mScheduler->NextDeadline();
    Millis next = mActions.empty() ? Millis::Max() : mActions.top().at;
    if (std::min(deadline, next) > aTime) {
      break;
    }
    if (deadline <= next) {
      mNow = std::max(mNow, deadline);
      Step(Tick{});
      continue;
    }
    Action action = mActions.top();
    mActions.pop();
    mNow = std::max(mNow, action.at);
    action.run();
  }
  mNow = std::max(mNow, aTime);
}

void
Cluster::Step(const Event& aEvent)
{
  ++mSteps;
  std::vector<Effect> effects = mScheduler->Step(aEvent, mNow);
  for (const Effect& it : effects) {
    Execute(it);
  }
  if (mOptions.check && mViolations.size() < kMaxViolations) {
    for (std::string& it : mScheduler->CheckInvariants()) {
      mViolations.push_back(std::to_string(mNow.Count()) + " " + it);
    }
  }
  if (onStep) {
    onStep();
  }
}

void
Cluster::Configure(const model::PlannedDocument& aPlanned)
{
  mConfiguration.planned = aPlanned;
  mConfiguration.zones = aPlanned.document.zones;
  Step(mConfiguration);
}

void
Cluster::AddWorkers()
{
  for (const model::Rack& rack : mConfiguration.planned.document.racks) {
    for (uint32_t i = 0; i < rack.workers; ++i) {
      SimWorker worker;
      worker.description.worker =
        WorkerId(rack.id.Value() + "-" + std::to_string(i));
      worker.description.zone = rack.zone;
      worker.description.rack = rack.id;
      worker.description.incarnation = Incarnation(1);
      worker.description.cores = rack.coresPerWorker;
      worker.description.memoryMb = rack.memoryMbPerWorker;
      worker.description.accelerators = rack.acceleratorsPerWorker;
      worker.clockRate =
        1.0 + mOptions.clockDrift * (2 * mRandom.UniformDouble() - 1);
      std::size_t index = mWorkers.size();
      mWorkerById[worker.description.worker] = index;
      mWorkers.push_back(std::move(worker));
      RunAt(mNow + Millis(mRandom.Between(0, 100)),
            [this, index] { Renew(index); });
    }
  }
}

void
Cluster::Submit(const JobId& aId,
                const model::JobSpec& aSpec,
                JobBehavior aBehavior)
{
  JobRecord record;
  record.spec = aSpec;
  record.behavior = aBehavior;
  record.submittedAt = mNow;
  mJobs[aId] = std::move(record);
  Step(JobAssigned{ aId, aSpec, mNow, Attempt(0), "", {} });
}

void
Cluster::Cancel(const std::vector<JobId>& aJobs)
{
  Step(JobCancelled{ aJobs });
}

void
Cluster::SetStartsAllowed(bool aAllowed)
{
  Step(StartsAllowed{ aAllowed });
}

void
Cluster::Isolate(std::size_t aWorker, bool aIsolated)
{
  mWorkers[aWorker].isolated = aIsolated;
}

void
Cluster::Kill(std::size_t aWorker)
{
  mWorkers[aWorker].up = false;
  mWorkers[aWorker].tasks.clear();
  mWorkers[aWorker].reports.clear();
}

void
Cluster::Restart(std::size_t aWorker)
{
  Kill(aWorker);
  SimWorker& worker = mWorkers[aWorker];
  worker.up = true;
  worker.leaseEnd = Millis();
  worker.description.incarnation = worker.description.incarnation.Next();
}

void
Cluster::Crash(std::size_t aWorker)
{
  if (!mWorkers[aWorker].up) {
    return;
  }
  Kill(aWorker);
  RunAt(mNow + mOptions.workerRestartTime, [this, aWorker] {
    Restart(aWorker);
    SendRenewal(aWorker);
  });
}

void
Cluster::ChangeAuthority()
{
  mEpoch = mEpoch.Next();
  mScheduler = std::make_unique<Scheduler>(mOptions.scheduler, mEpoch);
  Step(mConfiguration);
  for (auto& [id, record] : mJobs) {
    if (record.endKind) {
      continue;
    }
    // Random delays make some assignments arrive after the workers have
    // announced their tasks.
    Millis at = mNow + Millis(mRandom.Between(0, 3000));
    RunAt(at, [this, id = id, epoch = mEpoch] {
      const JobRecord& job = mJobs[id];
      if (epoch == mEpoch && !job.endKind) {
        Step(JobAssigned{ id,
                          job.spec,
                          job.submittedAt,
                          job.lastStartedAttempt,
                          job.checkpoint,
                          job.crashes });
      }
    });
  }
}

void
Cluster::Deliver(std::size_t aWorker, std::function<void()> aAction)
{
  if (mRandom.Chance(mOptions.messageLoss)) {
    return;
  }
  Millis delay = mRandom.Between(mOptions.delayMin, mOptions.delayMax);
  RunAt(mNow + delay, [this, aWorker, run = std::move(aAction)] {
    if (mWorkers[aWorker].up && !mWorkers[aWorker].isolated) {
      run();
    }
  });
}

template<typename T>
void
Cluster::SendToScheduler(std::size_t aWorker, T aEvent)
{
  if (mWorkers[aWorker].isolated) {
    return;
  }
  Deliver(aWorker, [this, event = std::move(aEvent), epoch = mEpoch] {
    if (epoch == mEpoch) {
      Step(event);
    }
  });
}

void
Cluster::SendToWorker(const TaskAddress& aTask,
                      std::function<void(SimWorker&, std::size_t)> aAction)
{
  auto found = mWorkerById.find(aTask.worker);
  if (found == mWorkerById.end()) {
    mViolations.emplace_back("message to an unknown worker");
    return;
  }
  std::size_t index = found->second;
  Deliver(index, [this, index, aTask, run = std::move(aAction)] {
    SimWorker& worker = mWorkers[index];
    Epoch epoch = EpochOf(aTask.token);
    if (epoch < worker.epoch) {
      return;
    }
    worker.epoch = epoch;
    run(worker, index);
  });
}

std::string
Cluster::ProgressOf(const SimTask& aTask) const
{
  Millis done = aTask.resumedProgress + (mNow - aTask.startedAt);
  return std::to_string(done.Count());
}

void
Cluster::Execute(const Effect& aEffect)
{
  if (const auto* prepare = std::get_if<SendPrepare>(&aEffect)) {
    const TaskAddress& task = prepare->task;
    if (task.token <= mLastTokenByWorker[task.worker]) {
      mViolations.emplace_back("token does not increase");
    }
    mLastTokenByWorker[task.worker] =
      std::max(mLastTokenByWorker[task.worker], task.token);
    SendToWorker(
      task, [this, it = *prepare](SimWorker& aWorker, std::size_t n) {
        auto key = std::pair(it.task.job.Value(), it.task.member.Value());
        auto old = aWorker.tasks.find(key);
        if (old != aWorker.tasks.end() && old->second.running) {
          SendToScheduler(n,
                          PrepareRefused{ it.task.worker,
                                          it.task.job,
                                          it.task.attempt,
                                          it.task.member,
                                          it.task.token,
                                          "task_running" });
          return;
        }
        SimTask task;
        task.attempt = it.task.attempt;
        task.token = it.task.token;
        task.gangSize = it.gangSize;
        task.accelerators = it.accelerators;
        aWorker.tasks[key] = task;
        SendToScheduler(n,
                        PrepareAcknowledged{ it.task.worker,
                                             it.task.job,
                                             it.task.attempt,
                                             it.task.member,
                                             it.task.token });
      });
  } else if (const auto* start = std::get_if<SendStart>(&aEffect)) {
    SendToWorker(start->task, [this, it = *start](SimWorker&, std::size_t n) {
      StartTask(n, it);
    });
  } else if (const auto* save = std::get_if<SendCheckpoint>(&aEffect)) {
    SendToWorker(save->task, [this, it = *save](SimWorker&, std::size_t n) {
      RunAt(mNow + mOptions.checkpointTime, [this, it, n] {
        auto key = std::pair(it.task.job.Value(), it.task.member.Value());
        auto task = mWorkers[n].tasks.find(key);
        if (task != mWorkers[n].tasks.end() && task->second.running &&
            task->second.attempt == it.task.attempt) {
          Report(n,
                 { it.task.worker,
                   it.task.job,
                   it.task.attempt,
                   it.task.member,
                   it.task.token,
                   TaskState::kCheckpointed,
                   ProgressOf(task->second) });
        }
      });
    });
  } else if (const auto* stop = std::get_if<SendStop>(&aEffect)) {
    SendToWorker(
      stop->task, [this, it = *stop](SimWorker& aWorker, std::size_t n) {
        auto key = std::pair(it.task.job.Value(), it.task.member.Value());
        auto task = aWorker.tasks.find(key);
        if (task != aWorker.tasks.end() &&
            task->second.attempt == it.task.attempt) {
          aWorker.tasks.erase(task);
        }
        Report(n,
               { it.task.worker,
                 it.task.job,
                 it.task.attempt,
                 it.task.member,
                 it.task.token,
                 TaskState::kStopped,
                 "" });
      });
  } else if (const auto* drop = std::get_if<SendRelease>(&aEffect)) {
    SendToWorker(drop->task, [it = *drop](SimWorker& aWorker, std::size_t) {
      auto key = std::pair(it.task.job.Value(), it.task.member.Value());
      auto task = aWorker.tasks.find(key);
      if (task != aWorker.tasks.end() && !task->second.running &&
          task->second.token == it.task.token) {
        aWorker.tasks.erase(task);
      }
    });
  } else if (const auto* journal = std::get_if<WriteJournalRecord>(&aEffect)) {
    RunAt(mNow + mOptions.journalDelay, [this, it = *journal, epoch = mEpoch] {
      if (epoch == mEpoch) {
        Commit(it);
      }
    });
  } else if (const auto* alarm = std::get_if<Alarm>(&aEffect)) {
    mAlarms.push_back(*alarm);
  }
}

void
Cluster::Commit(const WriteJournalRecord& aJournal)
{
  const JobEvent& event = aJournal.event;
  JobRecord& record = mJobs[event.job];
  switch (event.kind) {
    case JobEventKind::kStarting:
      mDurableAttempts.emplace(event.job, event.attempt);
      record.lastStartedAttempt =
        std::max(record.lastStartedAttempt, event.attempt);
      break;
    case JobEventKind::kRunning:
      if (record.firstStart < Millis()) {
        record.firstStart = event.at;
      }
      break;
    case JobEventKind::kStopped:
      record.checkpoint = event.checkpoint;
      break;
    case JobEventKind::kWorkerCrashed:
      record.crashes.Add(*event.crash);
      break;
    case JobEventKind::kSound:
      record.crashes.ClearBefore(event.attempt);
      break;
    default:
      record.endKind = event.kind;
      record.reason = event.reason;
      record.endedAt = event.at;
      record.succeeded = event.kind == JobEventKind::kSucceeded;
      break;
  }
  Step(JournalCommitted{ aJournal.record });
}

void
Cluster::CheckStart(const SimWorker& aWorker, const SendStart& aStart)
{
  const TaskAddress& address = aStart.task;
  std::string what =
    std::to_string(mNow.Count()) + " " + address.job.Value() + ": ";
  if (mDurableAttempts.count({ address.job, address.attempt }) == 0) {
    mViolations.push_back(what + "started without a durable record");
  }
  if (mJobs[address.job].succeeded) {
    mViolations.push_back(what + "started after its success");
  }
  for (const SimWorker& worker : mWorkers) {
    for (const auto& [key, task] : worker.tasks) {
      if (task.running && key.first == address.job.Value() &&
          (task.attempt != address.attempt ||
           key.second == address.member.Value())) {
        mViolations.push_back(what + "runs twice");
      }
    }
  }
  for (const auto& [key, task] : aWorker.tasks) {
    for (uint32_t n : aStart.accelerators) {
      if (task.running &&
          std::find(task.accelerators.begin(), task.accelerators.end(), n) !=
            task.accelerators.end()) {
        mViolations.push_back(what + "accelerator in use by " + key.first);
      }
    }
  }
}

void
Cluster::StartTask(std::size_t aWorker, const SendStart& aStart)
{
  SimWorker& worker = mWorkers[aWorker];
  auto key = std::pair(aStart.task.job.Value(), aStart.task.member.Value());
  auto it = worker.tasks.find(key);
  if (it == worker.tasks.end() || it->second.token != aStart.task.token ||
      it->second.running) {
    return;
  }
  if (mOptions.check) {
    CheckStart(worker, aStart);
  }
  SimTask& task = it->second;
  const JobBehavior& behavior = mJobs[aStart.task.job].behavior;
  task.running = true;
  task.startedAt = mNow;
  task.resumedProgress = ParseProgress(aStart.checkpoint);
  task.runSerial = ++mRunSerial;
  SendToScheduler(aWorker,
                  StartAcknowledged{ aStart.task.worker,
                                     aStart.task.job,
                                     aStart.task.attempt,
                                     aStart.task.member,
                                     aStart.task.token });
  if (behavior.crashesWorkerAfter &&
      behavior.crashingMembers.contains(aStart.task.member.Value())) {
    RunAt(mNow + *behavior.crashesWorkerAfter,
          [this, aWorker, key, runSerial = task.runSerial] {
            auto running = mWorkers[aWorker].tasks.find(key);
            if (running != mWorkers[aWorker].tasks.end() &&
                running->second.runSerial == runSerial) {
              ++mJobs[JobId(key.first)].crashesByMember[key.second];
              Crash(aWorker);
            }
          });
  }
  bool fails = worker.faulty || behavior.faulty;
  Millis length = std::max(Millis(1), behavior.runTime - task.resumedProgress);
  if (fails) {
    length = Millis(mRandom.Between(500, 3000));
  }
  RunAt(mNow + length, [this, aWorker, key, runSerial = task.runSerial, fails] {
    auto ended = mWorkers[aWorker].tasks.find(key);
    if (ended != mWorkers[aWorker].tasks.end() &&
        ended->second.runSerial == runSerial) {
      EndTask(aWorker, key, fails ? TaskState::kFailed : TaskState::kSucceeded);
    }
  });
}

void
Cluster::EndTask(std::size_t aWorker,
                 const std::pair<std::string, uint32_t>& aKey,
                 TaskState aState)
{
  SimWorker& worker = mWorkers[aWorker];
  SimTask task = worker.tasks[aKey];
  worker.tasks.erase(aKey);
  Report(aWorker,
         { worker.description.worker,
           JobId(aKey.first),
           task.attempt,
           MemberIndex(aKey.second),
           task.token,
           aState,
           "" });
}

// Sends a report; one that does not arrive is sent again with the next renewal.
void
Cluster::Report(std::size_t aWorker, TaskReport aReport)
{
  Millis delay = mRandom.Between(mOptions.delayMin, mOptions.delayMax);
  bool lost = mRandom.Chance(mOptions.messageLoss);
  RunAt(mNow + delay,
        [this, aWorker, lost, report = std::move(aReport), epoch = mEpoch] {
          SimWorker& worker = mWorkers[aWorker];
          if (!worker.up) {
            return;
          }
          if (lost || worker.isolated || epoch != mEpoch) {
            worker.reports.push_back(report);
          } else {
            Step(report);
          }
        });
}

void
Cluster::Renew(std::size_t aWorker)
{
  RunAt(mNow + kRenewalInterval, [this, aWorker] { Renew(aWorker); });
  SendRenewal(aWorker);
}

void
Cluster::SendRenewal(std::size_t aWorker)
{
  SimWorker& worker = mWorkers[aWorker];
  if (!worker.up || worker.isolated || mRandom.Chance(mOptions.messageLoss)) {
    return;
  }
  Millis sent = mNow;
  Millis delay = mRandom.Between(mOptions.delayMin, mOptions.delayMax);
  RunAt(mNow + delay, [this, aWorker, sent, epoch = mEpoch] {
    SimWorker& at = mWorkers[aWorker];
    if (!at.up || at.isolated || epoch != mEpoch) {
      return;
    }
    auto view = mScheduler->FindWorker(at.description.worker);
    bool known = view && view->alive && !at.leaseExpired &&
                 view->incarnation == at.description.incarnation;
    if (known) {
      Step(WorkerRenewed{
        at.description.worker, at.description.incarnation, 0.5 });
    } else {
      at.description.tasks.clear();
      for (const auto& [key, task] : at.tasks) {
        if (task.running) {
          at.description.tasks.push_back({ JobId(key.first),
                                           task.attempt,
                                           MemberIndex(key.second),
                                           task.gangSize,
                                           task.token,
                                           task.accelerators });
        }
      }
      at.leaseExpired = false;
      Step(at.description);
    }
    std::vector<TaskReport> reports = std::move(at.reports);
    at.reports.clear();
    for (const TaskReport& it : reports) {
      Step(it);
    }
    // The worker measures the lease from the time of sending, by its own clock.
    auto length = static_cast<int64_t>(
      static_cast<double>(mOptions.scheduler.workerLease.Count()) /
      at.clockRate);
    at.leaseEnd = sent + Millis(length);
    RunAt(at.leaseEnd, [this, aWorker] { CheckLease(aWorker); });
  });
}

void
Cluster::CheckLease(std::size_t aWorker)
{
  SimWorker& worker = mWorkers[aWorker];
  if (worker.leaseEnd <= mNow) {
    worker.tasks.clear();
    worker.leaseExpired = true;
  }
}

} // namespace limpetwood::scheduler::testing
