// The request path of an instance: callers' requests, announcements of backend
// servers and the routing messages of other instances. Runs on the I/O thread.

#pragma once

#include "daemon/instance_core.h"
#include "daemon/metrics.h"
#include "model/settings.h"
#include "proxy/proxy.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace limpetwood::daemon {

class RequestPath
{
public:
  RequestPath(boost::asio::io_context& aContext,
              const model::Settings& aSettings,
              proxy::SendToPeer aSend);

  Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint)
  {
    return mProxy.Listen(aEndpoint);
  }

  void OnPeerMessage(const InstanceId& aFrom, std::string_view aBytes)
  {
    mProxy.OnPeerMessage(aFrom, aBytes);
  }

  void OnConfiguration(ConfigVersion aVersion,
                       const model::Document& aDocument);

  // Calls of the control API that are answered here.
  bool Handles(const ApiCall& aCall) const;
  ApiAnswer OnApiCall(const ApiCall& aCall);

  // Accepts no new request; `aDone` runs when all accepted ones have ended,
  // with the number that the deadline cut short.
  void Drain(std::function<void(uint64_t)> aDone);
  // Ends the remaining requests with a verdict.
  void EndAllRequests() { mProxy.EndAllRequests(); }
  void Close() { mProxy.Close(); }

  size_t InFlight() const { return mProxy.InFlight(); }
  Families MetricFamilies() const;

private:
  ApiAnswer ListServers() const;
  ApiAnswer Announce(std::string_view aBody);

  const model::Settings& mSettings;
  proxy::Proxy mProxy;
};

} // namespace limpetwood::daemon
