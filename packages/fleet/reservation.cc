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

// The earliest time at which some workers together have room for all tasks of a
// request, and the number of tasks that each of them has room for then.
struct JointOpening
{
  Millis wait{};
  std::vector<WorkerOpening> workers{};
};

// Returns nothing if the workers are not expected to have the room, however
// many of their runs end.
std::optional<JointOpening>
FindJointOpening(const PlacementRequest& aRequest,
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
  JointOpening out;
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
    out.workers.push_back({ .worker = worker });
  }
  std::sort(
    endings.begin(), endings.end(), [](const Ending& x, const Ending& y) {
      return x.run->remaining < y.run->remaining;
    });
  for (const Ending& it : endings) {
    if (tasks >= aRequest.tasks) {
      break;
    }
    WorkerRoom& room = rooms[it.room];
    tasks -= room.Tasks();
    room.Release(it.run->run.task, it.run->resources);
    tasks += room.Tasks();
    out.wait = it.run->remaining;
  }
  if (tasks < aRequest.tasks) {
    return std::nullopt;
  }
  for (size_t n = 0; n < rooms.size(); ++n) {
    out.workers[n].tasks = rooms[n].Tasks();
  }
  return out;
}

// Chooses the fewest of the workers that are needed at the earliest time at
// which all tasks fit.
std::optional<ReservationChoice>
ChooseJointly(const PlacementRequest& aRequest,
              const std::vector<WorkerOpening>& aWorkers,
              const FleetView& aView)
{
  std::vector<const Candidate*> workers;
  workers.reserve(aWorkers.size());
  for (const WorkerOpening& it : aWorkers) {
    workers.push_back(it.worker);
  }
  auto joint = FindJointOpening(aRequest, workers, aView);
  if (!joint) {
    return std::nullopt;
  }
  std::sort(joint->workers.begin(),
            joint->workers.end(),
            [](const WorkerOpening& x, const WorkerOpening& y) {
              return x.tasks > y.tasks;
            });
  ReservationChoice out{ .workers = {}, .wait = joint->wait, .weight = 0 };
  uint32_t tasks = 0;
  for (const WorkerOpening& it : joint->workers) {
    if (tasks >= aRequest.tasks) {
      break;
    }
    tasks += it.tasks;
    out.workers.push_back(it.worker->id);
    out.weight += ResourceWeight(it.worker->report->capacity);
  }
  return out;
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
  auto consider = [&](std::optional<ReservationChoice> aChoice) {
    if (aChoice && (!best || aChoice->wait < best->wait)) {
      best = std::move(aChoice);
    }
  };
  for (auto& [rack, openings] : groups) {
    consider(ChooseEarliest(openings, aRequest.tasks));
  }
  if (best) {
    return best;
  }
  // More tasks fit on a worker when more of its runs have ended.
  for (const auto& [rack, openings] : groups) {
    consider(ChooseJointly(aRequest, openings, aView));
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
    auto opening = FindJointOpening(aRequest, workers, aView);
    if (opening && (!out || opening->wait < *out)) {
      out = opening->wait;
    }
  }
  return out;
}

} // namespace limpetwood::fleet
