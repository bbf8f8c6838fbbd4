#include "fleet/dispatcher.h"

#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

// Guards against a gang that hangs for ever because one member's start got no
// answer: every repeated stop used to postpone the proof that the run is over.
TEST(Dispatcher, UnansweredStartIsResolvedThoughStopsAreRepeated)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  // The worker answers stops at once and renewals after their whole wait.
  for (int n = 0; n < 40 && fleet.IsActive(start); ++n) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
    fleet.AnswerDueRenewals();
  }
  EXPECT_FALSE(fleet.IsActive(start));
}

// Guards against a second run: a renewal and a start that were sent in the same
// millisecond may arrive in either order, so the renewal proves nothing.
TEST(Dispatcher, RenewalOfTheSameMillisecondProvesNothing)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.AnswerRenewal("w1", fleet.RenewAnswer());
  EXPECT_TRUE(fleet.IsActive(start));
}

// Guards against a second run while the first may still be started: without an
// answer to its stop, only the end of the lease frees the task.
TEST(Dispatcher, UnansweredStartHoldsItsTaskUntilTheLeaseIsOver)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  Millis lease = fleet.Options().leaseDuration;
  for (Millis at; at < lease - Millis(200); at += Millis(100)) {
    fleet.Advance(Millis(100));
    fleet.DropOrders();
    ASSERT_TRUE(fleet.IsActive(start)) << "after " << at.Count() << " ms";
  }
  for (Millis at; at < Millis(1000); at += Millis(100)) {
    fleet.Advance(Millis(100));
    fleet.DropOrders();
  }
  EXPECT_FALSE(fleet.IsActive(start));
}

// Guards against leases that are extended in vain: renewals that a lost worker
// does not answer used to put off the end of its lease for ever.
TEST(Dispatcher, LostWorkerLosesItsRunsWhenTheLeaseIsOver)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  Millis limit = fleet.Options().leaseDuration + Seconds(4);
  for (Millis at; at < limit; at += Millis(100)) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Answer(it, OrderResult::Outcome::kNoAnswer);
    }
  }
  EXPECT_FALSE(fleet.IsActive(start));
}

// Guards against losing an end: a worker forgets what was acknowledged, so the
// end must be in the replicated state first.
TEST(Dispatcher, EndsAreAcknowledgedOnlyAfterTheirCommit)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.HoldCommits(true);
  OrderResult result = fleet.RenewAnswer();
  result.ended.push_back(
    { .number = 1, .run = start.run, .kind = EndKind::kDone });
  fleet.AnswerRenewal("w1", result);
  fleet.Advance(Millis(50));
  for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
    EXPECT_EQ(it.acknowledgedEnds, 0U);
  }
  fleet.HoldCommits(false);
  fleet.Advance(Millis(50));
  std::vector<Order> renewals = fleet.TakeOrders(Order::Kind::kRenew);
  ASSERT_FALSE(renewals.empty());
  EXPECT_EQ(renewals.back().acknowledgedEnds, 1U);
  EXPECT_EQ(fleet.State().FindJob(JobId("00000000000000a1"))->status,
            JobStatus::kCompleted);
}

// Guards against starts of an earlier leader that arrive late: a worker gets
// work only after it has seen this term's token.
TEST(Dispatcher, NoStartBeforeTheWorkerHasSeenTheToken)
{
  FleetFixture fleet;
  fleet.AddWorker("w1", FleetFixture::Fencing::kUnanswered);
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  fleet.Advance(Millis(500));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
}

// Guards against a scheduler that stands still: a log that takes no more
// entries for a moment must not make it wait for starts that were never
// proposed.
TEST(Dispatcher, CommandThatWasNotProposedIsProposedAgain)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.HoldCommits(true);
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  fleet.RefuseCommand();
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  fleet.HoldCommits(false);
  fleet.Advance(Millis(20));
  fleet.ExpectOrder(Order::Kind::kStart);
}

// Half a worker's accelerators, so that two tasks share a worker.
StepSpec
HalfAWorker()
{
  StepSpec step = FleetFixture::GangOf(1);
  step.resources.accelerators = 4;
  return step;
}

