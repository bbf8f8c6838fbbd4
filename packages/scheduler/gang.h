// One job and the state of its present attempt.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/job.h"
#include "scheduler/effect.h"
#include "scheduler/views.h"
#include "scheduler/worker_table.h"

#include <cstdint>
#include <string>
#include <vector>

namespace limpetwood::scheduler {

enum class MemberState : uint8_t
{
  // Holds nothing.
  kReleased,
  // Has claimed capacity that victims still use.
  kClaimed,
  // Prepare was sent.
  kPreparing,
  kPrepared,
  // Start was sent.
  kStarting,
  kRunning,
  // Stop was sent; the task may still run.
  kStopping,
  // On a worker without a lease; it may run until the lease margin ends.
  kLeaseLost,
  kSucceeded,
};

// True if a task of this state may be executing on its worker.
constexpr bool
MayBeExecuting(MemberState aState)
{
  return aState == MemberState::kStarting || aState == MemberState::kRunning ||
         aState == MemberState::kStopping || aState == MemberState::kLeaseLost;
}

// True if the member holds capacity of its worker.
constexpr bool
HoldsCapacity(MemberState aState)
{
  return aState != MemberState::kReleased && aState != MemberState::kClaimed &&
         aState != MemberState::kSucceeded;
}

// True if the member holds or has claimed capacity of its worker.
constexpr bool
HoldsOrClaimsCapacity(MemberState aState)
{
  return HoldsCapacity(aState) || aState == MemberState::kClaimed;
}

struct Member
{
  WorkerIndex worker = kNoIndex;
  MemberState state = MemberState::kReleased;
  // Has reported the present checkpoint round.
  bool checkpointed = false;
  FencingToken token;
  AcceleratorMask mask = 0;
};

enum class Phase : uint8_t
{
  kQueued,
  // Waits for victims to stop.
  kClaiming,
  kPreparing,
  // Waits for the record `starting` to be durable.
  kJournaling,
  kStarting,
  kRunning,
  // Being preempted: writing a checkpoint, then throttled.
  kCheckpointing,
  kThrottling,
  kStopping,
  // Reported by workers to a new authority, not yet whole.
  kRecovering,
  // Final; waits for its record to be durable.
  kEnding,
};

// True while members may be executing.
constexpr bool
IsActive(Phase aPhase)
{
  return aPhase == Phase::kStarting || aPhase == Phase::kRunning ||
         aPhase == Phase::kCheckpointing || aPhase == Phase::kThrottling ||
         aPhase == Phase::kStopping || aPhase == Phase::kRecovering;
}

// What happens once all members of a stopping gang are gone.
enum class AfterStop : uint8_t
{
  kRequeue,
  kCancel,
  kFail,
  // The job is unknown; only its tasks were reported.
  kRemove,
};

struct Job
{
  JobId id;
  // Without the payload, which the scheduler does not use.
  model::JobSpec spec;
  MemberResources need;
  uint32_t workspace = kNoIndex;
  Phase phase = Phase::kQueued;
  AfterStop afterStop = AfterStop::kRequeue;
  bool occupied = false;
  // The specification is known; false for a task reported before its job.
  bool assigned = false;
  // Occupies shapes of its workspace's guarantee; not preemptible by others.
  bool guaranteed = false;
  // Started on capacity that is set aside for another job.
  bool backfilled = false;
  // Stopped in order to be placed elsewhere; goes first in its workspace.
  bool relocating = false;
  // Expected to run long when it was placed.
  bool longRunning = false;
  Attempt attempt;
  Millis submittedAt;
  Millis startedAt;
  // The state that a restart resumes from was written at this time.
  Millis resumePointAt;
  // No start before this time.
  Millis notBefore;
  // End of the present phase; a new generation invalidates earlier timers.
  Millis deadline = Millis::Max();
  uint32_t generation = 0;
  uint32_t failedAttempts = 0;
  RecordId record;
  // The job that takes this one's place, while being preempted.
  JobSlot preemptor = kNoIndex;
  std::vector<Member> members;
  // Jobs whose stop this one waits for.
  std::vector<JobSlot> victims;
  // Workers on which an attempt failed.
  std::vector<WorkerIndex> failedWorkers;
  std::string checkpoint;
  // Reported by member 0 in a round that is not complete.
  std::string pendingCheckpoint;
  // A literal: why the job waits or ended.
  const char* reason = "";
  // Set with `Phase::kEnding`.
  model::JobState finalState = model::JobState::kQueued;
};

inline MemberResources
MemberResourcesOf(const model::JobSpec& aSpec)
{
  return { aSpec.coresPerMember,
           aSpec.acceleratorsPerMember.Value(),
           aSpec.memoryMbPerMember };
}

// All members are in `aState`.
bool
AllMembers(const Job& aJob, MemberState aState);

// A member that may be executing exists.
bool
AnyMayBeExecuting(const Job& aJob);

model::JobState
StateOf(const Job& aJob);

} // namespace limpetwood::scheduler
