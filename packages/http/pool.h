// Connections to backend servers that are kept open between requests.
//
// A connection is handed out again only after a complete exchange and a check
// that the peer has neither closed it nor sent anything unasked, so that one
// request's leftovers never reach the next one. When a connection went silent,
// all idle ones that were not heard of since are closed as well, because a
// middlebox that lost one connection's state has usually lost the others' too.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/result.h"
#include "http/connection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>

namespace limpetwood::http {

struct PoolLimits
{
  // Open connections to one server, used for servers without `SetLimit`.
  uint32_t maxConnections = 60;
  // Shorter than the idle limits that servers commonly have (60 s and more),
  // so that a server seldom closes a connection under a request.
  Millis idleTimeout = Seconds(20);
  Millis connectTimeout = Seconds(1);
  ConnectionLimits connection{};

  // Switches single mechanisms off, so that tests can show that their checks
  // fail without them.
  struct TestOnly
  {
    bool skipLivenessCheck = false;
    bool reuseIncompleteConnections = false;
    bool keepIdleAfterTimeout = false;
  };
  TestOnly testOnly{};
};

struct PoolCounters
{
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t connectFailed = 0;
  // No connection was free and the bound was reached.
  uint64_t refused = 0;
  // Closed while idle: by the peer, by time, or together with a connection
  // that went silent.
  uint64_t closedStale = 0;
  uint64_t closedIdle = 0;
  uint64_t closedUnresponsive = 0;
};

class Pool
{
public:
  using AcquireCallback =
    std::function<void(std::error_code, std::shared_ptr<Connection>)>;

  Pool(boost::asio::io_context& aContext, PoolLimits aLimits);
  ~Pool();
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  // Hands out an idle connection at once, else opens one within `aTimeout`;
  // `Errc::kUnavailable` when the bound is reached. Nothing of a request is
  // sent here.
  void Acquire(const Endpoint& aServer, Millis aTimeout, AcquireCallback aDone);

  // Gives back a connection after an exchange. It is kept if it can be reused,
  // else closed.
  void Release(const std::shared_ptr<Connection>& aConnection);

  // Closes a connection that did not respond, and the idle ones of the same
  // server that were not heard of since.
  void ReleaseUnresponsive(const std::shared_ptr<Connection>& aConnection);

  // Changes the bound of one server; idle connections above it are closed. 0
  // forgets the server once its connections are closed.
  void SetLimit(const Endpoint& aServer, uint32_t aLimit);

  // Closes all idle connections.
  void CloseIdle();

  size_t Open() const;
  size_t Idle() const;
  const PoolCounters& Counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace limpetwood::http
