#include "proxy/proxy.h"

#include "http/deadline_timer.h"
#include "proxy/headers.h"
#include "proxy/request_forwarder.h"
#include "routing/codec.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace limpetwood::proxy {

using routing::RequestId;

class Proxy::Impl
  : public ForwarderDelegate
  , public std::enable_shared_from_this<Proxy::Impl>
{
public:
  Impl(boost::asio::io_context& aContext,
       ProxyOptions aOptions,
       routing::Router aRouter,
       SendToPeer aSend)
    : context(aContext)
    , options(aOptions)
    , router(std::move(aRouter))
    , sendToPeer(std::move(aSend))
    , pool(std::make_shared<http::Pool>(aContext, options.pool))
    , server(aContext,
             options.server,
             [this](std::shared_ptr<http::Exchange> aExchange) {
               HandleRequest(std::move(aExchange));
             })
    , routerTimer(aContext)
    , drainTimer(aContext)
  {
  }

  void OnReadyForAdmission(RequestForwarder& aForwarder) override
  {
    EnqueueEffects(router.Admit(aForwarder.Info(), MonotonicNow()));
  }

  void OnAttemptEnded(RequestForwarder& aForwarder,
                      uint32_t aAttempt,
                      const routing::AttemptOutcome& aOutcome) override
  {
    RequestId id = aForwarder.Info().id;
    Millis now = MonotonicNow();
    EnqueueEffects(router.AttemptEnded(id, aAttempt, aOutcome, now));
    if (!aForwarder.Replayable() &&
        aOutcome.result != routing::AttemptResult::kAnswered) {
      // The body cannot be sent again, so no retry is possible; cancelling
      // stops the router from waiting to grant one.
      EnqueueEffects(router.Cancelled(id, false, now));
    }
  }

  void OnCallerFailed(RequestForwarder& aForwarder, bool aSent) override
  {
    EnqueueEffects(
      router.Cancelled(aForwarder.Info().id, aSent, MonotonicNow()));
  }

  void OnFinished(RequestForwarder& aForwarder,
                  Verdict aVerdict,
                  std::string_view aReason) override
  {
    CountOutcome(aForwarder, aVerdict, aReason);
    forwarders.erase(aForwarder.Info().id);
    FinishDrainIfIdle();
  }

  bool ShouldCloseConnections() const override { return draining; }

  void HandleRequest(std::shared_ptr<http::Exchange> aExchange);
  void RespondNotRun(const std::shared_ptr<http::Exchange>& aExchange,
                     int aStatus,
                     std::string_view aReason);
  void EnqueueEffects(routing::Effects aEffects);
  void ApplyEffects(const routing::Effects& aEffects);
  void LogServersLost(const RequestForwarder& aForwarder,
                      const routing::RequestEnd& aEnd) const;
  void ScheduleRouterTimer();
  // Counts the end of a request that a forwarder handled.
  void CountOutcome(const RequestForwarder& aForwarder,
                    Verdict aVerdict,
                    std::string_view aReason);
  // Counts the verdict and, unless the request was answered, the reason.
  void CountVerdict(Verdict aVerdict, std::string_view aReason);
  void FinishDrainIfIdle();
  void EndAllRequests();
  void Close();

  std::shared_ptr<RequestForwarder> FindForwarder(RequestId aId) const
  {
    auto found = forwarders.find(aId);
    return found == forwarders.end() ? nullptr : found->second;
  }

  boost::asio::io_context& context;
  ProxyOptions options;
  routing::Router router;
  SendToPeer sendToPeer;
  std::shared_ptr<http::Pool> pool;
  http::StreamServer server;
  http::DeadlineTimer routerTimer;
  http::DeadlineTimer drainTimer;
  Millis nextRouterDeadline = Millis::Max();
  std::map<ServiceId, BodyLimits> bodyLimits;
  std::unordered_map<RequestId, std::shared_ptr<RequestForwarder>> forwarders;
  uint64_t lastRequestId = 0;
  // Effects that arrive while earlier ones are applied. The queue avoids
  // recursion when an attempt fails synchronously.
  std::deque<routing::Effects> pendingEffects;
  bool applyingEffects = false;
  bool draining = false;
  bool serverDraining = false;
  DrainResult drainResult;
  std::function<void(DrainResult)> drainDone;
  ProxyCounters counters;
};

