#include "routing/request.h"

#include <array>

namespace limpetwood::routing {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Reason::kCount)>
  kReasonNames = { "none",
                   "unknown_service",
                   "unknown_workspace",
                   "workspace_quota",
                   "queue_full",
                   "deadline_too_short",
                   "deadline_passed",
                   "no_servers",
                   "draining",
                   "already_started",
                   "key_unknown",
                   "not_repeatable",
                   "retry_budget",
                   "attempts_exhausted",
                   "servers_lost",
                   "answer_broken",
                   "shutdown",
                   "cancelled" };

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(RetryReason::kCount)>
  kRetryReasonNames = { "not_sent",
                        "server_refused",
                        "connection_lost",
                        "no_response" };

} // namespace

std::string_view
ReasonName(Reason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::string_view
RetryReasonName(RetryReason aReason)
{
  return kRetryReasonNames.at(static_cast<std::size_t>(aReason));
}

int
HttpStatusFor(Verdict aVerdict, Reason aReason)
{
  switch (aReason) {
    case Reason::kAlreadyStarted:
      return 409;
    case Reason::kWorkspaceQuota:
    case Reason::kQueueFull:
    case Reason::kDeadlineTooShort:
      // 429 tells the caller that the request did not run.
      return aVerdict == Verdict::kNotRun ? 429 : 502;
    case Reason::kDeadlinePassed:
      return 504;
    case Reason::kKeyUnknown:
      return 503;
    default:
      return aVerdict == Verdict::kMayHaveRun ? 502 : 503;
  }
}

} // namespace limpetwood::routing
