// Chooses the cheapest set of running gangs whose end makes room for a gang.
//
// The cost of a victim is the work that is lost by stopping it, in accelerator
// milliseconds (a task without accelerators counts by its cores). A gang that
// already stops costs nothing. The choice is greedy by member: the next member
// goes to the worker where making room costs least, given what has been chosen
// so far; in the end, victims that turn out not to be needed are dropped.

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
  double cost = 0;
};

struct PreemptionRequest
{
  MemberResources need;
  uint32_t members = 1;
  // The workers that may be used, all in one closeness domain.
  std::vector<WorkerIndex> domain;
  // Accelerators that the gang may take of a worker, whoever uses them now.
  std::function<uint32_t(WorkerIndex)> limit;
  // The cost of a victim; nothing if it must not be stopped.
  std::function<std::optional<double>(const Job&)> cost;
};

// Work lost by stopping a gang now.
double
LostWork(const Job& aJob, Millis aNow, Millis aRestartCost);

// Nothing if even all permitted victims do not make room.
std::optional<PreemptionPlan>
PlanPreemption(const WorkerTable& aTable,
               const std::deque<Job>& aJobs,
               const PreemptionRequest& aRequest);

// Accelerators of a worker that are not claimed and are free once `aVictims`
// have stopped.
AcceleratorMask
FreeAcceleratorsAfter(const WorkerTable& aTable,
                      const std::deque<Job>& aJobs,
                      WorkerIndex aWorker,
                      const std::vector<JobSlot>& aVictims);

} // namespace limpetwood::scheduler
