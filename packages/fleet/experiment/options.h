// Parameters of an emulated fleet: the workers, their faults and the load.

#pragma once

#include "fleet/planner.h"

#include <string>
#include <vector>

namespace limpetwood::fleet::experiment {

// Interval of the emulation. All times of disturbances are multiples of it.
inline constexpr Millis kTickInterval(10);

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
  // Number of steps of a job, which run one after another.
  uint32_t steps = 1;
  // All jobs have `meanTasks` tasks with a run time of `meanRunTime`.
  bool exactSize = false;
  // Number of jobs after which no more arrive.
  size_t maxJobs = SIZE_MAX;
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
    // The first workspace submits `factor` times as many jobs as each other.
    kFlood,
    // The callers of a share of the unfinished jobs cancel them, each at a
    // random time of the disturbance.
    kCancel,
  };

  Kind kind = Kind::kBurst;
  // Start, relative to the start of the run; `at` and `duration` must be
  // multiples of 10 ms.
  Millis at{};
  Millis duration{};
  // Share of the workers or jobs that is affected; unused for bursts and
  // floods.
  double share = 0.1;
  // Factor of the load or of the slowdown; unused otherwise.
  double factor = 2;
};

// Whether the disturbance is in effect at this time from the start of the run.
inline bool
IsActive(const Disturbance& aDisturbance, Millis aElapsed)
{
  return aElapsed >= aDisturbance.at &&
         aElapsed < aDisturbance.at + aDisturbance.duration;
}

// How the members of a gang progress on workers of different speeds. The gang
// ends when its slowest member has finished in both cases.
enum class GangPace
{
  // All members progress at the speed of the slowest one.
  kSlowestMember,
  // Each member progresses at its own speed and waits for the others at the
  // end, so that the members' progress shows which worker is slow.
  kOwnSpeed,
};

// What the share of long run times is taken of.
enum class LongShare
{
  // All tasks of a long job are long.
  kJobs,
  // Tasks are long independently of each other; a gang counts as one task.
  kTasks,
};

struct EmulatorOptions
{
  uint64_t seed = 1;
  size_t workers = 48;
  size_t workersPerRack = 8;
  Resources capacity{ .cpu = 128'000, .memoryMb = 512'000, .accelerators = 8 };
  // A share of the workers, chosen at random, has this speed relative to the
  // others.
  double slowWorkerShare = 0;
  double slowWorkerSpeed = 0.45;
  GangPace gangPace = GangPace::kOwnSpeed;
  // A share of the jobs or tasks takes this many times as long as the others.
  double longShare = 0;
  double longFactor = 7;
  LongShare longShareOf = LongShare::kJobs;
  // The jobs of a class are spread over this many queues, for each of which the
  // scheduler learns run times separately.
  size_t queuesPerClass = 1;
  // Bounds of the ratio of callers' estimates to the run times at normal speed.
  double minEstimateFactor = 0.5;
  double maxEstimateFactor = 2;
  // Number of workspaces; their guarantees are equal and add up to half of the
  // accelerators.
  size_t workspaces = 1;
  // Whether jobs may be refused. Refused callers return after the delay that
  // they are told, up to `maxReturns` times.
  bool admissionEnabled = false;
  uint32_t maxReturns = 5;
  // Whether the latency of a job that was refused counts from its first
  // submission or from the one that was accepted.
  bool countsFromFirstSubmission = false;
  Millis maxStopTime = Millis(500);
  Millis duration = Seconds(40);
  // Time after the last arrival in which jobs may still end.
  Millis drainTime = Seconds(30);
  std::vector<JobClass> classes{};
  std::vector<Disturbance> disturbances{};
  PlannerOptions planner{};
  // See `DispatcherOptions::callerCost`.
  bool callerCost = false;
};

} // namespace limpetwood::fleet::experiment
