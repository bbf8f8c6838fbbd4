// Identities, timing and membership of a replicated group.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace limpetwood::replication {

// Random number written when a data folder is created. It never changes
// afterwards, so an instance whose disk was lost or replaced gets another one.
using DiskId = StrongInt<struct DiskIdTag>;

// Random number chosen when a group is formed.
using GroupId = StrongInt<struct GroupIdTag>;

// Identity of a replica. An instance that restarts with an empty disk is a
// different member, because it has lost its votes and log entries.
struct Member
{
  InstanceId instance;
  DiskId disk;

  auto operator<=>(const Member&) const = default;
};

// The members of a group. Voters count towards the quorum of commits and
// elections; learners only receive the log.
struct Membership
{
  std::vector<Member> voters{};
  std::vector<Member> learners{};

  bool operator==(const Membership&) const = default;

  bool IsVoter(const Member& aMember) const
  {
    return std::find(voters.begin(), voters.end(), aMember) != voters.end();
  }
  bool IsLearner(const Member& aMember) const
  {
    return std::find(learners.begin(), learners.end(), aMember) !=
           learners.end();
  }
  bool Contains(const Member& aMember) const
  {
    return IsVoter(aMember) || IsLearner(aMember);
  }
  size_t Quorum() const { return voters.size() / 2 + 1; }
};

struct Timing
{
  // Interval of heartbeats from the leader to voters.
  Millis heartbeat{ 500 };
  // Interval of heartbeats to learners. They do not extend the lease and only
  // tell learners that the leader is alive.
  Millis learnerHeartbeat{ 1000 };
  // Election timeouts are drawn from this range. A voter that heard from a
  // leader grants no vote for `electionMin`.
  Millis electionMin{ 1500 };
  Millis electionMax{ 3000 };
  // Clock rates of two instances are assumed to differ by less than this
  // during `electionMin`. The leader lease is shortened by the same share.
  int64_t maxClockDriftPercent = 10;

  // Length of the leader lease, counted from when a heartbeat round was sent
  // that a quorum acknowledged. The extra millisecond covers the rounding of
  // both clocks.
  constexpr Millis LeaseDuration() const
  {
    return electionMin * (100 - maxClockDriftPercent) / 100 - Millis(1);
  }
};

// Each flag disables one safety mechanism, so that tests can verify that their
// checks detect its absence. All are false outside of tests.
struct TestFaults
{
  bool skipSync = false;
  bool skipPreVote = false;
  bool skipCheckQuorum = false;
  // Serves reads on a leader whose lease has expired.
  bool skipLeaseOnReads = false;
  // Treats a replica with another disk id as the same member.
  bool ignoreDiskIds = false;
  // Promotes learners that have not caught up.
  bool promoteAnyLearner = false;
  // Lets a replica with a damaged log vote and count towards a quorum.
  bool skipRepair = false;
};

} // namespace limpetwood::replication
