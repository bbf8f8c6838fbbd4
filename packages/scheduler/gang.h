// A job and the state of its current attempt.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "model/crash_history.h"
#include "model/job.h"
#include "scheduler/effect.h"
#include "scheduler/views.h"
#include "scheduler/worker_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace limpetwood::scheduler {

enum class MemberState : uint8_t
{
  // Uses no capacity.
  kReleased,
  // Has claimed capacity that victims still use.
  kClaimed,
  // `SendPrepare` was emitted.
  kPreparing,
  kPrepared,
  // `SendStart` was emitted.
  kStarting,
  kRunning,
  // `SendStop` was emitted; the task may still be running.
  kStopping,
  // The worker's lease has ended; the task may run until the lease margin ends.
  kLeaseLost,
  kSucceeded,
};

// Returns true if a task in this state may be executing on its worker.
constexpr bool
MayBeExecuting(MemberState aState)
{
  return aState == MemberState::kStarting || aState == MemberState::kRunning ||
         aState == MemberState::kStopping || aState == MemberState::kLeaseLost;
}

// Returns true if a member in this state uses capacity of its worker.
constexpr bool
HoldsCapacity(MemberState aState)
{
  return aState != MemberState::kReleased && aState != MemberState::kClaimed &&
         aState != MemberState::kSucceeded;
}

// Returns true if a member in this state uses or has claimed capacity of its
// worker.
constexpr bool
HoldsOrClaimsCapacity(MemberState aState)
{
  return HoldsCapacity(aState) || aState == MemberState::kClaimed;
}

struct Member
{
  WorkerIndex worker = kNoIndex;
  MemberState state = MemberState::kReleased;
  // Has reported a checkpoint in the current round.
  bool checkpointed = false;
  FencingToken token;
  AcceleratorMask mask = 0;
  // When the start was sent; nothing if an earlier authority sent it.
  std::optional<Millis> startedAt;
};

enum class Phase : uint8_t
{
  kQueued,
  // Waits for victims to stop.
  kClaiming,
  kPreparing,
  // Waits for the `kStarting` record to be durable.
  kJournaling,
  kStarting,
  kRunning,
  // Being preempted: first writes a checkpoint, then is throttled.
  kCheckpointing,
  kThrottling,
  kStopping,
  // Reported by workers to a new authority; not all members are reported yet.
  kRecovering,
  // Finished; waits for the final record to be durable.
  kEnding,
};

// Returns true in phases in which members may be executing.
constexpr bool
IsActive(Phase aPhase)
{
  return aPhase == Phase::kStarting || aPhase == Phase::kRunning ||
         aPhase == Phase::kCheckpointing || aPhase == Phase::kThrottling ||
         aPhase == Phase::kStopping || aPhase == Phase::kRecovering;
}

// What happens when all members of a stopping gang have stopped.
enum class AfterStop : uint8_t
{
  kRequeue,
  kCancel,
  kFail,
  // Remove the job, which was never assigned; only its tasks were reported.
  kRemove,
};

struct Job
{
  JobId id;
  // The payload is removed because the scheduler does not use it.
  model::JobSpec spec;
  // Resources of each member.
  MemberResources need;
  // Index in `Core::mWorkspaces`.
  uint32_t workspace = kNoIndex;
  Phase phase = Phase::kQueued;
  AfterStop afterStop = AfterStop::kRequeue;
  // False if the slot that contains this object is unused.
  bool occupied = false;
  // True once the job was assigned; false while only its tasks were reported.
  bool assigned = false;
  // Uses guaranteed cells of its workspace; other workspaces cannot preempt it.
  bool guaranteed = false;
  // Started on capacity reserved for another job.
  bool backfilled = false;
  // Preempted to be placed elsewhere; first in the order of its workspace.
  bool relocating = false;
  // Predicted to run long at the time of its placement.
  bool longRunning = false;
  Attempt attempt;
  Millis submittedAt;
  Millis startedAt;
  // When the state that a restart would resume from was saved, or the start of
  // the attempt.
  Millis resumePointAt;
  // Earliest time of the next start.
  Millis notBefore;
  // Deadline of the current phase. Each change increments `generation`, which
  // invalidates earlier timers.
  Millis deadline = Millis::Max();
  uint32_t generation = 0;
  uint32_t failedAttempts = 0;
  // The journal record that the job waits for in `Phase::kJournaling` and
  // `Phase::kEnding`.
  RecordId record;
  // The job that this one is being preempted for.
  JobSlot preemptor = kNoIndex;
  std::vector<Member> members;
  // Jobs that this one waits for to stop.
  std::vector<JobSlot> victims;
  // Workers on which an attempt failed.
  std::vector<WorkerIndex> failedWorkers;
  model::CrashHistory crashes;
  // The workers of `crashes`.
  std::unordered_set<WorkerId> crashedWorkers;
  // Handle of the latest complete checkpoint; empty if there is none.
  std::string checkpoint;
  // Handle reported by member 0 in a checkpoint round that is still incomplete.
  std::string pendingCheckpoint;
  // Why the job waits or ended; points to a string literal.
  const char* reason = "";
  // Set in `Phase::kEnding`.
  model::JobState finalState = model::JobState::kQueued;
};

inline MemberResources
MemberResourcesOf(const model::JobSpec& aSpec)
{
  return { aSpec.coresPerMember,
           aSpec.acceleratorsPerMember.Value(),
           aSpec.memoryMbPerMember };
}

// Returns true if all members are in `aState`.
bool
AllMembers(const Job& aJob, MemberState aState);

// Returns true if any member may be executing.
bool
AnyMayBeExecuting(const Job& aJob);

model::JobState
StateOf(const Job& aJob);

} // namespace limpetwood::scheduler
