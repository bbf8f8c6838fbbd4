// Tests of the planner, and of the choice of runs to preempt and workers to
// reserve.

#include "fleet/planner.h"

#include "fleet/reclaim.h"
#include "fleet/reservation.h"
#include "fleet/testing/planner_fleet.h"

#include <gtest/gtest.h>

#include <map>

namespace limpetwood::fleet {
namespace {

using testing::JobName;
using testing::kService;
using testing::StepOf;
using Fleet = testing::PlannerFleet;

size_t
StartsOf(const Plan& aPlan, const std::string& aJob)
{
  return static_cast<size_t>(std::count_if(
    aPlan.starts.begin(), aPlan.starts.end(), [&](const PlannedStart& it) {
      return it.run.task.job.Value() == aJob;
    }));
}

// Guards against starting only some members of a gang, which would hold
// accelerators without making progress.
TEST(Planner, GangStartsWholeOrNotAtAll)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(2, 8, true), 1);
  EXPECT_TRUE(fleet.Decide().starts.empty());
  fleet.AddWorker("w2", "r1");
  EXPECT_EQ(fleet.Decide().starts.size(), 2U);
}

// Guards against preemption that costs callers more than the urgent job gains,
// and against a guarantee that is not met because its room costs much.
TEST(Planner, CostToCallersBoundsPreemptionUntilAGuaranteeIsDue)
{
  PlannerOptions options;
  options.callerCost = true;
  auto stopsWith = [&](Millis aLostWork, int64_t aGuarantee, Millis aWait) {
    Fleet fleet(options);
    fleet.AddWorker("w1", "r1");
    fleet.Guarantee(aGuarantee);
    fleet.Submit(JobName(1), StepOf(1, 8, false), 1);
    fleet.StartRun(JobName(1), 0, "w1", aLostWork, Seconds(6));
    fleet.Submit(JobName(2), StepOf(1, 8, false), 0);
    size_t stops = fleet.Decide().stops.size();
    fleet.Advance(aWait);
    return stops + fleet.Decide().stops.size();
  };
  EXPECT_EQ(stopsWith(Millis(100), 0, Millis(0)), 1U);
  EXPECT_EQ(stopsWith(Minutes(2), 0, Millis(500)), 0U);
  EXPECT_EQ(stopsWith(Minutes(2), 8, Millis(100)), 0U);
  EXPECT_EQ(stopsWith(Minutes(2), 8, Millis(500)), 1U);
}

// Guards against more tasks of a step on one worker than it allows, where the
// step is planned in two parts because some of its tasks are suspects.
TEST(Planner, LimitForAWorkerHoldsForSoundAndSuspectedTasksTogether)
{
  Fleet fleet;
  for (const char* it : { "w1", "w2", "w3" }) {
    fleet.AddWorker(it, "r1");
  }
  StepSpec step = StepOf(4, 1, false);
  step.perWorkerLimit = 1;
  fleet.Submit(JobName(1), step, 1);
  fleet.CrashUnder(JobName(1), "w1", 0);
  fleet.CrashUnder(JobName(1), "w1", 1);
  // One suspect runs again and has passed its trial.
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Seconds(4), 2);
  fleet.Decide();
  fleet.Advance(Seconds(2));
  Plan plan = fleet.Decide();
  std::map<WorkerId, int> tasks;
  for (const PlannedStart& it : plan.starts) {
    ++tasks[it.worker];
  }
  EXPECT_EQ(plan.starts.size(), 2U);
  for (const auto& [worker, count] : tasks) {
    EXPECT_EQ(count, 1) << worker.Value();
  }
  EXPECT_FALSE(tasks.contains(WorkerId("w1")));
}

// Guards against members of one gang that run in different attempts.
TEST(Planner, GangMembersShareOneAttempt)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(4, 1, true), 1);
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.starts.size(), 4U);
  for (const PlannedStart& it : plan.starts) {
    EXPECT_EQ(it.run.attempt, Attempt(1));
  }
}

// Guards against fragmentation: small tasks must not occupy an empty worker
// while a partly used one has enough free resources.
TEST(Planner, SmallTasksFillTheFullestWorker)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1");
  fleet.Submit(JobName(1), StepOf(1, 1, false), 2);
  fleet.StartRun(JobName(1), 0, "w2", Millis(0), Millis(1000));
  fleet.Submit(JobName(2), StepOf(3, 1, false), 2);
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.starts.size(), 3U);
  for (const PlannedStart& it : plan.starts) {
    EXPECT_EQ(it.worker, WorkerId("w2"));
  }
}

// Guards against placing a gang that is slower across racks on several racks
// while one rack fits it.
TEST(Planner, RackSensitiveGangStaysInOneRack)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r2");
  fleet.AddWorker("w3", "r2");
  StepSpec step = StepOf(2, 8, true);
  step.prefersOneRack = true;
  fleet.Submit(JobName(1), step, 1);
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_NE(plan.starts[0].worker, WorkerId("w1"));
  EXPECT_NE(plan.starts[1].worker, WorkerId("w1"));
}

