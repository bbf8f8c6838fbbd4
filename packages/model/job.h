// Specification and states of a job.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/document.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetwood::model {

enum class Priority
{
  kBatch,
  kNormal,
  // Starts within 1.7 s if the workspace's guarantee or free capacity suffices.
  kUrgent,
};

const char*
PriorityName(Priority aPriority);

std::optional<Priority>
ParsePriority(std::string_view aName);

// A gang job: `members` tasks that are started together or not at all.
struct JobSpec
{
  WorkspaceId workspace;
  std::string name;
  uint32_t members = 1;
  Accelerators acceleratorsPerMember{ 1 };
  uint32_t coresPerMember = 1;
  uint64_t memoryMbPerMember = 1024;
  // The topology level within which all members must be placed.
  TopologyScope topologyScope = TopologyScope::kZone;
  Priority priority = Priority::kNormal;
  // Run time as declared by the submitter. Not verified, so decisions must stay
  // safe if it is wrong.
  Millis declaredRunTime = Hours(1);
  // Whether the tasks can be checkpointed and resumed.
  bool checkpointable = false;
  // Opaque data that is passed to the tasks unchanged.
  std::string payload;

  Accelerators TotalAccelerators() const
  {
    return Accelerators(members * acceleratorsPerMember.Value());
  }

  bool operator==(const JobSpec&) const = default;
};

enum class JobState
{
  // Accepted and durably stored; waits for assignment to a zone or for
  // capacity.
  kQueued,
  // Workers have been chosen for all members. Their resources are being
  // reserved and the members started.
  kStarting,
  kRunning,
  // Being stopped by preemption; the job is queued again afterwards.
  kPreempting,
  kSucceeded,
  kFailed,
  kCancelled,
  // Can never run with the current configuration and workers.
  kImpossible,
};

const char*
JobStateName(JobState aState);

std::optional<JobState>
ParseJobState(std::string_view aName);

// True for states that a job never leaves.
constexpr bool
IsFinal(JobState aState)
{
  return aState == JobState::kSucceeded || aState == JobState::kFailed ||
         aState == JobState::kCancelled || aState == JobState::kImpossible;
}

} // namespace limpetwood::model
