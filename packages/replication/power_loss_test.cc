// All replicas lose power just as an operation is answered, and some of the
// disks that the answer relied on are lost as well.

#include "replication/testing/cluster.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace limpetwood::replication::testing {
namespace {

// Far more than an election and the replacement of two members take.
constexpr Millis kRecoveryTimeout = Seconds(60);

struct PowerLossResult
{
  // Empty if all checks passed.
  std::string violation;
  size_t lostDisks = 0;
  bool lostLeaderDisk = false;
  bool replacedBefore = false;
  // Members that lacked the answered operation when the power was lost.
  size_t behind = 0;
};

class PowerLoss
{
public:
  PowerLoss(uint64_t aSeed, const TestFaults& aFaults, bool aTrace)
    // Differs from the seed of the cluster, so that the two random sequences
    // differ.
    : mRandom(aSeed * 6151)
    , mCluster(MakeOptions(aSeed, aFaults, aTrace))
  {
  }

  PowerLossResult Run()
  {
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      mCluster.Start(i);
    }
    MembershipLoop();
    if (!WaitUntilIntact("the group did not form")) {
      return Result();
    }
    if (mRandom.Chance(0.5)) {
      mResult.replacedBefore = true;
      size_t node = mRandom.Below(mCluster.Size());
      mCluster.LoseDisk(node);
      mCluster.RunFor(mRandom.Between(Millis(1), Millis(1000)));
      mCluster.Start(node);
      if (!WaitUntilIntact("the first disk was not replaced")) {
        return Result();
      }
    }
    for (uint64_t i = mRandom.Below(60); i > 0; --i) {
      ProposeToLeader();
      mCluster.RunFor(mRandom.Between(Millis(0), Millis(30)));
    }
    if (mRandom.Chance(0.5)) {
      IsolateMinority();
    }
    if (AnswerOne()) {
      LosePower();
      Recover();
    }
    return Result();
  }

private:
  ClusterOptions MakeOptions(uint64_t aSeed,
                             const TestFaults& aFaults,
                             bool aTrace)
  {
    mVoters = mRandom.Chance(0.5) ? 5 : 3;
    ClusterOptions out{ .seed = aSeed,
                        .voters = mVoters,
                        .nonVoters = mRandom.Below(3),
                        .faults = aFaults,
                        .trace = aTrace };
    out.network.loss = mRandom.Chance(0.5) ? 0.05 : 0;
    out.network.maxDelay = Millis(mRandom.Chance(0.5) ? 5 : 60);
    out.snapshotEntries = 5 + mRandom.Below(30);
    return out;
  }

  PowerLossResult Result()
  {
    mResult.violation = mCluster.Checks().Violation();
    return mResult;
  }

  size_t Tolerated() const { return (mVoters - 1) / 2; }

  GroupStatus LeaderStatus()
  {
    return mCluster.At(*mCluster.Leader()).group->Status();
  }

  void MembershipLoop()
  {
    mCluster.RepairMembership(mVoters);
    mCluster.RunAt(mCluster.Now() + Millis(200), [this] { MembershipLoop(); });
  }

