// Emulates a fleet in virtual time: workers with faults and a job load, driving
// the real dispatcher and planner.
//
//   Emulator emulator(options);
//   Outcomes outcomes = emulator.Run();
//
// Workers behave like those of the platform: a gang makes progress while all
// its members are present, a stop takes time, and a worker may hang, run
// slower, fail its runs, be crashed by a task or change its capacity. Runs with
// the same seed are identical.

#pragma once

#include "base/random.h"
#include "fleet/dispatcher.h"

#include <map>
#include <string>
#include <vector>

namespace limpetwood::fleet::experiment {

// Parameters of one class of jobs.
struct JobClass
{
  std::string name;
  int32_t priority = 0;
  double arrivalsPerSecond = 1;
  double meanTasks = 4;
  // Mean run time of a task; jobs vary by 40 percent around it.
  Millis meanRunTime = Millis(2500);
  // Possible numbers of accelerators per task; each job draws one.
  std::vector<int64_t> accelerators{ 1 };
  // Millicores per task.
  int64_t cpu = 8000;
  bool gang = true;
  double oneRackProbability = 0.6;
  double checkpointProbability = 0;
  double stretch = 1.5;
  Millis targetLatency = Millis(250);
  // Value of a result in time, and of a late one, relative to other classes.
  double value = 1;
  double lateValue = 0.2;
  uint32_t maxAttempts = 3;
};

struct Disturbance
{
  enum class Kind
  {
    // Multiplies the load of the first class by `factor`.
    kBurst,
    // A share of the workers hangs, runs slower by `factor`, or fails all runs.
    kHang,
    kSlow,
    kFail,
    // A share of the workers is lost for good.
    kLoss,
    // Of a share of the jobs of the first class, the last task crashes each
    // worker that starts it. The workers come back after some seconds.
    kDeadly,
    // A share of the workers has an eighth of its accelerators.
    kResize,
  };

  Kind kind = Kind::kBurst;
  // Start, relative to the start of the run; `at` and `duration` must be
  // multiples of 10 ms.
  Millis at{};
  Millis duration{};
  // Share of the workers or jobs that is affected; unused for bursts.
  double share = 0.1;
  // Factor of the load or of the slowdown; unused otherwise.
  double factor = 2;
};

struct EmulatorOptions
{
  uint64_t seed = 1;
  size_t workers = 48;
  size_t workersPerRack = 8;
  Resources capacity{ .cpu = 128'000, .memoryMb = 512'000, .accelerators = 8 };
  Millis maxStopTime = Millis(500);
  Millis duration = Seconds(40);
  // Time after the last arrival in which jobs may still end.
  Millis drainTime = Seconds(30);
  std::vector<JobClass> classes{};
  std::vector<Disturbance> disturbances{};
  PlannerOptions planner{};
};

struct ClassOutcome
{
  size_t jobs = 0;
  size_t inTime = 0;
  size_t late = 0;
  size_t withoutValue = 0;
  double earnedValue = 0;
  double maxValue = 0;
  // Times from submission to the first start.
  std::vector<Millis> startDelays;
};

struct Outcomes
{
  std::map<std::string, ClassOutcome> classes;
  // Accelerator seconds in use, and of those the ones whose work was lost.
  double usedAcceleratorSeconds = 0;
  double wastedAcceleratorSeconds = 0;
  // Violated invariants: two runs of one task.
  size_t violations = 0;
  // Starts that exceeded a worker's capacity.
  size_t limitViolations = 0;
  // Starts of tasks that had crashed too many workers.
  size_t budgetViolations = 0;
  size_t workersCrashed = 0;
  // Jobs that failed although no task of theirs crashes workers.
  size_t soundJobsFailed = 0;

  double ValueRatio() const;
};

class Emulator
{
public:
  explicit Emulator(EmulatorOptions aOptions);

  Outcomes Run();

private:
  struct RunState
  {
    RunRef run{};
    const JobSpec* spec = nullptr;
    Millis startedAt{};
    // Completed and total work, in milliseconds at normal speed.
    double done = 0;
    double work = 0;
    Millis stopAt = Millis::Max();
    Millis crashAt = Millis::Max();
  };

  struct WorkerState
  {
    WorkerReport report{};
    // Position among the workers; kept by the processes that follow at the
    // same address.
    size_t position = 0;
    bool alive = true;
    // Another process with another id has its address.
    bool replaced = false;
    // When it comes back after a task crashed it.
    Millis restartAt = Millis::Max();
    bool hanging = false;
    bool failing = false;
    double slowdown = 1;
    std::map<TaskRef, RunState> runs{};
    std::vector<EndedRun> ended{};
    uint64_t endNumber = 0;
    std::vector<Order> renewals{};
    Millis nextReport{};
    int64_t usedAccelerators = 0;
    // Until this time, starts may still rely on `earlierAccelerators`.
    Millis earlierCapacityUntil{};
    int64_t earlierAccelerators = 0;
  };

  struct CrashRecord
  {
    size_t crashes = 0;
    size_t startsAfterLimit = 0;
  };

  struct JobInfo
  {
    const JobClass* jobClass = nullptr;
    Millis submittedAt{};
    Millis objective{};
    // Weight of the job by its size, multiplied with the value of its class.
    double value = 1;
    Millis work{};
    bool started = false;
    bool accounted = false;
    bool deadly = false;
  };

  void SubmitArrivals();
  void SubmitJob(const JobClass& aClass);
  void ApplyDisturbances();
  void Commit();
  void Deliver(const Order& aOrder);
  void AdvanceRuns(WorkerState& aWorker);
  void CrashWorkers();
  void Crash(WorkerState& aWorker);
  // Starts the next process at the address of a crashed worker.
  void Restart(WorkerState& aWorker);
  void Resize(WorkerState& aWorker, int64_t aAccelerators);
  // Counts the violations by a start on the worker.
  void CheckStart(const WorkerState& aWorker, const TaskRef& aTask);
  bool CrashesWorker(const TaskRef& aTask) const;
  bool IsGangPresent(const RunState& aRun) const;
  double RackSlowdown(const RunState& aRun) const;
  void EndRun(WorkerState& aWorker,
              const TaskRef& aTask,
              EndKind aKind,
              bool aWasted);
  void EndGang(const RunState& aRun, EndKind aKind);
  void AnswerRenewals(WorkerState& aWorker);
  void AccountEndedJobs();

  const EmulatorOptions mOptions;
  // Random numbers of the load. Separate from the stop times, so that the load
  // is the same for all policies.
  Random mRandom;
  Random mStopTimes;
  Random mCrashes;
  FleetState mState;
  Millis mNow{ 1'000'000 };
  const Millis mBegin = mNow;
  Dispatcher mDispatcher;
  std::map<WorkerId, WorkerState> mWorkers;
  std::map<JobId, JobInfo> mJobs;
  std::map<TaskRef, CrashRecord> mCrashRecords;
  std::map<std::string, Millis> mNextArrival;
  // Proposed commands with their commit times.
  std::vector<std::pair<Millis, gen::Command>> mProposed;
  uint64_t mNextJob = 1;
  Outcomes mOutcomes;
};

} // namespace limpetwood::fleet::experiment
