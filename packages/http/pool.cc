#include "http/pool.h"

#include "base/error.h"
#include "http/deadline_timer.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace limpetwood::http {

namespace {

struct IdleConnection
{
  std::shared_ptr<Connection> connection;
  Millis idleSince;
};

struct ServerConnections
{
  // Connections in use, being opened and idle.
  uint32_t open = 0;
  std::optional<uint32_t> limit;
  // Ordered by last use, the most recent last.
  std::vector<IdleConnection> idle;
};

} // namespace

struct Pool::Impl : std::enable_shared_from_this<Pool::Impl>
{
  Impl(boost::asio::io_context& aContext, PoolLimits aLimits)
    : context(aContext)
    , limits(aLimits)
    , sweepTimer(aContext)
  {
  }

  uint32_t MaxConnections(const ServerConnections& aServer) const
  {
    return aServer.limit.value_or(limits.maxConnections);
  }

  std::shared_ptr<Connection> TakeIdle(ServerConnections& aServer,
                                       std::string_view aVerifiedPeer)
  {
    Millis now = MonotonicNow();
    while (!aServer.idle.empty()) {
      IdleConnection entry = std::move(aServer.idle.back());
      aServer.idle.pop_back();
      --idleConnections;
      bool expired = now - entry.idleSince >= limits.idleTimeout;
      bool live =
        limits.testOnly.skipLivenessCheck || entry.connection->IsLive();
      bool otherPeer = !aVerifiedPeer.empty() &&
                       entry.connection->VerifiedPeer() != aVerifiedPeer;
      if (!expired && live && !otherPeer) {
        ++counters.reused;
        return entry.connection;
      }
      ++(expired ? counters.closedIdle
         : !live ? counters.closedStale
                 : counters.closedOtherPeer);
      --aServer.open;
      --open;
      entry.connection->Close();
    }
    return nullptr;
  }

  void OpenNew(const Endpoint& aEndpoint,
               Millis aTimeout,
               AcquireCallback aDone)
  {
    ++servers[aEndpoint].open;
    ++open;
    auto connection = Connection::Create(context, limits.connection);
    connection->Connect(aEndpoint,
                        std::min(aTimeout, limits.connectTimeout),
                        [self = shared_from_this(),
                         connection,
                         done = std::move(aDone)](std::error_code aError) {
                          if (aError) {
                            ++self->counters.connectFailed;
                            self->OnConnectionClosed(connection->Peer());
                            connection->Close();
                            done(aError, nullptr);
                            return;
                          }
                          ++self->counters.opened;
                          done({}, connection);
                        });
  }

  // Updates the count of open connections. Removes the server if it has neither
  // open connections nor a limit above 0 of its own.
  void OnConnectionClosed(const Endpoint& aEndpoint)
  {
    auto found = servers.find(aEndpoint);
    if (found == servers.end()) {
      return;
    }
    ServerConnections& server = found->second;
    --open;
    if (--server.open == 0 && server.limit.value_or(0) == 0) {
      servers.erase(found);
    }
  }

  template<typename Predicate>
  uint64_t CloseIdleIf(ServerConnections& aServer, Predicate aPredicate)
  {
    uint64_t closed = std::erase_if(aServer.idle, [&](IdleConnection& aEntry) {
      bool close = aPredicate(aEntry);
      if (close) {
        aEntry.connection->Close();
      }
      return close;
    });
    aServer.open -= static_cast<uint32_t>(closed);
    open -= closed;
    idleConnections -= closed;
    return closed;
  }

  // Closes the connection that has been idle longest; false if none is idle.
  bool CloseLongestIdle()
  {
    ServerConnections* longest = nullptr;
    for (auto& [endpoint, server] : servers) {
      if (!server.idle.empty() &&
          (longest == nullptr ||
           server.idle.front().idleSince < longest->idle.front().idleSince)) {
        longest = &server;
      }
    }
    if (longest == nullptr) {
      return false;
    }
    longest->idle.front().connection->Close();
    longest->idle.erase(longest->idle.begin());
    --longest->open;
    --open;
    --idleConnections;
    ++counters.closedIdle;
    return true;
  }

  // Closes idle connections that have expired or that the peer has closed.
  void Sweep()
  {
    Millis now = MonotonicNow();
    for (auto& [endpoint, server] : servers) {
      counters.closedIdle += CloseIdleIf(server, [&](IdleConnection& aEntry) {
        return now - aEntry.idleSince >= limits.idleTimeout;
      });
      counters.closedStale += CloseIdleIf(server, [](IdleConnection& aEntry) {
        return !aEntry.connection->IsLive();
      });
    }
    std::erase_if(servers, [](const auto& aEntry) {
      return aEntry.second.open == 0 && aEntry.second.limit.value_or(0) == 0;
    });
    ScheduleSweep();
  }

