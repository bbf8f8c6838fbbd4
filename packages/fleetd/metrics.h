// Metrics of a fleet process in the Prometheus text format.
//
//   MetricsServer server(ioc, [&] { return FamiliesOf(relay.Counters()); });
//   server.Listen({ address, kMetricsPort });

#pragma once

#include "base/latency_histogram.h"
#include "daemon/metrics.h"
#include "fleet/node.h"
#include "fleetd/relay.h"
#include "http/server.h"

#include <functional>
#include <string>

namespace limpetwood::fleetd {

// TCP port of the metrics server, outside the range of ports for traffic
// between instances.
constexpr uint16_t kMetricsPort = 9464;

void
AddFamilies(daemon::Families& aFamilies, const RelayCounters& aCounters);

// Adds the replication state, scheduling and membership metrics of a replica.
void
AddFamilies(daemon::Families& aFamilies, const fleet::Node& aNode);

// Adds one counter per request outcome, also for outcomes that did not occur.
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

  std::error_code Listen(const http::Endpoint& aEndpoint);

private:
  std::function<daemon::Families()> mCollect;
  http::Server mServer;
};

} // namespace limpetwood::fleetd
