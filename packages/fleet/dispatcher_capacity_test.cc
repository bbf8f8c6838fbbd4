// Tests of the dispatcher with workers whose capacity shrinks while they run
// tasks and while starts are on their way to them.

#include "fleet/dispatcher.h"

#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOther = "00000000000000b2";

StepSpec
TasksOf(uint32_t aTasks, int64_t aAccelerators)
{
  StepSpec step = FleetFixture::GangOf(aTasks);
  step.gang = false;
  step.resources = { .cpu = 1000,
                     .memoryMb = 1000,
                     .accelerators = aAccelerators };
  return step;
}

Resources
CapacityOf(int64_t aAccelerators)
{
  return { .cpu = 64'000, .memoryMb = 256'000, .accelerators = aAccelerators };
}

// Guards against a start that was decided on a capacity that has shrunk since:
// it is in an entry that is not committed yet.
TEST(DispatcherCapacity, ProposedStartIsWithdrawnWhenTheCapacityShrinks)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.HoldCommits(true);
  fleet.Submit(kJob, TasksOf(1, 4));
  fleet.SetCapacity("w1", CapacityOf(2));
  fleet.Heartbeat("w1");
  fleet.HoldCommits(false);
  fleet.Advance(Millis(50));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  EXPECT_EQ(fleet.State().FindWorker(WorkerId("w1"))->used, Resources());
  fleet.SetCapacity("w1", CapacityOf(8));
  fleet.Heartbeat("w1");
  fleet.Advance(Millis(50));
  EXPECT_EQ(fleet.TakeOrders(Order::Kind::kStart).size(), 1U);
}

// Guards against the same for a start that waits behind another one, and
// against withdrawing more than necessary.
TEST(DispatcherCapacity, OnlyStartsThatNoLongerFitAreWithdrawn)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(4, 2));
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.SetCapacity("w1", CapacityOf(4));
  fleet.Heartbeat("w1");
  size_t sent = 1;
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  for (int n = 0; n < 5; ++n) {
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStart)) {
      ++sent;
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
    fleet.Advance(Millis(50));
  }
  EXPECT_EQ(sent, 2U);
}

// Guards against a start on a worker that runs more than its capacity holds,
// although the task needs none of what is short.
TEST(DispatcherCapacity, WorkerOverItsCapacityTakesNothing)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(1, 4));
  fleet.Answer(fleet.ExpectOrder(Order::Kind::kStart),
               OrderResult::Outcome::kAnswered);
  fleet.SetCapacity("w1", CapacityOf(2));
  fleet.Heartbeat("w1");
  fleet.Submit(kOther, TasksOf(1, 0));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
}

// Guards against using the resources of a run that is being stopped before the
// worker lists its end.
TEST(DispatcherCapacity, RunBeingStoppedStillCounts)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(1, 4));
  fleet.Answer(fleet.ExpectOrder(Order::Kind::kStart),
               OrderResult::Outcome::kAnswered);
  fleet.SetCapacity("w1", CapacityOf(4));
  fleet.Heartbeat("w1");
  fleet.Cancel(kJob);
  for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
    fleet.Answer(it, OrderResult::Outcome::kAnswered);
  }
  fleet.Submit(kOther, TasksOf(1, 1));
  fleet.Advance(Millis(300));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
}

// Guards against trusting the capacity of a worker that answers orders but
// whose reports have not arrived for a while.
TEST(DispatcherCapacity, WorkerWithoutReportsTakesNothing)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kOther, TasksOf(1, 1));
  Order running = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(running, OrderResult::Outcome::kAnswered);
  for (int n = 0; n < 50; ++n) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      OrderResult result = fleet.EmptyRenewalResult();
      result.running.push_back({ .run = running.run, .percent = n });
      fleet.Deliver(it, result);
    }
  }
  fleet.Submit(kJob, TasksOf(1, 1));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  fleet.Heartbeat("w1");
  fleet.Advance(Millis(50));
  EXPECT_EQ(fleet.TakeOrders(Order::Kind::kStart).size(), 1U);
}

// Guards against a new leader that starts tasks by a stored capacity although
// nobody recorded reports for a while, and against idling after a short change.
TEST(DispatcherCapacity, NewLeaderTrustsOnlyRecentCapacities)
{
  for (Millis silence : { Millis(0), Seconds(3) }) {
    FleetFixture fleet;
    fleet.AddWorker("w1");
    fleet.ChangeLeader(silence);
    fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
    fleet.Submit(kJob, TasksOf(1, 1));
    size_t expected = silence == Millis(0) ? 1 : 0;
    EXPECT_EQ(fleet.TakeOrders(Order::Kind::kStart).size(), expected);
    fleet.Heartbeat("w1");
    fleet.Advance(Millis(50));
    EXPECT_EQ(fleet.TakeOrders(Order::Kind::kStart).size(), 1 - expected);
  }
}

} // namespace
} // namespace limpetwood::fleet
