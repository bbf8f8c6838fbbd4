#include "daemon/process.h"

#include "daemon/actors.h"
#include "daemon/configuration_file.h"
#include "daemon/control_server.h"
#include "daemon/families.h"
#include "daemon/log.h"
#include "daemon/message_routing.h"
#include "daemon/metrics.h"
#include "daemon/request_path.h"
#include "http/client.h"
#include "http/event_loop.h"
#include "peer/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <csignal>
#include <filesystem>

namespace limpetwood::daemon {

namespace {

namespace asio = boost::asio;

// Time limit of one HTTP call to a worker.
constexpr Millis kWorkerCallTimeout = Seconds(2);
// Interval at which metrics are published.
constexpr Millis kPublishInterval = Seconds(1);
// Delay between the end of a drain and the closing of sockets, for the last
// responses and messages to be sent.
constexpr Millis kDrainFlushDelay = Millis(200);

std::chrono::milliseconds
ToChrono(Millis aTime)
{
  return std::chrono::milliseconds(aTime.Count());
}

http::Endpoint
EndpointOf(const std::string& aText)
{
  // The settings' addresses were validated on load. The address of a worker may
  // be invalid; it yields a default endpoint, and the call fails.
  auto parsed = http::ParseEndpoint(aText);
  return parsed ? parsed.Value() : http::Endpoint();
}

peer::TransportOptions
TransportOptionsFor(const model::Settings& aSettings)
{
  peer::TransportOptions options;
  options.self = aSettings.instance;
  options.listen = EndpointOf(aSettings.peerAddress);
  options.probeInterval =
    membership::HeartbeatInterval(aSettings.instances.size());
  for (const model::DeclaredInstance& it : aSettings.instances) {
    if (it.id != aSettings.instance) {
      options.peers.emplace(it.id, EndpointOf(it.peerAddress));
    }
  }
  return options;
}

control::ControlGroupOptions
ControlGroupOptionsFor(const model::Settings& aSettings)
{
  control::ControlGroupOptions options;
  options.group.self = aSettings.instance;
  options.group.folder = *aSettings.dataFolder + "/log";
  options.group.voters = aSettings.voters;
  options.group.timing.electionMin = aSettings.timings.electionMin;
  options.group.timing.electionMax = aSettings.timings.electionMax;
  options.instances = aSettings.instances;
  options.zoneAutonomy = aSettings.timings.zoneAutonomy;
  options.workerLease = aSettings.timings.workerLease;
  options.repairAfter = aSettings.timings.repairAfter;
  return options;
}

class Process : private ActorHost
{
public:
  explicit Process(const model::Settings& aSettings)
    : mSettings(aSettings)
    , mTransport(mContext,
                 TransportOptionsFor(aSettings),
                 [this](const InstanceId& aFrom,
                        peer::Channel aChannel,
                        std::string aPayload) {
                   OnPeerMessage(aFrom, aChannel, std::move(aPayload));
                 })
    , mControlServer(mContext,
                     aSettings,
                     mMetrics,
                     [this](ApiCall aCall, ApiCallback aDone) {
                       OnApiCall(std::move(aCall), std::move(aDone));
                     })
    , mRequestPath(mContext,
                   aSettings,
                   [this](const InstanceId& aTo, std::string aBytes) {
                     mTransport.Send(
                       aTo, peer::Channel::kRouting, std::move(aBytes));
                   })
    , mSignals(mContext, SIGTERM, SIGINT)
    , mDrainTimer(mContext)
    , mPublishTimer(mContext)
  {
    mActorConfig.set("scheduler.max-threads", 1);
    // CAF's work stealing polls with short sleeps after each message, which
    // used 5% of a core at 20 messages a second. Work sharing waits on a
    // condition variable instead.
    mActorConfig.set("scheduler.policy", caf::atom("sharing"));
    mActorConfig.set("logger.verbosity", caf::atom("quiet"));
  }

  int Run();

private:
  // ActorHost; called on the actors' threads.
  void SendReplicationBytes(const InstanceId& aTo, std::string aBytes) override;
  void SendControlMessage(
    const InstanceId& aTo,
    const control::gen::ControlMessage& aMessage) override;
  void CallWorker(const std::string& aAddress,
                  const std::string& aPath,
                  std::string aBody,
                  std::function<void(WorkerAnswer)> aDone) override;
  void ConfigurationInForce(ConfigVersion aVersion,
                            const model::PlannedDocument& aPlanned) override;
  void EvacuatedZonesChanged(uint64_t aIndex,
                             const std::set<ZoneId>& aZones) override;
  void RequestDrain() override;
  void SetReady(bool aReady) override;
  void PublishControlGroup(const control::ControlGroup& aGroup) override;
  void PublishInstance(const InstanceCore& aCore) override;

