#include "replication/internal/group_impl.h"

#include "base/error.h"
#include "base/hash.h"

#include <random>

namespace limpetwood::replication::internal {
namespace {

// Returns a random identifier that is never 0. It has 48 bits, because a
// smaller number takes fewer bytes as a variable-length integer on the wire.
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
  // Only simulations and tests set the disk. They must be reproducible, so no
  // entropy is added then.
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
                           .newDiskId = DiskId(NewIdentifier(random)) };
  mRepairId = NewIdentifier(random);
  mRaftSeed = random();
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
  mAppliedIndex = loaded.snapshot.index;
  if (mState.group.Value() != 0) {
    CreateRaft({ .hardState = mState.hardState,
                 .initialMembership = mState.initialMembership,
                 .snapshot = std::move(loaded.snapshot),
                 .entries = std::move(loaded.entries) });
  }
  return {};
}

void
GroupImpl::CreateRaft(InitialState aState)
{
  if (mOptions.faults.skipRepair) {
    aState.hardState.repairing = false;
  }
  mRaft = std::make_unique<Raft>(RaftOptions{ .self = mSelf,
                                              .timing = mOptions.timing,
                                              .seed = mRaftSeed,
                                              .repairId = mRepairId,
                                              .faults = mOptions.faults },
                                 std::move(aState));
}

LocalStatus
GroupImpl::MakeLocalStatus() const
{
  LocalStatus out;
  if (mRaft) {
    out.status = mRaft->IsEmpty() && mState.initialMembership.IsVoter(mSelf) &&
                     !mRaft->CurrentHardState().repairing
                   ? FormationStatus::kPrepared
                   : FormationStatus::kActive;
    out.repairing = mRaft->CurrentHardState().repairing;
    out.leader = mRaft->Leader();
    out.members = mRaft->CurrentMembership();
  }
  out.group = mState.group;
  out.initialMembership = mState.initialMembership;
  return out;
}

