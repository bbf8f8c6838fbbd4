// Tests failures on the request path with real processes. Each test compares
// the verdicts that callers received with the requests that servers executed.

#include "e2e/cluster.h"

#include <gtest/gtest.h>

#include <csignal>
#include <thread>

namespace limpetwood::e2e {
namespace {

using nlohmann::json;

ClusterSpec
TwoZones()
{
  return {
    .instances = { { "a1", "alpha" }, { "a2", "alpha" }, { "b1", "beta" } },
    .voters = {}
  };
}

class RequestPathFailure : public testing::Test
{
protected:
  void StartSystem(int aServersPerZone)
  {
    mCluster = std::make_unique<Cluster>(TwoZones());
    mCluster->StartAll();
    ASSERT_EQ(mCluster->Configure("a1", mCluster->Document(), 0), 1U);
    for (const char* zone : { "alpha", "beta" }) {
      for (int n = 1; n <= aServersPerZone; ++n) {
        mCluster->StartServer(zone + std::string("-s") + std::to_string(n),
                              zone);
      }
    }
    // Wait until each instance knows the servers and gets slots granted by
    // their home instances.
    ASSERT_TRUE(Eventually(Seconds(20), [&] {
      for (const char* it : { "a1", "a2", "b1" }) {
        json summary = mCluster->RunCaller({ it }, { "--requests", "1" });
        if (!summary.is_object() || summary.value("answered", 0) != 1) {
          return false;
        }
      }
      return true;
    }));
  }

  // Expects that no request was executed twice, none that was executed was
  // reported as "not run", and none that was not executed was answered.
  void ExpectCorrectVerdicts()
  {
    VerdictCounts counts = mCluster->CountVerdicts();
    EXPECT_EQ(counts.executedRepeatedly, 0U);
    EXPECT_EQ(counts.executedButNotRun, 0U);
    EXPECT_EQ(counts.answeredButNotExecuted, 0U);
  }

  std::unique_ptr<Cluster> mCluster;
};

// An instance that receives requests is killed under load. No executed request
// may be reported as "not run", and none may be executed twice.
TEST_F(RequestPathFailure, EntryKilledUnderLoad)
{
  StartSystem(2);
  mCluster->StartCaller({ "a1", "a2", "b1" },
                        { "--requests",
                          "3000",
                          "--concurrency",
                          "16",
                          "--work-ms",
                          "5",
                          "--repeatable",
                          "false",
                          "--duration-ms",
                          "8000" });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  mCluster->Kill("a2");
  json summary = mCluster->FinishCaller(Seconds(30));
  EXPECT_GT(summary.value("answered", 0), 1000);
  ExpectCorrectVerdicts();
}

// A backend server is killed under load. Requests that may have run must be
// retried only if they are marked as repeatable.
TEST_F(RequestPathFailure, BackendServerKilledUnderLoad)
{
  StartSystem(2);
  mCluster->StartCaller({ "a1", "b1" },
                        { "--requests",
                          "3000",
                          "--concurrency",
                          "12",
                          "--work-ms",
                          "10",
                          "--repeatable",
                          "false",
                          "--duration-ms",
                          "6000" });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  mCluster->Process("alpha-s1").Kill();
  json summary = mCluster->FinishCaller(Seconds(30));
  EXPECT_GT(summary.value("answered", 0), 1000);
  // Only requests in the 8 slots of the killed server can have an unknown
  // outcome.
  EXPECT_LE(summary.value("mayHaveRun", 0), 8);
  ExpectCorrectVerdicts();
}

// A backend server shuts down gracefully under load. No request may be aborted.
TEST_F(RequestPathFailure, BackendServerLeavingUnderLoad)
{
  StartSystem(2);
  mCluster->StartCaller({ "a1", "a2", "b1" },
                        { "--requests",
                          "2000",
                          "--concurrency",
                          "12",
                          "--work-ms",
                          "10",
                          "--repeatable",
                          "false",
                          "--duration-ms",
                          "6000" });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  mCluster->Process("alpha-s1").Signal(SIGTERM);
  json summary = mCluster->FinishCaller(Seconds(30));
  EXPECT_EQ(summary.value("mayHaveRun", -1), 0);
  EXPECT_GT(summary.value("answered", 0), 1000);
  ExpectCorrectVerdicts();
}

// An instance shuts down gracefully while it forwards requests. No request may
// be aborted.
TEST_F(RequestPathFailure, GracefulShutdownAbortsNoRequest)
{
  StartSystem(2);
  mCluster->StartCaller({ "a2" },
                        { "--requests",
                          "8",
                          "--concurrency",
                          "8",
                          "--work-ms",
                          "2000",
                          "--repeatable",
                          "false",
                          "--duration-ms",
                          "10000" });
  // The 8 requests take 2 s each and should be in progress now.
  std::this_thread::sleep_for(std::chrono::milliseconds(700));
  mCluster->Signal("a2", SIGTERM);
  json summary = mCluster->FinishCaller(Seconds(30));
  EXPECT_EQ(summary.value("answered", 0), 8);
  EXPECT_EQ(mCluster->WaitForExit("a2", Seconds(15)), 0);
  ExpectCorrectVerdicts();
}

// During a network partition between zones, each zone must keep serving
// requests with its own servers.
TEST_F(RequestPathFailure, PartitionedZonesKeepServing)
{
  StartSystem(2);
  mCluster->PartitionZone("beta", RelayMode::kSilent);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  for (const char* it : { "a1", "b1" }) {
    json summary = mCluster->RunCaller({ it },
                                       { "--requests",
                                         "200",
                                         "--concurrency",
                                         "4",
                                         "--work-ms",
                                         "2",
                                         "--repeatable",
                                         "false" });
    EXPECT_EQ(summary.value("answered", 0), 200) << it;
  }
  ExpectCorrectVerdicts();
}

// Servers stall, fail, truncate responses and close connections. No executed
// request may be reported as "not run", and none may be executed twice.
TEST_F(RequestPathFailure, VerdictsAreCorrectWithFaultyServers)
{
  StartSystem(1);
  mCluster->StartServer("alpha-bad",
                        "alpha",
                        { "--stall-share",
                          "0.05",
                          "--truncate-share",
                          "0.1",
                          "--close-share",
                          "0.1",
                          "--fail-share",
                          "0.1" });
  json summary = mCluster->RunCaller({ "a1", "a2" },
                                     { "--requests",
                                       "600",
                                       "--concurrency",
                                       "8",
                                       "--work-ms",
                                       "2",
                                       "--repeatable",
                                       "false",
                                       "--deadline-ms",
                                       "1500",
                                       "--duration-ms",
                                       "20000" });
  EXPECT_GT(summary.value("answered", 0), 300);
  ExpectCorrectVerdicts();
}

} // namespace
} // namespace limpetwood::e2e
