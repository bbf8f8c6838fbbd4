// Benchmarks of the guarantee plan at the target scale: 290 workspaces, 6,000
// workers with 8,800 accelerators in 18 zones.

#include "model/plan.h"
#include "model/validate.h"

#include <benchmark/benchmark.h>

#include <string>

namespace limpetwood::model {
namespace {

// 750 racks of 8 workers with 0, 1, 2 or 4 accelerators per worker. The 290
// workspaces together guarantee about `aPercent` of all accelerators.
Document
TargetScaleDocument(uint32_t aPercent)
{
  Document document;
  constexpr uint32_t kPerWorker[] = { 0, 1, 1, 2, 4 };
  for (int n = 0; n < 18; ++n) {
    document.zones.emplace_back("zone-" + std::to_string(n));
  }
  uint32_t total = 0;
  for (size_t n = 0; n < 750; ++n) {
    uint32_t perWorker = kPerWorker[(n / 18) % 5];
    total += 8 * perWorker;
    document.racks.push_back({ RackId("rack-" + std::to_string(n)),
                               document.zones[n % 18],
                               8,
                               Accelerators(perWorker),
                               64,
                               262144 });
  }
  for (uint32_t n = 0; n < 290; ++n) {
    Workspace workspace;
    workspace.id = WorkspaceId("team-" + std::to_string(n));
    uint32_t left = total * aPercent / 100 / 290;
    auto add = [&](uint32_t aSize, TopologyScope aScope, uint32_t aCount) {
      workspace.guarantees.push_back(
        { { Accelerators(aSize), aScope }, aCount, std::nullopt });
      left -= aSize * aCount;
    };
    if (n % 8 == 0) {
      add(16, TopologyScope::kRack, 1);
    }
    add(4, TopologyScope::kWorker, 1 + n % 2);
    add(1, TopologyScope::kWorker, left);
    workspace.quota = { Accelerators(200), 1000, 1000 };
    document.workspaces.push_back(std::move(workspace));
  }
  return document;
}

void
Plan(benchmark::State& aState)
{
  Document document =
    TargetScaleDocument(static_cast<uint32_t>(aState.range(0)));
  size_t faults = 0;
  size_t shapes = 0;
  for (auto _ : aState) {
    PlanOutcome outcome = PlanGuarantees(document);
    faults = outcome.faults.size();
    shapes = outcome.plan.shapes.size();
  }
  aState.counters["faults"] = static_cast<double>(faults);
  aState.counters["shapes"] = static_cast<double>(shapes);
}
BENCHMARK(Plan)->Arg(80)->Arg(95)->Arg(110)->Unit(benchmark::kMillisecond);

// Cost of a plan for an unchanged document, with its previous plan as input.
void
PlanAgain(benchmark::State& aState)
{
  Document document = TargetScaleDocument(80);
  PlanOutcome first = PlanGuarantees(document);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(PlanGuarantees(document, &first.plan));
  }
}
BENCHMARK(PlanAgain)->Unit(benchmark::kMillisecond);

// An input that is expensive for the exhaustive search: 32 racks that fit two
// shapes each, and 72 shapes of four sizes. The search reaches its node limit
// without a decision.
void
PlanUndecided(benchmark::State& aState)
{
  Document document;
  document.zones = { ZoneId("zone") };
  for (size_t n = 0; n < 32; ++n) {
    document.racks.push_back({ RackId("rack-" + std::to_string(n)),
                               document.zones[0],
                               8,
                               Accelerators(23),
                               64,
                               262144 });
  }
  Workspace workspace;
  workspace.id = WorkspaceId("team");
  for (uint32_t size : { 71, 73, 75, 77 }) {
    workspace.guarantees.push_back(
      { { Accelerators(size), TopologyScope::kRack }, 18, std::nullopt });
  }
  document.workspaces = { workspace };
  size_t faults = 0;
  for (auto _ : aState) {
    faults = PlanGuarantees(document).faults.size();
  }
  aState.counters["faults"] = static_cast<double>(faults);
}
BENCHMARK(PlanUndecided)->Unit(benchmark::kMillisecond);

void
ParseWholeDocument(benchmark::State& aState)
{
  std::string text = WriteDocument(TargetScaleDocument(80));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ParseDocument(text));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ParseWholeDocument)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace limpetwood::model

BENCHMARK_MAIN();
