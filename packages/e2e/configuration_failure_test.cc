// Tests failures of the control group with real processes: accepted
// configurations must be kept, reach every instance and never be reverted.

#include "e2e/cluster.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace limpetwood::e2e {
namespace {

using nlohmann::json;

ClusterSpec
ThreeZones()
{
  return { .instances = { { "a1", "alpha" },
                          { "b1", "beta" },
                          { "c1", "gamma" },
                          { "c2", "gamma", false } },
           .voters = {} };
}

bool
AllReachedVersion(Cluster& aCluster, uint64_t aVersion)
{
  for (const InstanceSpec& it : aCluster.Instances()) {
    if (aCluster.VersionAt(it.id) < aVersion) {
      return false;
    }
  }
  return true;
}

// Polls the version in force on every instance and counts how often an instance
// goes back to an older one.
class VersionMonitor
{
public:
  explicit VersionMonitor(Cluster& aCluster)
    : mCluster(aCluster)
    , mThread([this] { Poll(); })
  {
  }

  ~VersionMonitor() { Stop(); }

  int Stop()
  {
    mStop = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    return mReversions;
  }

private:
  void Poll()
  {
    std::map<std::string, uint64_t> highest;
    while (!mStop) {
      for (const InstanceSpec& it : mCluster.Instances()) {
        uint64_t version = mCluster.VersionAt(it.id);
        // Version 0 is not counted: the instance is stopped, not ready after a
        // restart, or did not respond.
        if (version > 0 && version < highest[it.id]) {
          ++mReversions;
        }
        highest[it.id] = std::max(highest[it.id], version);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
  }

  Cluster& mCluster;
  std::atomic<bool> mStop = false;
  std::atomic<int> mReversions = 0;
  std::thread mThread;
};

// An accepted configuration must be in force everywhere within 6 s, also if it
// was submitted through an instance without a disk.
TEST(ConfigurationFailure, ChangeIsInForceEverywhereWithinSixSeconds)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  ASSERT_EQ(cluster.Configure("a1", cluster.Document(), 0), 1U);
  EXPECT_TRUE(
    Eventually(Seconds(6), [&] { return AllReachedVersion(cluster, 1); }));
  ASSERT_EQ(cluster.Configure("c2", cluster.Document(101), 1), 2U);
  EXPECT_TRUE(
    Eventually(Seconds(6), [&] { return AllReachedVersion(cluster, 2); }));
}

// The leader is killed while configurations are submitted. Acknowledged
// versions must be kept, and no instance may go back to an older one.
TEST(ConfigurationFailure, LeaderKilledDuringChanges)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  uint64_t version = cluster.Configure("c2", cluster.Document(), 0);
  ASSERT_EQ(version, 1U);
  ASSERT_TRUE(
    Eventually(Seconds(6), [&] { return AllReachedVersion(cluster, 1); }));
  VersionMonitor monitor(cluster);
  for (int round = 0; round < 2; ++round) {
    std::string leader;
    ASSERT_TRUE(Eventually(Seconds(10), [&] {
      leader = cluster.Leader();
      return !leader.empty();
    }));
    for (int n = 0; n < 5; ++n) {
      if (n == 2) {
        cluster.Kill(leader);
      }
      uint64_t next = cluster.Configure(
        "c2", cluster.Document(200 + static_cast<int>(version)), version);
      ASSERT_EQ(next, version + 1);
      version = next;
    }
    cluster.Start(leader);
    ASSERT_TRUE(Eventually(
      Seconds(15), [&] { return AllReachedVersion(cluster, version); }));
  }
  EXPECT_EQ(monitor.Stop(), 0);
  json history = cluster.Get("c2", "/v1/configuration/history");
  EXPECT_EQ(history["versions"].size(), version);
}

// Two operators submit different documents based on the same version; one must
// not silently overwrite the other.
TEST(ConfigurationFailure, ConcurrentSubmissionsWithSameBase)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  ASSERT_EQ(cluster.Configure("a1", cluster.Document(), 0), 1U);
  for (int round = 0; round < 5; ++round) {
    std::string base = std::to_string(round + 1);
    std::vector<int> statuses(2);
    std::vector<std::thread> operators;
    operators.reserve(2);
    for (int n = 0; n < 2; ++n) {
      operators.emplace_back([&, n] {
        std::string id = n == 0 ? "a1" : "b1";
        auto result =
          cluster.Fetch(id,
                        "PUT",
                        "/v1/configuration",
                        cluster.Document(300 + round * 2 + n),
                        { { "Limpetwood-Base-Version", base },
                          { "Limpetwood-Idempotency-Key", id + base } });
        statuses[static_cast<size_t>(n)] = result.response.status;
      });
    }
    for (std::thread& it : operators) {
      it.join();
    }
    std::sort(statuses.begin(), statuses.end());
    EXPECT_EQ(statuses, (std::vector<int>{ 200, 409 }));
  }
}

