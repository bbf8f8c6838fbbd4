// Measures processor time, memory and peer traffic of an instance for several
// numbers of instances, on real processes, and prints one JSON line per size.
// The results are the input of docs/CAPACITY.md.
//
// Usage: capacity_probe [SECONDS [SIZE ...]]
//
// SECONDS is the length of the idle measurement, 10 by default. Each SIZE is a
// number of instances.

#include "e2e/cluster.h"

#include <unistd.h>

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace {

using namespace limpetwood;
using limpetwood::e2e::Cluster;
using nlohmann::json;

struct ResourceUsage
{
  double cpuSeconds = 0;
  double residentMb = 0;
  // Bytes on connections to other instances since the process started.
  double bytesSent = 0;
  double bytesReceived = 0;
};

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

ResourceUsage
ReadUsage(Cluster& aCluster, const std::string& aId)
{
  ResourceUsage usage;
  std::string folder =
    "/proc/" + std::to_string(aCluster.Process(aId).ProcessId());
  // Fields 14 and 15 of the file are user and system time; the search for ')'
  // skips fields 1 and 2.
  std::string stat = ReadFile(folder + "/stat");
  std::istringstream fields(stat.substr(stat.rfind(')') + 2));
  std::string skipped;
  for (int n = 0; n < 11; ++n) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  usage.cpuSeconds =
    (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  std::string status = ReadFile(folder + "/status");
  usage.residentMb =
    std::strtod(status.c_str() + status.find("VmRSS:") + 6, nullptr) / 1024;
  usage.bytesSent = aCluster.Metric(aId, "limpetwood_peer_sent_bytes_total");
  usage.bytesReceived =
    aCluster.Metric(aId, "limpetwood_peer_received_bytes_total");
  return usage;
}

json
UsageRates(const ResourceUsage& aBefore,
           const ResourceUsage& aAfter,
           double aSeconds)
{
  auto rate = [&](double aEarlier, double aLater) {
    return (aLater - aEarlier) / aSeconds;
  };
  return { { "corePercent", 100 * rate(aBefore.cpuSeconds, aAfter.cpuSeconds) },
           { "residentMb", aAfter.residentMb },
           { "sentPerSecond", rate(aBefore.bytesSent, aAfter.bytesSent) },
           { "receivedPerSecond",
             rate(aBefore.bytesReceived, aAfter.bytesReceived) } };
}

// The first three instances are voters; the others have no disk.
e2e::ClusterSpec
SpecFor(size_t aSize)
{
  e2e::ClusterSpec spec;
  const char* zones[] = { "alpha", "beta", "gamma" };
  for (size_t n = 0; n < aSize; ++n) {
    spec.instances.push_back({ "i" + std::to_string(n), zones[n % 3], n < 3 });
  }
  return spec;
}

void
Measure(size_t aSize, int aSeconds)
{
  Cluster cluster(SpecFor(aSize));
  cluster.StartAll();
  uint64_t version = cluster.Configure("i0", cluster.Document(), 0);
  bool ready = e2e::Eventually(Seconds(20), [&] {
    for (const auto& it : cluster.Instances()) {
      if (cluster.VersionAt(it.id) != version) {
        return false;
      }
    }
    return version == 1;
  });
  // Keeps the traffic of the start-up out of the idle measurement.
  std::this_thread::sleep_for(std::chrono::seconds(8));
  std::string leader;
  if (!ready || !e2e::Eventually(Seconds(10), [&] {
        leader = cluster.Leader();
        return !leader.empty();
      })) {
    std::cout << json({ { "instances", aSize }, { "ready", false } }).dump()
              << std::endl;
    return;
  }
  // The last instance has no disk if there are more than three.
  std::string entry = "i" + std::to_string(aSize - 1);
  ResourceUsage leaderBefore = ReadUsage(cluster, leader);
  ResourceUsage entryBefore = ReadUsage(cluster, entry);
  std::this_thread::sleep_for(std::chrono::seconds(aSeconds));
  ResourceUsage leaderIdle = ReadUsage(cluster, leader);
  ResourceUsage entryIdle = ReadUsage(cluster, entry);
  constexpr int kChanges = 100;
  for (int n = 0; n < kChanges; ++n) {
    version = cluster.Configure("i0", cluster.Document(200 + n), version);
  }
  // Traffic that the changes cause until then is counted too.
  std::this_thread::sleep_for(std::chrono::seconds(2));
  ResourceUsage leaderBusy = ReadUsage(cluster, leader);
  json line = { { "instances", aSize },
                { "ready", ready && version == kChanges + 1 },
                { "leader", UsageRates(leaderBefore, leaderIdle, aSeconds) },
                { "entry", UsageRates(entryBefore, entryIdle, aSeconds) },
                { "bytesPerChangeAtLeader",
                  (leaderBusy.bytesSent - leaderIdle.bytesSent) / kChanges },
                { "convergenceSeconds",
                  cluster.Metric(
                    leader, "limpetwood_configuration_convergence_seconds") } };
  std::cout << line.dump() << std::endl;
}

} // namespace

int
main(int argc, char** argv)
{
  int seconds = argc > 1 ? std::atoi(argv[1]) : 10;
  std::vector<size_t> sizes;
  for (int n = 2; n < argc; ++n) {
    sizes.push_back(static_cast<size_t>(std::atoi(argv[n])));
  }
  if (sizes.empty()) {
    sizes = { 3, 8, 13, 19 };
  }
  for (size_t it : sizes) {
    Measure(it, seconds);
  }
  return 0;
}
