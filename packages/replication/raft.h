// The Raft core as a pure state machine: no file, clock, socket or thread.
//
//   raft.Step(message, now);
//   Effects effects = raft.TakeEffects(now);
//   // send effects.messagesBeforeSync; write and sync effects.hardState,
//   // effects.installedSnapshot and effects.entries, in this order
//   raft.OnSynced(now);
//   // send effects.messagesAfterSync; apply effects.committedEntries;
//   // answer effects.readResults
//
// Extensions to the basic algorithm:
// - Pre-vote: a replica asks whether it could win an election before it
//   increments its term.
// - Check-quorum: a leader that has not heard from a quorum for `electionMin`
//   steps down.
// - Leader lease: a voter that heard from a leader grants no vote for
//   `electionMin`, also after its own restart. No other leader can therefore
//   be elected until `Timing::LeaseDuration()` after the leader sent a
//   heartbeat round that a quorum acknowledged. This assumes that clock rates
//   differ by less than `Timing::maxClockDriftPercent`. Starting a leadership
//   transfer ends the lease for the rest of the term.
// - Membership changes add or remove one member at a time. A change takes
//   effect once its entry is in the log, and is accepted only after the leader
//   has committed an entry of its own term.
// - Repair: a replica whose log was damaged keeps its term and vote, but
//   neither votes nor counts towards a quorum until its log matches what the
//   leader's log contained when the leader learned of the damage. Entries that
//   the replica acknowledged before the damage cannot have a higher index.

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
  // Distinguishes a log repair in this run of the process from repairs in
  // earlier runs. Not 0.
  uint64_t repairId = 1;
  // Limits of one append message. Bytes count entry data; one entry is always
  // sent, even if it is larger.
  size_t maxEntriesPerAppend = 512;
  size_t maxBytesPerAppend = 256U << 10U;
  // Maximum number of unacknowledged appends per follower.
  size_t maxInFlightAppends = 16;
  size_t snapshotChunkBytes = 256U << 10U;
  // A follower discards larger snapshots.
  uint64_t maxSnapshotBytes = 256U << 20U;
  // Entries before the latest snapshot that stay in memory, so that slow
  // followers can catch up without the snapshot.
  uint64_t retainedEntries = 1000;
  uint64_t retainedBytes = 4U << 20U;
  TestFaults faults{};
};

// The state that the core starts from: what was recovered from disk, or only
// the membership of a new group.
struct InitialState
{
  HardState hardState{};
  // The membership in force before the first log entry.
  Membership initialMembership{};
  Snapshot snapshot{};
  std::vector<Entry> entries{};
};

struct ReadResult
{
  // As returned by `Raft::Read`.
  uint64_t ticket = 0;
  std::error_code error{};
};

// What the caller has to do after a step.
struct Effects
{
  // Does not depend on the writes below and may be sent before them.
  std::vector<Message> messagesBeforeSync{};
  // The next three are written and synced in this order.
  std::optional<HardState> hardState{};
  std::optional<Snapshot> installedSnapshot{};
  // Replaces all stored entries from the index of its first entry on.
  std::vector<Entry> entries{};
  // Sent after the sync.
  std::vector<Message> messagesAfterSync{};
  // Applied to the state machine after the sync.
  std::vector<Entry> committedEntries{};
  // Answered after the committed entries are applied.
  std::vector<ReadResult> readResults{};

  bool empty() const
  {
    return messagesBeforeSync.empty() && !hardState && !installedSnapshot &&
           entries.empty() && messagesAfterSync.empty() &&
           committedEntries.empty() && readResults.empty();
  }
};

struct LogPosition
{
  uint64_t index = 0;
  uint64_t term = 0;
};

// Replication progress of another member, as tracked by the leader.
struct PeerProgress
{
  enum class Mode
  {
    // Sends one append at a time until `matchIndex` is known.
    kProbe,
    // Pipelines appends without waiting for replies.
    kReplicate,
    // Sends a snapshot in chunks, one at a time.
    kSnapshot,
  };

