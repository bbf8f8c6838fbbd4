// Tests the check of a configuration document: that its errors are those of the
// parser, that each kind of warning is found, and where findings are located.

#include "model/check.h"

#include "model/internal/text_position.h"
#include "model/plan.h"
#include "model/test_documents.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <tuple>

namespace limpetwood::model {
namespace {

using Lines = std::vector<std::string>;

// No finding without a version in force.
const char* const kDocument = R"({
  "zones": ["sogn", "voss"],
  "racks": [
    { "id": "s1", "zone": "sogn", "workers": 2, "acceleratorsPerWorker": 8,
      "coresPerWorker": 130, "memoryMbPerWorker": 500000 },
    { "id": "v1", "zone": "voss", "workers": 2, "acceleratorsPerWorker": 8,
      "coresPerWorker": 130, "memoryMbPerWorker": 500000 }
  ],
  "workspaces": [
    { "id": "reports",
      "guarantees": [
        { "shape": { "accelerators": 8, "closeness": "worker" }, "count": 2 } ],
      "quota": { "accelerators": 32, "jobs": 100, "requests": 50 } },
    { "id": "research",
      "quota": { "accelerators": 16, "jobs": 10, "requests": 5 } }
  ],
  "services": [ { "id": "mesh" }, { "id": "survey" } ]
})";

std::string
DocumentWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kDocument;
  size_t at = text.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return text.replace(at, aFrom.size(), aTo);
}

// Formats each finding as "severity kind line:column path value".
Lines
FormatFindings(const CheckOutcome& aOutcome)
{
  Lines lines;
  for (const Finding& it : aOutcome.findings) {
    EXPECT_FALSE(it.problem.empty());
    EXPECT_FALSE(it.expected.empty());
    lines.push_back(std::string(SeverityName(it.severity)) + " " +
                    FindingKindName(it.kind) + " " + std::to_string(it.line) +
                    ":" + std::to_string(it.column) + " " + it.path + " " +
                    it.value);
  }
  return lines;
}

Lines
FindingsOf(const std::string& aText)
{
  return FormatFindings(CheckDocument({ aText }));
}

// Checks `aText` against `kDocument` in force.
Lines
FindingsAgainstDocument(const std::string& aText,
                        const std::set<ServiceId>* aAnnounced = nullptr)
{
  PlannedDocument inForce = ParseDocument(kDocument).value;
  return FormatFindings(CheckDocument({ aText, &inForce, aAnnounced }));
}

// Warnings about a sound document would teach operators to ignore them.
TEST(CheckDocument, SoundDocumentHasNoFindings)
{
  std::set<ServiceId> announced{ ServiceId("mesh"), ServiceId("survey") };
  EXPECT_EQ(FindingsOf(kDocument), Lines{});
  EXPECT_EQ(FindingsAgainstDocument(kDocument, &announced), Lines{});
}

// Guards against an error that points at another place than the wrong value.
TEST(CheckDocument, ErrorIsAtItsValue)
{
  EXPECT_EQ(FindingsOf(DocumentWith("\"workers\": 2", "\"workers\": -2")),
            Lines{ "error rejected 4:46 /racks/0/workers -2" });
}

// A missing key has no position of its own.
TEST(CheckDocument, MissingKeyIsAtItsObject)
{
  EXPECT_EQ(FindingsOf(DocumentWith("\"jobs\": 100, ", "")),
            Lines{ "error rejected 13:16 /workspaces/0/quota/jobs missing" });
}

// Errors of rules and of the plan come from the same parser; each must be found
// alone and at the entry that breaks the rule.
TEST(CheckDocument, BrokenRulesAreErrors)
{
  EXPECT_EQ(FindingsOf(DocumentWith("\"id\": \"v1\", \"zone\": \"voss\"",
                                    "\"id\": \"v1\", \"zone\": \"vos\"")),
            Lines{ "error rejected 6:27 /racks/1/zone vos" });
  EXPECT_EQ(
    FindingsOf(DocumentWith("\"accelerators\": 32", "\"accelerators\": 15")),
    Lines{ "error rejected 13:34 /workspaces/0/quota/accelerators 15" });
  Lines shortage = FindingsOf(DocumentWith("\"count\": 2", "\"count\": 4096"));
  ASSERT_FALSE(shortage.empty());
  for (const std::string& it : shortage) {
    EXPECT_TRUE(it.starts_with("error rejected 1")) << it;
  }
  EXPECT_EQ(FindingsOf(DocumentWith("\"id\": \"mesh\"",
                                    "\"id\": \"mesh\", \"attemptTimeoutMs\": "
                                    "9, \"defaultDeadlineMs\": 8")),
            Lines{ "error rejected 17:53 /services/0/attemptTimeoutMs 9" });
  EXPECT_EQ(FindingsOf(DocumentWith("\"services\"",
                                    "\"policy\": {\"completionTime\": 0, "
                                    "\"fragmentation\": 0}, \"services\"")),
            Lines{ "error rejected 17:13 /policy both weights 0" });
}

