// Tests which membership change the leader of a group makes next.

#include "fleet/membership_plan.h"

#include <gtest/gtest.h>

namespace limpetwood::fleet {
namespace {

using replication::DiskId;
using replication::GroupStatus;
using replication::Member;
using replication::MembershipChange;
using replication::PeerStatus;

constexpr Millis kNow(100'000);

Member
MemberOf(const std::string& aInstance, uint64_t aDisk = 1)
{
  return { .instance = InstanceId(aInstance), .disk = DiskId(aDisk) };
}

// Returns the status of a leader "a" with these other members.
GroupStatus
StatusOf(std::vector<PeerStatus> aPeers)
{
  GroupStatus out;
  out.self = MemberOf("a");
  out.membership.voters.push_back(out.self);
  for (const PeerStatus& it : aPeers) {
    (it.voter ? out.membership.voters : out.membership.learners)
      .push_back(it.member);
  }
  out.peers = std::move(aPeers);
  return out;
}

// `aSilent` is the time since the leader last heard from the member.
PeerStatus
Peer(const Member& aMember, bool aVoter, Millis aSilent = Millis(100))
{
  return { .member = aMember,
           .voter = aVoter,
           .matchIndex = 10,
           .lastHeard = kNow - aSilent };
}

// Guards against needless membership changes.
TEST(MembershipPlan, NoChangeWhileAllMembersRespond)
{
  auto status =
    StatusOf({ Peer(MemberOf("b"), true), Peer(MemberOf("c"), true) });
  EXPECT_FALSE(NextMembershipStep(status, {}, kNow));
}

// Guards against an applicant that becomes a voter without being a learner
// first.
TEST(MembershipPlan, ApplicantIsAdmittedThenPromoted)
{
  auto status =
    StatusOf({ Peer(MemberOf("b"), true), Peer(MemberOf("c"), true) });
  status.applicants.push_back(MemberOf("d"));
  auto step = NextMembershipStep(status, {}, kNow);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->change, MembershipChange::kAddLearner);
  status = StatusOf({ Peer(MemberOf("b"), true),
                      Peer(MemberOf("c"), true),
                      Peer(MemberOf("d"), false) });
  step = NextMembershipStep(status, {}, kNow);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->change, MembershipChange::kPromote);
}

// Guards against removing a voter without a replacement: the group would
// tolerate fewer failures.
TEST(MembershipPlan, SilentVoterStaysWhileItIsNeeded)
{
  auto status = StatusOf(
    { Peer(MemberOf("b"), true), Peer(MemberOf("c"), true, Seconds(60)) });
  EXPECT_FALSE(NextMembershipStep(status, {}, kNow));
}

// Guards against a silent voter that stays although the group has enough
// others.
TEST(MembershipPlan, SilentVoterIsRemovedOnceOthersSuffice)
{
  auto status = StatusOf({ Peer(MemberOf("b"), true),
                           Peer(MemberOf("c"), true, Seconds(60)),
                           Peer(MemberOf("d"), true) });
  auto step = NextMembershipStep(status, {}, kNow);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->change, MembershipChange::kRemove);
  EXPECT_EQ(step->member, MemberOf("c"));
}

// Guards against removing the wrong member: an instance that rejoined with an
// empty disk is listed twice for a while, and the member with the old disk must
// be removed, not the new one. Otherwise the new member could be removed each
// time the instance rejoins.
TEST(MembershipPlan, OldDiskOfAnInstanceIsRemoved)
{
  auto status = StatusOf({ Peer(MemberOf("b"), true),
                           Peer(MemberOf("c", 1), true, Millis(900)),
                           Peer(MemberOf("c", 2), true, Millis(50)) });
  auto step = NextMembershipStep(status, {}, kNow);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->change, MembershipChange::kRemove);
  EXPECT_EQ(step->member, MemberOf("c", 1));
}

// Guards against removing the member with the old disk while the one with the
// new disk cannot vote yet: the group would tolerate fewer failures.
TEST(MembershipPlan, NewDiskIsPromotedBeforeTheOldOneIsRemoved)
{
  auto status = StatusOf({ Peer(MemberOf("b"), true),
                           Peer(MemberOf("c", 1), true, Millis(900)),
                           Peer(MemberOf("c", 2), false, Millis(50)) });
  auto step = NextMembershipStep(status, {}, kNow);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->change, MembershipChange::kPromote);
  EXPECT_EQ(step->member, MemberOf("c", 2));
}

} // namespace
} // namespace limpetwood::fleet
