// Tests of the components of the router: queue, server table, retry policy,
// keys and slot ledger.

#include "routing/fair_queue.h"
#include "routing/key_owners.h"
#include "routing/key_recorder.h"
#include "routing/key_table.h"
#include "routing/retry_policy.h"
#include "routing/server_table.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace limpetwood::routing {
namespace {

// Grants to each workspace when workspace 0 has ten times as many requests
// queued.
std::map<WorkspaceIndex, int>
GrantsByWorkspace(FairQueue::Options aOptions)
{
  aOptions.limit = 10'000;
  FairQueue queue(aOptions);
  for (uint64_t n = 0; n < 1100; ++n) {
    WorkspaceIndex workspace = n < 1000 ? 0 : 1;
    queue.Push({ RequestId(n), workspace, Priority::kNormal, 1 });
  }
  std::map<WorkspaceIndex, int> grants;
  for (int n = 0; n < 150; ++n) {
    ++grants[queue.Pop()->workspace];
  }
  return grants;
}

// Guards against a workspace that gets more turns by queueing more requests:
// the turns must be equal within a factor of 1.1.
TEST(FairQueue, SharesAreEqualHoweverMuchOneWorkspaceQueues)
{
  auto fair = GrantsByWorkspace({});
  EXPECT_LE(fair[0], fair[1] * 1.1);
  EXPECT_LE(fair[1], fair[0] * 1.1);
  auto unfair = GrantsByWorkspace({ .firstInFirstOut = true });
  EXPECT_GT(unfair[0], unfair[1] * 1.1);
}

// Returns how many of 100 grants go to normal requests while as many urgent
// ones are queued.
int
CountNormalGrants(FairQueue::Options aOptions)
{
  aOptions.limit = 10'000;
  FairQueue queue(aOptions);
  for (uint64_t n = 0; n < 400; ++n) {
    Priority priority = n % 2 == 0 ? Priority::kUrgent : Priority::kNormal;
    queue.Push({ RequestId(n), 0, priority, 1 });
  }
  int normal = 0;
  for (int n = 0; n < 100; ++n) {
    normal += queue.Pop()->priority == Priority::kNormal ? 1 : 0;
  }
  return normal;
}

// Guards against starvation of normal requests by a constant load of urgent
// ones.
TEST(FairQueue, NormalRequestsKeepTheirShare)
{
  EXPECT_EQ(CountNormalGrants({ .normalPriorityShare = 0.2 }), 20);
  EXPECT_EQ(CountNormalGrants({ .urgentAlwaysFirst = true }), 0);
}

// Guards against a full queue that refuses a workspace with fewer requests in
// it than another one.
TEST(FairQueue, FullQueueDisplacesTheLongestWorkspace)
{
  FairQueue queue({ .limit = 4 });
  for (uint64_t n = 0; n < 4; ++n) {
    queue.Push({ RequestId(n), 0, Priority::kNormal, 1 });
  }
  std::optional<RequestId> displaced;
  EXPECT_FALSE(queue.CanAdd(0, displaced));
  EXPECT_TRUE(queue.CanAdd(1, displaced));
  EXPECT_EQ(displaced, RequestId(3));
}

ServerAnnouncement
Announcement(uint32_t aNumber)
{
  return { .server = ServerId("b" + std::to_string(aNumber)),
           .service = ServiceId("s"),
           .zone = ZoneId("z"),
           .address = "127.0.0.1:1",
           .incarnation = Incarnation(5),
           .slots = 8,
           .connections = 60 };
}

// Returns how many of four servers are ejected when every attempt fails.
uint64_t
CountEjectedOfFour(const RouterOptions& aOptions)
{
  ServerTable table(aOptions, ZoneId("z"));
  Random random(1);
  // 2.1 s is after the takeover wait of a home instance, `leaseDuration` of 2
  // s.
  for (Millis now : { Millis(0), Millis(2100) }) {
    for (uint32_t n = 0; n < 4; ++n) {
      table.Announce(Announcement(n), 0, now);
    }
  }
  AttemptOutcome failure{ .result = AttemptResult::kConnectionLost };
  for (int n = 0; n < 200; ++n) {
    auto taken = table.TakeLocalSlot(0, {}, Millis(2100), random);
    if (!taken) {
      break;
    }
    ServerRef server = table.At(*taken).identity;
    table.ReleaseLocalSlot(*taken, server, Millis(2100), failure, Millis(2100));
    for (uint32_t k = 0; k < 4; ++k) {
      // An announcement without work frees the slots of attempts whose end is
      // unknown.
      table.Announce(Announcement(k), 0, Millis(2100));
    }
  }
  return table.Ejections();
}

// Guards against ejecting all servers, and thereby emptying the pool, when
// every server fails.
TEST(ServerTable, EjectionLeavesHalfOfThePool)
{
  EXPECT_EQ(CountEjectedOfFour({}), 2U);
  RouterOptions without;
  without.testOnly.ignoreEjectionLimit = true;
  EXPECT_GT(CountEjectedOfFour(without), 2U);
}

// Guards against a delayed announcement that adds back a server that is leaving
// or has left.
TEST(ServerTable, LateAnnouncementDoesNotReaddALeavingServer)
{
  RouterOptions options;
  ServerTable table(options, ZoneId("z"));
  ServerAnnouncement leaving = Announcement(1);
  table.Announce(leaving, 0, Millis(0));
  leaving.leaving = true;
  table.Announce(leaving, 0, Millis(1000));
  table.Announce(Announcement(1), 0, Millis(2500));
  EXPECT_FALSE(table.HasCandidate(0));
  std::vector<LentLease> ended;
  EXPECT_EQ(table.Expire(Millis(6000), ended).size(), 1U);
  EXPECT_EQ(table.Announce(Announcement(1), 0, Millis(6000)).status,
            AnnounceStatus::kStaleIncarnation);
}

// Guards against a server that is punished after its restart for the requests
// that crashed it.
TEST(ServerTable, RestartedServerIsNotEjected)
{
  RouterOptions options;
  options.testOnly.skipHomeWait = true;
  ServerTable table(options, ZoneId("z"));
  Random random(1);
  table.Announce(Announcement(1), 0, Millis(0));
  table.Announce(Announcement(2), 0, Millis(0));
  AttemptOutcome lost{ .result = AttemptResult::kConnectionLost };
  while (table.Ejections() == 0) {
    auto taken = table.TakeLocalSlot(0, {}, Millis(0), random);
    ASSERT_TRUE(taken);
    ServerRef server = table.At(*taken).identity;
    table.ReleaseLocalSlot(*taken, server, Millis(0), lost, Millis(0));
  }
  for (uint32_t n = 1; n <= 2; ++n) {
    ServerAnnouncement restarted = Announcement(n);
    restarted.incarnation = restarted.incarnation.Next();
    auto index = table.Announce(restarted, 0, Millis(1000)).server;
    EXPECT_FALSE(table.At(*index).health.Ejected());
  }
}

// Guards against retries that multiply the load on failing servers.
TEST(RetryPolicy, BudgetLimitsRetriesToTheirShare)
{
  RetryBudget budget(0.1, kMaxSavedRetries);
  int retries = 0;
  for (int n = 0; n < 1000; ++n) {
    budget.OnRequest();
    retries += budget.TryTake() ? 1 : 0;
  }
  EXPECT_LE(retries, 101);
  EXPECT_GE(retries, 95);
}

// Guards against retrying a non-repeatable request that may have run.
TEST(RetryPolicy, NotRepeatableIsRetriedOnlyWhenNotRun)
{
  FailedAttempt failed;
  failed.deadline = Seconds(1);
  failed.repeatable = false;
  failed.outcome.result = AttemptResult::kTimedOut;
  EXPECT_EQ(CheckRetry(failed, {}, Millis(0)), Reason::kNotRepeatable);
  failed.outcome.result = AttemptResult::kServerRefused;
  EXPECT_EQ(CheckRetry(failed, {}, Millis(0)), Reason::kNone);
}

// Guards against a request that crashes a third server, and against giving up a
// request because of failures that no request causes.
TEST(RetryPolicy, RequestIsGivenUpAfterTwoLostServers)
{
  FailedAttempt failed;
  failed.deadline = Seconds(1);
  failed.outcome.result = AttemptResult::kConnectionLost;
  failed.lostServers = 1;
  EXPECT_EQ(CheckRetry(failed, {}, Millis(0)), Reason::kNone);
  failed.lostServers = 2;
  EXPECT_EQ(CheckRetry(failed, {}, Millis(0)), Reason::kServersLost);
  for (AttemptResult result : { AttemptResult::kNotSent,
                                AttemptResult::kServerRefused,
                                AttemptResult::kTimedOut }) {
    EXPECT_FALSE(MayHaveCrashed({ .result = result }, false));
  }
  AttemptOutcome lost{ .result = AttemptResult::kConnectionLost };
  EXPECT_TRUE(MayHaveCrashed(lost, false));
  EXPECT_FALSE(MayHaveCrashed(lost, true));
}

std::vector<InstanceConfig>
Instances(int aFirst, int aCount)
{
  std::vector<InstanceConfig> all;
  for (int n = aFirst; n < aFirst + aCount; ++n) {
    all.push_back(
      { InstanceId("e" + std::to_string(n)), ZoneId(n % 2 == 0 ? "a" : "b") });
  }
  return all;
}

// Guards against replacing the owners of a key before old records have expired:
// a repeated request would then reach only owners without a record.
TEST(KeyOwners, EarlierSetStaysInForceForTheLifetimeOfAKey)
{
  KeyOwners owners;
  owners.Update(Instances(0, 6), Seconds(600), Millis(0));
  auto before = owners.OwnersOf(IdempotencyKey("k"), ZoneId("a"));
  owners.Update(Instances(6, 6), Seconds(600), Seconds(10));
  auto joint = owners.OwnersOf(IdempotencyKey("k"), ZoneId("a"));
  ASSERT_EQ(joint.size(), 2U);
  EXPECT_EQ(joint[0], before[0]);
  owners.Expire(Seconds(609));
  // The new and the earlier owner set.
  EXPECT_EQ(owners.SetIds().size(), 2U);
  owners.Expire(Seconds(610));
  // The earlier one has expired.
  EXPECT_EQ(owners.SetIds().size(), 1U);
}

// Guards against granting one key to two senders, for every order in which
// their records reach the three owners.
TEST(KeyTable, OneOfTwoSendersAtMostIsGranted)
{
  RouterOptions options;
  options.freshDeployment = true;
  std::vector<InstanceId> ids{ InstanceId("x"),
                               InstanceId("y"),
                               InstanceId("z") };
  for (uint32_t order = 0; order < 64; ++order) {
    std::vector<KeyTable> tables(3, KeyTable(options));
    std::vector<KeyRecorder> senders;
    for (uint64_t n = 0; n < 2; ++n) {
      senders.emplace_back(IdempotencyKey("k"),
                           KeyHolder{ ids[n], n },
                           std::vector<std::vector<InstanceId>>{ ids });
    }
    for (uint32_t round = 0; round < 2; ++round) {
      for (uint32_t owner = 0; owner < 3; ++owner) {
        uint32_t first = (order >> owner) & 1U;
        KeyRecorder& sender = senders[round == 0 ? first : 1 - first];
        KeyRecord message{ IdempotencyKey("k"), sender.Holder(), { 1 } };
        sender.OnReply(ids[owner], tables[owner].Record(message, { 1 }, {}));
      }
    }
    int granted = 0;
    for (const KeyRecorder& it : senders) {
      granted += it.CurrentState() == KeyRecorder::State::kGranted ? 1 : 0;
    }
    EXPECT_EQ(granted, 1);
  }
}

// Guards against a restarted owner that grants a key although its earlier
// records are lost.
TEST(KeyTable, RestartedOwnerAbstainsForTheLifetime)
{
  RouterOptions options;
  KeyTable table(options);
  table.Tick(Millis(0));
  KeyRecord message{ IdempotencyKey("k"), { InstanceId("x"), 1 }, { 1 } };
  EXPECT_EQ(table.Record(message, { 1 }, Millis(1)).status,
            KeyStatus::kAbstain);
  message.key = IdempotencyKey("later");
  EXPECT_EQ(table.Record(message, { 1 }, options.keyLifetime).status,
            KeyStatus::kRecorded);
}

// Guards against releasing the slot of a timed-out attempt while the server
// still reports the work.
TEST(SlotLedger, UncertainAttemptKeepsItsSlotUntilReportsAreClear)
{
  SlotLedger ledger(/*aSlots=*/1, /*aBusy=*/0);
  ledger.TakeLocalSlot(Millis(0));
  ledger.ReleaseLocalSlot(Millis(0), false);
  EXPECT_EQ(ledger.FreeSlots(), 0U);
  ledger.Report(
    /*aSlots=*/1, /*aBusy=*/1, /*aTakeoverPending=*/false, Millis(500));
  EXPECT_EQ(ledger.FreeSlots(), 0U);
  ledger.Report(1, 1, false, Millis(1500));
  EXPECT_EQ(ledger.FreeSlots(), 0U);
  ledger.Report(1, 0, false, Millis(2500));
  EXPECT_EQ(ledger.FreeSlots(), 1U);
}

// Guards against releasing work of the former home instance right after the
// takeover when the clock is far from zero. Found by seed 403 of the
// simulation.
TEST(SlotLedger, SlotsOfAFormerHomesWorkStayOccupiedAfterTakeover)
{
  SlotLedger ledger(/*aSlots=*/3, /*aBusy=*/1);
  Millis now = Seconds(100);
  ledger.Report(/*aSlots=*/3, /*aBusy=*/1, /*aTakeoverPending=*/true, now);
  ledger.TakeLocalSlot(now);
  ledger.ReleaseLocalSlot(now, false);
  ledger.Report(3, 2, false, now + Seconds(1));
  EXPECT_EQ(ledger.FreeSlots(), 1U);
  ledger.Report(3, 2, false, now + Seconds(2));
  EXPECT_EQ(ledger.FreeSlots(), 1U);
}

} // namespace
} // namespace limpetwood::routing
