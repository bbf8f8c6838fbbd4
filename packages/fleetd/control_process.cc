#include "fleetd/control_process.h"

#include "base/error.h"
#include "fleetd/file_budget.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>

namespace limpetwood::fleetd {

namespace {

namespace gen = fleet::gen;

// Large enough for a request that contains a configuration (16 MiB).
constexpr uint64_t kMaxRequestBytes = 16U << 20U;

// Interval between checks for disk errors, and delay before the node is
// reopened after one.
constexpr Millis kDiskCheckInterval(200);
constexpr Millis kReopenDelay(500);

// Callers send an order to another instance after a second without an answer,
// which includes the time on the network.
constexpr Millis kCallerPatience(900);

// Election timeouts short enough for a new leader to be elected well before
// callers retry their requests.
constexpr replication::Timing kReplicationTiming{ .heartbeat = Millis(150),
                                                  .learnerHeartbeat =
                                                    Millis(300),
                                                  .electionMin = Millis(700),
                                                  .electionMax = Millis(1300) };

// Whether the caller certainly has not sent its request elsewhere.
bool
StillWaits(const Caller& aCaller)
{
  return MonotonicNow() - aCaller.arrivedAfter < kCallerPatience &&
         !aCaller.hasLeft();
}

std::vector<InstanceId>
ToInstanceIds(const std::vector<std::string>& aAddresses)
{
  std::vector<InstanceId> out;
  out.reserve(aAddresses.size());
  for (const std::string& it : aAddresses) {
    out.emplace_back(it);
  }
  std::sort(out.begin(), out.end());
  return out;
}

// Whether the replica may form a new group. A process that restarts before the
// group has formed is started with `firstStart` unset; the marker file shows
// that its disk has been in place since the first start.
bool
IsFormationAllowed(const Settings& aSettings)
{
  namespace fs = std::filesystem;
  std::error_code ec;
  fs::path folder(*aSettings.dataFolder);
  fs::create_directories(folder, ec);
  fs::path markerFile = folder / "first-start";
  if (aSettings.firstStart && !ec) {
    std::ofstream(markerFile) << '\n';
  }
  return aSettings.firstStart || fs::exists(markerFile, ec);
}

fleet::NodeOptions
NodeOptionsFor(const Settings& aSettings)
{
  fleet::NodeOptions options;
  options.group.self = InstanceId(aSettings.address);
  options.group.folder = *aSettings.dataFolder + "/log";
  options.group.voters = ToInstanceIds(aSettings.seeds);
  options.group.allowFormation = IsFormationAllowed(aSettings);
  options.group.timing = kReplicationTiming;
  options.toleratedFailures = aSettings.bounds.toleratedInstances;
  options.zones = { aSettings.zones.begin(), aSettings.zones.end() };
  options.dispatcher.leaseDuration = aSettings.bounds.maxLease;
  options.dispatcher.heartbeatInterval = aSettings.bounds.heartbeatInterval;
  options.dispatcher.maxStopTime = aSettings.bounds.maxStopTime;
  bool callerCost = aSettings.overloadPolicy == OverloadPolicy::kCallerCost;
  options.dispatcher.callerCost = callerCost;
  options.dispatcher.planner.callerCost = callerCost;
  // 600 ms in addition to the maximum stop time, for the answer to the stop
  // order.
  options.dispatcher.planner.reclaimTimeout =
    aSettings.bounds.maxStopTime + Millis(600);
  return options;
}

peer::TransportOptions
TransportOptionsFor(const Settings& aSettings)
{
  peer::TransportOptions options;
  options.self = InstanceId(aSettings.address);
  uint16_t port = aSettings.firstPort + kReplicationPortOffset;
  options.listen = { aSettings.bindAddress, port };
  options.unlistedPeerPort = port;
  options.connectTimeout = Millis(400);
  options.unacknowledgedTimeout = Millis(1500);
  options.maxBackoff = Millis(300);
  options.probeInterval = Millis(400);
  return options;
}

http::ServerLimits
RequestServerLimits(const Settings& aSettings)
{
  http::ServerLimits limits;
  limits.maxConnections =
    DivideFiles(aSettings.bounds.openFiles).requestConnections;
  limits.maxBodyBytes = kMaxRequestBytes;
  return limits;
}

} // namespace

RelayOptions
RelayOptionsFor(const Settings& aSettings)
{
  RelayOptions options;
  options.port = aSettings.firstPort + kRequestPortOffset;
  options.self = aSettings.address;
  return options;
}

ControlProcess::ControlProcess(boost::asio::io_context& aContext,
                               const Settings& aSettings,
                               SendOrderFunction aSendOrder,
                               LogFunction aLog)
  : mContext(aContext)
  , mSettings(aSettings)
  , mSendOrder(std::move(aSendOrder))
  , mLog(std::move(aLog))
  , mTransport(
      aContext,
      TransportOptionsFor(aSettings),
      [this](const InstanceId& aFrom,
             peer::Channel /*aChannel*/,
             std::string aPayload) {
        if (mNode) {
          Guard([&] { mNode->OnReplication(aFrom, aPayload, MonotonicNow()); });
          ReportLeaderToRelay();
          ScheduleTick();
        }
      })
  , mServer(aContext,
            RequestServerLimits(aSettings),
            [this](http::Request aRequest, http::Responder aRespond) {
              OnHttpRequest(aRequest, aRespond);
            })
  , mRelay(aContext, RelayOptionsFor(aSettings), mLog)
  , mTickTimer(aContext)
  , mReopenTimer(aContext)
  , mSeeds(aSettings.seeds)
  , mLoopMonitor(aContext, [this](Millis aDelay) { ReportLateLoop(aDelay); })
{
}

ControlProcess::~ControlProcess() = default;

void
ControlProcess::OnHttpRequest(const http::Request& aRequest,
                              const http::Responder& aRespond)
{
  auto request = fleet::Decode<gen::Request>(aRequest.body);
  if (!request) {
    mLog(LogEvent("request_unreadable")
           .Add("error", request.Error().message())
           .Add("bytes", aRequest.body.size()));
    http::Response response;
    response.status = 400;
    aRespond(std::move(response));
    return;
  }
  auto answer = [aRespond](const gen::Reply& aReply) {
    http::Response response;
    response.body = fleet::Encode(aReply);
    aRespond(std::move(response));
  };
  if (!mNode) {
    gen::Reply reply;
    reply.outcome = static_cast<int32_t>(fleet::RequestOutcome::kNotLeader);
    answer(reply);
    return;
  }
  Guard([&] { mNode->Handle(request.Value(), MonotonicNow(), answer); });
  ScheduleTick();
}

std::error_code
ControlProcess::OpenNode()
{
  auto node = fleet::Node::Open(NodeOptionsFor(mSettings), *this);
  if (!node) {
    return node.Error();
  }
  mNode = std::move(node).Value();
  mNode->SetContacts(ToInstanceIds(mSeeds));
  return {};
}

void
ControlProcess::CheckDisk(Millis aNow)
{
  if (aNow < mNextDiskCheckAt) {
    return;
  }
  mNextDiskCheckAt = aNow + kDiskCheckInterval;
  std::error_code error = mNode->Status().diskError;
  if (error) {
    mLog(LogEvent("disk_failed").Add("error", error.message()));
    // Pending requests get no answer, as after a crash.
    mNode.reset();
    ScheduleReopen();
  }
}

void
ControlProcess::Guard(const std::function<void()>& aAction)
{
  if (mNodeFailed) {
    return;
  }
  try {
    aAction();
  } catch (const std::exception& error) {
    ++mFailures;
    mNodeFailed = true;
    mLog(LogEvent("node_failed").Add("error", error.what()));
    boost::asio::post(mContext, [this] { CloseFailedNode(); });
  }
}

void
ControlProcess::CloseFailedNode()
{
  mNodeFailed = false;
  mNode.reset();
  ScheduleReopen();
}

void
ControlProcess::ScheduleReopen()
{
  mReopenTimer.expires_after(std::chrono::milliseconds(kReopenDelay.Count()));
  mReopenTimer.async_wait([this](auto ec) {
    if (ec) {
      return;
    }
    std::error_code error;
    try {
      error = OpenNode();
    } catch (const std::exception& exception) {
      mLog(LogEvent("node_failed").Add("error", exception.what()));
      error = make_error_code(Errc::kCorrupt);
    }
    if (error) {
      ScheduleReopen();
      return;
    }
    mLog(LogEvent("node_reopened"));
    ScheduleTick();
  });
}

std::error_code
ControlProcess::Start()
{
  if (std::error_code ec = OpenNode()) {
    return ec;
  }
  auto transport = mTransport.Start();
  if (!transport) {
    return transport.Error();
  }
  uint16_t port = mSettings.firstPort + kRequestPortOffset;
  auto server = mServer.Listen({ mSettings.bindAddress, port });
  if (!server) {
    return server.Error();
  }
  mRelay.Start(mSettings.seeds);
  mLoopMonitor.Start();
  ScheduleTick();
  return {};
}

void
ControlProcess::ReportLateLoop(Millis aDelay)
{
  Work total{ .tickMs = mTickDurations.SumMs(),
              .orders = mOrders,
              .requests = mServer.Counters().requests };
  if (mNode) {
    total.decisionMs = mNode->Counters().decisionTimes.SumMs();
    total.proposals = mNode->Counters().proposals;
    if (const fleet::Dispatcher* dispatcher = mNode->LatestDispatcher()) {
      total.passes = dispatcher->Counters().planningPasses;
    }
  }
  // A reopened node and the dispatcher of a new term count from 0.
  auto added = [](auto aTotal, auto aReported) {
    return aTotal >= aReported ? aTotal - aReported : aTotal;
  };
  const Work& since = mReportedWork;
  mLog(LogEvent("event_loop_late")
         .Add("delay_ms", aDelay)
         .Add("leading", mNode && mNode->IsLeading())
         .Add("tick_ms", added(total.tickMs, since.tickMs))
         .Add("decision_ms", added(total.decisionMs, since.decisionMs))
         .Add("planning_passes", added(total.passes, since.passes))
         .Add("proposals", added(total.proposals, since.proposals))
         .Add("orders", added(total.orders, since.orders))
         .Add("requests", added(total.requests, since.requests))
         .Add("requests_in_progress", mServer.InFlight()));
  mReportedWork = total;
}

void
ControlProcess::PrepareShutdown()
{
  if (mNode) {
    mNode->PrepareShutdown(MonotonicNow());
    ScheduleTick();
  }
}

void
ControlProcess::SetSeeds(const std::vector<std::string>& aSeeds)
{
  mSeeds = aSeeds;
  mRelay.SetSeeds(aSeeds);
  if (mNode) {
    mNode->SetContacts(ToInstanceIds(aSeeds));
  }
}

std::string
ControlProcess::LeaderAddress() const
{
  auto leader = mNode ? mNode->Leader() : std::nullopt;
  return leader ? leader->Value() : std::string();
}

void
ControlProcess::Handle(const gen::Request& aRequest,
                       Millis aDeadline,
                       RelayCallback aDone)
{
  if (mNode && mNode->IsLeading()) {
    fleet::ReplyCallback done = [aDone](gen::Reply aReply) {
      aDone({ .reply = std::move(aReply) });
    };
    auto kind = static_cast<fleet::RequestKind>(aRequest.kind);
    if (kind == fleet::RequestKind::kReport ||
        kind == fleet::RequestKind::kLeave) {
      done = [this, aRequest, aDeadline, aDone](gen::Reply aReply) {
        // The report was not executed, because the leader lease has lapsed or
        // leadership has ended. The next leader may be known soon.
        if (static_cast<fleet::RequestOutcome>(aReply.outcome) ==
            fleet::RequestOutcome::kNotLeader) {
          mRelay.Call(aRequest, aDeadline, aDone);
        } else {
          aDone({ .reply = std::move(aReply) });
        }
      };
    }
    Guard([&] { mNode->Handle(aRequest, MonotonicNow(), std::move(done)); });
    ScheduleTick();
    return;
  }
  mRelay.Call(aRequest, aDeadline, std::move(aDone));
}

void
ControlProcess::HandleZoneOrder(const gen::Request& aRequest,
                                Caller aCaller,
                                Millis aDeadline,
                                RelayCallback aDone)
{
  gen::Request request = aRequest;
  uint64_t known = mNode ? mNode->ZoneRevisionAt(aCaller.arrivedAfter) : 0;
  request.__set_zoneRevision(static_cast<int64_t>(known));
  SendZoneOrder(request, std::move(aCaller), aDeadline, std::move(aDone));
}

void
ControlProcess::SendZoneOrder(const gen::Request& aRequest,
                              Caller aCaller,
                              Millis aDeadline,
                              RelayCallback aDone)
{
  Handle(aRequest,
         aDeadline,
         [this, aRequest, aCaller, aDeadline, done = std::move(aDone)](
           RelayResult aResult) {
           bool refused =
             static_cast<fleet::RequestOutcome>(aResult.reply.outcome) ==
             fleet::RequestOutcome::kMayBeOutdated;
           if (!refused || !StillWaits(aCaller)) {
             done(std::move(aResult));
             return;
           }
           // The caller still waits, so it has given no later order, and those
           // that the leader knows of precede this one.
           gen::Request again = aRequest;
           again.__set_zoneRevision(aResult.reply.zoneRevision);
           SendZoneOrder(again, aCaller, aDeadline, done);
         });
}

void
ControlProcess::SendReplication(const InstanceId& aTo, std::string aBytes)
{
  mTransport.Send(aTo, peer::Channel::kReplication, std::move(aBytes));
}

void
ControlProcess::SendOrder(fleet::Order aOrder)
{
  ++mOrders;
  fleet::Order copy = aOrder;
  mSendOrder(
    std::move(aOrder),
    [this, order = std::move(copy)](fleet::OrderResult aResult) {
      if (mNode) {
        Guard([&] { mNode->OnOrderResult(order, aResult, MonotonicNow()); });
        ScheduleTick();
      }
    });
}

void
ControlProcess::ScheduleTick()
{
  if (mTicking || !mNode || mNodeFailed) {
    return;
  }
  Millis now = MonotonicNow();
  Millis next = std::max(mNode->NextTick(), now);
  if (next >= mTickDueAt) {
    return;
  }
  mTickDueAt = next;
  mTickTimer.expires_after(std::chrono::milliseconds((next - now).Count()));
  mTickTimer.async_wait([this](auto ec) {
    if (!ec) {
      Tick();
    }
  });
}

void
ControlProcess::Tick()
{
  mTickDueAt = Millis::Max();
  if (!mNode || mNodeFailed) {
    return;
  }
  mTicking = true;
  Millis startTime = MonotonicNow();
  Guard([&] { mNode->Tick(startTime, WallNow()); });
  Millis duration = MonotonicNow() - startTime;
  mTickDurations.Observe(duration);
  mNode->OnTickDuration(duration);
  mTicking = false;
  ReportLeaderToRelay();
  CheckDisk(MonotonicNow());
  ScheduleTick();
}

void
ControlProcess::ReportLeaderToRelay()
{
  std::string leader = LeaderAddress();
  if (leader != mReportedLeader) {
    mReportedLeader = leader;
    mRelay.OnLeaderNamed(leader);
  }
}

} // namespace limpetwood::fleetd
