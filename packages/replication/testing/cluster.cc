#include "replication/testing/cluster.h"

#include "base/error.h"
#include "base/hash.h"
#include "replication/codec.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace limpetwood::replication::testing {

std::string
HashStateMachine::Apply(uint64_t aIndex, std::string_view aCommand)
{
  std::string command(aCommand);
  mChecker.OnApplied(mNode, aIndex, command);
  mIndex = aIndex;
  mHash = Hash64(command, mHash);
  return std::to_string(mHash);
}

std::string
HashStateMachine::TakeSnapshot() const
{
  return std::to_string(mIndex) + " " + std::to_string(mHash);
}

bool
HashStateMachine::Restore(std::string_view aSnapshot)
{
  size_t space = aSnapshot.find(' ');
  const char* end = aSnapshot.data() + aSnapshot.size();
  if (space == std::string_view::npos ||
      std::from_chars(aSnapshot.data(), aSnapshot.data() + space, mIndex).ec !=
        std::errc() ||
      std::from_chars(aSnapshot.data() + space + 1, end, mHash).ec !=
        std::errc()) {
    return false;
  }
  mChecker.OnRestored(mNode, mIndex, mHash);
  return true;
}

Cluster::Cluster(ClusterOptions aOptions)
  : mOptions(aOptions)
  , mRandom(mOptions.seed)
{
  for (size_t i = 0; i < mOptions.voters + mOptions.nonVoters; ++i) {
    auto node = std::make_unique<Node>();
    node->instance = InstanceId("n" + std::to_string(i));
    int64_t half = mOptions.clockDriftPercent * 10 / 2;
    node->clockRatePermille = 1000 + mRandom.Between(-half, half);
    node->clockOffset = mRandom.Between(Millis(0), Hours(10));
    mNodes.push_back(std::move(node));
  }
}

Millis
Cluster::LocalNow(const Node& aNode) const
{
  return aNode.clockOffset + mNow * aNode.clockRatePermille / 1000;
}

void
Cluster::Trace(const std::string& aLine)
{
  if (mOptions.trace) {
    std::printf(
      "%8lld  %s\n", static_cast<long long>(mNow.Count()), aLine.c_str());
  }
}

void
Cluster::Start(size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (node.group) {
    return;
  }
  ++node.startCount;
  node.machine =
    std::make_unique<HashStateMachine>(mChecker, node.instance.Value());
  GroupOptions options{ .self = node.instance,
                        .folder = "data",
                        .seed = mOptions.seed * 1000 + node.startCount,
                        .snapshotEntries = mOptions.snapshotEntries,
                        .disk = &node.disk,
                        .faults = mOptions.faults };
  for (size_t i = 0; i < mOptions.voters; ++i) {
    options.voters.push_back(mNodes[i]->instance);
  }
  auto group = internal::GroupImpl::Open(
    std::move(options),
    *node.machine,
    [this, aNode](const InstanceId& aTo, std::string aBytes) {
      Send(aNode, aTo, std::move(aBytes));
    });
  if (!group) {
    Trace(node.instance.Value() + " cannot start: " + group.Error().message());
    return;
  }
  node.group = std::move(group).Value();
  node.nextTickAt = Millis::Max();
  GroupStatus status = node.group->Status();
  Trace(node.instance.Value() + " starts with disk " +
        std::to_string(status.self.disk.Value()) + ", log up to " +
        std::to_string(status.lastIndex) +
        (status.repairing ? ", repairing" : ""));
  StepNode(aNode);
}

void
Cluster::Crash(size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (!node.group) {
    return;
  }
  Trace(node.instance.Value() + " crashes");
  ++node.startCount;
  node.group.reset();
  node.machine.reset();
  node.disk.Crash(mRandom);
  std::erase_if(mOpenProposals,
                [&](const auto& it) { return it.second == aNode; });
}

void
Cluster::LoseDisk(size_t aNode)
{
  Crash(aNode);
  Trace(mNodes[aNode]->instance.Value() + " loses its disk");
  mNodes[aNode]->disk.Erase();
}

void
Cluster::Cut(size_t aFrom, size_t aTo, bool aCut)
{
  if (aCut) {
    mCutLinks.emplace(aFrom, aTo);
  } else {
    mCutLinks.erase({ aFrom, aTo });
  }
}

void
Cluster::Isolate(size_t aNode, bool aCut)
{
  Trace(mNodes[aNode]->instance.Value() +
        (aCut ? " is isolated" : " is reconnected"));
  for (size_t i = 0; i < mNodes.size(); ++i) {
    Cut(aNode, i, aCut);
    Cut(i, aNode, aCut);
  }
}

