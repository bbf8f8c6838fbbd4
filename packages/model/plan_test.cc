// Tests the guarantee plan. An accepted document must never guarantee more
// shapes than the declared racks can provide at the same time, and a changed
// document must not move guarantees between zones without need.

#include "model/plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace limpetwood::model {
namespace {

Rack
MakeRack(int aZone, uint32_t aWorkers, uint32_t aPerWorker, size_t aIndex)
{
  return { RackId("r" + std::to_string(aIndex)),
           ZoneId("z" + std::to_string(aZone)),
           aWorkers,
           Accelerators(aPerWorker),
           8,
           1024 };
}

Guarantee
MakeGuarantee(uint32_t aSize, TopologyScope aScope, uint32_t aCount = 1)
{
  return { { Accelerators(aSize), aScope }, aCount, std::nullopt };
}

Workspace
MakeWorkspace(std::string aId, std::vector<Guarantee> aGuarantees)
{
  Workspace workspace;
  workspace.id = WorkspaceId(std::move(aId));
  workspace.guarantees = std::move(aGuarantees);
  return workspace;
}

// Zones z0 and z1 with two racks each of two workers with 4 accelerators.
Document
TwoZones(std::vector<Workspace> aWorkspaces)
{
  Document document;
  document.zones = { ZoneId("z0"), ZoneId("z1") };
  for (size_t n = 0; n < 4; ++n) {
    document.racks.push_back(MakeRack(n < 2 ? 0 : 1, 2, 4, n));
  }
  document.workspaces = std::move(aWorkspaces);
  return document;
}

// Independent feasibility check by exhaustive search over individual workers
// instead of counts. If `aPlan` is given, each shape must fit into the zone
// that the plan assigns to it.
class ExhaustiveChecker
{
public:
  ExhaustiveChecker(const Document& aDocument, const GuaranteePlan* aPlan)
  {
    for (const Rack& it : aDocument.racks) {
      for (uint32_t n = 0; n < it.workers; ++n) {
        uint32_t size = it.acceleratorsPerWorker.Value();
        mWorkers.push_back({ it.zone.Value(), it.id.Value(), size, size });
      }
    }
    for (const Workspace& workspace : aDocument.workspaces) {
      for (const Guarantee& it : workspace.guarantees) {
        for (uint32_t n = 0; n < it.count; ++n) {
          std::string zone = it.zone ? it.zone->Value() : "";
          if (aPlan) {
            zone = aPlan->shapes.at(mShapes.size()).zone.Value();
          }
          mShapes.push_back({ it.shape, zone });
        }
      }
    }
  }

  bool Feasible() { return PlaceShape(0); }

private:
  struct Worker
  {
    std::string zone;
    std::string rack;
    uint32_t size;
    uint32_t free;
  };
  struct RequiredShape
  {
    Shape shape;
    std::string zone;
  };

  bool PlaceShape(size_t aIndex)
  {
    if (aIndex == mShapes.size()) {
      return true;
    }
    const RequiredShape& required = mShapes[aIndex];
    std::map<std::string, std::vector<size_t>> groups;
    for (size_t n = 0; n < mWorkers.size(); ++n) {
      const Worker& it = mWorkers[n];
      if (!required.zone.empty() && required.zone != it.zone) {
        continue;
      }
      bool zone = required.shape.topologyScope == TopologyScope::kZone;
      bool worker = required.shape.topologyScope == TopologyScope::kWorker;
      groups[worker ? std::to_string(n) : (zone ? it.zone : it.rack)].push_back(
        n);
    }
    uint32_t count = required.shape.accelerators.Value();
    for (const auto& [name, group] : groups) {
      // The largest workers of `RandomDocument` have 4 accelerators.
      for (uint32_t size = 1; size <= 4; ++size) {
        if (PlaceWholeWorkers(
              aIndex, group, 0, size, count / size, count % size)) {
          return true;
        }
      }
    }
    return false;
  }