  void ScheduleSweep()
  {
    if (idleConnections > 0) {
      // Four sweeps per idle timeout, so that a connection stays open for at
      // most a quarter longer.
      sweepTimer.Set(std::max(limits.idleTimeout / 4, Millis(1)));
    }
  }

  boost::asio::io_context& context;
  PoolLimits limits;
  std::map<Endpoint, ServerConnections> servers;
  DeadlineTimer sweepTimer;
  // Sum of `open` over all servers.
  size_t open = 0;
  size_t idleConnections = 0;
  PoolCounters counters;
};

Pool::Pool(boost::asio::io_context& aContext, PoolLimits aLimits)
  : mImpl(std::make_shared<Impl>(aContext, aLimits))
{
  std::weak_ptr<Impl> weak = mImpl;
  mImpl->sweepTimer.SetCallback([weak] {
    if (auto impl = weak.lock()) {
      impl->Sweep();
    }
  });
}

Pool::~Pool()
{
  CloseIdle();
}

void
Pool::Acquire(const Endpoint& aServer,
              Millis aTimeout,
              AcquireCallback aDone,
              std::string_view aVerifiedPeer)
{
  ServerConnections& server = mImpl->servers[aServer];
  if (auto connection = mImpl->TakeIdle(server, aVerifiedPeer)) {
    aDone({}, std::move(connection));
    return;
  }
  bool atLimit = server.open >= mImpl->MaxConnections(server) ||
                 (mImpl->open >= mImpl->limits.maxTotalConnections &&
                  !mImpl->CloseLongestIdle());
  if (atLimit) {
    ++mImpl->counters.refused;
    aDone(make_error_code(Errc::kUnavailable), nullptr);
    return;
  }
  mImpl->OpenNew(aServer, aTimeout, std::move(aDone));
}

void
Pool::Release(const std::shared_ptr<Connection>& aConnection)
{
  ServerConnections& server = mImpl->servers[aConnection->Peer()];
  bool withinLimit = server.open <= mImpl->MaxConnections(server);
  bool reusable = mImpl->limits.testOnly.reuseIncompleteConnections ||
                  aConnection->Reusable();
  if (!reusable || !withinLimit) {
    aConnection->Close();
    mImpl->OnConnectionClosed(aConnection->Peer());
    return;
  }
  server.idle.push_back({ aConnection, MonotonicNow() });
  if (++mImpl->idleConnections == 1) {
    mImpl->ScheduleSweep();
  }
}

void
Pool::ReleaseUnresponsive(const std::shared_ptr<Connection>& aConnection)
{
  Millis exchangeStart = aConnection->LastExchangeStart();
  Endpoint peer = aConnection->Peer();
  aConnection->Close();
  ServerConnections& server = mImpl->servers[peer];
  if (!mImpl->limits.testOnly.keepIdleAfterTimeout) {
    // An idle connection that has received bytes since this exchange began
    // still works.
    mImpl->counters.closedUnresponsive +=
      mImpl->CloseIdleIf(server, [exchangeStart](IdleConnection& aEntry) {
        return aEntry.connection->LastReceiveTime() <= exchangeStart;
      });
  }
  mImpl->OnConnectionClosed(peer);
}

void
Pool::SetLimit(const Endpoint& aServer, uint32_t aLimit)
{
  auto found = mImpl->servers.find(aServer);
  if (found == mImpl->servers.end()) {
    if (aLimit == 0) {
      return;
    }
    found = mImpl->servers.try_emplace(aServer).first;
  }
  ServerConnections& server = found->second;
  server.limit = aLimit;
  while (server.open > aLimit && !server.idle.empty()) {
    server.idle.front().connection->Close();
    server.idle.erase(server.idle.begin());
    --server.open;
    --mImpl->open;
    --mImpl->idleConnections;
    ++mImpl->counters.closedIdle;
  }
  if (server.open == 0 && aLimit == 0) {
    mImpl->servers.erase(found);
  }
}

void
Pool::CloseIdle()
{
  for (auto& [endpoint, server] : mImpl->servers) {
    mImpl->counters.closedIdle +=
      mImpl->CloseIdleIf(server, [](IdleConnection&) { return true; });
  }
}

size_t
Pool::Open() const
{
  return mImpl->open;
}

size_t
Pool::Idle() const
{
  return mImpl->idleConnections;
}

const PoolCounters&
Pool::Counters() const
{
  return mImpl->counters;
}

} // namespace limpetwood::http
