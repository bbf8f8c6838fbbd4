// The first start of a group, and applications for membership.
//
// The configured voters are instance names without disk ids, so they cannot
// tell a first start from a lost disk. The replica whose name sorts first
// coordinates:
//
// 1. A replica without a group asks all configured voters for their status.
//    An answer repeats the asker's disk id, so an answer that was meant for an
//    earlier disk of the same instance does not count.
// 2. The coordinator proposes a membership with disk ids once every configured
//    voter has answered that its log is empty. The others store the proposal
//    and acknowledge it; a replica whose log is not empty refuses.
// 3. Once every voter has acknowledged, the coordinator alone may start the
//    first election.
//
// A group that has committed anything has at least one entry on a majority of
// its first voters, so after the loss of a minority of disks some configured
// voter still answers that it is active, and no second group can form. A lost
// disk comes back with another disk id, which is in no membership, and has to
// apply to the leader for admission.
//
// The coordinator may lead, write an entry that nobody else gets, and come back
// with a damaged log. It then waits for a leader to repair it, which the others
// cannot elect from empty logs. Once all of them have answered from their first
// disks that their logs are empty, nothing was committed and it goes on with
// what is left.
//
// A member that knows no leader asks as well: it may have been removed, or its
// admission may have been undone, without hearing of it.

#pragma once

#include "base/random.h"
#include "replication/message.h"

#include <map>
#include <optional>
#include <set>
#include <utility>

namespace limpetwood::replication::internal {

// What this replica tells others about itself.
struct OwnStatus
{
  FormationStatus status = FormationStatus::kEmpty;
  GroupId group{};
  Membership initial{};
  // Its log was damaged, so it takes no part in elections.
  bool repairing = false;
  std::optional<Member> leader{};
  // The latest known membership.
  Membership members{};
};

class Formation
{
public:
  // Without `aMayForm` this replica never proposes a group.
  Formation(Member aSelf,
            std::vector<InstanceId> aVoters,
            bool aMayForm,
            uint64_t aSeed);

  // Further instances to apply to.
  void SetDiscoveryInstances(std::vector<InstanceId> aContacts)
  {
    mContacts = std::move(aContacts);
  }

  // What a step decided.
  struct Outcome
  {
    std::vector<Message> messages{};
    // Store this membership under this group, then send the messages.
    std::optional<std::pair<GroupId, Membership>> prepare{};
    // The first election may start.
    bool bootstrap = false;
    // The group has never committed anything, so a damaged log lost nothing.
    bool nothingCommitted = false;
  };

  Outcome Receive(const Message& aMessage, const OwnStatus& aOwn);
  Outcome Tick(const OwnStatus& aOwn, Millis aNow);
  Millis NextTick() const { return mNext; }

private:
  bool IsCoordinator() const;
  bool NeedsAnswers(const OwnStatus& aOwn) const;
  // The instances that may know the group.
  std::set<InstanceId> Contacts(const OwnStatus& aOwn) const;
  bool IsConfigured(const InstanceId& aInstance) const;
  Message Make(MessageKind aKind, const Member& aTo) const;
  Outcome HandleHello(const Message& aMessage, const OwnStatus& aOwn) const;
  Outcome HandleHelloReply(const Message& aMessage, const OwnStatus& aOwn);
  Outcome HandleForm(const Message& aMessage, const OwnStatus& aOwn) const;
  Outcome HandleFormReply(const Message& aMessage, const OwnStatus& aOwn);
  // True if all other first voters answered, from their first disks, that their
  // logs are still empty.
  bool OthersNeverWrote(const OwnStatus& aOwn) const;
  // True if all configured voters answered that they are not active.
  bool AllInactive() const;
  Membership Proposal() const;
  Outcome Propose();

  const Member mSelf;
  const std::vector<InstanceId> mVoters;
  const bool mMayForm;
  std::vector<InstanceId> mContacts;
  Random mRandom;
  // `Millis::Max()` while no answers are needed.
  Millis mNext;
  struct Answer
  {
    DiskId disk{};
    FormationStatus status = FormationStatus::kEmpty;
    GroupId group{};
  };
  // Answers to this disk, by instance.
  std::map<InstanceId, Answer> mAnswers;
  // Who stored the current proposal.
  std::map<InstanceId, GroupId> mAcknowledged;
  // Where to apply besides the configured voters.
  std::optional<InstanceId> mLeaderHint;
};

} // namespace limpetwood::replication::internal