void
Proxy::Impl::HandleRequest(std::shared_ptr<http::Exchange> aExchange)
{
  ++counters.requests;
  auto info = ReadRequestInfo(aExchange->Head(), MonotonicNow());
  if (!info) {
    bool unknownPath = ServiceFromTarget(aExchange->Head().target).empty();
    RespondNotRun(aExchange,
                  unknownPath ? 404 : 400,
                  unknownPath ? "unknown_path" : "malformed_header");
    return;
  }
  info->id = RequestId(++lastRequestId);
  auto configured = bodyLimits.find(info->service);
  RequestId id = info->id;
  auto forwarder = std::make_shared<RequestForwarder>(
    *this,
    options,
    configured == bodyLimits.end() ? BodyLimits{} : configured->second,
    pool,
    std::move(aExchange),
    std::move(*info));
  forwarders.emplace(id, forwarder);
  forwarder->Start();
}

void
Proxy::Impl::RespondNotRun(const std::shared_ptr<http::Exchange>& aExchange,
                           int aStatus,
                           std::string_view aReason)
{
  CountVerdict(Verdict::kNotRun, aReason);
  http::ResponseHead head;
  auto body = std::make_shared<std::string>(
    MakeErrorResponse(head, aStatus, Verdict::kNotRun, aReason));
  head.close = draining;
  aExchange->Respond(head, *body, true, [aExchange, body](std::error_code) {});
}

void
Proxy::Impl::EnqueueEffects(routing::Effects aEffects)
{
  pendingEffects.push_back(std::move(aEffects));
  if (applyingEffects) {
    return;
  }
  applyingEffects = true;
  auto self = shared_from_this();
  while (!pendingEffects.empty()) {
    routing::Effects effects = std::move(pendingEffects.front());
    pendingEffects.pop_front();
    ApplyEffects(effects);
  }
  applyingEffects = false;
  ScheduleRouterTimer();
}

void
Proxy::Impl::ApplyEffects(const routing::Effects& aEffects)
{
  for (const auto& it : aEffects.messages) {
    sendToPeer(it.to, routing::EncodePeerMessage(it.message));
  }
  for (const auto& it : aEffects.connectionLimits) {
    if (auto endpoint = http::ParseEndpoint(it.server->address)) {
      pool->SetLimit(endpoint.Value(), it.limit);
    }
  }
  for (const auto& it : aEffects.endedRequests) {
    if (auto forwarder = FindForwarder(it.request)) {
      if (it.reason == routing::Reason::kServersLost) {
        LogServersLost(*forwarder, it);
      }
      forwarder->End(it.verdict, it.reason);
    }
  }
  for (const auto& it : aEffects.grants) {
    if (auto forwarder = FindForwarder(it.request)) {
      forwarder->StartAttempt(it);
    }
  }
}

void
Proxy::Impl::LogServersLost(const RequestForwarder& aForwarder,
                            const routing::RequestEnd& aEnd) const
{
  if (!options.log) {
    return;
  }
  std::string servers;
  for (const routing::ServerRef& it : aEnd.lostServers) {
    servers += (servers.empty() ? "" : " ") + it->id.Value();
  }
  options.log(LogEvent("request_given_up")
                .Add("reason", routing::ReasonName(aEnd.reason))
                .Add("service", aForwarder.Info().service)
                .Add("workspace", aForwarder.Info().workspace)
                .Add("path", aForwarder.Target())
                .Add("servers", servers));
}

void
Proxy::Impl::ScheduleRouterTimer()
{
  Millis next = router.NextDeadline();
  if (next == nextRouterDeadline) {
    return;
  }
  nextRouterDeadline = next;
  if (next == Millis::Max()) {
    routerTimer.Clear();
    return;
  }
  routerTimer.Set(std::max(next - MonotonicNow(), Millis(0)));
}

void
Proxy::Impl::CountOutcome(const RequestForwarder& aForwarder,
                          Verdict aVerdict,
                          std::string_view aReason)
{
  counters.callerDisconnects += aForwarder.CallerDisconnected() ? 1 : 0;
  bool shutdown = aReason == routing::ReasonName(routing::Reason::kShutdown);
  counters.endedByShutdown += shutdown ? 1 : 0;
  bool truncated =
    aReason == routing::ReasonName(routing::Reason::kAnswerBroken);
  counters.truncatedResponses += truncated ? 1 : 0;
  CountVerdict(aVerdict, aReason);
}

void
Proxy::Impl::CountVerdict(Verdict aVerdict, std::string_view aReason)
{
  switch (aVerdict) {
    case Verdict::kAnswered:
      ++counters.answered;
      return;
    case Verdict::kNotRun:
      ++counters.notRun;
      break;
    case Verdict::kMayHaveRun:
      ++counters.mayHaveRun;
      break;
  }
  auto found = counters.reasons.find(aReason);
  if (found == counters.reasons.end()) {
    found = counters.reasons.emplace(aReason, 0).first;
  }
  ++found->second;
}

