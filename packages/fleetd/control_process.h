// Runs a fleet node as a process: transport, disk, request server, clock.
//
//   ControlProcess process(ioc, settings, sendOrder, log);
//   if (auto ec = process.Start()) { ... }
//   process.Handle(request, deadline, [](gen::Reply aReply) {});
//
// Requests that arrive at a replica that does not lead are relayed. A replica
// whose disk failed is closed and opened again until the disk works.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/latency_histogram.h"
#include "base/log_event.h"
#include "fleet/node.h"
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

using OrderCallback = std::function<void(fleet::OrderResult)>;
using SendOrderFunction = std::function<void(fleet::Order, OrderCallback)>;

// Ports within an instance's internal range.
constexpr uint16_t kReplicationPortOffset = 0;
constexpr uint16_t kRequestPortOffset = 1;

RelayOptions
RelayOptionsFor(const Settings& aSettings);

class ControlProcess : private fleet::NodeEnvironment
{
public:
  ControlProcess(boost::asio::io_context& aContext,
                 const Settings& aSettings,
                 SendOrderFunction aSendOrder,
                 LogFunction aLog);
  ~ControlProcess() override;

  std::error_code Start();
  // Hands over leadership and stops to answer.
  void PrepareShutdown();

  // Calls `aDone` once, at `aDeadline` at the latest.
  void Handle(const fleet::gen::Request& aRequest,
              Millis aDeadline,
              RelayCallback aDone);

  void SetSeeds(const std::vector<std::string>& aSeeds);

  // Null while the disk does not work.
  const fleet::Node* Node() const { return mNode.get(); }
  const RelayCounters& RelayStats() const { return mRelay.Counters(); }
  // How long decisions and the disk kept the process from other events.
  const LatencyHistogram& TickDurations() const { return mTicks; }
  // Address of the instance that leads, if known.
  std::string LeaderAddress() const;

private:
  // fleet::NodeEnvironment
  void SendReplication(const InstanceId& aTo, std::string aBytes) override;
  void SendOrder(fleet::Order aOrder) override;
  void Log(const LogEvent& aEvent) override { mLog(aEvent); }

  // Runs the node's tick when it is due.
  void Schedule();
  void Tick();
  void Serve(const http::Request& aRequest, const http::Responder& aRespond);
  std::error_code OpenNode();
  // Closes the node if its disk failed.
  void CheckDisk(Millis aNow);
  void Reopen();

  const Settings mSettings;
  SendOrderFunction mSendOrder;
  LogFunction mLog;
  peer::Transport mTransport;
  http::Server mServer;
  Relay mRelay;
  std::unique_ptr<fleet::Node> mNode;
  boost::asio::steady_timer mTimer;
  Millis mTimerAt = Millis::Max();
  Millis mNextDiskCheck;
  boost::asio::steady_timer mReopenTimer;
  std::vector<std::string> mSeeds;
  bool mTicking = false;
  LatencyHistogram mTicks;
};

} // namespace limpetwood::fleetd
