// A loop in virtual time that answers the scheduler's effects, for tests and
// benchmarks: workers with leases and clocks of their own, a journal, lost and
// late messages, isolation and a change of the authority.
//
// It keeps its own record of what really runs and reports what the scheduler
// must never allow: a gang that runs in two attempts, a task that starts
// without a durable record, an accelerator used twice, a token that does not
// grow, a job that runs again after it succeeded.

#pragma once

#include "base/random.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::scheduler::testing {

// What a job really does, unknown to the scheduler.
struct JobBehavior
{
  Millis runTime = Minutes(1);
  // Every attempt fails after a moment.
  bool faulty = false;
};

struct ClusterOptions
{
  uint64_t seed = 1;
  Millis delayMin = Millis(1);
  Millis delayMax = Millis(5);
  double messageLoss = 0;
  Millis journalDelay = Millis(20);
  // A worker's clock is slower or faster by up to this share.
  double clockDrift = 0;
  Millis checkpointTime = Millis(200);
  // Checks after each event; off in benchmarks.
  bool check = true;
  SchedulerOptions scheduler;
};

struct SimTask
{
  Attempt attempt;
  FencingToken token;
  uint32_t gangSize = 1;
  std::vector<uint32_t> accelerators;
  bool running = false;
  Millis startedAt;
  // Work done by earlier attempts, as the checkpoint says.
  Millis resumedProgress;
  uint64_t runSerial = 0;
};

struct SimWorker
{
  WorkerAnnounced description;
  bool up = true;
  bool isolated = false;
  // Fails every task that it starts.
  bool faulty = false;
  double clockRate = 1.0;
  Millis leaseEnd;
  // Its lease ended by its own clock: it announces itself instead of renewing.
  bool leaseExpired = false;
  Epoch epoch;
  std::map<std::pair<std::string, uint32_t>, SimTask> tasks;
  std::vector<TaskReport> reports;
};

struct JobRecord
{
  model::JobSpec spec;
  JobBehavior behavior;
  Millis submittedAt;
  Attempt started;
  std::string checkpoint;
  std::optional<JobEventKind> endKind;
  std::string reason;
  // Times as seen by the journal.
  Millis firstStart{ -1 };
  Millis endedAt{ -1 };
  bool succeeded = false;
};

class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);

  void Configure(const model::PlannedDocument& aPlanned);
  // Announces `aCount` workers on each rack of the configured document.
  void AddWorkers();
  void Submit(const JobId& aId,
              const model::JobSpec& aSpec,
              JobBehavior aBehavior);
  void Cancel(const std::vector<JobId>& aJobs);
  void Isolate(std::size_t aWorker, bool aIsolated);
  void Restart(std::size_t aWorker);
  void Kill(std::size_t aWorker);
  // Replaces the authority; with `aKeepOrder` jobs are assigned before workers
  // announce themselves.
  void ChangeAuthority();
  void At(Millis aTime, std::function<void()> aAction);
  void RunUntil(Millis aTime);

  Millis Now() const { return mNow; }
  Scheduler& GetScheduler() { return *mScheduler; }
  std::vector<SimWorker>& Workers() { return mWorkers; }
  const std::map<JobId, JobRecord>& Jobs() const { return mJobs; }
  const std::vector<std::string>& Violations() const { return mViolations; }
  const std::vector<Alarm>& Alarms() const { return mAlarms; }
  Random& Rng() { return mRandom; }
  void SetMessageLoss(double aMessageLoss)
  {
    mOptions.messageLoss = aMessageLoss;
  }
  uint64_t Steps() const { return mSteps; }

  // Called after each step; for metrics.
  std::function<void()> onStep;

private:
  struct Action
  {
    Millis at;
    uint64_t order = 0;
    std::function<void()> run;

    bool operator>(const Action& aOther) const
    {
      return std::pair(at, order) > std::pair(aOther.at, aOther.order);
    }
  };

  void Step(const Event& aEvent);
  void Execute(const Effect& aEffect);
  void Commit(const WriteJournalRecord& aJournal);
  // Runs `aAction` after a delay unless the message is lost or the worker
  // cannot be reached.
  void Deliver(std::size_t aWorker, std::function<void()> aAction);
  template<typename T>
  void SendToScheduler(std::size_t aWorker, T aEvent);
  void SendToWorker(const TaskAddress& aTask,
                    std::function<void(SimWorker&, std::size_t)> aAction);
  void Renew(std::size_t aWorker);
  void CheckLease(std::size_t aWorker);
  void StartTask(std::size_t aWorker, const SendStart& aStart);
  void EndTask(std::size_t aWorker,
               const std::pair<std::string, uint32_t>& aKey,
               TaskState aState);
  void Report(std::size_t aWorker, TaskReport aReport);
  void CheckStart(const SimWorker& aWorker, const SendStart& aStart);
  std::string ProgressOf(const SimTask& aTask) const;

  ClusterOptions mOptions;
  Random mRandom;
  std::unique_ptr<Scheduler> mScheduler;
  Epoch mEpoch{ 1 };
  Millis mNow;
  uint64_t mOrder = 0;
  uint64_t mRunSerial = 0;
  uint64_t mSteps = 0;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> mActions;
  ConfigurationChanged mConfiguration;
  std::vector<SimWorker> mWorkers;
  std::map<WorkerId, std::size_t> mWorkerById;
  std::map<JobId, JobRecord> mJobs;
  std::set<std::pair<JobId, Attempt>> mDurableAttempts;
  std::map<WorkerId, FencingToken> mTokens;
  std::vector<std::string> mViolations;
  std::vector<Alarm> mAlarms;
};

} // namespace limpetwood::scheduler::testing
