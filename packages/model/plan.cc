// Assigns guaranteed shapes to zones. Several greedy strategies are tried
// first; if none of them places all shapes without moving any from its previous
// zone, and the document is small enough, an exhaustive search follows.

#include "model/plan.h"

#include "model/internal/packing.h"
#include "model/internal/plan_search.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>

namespace limpetwood::model {

namespace {

using internal::Capacity;
using internal::Placement;
using internal::SearchItem;
using internal::SearchResult;

constexpr size_t kNoZone = SIZE_MAX;

// One guaranteed shape that is to be assigned to a zone.
struct ShapeItem
{
  size_t workspace = 0;
  size_t guarantee = 0;
  Shape shape;
  // Index of the zone that the document requires, or `kNoZone`.
  size_t requiredZone = kNoZone;
  // Index of the zone in the previous plan, or `kNoZone`.
  size_t previousZone = kNoZone;
};

// Zone index of each item; `kNoZone` if the item could not be placed.
using Assignment = std::vector<size_t>;

// Order in which a greedy pass places the items and tries the zones.
struct Strategy
{
  // Place items that have a zone in the previous plan before the others.
  bool previousFirst;
  // Order by topology scope first (rack, then worker, then zone), then by size;
  // otherwise by size only.
  bool byTopologyScope;
  // Prefer the zone with the fewest shapes of the same workspace; otherwise
  // the zone with the least free capacity.
  bool spreadOverZones;
};

constexpr Strategy kStrategies[] = {
  { true, false, true },   { true, true, true },   { true, false, false },
  { true, true, false },   { false, false, true }, { false, true, true },
  { false, false, false }, { false, true, false },
};

std::vector<ShapeItem>
ExpandGuarantees(const Document& aDocument, const GuaranteePlan* aPrevious)
{
  std::map<ZoneId, size_t> zones;
  for (size_t n = 0; n < aDocument.zones.size(); ++n) {
    zones[aDocument.zones[n]] = n;
  }
  std::map<std::pair<WorkspaceId, Shape>, std::vector<size_t>> previousZones;
  if (aPrevious) {
    for (const PinnedShape& it : aPrevious->shapes) {
      auto zone = zones.find(it.zone);
      if (zone != zones.end()) {
        previousZones[{ it.workspace, it.shape }].push_back(zone->second);
      }
    }
  }
  std::vector<ShapeItem> items;
  for (size_t w = 0; w < aDocument.workspaces.size(); ++w) {
    const Workspace& workspace = aDocument.workspaces[w];
    for (size_t g = 0; g < workspace.guarantees.size(); ++g) {
      const Guarantee& it = workspace.guarantees[g];
      size_t requiredZone = it.zone ? zones.at(*it.zone) : kNoZone;
      auto& unusedZones = previousZones[{ workspace.id, it.shape }];
      for (uint32_t n = 0; n < it.count; ++n) {
        ShapeItem item{ w, g, it.shape, requiredZone, kNoZone };
        auto pin =
          requiredZone == kNoZone
            ? unusedZones.begin()
            : std::find(unusedZones.begin(), unusedZones.end(), requiredZone);
        if (pin != unusedZones.end()) {
          item.previousZone = *pin;
          unusedZones.erase(pin);
        }
        items.push_back(item);
      }
    }
  }
  return items;
}

int
TopologyScopeRank(TopologyScope aScope)
{
  switch (aScope) {
    case TopologyScope::kRack:
      return 0;
    case TopologyScope::kWorker:
      return 1;
    case TopologyScope::kZone:
      break;
  }
  return 2;
}

std::vector<size_t>
PlacementOrder(const std::vector<ShapeItem>& aItems, Strategy aStrategy)
{
  std::vector<size_t> order(aItems.size());
  for (size_t n = 0; n < order.size(); ++n) {
    order[n] = n;
  }
  auto key = [&](const ShapeItem& aItem) {
    int withoutPrevious =
      aStrategy.previousFirst && aItem.previousZone == kNoZone ? 1 : 0;
    int rank = aStrategy.byTopologyScope
                 ? TopologyScopeRank(aItem.shape.topologyScope)
                 : 0;
    // Items with a required zone precede items of the same size that may go to
    // any zone.
    return std::tuple(withoutPrevious,
                      rank,
                      ~aItem.shape.accelerators.Value(),
                      aItem.requiredZone == kNoZone ? 1 : 0);
  };
  std::stable_sort(order.begin(), order.end(), [&](size_t x, size_t y) {
    return key(aItems[x]) < key(aItems[y]);
  });
  return order;
}

class GreedyPacker
{
public:
  GreedyPacker(const Document& aDocument,
               const Capacity& aCapacity,
               const std::vector<ShapeItem>& aItems)
    : mCapacity(aCapacity)
    , mItems(aItems)
    , mPinned(aDocument.workspaces.size(),
              std::vector<uint32_t>(aDocument.zones.size()))
  {
  }

