// Tests the replicated control state: concurrent configuration changes, resent
// commands, superseded authorities, evacuated zones, snapshots and malformed
// commands.

#include "control/query.h"
#include "control/state.h"
#include "model/delta.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

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

  gen::CommandResult ReportExecutedStart(const char* aId, int32_t aAttempt)
  {
    gen::JobEvent event;
    event.job = aId;
    event.attempt = aAttempt;
    event.kind = static_cast<int32_t>(JobEventKind::kStarting);
    event.__set_executed(true);
    gen::JobEvents events;
    events.zone = "sogn";
    events.epoch = 7;
    events.events = { event };
    gen::Command command;
    command.__set_jobEvents(events);
    return Apply(command);
  }

  gen::CommandResult Evacuate(const char* aKey,
                              const char* aZone = "sogn",
                              const char* aBy = "ada",
                              int64_t aAtMs = 1000)
  {
    gen::Command command;
    command.__set_evacuateZone(MakeOrder(aKey, aZone, aBy, aAtMs));
    return Apply(command);
  }

  gen::CommandResult RestoreZone(const char* aKey, const char* aZone = "sogn")
  {
    gen::Command command;
    command.__set_restoreZone(MakeOrder(aKey, aZone, "ada", 2000));
    return Apply(command);
  }

  // An order of a caller that knows of the orders up to a log index.
  gen::CommandResult OrderKnowing(uint64_t aKnownIndex,
                                  bool aEvacuate,
                                  const char* aKey,
                                  const char* aZone = "sogn")
  {
    gen::ZoneOrder order = MakeOrder(aKey, aZone, "ada", 3000);
    order.__set_knownIndex(static_cast<int64_t>(aKnownIndex));
    gen::Command command;
    if (aEvacuate) {
      command.__set_evacuateZone(order);
    } else {
      command.__set_restoreZone(order);
    }
    return Apply(command);
  }

  static gen::ZoneOrder MakeOrder(const char* aKey,
                                  const char* aZone,
                                  const char* aBy,
                                  int64_t aAtMs)
  {
    gen::ZoneOrder order;
    order.zone = aZone;
    order.by = aBy;
    order.key = aKey;
    order.orderedAtMs = aAtMs;
    return order;
  }

  bool IsEvacuated(const char* aZone = "sogn") const
  {
    return mState.EvacuatedZones().contains(ZoneId(aZone));
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

// The operator's client resends an order until it is acknowledged. A copy that
// arrives after the opposite order must not undo that one, and it must get the
// result of the first copy.
TEST(ZoneEvacuation, LateCopyOfAnOrderDoesNotUndoTheNextOne)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  EXPECT_FALSE(replica.Evacuate("k1").repeated);
  EXPECT_TRUE(replica.RestoreZone("k2").accepted);
  gen::CommandResult late = replica.Evacuate("k1");
  EXPECT_TRUE(late.accepted);
  EXPECT_TRUE(late.repeated);
  EXPECT_FALSE(replica.IsEvacuated());
  EXPECT_TRUE(replica.Evacuate("k3").accepted);
  EXPECT_TRUE(replica.RestoreZone("k2").repeated);
  EXPECT_TRUE(replica.IsEvacuated());
}

// Guards against an order that was given before the zone's latest one and is
// executed after it, because it waited and no copy of it was executed.
TEST(ZoneEvacuation, OrderGivenBeforeTheLatestIsRefused)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  for (bool evacuate : { true, false }) {
    std::string key = evacuate ? "e" : "r";
    uint64_t before = replica.mState.ZoneOrderIndex();
    EXPECT_TRUE(replica.OrderKnowing(before, evacuate, key.c_str()).accepted);
    uint64_t first = replica.mState.ZoneOrderIndex();
    // Changes nothing, and the order that it confirms holds as well.
    EXPECT_TRUE(
      replica.OrderKnowing(first, evacuate, (key + "2").c_str()).accepted);
    uint64_t second = replica.mState.ZoneOrderIndex();
    EXPECT_GT(second, first);
    for (uint64_t known : { before, first }) {
      gen::CommandResult late =
        replica.OrderKnowing(known, !evacuate, (key + "late").c_str());
      EXPECT_FALSE(late.accepted);
      EXPECT_EQ(late.reason, "order_may_be_outdated");
      EXPECT_EQ(static_cast<uint64_t>(late.zoneOrderIndex), second);
      EXPECT_EQ(replica.IsEvacuated(), evacuate);
    }
  }
  // A refused order can be sent again with the same key.
  EXPECT_TRUE(
    replica.OrderKnowing(replica.mState.ZoneOrderIndex(), true, "rlate")
      .accepted);
  EXPECT_TRUE(replica.IsEvacuated());
}

