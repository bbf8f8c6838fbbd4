// Requests that instances relay to the leader of the fleet, and their outcomes.

#pragma once

#include <string_view>

namespace limpetwood::fleet {

enum class RequestKind
{
  // Who leads, who holds the state, and which limits are in force.
  kPing,
  kSubmit,
  // A job's status, or the length of a queue if the path names no job.
  kRead,
  kCancel,
  kReport,
  kLeave,
  kPutConfiguration,
  kGetConfiguration,
};

enum class RequestOutcome
{
  kOk,
  // Nothing was done; another instance may lead.
  kNotLeader,
  // Nothing was done; there is no configuration yet, or no quorum.
  kUnavailable,
  kUnknownQueue,
  kUnauthorized,
  // Nothing was done, because the job would not be served in time.
  kRejected,
  kNoSuchJob,
  kInvalid,
  // The leader changed before the outcome was known.
  kMayHaveRun,
};

inline constexpr int kRequestOutcomeCount = 9;

std::string_view
RequestKindName(RequestKind aKind);

std::string_view
RequestOutcomeName(RequestOutcome aOutcome);

// Whether an outcome with this name certainly left no trace.
constexpr bool
IsKnownNotExecuted(RequestOutcome aOutcome)
{
  return aOutcome != RequestOutcome::kOk &&
         aOutcome != RequestOutcome::kMayHaveRun;
}

} // namespace limpetwood::fleet
