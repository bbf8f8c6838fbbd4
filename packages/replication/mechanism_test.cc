// Disables one safety mechanism at a time, and guards against checks or
// schedules that do not detect its absence.

#include "replication/testing/schedule.h"

#include <gtest/gtest.h>

#include <iostream>

namespace limpetwood::replication::testing {
namespace {

// Returns how many of the seeds from 1 to `aSeeds` violate one of the
// properties, and prints the violations of all properties.
uint64_t
CountViolations(const TestFaults& aFaults,
                const std::vector<std::string>& aProperties,
                uint64_t aSeeds)
{
  std::map<std::string, uint64_t> found;
  uint64_t count = 0;
  for (uint64_t seed = 1; seed <= aSeeds; ++seed) {
    std::string violation = RunSchedule(seed, aFaults, false).violation;
    std::string property = violation.substr(0, violation.find(':'));
    if (!property.empty()) {
      ++found[property];
    }
    count += std::count(aProperties.begin(), aProperties.end(), property);
  }
  for (const auto& [property, n] : found) {
    std::cout << property << ": " << n << " of " << aSeeds << "\n";
  }
  return count;
}

// A group of three replicas with an elected leader.
struct RunningGroup
{
  explicit RunningGroup(const TestFaults& aFaults)
    : cluster({ .seed = 7, .faults = aFaults })
  {
    for (size_t i = 0; i < cluster.Size(); ++i) {
      cluster.Start(i);
    }
    cluster.RunUntilTrue([&] { return cluster.Leader().has_value(); },
                         Seconds(30));
    leader = cluster.Leader().value_or(0);
    cluster.RunFor(Seconds(5));
  }

  Cluster cluster;
  size_t leader = 0;
};

// Without syncs, replicas acknowledge entries that are lost in a crash.
TEST(Mechanism, SyncBeforeAcknowledgementIsNeeded)
{
  EXPECT_GT(CountViolations({ .skipSync = true },
                            { "leader completeness", "committed entries" },
                            60),
            0U);
}

// Without disk ids, an instance with an empty disk is taken for its former
// self: it votes twice in a term and lacks entries that it acknowledged.
TEST(Mechanism, DiskIdsAreNeeded)
{
  EXPECT_GT(CountViolations({ .ignoreDiskIds = true },
                            { "election safety", "leader completeness" },
                            100),
            0U);
}

// Without repair, a replica votes although damage to its log destroyed entries
// that it acknowledged.
TEST(Mechanism, RepairBeforeVotingIsNeeded)
{
  EXPECT_GT(
    CountViolations({ .skipRepair = true }, { "leader completeness" }, 150),
    0U);
}

// If a learner that lacks committed entries becomes a voter, the next loss of a
// replica can leave the group without a majority that has these entries.
TEST(Mechanism, CatchUpBeforePromotionIsNeeded)
{
  EXPECT_GT(CountViolations({ .promoteAnyLearner = true }, { "promotion" }, 60),
            0U);
}

// Without the lease check, a replaced leader answers reads from outdated state.
// Check-quorum would make it step down soon after its lease expires, so it is
// disabled in both runs.
TEST(Mechanism, LeaseOnReadsIsNeeded)
{
  EXPECT_EQ(
    CountViolations({ .skipCheckQuorum = true }, { "linearizability" }, 100),
    0U);
  EXPECT_GT(
    CountViolations({ .skipCheckQuorum = true, .skipLeaseOnReads = true },
                    { "linearizability" },
                    100),
    0U);
}

// An isolated leader must end its proposals with the outcome "may have run".
// Without check-quorum they stay open.
TEST(Mechanism, CheckQuorumEndsProposalsOfAnIsolatedLeader)
{
  for (bool disabled : { false, true }) {
    RunningGroup group({ .skipCheckQuorum = disabled });
    group.cluster.Isolate(group.leader, true);
    group.cluster.Propose(group.leader);
    group.cluster.RunFor(Seconds(10));
    EXPECT_EQ(group.cluster.OpenProposals(), disabled ? 1U : 0U);
    EXPECT_TRUE(group.cluster.Checks().Ok());
  }
}

// A replica that was isolated must not force an election when it is
// reconnected. Without pre-vote it increments its term meanwhile, and the
// leader steps down.
TEST(Mechanism, PreVoteKeepsTheTermWhenAReplicaReturns)
{
  for (bool disabled : { false, true }) {
    RunningGroup group({ .skipPreVote = disabled });
    size_t follower = (group.leader + 1) % 3;
    uint64_t term = group.cluster.At(group.leader).group->Term();
    group.cluster.Isolate(follower, true);
    group.cluster.RunFor(Seconds(30));
    group.cluster.Isolate(follower, false);
    group.cluster.RunFor(Seconds(10));
    ASSERT_TRUE(group.cluster.Leader().has_value());
    uint64_t later = group.cluster.At(*group.cluster.Leader()).group->Term();
    EXPECT_EQ(later == term, !disabled);
    EXPECT_TRUE(group.cluster.Checks().Ok());
  }
}

} // namespace
} // namespace limpetwood::replication::testing