// Guards against orders about one zone that refuse those about another.
TEST(ZoneEvacuation, OrdersOfOtherZonesDoNotCount)
{
  Replica replica;
  gen::SubmitConfiguration submit;
  submit.document = Document(10);
  submit.document.replace(submit.document.find(R"(["sogn"])"),
                          std::string(R"(["sogn"])").size(),
                          R"(["sogn","voss"])");
  gen::Command command;
  command.__set_submitConfiguration(submit);
  ASSERT_TRUE(replica.Apply(command).accepted);
  EXPECT_TRUE(replica.OrderKnowing(0, true, "k1", "sogn").accepted);
  EXPECT_TRUE(replica.OrderKnowing(0, true, "k2", "voss").accepted);
}

// Guards against a replica that accepts an outdated order because its state
// comes from a snapshot.
TEST(ZoneEvacuation, LatestOrderSurvivesASnapshot)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  EXPECT_TRUE(replica.Evacuate("k1").accepted);
  EXPECT_TRUE(replica.RestoreZone("k2").accepted);
  Replica restored;
  ASSERT_TRUE(restored.mState.Restore(replica.mState.TakeSnapshot()));
  restored.mIndex = replica.mIndex;
  EXPECT_EQ(restored.mState.ZoneOrderIndex(), replica.mState.ZoneOrderIndex());
  EXPECT_FALSE(restored.OrderKnowing(0, true, "k3").accepted);
  EXPECT_FALSE(restored.IsEvacuated());
}

// A key that was used for one order must not make another order, or the same
// order for another zone, look like a copy that needs no effect.
TEST(ZoneEvacuation, KeyOfAnotherOrderIsNoCopy)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  EXPECT_FALSE(replica.Evacuate("k").repeated);
  EXPECT_FALSE(replica.RestoreZone("k").repeated);
  EXPECT_FALSE(replica.IsEvacuated());
}

// An order with another key for a zone that is already evacuated succeeds, and
// the operators still see when and by whom the zone was first evacuated.
TEST(ZoneEvacuation, SecondOrderKeepsTheFirstTimeAndName)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.Evacuate("k1", "sogn", "ada", 1000);
  uint64_t index = replica.mState.EvacuationIndex();
  EXPECT_TRUE(replica.Evacuate("k2", "sogn", "ben", 5000).accepted);
  const ZoneEvacuation& zone =
    replica.mState.EvacuatedZones().at(ZoneId("sogn"));
  EXPECT_EQ(zone.by, "ada");
  EXPECT_EQ(zone.since, Millis(1000));
  EXPECT_EQ(replica.mState.EvacuationIndex(), index);
}

// A mistyped zone must be refused and not be acknowledged without effect.
TEST(ZoneEvacuation, UnknownZoneIsRefused)
{
  Replica replica;
  EXPECT_EQ(replica.Evacuate("k0").reason, "unknown_zone");
  replica.SubmitConfiguration(10, 0);
  EXPECT_EQ(replica.Evacuate("k1", "sogm").reason, "unknown_zone");
  EXPECT_EQ(replica.RestoreZone("k2", "sogm").reason, "unknown_zone");
  // A refused order is not stored, so that it succeeds once the zone is known.
  EXPECT_TRUE(replica.Evacuate("k0").accepted);
}

// A configuration replaces the previous one as a whole and does not mention
// evacuations, so that it must not end one.
TEST(ZoneEvacuation, SurvivesANewConfiguration)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.Evacuate("k1");
  ASSERT_TRUE(replica.SubmitConfiguration(20, 1).accepted);
  EXPECT_TRUE(replica.IsEvacuated());
}

