// Emulates the workers of a fleet: their runs, their answers to orders and
// their faults.

#pragma once

#include "base/random.h"
#include "fleet/dispatcher.h"
#include "fleet/experiment/metrics.h"
#include "fleet/experiment/options.h"
#include "fleet/experiment/workload.h"

#include <map>
#include <vector>

namespace limpetwood::fleet::experiment {

class EmulatedWorkers
{
public:
  // All arguments must outlive the workers.
  EmulatedWorkers(const EmulatorOptions& aOptions,
                  const FleetState& aState,
                  const Workload& aWorkload,
                  Metrics& aMetrics);

  // Applies the disturbances that begin or end now, then crashes and restarts
  // workers. `aElapsed` is the time from the start of the run.
  void BeginTick(Millis aElapsed, Millis aNow);
  // Advances the runs and sends the answers and reports that are due.
  void Advance(Dispatcher& aDispatcher);
  // Executes an order, and answers it unless it is a renewal.
  void Deliver(const Order& aOrder, Dispatcher& aDispatcher);

  size_t ActiveRuns() const;

private:
  struct WorkerState;

  // One attempt of a gang, while any of its members is on a worker.
  struct Gang
  {
    // Workers of the members that are present, by index of the task.
    std::map<uint32_t, WorkerState*> members{};
    // Whether all members are present.
    bool complete = false;
    // The lowest speed of the members' workers.
    double slowestSpeed = 1;
    double rackSlowdown = 1;
  };

  struct RunState
  {
    RunRef run{};
    const JobSpec* spec = nullptr;
    // Null if the task is not a member of a gang.
    Gang* gang = nullptr;
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
    double speed = 1;
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

  void ChooseSlowWorkers();
  void Disturb(WorkerState& aWorker,
               const Disturbance& aDisturbance,
               bool aBegins);
  void CrashWorkers();
  void Crash(WorkerState& aWorker);
  // Starts the next process at the address of a crashed worker.
  void Restart(WorkerState& aWorker);
  void Resize(WorkerState& aWorker, int64_t aAccelerators);
  void Start(WorkerState& aWorker, const Order& aOrder);
  // Counts the violations by a start on the worker.
  void CheckStart(const WorkerState& aWorker, const TaskRef& aTask);
  bool CrashesWorker(const TaskRef& aTask) const;
  // Adds a member to its gang, or removes it if `aWorker` is null, and returns
  // the gang; null for tasks that are not members of one, and for empty gangs.
  Gang* UpdateGang(const RunRef& aRun,
                   const StepSpec& aStep,
                   WorkerState* aWorker);
  // Work that the run completes per millisecond.
  double RateOf(const RunState& aRun, const WorkerState& aWorker) const;
  // Whether all members of the gang have completed their work.
  static bool IsFinished(const Gang& aGang, const TaskRef& aMember);
  void EndRun(WorkerState& aWorker, TaskRef aTask, EndKind aKind, bool aWasted);
  void EndGang(const RunState& aRun, EndKind aKind);
  void AdvanceRuns(WorkerState& aWorker);
  void AnswerRenewals(WorkerState& aWorker, Dispatcher& aDispatcher);

  const EmulatorOptions& mOptions;
  const FleetState& mState;
  const Workload& mWorkload;
  Metrics& mMetrics;
  Random mStopTimes;
  Random mCrashes;
  Millis mNow{};
  std::map<WorkerId, WorkerState> mWorkers;
  // By attempt; the index of the task is 0.
  std::map<RunRef, Gang> mGangs;
  std::map<TaskRef, CrashRecord> mCrashRecords;
};

} // namespace limpetwood::fleet::experiment
