// Tests of workers that leave or restart while ends of their runs are on their
// way: a run that was reported as done is never started again.

#include "base/random.h"
#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

constexpr const char* kJob = "00000000000000a1";

OrderResult
DoneResult(const FleetFixture& aFleet, const RunRef& aRun)
{
  OrderResult out = aFleet.EmptyRenewalResult();
  out.ended.push_back({ .number = 1, .run = aRun, .kind = EndKind::kDone });
  return out;
}

// Adds the workers and starts a job with one task. Returns the answered start.
Order
StartOneRun(FleetFixture& aFleet, const std::vector<std::string>& aWorkers)
{
  for (const std::string& it : aWorkers) {
    aFleet.AddWorker(it);
  }
  aFleet.Submit(kJob, FleetFixture::GangOf(1));
  Order start = aFleet.ExpectOrder(Order::Kind::kStart);
  aFleet.Answer(start, OrderResult::Outcome::kAnswered);
  return start;
}

JobStatus
StatusOf(const FleetFixture& aFleet)
{
  return aFleet.State().FindJob(JobId(kJob))->status;
}

// Guards against a worker that was removed and is back, and whose renewals are
// counted wrong for good: a result of an order from before its removal says
// nothing about those sent since.
TEST(DispatcherRemoval, LateResultDoesNotCountForAWorkerThatIsBack)
{
  FleetFixture fleet;
  fleet.AddWorker("w1", FleetFixture::Fencing::kUnanswered);
  Order before = fleet.ExpectOrder(Order::Kind::kRenew);
  fleet.Advance(Seconds(21));
  ASSERT_EQ(fleet.State().FindWorker(WorkerId("w1")), nullptr);
  fleet.AddWorker("w1", FleetFixture::Fencing::kUnanswered);
  fleet.ExpectOrder(Order::Kind::kRenew);
  fleet.Answer(before, OrderResult::Outcome::kNoAnswer);
  fleet.Advance(Millis(500));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kRenew).empty());
}

// Guards against starting a task again after its end was reported: the end and
// the removal of its worker wait for the same commit.
TEST(DispatcherRemoval, EndReportedBeforeItsWorkerLeavesCounts)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1" });
  fleet.HoldCommits(true);
  fleet.AnswerRenewal("w1", DoneResult(fleet, start.run));
  fleet.Leave("w1");
  fleet.AnswerRenewal("w1", DoneResult(fleet, start.run));
  fleet.HoldCommits(false);
  fleet.Advance(Millis(20));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
  EXPECT_EQ(fleet.State().FindWorker(WorkerId("w1")), nullptr);
}

// Guards against the same if the end arrives after the worker has left, in the
// answer to a renewal that was sent before.
TEST(DispatcherRemoval, EndReportedAfterItsWorkerLeftCounts)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1", "w2" });
  fleet.Leave(start.worker.Value());
  fleet.Advance(Millis(50));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  fleet.AnswerRenewal(start.worker.Value(), DoneResult(fleet, start.run));
  fleet.AnswerRenewal(start.worker.Value(), DoneResult(fleet, start.run));
  fleet.Advance(Millis(50));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
  EXPECT_EQ(fleet.State().FindWorker(start.worker), nullptr);
}

// Guards against losing an end that no renewal has listed when the worker
// leaves: it is asked once more before it is given up.
TEST(DispatcherRemoval, WorkerThatLeavesIsAskedForItsLastEnds)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1", "w2" });
  // The next renewal is not due yet.
  fleet.AnswerRenewal(start.worker.Value(), fleet.EmptyRenewalResult());
  fleet.TakeOrders(Order::Kind::kRenew);
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  Order last = fleet.ExpectOrder(Order::Kind::kRenew);
  EXPECT_EQ(last.worker, start.worker);
  EXPECT_EQ(last.wait, Millis(0));
  fleet.Deliver(last, DoneResult(fleet, start.run));
  fleet.Advance(Millis(50));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
  EXPECT_EQ(fleet.State().FindWorker(start.worker), nullptr);
}

