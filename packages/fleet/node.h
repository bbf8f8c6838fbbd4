// A replica of the scheduler state and, while it is the leader, the scheduler.
//
//   auto node = Node::Open(options, environment);
//   node.Value()->Handle(request, now, [](gen::Reply aReply) {});
//   node.Value()->Tick(now, wallNow);
//
// Only the leader answers requests, and only from committed state: a job is
// accepted once a quorum has stored it on disk, so a later leader knows
// everything that callers were told. All changes between two ticks share one
// log entry.
//
// Single-threaded and driven by its caller; `Tick` blocks on disk writes.

#pragma once

#include "base/latency_histogram.h"
#include "base/log_event.h"
#include "base/result.h"
#include "base/revision_history.h"
#include "fleet/dispatcher.h"
#include "fleet/request.h"
#include "fleet/state.h"
#include "replication/group.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::fleet {

struct NodeOptions
{
  replication::GroupOptions group{};
  DispatcherOptions dispatcher{};
  // Number of instances that may fail at the same time.
  size_t toleratedFailures = 1;
  // How long the status of a job remains available after the job has ended, at
  // least; measured by the leader, anew after a change of leader.
  Millis endedJobRetention = Seconds(120);
  // Zones of the deployment. Orders about other zones are accepted if a worker
  // has reported the zone.
  std::set<ZoneId> zones{};
};

// Services that the process provides to a node.
class NodeEnvironment
{
public:
  virtual ~NodeEnvironment() = default;

  virtual void SendReplication(const InstanceId& aTo, std::string aBytes) = 0;
  // The result is returned through `Node::OnOrderResult`.
  virtual void SendOrder(Order aOrder) = 0;
  // Logs a scheduling decision or a state change of this replica.
  virtual void Log(const LogEvent& aEvent) = 0;
  // Clock that measures the cost of decisions; decisions themselves use the
  // time that the caller passes.
  virtual Millis CostClock() const { return MonotonicNow(); }
};

struct NodeCounters
{
  // Answered requests, indexed by `RequestOutcome`.
  std::array<uint64_t, kRequestOutcomeCount> outcomes{};
  uint64_t jobsAccepted = 0;
  uint64_t jobsCompleted = 0;
  uint64_t jobsFailed = 0;
  uint64_t jobsCancelled = 0;
  uint64_t proposals = 0;
  uint64_t leaderships = 0;
  uint64_t membershipChanges = 0;
  // Committed changes of a zone's service.
  uint64_t zonesEvacuated = 0;
  uint64_t zonesRestored = 0;
  // From the proposal of an entry to its outcome.
  LatencyHistogram commitLatency;
  // Duration of the dispatcher's ticks, with the planning passes.
  LatencyHistogram decisionTimes;
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
  // Reports how long the latest tick took, with its disk writes. After a tick
  // that proposed an entry, the next proposal is delayed in proportion: under
  // load more changes share an entry, and the time between ticks suffices to
  // receive and answer requests. Without load a change is proposed at once.
  void OnTickDuration(Millis aDuration);
  Millis NextTick() const;

  // Sets the instances that this replica contacts to find the group.
  void SetContacts(std::vector<InstanceId> aContacts)
  {
    mGroup->SetDiscoveryInstances(std::move(aContacts));
  }
  // Hands leadership to another replica if this one leads, as soon as one has
  // the whole log. Until then, but not for long, nothing is proposed.
  void PrepareShutdown(Millis aNow);

  bool IsLeading() const { return mLeading; }
  std::optional<InstanceId> Leader() const { return mGroup->Leader(); }
  replication::GroupStatus Status() const { return mGroup->Status(); }
  const FleetState& State() const { return mState; }
  // What `State().ZoneRevision()` was at `aTime`, or a lower value: orders
  // about zones up to this revision precede whatever arrived here after
  // `aTime`.
  uint64_t ZoneRevisionAt(Millis aTime) const
  {
    return mZoneRevisions.At(aTime);
  }
  const NodeCounters& Counters() const { return mCounters; }
  // The dispatcher of the term in which this replica led, also after it lost
  // its leader lease; null if there is none.
  const Dispatcher* LatestDispatcher() const { return mDispatcher.get(); }

private:
  // Commands that share one log entry, and the callbacks to run with its
  // outcome.
  struct Batch
  {
    gen::Command command;
    std::vector<std::function<void(Verdict)>> completions;
  };

  Node(NodeOptions aOptions, NodeEnvironment& aEnvironment);

  // replication::StateMachine
  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override { return mState.TakeSnapshot(); }
  bool Restore(std::string_view aSnapshot) override;

  void NoteZoneRevision();

