// Tests that commands change the replicated state of the fleet as defined, and
// that repeated or late ones change nothing.

#include "fleet/state.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

constexpr const char* kJob = "00000000000000a1";

gen::WorkerReport
Report(const std::string& aId, uint64_t aIncarnation = 1)
{
  WorkerReport report;
  report.id = WorkerId(aId);
  report.incarnation = Incarnation(aIncarnation);
  report.service = ServiceId("service");
  report.capacity = { .cpu = 8000, .memoryMb = 8000, .accelerators = 8 };
  return ToWire(report);
}

gen::SubmitJob
Submission(const StepSpec& aStep, uint32_t aAttempts = 2)
{
  JobSpec spec;
  spec.payload = "payload";
  spec.steps = { aStep };
  gen::SubmitJob job;
  job.id = kJob;
  job.queue = "queue";
  job.serviceId = "service";
  job.spec = ToWire(spec);
  job.maxAttempts = static_cast<int32_t>(aAttempts);
  return job;
}

StepSpec
Tasks(uint32_t aCount, bool aGang)
{
  StepSpec step;
  step.tasks = aCount;
  step.gang = aGang;
  step.resources = { .cpu = 1000, .memoryMb = 1000, .accelerators = 1 };
  return step;
}

TaskRef
TaskAt(uint32_t aIndex)
{
  return { .job = JobId(kJob), .occurrence = 0, .step = 0, .index = aIndex };
}

void
Start(FleetState& aState,
      uint32_t aIndex,
      uint32_t aAttempt,
      const std::string& aWorker = "w1",
      int64_t aIncarnation = 1)
{
  gen::RunStart start;
  start.task = ToWire(TaskAt(aIndex));
  start.run = static_cast<int32_t>(aAttempt);
  start.worker = aWorker;
  start.incarnation = aIncarnation;
  gen::Command command;
  command.starts.push_back(start);
  aState.Apply(command);
}

void
End(FleetState& aState,
    uint32_t aIndex,
    uint32_t aAttempt,
    EndKind aKind,
    const std::string& aCheckpoint = {},
    const std::string& aWorker = "w1")
{
  gen::RunEnd end;
  end.task = ToWire(TaskAt(aIndex));
  end.run = static_cast<int32_t>(aAttempt);
  end.worker = aWorker;
  end.kind = static_cast<int32_t>(aKind);
  end.checkpoint = aCheckpoint;
  gen::Command command;
  command.ends.push_back(end);
  aState.Apply(command);
}

FleetState
StateWith(const StepSpec& aStep, uint32_t aAttempts = 2)
{
  FleetState state;
  gen::Command command;
  command.workers.push_back(Report("w1"));
  command.jobs.push_back(Submission(aStep, aAttempts));
  state.Apply(command);
  return state;
}

const Job&
OnlyJob(const FleetState& aState)
{
  return *aState.FindJob(JobId(kJob));
}

// Guards against a repeated submission that resets a running job.
TEST(FleetState, RepeatedSubmissionChangesNothing)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  gen::Command again;
  again.jobs.push_back(Submission(Tasks(1, false)));
  state.Apply(again);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kRunning);
  EXPECT_EQ(OnlyJob(state).activeRuns, 1U);
}

// Ends a run because its worker crashed.
void
Crash(FleetState& aState,
      uint32_t aIndex,
      uint32_t aAttempt,
      CrashEvidence aEvidence)
{
  gen::RunEnd end;
  end.task = ToWire(TaskAt(aIndex));
  end.run = static_cast<int32_t>(aAttempt);
  end.worker = "w1";
  end.kind = static_cast<int32_t>(EndKind::kWorkerCrashed);
  end.evidence = static_cast<int32_t>(aEvidence);
  gen::Command command;
  command.ends.push_back(end);
  aState.Apply(command);
}

// Number of crashes with this evidence after which the job is given up; 20 if
// it never is.
uint32_t
CrashesUntilGivenUp(const StepSpec& aStep, CrashEvidence aEvidence)
{
  FleetState state = StateWith(aStep, 1);
  uint32_t crashes = 0;
  while (crashes < 20 && !OnlyJob(state).Ended()) {
    Start(state, 0, ++crashes);
    Crash(state, 0, crashes, aEvidence);
  }
  return crashes;
}

