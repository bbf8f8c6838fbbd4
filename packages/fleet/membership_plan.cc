#include "fleet/membership_plan.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

using replication::GroupStatus;
using replication::MembershipChange;
using replication::PeerStatus;

// Whether the same instance was heard later with another disk, which proves
// that this member no longer exists.
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
    bool silent = aNow - it.lastHeard > aOptions.lossTimeout;
    if (silent || IsReplaced(it, aStatus)) {
      // A lost voter is removed only while enough others remain.
      bool removable = !it.voter || voters > needed;
      if (removable && (lost == nullptr || it.voter)) {
        lost = &it;
      }
    } else if (!it.voter && !it.repairing && it.matchIndex > 0) {
      ready = &it;
    }
  }
  if (lost != nullptr) {
    return MembershipStep{ MembershipChange::kRemove, lost->member };
  }
  if (ready != nullptr && voters < aOptions.maxVoters) {
    return MembershipStep{ MembershipChange::kPromote, ready->member };
  }
  if (!aStatus.applicants.empty()) {
    return MembershipStep{ MembershipChange::kAddLearner,
                           aStatus.applicants.front() };
  }
  return std::nullopt;
}

} // namespace limpetwood::fleet
