// Tests the scheduler through its events and effects.

#include "scheduler/testing/cluster.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace limpetwood::scheduler {
namespace {

// Guards against a start before all members are prepared, or before the
// `kStarting` record is durable.
TEST(GangStart, WaitsForPrepareThenJournal)
{
  Scheduler scheduler({}, Epoch(1));
  ConfigurationChanged config;
  config.zones = { ZoneId("z") };
  config.planned.document.zones = config.zones;
  config.planned.document.racks = {
    { RackId("r"), ZoneId("z"), 2, Accelerators(8), 64, 65536 }
  };
  model::Workspace workspace;
  workspace.id = WorkspaceId("w");
  workspace.quota.accelerators = Accelerators(16);
  config.planned.document.workspaces = { workspace };
  scheduler.Step(config, Millis(0));
  for (const char* id : { "a", "b" }) {
    scheduler.Step(WorkerAnnounced{ WorkerId(id),
                                    ZoneId("z"),
                                    RackId("r"),
                                    Incarnation(1),
                                    64,
                                    65536,
                                    Accelerators(8),
                                    "",
                                    {} },
                   Millis(0));
  }
  JobAssigned job;
  job.job = JobId("j");
  job.spec.workspace = workspace.id;
  job.spec.members = 2;
  job.spec.acceleratorsPerMember = Accelerators(8);
  auto effects = scheduler.Step(job, Millis(100));
  std::vector<TaskAddress> prepared;
  for (const Effect& it : effects) {
    ASSERT_TRUE(std::holds_alternative<SendPrepare>(it));
    prepared.push_back(std::get<SendPrepare>(it).task);
  }
  ASSERT_EQ(prepared.size(), 2U);
  for (const TaskAddress& it : prepared) {
    effects = scheduler.Step(
      PrepareAcknowledged{ it.worker, it.job, it.attempt, it.member, it.token },
      Millis(210));
  }
  ASSERT_EQ(effects.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<WriteJournalRecord>(effects[0]));
  auto record = std::get<WriteJournalRecord>(effects[0]);
  EXPECT_EQ(record.event.kind, JobEventKind::kStarting);
  effects = scheduler.Step(JournalCommitted{ record.record }, Millis(220));
  ASSERT_EQ(effects.size(), 2U);
  EXPECT_TRUE(std::holds_alternative<SendStart>(effects[0]));
  EXPECT_TRUE(scheduler.CheckInvariants().empty());
}

using testing::Cluster;
using testing::ClusterOptions;
using testing::JobBehavior;

// A zone with `aRacks` racks of four workers with four accelerators each.
// Workspace `a` is guaranteed one shape of eight accelerators within a rack.
model::PlannedDocument
SmallZone(uint32_t aRacks)
{
  model::PlannedDocument out;
  ZoneId zone("z");
  out.document.zones = { zone };
  for (uint32_t i = 0; i < aRacks; ++i) {
    out.document.racks.push_back({ RackId("r" + std::to_string(i)),
                                   zone,
                                   4,
                                   Accelerators(4),
                                   32,
                                   64'000 });
  }
  for (const char* id : { "a", "b" }) {
    model::Workspace it;
    it.id = WorkspaceId(id);
    it.quota.accelerators = Accelerators(64);
    out.document.workspaces.push_back(it);
  }
  out.plan.shapes = {
    { WorkspaceId("a"), { Accelerators(8), model::TopologyScope::kRack }, zone }
  };
  return out;
}

model::JobSpec
Gang(const char* aWorkspace, uint32_t aMembers, uint32_t aAccelerators)
{
  model::JobSpec spec;
  spec.workspace = WorkspaceId(aWorkspace);
  spec.members = aMembers;
  spec.acceleratorsPerMember = Accelerators(aAccelerators);
  spec.checkpointable = true;
  return spec;
}

// Guards against a job that is queued without a workspace because its task
// stopped between a change of the authority and the job's assignment.
TEST(Takeover, TaskThatStopsBeforeItsJobIsAssigned)
{
  Scheduler scheduler({}, Epoch(2));
  ConfigurationChanged config;
  config.planned = SmallZone(1);
  config.zones = config.planned.document.zones;
  scheduler.Step(config, Millis(0));
  WorkerAnnounced worker{ WorkerId("r0-0"),
                          ZoneId("z"),
                          RackId("r0"),
                          Incarnation(1),
                          32,
                          64'000,
                          Accelerators(4),
                          "127.0.0.1:500",
                          {} };
  FencingToken token = FirstTokenOf(Epoch(1)) + FencingToken(1);
  worker.tasks.push_back(
    { JobId("j"), Attempt(1), MemberIndex(0), 1, token, {} });
  scheduler.Step(worker, Millis(10));
  TaskReport report{ worker.worker, JobId("j"),          Attempt(1), {},
                     token,         TaskState::kStopped, {} };
  scheduler.Step(report, Millis(20));
  scheduler.Step(Tick{}, Seconds(1));
  EXPECT_TRUE(scheduler.CheckInvariants().empty());
  JobAssigned job;
  job.job = JobId("j");
  job.spec = Gang("b", 1, 4);
  job.lastAttempt = Attempt(1);
  scheduler.Step(job, Seconds(2));
  scheduler.Step(worker, Seconds(15));
  scheduler.Step(Tick{}, Seconds(17));
  ASSERT_TRUE(scheduler.FindJob(JobId("j")));
  EXPECT_EQ(scheduler.FindJob(JobId("j"))->state, model::JobState::kStarting);
}

// Guards against a gang that starts while starts are forbidden, although its
// attempt had begun before: in each phase before the start, the attempt must be
// abandoned and its resources released, and a record that becomes durable later
// must not start it.
TEST(StartsAllowed, AttemptThatHasNotStartedIsAbandoned)
{
  for (bool journaling : { false, true }) {
    Scheduler scheduler({}, Epoch(1));
    ConfigurationChanged config;
    config.planned = SmallZone(1);
    config.zones = config.planned.document.zones;
    scheduler.Step(config, Millis(0));
    scheduler.Step(WorkerAnnounced{ WorkerId("r0-0"),
                                    ZoneId("z"),
                                    RackId("r0"),
                                    Incarnation(1),
                                    32,
                                    64'000,
                                    Accelerators(4),
                                    "",
                                    {} },
                   Millis(0));
    JobAssigned job{ JobId("j"), Gang("b", 1, 4), Millis(0), {}, "", {} };
    auto effects = scheduler.Step(job, Millis(100));
    ASSERT_EQ(effects.size(), 1U);
    TaskAddress task = std::get<SendPrepare>(effects[0]).task;
    PrepareAcknowledged prepared{
      task.worker, task.job, task.attempt, task.member, task.token
    };
    RecordId record;
    if (journaling) {
      effects = scheduler.Step(prepared, Millis(110));
      record = std::get<WriteJournalRecord>(effects.at(0)).record;
    }
    effects = scheduler.Step(StartsAllowed{ false }, Millis(120));
    EXPECT_TRUE(std::any_of(effects.begin(), effects.end(), [](const auto& it) {
      return std::holds_alternative<SendRelease>(it);
    }));
    std::vector<Event> later{
      prepared, JournalCommitted{ record }, Tick{}, StartsAllowed{ false }
    };
    Millis now(200);
    for (int n = 0; n < 100; ++n) {
      for (const Event& it : later) {
        for (const Effect& effect : scheduler.Step(it, now)) {
          EXPECT_FALSE(std::holds_alternative<SendStart>(effect));
          EXPECT_FALSE(std::holds_alternative<SendPrepare>(effect));
        }
      }
      now += Millis(100);
    }
    EXPECT_EQ(scheduler.FindJob(JobId("j"))->state, model::JobState::kQueued);
    EXPECT_TRUE(scheduler.CheckInvariants().empty());
    effects = scheduler.Step(StartsAllowed{ true }, now);
    EXPECT_TRUE(std::any_of(effects.begin(), effects.end(), [](const auto& it) {
      return std::holds_alternative<SendPrepare>(it);
    }));
  }
}

// Guards against starts by any path while they are forbidden: queued jobs,
// retries after a lost worker, reclaimed guarantees and reservations. Active
// gangs must continue, and all jobs must end once starts are allowed again.
TEST(StartsAllowed, NothingStartsWhileForbidden)
{
  ClusterOptions options;
  options.seed = 3;
  Cluster cluster(options);
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  for (int n = 0; n < 24; ++n) {
    bool guaranteed = n % 4 == 0;
    JobBehavior behavior;
    behavior.runTime = Seconds(10 + n);
    cluster.Submit(JobId("j" + std::to_string(n)),
                   guaranteed ? Gang("a", 2, 4) : Gang("b", 1, 4),
                   behavior);
  }
  cluster.RunUntil(Seconds(5));
  cluster.RunAt(Seconds(5), [&] { cluster.SetStartsAllowed(false); });
  cluster.RunAt(Seconds(6), [&] { cluster.Crash(0); });
  cluster.RunUntil(Seconds(6));
  uint64_t started = cluster.GetScheduler().Counts().Get(CounterKind::kStarted);
  uint64_t tasks = cluster.StartedTasks();
  ASSERT_GT(started, 0U);
  cluster.RunUntil(Minutes(5));
  EXPECT_EQ(cluster.GetScheduler().Counts().Get(CounterKind::kStarted),
            started);
  EXPECT_EQ(cluster.StartedTasks(), tasks);
  EXPECT_GT(cluster.GetScheduler().Counts().Get(CounterKind::kSucceeded), 0U);
  EXPECT_EQ(
    cluster.GetScheduler().Counts().Get(CounterKind::kPreemptedForGuarantee),
    0U);
  cluster.SetStartsAllowed(true);
  cluster.RunUntil(Minutes(30));
  for (const auto& [id, record] : cluster.Jobs()) {
    EXPECT_TRUE(record.succeeded) << id.Value();
  }
  EXPECT_EQ(cluster.Violations(), std::vector<std::string>());
}

// Guards against an urgent job that waits longer than 1.7 s for guaranteed
// capacity that other workspaces use.
TEST(Guarantee, IsReclaimedForUrgentWorkInTime)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(1));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  for (int i = 0; i < 4; ++i) {
    cluster.Submit(
      JobId("b" + std::to_string(i)), Gang("b", 1, 4), { Hours(1), false });
  }
  cluster.RunUntil(Seconds(5));
  model::JobSpec urgent = Gang("a", 2, 4);
  urgent.topologyScope = model::TopologyScope::kRack;
  urgent.priority = model::Priority::kUrgent;
  cluster.Submit(JobId("urgent"), urgent, { Minutes(1), false });
  cluster.RunUntil(Seconds(10));
  auto view = cluster.GetScheduler().FindJob(JobId("urgent"));
  ASSERT_TRUE(view);
  ASSERT_EQ(view->state, model::JobState::kRunning);
  EXPECT_LE((view->startedAt - view->submittedAt).Count(), 1700);
  EXPECT_EQ(
    cluster.GetScheduler().Counts().Get(CounterKind::kPreemptedForUrgent), 2U);
  EXPECT_TRUE(cluster.Violations().empty());
}

// Guards against an unsatisfiable guarantee without an alarm. The alarm must
// name the guarantee and the missing accelerators, and end when a worker
// returns.
TEST(Guarantee, RaisesAlarmWithMissingAmount)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(1));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(20));
  for (std::size_t i = 0; i < 3; ++i) {
    cluster.Isolate(i, true);
  }
  cluster.RunUntil(Seconds(60));
  ASSERT_FALSE(cluster.Alarms().empty());
  const Alarm& alarm = cluster.Alarms().back();
  EXPECT_EQ(alarm.reason, "guarantee_unsatisfied");
  EXPECT_EQ(alarm.values[1].second, "a");      // Workspace
  EXPECT_EQ(alarm.values[2].second, "8/rack"); // Shape
  EXPECT_EQ(alarm.values[5].second, "4");      // Missing accelerators
  cluster.Isolate(0, false);
  cluster.RunUntil(Seconds(90));
  EXPECT_FALSE(cluster.Alarms().back().active);
}