  bool StartActors();
  bool Listen();
  void WaitForSignal();
  void StartDrain();
  void FinishDrain(int aExitCode);
  void OnPeerMessage(const InstanceId& aFrom,
                     peer::Channel aChannel,
                     std::string aPayload);
  void OnApiCall(ApiCall aCall, ApiCallback aDone);
  void PublishPeriodically();

  model::Settings mSettings;
  asio::io_context mContext;
  caf::actor_system_config mActorConfig;
  std::unique_ptr<caf::actor_system> mActors;
  caf::actor mGroup;
  caf::actor mInstance;
  MetricRegistry mMetrics;
  peer::Transport mTransport;
  ControlServer mControlServer;
  RequestPath mRequestPath;
  asio::signal_set mSignals;
  asio::steady_timer mDrainTimer;
  asio::steady_timer mPublishTimer;
  bool mDraining = false;
  int mExitCode = kExitOk;
};

int
Process::Run()
{
  if (!StartActors() || !Listen()) {
    return kExitStartFailed;
  }
  WaitForSignal();
  PublishPeriodically();
  http::RunEventLoop(mContext);
  if (mGroup) {
    caf::anon_send_exit(mGroup, caf::exit_reason::user_shutdown);
  }
  caf::anon_send_exit(mInstance, caf::exit_reason::user_shutdown);
  mGroup = nullptr;
  mInstance = nullptr;
  mActors.reset();
  LogInfo(LogEvent("stopped").Add("exit_code", mExitCode));
  return mExitCode;
}

bool
Process::StartActors()
{
  std::optional<membership::VersionedConfiguration> stored;
  if (mSettings.dataFolder) {
    std::error_code ec;
    std::filesystem::create_directories(*mSettings.dataFolder, ec);
    auto loaded = LoadConfiguration(*mSettings.dataFolder);
    if (!loaded) {
      // Start as if the disk were empty: the instance becomes ready only after
      // a linearizable read of the configuration.
      LogWarn(LogEvent("stored_configuration_unusable")
                .Add("error", loaded.Error().message()));
    } else {
      stored = std::move(loaded).Value();
    }
  }
  mActors = std::make_unique<caf::actor_system>(mActorConfig);
  ActorHost* host = this;
  mInstance = mActors->spawn<InstanceActor>(host, mSettings, std::move(stored));
  if (mSettings.dataFolder) {
    mGroup = mActors->spawn<ControlGroupActor, caf::detached>(
      host, ControlGroupOptionsFor(mSettings));
  }
  return true;
}

bool
Process::Listen()
{
  auto peers = mTransport.Start();
  auto control = mControlServer.Listen(EndpointOf(mSettings.controlAddress));
  auto caller = mRequestPath.Listen(EndpointOf(mSettings.callerAddress));
  for (const auto& [name, bound] : { std::pair("peer", &peers),
                                     std::pair("control", &control),
                                     std::pair("caller", &caller) }) {
    if (!*bound) {
      LogError(LogEvent("listen_failed")
                 .Add("address_of", name)
                 .Add("error", bound->Error().message()));
      return false;
    }
  }
  LogInfo(LogEvent("started")
            .Add("callers", http::FormatEndpoint(caller.Value()))
            .Add("control", http::FormatEndpoint(control.Value()))
            .Add("peers", http::FormatEndpoint(peers.Value())));
  return true;
}

void
Process::WaitForSignal()
{
  mSignals.async_wait([this](boost::system::error_code ec, int) {
    if (ec) {
      return;
    }
    if (mDraining) {
      LogWarn(LogEvent("drain_cut_short")
                .Add("reason", "second_signal")
                .Add("requests_ended", mRequestPath.InFlight()));
      FinishDrain(kExitDrainCutShort);
      return;
    }
    StartDrain();
    WaitForSignal();
  });
}

void
Process::StartDrain()
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  LogInfo(
    LogEvent("draining").Add("requests_in_flight", mRequestPath.InFlight()));
  mControlServer.SetDraining();
  caf::anon_send(mInstance, DrainAtom::value);
  if (mGroup) {
    caf::anon_send(mGroup, DrainAtom::value);
  }
  mRequestPath.Drain([this](uint64_t aEnded) {
    if (aEnded > 0) {
      LogWarn(LogEvent("drain_cut_short")
                .Add("reason", "deadline")
                .Add("requests_ended", aEnded));
    }
    FinishDrain(aEnded > 0 ? kExitDrainCutShort : kExitOk);
  });
}

void
Process::FinishDrain(int aExitCode)
{
  mExitCode = std::max(mExitCode, aExitCode);
  mRequestPath.EndAllRequests();
  mDrainTimer.expires_after(ToChrono(kDrainFlushDelay));
  mDrainTimer.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    mSignals.cancel();
    mPublishTimer.cancel();
    mRequestPath.Close();
    mControlServer.Close();
    mTransport.Close();
    mContext.stop();
  });
}

