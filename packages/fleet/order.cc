#include "fleet/order.h"

namespace limpetwood::fleet {

std::string_view
OrderKindName(Order::Kind aKind)
{
  switch (aKind) {
    case Order::Kind::kStart:
      return "start";
    case Order::Kind::kStop:
      return "stop";
    case Order::Kind::kRenew:
      break;
  }
  return "renew";
}

std::string_view
OrderRefusalName(OrderRefusal aRefusal)
{
  switch (aRefusal) {
    case OrderRefusal::kNone:
      return "none";
    case OrderRefusal::kFenced:
      return "fenced";
    case OrderRefusal::kSuperseded:
      return "superseded";
    case OrderRefusal::kExpiredOnArrival:
      return "late";
    case OrderRefusal::kInsufficientCapacity:
      return "no_room";
    case OrderRefusal::kNoTicket:
      return "no_ticket";
    case OrderRefusal::kUnhealthy:
      return "unhealthy";
    case OrderRefusal::kMalformed:
      break;
  }
  return "malformed";
}

std::string_view
OrderOutcomeName(OrderResult::Outcome aOutcome)
{
  switch (aOutcome) {
    case OrderResult::Outcome::kAnswered:
      return "answered";
    case OrderResult::Outcome::kRefused:
      return "refused";
    case OrderResult::Outcome::kOtherIncarnation:
      return "other_incarnation";
    case OrderResult::Outcome::kNotSent:
      return "not_sent";
    case OrderResult::Outcome::kConnectionRefused:
      return "connection_refused";
    case OrderResult::Outcome::kNoAnswer:
      break;
  }
  return "no_answer";
}

} // namespace limpetwood::fleet
