// Leading: replication, commits, lease, membership changes, reads.

#include "replication/raft.h"

#include "base/error.h"
#include "base/hash.h"

#include <algorithm>

namespace limpetwood::replication {
namespace {

// Rounds whose acknowledgement still counts; older ones prove nothing useful.
constexpr size_t kRememberedRounds = 64;

} // namespace

void
Raft::AppendOwn(Entry aEntry)
{
  aEntry.term = mHard.term;
  aEntry.index = mLog.LastIndex() + 1;
  AddEntry(std::move(aEntry));
}

void
Raft::UpdatePeers(Millis aNow)
{
  const Membership& now = CurrentMembership();
  std::erase_if(mPeers,
                [&](const auto& aPeer) { return !now.Contains(aPeer.first); });
  for (const auto* list : { &now.voters, &now.learners }) {
    for (const Member& it : *list) {
      if (it != mOptions.self && !mPeers.contains(it)) {
        mPeers[it] = { .next = mLog.LastIndex() + 1, .lastHeard = aNow };
      }
    }
  }
}

Result<Position>
Raft::Propose(std::string aCommand)
{
  if (mRole != Role::kLeader) {
    return make_error_code(Errc::kNotLeader);
  }
  if (mTransferTo) {
    return make_error_code(Errc::kUnavailable);
  }
  AppendOwn({ .kind = EntryKind::kCommand, .data = std::move(aCommand) });
  return Position{ mLog.LastIndex(), mHard.term };
}

Result<Position>
Raft::Change(MembershipChange aChange, const Member& aMember, Millis aNow)
{
  if (mRole != Role::kLeader) {
    return make_error_code(Errc::kNotLeader);
  }
  if (mTransferTo || mCommit < mTermStart) {
    return make_error_code(Errc::kUnavailable);
  }
  if (mMemberships.rbegin()->first > mCommit) {
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
      bool caughtUp = peer.matchIndex >= mCommit && peer.repair == 0 &&
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
  AppendOwn({ .kind = EntryKind::kMembership, .membership = std::move(next) });
  UpdatePeers(aNow);
  return Position{ mLog.LastIndex(), mHard.term };
}

std::error_code
Raft::Transfer(const Member& aTo, Millis aNow)
{
  if (mRole != Role::kLeader) {
    return Errc::kNotLeader;
  }
  auto it = mPeers.find(aTo);
  if (it == mPeers.end() || FindVoter(aTo) == nullptr) {
    return Errc::kNotFound;
  }
  if (mTransferTo || it->second.matchIndex < mLog.LastIndex() ||
      it->second.repair != 0) {
    return Errc::kUnavailable;
  }
  // From here on the lease is void for the rest of the term, because the
  // request may arrive late.
  mTransferTo = aTo;
  mTransferDeadline = aNow + mOptions.timing.electionMin;
  mLate.push_back(Make(MessageKind::kTimeoutNow, aTo));
  return {};
}

Result<uint64_t>
Raft::Read()
{
  if (mRole != Role::kLeader) {
    return make_error_code(Errc::kNotLeader);
  }
  mReads.push_back({ .ticket = mNextTicket,
                     .index = std::max(mCommit, mTermStart),
                     .round = mRound + 1 });
  return mNextTicket++;
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
    } else if (peer != mPeers.end() && peer->second.repair == 0) {
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
Raft::LeaseBase(Millis aNow) const
{
  return QuorumValue<Millis>(aNow, [&](const PeerProgress& aPeer) {
    return aPeer.ackedRound.value_or(mLeaderSince);
  });
}

bool
Raft::HasLease(Millis aNow) const
{
  if (mRole != Role::kLeader || mTransferTo) {
    return false;
  }
  // Before the first acknowledged round there is no lease.
  size_t acked = 0;
  for (const Member& it : CurrentMembership().voters) {
    auto peer = mPeers.find(it);
    if (it == mOptions.self ||
        (peer != mPeers.end() && peer->second.ackedRound &&
         peer->second.repair == 0)) {
      ++acked;
    }
  }
  return acked >= CurrentMembership().Quorum() &&
         aNow < LeaseBase(aNow) + mOptions.timing.Lease();
}

void
Raft::ResolveReads(Millis aNow, std::vector<ReadResult>& aOut)
{
  aOut = std::exchange(mFailedReads, {});
  if (mReads.empty()) {
    return;
  }
  bool lease = HasLease(aNow) || mOptions.faults.skipLeaseOnReads;
  // A quorum's acknowledgement of a later round proves, without any clock,
  // that there was no newer leader when the read arrived.
  uint64_t round = QuorumValue<uint64_t>(
    UINT64_MAX, [](const PeerProgress& aPeer) { return aPeer.round; });
  std::erase_if(mReads, [&](const PendingRead& aRead) {
    if (mCommit < aRead.index || (!lease && round < aRead.round)) {
      return false;
    }
    aOut.push_back({ .ticket = aRead.ticket });
    return true;
  });
  // One round serves all reads that arrived before it.
  bool started = mReads.empty() || mReads.back().round <= mRound;
  mWantRound = mWantRound || (!started && !lease);
}

void
Raft::FailReads(std::error_code aError)
{
  for (const PendingRead& it : mReads) {
    mFailedReads.push_back({ .ticket = it.ticket, .error = aError });
  }
  mReads.clear();
}

void
Raft::StartRound(Millis aNow)
{
  ++mRound;
  mRounds.emplace_back(mRound, aNow);
  if (mRounds.size() > kRememberedRounds) {
    mRounds.pop_front();
  }
  mNextRound = aNow + mOptions.timing.heartbeat;
  mWantRound = false;
}

void
Raft::SendToAll(Millis aNow)
{
  bool round = mWantRound || aNow >= mNextRound;
  if (round) {
    StartRound(aNow);
  }
  for (auto& [member, peer] : mPeers) {
    bool voter = FindVoter(member) != nullptr;
    bool heartbeat = voter ? round : aNow >= peer.nextHeartbeat;
    if (voter) {
      peer.nextHeartbeat = mNextRound;
    } else if (heartbeat) {
      peer.nextHeartbeat = aNow + mOptions.timing.learnerHeartbeat;
    }
    SendTo(member, peer, heartbeat, aNow);
  }
}

void
Raft::SendTo(const Member& aTo,
             PeerProgress& aPeer,
             bool aHeartbeat,
             Millis aNow)
{
  // A silent peer gets empty messages until it answers.
  bool silent = aNow - aPeer.lastHeard >= mOptions.timing.electionMin;
  if (aPeer.next <= mLog.BaseIndex() &&
      aPeer.mode != PeerProgress::Mode::kSnapshot) {
    aPeer.mode = PeerProgress::Mode::kSnapshot;
    aPeer.snapshot = mSnapshot;
    aPeer.offset = 0;
    aPeer.waiting = false;
  }
  switch (aPeer.mode) {
    case PeerProgress::Mode::kSnapshot:
      if (!aPeer.waiting || aHeartbeat) {
        SendChunk(aTo, aPeer, silent);
      }
      return;
    case PeerProgress::Mode::kProbe:
      if (!aPeer.waiting || aHeartbeat) {
        SendAppend(aTo, aPeer, silent);
        aPeer.waiting = true;
      }
      return;
    case PeerProgress::Mode::kReplicate:
      break;
  }
  bool sent = false;
  while (aPeer.next <= mLog.LastIndex() &&
         aPeer.inFlight.size() < mOptions.maxInFlight) {
    SendAppend(aTo, aPeer, false);
    aPeer.inFlight.push_back(aPeer.next - 1);
    sent = true;
  }
  // Tells an otherwise idle follower at once what was committed.
  bool commitNews = aPeer.inFlight.empty() && aPeer.commitSent < mCommit;
  if (!sent && (aHeartbeat || commitNews)) {
    SendAppend(aTo, aPeer, true);
  }
}

void
Raft::SendAppend(const Member& aTo, PeerProgress& aPeer, bool aEmpty)
{
  Message append = Make(MessageKind::kAppend, aTo);
  append.index = aPeer.next - 1;
  append.logTerm = mLog.TermAt(append.index).value_or(0);
  append.commit = mCommit;
  append.round = mRound;
  append.repair = aPeer.repair;
  append.repairIndex = aPeer.repairIndex;
  size_t bytes = 0;
  uint64_t index = aPeer.next;
  while (
    !aEmpty && index <= mLog.LastIndex() &&
    append.entries.size() < mOptions.batchEntries &&
    (bytes == 0 || bytes + mLog.At(index).data.size() <= mOptions.batchBytes)) {
    append.entries.push_back(mLog.At(index));
    bytes += mLog.At(index).data.size() + 1;
    ++index;
  }
  if (aPeer.mode == PeerProgress::Mode::kReplicate) {
    aPeer.next = index;
  }
  aPeer.commitSent = mCommit;
  mEarly.push_back(std::move(append));
}

void
Raft::SendChunk(const Member& aTo, PeerProgress& aPeer, bool aEmpty)
{
  const std::string& data = *aPeer.snapshot.data;
  Message chunk = Make(MessageKind::kSnapshot, aTo);
  chunk.index = aPeer.snapshot.index;
  chunk.logTerm = aPeer.snapshot.term;
  chunk.membership = aPeer.snapshot.membership;
  chunk.round = mRound;
  chunk.offset = aPeer.offset;
  chunk.total = data.size();
  chunk.checksum = Hash64(data);
  if (!aEmpty) {
    chunk.data = data.substr(aPeer.offset, mOptions.snapshotChunkBytes);
  }
  aPeer.waiting = true;
  mEarly.push_back(std::move(chunk));
}

// Records the sender's round and repair; null if it is no peer.
PeerProgress*
Raft::HeardFrom(const Message& aMessage, Millis aNow)
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
  for (const auto& [round, sentAt] : mRounds) {
    if (round == aMessage.round && round > peer.round) {
      peer.round = round;
      peer.ackedRound = sentAt;
    }
  }
  if (aMessage.repair != 0 && aMessage.repair != peer.repair) {
    peer.repairIndex = mLog.LastIndex();
    peer.matchIndex = 0;
    peer.mode = PeerProgress::Mode::kProbe;
    peer.waiting = false;
    peer.inFlight.clear();
    peer.next = mLog.LastIndex() + 1;
  }
  peer.repair = aMessage.repair;
  return &peer;
}

void
Raft::SetMatch(PeerProgress& aPeer, uint64_t aIndex)
{
  aPeer.matchIndex = std::max(aPeer.matchIndex, aIndex);
  aPeer.next = std::max(aPeer.next, aPeer.matchIndex + 1);
  aPeer.waiting = false;
  while (!aPeer.inFlight.empty() &&
         aPeer.inFlight.front() <= aPeer.matchIndex) {
    aPeer.inFlight.pop_front();
  }
  if (aPeer.mode == PeerProgress::Mode::kProbe) {
    aPeer.mode = PeerProgress::Mode::kReplicate;
    aPeer.next = aPeer.matchIndex + 1;
  }
}

void
Raft::HandleAppendReply(const Message& aMessage, Millis aNow)
{
  PeerProgress* peer = HeardFrom(aMessage, aNow);
  if (peer == nullptr || peer->mode == PeerProgress::Mode::kSnapshot ||
      aMessage.index > mLog.LastIndex()) {
    return;
  }
  if (aMessage.success) {
    SetMatch(*peer, aMessage.index);
    CommitAsLeader(aNow);
    return;
  }
  if (aMessage.repair != 0) {
    // A late reply from before the damage may have raised the match.
    peer->matchIndex = 0;
  } else {
    // A rejection of what was acknowledged is an old message, or comes from a
    // follower that forgot synced entries; the next heartbeat is soon enough.
    bool probe = peer->mode == PeerProgress::Mode::kProbe;
    if (aMessage.index <= peer->matchIndex ||
        (probe && aMessage.index != peer->next - 1)) {
      return;
    }
  }
  uint64_t index = mLog.LastAtOrBelow(aMessage.hintIndex, aMessage.hintTerm);
  peer->mode = PeerProgress::Mode::kProbe;
  peer->inFlight.clear();
  peer->waiting = false;
  peer->next =
    std::max(std::min(index, aMessage.index - 1), peer->matchIndex) + 1;
}

void
Raft::HandleSnapshotReply(const Message& aMessage, Millis aNow)
{
  PeerProgress* peer = HeardFrom(aMessage, aNow);
  if (peer == nullptr || peer->mode != PeerProgress::Mode::kSnapshot ||
      aMessage.index != peer->snapshot.index) {
    return;
  }
  if (aMessage.success) {
    peer->mode = PeerProgress::Mode::kProbe;
    peer->snapshot = {};
    peer->next = aMessage.index + 1;
    SetMatch(*peer, aMessage.index);
    CommitAsLeader(aNow);
  } else if (aMessage.offset <= peer->snapshot.data->size()) {
    peer->waiting = peer->offset == aMessage.offset;
    peer->offset = aMessage.offset;
  }
}

void
Raft::CommitAsLeader(Millis aNow)
{
  uint64_t index = QuorumValue<uint64_t>(
    mSynced, [](const PeerProgress& aPeer) { return aPeer.matchIndex; });
  // Entries of earlier terms are committed only through one of this term.
  if (index > mCommit && mLog.TermAt(index) == mHard.term) {
    mCommit = index;
  }
  if (mMemberships.rbegin()->first <= mCommit &&
      FindVoter(mOptions.self) == nullptr) {
    BecomeFollower(mHard.term, {}, aNow);
  }
}

} // namespace limpetwood::replication
