// Runs the daemon: one I/O thread handles sockets and signals; the instance
// actor and the control group actor run on threads of their own.

#pragma once

#include "model/settings.h"

namespace limpetwood::daemon {

// Exit codes of limpetwoodd.
constexpr int kExitOk = 0;
constexpr int kExitStartFailed = 1;
// Invalid settings or command line, or an unhandled exception.
constexpr int kExitBadSettings = 2;
// The drain deadline passed, or a second signal arrived, while requests were
// still in progress.
constexpr int kExitDrainCutShort = 3;

// Runs until a signal or an operator's drain request stops the process. Returns
// the process's exit code.
int
RunDaemon(const model::Settings& aSettings);

} // namespace limpetwood::daemon
