#include "fleet/order.h"

namespace limpetwood::fleet {

std::string_view
RefusalName(Refusal aRefusal)
{
  switch (aRefusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kFenced:
      return "fenced";
    case Refusal::kSuperseded:
      return "superseded";
    case Refusal::kLate:
      return "late";
    case Refusal::kNoRoom:
      return "no_room";
    case Refusal::kNoTicket:
      return "no_ticket";
    case Refusal::kUnhealthy:
      return "unhealthy";
    case Refusal::kMalformed:
      break;
  }
  return "malformed";
}

} // namespace limpetwood::fleet