// Guards against starvation of a gang that is larger than any rack: it would
// wait forever for a single rack.
TEST(Planner, GangWiderThanAnyRackSpansRacks)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r2");
  StepSpec step = StepOf(2, 8, true);
  step.prefersOneRack = true;
  fleet.Submit(JobName(1), step, 1);
  EXPECT_EQ(fleet.Decide().starts.size(), 2U);
}

// Guards against holding back all later work of a service: tasks that wait for
// room in one rack say nothing about a task that may use any worker.
TEST(Planner, TaskIsNotHeldBackByAStepThatWaitsForOneRack)
{
  Fleet fleet;
  fleet.Submit(JobName(1), StepOf(4, 4, false), 1);
  for (uint32_t n = 0; n < 4; ++n) {
    std::string worker = "w" + std::to_string(n);
    fleet.AddWorker(worker, "r" + std::to_string(n));
    fleet.StartRun(JobName(1), n, worker, Millis(0), Millis(9000));
  }
  StepSpec wide = StepOf(2, 4, false);
  wide.prefersOneRack = true;
  fleet.Submit(JobName(2), wide, 1);
  fleet.Submit(JobName(3), StepOf(1, 4, false), 1);
  Plan plan = fleet.Decide();
  EXPECT_EQ(StartsOf(plan, JobName(2)), 0U);
  EXPECT_EQ(StartsOf(plan, JobName(3)), 1U);
}

