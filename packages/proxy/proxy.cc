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
  : public ForwardingOwner
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
    , send(std::move(aSend))
    , pool(std::make_shared<http::Pool>(aContext, options.pool))
    , server(aContext,
             options.server,
             [this](std::shared_ptr<http::Exchange> aExchange) {
               Handle(std::move(aExchange));
             })
    , tick(aContext)
    , grace(aContext)
  {
  }

  void OnReady(Forwarding& aForwarding) override
  {
    Execute(router.Admit(aForwarding.Info(), MonotonicNow()));
  }

  void OnAttemptEnded(Forwarding& aForwarding,
                      uint32_t aAttempt,
                      const routing::AttemptOutcome& aOutcome) override
  {
    RequestId id = aForwarding.Info().id;
    Millis now = MonotonicNow();
    Execute(router.AttemptEnded(id, aAttempt, aOutcome, now));
    if (!aForwarding.Replayable() &&
        aOutcome.result != routing::AttemptResult::kAnswered) {
      // Ends the wait for a repetition that cannot be made.
      Execute(router.Cancelled(id, false, now));
    }
  }

  void OnCallerFailed(Forwarding& aForwarding, bool aSent) override
  {
    Execute(router.Cancelled(aForwarding.Info().id, aSent, MonotonicNow()));
  }

  void OnFinished(Forwarding& aForwarding,
                  Verdict aVerdict,
                  std::string_view aReason) override
  {
    Count(aForwarding, aVerdict, aReason);
    forwardings.erase(aForwarding.Info().id);
    FinishDrainIfIdle();
  }

  bool ClosesConnections() const override { return draining; }

  void Handle(std::shared_ptr<http::Exchange> aExchange);
  void Refuse(const std::shared_ptr<http::Exchange>& aExchange,
              int aStatus,
              std::string_view aReason);
  void Execute(routing::Effects aEffects);
  void CarryOut(const routing::Effects& aEffects);
  void ScheduleTick();
  void Count(const Forwarding& aForwarding,
             Verdict aVerdict,
             std::string_view aReason);
  void CountVerdict(Verdict aVerdict, std::string_view aReason);
  void FinishDrainIfIdle();
  void EndAllRequests();
  void Close();

  std::shared_ptr<Forwarding> Find(RequestId aId) const
  {
    auto found = forwardings.find(aId);
    return found == forwardings.end() ? nullptr : found->second;
  }

  boost::asio::io_context& context;
  ProxyOptions options;
  routing::Router router;
  SendToPeer send;
  std::shared_ptr<http::Pool> pool;
  http::StreamServer server;
  http::DeadlineTimer tick;
  http::DeadlineTimer grace;
  Millis nextTick = Millis::Max();
  std::map<ServiceId, BodyLimits> limits;
  std::unordered_map<RequestId, std::shared_ptr<Forwarding>> forwardings;
  uint64_t lastRequest = 0;
  // Effects wait here while earlier ones are carried out, so that requests
  // that fail at once do not nest.
  std::deque<routing::Effects> waiting;
  bool executing = false;
  bool draining = false;
  bool serverDraining = false;
  DrainResult drainResult;
  std::function<void(DrainResult)> drained;
  ProxyCounters counters;
};

void
Proxy::Impl::Handle(std::shared_ptr<http::Exchange> aExchange)
{
  ++counters.requests;
  auto info = ReadRequestInfo(aExchange->Head(), MonotonicNow());
  if (!info) {
    bool unknown = ServiceOf(aExchange->Head().target).empty();
    Refuse(aExchange,
           unknown ? 404 : 400,
           unknown ? "unknown_path" : "malformed_header");
    return;
  }
  info->id = RequestId(++lastRequest);
  auto bounds = limits.find(info->service);
  RequestId id = info->id;
  auto forwarding = std::make_shared<Forwarding>(
    *this,
    options,
    bounds == limits.end() ? BodyLimits{} : bounds->second,
    pool,
    std::move(aExchange),
    std::move(*info));
  forwardings.emplace(id, forwarding);
  forwarding->Start();
}

