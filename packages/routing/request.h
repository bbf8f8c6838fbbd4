// Requests, attempts and their ends, as the request path exchanges them with
// the routing decisions.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "base/verdict.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::routing {

// Chosen by the request path; unique among the requests in progress on one
// instance.
using RequestId = StrongInt<struct RequestIdTag>;

enum class Priority : uint8_t
{
  kUrgent,
  kNormal,
};

struct RequestInfo
{
  RequestId id{};
  WorkspaceId workspace{};
  ServiceId service{};
  Priority priority = Priority::kNormal;
  // Point in time, on the clock of `now`. Empty: the service's default.
  std::optional<Millis> deadline{};
  bool repeatable = true;
  // Only used when the request is not repeatable.
  IdempotencyKey key{};
  // Empty: chosen by hashing the key.
  ZoneId keyZone{};
};

// Why a request ended without an answer. The names are the values of the
// header `Limpetwood-Reason` and the labels of the counters.
enum class Reason : uint8_t
{
  kNone,
  kUnknownService,
  kUnknownWorkspace,
  // The workspace has as many requests in progress as its quota allows.
  kWorkspaceQuota,
  kQueueFull,
  // Refused early: the expected wait exceeds the deadline.
  kDeadlineTooShort,
  kDeadlinePassed,
  // No server of the service is known to any instance.
  kNoServers,
  kDraining,
  kAlreadyStarted,
  kKeyUnknown,
  // The last attempt failed and no retry was allowed, because ...
  kNotRepeatable,
  kRetryBudget,
  kAttemptsExhausted,
  // ... part of the answer had already reached the caller.
  kAnswerBroken,
  // Ended by the operator during shutdown.
  kShutdown,
  kCancelled,
  kCount,
};

// "queue_full" and so on; "none" for `kNone`.
std::string_view
ReasonName(Reason aReason);

enum class RetryReason : uint8_t
{
  // Nothing was handed to the kernel.
  kNotSent,
  // 503 with `Limpetwood-Verdict: not_run`.
  kServerRefused,
  kConnectionLost,
  kNoResponse,
  kCount,
};

std::string_view
RetryReasonName(RetryReason aReason);

// The HTTP status that tells a caller of a request that ended unanswered.
int
HttpStatusFor(Verdict aVerdict, Reason aReason);

// What a server is; shared so that a grant copies no strings.
struct ServerIdentity
{
  ServerId id{};
  ServiceId service{};
  ZoneId zone{};
  // "address:port".
  std::string address{};
  Incarnation incarnation{};

  bool operator==(const ServerIdentity&) const = default;
};

using ServerRef = std::shared_ptr<const ServerIdentity>;

enum class AttemptResult : uint8_t
{
  // A complete answer, whatever its status, other than an explicit refusal.
  kAnswered,
  // Nothing was handed to the kernel (no connection, or it failed before).
  kNotSent,
  // The server refused explicitly (503, not run).
  kServerRefused,
  // Bytes were handed over and the connection broke before a complete answer.
  kConnectionLost,
  // Bytes were handed over and the attempt's time limit passed.
  kTimedOut,
  // Bytes were handed over and this side gave up, because the caller went away
  // or the instance stops. Says nothing about the server.
  kAbandoned,
};

// The verdict rule for one attempt.
constexpr Verdict
VerdictOf(AttemptResult aResult)
{
  switch (aResult) {
    case AttemptResult::kAnswered:
      return Verdict::kAnswered;
    case AttemptResult::kNotSent:
    case AttemptResult::kServerRefused:
      return Verdict::kNotRun;
    case AttemptResult::kConnectionLost:
    case AttemptResult::kTimedOut:
    case AttemptResult::kAbandoned:
      break;
  }
  return Verdict::kMayHaveRun;
}

struct AttemptOutcome
{
  AttemptResult result = AttemptResult::kAnswered;
  // From the grant to the end of the attempt.
  Millis latency{};
  // Answered with a 5xx status: counts against the server, not retried.
  bool serverError = false;
  // Part of the answer was passed to the caller, so it cannot be retried.
  bool answerStarted = false;
};

// A slot for one attempt of a request. Ends with `Router::AttemptEnded`.
struct Grant
{
  RequestId request{};
  // 1 for the first attempt.
  uint32_t attempt = 0;
  ServerRef server{};
  // Time limit of this attempt, at most the rest of the deadline.
  Millis timeLimit{};
  // Connections to this server that this instance may have open, this
  // attempt's included.
  uint32_t connectionLimit = 0;
};

// The end of a request, stated exactly once for each admitted request.
struct Ended
{
  RequestId request{};
  Verdict verdict = Verdict::kNotRun;
  // `kNone` when answered.
  Reason reason = Reason::kNone;
};

// The number of connections to a server that this instance may keep open has
// changed; idle ones above it are to be closed.
struct ConnectionLimit
{
  ServerRef server{};
  uint32_t limit = 0;
};

} // namespace limpetwood::routing
