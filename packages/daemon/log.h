// The daemon's log: one line for each change of state.

#pragma once

#include "model/settings.h"

#include <string>

namespace limpetwood::daemon {

// Sets up log4cplus for the process. Call once, before the first line.
void
OpenLog(const model::LogSettings& aSettings, const InstanceId& aInstance);

// The same with lines to standard output that never wait for their reader and
// whose rate is bounded.
void
OpenBoundedLog(const InstanceId& aInstance);

void
LogInfo(const std::string& aLine);
void
LogWarn(const std::string& aLine);
void
LogError(const std::string& aLine);

} // namespace limpetwood::daemon