// Guards against a task that takes down worker after worker: the platform
// allows two starts after three crashes.
TEST(FleetStateCrashes, TaskThatCrashesWorkersIsGivenUp)
{
  StepSpec lasting = Tasks(1, false);
  lasting.longRunning = true;
  for (const StepSpec& step : { Tasks(1, false), Tasks(1, true), lasting }) {
    EXPECT_EQ(CrashesUntilGivenUp(step, CrashEvidence::kAloneAtStart), 2U);
    EXPECT_EQ(CrashesUntilGivenUp(step, CrashEvidence::kAtStart), 3U);
    EXPECT_EQ(CrashesUntilGivenUp(step, CrashEvidence::kNone), 4U);
  }
}

// Guards against a sound job that is given up because its workers are lost for
// other causes.
TEST(FleetStateCrashes, OtherEndsDoNotCount)
{
  FleetState state = StateWith(Tasks(1, false), 1);
  uint32_t attempt = 0;
  for (EndKind it : { EndKind::kLost,
                      EndKind::kStopped,
                      EndKind::kLeaseExpired,
                      EndKind::kGangMemberEnded,
                      EndKind::kRejected }) {
    for (int n = 0; n < 6; ++n) {
      Start(state, 0, ++attempt);
      End(state, 0, attempt, it);
    }
  }
  EXPECT_FALSE(OnlyJob(state).Ended());
  EXPECT_EQ(state.FindTask(TaskAt(0))->crashes, 0U);
}

// Guards against a task that lasts being given up after years because its
// workers crash now and then.
TEST(FleetStateCrashes, LongRunClearsTheCount)
{
  EXPECT_EQ(CrashesUntilGivenUp(Tasks(1, false), CrashEvidence::kExonerated),
            20U);
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  Crash(state, 0, 1, CrashEvidence::kAtStart);
  EXPECT_TRUE(IsSuspect(*state.FindTask(TaskAt(0))));
  Start(state, 0, 2);
  Crash(state, 0, 2, CrashEvidence::kExonerated);
  EXPECT_FALSE(IsSuspect(*state.FindTask(TaskAt(0))));
}

// Guards against a sound gang that is given up because one crash of a rack ends
// several members: each answers for its own worker.
TEST(FleetStateCrashes, MembersOfAGangAnswerForTheirOwnWorkers)
{
  FleetState state = StateWith(Tasks(4, true));
  for (uint32_t n = 0; n < 4; ++n) {
    Start(state, n, 1);
  }
  for (uint32_t n = 0; n < 4; ++n) {
    Crash(state, n, 1, CrashEvidence::kAloneAtStart);
  }
  EXPECT_FALSE(OnlyJob(state).Ended());
  Start(state, 2, 2);
  Crash(state, 2, 2, CrashEvidence::kAloneAtStart);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kFailed);
}

// Guards against a count, or the reason of a failure, that a restart from a
// snapshot forgets.
TEST(FleetStateCrashes, CountAndReasonSurviveASnapshot)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  Crash(state, 0, 1, CrashEvidence::kAloneAtStart);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
  Start(restored, 0, 2);
  EXPECT_EQ(restored.FindTask(TaskAt(0))->incarnation, Incarnation(1));
  FleetState again;
  ASSERT_TRUE(again.Restore(restored.TakeSnapshot()));
  EXPECT_EQ(again.FindTask(TaskAt(0))->incarnation, Incarnation(1));
  Crash(again, 0, 2, CrashEvidence::kAloneAtStart);
  EXPECT_EQ(OnlyJob(again).status, JobStatus::kFailed);
  FleetState last;
  ASSERT_TRUE(last.Restore(again.TakeSnapshot()));
  EXPECT_EQ(OnlyJob(last).reason, "a task crashed 2 workers");
}

// Guards against two active runs of one task.
TEST(FleetState, StartOfATaskThatIsActiveChangesNothing)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  Start(state, 0, 2);
  EXPECT_TRUE(state.IsActive({ TaskAt(0), Attempt(1) }, WorkerId("w1")));
  EXPECT_EQ(state.FindWorker(WorkerId("w1"))->used.accelerators, 1);
}

// Guards against an active run on a worker that has another incarnation than
// the one that the start was planned for.
TEST(FleetState, StartOnAnotherIncarnationChangesNothing)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1, "w1", 2);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kQueued);
}