// Guards against a faulty job that is retried without limit.
TEST(WorkerFaultDetection, EndsJobThatFailsOnThreeWorkers)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Submit(JobId("bad"), Gang("b", 1, 1), { Hours(1), true });
  cluster.RunUntil(Minutes(2));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("bad"));
  EXPECT_EQ(record.endKind, JobEventKind::kFailed);
  EXPECT_EQ(record.lastStartedAttempt, Attempt(3));
}

// Guards against a faulty worker that uses up the attempts of healthy jobs, and
// against a repaired worker that stays in quarantine.
TEST(WorkerFaultDetection, QuarantinesFaultyWorkerAndReadmitsIt)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(3));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Workers()[0].faulty = true;
  for (int i = 0; i < 40; ++i) {
    cluster.RunAt(Seconds(2 + 3 * i), [&cluster, i] {
      cluster.Submit(
        JobId("j" + std::to_string(i)), Gang("b", 1, 2), { Minutes(1), false });
    });
  }
  cluster.RunUntil(Minutes(2));
  EXPECT_EQ(cluster.GetScheduler().Counts().Get(CounterKind::kQuarantined), 1U);
  cluster.Workers()[0].faulty = false;
  cluster.RunUntil(Minutes(4));
  for (int i = 40; i < 80; ++i) {
    cluster.Submit(
      JobId("j" + std::to_string(i)), Gang("b", 1, 2), { Minutes(1), false });
  }
  cluster.RunUntil(Minutes(20));
  EXPECT_GE(cluster.GetScheduler().Counts().Get(CounterKind::kReadmitted), 1U);
  for (const auto& [id, record] : cluster.Jobs()) {
    EXPECT_TRUE(record.succeeded) << id.Value();
  }
}

