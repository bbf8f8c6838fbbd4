// Runs load patterns in virtual time.
//
//   fleet_experiment [--table overload|policies] [--seed N] [--seeds N]
//     [--load X] [--workers N] [--pattern NAME] [--gang-pace slowest|own]
//     [--overload-policy priority|caller_cost]
//     [--latency-from accepted|first] [--drain SECONDS]
//
// The table `overload` has a row for each pattern of `OverloadPatterns` and
// priority, summed over the seeds: submitted, cancelled and unfinished jobs
// (`open`), refused submissions and callers that gave up, the share of rated
// jobs in time (`intime`), their mean value, the mean value of the workspaces
// that do not flood the fleet (`others`), runs stopped for being too slow, as
// stalled and by preemption, tasks stopped more than once for being too slow
// (`again`) and the most such stops of one (`most`), accelerator seconds of
// work thrown away and their share of those in use (`lost`), and broken gang
// runs. See `PriorityOutcome`.
//
// The table `policies` has a row for each pattern of `AllPatterns` and policy:
// `worth` (ratio of earned to possible value), one column per class with its
// ratio, `wasted` (share of accelerator seconds whose work was lost), p50 and
// p95 of the start delay of urgent jobs, the number of workers that tasks
// crashed, of sound jobs that failed, and of violations: starts over a worker's
// capacity (`limit`), starts of tasks that had crashed too many workers
// (`budget`) and tasks with two runs (`bad`).

#include "fleet/experiment/patterns.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <optional>
#include <stdexcept>

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

struct Settings
{
  uint64_t firstSeed = 1;
  uint64_t seeds = 1;
  double load = 1;
  size_t workers = 48;
  // Runs all patterns if empty.
  std::string pattern;
  GangPace gangPace = GangPace::kOwnSpeed;
  bool callerCost = false;
  bool countsFromFirstSubmission = false;
  // Overrides `EmulatorOptions::drainTime` of the overload patterns.
  std::optional<Millis> drainTime{};
};

