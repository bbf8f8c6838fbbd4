// Load patterns and scheduling policies for experiments, at the sizes of the
// deployments.

#pragma once

#include "fleet/experiment/emulator.h"

#include <string>
#include <vector>

namespace limpetwood::fleet::experiment {

struct Pattern
{
  std::string name;
  EmulatorOptions options;
};

// Urgent check gangs, stitching gangs and small counting tasks on 48 workers,
// without and with each disturbance, at `aLoad` times the usual rate.
std::vector<Pattern>
AllPatterns(uint64_t aSeed, double aLoad);

// The loads of an overloaded or uneven fleet, one kind for each pattern and all
// kinds together, at `aLoad` times the usual rate for this number of workers.
// The fleet has four workspaces, and jobs may be refused.
std::vector<Pattern>
OverloadPatterns(uint64_t aSeed, double aLoad, size_t aWorkers);

struct Policy
{
  std::string name;
  PlannerOptions options;
};

// The planner with its default options, and baselines.
std::vector<Policy>
AllPolicies();

} // namespace limpetwood::fleet::experiment
