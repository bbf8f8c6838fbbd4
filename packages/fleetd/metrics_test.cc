// Guards against reasons of refusals, run ends and retries that have no counter
// of their own, and against histogram buckets that are not cumulative.

#include "fleetd/metrics.h"

#include "replication/memory_disk.h"

#include <gtest/gtest.h>

#include <set>

namespace limpetwood::fleetd {
namespace {

class NullNodeEnvironment : public fleet::NodeEnvironment
{
public:
  void SendReplication(const InstanceId& /*aTo*/,
                       std::string /*aBytes*/) override
  {
  }
  void SendOrder(fleet::Order /*aOrder*/) override {}
  void Log(const LogEvent& /*aEvent*/) override {}
};

std::string
Render(daemon::Families aFamilies)
{
  daemon::MetricRegistry registry;
  registry.Publish("test", std::move(aFamilies));
  return registry.Render();
}

TEST(FleetMetrics, EachReasonHasACounter)
{
  replication::MemoryDisk disk;
  NullNodeEnvironment environment;
  fleet::NodeOptions options;
  options.group.self = InstanceId("a");
  options.group.folder = "folder";
  options.group.voters = { InstanceId("a") };
  options.group.disk = &disk;
  auto node = std::move(fleet::Node::Open(options, environment)).Value();
  Millis now = Seconds(1000);
  for (int n = 0; n < 500 && !node->IsLeading(); ++n) {
    now += Millis(20);
    node->Tick(now, now);
  }
  ASSERT_TRUE(node->IsLeading());
  daemon::Families families;
  AddFamilies(families, *node);
  AddFamilies(families, RelayCounters{});
  std::string text = Render(std::move(families));
  std::set<std::string> labels;
  for (int n = 0; n < fleet::kOrderRefusalCount; ++n) {
    labels.insert("limpetwood_starts_refused_total{reason=\"" +
                  std::string(fleet::OrderRefusalName(
                    static_cast<fleet::OrderRefusal>(n))) +
                  "\"}");
  }
  for (int n = 0; n < fleet::kEndKindCount; ++n) {
    labels.insert(
      "limpetwood_runs_ended_total{how=\"" +
      std::string(fleet::EndKindName(static_cast<fleet::EndKind>(n))) + "\"}");
  }
  for (int n = 0; n < fleet::kRequestOutcomeCount; ++n) {
    labels.insert("limpetwood_leader_requests_total{outcome=\"" +
                  std::string(fleet::RequestOutcomeName(
                    static_cast<fleet::RequestOutcome>(n))) +
                  "\"}");
  }
  for (const char* reason :
       { "not_leader", "not_sent", "no_answer", "leader_moved" }) {
    labels.insert(std::string("limpetwood_relay_retries_total{reason=\"") +
                  reason + "\"}");
  }
  for (const char* reason :
       { "preempted", "stalled", "lagging", "start_withdrawn" }) {
    labels.insert(std::string("limpetwood_runs_given_up_total{reason=\"") +
                  reason + "\"}");
  }
  for (const std::string& it : labels) {
    EXPECT_NE(text.find(it), std::string::npos) << it;
  }
}

TEST(FleetMetrics, HistogramBucketsAreCumulativeAndInSeconds)
{
  LatencyHistogram histogram;
  histogram.Observe(Millis(3));
  histogram.Observe(Millis(30));
  histogram.Observe(Seconds(100));
  daemon::Families families;
  AddHistogram(families, "test_seconds", "help", histogram);
  std::string text = Render(std::move(families));
  EXPECT_NE(text.find("test_seconds_bucket{le=\"0.005\"} 1"),
            std::string::npos);
  EXPECT_NE(text.find("test_seconds_bucket{le=\"0.05\"} 2"), std::string::npos);
  EXPECT_NE(text.find("test_seconds_bucket{le=\"+Inf\"} 3"), std::string::npos);
  EXPECT_NE(text.find("test_seconds_count 3"), std::string::npos);
}

} // namespace
} // namespace limpetwood::fleetd
