// Measures the routing policies in virtual time: tail latency with a slow
// server, load during an outage, goodput under overload, bytes of digests, and
// hedging. Prints JSON lines. All figures are in virtual time, so they are
// reproducible.

#include "routing/simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string>

namespace limpetwood::routing {
namespace {

double
Percentile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  auto place = static_cast<std::size_t>(
    aQuantile * static_cast<double>(aValues.size() - 1));
  return aValues[place];
}

// Arrival times of a Poisson process.
std::vector<Millis>
Arrivals(double aPerSecond, Millis aFrom, Millis aUntil, uint64_t aSeed)
{
  Random random(aSeed);
  std::vector<Millis> times;
  auto at = static_cast<double>(aFrom.Count());
  while (true) {
    at -= std::log(1 - random.UniformDouble()) * 1000 / aPerSecond;
    if (at >= static_cast<double>(aUntil.Count())) {
      return times;
    }
    times.emplace_back(static_cast<int64_t>(at));
  }
}

constexpr uint32_t kServers = 10;
constexpr uint32_t kSlots = 8;
constexpr Millis kWarmUpEnd = Seconds(15);
constexpr Millis kRunEnd = Seconds(75);
constexpr int64_t kSlowdownFactor = 10;

SimulationOptions
OneInstance()
{
  SimulationOptions options;
  options.instancesPerZone = 1;
  options.serversPerZone = kServers;
  options.slots = kSlots;
  options.executionTimeMin = Millis(10);
  options.executionTimeMax = Millis(30);
  return options;
}

// Capacity in requests per second: all slots with a mean execution time of 20
// ms and 1 ms of network round trip.
constexpr double kCapacityPerSecond = kServers * kSlots * 1000.0 / 21;

// --- Tail latency ---

// Latencies in milliseconds with a load balancer that assigns each request to a
// server on arrival; requests beyond the slots of a server queue there.
template<typename ChooseServer>
std::vector<double>
AssignOnArrivalLatencies(const std::vector<Millis>& aArrivals,
                         ChooseServer aChooseServer)
{
  Random random(3);
  struct Assigned
  {
    std::vector<double> freeAt = std::vector<double>(kSlots, 0.0);
    std::vector<double> ends{};
  };
  std::vector<Assigned> servers(kServers);
  std::vector<double> latencies;
  for (Millis it : aArrivals) {
    auto now = static_cast<double>(it.Count());
    std::vector<std::size_t> open(kServers);
    for (uint32_t n = 0; n < kServers; ++n) {
      std::erase_if(servers[n].ends, [&](double x) { return x <= now; });
      open[n] = servers[n].ends.size();
    }
    uint32_t chosen = aChooseServer(open);
    Assigned& server = servers[chosen];
    auto slot = std::min_element(server.freeAt.begin(), server.freeAt.end());
    double executionTime = 10.0 + random.UniformDouble() * 20;
    executionTime *= chosen == 0 ? static_cast<double>(kSlowdownFactor) : 1;
    double end = std::max(now, *slot) + executionTime + 1;
    *slot = end;
    server.ends.push_back(end);
    if (it >= kWarmUpEnd) {
      latencies.push_back(end - now);
    }
  }
  return latencies;
}

std::vector<double>
RouterLatencies(const std::vector<Millis>& aArrivals,
                Millis aHedge,
                double& aSends)
{
  Simulation run(OneInstance());
  run.Servers()[0].slowdown = kSlowdownFactor;
  std::vector<std::pair<uint64_t, uint64_t>> pairs(aArrivals.size());
  for (std::size_t n = 0; n < aArrivals.size(); ++n) {
    run.At(aArrivals[n], [&run, &pairs, n, aHedge] {
      uint64_t first = run.Send(0, 0);
      pairs[n] = { first, first };
      if (aHedge > Millis(0)) {
        run.At(run.Now() + aHedge, [&run, &pairs, n, first] {
          if (!run.Calls()[first].ended) {
            pairs[n].second = run.Send(0, 0);
          }
        });
      }
    });
  }
  run.RunUntil(kRunEnd + Seconds(70));
  std::vector<double> latencies;
  for (auto [first, second] : pairs) {
    const auto& call = run.Calls()[first];
    Millis end = std::min(call.endedAt, run.Calls()[second].endedAt);
    if (call.sentAt >= kWarmUpEnd && call.ended &&
        call.ended->verdict == Verdict::kAnswered) {
      latencies.push_back(static_cast<double>((end - call.sentAt).Count()));
    }
  }
  aSends = static_cast<double>(run.Counts().sends) /
           static_cast<double>(aArrivals.size());
  return latencies;
}

void
TailLatency(double aLoad)
{
  std::vector<Millis> arrivals =
    Arrivals(kCapacityPerSecond * aLoad, Seconds(5), kRunEnd, 1);
  uint32_t turn = 0;
  std::vector<double> roundRobin = AssignOnArrivalLatencies(
    arrivals, [&](const auto&) { return turn++ % kServers; });
  Random ties(5);
  std::vector<double> leastConnections = AssignOnArrivalLatencies(
    arrivals, [&](const std::vector<std::size_t>& aOpen) {
      // Ties are broken at random rather than by index.
      auto start = static_cast<uint32_t>(ties.Below(kServers));
      uint32_t best = start;
      for (uint32_t n = 1; n < kServers; ++n) {
        uint32_t at = (start + n) % kServers;
        best = aOpen[at] < aOpen[best] ? at : best;
      }
      return best;
    });
  double sends = 0;
  std::vector<double> routed = RouterLatencies(arrivals, Millis(0), sends);
  double hedgedSends = 0;
  std::vector<double> hedged =
    RouterLatencies(arrivals, Millis(60), hedgedSends);
  for (double quantile : { 0.5, 0.99, 0.999 }) {
    double own = Percentile(routed, quantile);
    std::printf(
      "{\"benchmark\":\"tail_latency\",\"load\":%.1f,\"slow_servers\":0.1,"
      "\"slowness\":%ld,\"percentile\":%.1f,\"router_ms\":%.0f,"
      "\"round_robin_ms\":%.0f,\"least_connections_ms\":%.0f,"
      "\"ratio_to_round_robin\":%.2f,\"ratio_to_least_connections\":%.2f,"
      "\"requests\":%zu,\"answered\":%zu}\n",
      aLoad,
      static_cast<long>(kSlowdownFactor),
      quantile * 100,
      own,
      Percentile(roundRobin, quantile),
      Percentile(leastConnections, quantile),
      own / Percentile(roundRobin, quantile),
      own / Percentile(leastConnections, quantile),
      roundRobin.size(),
      routed.size());
    std::printf("{\"benchmark\":\"hedging\",\"load\":%.1f,\"percentile\":%.1f,"
                "\"without_ms\":%.0f,\"with_ms\":%.0f,"
                "\"sends_a_request_without\":%.3f,"
                "\"sends_a_request_with\":%.3f}\n",
                aLoad,
                quantile * 100,
                own,
                Percentile(hedged, quantile),
                sends,
                hedgedSends);
  }
}

// --- Outage ---

// `aFailing` of the ten servers refuse or reset every request for 30 s.
void
Outage(uint32_t aFailing)
{
  Simulation run(OneInstance());
  std::vector<Millis> arrivals =
    Arrivals(kCapacityPerSecond * 0.4, Seconds(10), Seconds(60), 2);
  uint64_t requests = 0;
  uint64_t sendsBefore = 0;
  uint64_t sends = 0;
  for (Millis it : arrivals) {
    run.At(it, [&run] { run.Send(0, 0); });
    requests += it >= Seconds(20) && it < Seconds(50) ? 1 : 0;
  }
  run.At(Seconds(20), [&] {
    sendsBefore = run.Counts().sends;
    for (uint32_t n = 0; n < aFailing; ++n) {
      run.Servers()[n].failing = true;
    }
  });
  run.At(Seconds(50), [&] {
    sends = run.Counts().sends - sendsBefore;
    for (auto& it : run.Servers()) {
      it.failing = false;
    }
  });
  run.RunUntil(Seconds(70));
  uint64_t answered = 0;
  for (const auto& it : run.Calls()) {
    answered += it.sentAt >= Seconds(20) && it.sentAt < Seconds(50) &&
                    it.ended && it.ended->verdict == Verdict::kAnswered
                  ? 1
                  : 0;
  }
  std::printf("{\"benchmark\":\"outage\",\"failing_servers\":%u,"
              "\"requests\":%lu,\"sends\":%lu,\"sends_a_request\":%.3f,"
              "\"answered_share\":%.3f}\n",
              aFailing,
              requests,
              sends,
              static_cast<double>(sends) / static_cast<double>(requests),
              static_cast<double>(answered) / static_cast<double>(requests));
}

// --- Goodput ---

double
Goodput(double aLoad, bool aEarlyRefusal)
{
  SimulationOptions options = OneInstance();
  options.router.testOnly.skipDeadlineCheck = !aEarlyRefusal;
  Simulation run(options);
  Random random(9);
  for (Millis it :
       Arrivals(kCapacityPerSecond * aLoad, Seconds(5), Seconds(35), 4)) {
    run.At(it, [&run, deadline = random.Between(Millis(50), Millis(250))] {
      RequestInfo info;
      info.deadline = run.Now() + deadline;
      run.Send(0, 0, info);
    });
  }
  run.RunUntil(Seconds(40));
  uint64_t answered = 0;
  for (const auto& it : run.Calls()) {
    answered += it.sentAt >= kWarmUpEnd && it.ended &&
                    it.ended->verdict == Verdict::kAnswered
                  ? 1
                  : 0;
  }
  return static_cast<double>(answered) / 20;
}

void
Overload()
{
  double peak = 0;
  for (double load : { 0.8, 0.9, 1.0, 1.1, 1.2 }) {
    peak = std::max(peak, Goodput(load, true));
  }
  double twice = Goodput(2, true);
  double without = Goodput(2, false);
  std::printf("{\"benchmark\":\"goodput\",\"peak_per_s\":%.0f,"
              "\"at_twice_capacity_per_s\":%.0f,\"ratio_to_peak\":%.3f,"
              "\"ratio_without_early_refusal\":%.3f}\n",
              peak,
              twice,
              twice / peak,
              without / peak);
}

// --- Digests ---

void
DigestBytes(uint32_t aInstances, uint32_t aServers)
{
  SimulationOptions options;
  options.instancesPerZone = aInstances;
  options.serversPerZone = aServers;
  options.useCodec = true;
  Simulation run(options);
  run.RunUntil(Seconds(10));
  uint64_t before = run.Counts().peerBytes;
  run.RunUntil(Seconds(30));
  double each =
    static_cast<double>(run.Counts().peerBytes - before) / 20 / aInstances;
  std::printf("{\"benchmark\":\"digest_bytes\",\"instances\":%u,"
              "\"servers\":%u,\"bytes_out_per_s_per_instance\":%.0f,"
              "\"share_of_7_kb_per_s\":%.3f}\n",
              aInstances,
              aServers,
              each,
              each / 7000);
}

} // namespace
} // namespace limpetwood::routing

int
main()
{
  using namespace limpetwood::routing;
  for (double load : { 0.3, 0.6, 0.8 }) {
    TailLatency(load);
  }
  for (uint32_t failing : { 1U, 5U, 10U }) {
    Outage(failing);
  }
  Overload();
  for (uint32_t instances : { 2U, 8U, 19U, 40U }) {
    for (uint32_t servers : { 50U, 500U }) {
      DigestBytes(instances, servers);
    }
  }
  return 0;
}