// Guards against the same for a gang that is wider than any rack and fits on
// several, behind a smaller one that waits for a rack.
TEST(Planner, WideGangIsNotHeldBackByOneThatWaitsForARack)
{
  Fleet fleet;
  fleet.Submit(JobName(1), StepOf(4, 8, false), 1);
  for (uint32_t n = 0; n < 4; ++n) {
    std::string rack = "r" + std::to_string(n);
    std::string first = "w" + std::to_string(n * 2);
    fleet.AddWorker(first, rack);
    fleet.AddWorker("w" + std::to_string(n * 2 + 1), rack);
    fleet.StartRun(JobName(1), n, first, Millis(0), Millis(60'000));
  }
  StepSpec narrow = StepOf(2, 8, true);
  narrow.prefersOneRack = true;
  fleet.Submit(JobName(2), narrow, 1);
  StepSpec wide = StepOf(3, 8, true);
  wide.prefersOneRack = true;
  fleet.Submit(JobName(3), wide, 1);
  Plan plan = fleet.Decide();
  EXPECT_EQ(StartsOf(plan, JobName(2)), 0U);
  EXPECT_EQ(StartsOf(plan, JobName(3)), 3U);
}

// Guards against a gang that lasts and waits for one rack as long as the fleet
// is more than half full, although there is room for it twice over; and against
// a gang that would end sooner had it waited for a rack.
TEST(Planner, RackSensitiveGangSpansRacksOfAFullFleetOnlyIfItLasts)
{
  for (bool lasts : { false, true }) {
    Fleet fleet;
    fleet.Submit(JobName(1), StepOf(8, 8, false), 1);
    for (uint32_t n = 0; n < 4; ++n) {
      std::string rack = "r" + std::to_string(n);
      std::string first = "w" + std::to_string(n * 3);
      std::string second = "w" + std::to_string(n * 3 + 1);
      fleet.AddWorker(first, rack);
      fleet.AddWorker(second, rack);
      fleet.AddWorker("w" + std::to_string(n * 3 + 2), rack);
      fleet.StartRun(JobName(1), n * 2, first, Millis(0), Millis(9000));
      fleet.StartRun(JobName(1), n * 2 + 1, second, Millis(0), Millis(9000));
    }
    StepSpec step = StepOf(2, 8, true);
    step.prefersOneRack = true;
    step.longRunning = lasts;
    fleet.Submit(JobName(2), step, 1);
    EXPECT_TRUE(fleet.Decide().starts.empty());
    fleet.Advance(Seconds(2));
    EXPECT_EQ(StartsOf(fleet.Decide(), JobName(2)), lasts ? 2U : 0U);
  }
}

// A step of four tasks that prefer one rack.
StepSpec
FourInOneRack()
{
  StepSpec step = StepOf(4, 1, false);
  step.prefersOneRack = true;
  return step;
}

// Fills six of eight accelerators of one worker in each of four racks with runs
// of the job; returns the number of tasks of `FourInOneRack` that start after
// the wait.
size_t
StartsBesideRuns(const StepSpec& aFilling,
                 const StepSpec& aStep,
                 Millis aRemaining,
                 Millis aWait)
{
  Fleet fleet;
  fleet.Submit(JobName(1), aFilling, 1);
  for (uint32_t n = 0; n < 4; ++n) {
    std::string worker = "w" + std::to_string(n);
    fleet.AddWorker(worker, "r" + std::to_string(n));
    fleet.StartRun(JobName(1), n, worker, Millis(0), aRemaining);
  }
  fleet.Submit(JobName(2), aStep, 1);
  EXPECT_TRUE(fleet.Decide().starts.empty());
  fleet.Advance(aWait);
  return StartsOf(fleet.Decide(), JobName(2));
}

// Guards against a step that waits without end for one rack, because runs that
// last, whose end is not known, or that end only after minutes fill more than
// half of its workers, although there is room on several racks.
TEST(Planner, StepSpansRacksIfNoneIsExpectedToHaveRoom)
{
  StepSpec lasting = StepOf(4, 6, false);
  lasting.longRunning = true;
  StepSpec finite = StepOf(4, 6, false);
  StepSpec step = FourInOneRack();
  StepSpec gang = step;
  gang.gang = true;
  for (const StepSpec& it : { step, gang }) {
    EXPECT_EQ(StartsBesideRuns(lasting, it, Millis(0), Seconds(2)), 4U);
    EXPECT_EQ(StartsBesideRuns(finite, it, Millis::Max(), Seconds(2)), 4U);
    EXPECT_EQ(StartsBesideRuns(finite, it, Minutes(10), Seconds(2)), 4U);
    // A rack that has room soon is worth the wait.
    EXPECT_EQ(StartsBesideRuns(finite, it, Seconds(3), Seconds(2)), 0U);
    // Runs that do not end as expected do not prolong the wait for ever.
    EXPECT_EQ(StartsBesideRuns(finite, it, Seconds(3), Seconds(20)), 4U);
  }
}

// Guards against the same where there is not room for all tasks at once.
TEST(Planner, TasksThatFitOnSeveralRacksStartIfNoRackIsExpectedToHaveRoom)
{
  StepSpec lasting = StepOf(4, 7, false);
  lasting.longRunning = true;
  StepSpec step = FourInOneRack();
  step.tasks = 6;
  EXPECT_EQ(StartsBesideRuns(lasting, step, Millis(0), Seconds(2)), 4U);
}

// Guards against the same for tasks that last: their estimate, which may be an
// hour, says nothing about what they lose on several racks.
TEST(Planner, TasksThatLastWaitForOneRackNoLongerThanOthers)
{
  StepSpec step = FourInOneRack();
  step.tasks = 6;
  step.longRunning = true;
  step.estimate = Hours(1);
  EXPECT_EQ(
    StartsBesideRuns(StepOf(4, 6, false), step, Minutes(10), Seconds(2)), 6U);
}

// Guards against the same for a step that allows fewer tasks on a worker than
// each rack would need.
TEST(Planner, StepSpansRacksIfItsLimitLetsNoRackHoldIt)
{
  Fleet fleet;
  for (uint32_t n = 0; n < 4; ++n) {
    fleet.AddWorker("w" + std::to_string(n), "r" + std::to_string(n));
  }
  StepSpec step = FourInOneRack();
  step.perWorkerLimit = 1;
  fleet.Submit(JobName(1), step, 1);
  EXPECT_EQ(fleet.Decide().starts.size(), 4U);
}

// Guards against a step that waits for one rack of a kind that is in use while
// most of its service is idle.
TEST(Planner, StepSpansRacksOfAKindInUseIfMostOfItsServiceIsIdle)
{
  for (uint32_t others : { 0U, 8U }) {
    Fleet fleet;
    fleet.Submit(JobName(1), StepOf(4, 6, false), 1);
    for (uint32_t n = 0; n < 4; ++n) {
      std::string worker = "w" + std::to_string(n);
      fleet.AddWorker(worker, "r" + std::to_string(n), "b");
      fleet.StartRun(JobName(1), n, worker, Millis(0), Seconds(6));
    }
    for (uint32_t n = 0; n < others; ++n) {
      fleet.AddWorker("other" + std::to_string(n), "r9");
    }
    StepSpec step = FourInOneRack();
    step.label = "b";
    fleet.Submit(JobName(2), step, 1);
    EXPECT_EQ(StartsOf(fleet.Decide(), JobName(2)), 0U);
    fleet.Advance(Seconds(2));
    EXPECT_EQ(StartsOf(fleet.Decide(), JobName(2)), others > 0 ? 4U : 0U);
  }
}

// Guards against a log that does not say until when a step waits for one rack.
TEST(WaitReport, SaysWhenOneRackIsExpectedToHaveRoom)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(4, 2, false), 1);
  for (uint32_t n = 0; n < 4; ++n) {
    fleet.StartRun(JobName(1), n, "w1", Millis(0), Seconds(n + 1));
  }
  fleet.Submit(JobName(2), FourInOneRack(), 1);
  fleet.Decide();
  fleet.Advance(Seconds(1));
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.waits.size(), 1U);
  // Two runs have to end to make room for four tasks on this worker.
  EXPECT_EQ(plan.waits[0].rackWait, Seconds(2));
}

// Guards against an urgent suspect that waits for ever in a full fleet: when it
// has waited for an idle worker, other runs are stopped for it.
TEST(Planner, SuspectInAFullFleetIsTreatedLikeOtherWorkInTheEnd)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(1, 8, false), 2);
  fleet.Submit(JobName(2), StepOf(1, 8, false), 0);
  fleet.CrashUnder(JobName(2), "w1");
  fleet.StartRun(JobName(1), 0, "w1", Millis(10), Seconds(60));
  Plan plan = fleet.Decide();
  EXPECT_TRUE(plan.starts.empty());
  EXPECT_TRUE(plan.stops.empty());
  fleet.Advance(Seconds(2));
  EXPECT_EQ(fleet.Decide().stops.size(), 1U);
}

