// Tests that a document is either accepted as a whole or rejected with all of
// its faults at once.

#include "model/validate.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace limpetwood::model {
namespace {

const char* const kDocument = R"({
  // Two zones with one rack each.
  "zones": ["sogn", "hardanger"],
  "racks": [
    { "id": "s1", "zone": "sogn", "workers": 2, "acceleratorsPerWorker": 8,
      "coresPerWorker": 130, "memoryMbPerWorker": 500000 },
    { "id": "h1", "zone": "hardanger", "workers": 2, "acceleratorsPerWorker": 8,
      "coresPerWorker": 130, "memoryMbPerWorker": 500000 }
  ],
  "workspaces": [
    { "id": "reports", "share": 2.5,
      "guarantees": [
        { "shape": { "accelerators": 16, "closeness": "rack" } },
        { "shape": { "accelerators": 4, "closeness": "worker" }, "count": 2,
          "zone": "hardanger" } ],
      "quota": { "accelerators": 32, "jobs": 100, "requests": 50 } }
  ],
  "services": [ { "id": "mesh", "queueLimit": 7 } ]
})";

// Returns `kDocument` with the first occurrence of `aFrom` replaced by `aTo`.
std::string
DocumentWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kDocument;
  size_t at = text.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return text.replace(at, aFrom.size(), aTo);
}

// Formats each fault as "path|value|expected" and sorts the lines.
std::vector<std::string>
FormatFaults(const Faults& aFaults)
{
  std::vector<std::string> lines;
  for (const Fault& it : aFaults) {
    lines.push_back(it.path + "|" + it.value + "|" + it.expected);
  }
  std::sort(lines.begin(), lines.end());
  return lines;
}

std::vector<std::string>
FaultsOf(const std::string& aText)
{
  return FormatFaults(ParseDocument(aText).faults);
}

using Lines = std::vector<std::string>;

TEST(ParseDocument, ReadsEveryFieldAndDefault)
{
  Parsed<PlannedDocument> parsed = ParseDocument(kDocument);
  ASSERT_EQ(FormatFaults(parsed.faults), Lines{});
  const Document& document = parsed.value.document;
  ASSERT_EQ(document.racks.size(), 2U);
  EXPECT_EQ(document.racks[1].zone, ZoneId("hardanger"));
  EXPECT_EQ(document.racks[1].memoryMbPerWorker, 500000U);
  const Workspace& workspace = document.workspaces.at(0);
  EXPECT_EQ(workspace.share, 2.5);
  EXPECT_EQ(workspace.guarantees[0].count, 1U);
  EXPECT_EQ(workspace.guarantees[1].zone, ZoneId("hardanger"));
  EXPECT_EQ(workspace.quota.requests, 50U);
  EXPECT_EQ(document.services.at(0).queueLimit, 7U);
  EXPECT_EQ(document.services.at(0).attemptTimeout, Seconds(30));
  EXPECT_EQ(document.policy, PolicyWeights{});
  EXPECT_EQ(parsed.value.plan.shapes.size(), 3U);
}

// If only the first fault were reported, the operator would need one attempt
// per fault.
TEST(ParseDocument, ListsAllFaultsAtOnce)
{
  std::string text = DocumentWith("\"workers\": 2", "\"workers\": -2");
  text.replace(text.find("\"queueLimit\": 7"), 15, "\"queueLimt\": 7.5");
  text.replace(text.find("\"share\": 2.5"), 12, "\"share\": \"much\"");
  text.replace(text.find("\"sogn\", \"hard"), 13, "\"Sogn\", \"hard");
  EXPECT_EQ(
    FaultsOf(text),
    (Lines{ "/racks/0/workers|-2|an integer from 1 to 1024",
            "/services/0/queueLimt|unknown key|one of the keys id, "
            "attemptTimeoutMs, defaultDeadlineMs, maxRequestBytes, "
            "maxResponseBytes, queueLimit",
            "/workspaces/0/share|\"much\"|a number from 0.001 to 1000.0",
            "/zones/0|\"Sogn\"|1 to 63 lower-case letters, digits, '.', '_' or "
            "'-', starting with a letter or digit" }));
}

// The JSON library silently keeps the last of two equal keys, so a repeated key
// would override the first value unnoticed.
TEST(ParseDocument, DuplicateKeyIsAFault)
{
  EXPECT_EQ(
    FaultsOf(DocumentWith("\"workers\": 2", "\"workers\": 2, \"workers\": 9")),
    Lines{ "/racks/0/workers|given twice|each key at most once" });
}

// Guards against documents that name unknown zones, reuse ids, or set a quota
// or a time limit that contradicts other fields.
TEST(ParseDocument, BrokenReferencesAndRulesAreFaults)
{
  EXPECT_EQ(FaultsOf(DocumentWith("\"zone\": \"sogn\"", "\"zone\": \"voss\"")),
            Lines{ "/racks/0/zone|voss|a zone listed in /zones" });
  EXPECT_EQ(FaultsOf(DocumentWith("\"h1\"", "\"s1\"")),
            Lines{ "/racks/1/id|s1|an id that is used only once" });
  EXPECT_EQ(
    FaultsOf(DocumentWith("\"accelerators\": 32", "\"accelerators\": 23")),
    Lines{ "/workspaces/0/quota/accelerators|23|at least 24, the sum "
           "of the workspace's guarantees" });
  EXPECT_EQ(FaultsOf(DocumentWith("\"jobs\": 100", "\"jobs\": 2")),
            Lines{ "/workspaces/0/quota/jobs|2|at least 3, one job for each "
                   "guaranteed shape" });
  EXPECT_EQ(
    FaultsOf(DocumentWith("\"queueLimit\": 7", "\"attemptTimeoutMs\": 60001")),
    Lines{ "/services/0/attemptTimeoutMs|60001|at most "
           "defaultDeadlineMs, 60000" });
}

