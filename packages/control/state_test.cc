// Tests the replicated control state: concurrent configuration changes, resent
// commands, superseded authorities, snapshots and malformed commands.

#include "control/state.h"
#include "model/delta.h"

#include <gtest/gtest.h>

namespace limpetwood::control {
namespace {

std::string
Document(int aJobs)
{
  return R"({"zones":["sogn"],
    "racks":[{"id":"r1","zone":"sogn","workers":4,"acceleratorsPerWorker":8,
              "coresPerWorker":64,"memoryMbPerWorker":100000}],
    "workspaces":[{"id":"surveys",
      "guarantees":[{"shape":{"accelerators":8,"closeness":"worker"},
                     "count":1}],
      "quota":{"accelerators":32,"jobs":)" +
         std::to_string(aJobs) + R"(,"requests":100}}],
    "services":[]})";
}

constexpr const char* kJob =
  R"({"workspace":"surveys","name":"mesh","members":1})";

// Applies encoded commands to a control state, as the replicated log does.
class Replica
{
public:
  gen::CommandResult Apply(const gen::Command& aCommand)
  {
    auto result =
      Decode<gen::CommandResult>(mState.Apply(++mIndex, Encode(aCommand)));
    return result.Value();
  }

  gen::CommandResult SubmitConfiguration(int aJobs,
                                         int64_t aBase,
                                         std::string aKey = {})
  {
    gen::SubmitConfiguration submit;
    submit.document = Document(aJobs);
    submit.baseVersion = aBase;
    submit.key = std::move(aKey);
    gen::Command command;
    command.__set_submitConfiguration(submit);
    return Apply(command);
  }

  gen::CommandResult SubmitJob(const char* aId, const char* aKey)
  {
    gen::SubmitJob submit;
    submit.job = aId;
    submit.key = aKey;
    submit.spec = kJob;
    gen::Command command;
    command.__set_submitJob(submit);
    return Apply(command);
  }

  gen::CommandResult AssignJob(const char* aId)
  {
    gen::AssignJob assign;
    assign.job = aId;
    assign.zone = "sogn";
    gen::Command command;
    command.__set_assignJobs({ assign });
    return Apply(command);
  }

  gen::CommandResult ReportEvent(const char* aId,
                                 int32_t aAttempt,
                                 JobEventKind aKind,
                                 int64_t aEpoch)
  {
    gen::JobEvent event;
    event.job = aId;
    event.attempt = aAttempt;
    event.kind = static_cast<int32_t>(aKind);
    gen::JobEvents events;
    events.zone = "sogn";
    events.epoch = aEpoch;
    events.events = { event };
    gen::Command command;
    command.__set_jobEvents(events);
    return Apply(command);
  }

  gen::CommandResult ReportCrash(const char* aId,
                                 int32_t aAttempt,
                                 const char* aWorker)
  {
    gen::JobEvent event;
    event.job = aId;
    event.attempt = aAttempt;
    event.kind = static_cast<int32_t>(JobEventKind::kWorkerCrashed);
    event.__set_crash(ToWire(model::WorkerCrash{
      Attempt(static_cast<uint32_t>(aAttempt)), {}, WorkerId(aWorker) }));
    gen::JobEvents events;
    events.zone = "sogn";
    events.epoch = 7;
    events.events = { event };
    gen::Command command;
    command.__set_jobEvents(events);
    return Apply(command);
  }

  model::JobState StateOf(const char* aId) const
  {
    return mState.Jobs().Find(JobId(aId))->state;
  }

  ControlState mState;
  uint64_t mIndex = 0;
};

// Of two configuration changes based on the same version, only one may be
// accepted; otherwise the second would overwrite the first unnoticed. The
// rejection lists the changed paths.
TEST(ControlState, SecondChangeOfSameBaseVersionIsRejected)
{
  Replica replica;
  ASSERT_TRUE(replica.SubmitConfiguration(10, 0).accepted);
  EXPECT_TRUE(replica.SubmitConfiguration(20, 1).accepted);
  gen::CommandResult second = replica.SubmitConfiguration(30, 1);
  EXPECT_FALSE(second.accepted);
  EXPECT_EQ(second.reason, "version_conflict");
  EXPECT_EQ(second.version, 2);
  EXPECT_EQ(second.changes,
            std::vector<std::string>{ "/workspaces/surveys/quota/jobs" });
}

// A configuration that is resent because its reply was lost must not be
// rejected as a conflict or create another version.
TEST(ControlState, ResentConfigurationGetsTheFirstAnswer)
{
  Replica replica;
  gen::CommandResult first = replica.SubmitConfiguration(10, 0, "k");
  gen::CommandResult again = replica.SubmitConfiguration(10, 0, "k");
  EXPECT_TRUE(again.accepted);
  EXPECT_TRUE(again.repeated);
  EXPECT_EQ(again.version, first.version);
  EXPECT_EQ(replica.mState.Version(), ConfigVersion(1));
}

// A submission that is resent with the same idempotency key must not create a
// second job.
TEST(ControlState, ResentSubmissionCreatesNoSecondJob)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  EXPECT_EQ(replica.SubmitJob("a", "k").job, "a");
  gen::CommandResult again = replica.SubmitJob("b", "k");
  EXPECT_TRUE(again.repeated);
  EXPECT_EQ(again.job, "a");
  EXPECT_EQ(replica.mState.Jobs().size(), 1U);
}

// A workspace must not have more active jobs than its quota allows.
TEST(ControlState, JobQuotaIsEnforced)
{
  Replica replica;
  replica.SubmitConfiguration(1, 0);
  EXPECT_TRUE(replica.SubmitJob("a", "").accepted);
  EXPECT_EQ(replica.SubmitJob("b", "").reason, "quota_jobs");
}

// A superseded authority must not start gangs, but a success that it observed
// must be recorded; otherwise the job would run again.
TEST(ControlState, OnlyOutcomesOfStaleEpochAreApplied)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.SubmitJob("a", "");
  replica.SubmitJob("b", "");
  replica.AssignJob("a");
  replica.AssignJob("b");
  replica.ReportEvent("a", 1, JobEventKind::kStarting, 7);
  replica.ReportEvent("b", 1, JobEventKind::kStarting, 8);
  EXPECT_EQ(
    replica.ReportEvent("b", 2, JobEventKind::kStarting, 7).changes.size(), 1U);
  EXPECT_EQ(replica.mState.Jobs().Find(JobId("b"))->attempt, Attempt(1));
  EXPECT_TRUE(
    replica.ReportEvent("a", 1, JobEventKind::kSucceeded, 7).changes.empty());
  EXPECT_EQ(replica.StateOf("a"), model::JobState::kSucceeded);
}

