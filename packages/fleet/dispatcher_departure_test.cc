// Guards against runs that are still active when the process of their worker
// ends as announced: the last ends that it lists are lost with it.

#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

constexpr const char* kJob = "00000000000000a1";
constexpr Millis kNotice(4500);
// Time that an answer is on its way; it is lost if the process ends meanwhile.
constexpr Millis kLatency(1);
constexpr Millis kTaskTime(5000);
constexpr int64_t kReportIntervalMs = 1000;

// A worker with one run, which drains and whose process ends as it announced,
// without waiting for the acknowledgement of its leave.
class DepartingWorker
{
public:
  DepartingWorker(Order aStart, Millis aRunEndsAt, Millis aDepartsAt)
    : mStart(std::move(aStart))
    , mRunEndsAt(aRunEndsAt)
    , mDepartsAt(aDepartsAt)
  {
  }

  const WorkerId& Id() const { return mStart.worker; }
  bool DoneListed() const { return mDoneListed; }
  bool Stopped() const { return mStopped; }

  void Receive(const Order& aOrder, FleetFixture& aFleet)
  {
    if (aFleet.Now() >= mDepartsAt) {
      aFleet.Answer(aOrder, OrderResult::Outcome::kConnectionRefused);
    } else if (aOrder.kind == Order::Kind::kRenew) {
      mHeld.push_back(aOrder);
    } else {
      mStopped = mStopped || (mRunning && aOrder.run == mStart.run);
      EndRun(EndKind::kStopped);
      aFleet.Answer(aOrder, OrderResult::Outcome::kAnswered);
    }
  }

  void Tick(FleetFixture& aFleet)
  {
    if (aFleet.Now() >= mRunEndsAt) {
      EndRun(EndKind::kDone);
    }
    bool departs = aFleet.Now() + kLatency >= mDepartsAt;
    for (const Order& it : std::exchange(mHeld, {})) {
      std::erase_if(mEnded, [&](const EndedRun& aEnd) {
        return aEnd.number <= it.acknowledgedEnds;
      });
      bool due = !mEnded.empty() || aFleet.Now() >= it.sentAt + it.wait;
      if (!due && !departs) {
        mHeld.push_back(it);
        continue;
      }
      for (const EndedRun& end : mEnded) {
        mDoneListed = mDoneListed || end.kind == EndKind::kDone;
      }
      if (departs) {
        aFleet.Answer(it, OrderResult::Outcome::kNoAnswer);
      } else {
        aFleet.Deliver(it, List(aFleet));
      }
    }
  }

private:
  void EndRun(EndKind aKind)
  {
    if (std::exchange(mRunning, false)) {
      mEnded.push_back({ 1, mStart.run, aKind, "saved" });
    }
  }

  OrderResult List(const FleetFixture& aFleet) const
  {
    OrderResult out = aFleet.EmptyRenewalResult();
    out.ended = mEnded;
    if (mRunning) {
      Millis left = mRunEndsAt - aFleet.Now();
      out.running.push_back(
        { .run = mStart.run,
          .percent = static_cast<int32_t>(std::max<int64_t>(
            100 - left.Count() * 100 / kTaskTime.Count(), 0)) });
    }
    return out;
  }

  Order mStart;
  Millis mRunEndsAt;
  Millis mDepartsAt;
  bool mRunning = true;
  bool mStopped = false;
  bool mDoneListed = false;
  std::vector<EndedRun> mEnded;
  std::vector<Order> mHeld;
};

struct Departure
{
  bool stopped = false;
  // A start of the task was sent after the worker had listed its end as done.
  bool startedAfterDone = false;
  // Time from the first restart of the task to the departure, if there was one.
  std::optional<Millis> restartedBefore;
  bool completed = false;
};

// Plays the departure of a worker whose run would end `aEndsBefore` the
// departure.
Departure
PlayDeparture(Millis aEndsBefore, bool aLeaderChanges = false)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.AddWorker("w2");
  StepSpec step = FleetFixture::GangOf(1);
  step.gang = false;
  fleet.Submit(kJob, step);
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  Millis departsAt = fleet.Now() + kNotice;
  DepartingWorker worker(start, departsAt - aEndsBefore, departsAt);
  fleet.Drain(worker.Id().Value(), kNotice);
  if (aLeaderChanges) {
    fleet.ChangeLeader();
  }
  const char* other = worker.Id().Value() == "w1" ? "w2" : "w1";
  Departure out;
  bool left = false;
  while (fleet.Now() < departsAt + Millis(500)) {
    if ((departsAt - fleet.Now()).Count() % kReportIntervalMs == 0) {
      fleet.Heartbeat(other);
    }
    for (auto kind :
         { Order::Kind::kStart, Order::Kind::kStop, Order::Kind::kRenew }) {
      for (const Order& it : fleet.TakeOrders(kind)) {
        if (it.worker == worker.Id()) {
          worker.Receive(it, fleet);
        } else if (kind == Order::Kind::kRenew) {
          fleet.Deliver(it, fleet.EmptyRenewalResult());
        } else if (kind == Order::Kind::kStart) {
          // Kept without an answer.
          out.startedAfterDone = out.startedAfterDone || worker.DoneListed();
          out.restartedBefore =
            out.restartedBefore.value_or(departsAt - fleet.Now());
        }
      }
    }
    worker.Tick(fleet);
    if (fleet.Now() >= departsAt && !std::exchange(left, true)) {
      fleet.Leave(worker.Id().Value());
    }
    fleet.Advance(Millis(1));
  }
  out.stopped = worker.Stopped();
  out.completed =
    fleet.State().FindJob(JobId(kJob))->status == JobStatus::kCompleted;
  return out;
}