void
GroupImpl::ApplyFormationOutcome(Formation::Outcome aOutcome)
{
  if (aOutcome.prepare) {
    auto& [group, membership] = *aOutcome.prepare;
    mState.group = group;
    mState.initialMembership = membership;
    mState.hardState = {};
    mStateChanged = true;
    CreateRaft({ .initialMembership = std::move(membership) });
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
GroupImpl::HandleRaftMessage(const Message& aMessage)
{
  bool addressedToThisDisk =
    aMessage.to.disk == mSelf.disk || mOptions.faults.ignoreDiskIds;
  if (!addressedToThisDisk) {
    return;
  }
  if (!mRaft && (aMessage.kind == MessageKind::kAppend ||
                 aMessage.kind == MessageKind::kSnapshot ||
                 mOptions.faults.ignoreDiskIds)) {
    // Only a group that admitted this replica as a learner sends it appends or
    // snapshots.
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
  mWorkQueued = true;
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
      ApplyFormationOutcome(mFormation->Receive(message, MakeLocalStatus()));
      break;
    default:
      HandleRaftMessage(message);
      break;
  }
}

void
GroupImpl::Tick(Millis aNow)
{
  mNow = aNow;
  mWorkQueued = false;
  if (!mDiskError) {
    ApplyFormationOutcome(mFormation->Tick(MakeLocalStatus(), aNow));
    if (mRaft) {
      mRaft->Tick(aNow);
    }
    while (Flush()) {
    }
  }
  FailOutdatedProposals();
  for (auto& it : std::exchange(mReadyCallbacks, {})) {
    it();
  }
}

Millis
GroupImpl::NextTick() const
{
  if (mWorkQueued || !mReadyCallbacks.empty()) {
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
  std::vector<Message> formationMessages =
    std::exchange(mFormationMessages, {});
  if (effects.empty() && formationMessages.empty() && !mStateChanged) {
    return false;
  }
  // The id of a new group must be durable before a message reveals it.
  if (!mStateChanged) {
    Send(std::exchange(effects.messagesBeforeSync, {}));
  }
  if (std::error_code ec = WriteEffects(effects)) {
    HaltOnDiskError(ec);
    return false;
  }
  Send(std::move(effects.messagesBeforeSync));
  if (mRaft) {
    mRaft->OnSynced(mNow);
  }
  Send(std::move(formationMessages));
  Send(std::move(effects.messagesAfterSync));
  ApplyCommitted(effects.committedEntries);
  AnswerReads(effects.readResults);
  MaybeSnapshot();
  return true;
}

std::error_code
GroupImpl::WriteEffects(const Effects& aEffects)
{
  if (aEffects.hardState) {
    mState.hardState = *aEffects.hardState;
  }
  if (aEffects.hardState || mStateChanged) {
    if (std::error_code ec = mStore->WriteState(mState)) {
      return ec;
    }
    mStateChanged = false;
  }
  if (aEffects.installedSnapshot) {
    if (std::error_code ec =
          mStore->InstallSnapshot(*aEffects.installedSnapshot)) {
      return ec;
    }
    if (!mMachine.Restore(*aEffects.installedSnapshot->data)) {
      return Errc::kCorrupt;
    }
    mAppliedIndex = aEffects.installedSnapshot->index;
    mBytesSinceSnapshot = 0;
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
    mAppliedIndex = it.index;
    mBytesSinceSnapshot += it.data.size();
    auto pending = mPendingProposals.find(it.index);
    if (pending == mPendingProposals.end()) {
      continue;
    }
    if (pending->second.term != it.term) {
      // An entry of another term was committed at this index, so the proposal
      // can never be committed.
      outcome = { .verdict = Verdict::kNotRun,
                  .error = Errc::kNotLeader,
                  .index = it.index };
    }
    mReadyCallbacks.emplace_back(
      [done = std::move(pending->second.done),
       result = std::move(outcome)]() mutable { done(std::move(result)); });
    mPendingProposals.erase(pending);
  }
}

void
GroupImpl::AnswerReads(const std::vector<ReadResult>& aResults)
{
  for (const ReadResult& it : aResults) {
    auto found = mPendingReads.find(it.ticket);
    if (found != mPendingReads.end()) {
      mReadyCallbacks.emplace_back(
        [done = std::move(found->second), error = it.error] { done(error); });
      mPendingReads.erase(found);
    }
  }
}

void
GroupImpl::FailOutdatedProposals()
{
  bool leading = mRaft && !mDiskError && mRaft->CurrentRole() == Role::kLeader;
  for (auto it = mPendingProposals.begin(); it != mPendingProposals.end();) {
    if (leading && it->second.term == mRaft->Term()) {
      ++it;
      continue;
    }
    mReadyCallbacks.emplace_back(
      [done = std::move(it->second.done),
       outcome =
         ProposeOutcome{ .verdict = Verdict::kMayHaveRun,
                         .error = mDiskError ? mDiskError : Errc::kNotLeader,
                         .index = it->first }] { done(outcome); });
    it = mPendingProposals.erase(it);
  }
  if (!leading) {
    mApplicants.clear();
  }
}

void
GroupImpl::MaybeSnapshot()
{
  if (!mRaft || mAppliedIndex == mRaft->LatestSnapshot().index ||
      (mAppliedIndex - mRaft->LatestSnapshot().index <
         mOptions.snapshotEntries &&
       mBytesSinceSnapshot < mOptions.snapshotBytes)) {
    return;
  }
  mRaft->Compact(mAppliedIndex,
                 std::make_shared<const std::string>(mMachine.TakeSnapshot()));
  mBytesSinceSnapshot = 0;
  if (std::error_code ec = mStore->SaveSnapshot(mRaft->LatestSnapshot())) {
    HaltOnDiskError(ec);
  }
}

void
GroupImpl::Send(std::vector<Message> aMessages)
{
  for (Message& it : aMessages) {
    // Raft messages, which are all kinds from `kVote` on, carry this replica's
    // group. Formation messages set their own.
    if (it.kind >= MessageKind::kVote) {
      it.group = mState.group;
    }
    mSend(it.to.instance, EncodeMessage(it));
  }
}

void
GroupImpl::HaltOnDiskError(std::error_code aError)
{
  mDiskError = aError;
  if (mRaft) {
    mRaft->Halt();
  }
  for (auto& [ticket, done] : std::exchange(mPendingReads, {})) {
    mReadyCallbacks.emplace_back(
      [callback = std::move(done), aError] { callback(aError); });
  }
}

void
GroupImpl::QueueFailure(std::error_code aError, ProposeCallback aDone)
{
  mReadyCallbacks.emplace_back([done = std::move(aDone), aError] {
    done({ .verdict = Verdict::kNotRun, .error = aError });
  });
}

void
GroupImpl::AddPendingProposal(const Result<LogPosition>& aPosition,
                              ProposeCallback aDone)
{
  if (!aPosition) {
    QueueFailure(aPosition.Error(), std::move(aDone));
    return;
  }
  mPendingProposals[aPosition.Value().index] = { aPosition.Value().term,
                                                 std::move(aDone) };
}

void
GroupImpl::Propose(std::string aCommand, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  mWorkQueued = true;
  if (mDiskError) {
    QueueFailure(mDiskError, std::move(aDone));
  } else if (!mRaft) {
    QueueFailure(Errc::kNotLeader, std::move(aDone));
  } else if (aCommand.size() > mOptions.maxCommandBytes) {
    QueueFailure(Errc::kTooLarge, std::move(aDone));
  } else if (mPendingProposals.size() >= mOptions.maxPendingProposals) {
    QueueFailure(Errc::kRefused, std::move(aDone));
  } else {
    // The core may have stopped leading since the last tick. Outdated proposals
    // could have the index that the new one gets.
    FailOutdatedProposals();
    AddPendingProposal(mRaft->Propose(std::move(aCommand)), std::move(aDone));
  }
}

void
GroupImpl::Read(Millis aNow, ReadCallback aDone)
{
  mNow = aNow;
  mWorkQueued = true;
  Result<uint64_t> ticket = make_error_code(Errc::kNotLeader);
  if (mDiskError) {
    ticket = mDiskError;
  } else if (mRaft) {
    ticket = mRaft->Read();
  }
  if (ticket) {
    mPendingReads[ticket.Value()] = std::move(aDone);
  } else {
    mReadyCallbacks.emplace_back(
      [done = std::move(aDone), error = ticket.Error()] { done(error); });
  }
}

void
GroupImpl::ChangeMembership(MembershipChange aChange,
                            const Member& aMember,
                            ProposeCallback aDone)
{
  mWorkQueued = true;
  if (mDiskError || !mRaft) {
    QueueFailure(mDiskError ? mDiskError : Errc::kNotLeader, std::move(aDone));
    return;
  }
  FailOutdatedProposals();
  AddPendingProposal(mRaft->ChangeMembership(aChange, aMember, mNow),
                     std::move(aDone));
}

void
GroupImpl::AddLearner(const Member& aMember, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  ChangeMembership(MembershipChange::kAddLearner, aMember, std::move(aDone));
}

void
GroupImpl::Promote(const Member& aMember, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  ChangeMembership(MembershipChange::kPromote, aMember, std::move(aDone));
}

void
GroupImpl::Remove(const Member& aMember, Millis aNow, ProposeCallback aDone)
{
  mNow = aNow;
  ChangeMembership(MembershipChange::kRemove, aMember, std::move(aDone));
}

std::error_code
GroupImpl::Transfer(const Member& aTo, Millis aNow)
{
  mNow = aNow;
  mWorkQueued = true;
  if (mDiskError || !mRaft) {
    return mDiskError ? mDiskError : Errc::kNotLeader;
  }
  return mRaft->TransferLeadership(aTo, aNow);
}

void
GroupImpl::SetDiscoveryInstances(std::vector<InstanceId> aInstances)
{
  mFormation->SetDiscoveryInstances(std::move(aInstances));
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
  out.appliedIndex = mAppliedIndex;
  if (!mRaft) {
    return out;
  }
  out.role = mRaft->CurrentRole();
  out.formed = !mRaft->IsEmpty();
  out.repairing = mRaft->CurrentHardState().repairing;
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
                          .repairing = peer.repairId != 0 });
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
