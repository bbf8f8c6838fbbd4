// Runs a fleet node with its peer transport, storage, request server and timer.
//
//   ControlProcess process(ioc, settings, sendOrder, log);
//   if (auto ec = process.Start()) { ... }
//   process.Handle(request, deadline, [](RelayResult aResult) {});
//
// A replica that is not the leader relays requests to the leader. After a disk
// error, or an exception of the node, the node is closed, and reopening is
// retried until it succeeds.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/latency_histogram.h"
#include "base/log_event.h"
#include "fleet/node.h"
#include "fleetd/loop_monitor.h"
#include "fleetd/relay.h"
#include "fleetd/settings.h"
#include "http/server.h"
#include "peer/transport.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace limpetwood::fleetd {

// `SendOrderFunction` sends an order to a worker and calls the callback exactly
// once, also if the order was not sent or not answered.
using OrderCallback = std::function<void(fleet::OrderResult)>;
using SendOrderFunction = std::function<void(fleet::Order, OrderCallback)>;

// Offsets from `Settings::firstPort`.
constexpr uint16_t kReplicationPortOffset = 0;
constexpr uint16_t kRequestPortOffset = 1;

// Returns relay options with the port of the instances' request servers,
// derived from `Settings::firstPort`.
RelayOptions
RelayOptionsFor(const Settings& aSettings);

// What a process knows of the caller of a request.
struct Caller
{
  // The time of `MonotonicNow()` after which the request arrived.
  Millis arrivedAfter{};
  // Whether the caller has closed its connection.
  std::function<bool()> hasLeft = [] { return false; };
};

class ControlProcess : private fleet::NodeEnvironment
{
public:
  // `aSettings.dataFolder` must be set. `aContext` must outlive the process.
  ControlProcess(boost::asio::io_context& aContext,
                 const Settings& aSettings,
                 SendOrderFunction aSendOrder,
                 LogFunction aLog);
  ~ControlProcess() override;

  // Opens the node's storage and starts the peer transport, the request server,
  // the relay and the tick timer. Returns the first error.
  std::error_code Start();
  // Hands leadership to another replica if this one leads. Requests are still
  // answered or relayed.
  void PrepareShutdown();
  // Answers the requests that wait for another replica.
  void EndRelayedRequests() { mRelay.EndCalls(); }

  // Executes the request locally if this replica leads and relays it otherwise.
  // Calls `aDone` at most once, possibly before returning. `aDeadline` is a
  // time of `MonotonicNow()` and limits only relayed requests. A local request
  // that is pending when the node is closed after an error gets no answer. A
  // worker's report that this replica refuses because its leadership has ended
  // is relayed.
  void Handle(const fleet::gen::Request& aRequest,
              Millis aDeadline,
              RelayCallback aDone);

  // Like `Handle`, for an operator's order about a zone.
  //
  // An order says neither when it was given nor which one preceded it, and it
  // may have waited in the socket of this process, in a relay or in a queue
  // while its caller sent it elsewhere and then gave the opposite order. It is
  // therefore executed only if the zone has had no other order since a time at
  // which the caller still waited for the answer. Otherwise the outcome is
  // `kMayBeOutdated`, and a caller that still waits sends the order again.
  void HandleZoneOrder(const fleet::gen::Request& aRequest,
                       Caller aCaller,
                       Millis aDeadline,
                       RelayCallback aDone);

  // Replaces the seeds, for example after the settings were reloaded.
  void SetSeeds(const std::vector<std::string>& aSeeds);

  // Number of exceptions of the node.
  uint64_t Failures() const { return mFailures; }
  // Null between an error and the next successful reopening.
  const fleet::Node* Node() const { return mNode.get(); }
  const RelayCounters& RelayStats() const { return mRelay.Counters(); }
  // Durations of the node's ticks, including disk writes; a tick blocks the
  // event loop.
  const LatencyHistogram& TickDurations() const { return mTickDurations; }
  // Address of the current leader, without a port; empty if unknown.
  std::string LeaderAddress() const;

private:
  // fleet::NodeEnvironment
  void SendReplication(const InstanceId& aTo, std::string aBytes) override;
  void SendOrder(fleet::Order aOrder) override;
  void Log(const LogEvent& aEvent) override { mLog(aEvent); }

  // Sends an order about a zone, and again if the leader refuses it as possibly
  // outdated while its caller still waits.
  void SendZoneOrder(const fleet::gen::Request& aRequest,
                     Caller aCaller,
                     Millis aDeadline,
                     RelayCallback aDone);
  // Logs that the event loop is overloaded, and what took its time since the
  // last such report.
  void ReportLateLoop(Millis aDelay);
  // Tells the relay which instance the replica follows, if it has changed. The
  // replica learns a new leader from its first message, the relay otherwise
  // only from its next ping.
  void ReportLeaderToRelay();
  // Arms the timer for the node's next tick.
  void ScheduleTick();
  void Tick();
  void OnHttpRequest(const http::Request& aRequest,
                     const http::Responder& aRespond);
  std::error_code OpenNode();
  // Closes the node and schedules reopening if its disk reported an error.
  void CheckDisk(Millis aNow);
  // Calls `aAction`, which uses the node. An exception leaves the node in an
  // unknown state, so it is closed and restored from its log.
  void Guard(const std::function<void()>& aAction);
  // Closes the node after the event in progress. Requests that wait for it get
  // no answer, as after a crash.
  void CloseFailedNode();
  // Tries to open the node after a delay, until it succeeds.
  void ScheduleReopen();

  boost::asio::io_context& mContext;
  const Settings mSettings;
  SendOrderFunction mSendOrder;
  LogFunction mLog;
  peer::Transport mTransport;
  http::Server mServer;
  Relay mRelay;
  std::unique_ptr<fleet::Node> mNode;
  boost::asio::steady_timer mTickTimer;
  // When `mTickTimer` fires; `Max` while it is not armed.
  Millis mTickDueAt = Millis::Max();
  Millis mNextDiskCheckAt;
  boost::asio::steady_timer mReopenTimer;
  std::vector<std::string> mSeeds;
  std::string mReportedLeader;
  // Suppresses rescheduling from callbacks that run during a tick.
  bool mTicking = false;
  // The node failed with an exception and is being closed.
  bool mNodeFailed = false;
  uint64_t mFailures = 0;
  LatencyHistogram mTickDurations;
  LoopMonitor mLoopMonitor;
  // Totals at the last report of a late loop.
  struct Work
  {
    int64_t tickMs = 0;
    int64_t decisionMs = 0;
    uint64_t passes = 0;
    uint64_t proposals = 0;
    uint64_t orders = 0;
    uint64_t requests = 0;
  };
  Work mReportedWork;
  uint64_t mOrders = 0;
};

} // namespace limpetwood::fleetd
