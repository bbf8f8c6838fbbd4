// Output actions of the scheduler. The daemon executes them in order.

#pragma once

#include "scheduler/event.h"

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace limpetwood::scheduler {

// Identifies one member of one attempt in a message to a worker.
//
// A member's token increases when a new authority adopts it. The worker
// compares the token with the one that it has stored for the task.
struct TaskAddress
{
  WorkerId worker;
  JobId job;
  Attempt attempt;
  MemberIndex member;
  FencingToken token;
};

// Asks the worker to reserve resources for a member. The worker releases the
// reservation after `durationMs` unless the member is started.
struct SendPrepare
{
  TaskAddress task;
  uint32_t gangSize = 1;
  std::vector<uint32_t> accelerators;
  uint32_t cores = 0;
  uint64_t memoryMb = 0;
  int64_t durationMs = 0;
};

// Asks the worker to run a prepared member, resuming from `checkpoint` if it is
// not empty.
struct SendStart
{
  TaskAddress task;
  std::vector<uint32_t> accelerators;
  int64_t durationMs = 0;
  std::string checkpoint;
};

// Asks the worker to write a checkpoint of the member within `durationMs` and
// to report it.
struct SendCheckpoint
{
  TaskAddress task;
  int64_t durationMs = 0;
};

// Asks the worker to reduce the task's resource usage. The scheduler stops the
// task after `durationMs`.
struct SendThrottle
{
  TaskAddress task;
  int64_t durationMs = 0;
};

// Asks the worker to end the task and report `kStopped`. The scheduler sends it
// again every `durationMs` until it is answered or the worker's lease has
// ended. A worker that does not know the task also reports `kStopped`.
struct SendStop
{
  TaskAddress task;
  int64_t durationMs = 0;
};

// Asks the worker to release the resources reserved for a prepared member that
// will not be started.
struct SendRelease
{
  TaskAddress task;
};

enum class JobEventKind
{
  kStarting,
  kRunning,
  // Stopped, and will run again from `checkpoint`.
  kStopped,
  kSucceeded,
  kFailed,
  kCancelled,
  // Can never run under the configuration in force; `reason` tells why.
  kImpossible,
  // Only records `crash`.
  kWorkerCrashed,
  // The attempt has run long enough to clear the crashes of earlier ones.
  kSound,
};

// A change of a job's state to be recorded in the journal. Idempotent by job,
// attempt, kind and crash.
struct JobEvent
{
  JobId job;
  Attempt attempt;
  JobEventKind kind = JobEventKind::kStarting;
  Millis at;
  std::string reason;
  std::string checkpoint;
  // Workers of the members, in member order; set only for `kStarting`.
  std::vector<WorkerId> workers;
  // Set only for `kWorkerCrashed`.
  std::optional<model::WorkerCrash> crash;
};

// Asks the daemon to commit the event to the journal and to send
// `JournalCommitted` when it is durable.
struct WriteJournalRecord
{
  RecordId record;
  JobEvent event;
};

// A condition that needs the operator's attention. An alarm with `active` false
// clears the earlier one with the same reason and the same value in the first
// pair of `values`.
struct Alarm
{
  std::string reason;
  bool active = true;
  std::vector<std::pair<std::string, std::string>> values;
};

using Effect = std::variant<SendPrepare,
                            SendStart,
                            SendCheckpoint,
                            SendThrottle,
                            SendStop,
                            SendRelease,
                            WriteJournalRecord,
                            Alarm>;

} // namespace limpetwood::scheduler