  // Takes `aWholeWorkers` free workers of `aSize`, then the remainder on any
  // worker.
  bool PlaceWholeWorkers(size_t aIndex,
                         const std::vector<size_t>& aGroup,
                         size_t aFrom,
                         uint32_t aSize,
                         uint32_t aWholeWorkers,
                         uint32_t aRemainder)
  {
    if (aWholeWorkers == 0) {
      return PlaceRemainder(aIndex, aGroup, aSize, aRemainder);
    }
    for (size_t n = aFrom; n < aGroup.size(); ++n) {
      Worker& it = mWorkers[aGroup[n]];
      if (it.size != aSize || it.free != aSize) {
        continue;
      }
      it.free = 0;
      bool placed = PlaceWholeWorkers(
        aIndex, aGroup, n + 1, aSize, aWholeWorkers - 1, aRemainder);
      it.free = aSize;
      if (placed) {
        return true;
      }
    }
    return false;
  }

  bool PlaceRemainder(size_t aIndex,
                      const std::vector<size_t>& aGroup,
                      uint32_t aSize,
                      uint32_t aRemainder)
  {
    if (aRemainder == 0) {
      return PlaceShape(aIndex + 1);
    }
    // A worker of this size must exist in the group even if no whole worker is
    // taken.
    if (std::none_of(aGroup.begin(), aGroup.end(), [&](size_t x) {
          return mWorkers[x].size == aSize;
        })) {
      return false;
    }
    std::set<std::tuple<std::string, uint32_t, uint32_t>> seen;
    for (size_t n : aGroup) {
      Worker& it = mWorkers[n];
      if (it.free < aRemainder ||
          !seen.insert({ it.rack, it.size, it.free }).second) {
        continue;
      }
      it.free -= aRemainder;
      bool placed = PlaceShape(aIndex + 1);
      it.free += aRemainder;
      if (placed) {
        return true;
      }
    }
    return false;
  }

