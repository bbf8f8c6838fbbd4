#include "replication/testing/schedule.h"

#include <algorithm>

namespace limpetwood::replication::testing {
namespace {

// Simulated time during which faults are injected.
constexpr Millis kFaultDuration = Seconds(40);
// Time limit for forming the group, and for recovery after the faults: far more
// than elections, log repairs and two membership changes take.
constexpr Millis kRecoveryTimeout = Seconds(60);

class Schedule
{
public:
  Schedule(uint64_t aSeed, const TestFaults& aFaults, bool aTrace)
    // Differs from the seed of the cluster, so that the two random sequences
    // differ.
    : mRandom(aSeed * 7919)
    , mCluster(MakeOptions(aSeed, aFaults, aTrace))
  {
  }

  ScheduleResult Run()
  {
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      mCluster.Start(i);
    }
    bool formed = mCluster.RunUntilTrue(
      [&] { return mCluster.Leader().has_value(); }, kRecoveryTimeout);
    if (!formed) {
      mCluster.Checks().ReportViolation("liveness", "the group did not form");
    }
    mFaultsEndAt = mCluster.Now() + kFaultDuration;
    ClientLoop();
    FaultLoop();
    MembershipLoop();
    CompareLoop();
    mCluster.RunUntil(mFaultsEndAt);
    RemoveFaultsAndRecover();
    mResult.violation = mCluster.Checks().Violation();
    mResult.answered = mCluster.AnsweredCount();
    mResult.reads = mCluster.ReadCount();
    return mResult;
  }

private:
  ClusterOptions MakeOptions(uint64_t aSeed,
                             const TestFaults& aFaults,
                             bool aTrace)
  {
    mVoters = mRandom.Chance(0.3) ? 5 : 3;
    ClusterOptions out{ .seed = aSeed,
                        .voters = mVoters,
                        .nonVoters = mRandom.Below(3),
                        .faults = aFaults,
                        .trace = aTrace };
    out.snapshotEntries = 10 + mRandom.Below(60);
    return out;
  }

