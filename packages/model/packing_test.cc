// Tests the packing rule of guaranteed shapes: a shape larger than a worker
// needs whole unused workers, and its remainder needs another worker. If
// scattered accelerators counted, a plan would promise shapes that no gang can
// use.

#include "model/internal/packing.h"

#include <gtest/gtest.h>

namespace limpetwood::model::internal {
namespace {

// One rack of workers with 4 accelerators each. `aUsed` contains the number of
// accelerators in use for each worker.
Capacity
OneRack(std::vector<uint32_t> aUsed)
{
  Document document;
  document.zones = { ZoneId("z") };
  document.racks = { { RackId("r"),
                       ZoneId("z"),
                       static_cast<uint32_t>(aUsed.size()),
                       Accelerators(4),
                       8,
                       1024 } };
  Capacity capacity(document);
  for (uint32_t it : aUsed) {
    if (it > 0) {
      capacity.Apply({ { /*rack=*/0,
                         /*wholeWorkers=*/0,
                         /*remainder=*/it,
                         /*remainderWorkerFree=*/4 } });
    }
  }
  return capacity;
}

bool
Fits(const Capacity& aCapacity, uint32_t aSize, TopologyScope aScope)
{
  return aCapacity.Fit({ Accelerators(aSize), aScope }, 0).has_value();
}

TEST(Capacity, LargeShapeNeedsWholeWorkers)
{
  Capacity scattered = OneRack({ 3, 3, 3, 3 });
  EXPECT_EQ(scattered.FreeIn(0), 4U);
  EXPECT_FALSE(Fits(scattered, 4, TopologyScope::kRack));
  EXPECT_FALSE(Fits(scattered, 4, TopologyScope::kZone));
  EXPECT_TRUE(Fits(OneRack({ 4, 4, 4, 0 }), 4, TopologyScope::kRack));
}

// Guards against splitting an unused worker for a remainder that needs another
// worker.
TEST(Capacity, RemainderIsNotTakenFromAWholeWorker)
{
  Capacity capacity = OneRack({ 2, 2, 0 });
  EXPECT_TRUE(Fits(capacity, 6, TopologyScope::kRack));
  EXPECT_FALSE(Fits(capacity, 7, TopologyScope::kRack));
  EXPECT_TRUE(Fits(capacity, 6, TopologyScope::kZone));
  EXPECT_FALSE(Fits(capacity, 7, TopologyScope::kZone));
}

// Guards against an undo that leaves accelerators allocated.
TEST(Capacity, UndoRestoresTheState)
{
  Capacity capacity = OneRack({ 2, 0, 0 });
  std::vector<uint32_t> before = capacity.Racks()[0].workersByFree;
  auto placement = capacity.Fit({ Accelerators(9), TopologyScope::kRack }, 0);
  ASSERT_TRUE(placement.has_value());
  capacity.Apply(*placement);
  EXPECT_EQ(capacity.FreeIn(0), 1U);
  capacity.Undo(*placement);
  EXPECT_EQ(capacity.Racks()[0].workersByFree, before);
  EXPECT_EQ(capacity.FreeIn(0), 10U);
}

} // namespace
} // namespace limpetwood::model::internal
