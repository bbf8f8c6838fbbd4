// Exhaustive search for a packing, used if no greedy strategy finds one.

#pragma once

#include "model/internal/packing.h"

#include <cstddef>
#include <vector>

namespace limpetwood::model::internal {

// A shape to place.
struct SearchItem
{
  Shape shape;
  // Zones to try, in order of preference.
  std::vector<size_t> zones;
};

enum class SearchResult
{
  kFound,
  kImpossible,
  // The input exceeds the limits, or the node limit was reached before the
  // search finished.
  kUndecided,
};

struct SearchLimits
{
  // A node is one shape tried in one placement. Its cost grows with the number
  // of racks.
  size_t maxNodes = 10000;
  // Memory in bytes for states that are known to fail. States that do not fit
  // are not recorded and may be searched again.
  size_t maxBytes = 16U << 20U;
  size_t maxItems = 256;
  size_t maxRacks = 32;
};

// Searches for a packing of all items. On `kFound`, `aZones` contains the index
// of the zone of each item.
SearchResult
SearchPacking(const Capacity& aCapacity,
              const std::vector<SearchItem>& aItems,
              const SearchLimits& aLimits,
              std::vector<size_t>& aZones);

} // namespace limpetwood::model::internal