// Guards against losing an end between the last answer of a worker that leaves
// and the end of its process: it is asked until it does not answer.
TEST(DispatcherRemoval, WorkerThatLeavesIsAskedUntilItsProcessEnds)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1", "w2" });
  const std::string worker = start.worker.Value();
  fleet.AnswerRenewal(worker, fleet.EmptyRenewalResult());
  fleet.TakeOrders(Order::Kind::kRenew);
  fleet.Leave(worker);
  OrderResult running = fleet.EmptyRenewalResult();
  running.running.push_back({ .run = start.run, .percent = 99 });
  fleet.Deliver(fleet.ExpectOrder(Order::Kind::kRenew), running);
  fleet.Advance(Millis(5));
  ASSERT_NE(fleet.State().FindWorker(start.worker), nullptr);
  Order next = fleet.ExpectOrder(Order::Kind::kRenew);
  EXPECT_GT(next.wait, Millis(0));
  fleet.Deliver(next, DoneResult(fleet, start.run));
  fleet.Advance(Millis(50));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
  EXPECT_EQ(fleet.State().FindWorker(start.worker), nullptr);
}

// Answers the queued renewals to the worker with `aOutcome`, and those to other
// workers with an empty list.
void
AnswerRenewals(FleetFixture& aFleet,
               const WorkerId& aWorker,
               OrderResult::Outcome aOutcome)
{
  for (const Order& it : aFleet.TakeOrders(Order::Kind::kRenew)) {
    if (it.worker == aWorker) {
      aFleet.Answer(it, aOutcome);
    } else {
      aFleet.Deliver(it, aFleet.EmptyRenewalResult());
    }
  }
}

// Guards against a worker that stays known, and its tasks waiting, although its
// process has ended as announced: nothing listens at its address.
TEST(DispatcherRemoval, RefusedConnectionEndsTheRunsOfAWorkerThatLeft)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1", "w2" });
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  // The renewal that the worker held back breaks off as it ends.
  AnswerRenewals(fleet, start.worker, OrderResult::Outcome::kNoAnswer);
  fleet.Advance(Millis(101));
  AnswerRenewals(fleet, start.worker, OrderResult::Outcome::kConnectionRefused);
  fleet.Advance(Millis(50));
  EXPECT_EQ(fleet.State().FindWorker(start.worker), nullptr);
  Order second = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_EQ(second.run.task, start.run.task);
  EXPECT_NE(second.worker, start.worker);
}

// Guards against running a task twice: a worker whose leave arrives but is not
// acknowledged to it runs on, cut off in one direction or in both.
TEST(DispatcherRemoval, LeaveWithoutProofOfTheEndWaitsForTheLease)
{
  for (auto outcome :
       { OrderResult::Outcome::kNoAnswer, OrderResult::Outcome::kNotSent }) {
    FleetFixture fleet;
    Order start = StartOneRun(fleet, { "w1", "w2" });
    const char* other = start.worker.Value() == "w1" ? "w2" : "w1";
    Millis lastLease = fleet.Now();
    EXPECT_TRUE(fleet.Leave(start.worker.Value()));
    Millis lease = fleet.Options().leaseDuration;
    while (fleet.Now() < lastLease + lease) {
      AnswerRenewals(fleet, start.worker, outcome);
      ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
      ASSERT_TRUE(fleet.IsActive(start));
      fleet.Heartbeat(other);
      fleet.Advance(Millis(100));
    }
    // A lease on a clock that is 2% slow ends 0.2 s later.
    for (int n = 0; n < 10; ++n) {
      AnswerRenewals(fleet, start.worker, outcome);
      fleet.Advance(Millis(100));
    }
    EXPECT_EQ(fleet.State().FindWorker(start.worker), nullptr);
    Order second = fleet.ExpectOrder(Order::Kind::kStart);
    EXPECT_EQ(second.run.task, start.run.task);
    EXPECT_NE(second.worker, start.worker);
  }
}