// A replica restored from a snapshot must not diverge from the others, and a
// malformed snapshot must leave the state unchanged.
TEST(ControlState, SnapshotRestoresEverything)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0, "k");
  replica.SubmitConfiguration(11, 1);
  replica.SubmitJob("a", "ka");
  replica.SubmitJob("b", "kb");
  replica.AssignJob("a");
  replica.ReportEvent("a", 1, JobEventKind::kStarting, 7);
  std::string snapshot = replica.mState.TakeSnapshot();

  Replica restored;
  ASSERT_TRUE(restored.mState.Restore(snapshot));
  EXPECT_EQ(restored.mState.TakeSnapshot(), snapshot);
  EXPECT_EQ(restored.mState.Version(), ConfigVersion(2));
  EXPECT_TRUE(restored.SubmitConfiguration(10, 0, "k").repeated);
  EXPECT_EQ(restored.SubmitJob("c", "kb").job, "b");
  EXPECT_EQ(restored.mState.Jobs().Unassigned().size(), 1U);
  EXPECT_EQ(restored.mState.Jobs().OrdersFor(ZoneId("sogn"), 0, 9).size(), 1U);
  EXPECT_FALSE(restored.mState.Restore("garbage"));
  EXPECT_EQ(restored.mState.Version(), ConfigVersion(2));
}

// The crashes counted against a job must survive a snapshot, or the job would
// start again without limit.
TEST(ControlState, SnapshotKeepsCrashesOfWorkers)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.SubmitJob("a", "");
  replica.AssignJob("a");
  replica.ReportEvent("a", 2, JobEventKind::kStarting, 7);
  replica.ReportEvent("a", 2, JobEventKind::kSound, 7);
  replica.ReportCrash("a", 2, "w1");
  replica.ReportCrash("a", 3, "w2");
  Replica restored;
  ASSERT_TRUE(restored.mState.Restore(replica.mState.TakeSnapshot()));
  const JobRecord* job = restored.mState.Jobs().Find(JobId("a"));
  ASSERT_NE(job, nullptr);
  EXPECT_EQ(job->crashes.Crashes().size(), 2U);
  EXPECT_EQ(job->crashes, replica.mState.Jobs().Find(JobId("a"))->crashes);
}

// A snapshot and a log of a version without the count must stay readable.
TEST(ControlState, RecordsWithoutCrashesAreReadable)
{
  gen::StateSnapshot old;
  gen::JobSnapshot job;
  job.job = "a";
  job.spec = kJob;
  job.zone = "sogn";
  job.attempt = 1;
  old.jobs = { job };
  Replica replica;
  ASSERT_TRUE(replica.mState.Restore(Encode(old)));
  EXPECT_TRUE(
    replica.ReportEvent("a", 1, JobEventKind::kRunning, 7).changes.empty());
  EXPECT_EQ(replica.StateOf("a"), model::JobState::kRunning);
  EXPECT_TRUE(
    replica.mState.Jobs().Find(JobId("a"))->crashes.Crashes().empty());
}

// An instance that applies deltas must reach the same document as one that
// receives it in full. The 300 versions exceed `kMaxDeltas`: for a base whose
// deltas were dropped, there must be no result rather than a partial list.
TEST(ControlState, DeltasReproduceTheCurrentDocument)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  model::PlannedDocument current = replica.mState.Configuration()->planned;
  for (int n = 1; n <= 300; ++n) {
    ASSERT_TRUE(replica.SubmitConfiguration(10 + n, n).accepted);
    auto deltas =
      replica.mState.DeltasSince(ConfigVersion(static_cast<uint64_t>(n)));
    ASSERT_TRUE(deltas);
    ASSERT_EQ(deltas->size(), 1U);
    current = model::ApplyDelta(current, deltas->front()).Value();
  }
  EXPECT_EQ(current, replica.mState.Configuration()->planned);
  EXPECT_FALSE(replica.mState.DeltasSince(ConfigVersion(1)));
}

// Malformed commands, as after corruption on disk or in transit, must neither
// crash a replica nor put a configuration in force.
TEST(ControlState, ArbitraryBytesPutNoConfigurationInForce)
{
  Replica replica;
  Random random(5);
  for (int n = 0; n < 2000; ++n) {
    std::string bytes;
    for (uint64_t size = random.Below(64); size > 0; --size) {
      bytes.push_back(static_cast<char>(random.Below(256)));
    }
    auto result =
      Decode<gen::CommandResult>(replica.mState.Apply(1, bytes)).Value();
    EXPECT_FALSE(result.accepted && replica.mState.Version().Value() > 0);
  }
}

} // namespace
} // namespace limpetwood::control
