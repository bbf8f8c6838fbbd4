// Log events for changes of the scheduler state.

#pragma once

#include "base/log_event.h"
#include "fleet/state.h"

#include <optional>

namespace limpetwood::fleet {

// Returns nothing for runs that ended as done, because the event of the end of
// their job reports the result, and for jobs that are no longer stored.
std::optional<LogEvent>
LogEventFor(const Change& aChange, const FleetState& aState);

} // namespace limpetwood::fleet
