// Tests of the dispatcher with tasks that crash the workers that start them,
// and with sound tasks whose workers are lost for other causes.

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
  step.resources.accelerators = aAccelerators;
  return step;
}

JobStatus
StatusOf(const FleetFixture& aFleet, const std::string& aJob = kJob)
{
  return aFleet.State().FindJob(JobId(aJob))->status;
}

const Task&
TaskOf(const FleetFixture& aFleet, const Order& aStart)
{
  return *aFleet.State().FindTask(aStart.run.task);
}

// Answers all renewals that workers have not answered, with the runs that were
// started on their present processes.
void
AnswerRenewals(FleetFixture& aFleet)
{
  for (const Order& it : aFleet.TakeOrders(Order::Kind::kRenew)) {
    OrderResult result = aFleet.EmptyRenewalResult();
    const Worker* worker = aFleet.State().FindWorker(it.worker);
    for (const RunRef& run : worker->active) {
      if (aFleet.State().FindTask(run.task)->incarnation ==
          worker->report.incarnation) {
        result.running.push_back({ .run = run, .percent = 1 });
      }
    }
    aFleet.Deliver(it, result);
  }
}

void
AnswerStops(FleetFixture& aFleet)
{
  for (const Order& it : aFleet.TakeOrders(Order::Kind::kStop)) {
    aFleet.Answer(it, OrderResult::Outcome::kAnswered);
  }
}

// Lets time pass while all workers answer and report.
void
RunFor(FleetFixture& aFleet, Millis aTime)
{
  for (Millis at; at < aTime; at += Millis(100)) {
    aFleet.Advance(Millis(100));
    AnswerRenewals(aFleet);
  }
}

Incarnation
NextIncarnation(const FleetFixture& aFleet, const WorkerId& aWorker)
{
  const WorkerReport& report = aFleet.State().FindWorker(aWorker)->report;
  return Incarnation(report.incarnation.Value() + 1);
}

// How a worker comes back after a crash.
enum class Return
{
  kSameId,
  // Another worker answers at its address.
  kOtherId,
};

// Crashes the worker and lets it come back, until the end of its runs is
// committed.
void
CrashAndReturn(FleetFixture& aFleet, const WorkerId& aWorker, Return aReturn)
{
  const std::string& id = aWorker.Value();
  Incarnation next = NextIncarnation(aFleet, aWorker);
  aFleet.Crash(id);
  aFleet.Advance(Seconds(3));
  if (aReturn == Return::kSameId) {
    aFleet.Restart(id, next);
    aFleet.AnswerRenewal(id, aFleet.EmptyRenewalResult());
  } else {
    aFleet.ReplaceCrashed(id);
    aFleet.Advance(Millis(500));
    for (const Order& it : aFleet.TakeOrders(Order::Kind::kRenew)) {
      if (it.worker == aWorker) {
        aFleet.Answer(it, OrderResult::Outcome::kOtherIncarnation);
      }
    }
  }
  aFleet.Advance(Millis(50));
}

// Guards against a task that crashes worker after worker.
TEST(DispatcherCrash, TaskThatCrashesItsWorkersIsGivenUp)
{
  for (Return how : { Return::kSameId, Return::kOtherId }) {
    FleetFixture fleet;
    for (int n = 0; n < 8; ++n) {
      fleet.AddWorker("w" + std::to_string(n));
    }
    fleet.Submit(kJob, TasksOf(1, 2));
    int starts = 0;
    for (; starts < 8; ++starts) {
      std::vector<Order> sent = fleet.TakeOrders(Order::Kind::kStart);
      if (sent.empty()) {
        break;
      }
      ASSERT_EQ(sent.size(), 1U);
      fleet.Answer(sent[0], OrderResult::Outcome::kAnswered);
      fleet.Advance(Millis(10));
      CrashAndReturn(fleet, sent[0].worker, how);
    }
    EXPECT_EQ(starts, 2);
    EXPECT_EQ(StatusOf(fleet), JobStatus::kFailed);
  }
}

// Guards against the same if the answer to each start is lost with the worker.
TEST(DispatcherCrash, UnansweredStartsOnCrashedWorkersCount)
{
  FleetFixture fleet;
  for (int n = 0; n < 8; ++n) {
    fleet.AddWorker("w" + std::to_string(n));
  }
  fleet.Submit(kJob, TasksOf(1, 2));
  int starts = 0;
  for (; starts < 8; ++starts) {
    std::vector<Order> sent = fleet.TakeOrders(Order::Kind::kStart);
    if (sent.empty()) {
      break;
    }
    fleet.Advance(Millis(10));
    fleet.Answer(sent[0], OrderResult::Outcome::kNoAnswer);
    const std::string id = sent[0].worker.Value();
    fleet.Crash(id);
    fleet.Advance(Seconds(3));
    fleet.Restart(id, NextIncarnation(fleet, sent[0].worker));
    for (int n = 0; n < 10; ++n) {
      fleet.Advance(Millis(100));
      AnswerStops(fleet);
      AnswerRenewals(fleet);
    }
  }
  EXPECT_LE(starts, 3);
  EXPECT_EQ(StatusOf(fleet), JobStatus::kFailed);
}

