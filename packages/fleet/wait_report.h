// Says why a unit of work does not start, worker by worker, for the log.
//
//   WaitReport report = ReportWait(request, view, heldWorkers);
//   events.push_back(LogEventFor(report));

#pragma once

#include "base/log_event.h"
#include "fleet/placement.h"
#include "fleet/types.h"

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetwood::fleet {

struct FleetView;

// A worker that a pass keeps for one unit.
struct HeldWorker
{
  enum class Reason
  {
    // Runs are being stopped there.
    kPreemption,
    // The unit is expected to fit later, but before the tasks would end that
    // the worker is kept from.
    kReservation,
    // A task on trial starts there.
    kTrial,
  };

  Candidate candidate{};
  StepRef beneficiary{};
  Reason reason = Reason::kPreemption;
  // Time until the hold ends: until a preemption is given up, or until the unit
  // is expected to fit; `Millis::Max()` if it is not known.
  Millis remaining{};
};

// What keeps the tasks of a unit from a worker that has room for at least one
// of them.
enum class Obstacle
{
  // As many tasks of the step as it allows run there.
  kWorkerLimit,
  // The unit is on trial and waits for a worker that runs nothing.
  kNotIdle,
  // Its rack has no room for all tasks, and the unit waits for one that has.
  kOneRack,
  // There is not enough room for all members of the gang.
  kGangSize,
  // None that this report knows.
  kUnknown,
};

struct WaitReport
{
  StepRef step{};
  size_t tasks = 0;
  Millis waited{};
  // For a unit that waits for room in one rack: the expected time until there
  // is some, if any is expected.
  std::optional<Millis> rackWait{};
  // Workers that may run the step at all, and those of them that take tasks but
  // have no room for one more.
  size_t matching = 0;
  size_t withoutRoom = 0;
  std::vector<std::pair<WorkerId, Obstacle>> withRoom{};
  // Workers with room that are kept for other units.
  std::vector<HeldWorker> held{};
  // Workers that take no tasks at present, and why.
  std::vector<std::pair<WorkerId, std::string_view>> unusable{};
};

// `aHeld` are the workers that were removed from the candidates of the pass.
WaitReport
ReportWait(const PlacementRequest& aRequest,
           const FleetView& aView,
           const std::vector<HeldWorker>& aHeld);

// Lists the first workers of each kind, and counts all of them.
LogEvent
LogEventFor(const WaitReport& aReport);

} // namespace limpetwood::fleet
