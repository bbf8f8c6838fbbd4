// Formation of a new group, and requests of new replicas for admission.
//
// The configured voters are instance names without disk ids, so they cannot
// tell a first start from a lost disk. The configured voter whose name sorts
// first is the coordinator:
//
// 1. A replica without a group asks all configured voters for their status.
//    A reply repeats the asking replica's disk id; replies that are addressed
//    to an earlier disk of the same instance are ignored.
// 2. Once every configured voter has reported an empty log, the coordinator
//    proposes a membership with disk ids. The other voters store the proposal
//    and acknowledge it; a replica whose log is not empty ignores it.
// 3. Once every voter has acknowledged the proposal, the coordinator, and no
//    other replica, may start the first election.
//
// A group that has committed anything has at least one entry on a majority of
// its first voters. After the loss of a minority of disks, some configured
// voter therefore still reports that it is active, and no second group can
// form. An instance whose disk was lost has a new disk id, which is in no
// membership, and has to ask the leader for admission.
//
// The coordinator may become leader, write an entry that no other replica
// receives, and restart with a damaged log. Its log can be repaired only by a
// leader, but the other voters cannot elect one from empty logs. Once all of
// them have reported, from the disks that they had at formation, that their
// logs are empty, nothing was committed. The coordinator then ends the repair
// and continues with what is left of its log.
//
// A member that knows no leader asks for the status as well: it may have been
// removed, or its admission may have been undone, without being notified.

#pragma once

#include "base/random.h"
#include "replication/message.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace limpetwood::replication::internal {

// Status of this replica, as input to `Formation`.
struct LocalStatus
{
  FormationStatus status = FormationStatus::kEmpty;
  GroupId group{};
  Membership initialMembership{};
  // The log was damaged, so this replica does not take part in elections.
  bool repairing = false;
  std::optional<Member> leader{};
  // The latest known membership.
  Membership members{};
};

class Formation
{
public:
  // If `aAllowFormation` is false, this replica never proposes a group.
  Formation(Member aSelf,
            std::vector<InstanceId> aVoters,
            bool aAllowFormation,
            uint64_t aSeed);

  // Sets further instances to ask for the group.
  void SetDiscoveryInstances(std::vector<InstanceId> aInstances)
  {
    mDiscoveryInstances = std::move(aInstances);
  }

  // What the caller has to do after a step.
  struct Outcome
  {
    // To be sent after `prepare` was stored.
    std::vector<Message> messages{};
    // The id and initial membership of a new group, to be stored.
    std::optional<std::pair<GroupId, Membership>> prepare{};
    // This replica may start the first election.
    bool bootstrap = false;
    // The group has never committed anything, so the damage to this replica's
    // log lost no committed entry.
    bool nothingCommitted = false;
  };

  Outcome Receive(const Message& aMessage, const LocalStatus& aLocal);
  Outcome Tick(const LocalStatus& aLocal, Millis aNow);
  Millis NextTick() const { return mNextHelloAt; }

private:
  bool IsCoordinator() const;
  // True if this replica has to ask other instances for their status.
  bool NeedsStatusReplies(const LocalStatus& aLocal) const;
  // The instances to ask, without this one.
  std::set<InstanceId> InstancesToAsk(const LocalStatus& aLocal) const;
  bool IsConfiguredVoter(const InstanceId& aInstance) const;
  Message MakeMessage(MessageKind aKind, const Member& aTo) const;
  Outcome HandleHello(const Message& aMessage, const LocalStatus& aLocal) const;
  Outcome HandleHelloReply(const Message& aMessage, const LocalStatus& aLocal);
  Outcome HandleForm(const Message& aMessage, const LocalStatus& aLocal) const;
  Outcome HandleFormReply(const Message& aMessage, const LocalStatus& aLocal);
  // True if all other initial voters reported an empty log, from the disks that
  // they had at formation.
  bool AllOtherLogsEmpty(const LocalStatus& aLocal) const;
  // True if all other configured voters reported that they are not active.
  bool AllVotersInactive() const;
  // The configured voters with the disk ids from their replies.
  Membership ProposedMembership() const;
  Outcome ProposeGroup();

  const Member mSelf;
  const std::vector<InstanceId> mConfiguredVoters;
  const bool mAllowFormation;
  std::vector<InstanceId> mDiscoveryInstances;
  Random mRandom;
  // `Millis::Max()` while no status replies are needed.
  Millis mNextHelloAt;
  struct StatusReply
  {
    DiskId disk{};
    FormationStatus status = FormationStatus::kEmpty;
    GroupId group{};
  };
  // The latest reply of each configured voter that was addressed to this disk.
  std::map<InstanceId, StatusReply> mStatusReplies;
  // The group whose proposal each voter has acknowledged.
  std::map<InstanceId, GroupId> mFormAcks;
  // The leader named in the latest reply that named one.
  std::optional<InstanceId> mLeaderHint;
};

} // namespace limpetwood::replication::internal
