// Best-fit placement and enumeration of placements under the packing rule of
// `packing.h`.

#include "model/internal/packing.h"

#include <algorithm>
#include <map>
#include <set>

namespace limpetwood::model::internal {

namespace {

// Returns the free accelerators of the fullest worker that can hold
// `aRemainder` after `aWholeWorkers` unused workers are taken; 0 if there is
// none.
uint32_t
BestFitWorkerFree(const RackState& aRack,
                  uint32_t aRemainder,
                  uint32_t aWholeWorkers)
{
  for (uint32_t freeAccelerators = aRemainder;
       freeAccelerators <= aRack.acceleratorsPerWorker;
       ++freeAccelerators) {
    uint32_t taken =
      freeAccelerators == aRack.acceleratorsPerWorker ? aWholeWorkers : 0;
    if (aRack.workersByFree[freeAccelerators] > taken) {
      return freeAccelerators;
    }
  }
  return 0;
}

// Preference among placements; lower is better. Fewer leftover accelerators on
// the remainder's worker come first, then the rack with less free capacity, so
// that emptier racks stay available for large shapes.
struct Score
{
  uint32_t leftover;
  uint64_t rackFree;

  auto operator<=>(const Score&) const = default;
};

Score
ScoreOf(const RackAllocation& aAllocation, const RackState& aRack)
{
  return { aAllocation.remainder > 0
             ? aAllocation.remainderWorkerFree - aAllocation.remainder
             : 0,
           aRack.freeAccelerators };
}

} // namespace

Capacity::Capacity(const Document& aDocument)
  : mRacksByZone(aDocument.zones.size())
  , mZoneFree(aDocument.zones.size())
  , mZoneTotal(aDocument.zones.size())
{
  std::map<ZoneId, size_t> zones;
  for (size_t n = 0; n < aDocument.zones.size(); ++n) {
    zones[aDocument.zones[n]] = n;
  }
  for (const Rack& it : aDocument.racks) {
    RackState rack;
    rack.zone = zones.at(it.zone);
    rack.acceleratorsPerWorker = it.acceleratorsPerWorker.Value();
    rack.workers = it.workers;
    rack.workersByFree.resize(rack.acceleratorsPerWorker + 1);
    rack.workersByFree[rack.acceleratorsPerWorker] = it.workers;
    rack.freeAccelerators = uint64_t(it.workers) * rack.acceleratorsPerWorker;
    if (rack.freeAccelerators > 0) {
      mRacksByZone[rack.zone].push_back(mRacks.size());
      mZoneFree[rack.zone] += rack.freeAccelerators;
    }
    mRacks.push_back(std::move(rack));
  }
  mZoneTotal = mZoneFree;
}

std::set<uint32_t, std::greater<>>
Capacity::WorkerSizesOf(size_t aZone) const
{
  std::set<uint32_t, std::greater<>> sizes;
  for (size_t it : mRacksByZone[aZone]) {
    sizes.insert(mRacks[it].acceleratorsPerWorker);
  }
  return sizes;
}

std::optional<RackAllocation>
Capacity::FitInRack(const Shape& aShape, size_t aRack) const
{
  const RackState& rack = mRacks[aRack];
  uint32_t count = aShape.accelerators.Value();
  if (rack.freeAccelerators < count ||
      (aShape.topologyScope == TopologyScope::kWorker &&
       count > rack.acceleratorsPerWorker)) {
    return std::nullopt;
  }
  RackAllocation allocation{ aRack,
                             count / rack.acceleratorsPerWorker,
                             count % rack.acceleratorsPerWorker,
                             0 };
  if (allocation.wholeWorkers > rack.FreeWorkers()) {
    return std::nullopt;
  }
  if (allocation.remainder > 0) {
    allocation.remainderWorkerFree =
      BestFitWorkerFree(rack, allocation.remainder, allocation.wholeWorkers);
    if (allocation.remainderWorkerFree == 0) {
      return std::nullopt;
    }
  }
  return allocation;
}

std::vector<Placement>
Capacity::MultiRackCandidates(const Shape& aShape,
                              size_t aZone,
                              uint32_t aAcceleratorsPerWorker) const
{
  uint32_t wholeWorkers = aShape.accelerators.Value() / aAcceleratorsPerWorker;
  uint32_t remainder = aShape.accelerators.Value() % aAcceleratorsPerWorker;
  std::vector<size_t> racks;
  for (size_t it : mRacksByZone[aZone]) {
    if (mRacks[it].acceleratorsPerWorker == aAcceleratorsPerWorker &&
        mRacks[it].FreeWorkers() > 0) {
      racks.push_back(it);
    }
  }
  // Use racks with few unused workers first, which preserves unused workers in
  // the other racks for shapes of scope `kRack`.
  std::stable_sort(racks.begin(), racks.end(), [&](size_t x, size_t y) {
    return mRacks[x].FreeWorkers() < mRacks[y].FreeWorkers();
  });
  Placement base;
  std::map<size_t, uint32_t> taken;
  for (size_t it : racks) {
    uint32_t n = std::min(wholeWorkers, mRacks[it].FreeWorkers());
    if (n > 0) {
      base.push_back({ it, n, 0, 0 });
      taken[it] = n;
      wholeWorkers -= n;
    }
  }
  if (wholeWorkers > 0) {
    return {};
  }
  if (remainder == 0) {
    return { base };
  }
  std::vector<Placement> candidates;
  std::set<std::pair<uint32_t, uint32_t>> seen;
  for (size_t it : mRacksByZone[aZone]) {
    const RackState& rack = mRacks[it];
    for (uint32_t workerFree = remainder;
         workerFree <= rack.acceleratorsPerWorker;
         ++workerFree) {
      uint32_t used = workerFree == rack.acceleratorsPerWorker ? taken[it] : 0;
      if (rack.workersByFree[workerFree] > used &&
          seen.insert({ rack.acceleratorsPerWorker, workerFree }).second) {
        candidates.push_back(base);
        candidates.back().push_back({ it, 0, remainder, workerFree });
      }
    }
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [](const Placement& x, const Placement& y) {
                     return x.back().remainderWorkerFree <
                            y.back().remainderWorkerFree;
                   });
  return candidates;
}

std::optional<Placement>
Capacity::Fit(const Shape& aShape, size_t aZone) const
{
  if (mZoneFree[aZone] < aShape.accelerators.Value()) {
    return std::nullopt;
  }
  std::optional<RackAllocation> best;
  for (size_t it : mRacksByZone[aZone]) {
    std::optional<RackAllocation> allocation = FitInRack(aShape, it);
    if (allocation && (!best || ScoreOf(*allocation, mRacks[it]) <
                                  ScoreOf(*best, mRacks[best->rack]))) {
      best = allocation;
    }
  }
  if (best) {
    return Placement{ *best };
  }
  if (aShape.topologyScope != TopologyScope::kZone) {
    return std::nullopt;
  }
  for (uint32_t it : WorkerSizesOf(aZone)) {
    std::vector<Placement> candidates = MultiRackCandidates(aShape, aZone, it);
    if (!candidates.empty()) {
      return std::move(candidates.front());
    }
  }
  return std::nullopt;
}

std::vector<Placement>
Capacity::Candidates(const Shape& aShape, size_t aZone) const
{
  std::vector<Placement> candidates;
  if (mZoneFree[aZone] < aShape.accelerators.Value()) {
    return candidates;
  }
  if (aShape.topologyScope == TopologyScope::kZone) {
    for (uint32_t it : WorkerSizesOf(aZone)) {
      for (Placement& candidate : MultiRackCandidates(aShape, aZone, it)) {
        candidates.push_back(std::move(candidate));
      }
    }
    return candidates;
  }
  // Racks with equal capacity states are interchangeable, so only the first one
  // is considered.
  std::set<std::vector<uint32_t>> seen;
  for (size_t it : mRacksByZone[aZone]) {
    const RackState& rack = mRacks[it];
    std::optional<RackAllocation> allocation = FitInRack(aShape, it);
    if (!allocation || !seen.insert(rack.workersByFree).second) {
      continue;
    }
    if (allocation->remainder == 0) {
      candidates.push_back({ *allocation });
      continue;
    }
    for (uint32_t workerFree = allocation->remainder;
         workerFree <= rack.acceleratorsPerWorker;
         ++workerFree) {
      uint32_t used =
        workerFree == rack.acceleratorsPerWorker ? allocation->wholeWorkers : 0;
      if (rack.workersByFree[workerFree] > used) {
        candidates.push_back({ { it,
                                 allocation->wholeWorkers,
                                 allocation->remainder,
                                 workerFree } });
      }
    }
  }
  return candidates;
}

void
Capacity::Apply(const Placement& aPlacement)
{
  for (const RackAllocation& it : aPlacement) {
    RackState& rack = mRacks[it.rack];
    uint32_t count =
      it.wholeWorkers * rack.acceleratorsPerWorker + it.remainder;
    rack.workersByFree[rack.acceleratorsPerWorker] -= it.wholeWorkers;
    rack.workersByFree[0] += it.wholeWorkers;
    if (it.remainder > 0) {
      --rack.workersByFree[it.remainderWorkerFree];
      ++rack.workersByFree[it.remainderWorkerFree - it.remainder];
    }
    rack.freeAccelerators -= count;
    mZoneFree[rack.zone] -= count;
  }
}

void
Capacity::Undo(const Placement& aPlacement)
{
  for (const RackAllocation& it : aPlacement) {
    RackState& rack = mRacks[it.rack];
    uint32_t count =
      it.wholeWorkers * rack.acceleratorsPerWorker + it.remainder;
    rack.workersByFree[rack.acceleratorsPerWorker] += it.wholeWorkers;
    rack.workersByFree[0] -= it.wholeWorkers;
    if (it.remainder > 0) {
      ++rack.workersByFree[it.remainderWorkerFree];
      --rack.workersByFree[it.remainderWorkerFree - it.remainder];
    }
    rack.freeAccelerators += count;
    mZoneFree[rack.zone] += count;
  }
}

} // namespace limpetwood::model::internal
