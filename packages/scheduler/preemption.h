// Selects running gangs to stop so that a waiting gang fits.
//
// The cost of a victim is the work lost by stopping it, in accelerator
// milliseconds; a core counts as a hundredth of an accelerator. This weight is
// separate from the one that queue.cc uses for the size of a job. A gang that
// is already being stopped costs nothing. The selection is greedy: each further
// member goes to the worker where freeing capacity costs least, given the
// victims chosen so far. Victims that turn out to be unnecessary are removed at
// the end.

#pragma once

#include "scheduler/gang.h"
#include "scheduler/placement.h"
#include "scheduler/worker_table.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace limpetwood::scheduler {

struct PreemptionPlan
{
  Placement workers;
  std::vector<JobSlot> victims;
  // In accelerator milliseconds.
  double cost = 0;
};

struct PreemptionRequest
{
  MemberResources need;
  uint32_t members = 1;
  // The workers that may be used, all within one domain of the gang's topology
  // scope.
  std::vector<WorkerIndex> domain;
  // Accelerators that the gang may take on a worker, whether free or in use.
  std::function<uint32_t(WorkerIndex)> limit;
  // Returns the cost of stopping a job, or nothing if it must not be stopped.
  std::function<std::optional<double>(const Job&)> cost;
};

// Returns the work lost by stopping a gang now, in accelerator milliseconds.
// `aRestartOverhead` is the run time that a checkpointable gang loses by being
// stopped and restarted.
double
LostWork(const Job& aJob, Millis aNow, Millis aRestartOverhead);

// Returns workers for the gang and the victims to stop so that it fits there,
// or nothing if stopping all permitted victims does not free enough capacity.
std::optional<PreemptionPlan>
PlanPreemption(const WorkerTable& aTable,
               const std::deque<Job>& aJobs,
               const PreemptionRequest& aRequest);

// Returns the accelerators of a worker that are unclaimed and are free once
// `aVictims` have stopped.
AcceleratorMask
FreeAcceleratorsAfter(const WorkerTable& aTable,
                      const std::deque<Job>& aJobs,
                      WorkerIndex aWorker,
                      const std::vector<JobSlot>& aVictims);

} // namespace limpetwood::scheduler