void
Cluster::RunAt(Millis aTime, std::function<void()> aEvent)
{
  mEvents.push({ aTime, mNextEventOrder++, std::move(aEvent) });
}

void
Cluster::RunUntil(Millis aTime)
{
  RunUntilTrue([] { return false; }, aTime - mNow);
}

bool
Cluster::RunUntilTrue(const std::function<bool()>& aCondition, Millis aLimit)
{
  Millis end = mNow + aLimit;
  while (mChecker.Ok()) {
    if (aCondition()) {
      return true;
    }
    if (mEvents.empty() || mEvents.top().time > end) {
      mNow = end;
      return aCondition();
    }
    mNow = mEvents.top().time;
    auto event = mEvents.top().run;
    mEvents.pop();
    event();
  }
  return false;
}

size_t
Cluster::IndexOf(const InstanceId& aInstance) const
{
  size_t i = 0;
  while (i < mNodes.size() && mNodes[i]->instance != aInstance) {
    ++i;
  }
  return i;
}

void
Cluster::Send(size_t aFrom, const InstanceId& aTo, std::string aBytes)
{
  size_t to = IndexOf(aTo);
  const NetworkOptions& network = mOptions.network;
  int copies = mRandom.Chance(network.duplicate) ? 2 : 1;
  if (to >= mNodes.size() || mRandom.Chance(network.loss)) {
    return;
  }
  for (int i = 0; i < copies; ++i) {
    Millis delay = mRandom.Between(network.minDelay, network.maxDelay);
    RunAt(mNow + delay,
          [this, aFrom, to, bytes = aBytes] { Deliver(aFrom, to, bytes); });
  }
}

void
Cluster::Deliver(size_t aFrom, size_t aTo, const std::string& aBytes)
{
  Node& node = *mNodes[aTo];
  if (!node.group || mCutLinks.contains({ aFrom, aTo })) {
    return;
  }
  if (mOptions.trace) {
    Result<Message> message = DecodeMessage(aBytes);
    const Message& it = message.Value();
    Trace(mNodes[aFrom]->instance.Value() + " -> " + node.instance.Value() +
          " kind " + std::to_string(static_cast<int>(it.kind)) + " term " +
          std::to_string(it.term) + " index " + std::to_string(it.index) +
          " entries " + std::to_string(it.entries.size()) + " commit " +
          std::to_string(it.commit) + (it.preVote ? " pre-vote" : "") +
          (it.success ? " success" : "") + (it.repairId != 0 ? " repair" : ""));
  }
  node.group->Receive(mNodes[aFrom]->instance, aBytes, LocalNow(node));
  StepNode(aTo);
}

void
Cluster::StepNode(size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (!node.group) {
    return;
  }
  uint64_t start = node.startCount;
  Millis local = LocalNow(node);
  Role before = node.group->Status().role;
  for (int i = 0; i < 5 && node.group && node.group->NextTick() <= local; ++i) {
    node.group->Tick(local);
  }
  if (!node.group) {
    return;
  }
  if (mOptions.trace && node.group->Status().role != before) {
    Trace(node.instance.Value() + " role " +
          std::to_string(static_cast<int>(node.group->Status().role)) +
          " term " + std::to_string(node.group->Term()));
  }
  mChecker.CheckReplica(*node.group);
  CheckLeases();
  // Rounds up to a whole millisecond of global time, so that the tick is not
  // early by the local clock.
  Millis wait = std::max(node.group->NextTick() - local, Millis(0));
  Millis wake = mNow + wait * 1000 / node.clockRatePermille + Millis(1);
  if (wait >= Hours(1) || (node.nextTickAt <= wake && node.nextTickAt > mNow)) {
    return;
  }
  node.nextTickAt = wake;
  RunAt(wake, [this, aNode, start, wake] {
    Node& it = *mNodes[aNode];
    if (it.startCount == start && it.nextTickAt == wake) {
      it.nextTickAt = Millis::Max();
      StepNode(aNode);
    }
  });
}

void
Cluster::CheckLeases()
{
  int holders = 0;
  for (const auto& it : mNodes) {
    if (it->group && it->group->IsLeader(LocalNow(*it))) {
      ++holders;
    }
  }
  if (holders > 1) {
    mChecker.ReportViolation("leader lease",
                             "two replicas hold the lease at the same time");
  }
}

