// Tests of the dispatcher: starts, stops, renewals and ends of runs, and when
// they are sent, committed and acknowledged.

#include "fleet/dispatcher.h"

#include "base/random.h"
#include "fleet/testing/fleet_fixture.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

using testing::FleetFixture;

// Guards against a gang that never ends because the start of one member got no
// answer: each repeated stop must not postpone the time from which a renewal
// proves that the run does not exist.
TEST(Dispatcher, RepeatedStopsDoNotDelayResolutionOfAStart)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  // The worker answers stops immediately and renewals after their maximum wait.
  for (int n = 0; n < 40 && fleet.IsActive(start); ++n) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
    fleet.AnswerDueRenewals();
  }
  EXPECT_FALSE(fleet.IsActive(start));
}

// Guards against a duplicate run: a renewal and a start sent in the same
// millisecond can arrive in either order, so a renewal that does not list the
// run proves nothing.
TEST(Dispatcher, RenewalInTheMillisecondOfTheStartIsInconclusive)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.AnswerRenewal("w1", fleet.EmptyRenewalResult());
  EXPECT_TRUE(fleet.IsActive(start));
}

// Guards against a duplicate run while the first may still start: if neither
// the start nor the stop is answered, the task becomes free only when the lease
// has expired.
TEST(Dispatcher, UnansweredStartOccupiesItsTaskUntilLeaseExpiry)
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

// Advances the time by `aTime` while the workers refuse stops and answer
// renewals, after their maximum wait, with lists that name no run. Returns the
// number of refused stops.
size_t
AdvanceWithRefusedStops(FleetFixture& aFleet,
                        Millis aTime,
                        OrderRefusal aRefusal = OrderRefusal::kUnhealthy)
{
  constexpr Millis kInterval(50);
  size_t refused = 0;
  for (Millis at; at < aTime; at += kInterval) {
    aFleet.Advance(kInterval);
    for (const auto& [id, worker] : aFleet.State().Workers()) {
      aFleet.Heartbeat(id.Value());
    }
    for (const Order& it : aFleet.TakeOrders(Order::Kind::kStop)) {
      aFleet.Refuse(it, aRefusal);
      ++refused;
    }
    aFleet.AnswerDueRenewals();
  }
  return refused;
}

// Guards against a duplicate run: a worker that refused the stop, for whatever
// reason, has done nothing, so the unanswered start may still be executed.
TEST(Dispatcher, RefusedStopProvesNothingAboutAnUnansweredStart)
{
  for (auto refusal : { OrderRefusal::kUnhealthy,
                        OrderRefusal::kFenced,
                        OrderRefusal::kMalformed }) {
    SCOPED_TRACE(OrderRefusalName(refusal));
    FleetFixture fleet;
    fleet.AddWorker("w1");
    fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
    Order start = fleet.ExpectOrder(Order::Kind::kStart);
    fleet.AddWorker("w2");
    fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
    size_t refused = AdvanceWithRefusedStops(fleet, Seconds(3), refusal);
    EXPECT_TRUE(fleet.IsActive(start));
    EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
    // Repeated like an unanswered stop, and not at once.
    EXPECT_GE(refused, 5U);
    EXPECT_LE(refused, 9U);
  }
}

// Guards against a run that is never resolved: a refused stop is repeated, and
// once it is executed a renewal without the run ends it.
TEST(Dispatcher, RepeatedStopResolvesTheStartOnceItIsExecuted)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  AdvanceWithRefusedStops(fleet, Seconds(2));
  ASSERT_TRUE(fleet.IsActive(start));
  for (int n = 0; n < 10 && fleet.IsActive(start); ++n) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
    fleet.AnswerDueRenewals();
  }
  EXPECT_FALSE(fleet.IsActive(start));
  const DispatcherCounters& counters = fleet.GetDispatcher().Counters();
  EXPECT_EQ(counters.ends[static_cast<size_t>(EndKind::kRejected)], 1U);
}

