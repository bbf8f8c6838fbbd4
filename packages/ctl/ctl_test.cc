// Tests limpetctl: its exit codes, on which scripts rely, its output, and that
// failover between instances never runs a change twice.

#include "ctl/test_control.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace limpetwood::ctl {
namespace {

// The configuration check has no warnings about it, so that it can be submitted
// without `--force`.
const char* const kDocument = R"({"zones":["z"],"racks":[
  {"id":"r","zone":"z","workers":1,"acceleratorsPerWorker":1,
   "coresPerWorker":1,"memoryMbPerWorker":1}],"workspaces":[
  {"id":"a","quota":{"accelerators":1,"jobs":1,"requests":1}}],
  "services":[]})";

TEST(Limpetctl, UsageErrorsExitWithTwo)
{
  EXPECT_EQ(RunWith("127.0.0.1:1", { "job", "status" }).code, 2);
  EXPECT_EQ(RunWith("127.0.0.1:1", { "job", "list", "--colour" }).code, 2);
  EXPECT_EQ(RunWith("localhost:1", { "job", "list" }).code, 2);
  EXPECT_EQ(RunWith("127.0.0.1:1", { "no", "such" }).code, 2);
  CommandResult help = RunWith("127.0.0.1:1", { "config", "submit", "--help" });
  EXPECT_EQ(help.code, 0);
  EXPECT_TRUE(Contains(help.out, "--base-version"));
}

// Without a base version, a submission could silently overwrite changes that
// other operators made.
TEST(Limpetctl, SubmitNeedsTheBaseVersion)
{
  FakeControl control([](const Request&) { return MakeResponse(200, "{}"); });
  std::string file = TempFile("base", kDocument);
  EXPECT_EQ(RunWith(control.Address(), { "config", "submit", file }).code, 2);
  EXPECT_TRUE(control.Requests().empty());
}

// The operator must see all faults of a document at once.
TEST(Limpetctl, RejectedDocumentListsEveryFault)
{
  FakeControl control([](const Request&) {
    return MakeResponse(
      400,
      R"({"verdict":"not_run","reason":"invalid_document","faults":[
        {"path":"/racks/0","value":"1","expected":"an object"},
        {"path":"/zones","value":"missing","expected":"this key is required"}]})");
  });
  CommandResult result = RunWith(
    control.Address(),
    { "config", "submit", TempFile("bad", "{}"), "--base-version", "4" });
  EXPECT_EQ(result.code, 3);
  EXPECT_TRUE(Contains(result.err, "invalid_document"));
  EXPECT_TRUE(Contains(result.err, "/racks/0: 1; expected an object"));
  EXPECT_TRUE(Contains(result.err, "/zones: missing"));
  EXPECT_EQ(control.Requests().at(0).headers.Get("Limpetwood-Base-Version"),
            "4");
}

// If the document is based on an outdated version, the operator must see what
// changed since, in order to merge it.
TEST(Limpetctl, ConflictShowsVersionInForceAndDifferences)
{
  FakeControl control([](const Request& aRequest) {
    if (aRequest.method == "GET") {
      std::string document = kDocument;
      document.replace(document.find("\"jobs\":1"), 8, "\"jobs\":7");
      return MakeResponse(200, "{\"version\":9,\"document\":" + document + "}");
    }
    return MakeResponse(409,
                        R"({"verdict":"not_run","reason":"version_conflict",
                      "version":9,"changes":["/workspaces/a/quota/jobs"]})");
  });
  CommandResult result = RunWith(control.Address(),
                                 { "config",
                                   "submit",
                                   TempFile("outdated", kDocument),
                                   "--base-version",
                                   "8" });
  EXPECT_EQ(result.code, 7);
  EXPECT_TRUE(Contains(result.out, "version 9 is in force"));
  EXPECT_TRUE(Contains(result.out, "  /workspaces/a/quota/jobs\n"));
  EXPECT_TRUE(Contains(result.out, "/workspaces/a/quota/jobs  7         1\n"));
}

