#include "http/stream_server.h"

#include "http/internal/session.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace limpetwood::http {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using ErrorCode = boost::beast::error_code;

constexpr Millis kAcceptRetryDelay(50);

} // namespace

std::string_view
UnansweredReasonName(UnansweredReason aReason)
{
  switch (aReason) {
    case UnansweredReason::kTimedOut:
      return "timed_out";
    case UnansweredReason::kAbandoned:
      return "abandoned";
    case UnansweredReason::kServerClosed:
      return "server_closed";
    case UnansweredReason::kPeerClosed:
      break;
  }
  return "peer_closed";
}

Exchange::Exchange(std::shared_ptr<Session> aSession,
                   RequestHead aHead,
                   Millis aArrivedAfter)
  : mSession(std::move(aSession))
  , mHead(std::move(aHead))
  , mArrivedAfter(aArrivedAfter)
{
}

Exchange::~Exchange()
{
  Abort();
}

void
Exchange::ReadBody(BodyCallback aDone)
{
  if (!mSession) {
    aDone(make_error_code(Errc::kUnavailable), {}, false);
    return;
  }
  mSession->ReadBody(*this, std::move(aDone));
}

void
Exchange::Respond(const ResponseHead& aHead,
                  std::string_view aPart,
                  bool aLast,
                  WriteCallback aDone)
{
  if (!mSession || mResponseStarted) {
    aDone(make_error_code(Errc::kUnavailable));
    return;
  }
  auto session = mSession;
  if (aLast) {
    mSession = nullptr;
  }
  session->Respond(*this, aHead, aPart, aLast, std::move(aDone));
}

void
Exchange::WriteBody(std::string_view aPart, bool aLast, WriteCallback aDone)
{
  if (!mSession) {
    aDone(make_error_code(Errc::kUnavailable));
    return;
  }
  auto session = mSession;
  if (aLast) {
    mSession = nullptr;
  }
  session->WriteBody(aPart, aLast, std::move(aDone));
}

void
Exchange::Abort()
{
  if (auto session = std::exchange(mSession, nullptr)) {
    session->Reset();
  }
}

bool
Exchange::PeerStoppedSending() const
{
  return mSession == nullptr || mSession->PeerStoppedSending();
}

void
Exchange::WatchPeer(std::function<void()> aDone)
{
  if (mSession) {
    mSession->WatchPeer(std::move(aDone));
  }
}

void
StreamServerImpl::Accept()
{
  acceptingSince = MonotonicNow();
  acceptor.async_accept(
    [self = shared_from_this()](ErrorCode ec, tcp::socket it) {
      if (ec == asio::error::operation_aborted) {
        return;
      }
      if (!ec) {
        self->OnAccepted(std::move(it));
        self->AcceptArrived();
      } else {
        // Out of file descriptors, usually; trying again at once would keep the
        // loop busy.
        ++self->counters.acceptFailed;
        self->AcceptLater();
        return;
      }
      if (self->acceptor.is_open()) {
        self->Accept();
      }
    });
}

void
StreamServerImpl::AcceptLater()
{
  std::weak_ptr<StreamServerImpl> weak = weak_from_this();
  acceptingSince = Millis::Max();
  acceptTimer.SetCallback([weak] {
    auto self = weak.lock();
    if (self && self->acceptor.is_open()) {
      self->Accept();
    }
  });
  acceptTimer.Set(kAcceptRetryDelay);
}

void
StreamServerImpl::AcceptArrived()
{
  ErrorCode ec;
  acceptor.non_blocking(true, ec);
  while (!ec) {
    Millis now = MonotonicNow();
    tcp::socket socket(context);
    acceptor.accept(socket, ec);
    if (!ec) {
      OnAccepted(std::move(socket));
    } else if (ec == asio::error::would_block) {
      noneWaitedAt = now;
    }
  }
}

void
StreamServerImpl::OnAccepted(tcp::socket aSocket)
{
  ErrorCode ignored;
  if (sessions.size() >= limits.maxConnections) {
    ++counters.refusedConnections;
    aSocket.close(ignored);
    return;
  }
  ++counters.accepted;
  if (progress.InputHandledUntil() > acceptingSince) {
    noneWaitedAt = progress.InputHandledUntil();
  }
  aSocket.set_option(tcp::no_delay(true), ignored);
  auto session =
    std::make_shared<Session>(shared_from_this(), std::move(aSocket));
  sessions.insert(session);
  session->Start();
}

void
StreamServerImpl::Remove(const std::shared_ptr<Session>& aSession)
{
  sessions.erase(aSession);
  FinishDrainIfIdle();
}

void
StreamServerImpl::FinishDrainIfIdle()
{
  if (draining && sessions.empty() && drainDone) {
    drainTimer.Stop();
    asio::post(context, std::exchange(drainDone, nullptr));
  }
}

StreamServer::StreamServer(asio::io_context& aContext,
                           ServerLimits aLimits,
                           StreamHandler aHandler)
  : mImpl(std::make_shared<StreamServerImpl>(aContext,
                                             aLimits,
                                             std::move(aHandler)))
{
}

StreamServer::~StreamServer()
{
  Close();
}

Result<Endpoint>
StreamServer::Listen(const Endpoint& aEndpoint)
{
  ErrorCode ec;
  auto address = asio::ip::make_address(aEndpoint.address, ec);
  if (ec) {
    return std::error_code(ec);
  }
  tcp::endpoint local(address, aEndpoint.port);
  mImpl->acceptor.open(local.protocol(), ec);
  if (!ec) {
    mImpl->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    mImpl->acceptor.bind(local, ec);
  }
  if (!ec) {
    mImpl->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    mImpl->acceptor.close();
    return std::error_code(ec);
  }
  mImpl->noneWaitedAt = MonotonicNow();
  mImpl->Accept();
  return Endpoint{ aEndpoint.address, mImpl->acceptor.local_endpoint().port() };
}

void
StreamServer::Drain(std::function<void()> aDone)
{
  mImpl->AcceptArrived();
  ErrorCode ec;
  mImpl->acceptor.close(ec);
  mImpl->draining = true;
  mImpl->drainDone = std::move(aDone);
  std::weak_ptr<StreamServerImpl> weak = mImpl;
  mImpl->drainTimer.SetCallback([weak] {
    if (auto impl = weak.lock()) {
      impl->drainGraceOver = true;
      auto sessions = impl->sessions;
      for (const auto& it : sessions) {
        it->CloseIfIdle();
      }
    }
  });
  mImpl->drainTimer.Set(std::max(mImpl->limits.drainGrace, Millis(1)));
  mImpl->FinishDrainIfIdle();
}

void
StreamServer::Close()
{
  ErrorCode ec;
  mImpl->acceptor.close(ec);
  auto sessions = mImpl->sessions;
  for (const auto& it : sessions) {
    it->Close(UnansweredReason::kServerClosed);
  }
}

void
StreamServer::SetUnansweredCallback(UnansweredCallback aCallback)
{
  mImpl->onUnanswered = std::move(aCallback);
}

const ServerLimits&
StreamServer::Limits() const
{
  return mImpl->limits;
}

void
StreamServer::SetLimits(const ServerLimits& aLimits)
{
  mImpl->limits = aLimits;
}

size_t
StreamServer::InFlight() const
{
  return mImpl->inFlight;
}

size_t
StreamServer::Connections() const
{
  return mImpl->sessions.size();
}

const ServerCounters&
StreamServer::Counters() const
{
  return mImpl->counters;
}

} // namespace limpetwood::http