// The parser keeps the last of two equal keys, so findings below it must not
// point into the first.
TEST(CheckDocument, DuplicateKeyIsAtItsLastValue)
{
  EXPECT_EQ(
    FindingsOf(DocumentWith(
      "\"quota\": { \"accelerators\": 16",
      "\"quota\": { \"accelerators\": 1 },\n\"quota\": { \"jobs\": -1")),
    (Lines{ "error rejected 16:10 /workspaces/1/quota given twice",
            "error rejected 16:10 /workspaces/1/quota/accelerators missing",
            "error rejected 16:32 /workspaces/1/quota/jobs given twice" }));
}

// Guards against a position in bytes, which editors do not use, and against the
// start of the file as the position of every syntax error.
TEST(CheckDocument, SyntaxErrorIsAtTheByteThatIsWrong)
{
  std::vector<Finding> findings =
    CheckDocument({ "{\n  \"zones\": [\"\xc3\xa6\",]}" }).findings;
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].problem, "the text is not valid JSON");
  EXPECT_EQ(findings[0].line, 2U);
  // One column for the two bytes of the letter.
  EXPECT_EQ(findings[0].column, 17U);
  EXPECT_EQ(FindingsOf(""), Lines{ "error rejected 1:1  byte 1" });
}

// Warnings next to errors save the operator a second check, but an entry that
// was not read correctly must not cause any.
TEST(CheckDocument, WarnsOnlyAboutEntriesWithoutErrors)
{
  std::string text = DocumentWith("\"jobs\": 10, \"requests\": 5",
                                  "\"jobs\": 10, \"requests\": 0");
  text.replace(text.find("\"jobs\": 100"), 11, "\"jobs\": \"x\"");
  EXPECT_EQ(
    FindingsAgainstDocument(text),
    (Lines{ "error rejected 13:46 /workspaces/0/quota/jobs \"x\"",
            "warning zero_quota 15:62 /workspaces/1/quota/requests 0" }));
  // The misspelled key leaves workspace "reports" without a guarantee.
  EXPECT_EQ(
    FindingsAgainstDocument(DocumentWith("\"guarantees\"", "\"guarantee\"")),
    Lines{ "error rejected 11:20 /workspaces/0/guarantee unknown key" });
  EXPECT_EQ(FindingsAgainstDocument("{}").size(), 4U);
  EXPECT_EQ(FindingsAgainstDocument("[").size(), 1U);
}

// Guards against jobs and guarantees that are pinned to a zone without workers.
TEST(CheckDocument, ZoneWithoutRacksIsAWarning)
{
  EXPECT_EQ(FindingsOf(DocumentWith("\"voss\"]", "\"voss\", \"flam\"]")),
            Lines{ "warning zone_without_racks 2:29 /zones/2 \"flam\"" });
}

// Guards against quotas of 0 that were meant as "unlimited".
TEST(CheckDocument, QuotaOfZeroIsAWarning)
{
  EXPECT_EQ(
    FindingsOf(DocumentWith("\"accelerators\": 16", "\"accelerators\": 0")),
    Lines{ "warning zero_quota 15:34 /workspaces/1/quota/accelerators 0" });
  EXPECT_EQ(FindingsOf(DocumentWith("\"requests\": 5 ", "\"requests\": 0 ")),
            Lines{ "warning zero_quota 15:62 /workspaces/1/quota/requests 0" });
  // A workspace that sends requests only is reported once.
  EXPECT_EQ(FindingsOf(DocumentWith("\"accelerators\": 16, \"jobs\": 10",
                                    "\"accelerators\": 0, \"jobs\": 0")),
            Lines{ "warning zero_quota 15:45 /workspaces/1/quota/jobs 0" });
}

