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

struct Policy
{
  std::string name;
  PlannerOptions options;
};

// The planner with its default options, and baselines.
std::vector<Policy>
AllPolicies();

} // namespace limpetwood::fleet::experiment
