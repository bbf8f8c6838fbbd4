// Value types for the orders that the leader sends to workers, and for their
// results.

#pragma once

#include "fleet/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace limpetwood::fleet {

struct Order
{
  enum class Kind
  {
    kStart,
    kStop,
    // Extends the lease of all runs on the worker, acknowledges ended runs, and
    // requests the list of active runs and unacknowledged ends.
    kRenew,
  };

  Kind kind = Kind::kRenew;
  WorkerId worker{};
  // A worker with another incarnation must not execute the order.
  Incarnation incarnation{};
  std::string address{};
  FencingToken token{};
  // Set for starts and stops.
  RunRef run{};
  // Set for starts.
  std::string payload{};
  std::string checkpoint{};
  // End of the lease on the worker's clock; set for starts and renewals.
  Millis leaseUntil{};
  // Set for renewals: ends up to this number are in the replicated state, so
  // the worker may forget them.
  uint64_t acknowledgedEnds = 0;
  // Set for renewals: the worker may delay its answer by up to this time until
  // a run ends.
  Millis wait{};
  // Time at which the order was queued and, once it is sent, the time of
  // sending (leader's clock).
  Millis sentAt{};
};

struct RunningRun
{
  RunRef run{};
  std::string checkpoint{};
  // Progress of the task, from 0 to 100.
  int32_t percent = 0;
};

struct EndedRun
{
  // Sequence number of the end within one incarnation, starting at 1.
  uint64_t number = 0;
  RunRef run{};
  EndKind kind = EndKind::kDone;
  std::string checkpoint{};
};

enum class OrderRefusal
{
  kNone,
  // The worker has seen a higher fencing token.
  kFenced,
  // A later attempt of the task was already stopped or ended on the worker.
  kSuperseded,
  // The lease had expired when the order arrived.
  kExpiredOnArrival,
  kInsufficientCapacity,
  // The worker has no ticket from the advice service (`Queue::needsAdvice`).
  kNoTicket,
  // The worker is unhealthy and did not execute the order.
  kUnhealthy,
  kMalformed,
};

inline constexpr int kOrderRefusalCount = 8;

std::string_view
OrderKindName(Order::Kind aKind);

std::string_view
OrderRefusalName(OrderRefusal aRefusal);

struct OrderResult
{
  enum class Outcome
  {
    kAnswered,
    // The worker did not execute the order; `refusal` says why.
    kRefused,
    // The worker at this address has another incarnation.
    kOtherIncarnation,
    // The order was not sent.
    kNotSent,
    // The order was not sent because nothing listens at the worker's address.
    kConnectionRefused,
    // No answer was received; the worker may still execute the order, also
    // later.
    kNoAnswer,
  };

  // Whether the worker executed the order. A refusal answers the order and
  // proves nothing about the runs on the worker.
  bool Executed() const { return outcome == Outcome::kAnswered; }

  Outcome outcome = Outcome::kNotSent;
  OrderRefusal refusal = OrderRefusal::kNone;
  // Why the order was not sent or not answered, for logs.
  std::error_code error{};
  // Reading of the worker's monotonic clock, if it was received.
  std::optional<Millis> clock{};
  // The process that answered, if the answer names it. Set also if it is not
  // the one that the order was meant for.
  std::optional<Incarnation> answeredBy{};
  // Set for renewals.
  std::vector<RunningRun> running{};
  std::vector<EndedRun> ended{};
  // The worker may have more ends than it listed, so the list does not show
  // that a run is unknown to it.
  bool endsTruncated = false;
};

std::string_view
OrderOutcomeName(OrderResult::Outcome aOutcome);

} // namespace limpetwood::fleet
