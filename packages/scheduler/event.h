// Inputs of the scheduler.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/job.h"
#include "model/validate.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace limpetwood::scheduler {

// Number of a journal record; unique for one scheduler object.
using RecordId = StrongInt<struct RecordIdTag>;

// A new configuration is in force.
struct ConfigurationChanged
{
  model::PlannedDocument planned;
  // Only shapes that are pinned to these zones are provided here.
  std::vector<ZoneId> zones;
};

// A task that a worker holds, as announced.
struct RunningTask
{
  JobId job;
  Attempt attempt;
  MemberIndex member;
  uint32_t gangSize = 1;
  FencingToken token;
  // Indices of the accelerators in use. If they are not known, any free ones
  // of the job's number are counted as used.
  std::vector<uint32_t> accelerators;
};

// A worker announces itself, at its start and whenever it was not known.
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

// Renews the lease of all tasks of a worker.
struct WorkerRenewed
{
  WorkerId worker;
  Incarnation incarnation;
  // Share of the worker's cores in use, 0 to 1.
  double cpuUsage = 0;
};

// A committed assignment of a job to this zone. Known job ids are ignored.
struct JobAssigned
{
  JobId job;
  model::JobSpec spec;
  Millis submittedAt;
  // Highest attempt in the journal; 0 if the job never started.
  Attempt lastAttempt;
  std::string checkpoint;
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
  // Set with `kCheckpointed`.
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

// The record is durable.
struct JournalCommitted
{
  RecordId record;
};

// Time has passed; sent at `Scheduler::NextDeadline`.
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
                           Tick>;

} // namespace limpetwood::scheduler