// Guards against a lease that is extended after the leave, which would keep the
// task waiting, and against giving up a worker that still answers.
TEST(DispatcherRemoval, WorkerThatRunsOnAfterItsLeaveGetsNoFurtherLease)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1", "w2" });
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  OrderResult running = fleet.EmptyRenewalResult();
  running.running.push_back({ .run = start.run, .percent = 50 });
  size_t renewals = 0;
  for (int n = 0; n < 50; ++n) {
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      if (it.worker == start.worker) {
        EXPECT_TRUE(renewals++ == 0 || it.leaseUntil == Millis(0));
        fleet.Deliver(it, running);
      }
    }
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
    fleet.Advance(Millis(100));
  }
  EXPECT_GE(renewals, 5U);
  fleet.Deliver(fleet.ExpectOrder(Order::Kind::kRenew),
                DoneResult(fleet, start.run));
  fleet.Advance(Millis(50));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
  EXPECT_EQ(fleet.State().FindWorker(start.worker), nullptr);
}

// Guards against the same through the start: one that got no answer before the
// leave may be executed seconds later.
TEST(DispatcherRemoval, UnansweredStartOnAWorkerThatLeftIsNotRepeatedAtOnce)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.AddWorker("w2");
  fleet.Submit(kJob, FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  for (int n = 0; n < 50; ++n) {
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Deliver(it, fleet.EmptyRenewalResult());
    }
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
    fleet.Advance(Millis(100));
  }
  EXPECT_TRUE(fleet.IsActive(start));
}

// Guards against the same for a start whose commit is pending when the worker
// leaves: it is not sent any more.
TEST(DispatcherRemoval, StartCommittedAfterTheLeaveIsNotSent)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.HoldCommits(true);
  fleet.Submit(kJob, FleetFixture::GangOf(1));
  fleet.Leave("w1");
  fleet.HoldCommits(false);
  fleet.Advance(Millis(50));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  EXPECT_EQ(fleet.State().FindWorker(WorkerId("w1")), nullptr);
}

// Guards against the same over a change of leader: the next leader knows the
// leave, but not whether the process has ended.
TEST(DispatcherRemoval, NextLeaderWaitsForTheLeaseOfAWorkerThatLeft)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1", "w2" });
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  fleet.ChangeLeader();
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  for (int n = 0; n < 90; ++n) {
    AnswerRenewals(fleet, start.worker, OrderResult::Outcome::kNoAnswer);
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
    fleet.Advance(Millis(100));
  }
  EXPECT_TRUE(fleet.IsActive(start));
}

// Guards against new tasks for a worker whose removal waits for a renewal, also
// from a later leader.
TEST(DispatcherRemoval, WorkerThatLeftGetsNoTasks)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  StepSpec half = FleetFixture::GangOf(1);
  half.resources.accelerators = 4;
  fleet.Submit(kJob, half);
  fleet.Answer(fleet.ExpectOrder(Order::Kind::kStart),
               OrderResult::Outcome::kAnswered);
  fleet.Leave("w1");
  EXPECT_TRUE(fleet.State().FindWorker(WorkerId("w1"))->report.draining);
  fleet.Submit("00000000000000a2", half);
  fleet.Advance(Millis(500));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
}

// Guards against losing an end that the earlier process of a restarted worker
// reported, when its answer arrives after the new process was registered.
TEST(DispatcherRemoval, EndReportedByAnEarlierIncarnationCounts)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1" });
  Order renewal = fleet.ExpectOrder(Order::Kind::kRenew);
  fleet.Restart("w1", Incarnation(2));
  fleet.Deliver(renewal, DoneResult(fleet, start.run));
  fleet.Advance(Millis(50));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
}

