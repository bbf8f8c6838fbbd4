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

// Whether the run ends without being stopped, at a time that can be expected.
bool
IsExpectedToEnd(const RunEstimate& aRun)
{
  // The progress of a run that lasts says when it serves, not when it ends.
  bool lasts = aRun.job->spec.steps[aRun.run.task.step].longRunning;
  return (!lasts || aRun.cost.stopping) && aRun.remaining != Millis::Max();
}

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
    if (!IsExpectedToEnd(it)) {
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

// Chooses the openings that are earliest until all tasks fit; nothing if there
// are too few.
std::optional<ReservationChoice>
ChooseEarliest(std::vector<WorkerOpening> aOpenings, uint32_t aTasks)
{
  std::sort(aOpenings.begin(),
            aOpenings.end(),
            [](const WorkerOpening& x, const WorkerOpening& y) {
              return x.wait < y.wait;
            });
  ReservationChoice out;
  uint32_t tasks = 0;
  for (const WorkerOpening& it : aOpenings) {
    if (tasks >= aTasks) {
      break;
    }
    tasks += it.tasks;
    out.workers.push_back(it.worker->id);
    out.weight += ResourceWeight(it.worker->report->capacity);
    out.wait = std::max(out.wait, it.wait);
  }
  return tasks >= aTasks ? std::optional(std::move(out)) : std::nullopt;
}

// Expected time until the workers together have room for all tasks of the
// request; nothing if they will not by the ends of their runs.
std::optional<Millis>
ExpectedWait(const PlacementRequest& aRequest,
             const std::vector<const Candidate*>& aWorkers,
             const FleetView& aView)
{
  struct Ending
  {
    const RunEstimate* run = nullptr;
    // Index into `rooms`.
    size_t room = 0;
  };
  std::vector<WorkerRoom> rooms;
  std::vector<Ending> endings;
  uint32_t tasks = 0;
  for (const Candidate* worker : aWorkers) {
    auto room = WorkerRoom::On(aRequest, *worker);
    if (!room) {
      continue;
    }
    for (const RunEstimate& it : aView.RunsOf(*worker)) {
      if (IsExpectedToEnd(it)) {
        endings.push_back({ .run = &it, .room = rooms.size() });
      }
    }
    tasks += room->Tasks();
    rooms.push_back(*room);
  }
  if (tasks >= aRequest.tasks) {
    return Millis(0);
  }
  std::sort(
    endings.begin(), endings.end(), [](const Ending& x, const Ending& y) {
      return x.run->remaining < y.run->remaining;
    });
  for (const Ending& it : endings) {
    WorkerRoom& room = rooms[it.room];
    tasks -= room.Tasks();
    room.Release(it.run->run.task, it.run->resources);
    tasks += room.Tasks();
    if (tasks >= aRequest.tasks) {
      return it.run->remaining;
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
    auto choice = ChooseEarliest(std::move(openings), aRequest.tasks);
    if (choice && (!best || choice->wait < best->wait)) {
      best = std::move(choice);
    }
  }
  return best;
}

std::optional<Millis>
ExpectedRackWait(PlacementRequest aRequest,
                 const FleetView& aView,
                 const std::vector<HeldWorker>& aHeld)
{
  // Reservations are as temporary as what the pass holds.
  aRequest.duration = {};
  std::map<uint32_t, std::vector<const Candidate*>> racks;
  for (const Candidate& it : aView.candidates) {
    racks[it.rack].push_back(&it);
  }
  for (const HeldWorker& it : aHeld) {
    racks[it.candidate.rack].push_back(&it.candidate);
  }
  std::optional<Millis> out;
  for (const auto& [rack, workers] : racks) {
    auto wait = ExpectedWait(aRequest, workers, aView);
    if (wait && (!out || *wait < *out)) {
      out = wait;
    }
  }
  return out;
}

} // namespace limpetwood::fleet