// Lets the start and all orders after it stay unanswered until the lease has
// expired.
void
LoseUntilLeaseExpiry(FleetFixture& aFleet, const Order& aStart)
{
  aFleet.Answer(aStart, OrderResult::Outcome::kNoAnswer);
  Millis limit = aFleet.Options().leaseDuration + Seconds(2);
  for (Millis at; at < limit; at += Millis(100)) {
    aFleet.Advance(Millis(100));
    aFleet.Heartbeat("w1");
    for (auto kind : { Order::Kind::kStop, Order::Kind::kRenew }) {
      for (const Order& it : aFleet.TakeOrders(kind)) {
        aFleet.Answer(it, OrderResult::Outcome::kNoAnswer);
      }
    }
  }
}

// Guards against a duplicate run: a start that was given up at lease expiry
// would run under the worker's next lease, so none is granted before the worker
// has executed the stop.
TEST(Dispatcher, RefusedStopOfAGivenUpStartGrantsNoLease)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  LoseUntilLeaseExpiry(fleet, start);
  ASSERT_FALSE(fleet.IsActive(start));
  size_t refused = 0;
  auto advance = [&](bool aRefuse) {
    fleet.Advance(Millis(100));
    fleet.Heartbeat("w1");
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      if (aRefuse) {
        fleet.Refuse(it, OrderRefusal::kUnhealthy);
        ++refused;
      } else {
        fleet.Answer(it, OrderResult::Outcome::kAnswered);
      }
    }
  };
  for (Millis at; at < Seconds(3); at += Millis(100)) {
    advance(true);
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      ASSERT_EQ(it.leaseUntil, Millis(0)) << "after " << at.Count() << " ms";
      fleet.Deliver(it, fleet.EmptyRenewalResult());
    }
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  }
  // Repeated like an unanswered stop, and not at once.
  EXPECT_GE(refused, 5U);
  EXPECT_LE(refused, 9U);
  std::vector<Order> starts;
  for (int n = 0; n < 10 && starts.empty(); ++n) {
    advance(false);
    fleet.AnswerDueRenewals();
    starts = fleet.TakeOrders(Order::Kind::kStart);
  }
  ASSERT_EQ(starts.size(), 1U);
  EXPECT_EQ(starts.front().worker, WorkerId("w1"));
}

// Guards against a task that waits forever for a worker that refuses its stop:
// after the time of a lease the worker gets no further one, and its runs end at
// expiry.
TEST(Dispatcher, WorkerThatKeepsRefusingAStopLosesItsLease)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.AddWorker("w2");
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  Millis lease = fleet.Options().leaseDuration;
  AdvanceWithRefusedStops(fleet, lease);
  EXPECT_TRUE(fleet.IsActive(start));
  AdvanceWithRefusedStops(fleet, lease + Seconds(2));
  EXPECT_FALSE(fleet.IsActive(start));
  fleet.Heartbeat("w2");
  fleet.Advance(Millis(100));
  for (const Order& it : fleet.TakeOrders(Order::Kind::kStart)) {
    EXPECT_EQ(it.worker, WorkerId("w2"));
  }
}

// Guards against flooding a worker that sheds load: a refused renewal comes
// back at once, and is repeated at the pace of other renewals without a wait.
TEST(Dispatcher, RefusedRenewalIsNotRepeatedAtOnce)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  size_t renewals = 0;
  for (int n = 0; n < 100; ++n) {
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Refuse(it, OrderRefusal::kUnhealthy);
      ++renewals;
    }
    fleet.Advance(Millis(10));
  }
  EXPECT_GE(renewals, 5U);
  EXPECT_LE(renewals, 12U);
}

// Guards against the same for a worker that has announced its end.
TEST(Dispatcher, RefusedRenewalOfALeavingWorkerIsNotRepeatedAtOnce)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.Leave("w1");
  size_t renewals = 0;
  for (int n = 0; n < 100; ++n) {
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Refuse(it, OrderRefusal::kUnhealthy);
      ++renewals;
    }
    fleet.Advance(Millis(10));
  }
  EXPECT_GE(renewals, 5U);
  EXPECT_LE(renewals, 12U);
}

