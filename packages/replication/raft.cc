// The part of `Raft` that all roles share: terms, elections and effects. See
// raft_leader.cc and raft_follower.cc for the rest.

#include "replication/raft.h"

#include "base/error.h"

#include <algorithm>

namespace limpetwood::replication {

Raft::Raft(RaftOptions aOptions, InitialState aState)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
  , mHardState(std::move(aState.hardState))
  , mLog(aState.snapshot.index, aState.snapshot.term, std::move(aState.entries))
  , mSnapshot(std::move(aState.snapshot))
  , mFirstUnwrittenIndex(mLog.LastIndex() + 1)
  , mSyncedIndex(mLog.LastIndex())
  , mCommitIndex(mSnapshot.index)
  , mAppliedIndex(mSnapshot.index)
{
  mMemberships[mSnapshot.index] = mSnapshot.index > 0
                                    ? mSnapshot.membership
                                    : std::move(aState.initialMembership);
  for (uint64_t i = mLog.BaseIndex() + 1; i <= mLog.LastIndex(); ++i) {
    const Entry& entry = mLog.At(i);
    if (entry.kind == EntryKind::kMembership) {
      mMemberships[i] = entry.membership;
    }
  }
}

void
Raft::EnsureStarted(Millis aNow)
{
  if (mStarted) {
    return;
  }
  mStarted = true;
  // This replica may have acknowledged a heartbeat just before a restart, so
  // it grants no vote for `electionMin`, as if it had heard from a leader now.
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
Raft::MakeMessage(MessageKind aKind, const Member& aTo) const
{
  Message out;
  out.kind = aKind;
  out.to = aTo;
  out.from = mOptions.self;
  out.term = mHardState.term;
  return out;
}

bool
Raft::SameMember(const Member& aLeft, const Member& aRight) const
{
  return mOptions.faults.ignoreDiskIds ? aLeft.instance == aRight.instance
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
  return FindVoter(mOptions.self) != nullptr && !mHardState.repairing &&
         (!IsEmpty() || mMayBootstrap);
}

void
Raft::EndRepair()
{
  mHardStateChanged = mHardStateChanged || mHardState.repairing;
  mHardState.repairing = false;
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
  if (aTerm > mHardState.term) {
    mHardState.term = aTerm;
    mHardState.vote = {};
    mHardStateChanged = true;
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
    ++mHardState.term;
    mHardState.vote = mOptions.self;
    mHardStateChanged = true;
  }
  for (const Member& it : CurrentMembership().voters) {
    if (it == mOptions.self) {
      continue;
    }
    Message vote = MakeMessage(MessageKind::kVote, it);
    vote.term = aPreVote ? mHardState.term + 1 : mHardState.term;
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
  mRecentRounds.clear();
  mRound = 0;
  mTransferTo.reset();
  mTermStartIndex = mLog.LastIndex() + 1;
  if (IsEmpty()) {
    // Writes the first voters and their disk ids to the log, from which later
    // members learn them.
    AppendAsLeader(
      { .kind = EntryKind::kMembership, .membership = CurrentMembership() });
  } else {
    AppendAsLeader({ .kind = EntryKind::kNoop });
  }
  UpdatePeers(aNow);
  mRoundRequested = true;
}

void
Raft::Tick(Millis aNow)
{
  EnsureStarted(aNow);
  if (mHalted) {
    return;
  }
  if (mRole == Role::kLeader) {
    bool quorumLost = !mOptions.faults.skipCheckQuorum &&
                      aNow - LeaseStart(aNow) >= mOptions.timing.electionMin;
    if (quorumLost || (mTransferTo && aNow >= mTransferDeadline)) {
      BecomeFollower(mHardState.term, {}, aNow);
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
  Millis next = mNextRoundAt;
  for (const auto& [member, peer] : mPeers) {
    next = std::min(next, peer.nextHeartbeatAt);
  }
  return mTransferTo ? std::min(next, mTransferDeadline) : next;
}

// Compares the message's term with this replica's and adopts a newer one;
// false if the message needs no further handling.
bool
Raft::CheckTerm(const Message& aMessage, Millis aNow)
{
  bool fromLeader = aMessage.kind == MessageKind::kAppend ||
                    aMessage.kind == MessageKind::kSnapshot;
  if (aMessage.term < mHardState.term) {
    if (fromLeader) {
      // The term in the reply makes a former leader step down.
      Send(MakeMessage(MessageKind::kAppendReply, aMessage.from));
    } else if (aMessage.kind == MessageKind::kVote && aMessage.preVote) {
      Message reply = MakeMessage(MessageKind::kVoteReply, aMessage.from);
      reply.preVote = true;
      Send(std::move(reply));
    }
    return false;
  }
  // Leader lease: vote requests are ignored while a leader is known to be
  // alive, except in a leadership transfer.
  if (aMessage.kind == MessageKind::kVote && !aMessage.transfer &&
      HeardFromLeader(aNow)) {
    return false;
  }
  // A pre-vote request and a granted pre-vote carry a term that the sender has
  // not adopted yet, so this replica does not adopt it either.
  bool preVote = aMessage.preVote &&
                 (aMessage.kind == MessageKind::kVote || aMessage.success);
  if (aMessage.term > mHardState.term && !preVote) {
    BecomeFollower(aMessage.term,
                   fromLeader ? std::optional(aMessage.from) : std::nullopt,
                   aNow);
  }
  return true;
}

void
Raft::Step(const Message& aMessage, Millis aNow)
{
  EnsureStarted(aNow);
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
      if (aMessage.term == mHardState.term && mRole == Role::kFollower &&
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
  bool logIsUpToDate =
    aMessage.logTerm > mLog.LastTerm() ||
    (aMessage.logTerm == mLog.LastTerm() && aMessage.index >= mLog.LastIndex());
  bool voteAvailable = aMessage.preVote ? aMessage.term > mHardState.term
                                        : mHardState.vote == Member{} ||
                                            mHardState.vote == aMessage.from;
  bool grant = logIsUpToDate && voteAvailable && !mHardState.repairing;
  if (grant && !aMessage.preVote) {
    if (mHardState.vote != aMessage.from) {
      mHardState.vote = aMessage.from;
      mHardStateChanged = true;
    }
    ResetElectionTimer(aNow);
  }
  Message reply = MakeMessage(MessageKind::kVoteReply, aMessage.from);
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
  uint64_t term = mPreVote ? mHardState.term + 1 : mHardState.term;
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
  ResolveReads(aNow, out.readResults);
  if (mRole == Role::kLeader) {
    SendToPeers(aNow);
  }
  if (mHardStateChanged) {
    out.hardState = mHardState;
    mHardStateChanged = false;
    // The term must be durable before a message reveals it to another replica.
    mMessagesAfterSync.insert(
      mMessagesAfterSync.begin(),
      std::make_move_iterator(mMessagesBeforeSync.begin()),
      std::make_move_iterator(mMessagesBeforeSync.end()));
    mMessagesBeforeSync.clear();
  }
  out.messagesBeforeSync = std::exchange(mMessagesBeforeSync, {});
  out.messagesAfterSync = std::exchange(mMessagesAfterSync, {});
  out.installedSnapshot = std::exchange(mInstalledSnapshot, {});
  for (; mFirstUnwrittenIndex <= mLog.LastIndex(); ++mFirstUnwrittenIndex) {
    out.entries.push_back(mLog.At(mFirstUnwrittenIndex));
  }
  for (; mAppliedIndex < mCommitIndex; ++mAppliedIndex) {
    out.committedEntries.push_back(mLog.At(mAppliedIndex + 1));
  }
  return out;
}

void
Raft::OnSynced(Millis aNow)
{
  mSyncedIndex = mFirstUnwrittenIndex - 1;
  if (mRepairEndIndex && *mRepairEndIndex <= mSyncedIndex) {
    mRepairEndIndex.reset();
    mHardState.repairing = false;
    mHardStateChanged = true;
    ResetElectionTimer(aNow);
  }
  if (mRole == Role::kLeader) {
    AdvanceLeaderCommit(aNow);
  }
}

void
Raft::Halt()
{
  mHalted = true;
  mRole = Role::kFollower;
  mLeader.reset();
  mPeers.clear();
  mPendingReads.clear();
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
  while (base > mLog.BaseIndex() && aIndex - base < mOptions.retainedEntries) {
    bytes += mLog.At(base).data.size();
    if (bytes > mOptions.retainedBytes) {
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
