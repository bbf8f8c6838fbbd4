// Tests of the estimates that the dispatcher relies on: progress, forecast,
// worker health and leases.

#include "fleet/forecast.h"
#include "fleet/health.h"
#include "fleet/progress.h"
#include "fleet/worker_link.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

// Returns the progress of a run that gained `aPerSecond` percent per second for
// `aTime`.
Progress
ProgressAtRate(int32_t aPerSecond, Millis aTime)
{
  Progress out;
  for (Millis at; at <= aTime; at += Millis(500)) {
    out.Observe(static_cast<int32_t>(aPerSecond * at.Count() / 1000), at);
  }
  return out;
}

// Guards against restarting members for small differences in pace.
TEST(Progress, MemberAtThePeerRateIsNormal)
{
  Progress own = ProgressAtRate(18, Millis(2000));
  Progress peer = ProgressAtRate(20, Millis(2000));
  EXPECT_EQ(JudgePace({ .own = &own, .peers = { &peer } }), Pace::kNormal);
}

// Guards against gangs that wait for a member on a much slower worker.
TEST(Progress, MemberFarBehindItsPeersIsRestarted)
{
  Progress own = ProgressAtRate(3, Millis(2000));
  Progress peer = ProgressAtRate(20, Millis(2000));
  EXPECT_EQ(JudgePace({ .own = &own, .peers = { &peer } }), Pace::kTooSlow);
}

// Guards against restarting a run near its end: however slow the worker has
// become, a new run would end later.
TEST(Progress, SlowRunNearItsEndIsNotRestarted)
{
  Progress own;
  own.Observe(0, Millis(0));
  own.Observe(97, Millis(4000));
  own.Observe(98, Millis(4500));
  own.Observe(98, Millis(5000));
  own.Observe(99, Millis(5500));
  Progress peer = ProgressAtRate(22, Millis(4500));
  EXPECT_EQ(JudgePace({ .own = &own, .peers = { &peer } }), Pace::kSlow);
}

// Guards against slow runs without peers that are never detected.
TEST(Progress, WithoutPeersTheLearnedTimeIsTheReference)
{
  Progress own = ProgressAtRate(3, Millis(2000));
  EXPECT_EQ(JudgePace({ .own = &own, .peers = {} }), Pace::kUnknown);
  EXPECT_EQ(
    JudgePace({ .own = &own, .peers = {}, .learnedTime = Millis(5000) }),
    Pace::kTooSlow);
}

// Guards against restarting a member that has finished and waits for its gang.
TEST(Progress, FinishedMemberHasUnknownPace)
{
  Progress own = ProgressAtRate(100, Millis(3000));
  own.Observe(100, Millis(6000));
  Progress peer = ProgressAtRate(20, Millis(3000));
  EXPECT_EQ(JudgePace({ .own = &own, .peers = { &peer } }), Pace::kUnknown);
}

// Guards against planning with a caller's wrong estimate although run times are
// known.
TEST(Forecast, LearnsFromCompletedTasks)
{
  Forecast forecast;
  QueueId queue("queue");
  EXPECT_EQ(forecast.ExpectedTime(queue, Millis(9000)), Millis(9000));
  for (int n = 0; n < 3; ++n) {
    forecast.OnDone(queue, Millis(2000));
  }
  EXPECT_EQ(forecast.ExpectedTime(queue, Millis(9000)), Millis(2000));
}

// Guards against ignoring the actual pace of a run.
TEST(Forecast, RemainingTimeFollowsTheRateOfTheRun)
{
  Forecast forecast;
  Progress run = ProgressAtRate(25, Millis(2000));
  EXPECT_EQ(forecast.RemainingTime(QueueId("queue"), run, Millis(2000)),
            Millis(2000));
  EXPECT_EQ(forecast.RemainingTime(QueueId("queue"), run, Millis(2500)),
            Millis(1500));
}

