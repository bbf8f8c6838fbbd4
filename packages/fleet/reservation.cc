#include "fleet/reservation.h"

#include "fleet/reclaim.h"

#include <algorithm>
#include <map>

namespace limpetwood::fleet {

namespace {

// Expected time until at least one task fits on a worker if nothing else starts
// there, and how many tasks fit then.
struct WorkerOpening
{
  const Candidate* worker = nullptr;
  Millis wait{};
  uint32_t tasks = 0;
};

std::optional<WorkerOpening>
FindOpening(const PlacementRequest& aRequest,
            const Candidate& aCandidate,
            const FleetView& aView)
{
  auto room = WorkerRoom::On(aRequest, aCandidate);
  if (!room) {
    return std::nullopt;
  }
  WorkerOpening out{ .worker = &aCandidate, .tasks = room->Tasks() };
  if (out.tasks > 0) {
    return out;
  }
  for (const RunEstimate& it : aView.RunsOf(aCandidate)) {
    // Its progress says when it serves, not when it ends.
    bool lasts = it.job->spec.steps[it.run.task.step].longRunning;
    if (lasts && !it.cost.stopping) {
      continue;
    }
    room->Release(it.run.task, it.resources);
    out.wait = it.remaining;
    out.tasks = room->Tasks();
    if (out.tasks > 0) {
      return out;
    }
  }
  return std::nullopt;
}

} // namespace

std::optional<ReservationChoice>
ChooseReservation(const PlacementRequest& aRequest, const FleetView& aView)
{
  bool oneRack = NeedsOneRack(aRequest);
  std::map<uint32_t, std::vector<WorkerOpening>> groups;
  for (const Candidate& it : aView.candidates) {
    if (auto opening = FindOpening(aRequest, it, aView)) {
      groups[oneRack ? it.rack : 0].push_back(*opening);
    }
  }
  std::optional<ReservationChoice> best;
  for (auto& [rack, openings] : groups) {
    std::sort(openings.begin(),
              openings.end(),
              [](const WorkerOpening& x, const WorkerOpening& y) {
                return x.wait < y.wait;
              });
    ReservationChoice choice;
    uint32_t tasks = 0;
    for (const WorkerOpening& it : openings) {
      if (tasks >= aRequest.tasks) {
        break;
      }
      tasks += it.tasks;
      choice.workers.push_back(it.worker->id);
      choice.weight += ResourceWeight(it.worker->report->capacity);
      choice.wait = std::max(choice.wait, it.wait);
    }
    bool enough = tasks >= aRequest.tasks;
    if (enough && (!best || choice.wait < best->wait)) {
      best = std::move(choice);
    }
  }
  return best;
}

} // namespace limpetwood::fleet
