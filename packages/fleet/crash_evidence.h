// Judges which runs may have crashed the worker that they were active on.
//
// A task that crashes workers does so when it starts, so the runs that had just
// started are the likely cause. The others probably only lost their work; that
// many workers crash under one of them shows otherwise. A suspect is tried
// apart from other work: it runs on a worker of its own until it has been
// active for a while, and of a gang one member starts first.

#pragma once

#include "fleet/state.h"
#include "fleet/worker_link.h"

#include <map>

namespace limpetwood::fleet {

// A run that was active for this long did not crash its worker by starting. A
// run on trial has passed it then.
constexpr Millis kStartWatchTime(1000);
// A run that was active for this long shows that its task does not crash
// workers. Far longer than any task needs to start.
constexpr Millis kExonerationTime = Seconds(30);
// Time for which the first member of a gang on trial is active before the
// others start. Workers end a member whose gang is incomplete after a time of
// three seconds or more.
constexpr Millis kGangTrialTime(400);

// Returns the evidence for each run of the worker that may have been active
// when its process ended, at `aLink.unreachableSince` or else `aNow`. Runs
// whose start was not sent are left out. The age of a run that an earlier
// leader started is unknown, so it does not become a suspect by one crash.
std::map<RunRef, CrashEvidence>
JudgeCrash(const Worker& aWorker, const WorkerLink& aLink, Millis aNow);

// Whether the run is a suspect, or a member of a gang that contains one.
bool
IsSuspect(const FleetState& aState, const RunRef& aRun);

// The member of a suspected gang that starts before the others.
uint32_t
FirstMemberOfTrial(const Step& aStep);

} // namespace limpetwood::fleet