// Returns the index of the worker of the job's first member.
std::size_t
WorkerOf(Cluster& aCluster, const char* aJob)
{
  auto view = aCluster.GetScheduler().FindJob(JobId(aJob));
  std::size_t index = 0;
  while (view && !view->workers.empty() && index < aCluster.Workers().size() &&
         aCluster.Workers()[index].description.worker != view->workers[0]) {
    ++index;
  }
  return index;
}

JobBehavior
CrashesWorkerAfter(Millis aDelay)
{
  JobBehavior behavior;
  behavior.runTime = Hours(10);
  behavior.crashesWorkerAfter = aDelay;
  return behavior;
}

// Guards against a task that crashes worker after worker without limit. It
// crashes before or after the worker has acknowledged the start, or so late
// that the start has timed out, and the worker is back before or after the end
// of its lease.
TEST(WorkerCrash, EndsJobThatCrashesTwoWorkersOnItsOwn)
{
  for (Millis delay : { Millis(0), Millis(1500), Millis(3000) }) {
    for (Millis restart : { Millis(500), Seconds(3), Seconds(25) }) {
      ClusterOptions options;
      options.workerRestartTime = restart;
      Cluster cluster(options);
      cluster.Configure(SmallZone(2));
      cluster.AddWorkers();
      cluster.RunUntil(Seconds(1));
      cluster.Submit(
        JobId("deadly"), Gang("b", 1, 4), CrashesWorkerAfter(delay));
      cluster.RunUntil(Minutes(10));
      const testing::JobRecord& record = cluster.Jobs().at(JobId("deadly"));
      EXPECT_EQ(record.endKind, JobEventKind::kFailed);
      EXPECT_EQ(record.reason, "crashed_workers");
      // A worker that is not back by the end of its lease has crashed or is cut
      // off; the job starts elsewhere before the difference is known.
      bool backInTime = restart < options.scheduler.workerLease;
      EXPECT_EQ(record.lastStartedAttempt, Attempt(backInTime ? 2 : 3))
        << delay.Count() << " ms, " << restart.Count() << " ms";
      EXPECT_TRUE(cluster.Violations().empty());
    }
  }
}

