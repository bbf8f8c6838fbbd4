// Log lines for changes of the fleet's state.

#pragma once

#include "base/log_event.h"
#include "fleet/state.h"

#include <optional>

namespace limpetwood::fleet {

// Empty for changes that need no line: runs that are done, which the end of
// their job covers, and jobs that are forgotten.
std::optional<LogEvent>
EventOf(const Change& aChange, const FleetState& aState);

} // namespace limpetwood::fleet
