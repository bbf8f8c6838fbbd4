// The leader's work with the workers: leases, starts, stops, ends.
//
//   Dispatcher dispatcher(options, state, token, now);
//   dispatcher.OnReport(report, now);
//   dispatcher.Tick(now, wallNow);
//   // propose dispatcher.TakeCommand(); send dispatcher.TakeOrders()
//   dispatcher.OnCommitted(command, now);
//   dispatcher.OnResult(order, result, now);
//
// A start is sent only after it is committed, so a later leader knows of every
// run that may exist. A run counts as over only when the worker has listed its
// end, when a renewal that was sent after the start was resolved does not list
// it, or when its lease is over for certain.
//
// Created when leadership is gained and dropped when it is lost. Pure: no
// socket, clock, file or thread.

#pragma once

#include "base/latency_histogram.h"
#include "base/log_event.h"
#include "fleet/health.h"
#include "fleet/order.h"
#include "fleet/planner.h"
#include "fleet/proposals.h"
#include "fleet/run_watch.h"
#include "fleet/state.h"
#include "fleet/worker_agenda.h"
#include "fleet/worker_link.h"
#include "fleet/worker_pool.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetwood::fleet {

struct DispatcherOptions
{
  // Length of a lease; the longest that workers accept.
  Millis leaseDuration = Seconds(10);
  // How long a worker may delay the answer to a renewal.
  Millis renewWait = Millis(1500);
  // The same where an urgent run is active, so that its progress is seen.
  Millis urgentWait = Millis(600);
  // Interval at which workers report.
  Millis heartbeatInterval = Millis(1500);
  // Longest time that a stop may take.
  Millis maxStopTime = Millis(900);
  PlannerOptions planner{};
  HealthOptions health{};
};

struct DispatcherCounters
{
  std::array<uint64_t, kEndKindCount> ends{};
  uint64_t starts = 0;
  // Starts that were not wanted any more when their turn came.
  uint64_t startsWithdrawn = 0;
  uint64_t stops = 0;
  uint64_t renewals = 0;
  uint64_t preemptions = 0;
  uint64_t stalledRuns = 0;
  uint64_t laggingRuns = 0;
  uint64_t unansweredOrders = 0;
  // Starts that workers refused, by reason.
  std::array<uint64_t, kOrderRefusalCount> refusals{};
  uint64_t planningPasses = 0;
  // From a job's acceptance to its first start.
  LatencyHistogram startDelays;
  // From a start to its answer or its loss.
  LatencyHistogram startResponseTimes;
};

class Dispatcher
{
public:
  Dispatcher(DispatcherOptions aOptions,
             const FleetState& aState,
             FencingToken aToken,
             Millis aNow);

  // True if the report changes the replicated state; it may be acknowledged
  // once the queued command is committed.
  bool OnReport(const WorkerReport& aReport, Millis aNow);
  // True if the worker is known; acknowledged like a report.
  bool OnLeave(const WorkerId& aWorker);

  void OnResult(const Order& aOrder, const OrderResult& aResult, Millis aNow);
  // A command that came from `TakeCommand` is in the state.
  void OnCommitted(const gen::Command& aCommand, Millis aNow);
  // The state changed in another way.
  void OnChanged() { mPlanDue = true; }
  // Runs of the job that are still active must be stopped.
  void OnJobEnded(const JobId& aJob, Millis aNow);

  void Tick(Millis aNow, Millis aWallNow);
  Millis NextTick() const { return mNextTick; }

  bool HasCommand() const { return !mProposals.Empty(); }
  gen::Command TakeCommand() { return mProposals.Take(); }
  // A command that came from `TakeCommand` was certainly not proposed.
  void PutBack(gen::Command aCommand)
  {
    mProposals.PutBack(std::move(aCommand));
  }
  std::vector<Order> TakeOrders();

  // What was decided since the last call, for the log.
  std::vector<LogEvent> TakeEvents() { return std::exchange(mEvents, {}); }

  const DispatcherCounters& Counters() const { return mCounters; }
  // Units without room at the last pass.
  size_t BlockedUnits() const { return mBlocked; }
  const Forecast& Times() const { return mForecast; }
  // Accelerators of the workers that take new tasks.
  int64_t UsableAccelerators(Millis aNow) const
  {
    return mPool.UsableAccelerators(aNow);
  }
  // Whether a worker takes new tasks.
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
  void OnRenewResult(const Order& aOrder,
                     const OrderResult& aResult,
                     const Worker& aWorker,
                     WorkerLink& aLink,
                     Millis aNow);
  void NoteRunning(const OrderResult& aResult, WorkerLink& aLink, Millis aNow);
  void LearnFrom(const WorkerId& aWorker, const RunRef& aRun, Millis aNow);
  void JudgeProgress(const OrderResult& aResult,
                     const Worker& aWorker,
                     WorkerLink& aLink,
                     Millis aNow);
  void SendStarts(const gen::Command& aCommand, Millis aNow);
  void SendStop(const Worker& aWorker, const RunRef& aRun, Millis aNow);
  // Sends the next start or stop of a worker if none is on its way.
  void SendNext(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  // Why a start must not be sent any more; empty if it may be.
  std::string_view WhyWithdraw(const Order& aStart,
                               const WorkerLink& aLink) const;

  void TickWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void RenewWorker(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void StopRuns(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void EndLeases(const Worker& aWorker, WorkerLink& aLink, Millis aNow);
  void RunPlan(Millis aNow, Millis aWallNow);
  void Preempt(const PlannedStop& aStop, Millis aNow);
  void NoteStarts(const Plan& aPlan);
  LogEvent& NoteRun(std::string_view aName,
                    const WorkerId& aWorker,
                    const RunRef& aRun);
  // The workers of the other members of a gang, or of a step.
  void WakeGang(const RunRef& aRun, Millis aNow);
  void WakeStep(const Step& aStep, Millis aNow);
  // The worker is looked at by the tick at `aTime`, or by an earlier one.
  void WakeWorker(const WorkerId& aWorker, Millis aTime);
  void WakeAt(Millis aTime) { mNextTick = std::min(mNextTick, aTime); }

  const DispatcherOptions mOptions;
  const FleetState& mState;
  const FencingToken mToken;
  // One for each worker of the state, with its incarnation.
  WorkerLinks mLinks;
  Forecast mForecast;
  Proposals mProposals;
  RunWatch mWatch;
  Planner mPlanner;
  Health mHealth;
  WorkerPool mPool;
  WorkerAgenda mAgenda;
  std::vector<Order> mOrders;
  std::vector<LogEvent> mEvents;
  // Starts are proposed or on their way to the log; the next plan waits
  // for them, so that room is never given twice.
  bool mStartsProposed = false;
  bool mPlanDue = true;
  // The next plan is made at `mNextPlan`, or from `mEarliestPlan` on if
  // something changed.
  Millis mEarliestPlan;
  Millis mNextPlan;
  size_t mBlocked = 0;
  Millis mNextTick;
  DispatcherCounters mCounters;
};

} // namespace limpetwood::fleet