// A replica that is restored from a snapshot, for example after it lost its
// disk, must know the evacuation, its index and the stored results; otherwise a
// change of leader would revert an acknowledged order.
TEST(ZoneEvacuation, SurvivesASnapshot)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.Evacuate("k1");
  Replica restored;
  ASSERT_TRUE(restored.mState.Restore(replica.mState.TakeSnapshot()));
  ASSERT_TRUE(restored.IsEvacuated());
  const ZoneEvacuation& zone =
    restored.mState.EvacuatedZones().at(ZoneId("sogn"));
  EXPECT_EQ(zone.by, "ada");
  EXPECT_EQ(zone.since, Millis(1000));
  EXPECT_EQ(restored.mState.EvacuationIndex(),
            replica.mState.EvacuationIndex());
  restored.mIndex = replica.mIndex;
  EXPECT_TRUE(restored.Evacuate("k1").repeated);
  EXPECT_TRUE(restored.RestoreZone("k2").accepted);
  EXPECT_GT(restored.mState.EvacuationIndex(),
            replica.mState.EvacuationIndex());
}

// A leader may choose a zone just before the evacuation of the zone is
// committed. The assignment that is committed afterwards must have no effect.
TEST(ZoneEvacuation, LateAssignmentHasNoEffect)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.SubmitJob("a", "");
  replica.Evacuate("k1");
  replica.AssignJob("a");
  EXPECT_TRUE(replica.mState.Jobs().Find(JobId("a"))->zone.empty());
  replica.RestoreZone("k2");
  replica.AssignJob("a");
  EXPECT_EQ(replica.mState.Jobs().Find(JobId("a"))->zone, ZoneId("sogn"));
}

// An authority that has not heard of the evacuation must not start a gang. The
// job stays assigned until the authority returns it. If it were unassigned at
// once, a cut-off authority that executes the start could run it a second time.
TEST(ZoneEvacuation, StartIsRefusedUntilTheZoneIsRestored)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.SubmitJob("a", "");
  replica.AssignJob("a");
  replica.Evacuate("k1");
  gen::CommandResult refused =
    replica.ReportEvent("a", 1, JobEventKind::kStarting, 7);
  EXPECT_EQ(refused.reason, "zone_evacuated");
  EXPECT_EQ(refused.changes, std::vector<std::string>{ "a" });
  EXPECT_EQ(replica.StateOf("a"), model::JobState::kQueued);
  EXPECT_EQ(replica.mState.Jobs().Find(JobId("a"))->zone, ZoneId("sogn"));
  replica.RestoreZone("k2");
  EXPECT_TRUE(
    replica.ReportEvent("a", 1, JobEventKind::kStarting, 7).changes.empty());
}

// A job that was started while the zone was cut off runs, so that its start and
// success must be recorded. A job that ran before the order continues as well.
TEST(ZoneEvacuation, ActiveRunsContinue)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.SubmitJob("a", "");
  replica.SubmitJob("b", "");
  replica.AssignJob("a");
  replica.AssignJob("b");
  replica.ReportEvent("a", 1, JobEventKind::kStarting, 7);
  replica.Evacuate("k1");
  EXPECT_TRUE(
    replica.ReportEvent("a", 1, JobEventKind::kRunning, 7).changes.empty());
  EXPECT_TRUE(replica.ReportExecutedStart("b", 1).changes.empty());
  EXPECT_EQ(replica.StateOf("b"), model::JobState::kStarting);
  replica.ReportEvent("a", 1, JobEventKind::kSucceeded, 7);
  EXPECT_EQ(replica.StateOf("a"), model::JobState::kSucceeded);
}

// Operators need to see who evacuated a zone, since when, and how many runs
// remain in it.
TEST(ZoneEvacuation, ZonesAreListed)
{
  Replica replica;
  replica.SubmitConfiguration(10, 0);
  replica.SubmitJob("a", "");
  replica.SubmitJob("b", "");
  replica.AssignJob("a");
  replica.AssignJob("b");
  replica.ReportEvent("a", 1, JobEventKind::kStarting, 7);
  membership::InstanceTable instances(1);
  std::vector<model::DeclaredInstance> declared;
  auto list = [&] {
    QuerySources sources{
      replica.mState, instances, declared, InstanceId(), 0, {}, {}
    };
    QueryAnswer answer = AnswerQuery("/v1/zones", sources, Millis(0));
    EXPECT_EQ(answer.status, 200);
    return nlohmann::json::parse(answer.body);
  };
  EXPECT_EQ(list(), nlohmann::json::parse(R"({"zones":[
    {"zone":"sogn","state":"in_service","remainingRuns":1}]})"));
  replica.Evacuate("k1");
  EXPECT_EQ(list(), nlohmann::json::parse(R"({"zones":[
    {"zone":"sogn","state":"evacuated","remainingRuns":1,"sinceMs":1000,
     "by":"ada"}]})"));
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