// Guards against a count that a change of leader forgets, also if the worker
// came back while no leader saw it.
TEST(DispatcherCrash, CountHoldsAcrossChangesOfLeader)
{
  FleetFixture fleet;
  for (int n = 0; n < 8; ++n) {
    fleet.AddWorker("w" + std::to_string(n));
  }
  fleet.Submit(kJob, TasksOf(1, 2));
  int starts = 0;
  for (; starts < 8 && StatusOf(fleet) != JobStatus::kFailed; ++starts) {
    Order start = fleet.ExpectOrder(Order::Kind::kStart);
    fleet.Answer(start, OrderResult::Outcome::kAnswered);
    const std::string id = start.worker.Value();
    fleet.Crash(id);
    fleet.Restart(id, NextIncarnation(fleet, start.worker));
    fleet.ChangeLeader();
    RunFor(fleet, Millis(300));
  }
  EXPECT_LE(starts, 4);
  EXPECT_EQ(StatusOf(fleet), JobStatus::kFailed);
}

// Guards against a crash that counts as a loss because two orders reach the
// process that answers at the worker's address before the leader's next tick.
TEST(DispatcherCrash, SecondAnswerOfAnotherProcessKeepsTheCrash)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(2, 2));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  Order next = fleet.ExpectOrder(Order::Kind::kStart);
  std::vector<Order> renewals = fleet.TakeOrders(Order::Kind::kRenew);
  ASSERT_FALSE(renewals.empty());
  renewals.push_back(next);
  fleet.DeliverTogether(renewals,
                        { .outcome = OrderResult::Outcome::kOtherIncarnation });
  fleet.Advance(Millis(50));
  EXPECT_FALSE(fleet.IsActive(start));
  EXPECT_EQ(TaskOf(fleet, start).crashes, 1U);
}

// Guards against suspecting all that ran on a worker, however long, because
// the leader that started it is gone.
TEST(DispatcherCrash, RunsOfUnknownAgeDoNotBecomeSuspectsByOneCrash)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(1, 2));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  fleet.ChangeLeader();
  fleet.Advance(Millis(10));
  CrashAndReturn(fleet, WorkerId("w1"), Return::kSameId);
  EXPECT_EQ(TaskOf(fleet, start).crashes, 1U);
  EXPECT_FALSE(IsSuspect(TaskOf(fleet, start)));
}

// Guards against a sound job that is suspected because its worker was emptied,
// left, or was cut off and came back.
TEST(DispatcherCrash, AnnouncedAndSilentLossesAreNoCrashes)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(1, 2));
  Order start = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(start, OrderResult::Outcome::kAnswered);
  AnswerRenewals(fleet);
  RunFor(fleet, Seconds(1));
  // Cut off for less than the lease.
  for (int n = 0; n < 30; ++n) {
    fleet.Advance(Millis(100));
    for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
      fleet.Answer(it, OrderResult::Outcome::kNoAnswer);
    }
  }
  fleet.Heartbeat("w1");
  RunFor(fleet, Seconds(1));
  EXPECT_TRUE(fleet.IsActive(start));
  EXPECT_EQ(TaskOf(fleet, start).crashes, 0U);
  // Left, and another process answers.
  fleet.Leave("w1");
  for (const Order& it : fleet.TakeOrders(Order::Kind::kRenew)) {
    fleet.Answer(it, OrderResult::Outcome::kOtherIncarnation);
  }
  fleet.Advance(Millis(500));
  EXPECT_FALSE(fleet.IsActive(start));
  EXPECT_EQ(TaskOf(fleet, start).crashes, 0U);
}

// Guards against blaming the work that had long been active for the crash that
// a new start caused.
TEST(DispatcherCrash, OnlyRunsThatHadJustStartedAreSuspected)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kOther, TasksOf(1, 2));
  Order old = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(old, OrderResult::Outcome::kAnswered);
  RunFor(fleet, Seconds(2));
  fleet.Submit(kJob, TasksOf(1, 2));
  Order recent = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(recent, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(10));
  CrashAndReturn(fleet, WorkerId("w1"), Return::kSameId);
  EXPECT_FALSE(IsSuspect(TaskOf(fleet, old)));
  EXPECT_TRUE(IsSuspect(TaskOf(fleet, recent)));
}

