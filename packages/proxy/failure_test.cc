// Tests of the verdicts when backend servers fail. They guard against requests
// that ran although they were reported as not run, requests that ran twice
// although they are not repeatable, and truncated or mismatched responses.

#include "proxy/test_support.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <unistd.h>

namespace limpetwood::proxy {
namespace {

// A log of JSON lines that is removed at the end of the test.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aName)
    : mPath(std::filesystem::temp_directory_path() /
            (aName + "-" + std::to_string(::getpid()) + ".log"))
  {
    std::filesystem::remove(mPath);
  }
  ~TemporaryFile() { std::filesystem::remove(mPath); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string Path() const { return mPath.string(); }

  // Calls `aVisit` with the parsed event of each line.
  template<typename Visit>
  void ForEach(Visit aVisit) const
  {
    std::ifstream file(mPath);
    for (std::string line; std::getline(file, line);) {
      aVisit(nlohmann::json::parse(line));
    }
  }

private:
  std::filesystem::path mPath;
};

// Guards against reporting a request as possibly run when no connection to its
// server could be opened.
TEST(Failures, UnreachableServerDidNotRun)
{
  TestServer server({ .id = "s1" });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  server.Kill();
  auto result =
    instance.Call(MakeRequest("r1", { { "Limpetwood-Repeatable", "no" } }));
  EXPECT_EQ(FormatOutcome(result).substr(0, 12), "not_run 503 ");
}

// Guards against treating a request that never ran as one that may have run: it
// must go to another server even if it is not repeatable.
TEST(Failures, RequestThatDidNotRunGoesToAnotherServer)
{
  TestServer killedServer({ .id = "s1" });
  TestServer healthyServer({ .id = "s2" });
  TestInstance instance;
  instance.Announce("s1", killedServer.Address());
  instance.Announce("s2", healthyServer.Address());
  killedServer.Kill();
  uint64_t answered = 0;
  for (int n = 0; n < 10; ++n) {
    auto request = MakeRequest("r", { { "Limpetwood-Repeatable", "no" } });
    std::string outcome = FormatOutcome(instance.Call(request));
    answered += outcome == "answered 200" ? 1 : 0;
    EXPECT_EQ(outcome.find("may_have_run"), std::string::npos) << outcome;
  }
  EXPECT_GT(answered, 0U);
  EXPECT_EQ(healthyServer.Executed(), answered);
}

// Returns the first 16 characters of the outcome of a request that the server
// runs once with the given fault.
std::string
OutcomeOfFaultyServer(standin::BackendOptions aServer, const char* aRepeatable)
{
  aServer.id = "s1";
  TestServer server(aServer);
  TestInstance instance({ .attemptTimeout = Millis(100) });
  instance.Announce("s1", server.Address());
  auto result = instance.Call(
    MakeRequest("r1", { { "Limpetwood-Repeatable", aRepeatable } }));
  EXPECT_EQ(server.Executed(), 1U);
  return FormatOutcome(result).substr(0, 16);
}

// Guards against retrying a non-repeatable request after its server failed
// while it ran the request. A response with status 500 is passed on like any
// other.
TEST(Failures, BrokenExecutionMayHaveRunAndIsNotRepeated)
{
  EXPECT_EQ(OutcomeOfFaultyServer({ .closeShare = 1 }, "no"),
            "may_have_run 502");
  // A part of the response has already been sent to the caller, so the proxy
  // resets the caller's connection. The full text is "connection may_have_run".
  EXPECT_EQ(OutcomeOfFaultyServer({ .truncateShare = 1 }, "no"),
            "connection may_h");
  EXPECT_EQ(OutcomeOfFaultyServer({ .stallShare = 1 }, "no").substr(0, 13),
            "may_have_run ");
  EXPECT_EQ(OutcomeOfFaultyServer({ .failShare = 1 }, "no"), "answered 500");
}

// Counts responses of 100000 bytes that arrive truncated but with status 200.
int
CountTruncatedSuccesses(TestInstanceOptions aOptions)
{
  TestServer server(
    { .id = "s1", .executionTime = Millis(0), .truncateShare = 0.5 });
  TestInstance instance(aOptions);
  instance.Announce("s1", server.Address());
  int truncatedSuccesses = 0;
  for (int n = 0; n < 20; ++n) {
    auto request = MakeRequest("r",
                               { { "Standin-Answer-Bytes", "100000" },
                                 { "Limpetwood-Repeatable", "no" } });
    auto result = instance.Call(request);
    bool success =
      result.verdict == Verdict::kAnswered && result.response.status == 200;
    truncatedSuccesses +=
      success && result.response.body.size() != 100000 ? 1 : 0;
  }
  return truncatedSuccesses;
}

// Guards against passing a truncated response on as a complete one.
TEST(Failures, TruncatedResponseIsNotASuccess)
{
  EXPECT_EQ(CountTruncatedSuccesses({}), 0);
}

// Contradictions between the logs of callers and backend servers, and the
// caller's totals.
struct Discrepancies
{
  // Requests executed more than once.
  int ranTwice = 0;
  // Requests with the verdict "not_run" that were executed.
  int ranThoughNotRun = 0;
  // Requests with the verdict "answered" that were never executed.
  int answeredThoughNotRun = 0;
  uint64_t wrongAnswers = 0;
  uint64_t answered = 0;
  uint64_t sent = 0;

