// Replays the same seeded arrivals with the scheduler and three baseline
// policies. Prints one JSON line per policy and one per comparison with the
// targets.
//
// Usage: scheduler_policy_benchmark [seeds [load [mode]]]
//
// `mode` is floating, fixed, buddy or preempt; see options.h.

#include "scheduler/testing/workload.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <cstring>

namespace limpetwood::scheduler::testing {
namespace {

// Offered load as a share of the capacity. It keeps the baselines busy without
// overload, as their drain times after the window show.
constexpr double kDefaultLoad = 0.9;

double
Quantile(std::vector<double> aValues, double aQuantile)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  auto index = static_cast<std::size_t>(
    std::lround(aQuantile * static_cast<double>(aValues.size() - 1)));
  return aValues[index];
}

std::vector<double>
Completions(const PolicyResult& aResult, const char* aKind)
{
  std::vector<double> out;
  for (const PolicyResult::SucceededJob& it : aResult.succeededJobs) {
    if (*aKind == 0 || it.kind == aKind) {
      out.push_back(static_cast<double>(it.completion.Count()) / 1000);
    }
  }
  return out;
}

void
PrintClass(const PolicyResult& aResult, const char* aKind)
{
  std::vector<double> values = Completions(aResult, aKind);
  double sum = 0;
  for (double it : values) {
    sum += it;
  }
  std::printf("\"%s\":{\"jobs\":%zu,\"mean_s\":%.0f,\"p95_s\":%.0f,"
              "\"p99_s\":%.0f},",
              *aKind == 0 ? "all" : aKind,
              values.size(),
              values.empty() ? 0 : sum / static_cast<double>(values.size()),
              Quantile(values, 0.95),
              Quantile(values, 0.99));
}

void
Print(const char* aPolicy,
      const std::string& aCase,
      const PolicyResult& aResult)
{
  std::printf("{\"benchmark\":\"scheduler_policy\",\"policy\":\"%s\",%s,",
              aPolicy,
              aCase.c_str());
  for (const char* kind : { "", "small", "medium", "large", "reclaim" }) {
    PrintClass(aResult, kind);
  }
  std::vector<double> reclaimWaits;
  for (Millis it : aResult.reclaimWaits) {
    reclaimWaits.push_back(static_cast<double>(it.Count()) / 1000);
  }
  std::printf("\"fragmentation\":%.4f,\"utilization\":%.4f,"
              "\"lost_work\":%.4f,\"reclaims\":%zu,\"reclaims_missed\":%zu,"
              "\"reclaim_max_s\":%.1f,\"drain_s\":%lld,\"breaches\":%zu}\n",
              aResult.fragmentation,
              aResult.utilization,
              aResult.lostWorkShare,
              aResult.reclaimWaits.size(),
              aResult.missedReclaims,
              Quantile(reclaimWaits, 1),
              static_cast<long long>(aResult.drainTime.Count() / 1000),
              aResult.violations);
}

void
Compare(const std::string& aCase,
        const PolicyResult& aSchedulerResult,
        const PolicyResult& aFirstFit,
        const PolicyResult& aBestFit)
{
  double p95 = Quantile(Completions(aSchedulerResult, ""), 0.95) /
               Quantile(Completions(aFirstFit, ""), 0.95);
  double fragmentation =
    aSchedulerResult.fragmentation / aBestFit.fragmentation;
  std::printf("{\"benchmark\":\"scheduler_policy_targets\",%s,"
              "\"p95_to_first_fit\":%.3f,\"p95_met\":%s,"
              "\"fragmentation_to_best_fit\":%.3f,\"fragmentation_met\":%s,"
              "\"reclaims_met\":%s,\"breaches_zero\":%s}\n",
              aCase.c_str(),
              p95,
              p95 <= 0.7 ? "true" : "false",
              fragmentation,
              fragmentation <= 0.5 ? "true" : "false",
              aSchedulerResult.missedReclaims == 0 ? "true" : "false",
              aSchedulerResult.violations == 0 ? "true" : "false");
}

void
RunAll(uint64_t aSeeds, double aLoad, const SchedulerOptions& aOptions)
{
  const Deployment deployments[] = {
    { "fjellnett", 3, 2, 8, 130, { 0.7, 0.3 } },
    { "corbillard", 4, 2, 6, 30, { 0.3, 0.7 } },
  };
  for (const Deployment& deployment : deployments) {
    for (const char* burst : { "small", "large" }) {
      for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
        Workload workload = MakeWorkload(deployment, burst, aLoad, seed);
        char text[160];
        std::snprintf(text,
                      sizeof(text),
                      "\"deployment\":\"%s\",\"bursts\":\"%s\",\"seed\":%llu,"
                      "\"load\":%.2f,\"arrivals\":%zu",
                      deployment.name.c_str(),
                      burst,
                      static_cast<unsigned long long>(seed),
                      aLoad,
                      workload.arrivals.size());
        PolicyResult schedulerResult = RunLimpetwood(workload, aOptions);
        PolicyResult firstFit = RunBaseline(Baseline::kFirstFit, workload);
        PolicyResult bestFit = RunBaseline(Baseline::kBestFit, workload);
        PolicyResult backfill = RunBaseline(Baseline::kBackfill, workload);
        Print("limpetwood", text, schedulerResult);
        Print("fifo_first_fit", text, firstFit);
        Print("best_fit", text, bestFit);
        Print("backfill_declared", text, backfill);
        Compare(text, schedulerResult, firstFit, bestFit);
        std::fflush(stdout);
      }
    }
  }
}

} // namespace
} // namespace limpetwood::scheduler::testing

int
main(int argc, char** argv)
{
  using namespace limpetwood::scheduler;
  SchedulerOptions options;
  if (argc > 3) {
    if (std::strcmp(argv[3], "fixed") == 0) {
      options.guaranteeMode = GuaranteeMode::kFixedCells;
    } else if (std::strcmp(argv[3], "buddy") == 0) {
      options.guaranteeMode = GuaranteeMode::kBuddyCells;
    } else if (std::strcmp(argv[3], "preempt") == 0) {
      options.guaranteeMode = GuaranteeMode::kPreemptOnly;
    }
  }
  uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 2;
  double load =
    argc > 2 ? std::strtod(argv[2], nullptr) : testing::kDefaultLoad;
  testing::RunAll(seeds, load, options);
  return 0;
}
