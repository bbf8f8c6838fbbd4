// Tests the assignment of jobs to zones: no unreachable or too small zones,
// preference for pinned guarantees, bounded backlogs.

#include "control/assigner.h"

#include <gtest/gtest.h>

namespace limpetwood::control {
namespace {

model::PlannedDocument
DocumentWithTwoZones()
{
  model::PlannedDocument planned;
  planned.document.zones = { ZoneId("a"), ZoneId("b") };
  for (const char* zone : { "a", "b" }) {
    model::Rack rack;
    rack.id = RackId(std::string(zone) + "1");
    rack.zone = ZoneId(zone);
    rack.workers = zone[0] == 'a' ? 8 : 2;
    rack.acceleratorsPerWorker = Accelerators(8);
    rack.coresPerWorker = 32;
    rack.memoryMbPerWorker = 100'000;
    planned.document.racks.push_back(rack);
  }
  planned.plan.shapes.push_back(
    { WorkspaceId("w"),
      { Accelerators(8), model::TopologyScope::kWorker },
      ZoneId("b") });
  return planned;
}

membership::InstanceStatus
AuthorityStatus(const char* aZone)
{
  membership::InstanceStatus status;
  status.instance = InstanceId(std::string("i-") + aZone);
  status.zone = ZoneId(aZone);
  status.authority = Epoch(1);
  status.liveAccelerators = aZone[0] == 'a' ? 64 : 16;
  return status;
}

JobRecord
MakeJob(const char* aId, uint32_t aMembers, const char* aWorkspace = "x")
{
  JobRecord record;
  record.id = JobId(aId);
  record.spec.workspace = WorkspaceId(aWorkspace);
  record.spec.members = aMembers;
  record.spec.acceleratorsPerMember = Accelerators(8);
  return record;
}

// A job assigned to a zone without a live authority would wait until a network
// partition heals. The large job fits only zone a, which has no authority. One
// minute after its last heartbeat, zone b has no live authority either.
TEST(Assigner, ZoneWithoutAuthorityGetsNothing)
{
  Assigner assigner(DocumentWithTwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(AuthorityStatus("b"), Millis(0));
  JobTable jobs;
  jobs.Add(MakeJob("large", 8));
  jobs.Add(MakeJob("small", 1));
  auto assigned = assigner.Assign(jobs, instances, Millis(0));
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].job, JobId("small"));
  EXPECT_EQ(assigned[0].zone, ZoneId("b"));
  EXPECT_TRUE(assigner.Assign(jobs, instances, Minutes(1)).empty());
}

// A zone whose declared workers are not live must not receive jobs.
TEST(Assigner, ZoneWithoutLiveWorkersGetsNothing)
{
  Assigner assigner(DocumentWithTwoZones());
  membership::InstanceTable instances(2);
  membership::InstanceStatus empty = AuthorityStatus("a");
  empty.liveAccelerators = 0;
  instances.OnHeartbeat(empty, Millis(0));
  JobTable jobs;
  jobs.Add(MakeJob("j", 1));
  EXPECT_TRUE(assigner.Assign(jobs, instances, Millis(0)).empty());
}

// A job assigned elsewhere than where its workspace's guarantee is pinned could
// not use the guarantee.
TEST(Assigner, PinnedZoneIsPreferred)
{
  Assigner assigner(DocumentWithTwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(AuthorityStatus("a"), Millis(0));
  instances.OnHeartbeat(AuthorityStatus("b"), Millis(0));
  JobTable jobs;
  jobs.Add(MakeJob("j", 1, "w"));
  auto assigned = assigner.Assign(jobs, instances, Millis(0));
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].zone, ZoneId("b"));
}

// A job that is assigned to an evacuated zone would wait there until the zone
// is restored. Its workspace's guarantee is pinned to zone b, which must not
// count while the zone is evacuated. The large job fits only zone a and waits.
TEST(Assigner, EvacuatedZoneGetsNothing)
{
  Assigner assigner(DocumentWithTwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(AuthorityStatus("a"), Millis(0));
  instances.OnHeartbeat(AuthorityStatus("b"), Millis(0));
  JobTable jobs;
  jobs.Add(MakeJob("j", 1, "w"));
  auto assigned = assigner.Assign(jobs, instances, Millis(0), { ZoneId("b") });
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].zone, ZoneId("a"));
  jobs.Add(MakeJob("large", 8));
  assigned = assigner.Assign(jobs, instances, Millis(0), { ZoneId("a") });
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].job, JobId("j"));
  EXPECT_TRUE(
    assigner.Assign(jobs, instances, Millis(0), { ZoneId("a"), ZoneId("b") })
      .empty());
}

// A burst of jobs must not fill the queue of one zone while others are empty:
// each zone receives work up to its backlog limit.
TEST(Assigner, BacklogIsBounded)
{
  Assigner assigner(DocumentWithTwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(AuthorityStatus("a"), Millis(0));
  instances.OnHeartbeat(AuthorityStatus("b"), Millis(0));
  JobTable jobs;
  for (int n = 0; n < 100; ++n) {
    jobs.Add(MakeJob(("j" + std::to_string(n)).c_str(), 1));
  }
  std::map<ZoneId, int> count;
  for (const Assignment& it : assigner.Assign(jobs, instances, Millis(0))) {
    ++count[it.zone];
  }
  // Live accelerators (64 and 16) times `kMaxBacklogRatio`, divided by the 8
  // accelerators of each job.
  EXPECT_EQ(count[ZoneId("a")], 16);
  EXPECT_EQ(count[ZoneId("b")], 4);
}

} // namespace
} // namespace limpetwood::control
