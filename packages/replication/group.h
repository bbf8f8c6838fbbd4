// A replicated state machine: the Raft core together with the log store and the
// message codec.
//
//   auto group = Group::Open(options, machine, send);
//   group.Value()->Propose("command", now, [](ProposeOutcome aOutcome) {});
//   group.Value()->Tick(now);
//
// Single-threaded and driven by its caller. `Receive`, `Propose`, `Read` and
// the membership calls only queue work. `Tick` writes and syncs the queued
// work, sends messages and runs callbacks; it blocks until the disk has synced.
// The caller passes in all pending messages and calls, and then calls `Tick`
// once `NextTick() <= now`, so that they share one disk sync. Callbacks may
// call the group, but must not destroy it.

#pragma once

#include "base/result.h"
#include "base/verdict.h"
#include "replication/raft.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::replication {

class Disk;

// The replicated state. All replicas apply the same commands in the same order,
// so every method must be deterministic.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  // Applies the committed command at `aIndex` and returns its result for the
  // proposer.
  virtual std::string Apply(uint64_t aIndex, std::string_view aCommand) = 0;

  // Serializes the whole state as of the last applied command.
  virtual std::string TakeSnapshot() const = 0;

  // Replaces the state by a snapshot; false if the bytes are not a valid one.
  virtual bool Restore(std::string_view aSnapshot) = 0;
};

struct ProposeOutcome
{
  // `kAnswered` once the command was applied, `kNotRun` if it will never be
  // applied, and `kMayHaveRun` if this replica stopped leading or its disk
  // failed before the outcome was known.
  Verdict verdict = Verdict::kNotRun;
  // Set unless the verdict is `kAnswered`.
  std::error_code error{};
  // Log index of the command; 0 if it was not appended.
  uint64_t index = 0;
  // The result of `StateMachine::Apply`.
  std::string result{};
};

using ProposeCallback = std::function<void(ProposeOutcome)>;
using ReadCallback = std::function<void(std::error_code)>;
// Sends a message to the replica of another instance. Messages may be lost,
// duplicated and reordered.
using SendFunction =
  std::function<void(const InstanceId& aTo, std::string aBytes)>;

struct GroupOptions
{
  // This replica's instance.
  InstanceId self;
  // Data folder; created if missing.
  std::string folder;
  // The voters of a new group; the same list on every instance. The group
  // forms once all of them have reported an empty disk. Afterwards the
  // membership in the log applies. A replica that is not listed asks these
  // instances for admission.
  std::vector<InstanceId> voters{};
  // If false, the replica may rejoin its group or ask for admission, but never
  // proposes a new group. Set to false on every start after the first.
  bool allowFormation = true;
  Timing timing{};
  // Seed of election timeouts and, combined with entropy of the system, of the
  // disk id.
  uint64_t seed = 0;
  // A snapshot is taken once this many entries, or commands of this total size,
  // were applied since the last one.
  uint64_t snapshotEntries = 10000;
  uint64_t snapshotBytes = 16U << 20U;
  // Larger commands are refused with `kTooLarge`.
  uint64_t maxCommandBytes = 4U << 20U;
  // Number of uncommitted proposals above which further ones are refused with
  // `kRefused`.
  size_t maxPendingProposals = 10000;
  // The real file system if null. Not owned.
  Disk* disk = nullptr;
  TestFaults faults{};
};

// The leader's view of another member.
struct PeerStatus
{
  Member member;
  bool voter = false;
  // The highest log index known to be durable on the member.
  uint64_t matchIndex = 0;
  // When the last message of this term arrived from the member; the time of the
  // leader's election or of the member's admission before the first message.
  Millis lastHeard;
  // The member's log was damaged and is being restored.
  bool repairing = false;
};

struct GroupStatus
{
  Member self;
  // 0 until a group was formed or this replica was admitted to one.
  GroupId group{};
  Role role = Role::kFollower;
  // True once the log has an entry or a snapshot.
  bool formed = false;
  // True while a damaged log is being restored. Meanwhile the replica neither
  // votes nor counts towards a quorum.
  bool repairing = false;
  uint64_t term = 0;
  uint64_t lastIndex = 0;
  uint64_t commitIndex = 0;
  uint64_t appliedIndex = 0;
  uint64_t snapshotIndex = 0;
  Membership membership{};
  // The following two are known to the leader only.
  std::vector<PeerStatus> peers{};
  // Replicas outside the membership that ask for admission; for each instance
  // only the disk that asked last. `AddLearner` admits one.
  std::vector<Member> applicants{};
  // The failure that made this replica stop participating, if any: a disk
  // failure, or `kCorrupt` if the state machine rejected a snapshot from the
  // leader. The replica participates again only after a restart.
  std::error_code diskError{};
};

