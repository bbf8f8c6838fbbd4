// Manages the workers on behalf of the leader: leases, starts, stops and ends.
//
//   Dispatcher dispatcher(options, state, token, now);
//   dispatcher.OnReport(report, now);
//   dispatcher.Tick(now, wallNow);
//   // propose dispatcher.TakeCommand(); send dispatcher.TakeOrders()
//   dispatcher.OnCommitted(command, now);
//   dispatcher.OnResult(order, result, now);
//
// A start is sent only after it is committed, so a later leader knows every run
// that may exist. A run is considered ended only when the worker lists its end,
// when a renewal sent after the start was resolved does not list the run, when
// the process of the worker has certainly ended, or when its lease has
// certainly expired. That a worker says it leaves ends no run.
//
// Created when leadership is gained and destroyed at the end of the term.
// Performs no I/O and reads no clock; the caller passes the time.

#pragma once

#include "base/latency_histogram.h"
#include "base/log_event.h"
#include "fleet/health.h"
#include "fleet/order.h"
#include "fleet/planner.h"
#include "fleet/proposals.h"
#include "fleet/run_monitor.h"
#include "fleet/state.h"
#include "fleet/worker_link.h"
#include "fleet/worker_pool.h"
#include "fleet/worker_speeds.h"
#include "fleet/worker_timers.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetwood::fleet {

struct DispatcherOptions
{
  // Duration of a lease; must not exceed the longest lease that workers accept.
  Millis leaseDuration = Seconds(10);
  // Maximum time that a worker may delay the answer to a renewal.
  Millis maxRenewalWait = Millis(1500);
  // The same for workers with an urgent run, whose progress must be seen
  // sooner.
  Millis maxUrgentRenewalWait = Millis(600);
  // Interval at which workers report.
  Millis heartbeatInterval = Millis(1500);
  // Maximum time that a worker needs to stop a run.
  Millis maxStopTime = Millis(900);
  PlannerOptions planner{};
  HealthOptions health{};
  // Whether delays and refusals follow what they cost callers: long jobs are
  // told from slow workers, and slow workers take urgent work last.
  bool callerCost = false;
};

struct DispatcherCounters
{
  // Ended runs, indexed by `EndKind`.
  std::array<uint64_t, kEndKindCount> ends{};
  uint64_t starts = 0;
  // Queued starts that were dropped because they were no longer needed.
  uint64_t startsWithdrawn = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  uint64_t preemptions = 0;
  // Runs stopped because they made no progress for the stall time.
  uint64_t stalledRuns = 0;
  // Runs stopped because a new run on another worker would end sooner
  // (`Pace::kTooSlow`).
  uint64_t laggingRuns = 0;
  // Runs stopped because the process of their worker was about to end.
  uint64_t evictedRuns = 0;
  // Orders that could not be sent or received no answer.
  uint64_t unansweredOrders = 0;
  // Starts that workers refused, indexed by `OrderRefusal`.
  std::array<uint64_t, kOrderRefusalCount> refusals{};
  uint64_t planningPasses = 0;
  // Time from the acceptance of a job to the proposal of its first start; not
  // observed for jobs with scheduled occurrences.
  LatencyHistogram startDelays;
  // Time from sending a start to its answer or failure.
  LatencyHistogram startResponseTimes;
};

class Dispatcher
{
public:
  // `aState` must outlive the dispatcher. `aToken` is sent with each order, so
  // that workers can refuse orders of earlier leaders. `aSilence` is the time
  // for which no leader may have recorded what workers reported.
  Dispatcher(DispatcherOptions aOptions,
             const FleetState& aState,
             FencingToken aToken,
             Millis aNow,
             Millis aSilence = Millis(0));

  // Returns true if the report changes the replicated state; acknowledge it
  // only after the pending command is committed. Returns false if the report
  // changes nothing or is older than a known one.
  bool OnReport(const WorkerReport& aReport, Millis aNow);
  // Handles the end of a worker's process. Returns like `OnReport`. Once it is
  // acknowledged, every later leader knows that the worker takes no tasks. The
  // worker may run on until it has the acknowledgement; it is removed when its
  // process or its lease has certainly ended and the ends that it reported are
  // committed.
  // `aIncarnation` 0 stands for any; a process that has been replaced does not
  // end the one that replaced it.
  bool OnLeave(const WorkerId& aWorker, Incarnation aIncarnation, Millis aNow);

