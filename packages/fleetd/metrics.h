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

// Outside the range of ports for traffic between instances.
constexpr uint16_t kMetricsPort = 9464;

void
AddFamilies(daemon::Families& aFamilies, const RelayCounters& aCounters);

// State, scheduling and membership of a replica.
void
AddFamilies(daemon::Families& aFamilies, const fleet::Node& aNode);

// Requests by outcome, with one counter for each outcome.
void
AddOutcomes(daemon::Families& aFamilies,
            const std::string& aName,
            const std::array<uint64_t, fleet::kRequestOutcomeCount>& aOutcomes);

void
AddHistogram(daemon::Families& aFamilies,
             const std::string& aName,
             const std::string& aHelp,
             const LatencyHistogram& aHistogram);

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
