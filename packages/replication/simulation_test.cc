// Random schedules of faults: guards against lost or reverted entries, two
// leaders, stale reads and wrong verdicts under any mix of failures.

#include "replication/testing/schedule.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>
#include <thread>

namespace limpetwood::replication::testing {
namespace {

// Also prints the trace, by running the failing seed again.
std::string
RunAndReport(uint64_t aSeed)
{
  ScheduleResult result = RunSchedule(aSeed, {}, false);
  if (!result.violation.empty()) {
    std::cout << "seed " << aSeed << "\n";
    RunSchedule(aSeed, {}, true);
  }
  return result.violation;
}

uint64_t
NumberFrom(const char* aVariable, uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aDefault;
}

// SIMULATION_SEED and SIMULATION_COUNT choose other seeds than the fixed ones.
// Seeds that once failed.
TEST(Simulation, EarlierFailuresStayMended)
{
  // 202418: the coordinator of the first start came back with a damaged log,
  // and the others could not elect anybody from empty ones.
  for (uint64_t seed : { 202418 }) {
    EXPECT_EQ(RunSchedule(seed, {}, false).violation, "") << "seed " << seed;
  }
}

TEST(Simulation, KeepsItsPromisesInRandomSchedules)
{
  uint64_t first = NumberFrom("SIMULATION_SEED", 1);
  uint64_t count = NumberFrom("SIMULATION_COUNT", 2000);
  std::map<std::string, uint64_t> faults;
  uint64_t answered = 0;
  uint64_t reads = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    ScheduleResult result = RunSchedule(seed, {}, false);
    if (!result.violation.empty()) {
      FAIL() << "seed " << seed << ": " << RunAndReport(seed);
    }
    answered += result.answered;
    reads += result.reads;
    for (const auto& [name, n] : result.faults) {
      faults[name] += n;
    }
  }
  std::cout << count << " schedules, " << answered << " writes, " << reads
            << " reads\n";
  for (const auto& [name, n] : faults) {
    std::cout << "  " << name << ": " << n << "\n";
  }
  // The schedules would prove nothing without work and faults. One alone may
  // be quiet.
  if (count >= 100) {
    EXPECT_GT(answered, count * 20);
    EXPECT_GT(reads, count * 20);
    for (const char* it : { "crash",
                            "isolation",
                            "one-way cut",
                            "network change",
                            "lost disk",
                            "bit rot in log-",
                            "bit rot in snapshot-",
                            "second loss after a repair",
                            "promotion",
                            "removal",
                            "transfer",
                            "disk failure" }) {
      EXPECT_GT(faults[it], count / 50) << it;
    }
  }
}

} // namespace
} // namespace limpetwood::replication::testing
