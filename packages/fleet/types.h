// Values of the fleet: jobs of several steps, the queues that they wait in, the
// workers that run them, and the names of their tasks.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::fleet {

using QueueId = StrongString<struct QueueIdTag>;

// What a task needs, or what a worker has.
struct Resources
{
  // Thousandths of a core.
  int64_t cpu = 0;
  int64_t memoryMb = 0;
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  bool FitsIn(const Resources& aRoom) const
  {
    return cpu <= aRoom.cpu && memoryMb <= aRoom.memoryMb &&
           accelerators <= aRoom.accelerators;
  }

  Resources& operator+=(const Resources& aOther)
  {
    cpu += aOther.cpu;
    memoryMb += aOther.memoryMb;
    accelerators += aOther.accelerators;
    return *this;
  }

  Resources& operator-=(const Resources& aOther)
  {
    cpu -= aOther.cpu;
    memoryMb -= aOther.memoryMb;
    accelerators -= aOther.accelerators;
    return *this;
  }

  Resources operator-(const Resources& aOther) const
  {
    return Resources(*this) -= aOther;
  }
};

// One step of a job: a number of equal tasks.
struct StepSpec
{
  uint32_t tasks = 0;
  Resources resources{};
  // The caller's estimate of one task's run time; may be far off.
  Millis estimate{};
  // Indexes of earlier steps that must be done first.
  std::vector<uint32_t> dependencies{};
  bool gang = false;
  // The run time grows when the tasks span racks.
  bool prefersOneRack = false;
  // The tasks save checkpoints.
  bool savesCheckpoints = false;
  // Copies of a task may run at the same time.
  bool speculative = false;
  // Runs until the job is cancelled.
  bool longRunning = false;
  // Uses what other tasks leave idle; its processor need is not counted.
  bool usesIdleCpu = false;
  // Label that a worker must have; empty if any will do.
  std::string label{};
  // Rack that holds the input; empty if there is none.
  RackId rack{};
  // Most tasks of the step on one worker; 0 if there is no limit.
  uint32_t perWorkerLimit = 0;
  std::string image{};
  Millis latencyTarget{};
  // Tasks that may be away at once because of the system.
  uint32_t maxUnavailableTasks = 0;

  // The part of the need that counts against a worker's capacity.
  Resources CountedResources() const
  {
    Resources out = resources;
    if (usesIdleCpu) {
      out.cpu = 0;
    }
    return out;
  }
};

struct JobSpec
{
  // Handed to the workers as it is.
  std::string payload{};
  std::vector<StepSpec> steps{};
  // Due time of the first occurrence (wall clock) and the time between two.
  Millis firstRunAt{};
  Millis interval{};
  // 0 for a job that runs once, at once.
  uint32_t occurrences = 0;

  uint32_t OccurrenceCount() const
  {
    return occurrences == 0 ? 1 : occurrences;
  }
};

struct Queue
{
  QueueId name{};
  std::string host{};
  std::string prefix{};
  ServiceId service{};
  // 0 is the most urgent and may preempt others.
  int32_t priority = 0;
  uint32_t maxAttempts = 1;
  // The objective is `stretch` times the longest chain plus `targetLatency`.
  double stretch = 1;
  Millis targetLatency{};
  Millis timeout{};
  // Callers need no key.
  bool isPublic = false;
  // Workers need a ticket of the advice service.
  bool needsAdvice = false;
};

struct Workspace
{
  WorkspaceId name{};
  std::vector<std::string> keys{};
  int64_t guaranteedAccelerators = 0;
};

// Limits on callers' requests.
struct RequestLimits
{
  int64_t headerBytes = 16384;
  int64_t bodyBytes = 262144;
  Millis headerTime = Seconds(3);
  Millis idleTime = Seconds(15);
};

struct Configuration
{
  ConfigVersion version{};
  // As the operator sent it.
  std::string text{};
  std::vector<Queue> queues{};
  std::vector<Workspace> workspaces{};
  RequestLimits limits{};
};

struct TaskRef
{
  JobId job{};
  uint32_t occurrence = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  auto operator<=>(const TaskRef&) const = default;
};

// One start of a task.
struct RunRef
{
  TaskRef task{};
  Attempt attempt{};

  auto operator<=>(const RunRef&) const = default;
};

// "JOB.OCCURRENCE.STEP.INDEX#RUN", for logs.
std::string
NameOf(const RunRef& aRun);

// How a run ended.
enum class EndKind
{
  kDone,
  kFailed,
  kStopped,
  // The lease ran out on the worker.
  kLeaseExpired,
  // Another member of the gang ended.
  kGangMemberEnded,
  // The other members of the gang did not come.
  kGangIncomplete,
  // The worker refused the start.
  kRejected,
  // The worker is gone, or does not know the run.
  kLost,
};

inline constexpr int kEndKindCount = 8;

std::string_view
EndKindName(EndKind aKind);

// What a worker says of itself.
struct WorkerReport
{
  WorkerId id{};
  // Start time of this life of the worker (wall clock, milliseconds).
  Incarnation incarnation{};
  std::string address{};
  ServiceId service{};
  ZoneId zone{};
  Resources capacity{};
  std::vector<std::string> labels{};
  RackId rack{};
  std::string machine{};
  bool draining = false;
  // Grows with each report of one incarnation.
  uint64_t sequence = 0;
  // The worker's steady clock; leases are measured on it.
  Millis clock{};
};

} // namespace limpetwood::fleet