  Mode mode = Mode::kProbe;
  // The highest index known to be durable on the peer.
  uint64_t matchIndex = 0;
  uint64_t nextIndex = 1;
  // A probe or snapshot chunk has not been answered yet.
  bool awaitingReply = false;
  // Last index of each unacknowledged append.
  std::deque<uint64_t> inFlight{};
  // The commit index in the latest append to the peer.
  uint64_t lastSentCommit = 0;
  // The latest heartbeat round that the peer acknowledged.
  uint64_t lastAckedRound = 0;
  // When that round was sent; empty before the first acknowledgement.
  std::optional<Millis> lastAckedRoundSentAt{};
  Millis lastHeard{};
  Millis nextHeartbeatAt{};
  // The repair that the peer reported; 0 if its log is intact.
  uint64_t repairId = 0;
  // The repair ends once the peer's log matches up to this index.
  uint64_t repairIndex = 0;
  // The snapshot being sent, and the offset of the next chunk.
  Snapshot snapshot{};
  uint64_t snapshotOffset = 0;
};

class Raft
{
public:
  Raft(RaftOptions aOptions, InitialState aState);

  // `aNow` is the caller's monotonic clock in all calls and must not decrease.
  void Step(const Message& aMessage, Millis aNow);
  void Tick(Millis aNow);
  // When `Tick` is due; `Millis::Max()` after `Halt`.
  Millis NextTick() const;

  // Allows this replica to start the first election of a new group. Without
  // it, a replica with an empty log never becomes a candidate.
  void AllowBootstrap() { mMayBootstrap = true; }

  // Ends the repair of this log early. Precondition: the damaged part held no
  // entry that this replica acknowledged to others.
  void EndRepair();

  // The following are for the leader only and fail with `kNotLeader` elsewhere.

  // Appends a command. The next `TakeEffects` sends and writes the entry. Fails
  // with `kUnavailable` during a leadership transfer.
  Result<LogPosition> Propose(std::string aCommand);
  // Fails with `kUnavailable` during a leadership transfer, before the first
  // commit of this term, or if the learner to promote has not caught up; with
  // `kConflict` while another change is uncommitted; with `kAlreadyExists` or
  // `kNotFound`; and with `kInvalidArgument` if no voter would remain.
  Result<LogPosition> ChangeMembership(MembershipChange aChange,
                                       const Member& aMember,
                                       Millis aNow);
  // Fails with `kNotFound` if `aTo` is not another voter, and with
  // `kUnavailable` if it has not caught up or a transfer is in progress.
  std::error_code TransferLeadership(const Member& aTo, Millis aNow);
  // Requests a linearizable read. Returns a ticket, which is repeated in
  // `Effects::readResults` once the read may be served or has failed.
  Result<uint64_t> Read();

  // Returns the effects since the previous call and clears them. Empty after
  // `Halt`.
  Effects TakeEffects(Millis aNow);
  // Called when all writes of the last effects are durable.
  void OnSynced(Millis aNow);
  // Stops permanently after a disk failure.
  void Halt();

  // Records a snapshot of the state machine as of `aIndex` and drops log
  // entries that it covers, except for the retained ones. Precondition:
  // `aIndex` was applied.
  void Compact(uint64_t aIndex, std::shared_ptr<const std::string> aData);

  Role CurrentRole() const { return mRole; }
  uint64_t Term() const { return mHardState.term; }
  const HardState& CurrentHardState() const { return mHardState; }
  const std::optional<Member>& Leader() const { return mLeader; }
  // True if this replica leads and no other leader can be elected at `aNow`.
  bool HasLease(Millis aNow) const;
  uint64_t CommitIndex() const { return mCommitIndex; }
  const internal::EntryLog& Log() const { return mLog; }
  const Snapshot& LatestSnapshot() const { return mSnapshot; }
  const Membership& CurrentMembership() const
  {
    return mMemberships.rbegin()->second;
  }
  const std::map<Member, PeerProgress>& Peers() const { return mPeers; }
  // The membership in force as of the entry at `aIndex`.
  const Membership& MembershipAt(uint64_t aIndex) const;
  // True if the log holds neither entries nor a snapshot.
  bool IsEmpty() const { return mLog.LastIndex() == 0; }

private:
  struct PendingRead
  {
    uint64_t ticket = 0;
    // The read may be served once the log is committed up to this index.
    uint64_t index = 0;
    // If a quorum acknowledges this heartbeat round, this replica was still
    // the leader when the read arrived.
    uint64_t round = 0;
  };

  void EnsureStarted(Millis aNow);
  Message MakeMessage(MessageKind aKind, const Member& aTo) const;
  void Send(Message aMessage)
  {
    mMessagesAfterSync.push_back(std::move(aMessage));
  }

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