// Guards against a deadly task among sound ones that is never found out, and
// against sound jobs that are given up because of it.
TEST(WorkerCrash, EndsDeadlyJobThatSharesItsWorkers)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(1));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  for (int i = 0; i < 8; ++i) {
    cluster.Submit(
      JobId("s" + std::to_string(i)), Gang("b", 1, 1), { Minutes(5), false });
  }
  cluster.RunUntil(Minutes(1));
  cluster.Submit(
    JobId("deadly"), Gang("b", 1, 1), CrashesWorkerAfter(Millis(10)));
  cluster.RunUntil(Hours(1));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("deadly"));
  EXPECT_EQ(record.endKind, JobEventKind::kFailed);
  EXPECT_LE(record.lastStartedAttempt, Attempt(3));
  for (int i = 0; i < 8; ++i) {
    EXPECT_TRUE(cluster.Jobs().at(JobId("s" + std::to_string(i))).succeeded);
  }
}

// Guards against a gang of which one member crashes its worker in each attempt.
TEST(WorkerCrash, EndsGangWithDeadlyMember)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  JobBehavior behavior = CrashesWorkerAfter(Millis(10));
  behavior.crashingMembers = { 2 };
  cluster.Submit(JobId("deadly"), Gang("b", 3, 4), behavior);
  cluster.RunUntil(Minutes(10));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("deadly"));
  EXPECT_EQ(record.endKind, JobEventKind::kFailed);
  EXPECT_EQ(record.lastStartedAttempt, Attempt(2));
}

