#include "replication/internal/formation.h"

#include <algorithm>

namespace limpetwood::replication::internal {
namespace {

constexpr Millis kHelloInterval(300);

} // namespace

Formation::Formation(Member aSelf,
                     std::vector<InstanceId> aVoters,
                     bool aMayForm,
                     uint64_t aSeed)
  : mSelf(std::move(aSelf))
  , mVoters(std::move(aVoters))
  , mMayForm(aMayForm)
  , mRandom(aSeed)
{
}

bool
Formation::IsConfigured(const InstanceId& aInstance) const
{
  return std::find(mVoters.begin(), mVoters.end(), aInstance) != mVoters.end();
}

bool
Formation::IsCoordinator() const
{
  return mMayForm && !mVoters.empty() &&
         *std::min_element(mVoters.begin(), mVoters.end()) == mSelf.instance;
}

Message
Formation::Make(MessageKind aKind, const Member& aTo) const
{
  Message out;
  out.kind = aKind;
  out.to = aTo;
  out.from = mSelf;
  return out;
}

Formation::Outcome
Formation::Receive(const Message& aMessage, const OwnStatus& aOwn)
{
  switch (aMessage.kind) {
    case MessageKind::kHello:
      return HandleHello(aMessage, aOwn);
    case MessageKind::kHelloReply:
      return HandleHelloReply(aMessage, aOwn);
    case MessageKind::kForm:
      return HandleForm(aMessage, aOwn);
    case MessageKind::kFormReply:
      return HandleFormReply(aMessage, aOwn);
    default:
      return {};
  }
}

bool
Formation::NeedsAnswers(const OwnStatus& aOwn) const
{
  switch (aOwn.status) {
    case FormationStatus::kEmpty:
      return true;
    case FormationStatus::kPrepared:
      return IsCoordinator();
    case FormationStatus::kActive:
      break;
  }
  return !aOwn.leader;
}

std::set<InstanceId>
Formation::Contacts(const OwnStatus& aOwn) const
{
  std::set<InstanceId> out(mVoters.begin(), mVoters.end());
  out.insert(mContacts.begin(), mContacts.end());
  for (const Member& it : aOwn.members.voters) {
    out.insert(it.instance);
  }
  if (mLeaderHint) {
    out.insert(*mLeaderHint);
  }
  out.erase(mSelf.instance);
  return out;
}

Formation::Outcome
Formation::Tick(const OwnStatus& aOwn, Millis aNow)
{
  Outcome out;
  if (!NeedsAnswers(aOwn)) {
    mNext = Millis::Max();
    return out;
  }
  if (mNext == Millis::Max()) {
    mNext = aNow;
  }
  if (aNow < mNext) {
    return out;
  }
  mNext = aNow + kHelloInterval;
  if (aOwn.status == FormationStatus::kEmpty && IsCoordinator() &&
      mVoters.size() == 1) {
    return Propose();
  }
  for (const InstanceId& it : Contacts(aOwn)) {
    out.messages.push_back(Make(MessageKind::kHello, { it, DiskId() }));
  }
  out.bootstrap = aOwn.status == FormationStatus::kPrepared &&
                  aOwn.initial.voters.size() == 1;
  return out;
}

Formation::Outcome
Formation::HandleHello(const Message& aMessage, const OwnStatus& aOwn) const
{
  Message reply = Make(MessageKind::kHelloReply, aMessage.from);
  reply.group = aOwn.group;
  reply.status = aOwn.status;
  if (aOwn.leader) {
    reply.leader = aOwn.leader->instance;
  }
  Outcome out;
  out.messages.push_back(std::move(reply));
  return out;
}

bool
Formation::AllInactive() const
{
  return std::all_of(
    mVoters.begin(), mVoters.end(), [&](const InstanceId& aVoter) {
      auto it = mAnswers.find(aVoter);
      return aVoter == mSelf.instance ||
             (it != mAnswers.end() &&
              it->second.status != FormationStatus::kActive);
    });
}

bool
Formation::OthersNeverWrote(const OwnStatus& aOwn) const
{
  const std::vector<Member>& voters = aOwn.initial.voters;
  return aOwn.initial.IsVoter(mSelf) &&
         std::all_of(voters.begin(), voters.end(), [&](const Member& aVoter) {
           auto it = mAnswers.find(aVoter.instance);
           return aVoter == mSelf ||
                  (it != mAnswers.end() && it->second.disk == aVoter.disk &&
                   it->second.status == FormationStatus::kPrepared &&
                   it->second.group == aOwn.group);
         });
}

Membership
Formation::Proposal() const
{
  Membership out;
  for (const InstanceId& it : mVoters) {
    out.voters.push_back(
      it == mSelf.instance ? mSelf : Member{ it, mAnswers.at(it).disk });
  }
  std::sort(out.voters.begin(), out.voters.end());
  return out;
}

Formation::Outcome
Formation::Propose()
{
  Outcome out;
  mAcknowledged.clear();
  // 48 bits, so that the number stays short on the wire.
  out.prepare = { GroupId(mRandom() >> 16U | 1U), Proposal() };
  out.bootstrap = mVoters.size() == 1;
  return out;
}

Formation::Outcome
Formation::HandleHelloReply(const Message& aMessage, const OwnStatus& aOwn)
{
  if (aMessage.to.disk != mSelf.disk) {
    return {};
  }
  if (!aMessage.leader.empty()) {
    mLeaderHint = aMessage.leader;
  }
  if (!IsConfigured(aMessage.from.instance)) {
    return {};
  }
  mAnswers[aMessage.from.instance] = { aMessage.from.disk,
                                       aMessage.status,
                                       aMessage.group };
  if (aOwn.status == FormationStatus::kActive) {
    Outcome out;
    out.nothingCommitted = aOwn.repairing && OthersNeverWrote(aOwn);
    return out;
  }
  if (!IsCoordinator()) {
    return {};
  }
  if (!AllInactive()) {
    return {};
  }
  if (aOwn.status == FormationStatus::kEmpty ||
      aOwn.initial.voters != Proposal().voters) {
    return Propose();
  }
  // The proposal stands; it is offered again to whoever answers.
  Outcome out;
  Message form = Make(MessageKind::kForm, aMessage.from);
  form.group = aOwn.group;
  form.membership = aOwn.initial;
  out.messages.push_back(std::move(form));
  return out;
}

Formation::Outcome
Formation::HandleForm(const Message& aMessage, const OwnStatus& aOwn) const
{
  const std::vector<Member>& voters = aMessage.membership.voters;
  bool valid = aMessage.to.disk == mSelf.disk &&
               aMessage.membership.IsVoter(mSelf) &&
               aMessage.membership.IsVoter(aMessage.from) &&
               voters.size() == mVoters.size() &&
               std::all_of(voters.begin(), voters.end(), [&](const Member& it) {
                 return IsConfigured(it.instance);
               });
  bool same = aMessage.group == aOwn.group;
  if (!valid || (aOwn.status == FormationStatus::kActive && !same)) {
    return {};
  }
  Outcome out;
  if (!same) {
    out.prepare = { aMessage.group, aMessage.membership };
  }
  Message reply = Make(MessageKind::kFormReply, aMessage.from);
  reply.group = aMessage.group;
  out.messages.push_back(std::move(reply));
  return out;
}

Formation::Outcome
Formation::HandleFormReply(const Message& aMessage, const OwnStatus& aOwn)
{
  Outcome out;
  if (aMessage.to.disk != mSelf.disk || aMessage.group != aOwn.group ||
      aOwn.status != FormationStatus::kPrepared || !IsCoordinator() ||
      !aOwn.initial.IsVoter(aMessage.from)) {
    return out;
  }
  mAcknowledged[aMessage.from.instance] = aMessage.group;
  out.bootstrap =
    std::all_of(aOwn.initial.voters.begin(),
                aOwn.initial.voters.end(),
                [&](const Member& it) {
                  auto found = mAcknowledged.find(it.instance);
                  return it == mSelf || (found != mAcknowledged.end() &&
                                         found->second == aOwn.group);
                });
  return out;
}

} // namespace limpetwood::replication::internal
