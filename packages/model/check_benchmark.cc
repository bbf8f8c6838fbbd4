// Benchmark of the configuration check on a document of 2 MB with 20,000
// entries, against an earlier version of it. The design page asks for less than
// one second.

#include "model/check.h"

#include <benchmark/benchmark.h>

#include <string>

namespace limpetwood::model {
namespace {

// The largest numbers of zones, racks, workspaces and services that a document
// may have, and guarantees for the rest of the entries. `aFirstCount` is the
// count of each workspace's first guarantee. Shapes have from `aSmallest` to
// `aLargest` accelerators, and racks `aWorkers` workers with 8 accelerators
// each.
std::string
LargeDocument(uint32_t aFirstCount,
              int aSmallest = 1,
              int aLargest = 8,
              int aWorkers = 4)
{
  constexpr int kZones = 64;
  constexpr int kRacks = 4096;
  constexpr int kWorkspaces = 1024;
  constexpr int kServices = 512;
  constexpr int kGuarantees = 20000 - kZones - kRacks - kWorkspaces - kServices;
  std::string text = "{\n\"zones\": [";
  for (int n = 0; n < kZones; ++n) {
    text += (n > 0 ? ", \"zone-" : "\"zone-") + std::to_string(n) + "\"";
  }
  text += "],\n\"racks\": [";
  for (int n = 0; n < kRacks; ++n) {
    text += std::string(n > 0 ? "," : "") + "\n  { \"id\": \"rack-" +
            std::to_string(n) + "\", \"zone\": \"zone-" +
            std::to_string(n % kZones) +
            "\", \"workers\": " + std::to_string(aWorkers) +
            ", \"acceleratorsPerWorker\": 8, "
            "\"coresPerWorker\": 64, \"memoryMbPerWorker\": 262144 }";
  }
  text += "],\n\"workspaces\": [";
  int guarantees = 0;
  for (int n = 0; n < kWorkspaces; ++n) {
    text += std::string(n > 0 ? "," : "") + "\n  { \"id\": \"team-" +
            std::to_string(n) + "\", \"guarantees\": [";
    // Distributes the guarantees evenly.
    int end = kGuarantees * (n + 1) / kWorkspaces;
    for (bool first = true; guarantees < end; ++guarantees, first = false) {
      text +=
        std::string(first ? "" : ",") +
        "\n    { \"shape\": { \"accelerators\": " +
        std::to_string(aSmallest + guarantees % (aLargest - aSmallest + 1)) +
        ",\n                 \"closeness\": \"" +
        (guarantees % 3 > 0 ? "worker" : "rack") +
        "\" }, \"count\": " + std::to_string(first ? aFirstCount : 1) + " }";
    }
    text += "], \"quota\": { \"accelerators\": 256, \"jobs\": 1000, "
            "\"requests\": " +
            std::to_string(n % 2) + " } }";
  }
  text += "],\n\"services\": [";
  for (int n = 0; n < kServices; ++n) {
    text += std::string(n > 0 ? "," : "") + "\n  { \"id\": \"service-" +
            std::to_string(n) + "\", \"queueLimit\": 400 }";
  }
  return text + "]\n}\n";
}

void
Report(benchmark::State& aState,
       const std::string& aText,
       const CheckOutcome& aOutcome)
{
  auto count = [](size_t aCount) { return static_cast<double>(aCount); };
  aState.counters["bytes"] = count(aText.size());
  aState.counters["errors"] = count(aOutcome.Count(Severity::kError));
  aState.counters["warnings"] = count(aOutcome.Count(Severity::kWarning));
  aState.counters["changes"] = count(aOutcome.changes.size());
}

// An accepted document that lowers a guarantee of each workspace.
void
CheckLargeDocument(benchmark::State& aState)
{
  PlannedDocument inForce = ParseDocument(LargeDocument(2)).value;
  std::string text = LargeDocument(1);
  std::set<ServiceId> announced;
  CheckOutcome outcome;
  for (auto _ : aState) {
    outcome = CheckDocument({ text, &inForce, &announced });
  }
  Report(aState, text, outcome);
}
BENCHMARK(CheckLargeDocument)->Unit(benchmark::kMillisecond);

// The same document with more errors than are listed.
void
CheckLargeFaultyDocument(benchmark::State& aState)
{
  PlannedDocument inForce = ParseDocument(LargeDocument(2)).value;
  std::string text = LargeDocument(0);
  CheckOutcome outcome;
  for (auto _ : aState) {
    outcome = CheckDocument({ text, &inForce });
  }
  Report(aState, text, outcome);
}
BENCHMARK(CheckLargeFaultyDocument)->Unit(benchmark::kMillisecond);

// Racks with as many accelerators as are guaranteed, but two shapes of five or
// one of five and one of four do not fit into a worker of eight. Every order of
// packing is tried in vain.
void
CheckLargeDocumentThatDoesNotFit(benchmark::State& aState)
{
  std::string text = LargeDocument(1, 4, 5, 2);
  CheckOutcome outcome;
  for (auto _ : aState) {
    outcome = CheckDocument({ text });
  }
  Report(aState, text, outcome);
}
BENCHMARK(CheckLargeDocumentThatDoesNotFit)->Unit(benchmark::kMillisecond);

// The same document without line breaks, as `config show --json` prints it.
void
CheckLargeDocumentInOneLine(benchmark::State& aState)
{
  std::string text =
    WriteDocument(ParseDocument(LargeDocument(2)).value.document);
  CheckOutcome outcome;
  for (auto _ : aState) {
    outcome = CheckDocument({ text });
  }
  Report(aState, text, outcome);
}
BENCHMARK(CheckLargeDocumentInOneLine)->Unit(benchmark::kMillisecond);

} // namespace
} // namespace limpetwood::model