  // True if a leader has committed an entry, and all committed voters are up
  // with the disks that the membership names.
  bool IsIntact()
  {
    if (!mCluster.Leader()) {
      return false;
    }
    GroupStatus status = LeaderStatus();
    const Raft* raft = mCluster.At(*mCluster.Leader()).group->RaftForTest();
    if (status.commitIndex == 0 ||
        raft->MembershipAt(status.commitIndex) != status.membership ||
        status.membership.voters.size() != mVoters) {
      return false;
    }
    size_t intact = 0;
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      if (mCluster.IsUp(i)) {
        GroupStatus it = mCluster.At(i).group->Status();
        intact += status.membership.IsVoter(it.self) && !it.repairing ? 1 : 0;
      }
    }
    return intact == mVoters;
  }

  bool WaitUntilIntact(const std::string& aOtherwise)
  {
    bool intact =
      mCluster.RunUntilTrue([&] { return IsIntact(); }, kRecoveryTimeout);
    if (!intact) {
      mCluster.Checks().ReportViolation("liveness", aOtherwise);
    }
    return intact;
  }

  void ProposeToLeader()
  {
    if (auto leader = mCluster.Leader()) {
      mCluster.Propose(*leader);
    }
  }

  // Isolates as many followers as may fail, so that an answer relies on all
  // others.
  void IsolateMinority()
  {
    for (size_t i = 0, n = 0; i < mCluster.Size() && n < Tolerated(); ++i) {
      if (mCluster.Leader() != i && mRandom.Chance(0.6)) {
        mCluster.Isolate(i, true);
        ++n;
      }
    }
  }

  // Returns at the moment at which an operation is answered. Proposes again
  // after a while, because an election may end a proposal without an answer.
  bool AnswerOne()
  {
    uint64_t answered = mCluster.AnsweredCount();
    Millis nextProposalAt;
    bool done = mCluster.RunUntilTrue(
      [&] {
        if (mCluster.Now() >= nextProposalAt) {
          nextProposalAt = mCluster.Now() + Millis(500);
          ProposeToLeader();
        }
        return mCluster.AnsweredCount() > answered && mCluster.Leader();
      },
      kRecoveryTimeout);
    if (!done) {
      mCluster.Checks().ReportViolation("liveness", "nothing was answered");
    }
    return done;
  }

  void LosePower()
  {
    size_t leader = *mCluster.Leader();
    GroupStatus status = LeaderStatus();
    std::vector<size_t> holders{ leader };
    for (const PeerStatus& it : status.peers) {
      if (!it.voter) {
        continue;
      }
      if (it.matchIndex < status.commitIndex) {
        ++mResult.behind;
        continue;
      }
      for (size_t i = 0; i < mCluster.Size(); ++i) {
        if (mCluster.At(i).instance == it.member.instance) {
          holders.push_back(i);
        }
      }
    }
    mResult.lostDisks = 1 + mRandom.Below(Tolerated());
    for (size_t n = 0; n < mResult.lostDisks; ++n) {
      size_t at = mRandom.Below(holders.size());
      mResult.lostLeaderDisk |= holders[at] == leader;
      mCluster.LoseDisk(holders[at]);
      holders.erase(holders.begin() + static_cast<ptrdiff_t>(at));
    }
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      mCluster.Crash(i);
    }
    mCluster.HealNetwork();
  }

  void Recover()
  {
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(1), Millis(4000)),
                     [this, i] { mCluster.Start(i); });
    }
    bool leads = mCluster.RunUntilTrue(
      [&] { return mCluster.Leader().has_value(); }, kRecoveryTimeout);
    if (!leads) {
      mCluster.Checks().ReportViolation("liveness", "no leader was elected");
      return;
    }
    // The read fails the checks if it misses an answered operation.
    uint64_t reads = mCluster.ReadCount();
    bool read = mCluster.RunUntilTrue(
      [&] {
        if (mCluster.Now() >= mNextReadAt && mCluster.Leader()) {
          mNextReadAt = mCluster.Now() + Millis(500);
          mCluster.Read(*mCluster.Leader());
        }
        return mCluster.ReadCount() > reads;
      },
      kRecoveryTimeout);
    if (!read) {
      mCluster.Checks().ReportViolation("liveness", "no read was answered");
    } else if (WaitUntilIntact("the lost disks were not replaced")) {
      AnswerOne();
    }
  }

  Random mRandom;
  size_t mVoters = 3;
  Cluster mCluster;
  Millis mNextReadAt;
  PowerLossResult mResult;
};

uint64_t
NumberFrom(const char* aVariable, uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text != nullptr ? std::strtoull(text, nullptr, 10) : aDefault;
}

// Guards against an answered operation that is gone, or a group that cannot
// elect a leader, when the disks that were counted for the answer are lost and
// all other replicas lose power at the same moment. SIMULATION_SEED and
// SIMULATION_COUNT replace the default seeds 1 to 300.
TEST(PowerLoss, AnsweredOperationsSurviveTheLossOfDisksThatHeldThem)
{
  uint64_t first = NumberFrom("SIMULATION_SEED", 1);
  uint64_t count = NumberFrom("SIMULATION_COUNT", 300);
  std::map<std::string, uint64_t> seen;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    PowerLossResult result = PowerLoss(seed, {}, false).Run();
    if (!result.violation.empty()) {
      PowerLoss(seed, {}, true).Run();
      FAIL() << "seed " << seed << ": " << result.violation;
    }
    seen["two lost disks"] += result.lostDisks > 1 ? 1 : 0;
    seen["lost disk of the leader"] += result.lostLeaderDisk ? 1 : 0;
    seen["a disk replaced before"] += result.replacedBefore ? 1 : 0;
    seen["a member behind"] += result.behind > 0 ? 1 : 0;
  }
  for (const auto& [name, n] : seen) {
    std::cout << name << ": " << n << " of " << count << "\n";
    // Guards against schedules in which a case does not occur.
    if (count >= 100) {
      EXPECT_GT(n, count / 20) << name;
    }
  }
}

// Guards against checks that do not notice a replica that acknowledges entries
// before they are on its disk.
TEST(PowerLoss, SyncBeforeAcknowledgementIsNeeded)
{
  uint64_t violations = 0;
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    PowerLossResult result = PowerLoss(seed, { .skipSync = true }, false).Run();
    violations += result.violation.empty() ? 0 : 1;
  }
  EXPECT_GT(violations, 0U);
}

} // namespace
} // namespace limpetwood::replication::testing