// Guards against a start that gets no answer, is stopped in one process, and
// runs in the next one under the same id, which knows nothing of the stop.
TEST(DispatcherRemoval, UnansweredStartIsStoppedInTheNextProcessToo)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.AddWorker("w2");
  fleet.Submit(kJob, FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  fleet.Drain(start.worker.Value());
  fleet.Answer(fleet.ExpectOrder(Order::Kind::kStop),
               OrderResult::Outcome::kAnswered);
  for (int n = 0; n < 5 && fleet.IsActive(start); ++n) {
    fleet.Advance(Millis(100));
    AnswerRenewals(fleet, start.worker, OrderResult::Outcome::kAnswered);
  }
  ASSERT_FALSE(fleet.IsActive(start));
  fleet.Advance(Millis(20));
  Order second = fleet.ExpectOrder(Order::Kind::kStart);
  ASSERT_NE(second.worker, start.worker);
  fleet.Answer(second, OrderResult::Outcome::kAnswered);
  fleet.Restart(start.worker.Value(), Incarnation(2));
  fleet.Advance(Millis(10));
  Order stop = fleet.ExpectOrder(Order::Kind::kStop);
  EXPECT_EQ(RunName(stop.run), RunName(start.run));
  EXPECT_EQ(stop.incarnation, Incarnation(2));
}

// Guards against the same if the new process begins before a list without the
// run was read.
TEST(DispatcherRemoval, StopExecutedByTheEarlierProcessResolvesNoStartInTheNext)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.AddWorker("w2");
  fleet.Submit(kJob, FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  fleet.Drain(start.worker.Value());
  fleet.Answer(fleet.ExpectOrder(Order::Kind::kStop),
               OrderResult::Outcome::kAnswered);
  ASSERT_TRUE(fleet.IsActive(start));
  std::vector<Order> earlier = fleet.TakeOrders(Order::Kind::kRenew);
  fleet.Restart(start.worker.Value(), Incarnation(2));
  for (const Order& it : earlier) {
    fleet.Answer(it, OrderResult::Outcome::kNoAnswer);
  }
  bool stoppedInNext = false;
  for (int n = 0; n < 20 && fleet.IsActive(start); ++n) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      stoppedInNext = stoppedInNext || (it.incarnation == Incarnation(2) &&
                                        RunName(it.run) == RunName(start.run));
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Deliver(it, fleet.EmptyRenewalResult());
    }
  }
  EXPECT_FALSE(fleet.IsActive(start));
  EXPECT_TRUE(stoppedInNext);
}

// Guards against the same if the worker was removed in between: the start is
// still on its way, and the process that rejoins executes it.
TEST(DispatcherRemoval, StartWithoutAnswerIsStoppedInAProcessThatRejoins)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.AddWorker("w2");
  fleet.Submit(kJob, FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  EXPECT_TRUE(fleet.Leave(start.worker.Value()));
  for (int n = 0; n < 5; ++n) {
    AnswerRenewals(
      fleet, start.worker, OrderResult::Outcome::kConnectionRefused);
    fleet.Advance(Millis(101));
  }
  ASSERT_EQ(fleet.State().FindWorker(start.worker), nullptr);
  fleet.DropOrders();
  fleet.Restart(start.worker.Value(), Incarnation(2));
  fleet.Advance(Millis(10));
  Order stop = fleet.ExpectOrder(Order::Kind::kStop);
  EXPECT_EQ(RunName(stop.run), RunName(start.run));
  EXPECT_EQ(stop.incarnation, Incarnation(2));
}

// Guards against giving up the work of a restarted worker because the report
// that its earlier process leaves arrives late.
TEST(DispatcherRemoval, LateLeaveOfAnEarlierIncarnationIsIgnored)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Restart("w1", Incarnation(2));
  fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
  EXPECT_FALSE(fleet.Leave("w1", Incarnation(1)));
  fleet.Advance(Millis(50));
  const Worker* worker = fleet.State().FindWorker(WorkerId("w1"));
  ASSERT_NE(worker, nullptr);
  EXPECT_FALSE(worker->report.draining);
  fleet.Leave("w1", Incarnation(2));
  fleet.DropOrders();
  fleet.Advance(Millis(50));
}