// Guards against starvation: while small tasks wait, a gang that needs whole
// workers must get the workers that become free.
TEST(Planner, WaitingGangReservesWorkers)
{
  Fleet fleet;
  for (int n = 0; n < 10; ++n) {
    fleet.AddWorker("w" + std::to_string(n), "r1");
  }
  // Every worker runs one small task.
  fleet.Submit(JobName(1), StepOf(10, 1, false), 2);
  for (uint32_t n = 0; n < 10; ++n) {
    fleet.StartRun(JobName(1),
                   n,
                   "w" + std::to_string(n),
                   Millis(0),
                   Millis(1000 + n * 100));
  }
  fleet.Submit(JobName(2), StepOf(3, 8, true), 1);
  fleet.Submit(JobName(3), StepOf(70, 1, false), 2);
  Plan plan = fleet.Decide();
  EXPECT_EQ(StartsOf(plan, JobName(2)), 0U);
  // 7 accelerators on each of the 7 workers that are not reserved.
  EXPECT_EQ(StartsOf(plan, JobName(3)), 49U);
  for (const PlannedStart& it : plan.starts) {
    // The three workers whose runs end first are reserved.
    EXPECT_GT(it.worker, WorkerId("w2"));
  }
}

// Guards against workers that are reserved for ever: a gang that needs the
// resources of a run that lasts until its job is cancelled gets none of them.
TEST(Planner, NothingIsReservedBehindRunsWithoutAnEnd)
{
  Fleet fleet;
  StepSpec service = StepOf(4, 8, false);
  service.longRunning = true;
  fleet.Submit(JobName(1), service, 1);
  for (uint32_t n = 0; n < 5; ++n) {
    fleet.AddWorker("w" + std::to_string(n), "r1");
  }
  for (uint32_t n = 0; n < 4; ++n) {
    fleet.StartRun(
      JobName(1), n, "w" + std::to_string(n), Millis(0), Millis(100));
  }
  fleet.Submit(JobName(2), StepOf(2, 8, true), 1);
  fleet.Submit(JobName(3), StepOf(1, 4, false), 2);
  EXPECT_EQ(StartsOf(fleet.Decide(), JobName(3)), 1U);
}

// A gang of two whole workers waits for a run that has `aRemaining` left, while
// another worker is idle; returns the jobs of which a task starts on that one.
// The jobs have one task each, with these expected times.
std::vector<std::string>
StartsBesideReservation(Millis aRemaining,
                        const std::vector<Millis>& aTimes,
                        bool aLast = false)
{
  Fleet fleet;
  for (uint32_t n = 0; n < 5; ++n) {
    fleet.AddWorker("w" + std::to_string(n), "r1", n < 2 ? "b" : "a");
  }
  fleet.Submit(JobName(1), StepOf(1, 8, false), 2);
  fleet.StartRun(JobName(1), 0, "w0", Millis(0), aRemaining);
  StepSpec gang = StepOf(2, 8, true);
  gang.label = "b";
  fleet.Submit(JobName(2), gang, 1);
  for (size_t n = 0; n < aTimes.size(); ++n) {
    StepSpec step = StepOf(1, 4, false);
    step.label = "b";
    step.estimate = aTimes[n];
    step.longRunning = aLast;
    fleet.Submit(JobName(static_cast<int>(n) + 3), step, 2);
  }
  std::vector<std::string> out;
  for (const PlannedStart& it : fleet.Decide().starts) {
    out.push_back(it.run.task.job.Value());
  }
  return out;
}

// Guards against workers that stand idle for as long as a gang waits for
// others, and against a gang that is delayed by what is started there
// meanwhile.
TEST(Planner, TasksThatEndBeforeAGangStartsUseItsWorkers)
{
  using Jobs = std::vector<std::string>;
  EXPECT_EQ(StartsBesideReservation(Minutes(10), { Seconds(4) }),
            Jobs{ JobName(3) });
  EXPECT_EQ(StartsBesideReservation(Seconds(12), { Seconds(8) }),
            Jobs{ JobName(3) });
  EXPECT_EQ(StartsBesideReservation(Seconds(12), { Seconds(9) }), Jobs{});
  // The gang starts soon.
  EXPECT_EQ(StartsBesideReservation(Seconds(9), { Seconds(1) }), Jobs{});
  // A task that does not end in time says nothing about one that does.
  EXPECT_EQ(StartsBesideReservation(Seconds(12), { Seconds(9), Seconds(4) }),
            Jobs{ JobName(4) });
}

// Guards against work that waits for many minutes, or without end, beside idle
// workers because a gang waits.
TEST(Planner, LongTasksAreNotKeptFromWorkersThatAreReservedFarAhead)
{
  using Jobs = std::vector<std::string>;
  EXPECT_EQ(StartsBesideReservation(Minutes(10), { Hours(1) }),
            Jobs{ JobName(3) });
  EXPECT_EQ(StartsBesideReservation(Seconds(20), { Hours(1) }), Jobs{});
  EXPECT_EQ(StartsBesideReservation(Millis::Max(), { Hours(1) }),
            Jobs{ JobName(3) });
  EXPECT_EQ(StartsBesideReservation(Seconds(4), { Seconds(1) }, true),
            Jobs{ JobName(3) });
  EXPECT_EQ(StartsBesideReservation(Seconds(1), { Seconds(1) }, true), Jobs{});
}

