#include "fleet/wait_report.h"

#include "fleet/planner.h"

#include <algorithm>
#include <set>
#include <string>

namespace limpetwood::fleet {

namespace {

// Number of workers that an event lists for each kind of obstacle.
constexpr size_t kMaxListed = 6;

std::string_view
ObstacleName(Obstacle aObstacle)
{
  switch (aObstacle) {
    case Obstacle::kWorkerLimit:
      return "worker_limit";
    case Obstacle::kNotIdle:
      return "not_idle";
    case Obstacle::kOneRack:
      return "one_rack";
    case Obstacle::kGangSize:
      return "gang_size";
    case Obstacle::kUnknown:
      break;
  }
  return "unknown";
}

std::string_view
HoldName(HeldWorker::Reason aReason)
{
  switch (aReason) {
    case HeldWorker::Reason::kPreemption:
      return "preemption";
    case HeldWorker::Reason::kReservation:
      return "reservation";
    case HeldWorker::Reason::kTrial:
      break;
  }
  return "trial";
}

bool
HasRoom(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  return TasksThatFit(*aRequest.step, aCandidate.available, 1) > 0;
}

Obstacle
ObstacleOn(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  const StepSpec& step = *aRequest.step;
  auto active = aRequest.activeTasks.find(aCandidate.id);
  if (step.perWorkerLimit > 0 && active != aRequest.activeTasks.end() &&
      active->second >= step.perWorkerLimit) {
    return Obstacle::kWorkerLimit;
  }
  if (aRequest.onIdleWorkers && !aCandidate.idle) {
    return Obstacle::kNotIdle;
  }
  if (NeedsOneRack(aRequest)) {
    return Obstacle::kOneRack;
  }
  return step.gang ? Obstacle::kGangSize : Obstacle::kUnknown;
}

// Joins the first elements, formatted by `aFormat`, with commas.
template<typename T, typename Format>
std::string
Listed(const std::vector<T>& aItems, Format aFormat)
{
  std::string out;
  for (size_t n = 0; n < std::min(aItems.size(), kMaxListed); ++n) {
    out += (n == 0 ? "" : ", ") + aFormat(aItems[n]);
  }
  return out;
}

std::string
HoldText(const HeldWorker& aHeld)
{
  std::string out = aHeld.candidate.id.Value() + " for " +
                    StepName(aHeld.beneficiary) + " by " +
                    std::string(HoldName(aHeld.reason));
  if (aHeld.remaining != Millis::Max()) {
    out += " for " + std::to_string(aHeld.remaining.Count()) + " ms";
  }
  return out;
}

} // namespace

WaitReport
ReportWait(const PlacementRequest& aRequest,
           const FleetView& aView,
           const std::vector<HeldWorker>& aHeld)
{
  WaitReport out;
  out.tasks = aRequest.tasks;
  std::set<WorkerId> takeTasks;
  for (const Candidate& it : aView.candidates) {
    takeTasks.insert(it.id);
    if (!MayRun(*aRequest.step, *aRequest.service, *it.report)) {
      continue;
    }
    ++out.matching;
    if (!HasRoom(aRequest, it)) {
      ++out.withoutRoom;
    } else if (IsReservedAgainst(aRequest, it)) {
      out.held.push_back({ .candidate = it,
                           .beneficiary = it.reservation->beneficiary,
                           .reason = HeldWorker::Reason::kReservation,
                           .remaining = it.reservation->startsIn });
    } else {
      out.withRoom.emplace_back(it.id, ObstacleOn(aRequest, it));
    }
  }
  for (const HeldWorker& it : aHeld) {
    const Candidate& candidate = it.candidate;
    takeTasks.insert(candidate.id);
    if (!MayRun(*aRequest.step, *aRequest.service, *candidate.report)) {
      continue;
    }
    ++out.matching;
    if (HasRoom(aRequest, candidate)) {
      out.held.push_back(it);
    } else {
      ++out.withoutRoom;
    }
  }
  for (const auto& [id, worker] : aView.state->Workers()) {
    if (!takeTasks.contains(id) &&
        MayRun(*aRequest.step, *aRequest.service, worker.report)) {
      ++out.matching;
      out.unusable.emplace_back(
        id, aView.unusableReasonOf ? aView.unusableReasonOf(id) : "unknown");
    }
  }
  return out;
}

LogEvent
LogEventFor(const WaitReport& aReport)
{
  LogEvent event("job_waiting");
  event.Add("step", StepName(aReport.step))
    .Add("tasks", aReport.tasks)
    .Add("waited_ms", aReport.waited)
    .Add("matching_workers", aReport.matching)
    .Add("without_room", aReport.withoutRoom);
  if (!aReport.withRoom.empty()) {
    event.Add("with_room", aReport.withRoom.size())
      .Add("obstacles", Listed(aReport.withRoom, [](const auto& it) {
             return it.first.Value() + " " +
                    std::string(ObstacleName(it.second));
           }));
  }
  if (aReport.rackWait) {
    event.Add("rack_wait_ms", *aReport.rackWait);
  }
  if (!aReport.held.empty()) {
    event.Add("held", aReport.held.size())
      .Add("held_workers", Listed(aReport.held, HoldText));
  }
  if (!aReport.unusable.empty()) {
    event.Add("unusable", aReport.unusable.size())
      .Add("unusable_workers", Listed(aReport.unusable, [](const auto& it) {
             return it.first.Value() + " " + std::string(it.second);
           }));
  }
  return event;
}

} // namespace limpetwood::fleet