void
Proxy::Impl::FinishDrainIfIdle()
{
  if (!draining || serverDraining || !forwarders.empty()) {
    return;
  }
  serverDraining = true;
  drainTimer.Stop();
  // Posted, so that the connection of the last response can complete its write
  // first.
  boost::asio::post(context, [self = shared_from_this()] {
    self->server.Drain([self] {
      if (auto done = std::exchange(self->drainDone, nullptr)) {
        done(self->drainResult);
      }
    });
  });
}

void
Proxy::Impl::EndAllRequests()
{
  drainResult.endedEarly += forwarders.size();
  EnqueueEffects(router.EndAllRequests(MonotonicNow()));
  auto remaining = forwarders;
  for (const auto& [id, forwarder] : remaining) {
    forwarder->Shutdown();
  }
}

void
Proxy::Impl::Close()
{
  routerTimer.Stop();
  drainTimer.Stop();
  for (const auto& [id, forwarder] : std::exchange(forwarders, {})) {
    forwarder->Abandon();
  }
  server.Close();
  pool->CloseIdle();
}

Proxy::Proxy(boost::asio::io_context& aContext,
             ProxyOptions aOptions,
             routing::Router aRouter,
             SendToPeer aSend)
  : mImpl(std::make_shared<Impl>(aContext,
                                 aOptions,
                                 std::move(aRouter),
                                 std::move(aSend)))
{
  std::weak_ptr<Impl> weak = mImpl;
  mImpl->routerTimer.SetCallback([weak] {
    if (auto impl = weak.lock()) {
      impl->nextRouterDeadline = Millis::Max();
      impl->EnqueueEffects(impl->router.Tick(MonotonicNow()));
    }
  });
  mImpl->drainTimer.SetCallback([weak] {
    if (auto impl = weak.lock()) {
      impl->EndAllRequests();
    }
  });
}

Proxy::~Proxy()
{
  Close();
}

Result<http::Endpoint>
Proxy::Listen(const http::Endpoint& aEndpoint)
{
  return mImpl->server.Listen(aEndpoint);
}

void
Proxy::Configure(const routing::RoutingConfig& aConfig,
                 std::map<ServiceId, BodyLimits> aLimits)
{
  mImpl->bodyLimits = std::move(aLimits);
  mImpl->EnqueueEffects(
    mImpl->router.ConfigurationChanged(aConfig, MonotonicNow()));
}

void
Proxy::SetEvacuatedZones(const routing::EvacuatedZones& aEvacuated)
{
  mImpl->EnqueueEffects(
    mImpl->router.SetEvacuatedZones(aEvacuated, MonotonicNow()));
}

routing::AnnounceResult
Proxy::Announce(const routing::ServerAnnouncement& aAnnouncement)
{
  auto answer = mImpl->router.Announce(aAnnouncement, MonotonicNow());
  mImpl->EnqueueEffects(std::exchange(answer.effects, {}));
  return answer;
}

void
Proxy::OnPeerMessage(const InstanceId& aFrom, std::string_view aBytes)
{
  auto message = routing::DecodePeerMessage(aBytes);
  if (!message) {
    ++mImpl->counters.malformedPeerMessages;
    return;
  }
  mImpl->EnqueueEffects(
    mImpl->router.PeerMessageReceived(aFrom, message.Value(), MonotonicNow()));
}

bool
Proxy::Accepting() const
{
  return !mImpl->draining;
}

void
Proxy::Drain(Millis aGrace, std::function<void(DrainResult)> aDone)
{
  mImpl->draining = true;
  mImpl->drainDone = std::move(aDone);
  mImpl->drainResult.accepted = mImpl->forwarders.size();
  mImpl->EnqueueEffects(mImpl->router.Drain(MonotonicNow()));
  mImpl->drainTimer.Set(aGrace);
  if (mImpl->options.testOnly.endRequestsOnDrain) {
    mImpl->EndAllRequests();
  }
  mImpl->FinishDrainIfIdle();
}

void
Proxy::EndAllRequests()
{
  mImpl->EndAllRequests();
}

void
Proxy::Close()
{
  mImpl->Close();
}

size_t
Proxy::InFlight() const
{
  return mImpl->forwarders.size();
}

const ProxyCounters&
Proxy::Counters() const
{
  return mImpl->counters;
}

const http::ServerCounters&
Proxy::ServerCounters() const
{
  return mImpl->server.Counters();
}

const http::PoolCounters&
Proxy::PoolCounters() const
{
  return mImpl->pool->Counters();
}

const routing::Router&
Proxy::Router() const
{
  return mImpl->router;
}

} // namespace limpetwood::proxy
