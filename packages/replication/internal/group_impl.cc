#include "replication/internal/group_impl.h"

#include "base/error.h"
#include "base/hash.h"

#include <random>

namespace limpetwood::replication::internal {
namespace {

// Identifiers have 48 bits, so that they stay short on the wire.
uint64_t
NewIdentifier(Random& aRandom)
{
  return aRandom() >> 16U | 1U;
}

} // namespace

GroupImpl::GroupImpl(GroupOptions aOptions,
                     StateMachine& aMachine,
                     SendFunction aSend)
  : mOptions(std::move(aOptions))
  , mMachine(aMachine)
  , mSend(std::move(aSend))
{
}

Result<std::unique_ptr<GroupImpl>>
GroupImpl::Open(GroupOptions aOptions,
                StateMachine& aMachine,
                SendFunction aSend)
{
  // A simulated disk goes with a simulation, which must be repeatable.
  uint64_t entropy = 0;
  if (aOptions.disk == nullptr) {
    std::random_device device;
    entropy = (static_cast<uint64_t>(device()) << 32U) | device();
  }
  std::unique_ptr<GroupImpl> group(
    new GroupImpl(std::move(aOptions), aMachine, std::move(aSend)));
  if (std::error_code ec = group->Load(entropy)) {
    return ec;
  }
  return group;
}

std::error_code
GroupImpl::Load(uint64_t aEntropy)
{
  Random random(Hash64(mOptions.self.Value(), mOptions.seed) ^ aEntropy);
  LogStoreOptions options{ .folder = mOptions.folder,
                           .newDisk = DiskId(NewIdentifier(random)) };
  mRepair = NewIdentifier(random);
  mSeed = random();
  LoadedLog loaded;
  Disk& disk = mOptions.disk != nullptr ? *mOptions.disk : RealDisk();
  auto store = LogStore::Open(disk, std::move(options), loaded);
  if (!store) {
    return store.Error();
  }
  mStore = std::move(store).Value();
  mState = loaded.state;
  mSelf = { mOptions.self, mState.disk };
  mFormation.emplace(mSelf, mOptions.voters, mOptions.allowFormation, random());
  if (loaded.snapshot.index > 0 && !mMachine.Restore(*loaded.snapshot.data)) {
    return Errc::kCorrupt;
  }
  mApplied = loaded.snapshot.index;
  if (mState.group.Value() != 0) {
    CreateRaft({ .hard = mState.hard,
                 .initial = mState.initial,
                 .snapshot = std::move(loaded.snapshot),
                 .entries = std::move(loaded.entries) });
  }
  return {};
}

void
GroupImpl::CreateRaft(RaftState aState)
{
  if (mOptions.faults.skipRepair) {
    aState.hard.repairing = false;
  }
  mRaft = std::make_unique<Raft>(RaftOptions{ .self = mSelf,
                                              .timing = mOptions.timing,
                                              .seed = mSeed,
                                              .repair = mRepair,
                                              .faults = mOptions.faults },
                                 std::move(aState));
}

OwnStatus
GroupImpl::StatusForFormation() const
{
  OwnStatus out;
  if (mRaft) {
    out.status = mRaft->IsEmpty() && mState.initial.IsVoter(mSelf) &&
                     !mRaft->Hard().repairing
                   ? FormationStatus::kPrepared
                   : FormationStatus::kActive;
    out.repairing = mRaft->Hard().repairing;
    out.leader = mRaft->Leader();
    out.members = mRaft->CurrentMembership();
  }
  out.group = mState.group;
  out.initial = mState.initial;
  return out;
}

void
GroupImpl::Handle(Formation::Outcome aOutcome)
{
  if (aOutcome.prepare) {
    auto& [group, membership] = *aOutcome.prepare;
    mState.group = group;
    mState.initial = membership;
    mState.hard = {};
    mStateChanged = true;
    CreateRaft({ .initial = std::move(membership) });
  }
  for (Message& it : aOutcome.messages) {
    mFormationMessages.push_back(std::move(it));
  }
  if (aOutcome.bootstrap && mRaft) {
    mRaft->AllowBootstrap();
  }
  if (aOutcome.nothingCommitted && mRaft) {
    mRaft->EndRepair();
  }
}

void
GroupImpl::RecordApplicant(const Message& aMessage)
{
  if (mRaft && mRaft->CurrentRole() == Role::kLeader &&
      !mRaft->CurrentMembership().Contains(aMessage.from)) {
    mApplicants[aMessage.from.instance] = aMessage.from.disk;
  }
}

void
GroupImpl::HandleRaft(const Message& aMessage)
{
  bool mine = aMessage.to.disk == mSelf.disk || mOptions.faults.skipDiskIds;
  if (!mine) {
    return;
  }
  if (!mRaft && (aMessage.kind == MessageKind::kAppend ||
                 aMessage.kind == MessageKind::kSnapshot ||
                 mOptions.faults.skipDiskIds)) {
    // The leader of a group admitted this replica as a learner.
    mState.group = aMessage.group;
    mStateChanged = true;
    CreateRaft({});
  }
  if (mRaft && aMessage.group == mState.group) {
    mRaft->Step(aMessage, mNow);
  }
}

void
GroupImpl::Receive(const InstanceId& aFrom,
                   std::string_view aBytes,
                   Millis aNow)
{
  mNow = aNow;
  mQueued = true;
  Result<Message> decoded = DecodeMessage(aBytes);
  if (!decoded || mDiskError) {
    return;
  }
  Message& message = decoded.Value();
  message.from.instance = aFrom;
  message.to.instance = mOptions.self;
  switch (message.kind) {
    case MessageKind::kHello:
      RecordApplicant(message);
      [[fallthrough]];
    case MessageKind::kHelloReply:
    case MessageKind::kForm:
    case MessageKind::kFormReply:
      Handle(mFormation->Receive(message, StatusForFormation()));
      break;
    default:
      HandleRaft(message);
      break;
  }
}

void
GroupImpl::Tick(Millis aNow)
{
  mNow = aNow;
  mQueued = false;
  if (!mDiskError) {
    Handle(mFormation->Tick(StatusForFormation(), aNow));
    if (mRaft) {
      mRaft->Tick(aNow);
    }
    while (Flush()) {
    }
  }
  DropStaleProposals();
  for (auto& it : std::exchange(mCallbacks, {})) {
    it();
  }
}

Millis
GroupImpl::NextTick() const
{
  if (mQueued || !mCallbacks.empty()) {
    return mNow;
  }
  if (mDiskError) {
    return Millis::Max();
  }
  Millis next = mFormation->NextTick();
  return mRaft ? std::min(next, mRaft->NextTick()) : next;
}

bool
GroupImpl::Flush()
{
  if (mDiskError) {
    return false;
  }
  Effects effects = mRaft ? mRaft->TakeEffects(mNow) : Effects();
  std::vector<Message> late = std::exchange(mFormationMessages, {});
  if (effects.empty() && late.empty() && !mStateChanged) {
    return false;
  }
  if (!mStateChanged) {
    Send(std::exchange(effects.early, {}));
  }
  if (std::error_code ec = Write(effects)) {
    StepDown(ec);
    return false;
  }
  Send(std::move(effects.early));
  if (mRaft) {
    mRaft->Synced(mNow);
  }
  Send(std::move(late));
  Send(std::move(effects.late));
  ApplyCommitted(effects.committed);
  AnswerReads(effects.reads);
  MaybeSnapshot();
  return true;
}

std::error_code
GroupImpl::Write(const Effects& aEffects)
{
  if (aEffects.state) {
    mState.hard = *aEffects.state;
  }
  if (aEffects.state || mStateChanged) {
    if (std::error_code ec = mStore->WriteState(mState)) {
      return ec;
    }
    mStateChanged = false;
  }
  if (aEffects.installed) {
    if (std::error_code ec = mStore->InstallSnapshot(*aEffects.installed)) {
      return ec;
    }
    if (!mMachine.Restore(*aEffects.installed->data)) {
      return Errc::kCorrupt;
    }
    mApplied = aEffects.installed->index;
    mAppliedBytes = 0;
  }
  if (aEffects.entries.empty()) {
    return {};
  }
  if (std::error_code ec = mStore->Append(aEffects.entries)) {
    return ec;
  }
  return mOptions.faults.skipSync ? std::error_code() : mStore->Sync();
}

void
GroupImpl::ApplyCommitted(const std::vector<Entry>& aEntries)
{
  for (const Entry& it : aEntries) {
    ProposeOutcome outcome{ .verdict = Verdict::kAnswered, .index = it.index };
    if (it.kind == EntryKind::kCommand) {
      outcome.result = mMachine.Apply(it.index, it.data);
    }
    mApplied = it.index;
    mAppliedBytes += it.data.size();
    auto pending = mPending.find(it.index);
    if (pending == mPending.end()) {
      continue;
    }
    if (pending->second.term != it.term) {
      // Another entry took its place, so it can never be committed.
      outcome = { .verdict = Verdict::kNotRun,
                  .error = Errc::kNotLeader,
                  .index = it.index };
    }
    mCallbacks.emplace_back(
      [done = std::move(pending->second.done),
       result = std::move(outcome)]() mutable { done(std::move(result)); });
    mPending.erase(pending);
  }
}

void
GroupImpl::AnswerReads(const std::vector<ReadResult>& aResults)
{
  for (const ReadResult& it : aResults) {
    auto found = mReads.find(it.ticket);
    if (found != mReads.end()) {
      mCallbacks.emplace_back(
        [done = std::move(found->second), error = it.error] { done(error); });
      mReads.erase(found);
    }
  }
}

void
GroupImpl::DropStaleProposals()
{
  bool leading = mRaft && !mDiskError && mRaft->CurrentRole() == Role::kLeader;
  for (auto it = mPending.begin(); it != mPending.end();) {
    if (leading && it->second.term == mRaft->Term()) {
      ++it;
      continue;
    }
    mCallbacks.emplace_back(
      [done = std::move(it->second.done),
       outcome =
         ProposeOutcome{ .verdict = Verdict::kMayHaveRun,
                         .error = mDiskError ? mDiskError : Errc::kNotLeader,
                         .index = it->first }] { done(outcome); });
    it = mPending.erase(it);
  }
  if (!leading) {
    mApplicants.clear();
  }
}

void
GroupImpl::MaybeSnapshot()
{
  if (!mRaft || mApplied == mRaft->LatestSnapshot().index ||
      (mApplied - mRaft->LatestSnapshot().index < mOptions.snapshotEntries &&
       mAppliedBytes < mOptions.snapshotBytes)) {
    return;
  }
  mRaft->Compact(mApplied,
                 std::make_shared<const std::string>(mMachine.TakeSnapshot()));
  mAppliedBytes = 0;
  if (std::error_code ec = mStore->SaveSnapshot(mRaft->LatestSnapshot())) {
    StepDown(ec);
  }
}

void
GroupImpl::Send(std::vector<Message> aMessages)
{
  for (Message& it : aMessages) {
    if (it.kind >= MessageKind::kVote) {
      it.group = mState.group;
    }
    mSend(it.to.instance, EncodeMessage(it));
  }
}

void
GroupImpl::StepDown(std::error_code aError)
{
  mDiskError = aError;
  if (mRaft) {
    mRaft->Halt();
  }
  for (auto& [ticket, done] : std::exchange(mReads, {})) {
    mCallbacks.emplace_back(
      [callback = std::move(done), aError] { callback(aError); });
  }
}

void
GroupImpl::FailLater(std::error_code aError, ProposeCallback aDone)
{
  mCallbacks.emplace_back([done = std::move(aDone), aError] {
    done({ .verdict = Verdict::kNotRun, .error = aError });
  });
}

void
GroupImpl::Await(const Result<Position>& aPosition, ProposeCallback aDone)
{
  if (!aPosition) {
    FailLater(aPosition.Error(), std::move(aDone));
    return;
  }
  mPending[aPosition.Value().index] = { aPosition.Value().term,
                                        std::move(aDone) };
}

void
GroupImpl::Propose(std::string aCommand, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  mQueued = true;
  if (mDiskError) {
    FailLater(mDiskError, std::move(aDone));
  } else if (!mRaft) {
    FailLater(Errc::kNotLeader, std::move(aDone));
  } else if (aCommand.size() > mOptions.maxCommandBytes) {
    FailLater(Errc::kTooLarge, std::move(aDone));
  } else if (mPending.size() >= mOptions.maxPending) {
    FailLater(Errc::kRefused, std::move(aDone));
  } else {
    // The core may have lost its term since the last tick.
    DropStaleProposals();
    Await(mRaft->Propose(std::move(aCommand)), std::move(aDone));
  }
}

void
GroupImpl::Read(Millis aNow, ReadCallback aDone)
{
  mNow = aNow;
  mQueued = true;
  Result<uint64_t> ticket = make_error_code(Errc::kNotLeader);
  if (mDiskError) {
    ticket = mDiskError;
  } else if (mRaft) {
    ticket = mRaft->Read();
  }
  if (ticket) {
    mReads[ticket.Value()] = std::move(aDone);
  } else {
    mCallbacks.emplace_back(
      [done = std::move(aDone), error = ticket.Error()] { done(error); });
  }
}

void
GroupImpl::Change(MembershipChange aChange,
                  const Member& aMember,
                  ProposeCallback aDone)
{
  mQueued = true;
  if (mDiskError || !mRaft) {
    FailLater(mDiskError ? mDiskError : Errc::kNotLeader, std::move(aDone));
    return;
  }
  DropStaleProposals();
  Await(mRaft->Change(aChange, aMember, mNow), std::move(aDone));
}

void
GroupImpl::AddLearner(const Member& aMember, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  Change(MembershipChange::kAddLearner, aMember, std::move(aDone));
}

void
GroupImpl::Promote(const Member& aMember, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  Change(MembershipChange::kPromote, aMember, std::move(aDone));
}

void
GroupImpl::Remove(const Member& aMember, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  Change(MembershipChange::kRemove, aMember, std::move(aDone));
}

std::error_code
GroupImpl::Transfer(const Member& aTo, Millis aNow)
{
  mNow = aNow;
  mQueued = true;
  if (mDiskError || !mRaft) {
    return mDiskError ? mDiskError : Errc::kNotLeader;
  }
  return mRaft->Transfer(aTo, aNow);
}

void
GroupImpl::SetDiscoveryInstances(std::vector<InstanceId> aContacts)
{
  mFormation->SetDiscoveryInstances(std::move(aContacts));
}

bool
GroupImpl::IsLeader(Millis aNow) const
{
  return mRaft && !mDiskError && mRaft->HasLease(aNow);
}

std::optional<InstanceId>
GroupImpl::Leader() const
{
  if (!mRaft || !mRaft->Leader()) {
    return std::nullopt;
  }
  return mRaft->Leader()->instance;
}

uint64_t
GroupImpl::Term() const
{
  return mRaft ? mRaft->Term() : 0;
}

GroupStatus
GroupImpl::Status() const
{
  GroupStatus out;
  out.self = mSelf;
  out.group = mState.group;
  out.diskError = mDiskError;
  out.appliedIndex = mApplied;
  if (!mRaft) {
    return out;
  }
  out.role = mRaft->CurrentRole();
  out.formed = !mRaft->IsEmpty();
  out.repairing = mRaft->Hard().repairing;
  out.term = mRaft->Term();
  out.lastIndex = mRaft->Log().LastIndex();
  out.commitIndex = mRaft->CommitIndex();
  out.snapshotIndex = mRaft->LatestSnapshot().index;
  out.membership = mRaft->CurrentMembership();
  for (const auto& [member, peer] : mRaft->Peers()) {
    out.peers.push_back({ .member = member,
                          .voter = out.membership.IsVoter(member),
                          .matchIndex = peer.matchIndex,
                          .lastHeard = peer.lastHeard,
                          .repairing = peer.repair != 0 });
  }
  for (const auto& [instance, disk] : mApplicants) {
    Member applicant{ instance, disk };
    if (!out.membership.Contains(applicant)) {
      out.applicants.push_back(applicant);
    }
  }
  return out;
}

} // namespace limpetwood::replication::internal