  Assignment Run(Strategy aStrategy)
  {
    Assignment zones(mItems.size(), kNoZone);
    for (size_t it : PlacementOrder(mItems, aStrategy)) {
      zones[it] = Place(mItems[it], aStrategy);
    }
    return zones;
  }

private:
  size_t Place(const ShapeItem& aItem, Strategy aStrategy)
  {
    for (size_t zone : ZonesFor(aItem, aStrategy)) {
      if (mExhausted.contains({ aItem.shape, zone })) {
        continue;
      }
      std::optional<Placement> placement = mCapacity.Fit(aItem.shape, zone);
      if (placement) {
        mCapacity.Apply(*placement);
        ++mPinned[aItem.workspace][zone];
        return zone;
      }
      // Capacity only decreases during a greedy pass, so the shape cannot fit
      // in this zone later either.
      mExhausted[{ aItem.shape, zone }] = true;
    }
    return kNoZone;
  }

  std::vector<size_t> ZonesFor(const ShapeItem& aItem, Strategy aStrategy) const
  {
    if (aItem.requiredZone != kNoZone) {
      return { aItem.requiredZone };
    }
    std::vector<size_t> zones(mCapacity.ZoneCount());
    for (size_t n = 0; n < zones.size(); ++n) {
      zones[n] = n;
    }
    const auto& pinned = mPinned[aItem.workspace];
    std::stable_sort(zones.begin(), zones.end(), [&](size_t x, size_t y) {
      if ((x == aItem.previousZone) != (y == aItem.previousZone)) {
        return x == aItem.previousZone;
      }
      if (!aStrategy.spreadOverZones) {
        return mCapacity.FreeIn(x) < mCapacity.FreeIn(y);
      }
      return std::tuple(pinned[x], mCapacity.FreeIn(y)) <
             std::tuple(pinned[y], mCapacity.FreeIn(x));
    });
    return zones;
  }

