// Log entries, snapshots and the messages between replicas, as plain values.

#pragma once

#include "replication/types.h"

#include <memory>
#include <string>
#include <vector>

namespace limpetwood::replication {

enum class EntryKind
{
  // Appended by a new leader so that it can commit entries of earlier terms.
  kNoop = 0,
  kCommand = 1,
  kMembership = 2,
};

struct Entry
{
  uint64_t term = 0;
  uint64_t index = 0;
  EntryKind kind = EntryKind::kNoop;
  // The command of `kCommand`.
  std::string data{};
  // The membership of `kMembership`; in force as soon as the entry is in the
  // log, committed or not.
  Membership membership{};

  bool operator==(const Entry&) const = default;
};

// The state machine's state after the entry at `index`; index 0 means that
// there is no snapshot.
struct Snapshot
{
  uint64_t index = 0;
  uint64_t term = 0;
  Membership membership{};
  // Shared because the leader sends it to several followers. Not null if
  // `index > 0`.
  std::shared_ptr<const std::string> data{};
};

// State of the Raft core that must survive restarts, besides the log.
struct HardState
{
  uint64_t term = 0;
  // The candidate that got this replica's vote in `term`.
  Member vote{};
  // The log was damaged and is being restored from the leader.
  bool repairing = false;

  bool operator==(const HardState&) const = default;
};

enum class MessageKind
{
  // Formation: asks another replica for its status; sent by a replica without
  // a group or without a known leader.
  kHello = 1,
  kHelloReply = 2,
  // Formation: proposes the initial membership of a new group.
  kForm = 3,
  kFormReply = 4,
  // The following are handled by the Raft core.
  kVote = 5,
  kVoteReply = 6,
  kAppend = 7,
  kAppendReply = 8,
  kSnapshot = 9,
  kSnapshotReply = 10,
  // Leadership transfer: the receiver is to start an election at once.
  kTimeoutNow = 11,
};

// Progress of a replica towards membership in a group.
enum class FormationStatus
{
  // Has no group.
  kEmpty = 0,
  // Has stored an initial membership, but its log is empty.
  kPrepared = 1,
  // Member of a group that replicates. Its own log may still be empty, or may
  // be damaged.
  kActive = 2,
};

// A message of any kind. Fields that a kind does not use keep their defaults
// and take no bytes on the wire.
struct Message
{
  MessageKind kind = MessageKind::kHello;
  // Receiver and sender. Only the disk ids are encoded; the instances are known
  // from the transport.
  Member to{};
  Member from{};
  GroupId group{};
  uint64_t term = 0;

  // kVote, kVoteReply: belongs to a pre-vote, which changes no state.
  bool preVote = false;
  // kVoteReply: the vote was granted. kAppendReply: the entries were accepted.
  // kSnapshotReply: the follower needs no more of the snapshot.
  bool success = false;
  // kVote: the leader requested this election by a leadership transfer, so
  // voters ignore its lease.
  bool transfer = false;

  // kVote: the candidate's last entry. kAppend: the entry before `entries`.
  // kAppendReply: the highest matching index, or the rejected index.
  // kSnapshot, kSnapshotReply: index of the snapshot.
  uint64_t index = 0;
  // kVote, kAppend, kSnapshot: the term of the entry at `index`.
  uint64_t logTerm = 0;
  // kAppend: the leader's commit index.
  uint64_t commit = 0;
  // kAppend, kSnapshot: the leader's latest heartbeat round; the replies echo
  // it.
  uint64_t round = 0;
  // kAppendReply, if rejected: the last entry at which the logs may match.
  uint64_t hintIndex = 0;
  uint64_t hintTerm = 0;
  // kAppendReply, kSnapshotReply: identifies the repair of the sender's log; 0
  // if its log is intact. kAppend: the repair that ends once the receiver's log
  // matches up to `repairIndex`.
  uint64_t repairId = 0;
  uint64_t repairIndex = 0;

  std::vector<Entry> entries{};

  // kSnapshot: one chunk at `offset` of `total` bytes. kSnapshotReply:
  // `offset` is the next byte that the follower needs.
  uint64_t offset = 0;
  uint64_t total = 0;
  // kSnapshot: hash of the whole snapshot, not of the chunk.
  uint64_t checksum = 0;
  std::string data{};
  // kForm: the proposed membership. kSnapshot: the membership at `index`.
  Membership membership{};
  // kHelloReply: the sender's status and the leader it knows, empty if none.
  FormationStatus status = FormationStatus::kEmpty;
  InstanceId leader{};

  bool operator==(const Message&) const = default;
};

} // namespace limpetwood::replication