  // Follower (raft_follower.cc).
  void HandleAppend(const Message& aMessage, Millis aNow);
  void AppendEntries(const Message& aMessage);
  void HandleSnapshot(const Message& aMessage, Millis aNow);
  void InstallSnapshot(const Message& aMessage);
  void TruncateAfter(uint64_t aIndex);
  void AddEntry(Entry aEntry);
  void AdvanceCommit(uint64_t aIndex);

  // Leader (raft_leader.cc).
  void AppendAsLeader(Entry aEntry);
  void UpdatePeers(Millis aNow);
  void SendToPeers(Millis aNow);
  void StartHeartbeatRound(Millis aNow);
  void SendToPeer(const Member& aTo,
                  PeerProgress& aPeer,
                  bool aHeartbeat,
                  Millis aNow);
  void SendAppend(const Member& aTo, PeerProgress& aPeer, bool aEmpty);
  void SendSnapshotChunk(const Member& aTo, PeerProgress& aPeer, bool aEmpty);
  PeerProgress* RecordReply(const Message& aMessage, Millis aNow);
  void HandleAppendReply(const Message& aMessage, Millis aNow);
  void HandleSnapshotReply(const Message& aMessage, Millis aNow);
  void AdvanceMatch(PeerProgress& aPeer, uint64_t aIndex);
  void AdvanceLeaderCommit(Millis aNow);
  // The highest value that a quorum of the voters has reached. `aOwn` is this
  // replica's value; a voter that is being repaired counts as `T()`.
  template<typename T, typename F>
  T QuorumValue(T aOwn, F aValueOf) const;
  // When the latest heartbeat round was sent that a quorum acknowledged;
  // `mLeaderSince` before the first acknowledgement.
  Millis LeaseStart(Millis aNow) const;
  void ResolveReads(Millis aNow, std::vector<ReadResult>& aOut);
  void FailReads(std::error_code aError);

  const RaftOptions mOptions;
  Random mRandom;
  bool mStarted = false;
  bool mHalted = false;
  bool mMayBootstrap = false;

  HardState mHardState;
  // `mHardState` differs from what was last handed out for writing.
  bool mHardStateChanged = false;
  internal::EntryLog mLog;
  Snapshot mSnapshot;
  std::optional<Snapshot> mInstalledSnapshot;
  // The first log index that was not handed out for writing yet.
  uint64_t mFirstUnwrittenIndex = 1;
  // This replica's log is durable up to this index. At most
  // `mLog.LastIndex()`.
  uint64_t mSyncedIndex = 0;
  // Never decreases. The log up to this index never changes.
  uint64_t mCommitIndex = 0;
  // The highest index handed out for applying. At most `mCommitIndex`.
  uint64_t mAppliedIndex = 0;
  // By the index of the entry that set it; the last one is in force.
  std::map<uint64_t, Membership> mMemberships;

  Role mRole = Role::kFollower;
  // The current candidacy is a pre-vote.
  bool mPreVote = false;
  std::optional<Member> mLeader;
  std::set<Member> mVotes;
  Millis mElectionDeadline;
  // When a leader was last heard from; also set at the first step, see
  // `EnsureStarted`.
  Millis mLastContact;
  // The snapshot being received; its `data` grows chunk by chunk.
  Message mIncomingSnapshot;
  // Set when the log matches the leader's up to the end of the repair. The
  // repair ends once the log is durable up to this index.
  std::optional<uint64_t> mRepairEndIndex;

  std::map<Member, PeerProgress> mPeers;
  // Index of the first entry of the leader's own term.
  uint64_t mTermStartIndex = 0;
  Millis mLeaderSince;
  // Heartbeat rounds are numbered from 1 in each term.
  uint64_t mRound = 0;
  // The next `TakeEffects` starts a round even if `mNextRoundAt` has not been
  // reached.
  bool mRoundRequested = false;
  Millis mNextRoundAt;
  // Numbers and send times of recent rounds.
  std::deque<std::pair<uint64_t, Millis>> mRecentRounds;
  std::optional<Member> mTransferTo;
  Millis mTransferDeadline;
  uint64_t mNextReadTicket = 1;
  std::vector<PendingRead> mPendingReads;
  std::vector<ReadResult> mFailedReads;

  std::vector<Message> mMessagesBeforeSync;
  std::vector<Message> mMessagesAfterSync;
};

} // namespace limpetwood::replication