  void ClientLoop()
  {
    if (mCluster.Now() >= mFaultsEndAt) {
      return;
    }
    std::optional<size_t> leader = mCluster.Leader();
    size_t any = mRandom.Below(mCluster.Size());
    // Also uses other replicas, which may believe that they lead.
    mCluster.Propose(leader && mRandom.Chance(0.8) ? *leader : any);
    if (mRandom.Chance(0.5)) {
      mCluster.Read(leader && mRandom.Chance(0.5) ? *leader : any);
    }
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      if (mRandom.Chance(0.1)) {
        mCluster.Read(i);
      }
    }
    mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(10), Millis(300)),
                   [this] { ClientLoop(); });
  }

  void MembershipLoop()
  {
    mCluster.RepairMembership(mVoters);
    mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(200), Millis(800)),
                   [this] { MembershipLoop(); });
  }

  void CompareLoop()
  {
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      for (size_t k = 0; k < i; ++k) {
        if (CoreOf(i) != nullptr && CoreOf(k) != nullptr) {
          mCluster.Checks().CompareLogs(*CoreOf(i), *CoreOf(k));
        }
      }
    }
    mCluster.RunAt(mCluster.Now() + Millis(500), [this] { CompareLoop(); });
  }

  const Raft* CoreOf(size_t aNode)
  {
    return mCluster.IsUp(aNode) ? mCluster.At(aNode).group->RaftForTest()
                                : nullptr;
  }

  // True if all voters are up and none has lost its disk or is being repaired,
  // so that the group tolerates the loss of another disk.
  bool AllVotersIntact()
  {
    std::optional<size_t> leader = mCluster.Leader();
    if (!leader) {
      return false;
    }
    const Membership members = mCluster.At(*leader).group->Status().membership;
    // An uncommitted membership change could still be undone.
    GroupStatus status = mCluster.At(*leader).group->Status();
    if (CoreOf(*leader)->MembershipAt(status.commitIndex) != members ||
        members.voters.size() < 3) {
      return false;
    }
    size_t intact = 0;
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      if (mCluster.IsUp(i)) {
        GroupStatus it = mCluster.At(i).group->Status();
        intact += members.IsVoter(it.self) && !it.repairing ? 1 : 0;
      }
    }
    return intact == members.voters.size();
  }

  void FaultLoop()
  {
    if (mCluster.Now() >= mFaultsEndAt) {
      return;
    }
    InjectFault();
    mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(50), Millis(2500)),
                   [this] { FaultLoop(); });
  }

  void RestartLater(size_t aNode)
  {
    mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(1), Millis(4000)),
                   [this, aNode] { mCluster.Start(aNode); });
  }

  void InjectFault()
  {
    size_t node = mRandom.Below(mCluster.Size());
    std::optional<size_t> leader = mCluster.Leader();
    if (leader && mRandom.Chance(0.4)) {
      node = *leader;
    }
    // Crashes are twice as frequent as the other faults.
    switch (mRandom.Below(9)) {
      case 0:
      case 1:
        CountFault("crash");
        mCluster.Crash(node);
        RestartLater(node);
        break;
      case 2:
        CountFault("isolation");
        mCluster.Isolate(node, true);
        mCluster.RunAt(mCluster.Now() +
                         mRandom.Between(Millis(100), Millis(6000)),
                       [this, node] { mCluster.Isolate(node, false); });
        break;
      case 3:
        CutOneWay();
        break;
      case 4:
        ChangeNetwork();
        break;
      case 5:
        LoseOrDamageDisk(node);
        break;
      case 6:
        ChangeMembership();
        break;
      case 7:
        TransferLeadership();
        break;
      default:
        FailDisk(node);
        break;
    }
  }

  void CutOneWay()
  {
    CountFault("one-way cut");
    size_t from = mRandom.Below(mCluster.Size());
    size_t to = mRandom.Below(mCluster.Size());
    mCluster.Trace("cut " + std::to_string(from) + " -> " + std::to_string(to));
    mCluster.Cut(from, to, true);
    mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(100), Millis(8000)),
                   [this, from, to] { mCluster.Cut(from, to, false); });
  }

  void ChangeNetwork()
  {
    CountFault("network change");
    NetworkOptions network;
    network.loss = mRandom.Chance(0.5) ? mRandom.UniformDouble() * 0.3 : 0;
    network.duplicate = mRandom.Chance(0.5) ? mRandom.UniformDouble() * 0.3 : 0;
    network.maxDelay = Millis(mRandom.Chance(0.3) ? 1500 : 50);
    mCluster.SetNetwork(network);
  }

  void LoseOrDamageDisk(size_t aNode)
  {
    if (!AllVotersIntact()) {
      return;
    }
    if (mRandom.Chance(0.5)) {
      CountFault("lost disk");
      mCluster.LoseDisk(aNode);
    } else {
      mCluster.Crash(aNode);
      const char* kind = mRandom.Chance(0.7)   ? "log-"
                         : mRandom.Chance(0.5) ? "snapshot-"
                                               : "state-";
      if (mCluster.At(aNode).disk.FlipBit(mRandom, kind)) {
        CountFault(std::string("bit rot in ") + kind);
        mCluster.Trace("bit rot in " + std::string(kind));
      }
    }
    RestartLater(aNode);
    // Loses another disk as soon as the group has been repaired.
    if (mRandom.Chance(0.7)) {
      LoseSecondDisk();
    }
  }

  void LoseSecondDisk()
  {
    if (mCluster.Now() >= mFaultsEndAt) {
      return;
    }
    if (!AllVotersIntact()) {
      mCluster.RunAt(mCluster.Now() + Millis(50), [this] { LoseSecondDisk(); });
      return;
    }
    CountFault("second loss after a repair");
    size_t node = mRandom.Below(mCluster.Size());
    mCluster.LoseDisk(node);
    RestartLater(node);
  }

  void ChangeMembership()
  {
    std::optional<size_t> leader = mCluster.Leader();
    if (!leader || !AllVotersIntact()) {
      return;
    }
    auto& group = *mCluster.At(*leader).group;
    Membership members = group.Status().membership;
    Millis local = mCluster.LocalNow(mCluster.At(*leader));
    if (!members.learners.empty() && mRandom.Chance(0.5)) {
      CountFault("promotion");
      mCluster.Promote(
        members.learners[mRandom.Below(members.learners.size())]);
    } else if (members.voters.size() > 3) {
      CountFault("removal");
      Member member = members.voters[mRandom.Below(members.voters.size())];
      mCluster.Trace("removing " + member.instance.Value());
      group.Remove(member, local, [](const ProposeOutcome&) {});
      mCluster.StepNode(*leader);
    }
  }

  void TransferLeadership()
  {
    std::optional<size_t> leader = mCluster.Leader();
    if (!leader) {
      return;
    }
    auto& group = *mCluster.At(*leader).group;
    Membership members = group.Status().membership;
    Member member = members.voters[mRandom.Below(members.voters.size())];
    Millis local = mCluster.LocalNow(mCluster.At(*leader));
    if (!group.Transfer(member, local)) {
      CountFault("transfer");
      mCluster.Trace("transfer to " + member.instance.Value());
    }
    mCluster.StepNode(*leader);
  }

  void FailDisk(size_t aNode)
  {
    CountFault("disk failure");
    mCluster.Trace("disk of " + std::to_string(aNode) + " fails");
    MemoryDisk& disk = mCluster.At(aNode).disk;
    if (mRandom.Chance(0.5)) {
      disk.FailWith(std::make_error_code(std::errc::io_error));
    } else {
      disk.SetCapacity(disk.UsedBytes() + mRandom.Below(500));
    }
    mCluster.RunAt(mCluster.Now() + mRandom.Between(Millis(100), Millis(3000)),
                   [this, aNode] {
                     MemoryDisk& it = mCluster.At(aNode).disk;
                     it.FailWith({});
                     it.SetCapacity(SIZE_MAX);
                     mCluster.Crash(aNode);
                     mCluster.Start(aNode);
                   });
  }

  void RemoveFaultsAndRecover()
  {
    mCluster.Trace("removing all faults");
    mCluster.HealNetwork();
    mCluster.SetNetwork({});
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      MemoryDisk& disk = mCluster.At(i).disk;
      disk.FailWith({});
      disk.SetCapacity(SIZE_MAX);
      if (mCluster.IsUp(i) && mCluster.At(i).group->Status().diskError) {
        mCluster.Crash(i);
      }
      mCluster.Start(i);
    }
    bool repaired = mCluster.RunUntilTrue([&] { return AllVotersIntact(); },
                                          kRecoveryTimeout);
    if (!repaired) {
      mCluster.Checks().ReportViolation("liveness",
                                        "the group was not repaired");
      return;
    }
    // A new command must be answered, and all members must have applied the
    // same index.
    bool agreed =
      mCluster.RunUntilTrue([&] { return ReplicasAgree(); }, kRecoveryTimeout);
    if (!agreed) {
      mCluster.Checks().ReportViolation("liveness",
                                        "the replicas do not agree");
    } else if (mCluster.OpenProposals() != 0) {
      mCluster.Checks().ReportViolation("verdict", "a proposal has no outcome");
    }
  }

  // Proposes a command, again for each new leader. Returns true when it is
  // answered and all members have applied the same index.
  bool ReplicasAgree()
  {
    std::optional<size_t> leader = mCluster.Leader();
    if (!leader) {
      return false;
    }
    uint64_t answered = mCluster.AnsweredCount();
    // Proposes again if the previous probe ended without an answer because its
    // leader lost its term just after the faults were removed.
    bool unanswered =
      mCluster.OpenProposals() == 0 && answered == mAnsweredBeforeProbe;
    if (!mProbedLeader || *mProbedLeader != *leader || unanswered) {
      mProbedLeader = leader;
      mAnsweredBeforeProbe = answered;
      mCluster.Propose(*leader);
      return false;
    }
    GroupStatus status = mCluster.At(*leader).group->Status();
    if (answered == mAnsweredBeforeProbe || mCluster.OpenProposals() != 0) {
      return false;
    }
    for (size_t i = 0; i < mCluster.Size(); ++i) {
      GroupStatus it = mCluster.At(i).group->Status();
      if (status.membership.Contains(it.self) &&
          it.appliedIndex != status.appliedIndex) {
        return false;
      }
    }
    return true;
  }

  void CountFault(const std::string& aFault) { ++mResult.faults[aFault]; }

  Random mRandom;
  size_t mVoters = 3;
  Cluster mCluster;
  Millis mFaultsEndAt;
  // The leader that received the last command of `ReplicasAgree`, and the
  // number of commands answered before it.
  std::optional<size_t> mProbedLeader;
  uint64_t mAnsweredBeforeProbe = 0;
  ScheduleResult mResult;
};

} // namespace

ScheduleResult
RunSchedule(uint64_t aSeed, const TestFaults& aFaults, bool aTrace)
{
  return Schedule(aSeed, aFaults, aTrace).Run();
}

} // namespace limpetwood::replication::testing
