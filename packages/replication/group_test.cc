// Tests of whole groups in the simulation, and of one replica on real files.

#include "replication/group.h"

#include "base/error.h"
#include "replication/testing/cluster.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace limpetwood::replication::testing {
namespace {

// Guards against a leader with a full disk that keeps leading although it
// cannot commit, or that does not report the disk error.
TEST(Group, LeaderWithAFullDiskStepsDown)
{
  Cluster cluster({ .seed = 3 });
  for (size_t i = 0; i < cluster.Size(); ++i) {
    cluster.Start(i);
  }
  ASSERT_TRUE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); },
                                   Seconds(30)));
  size_t leader = *cluster.Leader();
  MemoryDisk& disk = cluster.At(leader).disk;
  // Less than one entry.
  disk.SetCapacity(disk.UsedBytes() + 10);
  cluster.Propose(leader);
  EXPECT_EQ(cluster.At(leader).group->Status().diskError, Errc::kNoSpace);
  EXPECT_FALSE(cluster.At(leader).group->IsLeader());
  EXPECT_EQ(cluster.OpenProposals(), 0U);
  ASSERT_TRUE(cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); },
                                   Seconds(10)));
  EXPECT_NE(*cluster.Leader(), leader);
  EXPECT_EQ(cluster.Checks().Violation(), "");
}

// Guards against the formation of a second group when the coordinator loses its
// disk while the first group forms, or just after its first commits.
TEST(Group, FormsOnceWhenTheCoordinatorLosesItsDisk)
{
  uint64_t served = 0;
  for (uint64_t seed = 1; seed <= 300; ++seed) {
    Cluster cluster(
      { .seed = seed, .network = { .loss = 0.1, .maxDelay = Millis(400) } });
    for (size_t i = 0; i < cluster.Size(); ++i) {
      cluster.Start(i);
    }
    cluster.RunFor(cluster.Randomness().Between(Millis(10), Millis(6000)));
    if (auto leader = cluster.Leader()) {
      cluster.Propose(*leader);
    }
    cluster.RunFor(cluster.Randomness().Between(Millis(1), Millis(1500)));
    cluster.LoseDisk(0);
    cluster.RunFor(cluster.Randomness().Between(Millis(1), Millis(1500)));
    cluster.Start(0);
    for (int i = 0; i < 60; ++i) {
      cluster.RunFor(Millis(500));
      cluster.RepairMembership(3);
      if (auto leader = cluster.Leader()) {
        cluster.Propose(*leader);
      }
    }
    ASSERT_EQ(cluster.Checks().Violation(), "") << seed;
    served += cluster.AnsweredCount() > 0 ? 1 : 0;
  }
  // A few runs may end without a group, if the disk is lost between two
  // proposals of a membership.
  EXPECT_GT(served, 270U);
}

// Guards against entries that are lost at a restart on the real file system,
// also if one of the two copies of the state file is missing.
TEST(Group, KeepsEntriesOnRealFiles)
{
  std::string folder =
    (std::filesystem::temp_directory_path() / "replication-group-test-")
      .string() +
    std::to_string(::testing::UnitTest::GetInstance()->random_seed()) +
    std::to_string(WallNow().Count());
  Millis now{ 1000 };
  auto run = [&](int aProposals, uint64_t aMinAppliedIndex) {
    Checker checker;
    HashStateMachine machine(checker, "a");
    GroupOptions options{ .self = InstanceId("a"),
                          .folder = folder,
                          .voters = { InstanceId("a") },
                          .snapshotEntries = 50 };
    auto group =
      Group::Open(options, machine, [](const InstanceId&, std::string) {});
    ASSERT_TRUE(group.Ok());
    for (int i = 0; i < 200 && !group.Value()->IsLeader(); ++i) {
      now += Millis(100);
      group.Value()->Tick(now);
    }
    EXPECT_GE(group.Value()->AppliedIndex(), aMinAppliedIndex);
    int answered = 0;
    for (int i = 0; i < aProposals; ++i) {
      group.Value()->Propose(
        "x" + std::to_string(i), now, [&](const ProposeOutcome& aOutcome) {
          answered += aOutcome.verdict == Verdict::kAnswered ? 1 : 0;
        });
      group.Value()->Tick(now);
    }
    EXPECT_EQ(answered, aProposals);
  };
  run(/*aProposals=*/30, /*aMinAppliedIndex=*/1);
  std::filesystem::remove(folder + "/state-1");
  run(/*aProposals=*/0, /*aMinAppliedIndex=*/31);
  std::filesystem::remove_all(folder);
}

} // namespace
} // namespace limpetwood::replication::testing
