#include "fleetd/control_process.h"

#include "base/error.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>

namespace limpetwood::fleetd {

namespace {

namespace gen = fleet::gen;

// A request between instances carries at most a configuration.
constexpr uint64_t kMaxRequestBytes = 16U << 20U;

// How often the disk's state is looked at, and how long a failed one rests.
constexpr Millis kDiskCheckInterval(200);
constexpr Millis kReopenPause(500);

// Elections end well within the time in which callers come back.
constexpr replication::Timing kTiming{ .heartbeat = Millis(150),
                                       .learnerHeartbeat = Millis(300),
                                       .electionMin = Millis(700),
                                       .electionMax = Millis(1300) };

std::vector<InstanceId>
InstancesOf(const std::vector<std::string>& aAddresses)
{
  std::vector<InstanceId> out;
  out.reserve(aAddresses.size());
  for (const std::string& it : aAddresses) {
    out.emplace_back(it);
  }
  std::sort(out.begin(), out.end());
  return out;
}

// A process that restarts before the group has formed is told that this is no
// first start; the marker says that its disk is still the first one.
bool
MayForm(const Settings& aSettings)
{
  namespace fs = std::filesystem;
  std::error_code ec;
  fs::path folder(*aSettings.dataFolder);
  fs::create_directories(folder, ec);
  fs::path marker = folder / "first-start";
  if (aSettings.firstStart && !ec) {
    std::ofstream(marker) << '\n';
  }
  return aSettings.firstStart || fs::exists(marker, ec);
}

fleet::NodeOptions
NodeOptionsFor(const Settings& aSettings)
{
  fleet::NodeOptions options;
  options.group.self = InstanceId(aSettings.address);
  options.group.folder = *aSettings.dataFolder + "/log";
  options.group.voters = InstancesOf(aSettings.seeds);
  options.group.allowFormation = MayForm(aSettings);
  options.group.timing = kTiming;
  options.toleratedFailures = aSettings.bounds.toleratedInstances;
  options.dispatcher.leaseDuration = aSettings.bounds.maxLease;
  options.dispatcher.heartbeatInterval = aSettings.bounds.heartbeatInterval;
  options.dispatcher.maxStopTime = aSettings.bounds.maxStopTime;
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
ServerLimitsFor()
{
  http::ServerLimits limits;
  limits.maxBodyBytes = kMaxRequestBytes;
  return limits;
}

} // namespace

RelayOptions
RelayOptionsFor(const Settings& aSettings)
{
  RelayOptions options;
  options.port = aSettings.firstPort + kRequestPortOffset;
  return options;
}

ControlProcess::ControlProcess(boost::asio::io_context& aContext,
                               const Settings& aSettings,
                               SendOrderFunction aSendOrder,
                               LogFunction aLog)
  : mSettings(aSettings)
  , mSendOrder(std::move(aSendOrder))
  , mLog(std::move(aLog))
  , mTransport(aContext,
               TransportOptionsFor(aSettings),
               [this](const InstanceId& aFrom,
                      peer::Channel /*aChannel*/,
                      std::string aPayload) {
                 if (mNode) {
                   mNode->OnReplication(aFrom, aPayload, MonotonicNow());
                   Schedule();
                 }
               })
  , mServer(aContext,
            ServerLimitsFor(),
            [this](http::Request aRequest, http::Responder aRespond) {
              Serve(aRequest, aRespond);
            })
  , mRelay(aContext, RelayOptionsFor(aSettings), mLog)
  , mTimer(aContext)
  , mReopenTimer(aContext)
  , mSeeds(aSettings.seeds)
{
}

ControlProcess::~ControlProcess() = default;

void
ControlProcess::Serve(const http::Request& aRequest,
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
  mNode->Handle(request.Value(), MonotonicNow(), answer);
  Schedule();
}

std::error_code
ControlProcess::OpenNode()
{
  auto node = fleet::Node::Open(NodeOptionsFor(mSettings), *this);
  if (!node) {
    return node.Error();
  }
  mNode = std::move(node).Value();
  mNode->SetContacts(InstancesOf(mSeeds));
  return {};
}

void
ControlProcess::CheckDisk(Millis aNow)
{
  if (aNow < mNextDiskCheck) {
    return;
  }
  mNextDiskCheck = aNow + kDiskCheckInterval;
  std::error_code error = mNode->Status().diskError;
  if (error) {
    mLog(LogEvent("disk_failed").Add("error", error.message()));
    // Whoever waits for an answer is left without one, as after a crash.
    mNode.reset();
    Reopen();
  }
}

void
ControlProcess::Reopen()
{
  mReopenTimer.expires_after(std::chrono::milliseconds(kReopenPause.Count()));
  mReopenTimer.async_wait([this](auto ec) {
    if (ec) {
      return;
    }
    if (std::error_code error = OpenNode()) {
      Reopen();
      return;
    }
    mLog(LogEvent("disk_works"));
    Schedule();
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
  Schedule();
  return {};
}

void
ControlProcess::PrepareShutdown()
{
  if (mNode) {
    mNode->PrepareShutdown(MonotonicNow());
    Schedule();
  }
}

void
ControlProcess::SetSeeds(const std::vector<std::string>& aSeeds)
{
  mSeeds = aSeeds;
  mRelay.SetSeeds(aSeeds);
  if (mNode) {
    mNode->SetContacts(InstancesOf(aSeeds));
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
    auto done = [aDone = std::move(aDone)](gen::Reply aReply) {
      aDone({ .reply = std::move(aReply) });
    };
    mNode->Handle(aRequest, MonotonicNow(), std::move(done));
    Schedule();
    return;
  }
  mRelay.Call(aRequest, aDeadline, std::move(aDone));
}

void
ControlProcess::SendReplication(const InstanceId& aTo, std::string aBytes)
{
  mTransport.Send(aTo, peer::Channel::kReplication, std::move(aBytes));
}

void
ControlProcess::SendOrder(fleet::Order aOrder)
{
  fleet::Order copy = aOrder;
  mSendOrder(std::move(aOrder),
             [this, order = std::move(copy)](fleet::OrderResult aResult) {
               if (mNode) {
                 mNode->OnOrderResult(order, aResult, MonotonicNow());
                 Schedule();
               }
             });
}

void
ControlProcess::Schedule()
{
  if (mTicking || !mNode) {
    return;
  }
  Millis now = MonotonicNow();
  Millis next = std::max(mNode->NextTick(), now);
  if (next >= mTimerAt) {
    return;
  }
  mTimerAt = next;
  mTimer.expires_after(std::chrono::milliseconds((next - now).Count()));
  mTimer.async_wait([this](auto ec) {
    if (!ec) {
      Tick();
    }
  });
}

void
ControlProcess::Tick()
{
  mTimerAt = Millis::Max();
  if (!mNode) {
    return;
  }
  mTicking = true;
  Millis begun = MonotonicNow();
  mNode->Tick(begun, WallNow());
  mTicks.Observe(MonotonicNow() - begun);
  mTicking = false;
  CheckDisk(MonotonicNow());
  Schedule();
}

} // namespace limpetwood::fleetd
