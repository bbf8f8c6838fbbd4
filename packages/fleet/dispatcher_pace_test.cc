// Guards against work that is thrown away again and again: long tasks that are
// taken for slow workers, and tasks that move more than once.

#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

constexpr const char* kJob = "00000000000000a1";

DispatcherOptions
CallerCostOptions()
{
  DispatcherOptions options;
  options.callerCost = true;
  options.planner.callerCost = true;
  return options;
}

class PaceTest : public ::testing::Test
{
protected:
  explicit PaceTest(DispatcherOptions aOptions = CallerCostOptions())
    : mFleet(aOptions)
  {
    for (int n = 1; n <= kWorkers; ++n) {
      mFleet.AddWorker(Worker(n));
    }
  }

  static std::string Worker(int aNumber)
  {
    return "w" + std::to_string(aNumber);
  }

  static StepSpec SingleTasks(uint32_t aTasks)
  {
    StepSpec step = FleetFixture::GangOf(aTasks);
    step.gang = false;
    return step;
  }

  // Plays until `aTime` has passed. All tasks of the job progress at
  // `aPercentPerSecond`, those on slow workers at a tenth of that. Stopped runs
  // end at once. Returns the number of stops.
  int Play(Millis aTime, double aPercentPerSecond)
  {
    int stops = 0;
    for (Millis end = mFleet.Now() + aTime; mFleet.Now() < end;) {
      for (const Order& it : mFleet.TakeOrders(Order::Kind::kStart)) {
        mFleet.Answer(it, OrderResult::Outcome::kAnswered);
        mRuns[it.worker] = { it.run, mFleet.Now() };
      }
      for (const Order& it : mFleet.TakeOrders(Order::Kind::kStop)) {
        mFleet.Answer(it, OrderResult::Outcome::kAnswered);
        stops += mStopped.insert(it.run).second ? 1 : 0;
      }
      for (int n = 1; n <= kWorkers; ++n) {
        Renew(WorkerId(Worker(n)), aPercentPerSecond);
      }
      mFleet.Advance(Millis(100));
      if (mFleet.Now() - mReportedAt >= Seconds(1)) {
        mReportedAt = mFleet.Now();
        for (int n = 1; n <= kWorkers; ++n) {
          mFleet.Heartbeat(Worker(n));
        }
      }
    }
    return stops;
  }

  void Renew(const WorkerId& aWorker, double aPercentPerSecond)
  {
    OrderResult result = mFleet.EmptyRenewalResult();
    auto run = mRuns.find(aWorker);
    if (run != mRuns.end()) {
      const auto& [ref, since] = run->second;
      double seconds =
        static_cast<double>((mFleet.Now() - since).Count()) / 1000;
      double rate = aPercentPerSecond / (mSlow.contains(aWorker) ? 10 : 1);
      if (mStopped.contains(ref)) {
        result.ended.push_back({ .number = ++mEnds[aWorker],
                                 .run = ref,
                                 .kind = EndKind::kStopped });
        mRuns.erase(run);
      } else {
        result.running.push_back(
          { .run = ref, .percent = static_cast<int32_t>(seconds * rate) });
      }
    }
    mFleet.AnswerRenewal(aWorker.Value(), result);
  }

  // Teaches the dispatcher that tasks of the queue take a second.
  void LearnShortRunTime()
  {
    for (int n = 0; n < 3; ++n) {
      mFleet.Submit("00000000000000b" + std::to_string(n), SingleTasks(1));
      Order start = mFleet.ExpectOrder(Order::Kind::kStart);
      mFleet.Answer(start, OrderResult::Outcome::kAnswered);
      mFleet.Advance(Seconds(1));
      OrderResult result = mFleet.EmptyRenewalResult();
      result.ended.push_back({ .number = ++mEnds[start.worker],
                               .run = start.run,
                               .kind = EndKind::kDone });
      mFleet.AnswerRenewal(start.worker.Value(), result);
      mFleet.Advance(Millis(100));
      mFleet.AnswerRenewal(start.worker.Value(), mFleet.EmptyRenewalResult());
    }
  }

  static constexpr int kWorkers = 6;
  FleetFixture mFleet;
  std::set<WorkerId> mSlow;
  std::map<WorkerId, std::pair<RunRef, Millis>> mRuns;
  std::map<WorkerId, uint64_t> mEnds;
  std::set<RunRef> mStopped;
  Millis mReportedAt{};
};

class PriorityPaceTest : public PaceTest
{
protected:
  PriorityPaceTest()
    : PaceTest(DispatcherOptions{})
  {
  }
};

// A job whose tasks all take twenty times as long as others of its queue.
TEST_F(PaceTest, LongJobIsNotStopped)
{
  LearnShortRunTime();
  mFleet.Submit(kJob, SingleTasks(4));
  EXPECT_EQ(Play(Seconds(10), 5), 0);
}

TEST_F(PriorityPaceTest, LongJobIsStoppedByTheOtherPolicy)
{
  LearnShortRunTime();
  mFleet.Submit(kJob, SingleTasks(4));
  EXPECT_GT(Play(Seconds(10), 5), 4);
}

TEST_F(PaceTest, TaskOnASlowWorkerMovesOnce)
{
  mFleet.Submit(kJob, SingleTasks(5));
  for (const Order& it : mFleet.TakeOrders(Order::Kind::kStart)) {
    mFleet.Answer(it, OrderResult::Outcome::kAnswered);
    mRuns[it.worker] = { it.run, mFleet.Now() };
  }
  ASSERT_EQ(mRuns.size(), 5U);
  // Where the task goes next is as slow.
  mSlow.insert(mRuns.begin()->first);
  for (int n = 1; n <= kWorkers; ++n) {
    if (!mRuns.contains(WorkerId(Worker(n)))) {
      mSlow.insert(WorkerId(Worker(n)));
    }
  }
  EXPECT_EQ(Play(Seconds(15), 6), 1);
  EXPECT_EQ(mFleet.GetDispatcher().Counters().laggingRuns, 1U);
}

// The move is known to the next leader.
TEST_F(PaceTest, MoveIsPartOfTheState)
{
  mFleet.Submit(kJob, SingleTasks(5));
  Play(Millis(100), 6);
  WorkerId slow = mRuns.begin()->first;
  TaskRef task = mRuns.begin()->second.first.task;
  mSlow.insert(slow);
  ASSERT_EQ(Play(Seconds(4), 6), 1);
  ASSERT_NE(mFleet.State().FindTask(task), nullptr);
  EXPECT_TRUE(mFleet.State().FindTask(task)->movedForPace);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(mFleet.State().TakeSnapshot()));
  EXPECT_TRUE(restored.FindTask(task)->movedForPace);
}

// A task of hours gains one percent in minutes.
TEST_F(PaceTest, TaskOfHoursIsNotStalled)
{
  StepSpec step = SingleTasks(1);
  step.estimate = Hours(10);
  mFleet.Submit(kJob, step);
  EXPECT_EQ(Play(Minutes(20), 100.0 / 36'000), 0);
}

TEST_F(PaceTest, TaskThatStandsStillIsStopped)
{
  mFleet.Submit(kJob, SingleTasks(1));
  EXPECT_EQ(Play(Seconds(2), 20), 0);
  // At most four times the 50 ms that one percent took, but 2.5 s at least.
  for (auto& [worker, run] : mRuns) {
    run.second = mFleet.Now() - Seconds(2);
  }
  EXPECT_GE(Play(Seconds(4), 0.0001), 1);
}

} // namespace
} // namespace limpetwood::fleet