// Guards against tasks of cancelled jobs: starts used to wait in the client for
// a worker that was slow to answer, and were sent long after the cancellation.
TEST(Dispatcher, StartThatWaitsForItsTurnIsWithdrawnWithItsJob)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", HalfAWorker());
  fleet.Submit("00000000000000a2", HalfAWorker());
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_EQ(first.run.task.job, JobId("00000000000000a1"));
  fleet.Advance(Millis(300));
  fleet.Cancel("00000000000000a2");
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(50));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  EXPECT_EQ(fleet.State().FindJob(JobId("00000000000000a2"))->activeRuns, 0U);
  EXPECT_EQ(fleet.Subject().Counters().startsWithdrawn, 1U);
}

// Guards against gangs that wait for a worker that may be gone: a start that
// was not sent yet is free to go elsewhere at once.
TEST(Dispatcher, StartsBehindAnUnansweredOneAreWithdrawn)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", HalfAWorker());
  fleet.Submit("00000000000000a2", HalfAWorker());
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.AddWorker("w2");
  fleet.Answer(first, OrderResult::Outcome::kNoAnswer);
  fleet.Advance(Millis(50));
  Order second = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_EQ(second.run.task.job, JobId("00000000000000a2"));
  EXPECT_EQ(second.worker, WorkerId("w2"));
}

// Guards against a queue of stops that delays whatever follows them.
TEST(Dispatcher, StopsOfOneRunDoNotPileUp)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", HalfAWorker());
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.Cancel("00000000000000a1");
  Order stop = fleet.ExpectOrder(Order::Kind::kStop);
  fleet.Advance(Seconds(1));
  fleet.Advance(Seconds(1));
  fleet.Advance(Seconds(1));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty());
  fleet.Answer(stop, OrderResult::Outcome::kNoAnswer);
  stop = fleet.ExpectOrder(Order::Kind::kStop);
  fleet.Answer(stop, OrderResult::Outcome::kAnswered);
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty());
}

// Guards against a gang that runs with some of its members only.
TEST(Dispatcher, RefusedMemberStopsTheOthers)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.AddWorker("w2");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(2));
  std::vector<Order> starts = fleet.TakeOrders(Order::Kind::kStart);
  ASSERT_EQ(starts.size(), 2U);
  fleet.Answer(starts[0], OrderResult::Outcome::kAnswered);
  fleet.Refuse(starts[1], OrderRefusal::kInsufficientCapacity);
  fleet.Advance(Millis(50));
  std::vector<Order> stops = fleet.TakeOrders(Order::Kind::kStop);
  ASSERT_EQ(stops.size(), 1U);
  EXPECT_EQ(stops[0].run, starts[0].run);
}

// Guards against a run that stands still on a worker that looks healthy.
TEST(Dispatcher, StalledRunIsStopped)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  bool stopped = false;
  for (int n = 0; n < 60 && !stopped; ++n) {
    fleet.Advance(Millis(100));
    OrderResult result = fleet.RenewAnswer();
    result.running.push_back({ .run = start.run, .percent = 10 });
    fleet.AnswerRenewal("w1", result);
    stopped = !fleet.TakeOrders(Order::Kind::kStop).empty();
  }
  EXPECT_TRUE(stopped);
}

// Guards against stopping a gang whose faster members wait for the last one.
TEST(Dispatcher, MemberThatIsThroughIsNotStalled)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  for (int n = 0; n < 60; ++n) {
    fleet.Advance(Millis(100));
    OrderResult result = fleet.RenewAnswer();
    result.running.push_back({ .run = start.run, .percent = 100 });
    fleet.AnswerRenewal("w1", result);
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty());
  }
}

// Guards against stopping work that goes on: progress resets the stall.
TEST(Dispatcher, RunWithProgressIsNotStopped)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  for (int n = 0; n < 60; ++n) {
    fleet.Advance(Millis(100));
    OrderResult result = fleet.RenewAnswer();
    result.running.push_back({ .run = start.run, .percent = n });
    fleet.AnswerRenewal("w1", result);
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty());
  }
}

} // namespace
} // namespace limpetwood::fleet
