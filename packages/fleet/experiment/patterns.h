// Load patterns for experiments and tests, at the sizes of the deployments.

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

// Urgent checks, stitching gangs and small tasks on 48 workers, calm and under
// each disturbance, at `aLoad` times the usual rate.
std::vector<Pattern>
AllPatterns(uint64_t aSeed, double aLoad);

struct Policy
{
  std::string name;
  PlannerOptions options;
};

// The planner as it is, and baselines.
std::vector<Policy>
AllPolicies();

} // namespace limpetwood::fleet::experiment
