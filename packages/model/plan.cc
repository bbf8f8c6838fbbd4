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

constexpr size_t kNone = SIZE_MAX;

// One instance of a guaranteed shape.
struct Item
{
  size_t workspace = 0;
  size_t guarantee = 0;
  Shape shape;
  // Zone required by the document, or `kNone`.
  size_t required = kNone;
  // Zone of the previous plan, or `kNone`.
  size_t earlier = kNone;
};

// Zone of each item, `kNone` if it has no place.
using Assignment = std::vector<size_t>;

struct Strategy
{
  // Place items with an earlier zone before the others.
  bool earlierFirst;
  // Place rack shapes before worker shapes before zone shapes; otherwise by
  // size only.
  bool byCloseness;
  // Prefer the zone that has the fewest shapes of the same workspace;
  // otherwise the fullest zone.
  bool spread;
};

constexpr Strategy kStrategies[] = {
  { true, false, true },   { true, true, true },   { true, false, false },
  { true, true, false },   { false, false, true }, { false, true, true },
  { false, false, false }, { false, true, false },
};

std::vector<Item>
ListItems(const Document& aDocument, const GuaranteePlan* aPrevious)
{
  std::map<ZoneId, size_t> zones;
  for (size_t n = 0; n < aDocument.zones.size(); ++n) {
    zones[aDocument.zones[n]] = n;
  }
  std::map<std::pair<WorkspaceId, Shape>, std::vector<size_t>> earlier;
  if (aPrevious) {
    for (const PinnedShape& it : aPrevious->shapes) {
      auto zone = zones.find(it.zone);
      if (zone != zones.end()) {
        earlier[{ it.workspace, it.shape }].push_back(zone->second);
      }
    }
  }
  std::vector<Item> items;
  for (size_t w = 0; w < aDocument.workspaces.size(); ++w) {
    const Workspace& workspace = aDocument.workspaces[w];
    for (size_t g = 0; g < workspace.guarantees.size(); ++g) {
      const Guarantee& it = workspace.guarantees[g];
      size_t required = it.zone ? zones.at(*it.zone) : kNone;
      auto& pins = earlier[{ workspace.id, it.shape }];
      for (uint32_t n = 0; n < it.count; ++n) {
        Item item{ w, g, it.shape, required, kNone };
        auto pin = required == kNone
                     ? pins.begin()
                     : std::find(pins.begin(), pins.end(), required);
        if (pin != pins.end()) {
          item.earlier = *pin;
          pins.erase(pin);
        }
        items.push_back(item);
      }
    }
  }
  return items;
}

