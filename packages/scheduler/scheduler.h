// Gang scheduler for one or more zones, implemented as a state machine without
// I/O.
//
//   Scheduler scheduler(options, epoch);
//   for (const Effect& effect : scheduler.Step(event, now)) {
//     Execute(effect);
//   }
//   ... send Tick at scheduler.NextDeadline() ...
//
// All times come from one monotonic clock. `submittedAt` of a job may precede
// the construction of the scheduler.

#pragma once

#include "scheduler/effect.h"
#include "scheduler/event.h"
#include "scheduler/options.h"
#include "scheduler/views.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetwood::scheduler {

class Core;

class Scheduler
{
public:
  // A scheduler with a later epoch takes over from an earlier authority. For
  // one worker lease and its margin after the first step, a job with earlier
  // attempts continues only if workers report all members of its gang.
  Scheduler(SchedulerOptions aOptions, Epoch aEpoch);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  // Handles one event and returns the resulting actions. The work per call is
  // bounded; remaining work is done at `NextDeadline`. `aNow` must not
  // decrease.
  std::vector<Effect> Step(const Event& aEvent, Millis aNow);

  // Returns when the next `Tick` is due; `Millis::Max()` if nothing is pending.
  Millis NextDeadline() const;

  // Returns the jobs known to the scheduler, in no particular order. A finished
  // job is removed when its final record is durable.
  std::vector<JobView> Jobs() const;
  std::optional<JobView> FindJob(const JobId& aJob) const;
  std::vector<WorkerView> Workers() const;
  std::optional<WorkerView> FindWorker(const WorkerId& aWorker) const;
  const Counters& Counts() const;

  // Returns descriptions of violated invariants; empty unless the scheduler has
  // a bug.
  std::vector<std::string> CheckInvariants() const;

private:
  std::unique_ptr<Core> mCore;
};

} // namespace limpetwood::scheduler