// Guards against a suspect that takes sound work down with it: it is tried on
// an idle worker, which gets other work only when the suspect has passed.
TEST(DispatcherCrash, SuspectIsTriedApart)
{
  FleetFixture fleet;
  fleet.AddWorker("w1");
  fleet.Submit(kJob, TasksOf(1, 2));
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(10));
  fleet.AddWorker("w2");
  fleet.AddWorker("w3");
  fleet.Crash("w1");
  fleet.Submit(kOther, TasksOf(1, 2));
  Order other = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(other, OrderResult::Outcome::kAnswered);
  RunFor(fleet, Seconds(1));
  fleet.Restart("w1", Incarnation(2));
  RunFor(fleet, Millis(300));
  Order second = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_NE(second.worker, other.worker);
  fleet.Answer(second, OrderResult::Outcome::kAnswered);
  // Nothing joins it before it has passed.
  fleet.Submit("00000000000000c3", TasksOf(20, 1));
  for (const Order& it : fleet.TakeOrders(Order::Kind::kStart)) {
    EXPECT_NE(it.worker, second.worker);
    fleet.Answer(it, OrderResult::Outcome::kAnswered);
  }
  RunFor(fleet, Seconds(2));
  bool joined = false;
  for (const Order& it : fleet.TakeOrders(Order::Kind::kStart)) {
    joined = joined || it.worker == second.worker;
  }
  EXPECT_TRUE(joined);
}

// Guards against a sound job that is given up because its trial runs on a
// worker that restarts again and again, which is idle whenever it is back.
TEST(DispatcherCrash, TrialAvoidsWorkersThatHaveJustRestarted)
{
  FleetFixture fleet;
  for (const char* it : { "w1", "w2", "w3" }) {
    fleet.AddWorker(it);
  }
  for (int n = 0; n < 12; ++n) {
    RunFor(fleet, Seconds(1));
    for (const char* it : { "w1", "w2", "w3" }) {
      fleet.Heartbeat(it);
    }
  }
  fleet.Submit(kJob, TasksOf(1, 2));
  Order suspect = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(suspect, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(10));
  // The first idle worker restarts while the task crashes another one.
  const char* restarted = suspect.worker == WorkerId("w1") ? "w2" : "w1";
  const char* steady = suspect.worker == WorkerId("w3") ? "w2" : "w3";
  fleet.Crash(restarted);
  fleet.Restart(restarted, Incarnation(2));
  fleet.Crash(suspect.worker.Value());
  fleet.Restart(suspect.worker.Value(), Incarnation(2));
  RunFor(fleet, Millis(300));
  Order trial = fleet.ExpectOrder(Order::Kind::kStart);
  EXPECT_EQ(trial.worker, WorkerId(steady));
}

// Guards against a gang that crashes one worker for each member in each
// attempt: once suspected, one member starts first.
TEST(DispatcherCrash, SuspectedGangStartsWithOneMember)
{
  FleetFixture fleet;
  for (int n = 0; n < 6; ++n) {
    fleet.AddWorker("w" + std::to_string(n));
  }
  fleet.Submit(kJob, FleetFixture::GangOf(3));
  std::vector<Order> members = fleet.TakeOrders(Order::Kind::kStart);
  ASSERT_EQ(members.size(), 3U);
  for (const Order& it : members) {
    fleet.Answer(it, OrderResult::Outcome::kAnswered);
  }
  fleet.Advance(Millis(10));
  for (const Order& it : members) {
    CrashAndReturn(fleet, it.worker, Return::kSameId);
    fleet.Heartbeat("w3");
    fleet.Heartbeat("w4");
    fleet.Heartbeat("w5");
    AnswerStops(fleet);
  }
  fleet.Advance(Millis(100));
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  AnswerRenewals(fleet);
  fleet.Advance(Millis(200));
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  fleet.Advance(Millis(250));
  EXPECT_EQ(fleet.TakeOrders(Order::Kind::kStart).size(), 2U);
}

// Guards against the other members starting although the first one's worker is
// gone, and against more than one further worker lost.
TEST(DispatcherCrash, GangOnTrialThatCrashesCostsOneWorker)
{
  FleetFixture fleet;
  for (int n = 0; n < 6; ++n) {
    fleet.AddWorker("w" + std::to_string(n));
  }
  fleet.Submit(kJob, FleetFixture::GangOf(3));
  for (const Order& it : fleet.TakeOrders(Order::Kind::kStart)) {
    fleet.Answer(it, OrderResult::Outcome::kAnswered);
    fleet.Advance(Millis(10));
    CrashAndReturn(fleet, it.worker, Return::kSameId);
    fleet.Heartbeat("w3");
    fleet.Heartbeat("w4");
    fleet.Heartbeat("w5");
    AnswerStops(fleet);
  }
  fleet.Advance(Millis(100));
  Order first = fleet.ExpectOrder(Order::Kind::kStart);
  fleet.Answer(first, OrderResult::Outcome::kAnswered);
  fleet.Advance(Millis(10));
  CrashAndReturn(fleet, first.worker, Return::kSameId);
  AnswerStops(fleet);
  EXPECT_TRUE(fleet.TakeOrders(Order::Kind::kStart).empty());
  EXPECT_EQ(StatusOf(fleet), JobStatus::kFailed);
}

} // namespace
} // namespace limpetwood::fleet