class Group
{
public:
  virtual ~Group() = default;

  // Reads the data folder and restores the state machine. Fails with `kIo` or
  // `kNoSpace`, or with `kCorrupt` if the state machine rejects its snapshot. A
  // damaged log is not a failure; it is restored from the leader. `aMachine`
  // must outlive the group.
  static Result<std::unique_ptr<Group>> Open(GroupOptions aOptions,
                                             StateMachine& aMachine,
                                             SendFunction aSend);

  // Handles a message that the replica of `aFrom` passed to its
  // `SendFunction`. Malformed bytes are dropped.
  virtual void Receive(const InstanceId& aFrom,
                       std::string_view aBytes,
                       Millis aNow) = 0;

  virtual void Tick(Millis aNow) = 0;

  // When `Tick` is due. If work is queued, the latest `aNow` passed to any
  // call, so `Tick` is due at once.
  virtual Millis NextTick() const = 0;

  // Appends a command; leader only. `aDone` runs exactly once, from `Tick`,
  // unless the group is destroyed before. Errors are `kNotLeader`,
  // `kTooLarge`, `kRefused` above `maxPendingProposals`, `kUnavailable` during
  // a leadership transfer, or the disk failure.
  virtual void Propose(std::string aCommand,
                       Millis aNow,
                       ProposeCallback aDone) = 0;

  // Linearizable read; leader only. Runs `aDone` without error once the state
  // machine reflects every command that any replica answered before this call.
  // Errors are `kNotLeader` and the disk failure. The caller must read the
  // clock for `aNow` after the request arrived, because the leader lease is
  // checked as of this time or a later one.
  virtual void Read(Millis aNow, ReadCallback aDone) = 0;

  // Membership changes; leader only. One at a time: fails with `kConflict`
  // while another change is uncommitted. Other errors are `kNotLeader`, the
  // disk failure, `kUnavailable` during a leadership transfer and before the
  // first commit of the term, `kAlreadyExists` (`AddLearner`) and `kNotFound`
  // (`Promote`, `Remove`). `Promote` fails with `kUnavailable` until the
  // learner has caught up, and `Remove` with `kInvalidArgument` if no voter
  // would remain. To replace a voter, add the new member as a learner, promote
  // it, and then remove the old member.
  virtual void AddLearner(const Member& aMember,
                          Millis aNow,
                          ProposeCallback aDone) = 0;
  virtual void Promote(const Member& aMember,
                       Millis aNow,
                       ProposeCallback aDone) = 0;
  virtual void Remove(const Member& aMember,
                      Millis aNow,
                      ProposeCallback aDone) = 0;

  // Transfers leadership to a voter that has caught up, for example before a
  // shutdown. Proposals fail until a new leader is elected. If that does not
  // happen within `Timing::electionMin`, this replica steps down. Errors are
  // `kNotLeader`, the disk failure, `kNotFound` if `aTo` is not another voter,
  // and `kUnavailable` if it has not caught up or a transfer is in progress.
  virtual std::error_code Transfer(const Member& aTo, Millis aNow) = 0;

  // Sets further instances to which a replica without a known leader sends
  // status requests, besides the configured voters and the known members.
  virtual void SetDiscoveryInstances(std::vector<InstanceId> aInstances) = 0;

  // True if this replica leads and holds the leader lease as of `aNow`, or of
  // the time passed to the latest call. While true, no other replica can be
  // the leader.
  virtual bool IsLeader(Millis aNow) const = 0;
  virtual bool IsLeader() const = 0;

  // The leader of the current term, if known.
  virtual std::optional<InstanceId> Leader() const = 0;
  virtual uint64_t Term() const = 0;
  virtual uint64_t AppliedIndex() const = 0;
  virtual GroupStatus Status() const = 0;
};

} // namespace limpetwood::replication