// The response to a submission is lost, and the operator repeats it through
// another instance. It must be applied only once.
TEST(ConfigurationFailure, ResubmissionIsAppliedOnce)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  ASSERT_EQ(cluster.Configure("a1", cluster.Document(), 0), 1U);
  std::map<std::string, std::string> headers = {
    { "Limpetwood-Base-Version", "1" }, { "Limpetwood-Idempotency-Key", "k" }
  };
  for (const char* it : { "a1", "b1", "c2" }) {
    auto result = cluster.Fetch(
      it, "PUT", "/v1/configuration", cluster.Document(400), headers);
    EXPECT_EQ(result.response.status, 200) << result.response.body;
    EXPECT_EQ(json::parse(result.response.body)["version"], 2);
  }
}

// All processes are killed after hundreds of configuration changes and
// restarted. The last accepted version must be in force again.
TEST(ConfigurationFailure, RestartAfterHundredsOfChanges)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  uint64_t version = 0;
  for (int n = 0; n < 300; ++n) {
    version = cluster.Configure("a1", cluster.Document(500 + n), version);
    ASSERT_EQ(version, static_cast<uint64_t>(n + 1));
  }
  for (const InstanceSpec& it : cluster.Instances()) {
    cluster.Kill(it.id);
  }
  cluster.StartAll();
  EXPECT_TRUE(Eventually(Seconds(15),
                         [&] { return AllReachedVersion(cluster, version); }));
  EXPECT_EQ(cluster.Configure("b1", cluster.Document(1), version), version + 1);
}

// The leader is isolated for a long time. It must stop accepting changes, the
// others must continue without it, and its return must not disturb them.
TEST(ConfigurationFailure, IsolatedLeaderAcceptsNoChanges)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  ASSERT_EQ(cluster.Configure("a1", cluster.Document(), 0), 1U);
  ASSERT_TRUE(
    Eventually(Seconds(6), [&] { return AllReachedVersion(cluster, 1); }));
  std::string isolated;
  ASSERT_TRUE(Eventually(Seconds(5), [&] {
    isolated = cluster.Leader();
    return !isolated.empty();
  }));
  VersionMonitor monitor(cluster);
  cluster.PartitionInstance(isolated, RelayMode::kSilent);
  std::string connected = isolated == "b1" ? "a1" : "b1";
  uint64_t version = 1;
  for (int n = 0; n < 3; ++n) {
    version = cluster.Configure(connected, cluster.Document(600 + n), version);
    ASSERT_EQ(version, static_cast<uint64_t>(n + 2));
  }
  auto refused = cluster.Fetch(isolated,
                               "PUT",
                               "/v1/configuration",
                               cluster.Document(700),
                               { { "Limpetwood-Base-Version", "1" } });
  EXPECT_NE(refused.response.status, 200);
  // Longer than the default electionMaxMs of 3 s.
  std::this_thread::sleep_for(std::chrono::seconds(5));
  double term = cluster.Metric(cluster.Leader(), "limpetwood_control_term");
  cluster.HealPartitions();
  EXPECT_TRUE(Eventually(Seconds(15),
                         [&] { return AllReachedVersion(cluster, version); }));
  EXPECT_EQ(monitor.Stop(), 0);
  // The reconnected instance must not cause an election.
  EXPECT_EQ(cluster.Metric(cluster.Leader(), "limpetwood_control_term"), term);
}