  void OnSubmit(const gen::Request& aRequest, ReplyCallback aDone);
  void OnRead(const gen::Request& aRequest, const ReplyCallback& aDone);
  void OnReport(const gen::Request& aRequest, ReplyCallback aDone);
  void OnPutConfiguration(const gen::Request& aRequest, ReplyCallback aDone);
  void OnGetConfiguration(const ReplyCallback& aDone);
  void OnZoneOrder(const gen::Request& aRequest, ReplyCallback aDone);
  // Proposes the first of the zone's orders, and refuses those before it that
  // may be outdated.
  void ProposeNextZoneOrder(const ZoneId& aZone);
  bool IsKnownZone(const ZoneId& aZone) const;

  // The queue, workspace and job that a request refers to, or the outcome of
  // the failed check.
  struct Target
  {
    RequestOutcome outcome = RequestOutcome::kOk;
    const Queue* queue = nullptr;
    const Workspace* workspace = nullptr;
    JobId job;

    // Empty for callers of a public queue without a key.
    WorkspaceId WorkspaceName() const
    {
      return workspace != nullptr ? workspace->name : WorkspaceId();
    }
  };
  Target FindTarget(const gen::Request& aRequest) const;
  // The job of the target, or null if there is none that its caller may read or
  // cancel. Jobs belong to the workspace that submitted them; those of a public
  // queue are open to all of its callers.
  const Job* FindJobFor(const Target& aTarget) const;
  void OnCancel(const gen::Request& aRequest, ReplyCallback aDone);
  // Cancels a job that is not known: its submission may be on its way, such as
  // at an entry instance that is suspended, and is refused when it arrives.
  void RefuseJob(const Target& aTarget, ReplyCallback aDone);

  gen::Reply MakeReply(RequestOutcome aOutcome) const;
  void Answer(const ReplyCallback& aDone, gen::Reply aReply);
  void Answer(const ReplyCallback& aDone, RequestOutcome aOutcome);
  // Answers when the current batch is committed, then with `aCommitted`.
  void AnswerAfterCommit(ReplyCallback aDone,
                         RequestOutcome aCommitted = RequestOutcome::kOk);

  void UpdateLeadership(Millis aNow);
  void StartLeading();
  // Rejects the requests of the batch that was not proposed yet.
  void StopLeading();
  void Propose(Millis aNow);
  // Logs and counts committed changes and forwards them to the dispatcher.
  void HandleChanges();
  // Proposes to remove ended jobs whose retention time has passed.
  void ForgetJobs(Millis aNow);
  // Lets `ForgetJobs` propose the removals of a command again, which was
  // definitely not proposed.
  void ForgetLater(const gen::Command& aCommand);
  // Starts the next membership change, if one is needed and none is in
  // progress.
  void RepairMembership(Millis aNow);
  // Starts the transfer of leadership to a voter that has the whole log.
  void HandOver(Millis aNow);

  const NodeOptions mOptions;
  NodeEnvironment& mEnvironment;
  FleetState mState;
  std::unique_ptr<replication::Group> mGroup;

  Millis mNow;
  Millis mWallNow;
  // The dispatcher of `mTerm`. It is kept when the leader lease lapses within
  // its term: its orders may still arrive, and workers could not distinguish
  // them from those of a new dispatcher with the same token.
  std::unique_ptr<Dispatcher> mDispatcher;
  uint64_t mTerm = 0;
  // Time at which this replica last knew a leader that could record reports of
  // workers; empty if it has known none since its start.
  std::optional<Millis> mLeaderKnownAt;
  // The leader lease is held, and the state is known to be up to date.
  bool mLeading = false;
  // Incremented when leadership is being gained, is abandoned before it is
  // confirmed, or ends with its term; callbacks of earlier generations are
  // ignored.
  uint64_t mGeneration = 0;
  // A read that confirms that the state is up to date is in flight.
  bool mConfirming = false;
  Batch mBatch;
  // Ended and refused jobs with the time at which this leader saw their end,
  // the earliest first. The time of day is not used, since it may jump.
  std::deque<std::pair<Millis, JobId>> mEndedJobs;
  // Jobs in batches whose outcome is not known yet.
  std::set<std::string> mSubmitting;
  struct ZoneOrder
  {
    gen::Request request;
    ReplyCallback done;
  };
  // Orders by zone in the order of their arrival. The first of each zone is
  // proposed and its outcome is not known yet; the others wait, so that each is
  // checked against the outcome of the one before it.
  std::map<ZoneId, std::deque<ZoneOrder>> mZoneOrders;
  // Values of `State().ZoneRevision()`.
  RevisionHistory mZoneRevisions;
  bool mMembershipInFlight = false;
  Millis mNextMaintenance;
  // Time of the latest proposal; empty if the latest tick made none.
  std::optional<Millis> mProposedAt;
  Millis mEarliestProposal;
  // The process is about to stop.
  bool mHandingOver = false;
  NodeCounters mCounters;
};

} // namespace limpetwood::fleet
