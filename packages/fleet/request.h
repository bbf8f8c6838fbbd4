// Kinds and outcomes of the requests that instances relay to the leader.

#pragma once

#include <string_view>

namespace limpetwood::fleet {

// The values are sent; they must not change.
enum class RequestKind
{
  // Asks for the leader, the instances that store the state, and the request
  // limits in force.
  kPing,
  kSubmit,
  // A job's status, or the length of a queue if the path names no job.
  kRead,
  kCancel,
  // A worker's report of its state.
  kReport,
  // A worker leaves; its runs end as lost.
  kLeave,
  // Stores a configuration if its version is higher than the current one.
  kPutConfiguration,
  kGetConfiguration,
  // Takes a zone out of service for new runs, or back into service.
  kEvacuateZone,
  kRestoreZone,
};

// The values are sent; they must not change.
enum class RequestOutcome
{
  kOk,
  // The request was not executed; another instance may be the leader.
  kNotLeader,
  // The request was not executed; there is no configuration yet, or no quorum.
  kUnavailable,
  kUnknownQueue,
  kUnauthorized,
  // The request was not executed because the job could not complete in useful
  // time.
  kRejected,
  kNoSuchJob,
  // The request is malformed or lacks a required part.
  kInvalid,
  // The leader changed before the outcome was known; the request may have been
  // executed.
  kMayHaveRun,
  // The request names a zone that the deployment does not have.
  kUnknownZone,
  // The request was not executed because a later one of its kind may have been
  // executed before it arrived.
  kMayBeOutdated,
};

inline constexpr int kRequestOutcomeCount = 11;

std::string_view
RequestKindName(RequestKind aKind);

std::string_view
RequestOutcomeName(RequestOutcome aOutcome);

// Whether the outcome proves that the request had no effect.
constexpr bool
IsKnownNotExecuted(RequestOutcome aOutcome)
{
  return aOutcome != RequestOutcome::kOk &&
         aOutcome != RequestOutcome::kMayHaveRun;
}

} // namespace limpetwood::fleet