void
Cluster::Propose(size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (!node.group) {
    return;
  }
  std::string command = "c" + std::to_string(++mCommandCount);
  mOpenProposals[command] = aNode;
  uint64_t seen = mChecker.SeenIndex();
  node.group->Propose(
    command,
    LocalNow(node),
    [this, command, seen](const ProposeOutcome& aOutcome) {
      if (mOpenProposals.erase(command) != 1) {
        mChecker.ReportViolation("verdict", command + " has two outcomes");
      }
      Trace(command + " " + std::string(VerdictName(aOutcome.verdict)) +
            " at " + std::to_string(aOutcome.index));
      if (aOutcome.verdict == Verdict::kAnswered) {
        ++mAnsweredCount;
        mChecker.OnAnswered(command, aOutcome.index, seen);
      } else if (aOutcome.verdict == Verdict::kNotRun) {
        mChecker.OnNotRun(command);
      }
    });
  StepNode(aNode);
}

void
Cluster::Read(size_t aNode)
{
  Node& node = *mNodes[aNode];
  if (!node.group) {
    return;
  }
  uint64_t seen = mChecker.SeenIndex();
  uint64_t start = node.startCount;
  node.group->Read(LocalNow(node),
                   [this, aNode, seen, start](std::error_code ec) {
                     Node& it = *mNodes[aNode];
                     if (!ec && it.group && it.startCount == start) {
                       ++mReadCount;
                       mChecker.OnReadDone(
                         it.instance.Value(), it.group->AppliedIndex(), seen);
                     }
                   });
  StepNode(aNode);
}

std::optional<size_t>
Cluster::Leader()
{
  for (size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i]->group && mNodes[i]->group->IsLeader(LocalNow(At(i)))) {
      return i;
    }
  }
  return std::nullopt;
}

void
Cluster::Promote(const Member& aMember)
{
  std::optional<size_t> leader = Leader();
  if (!leader) {
    return;
  }
  internal::GroupImpl& group = *At(*leader).group;
  uint64_t committed = group.Status().commitIndex;
  group.Promote(aMember, LocalNow(At(*leader)), [](const ProposeOutcome&) {});
  if (group.RaftForTest()->CurrentMembership().IsVoter(aMember)) {
    Trace("promoting " + aMember.instance.Value());
    const Node& node = At(IndexOf(aMember.instance));
    uint64_t lastIndex = node.group && node.group->RaftForTest() != nullptr &&
                             node.group->Status().self == aMember
                           ? node.group->Status().lastIndex
                           : committed;
    if (lastIndex < committed) {
      mChecker.ReportViolation("promotion",
                               aMember.instance.Value() + " has " +
                                 std::to_string(lastIndex) + " of " +
                                 std::to_string(committed) + " entries");
    }
  }
  StepNode(*leader);
}

void
Cluster::RepairMembership(size_t aTargetVoters)
{
  std::optional<size_t> leader = Leader();
  if (!leader) {
    return;
  }
  internal::GroupImpl& group = *At(*leader).group;
  GroupStatus status = group.Status();
  Millis local = LocalNow(At(*leader));
  const Membership& members = status.membership;
  auto ignore = [](const ProposeOutcome&) {};
  // A member whose instance has another disk now will not come back.
  auto replaced = [&](const Member& aMember) {
    const Node& node = At(IndexOf(aMember.instance));
    return node.group && node.group->Status().self != aMember;
  };
  for (const Member& it : status.applicants) {
    Trace("admitting " + it.instance.Value());
    group.AddLearner(it, local, ignore);
    StepNode(*leader);
    return;
  }
  for (const Member& it : members.learners) {
    bool replacesVoter =
      std::any_of(members.voters.begin(),
                  members.voters.end(),
                  [&](const Member& n) { return n.instance == it.instance; });
    if (replaced(it)) {
      group.Remove(it, local, ignore);
      StepNode(*leader);
      return;
    }
    if (replacesVoter || members.voters.size() < aTargetVoters) {
      Promote(it);
      return;
    }
  }
  for (const Member& it : members.voters) {
    bool hasSuccessor = std::any_of(
      members.voters.begin(), members.voters.end(), [&](const Member& n) {
        return n.instance == it.instance && n != it;
      });
    if (replaced(it) && hasSuccessor) {
      Trace("removing the former disk of " + it.instance.Value());
      group.Remove(it, local, ignore);
      StepNode(*leader);
      return;
    }
  }
}

} // namespace limpetwood::replication::testing
