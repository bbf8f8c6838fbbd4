// Guards the choice of zones: never a zone that is cut off or too small.

#include "control/assigner.h"

#include <gtest/gtest.h>

namespace limpetwood::control {
namespace {

model::PlannedDocument
TwoZones()
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
Authority(const char* aZone)
{
  membership::InstanceStatus status;
  status.instance = InstanceId(std::string("i-") + aZone);
  status.zone = ZoneId(aZone);
  status.authority = Epoch(1);
  status.liveAccelerators = aZone[0] == 'a' ? 64 : 16;
  return status;
}

JobRecord
Job(const char* aId, uint32_t aMembers, const char* aWorkspace = "x")
{
  JobRecord record;
  record.id = JobId(aId);
  record.spec.workspace = WorkspaceId(aWorkspace);
  record.spec.members = aMembers;
  record.spec.acceleratorsPerMember = Accelerators(8);
  return record;
}

// A job sent to a zone without an authority would wait for the partition to
// heal.
TEST(Assigner, ZoneWithoutAuthorityGetsNothing)
{
  Assigner assigner(TwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(Authority("b"), Millis(0));
  JobTable jobs;
  jobs.Add(Job("large", 8));
  jobs.Add(Job("small", 1));
  auto assigned = assigner.Assign(jobs, instances, Millis(0));
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].job, JobId("small"));
  EXPECT_EQ(assigned[0].zone, ZoneId("b"));
  EXPECT_TRUE(assigner.Assign(jobs, instances, Minutes(1)).empty());
}

// Declared workers that are not there cannot run anything.
TEST(Assigner, ZoneWithoutLiveWorkersGetsNothing)
{
  Assigner assigner(TwoZones());
  membership::InstanceTable instances(2);
  membership::InstanceStatus empty = Authority("a");
  empty.liveAccelerators = 0;
  instances.OnHeartbeat(empty, Millis(0));
  JobTable jobs;
  jobs.Add(Job("j", 1));
  EXPECT_TRUE(assigner.Assign(jobs, instances, Millis(0)).empty());
}

// A workspace reclaims its guarantee only where it is pinned.
TEST(Assigner, PinnedZoneIsPreferred)
{
  Assigner assigner(TwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(Authority("a"), Millis(0));
  instances.OnHeartbeat(Authority("b"), Millis(0));
  JobTable jobs;
  jobs.Add(Job("j", 1, "w"));
  auto assigned = assigner.Assign(jobs, instances, Millis(0));
  ASSERT_EQ(assigned.size(), 1U);
  EXPECT_EQ(assigned[0].zone, ZoneId("b"));
}

// A burst must not fill one zone's queue while others stay empty.
TEST(Assigner, BacklogIsBounded)
{
  Assigner assigner(TwoZones());
  membership::InstanceTable instances(2);
  instances.OnHeartbeat(Authority("a"), Millis(0));
  instances.OnHeartbeat(Authority("b"), Millis(0));
  JobTable jobs;
  for (int n = 0; n < 100; ++n) {
    jobs.Add(Job(("j" + std::to_string(n)).c_str(), 1));
  }
  std::map<ZoneId, int> count;
  for (const Assignment& it : assigner.Assign(jobs, instances, Millis(0))) {
    ++count[it.zone];
  }
  EXPECT_EQ(count[ZoneId("a")], 16);
  EXPECT_EQ(count[ZoneId("b")], 4);
}

} // namespace
} // namespace limpetwood::control
