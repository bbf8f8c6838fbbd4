// A replicated state machine: the pure Raft core with its files and codecs.
//
//   auto group = Group::Open(options, machine, send);
//   group.Value()->Propose("command", now, [](ProposeOutcome aOutcome) {});
//   group.Value()->Tick(now);
//
// Single-threaded and driven from outside. `Receive`, `Propose`, `Read` and the
// membership calls only queue work; `Tick` writes and syncs what they queued,
// sends messages and runs callbacks. The driver hands over everything that it
// has, then calls `Tick` once `NextTick() <= now`; this shares one disk sync
// between all of it. `Tick` waits for the disk. Callbacks may call the group,
// but must not destroy it.

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

// What the log replicates. All replicas apply the same commands in the same
// order, so every method must be deterministic.
class StateMachine
{
public:
  virtual ~StateMachine() = default;

  // Applies the committed command at `aIndex` and returns its result for the
  // proposer.
  virtual std::string Apply(uint64_t aIndex, std::string_view aCommand) = 0;

  // The whole state as of the last applied command.
  virtual std::string TakeSnapshot() const = 0;

  // Replaces the state; false if the bytes are not a snapshot.
  virtual bool Restore(std::string_view aSnapshot) = 0;
};

struct ProposeOutcome
{
  // `kAnswered` once applied, `kNotRun` if it certainly never will be, and
  // `kMayHaveRun` if the leader lost its term before it knew.
  Verdict verdict = Verdict::kNotRun;
  // Set unless the verdict is `kAnswered`.
  std::error_code error{};
  // Log index, if the command was appended.
  uint64_t index = 0;
  // What `StateMachine::Apply` returned.
  std::string result{};
};

using ProposeCallback = std::function<void(ProposeOutcome)>;
using ReadCallback = std::function<void(std::error_code)>;
using SendFunction =
  std::function<void(const InstanceId& aTo, std::string aBytes)>;

struct GroupOptions
{
  // This replica's instance.
  InstanceId self;
  // Data folder; created if missing.
  std::string folder;
  // The voters of the very first start, the same list on every instance. The
  // group forms once all of them have answered with an empty disk; later
  // changes come from the log. A replica that is not listed applies for
  // membership at these instances.
  std::vector<InstanceId> voters{};
  // False on a later start: the replica may rejoin or apply, but never proposes
  // a new group.
  bool allowFormation = true;
  Timing timing{};
  // Seeds election timeouts and, with other entropy, the disk id.
  uint64_t seed = 0;
  // A snapshot is taken after this many entries or bytes since the last one.
  uint64_t snapshotEntries = 10000;
  uint64_t snapshotBytes = 16U << 20U;
  // The largest accepted command.
  uint64_t maxCommandBytes = 4U << 20U;
  // Proposals waiting for a commit; further ones are refused.
  size_t maxPending = 10000;
  // The real file system if null. Not owned.
  Disk* disk = nullptr;
  TestFaults faults{};
};

// What the leader knows about another member.
struct PeerStatus
{
  Member member;
  bool voter = false;
  // The highest log index known to be synced there.
  uint64_t matchIndex = 0;
  // Time of the last message from it in this term, or when the term began.
  Millis lastHeard;
  // Its log was damaged and is being fetched again.
  bool repairing = false;
};

struct GroupStatus
{
  Member self;
  // 0 if there is none yet.
  GroupId group{};
  Role role = Role::kFollower;
  // False until the group was formed or this replica was admitted.
  bool formed = false;
  // True while a damaged log is being fetched again; the replica neither
  // votes nor counts meanwhile.
  bool repairing = false;
  uint64_t term = 0;
  uint64_t lastIndex = 0;
  uint64_t commitIndex = 0;
  uint64_t appliedIndex = 0;
  uint64_t snapshotIndex = 0;
  Membership membership{};
  // The following two are known to the leader only.
  std::vector<PeerStatus> peers{};
  // Replicas with an unknown disk that ask to be admitted, latest per
  // instance; pass one to `AddLearner`.
  std::vector<Member> applicants{};
  // The disk failure that made this replica step down, if any. It takes part
  // again only after a restart.
  std::error_code diskError{};
};

class Group
{
public:
  virtual ~Group() = default;

  // Reads the data folder and restores the state machine. Fails with `kIo` or
  // `kNoSpace`; a damaged log is no failure but is repaired from a peer.
  // `aMachine` must outlive the group.
  static Result<std::unique_ptr<Group>> Open(GroupOptions aOptions,
                                             StateMachine& aMachine,
                                             SendFunction aSend);

  // Handles the bytes that `aFrom` passed to its `SendFunction`. Malformed
  // bytes are dropped and counted.
  virtual void Receive(const InstanceId& aFrom,
                       std::string_view aBytes,
                       Millis aNow) = 0;

  virtual void Tick(Millis aNow) = 0;

  // When `Tick` is due; not later than the last `aNow` if work is queued.
  virtual Millis NextTick() const = 0;

  // Appends a command on the leader. `aDone` runs exactly once, from `Tick`,
  // except that destroying the group drops it.
  virtual void Propose(std::string aCommand,
                       Millis aNow,
                       ProposeCallback aDone) = 0;

  // Runs `aDone` without error once this state machine reflects every command
  // that was answered anywhere before this call. Leader only. `aNow` must have
  // been read after the request for the read arrived.
  virtual void Read(Millis aNow, ReadCallback aDone) = 0;

  // Membership changes; leader only, one at a time (`kConflict` while another
  // one is not committed). `Promote` is refused with `kUnavailable` until the
  // learner has caught up. To replace a voter: add the new member as learner,
  // promote it, then remove the old one.
  virtual void AddLearner(const Member& aMember,
                          Millis aNow,
                          ProposeCallback aDone) = 0;
  virtual void Promote(const Member& aMember,
                       Millis aNow,
                       ProposeCallback aDone) = 0;
  virtual void Remove(const Member& aMember,
                      Millis aNow,
                      ProposeCallback aDone) = 0;

  // Hands leadership to a caught-up voter, for example before a shutdown.
  // Proposals are refused until it ends, at most one election timeout later.
  virtual std::error_code Transfer(const Member& aTo, Millis aNow) = 0;

  // Instances that a replica without a leader asks besides the known ones.
  virtual void SetDiscoveryInstances(std::vector<InstanceId> aContacts) = 0;

  // Whether this replica leads and holds the leader lease, as of `aNow` or of
  // the last time handed in. While true, no other replica can be leader.
  virtual bool IsLeader(Millis aNow) const = 0;
  virtual bool IsLeader() const = 0;

  // The leader of the current term, if known.
  virtual std::optional<InstanceId> Leader() const = 0;
  virtual uint64_t Term() const = 0;
  virtual uint64_t AppliedIndex() const = 0;
  virtual GroupStatus Status() const = 0;
};

} // namespace limpetwood::replication