void
Process::OnPeerMessage(const InstanceId& aFrom,
                       peer::Channel aChannel,
                       std::string aPayload)
{
  switch (aChannel) {
    case peer::Channel::kReplication:
      if (mGroup) {
        caf::anon_send(mGroup, ReplicationBytes{ aFrom, std::move(aPayload) });
      }
      return;
    case peer::Channel::kControl:
      if (mGroup && IsForControlGroup(aPayload)) {
        caf::anon_send(mGroup, ControlBytes{ aFrom, aPayload });
      }
      if (IsForInstance(aPayload)) {
        caf::anon_send(mInstance, ControlBytes{ aFrom, std::move(aPayload) });
      }
      return;
    case peer::Channel::kRouting:
      mRequestPath.OnPeerMessage(aFrom, aPayload);
      return;
    case peer::Channel::kHello:
    case peer::Channel::kMembership:
      return;
  }
}

void
Process::OnApiCall(ApiCall aCall, ApiCallback aDone)
{
  if (mRequestPath.Handles(aCall)) {
    aDone(mRequestPath.OnApiCall(aCall));
    return;
  }
  caf::anon_send(
    mInstance,
    ApiRequest{
      std::move(aCall), [this, done = std::move(aDone)](ApiAnswer aAnswer) {
        asio::post(mContext, [done, answer = std::move(aAnswer)]() mutable {
          done(std::move(answer));
        });
      } });
}

void
Process::SendReplicationBytes(const InstanceId& aTo, std::string aBytes)
{
  asio::post(mContext, [this, aTo, bytes = std::move(aBytes)]() mutable {
    mTransport.Send(aTo, peer::Channel::kReplication, std::move(bytes));
  });
}

void
Process::SendControlMessage(const InstanceId& aTo,
                            const control::gen::ControlMessage& aMessage)
{
  asio::post(mContext,
             [this, aTo, bytes = EncodeControlMessage(aMessage)]() mutable {
               mTransport.Send(aTo, peer::Channel::kControl, std::move(bytes));
             });
}

void
Process::CallWorker(const std::string& aAddress,
                    const std::string& aPath,
                    std::string aBody,
                    std::function<void(WorkerAnswer)> aDone)
{
  http::Request request;
  request.method = "POST";
  request.target = aPath;
  request.headers.Set("Content-Type", "application/json");
  request.body = std::move(aBody);
  asio::post(mContext,
             [this,
              endpoint = EndpointOf(aAddress),
              request = std::move(request),
              done = std::move(aDone)]() mutable {
               http::Fetch(mContext,
                           endpoint,
                           std::move(request),
                           { .timeout = kWorkerCallTimeout },
                           [done = std::move(done)](http::FetchResult aResult) {
                             done({ aResult.verdict,
                                    aResult.response.status,
                                    std::move(aResult.response.body) });
                           });
             });
}

void
Process::ConfigurationInForce(ConfigVersion aVersion,
                              const model::PlannedDocument& aPlanned)
{
  asio::post(mContext, [this, aVersion, planned = aPlanned] {
    mRequestPath.OnConfiguration(aVersion, planned.document);
  });
}

void
Process::EvacuatedZonesChanged(uint64_t aIndex, const std::set<ZoneId>& aZones)
{
  asio::post(mContext, [this, aIndex, aZones] {
    mRequestPath.OnEvacuatedZones(aIndex, aZones);
  });
}

void
Process::RequestDrain()
{
  asio::post(mContext, [this] { StartDrain(); });
}

void
Process::SetReady(bool aReady)
{
  mControlServer.SetReady(aReady);
}

void
Process::PublishControlGroup(const control::ControlGroup& aGroup)
{
  mMetrics.Publish("group", ControlGroupFamilies(aGroup));
}

void
Process::PublishInstance(const InstanceCore& aCore)
{
  mMetrics.Publish("instance", InstanceFamilies(aCore, MonotonicNow()));
}

void
Process::PublishPeriodically()
{
  Families families = TransportFamilies(mTransport.Counters());
  mMetrics.Publish("peer", std::move(families));
  mMetrics.Publish("request", mRequestPath.MetricFamilies());
  mPublishTimer.expires_after(ToChrono(kPublishInterval));
  mPublishTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      PublishPeriodically();
    }
  });
}

} // namespace

int
RunDaemon(const model::Settings& aSettings)
{
  OpenLog(aSettings.log, aSettings.instance);
  Process process(aSettings);
  return process.Run();
}

} // namespace limpetwood::daemon
