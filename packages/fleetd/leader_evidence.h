// Decides whether a failed attempt shows that an instance no longer leads.
//
// Load pattern: a burst, or the requests that wait for a new leader, make the
// leader slow, or take all connections of this instance. If every failed
// attempt counted against the leader, the relay would give up a leader that
// works, and send everything in flight again once it has found the same leader.
// An attempt that failed therefore counts only together with what the leader
// did: it refused connections, it said that it does not lead, or nothing was
// heard from it on any connection for some time.

#pragma once

#include "base/time.h"
#include "base/verdict.h"

#include <string_view>
#include <system_error>

namespace limpetwood::fleetd {

enum class LeaderLoss
{
  // The leader is kept.
  kNone,
  kNotLeading,
  // Nothing listens at its address.
  kRefusedConnection,
  kSilent,
};

struct FailedLeaderAttempt
{
  Verdict verdict = Verdict::kNotRun;
  // Set unless the verdict is `kAnswered`.
  std::error_code error{};
  // The instance answered that it does not lead.
  bool answeredNotLeading = false;
  // Time of the latest answer of the leader on any connection.
  Millis lastHeardAt{};
};

// `aMaxSilence` is the time without an answer after which a failed attempt
// counts as silence of the leader.
inline LeaderLoss
JudgeLeader(const FailedLeaderAttempt& aAttempt,
            Millis aMaxSilence,
            Millis aNow)
{
  if (aAttempt.answeredNotLeading) {
    return LeaderLoss::kNotLeading;
  }
  if (aAttempt.verdict == Verdict::kNotRun &&
      aAttempt.error == std::errc::connection_refused) {
    return LeaderLoss::kRefusedConnection;
  }
  return aNow - aAttempt.lastHeardAt >= aMaxSilence ? LeaderLoss::kSilent
                                                    : LeaderLoss::kNone;
}

inline std::string_view
LeaderLossName(LeaderLoss aLoss)
{
  switch (aLoss) {
    case LeaderLoss::kNone:
      return "none";
    case LeaderLoss::kNotLeading:
      return "not_leading";
    case LeaderLoss::kRefusedConnection:
      return "refused_connection";
    case LeaderLoss::kSilent:
      break;
  }
  return "silent";
}

} // namespace limpetwood::fleetd
