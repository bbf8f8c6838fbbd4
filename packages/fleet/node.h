// One replica of the fleet state and, while it leads, the fleet's scheduler.
//
//   auto node = Node::Open(options, environment);
//   node.Value()->Handle(request, now, [](gen::Reply aReply) {});
//   node.Value()->Tick(now, wallNow);
//
// Requests are answered by the leader alone, from state that is committed: a
// job is accepted once a quorum has it on disk, and nothing is told that a
// later leader could not know. All work that arrives between two ticks shares
// one entry of the log.
//
// Single-threaded and driven from outside; `Tick` waits for the disk.

#pragma once

#include "base/latency_histogram.h"
#include "base/log_event.h"
#include "base/result.h"
#include "fleet/dispatcher.h"
#include "fleet/request.h"
#include "fleet/state.h"
#include "replication/group.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::fleet {

struct NodeOptions
{
  replication::GroupOptions group{};
  DispatcherOptions dispatcher{};
  // Instances that may be lost at once.
  size_t toleratedFailures = 1;
  // Answers are kept this long after a job has ended.
  Millis keepEnded = Seconds(120);
};

// What a node needs from its process.
class NodeEnvironment
{
public:
  virtual ~NodeEnvironment() = default;

  virtual void SendReplication(const InstanceId& aTo, std::string aBytes) = 0;
  // The result comes back through `Node::OnOrderResult`.
  virtual void SendOrder(Order aOrder) = 0;
  // A decision or a change of what this replica believes.
  virtual void Log(const LogEvent& aEvent) = 0;
};

struct NodeCounters
{
  std::array<uint64_t, kRequestOutcomeCount> outcomes{};
  uint64_t jobsAccepted = 0;
  uint64_t jobsCompleted = 0;
  uint64_t jobsFailed = 0;
  uint64_t jobsCancelled = 0;
  uint64_t proposals = 0;
  uint64_t leaderships = 0;
  uint64_t membershipChanges = 0;
  // From the proposal of an entry to its outcome.
  LatencyHistogram commitLatency;
};

using ReplyCallback = std::function<void(gen::Reply)>;

class Node : private replication::StateMachine
{
public:
  static Result<std::unique_ptr<Node>> Open(NodeOptions aOptions,
                                            NodeEnvironment& aEnvironment);

  void OnReplication(const InstanceId& aFrom,
                     std::string_view aBytes,
                     Millis aNow);
  // Calls `aDone` exactly once, now or from a later `Tick`.
  void Handle(const gen::Request& aRequest, Millis aNow, ReplyCallback aDone);
  void OnOrderResult(const Order& aOrder,
                     const OrderResult& aResult,
                     Millis aNow);

  void Tick(Millis aNow, Millis aWallNow);
  Millis NextTick() const;

  void SetContacts(std::vector<InstanceId> aContacts)
  {
    mGroup->SetDiscoveryInstances(std::move(aContacts));
  }
  // Hands leadership to another replica if this one leads.
  void PrepareShutdown(Millis aNow);

  bool IsLeading() const { return mLeading; }
  std::optional<InstanceId> Leader() const { return mGroup->Leader(); }
  replication::GroupStatus Status() const { return mGroup->Status(); }
  const FleetState& State() const { return mState; }
  const NodeCounters& Counters() const { return mCounters; }
  // Of the last term that this replica led; null if there was none since.
  const Dispatcher* LatestDispatcher() const { return mDispatcher.get(); }

private:
  // Records that share one log entry, and who waits for it.
  struct Batch
  {
    gen::Command command;
    std::vector<std::function<void(Verdict)>> waiting;
  };

  Node(NodeOptions aOptions, NodeEnvironment& aEnvironment);

  // replication::StateMachine
  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override { return mState.TakeSnapshot(); }
  bool Restore(std::string_view aSnapshot) override
  {
    return mState.Restore(aSnapshot);
  }

  void OnSubmit(const gen::Request& aRequest, ReplyCallback aDone);
  void OnRead(const gen::Request& aRequest, const ReplyCallback& aDone);
  void OnCancel(const gen::Request& aRequest, ReplyCallback aDone);
  void OnReport(const gen::Request& aRequest, ReplyCallback aDone);
  void OnPutConfiguration(const gen::Request& aRequest, ReplyCallback aDone);
  void OnGetConfiguration(const ReplyCallback& aDone);

  // The queue and the job that a path names, after the checks that every
  // caller's request passes.
  struct Target
  {
    RequestOutcome outcome = RequestOutcome::kOk;
    const Queue* queue = nullptr;
    const Workspace* workspace = nullptr;
    JobId job;
  };
  Target FindTarget(const gen::Request& aRequest) const;

  gen::Reply MakeReply(RequestOutcome aOutcome) const;
  void Answer(const ReplyCallback& aDone, gen::Reply aReply);
  void Answer(const ReplyCallback& aDone, RequestOutcome aOutcome);
  // Answers once the current batch is committed.
  void AnswerAfterCommit(ReplyCallback aDone);

  void UpdateLeadership(Millis aNow);
  void StartLeading();
  // Refuses what is not proposed yet.
  void StopLeading();
  void Propose(Millis aNow);
  // Logs, counts and passes on what commits changed.
  void HandleChanges();
  void ForgetJobs(Millis aWallNow);
  void RepairMembership(Millis aNow);

  const NodeOptions mOptions;
  NodeEnvironment& mEnvironment;
  FleetState mState;
  std::unique_ptr<replication::Group> mGroup;

  Millis mNow;
  Millis mWallNow;
  // The dispatcher of `mTerm`. It outlives a lapse of the lease within its
  // term: its orders may still arrive, and workers cannot tell them from those
  // of a new dispatcher with the same token.
  std::unique_ptr<Dispatcher> mDispatcher;
  uint64_t mTerm = 0;
  // The lease is held, and the state is known to be the newest.
  bool mLeading = false;
  // Counts leaderships; callbacks of earlier ones do nothing.
  uint64_t mGeneration = 0;
  bool mConfirming = false;
  Batch mBatch;
  // Jobs in a batch that has no outcome yet.
  std::set<std::string> mSubmitting;
  bool mMembershipInFlight = false;
  Millis mNextDuties;
  NodeCounters mCounters;
};

} // namespace limpetwood::fleet
