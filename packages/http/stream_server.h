// HTTP/1.1 server with streamed bodies, so that bodies of any size need a
// bounded amount of memory and a slow peer applies backpressure to the other
// side.
//
//   StreamServer server(ioc, limits, [](std::shared_ptr<Exchange> aExchange) {
//     aExchange->Respond({ .status = 204 }, {}, true, [](std::error_code) {});
//   });
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/endpoint.h"
#include "http/stream.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace limpetwood::http {

struct ServerLimits
{
  uint32_t maxHeaderBytes = 16U << 10U;
  uint64_t maxBodyBytes = 16U << 20U;
  // Further connections are closed at once, without a response.
  uint32_t maxConnections = 4096;
  // Maximum time from the first byte of a request to the end of its head, and
  // for each part of its body.
  Millis readTimeout = Seconds(30);
  // Maximum time without a request, before the first one on a connection and
  // between two.
  Millis idleTimeout = Seconds(60);
  // Maximum time to write one part of a response; closes connections whose peer
  // has stopped reading.
  Millis writeTimeout = Seconds(30);
  // How long idle connections stay open after `Drain`. A request that was on
  // its way when the server began to drain is served; its connection is closed
  // after the response.
  Millis drainGrace = Millis(200);
};

// Why a connection closed before the response to its request was complete.
enum class UnansweredReason
{
  // The peer closed the connection, or it broke.
  kPeerClosed,
  // The peer did not take the response in time.
  kTimedOut,
  // The handler dropped the exchange.
  kAbandoned,
  // `Close` was called.
  kServerClosed,
};

inline constexpr int kUnansweredReasonCount = 4;

std::string_view
UnansweredReasonName(UnansweredReason aReason);

// A request that was received completely and got no complete response.
struct UnansweredRequest
{
  UnansweredReason reason{};
  // Time since its head was received.
  Millis age{};
  bool responseStarted = false;
  bool draining = false;
};

using UnansweredCallback = std::function<void(const UnansweredRequest&)>;

// Connections and requests, and those that the limits rejected, for metrics.
struct ServerCounters
{
  // Connections accepted.
  uint64_t accepted = 0;
  // Connections closed at once because `maxConnections` was reached.
  uint64_t refusedConnections = 0;
  // Failed attempts to accept a connection, as when the process has no file
  // descriptor left.
  uint64_t acceptFailed = 0;
  // Requests with invalid syntax.
  uint64_t malformed = 0;
  // Requests above a header or body limit.
  uint64_t oversized = 0;
  // Connections closed by a read, write or idle timeout, or while the rest of
  // their input was being discarded.
  uint64_t timedOut = 0;
  // Requests whose head was received.
  uint64_t requests = 0;
  // Complete requests without a complete response, by reason.
  std::array<uint64_t, kUnansweredReasonCount> unanswered{};
};

class Session;

// One request and its response. Destroying it before the last part of the
// response has been passed to `Respond` or `WriteBody` resets the connection.
//
// After the connection is lost, reads and writes complete with an error.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<Session> aSession,
           RequestHead aHead,
           Millis aArrivedAfter);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const RequestHead& Head() const { return mHead; }
  RequestHead& Head() { return mHead; }
  // A time at which no byte of the request had arrived; see
  // `Request::arrivedAfter`.
  Millis ArrivedAfter() const { return mArrivedAfter; }

  // Reads the next part of the request body. One read at a time. Errors:
  // `Errc::kTooLarge` if the body exceeds its limit, `Errc::kCorrupt` if it is
  // malformed, `Errc::kTruncated` if the peer has shut down its sending side,
  // `Errc::kUnavailable` if the connection is lost or the read timed out.
  void ReadBody(BodyCallback aDone);

  // Sends the head and the first part of the body. `aPart` must stay valid
  // until `aDone` is called. If the request body has not been read to its end
  // when the response starts, the connection is closed after the response.
  void Respond(const ResponseHead& aHead,
               std::string_view aPart,
               bool aLast,
               WriteCallback aDone);

  // Sends the next part. One write at a time. The total must match the length
  // in the head.
  void WriteBody(std::string_view aPart, bool aLast, WriteCallback aDone);

  // Resets the connection, so that the peer cannot mistake a partial response
  // for a complete one.
  void Abort();

  // Calls `aDone` at most once, when the connection is lost before the response
  // is complete. Precondition: no read is in progress.
  //
  // A peer that has shut down its sending side may still read the response or
  // may have closed the connection. It is sent an interim response (102), to
  // which a closed peer replies with a TCP reset.
  //
  // `aDone` is not called if the connection is already lost. Only writes detect
  // the loss of an HTTP/1.0 peer that has shut down its sending side, of any
  // peer that does so after the response has started, and of a peer that has
  // sent a pipelined request.
  void WatchPeer(std::function<void()> aDone);

  // Whether the peer has shut down its sending side, or the connection is lost.
  // False if the peer has sent a pipelined request before.
  bool PeerStoppedSending() const;

  bool ResponseStarted() const { return mResponseStarted; }

private:
  friend class Session;

  std::shared_ptr<Session> mSession;
  RequestHead mHead;
  Millis mArrivedAfter;
  bool mResponseStarted = false;
};

using StreamHandler = std::function<void(std::shared_ptr<Exchange>)>;

struct StreamServerImpl;

class StreamServer
{
public:
  StreamServer(boost::asio::io_context& aContext,
               ServerLimits aLimits,
               StreamHandler aHandler);
  ~StreamServer();
  StreamServer(const StreamServer&) = delete;
  StreamServer& operator=(const StreamServer&) = delete;

  // Binds and starts to accept; returns the bound endpoint. Fails with the
  // system error if the address is invalid or cannot be bound.
  Result<Endpoint> Listen(const Endpoint& aEndpoint);

  // Stops accepting, serves the requests that have arrived or arrive within
  // `drainGrace`, and calls `aDone` when no connection is left.
  void Drain(std::function<void()> aDone);

  // Closes all connections at once, without completing requests in progress.
  void Close();

  const ServerLimits& Limits() const;
  // `maxConnections` applies to the next connection, and the read and write
  // timeouts to the next read and write of each connection. The size limits and
  // the idle timeout apply to the next message that each connection starts to
  // wait for.
  void SetLimits(const ServerLimits& aLimits);

  // Number of requests whose head has been received and whose response is not
  // complete.
  size_t InFlight() const;

  // Number of open connections.
  size_t Connections() const;

  const ServerCounters& Counters() const;
  // Sets the function that is called for each request that is counted in
  // `ServerCounters::unanswered`. It must not destroy the server.
  void SetUnansweredCallback(UnansweredCallback aCallback);

private:
  std::shared_ptr<StreamServerImpl> mImpl;
};

} // namespace limpetwood::http