// Guards against one gang that holds a whole service back: where workers have
// no accelerators, a reservation must count what they have.
TEST(Planner, ReservationsOfWorkersWithoutAcceleratorsAreLimited)
{
  Fleet fleet;
  fleet.SetAccelerators(0);
  fleet.Submit(JobName(1), StepOf(10, 0, false), 1);
  for (uint32_t n = 0; n < 10; ++n) {
    std::string worker = "w" + std::to_string(n);
    fleet.AddWorker(worker, "r1");
    fleet.StartRun(JobName(1), n, worker, Millis(0), Millis(9000));
  }
  StepSpec gang = StepOf(10, 0, true);
  gang.resources.cpu = 64'000;
  fleet.Submit(JobName(2), gang, 1);
  fleet.Submit(JobName(3), StepOf(1, 0, false), 2);
  EXPECT_EQ(StartsOf(fleet.Decide(), JobName(3)), 1U);
}

// Guards against delaying a job that can meet its objective for one that is
// already late.
TEST(Planner, LateJobRanksAfterJobInTime)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(1, 8, false), 1);
  // The latency objective is 1 s + 2 x 4 s = 9 s, so a start after 5 s is late.
  fleet.Advance(Millis(6000));
  fleet.Submit(JobName(2), StepOf(1, 8, false), 1);
  Plan plan = fleet.Decide();
  EXPECT_EQ(StartsOf(plan, JobName(2)), 1U);
}

// Guards against preempting the run that loses the most work, and against
// repeating a pending preemption in the next pass.
TEST(Planner, UrgentGangWithinGuaranteePreemptsCheapestRuns)
{
  Fleet fleet;
  fleet.Guarantee(8);
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1");
  fleet.Submit(JobName(1), StepOf(2, 8, false), 2);
  fleet.StartRun(JobName(1), 0, "w1", Millis(5000), Millis(9000));
  fleet.StartRun(JobName(1), 1, "w2", Millis(100), Millis(9000));
  fleet.Submit(JobName(2), StepOf(1, 8, true), 0);
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.stops.size(), 1U);
  EXPECT_EQ(plan.stops[0].worker, WorkerId("w2"));
  EXPECT_TRUE(fleet.Decide().stops.empty());
}

// A step whose tasks need `aAccelerators` each, with at most one on a worker.
StepSpec
OneTaskPerWorker(uint32_t aTasks, int64_t aAccelerators)
{
  StepSpec step = StepOf(aTasks, aAccelerators, false);
  step.perWorkerLimit = 1;
  step.longRunning = true;
  return step;
}

// Guards against a worker that is kept without end for an urgent task whose
// step has as many tasks there as it allows, while another job could run.
TEST(Planner, WorkerIsNotKeptForAnUrgentTaskBeyondTheLimitOfItsStep)
{
  Fleet fleet;
  fleet.Guarantee(8);
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), OneTaskPerWorker(2, 1), 0);
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Millis(0));
  fleet.Decide();
  // Later than the latest start of the second task.
  fleet.Advance(Seconds(6));
  fleet.Submit(JobName(2), StepOf(1, 2, false), 2);
  EXPECT_EQ(StartsOf(fleet.Decide(), JobName(2)), 1U);
}

// Guards against the same on all workers at once.
TEST(Planner, WideUrgentStepWithALimitLeavesRoomForOthers)
{
  Fleet fleet;
  fleet.Guarantee(80);
  fleet.Submit(JobName(1), OneTaskPerWorker(20, 1), 0);
  for (uint32_t n = 0; n < 10; ++n) {
    std::string worker = "w" + std::to_string(n);
    fleet.AddWorker(worker, "r1");
    fleet.StartRun(JobName(1), n, worker, Millis(0), Millis(0));
  }
  fleet.Decide();
  fleet.Advance(Seconds(6));
  fleet.Submit(JobName(2), StepOf(70, 1, false), 2);
  EXPECT_EQ(StartsOf(fleet.Decide(), JobName(2)), 70U);
}

// Guards against work that is stopped in vain: the task could not start on its
// worker.
TEST(Planner, NothingIsStoppedForAnUrgentTaskBeyondTheLimitOfItsStep)
{
  Fleet fleet;
  fleet.Guarantee(16);
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), OneTaskPerWorker(2, 1), 0);
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Millis(0));
  fleet.Submit(JobName(2), StepOf(1, 7, false), 2);
  fleet.StartRun(JobName(2), 0, "w1", Millis(0), Minutes(1));
  EXPECT_TRUE(fleet.Decide().stops.empty());
  fleet.Advance(Seconds(6));
  EXPECT_TRUE(fleet.Decide().stops.empty());
}

// Guards against an urgent task that waits for room which its step may not use,
// instead of getting room on another worker.
TEST(Planner, UrgentTaskBeyondTheLimitOnOneWorkerPreemptsOnAnother)
{
  Fleet fleet;
  fleet.Guarantee(16);
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1");
  fleet.Submit(JobName(1), OneTaskPerWorker(2, 1), 0);
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Millis(0));
  fleet.Submit(JobName(2), StepOf(1, 8, false), 2);
  fleet.StartRun(JobName(2), 0, "w2", Millis(0), Minutes(1));
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.stops.size(), 1U);
  EXPECT_EQ(plan.stops[0].worker, WorkerId("w2"));
}

