// Guards against work that is thrown away again and again: long tasks that are
// taken for slow workers, and tasks that move more than once.

#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

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
  struct ActiveRun
  {
    WorkerId worker;
    RunRef run;
    Millis since;
  };

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
        mRuns.push_back({ it.worker, it.run, mFleet.Now() });
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
    double rate = aPercentPerSecond / (mSlow.contains(aWorker) ? 10 : 1);
    std::erase_if(mRuns, [&](const ActiveRun& it) {
      if (it.worker != aWorker) {
        return false;
      }
      if (mStopped.contains(it.run) && !mEndsHeld) {
        result.ended.push_back({ .number = ++mEnds[aWorker],
                                 .run = it.run,
                                 .kind = EndKind::kStopped });
        return true;
      }
      double seconds =
        static_cast<double>((mFleet.Now() - it.since).Count()) / 1000;
      result.running.push_back(
        { .run = it.run, .percent = static_cast<int32_t>(seconds * rate) });
      return false;
    });
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
  std::vector<ActiveRun> mRuns;
  std::map<WorkerId, uint64_t> mEnds;
  std::set<RunRef> mStopped;
  Millis mReportedAt{};
  // Workers do not report the ends of stopped runs.
  bool mEndsHeld = false;
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
    mRuns.push_back({ it.worker, it.run, mFleet.Now() });
  }
  ASSERT_EQ(mRuns.size(), 5U);
  // Where the task goes next is as slow.
  mSlow.insert(mRuns.front().worker);
  for (int n = 1; n <= kWorkers; ++n) {
    WorkerId worker(Worker(n));
    bool idle =
      std::none_of(mRuns.begin(), mRuns.end(), [&](const ActiveRun& it) {
        return it.worker == worker;
      });
    if (idle) {
      mSlow.insert(worker);
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
  TaskRef task = mRuns.front().run.task;
  mSlow.insert(mRuns.front().worker);
  ASSERT_EQ(Play(Seconds(4), 6), 1);
  ASSERT_NE(mFleet.State().FindTask(task), nullptr);
  EXPECT_TRUE(mFleet.State().FindTask(task)->movedForPace);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(mFleet.State().TakeSnapshot()));
  EXPECT_TRUE(restored.FindTask(task)->movedForPace);
}

// The stop is requested by one leader, and its end reported to the next.
TEST_F(PaceTest, MoveOutlivesAChangeOfLeader)
{
  mFleet.Submit(kJob, SingleTasks(5));
  Play(Millis(100), 6);
  ActiveRun run = mRuns.front();
  mSlow.insert(run.worker);
  mEndsHeld = true;
  for (int n = 0; n < 100 && mStopped.empty(); ++n) {
    Play(Millis(100), 6);
  }
  ASSERT_EQ(mStopped.count(run.run), 1U);
  mFleet.DropOrders();
  mFleet.ChangeLeader();
  mEndsHeld = false;
  for (int n = 1; n <= kWorkers; ++n) {
    mFleet.Heartbeat(Worker(n));
  }
  Play(Seconds(1), 6);
  const Task* task = mFleet.State().FindTask(run.run.task);
  EXPECT_GT(task->attempt, run.run.attempt);
  EXPECT_TRUE(task->movedForPace);
}

// Tasks that share one slow worker have no peers on others.
TEST_F(PaceTest, TasksTogetherOnASlowWorkerAreMoved)
{
  LearnShortRunTime();
  StepSpec step = SingleTasks(4);
  step.resources.accelerators = 2;
  mFleet.Submit(kJob, step);
  std::vector<Order> starts = mFleet.TakeOrders(Order::Kind::kStart);
  ASSERT_FALSE(starts.empty());
  mFleet.Answer(starts[0], OrderResult::Outcome::kAnswered);
  mRuns.push_back({ starts[0].worker, starts[0].run, mFleet.Now() });
  mSlow.insert(starts[0].worker);
  EXPECT_GE(Play(Seconds(3), 50), 1);
}

// A task of hours gains one percent in minutes.
TEST_F(PaceTest, TaskOfHoursIsNotStalled)
{
  StepSpec step = SingleTasks(1);
  step.estimate = Hours(10);
  mFleet.Submit(kJob, step);
  EXPECT_EQ(Play(Minutes(20), 100.0 / 36'000), 0);
  EXPECT_EQ(mFleet.State().FindJob(JobId(kJob))->activeRuns, 1U);
}

TEST_F(PaceTest, TaskThatStandsStillIsStopped)
{
  mFleet.Submit(kJob, SingleTasks(1));
  EXPECT_EQ(Play(Seconds(2), 20), 0);
  // At most four times the 50 ms that one percent took, but 2.5 s at least.
  for (ActiveRun& it : mRuns) {
    it.since = mFleet.Now() - Seconds(2);
  }
  EXPECT_GE(Play(Seconds(4), 0.0001), 1);
}

} // namespace
} // namespace limpetwood::fleet