  // The result of an order that `TakeOrders` returned, including `kNotSent` and
  // `kNoAnswer`.
  void OnResult(const Order& aOrder, const OrderResult& aResult, Millis aNow);
  // A command returned by `TakeCommand` was applied to the state.
  void OnCommitted(const gen::Command& aCommand, Millis aNow);
  // The state changed through a command of another source.
  void OnChanged() { mPlanDue = true; }
  // The job ended. The next tick stops its active runs, unless the job
  // completed.
  void OnJobEnded(const JobId& aJob, Millis aNow);

  void Tick(Millis aNow, Millis aWallNow);
  // Reports how long the latest tick took. After a tick with a planning pass,
  // the next pass is delayed in proportion, so that planning leaves most of the
  // processor to requests, renewals and the log, however long the queue is.
  void OnTickDuration(Millis aDuration);
  // Time by which `Tick` must be called again; other calls may make it earlier.
  Millis NextTick() const { return mNextTick; }

  bool HasCommand() const { return !mProposals.Empty(); }
  gen::Command TakeCommand() { return mProposals.Take(); }
  // A command returned by `TakeCommand` was definitely not proposed; the next
  // call returns it again.
  void Requeue(gen::Command aCommand)
  {
    mProposals.Requeue(std::move(aCommand));
  }
  std::vector<Order> TakeOrders();

  // Returns and clears the log events of decisions since the last call.
  std::vector<LogEvent> TakeEvents() { return std::exchange(mEvents, {}); }

  const DispatcherCounters& Counters() const { return mCounters; }
  // Number of units that did not fit in the last planning pass.
  size_t BlockedUnits() const { return mBlockedUnits; }
  const Forecast& GetForecast() const { return mForecast; }
  // Whether a task of the job has run, or a worker has answered its start.
  bool HasBegun(const Job& aJob) const;
  // Capacity of all usable workers together.
  Resources UsableResources(Millis aNow) const
  {
    return mPool.UsableResources(aNow);
  }
  // Whether the worker can take new tasks, regardless of its fault score.
  bool IsUsable(const WorkerId& aWorker, Millis aNow) const
  {
    return mPool.IsUsable(aWorker, aNow);
  }

private:
  WorkerLink& LinkOf(const Worker& aWorker, Millis aNow);
  Order MakeOrder(Order::Kind aKind, const Worker& aWorker, Millis aNow) const;

