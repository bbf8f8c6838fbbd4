// The daemon's log: one JSON object per line, with `time`, `level` and
// `instance` before the fields of the event.

#pragma once

#include "base/log_event.h"
#include "model/settings.h"

namespace limpetwood::daemon {

// Sets up log4cplus for the process, to write to `aSettings.file` or, if none
// is set, to standard error. Call once per process, before the first line is
// logged.
void
OpenLog(const model::LogSettings& aSettings, const InstanceId& aInstance);

// Sets up the log to write to standard output through `BoundedAppender`, which
// never blocks and limits the rate of lines. Call instead of `OpenLog`.
void
OpenNonBlockingLog(const InstanceId& aInstance);

void
LogInfo(const LogEvent& aEvent);
void
LogWarn(const LogEvent& aEvent);
void
LogError(const LogEvent& aEvent);

} // namespace limpetwood::daemon