// Guards against a job that is shown as running although no task of it has run,
// and against one that is shown as queued again after a task has.
TEST(FleetState, JobWhoseStartsWereRejectedIsQueued)
{
  FleetState state;
  gen::Command base;
  gen::WorkerReport worker;
  worker.id = "w";
  base.workers.push_back(worker);
  gen::SubmitJob job;
  job.id = "00000000000000c2";
  job.maxAttempts = 9;
  job.spec.steps.emplace_back().tasks = 1;
  base.jobs.push_back(job);
  state.Apply(base);
  auto play = [&](int32_t aRun, EndKind aKind) {
    gen::Command start;
    gen::RunStart& added = start.starts.emplace_back();
    added.task.job = job.id;
    added.run = aRun;
    added.worker = "w";
    state.Apply(start);
    EXPECT_EQ(state.FindJob(JobId(job.id))->status, JobStatus::kRunning);
    gen::Command end;
    gen::RunEnd& ended = end.ends.emplace_back();
    ended.task = added.task;
    ended.run = aRun;
    ended.worker = "w";
    ended.kind = static_cast<int32_t>(aKind);
    state.Apply(end);
    return state.FindJob(JobId(job.id))->status;
  };
  EXPECT_EQ(play(1, EndKind::kRejected), JobStatus::kQueued);
  EXPECT_EQ(play(2, EndKind::kRejected), JobStatus::kQueued);
  EXPECT_EQ(play(3, EndKind::kStopped), JobStatus::kRunning);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
  EXPECT_TRUE(restored.FindJob(JobId(job.id))->begun);
  EXPECT_EQ(play(4, EndKind::kRejected), JobStatus::kRunning);
}

// Guards against a leader that learns from a snapshot that a worker drains, but
// not when it departs.
TEST(FleetState, SnapshotContainsTheDepartureOfAWorker)
{
  WorkerReport report;
  report.id = WorkerId("w");
  report.clock = Millis(7000);
  FleetState state;
  for (auto departsIn : { std::optional<Millis>(), std::optional(Millis(0)) }) {
    report.draining = departsIn.has_value();
    report.departsIn = departsIn;
    ++report.sequence;
    gen::Command command;
    command.workers.push_back(ToWire(report));
    state.Apply(command);
    FleetState restored;
    ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
    const WorkerReport& read = restored.FindWorker(report.id)->report;
    EXPECT_EQ(read.departsIn, departsIn);
    EXPECT_EQ(read.clock, report.clock);
  }
}

// Guards against a refusal that a snapshot loses, or that ends another
// workspace's job when the snapshot is read.
TEST(FleetState, SnapshotContainsRefusedJobs)
{
  FleetState state;
  gen::Command command;
  gen::RefusedJob refused;
  refused.id = "00000000000000c1";
  refused.workspace = "a";
  command.refused.push_back(refused);
  gen::SubmitJob job;
  job.id = refused.id;
  job.workspace = "b";
  job.spec.steps.emplace_back().tasks = 1;
  command.jobs.push_back(job);
  state.Apply(command);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
  JobId id("00000000000000c1");
  EXPECT_TRUE(restored.IsRefused(id, WorkspaceId("a"), QueueId("queue")));
  EXPECT_FALSE(restored.IsRefused(id, WorkspaceId("b"), QueueId("queue")));
  ASSERT_NE(restored.FindJob(id), nullptr);
  EXPECT_EQ(restored.FindJob(id)->status, JobStatus::kQueued);
}

// Guards against a start that is committed behind the evacuation of its zone,
// and against an evacuation that a snapshot loses.
TEST(FleetState, StartInAnEvacuatedZoneChangesNothing)
{
  FleetState state;
  gen::Command command;
  command.atMs = 17;
  command.jobs.push_back(Submission(Tasks(1, false)));
  command.workers.push_back(Report("w1"));
  command.workers.back().zone = "z1";
  gen::ZoneOrder order;
  order.zone = "z1";
  order.evacuate = true;
  command.zoneOrders.push_back(order);
  state.Apply(command);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
  for (FleetState* it : { &state, &restored }) {
    ASSERT_TRUE(it->IsEvacuated(ZoneId("z1")));
    EXPECT_EQ(it->EvacuatedZones().at(ZoneId("z1")), Millis(17));
    Start(*it, 0, 1);
    EXPECT_EQ(it->FindJob(JobId(kJob))->activeRuns, 0U);
  }
  order.evacuate = false;
  gen::Command end;
  end.zoneOrders.push_back(order);
  state.Apply(end);
  Start(state, 0, 1);
  EXPECT_EQ(state.FindJob(JobId(kJob))->activeRuns, 1U);
}

