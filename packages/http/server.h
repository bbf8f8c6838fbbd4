// HTTP/1.1 server that delivers whole messages, with limits on all resources
// that a peer can occupy. `StreamServer` delivers bodies in parts.
//
//   Server server(ioc, limits, [](Request aRequest, Responder aRespond) {
//     aRespond(Response{ .status = 204 });
//   });
//   Result<Endpoint> bound = server.Listen({ "127.0.0.1", 0 });
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "base/result.h"
#include "base/time.h"
#include "http/endpoint.h"
#include "http/message.h"
#include "http/stream_server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace limpetwood::http {

// Sends the response to one request; later calls are ignored. May outlive the
// connection. Destroying all copies without a response resets the connection.
using Responder = std::function<void(Response)>;

using Handler = std::function<void(Request, Responder)>;

class Server
{
public:
  Server(boost::asio::io_context& aContext,
         ServerLimits aLimits,
         Handler aHandler);

  // Binds and starts to accept; returns the bound endpoint. Fails with the
  // system error if the address is invalid or cannot be bound.
  Result<Endpoint> Listen(const Endpoint& aEndpoint);

  // Stops accepting, serves the requests that have arrived or arrive within
  // `drainGrace`, and calls `aDone` when no connection is left.
  void Drain(std::function<void()> aDone);

  // Closes all connections at once, without completing requests in progress.
  void Close();

  const ServerLimits& Limits() const { return mServer.Limits(); }
  // `maxConnections` applies to the next connection, and the read and write
  // timeouts to the next read and write of each connection. The size limits and
  // the idle timeout apply to the next message that each connection starts to
  // wait for.
  void SetLimits(const ServerLimits& aLimits) { mServer.SetLimits(aLimits); }

  // Number of requests whose head has been received and whose response is not
  // complete.
  size_t InFlight() const;

  const ServerCounters& Counters() const;
  void SetUnansweredCallback(UnansweredCallback aCallback)
  {
    mServer.SetUnansweredCallback(std::move(aCallback));
  }
  // Number of requests whose handler failed with an exception. They are
  // answered with status 500 and the verdict "may_have_run".
  uint64_t Failures() const { return mState->failures; }
  // Sets the function that is called with the text of each such exception.
  void SetFailureCallback(std::function<void(std::string_view)> aCallback);

private:
  struct State
  {
    uint64_t failures = 0;
    std::function<void(std::string_view)> failureCallback;
    std::function<void(std::string_view)> onFailure;
  };

  std::shared_ptr<State> mState;
  StreamServer mServer;
};

} // namespace limpetwood::http
