// Tracks the free accelerators of the declared racks and finds placements for
// shapes.
//
// Packing rule: a shape that is not larger than a worker takes accelerators of
// one worker, regardless of its topology scope. A larger shape takes whole
// workers of one size, plus the remainder on one more worker. All of them are
// in one rack, or in one zone if the scope is `kZone`. A shape placed by this
// rule is usable by every gang in which the accelerators per member are a
// divisor of the accelerators per worker.

#pragma once

#include "model/document.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace limpetwood::model::internal {

// Free capacity of one rack.
struct RackState
{
  size_t zone = 0;
  uint32_t acceleratorsPerWorker = 0;
  uint32_t workers = 0;
  // Number of workers, indexed by their free accelerators from 0 to
  // `acceleratorsPerWorker`.
  std::vector<uint32_t> workersByFree;
  uint64_t freeAccelerators = 0;

  uint32_t FreeWorkers() const { return workersByFree[acceleratorsPerWorker]; }
};

// Accelerators taken in one rack: those of `wholeWorkers` unused workers, and
// `remainder` accelerators of one worker, which has `remainderWorkerFree` free
// accelerators before the allocation.
struct RackAllocation
{
  size_t rack = 0;
  uint32_t wholeWorkers = 0;
  uint32_t remainder = 0;
  uint32_t remainderWorkerFree = 0;
};

using Placement = std::vector<RackAllocation>;

// Free capacity of all racks. Zones and racks are identified by their index in
// the document.
class Capacity
{
public:
  explicit Capacity(const Document& aDocument);

  // Returns a best-fit placement in a zone: one that leaves the fewest free
  // accelerators on the worker that provides the remainder.
  std::optional<Placement> Fit(const Shape& aShape, size_t aZone) const;

  // Returns all placements that lead to different capacity states, for the
  // exhaustive search. For scope `kZone` the list is complete only if no shape
  // of scope `kWorker` or `kRack` is placed afterwards.
  std::vector<Placement> Candidates(const Shape& aShape, size_t aZone) const;

  void Apply(const Placement& aPlacement);
  void Undo(const Placement& aPlacement);

  uint64_t FreeIn(size_t aZone) const { return mZoneFree[aZone]; }
  uint64_t TotalIn(size_t aZone) const { return mZoneTotal[aZone]; }
  size_t ZoneCount() const { return mRacksByZone.size(); }
  const std::vector<RackState>& Racks() const { return mRacks; }
  const std::vector<size_t>& RacksOf(size_t aZone) const
  {
    return mRacksByZone[aZone];
  }

private:
  // Distinct worker sizes, in accelerators, in a zone. The largest comes first,
  // because a shape needs fewer workers of that size.
  std::set<uint32_t, std::greater<>> WorkerSizesOf(size_t aZone) const;
  std::optional<RackAllocation> FitInRack(const Shape& aShape,
                                          size_t aRack) const;
  // Placements over several racks of a zone with whole workers of one size.
  // They differ only in the worker that provides the remainder.
  std::vector<Placement> MultiRackCandidates(
    const Shape& aShape,
    size_t aZone,
    uint32_t aAcceleratorsPerWorker) const;

  std::vector<RackState> mRacks;
  // Indexes of the racks that have accelerators, by zone.
  std::vector<std::vector<size_t>> mRacksByZone;
  std::vector<uint64_t> mZoneFree;
  std::vector<uint64_t> mZoneTotal;
};

} // namespace limpetwood::model::internal
