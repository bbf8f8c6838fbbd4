// Tests that the difference of two documents names what changes in meaning, and
// nothing else.

#include "model/semantic_diff.h"

#include "model/test_documents.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace limpetwood::model {
namespace {

using Lines = std::vector<std::string>;

Lines
FormatChanges(const std::vector<SemanticChange>& aChanges)
{
  Lines lines;
  for (const SemanticChange& it : aChanges) {
    lines.push_back(std::string(ChangeKindName(it.kind)) + " " + it.item + " " +
                    it.id + " " + it.field + "|" + it.before + "|" + it.after);
  }
  return lines;
}

Document
SmallDocument()
{
  Document document;
  document.zones = { ZoneId("sogn"), ZoneId("voss") };
  document.racks = {
    { RackId("r"), ZoneId("sogn"), 4, Accelerators(8), 130, 500000 }
  };
  Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.guarantees = {
    { { Accelerators(8), TopologyScope::kRack }, 2, std::nullopt }
  };
  workspace.quota = { Accelerators(32), 10, 20 };
  document.workspaces = { workspace };
  return document;
}

// Guards against a kind of item or field that is left out of the difference.
TEST(SemanticChanges, NamesItemFieldAndValues)
{
  Document from = SmallDocument();
  Document to = from;
  to.zones[1] = ZoneId("flam");
  to.racks[0].workers = 5;
  to.workspaces[0].quota.jobs = 11;
  to.workspaces[0].guarantees[0].count = 1;
  to.workspaces[0].guarantees.push_back(
    { { Accelerators(1), TopologyScope::kWorker }, 1, ZoneId("sogn") });
  to.services.push_back({ ServiceId("s") });
  to.policy.fragmentation = 0.25;
  const std::string defaults =
    "attemptTimeoutMs 30000, defaultDeadlineMs 60000, maxRequestBytes "
    "16777216, maxResponseBytes 67108864, queueLimit 1000";
  const std::string reduced = "changed workspace w guarantees|2 x 8 "
                              "accelerators (rack)|1 x 8 accelerators (rack)";
  const std::string added =
    "added workspace w guarantees||1 x 1 accelerator (worker) in sogn";
  EXPECT_EQ(FormatChanges(SemanticChanges(from, to)),
            (Lines{ "changed policy  fragmentation|0.5|0.25",
                    "changed rack r workers|4|5",
                    "added service s ||" + defaults,
                    added,
                    reduced,
                    "changed workspace w quota/jobs|10|11",
                    "added zone flam ||",
                    "removed zone voss ||" }));
}

// Guards against differences for guarantees that are only written in another
// way, for example two of one shape instead of one of two.
TEST(SemanticChanges, EqualGuaranteesAreAddedUp)
{
  Document from = SmallDocument();
  Document to = from;
  Guarantee one = to.workspaces[0].guarantees[0];
  one.count = 1;
  to.workspaces[0].guarantees = { one, one };
  EXPECT_EQ(FormatChanges(SemanticChanges(from, to)), Lines{});
}

// A pin that moves takes the guaranteed capacity to another zone, although the
// document says nothing of it.
TEST(SemanticChanges, MovedPinsAreNamed)
{
  PlannedDocument from;
  from.document = SmallDocument();
  Shape shape = from.document.workspaces[0].guarantees[0].shape;
  from.plan.shapes = { { WorkspaceId("w"), shape, ZoneId("sogn") },
                       { WorkspaceId("w"), shape, ZoneId("sogn") } };
  PlannedDocument to = from;
  to.plan.shapes[1].zone = ZoneId("voss");
  EXPECT_EQ(FormatChanges(SemanticChanges(from, to)),
            Lines{ "changed workspace w plan|8 accelerators (rack): 2 in "
                   "sogn|8 accelerators (rack): 1 in sogn, 1 in voss" });
  to.plan.shapes.pop_back();
  EXPECT_EQ(FormatChanges(SemanticChanges(from, to)), Lines{});
}

// Sorts everything whose order has no meaning.
Document
Normalized(Document aDocument)
{
  auto byId = [](const auto& x, const auto& y) { return x.id < y.id; };
  std::sort(aDocument.zones.begin(), aDocument.zones.end());
  std::sort(aDocument.racks.begin(), aDocument.racks.end(), byId);
  std::sort(aDocument.workspaces.begin(), aDocument.workspaces.end(), byId);
  std::sort(aDocument.services.begin(), aDocument.services.end(), byId);
  return aDocument;
}

// Guards against a change that the difference does not show.
RC_GTEST_PROP(SemanticChangesProperty, EmptyOnlyForEqualMeaning, ())
{
  Document from = ArbitraryDocument();
  Document to = *rc::gen::arbitrary<bool>() ? ArbitraryDocument() : from;
  std::reverse(to.racks.begin(), to.racks.end());
  std::reverse(to.workspaces.begin(), to.workspaces.end());
  RC_ASSERT(SemanticChanges(from, to).empty() ==
            (Normalized(from) == Normalized(to)));
}

// Guards against changes that are lost in one direction: what one direction
// adds, the other one removes.
RC_GTEST_PROP(SemanticChangesProperty, IsSymmetric, ())
{
  Document from = ArbitraryDocument();
  Document to = ArbitraryDocument();
  std::vector<SemanticChange> back = SemanticChanges(to, from);
  for (SemanticChange& it : back) {
    std::swap(it.before, it.after);
    if (it.kind != ChangeKind::kChanged) {
      it.kind = it.kind == ChangeKind::kAdded ? ChangeKind::kRemoved
                                              : ChangeKind::kAdded;
    }
  }
  std::vector<SemanticChange> forth = SemanticChanges(from, to);
  Lines x = FormatChanges(forth);
  Lines y = FormatChanges(back);
  std::sort(x.begin(), x.end());
  std::sort(y.begin(), y.end());
  RC_ASSERT(x == y);
}

} // namespace
} // namespace limpetwood::model
