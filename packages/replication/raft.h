// The Raft core as a pure state machine: no file, clock, socket or thread.
//
//   raft.Step(message, now);
//   Effects effects = raft.TakeEffects(now);
//   // send effects.early; write and sync state, snapshot and entries
//   raft.Synced(now);
//   // send effects.late; apply effects.committed; answer effects.reads
//
// Besides the basic algorithm:
// - Pre-vote: a replica asks whether it could win before it starts a term.
// - Check-quorum: a leader without a quorum for `electionMin` steps down.
// - Leader lease: a voter that heard from a leader refuses to vote during
//   `electionMin` (also after its own restart), so a leader is alone in charge
//   until `Timing::Lease()` after it sent a round of heartbeats that a quorum
//   acknowledged. This assumes that clock rates differ by less than
//   `Timing::driftPercent`. A transfer gives the lease up for good.
// - Membership changes by one member at a time, in force once in the log, and
//   only after the leader committed an entry of its own term.
// - Repair: a replica whose log was damaged keeps its term and vote, but does
//   not vote, and is not counted, until its log matches what the leader had
//   when it learned of the damage. No acknowledgement of the lost part can
//   refer to a later entry.

#pragma once

#include "base/random.h"
#include "base/result.h"
#include "replication/internal/entry_log.h"

#include <deque>
#include <map>
#include <set>

namespace limpetwood::replication {

enum class Role
{
  kFollower,
  kCandidate,
  kLeader,
};

enum class MembershipChange
{
  kAddLearner,
  kPromote,
  kRemove,
};

struct RaftOptions
{
  Member self{};
  Timing timing{};
  uint64_t seed = 0;
  // Identifies a repair during this run; not 0.
  uint64_t repair = 1;
  // Bounds of one append message, and of those on the way to one follower.
  size_t batchEntries = 512;
  size_t batchBytes = 256U << 10U;
  size_t maxInFlight = 16;
  size_t snapshotChunkBytes = 256U << 10U;
  // A larger snapshot is refused.
  uint64_t maxSnapshotBytes = 256U << 20U;
  // Entries kept in memory after a snapshot for slow followers.
  uint64_t keptEntries = 1000;
  uint64_t keptBytes = 4U << 20U;
  TestFaults faults{};
};

// What the replica remembers from earlier runs.
struct RaftState
{
  HardState hard{};
  // The membership before the first entry.
  Membership initial{};
  Snapshot snapshot{};
  std::vector<Entry> entries{};
};

struct ReadResult
{
  uint64_t ticket = 0;
  std::error_code error{};
};

struct Effects
{
  // May be sent at once.
  std::vector<Message> early{};
  // To write and sync, in this order.
  std::optional<HardState> state{};
  std::optional<Snapshot> installed{};
  // Replaces all entries from the index of its first one on.
  std::vector<Entry> entries{};
  // To send after the sync.
  std::vector<Message> late{};
  // To apply after the sync.
  std::vector<Entry> committed{};
  // To answer after applying.
  std::vector<ReadResult> reads{};

  bool empty() const
  {
    return early.empty() && !state && !installed && entries.empty() &&
           late.empty() && committed.empty() && reads.empty();
  }
};

struct Position
{
  uint64_t index = 0;
  uint64_t term = 0;
};

// What the leader knows about another member.
struct PeerProgress
{
  enum class Mode
  {
    // One append at a time until the match is known.
    kProbe,
    // Appends are pipelined.
    kReplicate,
    kSnapshot,
  };

  Mode mode = Mode::kProbe;
  // The highest index known to be synced there.
  uint64_t matchIndex = 0;
  uint64_t next = 1;
  // Probe or chunk on the way.
  bool waiting = false;
  // Last indexes of the appends on the way.
  std::deque<uint64_t> inFlight{};
  // The commit index last sent.
  uint64_t commitSent = 0;
  // The last acknowledged heartbeat round and when it was sent.
  uint64_t round = 0;
  std::optional<Millis> ackedRound{};
  Millis lastHeard{};
  Millis nextHeartbeat{};
  // The repair that the peer reported; 0 if its log is whole.
  uint64_t repair = 0;
  // The peer is whole once it matches up to here.
  uint64_t repairIndex = 0;
  // Snapshot being sent and the offset of the next chunk.
  Snapshot snapshot{};
  uint64_t offset = 0;
};

class Raft
{
public:
  Raft(RaftOptions aOptions, RaftState aState);

  void Step(const Message& aMessage, Millis aNow);
  void Tick(Millis aNow);
  Millis NextTick() const;

  // Allows this replica to start the first election of a new group. Without
  // it, a replica with an empty log never becomes candidate.
  void AllowBootstrap() { mMayBootstrap = true; }

  // The damage to this log lost nothing that was ever acknowledged to others.
  void EndRepair();

  // Leader only. The entry is sent and written by the next effects.
  Result<Position> Propose(std::string aCommand);
  Result<Position> Change(MembershipChange aChange,
                          const Member& aMember,
                          Millis aNow);
  std::error_code Transfer(const Member& aTo, Millis aNow);
  // Asks for a linearizable read; the ticket comes back in `Effects::reads`.
  Result<uint64_t> Read();

  Effects TakeEffects(Millis aNow);
  // All writes of the last effects are durable.
  void Synced(Millis aNow);
  // Stops for good, after a disk failure.
  void Halt();

  // The state machine was saved; drops the entries that it covers.
  // Precondition: the index was applied.
  void Compact(uint64_t aIndex, std::shared_ptr<const std::string> aData);