  void OnStartResult(const Order& aOrder,
                     const OrderResult& aResult,
                     WorkerLink& aLink,
                     Millis aNow);
  void OnStopResult(const Order& aOrder,
                    const OrderResult& aResult,
                    WorkerLink& aLink,
                    Millis aNow);
  void OnRenewResult(const Order& aOrder,
                     const OrderResult& aResult,
                     const Worker& aWorker,
                     WorkerLink& aLink,
                     Millis aNow);
  // Why the run was stopped, as far as this leader knows.
  StopReason StopReasonOf(const EndedRun& aEnd, const WorkerLink& aLink) const;
  // Proposes the end of a run that the worker does not list.
  void ProposeLostRun(const Worker& aWorker,
                      const RunRef& aRun,
                      const RunView& aView);
  // Proposes the ends of the runs of a worker that crashed and is gone.
  void ProposeCrashedRuns(const Worker& aWorker, const WorkerLink& aLink);
  // Logs an order that another process of the worker answered than the one it
  // was meant for.
  void LogOtherProcess(const Order& aOrder,
                       const OrderResult& aResult,
                       Millis aNow);
  // Logs the result of a renewal to a worker that drains or has left.
  void LogDepartingRenewal(const Order& aOrder,
                           const OrderResult& aResult,
                           bool aLeft,
                           Millis aNow);
  // Logs an end as done that a worker lists and that changes no state.
  void LogUnrecordedEnd(const Order& aOrder,
                        const EndedRun& aEnd,
                        std::string_view aReason,
                        Millis aNow);
  // Proposes the ends as done that a worker reported before it was restarted.
  void RecordEarlierEnds(const Order& aOrder, const OrderResult& aResult);
  void RecordRunningRuns(const OrderResult& aResult,
                         WorkerLink& aLink,
                         Millis aNow);
  void RecordRunTime(const WorkerId& aWorker, const RunRef& aRun, Millis aNow);
  // Learns the speed of a worker from its runs.
  void ObserveSpeeds(const OrderResult& aResult,
                     const Worker& aWorker,
                     WorkerLink& aLink);
  void CheckPace(const OrderResult& aResult,
                 const Worker& aWorker,
                 WorkerLink& aLink,
                 Millis aNow);
  void SendStarts(const gen::Command& aCommand, Millis aNow);
  // Whether the start has to wait until the first member of a suspected gang
  // has been active for `kGangTrialTime`.
  bool MustWaitForTrial(const RunRef& aRun, Millis aNow);
  // Queues or withdraws the starts that waited for the first member.
  void ReleaseTrials(Millis aNow);
  void QueueStart(Order aStart, const Worker& aWorker, Millis aNow);
  // Withdraws a start that was not sent.
  void WithdrawStart(const Order& aStart,
                     std::string_view aReason,
                     Millis aNow);
  // Keeps the starts without an answer of a worker that is removed.
  void AbandonStarts(const WorkerId& aWorker, Millis aNow);
  void SendStop(const Worker& aWorker, const RunRef& aRun, Millis aNow);
  // Sends the next queued start or stop of the worker unless one is in flight.
  void SendNext(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  // Whether the worker has answered the start of the run or listed it.
  bool HasRunBegun(const RunRef& aRun, const WorkerId& aWorker) const;
  // Reason for which a queued start must be dropped; empty if it may be sent.
  std::string_view WithdrawalReason(const Order& aStart,
                                    const WorkerLink& aLink) const;
  // Whether the active runs of the worker fit in the capacity that it reported
  // last.
  bool FitsCapacity(const Worker& aWorker, const WorkerLink& aLink) const;

  void TickWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void RenewWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  // Sends a renewal that the worker may hold back for `aWait`.
  void SendRenewal(const Worker& aWorker,
                   WorkerLink& aLink,
                   Millis aWait,
                   std::optional<Millis> aLeaseUntil,
                   Millis aNow);
  // Whether the run must be stopped because the process of its worker ends too
  // soon. Runs that are expected to end in time may do so.
  bool MustEvict(const Worker& aWorker,
                 const RunRef& aRun,
                 const WorkerLink& aLink,
                 Millis aNow) const;
  // Requests the stop of the runs that must be evicted.
  void EvictRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void StopRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  // Whether a run of the worker may still be in progress.
  bool MayRun(const Worker& aWorker,
              const WorkerLink& aLink,
              Millis aNow) const;
  // Proposes the removal of a worker that is gone, unless it may still run
  // something, or ends of its runs may still be reported or committed. Returns
  // true if the removal is proposed.
  bool RemoveIfSettled(const Worker& aWorker,
                       const WorkerLink& aLink,
                       Millis aNow);
  // Renews a worker that has announced its end, or removes it.
  void TickGoneWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void EndExpiredRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void RunPlanningPass(Millis aNow, Millis aWallNow);
  void Preempt(const PlannedStop& aStop, Millis aNow);
  void LogStarts(const Plan& aPlan);
  LogEvent& LogRunEvent(std::string_view aName,
                        const WorkerId& aWorker,
                        const RunRef& aRun);
  // Schedules the workers of all active members of a gang, or of a step, for a
  // check at `aNow`.
  void ScheduleGang(const RunRef& aRun, Millis aNow);
  void ScheduleStep(const Step& aStep, Millis aNow);
  // Schedules a check of the worker by the tick at `aTime` or an earlier one.
  void ScheduleWorker(const WorkerId& aWorker, Millis aTime);
  void ScheduleTick(Millis aTime) { mNextTick = std::min(mNextTick, aTime); }

  const DispatcherOptions mOptions;
  const FleetState& mState;
  const FencingToken mToken;
  // One for each worker of the state, for its current incarnation.
  WorkerLinks mLinks;
  // Starts without an answer of workers that were removed, with the time of the
  // removal. A process that rejoins under the same id may still execute them.
  struct AbandonedStarts
  {
    std::set<RunRef> runs;
    Millis since;
  };
  std::map<WorkerId, AbandonedStarts> mAbandonedStarts;
  Forecast mForecast;
  Proposals mProposals;
  WorkerSpeeds mSpeeds;
  RunMonitor mMonitor;
  Planner mPlanner;
  Health mHealth;
  WorkerPool mPool;
  WorkerTimers mTimers;
  std::vector<Order> mOrders;
  // Starts of members of suspected gangs that wait for the first member.
  std::vector<Order> mHeldStarts;
  std::vector<LogEvent> mEvents;
  // Starts are proposed and not committed yet. The next planning pass waits for
  // them, so that it does not assign the same resources twice.
  bool mStartsProposed = false;
  bool mPlanDue = true;
  // The next planning pass runs at `mNextPlan`, or as early as `mEarliestPlan`
  // if something changed.
  Millis mEarliestPlan;
  Millis mNextPlan;
  // Time of the latest planning pass; empty if the latest tick made none.
  std::optional<Millis> mPlannedAt;
  size_t mBlockedUnits = 0;
  Millis mNextTick;
  DispatcherCounters mCounters;
};

} // namespace limpetwood::fleet
