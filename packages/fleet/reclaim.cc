#include "fleet/reclaim.h"

#include <algorithm>
#include <map>
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
  Resources resources;
  Group group;
  // Of the group among those of all offers.
  size_t number = 0;
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
                    .resources = it.resources,
                    .group = { task.job,
                               task.occurrence,
                               task.step,
                               step.gang ? 0 : task.index },
                    .cost = it.cost.stopping
                              ? 0
                              : WeightOf(step.resources) * members * lost *
                                  (1 + it.cost.restarts),
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
};

// The groups that offers would end, numbered from 0.
class Groups
{
public:
  explicit Groups(std::vector<Offer>& aOffers)
  {
    std::map<Group, size_t> numbers;
    for (Offer& offer : aOffers) {
      for (Victim& it : offer.victims) {
        it.number = numbers.try_emplace(it.group, numbers.size()).first->second;
        mSharing.resize(numbers.size());
        ++mSharing[it.number];
      }
    }
    mEnded.resize(mSharing.size());
  }

  // What an offer costs more, with what was ended already.
  double CostOf(const Offer& aOffer) const
  {
    double cost = 0;
    for (const Victim& it : aOffer.victims) {
      cost += mEnded[it.number] ? 0 : it.cost;
    }
    return cost;
  }

  // The same for each task, where the cost of a group is shared by the offers
  // that it makes room for.
  double SharedCostOf(const Offer& aOffer, uint32_t aTasks) const
  {
    double cost = 0;
    for (const Victim& it : aOffer.victims) {
      double sharing = std::min(mSharing[it.number], aTasks);
      cost += mEnded[it.number] ? 0 : it.cost / sharing;
    }
    return cost / aOffer.tasks;
  }

  void Take(const Offer& aOffer)
  {
    for (const Victim& it : aOffer.victims) {
      mEnded[it.number] = true;
      --mSharing[it.number];
    }
  }

private:
  // Victims of each group among the offers that were not taken.
  std::vector<uint32_t> mSharing;
  std::vector<bool> mEnded;
};

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
    room += it.resources;
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
    Resources without = room - out.victims[n].resources;
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
  Groups groups(aOffers);
  std::vector<bool> taken(aOffers.size());
  uint32_t placed = 0;
  for (size_t round = 0; round < aOffers.size() && placed < aTasks; ++round) {
    size_t best = aOffers.size();
    double least = std::numeric_limits<double>::infinity();
    for (size_t n = 0; n < aOffers.size(); ++n) {
      if (taken[n]) {
        continue;
      }
      double cost = groups.SharedCostOf(aOffers[n], aTasks - placed);
      if (cost < least) {
        least = cost;
        best = n;
      }
    }
    if (best == aOffers.size()) {
      break;
    }
    const Offer& offer = aOffers[best];
    taken[best] = true;
    placed += offer.tasks;
    out.cost += groups.CostOf(offer);
    out.workers.push_back(offer.worker);
    for (const Victim& it : offer.victims) {
      if (!it.stopping) {
        out.victims.emplace_back(offer.worker, it.run);
      }
    }
    groups.Take(offer);
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
