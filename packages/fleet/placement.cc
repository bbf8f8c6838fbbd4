#include "fleet/placement.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <map>
#include <tuple>

namespace limpetwood::fleet {

namespace {

// A candidate on which at least one task fits.
struct Fit
{
  size_t candidate = 0;
  uint32_t tasks = 0;
};

std::vector<Fit>
FindFits(const PlacementRequest& aRequest,
         const std::vector<Candidate>& aCandidates)
{
  std::vector<Fit> out;
  for (size_t n = 0; n < aCandidates.size(); ++n) {
    auto room = WorkerRoom::On(aRequest, aCandidates[n]);
    uint32_t tasks = room ? room->Tasks() : 0;
    if (tasks > 0) {
      out.push_back({ .candidate = n, .tasks = tasks });
    }
  }
  return out;
}

// Free share of the scarcest resource of a worker, in thousandths.
int64_t
FreeShare(const Candidate& aCandidate)
{
  const Resources& available = aCandidate.available;
  const Resources& all = aCandidate.report->capacity;
  auto share = [](int64_t aAvailable, int64_t aAll) {
    return aAll > 0 ? aAvailable * 1000 / aAll : 1000;
  };
  return std::min({ share(available.cpu, all.cpu),
                    share(available.memoryMb, all.memoryMb),
                    share(available.accelerators, all.accelerators) });
}

// The fault score of the worker, increased by 1 if the request avoids it or it
// is cold.
int
EffectiveFaultScore(const PlacementRequest& aRequest,
                    const Candidate& aCandidate)
{
  bool avoided = (aRequest.isAvoided && aRequest.isAvoided(aCandidate.id)) ||
                 (aRequest.onTrial && aCandidate.isNew) || aCandidate.isCold;
  return aCandidate.faultScore + (avoided ? 1 : 0);
}

// Lower for workers that the request prefers for their speed.
int
SpeedRank(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  int speed = static_cast<int>(aCandidate.speed);
  switch (aRequest.speed) {
    case SpeedPreference::kNone:
      return 0;
    case SpeedPreference::kFast:
      return -speed;
    case SpeedPreference::kSlow:
      break;
  }
  return speed;
}

// Sorts by fault score and speed, then fullest workers first and, among equal
// ones, those in the fullest racks, so that empty workers and racks stay whole.
void
SortFullestFirst(const PlacementRequest& aRequest,
                 const std::vector<Candidate>& aCandidates,
                 std::vector<Fit>& aFits)
{
  std::vector<int64_t> racks;
  for (const Candidate& it : aCandidates) {
    racks.resize(std::max<size_t>(racks.size(), it.rack + 1));
    racks[it.rack] += it.available.accelerators;
  }
  using Key = std::tuple<int, int, int64_t, int64_t, size_t>;
  std::vector<std::pair<Key, Fit>> order;
  order.reserve(aFits.size());
  for (const Fit& it : aFits) {
    const Candidate& candidate = aCandidates[it.candidate];
    order.emplace_back(Key{ EffectiveFaultScore(aRequest, candidate),
                            SpeedRank(aRequest, candidate),
                            FreeShare(candidate),
                            racks[candidate.rack],
                            it.candidate },
                       it);
  }
  std::sort(order.begin(), order.end(), [](const auto& x, const auto& y) {
    return x.first < y.first;
  });
  for (size_t n = 0; n < order.size(); ++n) {
    aFits[n] = order[n].second;
  }
}

// Assigns `aTasks` tasks to the fits in their order. Returns a candidate index
// for each task; fewer if not all fit.
std::vector<size_t>
AssignTasks(const std::vector<Fit>& aFits, uint32_t aTasks)
{
  std::vector<size_t> out;
  for (const Fit& it : aFits) {
    for (uint32_t n = 0; n < it.tasks && out.size() < aTasks; ++n) {
      out.push_back(it.candidate);
    }
  }
  return out;
}

// Returns the placement in the rack that fits all tasks and has the least
// capacity left. The rack with the input data and racks with low fault scores
// take precedence.
std::vector<size_t>
PlaceInOneRack(const PlacementRequest& aRequest,
               const std::vector<Candidate>& aCandidates,
               const std::vector<Fit>& aFits)
{
  std::map<uint32_t, std::vector<Fit>> racks;
  std::map<uint32_t, uint32_t> fit;
  for (const Fit& it : aFits) {
    uint32_t rack = aCandidates[it.candidate].rack;
    racks[rack].push_back(it);
    fit[rack] += it.tasks;
  }
  std::erase_if(racks, [&](const auto& aEntry) {
    return fit[aEntry.first] < aRequest.tasks;
  });
  std::vector<size_t> best;
  std::tuple<bool, int, int, int64_t> bestKey;
  for (auto& [rack, fits] : racks) {
    SortFullestFirst(aRequest, aCandidates, fits);
    std::vector<size_t> chosen = AssignTasks(fits, aRequest.tasks);
    if (chosen.size() < aRequest.tasks) {
      continue;
    }
    int faultScore = 0;
    // Of the racks, the one is chosen whose least preferred worker is preferred
    // most.
    int speedRank = std::numeric_limits<int>::min();
    for (size_t it : chosen) {
      faultScore += EffectiveFaultScore(aRequest, aCandidates[it]);
      speedRank = std::max(speedRank, SpeedRank(aRequest, aCandidates[it]));
    }
    int64_t available = 0;
    for (const Fit& it : fits) {
      available += aCandidates[it.candidate].available.accelerators;
    }
    const RackId& name = aCandidates[chosen.front()].report->rack;
    bool otherRack =
      !aRequest.step->rack.empty() && name != aRequest.step->rack;
    auto key = std::make_tuple(otherRack, faultScore, speedRank, available);
    if (best.empty() || key < bestKey) {
      best = std::move(chosen);
      bestKey = key;
    }
  }
  return best;
}

// Returns an index into `aCandidates` for each task; see `Place`.
std::vector<size_t>
PlaceOn(const PlacementRequest& aRequest,
        const std::vector<Candidate>& aCandidates,
        std::vector<Fit> aFits)
{
  const StepSpec& step = *aRequest.step;
  if (step.prefersOneRack && aRequest.tasks > 1) {
    std::vector<size_t> out = PlaceInOneRack(aRequest, aCandidates, aFits);
    if (!out.empty() || !aRequest.maySpanRacks) {
      return out;
    }
  }
  if (aRequest.bestFit) {
    SortFullestFirst(aRequest, aCandidates, aFits);
  }
  if (!step.rack.empty()) {
    std::stable_partition(aFits.begin(), aFits.end(), [&](const Fit& it) {
      return aCandidates[it.candidate].report->rack == step.rack;
    });
  }
  std::vector<size_t> out = AssignTasks(aFits, aRequest.tasks);
  if (step.gang && out.size() < aRequest.tasks) {
    out.clear();
  }
  return out;
}

} // namespace

void
NumberRacks(std::vector<Candidate>& aCandidates)
{
  std::map<RackId, uint32_t> numbers;
  for (Candidate& it : aCandidates) {
    auto number = static_cast<uint32_t>(numbers.size());
    it.rack = numbers.try_emplace(it.report->rack, number).first->second;
  }
}

bool
MayRun(const StepSpec& aStep,
       const ServiceId& aService,
       const WorkerReport& aWorker)
{
  return aWorker.service == aService &&
         (aStep.label.empty() ||
          std::find(aWorker.labels.begin(),
                    aWorker.labels.end(),
                    aStep.label) != aWorker.labels.end());
}

uint32_t
TasksThatFit(const StepSpec& aStep, Resources aAvailable, uint32_t aLimit)
{
  if (aAvailable.HasNegative()) {
    return 0;
  }
  Resources resources = aStep.CountedResources();
  auto bound = [&](int64_t aPerTask, int64_t aFree, uint32_t aMaxTasks) {
    if (aPerTask <= 0) {
      return aMaxTasks;
    }
    int64_t n = std::max<int64_t>(aFree, 0) / aPerTask;
    return static_cast<uint32_t>(std::min<int64_t>(n, aMaxTasks));
  };
  uint32_t out = aLimit;
  out = bound(resources.cpu, aAvailable.cpu, out);
  out = bound(resources.memoryMb, aAvailable.memoryMb, out);
  return bound(resources.accelerators, aAvailable.accelerators, out);
}

bool
IsReservedAgainst(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  return aCandidate.reservation &&
         aRequest.duration > aCandidate.reservation->startsIn;
}

bool
NeedsOneRack(const PlacementRequest& aRequest)
{
  return aRequest.step->prefersOneRack && aRequest.tasks > 1 &&
         !aRequest.maySpanRacks;
}

std::optional<WorkerRoom>
WorkerRoom::On(const PlacementRequest& aRequest, const Candidate& aCandidate)
{
  const StepSpec& step = *aRequest.step;
  if (!MayRun(step, *aRequest.service, *aCandidate.report) ||
      (aRequest.onIdleWorkers && !aCandidate.idle) ||
      IsReservedAgainst(aRequest, aCandidate)) {
    return std::nullopt;
  }
  uint32_t active = 0;
  if (step.perWorkerLimit > 0) {
    auto it = aRequest.activeTasks.find(aCandidate.id);
    active = it == aRequest.activeTasks.end() ? 0 : it->second;
  }
  return WorkerRoom(aRequest, aCandidate.available, active);
}

std::optional<WorkerRoom>
WorkerRoom::OnIdle(const PlacementRequest& aRequest,
                   const Candidate& aCandidate)
{
  const WorkerReport& report = *aCandidate.report;
  if (!MayRun(*aRequest.step, *aRequest.service, report)) {
    return std::nullopt;
  }
  return WorkerRoom(aRequest, report.capacity, 0);
}

uint32_t
WorkerRoom::Tasks() const
{
  const StepSpec& step = *mRequest->step;
  uint32_t limit = mRequest->onTrial && !step.gang ? 1 : mRequest->tasks;
  if (step.perWorkerLimit > 0) {
    uint32_t allowed =
      step.perWorkerLimit - std::min(step.perWorkerLimit, mActiveTasks);
    limit = std::min(limit, allowed);
  }
  return TasksThatFit(step, mAvailable, limit);
}

void
WorkerRoom::Release(const TaskRef& aTask, const Resources& aResources)
{
  mAvailable += aResources;
  if (mActiveTasks > 0 && StepOf(aTask) == mRequest->ref) {
    --mActiveTasks;
  }
}

void
WorkerRoom::Retake(const TaskRef& aTask, const Resources& aResources)
{
  mAvailable -= aResources;
  if (mRequest->step->perWorkerLimit > 0 && StepOf(aTask) == mRequest->ref) {
    ++mActiveTasks;
  }
}

std::vector<size_t>
Place(const PlacementRequest& aRequest,
      const std::vector<Candidate>& aCandidates)
{
  std::vector<Fit> fits = FindFits(aRequest, aCandidates);
  const StepSpec& step = *aRequest.step;
  bool byClass =
    step.gang && step.rack.empty() && aRequest.speed == SpeedPreference::kFast;
  if (!byClass) {
    return PlaceOn(aRequest, aCandidates, std::move(fits));
  }
  // A gang ends with its slowest member, so one slow worker makes fast ones
  // useless to it. Of workers that are fast enough, the slowest are taken.
  PlacementRequest uniform = aRequest;
  uniform.speed = SpeedPreference::kSlow;
  // Speed does not make up for what a second rack costs.
  uniform.maySpanRacks = false;
  for (SpeedClass slowest : { SpeedClass::kFast, SpeedClass::kNormal }) {
    std::vector<Fit> fastEnough;
    std::copy_if(fits.begin(),
                 fits.end(),
                 std::back_inserter(fastEnough),
                 [&](const Fit& it) {
                   const Candidate& candidate = aCandidates[it.candidate];
                   return candidate.speed >= slowest &&
                          EffectiveFaultScore(aRequest, candidate) == 0;
                 });
    std::vector<size_t> out =
      PlaceOn(uniform, aCandidates, std::move(fastEnough));
    if (!out.empty()) {
      return out;
    }
  }
  uniform.maySpanRacks = aRequest.maySpanRacks;
  return PlaceOn(uniform, aCandidates, std::move(fits));
}

} // namespace limpetwood::fleet