void
Proxy::Impl::Refuse(const std::shared_ptr<http::Exchange>& aExchange,
                    int aStatus,
                    std::string_view aReason)
{
  CountVerdict(Verdict::kNotRun, aReason);
  http::ResponseHead head;
  auto body = std::make_shared<std::string>(
    MakeErrorAnswer(head, aStatus, Verdict::kNotRun, aReason));
  head.close = draining;
  aExchange->Respond(head, *body, true, [aExchange, body](std::error_code) {});
}

void
Proxy::Impl::Execute(routing::Effects aEffects)
{
  waiting.push_back(std::move(aEffects));
  if (executing) {
    return;
  }
  executing = true;
  auto self = shared_from_this();
  while (!waiting.empty()) {
    routing::Effects effects = std::move(waiting.front());
    waiting.pop_front();
    CarryOut(effects);
  }
  executing = false;
  ScheduleTick();
}

void
Proxy::Impl::CarryOut(const routing::Effects& aEffects)
{
  for (const auto& it : aEffects.messages) {
    send(it.to, routing::EncodePeerMessage(it.message));
  }
  for (const auto& it : aEffects.connectionLimits) {
    if (auto endpoint = http::ParseEndpoint(it.server->address)) {
      pool->SetLimit(endpoint.Value(), it.limit);
    }
  }
  for (const auto& it : aEffects.endedRequests) {
    if (auto forwarding = Find(it.request)) {
      forwarding->End(it.verdict, it.reason);
    }
  }
  for (const auto& it : aEffects.grants) {
    if (auto forwarding = Find(it.request)) {
      forwarding->StartAttempt(it);
    }
  }
}

void
Proxy::Impl::ScheduleTick()
{
  Millis next = router.NextDeadline();
  if (next == nextTick) {
    return;
  }
  nextTick = next;
  if (next == Millis::Max()) {
    tick.Clear();
    return;
  }
  tick.Set(std::max(next - MonotonicNow(), Millis(0)));
}

void
Proxy::Impl::Count(const Forwarding& aForwarding,
                   Verdict aVerdict,
                   std::string_view aReason)
{
  counters.callerDisconnects += aForwarding.CallerLost() ? 1 : 0;
  bool shutdown = aReason == routing::ReasonName(routing::Reason::kShutdown);
  counters.endedByShutdown += shutdown ? 1 : 0;
  bool broken = aReason == routing::ReasonName(routing::Reason::kAnswerBroken);
  counters.truncatedAnswers += broken ? 1 : 0;
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
  if (!draining || serverDraining || !forwardings.empty()) {
    return;
  }
  serverDraining = true;
  grace.Stop();
  // Deferred, so that the last answer's connection is done with it.
  boost::asio::post(context, [self = shared_from_this()] {
    self->server.Drain([self] {
      if (auto done = std::exchange(self->drained, nullptr)) {
        done(self->drainResult);
      }
    });
  });
}

void
Proxy::Impl::EndAllRequests()
{
  drainResult.endedEarly += forwardings.size();
  Execute(router.EndAllRequests(MonotonicNow()));
  auto rest = forwardings;
  for (const auto& [id, forwarding] : rest) {
    forwarding->Shutdown();
  }
}

void
Proxy::Impl::Close()
{
  tick.Stop();
  grace.Stop();
  for (const auto& [id, forwarding] : std::exchange(forwardings, {})) {
    forwarding->Abandon();
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
  mImpl->tick.OnExpired([weak] {
    if (auto impl = weak.lock()) {
      impl->nextTick = Millis::Max();
      impl->Execute(impl->router.Tick(MonotonicNow()));
    }
  });
  mImpl->grace.OnExpired([weak] {
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
  mImpl->limits = std::move(aLimits);
  mImpl->Execute(mImpl->router.ConfigurationChanged(aConfig, MonotonicNow()));
}

routing::AnnounceResult
Proxy::Announce(const routing::ServerAnnouncement& aAnnouncement)
{
  auto answer = mImpl->router.Announce(aAnnouncement, MonotonicNow());
  mImpl->Execute(std::exchange(answer.effects, {}));
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
  mImpl->Execute(
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
  mImpl->drained = std::move(aDone);
  mImpl->drainResult.accepted = mImpl->forwardings.size();
  mImpl->Execute(mImpl->router.Drain(MonotonicNow()));
  mImpl->grace.Set(aGrace);
  if (mImpl->options.testOnly.drainAtOnce) {
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
  return mImpl->forwardings.size();
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
