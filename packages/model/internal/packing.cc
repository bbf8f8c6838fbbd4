#include "model/internal/packing.h"

#include <algorithm>
#include <map>
#include <set>

namespace limpetwood::model::internal {

namespace {

// The fullest worker that can hold `aPiece` once `aWhole` free workers are
// taken; 0 if there is none.
uint32_t
PieceFrom(const RackState& aRack, uint32_t aPiece, uint32_t aWhole)
{
  for (uint32_t free = aPiece; free <= aRack.perWorker; ++free) {
    uint32_t taken = free == aRack.perWorker ? aWhole : 0;
    if (aRack.byFree[free] > taken) {
      return free;
    }
  }
  return 0;
}

// The lower of two remainders wins, then the rack with less free capacity, so
// that emptier racks stay available for large shapes.
struct Score
{
  uint32_t leftover;
  uint64_t rackFree;

  auto operator<=>(const Score&) const = default;
};

Score
ScoreOf(const Take& aTake, const RackState& aRack)
{
  return { aTake.piece > 0 ? aTake.pieceFrom - aTake.piece : 0, aRack.free };
}

} // namespace

Capacity::Capacity(const Document& aDocument)
  : mZones(aDocument.zones.size())
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
    rack.perWorker = it.acceleratorsPerWorker.Value();
    rack.workers = it.workers;
    rack.byFree.resize(rack.perWorker + 1);
    rack.byFree[rack.perWorker] = it.workers;
    rack.free = uint64_t(it.workers) * rack.perWorker;
    if (rack.free > 0) {
      mZones[rack.zone].push_back(mRacks.size());
      mZoneFree[rack.zone] += rack.free;
    }
    mRacks.push_back(std::move(rack));
  }
  mZoneTotal = mZoneFree;
}

std::set<uint32_t, std::greater<>>
Capacity::SizesOf(size_t aZone) const
{
  std::set<uint32_t, std::greater<>> sizes;
  for (size_t it : mZones[aZone]) {
    sizes.insert(mRacks[it].perWorker);
  }
  return sizes;
}

std::optional<Take>
Capacity::FitRack(const Shape& aShape, size_t aRack) const
{
  const RackState& rack = mRacks[aRack];
  uint32_t count = aShape.accelerators.Value();
  if (rack.free < count || (aShape.topologyScope == TopologyScope::kWorker &&
                            count > rack.perWorker)) {
    return std::nullopt;
  }
  Take take{ aRack, count / rack.perWorker, count % rack.perWorker, 0 };
  if (take.whole > rack.WholeWorkers()) {
    return std::nullopt;
  }
  if (take.piece > 0) {
    take.pieceFrom = PieceFrom(rack, take.piece, take.whole);
    if (take.pieceFrom == 0) {
      return std::nullopt;
    }
  }
  return take;
}

std::vector<Placement>
Capacity::SpreadChoices(const Shape& aShape,
                        size_t aZone,
                        uint32_t aPerWorker) const
{
  uint32_t whole = aShape.accelerators.Value() / aPerWorker;
  uint32_t piece = aShape.accelerators.Value() % aPerWorker;
  std::vector<size_t> racks;
  for (size_t it : mZones[aZone]) {
    if (mRacks[it].perWorker == aPerWorker && mRacks[it].WholeWorkers() > 0) {
      racks.push_back(it);
    }
  }
  // Racks with few free workers first: the others keep room for rack shapes.
  std::stable_sort(racks.begin(), racks.end(), [&](size_t x, size_t y) {
    return mRacks[x].WholeWorkers() < mRacks[y].WholeWorkers();
  });
  Placement base;
  std::map<size_t, uint32_t> taken;
  for (size_t it : racks) {
    uint32_t n = std::min(whole, mRacks[it].WholeWorkers());
    if (n > 0) {
      base.push_back({ it, n, 0, 0 });
      taken[it] = n;
      whole -= n;
    }
  }
  if (whole > 0) {
    return {};
  }
  if (piece == 0) {
    return { base };
  }
  std::vector<Placement> choices;
  std::set<std::pair<uint32_t, uint32_t>> seen;
  for (size_t it : mZones[aZone]) {
    const RackState& rack = mRacks[it];
    for (uint32_t from = piece; from <= rack.perWorker; ++from) {
      uint32_t gone = from == rack.perWorker ? taken[it] : 0;
      if (rack.byFree[from] > gone &&
          seen.insert({ rack.perWorker, from }).second) {
        choices.push_back(base);
        choices.back().push_back({ it, 0, piece, from });
      }
    }
  }
  std::stable_sort(
    choices.begin(), choices.end(), [](const Placement& x, const Placement& y) {
      return x.back().pieceFrom < y.back().pieceFrom;
    });
  return choices;
}