TEST(ParseDocument, MissingKeysAreNamed)
{
  EXPECT_EQ(FaultsOf("{}"),
            (Lines{ "/racks|missing|this key is required",
                    "/services|missing|this key is required",
                    "/workspaces|missing|this key is required",
                    "/zones|missing|this key is required" }));
  EXPECT_EQ(FaultsOf("[]"), Lines{ "|array with 0 items|an object" });
}

// Malicious or damaged text must cause a short error response. Without limits
// it could exhaust the stack by deep nesting, or produce a huge list of faults.
TEST(ParseDocument, TextBeyondTheLimitsIsRefused)
{
  EXPECT_EQ(FaultsOf(std::string(5U << 20U, ' ')),
            Lines{ "|5242880 bytes|at most 4194304 bytes" });
  EXPECT_EQ(ParseDocument(std::string(100000, '[')).faults.at(0).expected,
            "at most 16 levels");
  std::string racks = "{\"racks\":[0";
  for (int n = 0; n < 4000; ++n) {
    racks += ",0";
  }
  Faults faults = ParseDocument(racks + "]}").faults;
  ASSERT_EQ(faults.size(), 1001U);
  EXPECT_EQ(faults.back().value, "3004 more faults");
}

// Guards against syntax errors without a position, and against invalid UTF-8 in
// responses.
TEST(ParseDocument, SyntaxErrorNamesItsPosition)
{
  Faults faults = ParseDocument("{\"zones\": [\"a\",]}").faults;
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].value, "byte 16");
  EXPECT_TRUE(faults[0].expected.starts_with("JSON: parse error at line 1"));
  // Invalid UTF-8 must not be copied into the fault, which is sent as JSON.
  faults = ParseDocument("{\"zones\": [\"\xff\xfe\"]}").faults;
  ASSERT_EQ(faults.size(), 1U);
  EXPECT_EQ(faults[0].expected.find('\xff'), std::string::npos);
}

TEST(WriteDocument, RoundTrips)
{
  Document document = ParseDocument(kDocument).value.document;
  std::string text = WriteDocument(document);
  Parsed<PlannedDocument> again = ParseDocument(text);
  ASSERT_TRUE(again.Ok());
  EXPECT_EQ(again.value.document, document);
  EXPECT_EQ(WriteDocument(again.value.document), text);
}

TEST(ParseJobSpec, RejectsWithAllFaults)
{
  EXPECT_EQ(FormatFaults(ParseJobSpec(R"({"members": 0, "priority": "high",
                                     "gpu": 1})")
                           .faults),
            (Lines{ "/gpu|unknown key|one of the keys workspace, name, "
                    "members, acceleratorsPerMember, coresPerMember, "
                    "memoryMbPerMember, closeness, priority, "
                    "declaredRunTimeMs, checkpointable, payload",
                    "/members|0|an integer from 1 to 1024",
                    "/priority|\"high\"|one of \"batch\", \"normal\", "
                    "\"urgent\"",
                    "/workspace|missing|this key is required" }));
}

Lines
CheckJobText(const std::string& aJob)
{
  Document document = ParseDocument(kDocument).value.document;
  Parsed<JobSpec> spec = ParseJobSpec(aJob);
  EXPECT_TRUE(spec.Ok());
  return FormatFaults(CheckJob(spec.value, document));
}

// If a job that can never run were accepted, it would stay in the queue
// forever.
TEST(CheckJob, ImpossibleJobsAreRejected)
{
  EXPECT_EQ(CheckJobText(R"({"workspace": "reports", "members": 4,
                          "acceleratorsPerMember": 4, "closeness": "rack"})"),
            Lines{});
  EXPECT_EQ(CheckJobText(R"({"workspace": "reports", "members": 3,
                          "acceleratorsPerMember": 5, "closeness": "rack"})"),
            Lines{ "/members|3|at most 2, the members that one rack of the "
                   "declared racks can hold" });
  EXPECT_EQ(CheckJobText(R"({"workspace": "reports", "coresPerMember": 131})"),
            Lines{ "/members|1|at most 0, the members that one zone of the "
                   "declared racks can hold" });
  EXPECT_EQ(CheckJobText(R"({"workspace": "render"})"),
            Lines{ "/workspace|render|a workspace of the configuration" });
}

// Guards against a job that waits for ever because its workspace's quota is too
// small.
TEST(CheckJob, QuotaThatNeverAdmitsTheJobIsAFault)
{
  EXPECT_EQ(CheckJobText(R"({"workspace": "reports", "members": 33,
                          "acceleratorsPerMember": 1})"),
            (Lines{ "/members|33 accelerators in all|at most 32, the "
                    "workspace's quota",
                    "/members|33|at most 16, the members that one zone of the "
                    "declared racks can hold" }));
}

} // namespace
} // namespace limpetwood::model
