// Measures the cost of one routing decision by the number of backend servers:
// the time to grant a slot, the time to end the attempt, and the allocations.
// Prints one JSON line per server count with the medians of several rounds.

#include "routing/router.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <new>
#include <string>
#include <vector>

namespace {

// NOLINTNEXTLINE(readability-identifier-naming)
std::atomic<uint64_t> sAllocations{ 0 };

} // namespace

void*
operator new(std::size_t aSize)
{
  sAllocations.fetch_add(1, std::memory_order_relaxed);
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace limpetwood::routing {
namespace {

constexpr int kRounds = 9;
constexpr uint64_t kDecisionsPerRound = 50'000;

Router
MakeRouter(uint32_t aServers, Millis& aNow)
{
  Router router({}, InstanceId("entry-1"), ZoneId("sogn"), 7);
  RoutingConfig config;
  config.version = ConfigVersion(1);
  config.services.push_back({ .id = ServiceId("meshcheck") });
  config.workspaces.push_back({ .id = WorkspaceId("inspection") });
  config.instances.push_back({ InstanceId("entry-1"), ZoneId("sogn") });
  router.ConfigurationChanged(config, aNow);
  for (Millis at : { Millis(0), Millis(1100), Millis(2200) }) {
    aNow = at;
    for (uint32_t n = 0; n < aServers; ++n) {
      ServerAnnouncement message;
      message.server = ServerId("server-" + std::to_string(n));
      message.service = ServiceId("meshcheck");
      message.zone = ZoneId("sogn");
      message.address = "10.0.0.1:" + std::to_string(n);
      message.incarnation = Incarnation(1);
      message.slots = 8;
      message.connections = 60;
      router.Announce(message, aNow);
    }
    router.Tick(aNow);
  }
  return router;
}

struct DecisionCost
{
  double admitNs = 0;
  double endNs = 0;
  double allocations = 0;
};

// Keeps up to 16 requests in progress, so that the servers differ in load.
DecisionCost
Measure(Router& aRouter, Millis aNow, uint64_t& aNext)
{
  using Clock = std::chrono::steady_clock;
  constexpr uint64_t kBatch = 16;
  std::vector<Grant> grants;
  grants.reserve(kBatch);
  RequestInfo info;
  info.workspace = WorkspaceId("inspection");
  info.service = ServiceId("meshcheck");
  Clock::duration admit{};
  Clock::duration end{};
  uint64_t before = sAllocations.load();
  for (uint64_t n = 0; n < kDecisionsPerRound; n += kBatch) {
    auto start = Clock::now();
    for (uint64_t k = 0; k < kBatch; ++k) {
      info.id = RequestId(++aNext);
      Effects effects = aRouter.Admit(info, aNow);
      if (effects.grants.size() != 1) {
        std::fprintf(stderr, "request was not granted a slot\n");
        std::exit(1);
      }
      grants.push_back(std::move(effects.grants[0]));
    }
    auto middle = Clock::now();
    for (const Grant& it : grants) {
      AttemptOutcome outcome;
      outcome.latency = Millis(static_cast<int64_t>(it.request.Value() % 20));
      aRouter.AttemptEnded(it.request, it.attempt, outcome, aNow);
    }
    auto done = Clock::now();
    admit += middle - start;
    end += done - middle;
    grants.clear();
  }
  auto each = [](Clock::duration aTime) {
    return std::chrono::duration<double, std::nano>(aTime).count() /
           kDecisionsPerRound;
  };
  return { each(admit),
           each(end),
           static_cast<double>(sAllocations.load() - before) /
             kDecisionsPerRound };
}

DecisionCost
MedianCost(uint32_t aServers)
{
  Millis now;
  Router router = MakeRouter(aServers, now);
  uint64_t next = 0;
  std::vector<DecisionCost> costs(kRounds);
  for (DecisionCost& it : costs) {
    it = Measure(router, now, next);
  }
  auto middle = [&](double DecisionCost::*aField) {
    std::sort(costs.begin(),
              costs.end(),
              [&](const DecisionCost& x, const DecisionCost& y) {
                return x.*aField < y.*aField;
              });
    return costs[kRounds / 2].*aField;
  };
  return { middle(&DecisionCost::admitNs),
           middle(&DecisionCost::endNs),
           middle(&DecisionCost::allocations) };
}

} // namespace
} // namespace limpetwood::routing

int
main()
{
  using namespace limpetwood::routing;
  double base = 0;
  for (uint32_t servers : { 50U, 500U, 5000U }) {
    DecisionCost cost = MedianCost(servers);
    base = base == 0 ? cost.admitNs : base;
    std::printf("{\"benchmark\":\"routing_decision\",\"servers\":%u,"
                "\"grant_ns\":%.0f,\"end_ns\":%.0f,"
                "\"grant_ratio_to_50\":%.2f,"
                "\"allocations_per_request\":%.2f}\n",
                servers,
                cost.admitNs,
                cost.endNs,
                cost.admitNs / base,
                cost.allocations);
  }
  return 0;
}