// Guards against a gang that is given up after one attempt because the same
// cause took down the workers of several members.
TEST(WorkerCrash, MembersOfOneAttemptAreCountedApart)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Submit(JobId("gang"), Gang("b", 4, 4), { Minutes(1), false });
  cluster.RunUntil(Seconds(2));
  auto view = cluster.GetScheduler().FindJob(JobId("gang"));
  ASSERT_TRUE(view);
  ASSERT_EQ(view->workers.size(), 4U);
  for (std::size_t i = 0; i < cluster.Workers().size(); ++i) {
    const WorkerId& id = cluster.Workers()[i].description.worker;
    if (std::find(view->workers.begin(), view->workers.end(), id) !=
        view->workers.end()) {
      cluster.Crash(i);
    }
  }
  cluster.RunUntil(Minutes(5));
  EXPECT_TRUE(cluster.Jobs().at(JobId("gang")).succeeded);
}

// Guards against a task that lasts and crashes its worker each time some
// seconds after its start.
TEST(WorkerCrash, EndsLastingJobAfterFiveCrashes)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Submit(
    JobId("deadly"), Gang("b", 1, 4), CrashesWorkerAfter(Seconds(20)));
  cluster.RunUntil(Minutes(30));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("deadly"));
  EXPECT_EQ(record.endKind, JobEventKind::kFailed);
  EXPECT_EQ(record.lastStartedAttempt, Attempt(5));
}

// Guards against a change of the authority that forgets the crashes.
TEST(WorkerCrash, CountHoldsAcrossChangeOfAuthority)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Submit(
    JobId("deadly"), Gang("b", 1, 4), CrashesWorkerAfter(Millis(10)));
  // The worker is back after 3 s; the second attempt follows a second later.
  cluster.RunUntil(Millis(4500));
  ASSERT_EQ(cluster.Jobs().at(JobId("deadly")).crashes.Crashes().size(), 1U);
  cluster.ChangeAuthority();
  cluster.RunUntil(Minutes(10));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("deadly"));
  EXPECT_EQ(record.endKind, JobEventKind::kFailed);
  EXPECT_EQ(record.lastStartedAttempt, Attempt(2));
}

