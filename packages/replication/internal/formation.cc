#include "replication/internal/formation.h"

#include <algorithm>

namespace limpetwood::replication::internal {
namespace {

// Interval at which other instances are asked for their status.
constexpr Millis kHelloInterval(300);

} // namespace

Formation::Formation(Member aSelf,
                     std::vector<InstanceId> aVoters,
                     bool aAllowFormation,
                     uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mConfiguredVoters(std::move(aVoters))
  , mAllowFormation(aAllowFormation)
  , mRandom(aSeed)
{
}

bool
Formation::IsConfiguredVoter(const InstanceId& aInstance) const
{
  return std::find(mConfiguredVoters.begin(),
                   mConfiguredVoters.end(),
                   aInstance) != mConfiguredVoters.end();
}

bool
Formation::IsCoordinator() const
{
  return mAllowFormation && !mConfiguredVoters.empty() &&
         *std::min_element(mConfiguredVoters.begin(),
                           mConfiguredVoters.end()) == mSelf.instance;
}

Message
Formation::MakeMessage(MessageKind aKind, const Member& aTo) const
{
  Message out;
  out.kind = aKind;
  out.to = aTo;
  out.from = mSelf;
  return out;
}

Formation::Outcome
Formation::Receive(const Message& aMessage, const LocalStatus& aLocal)
{
  switch (aMessage.kind) {
    case MessageKind::kHello:
      return HandleHello(aMessage, aLocal);
    case MessageKind::kHelloReply:
      return HandleHelloReply(aMessage, aLocal);
    case MessageKind::kForm:
      return HandleForm(aMessage, aLocal);
    case MessageKind::kFormReply:
      return HandleFormReply(aMessage, aLocal);
    default:
      return {};
  }
}

bool
Formation::NeedsStatusReplies(const LocalStatus& aLocal) const
{
  switch (aLocal.status) {
    case FormationStatus::kEmpty:
      return true;
    case FormationStatus::kPrepared:
      return IsCoordinator();
    case FormationStatus::kActive:
      break;
  }
  return !aLocal.leader;
}

std::set<InstanceId>
Formation::InstancesToAsk(const LocalStatus& aLocal) const
{
  std::set<InstanceId> out(mConfiguredVoters.begin(), mConfiguredVoters.end());
  out.insert(mDiscoveryInstances.begin(), mDiscoveryInstances.end());
  for (const Member& it : aLocal.members.voters) {
    out.insert(it.instance);
  }
  if (mLeaderHint) {
    out.insert(*mLeaderHint);
  }
  out.erase(mSelf.instance);
  return out;
}

Formation::Outcome
Formation::Tick(const LocalStatus& aLocal, Millis aNow)
{
  Outcome out;
  if (!NeedsStatusReplies(aLocal)) {
    mNextHelloAt = Millis::Max();
    return out;
  }
  if (mNextHelloAt == Millis::Max()) {
    mNextHelloAt = aNow;
  }
  if (aNow < mNextHelloAt) {
    return out;
  }
  mNextHelloAt = aNow + kHelloInterval;
  if (aLocal.status == FormationStatus::kEmpty && IsCoordinator() &&
      mConfiguredVoters.size() == 1) {
    return ProposeGroup();
  }
  // Disk id 0 addresses the instance, whichever disk it has.
  for (const InstanceId& it : InstancesToAsk(aLocal)) {
    out.messages.push_back(MakeMessage(MessageKind::kHello, { it, DiskId() }));
  }
  out.bootstrap = aLocal.status == FormationStatus::kPrepared &&
                  aLocal.initialMembership.voters.size() == 1;
  return out;
}

Formation::Outcome
Formation::HandleHello(const Message& aMessage, const LocalStatus& aLocal) const
{
  Message reply = MakeMessage(MessageKind::kHelloReply, aMessage.from);
  reply.group = aLocal.group;
  reply.status = aLocal.status;
  if (aLocal.leader) {
    reply.leader = aLocal.leader->instance;
  }
  Outcome out;
  out.messages.push_back(std::move(reply));
  return out;
}

bool
Formation::AllVotersInactive() const
{
  return std::all_of(mConfiguredVoters.begin(),
                     mConfiguredVoters.end(),
                     [&](const InstanceId& aVoter) {
                       auto it = mStatusReplies.find(aVoter);
                       return aVoter == mSelf.instance ||
                              (it != mStatusReplies.end() &&
                               it->second.status != FormationStatus::kActive);
                     });
}

bool
Formation::AllOtherLogsEmpty(const LocalStatus& aLocal) const
{
  const std::vector<Member>& voters = aLocal.initialMembership.voters;
  return aLocal.initialMembership.IsVoter(mSelf) &&
         std::all_of(voters.begin(), voters.end(), [&](const Member& aVoter) {
           auto it = mStatusReplies.find(aVoter.instance);
           return aVoter == mSelf ||
                  (it != mStatusReplies.end() &&
                   it->second.disk == aVoter.disk &&
                   it->second.status == FormationStatus::kPrepared &&
                   it->second.group == aLocal.group);
         });
}

Membership
Formation::ProposedMembership() const
{
  Membership out;
  for (const InstanceId& it : mConfiguredVoters) {
    out.voters.push_back(
      it == mSelf.instance ? mSelf : Member{ it, mStatusReplies.at(it).disk });
  }
  std::sort(out.voters.begin(), out.voters.end());
  return out;
}

Formation::Outcome
Formation::ProposeGroup()
{
  Outcome out;
  mFormAcks.clear();
  // A random identifier that is never 0. It has 48 bits, because a smaller
  // number takes fewer bytes as a variable-length integer on the wire.
  out.prepare = { GroupId(mRandom() >> 16U | 1U), ProposedMembership() };
  out.bootstrap = mConfiguredVoters.size() == 1;
  return out;
}

Formation::Outcome
Formation::HandleHelloReply(const Message& aMessage, const LocalStatus& aLocal)
{
  if (aMessage.to.disk != mSelf.disk) {
    return {};
  }
  if (!aMessage.leader.empty()) {
    mLeaderHint = aMessage.leader;
  }
  if (!IsConfiguredVoter(aMessage.from.instance)) {
    return {};
  }
  mStatusReplies[aMessage.from.instance] = { aMessage.from.disk,
                                             aMessage.status,
                                             aMessage.group };
  if (aLocal.status == FormationStatus::kActive) {
    Outcome out;
    out.nothingCommitted = aLocal.repairing && AllOtherLogsEmpty(aLocal);
    return out;
  }
  if (!IsCoordinator()) {
    return {};
  }
  if (!AllVotersInactive()) {
    return {};
  }
  if (aLocal.status == FormationStatus::kEmpty ||
      aLocal.initialMembership.voters != ProposedMembership().voters) {
    return ProposeGroup();
  }
  // The proposal is unchanged; sends it again to the replica that replied.
  Outcome out;
  Message form = MakeMessage(MessageKind::kForm, aMessage.from);
  form.group = aLocal.group;
  form.membership = aLocal.initialMembership;
  out.messages.push_back(std::move(form));
  return out;
}

Formation::Outcome
Formation::HandleForm(const Message& aMessage, const LocalStatus& aLocal) const
{
  const std::vector<Member>& voters = aMessage.membership.voters;
  bool valid = aMessage.to.disk == mSelf.disk &&
               aMessage.membership.IsVoter(mSelf) &&
               aMessage.membership.IsVoter(aMessage.from) &&
               voters.size() == mConfiguredVoters.size() &&
               std::all_of(voters.begin(), voters.end(), [&](const Member& it) {
                 return IsConfiguredVoter(it.instance);
               });
  bool sameGroup = aMessage.group == aLocal.group;
  if (!valid || (aLocal.status == FormationStatus::kActive && !sameGroup)) {
    return {};
  }
  Outcome out;
  if (!sameGroup) {
    out.prepare = { aMessage.group, aMessage.membership };
  }
  Message reply = MakeMessage(MessageKind::kFormReply, aMessage.from);
  reply.group = aMessage.group;
  out.messages.push_back(std::move(reply));
  return out;
}

Formation::Outcome
Formation::HandleFormReply(const Message& aMessage, const LocalStatus& aLocal)
{
  Outcome out;
  if (aMessage.to.disk != mSelf.disk || aMessage.group != aLocal.group ||
      aLocal.status != FormationStatus::kPrepared || !IsCoordinator() ||
      !aLocal.initialMembership.IsVoter(aMessage.from)) {
    return out;
  }
  mFormAcks[aMessage.from.instance] = aMessage.group;
  out.bootstrap =
    std::all_of(aLocal.initialMembership.voters.begin(),
                aLocal.initialMembership.voters.end(),
                [&](const Member& it) {
                  auto found = mFormAcks.find(it.instance);
                  return it == mSelf || (found != mFormAcks.end() &&
                                         found->second == aLocal.group);
                });
  return out;
}

} // namespace limpetwood::replication::internal
