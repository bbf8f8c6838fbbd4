#include "fleet/request.h"

namespace limpetwood::fleet {

std::string_view
RequestKindName(RequestKind aKind)
{
  switch (aKind) {
    case RequestKind::kPing:
      return "ping";
    case RequestKind::kSubmit:
      return "submit";
    case RequestKind::kRead:
      return "read";
    case RequestKind::kCancel:
      return "cancel";
    case RequestKind::kReport:
      return "report";
    case RequestKind::kLeave:
      return "leave";
    case RequestKind::kPutConfiguration:
      return "put_configuration";
    case RequestKind::kGetConfiguration:
      break;
  }
  return "get_configuration";
}

std::string_view
OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kOk:
      return "ok";
    case Outcome::kNotLeader:
      return "not_leader";
    case Outcome::kUnavailable:
      return "unavailable";
    case Outcome::kUnknownQueue:
      return "unknown_queue";
    case Outcome::kUnauthorized:
      return "unauthorized";
    case Outcome::kRejected:
      return "rejected";
    case Outcome::kNoSuchJob:
      return "no_such_job";
    case Outcome::kInvalid:
      return "invalid";
    case Outcome::kMayHaveRun:
      break;
  }
  return "may_have_run";
}

} // namespace limpetwood::fleet
