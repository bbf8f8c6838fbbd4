// Outputs of the scheduler, executed by the daemon in their order.

#pragma once

#include "scheduler/event.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace limpetwood::scheduler {

// Names one member of one attempt in a message to a worker.
//
// The token of a member grows when a new authority adopts it; a worker
// compares it with the token that it holds for the same task.
struct TaskAddress
{
  WorkerId worker;
  JobId job;
  Attempt attempt;
  MemberIndex member;
  FencingToken token;
};

// Hold resources for a member. The worker drops the hold after `durationMs`
// unless a start follows.
struct SendPrepare
{
  TaskAddress task;
  uint32_t gangSize = 1;
  std::vector<uint32_t> accelerators;
  uint32_t cores = 0;
  uint64_t memoryMb = 0;
  int64_t durationMs = 0;
};

// Run a prepared member, from `checkpoint` if it is not empty.
struct SendStart
{
  TaskAddress task;
  std::vector<uint32_t> accelerators;
  int64_t durationMs = 0;
  std::string checkpoint;
};

// Write a checkpoint within `durationMs` and report it.
struct SendCheckpoint
{
  TaskAddress task;
  int64_t durationMs = 0;
};

// Reduce the use of resources; a stop follows after `durationMs`.
struct SendThrottle
{
  TaskAddress task;
  int64_t durationMs = 0;
};

// End the task and report `kStopped`. Sent again until it is answered; a
// worker that does not know the task answers `kStopped` as well.
struct SendStop
{
  TaskAddress task;
  int64_t durationMs = 0;
};

// Drop the hold of a prepared member that will not be started.
struct SendRelease
{
  TaskAddress task;
};

enum class JobEventKind
{
  kStarting,
  kRunning,
  // Stopped in order to run again; `checkpoint` is the state to resume from.
  kStopped,
  kSucceeded,
  kFailed,
  kCancelled,
  // Can never run with the configuration in force, for `reason`.
  kImpossible,
};

// A change of a job that the journal keeps; idempotent by job, attempt and
// kind.
struct JobEvent
{
  JobId job;
  Attempt attempt;
  JobEventKind kind = JobEventKind::kStarting;
  Millis at;
  std::string reason;
  std::string checkpoint;
  // Workers of the members in their order, with `kStarting`.
  std::vector<WorkerId> workers;
};

// Commit the event and answer with `JournalCommitted`.
struct WriteJournalRecord
{
  RecordId record;
  JobEvent event;
};

// A condition that operators must see. An alarm with `active` false ends the
// earlier one with the same reason and the same first value.
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
