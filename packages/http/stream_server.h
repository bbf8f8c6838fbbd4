// HTTP/1.1 server that passes bodies on in parts, so that bodies of any size
// cost a bounded amount of memory and a slow peer slows the other side down.
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

#include <cstdint>
#include <functional>
#include <memory>

namespace limpetwood::http {

struct ServerLimits
{
  uint32_t maxHeaderBytes = 16U << 10U;
  uint64_t maxBodyBytes = 16U << 20U;
  uint32_t maxConnections = 4096;
  // From the first byte of a request to the end of its head, and for each
  // further part of its body.
  Millis readTimeout = Seconds(30);
  // Between two requests of one connection.
  Millis idleTimeout = Seconds(60);
  // For writing one part of a response; ends connections that stopped reading.
  Millis writeTimeout = Seconds(30);
};

// Counts of what the limits refused, for metrics.
struct ServerCounters
{
  uint64_t accepted = 0;
  uint64_t refusedConnections = 0;
  uint64_t malformed = 0;
  uint64_t oversized = 0;
  uint64_t timedOut = 0;
  uint64_t requests = 0;
};

class Session;

// One request and its response. Dropping it without a complete response
// aborts the connection.
//
// After the connection is lost, reads and writes end with an error.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<Session> aSession, RequestHead aHead);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  const RequestHead& Head() const { return mHead; }
  RequestHead& Head() { return mHead; }

  // Reads the next part of the request body. One read at a time.
  void ReadBody(BodyCallback aDone);

  // Sends the head and the first part. The part must stay valid until `aDone`.
  // A body that is not read to its end, as well as a response before it, makes
  // the connection close after the response.
  void Respond(const ResponseHead& aHead,
               std::string_view aPart,
               bool aLast,
               WriteCallback aDone);

  // One write at a time. The total must match the length in the head.
  void WriteBody(std::string_view aPart, bool aLast, WriteCallback aDone);

  // Resets the connection, so that the peer cannot take what it has received
  // for a complete answer.
  void Abort();

  // Calls `aDone` at most once, when the connection is lost before the response
  // is complete. Only while no read is in progress.
  //
  // A peer that has closed its sending side may still read or may be gone. It
  // is sent an interim response (102), which a peer that is gone answers with a
  // reset.
  void WatchPeer(std::function<void()> aDone);

  bool ResponseStarted() const { return mResponseStarted; }

private:
  friend class Session;

  std::shared_ptr<Session> mSession;
  RequestHead mHead;
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

  // Binds and starts to accept; returns the bound endpoint.
  Result<Endpoint> Listen(const Endpoint& aEndpoint);

  // Stops accepting, closes idle connections, lets requests in progress finish
  // and calls `aDone` when no connection is left.
  void Drain(std::function<void()> aDone);

  // Closes everything at once.
  void Close();

  const ServerLimits& Limits() const;
  // For messages that a connection begins to wait for from now on.
  void SetLimits(const ServerLimits& aLimits);

  // Requests handed to the handler that have no complete response yet.
  size_t InFlight() const;

  size_t Connections() const;

  const ServerCounters& Counters() const;

private:
  std::shared_ptr<StreamServerImpl> mImpl;
};

} // namespace limpetwood::http
