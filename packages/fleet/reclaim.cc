#include "fleet/reclaim.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace limpetwood::fleet {

namespace {

// Weight of an accelerator against a core, as the platform prices work.
constexpr double kCoresPerAccelerator = 8;

// What ends together when a run is stopped: a gang, or the run alone.
using Group = std::tuple<JobId, uint32_t, uint32_t, uint32_t>;

struct Victim
{
  RunRef run;
  Resources need;
  Group group;
  // Of the whole group.
  double cost = 0;
  // Its room is coming without another stop.
  bool stopping = false;
};

// Runs on one worker that may be stopped, cheapest first.
std::vector<Victim>
VictimsOn(const WorkerId& aWorker, int32_t aPriority, const FleetView& aView)
{
  std::vector<Victim> out;
  for (const RunOutlook& it : aView.RunsOf(aWorker)) {
    if (!it.cost.stopping && it.job->priority <= aPriority) {
      continue;
    }
    const TaskRef& task = it.run.task;
    const StepSpec& step = it.job->spec.steps[task.step];
    uint32_t members = step.gang ? step.tasks : 1;
    double lost = static_cast<double>(it.cost.lost.Count()) / 1000;
    out.push_back({ .run = it.run,
                    .need = it.need,
                    .group = { task.job,
                               task.occurrence,
                               task.step,
                               step.gang ? 0 : task.index },
                    .cost = it.cost.stopping ? 0
                                             : WeightOf(step.need) * members *
                                                 lost * (1 + it.cost.restarts),
                    .stopping = it.cost.stopping });
  }
  std::sort(out.begin(), out.end(), [](const Victim& x, const Victim& y) {
    return x.cost < y.cost;
  });
  return out;
}

// A way to fit at least one task on one worker.
struct Offer
{
  WorkerId worker;
  std::vector<Victim> victims{};
  uint32_t tasks = 0;

  // Groups that end anyway cost nothing more.
  double CostBeside(const std::set<Group>& aEnded) const
  {
    double cost = 0;
    for (const Victim& it : victims) {
      cost += aEnded.contains(it.group) ? 0 : it.cost;
    }
    return cost;
  }
};

// Cost of an offer for each task, where the cost of a group is shared by the
// offers that it makes room for.
double
SharedCost(const Offer& aOffer,
           const std::vector<Offer>& aOffers,
           const std::set<Group>& aEnded,
           uint32_t aTasks)
{
  double cost = 0;
  for (const Victim& it : aOffer.victims) {
    if (aEnded.contains(it.group)) {
      continue;
    }
    auto sharing =
      std::count_if(aOffers.begin(), aOffers.end(), [&](const Offer& aOther) {
        return std::any_of(
          aOther.victims.begin(),
          aOther.victims.end(),
          [&](const Victim& aVictim) { return aVictim.group == it.group; });
      });
    cost += it.cost / static_cast<double>(std::min<int64_t>(sharing, aTasks));
  }
  return cost / aOffer.tasks;
}

std::optional<Offer>
OfferOf(const ReclaimRequest& aRequest,
        const Candidate& aCandidate,
        const FleetView& aView)
{
  Offer out{ .worker = aCandidate.id };
  Resources room = aCandidate.room;
  uint32_t limit = aRequest.tasks;
  if (aRequest.step->perWorkerLimit > 0) {
    limit = std::min(limit, aRequest.step->perWorkerLimit);
  }
  out.tasks = TasksThatFit(*aRequest.step, room, limit);
  if (out.tasks > 0) {
    return out;
  }
  for (const Victim& it : VictimsOn(aCandidate.id, aRequest.priority, aView)) {
    room += it.need;
    out.victims.push_back(it);
    out.tasks = TasksThatFit(*aRequest.step, room, limit);
    if (out.tasks > 0) {
      break;
    }
  }
  if (out.tasks == 0) {
    return std::nullopt;
  }
  // Later victims may have made earlier ones needless.
  for (size_t n = out.victims.size(); n-- > 0;) {
    Resources without = room - out.victims[n].need;
    if (TasksThatFit(*aRequest.step, without, limit) > 0) {
      room = without;
      out.victims.erase(out.victims.begin() + static_cast<ptrdiff_t>(n));
    }
  }
  return out;
}

std::optional<ReclaimChoice>
Combine(std::vector<Offer> aOffers, uint32_t aTasks)
{
  ReclaimChoice out;
  std::set<Group> ended;
  uint32_t placed = 0;
  while (placed < aTasks && !aOffers.empty()) {
    auto best = aOffers.begin();
    double least = std::numeric_limits<double>::infinity();
    for (auto it = aOffers.begin(); it != aOffers.end(); ++it) {
      double cost = SharedCost(*it, aOffers, ended, aTasks - placed);
      if (cost < least) {
        least = cost;
        best = it;
      }
    }
    placed += best->tasks;
    out.cost += best->CostBeside(ended);
    out.workers.push_back(best->worker);
    for (const Victim& it : best->victims) {
      ended.insert(it.group);
      if (!it.stopping) {
        out.victims.emplace_back(best->worker, it.run);
      }
    }
    aOffers.erase(best);
  }
  if (placed < aTasks) {
    return std::nullopt;
  }
  return out;
}

} // namespace

double
WeightOf(const Resources& aNeed)
{
  return static_cast<double>(aNeed.accelerators) * kCoresPerAccelerator +
         static_cast<double>(aNeed.cpu) / 1000;
}

std::optional<ReclaimChoice>
ChooseVictims(const ReclaimRequest& aRequest, const FleetView& aView)
{
  bool oneRack = aRequest.step->prefersOneRack && aRequest.tasks > 1;
  std::map<uint32_t, std::vector<Offer>> groups;
  for (const Candidate& it : aView.candidates) {
    if (!MayRun(*aRequest.step, *aRequest.service, *it.report)) {
      continue;
    }
    if (auto offer = OfferOf(aRequest, it, aView)) {
      groups[oneRack ? it.rack : 0].push_back(std::move(*offer));
    }
  }
  std::optional<ReclaimChoice> best;
  for (auto& [rack, offers] : groups) {
    auto choice = Combine(std::move(offers), aRequest.tasks);
    if (choice && choice->cost <= aRequest.mostCost &&
        (!best || choice->cost < best->cost)) {
      best = std::move(choice);
    }
  }
  return best;
}

} // namespace limpetwood::fleet
