// A fleet in virtual time: workers with faults, a load of jobs, and the real
// dispatcher and planner between them.
//
//   Emulator emulator(options);
//   Outcomes outcomes = emulator.Run();
//
// Workers run tasks as the platform's do: a gang makes progress while all its
// members are present, a stop takes time, a worker may stand still, run slower
// or fail what it is given. The same seed gives the same run.

#pragma once

#include "base/random.h"
#include "fleet/dispatcher.h"

#include <map>
#include <string>
#include <vector>

namespace limpetwood::fleet::experiment {

// One kind of job.
struct LoadClass
{
  std::string name;
  int32_t priority = 0;
  double perSecond = 1;
  double meanTasks = 4;
  Millis work = Millis(2500);
  // One of these for each task of a job.
  std::vector<int64_t> accelerators{ 1 };
  int64_t cpu = 8000;
  bool gang = true;
  double prefersOneRack = 0.6;
  double savesCheckpoints = 0;
  double stretch = 1.5;
  Millis targetLatency = Millis(250);
  double worth = 1;
  double lateWorth = 0.2;
  uint32_t maxAttempts = 3;
};

struct Disturbance
{
  enum class Kind
  {
    // `x` times the load of the first class.
    kBurst,
    // A part of the workers stands still, is `x` times slower, or fails all.
    kHang,
    kSlow,
    kFail,
    // A part of the workers is taken away.
    kLoss,
  };

  Kind kind = Kind::kBurst;
  Millis at{};
  Millis length{};
  double share = 0.1;
  double x = 2;
};

struct EmulatorOptions
{
  uint64_t seed = 1;
  size_t workers = 48;
  size_t workersPerRack = 8;
  Resources capacity{ .cpu = 128'000, .memoryMb = 512'000, .accelerators = 8 };
  Millis maxStopTime = Millis(500);
  Millis length = Seconds(40);
  // After the last arrival.
  Millis drain = Seconds(30);
  std::vector<LoadClass> classes{};
  std::vector<Disturbance> disturbances{};
  PlannerOptions planner{};
};

struct ClassOutcome
{
  size_t jobs = 0;
  size_t inTime = 0;
  size_t late = 0;
  size_t lost = 0;
  double earned = 0;
  double owed = 0;
  // From acceptance to the first start.
  std::vector<Millis> waits;
};

struct Outcomes
{
  std::map<std::string, ClassOutcome> classes;
  // Accelerator seconds.
  double used = 0;
  double thrownAway = 0;
  // Broken rules: capacity exceeded, two runs of one task.
  size_t violations = 0;

  double Worth() const;
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
    double done = 0;
    double work = 0;
    Millis stopAt = Millis::Max();
  };

  struct WorkerState
  {
    WorkerReport report{};
    bool alive = true;
    bool hanging = false;
    bool failing = false;
    double slowdown = 1;
    std::map<TaskRef, RunState> runs{};
    std::vector<EndedRun> ended{};
    uint64_t endNumber = 0;
    std::vector<Order> renewals{};
    Millis nextReport{};
    int64_t usedAccelerators = 0;
  };

  struct JobInfo
  {
    const LoadClass* type = nullptr;
    Millis handedIn{};
    Millis objective{};
    double worth = 1;
    Millis work{};
    bool started = false;
    bool settled = false;
  };

  void Arrive();
  void SubmitJob(const LoadClass& aClass);
  void Disturb();
  void Commit();
  void Deliver(const Order& aOrder);
  void Work(WorkerState& aWorker);
  bool IsPresent(const RunState& aRun) const;
  double RackFactor(const RunState& aRun) const;
  void EndRun(WorkerState& aWorker,
              const TaskRef& aTask,
              EndKind aKind,
              bool aWasted);
  void EndGang(const RunState& aRun, EndKind aKind);
  void AnswerRenewals(WorkerState& aWorker);
  void Settle();

  const EmulatorOptions mOptions;
  // Of the load, which is the same for all policies.
  Random mRandom;
  Random mStopTimes;
  FleetState mState;
  Millis mNow{ 1'000'000 };
  const Millis mBegin = mNow;
  Dispatcher mDispatcher;
  std::map<WorkerId, WorkerState> mWorkers;
  std::map<JobId, JobInfo> mJobs;
  std::map<std::string, Millis> mNextArrival;
  // Commands on their way to the log, with when they are committed.
  std::vector<std::pair<Millis, gen::Command>> mProposed;
  uint64_t mNextJob = 1;
  Outcomes mOutcomes;
};

} // namespace limpetwood::fleet::experiment
