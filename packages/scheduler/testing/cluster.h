// Simulates a cluster in virtual time for tests and benchmarks. Executes the
// scheduler's effects on workers that have their own leases and clocks and on a
// journal, with lost and delayed messages, isolated workers and changes of the
// authority.
//
// Records what actually runs and reports violations that the scheduler must
// never cause: a gang that runs in two attempts, a task started without a
// durable record, an accelerator used twice, a token that does not increase, a
// job that runs again after its success.

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

// The actual behaviour of a job, unknown to the scheduler.
struct JobBehavior
{
  Millis runTime = Minutes(1);
  // Every attempt fails after 0.5 s to 3 s.
  bool faulty = false;
  // Each task of these members ends the process of its worker this long after
  // its start. The worker is back with its next incarnation after
  // `ClusterOptions::workerRestartTime`.
  std::optional<Millis> crashesWorkerAfter{};
  std::set<uint32_t> crashingMembers = { 0 };
};

struct ClusterOptions
{
  uint64_t seed = 1;
  // Range of the delay of each message between a worker and the scheduler.
  Millis delayMin = Millis(1);
  Millis delayMax = Millis(5);
  // Probability that a message is lost, 0 to 1.
  double messageLoss = 0;
  Millis journalDelay = Millis(20);
  // Maximum deviation of a worker's clock rate, as a share; 0.01 is 1 %.
  double clockDrift = 0;
  Millis checkpointTime = Millis(200);
  Millis workerRestartTime = Seconds(3);
  // Check for violations after each event; disabled in benchmarks.
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
  // Run time completed by earlier attempts, according to the checkpoint.
  Millis resumedProgress;
  // Unique per run, so that the scheduled end of an earlier run is ignored.
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
  // The lease has ended by the worker's own clock, so the worker announces
  // itself instead of renewing.
  bool leaseExpired = false;
  // The highest epoch received; messages of earlier epochs are dropped.
  Epoch epoch;
  // By job id and member index.
  std::map<std::pair<std::string, uint32_t>, SimTask> tasks;
  // Reports that did not arrive, sent again with the next renewal.
  std::vector<TaskReport> reports;
};

struct JobRecord
{
  model::JobSpec spec;
  JobBehavior behavior;
  Millis submittedAt;
  // The highest attempt with a durable `kStarting` record.
  Attempt lastStartedAttempt;
  std::string checkpoint;
  model::CrashHistory crashes;
  // Crashes that the job's tasks have caused, by member.
  std::map<uint32_t, uint32_t> crashesByMember;
  std::optional<JobEventKind> endKind;
  std::string reason;
  // Times recorded in the journal; -1 ms if not recorded.
  Millis firstStart{ -1 };
  Millis endedAt{ -1 };
  bool succeeded = false;
};

class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);

  void Configure(const model::PlannedDocument& aPlanned);
  // Adds the workers of all racks in the configured document. Each announces
  // itself within 100 ms.
  void AddWorkers();
  void Submit(const JobId& aId,
              const model::JobSpec& aSpec,
              JobBehavior aBehavior);
  void Cancel(const std::vector<JobId>& aJobs);
  void SetStartsAllowed(bool aAllowed);
  // While `aIsolated` is set, no message from or to the worker arrives. Its
  // reports are sent again later.
  void Isolate(std::size_t aWorker, bool aIsolated);
  // Kills the worker and starts its next incarnation at once.
  void Restart(std::size_t aWorker);
  // Stops the worker; its tasks and unsent reports are lost.
  void Kill(std::size_t aWorker);
  // Kills the worker and starts its next incarnation, which announces itself,
  // after `ClusterOptions::workerRestartTime`. Does nothing if it is down.
  void Crash(std::size_t aWorker);
  // Replaces the scheduler by one with the next epoch. Open jobs are assigned
  // again within 3 s, some of them after the workers have announced their
  // tasks.
  void ChangeAuthority();
  // Runs `aAction` at `aTime`, or as soon as the simulation continues if that
  // time has passed.
  void RunAt(Millis aTime, std::function<void()> aAction);
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
  // Number of task runs that workers have started.
  uint64_t StartedTasks() const { return mRunSerial; }

  // Called after each step, for example to collect metrics.
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
  // Runs `aAction` after a random delay, unless the message is lost or the
  // worker is down or isolated when it arrives.
  void Deliver(std::size_t aWorker, std::function<void()> aAction);
  template<typename T>
  void SendToScheduler(std::size_t aWorker, T aEvent);
  void SendToWorker(const TaskAddress& aTask,
                    std::function<void(SimWorker&, std::size_t)> aAction);
  // Renews the lease of the worker now and every 5 s.
  void Renew(std::size_t aWorker);
  // Sends one renewal, or an announcement if the scheduler does not know the
  // worker.
  void SendRenewal(std::size_t aWorker);
  void CheckLease(std::size_t aWorker);
  void StartTask(std::size_t aWorker, const SendStart& aStart);
  // `aKey` is the job id and the member index.
  void EndTask(std::size_t aWorker,
               const std::pair<std::string, uint32_t>& aKey,
               TaskState aState);
  void Report(std::size_t aWorker, TaskReport aReport);
  void CheckStart(const SimWorker& aWorker, const SendStart& aStart);
  std::string ProgressOf(const SimTask& aTask) const;

  ClusterOptions mOptions;
  Random mRandom;
  // Declared before the scheduler, whose constructor takes it.
  Epoch mEpoch{ 1 };
  std::unique_ptr<Scheduler> mScheduler;
  Millis mNow;
  uint64_t mNextActionOrder = 0;
  uint64_t mRunSerial = 0;
  uint64_t mSteps = 0;
  std::priority_queue<Action, std::vector<Action>, std::greater<>> mActions;
  ConfigurationChanged mConfiguration;
  std::vector<SimWorker> mWorkers;
  std::map<WorkerId, std::size_t> mWorkerById;
  std::map<JobId, JobRecord> mJobs;
  std::set<std::pair<JobId, Attempt>> mDurableAttempts;
  std::map<WorkerId, FencingToken> mLastTokenByWorker;
  std::vector<std::string> mViolations;
  std::vector<Alarm> mAlarms;
};

} // namespace limpetwood::scheduler::testing
