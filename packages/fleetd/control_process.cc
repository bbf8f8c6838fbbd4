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

// Elections end well within the time in which callers come back.
constexpr replication::Timing kTiming{ .heartbeat = Millis(150),
                                       .learnerHeartbeat = Millis(300),
                                       .electionMin = Millis(700),
                                       .electionMax = Millis(1300) };

std::vector<InstanceId>
InstancesOf(const std::vector<std::string>& aAddresses)
{
  std::vector<InstanceId> out;
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
  options.group.mayForm = MayForm(aSettings);
  options.group.timing = kTiming;
  options.tolerated = aSettings.bounds.toleratedInstances;
  options.dispatcher.lease = aSettings.bounds.longestLease;
  options.dispatcher.heartbeat = aSettings.bounds.heartbeat;
  options.dispatcher.stopTime = aSettings.bounds.stopTime;
  options.dispatcher.planner.reclaimPatience =
    aSettings.bounds.stopTime + Millis(600);
  return options;
}

peer::TransportOptions
TransportOptionsFor(const Settings& aSettings)
{
  peer::TransportOptions options;
  options.self = InstanceId(aSettings.address);
  uint16_t port = aSettings.firstPort + kReplicationPortOffset;
  options.listen = { aSettings.bindAddress, port };
  options.undeclaredPort = port;
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
  : mContext(aContext)
  , mSettings(aSettings)
  , mSendOrder(std::move(aSendOrder))
  , mLog(std::move(aLog))
  , mTransport(aContext,
               TransportOptionsFor(aSettings),
               [this](const InstanceId& aFrom,
                      peer::Channel /*aChannel*/,
                      std::string aPayload) {
                 mNode->OnReplication(aFrom, aPayload, MonotonicNow());
                 Schedule();
               })
  , mServer(aContext,
            ServerLimitsFor(),
            [this](http::Request aRequest, http::Responder aRespond) {
              auto request = fleet::Decode<gen::Request>(aRequest.body);
              if (!request) {
                http::Response response;
                response.status = 400;
                aRespond(std::move(response));
                return;
              }
              mNode->Handle(
                request.Value(), MonotonicNow(), [aRespond](gen::Reply aReply) {
                  http::Response response;
                  response.body = fleet::Encode(aReply);
                  aRespond(std::move(response));
                });
              Schedule();
            })
  , mRelay(aContext, RelayOptionsFor(aSettings), mLog)
  , mTimer(aContext)
{
}

ControlProcess::~ControlProcess() = default;

std::error_code
ControlProcess::Start()
{
  auto node = fleet::Node::Open(NodeOptionsFor(mSettings), *this);
  if (!node) {
    return node.Error();
  }
  mNode = std::move(node).Value();
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
  mNode->PrepareShutdown(MonotonicNow());
  Schedule();
}

void
ControlProcess::SetSeeds(const std::vector<std::string>& aSeeds)
{
  mRelay.SetSeeds(aSeeds);
  mNode->SetContacts(InstancesOf(aSeeds));
}

std::string
ControlProcess::LeaderAddress() const
{
  auto leader = mNode->Leader();
  return leader ? leader->Value() : std::string();
}

void
ControlProcess::Handle(const gen::Request& aRequest,
                       Millis aDeadline,
                       RelayCallback aDone)
{
  if (mNode->IsLeading()) {
    mNode->Handle(aRequest, MonotonicNow(), std::move(aDone));
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
               mNode->OnOrderResult(order, aResult, MonotonicNow());
               Schedule();
             });
}

void
ControlProcess::Schedule()
{
  if (mTicking || mStopped) {
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
  mTicking = true;
  mNode->Tick(MonotonicNow(), WallNow());
  mTicking = false;
  Schedule();
}

} // namespace limpetwood::fleetd
