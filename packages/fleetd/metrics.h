// Metrics of a fleet process in the Prometheus text format.
//
//   MetricsServer server(ioc, [&] {
//     daemon::Families families;
//     AddFamilies(families, relay.Counters());
//     return families;
//   });
//   server.Listen({ address, kMetricsPort }, logError);

#pragma once

#include "base/latency_histogram.h"
#include "daemon/metrics.h"
#include "fleet/node.h"
#include "fleetd/relay.h"
#include "http/server.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <system_error>

namespace limpetwood::fleetd {

// TCP port of the metrics server, outside the range of ports for traffic
// between instances.
constexpr uint16_t kMetricsPort = 9464;

// Adds the relay's counters.
void
AddFamilies(daemon::Families& aFamilies, const RelayCounters& aCounters);

// Adds the replication state, scheduling and membership metrics of a replica.
void
AddFamilies(daemon::Families& aFamilies, const fleet::Node& aNode);

// Adds the counter family `aName` with one value per request outcome, including
// zeros. `aOutcomes` is indexed by `fleet::RequestOutcome`.
void
AddOutcomes(daemon::Families& aFamilies,
            const std::string& aName,
            const std::array<uint64_t, fleet::kRequestOutcomeCount>& aOutcomes);

// Adds a histogram whose bucket bounds are converted from milliseconds to
// seconds.
void
AddHistogram(daemon::Families& aFamilies,
             const std::string& aName,
             const std::string& aHelp,
             const LatencyHistogram& aHistogram);

// Serves `GET /metrics`; `aCollect` is called for each scrape.
class MetricsServer
{
public:
  MetricsServer(boost::asio::io_context& aContext,
                std::function<daemon::Families()> aCollect);

  // Starts listening. Calls `aOnError` if the endpoint cannot be bound and
  // tries again every second, because the process serves without its metrics.
  void Listen(const http::Endpoint& aEndpoint,
              std::function<void(std::error_code)> aOnError);

private:
  void TryToListen();

  std::function<daemon::Families()> mCollect;
  http::Server mServer;
  http::Endpoint mEndpoint;
  std::function<void(std::error_code)> mOnError;
  boost::asio::steady_timer mRetryTimer;
};

} // namespace limpetwood::fleetd
