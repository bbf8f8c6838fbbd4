// Input events of the scheduler.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/crash_history.h"
#include "model/job.h"
#include "model/validate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace limpetwood::scheduler {

// Identifies a journal record; unique within one `Scheduler` object.
using RecordId = StrongInt<struct RecordIdTag>;

// A new configuration has come into force.
struct ConfigurationChanged
{
  model::PlannedDocument planned;
  // The zones that this scheduler manages. Guaranteed shapes pinned to other
  // zones are ignored.
  std::vector<ZoneId> zones;
};

// A running task reported in a worker's announcement.
struct RunningTask
{
  JobId job;
  Attempt attempt;
  MemberIndex member;
  uint32_t gangSize = 1;
  FencingToken token;
  // Indices of the accelerators in use. If empty, the scheduler counts as many
  // free accelerators of the worker as in use as the job requests.
  std::vector<uint32_t> accelerators;
};

// Sent by a worker when it starts and whenever the scheduler does not know it
// or its lease has expired.
struct WorkerAnnounced
{
  WorkerId worker;
  ZoneId zone;
  RackId rack;
  Incarnation incarnation;
  uint32_t cores = 0;
  uint64_t memoryMb = 0;
  Accelerators accelerators;
  std::string address;
  std::vector<RunningTask> tasks;
};

// Renews the lease of a worker and thus of all its tasks.
struct WorkerRenewed
{
  WorkerId worker;
  Incarnation incarnation;
  // Share of the worker's cores in use, 0 to 1.
  double cpuUsage = 0;
};

// The control leader has assigned a job to this zone. Ignored if the job was
// assigned before.
struct JobAssigned
{
  JobId job;
  model::JobSpec spec;
  Millis submittedAt;
  // Highest attempt recorded in the journal; 0 if the job never started.
  Attempt lastAttempt;
  // Handle of the checkpoint to resume from; empty if there is none.
  std::string checkpoint;
  // Crashes of workers under earlier attempts, recorded in the journal.
  model::CrashHistory crashes;
};

struct JobCancelled
{
  std::vector<JobId> jobs;
};

enum class TaskState
{
  kRunning,
  kSucceeded,
  kFailed,
  kCheckpointed,
  kStopped,
};

struct TaskReport
{
  WorkerId worker;
  JobId job;
  Attempt attempt;
  MemberIndex member;
  FencingToken token;
  TaskState state = TaskState::kRunning;
  // Handle of the checkpoint; set only for `kCheckpointed`.
  std::string checkpoint;
};

struct PrepareAcknowledged
{
  WorkerId worker;
  JobId job;
  Attempt attempt;
  MemberIndex member;
  FencingToken token;
};

struct PrepareRefused
{
  WorkerId worker;
  JobId job;
  Attempt attempt;
  MemberIndex member;
  FencingToken token;
  std::string reason;
};

struct StartAcknowledged
{
  WorkerId worker;
  JobId job;
  Attempt attempt;
  MemberIndex member;
  FencingToken token;
};

// A journal record has become durable.
struct JournalCommitted
{
  RecordId record;
};

// Allows or forbids the start of gangs. While it is forbidden, no gang is
// prepared or started, attempts that have not started are abandoned, and no
// work is preempted. Active gangs continue.
struct StartsAllowed
{
  bool allowed = true;
};

// Reports only that time has passed; due at `Scheduler::NextDeadline`.
struct Tick
{};

using Event = std::variant<ConfigurationChanged,
                           WorkerAnnounced,
                           WorkerRenewed,
                           JobAssigned,
                           JobCancelled,
                           TaskReport,
                           PrepareAcknowledged,
                           PrepareRefused,
                           StartAcknowledged,
                           JournalCommitted,
                           StartsAllowed,
                           Tick>;

} // namespace limpetwood::scheduler