// Existing connections between instances discard all data without being closed,
// while new ones work. Instances must replace the silent connections.
TEST(ConfigurationFailure, SilentConnectionsAreReplaced)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  ASSERT_EQ(cluster.Configure("a1", cluster.Document(), 0), 1U);
  ASSERT_TRUE(
    Eventually(Seconds(6), [&] { return AllReachedVersion(cluster, 1); }));
  for (const InstanceSpec& it : cluster.Instances()) {
    cluster.PartitionInstance(it.id, RelayMode::kExistingSilent);
  }
  EXPECT_EQ(cluster.Configure("a1", cluster.Document(800), 1), 2U);
  EXPECT_TRUE(
    Eventually(Seconds(15), [&] { return AllReachedVersion(cluster, 2); }));
}

// A voter is lost together with its disk, the system replaces it, and
// immediately afterwards a second voter is lost. No accepted version may be
// lost.
TEST(ConfigurationFailure, SecondLossRightAfterRepair)
{
  ClusterSpec spec{ .instances = { { "a1", "alpha" },
                                   { "b1", "beta" },
                                   { "c1", "gamma" },
                                   { "a2", "alpha" } },
                    .voters = { "a1", "b1", "c1" } };
  spec.timings["repairAfterMs"] = 5000;
  Cluster cluster(spec);
  cluster.StartAll();
  uint64_t version = 0;
  for (int n = 0; n < 20; ++n) {
    version = cluster.Configure("a1", cluster.Document(900 + n), version);
  }
  ASSERT_EQ(version, 20U);
  cluster.Kill("b1");
  cluster.DeleteDataFolder("b1");
  ASSERT_TRUE(Eventually(Seconds(30), [&] {
    json list = cluster.Get("a1", "/v1/instances");
    for (const json& it : list["instances"]) {
      if (it["instance"] == "a2") {
        return it["role"] == "voter" || it["role"] == "leader";
      }
    }
    return false;
  }));
  cluster.Kill("c1");
  cluster.DeleteDataFolder("c1");
  EXPECT_EQ(cluster.Configure("a1", cluster.Document(1), version), 21U);
  json history = cluster.Get("a2", "/v1/configuration/history");
  EXPECT_EQ(history["versions"].size(), 21U);
}

// An instance without a disk restarts while its zone is partitioned. It must
// not serve, because it cannot rule out that the configuration it would get is
// older than the one it served before.
TEST(ConfigurationFailure, DisklessInstanceDoesNotServeAfterRestartInPartition)
{
  Cluster cluster(ThreeZones());
  cluster.StartAll();
  ASSERT_EQ(cluster.Configure("a1", cluster.Document(), 0), 1U);
  ASSERT_TRUE(
    Eventually(Seconds(6), [&] { return AllReachedVersion(cluster, 1); }));
  cluster.PartitionZone("gamma", RelayMode::kSilent);
  cluster.Kill("c2");
  cluster.Start("c2");
  EXPECT_FALSE(Eventually(Seconds(5), [&] {
    return cluster.Fetch("c2", "GET", "/readyz").response.status == 200;
  }));
  EXPECT_EQ(cluster.Fetch("c1", "GET", "/readyz").response.status, 200);
  cluster.HealPartitions();
  EXPECT_TRUE(Eventually(Seconds(15), [&] {
    return cluster.Fetch("c2", "GET", "/readyz").response.status == 200;
  }));
}

} // namespace
} // namespace limpetwood::e2e