// Guards against a learned speed that replicas do not share, or that the next
// process of a worker inherits.
TEST(FleetState, SpeedBelongsToOneProcessOfAWorker)
{
  FleetState state;
  gen::WorkerSpeed speed;
  speed.worker = "w1";
  speed.incarnation = 1;
  speed.permille = 1001;
  gen::Command command;
  command.workers.push_back(Report("w1"));
  command.speeds.push_back(speed);
  speed.incarnation = 2;
  speed.permille = 3000;
  command.speeds.push_back(speed);
  state.Apply(command);
  FleetState restored;
  ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
  EXPECT_DOUBLE_EQ(*state.FindWorker(WorkerId("w1"))->speed, 1.001);
  EXPECT_DOUBLE_EQ(*restored.FindWorker(WorkerId("w1"))->speed, 1.001);
  EXPECT_EQ(restored.TakeSnapshot(), state.TakeSnapshot());
  gen::Command next;
  next.workers.push_back(Report("w1", 2));
  state.Apply(next);
  EXPECT_FALSE(state.FindWorker(WorkerId("w1"))->speed);
}

// Guards against running cancelled jobs.
TEST(FleetState, StartAfterCancellationChangesNothing)
{
  FleetState state = StateWith(Tasks(1, false));
  gen::Command cancel;
  cancel.cancelled.emplace_back(kJob);
  state.Apply(cancel);
  Start(state, 0, 1);
  EXPECT_EQ(OnlyJob(state).activeRuns, 0U);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kCancelled);
}

// Guards against a late end of an earlier attempt that ends the current one.
TEST(FleetState, EndOfAnEarlierRunChangesNothing)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  End(state, 0, 1, EndKind::kLost);
  Start(state, 0, 2);
  End(state, 0, 1, EndKind::kFailed);
  EXPECT_TRUE(state.IsActive({ TaskAt(0), Attempt(2) }, WorkerId("w1")));
}

// Guards against completing a job before its last task.
TEST(FleetState, JobIsCompletedWhenAllTasksAreDone)
{
  FleetState state = StateWith(Tasks(2, false));
  Start(state, 0, 1);
  Start(state, 1, 1);
  End(state, 0, 1, EndKind::kDone);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kRunning);
  End(state, 1, 1, EndKind::kDone);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kCompleted);
}

// Guards against a completed gang that a later lost end of another member
// changes back. The members finish together, so one end as done completes the
// gang.
TEST(FleetState, OneMemberThatIsDoneCompletesItsGang)
{
  FleetState state = StateWith(Tasks(2, true));
  Start(state, 0, 1);
  Start(state, 1, 1);
  End(state, 0, 1, EndKind::kDone);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kCompleted);
  EXPECT_EQ(OnlyJob(state).activeRuns, 1U);
  EXPECT_TRUE(state.LiveJobs().contains(JobId(kJob)));
  End(state, 1, 1, EndKind::kLost);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kCompleted);
  EXPECT_FALSE(state.LiveJobs().contains(JobId(kJob)));
}

// Guards against counting one failed attempt of a gang once per member.
TEST(FleetState, GangFailsOncePerRun)
{
  FleetState state = StateWith(Tasks(2, true), 2);
  Start(state, 0, 1);
  Start(state, 1, 1);
  End(state, 0, 1, EndKind::kFailed);
  End(state, 1, 1, EndKind::kFailed);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kRunning);
  Start(state, 0, 2);
  Start(state, 1, 2);
  End(state, 0, 2, EndKind::kFailed);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kFailed);
}

// Guards against failing a job for ends that the system caused, such as
// preemption or a lost worker.
TEST(FleetState, OnlyFailuresCountAgainstTheAttempts)
{
  FleetState state = StateWith(Tasks(1, false), 2);
  uint32_t attempt = 0;
  // Only `kFailed`, the last, counts.
  for (EndKind it : { EndKind::kStopped,
                      EndKind::kLeaseExpired,
                      EndKind::kGangMemberEnded,
                      EndKind::kGangIncomplete,
                      EndKind::kRejected,
                      EndKind::kLost,
                      EndKind::kFailed }) {
    Start(state, 0, ++attempt);
    End(state, 0, attempt, it);
    EXPECT_EQ(OnlyJob(state).status, JobStatus::kRunning);
  }
  Start(state, 0, ++attempt);
  End(state, 0, attempt, EndKind::kFailed);
  EXPECT_EQ(OnlyJob(state).status, JobStatus::kFailed);
}

// Guards against a gang whose members resume from different checkpoints.
TEST(FleetState, CheckpointOfOneMemberIsValidForTheGang)
{
  FleetState state = StateWith(Tasks(2, true));
  Start(state, 0, 1);
  Start(state, 1, 1);
  End(state, 0, 1, EndKind::kStopped, "point");
  End(state, 1, 1, EndKind::kStopped);
  EXPECT_EQ(state.FindTask(TaskAt(0))->checkpoint, "point");
  EXPECT_EQ(state.FindTask(TaskAt(1))->checkpoint, "point");
}