// Guards against starting a done task again: the end is listed in an answer
// that is lost as the process ends.
TEST(DispatcherDeparture, TaskDoneAsItsWorkerDepartsIsNotStartedAgain)
{
  for (int64_t before = -100; before <= 3000; before += before < 20 ? 1 : 20) {
    EXPECT_FALSE(PlayDeparture(Millis(before)).startedAfterDone)
      << "the run ends " << before << " ms before the departure";
  }
}

// Guards against work that is lost with a worker although its end was known.
TEST(DispatcherDeparture, RunThatOutlastsItsWorkerIsMovedBeforeTheDeparture)
{
  Departure played = PlayDeparture(Millis(-2000));
  EXPECT_TRUE(played.stopped);
  ASSERT_TRUE(played.restartedBefore);
  EXPECT_GT(*played.restartedBefore, Millis(0));
}

// Guards against a run that is stopped although it ends in time.
TEST(DispatcherDeparture, RunThatEndsBeforeTheDepartureIsNotStopped)
{
  for (int before : { 700, 1000, 1300, 2500 }) {
    Departure played = PlayDeparture(Millis(before));
    EXPECT_FALSE(played.stopped) << before;
    EXPECT_TRUE(played.completed) << before;
  }
}

// Guards against a next leader that does not know when the worker departs: it
// reads the report that its predecessor committed.
TEST(DispatcherDeparture, NextLeaderMovesTheRunsOfADepartingWorker)
{
  Departure played = PlayDeparture(Millis(-2000), true);
  EXPECT_TRUE(played.stopped);
  ASSERT_TRUE(played.restartedBefore);
  EXPECT_GT(*played.restartedBefore, Millis(0));
}

// Starts one task on "w1" and returns its answered start.
Order
StartOneRun(FleetFixture& aFleet, bool aLongRunning = false)
{
  aFleet.AddWorker("w1");
  StepSpec step = FleetFixture::GangOf(1);
  step.gang = false;
  step.longRunning = aLongRunning;
  aFleet.Submit(kJob, step);
  Order start = aFleet.ExpectOrder(Order::Kind::kStart);
  aFleet.Answer(start, OrderResult::Outcome::kAnswered);
  return start;
}

// Answers renewals for at most `aTime` with lists of the run, which progresses
// from `aPercent`. Returns the time after which it was stopped, if it was.
std::optional<Millis>
AdvanceUntilStopped(FleetFixture& aFleet,
                    const Order& aStart,
                    Millis aTime,
                    int32_t aPercent)
{
  constexpr Millis kStep(50);
  for (Millis at; at < aTime; at += kStep) {
    for (const Order& it : aFleet.TakeOrders(Order::Kind::kRenew)) {
      OrderResult result = aFleet.EmptyRenewalResult();
      auto progress = static_cast<int32_t>(at.Count() / 100);
      result.running.push_back(
        { .run = aStart.run, .percent = std::min(aPercent + progress, 100) });
      aFleet.Deliver(it, result);
    }
    if (!aFleet.TakeOrders(Order::Kind::kStop).empty()) {
      return at;
    }
    aFleet.Advance(kStep);
  }
  return std::nullopt;
}

// Guards against a task that lasts and is stopped too late: its percentage is
// no progress towards an end.
TEST(DispatcherDeparture, TaskThatLastsIsStoppedInTime)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, true);
  fleet.Drain("w1", kNotice);
  auto stopped = AdvanceUntilStopped(fleet, start, kNotice, 100);
  ASSERT_TRUE(stopped);
  EXPECT_LT(*stopped, kNotice - fleet.Options().maxStopTime);
}

// Guards against a run that is stopped although its worker stays.
TEST(DispatcherDeparture, WorkerThatStopsDrainingKeepsItsRuns)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet);
  fleet.Drain("w1", kNotice);
  fleet.Advance(Millis(1000));
  fleet.Heartbeat("w1");
  EXPECT_FALSE(AdvanceUntilStopped(fleet, start, kNotice, 10));
}

// Guards against a next leader that stops runs by an earlier announcement.
TEST(DispatcherDeparture, NextLeaderKnowsThatTheDepartureMoved)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet);
  fleet.Drain("w1", kNotice);
  fleet.Advance(Millis(3000));
  fleet.Drain("w1", Seconds(60));
  fleet.Advance(Millis(500));
  fleet.ChangeLeader();
  EXPECT_FALSE(AdvanceUntilStopped(fleet, start, Millis(1000), 10));
}

} // namespace
} // namespace limpetwood::fleet
