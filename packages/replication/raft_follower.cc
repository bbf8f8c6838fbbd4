// The follower's part of `Raft`: receives appends and snapshots and maintains
// the log.

#include "replication/raft.h"

#include "base/error.h"
#include "base/hash.h"

#include <algorithm>

namespace limpetwood::replication {

void
Raft::AddEntry(Entry aEntry)
{
  if (aEntry.kind == EntryKind::kMembership) {
    mMemberships[aEntry.index] = aEntry.membership;
  }
  mLog.Append(std::move(aEntry));
}

void
Raft::TruncateAfter(uint64_t aIndex)
{
  mLog.TruncateAfter(aIndex);
  mMemberships.erase(mMemberships.upper_bound(aIndex), mMemberships.end());
  mFirstUnwrittenIndex = std::min(mFirstUnwrittenIndex, aIndex + 1);
  mSyncedIndex = std::min(mSyncedIndex, aIndex);
}

void
Raft::AdvanceCommit(uint64_t aIndex)
{
  mCommitIndex = std::max(mCommitIndex, std::min(aIndex, mLog.LastIndex()));
}

void
Raft::AppendEntries(const Message& aMessage)
{
  for (const Entry& it : aMessage.entries) {
    // Committed entries are the same on all replicas, so they are not replaced.
    if (it.index <= mCommitIndex || mLog.TermAt(it.index) == it.term) {
      continue;
    }
    if (it.index <= mLog.LastIndex()) {
      TruncateAfter(it.index - 1);
    }
    AddEntry(it);
  }
}

void
Raft::HandleAppend(const Message& aMessage, Millis aNow)
{
  if (mRole == Role::kLeader) {
    return;
  }
  BecomeFollower(aMessage.term, aMessage.from, aNow);
  mLastContact = aNow;
  ResetElectionTimer(aNow);

  Message reply = MakeMessage(MessageKind::kAppendReply, aMessage.from);
  reply.round = aMessage.round;
  reply.repairId = mHardState.repairing ? mOptions.repairId : 0;
  // The log of every later leader contains what is committed here.
  bool matches = aMessage.index <= mCommitIndex ||
                 mLog.TermAt(aMessage.index) == aMessage.logTerm;
  if (!matches) {
    reply.index = aMessage.index;
    reply.hintIndex =
      mLog.LastIndexWithTermAtMost(aMessage.index, aMessage.logTerm);
    reply.hintTerm = mLog.TermAt(reply.hintIndex).value_or(0);
    Send(std::move(reply));
    return;
  }
  AppendEntries(aMessage);
  uint64_t match =
    std::max(mCommitIndex, aMessage.index + aMessage.entries.size());
  AdvanceCommit(std::min(aMessage.commit, match));
  if (mHardState.repairing && aMessage.repairId == mOptions.repairId &&
      match >= aMessage.repairIndex) {
    mRepairEndIndex = match;
  }
  reply.success = true;
  reply.index = match;
  Send(std::move(reply));
}

void
Raft::HandleSnapshot(const Message& aMessage, Millis aNow)
{
  if (mRole == Role::kLeader) {
    return;
  }
  BecomeFollower(aMessage.term, aMessage.from, aNow);
  mLastContact = aNow;
  ResetElectionTimer(aNow);

  Message reply = MakeMessage(MessageKind::kSnapshotReply, aMessage.from);
  reply.index = aMessage.index;
  reply.round = aMessage.round;
  reply.repairId = mHardState.repairing ? mOptions.repairId : 0;
  bool alreadyCovered = aMessage.index <= mCommitIndex ||
                        mLog.TermAt(aMessage.index) == aMessage.logTerm;
  if (alreadyCovered) {
    AdvanceCommit(aMessage.index);
    reply.success = true;
    Send(std::move(reply));
    return;
  }
  if (aMessage.total > mOptions.maxSnapshotBytes) {
    return;
  }
  if (mIncomingSnapshot.index != aMessage.index ||
      mIncomingSnapshot.logTerm != aMessage.logTerm ||
      mIncomingSnapshot.total != aMessage.total ||
      mIncomingSnapshot.checksum != aMessage.checksum) {
    mIncomingSnapshot = aMessage;
    mIncomingSnapshot.data.clear();
  }
  if (aMessage.offset == mIncomingSnapshot.data.size() &&
      aMessage.data.size() <=
        mIncomingSnapshot.total - mIncomingSnapshot.data.size()) {
    mIncomingSnapshot.data += aMessage.data;
  }
  if (mIncomingSnapshot.data.size() == mIncomingSnapshot.total) {
    Message complete = std::exchange(mIncomingSnapshot, {});
    if (Hash64(complete.data) == complete.checksum) {
      InstallSnapshot(complete);
      reply.success = true;
    }
  }
  reply.offset = mIncomingSnapshot.data.size();
  Send(std::move(reply));
}

void
Raft::InstallSnapshot(const Message& aMessage)
{
  mSnapshot = { .index = aMessage.index,
                .term = aMessage.logTerm,
                .membership = aMessage.membership,
                .data = std::make_shared<const std::string>(aMessage.data) };
  mInstalledSnapshot = mSnapshot;
  // The log is replaced as a whole: it has no entry at this index, or one of
  // another term, so no later entry can be part of the leader's log.
  mLog = internal::EntryLog(aMessage.index, aMessage.logTerm, {});
  mMemberships = { { aMessage.index, aMessage.membership } };
  mFirstUnwrittenIndex = aMessage.index + 1;
  mSyncedIndex = aMessage.index;
  mCommitIndex = aMessage.index;
  mAppliedIndex = aMessage.index;
}

} // namespace limpetwood::replication