// Guards against a task that waits forever for a worker that refuses all
// orders: refused renewals grant no lease, so its runs end at expiry.
TEST(Dispatcher, RunsOfAWorkerThatRefusesRenewalsEndAtLeaseExpiry)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  Millis limit = fleet.Options().leaseDuration + Seconds(2);
  for (Millis at; at < limit; at += Millis(50)) {
    fleet.Advance(Millis(50));
    fleet.Heartbeat("w1");
    for (auto kind : { Order::Kind::kRenew, Order::Kind::kStop }) {
      for (const Order& it : fleet.TakeOrders(kind)) {
        fleet.Refuse(it, OrderRefusal::kUnhealthy);
      }
    }
    if (at < fleet.Options().leaseDuration) {
      ASSERT_TRUE(fleet.IsActive(start)) << "after " << at.Count() << " ms";
    }
  }
  EXPECT_FALSE(fleet.IsActive(start));
  // It takes tasks again only when it executes a renewal.
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  std::vector<Order> starts;
  for (int n = 0; n < 10 && starts.empty(); ++n) {
    fleet.Advance(Millis(100));
    fleet.AnswerDueRenewals();
    starts = fleet.TakeOrders(Order::Kind::kStart);
  }
  EXPECT_EQ(starts.size(), 1U);
}

// Guards against a run that is given up although its worker works: one refused
// renewal among many that are executed costs no lease.
TEST(Dispatcher, OccasionallyRefusedRenewalsKeepTheLease)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  int32_t renewals = 0;
  Millis limit = fleet.Options().leaseDuration * 3;
  for (Millis at; at < limit; at += Millis(50)) {
    fleet.Advance(Millis(50));
    fleet.Heartbeat("w1");
    OrderResult result = fleet.EmptyRenewalResult();
    result.running.push_back(
      { .run = start.run,
        .percent = static_cast<int32_t>(at.Count() * 90 / limit.Count()) });
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      if (++renewals % 2 == 0) {
        fleet.Refuse(it, OrderRefusal::kUnhealthy);
      } else {
        fleet.Deliver(it, result);
      }
    }
    ASSERT_TRUE(fleet.IsActive(start)) << "after " << at.Count() << " ms";
  }
}

// Guards against runs that are killed by a worker that refuses most orders and
// executes some: each executed renewal extends the lease.
TEST(Dispatcher, WorkerThatRefusesMostRenewalsKeepsItsLease)
{
  constexpr Millis kStep(20);
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    Random random(seed);
    FleetFixture fleet;
    fleet.AddWorker("w1");
    fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
    Order start = fleet.ExpectOrder(Order::Kind::kStart);
    fleet.Answer(start, OrderResult::Outcome::kAnswered);
    Millis leaseUntil = start.leaseUntil;
    for (Millis at; at < Seconds(60); at += kStep) {
      fleet.Advance(kStep);
      if (at.Count() % 1000 == 0) {
        fleet.Heartbeat("w1");
      }
      for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
        if (random.Below(10) < 8) {
          fleet.Refuse(it, OrderRefusal::kUnhealthy);
          continue;
        }
        leaseUntil = std::max(leaseUntil, it.leaseUntil);
        OrderResult result = fleet.EmptyRenewalResult();
        result.running.push_back(
          { .run = start.run,
            .percent = static_cast<int32_t>(at.Count() / 700) });
        fleet.Deliver(it, result);
      }
      ASSERT_GT(leaseUntil, fleet.Now()) << "seed " << seed;
    }
    EXPECT_TRUE(fleet.IsActive(start)) << "seed " << seed;
  }
}

// Guards against a run that is never given up because its worker refuses all
// renewals and executes other orders.
TEST(Dispatcher, WorkerThatExecutesOnlyStopsLosesItsLease)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.Cancel("00000000000000a1");
  Millis limit = fleet.Options().leaseDuration * 2;
  for (Millis at; at < limit; at += Millis(50)) {
    fleet.Advance(Millis(50));
    fleet.Heartbeat("w1");
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Refuse(it, OrderRefusal::kUnhealthy);
    }
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
  }
  EXPECT_FALSE(fleet.IsActive(start));
}