// Guards against an urgent job that gets no room because more urgent ones that
// can have none are looked at first in each pass.
TEST(Planner, UrgentStepIsNotHeldBackByThoseThatFitNowhere)
{
  Fleet fleet;
  fleet.Guarantee(100);
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1", "b");
  for (int n = 1; n <= 40; ++n) {
    StepSpec step = OneTaskPerWorker(2, 0);
    step.resources.memoryMb = 0;
    step.label = "a";
    fleet.Submit(JobName(n), step, 0);
    fleet.StartRun(JobName(n), 0, "w1", Millis(0), Millis(0));
  }
  fleet.Submit(JobName(50), StepOf(1, 8, false), 2);
  fleet.StartRun(JobName(50), 0, "w2", Millis(0), Minutes(1));
  fleet.Advance(Millis(10));
  StepSpec urgent = StepOf(1, 8, false);
  urgent.label = "b";
  fleet.Submit(JobName(51), urgent, 0);
  size_t stops = 0;
  for (int n = 0; n < 10; ++n) {
    stops += fleet.Decide().stops.size();
    fleet.Advance(Millis(15));
  }
  EXPECT_EQ(stops, 1U);
}

// Guards against a wait that the log does not explain: for whom a worker is
// kept and for how long, and why others take no tasks.
TEST(WaitReport, NamesTheUnitForWhichAWorkerIsKept)
{
  Fleet fleet;
  fleet.Guarantee(8);
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1");
  fleet.MakeUnusable("w2", "draining");
  fleet.Submit(JobName(1), StepOf(1, 6, false), 2);
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Minutes(1));
  fleet.Submit(JobName(2), StepOf(1, 8, false), 0);
  fleet.Submit(JobName(3), StepOf(1, 2, false), 1);
  EXPECT_TRUE(fleet.Decide().waits.empty());
  fleet.Advance(Millis(1000));
  Plan first = fleet.Decide();
  ASSERT_EQ(first.waits.size(), 1U);
  EXPECT_EQ(first.waits[0].step.job.Value(), JobName(2));
  fleet.Advance(Millis(300));
  Plan second = fleet.Decide();
  ASSERT_EQ(second.waits.size(), 1U);
  EXPECT_NE(LogEventFor(second.waits[0])
              .JsonMembers()
              .find("w1 for " + JobName(2) + ".0.0 by preemption for 200 ms"),
            std::string::npos);
  EXPECT_NE(LogEventFor(second.waits[0]).JsonMembers().find("\"w2 draining\""),
            std::string::npos);
}

// Guards against a wait for a rule that the log does not name.
TEST(WaitReport, NamesTheRuleThatKeepsTasksFromAWorkerWithRoom)
{
  StepSpec oneRack = StepOf(2, 8, false);
  oneRack.prefersOneRack = true;
  StepSpec limited = StepOf(3, 1, false);
  limited.perWorkerLimit = 1;
  std::vector<std::pair<StepSpec, Obstacle>> cases{
    { StepOf(3, 8, true), Obstacle::kGangSize },
    { oneRack, Obstacle::kOneRack },
    { limited, Obstacle::kWorkerLimit },
  };
  for (const auto& [step, obstacle] : cases) {
    Fleet fleet;
    for (int n = 1; n <= 2; ++n) {
      std::string rack = "r" + std::to_string(n);
      fleet.AddWorker("w" + std::to_string(n), rack);
      fleet.AddWorker("full" + std::to_string(n), rack);
    }
    fleet.Submit(JobName(1), StepOf(2, 8, false), 1);
    fleet.StartRun(JobName(1), 0, "full1", Millis(0), Minutes(1));
    fleet.StartRun(JobName(1), 1, "full2", Millis(0), Minutes(1));
    fleet.Submit(JobName(2), step, 1);
    for (uint32_t n = 0; n < 2 && step.perWorkerLimit > 0; ++n) {
      std::string worker = "w" + std::to_string(n + 1);
      fleet.StartRun(JobName(2), n, worker, Millis(0), Minutes(1));
    }
    fleet.Decide();
    fleet.Advance(Millis(1000));
    Plan plan = fleet.Decide();
    ASSERT_EQ(plan.waits.size(), 1U);
    EXPECT_EQ(plan.waits[0].withoutRoom, 2U);
    ASSERT_EQ(plan.waits[0].withRoom.size(), 2U);
    EXPECT_EQ(plan.waits[0].withRoom[0].second, obstacle);
  }
}

// Guards against using up a job's attempts on one faulty worker: a worker on
// which the job failed is avoided while another has enough free resources.
TEST(Planner, FailedTaskGoesToAnotherWorker)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(1, 8, false), 1);
  fleet.RecordFailure(JobName(1), "w1");
  Plan planWithOneWorker = fleet.Decide();
  ASSERT_EQ(planWithOneWorker.starts.size(), 1U);
  EXPECT_EQ(planWithOneWorker.starts[0].worker, WorkerId("w1"));
  fleet.AddWorker("w2", "r1");
  Plan plan = fleet.Decide();
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts[0].worker, WorkerId("w2"));
}

