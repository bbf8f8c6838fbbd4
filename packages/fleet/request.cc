#include "fleet/request.h"

namespace limpetwood::fleet {

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
