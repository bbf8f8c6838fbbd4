#include "scheduler/gang.h"

#include <algorithm>

namespace limpetwood::scheduler {

bool
AllMembers(const Job& aJob, MemberState aState)
{
  return std::all_of(aJob.members.begin(),
                     aJob.members.end(),
                     [aState](const Member& it) { return it.state == aState; });
}

bool
AnyMayBeExecuting(const Job& aJob)
{
  return std::any_of(aJob.members.begin(),
                     aJob.members.end(),
                     [](const Member& it) { return MayBeExecuting(it.state); });
}

model::JobState
StateOf(const Job& aJob)
{
  switch (aJob.phase) {
    case Phase::kQueued:
    case Phase::kClaiming:
      return model::JobState::kQueued;
    case Phase::kPreparing:
    case Phase::kJournaling:
    case Phase::kStarting:
      return model::JobState::kStarting;
    case Phase::kRunning:
    case Phase::kRecovering:
      return model::JobState::kRunning;
    case Phase::kCheckpointing:
    case Phase::kThrottling:
    case Phase::kStopping:
      return model::JobState::kPreempting;
    case Phase::kEnding:
      break;
  }
  return aJob.finalState;
}

} // namespace limpetwood::scheduler
