#include "fleet/membership_plan.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

using replication::GroupStatus;
using replication::MembershipChange;
using replication::PeerStatus;

// The same instance was heard later with another disk, so this one is gone.
bool
IsReplaced(const PeerStatus& aPeer, const GroupStatus& aStatus)
{
  return std::any_of(
    aStatus.peers.begin(), aStatus.peers.end(), [&](const PeerStatus& aOther) {
      return aOther.member != aPeer.member &&
             aOther.member.instance == aPeer.member.instance &&
             aOther.lastHeard > aPeer.lastHeard;
    });
}

} // namespace

std::optional<MembershipStep>
NextMembershipStep(const GroupStatus& aStatus,
                   const MembershipPlanOptions& aOptions,
                   Millis aNow)
{
  size_t voters = aStatus.membership.voters.size();
  size_t needed = aOptions.toleratedFailures * 2 + 1;
  const PeerStatus* lost = nullptr;
  const PeerStatus* ready = nullptr;
  for (const PeerStatus& it : aStatus.peers) {
    bool silent = aNow - it.lastHeard > aOptions.lostAfter;
    if (silent || IsReplaced(it, aStatus)) {
      // A voter is let go only while the others suffice.
      bool spare = !it.voter || voters > needed;
      if (spare && (lost == nullptr || it.voter)) {
        lost = &it;
      }
    } else if (!it.voter && !it.repairing && it.matchIndex > 0) {
      ready = &it;
    }
  }
  if (lost != nullptr) {
    return MembershipStep{ MembershipChange::kRemove, lost->member };
  }
  if (ready != nullptr && voters < aOptions.mostVoters) {
    return MembershipStep{ MembershipChange::kPromote, ready->member };
  }
  if (!aStatus.applicants.empty()) {
    return MembershipStep{ MembershipChange::kAddLearner,
                           aStatus.applicants.front() };
  }
  return std::nullopt;
}

} // namespace limpetwood::fleet