  std::vector<Worker> mWorkers;
  std::vector<RequiredShape> mShapes;
};

std::vector<std::string>
Zones(const PlanOutcome& aOutcome)
{
  std::vector<std::string> zones;
  for (const PinnedShape& it : aOutcome.plan.shapes) {
    zones.push_back(it.zone.Value());
  }
  return zones;
}

using Strings = std::vector<std::string>;

// Small random documents, from nearly empty to overcommitted.
Document
RandomDocument()
{
  Document document;
  int zones = *rc::gen::inRange(1, 3);
  for (int n = 0; n < zones; ++n) {
    document.zones.emplace_back("z" + std::to_string(n));
  }
  auto racks = *rc::gen::inRange<size_t>(1, 5);
  for (size_t n = 0; n < racks; ++n) {
    document.racks.push_back(MakeRack(*rc::gen::inRange(0, zones),
                                      *rc::gen::inRange(1U, 4U),
                                      *rc::gen::inRange(1U, 5U),
                                      n));
  }
  auto shapes = *rc::gen::inRange<size_t>(1, 5);
  for (size_t n = 0; n < shapes; ++n) {
    Guarantee it = MakeGuarantee(
      *rc::gen::inRange(1U, *rc::gen::element(4U, 11U)),
      *rc::gen::element(
        TopologyScope::kWorker, TopologyScope::kRack, TopologyScope::kZone),
      *rc::gen::inRange(1U, 4U));
    if (*rc::gen::inRange(0, 4) == 0) {
      it.zone = document.zones[0];
    }
    document.workspaces.push_back(
      MakeWorkspace("w" + std::to_string(n), { it }));
  }
  return document;
}

// An accepted infeasible document would break a guarantee later; a rejected
// feasible document would be refused although it could be served.
RC_GTEST_PROP(PlanGuarantees, AgreesWithAnExhaustiveCheck, ())
{
  Document document = RandomDocument();
  // Arbitrary previous zones may change the order of placement, but never the
  // feasibility.
  GuaranteePlan previous;
  for (const Workspace& it : document.workspaces) {
    if (*rc::gen::arbitrary<bool>()) {
      previous.shapes.push_back(
        { it.id, it.guarantees[0].shape, *rc::gen::elementOf(document.zones) });
    }
  }
  PlanOutcome outcome = PlanGuarantees(document, &previous);
  RC_TAG(outcome.faults.empty() ? "feasible" : "infeasible");
  RC_ASSERT(outcome.faults.empty() ==
            ExhaustiveChecker(document, nullptr).Feasible());
  if (outcome.faults.empty()) {
    RC_ASSERT(ExhaustiveChecker(document, &outcome.plan).Feasible());
  }
}

// Guards against needless moves when capacity is added.
RC_GTEST_PROP(PlanGuarantees, KeepsEarlierZonesWhenCapacityGrows, ())
{
  Document document = RandomDocument();
  PlanOutcome first = PlanGuarantees(document);
  RC_PRE(first.faults.empty());
  document.racks.push_back(MakeRack(0, 2, 4, 9));
  document.racks.front().workers += 1;
  RC_ASSERT(PlanGuarantees(document, &first.plan).plan == first.plan);
}

// Guards against needless moves when nothing changes.
RC_GTEST_PROP(PlanGuarantees, UnchangedDocumentKeepsItsPlan, ())
{
  Document document = RandomDocument();
  PlanOutcome first = PlanGuarantees(document);
  RC_PRE(first.faults.empty());
  RC_ASSERT(PlanGuarantees(document, &first.plan).plan == first.plan);
}

// Guards against needless moves when a workspace is removed.
RC_GTEST_PROP(PlanGuarantees, RemovedWorkspaceMovesNoOther, ())
{
  Document document = RandomDocument();
  PlanOutcome first = PlanGuarantees(document);
  RC_PRE(first.faults.empty());
  GuaranteePlan expected = first.plan;
  WorkspaceId removed = document.workspaces.front().id;
  document.workspaces.erase(document.workspaces.begin());
  std::erase_if(expected.shapes,
                [&](const PinnedShape& x) { return x.workspace == removed; });
  RC_ASSERT(PlanGuarantees(document, &first.plan).plan == expected);
}

// If all guarantees of a workspace were in one zone, the loss of that zone
// would take all of them.
TEST(PlanGuarantees, SpreadsAWorkspaceOverZones)
{
  PlanOutcome outcome = PlanGuarantees(TwoZones(
    { MakeWorkspace("a", { MakeGuarantee(4, TopologyScope::kWorker, 4) }) }));
  EXPECT_EQ(Zones(outcome), (Strings{ "z0", "z1", "z0", "z1" }));
}

// Free accelerators in total do not suffice: after the first guarantee each of
// the 8 workers has one left, so no worker has the two of the second guarantee.
TEST(PlanGuarantees, CountsShapesInsteadOfAccelerators)
{
  Document document = TwoZones(
    { MakeWorkspace("a", { MakeGuarantee(3, TopologyScope::kWorker, 8) }),
      MakeWorkspace("b", { MakeGuarantee(2, TopologyScope::kRack) }) });
  PlanOutcome outcome = PlanGuarantees(document);
  ASSERT_EQ(outcome.faults.size(), 1U);
  EXPECT_EQ(outcome.faults[0].path, "/workspaces/1/guarantees/0/count");
  EXPECT_EQ(outcome.faults[0].expected,
            "at most 0 next to the other guarantees, 2 accelerators fewer (no "
            "packing holds all guarantees)");
}

// Guards against faults that do not tell the operator how much capacity is
// missing.
TEST(PlanGuarantees, ShortageIsStatedWithItsSize)
{
  PlanOutcome outcome = PlanGuarantees(
    TwoZones({ MakeWorkspace("a",
                             { MakeGuarantee(4, TopologyScope::kWorker, 11),
                               MakeGuarantee(5, TopologyScope::kWorker),
                               MakeGuarantee(17, TopologyScope::kZone) }) }));
  Strings lines;
  for (const Fault& it : outcome.faults) {
    lines.push_back(it.path + "|" + it.value + "|" + it.expected);
  }
  EXPECT_EQ(
    lines,
    (Strings{
      "/workspaces|66 guaranteed accelerators|at most the 32 declared in "
      "/racks, 34 fewer",
      "/workspaces/0/guarantees/0/count|11 shapes of 4 accelerators in "
      "one worker|at most 8 next to the other guarantees, 12 "
      "accelerators fewer (no packing holds all guarantees)",
      "/workspaces/0/guarantees/1/shape/accelerators|5|at most 4, the "
      "most that one worker declares, 1 fewer",
      "/workspaces/0/guarantees/2/shape/accelerators|17|at most 16, the "
      "most that one zone declares, 1 fewer" }));
}

size_t
CountMovedShapes(const PlanOutcome& aFrom, const PlanOutcome& aTo)
{
  size_t moved = 0;
  for (size_t n = 0; n < aFrom.plan.shapes.size(); ++n) {
    moved += aFrom.plan.shapes[n].zone == aTo.plan.shapes.at(n).zone ? 0 : 1;
  }
  return moved;
}

// The new guarantee needs a whole zone, so exactly one of the two existing
// shapes has to move.
TEST(PlanGuarantees, MovesOnlyWhatNoLongerFits)
{
  Document document = TwoZones(
    { MakeWorkspace("a", { MakeGuarantee(4, TopologyScope::kWorker) }),
      MakeWorkspace("b", { MakeGuarantee(4, TopologyScope::kWorker) }) });
  PlanOutcome first = PlanGuarantees(document);
  ASSERT_EQ(Zones(first), (Strings{ "z0", "z1" }));
  document.workspaces.push_back(
    MakeWorkspace("c", { MakeGuarantee(16, TopologyScope::kZone) }));
  PlanOutcome second = PlanGuarantees(document, &first.plan);
  ASSERT_TRUE(second.faults.empty());
  EXPECT_EQ(CountMovedShapes(first, second), 1U);
}

// Best fit by decreasing size cannot pack 6+2+2 and 5+3+2 into two workers of
// 10 accelerators, so only the exhaustive search finds that z0 still suffices.
// Without it, shapes would move to the new zone.
TEST(PlanGuarantees, NewZoneMovesNoShapeOutOfAFullZone)
{
  Document document;
  document.zones = { ZoneId("z0") };
  document.racks = { MakeRack(0, 2, 10, 0) };
  Workspace workspace = MakeWorkspace("a", {});
  for (uint32_t size : { 6, 5, 3, 2, 2, 2 }) {
    workspace.guarantees.push_back(MakeGuarantee(size, TopologyScope::kWorker));
  }
  document.workspaces = { workspace };
  PlanOutcome first = PlanGuarantees(document);
  ASSERT_TRUE(first.faults.empty());
  document.zones.emplace_back("z1");
  document.racks.push_back(MakeRack(1, 1, 10, 1));
  EXPECT_EQ(PlanGuarantees(document, &first.plan).plan, first.plan);
}

// A zone that the document requires takes precedence over the previous zone.
TEST(PlanGuarantees, RequiredZoneReplacesTheEarlierOne)
{
  Document document = TwoZones(
    { MakeWorkspace("a", { MakeGuarantee(4, TopologyScope::kWorker) }) });
  PlanOutcome first = PlanGuarantees(document);
  ASSERT_EQ(Zones(first), Strings{ "z0" });
  document.workspaces[0].guarantees[0].zone = ZoneId("z1");
  EXPECT_EQ(Zones(PlanGuarantees(document, &first.plan)), Strings{ "z1" });
}

// Documents of the largest planned size exceed the limits of the exhaustive
// search. The greedy strategies must decide them, including infeasible ones.
TEST(PlanGuarantees, LargeDocumentsAreDecidedByTheHeuristic)
{
  Document document;
  for (int zone = 0; zone < 18; ++zone) {
    document.zones.emplace_back("z" + std::to_string(zone));
    for (size_t n = 0; n < 40; ++n) {
      document.racks.push_back(MakeRack(zone, 8, 2, document.racks.size()));
    }
  }
  for (int n = 0; n < 290; ++n) {
    document.workspaces.push_back(
      MakeWorkspace("w" + std::to_string(n),
                    { MakeGuarantee(16, TopologyScope::kRack),
                      MakeGuarantee(2, TopologyScope::kWorker, 8),
                      MakeGuarantee(1, TopologyScope::kWorker, 4) }));
  }
  EXPECT_TRUE(PlanGuarantees(document).faults.empty());
  // 729 shapes that each need most of a rack, but only 720 racks.
  for (Workspace& it : document.workspaces) {
    it.guarantees.resize(1);
  }
  document.workspaces[0].guarantees[0] =
    MakeGuarantee(12, TopologyScope::kRack, 440);
  PlanOutcome outcome = PlanGuarantees(document);
  ASSERT_FALSE(outcome.faults.empty());
  EXPECT_NE(outcome.faults[0].expected.find("heuristic"), std::string::npos);
}

} // namespace
} // namespace limpetwood::model
