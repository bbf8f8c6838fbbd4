// Guards against workers whose speed is misjudged: because their tasks are
// long, because their peers are slow, or because estimates drift.

#include "fleet/worker_speeds.h"

#include "base/random.h"
#include "fleet/step_rates.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

TaskRef
TaskAt(const std::string& aJob, uint32_t aIndex)
{
  return { .job = JobId(aJob), .occurrence = 0, .step = 0, .index = aIndex };
}

WorkerId
WorkerAt(int aNumber)
{
  return WorkerId("w" + std::to_string(aNumber));
}

TEST(StepRates, RunIsComparedWithItsStep)
{
  StepRates rates;
  WorkerSpeeds speeds;
  rates.Record(TaskAt("a", 0), WorkerAt(0), 2);
  rates.Record(TaskAt("a", 1), WorkerAt(1), 2);
  // Too few peers, and none of another job.
  EXPECT_FALSE(rates.MedianOfPeers(TaskAt("a", 1), WorkerAt(1), speeds));
  EXPECT_FALSE(rates.MedianOfPeers(TaskAt("b", 1), WorkerAt(1), speeds));
  rates.Record(TaskAt("a", 2), WorkerAt(2), 8);
  EXPECT_DOUBLE_EQ(*rates.MedianOfPeers(TaskAt("a", 1), WorkerAt(1), speeds),
                   4);
  // Tasks on the run's own worker are no peers.
  EXPECT_FALSE(rates.MedianOfPeers(TaskAt("a", 1), WorkerAt(2), speeds));
  rates.Forget(JobId("a"));
  EXPECT_FALSE(rates.MedianOfPeers(TaskAt("a", 1), WorkerAt(1), speeds));
}

TEST(StepRates, EachWorkerGivesOneSample)
{
  StepRates rates;
  EXPECT_TRUE(rates.TakeSample(TaskAt("a", 0), WorkerAt(0)));
  EXPECT_FALSE(rates.TakeSample(TaskAt("a", 1), WorkerAt(0)));
  EXPECT_TRUE(rates.TakeSample(TaskAt("b", 1), WorkerAt(0)));
}

// One long task on a sound worker is no evidence.
TEST(WorkerSpeeds, OneLongTaskDoesNotMakeAWorkerSlow)
{
  WorkerSpeeds speeds;
  speeds.Observe(WorkerAt(0), 0.14);
  EXPECT_EQ(speeds.ClassOf(WorkerAt(0)), SpeedClass::kNormal);
  speeds.Observe(WorkerAt(0), 1);
  EXPECT_EQ(speeds.ClassOf(WorkerAt(0)), SpeedClass::kNormal);
}

// Runs random gangs on a fleet of which `aShare` percent run at `aSpeed`, and
// returns the share of workers, in percent, whose class is right.
int
PercentClassifiedRight(int aShare, double aSpeed)
{
  constexpr int kWorkers = 100;
  constexpr int kGangs = 600;
  Random random(7);
  StepRates rates;
  WorkerSpeeds speeds;
  auto speedOf = [&](int aWorker) { return aWorker < aShare ? aSpeed : 1; };
  for (int gang = 0; gang < kGangs; ++gang) {
    std::string job = "job" + std::to_string(gang);
    // Three jobs in a hundred are seven times as long.
    double rate = gang % 33 == 0 ? 2 : 14;
    std::vector<int> members;
    for (uint32_t n = 0; n < 4; ++n) {
      int worker = static_cast<int>(random.Below(kWorkers));
      members.push_back(worker);
      rates.Record(TaskAt(job, n), WorkerAt(worker), rate * speedOf(worker));
    }
    for (uint32_t n = 0; n < members.size(); ++n) {
      auto expected =
        rates.MedianOfPeers(TaskAt(job, n), WorkerAt(members[n]), speeds);
      if (expected && rates.TakeSample(TaskAt(job, n), WorkerAt(members[n]))) {
        speeds.Observe(WorkerAt(members[n]),
                       rate * speedOf(members[n]) / *expected);
      }
    }
  }
  SpeedClass odd = aSpeed > 1 ? SpeedClass::kFast : SpeedClass::kSlow;
  int right = 0;
  for (int n = 0; n < kWorkers; ++n) {
    SpeedClass truth = n < aShare ? odd : SpeedClass::kNormal;
    right += speeds.ClassOf(WorkerAt(n)) == truth ? 1 : 0;
  }
  return right;
}

// Samples are relative to other workers' estimates, so errors could feed on
// themselves.
TEST(WorkerSpeeds, FastAndSlowWorkersAreFoundAmongOthers)
{
  EXPECT_GE(PercentClassifiedRight(25, 2.2), 95);
  EXPECT_GE(PercentClassifiedRight(25, 0.45), 95);
  EXPECT_GE(PercentClassifiedRight(33, 0.77), 90);
  EXPECT_EQ(PercentClassifiedRight(0, 1), 100);
}

TEST(WorkerSpeeds, SpeedOfAnEarlierLeaderHoldsUntilThereAreSamples)
{
  WorkerSpeeds speeds;
  EXPECT_FALSE(speeds.SpeedOf(WorkerAt(0)));
  speeds.Restore(WorkerAt(0), 2.2);
  EXPECT_EQ(speeds.ClassOf(WorkerAt(0)), SpeedClass::kFast);
  speeds.Observe(WorkerAt(0), 1);
  speeds.Observe(WorkerAt(0), 1);
  EXPECT_EQ(speeds.ClassOf(WorkerAt(0)), SpeedClass::kNormal);
  speeds.Forget(WorkerAt(0));
  EXPECT_FALSE(speeds.SpeedOf(WorkerAt(0)));
}

} // namespace
} // namespace limpetwood::fleet