// Guards against starting a done task again: the answer of the earlier process
// is still on its way when the new one lists no run.
TEST(DispatcherRemoval, NewProcessProvesNoLossWhileTheEarlierOneMayAnswer)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1" });
  Order earlier = fleet.ExpectOrder(Order::Kind::kRenew);
  fleet.Restart("w1", Incarnation(2));
  fleet.HoldCommits(true);
  for (int n = 0; n < 5; ++n) {
    fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
    fleet.Advance(Millis(101));
  }
  fleet.Deliver(earlier, DoneResult(fleet, start.run));
  fleet.HoldCommits(false);
  fleet.Advance(Millis(101));
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
}

// Guards against a run that is never given up because the earlier process of
// its worker did not answer.
TEST(DispatcherRemoval, NewProcessProvesTheLossOnceTheEarlierOneCannotAnswer)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1" });
  Order earlier = fleet.ExpectOrder(Order::Kind::kRenew);
  fleet.Restart("w1", Incarnation(2));
  fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
  fleet.Advance(Millis(101));
  EXPECT_TRUE(fleet.IsActive(start));
  fleet.Answer(earlier, OrderResult::Outcome::kNoAnswer);
  for (int n = 0; n < 3; ++n) {
    fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
    fleet.Advance(Millis(101));
  }
  EXPECT_FALSE(fleet.IsActive(start));
}

// Guards against an end that is acknowledged, and so forgotten by its worker,
// before the state has it: another end of the run is already proposed.
TEST(DispatcherRemoval, EndIsNotAcknowledgedBeforeItIsRecorded)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1" });
  fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
  fleet.Advance(Millis(101));
  fleet.HoldCommits(true);
  fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
  fleet.Advance(Millis(101));
  fleet.AnswerRenewal("w1", DoneResult(fleet, start.run));
  for (int n = 0; n < 5; ++n) {
    fleet.Advance(Millis(101));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      EXPECT_EQ(it.acknowledgedEnds, 0U);
    }
  }
  fleet.HoldCommits(false);
  fleet.Advance(Millis(101));
  // The end as done has replaced the loss, which was not proposed yet.
  EXPECT_EQ(StatusOf(fleet), JobStatus::kCompleted);
}

// Guards against an end that is skipped because the worker listed a later one
// before it.
TEST(DispatcherRemoval, EndsThatAreNotListedInOrderAllCount)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  StepSpec half = FleetFixture::GangOf(1);
  half.gang = false;
  half.resources.accelerators = 4;
  fleet.Submit(kJob, half);
  fleet.Submit("00000000000000a2", half);
  std::vector<Order> starts = fleet.TakeOrders(Order::Kind::kStart);
  fleet.Answer(starts.at(0), OrderResult::Outcome::kAnswered);
  if (starts.size() == 1) {
    starts.push_back(fleet.ExpectOrder(Order::Kind::kStart));
  }
  fleet.Answer(starts.at(1), OrderResult::Outcome::kAnswered);
  OrderResult result = fleet.EmptyRenewalResult();
  result.ended.push_back({ 2, starts[1].run, EndKind::kDone, "" });
  result.ended.push_back({ 1, starts[0].run, EndKind::kDone, "" });
  fleet.AnswerRenewal("w1", result);
  fleet.Advance(Millis(101));
  EXPECT_FALSE(fleet.IsActive(starts[0]));
  EXPECT_FALSE(fleet.IsActive(starts[1]));
}

// Guards against treating a run as lost because a long list of ends was cut
// off before it.
TEST(DispatcherRemoval, IncompleteListOfEndsProvesNoLoss)
{
  FleetFixture fleet;
  Order start = StartOneRun(fleet, { "w1" });
  fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
  fleet.Advance(Millis(200));
  OrderResult cut = fleet.EmptyRenewalResult();
  cut.endsTruncated = true;
  fleet.AnswerRenewal("w1", cut);
  EXPECT_TRUE(fleet.IsActive(start));
}

