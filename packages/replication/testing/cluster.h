// Deterministic simulation of a group of replicas, with a simulated network and
// simulated disks and clocks. The same seed gives the same run.

#pragma once

#include "base/random.h"
#include "replication/memory_disk.h"
#include "replication/testing/checker.h"

#include <functional>
#include <queue>

namespace limpetwood::replication::testing {

struct NetworkOptions
{
  // Probabilities for each message.
  double loss = 0;
  double duplicate = 0;
  // Range of the delay of a message.
  Millis minDelay{ 1 };
  Millis maxDelay{ 5 };
};

struct ClusterOptions
{
  uint64_t seed = 1;
  size_t voters = 3;
  // Replicas that are not configured as voters.
  size_t nonVoters = 0;
  NetworkOptions network{};
  // Clock rates of two replicas differ by up to this; below the limit that the
  // group assumes, `Timing::maxClockDriftPercent`.
  int64_t clockDriftPercent = 8;
  // Entries between two snapshots.
  uint64_t snapshotEntries = 40;
  TestFaults faults{};
  // Prints messages, elections and faults to standard output.
  bool trace = false;
};

// State machine whose state is the hash of all applied commands.
class HashStateMachine : public StateMachine
{
public:
  HashStateMachine(Checker& aChecker, std::string aNode)
    : mChecker(aChecker)
    , mNode(std::move(aNode))
  {
  }

  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override;
  bool Restore(std::string_view aSnapshot) override;

private:
  Checker& mChecker;
  const std::string mNode;
  uint64_t mIndex = 0;
  uint64_t mHash = 0;
};

struct Node
{
  InstanceId instance;
  MemoryDisk disk;
  std::unique_ptr<HashStateMachine> machine;
  std::unique_ptr<internal::GroupImpl> group;
  // Increases at every start and crash. Events that were scheduled in an
  // earlier run of the process are dropped.
  uint64_t startCount = 0;
  // Local time is `clockOffset + time * clockRatePermille / 1000`.
  int64_t clockRatePermille = 1000;
  Millis clockOffset;
  // The earliest scheduled tick; `Millis::Max()` if there is none.
  Millis nextTickAt = Millis::Max();
};

class Cluster
{
public:
  explicit Cluster(ClusterOptions aOptions);

  size_t Size() const { return mNodes.size(); }
  Node& At(size_t aNode) { return *mNodes[aNode]; }
  bool IsUp(size_t aNode) const { return mNodes[aNode]->group != nullptr; }
  Millis Now() const { return mNow; }
  Millis LocalNow(const Node& aNode) const;
  Checker& Checks() { return mChecker; }
  Random& Randomness() { return mRandom; }
  void SetNetwork(const NetworkOptions& aNetwork)
  {
    mOptions.network = aNetwork;
  }

  void Start(size_t aNode);
  // Ends the replica's process; unsynced writes are lost.
  void Crash(size_t aNode);
  // Ends the replica's process and erases its disk.
  void LoseDisk(size_t aNode);
  // Drops messages in one direction while `aCut` is set.
  void Cut(size_t aFrom, size_t aTo, bool aCut);
  // Drops all messages from and to the replica while `aCut` is set.
  void Isolate(size_t aNode, bool aCut);
  void HealNetwork() { mCutLinks.clear(); }

  // Schedules an event at a time of the simulation.
  void RunAt(Millis aTime, std::function<void()> aEvent);
  // Runs until a time, or until the first violation.
  void RunUntil(Millis aTime);
  void RunFor(Millis aTime) { RunUntil(mNow + aTime); }
  // Runs until a condition holds; false after `aLimit` or at a violation.
  bool RunUntilTrue(const std::function<bool()>& aCondition, Millis aLimit);

  // Sends a client operation to a replica and checks its outcome; does nothing
  // if the replica is down.
  void Propose(size_t aNode);
  void Read(size_t aNode);
  uint64_t AnsweredCount() const { return mAnsweredCount; }
  uint64_t ReadCount() const { return mReadCount; }
  // Proposals on running replicas that have no outcome yet.
  size_t OpenProposals() const { return mOpenProposals.size(); }

  // The replica that holds the lease, if any.
  std::optional<size_t> Leader();
  // Makes one membership change on the leader, if one is needed: admits an
  // applicant, promotes a learner or removes a member whose disk was lost.
  void RepairMembership(size_t aTargetVoters);
  // Promotes a learner, and checks that it has all committed entries.
  void Promote(const Member& aMember);
  // Ticks a replica if due, checks it and schedules its next tick.
  void StepNode(size_t aNode);
  void Trace(const std::string& aLine);

private:
  struct Event
  {
    Millis time;
    uint64_t order = 0;
    std::function<void()> run;
    bool operator<(const Event& aOther) const
    {
      return time != aOther.time ? time > aOther.time : order > aOther.order;
    }
  };

  void Send(size_t aFrom, const InstanceId& aTo, std::string aBytes);
  void Deliver(size_t aFrom, size_t aTo, const std::string& aBytes);
  void CheckLeases();
  size_t IndexOf(const InstanceId& aInstance) const;

  ClusterOptions mOptions;
  Random mRandom;
  Checker mChecker;
  std::vector<std::unique_ptr<Node>> mNodes;
  Millis mNow;
  std::priority_queue<Event> mEvents;
  uint64_t mNextEventOrder = 0;
  // Sender and receiver of each direction in which messages are dropped.
  std::set<std::pair<size_t, size_t>> mCutLinks;
  uint64_t mCommandCount = 0;
  uint64_t mAnsweredCount = 0;
  uint64_t mReadCount = 0;
  // The node of each command without an outcome.
  std::map<std::string, size_t> mOpenProposals;
};

} // namespace limpetwood::replication::testing
