// Tests that jobs are neither lost nor run twice when zone events arrive late,
// repeatedly or from the wrong zone.

#include "control/job_table.h"

#include <gtest/gtest.h>

namespace limpetwood::control {
namespace {

using model::JobState;

JobRecord
QueuedJob(const char* aId, const char* aKey = "")
{
  JobRecord record;
  record.id = JobId(aId);
  record.key = IdempotencyKey(aKey);
  record.spec.workspace = WorkspaceId("surveys");
  return record;
}

JobEvent
MakeEvent(const char* aId, uint32_t aAttempt, JobEventKind aKind)
{
  JobEvent event;
  event.job = JobId(aId);
  event.attempt = Attempt(aAttempt);
  event.kind = aKind;
  return event;
}

const ZoneId kSogn("sogn");
const ZoneId kHardanger("hardanger");

// A zone that a job is not assigned to must not change the job's state.
TEST(JobTable, ReportOfAnotherZoneIsIgnored)
{
  JobTable table;
  table.Add(QueuedJob("j"));
  ASSERT_TRUE(table.Assign(JobId("j"), kSogn, 5));
  EXPECT_FALSE(table.ApplyEvent(
    kHardanger, MakeEvent("j", 1, JobEventKind::kSucceeded), 6));
  EXPECT_EQ(table.Find(JobId("j"))->state, JobState::kQueued);
}

// A job that is assigned to two zones would run twice.
TEST(JobTable, SecondAssignmentIsRefused)
{
  JobTable table;
  table.Add(QueuedJob("j"));
  ASSERT_TRUE(table.Assign(JobId("j"), kSogn, 5));
  EXPECT_FALSE(table.Assign(JobId("j"), kHardanger, 6));
  EXPECT_EQ(table.Find(JobId("j"))->zone, kSogn);
}

// A delayed event of the first attempt must not end the second attempt.
TEST(JobTable, ReportOfEarlierAttemptIsIgnored)
{
  JobTable table;
  table.Add(QueuedJob("j"));
  table.Assign(JobId("j"), kSogn, 5);
  EXPECT_TRUE(
    table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kStarting), 6));
  EXPECT_TRUE(
    table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kRequeued), 7));
  EXPECT_TRUE(
    table.ApplyEvent(kSogn, MakeEvent("j", 2, JobEventKind::kStarting), 8));
  EXPECT_FALSE(
    table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kFailed), 9));
  EXPECT_EQ(table.Find(JobId("j"))->state, JobState::kStarting);
}

// A repeated start event must not set a running job back to starting.
TEST(JobTable, RepeatedStartIsIgnored)
{
  JobTable table;
  table.Add(QueuedJob("j"));
  table.Assign(JobId("j"), kSogn, 5);
  EXPECT_TRUE(
    table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kStarting), 6));
  EXPECT_TRUE(
    table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kRunning), 7));
  EXPECT_FALSE(
    table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kStarting), 8));
  EXPECT_EQ(table.Find(JobId("j"))->state, JobState::kRunning);
}

// Jobs of a fenced zone must become assignable again, and late events of that
// zone must be ignored; otherwise jobs would be lost or run in two zones.
TEST(JobTable, JobsOfFencedZoneBecomeAssignable)
{
  JobTable table;
  table.Add(QueuedJob("a"));
  table.Add(QueuedJob("b"));
  table.Assign(JobId("a"), kSogn, 5);
  table.Assign(JobId("b"), kSogn, 5);
  table.ApplyEvent(kSogn, MakeEvent("a", 1, JobEventKind::kStarting), 6);
  table.Cancel(JobId("b"), 7);
  EXPECT_EQ(table.UnassignJobsOf(kSogn), 2U);
  EXPECT_EQ(table.Unassigned().size(), 1U);
  EXPECT_EQ(table.Find(JobId("b"))->state, JobState::kCancelled);
  EXPECT_FALSE(
    table.ApplyEvent(kSogn, MakeEvent("a", 1, JobEventKind::kSucceeded), 8));
  EXPECT_TRUE(table.Assign(JobId("a"), kHardanger, 9));
  EXPECT_EQ(table.AssignedAccelerators(kSogn), 0U);
}

// A restarted authority must receive every order again, and an up-to-date one
// none.
TEST(JobTable, OrdersAreSelectedByIndex)
{
  JobTable table;
  table.Add(QueuedJob("a"));
  table.Add(QueuedJob("b"));
  table.Assign(JobId("a"), kSogn, 5);
  table.Assign(JobId("b"), kSogn, 6);
  EXPECT_EQ(table.OrdersFor(kSogn, 0, 10).size(), 2U);
  EXPECT_EQ(table.OrdersFor(kSogn, 5, 10).size(), 1U);
  EXPECT_TRUE(table.OrdersFor(kSogn, 6, 10).empty());
  table.Cancel(JobId("a"), 8);
  ASSERT_EQ(table.OrdersFor(kSogn, 6, 10).size(), 1U);
  EXPECT_TRUE(table.OrdersFor(kSogn, 6, 10)[0]->cancelRequested);
}

// A resent or late crash must not count twice, change the job's state, or bring
// back crashes that a sound run has cleared.
TEST(JobTable, CrashesAreRecordedOnceAndClearedBySoundRun)
{
  JobTable table;
  table.Add(QueuedJob("j"));
  table.Assign(JobId("j"), kSogn, 5);
  table.ApplyEvent(kSogn, MakeEvent("j", 1, JobEventKind::kStarting), 6);
  JobEvent crash = MakeEvent("j", 1, JobEventKind::kWorkerCrashed);
  EXPECT_FALSE(table.ApplyEvent(kSogn, crash, 7));
  crash.crash = { Attempt(1), MemberIndex(0), WorkerId("w"), true, false };
  EXPECT_TRUE(table.ApplyEvent(kSogn, crash, 7));
  EXPECT_FALSE(table.ApplyEvent(kSogn, crash, 8));
  EXPECT_EQ(table.Find(JobId("j"))->state, JobState::kStarting);
  EXPECT_EQ(table.Find(JobId("j"))->crashes.Crashes().size(), 1U);
  table.UnassignJobsOf(kSogn);
  table.Assign(JobId("j"), kHardanger, 9);
  EXPECT_EQ(table.Find(JobId("j"))->crashes.Crashes().size(), 1U);
  EXPECT_TRUE(
    table.ApplyEvent(kHardanger, MakeEvent("j", 2, JobEventKind::kSound), 10));
  crash.attempt = Attempt(2);
  EXPECT_FALSE(table.ApplyEvent(kHardanger, crash, 11));
  EXPECT_TRUE(table.Find(JobId("j"))->crashes.Crashes().empty());
}

// The limit must not split the orders of one log entry: the authority
// acknowledges a log index, so the remaining orders would never be sent.
TEST(JobTable, OrdersOfOneIndexAreNotSplit)
{
  JobTable table;
  for (const char* it : { "a", "b", "c" }) {
    table.Add(QueuedJob(it));
    table.Assign(JobId(it), kSogn, 5);
  }
  EXPECT_EQ(table.OrdersFor(kSogn, 0, 1).size(), 3U);
}

} // namespace
} // namespace limpetwood::control
