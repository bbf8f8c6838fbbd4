#include "replication/raft.h"

#include "base/error.h"

#include <algorithm>

namespace limpetwood::replication {

Raft::Raft(RaftOptions aOptions, RaftState aState)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mHard(std::move(aState.hard))
  , mLog(aState.snapshot.index, aState.snapshot.term, std::move(aState.entries))
  , mSnapshot(std::move(aState.snapshot))
  , mWriteFrom(mLog.LastIndex() + 1)
  , mSynced(mLog.LastIndex())
  , mCommit(mSnapshot.index)
  , mApplied(mSnapshot.index)
{
  mMemberships[mSnapshot.index] =
    mSnapshot.index > 0 ? mSnapshot.membership : std::move(aState.initial);
  for (uint64_t i = mLog.BaseIndex() + 1; i <= mLog.LastIndex(); ++i) {
    const Entry& entry = mLog.At(i);
    if (entry.kind == EntryKind::kMembership) {
      mMemberships[i] = entry.membership;
    }
  }
}

void
Raft::Start(Millis aNow)
{
  if (mStarted) {
    return;
  }
  mStarted = true;
  // This replica may have acknowledged a heartbeat just before a restart, so
  // it refuses to vote as if it had heard from a leader now.
  mLastContact = aNow;
  ResetElectionTimer(aNow);
}

const Membership&
Raft::MembershipAt(uint64_t aIndex) const
{
  auto it = mMemberships.upper_bound(aIndex);
  return it == mMemberships.begin() ? it->second : std::prev(it)->second;
}

Message
Raft::Make(MessageKind aKind, const Member& aTo) const
{
  Message out;
  out.kind = aKind;
  out.to = aTo;
  out.from = mOptions.self;
  out.term = mHard.term;
  return out;
}

bool
Raft::SameMember(const Member& aLeft, const Member& aRight) const
{
  return mOptions.faults.skipDiskIds ? aLeft.instance == aRight.instance
                                     : aLeft == aRight;
}

const Member*
Raft::FindVoter(const Member& aMember) const
{
  for (const Member& it : CurrentMembership().voters) {
    if (SameMember(it, aMember)) {
      return &it;
    }
  }
  return nullptr;
}

bool
Raft::CanCampaign() const
{
  return FindVoter(mOptions.self) != nullptr && !mHard.repairing &&
         (!IsEmpty() || mMayBootstrap);
}

void
Raft::EndRepair()
{
  mHardChanged = mHardChanged || mHard.repairing;
  mHard.repairing = false;
}

bool
Raft::HeardFromLeader(Millis aNow) const
{
  if (mRole == Role::kLeader) {
    return HasLease(aNow);
  }
  return aNow - mLastContact < mOptions.timing.electionMin;
}

void
Raft::ResetElectionTimer(Millis aNow)
{
  mElectionDeadline = aNow + mRandom.Between(mOptions.timing.electionMin,
                                             mOptions.timing.electionMax);
}

void
Raft::BecomeFollower(uint64_t aTerm, std::optional<Member> aLeader, Millis aNow)
{
  if (aTerm > mHard.term) {
    mHard.term = aTerm;
    mHard.vote = {};
    mHardChanged = true;
  }
  if (mRole == Role::kLeader) {
    FailReads(Errc::kNotLeader);
    mPeers.clear();
    mTransferTo.reset();
  }
  if (mRole != Role::kFollower) {
    ResetElectionTimer(aNow);
  }
  mRole = Role::kFollower;
  mPreVote = false;
  mLeader = std::move(aLeader);
}

void
Raft::Campaign(bool aPreVote, bool aTransfer, Millis aNow)
{
  mRole = Role::kCandidate;
  mPreVote = aPreVote;
  mLeader.reset();
  mVotes = { mOptions.self };
  ResetElectionTimer(aNow);
  if (!aPreVote) {
    ++mHard.term;
    mHard.vote = mOptions.self;
    mHardChanged = true;
  }
  for (const Member& it : CurrentMembership().voters) {
    if (it == mOptions.self) {
      continue;
    }
    Message vote = Make(MessageKind::kVote, it);
    vote.term = aPreVote ? mHard.term + 1 : mHard.term;
    vote.preVote = aPreVote;
    vote.transfer = aTransfer;
    vote.index = mLog.LastIndex();
    vote.logTerm = mLog.LastTerm();
    Send(std::move(vote));
  }
  if (mVotes.size() >= CurrentMembership().Quorum()) {
    if (aPreVote) {
      Campaign(false, false, aNow);
    } else {
      BecomeLeader(aNow);
    }
  }
}

void
Raft::BecomeLeader(Millis aNow)
{
  mRole = Role::kLeader;
  mLeader = mOptions.self;
  mLeaderSince = aNow;
  mPeers.clear();
  mRounds.clear();
  mRound = 0;
  mTransferTo.reset();
  mTermStart = mLog.LastIndex() + 1;
  if (IsEmpty()) {
    // Puts the first voters and their disk ids into the log, where later
    // members find them.
    AppendOwn(
      { .kind = EntryKind::kMembership, .membership = CurrentMembership() });
  } else {
    AppendOwn({ .kind = EntryKind::kNoop });
  }
  UpdatePeers(aNow);
  mWantRound = true;
}

void
Raft::Tick(Millis aNow)
{
  Start(aNow);
  if (mHalted) {
    return;
  }
  if (mRole == Role::kLeader) {
    bool lost = !mOptions.faults.skipCheckQuorum &&
                aNow - LeaseBase(aNow) >= mOptions.timing.electionMin;
    if (lost || (mTransferTo && aNow >= mTransferDeadline)) {
      BecomeFollower(mHard.term, {}, aNow);
    }
    return;
  }
  if (aNow < mElectionDeadline) {
    return;
  }
  if (CanCampaign()) {
    Campaign(!mOptions.faults.skipPreVote, false, aNow);
  } else {
    mLeader.reset();
    ResetElectionTimer(aNow);
  }
}

Millis
Raft::NextTick() const
{
  if (mHalted) {
    return Millis::Max();
  }
  if (!mStarted) {
    return Millis();
  }
  if (mRole != Role::kLeader) {
    return mElectionDeadline;
  }
  Millis next = mNextRound;
  for (const auto& [member, peer] : mPeers) {
    next = std::min(next, peer.nextHeartbeat);
  }
  return mTransferTo ? std::min(next, mTransferDeadline) : next;
}

// Compares the message's term with the own one; false if the message is
// finished with.
bool
Raft::CheckTerm(const Message& aMessage, Millis aNow)
{
  bool fromLeader = aMessage.kind == MessageKind::kAppend ||
                    aMessage.kind == MessageKind::kSnapshot;
  if (aMessage.term < mHard.term) {
    if (fromLeader) {
      // Tells a former leader about the newer term.
      Send(Make(MessageKind::kAppendReply, aMessage.from));
    } else if (aMessage.kind == MessageKind::kVote && aMessage.preVote) {
      Message reply = Make(MessageKind::kVoteReply, aMessage.from);
      reply.preVote = true;
      Send(std::move(reply));
    }
    return false;
  }
  if (aMessage.kind == MessageKind::kVote && !aMessage.transfer &&
      HeardFromLeader(aNow)) {
    return false;
  }
  bool preVote = aMessage.preVote &&
                 (aMessage.kind == MessageKind::kVote || aMessage.success);
  if (aMessage.term > mHard.term && !preVote) {
    BecomeFollower(aMessage.term,
                   fromLeader ? std::optional(aMessage.from) : std::nullopt,
                   aNow);
  }
  return true;
}

void
Raft::Step(const Message& aMessage, Millis aNow)
{
  Start(aNow);
  if (mHalted || !CheckTerm(aMessage, aNow)) {
    return;
  }
  switch (aMessage.kind) {
    case MessageKind::kVote:
      HandleVote(aMessage, aNow);
      break;
    case MessageKind::kVoteReply:
      HandleVoteReply(aMessage, aNow);
      break;
    case MessageKind::kAppend:
      HandleAppend(aMessage, aNow);
      break;
    case MessageKind::kAppendReply:
      HandleAppendReply(aMessage, aNow);
      break;
    case MessageKind::kSnapshot:
      HandleSnapshot(aMessage, aNow);
      break;
    case MessageKind::kSnapshotReply:
      HandleSnapshotReply(aMessage, aNow);
      break;
    case MessageKind::kTimeoutNow:
      if (aMessage.term == mHard.term && mRole == Role::kFollower &&
          CanCampaign()) {
        Campaign(false, true, aNow);
      }
      break;
    default:
      break;
  }
}

void
Raft::HandleVote(const Message& aMessage, Millis aNow)
{
  bool current =
    aMessage.logTerm > mLog.LastTerm() ||
    (aMessage.logTerm == mLog.LastTerm() && aMessage.index >= mLog.LastIndex());
  bool free = aMessage.preVote
                ? aMessage.term > mHard.term
                : mHard.vote == Member{} || mHard.vote == aMessage.from;
  bool grant = current && free && !mHard.repairing;
  if (grant && !aMessage.preVote) {
    if (mHard.vote != aMessage.from) {
      mHard.vote = aMessage.from;
      mHardChanged = true;
    }
    ResetElectionTimer(aNow);
  }
  Message reply = Make(MessageKind::kVoteReply, aMessage.from);
  reply.preVote = aMessage.preVote;
  reply.success = grant;
  if (grant) {
    reply.term = aMessage.term;
  }
  Send(std::move(reply));
}

void
Raft::HandleVoteReply(const Message& aMessage, Millis aNow)
{
  uint64_t term = mPreVote ? mHard.term + 1 : mHard.term;
  const Member* voter = FindVoter(aMessage.from);
  if (mRole != Role::kCandidate || aMessage.preVote != mPreVote ||
      !aMessage.success || aMessage.term != term || voter == nullptr) {
    return;
  }
  mVotes.insert(*voter);
  if (mVotes.size() < CurrentMembership().Quorum()) {
    return;
  }
  if (mPreVote) {
    Campaign(false, false, aNow);
  } else {
    BecomeLeader(aNow);
  }
}

Effects
Raft::TakeEffects(Millis aNow)
{
  Effects out;
  if (mHalted) {
    return out;
  }
  ResolveReads(aNow, out.reads);
  if (mRole == Role::kLeader) {
    SendToAll(aNow);
  }
  if (mHardChanged) {
    out.state = mHard;
    mHardChanged = false;
    // A term must be durable before anybody hears of it.
    mLate.insert(mLate.begin(),
                 std::make_move_iterator(mEarly.begin()),
                 std::make_move_iterator(mEarly.end()));
    mEarly.clear();
  }
  out.early = std::exchange(mEarly, {});
  out.late = std::exchange(mLate, {});
  out.installed = std::exchange(mInstalled, {});
  for (; mWriteFrom <= mLog.LastIndex(); ++mWriteFrom) {
    out.entries.push_back(mLog.At(mWriteFrom));
  }
  for (; mApplied < mCommit; ++mApplied) {
    out.committed.push_back(mLog.At(mApplied + 1));
  }
  return out;
}

void
Raft::Synced(Millis aNow)
{
  mSynced = mWriteFrom - 1;
  if (mRepairedAt && *mRepairedAt <= mSynced) {
    mRepairedAt.reset();
    mHard.repairing = false;
    mHardChanged = true;
    ResetElectionTimer(aNow);
  }
  if (mRole == Role::kLeader) {
    CommitAsLeader(aNow);
  }
}

void
Raft::Halt()
{
  mHalted = true;
  mRole = Role::kFollower;
  mLeader.reset();
  mPeers.clear();
  mReads.clear();
  mFailedReads.clear();
}

void
Raft::Compact(uint64_t aIndex, std::shared_ptr<const std::string> aData)
{
  mSnapshot = { .index = aIndex,
                .term = mLog.TermAt(aIndex).value_or(0),
                .membership = MembershipAt(aIndex),
                .data = std::move(aData) };
  uint64_t base = aIndex;
  uint64_t bytes = 0;
  while (base > mLog.BaseIndex() && aIndex - base < mOptions.keptEntries) {
    bytes += mLog.At(base).data.size();
    if (bytes > mOptions.keptBytes) {
      break;
    }
    --base;
  }
  if (base > mLog.BaseIndex()) {
    Membership atBase = MembershipAt(base);
    mLog.CompactTo(base);
    mMemberships.erase(mMemberships.begin(), mMemberships.upper_bound(base));
    mMemberships[base] = std::move(atBase);
  }
}

} // namespace limpetwood::replication