// A worker process that executes the orders it receives.
struct ModelWorker
{
  Incarnation incarnation{ 1 };
  bool gone = false;
  // The worker has announced its end and runs on.
  bool leaving = false;
  std::set<RunRef> running{};
  std::vector<EndedRun> ended{};
  uint64_t lastEnd = 0;

  OrderResult Execute(const Order& aOrder, Millis aNow)
  {
    OrderResult out;
    bool reached = !gone && aOrder.incarnation == incarnation;
    if (!reached) {
      out.outcome = gone ? OrderResult::Outcome::kConnectionRefused
                         : OrderResult::Outcome::kNoAnswer;
      return out;
    }
    out.outcome = OrderResult::Outcome::kAnswered;
    out.clock = aNow;
    if (aOrder.kind == Order::Kind::kStart) {
      running.insert(aOrder.run);
    } else if (aOrder.kind == Order::Kind::kStop) {
      if (running.erase(aOrder.run) > 0) {
        ended.push_back({ ++lastEnd, aOrder.run, EndKind::kStopped, "" });
      }
    } else {
      std::erase_if(ended, [&](const EndedRun& it) {
        return it.number <= aOrder.acknowledgedEnds;
      });
      for (const RunRef& it : running) {
        out.running.push_back({ .run = it });
      }
      out.ended = ended;
    }
    return out;
  }

  void FinishOne()
  {
    if (!gone && !running.empty()) {
      RunRef run = *running.begin();
      running.erase(running.begin());
      ended.push_back({ ++lastEnd, run, EndKind::kDone, "" });
    }
  }
};

struct Response
{
  Order order;
  OrderResult result;
};

// Plays random interleavings of orders, answers, lost answers, commits, refused
// commands, leaving and restarting workers within one lease.
class RemovalScenario
{
public:
  explicit RemovalScenario(uint64_t aSeed)
    : mRandom(aSeed)
  {
    for (const char* it : { "w1", "w2", "w3" }) {
      mFleet.AddWorker(it);
      mWorkers[it] = {};
    }
    StepSpec step = FleetFixture::GangOf(1);
    step.gang = false;
    step.resources.accelerators = 4;
    for (int n = 0; n < 8; ++n) {
      mFleet.Submit("00000000000000b" + std::to_string(n), step);
    }
  }

  void Play()
  {
    // At most 300 steps of 30 ms, less than a lease of 10 s.
    for (int n = 0; n < 300; ++n) {
      Step();
      CollectOrders();
    }
  }

  // Tasks that were started after an end as done was reported.
  const std::set<TaskRef>& StartedAgain() const { return mStartedAgain; }
  // Tasks that were started while another worker ran them.
  const std::set<TaskRef>& StartedTwice() const { return mStartedTwice; }
  // Number of runs that were started anew after their worker had left.
  size_t Replaced() const { return mReplaced; }

private:
  size_t Below(size_t aLimit) { return mRandom.Below(aLimit); }

  void Step()
  {
    size_t kind = Below(100);
    std::string worker = "w" + std::to_string(1 + Below(3));
    if (kind < 35) {
      ExecuteOrder();
    } else if (kind < 65) {
      DeliverResponse();
    } else if (kind < 78) {
      mWorkers[worker].FinishOne();
    } else if (kind < 79) {
      // Without the acknowledgement, the process ends some time later.
      mWorkers[worker].leaving = true;
      mFleet.Leave(worker);
    } else if (kind < 80) {
      mWorkers[worker].gone = mWorkers[worker].leaving;
    } else if (kind < 82) {
      uint64_t next = mWorkers[worker].incarnation.Value() + 1;
      mWorkers[worker] = { .incarnation = Incarnation(next) };
      mFleet.Restart(worker, Incarnation(next));
    } else if (kind < 88) {
      mHeld = !mHeld;
      mFleet.HoldCommits(mHeld);
    } else if (kind < 90 && mHeld) {
      mFleet.RefuseCommand();
    } else {
      mFleet.Advance(Millis(static_cast<int64_t>(Below(31))));
    }
  }