// Guards against a sound job that is given up because its only worker crashed
// twice for another cause.
TEST(WorkerCrash, SoundJobSurvivesTwoCrashesOfOneWorker)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(1));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  for (std::size_t i = 1; i < 4; ++i) {
    cluster.Kill(i);
  }
  cluster.RunUntil(Seconds(30));
  cluster.Submit(JobId("sound"), Gang("b", 1, 4), { Minutes(1), false });
  for (int i = 0; i < 2; ++i) {
    while (cluster.GetScheduler().FindJob(JobId("sound"))->state !=
           model::JobState::kRunning) {
      cluster.RunUntil(cluster.Now() + Seconds(1));
      ASSERT_LT(cluster.Now(), Minutes(10));
    }
    cluster.Crash(0);
    cluster.RunUntil(cluster.Now() + Seconds(4));
  }
  cluster.RunUntil(Minutes(20));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("sound"));
  EXPECT_TRUE(record.succeeded);
  EXPECT_EQ(record.lastStartedAttempt, Attempt(3));
}

// Guards against crashes of weeks that add up: a run of 30 s shows that the
// start of the job is sound.
TEST(WorkerCrash, RunOfThirtySecondsClearsTheCount)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Submit(JobId("sound"), Gang("b", 1, 4), { Minutes(2), false });
  for (int i = 0; i < 8; ++i) {
    cluster.RunUntil(cluster.Now() + Minutes(1));
    std::size_t worker = WorkerOf(cluster, "sound");
    ASSERT_LT(worker, cluster.Workers().size());
    cluster.Crash(worker);
  }
  cluster.RunUntil(Minutes(20));
  EXPECT_TRUE(cluster.Jobs().at(JobId("sound")).succeeded);
}

// Guards against a partition that is taken for a crash: the worker is silent
// past the end of its lease and comes back with the same incarnation.
TEST(WorkerCrash, PartitionsAreNotCounted)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  cluster.Submit(JobId("sound"), Gang("b", 1, 4), { Minutes(1), false });
  for (int i = 0; i < 6; ++i) {
    cluster.RunUntil(cluster.Now() + Seconds(3));
    std::size_t worker = WorkerOf(cluster, "sound");
    ASSERT_LT(worker, cluster.Workers().size());
    cluster.Isolate(worker, true);
    cluster.RunUntil(cluster.Now() + Seconds(25));
    cluster.Isolate(worker, false);
  }
  cluster.RunUntil(Minutes(20));
  const testing::JobRecord& record = cluster.Jobs().at(JobId("sound"));
  EXPECT_TRUE(record.succeeded);
  EXPECT_GE(record.lastStartedAttempt, Attempt(6));
}

// Guards against jobs that wait indefinitely although no worker can ever run
// them.
TEST(Queue, MarksImpossibleJobsAtOnce)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(1));
  cluster.AddWorkers();
  cluster.Submit(JobId("wide"), Gang("b", 1, 5), { Hours(1), false });
  cluster.Submit(JobId("quota"), Gang("b", 17, 4), { Hours(1), false });
  cluster.RunUntil(Seconds(1));
  EXPECT_EQ(cluster.Jobs().at(JobId("wide")).reason, "member_exceeds_workers");
  EXPECT_EQ(cluster.Jobs().at(JobId("quota")).reason, "exceeds_quota");
}

// Guards against starvation of a large job by a steady stream of small jobs on
// the same racks.
TEST(Queue, StartsLargeJobDespiteSteadySmallOnes)
{
  Cluster cluster({});
  cluster.Configure(SmallZone(2));
  cluster.AddWorkers();
  cluster.RunUntil(Seconds(1));
  for (int i = 0; i < 1200; ++i) {
    cluster.RunAt(Seconds(2 + 3 * i), [&cluster, i] {
      model::JobSpec small = Gang("b", 1, 1);
      small.checkpointable = false;
      small.declaredRunTime = Seconds(1);
      cluster.Submit(
        JobId("s" + std::to_string(i)), small, { Seconds(150), false });
    });
  }
  cluster.RunAt(Minutes(10), [&cluster] {
    model::JobSpec large = Gang("b", 4, 4);
    large.topologyScope = model::TopologyScope::kRack;
    cluster.Submit(JobId("large"), large, { Minutes(1), false });
  });
  cluster.RunUntil(Minutes(45));
  EXPECT_TRUE(cluster.Jobs().at(JobId("large")).succeeded);
}

} // namespace
} // namespace limpetwood::scheduler
