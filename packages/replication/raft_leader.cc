// The leader's part of `Raft`: replication, commits, leader lease, membership
// changes and linearizable reads.

#include "replication/raft.h"

#include "base/error.h"
#include "base/hash.h"

#include <algorithm>

namespace limpetwood::replication {
namespace {

// The number of heartbeat rounds whose send times are kept. Acknowledgements
// of older rounds are ignored; a later acknowledgement renews the lease
// instead.
constexpr size_t kMaxRecentRounds = 64;

} // namespace

void
Raft::AppendAsLeader(Entry aEntry)
{
  aEntry.term = mHardState.term;
  aEntry.index = mLog.LastIndex() + 1;
  AddEntry(std::move(aEntry));
}

void
Raft::UpdatePeers(Millis aNow)
{
  const Membership& members = CurrentMembership();
  std::erase_if(
    mPeers, [&](const auto& aPeer) { return !members.Contains(aPeer.first); });
  for (const auto* list : { &members.voters, &members.learners }) {
    for (const Member& it : *list) {
      if (it != mOptions.self && !mPeers.contains(it)) {
        mPeers[it] = { .nextIndex = mLog.LastIndex() + 1, .lastHeard = aNow };
      }
    }
  }
}

Result<LogPosition>
Raft::Propose(std::string aCommand)
{
  if (mRole != Role::kLeader) {
    return make_error_code(Errc::kNotLeader);
  }
  if (mTransferTo) {
    return make_error_code(Errc::kUnavailable);
  }
  AppendAsLeader({ .kind = EntryKind::kCommand, .data = std::move(aCommand) });
  return LogPosition{ mLog.LastIndex(), mHardState.term };
}

Result<LogPosition>
Raft::ChangeMembership(MembershipChange aChange,
                       const Member& aMember,
                       Millis aNow)
{
  if (mRole != Role::kLeader) {
    return make_error_code(Errc::kNotLeader);
  }
  if (mTransferTo || mCommitIndex < mTermStartIndex) {
    return make_error_code(Errc::kUnavailable);
  }
  if (mMemberships.rbegin()->first > mCommitIndex) {
    return make_error_code(Errc::kConflict);
  }
  Membership next = CurrentMembership();
  bool learner = next.IsLearner(aMember);
  switch (aChange) {
    case MembershipChange::kAddLearner:
      if (next.Contains(aMember)) {
        return make_error_code(Errc::kAlreadyExists);
      }
      next.learners.push_back(aMember);
      break;
    case MembershipChange::kPromote: {
      if (!learner) {
        return make_error_code(Errc::kNotFound);
      }
      auto found = mPeers.find(aMember);
      if (found == mPeers.end()) {
        return make_error_code(Errc::kUnavailable);
      }
      const PeerProgress& peer = found->second;
      bool caughtUp = peer.matchIndex >= mCommitIndex && peer.repairId == 0 &&
                      aNow - peer.lastHeard < mOptions.timing.electionMin;
      if (!caughtUp && !mOptions.faults.promoteAnyLearner) {
        return make_error_code(Errc::kUnavailable);
      }
      std::erase(next.learners, aMember);
      next.voters.push_back(aMember);
      break;
    }
    case MembershipChange::kRemove:
      if (!next.Contains(aMember)) {
        return make_error_code(Errc::kNotFound);
      }
      std::erase(next.learners, aMember);
      std::erase(next.voters, aMember);
      if (next.voters.empty()) {
        return make_error_code(Errc::kInvalidArgument);
      }
      break;
  }
  AppendAsLeader(
    { .kind = EntryKind::kMembership, .membership = std::move(next) });
  UpdatePeers(aNow);
  return LogPosition{ mLog.LastIndex(), mHardState.term };
}

std::error_code
Raft::TransferLeadership(const Member& aTo, Millis aNow)
{
  if (mRole != Role::kLeader) {
    return Errc::kNotLeader;
  }
  auto it = mPeers.find(aTo);
  if (it == mPeers.end() || FindVoter(aTo) == nullptr) {
    return Errc::kNotFound;
  }
  if (mTransferTo || it->second.matchIndex < mLog.LastIndex() ||
      it->second.repairId != 0) {
    return Errc::kUnavailable;
  }
  // Ends the lease for the rest of the term: the request to start an election
  // may be delayed, and such an election ignores the lease.
  mTransferTo = aTo;
  mTransferDeadline = aNow + mOptions.timing.electionMin;
  mMessagesAfterSync.push_back(MakeMessage(MessageKind::kTimeoutNow, aTo));
  return {};
}

Result<uint64_t>
Raft::Read()
{
  if (mRole != Role::kLeader) {
    return make_error_code(Errc::kNotLeader);
  }
  mPendingReads.push_back({ .ticket = mNextReadTicket,
                            .index = std::max(mCommitIndex, mTermStartIndex),
                            .round = mRound + 1 });
  return mNextReadTicket++;
}

template<typename T, typename F>
T
Raft::QuorumValue(T aOwn, F aValueOf) const
{
  const Membership& members = CurrentMembership();
  std::vector<T> values;
  values.reserve(members.voters.size());
  for (const Member& it : members.voters) {
    auto peer = mPeers.find(it);
    if (it == mOptions.self) {
      values.push_back(aOwn);
    } else if (peer != mPeers.end() && peer->second.repairId == 0) {
      values.push_back(aValueOf(peer->second));
    } else {
      values.push_back(T());
    }
  }
  auto nth = values.begin() + static_cast<ptrdiff_t>(members.Quorum()) - 1;
  std::nth_element(values.begin(), nth, values.end(), std::greater<T>());
  return *nth;
}

Millis
Raft::LeaseStart(Millis aNow) const
{
  return QuorumValue<Millis>(aNow, [&](const PeerProgress& aPeer) {
    return aPeer.lastAckedRoundSentAt.value_or(mLeaderSince);
  });
}

bool
Raft::HasLease(Millis aNow) const
{
  if (mRole != Role::kLeader || mTransferTo) {
    return false;
  }
  // There is no lease until a quorum has acknowledged a round.
  size_t acked = 0;
  for (const Member& it : CurrentMembership().voters) {
    auto peer = mPeers.find(it);
    if (it == mOptions.self ||
        (peer != mPeers.end() && peer->second.lastAckedRoundSentAt &&
         peer->second.repairId == 0)) {
      ++acked;
    }
  }
  return acked >= CurrentMembership().Quorum() &&
         aNow < LeaseStart(aNow) + mOptions.timing.LeaseDuration();
}

void
Raft::ResolveReads(Millis aNow, std::vector<ReadResult>& aOut)
{
  aOut = std::exchange(mFailedReads, {});
  if (mPendingReads.empty()) {
    return;
  }
  bool hasLease = HasLease(aNow) || mOptions.faults.skipLeaseOnReads;
  // Without a lease, a quorum's acknowledgement of a round that started after
  // the read arrived shows that there was no newer leader at that time. This
  // does not depend on clocks.
  uint64_t round = QuorumValue<uint64_t>(
    UINT64_MAX, [](const PeerProgress& aPeer) { return aPeer.lastAckedRound; });
  std::erase_if(mPendingReads, [&](const PendingRead& aRead) {
    if (mCommitIndex < aRead.index || (!hasLease && round < aRead.round)) {
      return false;
    }
    aOut.push_back({ .ticket = aRead.ticket });
    return true;
  });
  // One round serves all reads that arrived before it started.
  bool roundStarted =
    mPendingReads.empty() || mPendingReads.back().round <= mRound;
  mRoundRequested = mRoundRequested || (!roundStarted && !hasLease);
}

void
Raft::FailReads(std::error_code aError)
{
  for (const PendingRead& it : mPendingReads) {
    mFailedReads.push_back({ .ticket = it.ticket, .error = aError });
  }
  mPendingReads.clear();
}

void
Raft::StartHeartbeatRound(Millis aNow)
{
  ++mRound;
  mRecentRounds.emplace_back(mRound, aNow);
  if (mRecentRounds.size() > kMaxRecentRounds) {
    mRecentRounds.pop_front();
  }
  mNextRoundAt = aNow + mOptions.timing.heartbeat;
  mRoundRequested = false;
}

void
Raft::SendToPeers(Millis aNow)
{
  bool newRound = mRoundRequested || aNow >= mNextRoundAt;
  if (newRound) {
    StartHeartbeatRound(aNow);
  }
  for (auto& [member, peer] : mPeers) {
    bool voter = FindVoter(member) != nullptr;
    bool heartbeat = voter ? newRound : aNow >= peer.nextHeartbeatAt;
    if (voter) {
      peer.nextHeartbeatAt = mNextRoundAt;
    } else if (heartbeat) {
      peer.nextHeartbeatAt = aNow + mOptions.timing.learnerHeartbeat;
    }
    SendToPeer(member, peer, heartbeat, aNow);
  }
}

void
Raft::SendToPeer(const Member& aTo,
                 PeerProgress& aPeer,
                 bool aHeartbeat,
                 Millis aNow)
{
  // In the modes `kProbe` and `kSnapshot`, a peer that has not been heard from
  // gets messages without entries or data until it replies. In `kReplicate`,
  // `maxInFlightAppends` bounds what is sent.
  bool silent = aNow - aPeer.lastHeard >= mOptions.timing.electionMin;
  if (aPeer.nextIndex <= mLog.BaseIndex() &&
      aPeer.mode != PeerProgress::Mode::kSnapshot) {
    aPeer.mode = PeerProgress::Mode::kSnapshot;
    aPeer.snapshot = mSnapshot;
    aPeer.snapshotOffset = 0;
    aPeer.awaitingReply = false;
  }
  switch (aPeer.mode) {
    case PeerProgress::Mode::kSnapshot:
      if (!aPeer.awaitingReply || aHeartbeat) {
        SendSnapshotChunk(aTo, aPeer, silent);
      }
      return;
    case PeerProgress::Mode::kProbe:
      if (!aPeer.awaitingReply || aHeartbeat) {
        SendAppend(aTo, aPeer, silent);
        aPeer.awaitingReply = true;
      }
      return;
    case PeerProgress::Mode::kReplicate:
      break;
  }
  bool sent = false;
  while (aPeer.nextIndex <= mLog.LastIndex() &&
         aPeer.inFlight.size() < mOptions.maxInFlightAppends) {
    SendAppend(aTo, aPeer, false);
    aPeer.inFlight.push_back(aPeer.nextIndex - 1);
    sent = true;
  }
  // An idle follower would otherwise learn of the commit only with the next
  // heartbeat.
  bool commitAdvanced =
    aPeer.inFlight.empty() && aPeer.lastSentCommit < mCommitIndex;
  if (!sent && (aHeartbeat || commitAdvanced)) {
    SendAppend(aTo, aPeer, true);
  }
}

void
Raft::SendAppend(const Member& aTo, PeerProgress& aPeer, bool aEmpty)
{
  Message append = MakeMessage(MessageKind::kAppend, aTo);
  append.index = aPeer.nextIndex - 1;
  append.logTerm = mLog.TermAt(append.index).value_or(0);
  append.commit = mCommitIndex;
  append.round = mRound;
  append.repairId = aPeer.repairId;
  append.repairIndex = aPeer.repairIndex;
  // The first entry is always sent. The 1 below makes `bytes` nonzero after an
  // entry without data.
  size_t bytes = 0;
  uint64_t index = aPeer.nextIndex;
  while (!aEmpty && index <= mLog.LastIndex() &&
         append.entries.size() < mOptions.maxEntriesPerAppend &&
         (bytes == 0 ||
          bytes + mLog.At(index).data.size() <= mOptions.maxBytesPerAppend)) {
    append.entries.push_back(mLog.At(index));
    bytes += mLog.At(index).data.size() + 1;
    ++index;
  }
  if (aPeer.mode == PeerProgress::Mode::kReplicate) {
    aPeer.nextIndex = index;
  }
  aPeer.lastSentCommit = mCommitIndex;
  mMessagesBeforeSync.push_back(std::move(append));
}

void
Raft::SendSnapshotChunk(const Member& aTo, PeerProgress& aPeer, bool aEmpty)
{
  const std::string& data = *aPeer.snapshot.data;
  Message chunk = MakeMessage(MessageKind::kSnapshot, aTo);
  chunk.index = aPeer.snapshot.index;
  chunk.logTerm = aPeer.snapshot.term;
  chunk.membership = aPeer.snapshot.membership;
  chunk.round = mRound;
  chunk.offset = aPeer.snapshotOffset;
  chunk.total = data.size();
  chunk.checksum = Hash64(data);
  if (!aEmpty) {
    chunk.data = data.substr(aPeer.snapshotOffset, mOptions.snapshotChunkBytes);
  }
  aPeer.awaitingReply = true;
  mMessagesBeforeSync.push_back(std::move(chunk));
}

// Records which round the sender acknowledges and whether its log is being
// repaired. Returns its progress, or null if the sender is not a peer or this
// replica is not the leader.
PeerProgress*
Raft::RecordReply(const Message& aMessage, Millis aNow)
{
  if (mRole != Role::kLeader) {
    return nullptr;
  }
  auto it = std::find_if(mPeers.begin(), mPeers.end(), [&](const auto& aPeer) {
    return SameMember(aPeer.first, aMessage.from);
  });
  if (it == mPeers.end()) {
    return nullptr;
  }
  PeerProgress& peer = it->second;
  peer.lastHeard = aNow;
  for (const auto& [round, sentAt] : mRecentRounds) {
    if (round == aMessage.round && round > peer.lastAckedRound) {
      peer.lastAckedRound = round;
      peer.lastAckedRoundSentAt = sentAt;
    }
  }
  if (aMessage.repairId != 0 && aMessage.repairId != peer.repairId) {
    // A new repair: the peer may have lost entries that it acknowledged, so its
    // progress is unknown.
    peer.repairIndex = mLog.LastIndex();
    peer.matchIndex = 0;
    peer.mode = PeerProgress::Mode::kProbe;
    peer.awaitingReply = false;
    peer.inFlight.clear();
    peer.nextIndex = mLog.LastIndex() + 1;
  }
  peer.repairId = aMessage.repairId;
  return &peer;
}

void
Raft::AdvanceMatch(PeerProgress& aPeer, uint64_t aIndex)
{
  aPeer.matchIndex = std::max(aPeer.matchIndex, aIndex);
  aPeer.nextIndex = std::max(aPeer.nextIndex, aPeer.matchIndex + 1);
  aPeer.awaitingReply = false;
  while (!aPeer.inFlight.empty() &&
         aPeer.inFlight.front() <= aPeer.matchIndex) {
    aPeer.inFlight.pop_front();
  }
  if (aPeer.mode == PeerProgress::Mode::kProbe) {
    aPeer.mode = PeerProgress::Mode::kReplicate;
    aPeer.nextIndex = aPeer.matchIndex + 1;
  }
}

void
Raft::HandleAppendReply(const Message& aMessage, Millis aNow)
{
  PeerProgress* peer = RecordReply(aMessage, aNow);
  if (peer == nullptr || peer->mode == PeerProgress::Mode::kSnapshot ||
      aMessage.index > mLog.LastIndex()) {
    return;
  }
  if (aMessage.success) {
    AdvanceMatch(*peer, aMessage.index);
    AdvanceLeaderCommit(aNow);
    return;
  }
  if (aMessage.repairId != 0) {
    // A delayed reply from before the damage may have raised `matchIndex`.
    peer->matchIndex = 0;
  } else {
    // In the first case, the follower has acknowledged this index before, so
    // the rejection is an old message, or the follower lost synced entries.
    // Neither needs a probe before the next heartbeat. In the second case, the
    // reply is to an earlier probe.
    bool probe = peer->mode == PeerProgress::Mode::kProbe;
    if (aMessage.index <= peer->matchIndex ||
        (probe && aMessage.index != peer->nextIndex - 1)) {
      return;
    }
  }
  uint64_t index =
    mLog.LastIndexWithTermAtMost(aMessage.hintIndex, aMessage.hintTerm);
  peer->mode = PeerProgress::Mode::kProbe;
  peer->inFlight.clear();
  peer->awaitingReply = false;
  peer->nextIndex =
    std::max(std::min(index, aMessage.index - 1), peer->matchIndex) + 1;
}

void
Raft::HandleSnapshotReply(const Message& aMessage, Millis aNow)
{
  PeerProgress* peer = RecordReply(aMessage, aNow);
  if (peer == nullptr || peer->mode != PeerProgress::Mode::kSnapshot ||
      aMessage.index != peer->snapshot.index) {
    return;
  }
  if (aMessage.success) {
    peer->mode = PeerProgress::Mode::kProbe;
    peer->snapshot = {};
    peer->nextIndex = aMessage.index + 1;
    AdvanceMatch(*peer, aMessage.index);
    AdvanceLeaderCommit(aNow);
  } else if (aMessage.offset <= peer->snapshot.data->size()) {
    // An unchanged offset means that the follower did not take the chunk, or
    // that the chunk was empty. The chunk is then sent again with the next
    // heartbeat.
    peer->awaitingReply = peer->snapshotOffset == aMessage.offset;
    peer->snapshotOffset = aMessage.offset;
  }
}

void
Raft::AdvanceLeaderCommit(Millis aNow)
{
  uint64_t index = QuorumValue<uint64_t>(
    mSyncedIndex, [](const PeerProgress& aPeer) { return aPeer.matchIndex; });
  // Entries of earlier terms are committed only together with a later entry of
  // the current term.
  if (index > mCommitIndex && mLog.TermAt(index) == mHardState.term) {
    mCommitIndex = index;
  }
  // A leader steps down once the change that removed it from the voters is
  // committed.
  if (mMemberships.rbegin()->first <= mCommitIndex &&
      FindVoter(mOptions.self) == nullptr) {
    BecomeFollower(mHardState.term, {}, aNow);
  }
}

} // namespace limpetwood::replication
