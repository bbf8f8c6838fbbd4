// Election of a zone's authority by majority lease. Pure: no clock, no socket.
//
// The electorate of a zone is the set of its declared instances, plus the
// control leader when their number is even. Each member runs a `LeaseVoter`;
// each instance of the zone also runs a `LeaseCandidate`.
//
// Safety rests on time intervals only, not on synchronized clocks: a candidate
// counts its lease from the moment it sent the request, a voter from the
// moment it granted it, which is later. Clock rates may differ by
// `kDriftPercent`.

#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace limpetwood::membership {

constexpr Millis kAuthorityLease = Seconds(6);
constexpr Millis kAuthorityRenewal = Seconds(2);
// Clock rates of two instances may differ by this much.
constexpr int64_t kDriftPercent = 1;

struct LeaseRequest
{
  ZoneId zone;
  InstanceId candidate;
  Epoch epoch;
  // Distinguishes the replies to successive requests of one epoch.
  uint64_t round = 0;
  // Time since the zone's authority last heard from the control leader.
  Millis leaderContactAge;

  bool operator==(const LeaseRequest&) const = default;
};

struct LeaseReply
{
  ZoneId zone;
  InstanceId voter;
  Epoch epoch;
  uint64_t round = 0;
  bool granted = false;
  // The largest epoch this voter has granted.
  Epoch highestEpoch;
  // The longest contact age this voter was told, aged to now; meaningful only
  // if `knowsContact`.
  bool knowsLeaderContact = false;
  Millis leaderContactAge;

  bool operator==(const LeaseReply&) const = default;
};

// Grants leases of one zone on behalf of one member of the electorate.
class LeaseVoter
{
public:
  // A restarted voter has forgotten what it granted, so it abstains until
  // every lease it may have granted has ended.
  LeaseVoter(InstanceId aSelf, ZoneId aZone, Millis aStartedAt);

  LeaseReply OnRequest(const LeaseRequest& aRequest, Millis aNow);

  // The holder of an unexpired lease, as far as this voter knows.
  std::optional<InstanceId> Holder(Millis aNow) const;

private:
  InstanceId mSelf;
  ZoneId mZone;
  Millis mAbstainUntil;
  // At most one unexpired grant exists at any time; `mEpoch` never decreases.
  InstanceId mHolder;
  Epoch mEpoch;
  Millis mUntil;
  // Point in time of the authority's last contact with the control leader.
  std::optional<Millis> mContactAt;
};

// What the candidate asks its owner to do.
struct CandidateOutput
{
  std::vector<LeaseRequest> requests;
  bool becameAuthority = false;
  bool lostAuthority = false;
};

// Tries to become and remain the authority of its zone.
class LeaseCandidate
{
public:
  // `aElectorate` includes the candidate itself. `aEpochFloor` is at least any
  // epoch used before by this zone that this instance can know of, and grows
  // between restarts; the wall clock in seconds serves.
  LeaseCandidate(InstanceId aSelf,
                 ZoneId aZone,
                 std::set<InstanceId> aElectorate,
                 Epoch aEpochFloor,
                 uint64_t aSeed,
                 Millis aNow);

  // The identity under which the control leader votes in even electorates.
  static InstanceId TieBreaker() { return InstanceId("control-leader"); }

  // Builds the electorate of a zone from its declared instances.
  static std::set<InstanceId> ElectorateOf(std::set<InstanceId> aInstances);

  CandidateOutput Tick(Millis aNow);
  CandidateOutput OnReply(const LeaseReply& aReply, Millis aNow);

  // Records an answer of the control leader to a message sent at `aSentAt`.
  void OnLeaderContact(Millis aSentAt);

  // Gives the lease up, for example while draining. Another instance can take
  // over when the voters' grants end.
  CandidateOutput Resign(Millis aNow);

  // True while the lease is certainly held.
  bool IsAuthority(Millis aNow) const { return mHeld && aNow < mHeldUntil; }
  Epoch CurrentEpoch() const { return mEpoch; }

  // Time since the zone's authority last heard from the control leader.
  Millis LeaderContactAge(Millis aNow) const { return aNow - mContactAt; }

  Millis NextTick() const { return mNextAttempt; }

private:
  CandidateOutput StartRound(Millis aNow);
  LeaseRequest MakeRequest(Millis aNow) const;

  InstanceId mSelf;
  ZoneId mZone;
  std::set<InstanceId> mElectorate;
  Random mRandom;

  Epoch mEpoch;
  Epoch mHighestSeen;
  uint64_t mRound = 0;
  Millis mRoundSentAt;
  std::set<InstanceId> mGrants;
  bool mRoundWon = false;
  bool mResigned = false;

  // `mHeldUntil` is counted from the send time of the last won round.
  bool mHeld = false;
  Millis mHeldUntil;
  Millis mNextAttempt;
  Millis mContactAt;
};

} // namespace limpetwood::membership