// A call that certainly did not run must be tried on the next instance.
TEST(Limpetctl, NotRunFailsOverToTheNextInstance)
{
  FakeControl withoutQuorum([](const Request&) {
    return MakeResponse(503, R"({"reason":"no_quorum"})", "not_run");
  });
  FakeControl leader([](const Request&) {
    return MakeResponse(200, R"({"job":"j1","state":"queued"})");
  });
  CommandResult result =
    RunWith(withoutQuorum.Address() + "," + leader.Address(),
            { "job", "submit", TempFile("job", "{}") });
  EXPECT_EQ(result.code, 0);
  EXPECT_TRUE(Contains(result.out, "\"j1\""));
  ASSERT_EQ(leader.Requests().size(), 1U);
  EXPECT_EQ(RunWith(withoutQuorum.Address(), { "job", "list" }).code, 4);
}

// If the response is lost, the change may have run. Repeating it on
// another instance is safe only under the same idempotency key.
TEST(Limpetctl, CallWithoutResponseIsRepeatedOnlyUnderItsKey)
{
  FakeControl unanswered([](const Request&) {
    return MakeResponse(502, R"({"reason":"leader_lost"})", "may_have_run");
  });
  FakeControl other([](const Request&) { return MakeResponse(200, "{}"); });
  std::string both = unanswered.Address() + "," + other.Address();
  CommandResult result =
    RunWith(both, { "job", "cancel", "j1", "--key", "k-1" });
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(
    unanswered.Requests().at(0).headers.Get("Limpetwood-Idempotency-Key"),
    "k-1");
  EXPECT_EQ(other.Requests().at(0).headers.Get("Limpetwood-Idempotency-Key"),
            "k-1");
  size_t before = other.Requests().size();
  // An empty key counts as none, so the call must not be repeated.
  EXPECT_EQ(RunWith(both, { "job", "cancel", "j1", "--key", "" }).code, 5);
  EXPECT_EQ(other.Requests().size(), before);
}

// Without the generated key, the operator could not safely repeat a call whose
// response was lost.
TEST(Limpetctl, GeneratedKeyIsShown)
{
  FakeControl control(
    [](const Request&) { return MakeResponse(502, "", "may_have_run"); });
  CommandResult result =
    RunWith(control.Address(), { "instance", "drain", "i-1" });
  EXPECT_EQ(result.code, 5);
  std::string key(
    control.Requests().at(0).headers.Get("Limpetwood-Idempotency-Key"));
  // "ctl-" and 24 hexadecimal digits.
  EXPECT_EQ(key.size(), 28U);
  EXPECT_TRUE(Contains(result.err, key));
  EXPECT_EQ(control.Requests()[0].body, R"({"instance":"i-1"})");
}

// If a zone is fenced by mistake while it is still running, its jobs may run
// twice.
TEST(Limpetctl, FenceNeedsConfirmation)
{
  FakeControl control([](const Request&) { return MakeResponse(200, "{}"); });
  EXPECT_EQ(RunWith(control.Address(), { "zone", "fence", "z" }).code, 2);
  EXPECT_TRUE(control.Requests().empty());
  EXPECT_EQ(
    RunWith(control.Address(), { "zone", "fence", "z", "--confirm-down" }).code,
    0);
  EXPECT_EQ(control.Requests().at(0).target, "/v1/zones/fence");
}

// The orders must reach the documented targets with the zone and the name of
// who gave them, and with a key, so that a resent order has no second effect.
TEST(Limpetctl, ZoneOrdersNameTheZoneAndTheOperator)
{
  FakeControl control([](const Request&) { return MakeResponse(200, "{}"); });
  for (const char* order : { "evacuate", "restore" }) {
    EXPECT_EQ(RunWith(control.Address(),
                      { "zone", order, "z", "--by", "ada", "--key", "k" })
                .code,
              0);
    Request sent = control.Requests().back();
    EXPECT_EQ(sent.method, "POST");
    EXPECT_EQ(sent.target, std::string("/v1/zones/") + order);
    EXPECT_EQ(nlohmann::json::parse(sent.body),
              nlohmann::json::parse(R"({"zone":"z","by":"ada"})"));
    EXPECT_EQ(sent.headers.Get("Limpetwood-Idempotency-Key"), "k");
  }
}