// Guards against a queue length that leaves out jobs that have not begun,
// because a start was sent, refused, withdrawn or not answered.
TEST(Dispatcher, JobBeginsWhenAStartIsAnswered)
{
  constexpr const char* kJob = "00000000000000a1";
  FleetFixture fleet;
  fleet.AddWorker("w1");
  auto job = [&]() -> const Job& {
    return *fleet.State().FindJob(JobId(kJob));
  };
  auto hasBegun = [&] { return fleet.GetDispatcher().HasBegun(job()); };
  fleet.Submit(kJob, FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_FALSE(hasBegun());
  fleet.Refuse(start, OrderRefusal::kUnhealthy);
  EXPECT_FALSE(hasBegun());
  EXPECT_EQ(job().status, JobStatus::kQueued);
  fleet.Advance(Seconds(3));
  fleet.Heartbeat("w1");
  fleet.Advance(Millis(500));
  start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kNoAnswer);
  EXPECT_FALSE(hasBegun());
  // The worker answers the stop, and its next renewal does not list the run.
  std::vector<Order> starts;
  for (int n = 0; n < 50 && starts.empty(); ++n) {
    for (const Order& it : fleet.TakeOrders(Order::Kind::kStop)) {
      fleet.Answer(it, OrderResult::Outcome::kAnswered);
    }
    fleet.AnswerDueRenewals();
    EXPECT_FALSE(hasBegun());
    fleet.Heartbeat("w1");
    fleet.Advance(Millis(100));
    starts = fleet.TakeOrders(Order::Kind::kStart);
  }
  ASSERT_EQ(starts.size(), 1U);
  fleet.Answer(starts.front(), OrderResult::Outcome::kAnswered);
  EXPECT_TRUE(hasBegun());
  fleet.ChangeLeader();
  EXPECT_TRUE(hasBegun());
}

// Guards against a start on a worker that drains: it has waited behind an order
// that the worker answers late.
TEST(Dispatcher, QueuedStartIsNotSentToADrainingWorker)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  StepSpec step = FleetFixture::GangOf(2);
  step.gang = false;
  step.resources.accelerators = 4;
  fleet.Submit("00000000000000a1", step);
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Drain("w1");
  fleet.Advance(Millis(900));
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(100));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  EXPECT_EQ(fleet.GetDispatcher().Counters().startsWithdrawn, 1U);
}

// Guards against a lease that never expires: renewals that a lost worker does
// not answer must not extend its lease.
TEST(Dispatcher, RunsOfALostWorkerEndAtLeaseExpiry)
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

// Guards against losing the end of a run: a worker forgets acknowledged ends,
// so an end must be in the replicated state before it is acknowledged.
TEST(Dispatcher, EndsAreAcknowledgedOnlyAfterTheirCommit)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.HoldCommits(true);
  OrderResult result = fleet.EmptyRenewalResult();
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

// Guards against late starts of an earlier leader: a worker receives tasks only
// after it has seen the fencing token of this term.
TEST(Dispatcher, NoStartBeforeTheWorkerHasSeenTheToken)
{
  FleetFixture fleet;
  fleet.AddWorker("w1", FleetFixture::Fencing::kUnanswered);
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  fleet.Advance(Millis(500));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
}

// Guards against a scheduler that stops planning: when the log temporarily
// rejects a command, the dispatcher must not wait for the commit of starts
// that were never proposed.
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

// Returns a step that needs half of a worker's accelerators, so that two tasks
// share a worker.
StepSpec
HalfWorkerStep()
{
  StepSpec step = FleetFixture::GangOf(1);
  step.resources.accelerators = 4;
  return step;
}

// Guards against starting tasks of cancelled jobs: a start that is queued
// behind an unanswered order must be dropped when its job is cancelled.
// Otherwise a slow worker receives the start long after the cancellation.
TEST(Dispatcher, QueuedStartIsDroppedWhenItsJobIsCancelled)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", HalfWorkerStep());
  fleet.Submit("00000000000000a2", HalfWorkerStep());
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_EQ(first.run.task.job, JobId("00000000000000a1"));
  fleet.Advance(Millis(300));
  fleet.Cancel("00000000000000a2");
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(50));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  EXPECT_EQ(fleet.State().FindJob(JobId("00000000000000a2"))->activeRuns, 0U);
  EXPECT_EQ(fleet.GetDispatcher().Counters().startsWithdrawn, 1U);
}