// Guards against a workspace that is declared but rejects all of its callers.
TEST(CheckDocument, WorkspaceThatCannotSubmitIsAWarning)
{
  EXPECT_EQ(FindingsOf(DocumentWith("\"jobs\": 10, \"requests\": 5",
                                    "\"jobs\": 0, \"requests\": 0")),
            Lines{ "warning workspace_cannot_submit 15:16 /workspaces/1/quota "
                   "jobs 0, requests 0" });
}

// Guards against a misspelled service, whose requests cannot be answered. A
// service that is not in force yet has no servers and is not reported.
TEST(CheckDocument, ServiceThatNoServerAnnouncesIsAWarning)
{
  std::set<ServiceId> announced{ ServiceId("mesh") };
  Lines expected{
    "warning service_without_server 17:43 /services/1/id \"survey\""
  };
  EXPECT_EQ(FindingsAgainstDocument(kDocument, &announced), expected);
  EXPECT_EQ(FindingsAgainstDocument(
              DocumentWith("{ \"id\": \"survey\" }",
                           "{ \"id\": \"survey\" }, { \"id\": \"new\" }"),
              &announced),
            expected);
  EXPECT_EQ(FindingsAgainstDocument(kDocument), Lines{});
}

// Guards against a workspace that loses promised capacity by a typing error.
TEST(CheckDocument, ReducedGuaranteeIsAWarning)
{
  EXPECT_EQ(
    FindingsAgainstDocument(DocumentWith("\"count\": 2", "\"count\": 1")),
    Lines{ "warning guarantee_reduced 11:21 /workspaces/0/guarantees 1 "
           "x 8 accelerators (worker)" });
  // The same number of accelerators, but no longer within one worker.
  EXPECT_EQ(
    FindingsAgainstDocument(DocumentWith("\"worker\" }", "\"rack\" }")),
    Lines{ "warning guarantee_reduced 11:21 /workspaces/0/guarantees 0 x 8 "
           "accelerators (worker)" });
  // The guarantee was moved to another workspace.
  EXPECT_EQ(
    FindingsAgainstDocument(DocumentWith(
      "\"guarantees\": [",
      "\"guarantees\": [], \"quota\": { \"accelerators\": 1, \"jobs\": 1, "
      "\"requests\": 1 } },\n{ \"id\": \"other\", \"guarantees\": [")),
    Lines{ "warning guarantee_reduced 11:21 /workspaces/0/guarantees 0 x 8 "
           "accelerators (worker)" });
}

// A larger guarantee, or one of another form that has room for the one in
// force, takes nothing away.
TEST(CheckDocument, GuaranteeWithRoomForTheOneInForceIsNotReduced)
{
  EXPECT_EQ(
    FindingsAgainstDocument(DocumentWith("\"count\": 2", "\"count\": 3")),
    Lines{});
  PlannedDocument inForce =
    ParseDocument(DocumentWith("\"accelerators\": 8, \"closeness\": "
                               "\"worker\" }, \"count\": 2",
                               "\"accelerators\": 4, \"closeness\": "
                               "\"rack\" }, \"count\": 4"))
      .value;
  ASSERT_EQ(inForce.plan.shapes.size(), 4U);
  EXPECT_EQ(FormatFindings(CheckDocument({ kDocument, &inForce })), Lines{});
}

// Guards against a workspace that is lost from the file.
TEST(CheckDocument, RemovedWorkspaceIsAWarning)
{
  EXPECT_EQ(FindingsAgainstDocument(
              DocumentWith("\"id\": \"research\"", "\"id\": \"survey\"")),
            Lines{ "warning workspace_removed 9:17 /workspaces \"research\"" });
}

// A value of unlimited length would flood the terminal.
TEST(CheckDocument, ValuesAreBounded)
{
  std::string name(100000, 'x');
  std::vector<Finding> findings =
    CheckDocument({ DocumentWith("\"s1\"", "\"" + name + "\"") }).findings;
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_LE(findings[0].value.size(), kMaxFindingValue + 3);
}

// The page asks for the version that would result, with the pins that the
// system would keep.
TEST(CheckDocument, ResultKeepsThePlanInForce)
{
  PlannedDocument inForce = ParseDocument(kDocument).value;
  for (PinnedShape& it : inForce.plan.shapes) {
    it.zone = ZoneId("voss");
  }
  CheckOutcome outcome = CheckDocument({ kDocument, &inForce });
  ASSERT_TRUE(outcome.result);
  EXPECT_EQ(outcome.result->plan, inForce.plan);
  EXPECT_EQ(outcome.changes, std::vector<SemanticChange>{});
}

