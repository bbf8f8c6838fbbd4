// Requests, attempts and their outcomes, as exchanged between the request path
// and the router.

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

// Assigned by the request path; unique among the requests in progress on one
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
  // Absolute time on the clock that is passed to the router. Empty: the
  // service's default deadline applies.
  std::optional<Millis> deadline{};
  // Whether the request may be executed more than once.
  bool repeatable = true;
  // Used only if the request is not repeatable.
  IdempotencyKey key{};
  // Zone of the key's owners. Empty: chosen by hashing the key.
  ZoneId keyZone{};
};

// Why a request ended without an answer. The names are values of the header
// `Limpetwood-Reason` and labels of the counters.
enum class Reason : uint8_t
{
  kNone,
  kUnknownService,
  kUnknownWorkspace,
  // The workspace has reached its quota of concurrent requests.
  kWorkspaceQuota,
  kQueueFull,
  // Refused early, because the expected wait and service time exceed the
  // deadline.
  kDeadlineTooShort,
  kDeadlinePassed,
  // No instance reports a server of the service.
  kNoServers,
  kDraining,
  // Another request with the same idempotency key was started.
  kAlreadyStarted,
  kKeyUnknown,
  // An attempt failed and was not retried: the request may have run and is not
  // repeatable.
  kNotRepeatable,
  // An attempt failed and was not retried: the retry budget is used up.
  kRetryBudget,
  // An attempt failed and was not retried: the maximum number of attempts was
  // reached, or no other server is left.
  kAttemptsExhausted,
  // An attempt failed and was not retried: `maxLostServers` servers closed
  // their connection while they processed the request, which may have crashed
  // them.
  kServersLost,
  // An attempt failed and was not retried: part of the answer had already been
  // passed to the caller.
  kAnswerBroken,
  // Ended during shutdown, by the operator or at the drain deadline.
  kShutdown,
  kCancelled,
  kCount,
};

// The name of the reason, such as "queue_full"; "none" for `kNone`.
std::string_view
ReasonName(Reason aReason);

enum class RetryReason : uint8_t
{
  // No byte of the request was handed to the kernel.
  kNotSent,
  // 503 with `Limpetwood-Verdict: not_run`.
  kServerRefused,
  kConnectionLost,
  // The time limit of the attempt passed.
  kNoResponse,
  kCount,
};

std::string_view
RetryReasonName(RetryReason aReason);

// The HTTP status for a request that ended without an answer.
int
HttpStatusFor(Verdict aVerdict, Reason aReason);

// Identity of a server; shared, so that a grant copies no strings.
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
  // A complete answer with any status, except an explicit refusal.
  kAnswered,
  // No byte of the request was handed to the kernel: the connection could not
  // be opened or failed before the first write.
  kNotSent,
  // The server refused explicitly: 503 with the verdict `not_run`.
  kServerRefused,
  // Bytes of the request were sent and the connection failed before a complete
  // answer arrived.
  kConnectionLost,
  // Bytes of the request were sent and the time limit of the attempt passed.
  kTimedOut,
  // Bytes of the request were sent and this instance ended the attempt, because
  // the caller disconnected or the instance is shutting down. Does not count
  // against the server.
  kAbandoned,
};

// The verdict that an attempt's result allows.
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
  // The answer had a 5xx status. Counts against the server; not retried.
  bool serverError = false;
  // Part of the answer has been passed to the caller, so the request cannot be
  // retried.
  bool answerStarted = false;
};

// A slot for one attempt of a request. Released by `Router::AttemptEnded`.
struct Grant
{
  RequestId request{};
  // 1 for the first attempt.
  uint32_t attempt = 0;
  ServerRef server{};
  // Time limit of this attempt; does not exceed the time to the deadline.
  Millis timeLimit{};
  // Maximum connections of this instance to the server, including the one for
  // this attempt.
  uint32_t connectionLimit = 0;
};

// The end of a request. Reported exactly once for each request that was passed
// to `Router::Admit`.
struct RequestEnd
{
  RequestId request{};
  Verdict verdict = Verdict::kNotRun;
  // `kNone` when answered.
  Reason reason = Reason::kNone;
  // The servers that the request may have crashed, if the reason is
  // `kServersLost`.
  std::vector<ServerRef> lostServers{};
};

// A changed limit on this instance's connections to a server. Idle connections
// beyond the limit must be closed.
struct ConnectionLimit
{
  ServerRef server{};
  uint32_t limit = 0;
};

} // namespace limpetwood::routing
