// Chooses workers for the tasks of one step.
//
// Answers the load in which small tasks scatter over all workers until no rack
// has room for a whole gang: each choice leaves the largest free pieces whole.
// Tasks that are slower across racks go into one rack, the one that is left
// fullest; other tasks go to the fullest workers that still fit them. Workers
// under suspicion come last.

#pragma once

#include "fleet/types.h"

#include <functional>
#include <optional>
#include <vector>

namespace limpetwood::fleet {

// A worker that may take tasks.
struct Candidate
{
  WorkerId id{};
  ServiceId service{};
  // Numbers the racks of a view from 0.
  uint32_t rack = 0;
  const WorkerReport* report = nullptr;
  // Never negative in any part.
  Resources room{};
  // Higher is worse; 0 for a worker without fault.
  int suspicion = 0;
};

struct PlacementRequest
{
  const StepSpec* step = nullptr;
  const ServiceId* service = nullptr;
  uint32_t tasks = 0;
  // Tasks of the step that already run on a worker; used with a limit.
  std::function<uint32_t(const WorkerId&)> placed{};
  // Workers that come after the others; may be empty.
  std::function<bool(const WorkerId&)> avoids{};
  // Whether tasks that are slower across racks may be spread all the same.
  bool maySpread = false;
  // Fullest workers first; otherwise the first that fit.
  bool bestFit = true;
};

// Gives the candidates of equal racks equal numbers.
void
NumberRacks(std::vector<Candidate>& aCandidates);

// Indexes into `aCandidates`, one for each task, or fewer if not all fit.
// Tasks of a gang are placed all or not at all.
std::vector<size_t>
Place(const PlacementRequest& aRequest,
      const std::vector<Candidate>& aCandidates);

// Whether a worker may run the step at all, whatever runs there now.
bool
MayRun(const StepSpec& aStep,
       const ServiceId& aService,
       const WorkerReport& aWorker);

// How many tasks of the step fit into `aRoom`, at most `aLimit`.
uint32_t
TasksThatFit(const StepSpec& aStep, Resources aRoom, uint32_t aLimit);

} // namespace limpetwood::fleet
