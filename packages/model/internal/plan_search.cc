#include "model/internal/plan_search.h"

#include <algorithm>
#include <string>
#include <tuple>
#include <unordered_set>

namespace limpetwood::model::internal {

namespace {

class Search
{
public:
  Search(const Capacity& aCapacity,
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
    // Zone shapes go last: `Capacity::Choices` relies on it. Among the others,
    // large shapes have the fewest choices and fail early.
    std::stable_sort(mOrder.begin(), mOrder.end(), [&](size_t x, size_t y) {
      return KeyOf(mItems[x]) < KeyOf(mItems[y]);
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
  static std::tuple<bool, uint32_t, TopologyScope, std::vector<size_t>> KeyOf(
    const SearchItem& aItem)
  {
    return { aItem.shape.topologyScope == TopologyScope::kZone,
             ~aItem.shape.accelerators.Value(),
             aItem.shape.topologyScope,
             aItem.zones };
  }

  bool Place(size_t aNext)
  {
    if (aNext == mOrder.size()) {
      return true;
    }
    if (!mFailed.empty() && mFailed.contains(StateKey(aNext))) {
      return false;
    }
    size_t item = mOrder[aNext];
    for (size_t zone : mItems[item].zones) {
      for (const Placement& it : mCapacity.Choices(mItems[item].shape, zone)) {
        if (++mNodes >= mLimits.maxNodes) {
          return false;
        }
        mCapacity.Apply(it);
        mZones[item] = zone;
        bool placed = Place(aNext + 1);
        mCapacity.Undo(it);
        if (placed) {
          return true;
        }
      }
    }
    Remember(StateKey(aNext));
    return false;
  }

  void Remember(std::string aKey)
  {
    mFailedBytes += aKey.size();
    if (mFailedBytes <= mLimits.maxBytes) {
      mFailed.insert(std::move(aKey));
    }
  }

  // Equal for states that differ only in the order of racks within a zone.
  std::string StateKey(size_t aNext) const
  {
    std::string key = std::to_string(aNext);
    for (size_t zone = 0; zone < mCapacity.ZoneCount(); ++zone) {
      std::vector<std::vector<uint32_t>> states;
      for (size_t it : mCapacity.RacksOf(zone)) {
        states.push_back(mCapacity.Racks()[it].byFree);
      }
      std::sort(states.begin(), states.end());
      key += '|';
      for (const auto& state : states) {
        key += ';';
        for (uint32_t n : state) {
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
  std::unordered_set<std::string> mFailed;
  size_t mFailedBytes = 0;
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
  return Search(aCapacity, aItems, aLimits, aZones).Run();
}

} // namespace limpetwood::model::internal