  void CollectOrders()
  {
    for (Order::Kind kind :
         { Order::Kind::kStart, Order::Kind::kStop, Order::Kind::kRenew }) {
      for (Order& it : mFleet.TakeOrders(kind)) {
        if (kind == Order::Kind::kStart && mDone.contains(it.run.task)) {
          mStartedAgain.insert(it.run.task);
        }
        if (kind == Order::Kind::kStart) {
          CheckOtherRuns(it);
        }
        mOrders.push_back(std::move(it));
      }
    }
  }

  void CheckOtherRuns(const Order& aStart)
  {
    for (const auto& [id, worker] : mWorkers) {
      bool runsTask = std::any_of(
        worker.running.begin(), worker.running.end(), [&](const RunRef& it) {
          return it.task == aStart.run.task;
        });
      if (runsTask && worker.gone) {
        ++mReplaced;
      } else if (runsTask) {
        mStartedTwice.insert(aStart.run.task);
      }
    }
  }

  void ExecuteOrder()
  {
    if (mOrders.empty()) {
      return;
    }
    size_t n = Below(mOrders.size());
    Order order = mOrders[n];
    mOrders.erase(mOrders.begin() + static_cast<ptrdiff_t>(n));
    ModelWorker& worker = mWorkers[order.worker.Value()];
    OrderResult result = worker.Execute(order, mFleet.Now());
    if (worker.leaving && !worker.gone && Below(2) == 0) {
      // The worker is cut off in one direction.
      result = { .outcome = OrderResult::Outcome::kNoAnswer };
    }
    mResponses.push_back({ std::move(order), std::move(result) });
  }

  void DeliverResponse()
  {
    if (mResponses.empty()) {
      return;
    }
    size_t n = Below(mResponses.size());
    Response response = mResponses[n];
    mResponses.erase(mResponses.begin() + static_cast<ptrdiff_t>(n));
    for (const EndedRun& it : response.result.ended) {
      bool active = mFleet.State().IsActive(it.run, response.order.worker);
      // After a restart, a renewal to the new process may have shown first that
      // the run is gone.
      bool earlierProcess = response.order.incarnation !=
                            mWorkers[response.order.worker.Value()].incarnation;
      if (it.kind == EndKind::kDone && active && !earlierProcess) {
        mDone.insert(it.run.task);
      }
    }
    mFleet.Deliver(response.order, response.result);
  }

  Random mRandom;
  FleetFixture mFleet;
  std::map<std::string, ModelWorker> mWorkers;
  std::vector<Order> mOrders;
  std::vector<Response> mResponses;
  bool mHeld = false;
  std::set<TaskRef> mDone;
  std::set<TaskRef> mStartedAgain;
  std::set<TaskRef> mStartedTwice;
  size_t mReplaced = 0;
};

// Guards against any order of reports, commits and removals in which a task
// that was reported as done, or that another worker still runs, starts again.
TEST(DispatcherRemoval, NoInterleavingStartsADoneOrRunningTaskAgain)
{
  constexpr uint64_t kSeeds = 1500;
  size_t replaced = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RemovalScenario scenario(seed);
    scenario.Play();
    EXPECT_TRUE(scenario.StartedAgain().empty()) << "seed " << seed;
    EXPECT_TRUE(scenario.StartedTwice().empty()) << "seed " << seed;
    replaced += scenario.Replaced();
  }
  // Workers that have ended are given up within the lease.
  EXPECT_GT(replaced, 0U);
}

} // namespace
} // namespace limpetwood::fleet
