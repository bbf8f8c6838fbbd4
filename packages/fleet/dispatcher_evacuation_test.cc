// Guards against work that starts in a zone that an operator has evacuated, and
// against an evacuation that stops more than new starts.

#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

constexpr const char* kJob = "00000000000000a1";

class EvacuationTest : public ::testing::Test
{
protected:
  // Adds `aWorkers` workers to a zone, "ZONE-1" and so on, in a rack of its
  // own.
  void AddZone(const std::string& aZone, int aWorkers)
  {
    for (int n = 1; n <= aWorkers; ++n) {
      std::string id = aZone + "-" + std::to_string(n);
      mFleet.SetZone(id, aZone);
      mFleet.AddWorker(id, FleetFixture::Fencing::kAnswered, aZone + "-r");
    }
  }

  // Advances in small steps with the workers answering their renewals.
  void Run(Millis aTime)
  {
    for (Millis end = mFleet.Now() + aTime; mFleet.Now() < end;) {
      mFleet.Advance(Millis(50));
      mFleet.AnswerDueRenewals();
    }
  }

  std::vector<Order> Starts() { return mFleet.TakeOrders(Order::Kind::kStart); }

  static StepSpec Tasks(uint32_t aTasks, int64_t aAccelerators)
  {
    StepSpec step = FleetFixture::GangOf(aTasks);
    step.gang = false;
    step.resources.accelerators = aAccelerators;
    return step;
  }

  FleetFixture mFleet;
};

TEST_F(EvacuationTest, NothingStartsInAnEvacuatedZone)
{
  AddZone("a", 2);
  AddZone("b", 2);
  mFleet.Evacuate("a");
  mFleet.Submit(kJob, Tasks(4, 8));
  std::vector<Order> starts = Starts();
  ASSERT_EQ(starts.size(), 2U);
  for (const Order& it : starts) {
    EXPECT_EQ(it.worker.Value().substr(0, 1), "b");
  }
  // Forecasts and admission count what is left.
  EXPECT_EQ(mFleet.GetDispatcher().UsableResources(mFleet.Now()).accelerators,
            16);
  mFleet.Restore("a");
  mFleet.Advance(Millis(50));
  EXPECT_EQ(Starts().size(), 2U);
}

// The start waits behind another one that the worker answers late.
TEST_F(EvacuationTest, QueuedStartIsWithdrawn)
{
  AddZone("a", 1);
  mFleet.Submit(kJob, Tasks(2, 4));
  Order first = mFleet.ExpectOrder(Order::Kind::kStart);
  mFleet.Evacuate("a");
  mFleet.Advance(Millis(900));
  mFleet.Answer(first, OrderResult::Outcome::kAnswered);
  mFleet.Advance(Millis(100));
  EXPECT_TRUE(Starts().empty());
  EXPECT_EQ(mFleet.GetDispatcher().Counters().startsWithdrawn, 1U);
}

// The start is committed in the same entry as the evacuation, or after it.
TEST_F(EvacuationTest, StartThatIsCommittedWithTheEvacuationIsNotSent)
{
  AddZone("a", 1);
  AddZone("b", 1);
  mFleet.HoldCommits(true);
  mFleet.Submit(kJob, Tasks(1, 8));
  ASSERT_TRUE(mFleet.GetDispatcher().HasCommand());
  mFleet.Evacuate("a");
  mFleet.HoldCommits(false);
  mFleet.Advance(Millis(50));
  mFleet.Advance(Millis(300));
  std::vector<Order> starts = Starts();
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts[0].worker, WorkerId("b-1"));
}

TEST_F(EvacuationTest, ActiveRunsContinue)
{
  AddZone("a", 2);
  mFleet.Submit(kJob, FleetFixture::GangOf(2));
  std::vector<Order> starts = Starts();
  ASSERT_EQ(starts.size(), 2U);
  for (const Order& it : starts) {
    mFleet.Answer(it, OrderResult::Outcome::kAnswered);
  }
  mFleet.Evacuate("a");
  mFleet.Advance(Millis(500));
  EXPECT_TRUE(mFleet.TakeOrders(Order::Kind::kStop).empty());
  EXPECT_TRUE(mFleet.IsActive(starts[0]));
  EXPECT_TRUE(mFleet.IsActive(starts[1]));
}

// A run that is stopped there for an urgent job would free no usable room.
TEST_F(EvacuationTest, NothingIsPreemptedInAnEvacuatedZone)
{
  AddZone("a", 1);
  AddZone("b", 1);
  mFleet.Submit(kJob, Tasks(2, 8), 2);
  for (const Order& it : Starts()) {
    mFleet.Answer(it, OrderResult::Outcome::kAnswered);
  }
  mFleet.Evacuate("a");
  mFleet.Submit("00000000000000a2", Tasks(1, 8), 0);
  Run(Millis(600));
  for (const Order& it : mFleet.TakeOrders(Order::Kind::kStop)) {
    EXPECT_EQ(it.worker, WorkerId("b-1"));
  }
  EXPECT_GE(mFleet.GetDispatcher().Counters().preemptions, 1U);
}

TEST_F(EvacuationTest, WithoutAnyZoneJobsWait)
{
  AddZone("a", 1);
  AddZone("b", 1);
  mFleet.Evacuate("a");
  mFleet.Evacuate("b");
  mFleet.Submit(kJob, Tasks(1, 8));
  Run(Seconds(2));
  EXPECT_TRUE(Starts().empty());
  EXPECT_EQ(mFleet.State().FindJob(JobId(kJob))->status, JobStatus::kQueued);
  mFleet.Restore("b");
  mFleet.Advance(Millis(50));
  EXPECT_EQ(Starts().size(), 1U);
}

TEST_F(EvacuationTest, LaterLeaderStartsNothingInTheZone)
{
  AddZone("a", 1);
  mFleet.Evacuate("a");
  mFleet.ChangeLeader();
  mFleet.Submit(kJob, Tasks(1, 8));
  mFleet.Heartbeat("a-1");
  mFleet.AnswerRenewal("a-1", mFleet.EmptyRenewalResult());
  Run(Seconds(1));
  EXPECT_TRUE(Starts().empty());
  mFleet.Restore("a");
  mFleet.Advance(Millis(50));
  EXPECT_EQ(Starts().size(), 1U);
}

// Guards against a burst on a zone that has just been restored: its workers may
// be slow for a while.
TEST_F(EvacuationTest, ColdWorkersAreUsedLast)
{
  mFleet.SetColdRemaining("a-1", Seconds(5));
  AddZone("a", 1);
  AddZone("b", 1);
  mFleet.Submit(kJob, Tasks(1, 8));
  EXPECT_EQ(mFleet.ExpectOrder(Order::Kind::kStart).worker, WorkerId("b-1"));
  // They are used if the others do not suffice.
  mFleet.Submit("00000000000000a2", Tasks(1, 8));
  EXPECT_EQ(mFleet.ExpectOrder(Order::Kind::kStart).worker, WorkerId("a-1"));
}

} // namespace
} // namespace limpetwood::fleet
