// Plans changes of the replication group as instances join and fail.
//
// Handles instances that lose their disks, rejoin empty, or are replaced at
// another address: an applicant becomes a learner, a learner that stores part
// of the log and is not being repaired becomes a voter, and a silent voter is
// removed once enough other voters remain. One change is made at a time.

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
  // Number of instances that may fail at the same time. The number of voters is
  // never reduced below 2 * toleratedFailures + 1.
  size_t toleratedFailures = 1;
  // A replica that was silent for this long is considered lost.
  Millis lossTimeout = Millis(2000);
  // Maximum number of voters. More voters slow down every commit without
  // tolerating more failures than required.
  size_t maxVoters = 7;
};

// Returns the next change that a leader with this status should make, if any.
std::optional<MembershipStep>
NextMembershipStep(const replication::GroupStatus& aStatus,
                   const MembershipPlanOptions& aOptions,
                   Millis aNow);

} // namespace limpetwood::fleet
