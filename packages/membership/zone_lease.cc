// Grants, requests and renews zone authority leases; see `zone_lease.h`.

#include "membership/zone_lease.h"

#include <algorithm>

namespace limpetwood::membership {

namespace {

// Lease duration that the holder may use, reduced by the clock drift bound.
constexpr Millis kUsableLease = kAuthorityLease * (100 - kDriftPercent) / 100;

} // namespace

LeaseVoter::LeaseVoter(InstanceId aSelf, ZoneId aZone, Millis aStartedAt)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mAbstainUntil(aStartedAt + kAuthorityLease)
{
}

LeaseReply
LeaseVoter::OnRequest(const LeaseRequest& aRequest, Millis aNow)
{
  LeaseReply reply;
  reply.zone = mZone;
  reply.voter = mSelf;
  reply.epoch = aRequest.epoch;
  reply.round = aRequest.round;

  bool leaseHeld = aNow < mGrantEnd;
  bool sameHolder = mHolder == aRequest.candidate;
  // The holder may renew its lease under its current epoch. A new epoch is
  // granted only if the lease is free or requested by its holder.
  bool renewal = sameHolder && aRequest.epoch == mEpoch;
  bool newEpoch = aRequest.epoch > mEpoch && (!leaseHeld || sameHolder);
  if (aNow >= mAbstainUntil && (renewal || newEpoch)) {
    mHolder = aRequest.candidate;
    mEpoch = aRequest.epoch;
    mGrantEnd = aNow + kAuthorityLease;
    mLeaderContactAt = aNow - aRequest.leaderContactAge;
    reply.granted = true;
  }
  reply.highestEpoch = mEpoch;
  if (mLeaderContactAt) {
    reply.knowsLeaderContact = true;
    reply.leaderContactAge = aNow - *mLeaderContactAt;
  }
  return reply;
}

std::optional<InstanceId>
LeaseVoter::Holder(Millis aNow) const
{
  if (aNow < mGrantEnd) {
    return mHolder;
  }
  return std::nullopt;
}

LeaseCandidate::LeaseCandidate(InstanceId aSelf,
                               ZoneId aZone,
                               std::set<InstanceId> aElectorate,
                               Epoch aEpochFloor,
                               uint64_t aSeed,
                               Millis aNow)
  : mSelf(std::move(aSelf))
  , mZone(std::move(aZone))
  , mElectorate(std::move(aElectorate))
  , mRandom(aSeed)
  , mHighestSeen(aEpochFloor)
  , mNextAttempt(aNow)
  , mLeaderContactAt(aNow)
{
}

std::set<InstanceId>
LeaseCandidate::ElectorateOf(std::set<InstanceId> aInstances)
{
  if (aInstances.size() % 2 == 0) {
    aInstances.insert(TieBreaker());
  }
  return aInstances;
}

LeaseRequest
LeaseCandidate::MakeRequest(Millis aNow) const
{
  LeaseRequest request;
  request.zone = mZone;
  request.candidate = mSelf;
  request.epoch = mEpoch;
  request.round = mRound;
  request.leaderContactAge = LeaderContactAge(aNow);
  return request;
}

CandidateOutput
LeaseCandidate::StartRound(Millis aNow)
{
  if (!mLeaseHeld) {
    mEpoch = mHighestSeen.Next();
    mHighestSeen = mEpoch;
  }
  ++mRound;
  mRoundSentAt = aNow;
  mRoundWon = false;
  mGrants.clear();
  // Random retry intervals prevent two candidates from splitting the votes
  // repeatedly.
  mNextAttempt = aNow + (mLeaseHeld ? kAuthorityRenewal
                                    : mRandom.Between(kAuthorityRenewal / 2,
                                                      kAuthorityRenewal));
  CandidateOutput output;
  output.requests.push_back(MakeRequest(aNow));
  return output;
}

CandidateOutput
LeaseCandidate::Tick(Millis aNow)
{
  CandidateOutput output;
  if (mLeaseHeld && aNow >= mLeaseEnd) {
    mLeaseHeld = false;
    output.lostAuthority = true;
  }
  if (!mResigned && aNow >= mNextAttempt) {
    CandidateOutput round = StartRound(aNow);
    output.requests = std::move(round.requests);
  }
  return output;
}

CandidateOutput
LeaseCandidate::OnReply(const LeaseReply& aReply, Millis aNow)
{
  CandidateOutput output;
  mHighestSeen = std::max(mHighestSeen, aReply.highestEpoch);
  bool current = aReply.epoch == mEpoch && aReply.round == mRound;
  if (!current || mResigned || !mElectorate.contains(aReply.voter)) {
    return output;
  }
  if (!mLeaseHeld && aReply.knowsLeaderContact) {
    // A new authority inherits the leader contact time of its predecessor, so
    // that an election does not extend the zone's autonomy.
    mLeaderContactAt =
      std::min(mLeaderContactAt, aNow - aReply.leaderContactAge);
  }
  if (!aReply.granted) {
    return output;
  }
  mGrants.insert(aReply.voter);
  if (mRoundWon || mGrants.size() * 2 <= mElectorate.size()) {
    return output;
  }
  mRoundWon = true;
  Millis until = mRoundSentAt + kUsableLease;
  if (aNow >= until) {
    return output;
  }
  output.becameAuthority = !mLeaseHeld;
  mLeaseHeld = true;
  mLeaseEnd = until;
  return output;
}

void
LeaseCandidate::OnLeaderContact(Millis aSentAt)
{
  mLeaderContactAt = std::max(mLeaderContactAt, aSentAt);
}

CandidateOutput
LeaseCandidate::Resign(Millis aNow)
{
  CandidateOutput output;
  output.lostAuthority = IsAuthority(aNow);
  mLeaseHeld = false;
  mResigned = true;
  return output;
}

} // namespace limpetwood::membership
