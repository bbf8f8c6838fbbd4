// What a submitted job asks for and the states it passes through.

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
  // Starts within 1.7 s if its workspace's guarantee or free capacity allows.
  kUrgent,
};

const char*
PriorityName(Priority aPriority);

std::optional<Priority>
ParsePriority(std::string_view aName);

// A gang of `members` tasks that run together or not at all.
struct JobSpec
{
  WorkspaceId workspace;
  std::string name;
  uint32_t members = 1;
  Accelerators acceleratorsPerMember{ 1 };
  uint32_t coresPerMember = 1;
  uint64_t memoryMbPerMember = 1024;
  // How close all members must be to each other.
  TopologyScope topologyScope = TopologyScope::kZone;
  Priority priority = Priority::kNormal;
  // As declared by the submitter; never trusted.
  Millis declaredRunTime = Hours(1);
  // Whether the tasks can be checkpointed and resumed.
  bool checkpointable = false;
  // Passed to the tasks unchanged.
  std::string payload;

  Accelerators TotalAccelerators() const
  {
    return Accelerators(members * acceleratorsPerMember.Value());
  }

  bool operator==(const JobSpec&) const = default;
};

enum class JobState
{
  // Accepted and durable, waiting for a zone or for capacity.
  kQueued,
  // All members hold leases and are being started.
  kStarting,
  kRunning,
  // Being stopped in order to run again later.
  kPreempting,
  kSucceeded,
  kFailed,
  kCancelled,
  // Can never run with the present configuration and workers.
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
