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
RequestOutcomeName(RequestOutcome aOutcome)
{
  switch (aOutcome) {
    case RequestOutcome::kOk:
      return "ok";
    case RequestOutcome::kNotLeader:
      return "not_leader";
    case RequestOutcome::kUnavailable:
      return "unavailable";
    case RequestOutcome::kUnknownQueue:
      return "unknown_queue";
    case RequestOutcome::kUnauthorized:
      return "unauthorized";
    case RequestOutcome::kRejected:
      return "rejected";
    case RequestOutcome::kNoSuchJob:
      return "no_such_job";
    case RequestOutcome::kInvalid:
      return "invalid";
    case RequestOutcome::kMayHaveRun:
      break;
  }
  return "may_have_run";
}

} // namespace limpetwood::fleet
