// Orders to workers and what came back, as values.

#pragma once

#include "fleet/types.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::fleet {

struct Order
{
  enum class Kind
  {
    kStart,
    kStop,
    // Extends the lease of everything on the worker, acknowledges ends and asks
    // for the runs and the ends that are not acknowledged.
    kRenew,
  };

  Kind kind = Kind::kRenew;
  WorkerId worker{};
  // Another incarnation must not act on the order.
  Incarnation incarnation{};
  std::string address{};
  FencingToken token{};
  // Of starts and stops.
  RunRef run{};
  // Of starts.
  std::string payload{};
  std::string checkpoint{};
  // On the worker's clock; of starts and renewals.
  Millis leaseUntil{};
  // Of renewals: ends up to this number are in the replicated state.
  uint64_t acknowledgedEnds = 0;
  // Of renewals: the worker may delay the answer until a run ends.
  Millis wait{};
  Millis sentAt{};
};

struct RunningRun
{
  RunRef run{};
  std::string checkpoint{};
  // Progress of the task.
  int32_t percent = 0;
};

struct EndedRun
{
  // Numbers the ends of one incarnation, from 1.
  uint64_t number = 0;
  RunRef run{};
  EndKind kind = EndKind::kDone;
  std::string checkpoint{};
};

enum class OrderRefusal
{
  kNone,
  // A higher fencing token was seen.
  kFenced,
  // A higher run was stopped or ended there.
  kSuperseded,
  // The lease was over on arrival.
  kExpiredOnArrival,
  kInsufficientCapacity,
  kNoTicket,
  // The worker is unhealthy and did nothing.
  kUnhealthy,
  kMalformed,
};

inline constexpr int kOrderRefusalCount = 8;

std::string_view
OrderRefusalName(OrderRefusal aRefusal);

struct OrderResult
{
  enum class Outcome
  {
    kAnswered,
    kRefused,
    // The address belongs to another life of the worker.
    kOtherIncarnation,
    // Nothing was sent.
    kNotSent,
    // The order may be carried out, also later.
    kNoAnswer,
  };

  Outcome outcome = Outcome::kNotSent;
  OrderRefusal refusal = OrderRefusal::kNone;
  std::optional<Millis> clock{};
  // Of renewals.
  std::vector<RunningRun> running{};
  std::vector<EndedRun> ended{};
};

} // namespace limpetwood::fleet