Faults
ErrorsOf(const CheckOutcome& aOutcome)
{
  Faults faults;
  for (const Finding& it : aOutcome.findings) {
    if (it.severity == Severity::kError) {
      faults.push_back({ it.path, it.value, it.expected });
    }
  }
  return faults;
}

// Guards against a check that disagrees with the parser, which accepts or
// rejects the document. The random change of one byte makes some documents
// malformed and others invalid.
RC_GTEST_PROP(CheckDocumentProperty, AgreesWithTheParser, ())
{
  std::string text = WriteDocument(ArbitraryDocument());
  auto changes = *rc::gen::inRange(0, 3);
  for (int n = 0; n < changes; ++n) {
    text[*rc::gen::inRange<size_t>(0, text.size())] =
      *rc::gen::elementOf(std::string("0123456789,:\"{}[]-.ex /*"));
  }
  Document other = ArbitraryDocument();
  PlannedDocument inForce{ other, PlanGuarantees(other).plan };
  std::set<ServiceId> announced{ ServiceId("service-1") };
  CheckOutcome outcome = CheckDocument({ text, &inForce, &announced });
  Parsed<PlannedDocument> parsed = ParseDocument(text);
  if (parsed.Ok()) {
    parsed = ParseDocument(text, &inForce.plan);
  }
  RC_TAG(parsed.Ok() ? "accepted" : "refused");
  RC_ASSERT(outcome.result.has_value() == parsed.Ok());
  RC_ASSERT(!outcome.result || *outcome.result == parsed.value);
  Faults errors = ErrorsOf(outcome);
  // Findings are ordered by position, faults by rule.
  auto sort = [](Faults& aFaults) {
    std::sort(
      aFaults.begin(), aFaults.end(), [](const Fault& x, const Fault& y) {
        return std::tie(x.path, x.value, x.expected) <
               std::tie(y.path, y.value, y.expected);
      });
  };
  sort(errors);
  sort(parsed.faults);
  RC_ASSERT(errors == parsed.faults);
  RC_ASSERT(std::is_sorted(outcome.findings.begin(),
                           outcome.findings.end(),
                           [](const Finding& x, const Finding& y) {
                             return std::tie(x.line, x.column) <
                                    std::tie(y.line, y.column);
                           }));
}

// Operators may check any file by mistake, so that no bytes may crash the
// check or be accepted.
RC_GTEST_PROP(CheckDocumentProperty, RandomBytesAreRefused, ())
{
  auto text = *rc::gen::container<std::string>(rc::gen::oneOf(
    rc::gen::arbitrary<char>(),
    rc::gen::elementOf(std::string("{}[]\",:\\/*\n 0truefalsn"))));
  CheckOutcome outcome = CheckDocument({ text });
  RC_ASSERT(outcome.Count(Severity::kError) > 0U);
  RC_ASSERT(!outcome.result);
}

// Without the limit, the pointer of a deeply nested value would be followed
// through the whole text.
TEST(FindOffsets, StopsAtTheDepthLimit)
{
  std::string text(1000000, '[');
  EXPECT_EQ(internal::FindOffsets(text, { "/0/0/0", "/0" }, 2),
            (std::vector<size_t>{ 2, 1 }));
}

// Keys are matched after their escapes are resolved, in the text and in the
// pointer. Brackets within strings and comments are not structure.
TEST(FindOffsets, ResolvesEscapesAndSkipsComments)
{
  std::string text =
    "\xef\xbb\xbf// [\n{\"a\\u002fb\": {\"~\": \"}\\\"]\", /* { "
    "*/ \"c\": [1, 2.5e3,\n true]}}";
  auto found = internal::FindOffsets(
    text, { "/a~1b/~0", "/a~1b/c/2", "/a~1b/c/3", "/x" }, 16);
  EXPECT_EQ(text.substr(found[0], 6), "\"}\\\"]\"");
  EXPECT_EQ(text.substr(found[1], 4), "true");
  EXPECT_EQ(text.substr(found[2], 2), "[1");
  EXPECT_EQ(text.substr(found[3], 2), "{\"");
  EXPECT_EQ(internal::PositionsOf(text, { found[1] }),
            (std::vector<internal::TextPosition>{ { 3, 2 } }));
}

} // namespace
} // namespace limpetwood::model
