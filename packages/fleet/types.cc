#include "fleet/types.h"

namespace limpetwood::fleet {

std::string
StepName(const StepRef& aStep)
{
  return aStep.job.Value() + "." + std::to_string(aStep.occurrence) + "." +
         std::to_string(aStep.step);
}

std::string
RunName(const RunRef& aRun)
{
  return StepName(StepOf(aRun.task)) + "." + std::to_string(aRun.task.index) +
         "#" + std::to_string(aRun.attempt.Value());
}

std::string_view
EndKindName(EndKind aKind)
{
  switch (aKind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLeaseExpired:
      return "lapsed";
    case EndKind::kGangMemberEnded:
      return "broken";
    case EndKind::kGangIncomplete:
      return "alone";
    case EndKind::kRejected:
      return "rejected";
    case EndKind::kWorkerCrashed:
      return "worker_crashed";
    case EndKind::kLost:
      break;
  }
  return "lost";
}

std::string_view
CrashEvidenceName(CrashEvidence aEvidence)
{
  switch (aEvidence) {
    case CrashEvidence::kAtStart:
      return "at_start";
    case CrashEvidence::kAloneAtStart:
      return "alone_at_start";
    case CrashEvidence::kExonerated:
      return "exonerated";
    case CrashEvidence::kNone:
      break;
  }
  return "none";
}

std::string_view
StopReasonName(StopReason aReason)
{
  switch (aReason) {
    case StopReason::kNone:
      return "job_or_gang_ended";
    case StopReason::kSlow:
      return "slow";
    case StopReason::kStalled:
      return "stalled";
    case StopReason::kPreempted:
      return "preempted";
    case StopReason::kUnanswered:
      return "unanswered";
    case StopReason::kWorkerDeparts:
      return "worker_departs";
    case StopReason::kEarlierLeader:
      break;
  }
  return "earlier_leader";
}

} // namespace limpetwood::fleet