// Guards against a duplicate run: a start in flight may reach the next
// incarnation of a worker.
TEST(FleetState, RunsStayActiveOverANewIncarnation)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  gen::Command restarted;
  restarted.workers.push_back(Report("w1", 2));
  state.Apply(restarted);
  EXPECT_TRUE(state.IsActive({ TaskAt(0), Attempt(1) }, WorkerId("w1")));
}

// Guards against runs that stay active for ever on a removed worker.
TEST(FleetState, RemovalOfAWorkerEndsItsRuns)
{
  FleetState state = StateWith(Tasks(1, false));
  Start(state, 0, 1);
  gen::Command command;
  command.gone.emplace_back();
  command.gone.back().id = "w1";
  command.gone.back().incarnation = 1;
  state.Apply(command);
  EXPECT_EQ(state.FindWorker(WorkerId("w1")), nullptr);
  EXPECT_EQ(OnlyJob(state).activeRuns, 0U);
}

// Guards against a delayed update that reverts the configuration.
TEST(FleetState, LowerVersionNeverReplacesAHigherOne)
{
  FleetState state;
  for (int64_t version : { 7, 5, 7 }) {
    gen::Configuration configuration;
    configuration.version = version;
    configuration.text = std::to_string(version);
    gen::Command command;
    command.__set_configuration(configuration);
    state.Apply(command);
    EXPECT_EQ(state.Version(), ConfigVersion(7));
    EXPECT_EQ(state.Config()->text, "7");
  }
}

// Guards against a request that is matched to the queue of a shorter prefix.
TEST(FleetState, LongestPrefixSelectsTheQueue)
{
  FleetState state;
  gen::Configuration configuration;
  configuration.version = 1;
  for (const char* it : { "/a/", "/a/b/" }) {
    gen::Queue queue;
    queue.name = it;
    queue.host = "host";
    queue.prefix = it;
    configuration.queues.push_back(queue);
  }
  gen::Command command;
  command.__set_configuration(configuration);
  state.Apply(command);
  EXPECT_EQ(state.FindQueue("host", "/a/b/c")->prefix, "/a/b/");
  EXPECT_EQ(state.FindQueue("host", "/a/c")->prefix, "/a/");
  EXPECT_EQ(state.FindQueue("other", "/a/c"), nullptr);
}

// Guards against state that a snapshot omits, and against accepting invalid
// bytes.
TEST(FleetState, SnapshotRestoresRunsAndUsedResources)
{
  FleetState state = StateWith(Tasks(3, false));
  Start(state, 0, 1);
  Start(state, 1, 1);
  End(state, 0, 1, EndKind::kDone);
  Start(state, 2, 1);
  End(state, 2, 1, EndKind::kStopped, "point");
  FleetState restored;
  ASSERT_TRUE(restored.Restore(state.TakeSnapshot()));
  EXPECT_EQ(restored.TakeSnapshot(), state.TakeSnapshot());
  EXPECT_TRUE(restored.IsActive({ TaskAt(1), Attempt(1) }, WorkerId("w1")));
  EXPECT_EQ(restored.FindWorker(WorkerId("w1"))->used.accelerators, 1);
  EXPECT_EQ(restored.FindTask(TaskAt(2))->checkpoint, "point");
  EXPECT_TRUE(restored.LiveJobs().contains(JobId(kJob)));
  EXPECT_FALSE(restored.Restore("not a snapshot"));
}

// Guards against a process that ends when it restores a snapshot whose lists do
// not match: the snapshot is refused and the state stays as it was.
TEST(FleetState, SnapshotWithMissingTasksIsRefused)
{
  gen::StateSnapshot snapshot;
  gen::JobSnapshot& job = snapshot.jobs.emplace_back();
  job.job.id = "00000000000000a1";
  job.job.spec.steps.emplace_back().tasks = 2;
  gen::OccurrenceSnapshot& occurrence = job.occurrences.emplace_back();
  FleetState state;
  EXPECT_FALSE(state.Restore(Encode(snapshot)));
  occurrence.steps.emplace_back().tasks.resize(3);
  EXPECT_FALSE(state.Restore(Encode(snapshot)));
  occurrence.steps.back().tasks.resize(2);
  EXPECT_TRUE(state.Restore(Encode(snapshot)));
  EXPECT_EQ(state.Jobs().size(), 1U);
}

} // namespace
} // namespace limpetwood::fleet