std::optional<Placement>
Capacity::Fit(const Shape& aShape, size_t aZone) const
{
  if (mZoneFree[aZone] < aShape.accelerators.Value()) {
    return std::nullopt;
  }
  std::optional<Take> best;
  for (size_t it : mZones[aZone]) {
    std::optional<Take> take = FitRack(aShape, it);
    if (take && (!best || ScoreOf(*take, mRacks[it]) <
                            ScoreOf(*best, mRacks[best->rack]))) {
      best = take;
    }
  }
  if (best) {
    return Placement{ *best };
  }
  if (aShape.topologyScope != TopologyScope::kZone) {
    return std::nullopt;
  }
  for (uint32_t it : SizesOf(aZone)) {
    std::vector<Placement> choices = SpreadChoices(aShape, aZone, it);
    if (!choices.empty()) {
      return std::move(choices.front());
    }
  }
  return std::nullopt;
}

std::vector<Placement>
Capacity::Choices(const Shape& aShape, size_t aZone) const
{
  std::vector<Placement> choices;
  if (mZoneFree[aZone] < aShape.accelerators.Value()) {
    return choices;
  }
  if (aShape.topologyScope == TopologyScope::kZone) {
    for (uint32_t it : SizesOf(aZone)) {
      for (Placement& choice : SpreadChoices(aShape, aZone, it)) {
        choices.push_back(std::move(choice));
      }
    }
    return choices;
  }
  // Racks in equal states are interchangeable.
  std::set<std::vector<uint32_t>> seen;
  for (size_t it : mZones[aZone]) {
    const RackState& rack = mRacks[it];
    std::optional<Take> take = FitRack(aShape, it);
    if (!take || !seen.insert(rack.byFree).second) {
      continue;
    }
    if (take->piece == 0) {
      choices.push_back({ *take });
      continue;
    }
    for (uint32_t from = take->piece; from <= rack.perWorker; ++from) {
      uint32_t gone = from == rack.perWorker ? take->whole : 0;
      if (rack.byFree[from] > gone) {
        choices.push_back({ { it, take->whole, take->piece, from } });
      }
    }
  }
  return choices;
}

void
Capacity::Apply(const Placement& aPlacement)
{
  for (const Take& it : aPlacement) {
    RackState& rack = mRacks[it.rack];
    uint32_t count = it.whole * rack.perWorker + it.piece;
    rack.byFree[rack.perWorker] -= it.whole;
    rack.byFree[0] += it.whole;
    if (it.piece > 0) {
      --rack.byFree[it.pieceFrom];
      ++rack.byFree[it.pieceFrom - it.piece];
    }
    rack.free -= count;
    mZoneFree[rack.zone] -= count;
  }
}

void
Capacity::Undo(const Placement& aPlacement)
{
  for (const Take& it : aPlacement) {
    RackState& rack = mRacks[it.rack];
    uint32_t count = it.whole * rack.perWorker + it.piece;
    rack.byFree[rack.perWorker] += it.whole;
    rack.byFree[0] -= it.whole;
    if (it.piece > 0) {
      ++rack.byFree[it.pieceFrom];
      --rack.byFree[it.pieceFrom - it.piece];
    }
    rack.free += count;
    mZoneFree[rack.zone] += count;
  }
}

} // namespace limpetwood::model::internal
