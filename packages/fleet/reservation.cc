#include "fleet/reservation.h"

#include <algorithm>
#include <map>

namespace limpetwood::fleet {

namespace {

// When one task fits on a worker, if nothing new starts there.
struct Opening
{
  WorkerId worker;
  Millis wait;
  uint32_t tasks = 0;
};

std::optional<Opening>
OpeningOf(const PlacementRequest& aRequest,
          const Candidate& aCandidate,
          const FleetView& aView)
{
  uint32_t limit = aRequest.tasks;
  if (aRequest.step->perWorkerLimit > 0) {
    limit = std::min(limit, aRequest.step->perWorkerLimit);
  }
  Opening out{ .worker = aCandidate.id, .wait = {}, .tasks = 0 };
  Resources room = aCandidate.room;
  out.tasks = TasksThatFit(*aRequest.step, room, limit);
  if (out.tasks > 0) {
    return out;
  }
  for (const RunOutlook& it : aView.RunsOf(aCandidate.id)) {
    room += it.resources;
    out.wait = it.rest;
    out.tasks = TasksThatFit(*aRequest.step, room, limit);
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
  bool oneRack =
    aRequest.step->prefersOneRack && aRequest.tasks > 1 && !aRequest.maySpread;
  std::map<uint32_t, std::vector<Opening>> groups;
  for (const Candidate& it : aView.candidates) {
    if (!MayRun(*aRequest.step, *aRequest.service, *it.report)) {
      continue;
    }
    if (auto opening = OpeningOf(aRequest, it, aView)) {
      groups[oneRack ? it.rack : 0].push_back(std::move(*opening));
    }
  }
  std::optional<ReservationChoice> best;
  for (auto& [rack, openings] : groups) {
    std::sort(
      openings.begin(), openings.end(), [](const Opening& x, const Opening& y) {
        return x.wait < y.wait;
      });
    ReservationChoice choice;
    uint32_t tasks = 0;
    for (const Opening& it : openings) {
      if (tasks >= aRequest.tasks) {
        break;
      }
      tasks += it.tasks;
      choice.workers.push_back(it.worker);
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