// Guards against preemption that saves no time: the run ends early enough for
// the gang to meet its objective.
TEST(Planner, UrgentGangDoesNotPreemptRunsThatEndInTime)
{
  Fleet fleet;
  fleet.Guarantee(8);
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(1, 8, false), 2);
  fleet.StartRun(JobName(1), 0, "w1", Millis(5000), Millis(300));
  fleet.Submit(JobName(2), StepOf(1, 8, true), 0);
  EXPECT_TRUE(fleet.Decide().stops.empty());
}

// Guards against waiting for a run that lasts: its progress of 100 percent does
// not mean that it ends.
TEST(Planner, UrgentGangWithinGuaranteePreemptsRunsThatLast)
{
  Fleet fleet;
  fleet.Guarantee(8);
  fleet.AddWorker("w1", "r1");
  StepSpec service = StepOf(1, 8, false);
  service.longRunning = true;
  fleet.Submit(JobName(1), service, 2);
  fleet.StartRun(JobName(1), 0, "w1", Millis(5000), Millis(0));
  fleet.Submit(JobName(2), StepOf(1, 8, true), 0);
  EXPECT_EQ(fleet.Decide().stops.size(), 1U);
}

// Guards against a guarantee that is never met: an urgent gang wider than any
// rack may span racks, so room is made for it on several.
TEST(Planner, UrgentGangWiderThanAnyRackPreemptsOnSeveralRacks)
{
  Fleet fleet;
  fleet.Guarantee(16);
  fleet.Submit(JobName(1), StepOf(2, 8, false), 2);
  for (uint32_t n = 0; n < 2; ++n) {
    std::string worker = "w" + std::to_string(n);
    fleet.AddWorker(worker, "r" + std::to_string(n));
    fleet.StartRun(JobName(1), n, worker, Millis(0), Minutes(1));
  }
  StepSpec gang = StepOf(2, 8, true);
  gang.prefersOneRack = true;
  fleet.Submit(JobName(2), gang, 0);
  EXPECT_EQ(fleet.Decide().stops.size(), 2U);
}

// Guards against stopping runs for tasks that the same pass has placed.
TEST(Planner, UrgentStepPreemptsOnlyForTheTasksThatDoNotFit)
{
  Fleet fleet;
  fleet.Guarantee(16);
  fleet.Submit(JobName(1), StepOf(2, 8, false), 2);
  fleet.AddWorker("w1", "r1");
  for (uint32_t n = 0; n < 2; ++n) {
    std::string worker = "w" + std::to_string(n + 2);
    fleet.AddWorker(worker, "r1");
    fleet.StartRun(JobName(1), n, worker, Millis(0), Minutes(1));
  }
  fleet.Submit(JobName(2), StepOf(2, 8, false), 0);
  Plan plan = fleet.Decide();
  EXPECT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.stops.size(), 1U);
}

// Guards against losing more work than the urgent job is worth when its
// workspace exceeds its guarantee.
TEST(Planner, UrgentGangBeyondGuaranteeDoesNotPreemptCostlyRuns)
{
  Fleet fleet;
  fleet.Guarantee(0);
  fleet.AddWorker("w1", "r1");
  fleet.Submit(JobName(1), StepOf(1, 8, false), 2);
  // The urgent task takes 4 s and `maxReclaimCostRatio` is 2, so at most 8 s of
  // work on the same resources may be lost.
  fleet.StartRun(JobName(1), 0, "w1", Millis(9000), Millis(9000));
  fleet.Submit(JobName(2), StepOf(1, 8, true), 0);
  EXPECT_TRUE(fleet.Decide().stops.empty());
}

// Guards against counting the cost of a gang once per member: all members end
// together, so stopping two costs no more than stopping one.
TEST(Reclaim, CostOfAGangCountsOnce)
{
  Fleet fleet;
  for (int n = 1; n <= 4; ++n) {
    fleet.AddWorker("w" + std::to_string(n), "r1");
  }
  fleet.Submit(JobName(1), StepOf(2, 8, true), 2);
  fleet.StartRun(JobName(1), 0, "w1", Millis(2000), Millis(9000));
  fleet.StartRun(JobName(1), 1, "w2", Millis(2000), Millis(9000));
  // Two single tasks that each lose almost as much as the whole gang.
  fleet.Submit(JobName(2), StepOf(2, 8, false), 2);
  fleet.StartRun(JobName(2), 0, "w3", Millis(3900), Millis(9000));
  fleet.StartRun(JobName(2), 1, "w4", Millis(3900), Millis(9000));
  StepSpec step = StepOf(2, 8, true);
  ReclaimRequest request{ .placement = {
                            .step = &step, .service = &kService, .tasks = 2 } };
  auto choice = ChooseVictims(request, fleet.View());
  ASSERT_TRUE(choice);
  ASSERT_EQ(choice->victims.size(), 2U);
  for (const auto& [worker, run] : choice->victims) {
    EXPECT_EQ(run.task.job.Value(), JobName(1));
  }
}