// Guards against planning on the caller's estimate alone, which is too
// unreliable to wait for the end of a run.
TEST(Forecast, RemainingTimeIsUnknownWithoutProgressOrSamples)
{
  Forecast forecast;
  EXPECT_EQ(forecast.RemainingTime(QueueId("queue"), Progress(), Millis(0)),
            Millis::Max());
}

// Guards against excluding a healthy worker because of one faulty job.
TEST(Health, RepeatedFailuresOfOneJobCountOnce)
{
  Health health{ HealthOptions() };
  WorkerId worker("w1");
  for (int n = 0; n < 5; ++n) {
    health.OnRunFailed(worker, JobId("a"), Millis(n));
  }
  EXPECT_FALSE(health.IsExcluded(worker, Millis(10)));
  health.OnRunFailed(worker, JobId("b"), Millis(20));
  health.OnRunFailed(worker, JobId("c"), Millis(30));
  EXPECT_TRUE(health.IsExcluded(worker, Millis(40)));
}

// Guards against a worker that stays excluded for ever after a fault.
TEST(Health, FaultScoreEndsWithSuccessOrTime)
{
  HealthOptions options;
  Health health(options);
  WorkerId worker("w1");
  health.OnStalled(worker, Millis(0));
  EXPECT_TRUE(health.IsExcluded(worker, Millis(1)));
  EXPECT_FALSE(health.IsExcluded(worker, options.scoreLifetime + Millis(1)));
  health.OnStalled(worker, Millis(100));
  health.OnDone(worker);
  EXPECT_EQ(health.FaultScoreOf(worker, Millis(101)), 0);
}

// Guards against treating a lease as expired too early: the worker's clock may
// be slower than the leader's by the maximum drift.
TEST(WorkerLink, LeaseExpiresOnTheSlowestPossibleClock)
{
  WorkerLink link(Incarnation(1), Millis(0), Millis(0));
  link.OnClock(Millis(50'000), Millis(1000));
  Millis until = link.GrantLease(Millis(1000), Millis(10'000));
  EXPECT_EQ(until, Millis(60'000));
  EXPECT_FALSE(link.HasLeaseExpired(Millis(11'050)));
  EXPECT_FALSE(link.HasLeaseExpired(Millis(11'200)));
  EXPECT_TRUE(link.HasLeaseExpired(Millis(11'400)));
}

// Guards against ignoring leases of an earlier leader: they are unknown but
// bounded by the maximum lease.
TEST(WorkerLink, LeaseOfAnEarlierLeaderMustExpire)
{
  WorkerLink link(Incarnation(1), Millis(0), Millis(10'000));
  EXPECT_FALSE(link.HasLeaseExpired(Millis(10'100)));
  EXPECT_TRUE(link.HasLeaseExpired(Millis(10'500)));
}

// Guards against a lease that expires too late because readings of the worker's
// clock arrive out of order.
TEST(WorkerLink, ClockLowerBoundNeverDecreases)
{
  WorkerLink link(Incarnation(1), Millis(0), Millis(0));
  link.OnClock(Millis(5000), Millis(1000));
  link.OnClock(Millis(4000), Millis(1010));
  EXPECT_GE(*link.ClockLowerBound(Millis(1010)), Millis(5000));
}

// Guards against judging a run by the delay of its reports: four percent in
// 400 ms of the worker's time are normal, although they arrived over 3 s.
TEST(Progress, LateReportsDoNotLookLikeASlowRun)
{
  Progress peer;
  Progress late;
  for (int n = 0; n <= 8; ++n) {
    peer.Observe(n * 5, Millis(n * 500), Millis(n * 500));
  }
  late.Observe(10, Millis(1000), Millis(1000));
  late.Observe(15, Millis(4000), Millis(1500));
  EXPECT_NE(JudgePace({ .own = &late, .peers = { &peer } }), Pace::kTooSlow);
  EXPECT_NE(JudgePace({ .own = &late, .peers = { &peer } }), Pace::kSlow);
  EXPECT_EQ(late.ObservedStandstill(), Millis(0));
}

} // namespace
} // namespace limpetwood::fleet