// Guards against gangs that wait for a worker that may be lost: a start that
// was not sent must be dropped, so that it can go to another worker.
TEST(Dispatcher, StartsQueuedBehindAnUnansweredOneAreDropped)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", HalfWorkerStep());
  fleet.Submit("00000000000000a2", HalfWorkerStep());
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.AddWorker("w2");
  fleet.Answer(first, OrderResult::Outcome::kNoAnswer);
  fleet.Advance(Millis(50));
  Order second = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_EQ(second.run.task.job, JobId("00000000000000a2"));
  EXPECT_EQ(second.worker, WorkerId("w2"));
}

// Guards against a leader that plans all the time: with a long queue, each
// commit makes a pass due, and a pass takes many times as long as a request.
TEST(Dispatcher, LongPlanningPassesLeaveMostOfTheProcessor)
{
  constexpr Millis kPassTime(40);
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  fleet.Submit("00000000000000a2", FleetFixture::GangOf(1));
  fleet.SetPassTime(kPassTime);
  uint64_t before = fleet.GetDispatcher().Counters().planningPasses;
  Millis start = fleet.Now();
  for (int n = 0; n < 200; ++n) {
    // A further worker is committed every 20 ms.
    fleet.AddWorker("x" + std::to_string(n),
                    FleetFixture::Fencing::kUnanswered);
    fleet.Advance(Millis(20));
  }
  uint64_t passes = fleet.GetDispatcher().Counters().planningPasses - before;
  Millis planned = kPassTime * static_cast<int64_t>(passes);
  EXPECT_LE(planned * 4, fleet.Now() - start + kPassTime * 4);
  EXPECT_GT(planned, Millis(0));
}

// Guards against queued duplicates of a stop, which would delay all later
// orders.
TEST(Dispatcher, DuplicateStopsAreNotQueued)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", HalfWorkerStep());
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

// Guards against a gang that runs with only some of its members.
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

// Guards against a run that makes no progress on a worker that looks healthy.
TEST(Dispatcher, StalledRunIsStopped)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  bool stopped = false;
  // 6 s in total, longer than `kStallTime` of run_monitor.cc, 2.5 s.
  for (int n = 0; n < 60 && !stopped; ++n) {
    fleet.Advance(Millis(100));
    OrderResult result = fleet.EmptyRenewalResult();
    result.running.push_back({ .run = start.run, .percent = 10 });
    fleet.AnswerRenewal("w1", result);
    stopped = !fleet.TakeOrders(Order::Kind::kStop).empty();
  }
  EXPECT_TRUE(stopped);
}

// Guards against giving up the work of a worker that is only slow to report: it
// sends heartbeats, but its answers to renewals are late.
TEST(Dispatcher, RunOfAWorkerThatReportsLateIsNotStopped)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  for (int32_t percent : { 10, 11, 60, 61 }) {
    OrderResult result = fleet.EmptyRenewalResult();
    result.running.push_back({ .run = start.run, .percent = percent });
    // 2.8 s between two answers, longer than `kStallTime` of run_monitor.cc.
    for (int n = 0; n < 56; ++n) {
      fleet.Advance(Millis(50));
      fleet.Heartbeat("w1");
      ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty()) << percent;
    }
    fleet.AnswerRenewal("w1", result);
  }
}

// Guards against stopping a gang whose faster members have finished and wait
// for the last one.
TEST(Dispatcher, FinishedMemberIsNotStalled)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  // 6 s in total, longer than `kStallTime` of run_monitor.cc, 2.5 s.
  for (int n = 0; n < 60; ++n) {
    fleet.Advance(Millis(100));
    OrderResult result = fleet.EmptyRenewalResult();
    result.running.push_back({ .run = start.run, .percent = 100 });
    fleet.AnswerRenewal("w1", result);
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty());
  }
}

// Guards against stopping a slow run: any progress restarts the stall time.
TEST(Dispatcher, RunWithProgressIsNotStopped)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit("00000000000000a1", FleetFixture::GangOf(1));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  // 6 s in total, longer than `kStallTime` of run_monitor.cc, 2.5 s.
  for (int n = 0; n < 60; ++n) {
    fleet.Advance(Millis(100));
    OrderResult result = fleet.EmptyRenewalResult();
    result.running.push_back({ .run = start.run, .percent = n });
    fleet.AnswerRenewal("w1", result);
    ASSERT_TRUE(fleet.TakeOrders(Order::Kind::kStop).empty());
  }
}

} // namespace
} // namespace limpetwood::fleet
