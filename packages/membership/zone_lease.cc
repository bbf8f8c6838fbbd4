#include "membership/zone_lease.h"

#include <algorithm>

namespace limpetwood::membership {

namespace {

// The part of a lease that the holder may use, given the drift bound.
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

  bool held = aNow < mUntil;
  bool sameHolder = mHolder == aRequest.candidate;
  // The holder may renew its own epoch; anybody else needs a free lease and a
  // new epoch.
  bool renewal = sameHolder && aRequest.epoch == mEpoch;
  bool fresh = aRequest.epoch > mEpoch && (!held || sameHolder);
  if (aNow >= mAbstainUntil && (renewal || fresh)) {
    mHolder = aRequest.candidate;
    mEpoch = aRequest.epoch;
    mUntil = aNow + kAuthorityLease;
    mContactAt = aNow - aRequest.leaderContactAge;
    reply.granted = true;
  }
  reply.highestEpoch = mEpoch;
  if (mContactAt) {
    reply.knowsLeaderContact = true;
    reply.leaderContactAge = aNow - *mContactAt;
  }
  return reply;
}

std::optional<InstanceId>
LeaseVoter::Holder(Millis aNow) const
{
  if (aNow < mUntil) {
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
  , mContactAt(aNow)
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
  if (!mHeld) {
    mEpoch = mHighestSeen.Next();
    mHighestSeen = mEpoch;
  }
  ++mRound;
  mRoundSentAt = aNow;
  mRoundWon = false;
  mGrants.clear();
  // Candidates retry at random intervals so that two of them do not split the
  // votes again and again.
  mNextAttempt =
    aNow + (mHeld ? kAuthorityRenewal
                  : mRandom.Between(kAuthorityRenewal / 2, kAuthorityRenewal));
  CandidateOutput output;
  output.requests.push_back(MakeRequest(aNow));
  return output;
}

CandidateOutput
LeaseCandidate::Tick(Millis aNow)
{
  CandidateOutput output;
  if (mHeld && aNow >= mHeldUntil) {
    mHeld = false;
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
  if (!mHeld && aReply.knowsLeaderContact) {
    // Autonomy of the zone ends with the contact of its former authority.
    mContactAt = std::min(mContactAt, aNow - aReply.leaderContactAge);
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
  output.becameAuthority = !mHeld;
  mHeld = true;
  mHeldUntil = until;
  return output;
}

void
LeaseCandidate::OnLeaderContact(Millis aSentAt)
{
  mContactAt = std::max(mContactAt, aSentAt);
}

CandidateOutput
LeaseCandidate::Resign(Millis aNow)
{
  CandidateOutput output;
  output.lostAuthority = IsAuthority(aNow);
  mHeld = false;
  mResigned = true;
  return output;
}

} // namespace limpetwood::membership