  Capacity mCapacity;
  const std::vector<ShapeItem>& mItems;
  // Number of shapes placed so far, by workspace and zone.
  std::vector<std::vector<uint32_t>> mPinned;
  std::map<std::pair<Shape, size_t>, bool> mExhausted;
};

// Cost of an assignment, compared lexicographically: accelerators of unplaced
// shapes, then the number of shapes that left their previous zone.
using Cost = std::pair<uint64_t, uint64_t>;

Cost
CostOf(const std::vector<ShapeItem>& aItems, const Assignment& aZones)
{
  Cost cost{ 0, 0 };
  for (size_t n = 0; n < aItems.size(); ++n) {
    if (aZones[n] == kNoZone) {
      cost.first += aItems[n].shape.accelerators.Value();
    }
    if (aItems[n].previousZone != kNoZone &&
        aItems[n].previousZone != aZones[n]) {
      ++cost.second;
    }
  }
  return cost;
}

Assignment
BestGreedyAssignment(const Document& aDocument,
                     const Capacity& aCapacity,
                     const std::vector<ShapeItem>& aItems)
{
  Assignment best;
  Cost cost{ UINT64_MAX, 0 };
  for (Strategy it : kStrategies) {
    Assignment zones = GreedyPacker(aDocument, aCapacity, aItems).Run(it);
    Cost found = CostOf(aItems, zones);
    if (found < cost) {
      cost = found;
      best = std::move(zones);
    }
    if (cost == Cost{ 0, 0 }) {
      break;
    }
  }
  return best;
}

// With `aKeepPreviousZones`, a shape that has a previous zone may be placed
// only there.
SearchResult
SearchZones(const Capacity& aCapacity,
            const std::vector<ShapeItem>& aItems,
            bool aKeepPreviousZones,
            Assignment& aZones)
{
  std::vector<SearchItem> items;
  for (const ShapeItem& it : aItems) {
    SearchItem item{ it.shape, {} };
    if (it.requiredZone != kNoZone) {
      item.zones = { it.requiredZone };
    } else if (it.previousZone != kNoZone) {
      item.zones = { it.previousZone };
    }
    if (it.requiredZone == kNoZone &&
        (it.previousZone == kNoZone || !aKeepPreviousZones)) {
      for (size_t n = 0; n < aCapacity.ZoneCount(); ++n) {
        if (n != it.previousZone) {
          item.zones.push_back(n);
        }
      }
    }
    items.push_back(std::move(item));
  }
  return SearchPacking(aCapacity, items, {}, aZones);
}

// Returns an assignment with few moved shapes. If no complete one is found,
// returns the greedy assignment that leaves the fewest accelerators unplaced.
// `aConclusive` tells whether an incomplete result is proven to be unavoidable.
// If the caller has already set it, the exhaustive searches are skipped.
Assignment
Assign(const Document& aDocument,
       const Capacity& aCapacity,
       const std::vector<ShapeItem>& aItems,
       bool& aConclusive)
{
  Assignment best = BestGreedyAssignment(aDocument, aCapacity, aItems);
  Cost cost = CostOf(aItems, best);
  if (cost == Cost{ 0, 0 } || aConclusive) {
    return best;
  }
  Assignment found;
  if (cost.second > 0 &&
      SearchZones(aCapacity, aItems, true, found) == SearchResult::kFound) {
    return found;
  }
  if (cost.first == 0) {
    return best;
  }
  SearchResult result = SearchZones(aCapacity, aItems, false, found);
  aConclusive = result != SearchResult::kUndecided;
  return result == SearchResult::kFound ? found : best;
}

// Reports a fault for each zone, and for the whole document, in which the
// guarantees need more accelerators than the racks declare.
void
CheckTotals(const Document& aDocument,
            const Capacity& aCapacity,
            const std::vector<ShapeItem>& aItems,
            Faults& aFaults)
{
  std::vector<uint64_t> requiredByZone(aCapacity.ZoneCount());
  uint64_t sum = 0;
  uint64_t declared = 0;
  for (const ShapeItem& it : aItems) {
    sum += it.shape.accelerators.Value();
    if (it.requiredZone != kNoZone) {
      requiredByZone[it.requiredZone] += it.shape.accelerators.Value();
    }
  }
  auto check = [&](uint64_t aRequested,
                   uint64_t aDeclared,
                   const std::string& aLocation) {
    if (aRequested > aDeclared) {
      aFaults.push_back(
        { "/workspaces",
          std::to_string(aRequested) + " guaranteed accelerators" + aLocation,
          "at most the " + std::to_string(aDeclared) + " declared in /racks, " +
            std::to_string(aRequested - aDeclared) + " fewer" });
    }
  };
  for (size_t n = 0; n < requiredByZone.size(); ++n) {
    declared += aCapacity.TotalIn(n);
    check(requiredByZone[n],
          aCapacity.TotalIn(n),
          " in zone " + aDocument.zones[n].Value());
  }
  check(sum, declared, "");
}

bool
FitsEmptyZone(const Capacity& aEmpty, const ShapeItem& aItem)
{
  for (size_t zone = 0; zone < aEmpty.ZoneCount(); ++zone) {
    if ((aItem.requiredZone == kNoZone || aItem.requiredZone == zone) &&
        aEmpty.Fit(aItem.shape, zone)) {
      return true;
    }
  }
  return false;
}

// The largest number of accelerators that one shape of the given scope can have
// in a zone without other shapes. An estimate: a remainder on a worker of
// another size is not included.
uint64_t
LargestShapeSize(const Capacity& aEmpty,
                 TopologyScope aScope,
                 size_t aRequiredZone)
{
  uint64_t largest = 0;
  for (size_t zone = 0; zone < aEmpty.ZoneCount(); ++zone) {
    if (aRequiredZone != kNoZone && aRequiredZone != zone) {
      continue;
    }
    std::map<uint32_t, uint64_t> bySize;
    for (size_t it : aEmpty.RacksOf(zone)) {
      const internal::RackState& rack = aEmpty.Racks()[it];
      uint64_t size = rack.acceleratorsPerWorker;
      if (aScope == TopologyScope::kRack) {
        size = rack.freeAccelerators;
      } else if (aScope == TopologyScope::kZone) {
        size = bySize[rack.acceleratorsPerWorker] += rack.freeAccelerators;
      }
      largest = std::max(largest, size);
    }
  }
  return largest;
}

Fault
DescribeUnplaced(const Document& aDocument,
                 const Capacity& aEmpty,
                 const ShapeItem& aItem,
                 uint32_t aUnplaced,
                 bool aConclusive)
{
  const Guarantee& guarantee =
    aDocument.workspaces[aItem.workspace].guarantees[aItem.guarantee];
  uint32_t size = aItem.shape.accelerators.Value();
  std::string topologyScope = TopologyScopeName(aItem.shape.topologyScope);
  std::string path = "/workspaces/" + std::to_string(aItem.workspace) +
                     "/guarantees/" + std::to_string(aItem.guarantee);
  uint64_t largest =
    LargestShapeSize(aEmpty, aItem.shape.topologyScope, aItem.requiredZone);
  // `largest` omits a remainder on a worker of another size, which can add less
  // than the accelerators of one worker. A shape above `largest` is therefore
  // checked by placement.
  if (size > largest && !FitsEmptyZone(aEmpty, aItem)) {
    return { path + "/shape/accelerators",
             std::to_string(size),
             "at most " + std::to_string(largest) + ", the most that one " +
               topologyScope + " declares, " + std::to_string(size - largest) +
               " fewer" };
  }
  return { path + "/count",
           std::to_string(guarantee.count) + " shapes of " +
             std::to_string(size) + " accelerators in one " + topologyScope,
           "at most " + std::to_string(guarantee.count - aUnplaced) +
             " next to the other guarantees, " +
             std::to_string(uint64_t(aUnplaced) * size) +
             " accelerators fewer (" +
             (aConclusive ? "no packing holds all guarantees"
                          : "none found by the heuristic for large documents") +
             ")" };
}

void
ReportUnplaced(const Document& aDocument,
               const Capacity& aEmpty,
               const std::vector<ShapeItem>& aItems,
               const Assignment& aZones,
               bool aConclusive,
               Faults& aFaults)
{
  for (size_t n = 0; n < aItems.size();) {
    const ShapeItem& first = aItems[n];
    uint32_t unplaced = 0;
    for (; n < aItems.size() && aItems[n].workspace == first.workspace &&
           aItems[n].guarantee == first.guarantee;
         ++n) {
      unplaced += aZones[n] == kNoZone ? 1 : 0;
    }
    if (unplaced > 0) {
      aFaults.push_back(
        DescribeUnplaced(aDocument, aEmpty, first, unplaced, aConclusive));
    }
  }
}

} // namespace

PlanOutcome
PlanGuarantees(const Document& aDocument, const GuaranteePlan* aPrevious)
{
  Capacity capacity(aDocument);
  std::vector<ShapeItem> items = ExpandGuarantees(aDocument, aPrevious);
  PlanOutcome outcome;
  CheckTotals(aDocument, capacity, items, outcome.faults);
  bool conclusive = !outcome.faults.empty();
  Assignment zones = Assign(aDocument, capacity, items, conclusive);
  if (CostOf(items, zones).first > 0) {
    ReportUnplaced(
      aDocument, capacity, items, zones, conclusive, outcome.faults);
    return outcome;
  }
  for (size_t n = 0; n < items.size(); ++n) {
    outcome.plan.shapes.push_back({ aDocument.workspaces[items[n].workspace].id,
                                    items[n].shape,
                                    aDocument.zones[zones[n]] });
  }
  return outcome;
}

} // namespace limpetwood::model
