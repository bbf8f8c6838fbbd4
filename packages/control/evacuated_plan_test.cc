// Tests the guarantees while zones are evacuated.

#include "control/evacuated_plan.h"

#include <gtest/gtest.h>

namespace limpetwood::control {
namespace {

// Zones a and b with four workers of eight accelerators each. A workspace is
// guaranteed `aCount` workers, in zone `aZone` if it is not empty.
model::PlannedDocument
TwoZones(int aCount, const std::string& aZone = "")
{
  std::string zone = aZone.empty() ? "" : R"("zone":")" + aZone + R"(",)";
  auto parsed = model::ParseDocument(
    R"({"zones":["a","b"],"racks":[
      {"id":"r1","zone":"a","workers":4,"acceleratorsPerWorker":8,
       "coresPerWorker":64,"memoryMbPerWorker":100000},
      {"id":"r2","zone":"b","workers":4,"acceleratorsPerWorker":8,
       "coresPerWorker":64,"memoryMbPerWorker":100000}],
    "workspaces":[{"id":"w","guarantees":[{)" +
    zone + R"("shape":{"accelerators":8,"closeness":"worker"},"count":)" +
    std::to_string(aCount) +
    R"(}],"quota":{"accelerators":64,"jobs":10,"requests":10}}],
    "services":[]})");
  EXPECT_TRUE(parsed.Ok());
  return parsed.value;
}

// Shapes that stay pinned to an evacuated zone could not be reclaimed anywhere.
TEST(EvacuatedPlan, ShapesMoveToTheRemainingZones)
{
  model::PlannedDocument planned = TwoZones(4);
  EvacuatedPlan plan = PlanWithout({ ZoneId("a") }, planned);
  EXPECT_TRUE(plan.missing.empty());
  ASSERT_EQ(plan.plan.shapes.size(), 4U);
  for (const model::PinnedShape& it : plan.plan.shapes) {
    EXPECT_EQ(it.zone, ZoneId("b"));
  }
}

// Without evacuated zones, every deployment must keep the accepted plan.
TEST(EvacuatedPlan, IsTheAcceptedOneWithoutEvacuation)
{
  model::PlannedDocument planned = TwoZones(5);
  // Not a plan that would be computed for the document: zone b has four
  // workers.
  for (model::PinnedShape& it : planned.plan.shapes) {
    it.zone = ZoneId("b");
  }
  EvacuatedPlan plan = PlanWithout({}, planned);
  EXPECT_EQ(plan.plan, planned.plan);
  EXPECT_TRUE(plan.missing.empty());
}

// The operators must learn that the remaining zones are too small, or that a
// guarantee requires the evacuated zone. The shapes of the remaining zones must
// stay provided.
TEST(EvacuatedPlan, MissingGuaranteesAreReported)
{
  model::PlannedDocument planned = TwoZones(5);
  EvacuatedPlan plan = PlanWithout({ ZoneId("a") }, planned);
  EXPECT_FALSE(plan.missing.empty());
  EXPECT_EQ(plan.plan, planned.plan);
  EXPECT_FALSE(PlanWithout({ ZoneId("a") }, TwoZones(1, "a")).missing.empty());
  EXPECT_TRUE(PlanWithout({ ZoneId("b") }, TwoZones(1, "a")).missing.empty());
}

} // namespace
} // namespace limpetwood::control
