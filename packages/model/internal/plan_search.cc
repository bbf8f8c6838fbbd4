// Depth-first search over placements with a record of failed states.

#include "model/internal/plan_search.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <unordered_set>

namespace limpetwood::model::internal {

namespace {

class PackingSearch
{
public:
  PackingSearch(const Capacity& aCapacity,
                const std::vector<SearchItem>& aItems,
                const SearchLimits& aLimits,
                std::vector<size_t>& aZones)
    : mCapacity(aCapacity)
    , mItems(aItems)
    , mLimits(aLimits)
    , mZones(aZones)
  {
    mZones.assign(aItems.size(), 0);
    for (size_t n = 0; n < aItems.size(); ++n) {
      mOrder.push_back(n);
    }
    // Shapes of scope `kZone` are placed last, as `Capacity::Candidates`
    // requires. Among the others, large shapes come first: they have the fewest
    // candidates, so infeasible branches fail early.
    std::stable_sort(mOrder.begin(), mOrder.end(), [&](size_t x, size_t y) {
      return SortKey(mItems[x]) < SortKey(mItems[y]);
    });
  }

  SearchResult Run()
  {
    if (Place(0)) {
      return SearchResult::kFound;
    }
    return mNodes >= mLimits.maxNodes ? SearchResult::kUndecided
                                      : SearchResult::kImpossible;
  }

private:
  static std::tuple<bool, uint32_t, TopologyScope, std::vector<size_t>> SortKey(
    const SearchItem& aItem)
  {
    return { aItem.shape.topologyScope == TopologyScope::kZone,
             ~aItem.shape.accelerators.Value(),
             aItem.shape.topologyScope,
             aItem.zones };
  }

  // Places all items from position `aDepth` of `mOrder` on. Returns false also
  // if the node limit is reached.
  bool Place(size_t aDepth)
  {
    if (aDepth == mOrder.size()) {
      return true;
    }
    if (!mFailedStates.empty() && mFailedStates.contains(StateKey(aDepth))) {
      return false;
    }
    size_t item = mOrder[aDepth];
    for (size_t zone : mItems[item].zones) {
      for (const Placement& it :
           mCapacity.Candidates(mItems[item].shape, zone)) {
        if (++mNodes >= mLimits.maxNodes) {
          return false;
        }
        mCapacity.Apply(it);
        mZones[item] = zone;
        bool placed = Place(aDepth + 1);
        mCapacity.Undo(it);
        if (placed) {
          return true;
        }
      }
    }
    RecordFailedState(StateKey(aDepth));
    return false;
  }

  void RecordFailedState(std::string aKey)
  {
    mFailedStateBytes += aKey.size();
    if (mFailedStateBytes <= mLimits.maxBytes) {
      mFailedStates.insert(std::move(aKey));
    }
  }

  // Identifies a search state. States that differ only in the order of racks
  // within a zone have the same key.
  std::string StateKey(size_t aDepth) const
  {
    std::string key = std::to_string(aDepth);
    for (size_t zone = 0; zone < mCapacity.ZoneCount(); ++zone) {
      std::vector<std::vector<uint32_t>> states;
      for (size_t it : mCapacity.RacksOf(zone)) {
        states.push_back(mCapacity.Racks()[it].workersByFree);
      }
      std::sort(states.begin(), states.end());
      key += '|';
      for (const auto& state : states) {
        key += ';';
        for (uint32_t n : state) {
          // Counts are at most `kMaxWorkersPerRack`, so two bytes suffice.
          key.append(reinterpret_cast<const char*>(&n), 2);
        }
      }
    }
    return key;
  }

  Capacity mCapacity;
  const std::vector<SearchItem>& mItems;
  SearchLimits mLimits;
  std::vector<size_t>& mZones;
  std::vector<size_t> mOrder;
  std::unordered_set<std::string> mFailedStates;
  size_t mFailedStateBytes = 0;
  size_t mNodes = 0;
};

} // namespace

SearchResult
SearchPacking(const Capacity& aCapacity,
              const std::vector<SearchItem>& aItems,
              const SearchLimits& aLimits,
              std::vector<size_t>& aZones)
{
  if (aItems.size() > aLimits.maxItems ||
      aCapacity.Racks().size() > aLimits.maxRacks) {
    return SearchResult::kUndecided;
  }
  return PackingSearch(aCapacity, aItems, aLimits, aZones).Run();
}

} // namespace limpetwood::model::internal
