// Guards against delays that cost callers more than they gain: work that is
// stopped although it was nearly done or would become late, and work that is
// kept although its result is worth nothing any more.

#include "fleet/caller_cost.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

constexpr Millis kNow(100'000);

class CallerCostTest : public testing::Test
{
protected:
  // Submits a job with one step of eight accelerators in all that takes
  // `aEstimate`.
  const Job& Submit(const std::string& aId,
                    int32_t aPriority,
                    Millis aEstimate,
                    uint32_t aTasks = 1)
  {
    JobSpec spec;
    StepSpec& step = spec.steps.emplace_back();
    step.tasks = aTasks;
    step.resources.accelerators = 8;
    step.estimate = aEstimate;
    spec.occurrences = mOccurrences;
    gen::SubmitJob job;
    job.id = aId;
    job.queue = "queue-" + std::to_string(aPriority);
    job.spec = ToWire(spec);
    job.priority = aPriority;
    job.stretch = 2;
    job.targetLatencyMs = 1000;
    job.acceptedAtMs = kNow.Count();
    gen::Command command;
    command.jobs.push_back(job);
    mState.Apply(command);
    return *mState.FindJob(JobId(aId));
  }

  CallerCost CostAt(Millis aAge) const
  {
    return { mState, mForecast, kNow + aAge };
  }

  FleetState mState;
  Forecast mForecast;
  uint32_t mOccurrences = 0;
};

TEST_F(CallerCostTest, UrgentAndLargerResultsAreWorthMore)
{
  const Job& urgent = Submit("a", 0, Seconds(2));
  const Job& small = Submit("b", 1, Seconds(2));
  const Job& large = Submit("c", 1, Seconds(2), 3);
  CallerCost cost = CostAt(Millis(0));
  EXPECT_DOUBLE_EQ(cost.ValueOf(urgent), 1);
  // Half of it for the priority; 0.5 and 1.5 times the mean work of the queue.
  EXPECT_DOUBLE_EQ(cost.ValueOf(small), 0.5 * (0.3 + 0.7 * 0.5));
  EXPECT_DOUBLE_EQ(cost.ValueOf(large), 0.5 * (0.3 + 0.7 * 1.5));
}

// An urgent job may displace work up to what callers gain, not any work.
TEST_F(CallerCostTest, GainFollowsTheValueOfWorkAtHand)
{
  const Job& urgent = Submit("a", 0, Seconds(2));
  // One job alone: a core-second is worth what its own work is.
  double work = 2 * 64;
  EXPECT_NEAR(CostAt(Millis(0)).GainInTime(urgent), 0.75 * work, 1e-6);
  // Much larger jobs of little value make a core-second cheap.
  Submit("b", 2, Seconds(20), 10);
  EXPECT_GT(CostAt(Millis(0)).GainInTime(urgent), 0.75 * work);
}

// A recurring job must not make every core-second look worthless.
TEST_F(CallerCostTest, OccurrencesDoNotChangeTheValueOfWork)
{
  const Job& urgent = Submit("a", 0, Seconds(2));
  Submit("b", 2, Seconds(2));
  double once = CostAt(Millis(0)).GainInTime(urgent);
  mOccurrences = 1000;
  Submit("c", 2, Seconds(2));
  EXPECT_LE(CostAt(Millis(0)).GainInTime(urgent), once * 2);
}

TEST_F(CallerCostTest, RestartCostsWhatMakesTheResultLate)
{
  const Job& job = Submit("a", 1, Seconds(10));
  // The objective is 1 s and twice the run time: 21 s.
  auto lossAt = [&](Millis aAge, Millis aRemaining) {
    return CostAt(aAge).LossByRestart(job, 0, aRemaining, Seconds(10));
  };
  EXPECT_EQ(lossAt(Seconds(2), Seconds(8)), 0);
  EXPECT_GT(lossAt(Seconds(11), Seconds(2)), 0);
  // Late anyway.
  EXPECT_EQ(lossAt(Seconds(20), Seconds(5)), 0);
}

// A job that turns out to be long has more time than its queue's jobs usually
// take.
TEST_F(CallerCostTest, LongJobHasALongObjective)
{
  const Job& job = Submit("a", 1, Seconds(10));
  EXPECT_GT(CostAt(Seconds(80)).LossByRestart(job, 0, Seconds(10), Seconds(70)),
            0);
  EXPECT_FALSE(
    CostAt(Seconds(80)).IsWorthless(job, 0, Seconds(10), Seconds(70)));
}

TEST_F(CallerCostTest, ResultBeyondThreeTimesItsObjectiveIsWorthless)
{
  const Job& job = Submit("a", 1, Seconds(10));
  EXPECT_FALSE(
    CostAt(Seconds(60)).IsWorthless(job, 0, Seconds(2), Seconds(10)));
  EXPECT_TRUE(CostAt(Seconds(62)).IsWorthless(job, 0, Seconds(2), Seconds(10)));
}

} // namespace
} // namespace limpetwood::fleet
