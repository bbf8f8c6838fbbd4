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
      return "get_configuration";
    case RequestKind::kEvacuateZone:
      return "evacuate_zone";
    case RequestKind::kRestoreZone:
      break;
  }
  return "restore_zone";
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
      return "may_have_run";
    case RequestOutcome::kUnknownZone:
      return "unknown_zone";
    case RequestOutcome::kMayBeOutdated:
      break;
  }
  return "may_be_outdated";
}

} // namespace limpetwood::fleet