// An order for a zone that does not exist must not look like a success.
TEST(Limpetctl, EvacuationOfUnknownZoneExitsWithSix)
{
  FakeControl control([](const Request&) {
    return MakeResponse(404, R"({"reason":"unknown_zone"})", "not_run");
  });
  EXPECT_EQ(
    RunWith(control.Address(), { "zone", "evacuate", "z", "--by", "ada" }).code,
    6);
}

// Operators decide by this table whether work remains in an evacuated zone.
TEST(Limpetctl, ZoneListShowsEvacuations)
{
  FakeControl control([](const Request&) {
    return MakeResponse(200, R"({"zones":[
      {"zone":"a","state":"evacuated","sinceMs":1000,"by":"ada",
       "remainingRuns":2},
      {"zone":"b","state":"in_service","remainingRuns":0}]})");
  });
  CommandResult result = RunWith(control.Address(), { "zone", "list" });
  EXPECT_EQ(result.code, 0);
  EXPECT_EQ(control.Requests().at(0).target, "/v1/zones");
  for (const char* text : { "evacuated", "ada", "in_service", "1970-01-01" }) {
    EXPECT_NE(result.out.find(text), std::string::npos) << text;
  }
}

// The job id is percent-encoded, so that a slash in it does not address another
// resource.
TEST(Limpetctl, UnknownJobExitsWithSix)
{
  FakeControl control([](const Request&) {
    return MakeResponse(404, R"({"reason":"unknown_job"})");
  });
  CommandResult result = RunWith(control.Address(), { "job", "status", "a/b" });
  EXPECT_EQ(result.code, 6);
  EXPECT_EQ(control.Requests().at(0).target, "/v1/jobs/a%2Fb");
}

// Scripts branch on the exit code, which must be 0 only for a job that
// succeeded.
TEST(Limpetctl, WaitExitCodeReflectsFinalState)
{
  int calls = 0;
  FakeControl control([&calls](const Request& aRequest) {
    ++calls;
    bool fails = aRequest.target == "/v1/jobs/bad";
    return MakeResponse(200,
                        calls < 3 ? R"({"job":"j","state":"running"})"
                        : fails   ? R"({"job":"j","state":"failed"})"
                                  : R"({"job":"j","state":"succeeded"})");
  });
  EXPECT_EQ(
    RunWith(control.Address(), { "job", "wait", "j", "--poll-ms", "1" }).code,
    0);
  EXPECT_EQ(control.Requests().size(), 3U);
  EXPECT_EQ(
    RunWith(control.Address(), { "job", "wait", "bad", "--poll-ms", "1" }).code,
    1);
}

TEST(Limpetctl, ListsAreTablesOrJson)
{
  FakeControl control([](const Request& aRequest) {
    return aRequest.target == "/v1/workers"
             ? MakeResponse(200, R"({"workers":[{"worker":"w1","zone":"sogn",
                 "rack":"r","state":"ready","accelerators":8,"used":3,
                 "leaseMs":9000}]})")
             : MakeResponse(200, R"({"jobs":[]})");
  });
  EXPECT_EQ(RunWith(control.Address(), { "worker", "list" }).out,
            "WORKER  ZONE  RACK  STATE  ACCELERATORS  USED  LEASEMS\n"
            "w1      sogn  r     ready  8             3     9000\n");
  CommandResult result = RunWith(
    control.Address(),
    { "job", "list", "--json", "--workspace", "a", "--state", "running" });
  EXPECT_EQ(result.out, "{\"jobs\":[]}\n");
  EXPECT_EQ(control.Requests().at(1).target,
            "/v1/jobs?workspace=a&state=running");
}

// A document can be validated without a running system.
TEST(Limpetctl, ValidateNeedsNoInstance)
{
  EXPECT_EQ(
    RunWith("127.0.0.1:1", { "config", "validate", TempFile("ok", kDocument) })
      .code,
    0);
  CommandResult result =
    RunWith("127.0.0.1:1", { "config", "validate", TempFile("no", "{}") });
  EXPECT_EQ(result.code, 3);
  EXPECT_TRUE(Contains(result.err, "/zones: missing"));
}

} // namespace
} // namespace limpetwood::ctl
