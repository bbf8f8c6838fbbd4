// Pool of persistent connections to servers.
//
// A connection is reused only after a complete exchange and a check that the
// peer has neither closed it nor sent unsolicited bytes, so that no bytes of
// one exchange are read as part of the next. When a connection stops
// responding, the idle connections to the same server that have received
// nothing since are closed as well, because a middlebox that lost the state of
// one connection has usually lost that of the others.
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/result.h"
#include "http/connection.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string_view>

namespace limpetwood::http {

struct PoolLimits
{
  // Maximum open connections to one server without a limit of its own from
  // `SetLimit`.
  uint32_t maxConnections = 60;
  // Maximum open connections to all servers. At the limit, the connection that
  // has been idle longest is closed for a new one.
  size_t maxTotalConnections = std::numeric_limits<size_t>::max();
  // Shorter than common idle timeouts of servers (60 s and more), so that a
  // server rarely closes a connection while a request is being sent.
  Millis idleTimeout = Seconds(20);
  Millis connectTimeout = Seconds(1);
  ConnectionLimits connection{};

  // Disables individual safeguards, so that tests can verify that their checks
  // detect the resulting failures.
  struct TestOnly
  {
    bool skipLivenessCheck = false;
    // `Release` keeps connections that are not `Reusable`.
    bool reuseIncompleteConnections = false;
    // `ReleaseUnresponsive` closes no idle connections.
    bool keepIdleAfterTimeout = false;
  };
  TestOnly testOnly{};
};

struct PoolCounters
{
  uint64_t opened = 0;
  uint64_t reused = 0;
  uint64_t connectFailed = 0;
  // Acquisitions that failed because a connection limit was reached.
  uint64_t refused = 0;
  // Idle connections closed because the peer had closed them or sent
  // unsolicited bytes.
  uint64_t closedStale = 0;
  // Idle connections closed because of the idle timeout, a lower limit or
  // `CloseIdle`.
  uint64_t closedIdle = 0;
  // Idle connections closed because they lead to another process than the
  // request was meant for.
  uint64_t closedOtherPeer = 0;
  // Idle connections closed because a request on another connection to the same
  // server got no response or failed.
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

  // Returns an idle connection at once, or opens one within `aTimeout`. Fails
  // with `Errc::kUnavailable` when the limit is reached; a failed connect gives
  // `Errc::kTimeout` or the system error. Sends no part of a request.
  //
  // `aDone` is called before `Acquire` returns if an idle connection is
  // available or the limit is reached.
  //
  // If `aVerifiedPeer` is not empty, idle connections with another
  // `VerifiedPeer` are closed instead of returned. A new connection has none.
  void Acquire(const Endpoint& aServer,
               Millis aTimeout,
               AcquireCallback aDone,
               std::string_view aVerifiedPeer = {});

  // Returns a connection after an exchange. It is kept if it can be reused and
  // the limit allows it, and closed otherwise.
  void Release(const std::shared_ptr<Connection>& aConnection);

  // Closes a connection that did not respond or on which a request failed, and
  // the idle connections to the same server that have received nothing since
  // its last exchange began.
  void ReleaseUnresponsive(const std::shared_ptr<Connection>& aConnection);

  // Sets the connection limit of one server and closes idle connections above
  // it. With a limit of 0 the server is removed once its connections are
  // closed.
  void SetLimit(const Endpoint& aServer, uint32_t aLimit);

  // Closes all idle connections.
  void CloseIdle();

  // Connections in use, being opened and idle, to all servers.
  size_t Open() const;
  // Idle connections to all servers.
  size_t Idle() const;
  const PoolCounters& Counters() const;

private:
  struct Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace limpetwood::http
