// Decides how the group of replicas changes when instances come and go.
//
// Answers instances that lose their disks, come back empty, or are replaced at
// another address: whoever applies becomes a learner, a learner that has caught
// up becomes a voter, and a voter that stays silent is removed once enough
// others are left. One change at a time.

#pragma once

#include "replication/group.h"

#include <optional>

namespace limpetwood::fleet {

struct MembershipStep
{
  replication::MembershipChange change{};
  replication::Member member{};
};

struct MembershipPlanOptions
{
  // Instances that may be lost at once; voters are never reduced below what
  // that needs.
  size_t toleratedFailures = 1;
  // A replica that was not heard for this long is taken for lost.
  Millis lostAfter = Millis(2000);
  // More voters slow down every commit without adding to what may be lost.
  size_t mostVoters = 7;
};

// The next change for a leader with this status, if any is due.
std::optional<MembershipStep>
NextMembershipStep(const replication::GroupStatus& aStatus,
                   const MembershipPlanOptions& aOptions,
                   Millis aNow);

} // namespace limpetwood::fleet
