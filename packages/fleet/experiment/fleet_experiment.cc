// Compares scheduling policies under load patterns in virtual time.
//
//   fleet_experiment [--seeds N] [--load X] [--pattern NAME]
//
// Prints a row for each pattern and policy: `worth` (ratio of earned to
// possible value), one column per class with its ratio, `wasted` (share of
// accelerator seconds whose work was lost), p50 and p95 of the start delay of
// urgent jobs, the number of workers that tasks crashed, of sound jobs that
// failed, and of violations: starts over a worker's capacity (`limit`), starts
// of tasks that had crashed too many workers (`budget`) and tasks with two runs
// (`bad`).

#include "fleet/experiment/patterns.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>

namespace {

using namespace limpetwood;
using namespace limpetwood::fleet::experiment;

// Means over the seeds; violations are summed and start delays collected.
struct Total
{
  double value = 0;
  double wastedAcceleratorSeconds = 0;
  double usedAcceleratorSeconds = 0;
  size_t violations = 0;
  size_t limitViolations = 0;
  size_t budgetViolations = 0;
  size_t workersCrashed = 0;
  size_t soundJobsFailed = 0;
  std::map<std::string, double> classes;
  std::vector<Millis> urgentStartDelays;
};

Millis
Quantile(std::vector<Millis> aTimes, size_t aPercent)
{
  if (aTimes.empty()) {
    return {};
  }
  std::sort(aTimes.begin(), aTimes.end());
  return aTimes[std::min(aTimes.size() * aPercent / 100, aTimes.size() - 1)];
}

Total
RunSeeds(const std::string& aPattern,
         const Policy& aPolicy,
         uint64_t aSeeds,
         double aLoad)
{
  Total total;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    for (Pattern& it : AllPatterns(seed, aLoad)) {
      if (it.name != aPattern) {
        continue;
      }
      it.options.planner = aPolicy.options;
      Outcomes outcomes = Emulator(it.options).Run();
      auto share = 1.0 / static_cast<double>(aSeeds);
      total.value += outcomes.ValueRatio() * share;
      total.wastedAcceleratorSeconds +=
        outcomes.wastedAcceleratorSeconds * share;
      total.usedAcceleratorSeconds += outcomes.usedAcceleratorSeconds * share;
      total.violations += outcomes.violations;
      total.limitViolations += outcomes.limitViolations;
      total.budgetViolations += outcomes.budgetViolations;
      total.workersCrashed += outcomes.workersCrashed;
      total.soundJobsFailed += outcomes.soundJobsFailed;
      for (const auto& [name, outcome] : outcomes.classes) {
        total.classes[name] += outcome.earnedValue / outcome.maxValue * share;
      }
      const auto& startDelays = outcomes.classes["check"].startDelays;
      total.urgentStartDelays.insert(
        total.urgentStartDelays.end(), startDelays.begin(), startDelays.end());
    }
  }
  return total;
}

} // namespace

int
main(int argc, char** argv)
{
  namespace options = boost::program_options;
  options::options_description description("fleet_experiment");
  auto add = description.add_options();
  add("seeds",
      options::value<uint64_t>()->default_value(3),
      "number of seeds per pattern and policy");
  add("load",
      options::value<double>()->default_value(1.0),
      "load relative to the usual rate");
  add("pattern", options::value<std::string>(), "run only this pattern");
  add("help", "print this text");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.contains("help")) {
      std::cout << description;
      return 0;
    }
    auto seeds = given["seeds"].as<uint64_t>();
    auto load = given["load"].as<double>();
    std::printf("%-16s %-21s %6s %6s %6s %6s %8s %7s %7s %7s %6s %5s %6s %3s\n",
                "pattern",
                "policy",
                "worth",
                "check",
                "stitch",
                "count",
                "wasted",
                "p50 ms",
                "p95 ms",
                "crashed",
                "failed",
                "limit",
                "budget",
                "bad");
    for (const Pattern& pattern : AllPatterns(1, load)) {
      if (given.contains("pattern") &&
          given["pattern"].as<std::string>() != pattern.name) {
        continue;
      }
      for (const Policy& policy : AllPolicies()) {
        Total it = RunSeeds(pattern.name, policy, seeds, load);
        std::printf(
          "%-16s %-21s %6.3f %6.3f %6.3f %6.3f %7.1f%% %7ld %7ld %7zu %6zu "
          "%5zu %6zu %3zu\n",
          pattern.name.c_str(),
          policy.name.c_str(),
          it.value,
          it.classes["check"],
          it.classes["stitch"],
          it.classes["count"],
          it.usedAcceleratorSeconds > 0
            ? it.wastedAcceleratorSeconds / it.usedAcceleratorSeconds * 100
            : 0,
          static_cast<long>(Quantile(it.urgentStartDelays, 50).Count()),
          static_cast<long>(Quantile(it.urgentStartDelays, 95).Count()),
          it.workersCrashed,
          it.soundJobsFailed,
          it.limitViolations,
          it.budgetViolations,
          it.violations);
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "fleet_experiment: " << error.what() << '\n';
    return 2;
  }
}
