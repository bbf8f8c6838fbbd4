// Reverse proxy between callers and backend servers; the I/O layer of the
// request path.
//
// Accepts requests under "/svc/{service}/...", asks the router for a backend
// server, forwards each request over a pooled connection and returns the
// response with a verdict header. Bodies are streamed in parts, so memory for
// each request is bounded, and a slow caller applies backpressure to the
// backend server.
//
//   Proxy proxy(ioc, options, Router(...), sendToPeer);
//   proxy.Configure(config, limits);
//   proxy.Listen({ "0.0.0.0", 8080 });
//   ... proxy.Announce(announcement); proxy.OnPeerMessage(from, bytes);
//   proxy.Drain(Seconds(30), [](DrainResult) { exit });
//
// All calls and callbacks happen on the thread that runs the io_context.

#pragma once

#include "proxy/options.h"
#include "routing/router.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace limpetwood::proxy {

// Sends a message to the router of another instance. Delivery is best effort.
using SendToPeer =
  std::function<void(const InstanceId& aTo, std::string aBytes)>;

struct DrainResult
{
  // Requests in progress when draining began.
  uint64_t accepted = 0;
  // Requests ended by the drain deadline or by the operator.
  uint64_t endedEarly = 0;
};

class Proxy
{
public:
  Proxy(boost::asio::io_context& aContext,
        ProxyOptions aOptions,
        routing::Router aRouter,
        SendToPeer aSend);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Binds the port for callers and starts to accept; returns the bound
  // endpoint. Fails with the system error if the address is invalid or cannot
  // be bound.
  Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint);

  // See `routing::Router::SetEvacuatedZones`.
  void SetEvacuatedZones(const routing::EvacuatedZones& aEvacuated);

  // Services without an entry in `aLimits` get the default limits.
  void Configure(const routing::RoutingConfig& aConfig,
                 std::map<ServiceId, BodyLimits> aLimits);

  // Registers or renews a backend server whose home is this instance. The
  // router's effects have been applied and are left out of the result.
  routing::AnnounceResult Announce(
    const routing::ServerAnnouncement& aAnnouncement);

  // Handles a message from the router of another instance. A message that
  // cannot be decoded is counted and dropped.
  void OnPeerMessage(const InstanceId& aFrom, std::string_view aBytes);

  // False once draining has begun; the instance then reports not ready.
  bool Accepting() const;

  // Refuses new requests with the verdict `kNotRun`, lets accepted requests
  // finish, closes the port for callers and then calls `aDone`. Requests that
  // are still in progress after `aGrace` are ended with a verdict.
  void Drain(Millis aGrace, std::function<void(DrainResult)> aDone);

  // Ends all requests in progress at once, with a verdict. For operators.
  void EndAllRequests();

  // Closes all connections at once, without responses to callers.
  void Close();

  // Number of requests whose callers have not received a complete response.
  size_t InFlight() const;

  const ProxyCounters& Counters() const;
  const http::ServerCounters& ServerCounters() const;
  const http::PoolCounters& PoolCounters() const;
  const routing::Router& Router() const;

private:
  class Impl;
  std::shared_ptr<Impl> mImpl;
};

} // namespace limpetwood::proxy
