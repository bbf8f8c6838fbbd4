// The request path of an instance: proxies callers' requests to backend
// servers, accepts the servers' announcements and handles routing messages of
// other instances. Runs on the I/O thread.

#pragma once

#include "daemon/instance_core.h"
#include "daemon/metrics.h"
#include "model/settings.h"
#include "proxy/proxy.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace limpetwood::daemon {

class RequestPath
{
public:
  // `aSettings` must outlive the object.
  RequestPath(boost::asio::io_context& aContext,
              const model::Settings& aSettings,
              proxy::SendToPeer aSend);

  Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint)
  {
    return mProxy.Listen(aEndpoint);
  }

  // Handles a message of the routing channel.
  void OnPeerMessage(const InstanceId& aFrom, std::string_view aBytes)
  {
    mProxy.OnPeerMessage(aFrom, aBytes);
  }

  // Brings the services, workspaces and body limits of a configuration into
  // force.
  void OnConfiguration(ConfigVersion aVersion,
                       const model::Document& aDocument);

  void OnEvacuatedZones(uint64_t aIndex, const std::set<ZoneId>& aZones)
  {
    mProxy.SetEvacuatedZones({ aIndex, aZones });
  }

  // Returns true for calls of the control API that `OnApiCall` answers.
  bool Handles(const ApiCall& aCall) const;
  // GET lists the backend servers; any other method announces one.
  ApiAnswer OnApiCall(const ApiCall& aCall);

  // Stops accepting requests. `aDone` runs when all accepted ones have ended,
  // with the number of requests that were ended at the drain deadline.
  void Drain(std::function<void(uint64_t)> aDone);
  // Ends all requests in progress and sends each caller a verdict.
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