// Guards against a gang for which no room is made on a worker that could hold
// several of its members.
TEST(Reclaim, MakesRoomForSeveralTasksOnOneWorker)
{
  for (bool gang : { false, true }) {
    Fleet fleet;
    fleet.AddWorker("w1", "r1");
    fleet.Submit(JobName(1), StepOf(4, 2, false), 2);
    for (uint32_t n = 0; n < 4; ++n) {
      fleet.StartRun(JobName(1), n, "w1", Millis(100), Minutes(1));
    }
    StepSpec step = StepOf(2, 3, gang);
    ReclaimRequest request{
      .placement = { .step = &step, .service = &kService, .tasks = 2 }
    };
    auto choice = ChooseVictims(request, fleet.View());
    ASSERT_TRUE(choice);
    EXPECT_EQ(choice->victims.size(), 3U);
  }
}

// Guards against runs that are stopped for more tasks than the gang has.
TEST(Reclaim, MakesNoMoreRoomThanNeeded)
{
  Fleet fleet;
  fleet.Submit(JobName(1), StepOf(4, 4, false), 2);
  for (uint32_t n = 0; n < 4; ++n) {
    std::string worker = "w" + std::to_string(n / 2);
    if (n % 2 == 0) {
      fleet.AddWorker(worker, "r1");
    }
    fleet.StartRun(JobName(1), n, worker, Millis(100), Minutes(1));
  }
  StepSpec step = StepOf(3, 4, true);
  ReclaimRequest request{ .placement = {
                            .step = &step, .service = &kService, .tasks = 3 } };
  auto choice = ChooseVictims(request, fleet.View());
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->victims.size(), 3U);
}

// Guards against an urgent step that waits as a whole because not all of its
// tasks can run at once, though each could run alone.
TEST(Reclaim, MakesRoomForThoseSingleTasksThatCanRun)
{
  for (uint32_t limit : { 0, 1 }) {
    for (bool gang : { false, true }) {
      Fleet fleet;
      fleet.Submit(JobName(1), StepOf(2, 8, false), 2);
      for (uint32_t n = 0; n < 2; ++n) {
        std::string worker = "w" + std::to_string(n);
        fleet.AddWorker(worker, "r1");
        fleet.StartRun(JobName(1), n, worker, Millis(100), Minutes(1));
      }
      StepSpec step = StepOf(3, limit == 0 ? 8 : 1, gang);
      step.perWorkerLimit = limit;
      ReclaimRequest request{
        .placement = { .step = &step, .service = &kService, .tasks = 3 }
      };
      auto choice = ChooseVictims(request, fleet.View());
      EXPECT_EQ(choice ? choice->victims.size() : 0, gang ? 0U : 2U);
    }
  }
}

// Guards against choosing the rack with the first free worker instead of the
// rack in which the whole gang fits earliest.
TEST(Reservation, ChoosesTheRackThatBecomesFreeFirst)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1");
  fleet.AddWorker("w3", "r2");
  fleet.AddWorker("w4", "r2");
  fleet.Submit(JobName(1), StepOf(4, 8, false), 2);
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Millis(100));
  fleet.StartRun(JobName(1), 1, "w2", Millis(0), Millis(5000));
  fleet.StartRun(JobName(1), 2, "w3", Millis(0), Millis(2000));
  fleet.StartRun(JobName(1), 3, "w4", Millis(0), Millis(2500));
  StepSpec step = StepOf(2, 8, true);
  step.prefersOneRack = true;
  PlacementRequest request{ .step = &step, .service = &kService, .tasks = 2 };
  auto choice = ChooseReservation(request, fleet.View());
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->wait, Millis(2500));
  EXPECT_EQ(choice->workers, (std::vector{ WorkerId("w3"), WorkerId("w4") }));
}

// Guards against a gang that never gets a reservation although several of its
// members fit on a worker once more than one run has ended there.
TEST(Reservation, CountsAllTasksThatFitWhenSeveralRunsHaveEnded)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  fleet.AddWorker("w2", "r1");
  fleet.Submit(JobName(1), StepOf(8, 2, false), 2);
  for (uint32_t n = 0; n < 8; ++n) {
    std::string worker = n < 4 ? "w1" : "w2";
    fleet.StartRun(JobName(1), n, worker, Millis(0), Millis(100 * (n + 1)));
  }
  StepSpec step = StepOf(4, 2, true);
  PlacementRequest request{ .step = &step, .service = &kService, .tasks = 4 };
  auto choice = ChooseReservation(request, fleet.View());
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->wait, Millis(400));
  EXPECT_EQ(choice->workers, std::vector{ WorkerId("w1") });
}

// Guards against a worker that counts as open while the tasks of the step that
// run there leave no room by its limit, and as closed once they end.
TEST(Reservation, WorkerOpensWhenATaskOfTheStepEndsThere)
{
  Fleet fleet;
  fleet.AddWorker("w1", "r1");
  StepSpec step = StepOf(2, 1, false);
  step.perWorkerLimit = 1;
  fleet.Submit(JobName(1), step, 1);
  fleet.StartRun(JobName(1), 0, "w1", Millis(0), Millis(700));
  PlacementRequest request{ .step = &step,
                            .ref = { .job = JobId(JobName(1)) },
                            .service = &kService,
                            .tasks = 1,
                            .activeTasks = { { WorkerId("w1"), 1 } } };
  auto choice = ChooseReservation(request, fleet.View());
  ASSERT_TRUE(choice);
  EXPECT_EQ(choice->wait, Millis(700));
}

} // namespace
} // namespace limpetwood::fleet