int
ClosenessRank(TopologyScope aCloseness)
{
  switch (aCloseness) {
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
OrderOf(const std::vector<Item>& aItems, Strategy aStrategy)
{
  std::vector<size_t> order(aItems.size());
  for (size_t n = 0; n < order.size(); ++n) {
    order[n] = n;
  }
  auto key = [&](const Item& aItem) {
    // Items that can go to one zone only come before those with a choice.
    int late = aStrategy.earlierFirst && aItem.earlier == kNone ? 1 : 0;
    int rank =
      aStrategy.byCloseness ? ClosenessRank(aItem.shape.topologyScope) : 0;
    return std::tuple(late,
                      rank,
                      ~aItem.shape.accelerators.Value(),
                      aItem.required == kNone ? 1 : 0);
  };
  std::stable_sort(order.begin(), order.end(), [&](size_t x, size_t y) {
    return key(aItems[x]) < key(aItems[y]);
  });
  return order;
}

class Greedy
{
public:
  Greedy(const Document& aDocument,
         const Capacity& aCapacity,
         const std::vector<Item>& aItems)
    : mCapacity(aCapacity)
    , mItems(aItems)
    , mPinned(aDocument.workspaces.size(),
              std::vector<uint32_t>(aDocument.zones.size()))
  {
  }

  Assignment Run(Strategy aStrategy)
  {
    Assignment zones(mItems.size(), kNone);
    for (size_t it : OrderOf(mItems, aStrategy)) {
      zones[it] = Place(mItems[it], aStrategy);
    }
    return zones;
  }

private:
  size_t Place(const Item& aItem, Strategy aStrategy)
  {
    for (size_t zone : ZonesFor(aItem, aStrategy)) {
      if (mFull.contains({ aItem.shape, zone })) {
        continue;
      }
      std::optional<Placement> placement = mCapacity.Fit(aItem.shape, zone);
      if (placement) {
        mCapacity.Apply(*placement);
        ++mPinned[aItem.workspace][zone];
        return zone;
      }
      // Capacity only shrinks, so the shape never fits here again.
      mFull[{ aItem.shape, zone }] = true;
    }
    return kNone;
  }

  std::vector<size_t> ZonesFor(const Item& aItem, Strategy aStrategy) const
  {
    if (aItem.required != kNone) {
      return { aItem.required };
    }
    std::vector<size_t> zones(mCapacity.ZoneCount());
    for (size_t n = 0; n < zones.size(); ++n) {
      zones[n] = n;
    }
    const auto& pinned = mPinned[aItem.workspace];
    std::stable_sort(zones.begin(), zones.end(), [&](size_t x, size_t y) {
      if ((x == aItem.earlier) != (y == aItem.earlier)) {
        return x == aItem.earlier;
      }
      if (!aStrategy.spread) {
        return mCapacity.FreeIn(x) < mCapacity.FreeIn(y);
      }
      return std::tuple(pinned[x], mCapacity.FreeIn(y)) <
             std::tuple(pinned[y], mCapacity.FreeIn(x));
    });
    return zones;
  }

  Capacity mCapacity;
  const std::vector<Item>& mItems;
  // Shapes already pinned, by workspace and zone.
  std::vector<std::vector<uint32_t>> mPinned;
  std::map<std::pair<Shape, size_t>, bool> mFull;
};

// Accelerators without a place, then shapes moved from their earlier zone.
using Cost = std::pair<uint64_t, uint64_t>;

Cost
CostOf(const std::vector<Item>& aItems, const Assignment& aZones)
{
  Cost cost{ 0, 0 };
  for (size_t n = 0; n < aItems.size(); ++n) {
    if (aZones[n] == kNone) {
      cost.first += aItems[n].shape.accelerators.Value();
    }
    if (aItems[n].earlier != kNone && aItems[n].earlier != aZones[n]) {
      ++cost.second;
    }
  }
  return cost;
}

Assignment
BestGreedy(const Document& aDocument,
           const Capacity& aCapacity,
           const std::vector<Item>& aItems)
{
  Assignment best;
  Cost cost{ UINT64_MAX, 0 };
  for (Strategy it : kStrategies) {
    Assignment zones = Greedy(aDocument, aCapacity, aItems).Run(it);
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

// With `aKeepPins`, shapes may only go to their earlier zones.
SearchResult
Search(const Capacity& aCapacity,
       const std::vector<Item>& aItems,
       bool aKeepPins,
       Assignment& aZones)
{
  std::vector<SearchItem> items;
  for (const Item& it : aItems) {
    SearchItem item{ it.shape, {} };
    if (it.required != kNone) {
      item.zones = { it.required };
    } else if (it.earlier != kNone) {
      item.zones = { it.earlier };
    }
    if (it.required == kNone && (it.earlier == kNone || !aKeepPins)) {
      for (size_t n = 0; n < aCapacity.ZoneCount(); ++n) {
        if (n != it.earlier) {
          item.zones.push_back(n);
        }
      }
    }
    items.push_back(std::move(item));
  }
  return SearchPacking(aCapacity, items, {}, aZones);
}

// Finds a complete assignment that moves few shapes, or the most that fits.
// `aDecided` tells whether an incomplete result is proven to be unavoidable; if
// it is set already, the searches are left out.
Assignment
Assign(const Document& aDocument,
       const Capacity& aCapacity,
       const std::vector<Item>& aItems,
       bool& aDecided)
{
  Assignment best = BestGreedy(aDocument, aCapacity, aItems);
  Cost cost = CostOf(aItems, best);
  if (cost == Cost{ 0, 0 } || aDecided) {
    return best;
  }
  Assignment found;
  if (cost.second > 0 &&
      Search(aCapacity, aItems, true, found) == SearchResult::kFound) {
    return found;
  }
  if (cost.first == 0) {
    return best;
  }
  SearchResult result = Search(aCapacity, aItems, false, found);
  aDecided = result != SearchResult::kUndecided;
  return result == SearchResult::kFound ? found : best;
}

// Guaranteed accelerators beyond the declared ones, in all and by zone.
void
CheckSums(const Document& aDocument,
          const Capacity& aCapacity,
          const std::vector<Item>& aItems,
          Faults& aFaults)
{
  std::vector<uint64_t> required(aCapacity.ZoneCount());
  uint64_t sum = 0;
  uint64_t declared = 0;
  for (const Item& it : aItems) {
    sum += it.shape.accelerators.Value();
    if (it.required != kNone) {
      required[it.required] += it.shape.accelerators.Value();
    }
  }
  auto check = [&](uint64_t aNeed, uint64_t aHave, const std::string& aWhere) {
    if (aNeed > aHave) {
      aFaults.push_back(
        { "/workspaces",
          std::to_string(aNeed) + " guaranteed accelerators" + aWhere,
          "at most the " + std::to_string(aHave) + " declared in /racks, " +
            std::to_string(aNeed - aHave) + " fewer" });
    }
  };
  for (size_t n = 0; n < required.size(); ++n) {
    declared += aCapacity.TotalIn(n);
    check(required[n],
          aCapacity.TotalIn(n),
          " in zone " + aDocument.zones[n].Value());
  }
  check(sum, declared, "");
}

bool
FitsEmpty(const Capacity& aEmpty, const Item& aItem)
{
  for (size_t zone = 0; zone < aEmpty.ZoneCount(); ++zone) {
    if ((aItem.required == kNone || aItem.required == zone) &&
        aEmpty.Fit(aItem.shape, zone)) {
      return true;
    }
  }
  return false;
}

// The most accelerators that an empty zone offers to one shape.
uint64_t
LargestShape(const Capacity& aEmpty, TopologyScope aCloseness, size_t aRequired)
{
  uint64_t largest = 0;
  for (size_t zone = 0; zone < aEmpty.ZoneCount(); ++zone) {
    if (aRequired != kNone && aRequired != zone) {
      continue;
    }
    std::map<uint32_t, uint64_t> bySize;
    for (size_t it : aEmpty.RacksOf(zone)) {
      const internal::RackState& rack = aEmpty.Racks()[it];
      uint64_t size = rack.perWorker;
      if (aCloseness == TopologyScope::kRack) {
        size = rack.free;
      } else if (aCloseness == TopologyScope::kZone) {
        size = bySize[rack.perWorker] += rack.free;
      }
      largest = std::max(largest, size);
    }
  }
  return largest;
}

Fault
ExplainUnplaced(const Document& aDocument,
                const Capacity& aEmpty,
                const Item& aItem,
                uint32_t aUnplaced,
                bool aDecided)
{
  const Guarantee& guarantee =
    aDocument.workspaces[aItem.workspace].guarantees[aItem.guarantee];
  uint32_t size = aItem.shape.accelerators.Value();
  std::string topologyScope = TopologyScopeName(aItem.shape.topologyScope);
  std::string path = "/workspaces/" + std::to_string(aItem.workspace) +
                     "/guarantees/" + std::to_string(aItem.guarantee);
  uint64_t largest =
    LargestShape(aEmpty, aItem.shape.topologyScope, aItem.required);
  // A remainder on a worker of another size can add less than one worker.
  if (size > largest && !FitsEmpty(aEmpty, aItem)) {
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
             (aDecided ? "no packing holds all guarantees"
                       : "none found by the heuristic for large documents") +
             ")" };
}

void
ExplainAll(const Document& aDocument,
           const Capacity& aEmpty,
           const std::vector<Item>& aItems,
           const Assignment& aZones,
           bool aDecided,
           Faults& aFaults)
{
  for (size_t n = 0; n < aItems.size();) {
    const Item& first = aItems[n];
    uint32_t unplaced = 0;
    for (; n < aItems.size() && aItems[n].workspace == first.workspace &&
           aItems[n].guarantee == first.guarantee;
         ++n) {
      unplaced += aZones[n] == kNone ? 1 : 0;
    }
    if (unplaced > 0) {
      aFaults.push_back(
        ExplainUnplaced(aDocument, aEmpty, first, unplaced, aDecided));
    }
  }
}

} // namespace

PlanOutcome
PlanGuarantees(const Document& aDocument, const GuaranteePlan* aPrevious)
{
  Capacity capacity(aDocument);
  std::vector<Item> items = ListItems(aDocument, aPrevious);
  PlanOutcome outcome;
  CheckSums(aDocument, capacity, items, outcome.faults);
  bool decided = !outcome.faults.empty();
  Assignment zones = Assign(aDocument, capacity, items, decided);
  if (CostOf(items, zones).first > 0) {
    ExplainAll(aDocument, capacity, items, zones, decided, outcome.faults);
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
