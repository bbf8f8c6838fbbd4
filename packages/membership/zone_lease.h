// Elects the authority of a zone by a lease that a majority of voters grants.
// Free of I/O and clocks: times are passed in by the caller.
//
// The electorate of a zone consists of its declared instances and, if the
// number of instances is even, the control leader. Each member of the
// electorate runs a `LeaseVoter`; each instance of the zone also runs a
// `LeaseCandidate`.
//
// Safety depends only on the measurement of time intervals, not on synchronized
// clocks. A candidate measures its lease from the time it sent the request and
// a voter from the time it granted the lease, which is later. The clock rates
// of two instances may differ by up to `kDriftPercent`.

#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace limpetwood::membership {

// Duration of the zone authority lease and the interval at which it is renewed.
// Fixed: the settings `authorityLeaseMs` and `authorityRenewMs` are not used.
constexpr Millis kAuthorityLease = Seconds(6);
constexpr Millis kAuthorityRenewal = Seconds(2);
// Maximum difference between the clock rates of two instances, in percent.
constexpr int64_t kDriftPercent = 1;

struct LeaseRequest
{
  ZoneId zone;
  InstanceId candidate;
  Epoch epoch;
  // Matches replies to requests within one epoch.
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
  // The largest epoch that this voter has granted.
  Epoch highestEpoch;
  bool knowsLeaderContact = false;
  // Time since the authority that this voter last granted a lease heard from
  // the control leader. Valid only if `knowsLeaderContact` is set.
  Millis leaderContactAge;

  bool operator==(const LeaseReply&) const = default;
};

// Grants the lease of one zone on behalf of one member of the electorate.
class LeaseVoter
{
public:
  // A restarted voter has no record of its grants, so it grants nothing until
  // every lease that it may have granted before has expired.
  LeaseVoter(InstanceId aSelf, ZoneId aZone, Millis aStartedAt);

  LeaseReply OnRequest(const LeaseRequest& aRequest, Millis aNow);

  // Returns the holder of the unexpired lease that this voter granted, if any.
  std::optional<InstanceId> Holder(Millis aNow) const;

private:
  InstanceId mSelf;
  ZoneId mZone;
  // No lease is granted before this time; see the constructor.
  Millis mAbstainUntil;
  // At most one unexpired grant exists at any time, and `mEpoch` never
  // decreases.
  InstanceId mHolder;
  Epoch mEpoch;
  Millis mGrantEnd;
  // When the lease holder last heard from the control leader.
  std::optional<Millis> mLeaderContactAt;
};

// Requests to send to the electorate, and changes of the candidate's role.
struct CandidateOutput
{
  std::vector<LeaseRequest> requests;
  bool becameAuthority = false;
  bool lostAuthority = false;
};

// Acquires and renews the lease that makes this instance the zone's authority.
class LeaseCandidate
{
public:
  // `aElectorate` includes the candidate itself. `aEpochFloor` must be at least
  // as large as any epoch that this instance knows the zone to have used, and
  // must grow between restarts; the wall clock in seconds is suitable.
  LeaseCandidate(InstanceId aSelf,
                 ZoneId aZone,
                 std::set<InstanceId> aElectorate,
                 Epoch aEpochFloor,
                 uint64_t aSeed,
                 Millis aNow);

  // Identity of the control leader as a voter in electorates that would
  // otherwise have an even size.
  static InstanceId TieBreaker() { return InstanceId("control-leader"); }

  // Returns the electorate of a zone with the given declared instances.
  static std::set<InstanceId> ElectorateOf(std::set<InstanceId> aInstances);

  CandidateOutput Tick(Millis aNow);
  CandidateOutput OnReply(const LeaseReply& aReply, Millis aNow);

  // Records that the control leader replied to a message sent at `aSentAt`.
  void OnLeaderContact(Millis aSentAt);

  // Gives up the lease and stops requesting it, for example while draining.
  // Another instance can acquire it when the voters' grants expire.
  CandidateOutput Resign(Millis aNow);

  // True while this instance holds the lease; no other instance can hold it
  // then.
  bool IsAuthority(Millis aNow) const { return mLeaseHeld && aNow < mLeaseEnd; }
  Epoch CurrentEpoch() const { return mEpoch; }

  // Time since the zone's authority last heard from the control leader.
  Millis LeaderContactAge(Millis aNow) const { return aNow - mLeaderContactAt; }

  Millis NextTick() const { return mNextAttempt; }

private:
  CandidateOutput StartRound(Millis aNow);
  LeaseRequest MakeRequest(Millis aNow) const;

  InstanceId mSelf;
  ZoneId mZone;
  std::set<InstanceId> mElectorate;
  Random mRandom;

  // Epoch of the current request or lease.
  Epoch mEpoch;
  // Largest epoch known from the epoch floor, own requests and voters' replies.
  Epoch mHighestSeen;
  uint64_t mRound = 0;
  Millis mRoundSentAt;
  // Voters that have granted the current round.
  std::set<InstanceId> mGrants;
  // True once a majority has granted the current round.
  bool mRoundWon = false;
  bool mResigned = false;

  // `mLeaseEnd` is measured from the send time of the last successful round.
  bool mLeaseHeld = false;
  Millis mLeaseEnd;
  // Time of the next round of requests.
  Millis mNextAttempt;
  Millis mLeaderContactAt;
};

} // namespace limpetwood::membership
