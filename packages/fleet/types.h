// Value types of the scheduler: multi-step jobs, the queues they are submitted
// to, the workers that run them, and references to tasks and runs.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::fleet {

using QueueId = StrongString<struct QueueIdTag>;

// Resources that a task requires or that a worker provides.
struct Resources
{
  // Millicores.
  int64_t cpu = 0;
  int64_t memoryMb = 0;
  int64_t accelerators = 0;

  bool operator==(const Resources&) const = default;

  bool HasNegative() const
  {
    return cpu < 0 || memoryMb < 0 || accelerators < 0;
  }

  bool FitsIn(const Resources& aAvailable) const
  {
    return cpu <= aAvailable.cpu && memoryMb <= aAvailable.memoryMb &&
           accelerators <= aAvailable.accelerators;
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

// The smaller amount of each resource.
inline Resources
Min(const Resources& x, const Resources& y)
{
  return { .cpu = std::min(x.cpu, y.cpu),
           .memoryMb = std::min(x.memoryMb, y.memoryMb),
           .accelerators = std::min(x.accelerators, y.accelerators) };
}

// One step of a job: a set of identical tasks.
struct StepSpec
{
  uint32_t tasks = 0;
  Resources resources{};
  // The caller's estimate of the run time of one task; can be wrong by a factor
  // of two or more.
  Millis estimate{};
  // Indexes of earlier steps that must complete before this step starts.
  std::vector<uint32_t> dependencies{};
  bool gang = false;
  // The tasks run slower when they are placed on several racks.
  bool prefersOneRack = false;
  // The tasks save checkpoints.
  bool savesCheckpoints = false;
  // Copies of a task may run at the same time.
  bool speculative = false;
  // Runs until the job is cancelled.
  bool longRunning = false;
  // The tasks use processor time that other tasks leave idle, so their `cpu`
  // does not count against a worker's capacity.
  bool usesIdleCpu = false;
  // Label that a worker must have; empty if any worker is suitable.
  std::string label{};
  // Rack that stores the input data; empty if there is none.
  RackId rack{};
  // Maximum number of tasks of the step on one worker; 0 for no limit.
  uint32_t perWorkerLimit = 0;
  std::string image{};
  Millis latencyTarget{};
  // Maximum number of tasks that the system may interrupt at the same time.
  uint32_t maxUnavailableTasks = 0;

  // The resources of one task that count against a worker's capacity.
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
  // Passed to the workers unchanged.
  std::string payload{};
  std::vector<StepSpec> steps{};
  // Due time of the first occurrence (wall clock) and the interval between
  // occurrences.
  Millis firstRunAt{};
  Millis interval{};
  // Number of scheduled occurrences; 0 for a job that runs once, immediately.
  uint32_t occurrences = 0;

  uint32_t OccurrenceCount() const
  {
    return occurrences == 0 ? 1 : occurrences;
  }
};

struct Queue
{
  QueueId name{};
  // Requests for this host whose path starts with `prefix` belong to the queue;
  // the longest prefix wins.
  std::string host{};
  std::string prefix{};
  ServiceId service{};
  // 0 is the most urgent priority; jobs of priority 0 may preempt others.
  int32_t priority = 0;
  // Number of failed attempts of a task or gang after which its job fails.
  uint32_t maxAttempts = 1;
  // The latency objective of a job is `targetLatency` plus `stretch` times the
  // run time of its critical path.
  double stretch = 1;
  Millis targetLatency{};
  Millis timeout{};
  // Requests need no API key.
  bool isPublic = false;
  // Workers need a ticket from the advice service to run tasks of this queue.
  bool needsAdvice = false;
};

struct Workspace
{
  WorkspaceId name{};
  // API keys of the workspace.
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
  // The document as the operator submitted it.
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

// One step of one occurrence of a job.
struct StepRef
{
  JobId job{};
  uint32_t occurrence = 0;
  uint32_t step = 0;

  auto operator<=>(const StepRef&) const = default;
};

inline StepRef
StepOf(const TaskRef& aTask)
{
  return { aTask.job, aTask.occurrence, aTask.step };
}

// Formats a step as "JOB.OCCURRENCE.STEP" for logs.
std::string
StepName(const StepRef& aStep);

// One attempt to run a task.
struct RunRef
{
  TaskRef task{};
  Attempt attempt{};

  auto operator<=>(const RunRef&) const = default;
};

// Formats a run as "JOB.OCCURRENCE.STEP.INDEX#ATTEMPT" for logs.
std::string
RunName(const RunRef& aRun);

// How a run ended. The values are stored and sent; they must not change.
enum class EndKind
{
  kDone,
  kFailed,
  kStopped,
  // The lease expired on the worker.
  kLeaseExpired,
  // Another member of the gang ended.
  kGangMemberEnded,
  // The other members of the gang did not start in time.
  kGangIncomplete,
  // The start was refused by the worker, could not be sent, or was withdrawn.
  kRejected,
  // The worker was removed, or does not know the run.
  kLost,
  // The worker's process ended without notice while the run was active.
  kWorkerCrashed,
};

inline constexpr int kEndKindCount = 9;

std::string_view
EndKindName(EndKind aKind);

// Why the leader stopped a run whose job goes on. The values are stored; they
// must not change.
enum class StopReason
{
  // The run was not stopped, or its job or gang could not continue.
  kNone,
  // A new run on another worker was expected to end sooner.
  kSlow,
  // It made no progress.
  kStalled,
  // A more urgent job needed its resources.
  kPreempted,
  // Its start received no answer.
  kUnanswered,
  // An earlier leader stopped it, for a reason that is not known.
  kEarlierLeader,
  // The process of its worker was about to end. Added later, so it is the last.
  kWorkerDeparts,
};

inline constexpr int kStopReasonCount = 7;

std::string_view
StopReasonName(StopReason aReason);

// What the time of a worker's crash says about the part of one of its runs in
// it. The values are stored; they must not change.
enum class CrashEvidence
{
  // The run had been active for a while, or its age is unknown. It counts as a
  // crash under the task without making the task a suspect.
  kNone,
  // The run had started just before the crash.
  kAtStart,
  // Like `kAtStart`, and the worker ran nothing else.
  kAloneAtStart,
  // The run had been active for so long that it is not the cause.
  kExonerated,
};

std::string_view
CrashEvidenceName(CrashEvidence aEvidence);

// State that a worker reports about itself.
struct WorkerReport
{
  WorkerId id{};
  // Start time of the worker process (wall clock, milliseconds). Distinguishes
  // processes that run under the same worker id.
  Incarnation incarnation{};
  std::string address{};
  ServiceId service{};
  ZoneId zone{};
  Resources capacity{};
  std::vector<std::string> labels{};
  RackId rack{};
  std::string machine{};
  bool draining = false;
  // Increases with each report of one incarnation.
  uint64_t sequence = 0;
  // The worker's monotonic clock, on which leases are measured.
  Millis clock{};
  // Time for which the worker remains slow after its start.
  Millis coldRemaining{};
  // Minimum time until the process ends, counted from `clock`. Set only while
  // the worker drains, if it is known.
  std::optional<Millis> departsIn{};
};

} // namespace limpetwood::fleet
