// Tests that a delta either reproduces the accepted version exactly or is
// rejected, and that small changes give small deltas.

#include "model/changes.h"
#include "model/delta.h"
#include "model/test_documents.h"

#include "base/error.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace limpetwood::model {
namespace {

PlannedDocument
Accept(const Document& aDocument)
{
  return ParseDocument(WriteDocument(aDocument)).value;
}

Document
ManyWorkspaces()
{
  Document document;
  document.zones = { ZoneId("z0"), ZoneId("z1") };
  for (int n = 0; n < 100; ++n) {
    document.racks.push_back({ RackId("rack-" + std::to_string(n)),
                               document.zones[n % 2],
                               8,
                               Accelerators(8),
                               130,
                               500000 });
  }
  for (int n = 0; n < 290; ++n) {
    Workspace workspace;
    workspace.id = WorkspaceId("team-" + std::to_string(n));
    workspace.guarantees = {
      { { Accelerators(8), TopologyScope::kWorker }, 2, std::nullopt }
    };
    workspace.quota = { Accelerators(64), 100, 100 };
    document.workspaces.push_back(workspace);
  }
  return document;
}

// Guards against text that loses or reorders fields.
RC_GTEST_PROP(WriteDocument, AcceptedDocumentsRoundTrip, ())
{
  Document document = ArbitraryDocument();
  std::string text = WriteDocument(document);
  Parsed<PlannedDocument> parsed = ParseDocument(text);
  RC_PRE(parsed.Ok());
  RC_ASSERT(parsed.value.document == document);
  RC_ASSERT(WriteDocument(parsed.value.document) == text);
  Result<PlannedDocument> read =
    ReadPlannedDocument(WritePlannedDocument(parsed.value));
  RC_ASSERT(read.Ok());
  RC_ASSERT(read.Value() == parsed.value);
}

// Guards against a delta that gives another version than the accepted one.
RC_GTEST_PROP(Delta, ReproducesAnyOtherDocument, ())
{
  Parsed<PlannedDocument> from =
    ParseDocument(WriteDocument(ArbitraryDocument()));
  Parsed<PlannedDocument> to =
    ParseDocument(WriteDocument(ArbitraryDocument()));
  RC_PRE(from.Ok() && to.Ok());
  std::string delta = EncodeDelta(from.value, to.value);
  Result<PlannedDocument> applied = ApplyDelta(from.value, delta);
  RC_ASSERT(applied.Ok());
  RC_ASSERT(applied.Value() == to.value);
  RC_ASSERT(ChangedPaths(from.value.document, to.value.document).empty() ==
            (from.value.document == to.value.document));
}

// 5,000 changes a day are sent to every instance, so the size of a delta must
// be proportional to the change, not to the document.
TEST(Delta, SmallChangeStaysSmall)
{
  Document document = ManyWorkspaces();
  PlannedDocument from = Accept(document);
  document.workspaces[7].quota.jobs = 120;
  document.workspaces.erase(document.workspaces.begin() + 200);
  PlannedDocument to = Accept(document);
  std::string delta = EncodeDelta(from, to);
  EXPECT_LT(delta.size() * 50, WritePlannedDocument(to).size());
  EXPECT_TRUE(ApplyDelta(from, delta).Value() == to);
}

// Guards against applying a delta to another version than its base.
TEST(Delta, OtherBaseIsRefused)
{
  Document document = ManyWorkspaces();
  PlannedDocument from = Accept(document);
  document.workspaces[7].quota.jobs = 120;
  PlannedDocument to = Accept(document);
  std::string delta = EncodeDelta(from, to);
  EXPECT_EQ(ApplyDelta(to, delta).Error(), Errc::kConflict);
}

// Guards against adopting an altered or truncated delta.
TEST(Delta, DamageIsDetected)
{
  Document document = ManyWorkspaces();
  PlannedDocument from = Accept(document);
  document.workspaces[7].quota.jobs = 120;
  std::string delta = EncodeDelta(from, Accept(document));
  std::string changed = delta;
  changed.replace(changed.find("120"), 3, "121");
  EXPECT_EQ(ApplyDelta(from, changed).Error(), Errc::kCorrupt);
  for (size_t n = 0; n < delta.size(); ++n) {
    EXPECT_FALSE(ApplyDelta(from, delta.substr(0, n)).Ok()) << n;
  }
}

// Guards against a stored plan that does not belong to its document.
TEST(ReadPlannedDocument, PlanMustMatchTheDocument)
{
  std::string text = WritePlannedDocument(Accept(ManyWorkspaces()));
  size_t at = text.find("[[\"z");
  ASSERT_NE(at, std::string::npos);
  EXPECT_TRUE(ReadPlannedDocument(text).Ok());
  // Removes `"z0",`, the zone of one of the two shapes of a guarantee.
  EXPECT_EQ(ReadPlannedDocument(text.replace(at, 7, "[[")).Error(),
            Errc::kCorrupt);
}

// An operator whose update conflicts with a concurrent one is shown what the
// other one changed. The list must be short and identify items by id.
TEST(ChangedPaths, NamesItemsByIdAndIsShort)
{
  Document from = ManyWorkspaces();
  Document to = from;
  to.workspaces[7].quota.jobs = 120;
  to.workspaces.erase(to.workspaces.begin());
  to.zones.emplace_back("z2");
  EXPECT_EQ(ChangedPaths(from, to),
            (std::vector<std::string>{ "/workspaces/team-0",
                                       "/workspaces/team-7/quota/jobs",
                                       "/zones" }));
  EXPECT_EQ(ChangesBetween(from, to).at(1),
            (Change{ "/workspaces/team-7/quota/jobs", "100", "120" }));
  for (Workspace& it : to.workspaces) {
    it.share = 2;
  }
  std::vector<std::string> paths = ChangedPaths(from, to, 10);
  // 292 changes: 289 shares, a quota, a removed workspace and the zones. 10 are
  // listed.
  ASSERT_EQ(paths.size(), 11U);
  EXPECT_EQ(paths.back(), "and 282 more");
  std::swap(from.racks[0], from.racks[1]);
  to = ManyWorkspaces();
  EXPECT_EQ(ChangedPaths(from, to), std::vector<std::string>{ "/racks" });
}

} // namespace
} // namespace limpetwood::model
