// The daemon's log: a JSON object a line, with `time`, `level` and `instance`
// in front of the event's own fields.

#pragma once

#include "base/log_event.h"
#include "model/settings.h"

namespace limpetwood::daemon {

// Sets up log4cplus for the process. Call once, before the first line.
void
OpenLog(const model::LogSettings& aSettings, const InstanceId& aInstance);

// The same with lines to standard output that never wait for their reader and
// whose rate is bounded.
void
OpenNonBlockingLog(const InstanceId& aInstance);

void
LogInfo(const LogEvent& aEvent);
void
LogWarn(const LogEvent& aEvent);
void
LogError(const LogEvent& aEvent);

} // namespace limpetwood::daemon
