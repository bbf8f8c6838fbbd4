// Tests that a zone never has two authorities at the same time.

#include "membership/zone_lease.h"

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <optional>

namespace limpetwood::membership {
namespace {

// Simulates the instances of one zone on a virtual clock, with message loss and
// delays, restarts and stopped instances.
class SimulatedZone
{
public:
  SimulatedZone(size_t aInstances,
                uint64_t aSeed,
                bool aAbstainAfterRestart = true)
    : mRandom(aSeed)
    , mAbstainAfterRestart(aAbstainAfterRestart)
  {
    std::set<InstanceId> names;
    for (size_t n = 0; n < aInstances; ++n) {
      names.insert(InstanceId("i" + std::to_string(n)));
    }
    mElectorate = LeaseCandidate::ElectorateOf(names);
    for (const InstanceId& it : names) {
      Restart(it, true);
    }
    if (mElectorate.contains(LeaseCandidate::TieBreaker())) {
      RestartVoter(LeaseCandidate::TieBreaker(), true);
    }
  }

  // Runs for `aDuration`. Returns the largest number of authorities that
  // existed at the same time. `aLoss` is the probability that a message is
  // lost, `aRestarts` that a voter restarts in a step of 10 ms.
  size_t Run(Millis aDuration, double aLoss, double aRestarts)
  {
    size_t maxCount = 0;
    Millis end = mNow + aDuration;
    for (; mNow < end; mNow += Millis(10)) {
      Deliver();
      for (auto& [id, candidate] : mCandidates) {
        Send(candidate.Tick(mNow), aLoss);
      }
      if (mRandom.Chance(aRestarts)) {
        auto it = mElectorate.begin();
        std::advance(it, mRandom.Below(mElectorate.size()));
        Restart(*it, false);
      }
      maxCount = std::max(maxCount, Authorities().size());
    }
    return maxCount;
  }

  std::vector<InstanceId> Authorities() const
  {
    std::vector<InstanceId> found;
    for (const auto& [id, candidate] : mCandidates) {
      if (candidate.IsAuthority(mNow)) {
        found.push_back(id);
      }
    }
    return found;
  }

  void Stop(const InstanceId& aId)
  {
    mCandidates.erase(aId);
    mVoters.erase(aId);
  }

  Epoch EpochOf(const InstanceId& aId) const
  {
    return mCandidates.at(aId).CurrentEpoch();
  }

  LeaseCandidate& Candidate(const InstanceId& aId)
  {
    return mCandidates.at(aId);
  }

  Millis Now() const { return mNow; }

private:
  struct InFlightMessage
  {
    Millis at;
    InstanceId to;
    std::optional<LeaseRequest> request;
    std::optional<LeaseReply> reply;
  };

  // With `aFirst`, or without abstention, the voter starts as if its abstention
  // had already ended.
  void RestartVoter(const InstanceId& aId, bool aFirst)
  {
    Millis started =
      aFirst || !mAbstainAfterRestart ? mNow - kAuthorityLease : mNow;
    mVoters.insert_or_assign(aId, LeaseVoter(aId, ZoneId("z"), started));
  }

  void Restart(const InstanceId& aId, bool aFirst)
  {
    RestartVoter(aId, aFirst);
    if (aId != LeaseCandidate::TieBreaker()) {
      auto minEpoch = Epoch(static_cast<uint64_t>(mNow.Count()) / 1000);
      mCandidates.insert_or_assign(
        aId,
        LeaseCandidate(
          aId, ZoneId("z"), mElectorate, minEpoch, mRandom(), mNow));
    }
  }

  void Send(const CandidateOutput& aOutput, double aLoss)
  {
    for (const LeaseRequest& it : aOutput.requests) {
      for (const InstanceId& to : mElectorate) {
        if (!mRandom.Chance(aLoss)) {
          mNetwork.push_back({ Delay(), to, it, std::nullopt });
        }
      }
    }
    mLoss = aLoss;
  }

  Millis Delay() { return mNow + mRandom.Between(Millis(1), Millis(400)); }

  void Deliver()
  {
    std::deque<InFlightMessage> due;
    for (auto it = mNetwork.begin(); it != mNetwork.end();) {
      if (it->at <= mNow) {
        due.push_back(std::move(*it));
        it = mNetwork.erase(it);
      } else {
        ++it;
      }
    }
    for (InFlightMessage& it : due) {
      if (it.request && mVoters.contains(it.to)) {
        LeaseReply reply = mVoters.at(it.to).OnRequest(*it.request, mNow);
        if (!mRandom.Chance(mLoss)) {
          mNetwork.push_back(
            { Delay(), it.request->candidate, std::nullopt, reply });
        }
      } else if (it.reply && mCandidates.contains(it.to)) {
        Send(mCandidates.at(it.to).OnReply(*it.reply, mNow), mLoss);
      }
    }
  }

  Random mRandom;
  bool mAbstainAfterRestart;
  Millis mNow = Hours(1);
  // Loss of the latest call of `Send`.
  double mLoss = 0;
  std::set<InstanceId> mElectorate;
  std::map<InstanceId, LeaseVoter> mVoters;
  std::map<InstanceId, LeaseCandidate> mCandidates;
  std::deque<InFlightMessage> mNetwork;
};

size_t
MaxConcurrentAuthorities(bool aAbstainAfterRestart)
{
  size_t maxCount = 0;
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    // 2 to 5 instances.
    SimulatedZone zone(2 + seed % 4, seed, aAbstainAfterRestart);
    maxCount = std::max(maxCount, zone.Run(Minutes(3), 0.1, 0.002));
  }
  return maxCount;
}

// Guards against two authorities of a zone at the same time.
TEST(ZoneLease, AtMostOneAuthorityUnderLossAndRestarts)
{
  EXPECT_EQ(MaxConcurrentAuthorities(true), 1U);
}

// Verifies that the simulation can detect overlapping authorities: a voter that
// grants leases directly after a restart, without waiting for its earlier
// grants to expire, makes two authorities overlap.
TEST(ZoneLease, WithoutAbstentionTwoAuthoritiesOverlap)
{
  EXPECT_GT(MaxConcurrentAuthorities(false), 1U);
}

// Guards against a zone of two instances that stays without an authority after
// one instance fails although the control leader can vote.
TEST(ZoneLease, TieBreakerReplacesALostInstance)
{
  SimulatedZone zone(2, 7);
  zone.Run(Seconds(10), 0, 0);
  ASSERT_EQ(zone.Authorities().size(), 1U);
  InstanceId first = zone.Authorities()[0];
  Epoch epoch = zone.EpochOf(first);
  zone.Stop(first);
  zone.Run(Seconds(15), 0, 0);
  ASSERT_EQ(zone.Authorities().size(), 1U);
  EXPECT_GT(zone.EpochOf(zone.Authorities()[0]), epoch);
}

// Guards against an authority elected during a partition from the control
// leader that restarts the zone's autonomy period.
TEST(ZoneLease, NewAuthorityInheritsTheContactAge)
{
  SimulatedZone zone(3, 11);
  zone.Run(Seconds(10), 0, 0);
  InstanceId first = zone.Authorities().at(0);
  zone.Run(Minutes(5), 0, 0);
  Millis age = zone.Candidate(first).LeaderContactAge(zone.Now());
  EXPECT_GE(age, Minutes(5));
  zone.Stop(first);
  zone.Run(Seconds(15), 0, 0);
  InstanceId second = zone.Authorities().at(0);
  EXPECT_GE(zone.Candidate(second).LeaderContactAge(zone.Now()), age);
}

} // namespace
} // namespace limpetwood::membership
