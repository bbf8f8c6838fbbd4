#include "fleet/order.h"

namespace limpetwood::fleet {

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

} // namespace limpetwood::fleet