  Role CurrentRole() const { return mRole; }
  uint64_t Term() const { return mHard.term; }
  const HardState& Hard() const { return mHard; }
  const std::optional<Member>& Leader() const { return mLeader; }
  bool HasLease(Millis aNow) const;
  uint64_t CommitIndex() const { return mCommit; }
  const internal::EntryLog& Log() const { return mLog; }
  const Snapshot& LatestSnapshot() const { return mSnapshot; }
  const Membership& CurrentMembership() const
  {
    return mMemberships.rbegin()->second;
  }
  const std::map<Member, PeerProgress>& Peers() const { return mPeers; }
  // The membership in force at an index of the log.
  const Membership& MembershipAt(uint64_t aIndex) const;
  // True if nothing was ever written to this log.
  bool IsEmpty() const { return mLog.LastIndex() == 0; }

private:
  struct PendingRead
  {
    uint64_t ticket = 0;
    // To be committed first.
    uint64_t index = 0;
    // A quorum's acknowledgement of this round proves leadership.
    uint64_t round = 0;
  };

  void Start(Millis aNow);
  Message Make(MessageKind aKind, const Member& aTo) const;
  void Send(Message aMessage) { mLate.push_back(std::move(aMessage)); }

  // Elections (raft.cc).
  void BecomeFollower(uint64_t aTerm,
                      std::optional<Member> aLeader,
                      Millis aNow);
  void BecomeLeader(Millis aNow);
  void Campaign(bool aPreVote, bool aTransfer, Millis aNow);
  void ResetElectionTimer(Millis aNow);
  bool CanCampaign() const;
  bool HeardFromLeader(Millis aNow) const;
  bool CheckTerm(const Message& aMessage, Millis aNow);
  void HandleVote(const Message& aMessage, Millis aNow);
  void HandleVoteReply(const Message& aMessage, Millis aNow);
  bool SameMember(const Member& aLeft, const Member& aRight) const;
  const Member* FindVoter(const Member& aMember) const;

  // Following (raft_follower.cc).
  void HandleAppend(const Message& aMessage, Millis aNow);
  void AppendEntries(const Message& aMessage);
  void HandleSnapshot(const Message& aMessage, Millis aNow);
  void InstallSnapshot(const Message& aMessage);
  void TruncateAfter(uint64_t aIndex);
  void AddEntry(Entry aEntry);
  void AdvanceCommit(uint64_t aIndex);

  // Leading (raft_leader.cc).
  void AppendOwn(Entry aEntry);
  void UpdatePeers(Millis aNow);
  void SendToAll(Millis aNow);
  void StartRound(Millis aNow);
  void SendTo(const Member& aTo,
              PeerProgress& aPeer,
              bool aHeartbeat,
              Millis aNow);
  void SendAppend(const Member& aTo, PeerProgress& aPeer, bool aEmpty);
  void SendChunk(const Member& aTo, PeerProgress& aPeer, bool aEmpty);
  PeerProgress* HeardFrom(const Message& aMessage, Millis aNow);
  void HandleAppendReply(const Message& aMessage, Millis aNow);
  void HandleSnapshotReply(const Message& aMessage, Millis aNow);
  void SetMatch(PeerProgress& aPeer, uint64_t aIndex);
  void CommitAsLeader(Millis aNow);
  // The highest value that a quorum of the voters has reached.
  template<typename T, typename F>
  T QuorumValue(T aOwn, F aValueOf) const;
  Millis LeaseBase(Millis aNow) const;
  void ResolveReads(Millis aNow, std::vector<ReadResult>& aOut);
  void FailReads(std::error_code aError);

  const RaftOptions mOptions;
  Random mRandom;
  bool mStarted = false;
  bool mHalted = false;
  bool mMayBootstrap = false;

  HardState mHard;
  // Differs from what was last written.
  bool mHardChanged = false;
  internal::EntryLog mLog;
  Snapshot mSnapshot;
  std::optional<Snapshot> mInstalled;
  // Entries from here on were not handed out for writing yet.
  uint64_t mWriteFrom = 1;
  // Own entries up to here are durable. At most `mLog.LastIndex()`.
  uint64_t mSynced = 0;
  // Never decreases; the log up to here never changes.
  uint64_t mCommit = 0;
  // Handed out for applying.
  uint64_t mApplied = 0;
  // By the index of the entry that set it; the last one is in force.
  std::map<uint64_t, Membership> mMemberships;

  Role mRole = Role::kFollower;
  bool mPreVote = false;
  std::optional<Member> mLeader;
  std::set<Member> mVotes;
  Millis mElectionDeadline;
  Millis mLastContact;
  // Buffer of a snapshot being received.
  Message mIncoming;
  // The repair ends once the log up to here is durable.
  std::optional<uint64_t> mRepairedAt;

  std::map<Member, PeerProgress> mPeers;
  // Index of the first entry of the leader's own term.
  uint64_t mTermStart = 0;
  Millis mLeaderSince;
  uint64_t mRound = 0;
  bool mWantRound = false;
  Millis mNextRound;
  // Send times of recent rounds.
  std::deque<std::pair<uint64_t, Millis>> mRounds;
  std::optional<Member> mTransferTo;
  Millis mTransferDeadline;
  uint64_t mNextTicket = 1;
  std::vector<PendingRead> mReads;
  std::vector<ReadResult> mFailedReads;

  std::vector<Message> mEarly;
  std::vector<Message> mLate;
};

} // namespace limpetwood::replication
