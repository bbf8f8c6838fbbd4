// Tests for the control leader's table of instances.

#include "membership/instance_table.h"

#include <gtest/gtest.h>

namespace limpetwood::membership {
namespace {

InstanceStatus
Status(const char* aId, uint64_t aIncarnation, uint64_t aVersion)
{
  InstanceStatus status;
  status.instance = InstanceId(aId);
  status.zone = ZoneId("sogn");
  status.incarnation = Incarnation(aIncarnation);
  status.version = ConfigVersion(aVersion);
  return status;
}

// Guards against a heartbeat of an earlier incarnation, delayed in the network,
// that overwrites the status of the restarted process.
TEST(InstanceTable, OlderIncarnationIsIgnored)
{
  InstanceTable table(8);
  EXPECT_TRUE(table.OnHeartbeat(Status("a", 2, 7), Millis(0)));
  EXPECT_FALSE(table.OnHeartbeat(Status("a", 1, 6), Millis(1)));
  EXPECT_EQ(table.All()[0].version, ConfigVersion(7));
}

// Guards against a failed instance that delays the convergence metric
// indefinitely, and against a live instance with an older version that is not
// counted.
TEST(InstanceTable, ConvergenceCountsLiveInstancesOnly)
{
  InstanceTable table(8);
  table.OnHeartbeat(Status("a", 1, 7), Millis(100));
  table.OnHeartbeat(Status("b", 1, 6), Millis(200));
  EXPECT_FALSE(table.ConvergedAt(ConfigVersion(7), Millis(300)));
  // b has missed its heartbeats and is no longer counted.
  table.OnHeartbeat(Status("a", 1, 7), Seconds(5));
  EXPECT_EQ(table.ConvergedAt(ConfigVersion(7), Seconds(5)), Millis(100));
}

// Guards against heartbeat traffic at the leader that grows with the number of
// instances.
TEST(InstanceTable, HeartbeatRateAtTheLeaderIsBounded)
{
  for (size_t n : { 1U, 8U, 20U, 72U, 500U }) {
    double rate = static_cast<double>(n) * 1000.0 /
                  static_cast<double>(HeartbeatInterval(n).Count());
    EXPECT_LE(rate, 20.0) << n << " instances";
  }
}

} // namespace
} // namespace limpetwood::membership
