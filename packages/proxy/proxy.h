// The I/O layer of the request path.
//
// Takes callers' requests under "/svc/{service}/...", asks the router what to
// do, forwards them over pooled connections and returns the answers with their
// verdicts. Bodies pass in parts, so memory for a request is bounded and a slow
// reader slows the backend server down.
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

// Sends bytes to the routing part of another instance; they may get lost.
using SendToPeer =
  std::function<void(const InstanceId& aTo, std::string aBytes)>;

struct DrainResult
{
  // Requests that had been accepted when draining began, and how many of them
  // the deadline or the operator ended.
  uint64_t accepted = 0;
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

  // Binds the caller port.
  Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint);

  // Services without an entry in `aLimits` get the default limits.
  void Configure(const routing::RoutingConfig& aConfig,
                 std::map<ServiceId, BodyLimits> aLimits);

  // From a backend server whose home is this instance. The effects in the
  // answer have been carried out.
  routing::AnnounceResult Announce(
    const routing::ServerAnnouncement& aAnnouncement);

  void OnPeerMessage(const InstanceId& aFrom, std::string_view aBytes);

  // False once draining: readiness is off.
  bool Accepting() const;

  // Refuses new requests as not run, finishes the accepted ones, closes the
  // caller port and then calls `aDone`. What is left after `aGrace` ends with
  // a verdict.
  void Drain(Millis aGrace, std::function<void(DrainResult)> aDone);

  // Operator's decision: ends the remaining requests with a verdict.
  void EndAllRequests();

  // Closes everything at once.
  void Close();

  // Requests whose callers do not have a complete answer yet.
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
