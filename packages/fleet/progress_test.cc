#include "fleet/forecast.h"
#include "fleet/health.h"
#include "fleet/progress.h"
#include "fleet/worker_link.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

// A run that gained `aPerSecond` percent each second for `aTime`.
Progress
Steady(int32_t aPerSecond, Millis aTime)
{
  Progress out;
  for (Millis at; at <= aTime; at += Millis(500)) {
    out.Observe(static_cast<int32_t>(aPerSecond * at.Count() / 1000), at);
  }
  return out;
}

TEST(Progress, MemberThatKeepsUpIsSteady)
{
  Progress own = Steady(18, Millis(2000));
  Progress peer = Steady(20, Millis(2000));
  EXPECT_EQ(Judge({ .own = &own, .peers = { &peer } }), Pace::kSteady);
}

// Guards against gangs that wait for a worker that is many times slower.
TEST(Progress, MemberThatIsFarBehindIsHopeless)
{
  Progress own = Steady(3, Millis(2000));
  Progress peer = Steady(20, Millis(2000));
  EXPECT_EQ(Judge({ .own = &own, .peers = { &peer } }), Pace::kHopeless);
}

// A run near its end is left alone, however slow its worker has become.
TEST(Progress, SlowRunNearItsEndOnlyLags)
{
  Progress own;
  own.Observe(0, Millis(0));
  own.Observe(97, Millis(4000));
  own.Observe(98, Millis(4500));
  own.Observe(98, Millis(5000));
  own.Observe(99, Millis(5500));
  Progress peer = Steady(22, Millis(4500));
  EXPECT_EQ(Judge({ .own = &own, .peers = { &peer } }), Pace::kLagging);
}

TEST(Progress, WithoutPeersOnlyALearnedTimeTells)
{
  Progress own = Steady(3, Millis(2000));
  EXPECT_EQ(Judge({ .own = &own, .peers = {} }), Pace::kUnknown);
  EXPECT_EQ(Judge({ .own = &own, .peers = {}, .expected = Millis(5000) }),
            Pace::kHopeless);
}

TEST(Progress, MemberThatIsThroughIsNotJudged)
{
  Progress own = Steady(100, Millis(3000));
  own.Observe(100, Millis(6000));
  Progress peer = Steady(20, Millis(3000));
  EXPECT_EQ(Judge({ .own = &own, .peers = { &peer } }), Pace::kUnknown);
}

TEST(Forecast, LearnsFromTasksThatWereDone)
{
  Forecast forecast;
  QueueId queue("queue");
  EXPECT_EQ(forecast.Expect(queue, Millis(9000)), Millis(9000));
  for (int n = 0; n < 3; ++n) {
    forecast.OnDone(queue, Millis(2000));
  }
  EXPECT_EQ(forecast.Expect(queue, Millis(9000)), Millis(2000));
}

TEST(Forecast, RestFollowsTheRateOfTheRun)
{
  Forecast forecast;
  Progress run = Steady(25, Millis(2000));
  EXPECT_EQ(forecast.Rest(QueueId("queue"), run, Millis(2000)), Millis(2000));
  EXPECT_EQ(forecast.Rest(QueueId("queue"), run, Millis(2500)), Millis(1500));
}

// An estimate of the caller alone is no reason to wait.
TEST(Forecast, RestIsUnknownWithoutProgressOrExperience)
{
  Forecast forecast;
  EXPECT_EQ(forecast.Rest(QueueId("queue"), Progress(), Millis(0)),
            Millis::Max());
}

TEST(Health, FailuresOfOneJobAreNoProof)
{
  Health health{ HealthOptions() };
  WorkerId worker("w1");
  for (int n = 0; n < 5; ++n) {
    health.OnFailed(worker, JobId("a"), Millis(n));
  }
  EXPECT_FALSE(health.IsExcluded(worker, Millis(10)));
  health.OnFailed(worker, JobId("b"), Millis(20));
  health.OnFailed(worker, JobId("c"), Millis(30));
  EXPECT_TRUE(health.IsExcluded(worker, Millis(40)));
}

TEST(Health, SuspicionEndsWithSuccessOrTime)
{
  HealthOptions options;
  Health health(options);
  WorkerId worker("w1");
  health.OnStalled(worker, Millis(0));
  EXPECT_TRUE(health.IsExcluded(worker, Millis(1)));
  EXPECT_FALSE(health.IsExcluded(worker, options.memory + Millis(1)));
  health.OnStalled(worker, Millis(100));
  health.OnDone(worker);
  EXPECT_EQ(health.SuspicionOf(worker, Millis(101)), 0);
}

// A lease is over only when the worker's clock, however slow, has passed it.
TEST(WorkerLink, LeaseIsOverOnlyOnTheSlowestClock)
{
  WorkerLink link(Incarnation(1), Millis(0), Millis(0));
  link.OnClock(Millis(50'000), Millis(1000));
  Millis until = link.GrantUntil(Millis(1000), Millis(10'000));
  EXPECT_EQ(until, Millis(60'000));
  EXPECT_FALSE(link.LeaseOver(Millis(11'050)));
  EXPECT_FALSE(link.LeaseOver(Millis(11'200)));
  EXPECT_TRUE(link.LeaseOver(Millis(11'400)));
}

// What an earlier leader granted is not known, but it is bounded.
TEST(WorkerLink, LeaseOfAnEarlierLeaderIsWaitedFor)
{
  WorkerLink link(Incarnation(1), Millis(0), Millis(10'000));
  EXPECT_FALSE(link.LeaseOver(Millis(10'100)));
  EXPECT_TRUE(link.LeaseOver(Millis(10'500)));
}

TEST(WorkerLink, OlderReportsDoNotTurnTheClockBack)
{
  WorkerLink link(Incarnation(1), Millis(0), Millis(0));
  link.OnClock(Millis(5000), Millis(1000));
  link.OnClock(Millis(4000), Millis(1010));
  EXPECT_GE(*link.ClockFloor(Millis(1010)), Millis(5000));
}

} // namespace
} // namespace limpetwood::fleet