  bool operator==(const Discrepancies&) const = default;
};

// Sends requests through one instance to four servers that stall, fail,
// truncate responses and close connections at random. Two of them are killed
// during the run.
Discrepancies
RunWithFaultyServers(bool aRepeatable, TestInstanceOptions aOptions)
{
  TemporaryFile executed("lw-executed");
  TemporaryFile results("lw-results");
  aOptions.attemptTimeout = Millis(200);
  TestInstance instance(aOptions);
  std::vector<std::unique_ptr<TestServer>> servers;
  for (int n = 0; n < 4; ++n) {
    std::string id = "s" + std::to_string(n);
    servers.push_back(std::make_unique<TestServer>(
      standin::BackendOptions{ .id = id,
                               .executionTime = Millis(4),
                               .seed = 40U + static_cast<uint64_t>(n),
                               .stallShare = 0.01,
                               .failShare = 0.02,
                               .truncateShare = 0.05,
                               .closeShare = 0.05,
                               .eventLog = executed.Path() }));
    // One slot more than the server has, so that it refuses some requests.
    instance.Announce(id, servers.back()->Address(), 9);
  }
  nlohmann::json summary;
  std::thread callerThread([&] {
    summary = instance.RunCaller({ .requests = 1500,
                                   // More than the 32 slots of the servers,
                                   // fewer than the 36 that are announced.
                                   .concurrency = 34,
                                   .timeout = Seconds(20),
                                   .repeatable = aRepeatable,
                                   .eventLog = results.Path() });
  });
  for (int n = 0; n < 2; ++n) {
    auto& server = *servers[static_cast<size_t>(n)];
    WaitUntil([&] { return server.Executed() > 60; });
    server.Kill();
  }
  callerThread.join();
  std::map<std::string, int> executions;
  executed.ForEach([&](const nlohmann::json& aEvent) {
    ++executions[aEvent["request"].get<std::string>()];
  });
  Discrepancies discrepancies;
  discrepancies.wrongAnswers = summary["wrongAnswers"];
  discrepancies.answered = summary["answered"];
  discrepancies.sent = summary["sent"];
  results.ForEach([&](const nlohmann::json& aEvent) {
    int count = executions[aEvent["request"].get<std::string>()];
    discrepancies.ranTwice += count > 1 ? 1 : 0;
    discrepancies.ranThoughNotRun +=
      aEvent["verdict"] == "not_run" && count > 0;
    discrepancies.answeredThoughNotRun +=
      aEvent["verdict"] == "answered" && count == 0;
  });
  return discrepancies;
}

// Guards against a retry that runs a non-repeatable request twice, and against
// verdicts that contradict the executions.
TEST(Failures, NonRepeatableRequestsRunAtMostOnce)
{
  Discrepancies discrepancies = RunWithFaultyServers(false, {});
  EXPECT_EQ(discrepancies.ranTwice, 0);
  EXPECT_EQ(discrepancies.ranThoughNotRun, 0);
  EXPECT_EQ(discrepancies.answeredThoughNotRun, 0);
  EXPECT_EQ(discrepancies.wrongAnswers, 0U);
  EXPECT_GT(discrepancies.answered, discrepancies.sent / 2);
}

// Verifies that the check above fails without the safeguard.
TEST(Failures, CheckDetectsRepeatedExecutions)
{
  TestInstanceOptions options;
  options.router.testOnly.retryAlways = true;
  EXPECT_GT(RunWithFaultyServers(false, options).ranTwice, 0);
}

// Guards against verdicts that contradict the executions when requests are
// retried.
TEST(Failures, RepeatableRequestsKeepTheirVerdicts)
{
  Discrepancies discrepancies = RunWithFaultyServers(true, {});
  EXPECT_EQ(discrepancies.ranThoughNotRun, 0);
  EXPECT_EQ(discrepancies.answeredThoughNotRun, 0);
  EXPECT_EQ(discrepancies.wrongAnswers, 0U);
  EXPECT_GT(discrepancies.answered, discrepancies.sent / 2);
}

// Guards against a request that is retried on a third server after two of them
// closed the connection while they executed it, and against an end that leaves
// no trace in the log.
TEST(Failures, RequestThatLostTwoServersIsGivenUp)
{
  std::vector<std::unique_ptr<TestServer>> servers;
  std::string event;
  TestInstanceOptions options;
  // The retry budget allows all attempts.
  options.router.retryRatio = 3;
  options.proxy.log = [&](const LogEvent& aEvent) {
    event = aEvent.JsonMembers();
  };
  TestInstance instance(options);
  for (const char* id : { "s1", "s2", "s3", "s4" }) {
    servers.push_back(std::make_unique<TestServer>(
      standin::BackendOptions{ .id = id, .closeShare = 1 }));
    instance.Announce(id, servers.back()->Address());
  }
  EXPECT_EQ(FormatOutcome(instance.Call(MakeRequest("r1"))),
            "may_have_run 502 servers_lost");
  uint64_t executed = 0;
  for (const auto& it : servers) {
    executed += it->Executed();
  }
  EXPECT_EQ(executed, 2U);
  EXPECT_NE(event.find("request_given_up"), std::string::npos) << event;
}

// Guards against a retry that sends only a part of a body larger than the
// replay buffer.
TEST(Failures, LargeBodyIsNotRepeated)
{
  TestServer first({ .id = "s1", .closeShare = 1 });
  TestServer second({ .id = "s2", .closeShare = 1 });
  TestInstance instance;
  instance.Announce("s1", first.Address());
  instance.Announce("s2", second.Address());
  auto request = MakeRequest("r1");
  request.body.assign(1000000, 'b');
  EXPECT_EQ(FormatOutcome(instance.Call(request)).substr(0, 17),
            "may_have_run 502 ");
  EXPECT_EQ(first.Executed() + second.Executed(), 1U);
}

} // namespace
} // namespace limpetwood::proxy