Total
RunSeeds(const std::string& aPattern,
         const Policy& aPolicy,
         const Settings& aSettings)
{
  Total total;
  for (uint64_t n = 0; n < aSettings.seeds; ++n) {
    for (Pattern& it : AllPatterns(aSettings.firstSeed + n, aSettings.load)) {
      if (it.name != aPattern) {
        continue;
      }
      it.options.planner = aPolicy.options;
      Outcomes outcomes = Emulator(it.options).Run();
      auto share = 1.0 / static_cast<double>(aSettings.seeds);
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

void
PrintPolicies(const Settings& aSettings)
{
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
  for (const Pattern& pattern :
       AllPatterns(aSettings.firstSeed, aSettings.load)) {
    if (!aSettings.pattern.empty() && aSettings.pattern != pattern.name) {
      continue;
    }
    for (const Policy& policy : AllPolicies()) {
      Total it = RunSeeds(pattern.name, policy, aSettings);
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
}

void
PrintRow(const std::string& aPattern,
         int32_t aPriority,
         const PriorityOutcome& aOutcome)
{
  double lostPercent =
    aOutcome.usedAcceleratorSeconds > 0
      ? aOutcome.lostAcceleratorSeconds / aOutcome.usedAcceleratorSeconds * 100
      : 0;
  std::printf("%-13s %4d %6zu %6zu %5zu %7zu %6zu %6.3f %6.3f %6.3f %5zu %5zu "
              "%7zu %5zu %4zu %8.0f %5.1f%% %6zu\n",
              aPattern.c_str(),
              static_cast<int>(aPriority),
              aOutcome.jobs,
              aOutcome.cancelled,
              aOutcome.open,
              aOutcome.refusals,
              aOutcome.givenUp,
              aOutcome.InTimeShare(),
              aOutcome.MeanValue(),
              aOutcome.OthersMeanValue(),
              aOutcome.tooSlow,
              aOutcome.stalled,
              aOutcome.preempted,
              aOutcome.repeatedlyTooSlow,
              aOutcome.mostTooSlow,
              aOutcome.lostAcceleratorSeconds,
              lostPercent,
              aOutcome.brokenGangs);
}

// Sums the outcomes by priority over the seeds. Throws if a run violates an
// invariant.
std::map<int32_t, PriorityOutcome>
RunOverload(const std::string& aPattern, const Settings& aSettings)
{
  std::map<int32_t, PriorityOutcome> out;
  for (uint64_t n = 0; n < aSettings.seeds; ++n) {
    for (Pattern& it : OverloadPatterns(
           aSettings.firstSeed + n, aSettings.load, aSettings.workers)) {
      if (it.name != aPattern) {
        continue;
      }
      it.options.gangPace = aSettings.gangPace;
      it.options.callerCost = aSettings.callerCost;
      it.options.drainTime = aSettings.drainTime.value_or(it.options.drainTime);
      it.options.countsFromFirstSubmission =
        aSettings.countsFromFirstSubmission;
      Outcomes outcomes = Emulator(it.options).Run();
      if (outcomes.violations + outcomes.limitViolations > 0) {
        throw std::runtime_error("violated invariants in " + aPattern);
      }
      for (const auto& [priority, outcome] : outcomes.priorities) {
        out[priority].Add(outcome);
      }
    }
  }
  return out;
}

void
PrintOverload(const Settings& aSettings)
{
  std::printf(
    "%-13s %4s %6s %6s %5s %7s %6s %6s %6s %6s %5s %5s %7s %5s %4s %8s "
    "%6s %6s\n",
    "pattern",
    "prio",
    "jobs",
    "cancel",
    "open",
    "refused",
    "gaveup",
    "intime",
    "value",
    "others",
    "slow",
    "stall",
    "preempt",
    "again",
    "most",
    "lost s",
    "lost",
    "broken");
  for (const Pattern& pattern : OverloadPatterns(
         aSettings.firstSeed, aSettings.load, aSettings.workers)) {
    if (!aSettings.pattern.empty() && aSettings.pattern != pattern.name) {
      continue;
    }
    for (const auto& [priority, outcome] :
         RunOverload(pattern.name, aSettings)) {
      PrintRow(pattern.name, priority, outcome);
    }
    std::fflush(stdout);
  }
}

// Throws if the table has no pattern of the given name.
void
CheckPattern(const std::string& aName, const std::vector<Pattern>& aPatterns)
{
  bool known = aName.empty() ||
               std::any_of(aPatterns.begin(),
                           aPatterns.end(),
                           [&](const Pattern& it) { return it.name == aName; });
  if (!known) {
    throw std::runtime_error("the table has no pattern '" + aName + "'");
  }
}

// Returns whether the option has the second of two values.
bool
Choose(const std::string& aValue,
       const std::string& aFirst,
       const std::string& aSecond)
{
  if (aValue != aFirst && aValue != aSecond) {
    throw std::runtime_error("expected '" + aFirst + "' or '" + aSecond +
                             "' instead of '" + aValue + "'");
  }
  return aValue == aSecond;
}

} // namespace

int
main(int argc, char** argv)
{
  namespace options = boost::program_options;
  options::options_description description("fleet_experiment");
  auto add = description.add_options();
  add("table",
      options::value<std::string>()->default_value("overload"),
      "overload or policies");
  add("seed",
      options::value<uint64_t>()->default_value(1),
      "first seed; the same seed gives the same results");
  add("seeds",
      options::value<uint64_t>()->default_value(3),
      "number of seeds per row");
  add("load",
      options::value<double>()->default_value(1.0),
      "load relative to the usual rate");
  add("workers",
      options::value<size_t>()->default_value(48),
      "number of workers of the table overload");
  add("pattern",
      options::value<std::string>()->default_value(""),
      "run only this pattern");
  add("gang-pace",
      options::value<std::string>()->default_value("own"),
      "members of a gang progress at the speed of the slowest or their own");
  add("overload-policy",
      options::value<std::string>()->default_value("priority"),
      "priority or caller_cost, for the table overload");
  add("latency-from",
      options::value<std::string>()->default_value("accepted"),
      "the latency of refused jobs counts from the accepted or the first "
      "submission");
  add("drain",
      options::value<int64_t>(),
      "seconds after the last arrival in which jobs may still end");
  add("help", "print this text");
  try {
    options::variables_map given;
    options::store(options::parse_command_line(argc, argv, description), given);
    options::notify(given);
    if (given.contains("help")) {
      std::cout << description;
      return 0;
    }
    Settings settings{ .firstSeed = given["seed"].as<uint64_t>(),
                       .seeds = given["seeds"].as<uint64_t>(),
                       .load = given["load"].as<double>(),
                       .workers = given["workers"].as<size_t>(),
                       .pattern = given["pattern"].as<std::string>() };
    settings.gangPace =
      Choose(given["gang-pace"].as<std::string>(), "slowest", "own")
        ? GangPace::kOwnSpeed
        : GangPace::kSlowestMember;
    settings.callerCost = Choose(
      given["overload-policy"].as<std::string>(), "priority", "caller_cost");
    settings.countsFromFirstSubmission =
      Choose(given["latency-from"].as<std::string>(), "accepted", "first");
    if (given.contains("drain")) {
      settings.drainTime = Seconds(given["drain"].as<int64_t>());
    }
    if (Choose(given["table"].as<std::string>(), "overload", "policies")) {
      CheckPattern(settings.pattern, AllPatterns(1, 1));
      PrintPolicies(settings);
    } else {
      CheckPattern(settings.pattern, OverloadPatterns(1, 1, 1));
      PrintOverload(settings);
    }
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "fleet_experiment: " << error.what() << '\n';
    return 2;
  }
}
