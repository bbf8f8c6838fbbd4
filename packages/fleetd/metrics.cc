#include "fleetd/metrics.h"

#include <limits>

namespace limpetwood::fleetd {

namespace {

http::ServerLimits
ScrapeServerLimits()
{
  http::ServerLimits limits;
  limits.maxBodyBytes = 0;
  limits.maxConnections = 8;
  return limits;
}

// Adds the counters of the latest term in which this replica led. The metrics'
// help texts call it "this term".
void
AddDispatcherCounters(daemon::Families& aFamilies,
                      const fleet::DispatcherCounters& aCounters)
{
  for (int n = 0; n < fleet::kEndKindCount; ++n) {
    std::string how(fleet::EndKindName(static_cast<fleet::EndKind>(n)));
    daemon::AddCounter(aFamilies,
                       "limpetwood_runs_ended_total",
                       "Runs by how they ended, in this term",
                       static_cast<double>(aCounters.ends[n]),
                       { { "how", how } });
  }
  auto addOrders = [&](const char* aKind, uint64_t aValue) {
    daemon::AddCounter(aFamilies,
                       "limpetwood_orders_total",
                       "Orders to workers by kind, in this term",
                       static_cast<double>(aValue),
                       { { "kind", aKind } });
  };
  addOrders("start", aCounters.starts);
  addOrders("stop", aCounters.stops);
  addOrders("renew", aCounters.renewals);
  for (int n = 0; n < fleet::kOrderRefusalCount; ++n) {
    std::string reason(
      fleet::OrderRefusalName(static_cast<fleet::OrderRefusal>(n)));
    daemon::AddCounter(aFamilies,
                       "limpetwood_starts_refused_total",
                       "Starts that workers refused by reason, in this term",
                       static_cast<double>(aCounters.refusals[n]),
                       { { "reason", reason } });
  }
  auto addStoppedRuns = [&](const char* aReason, uint64_t aValue) {
    daemon::AddCounter(aFamilies,
                       "limpetwood_runs_given_up_total",
                       "Runs that were stopped by reason, in this term",
                       static_cast<double>(aValue),
                       { { "reason", aReason } });
  };
  addStoppedRuns("start_withdrawn", aCounters.startsWithdrawn);
  addStoppedRuns("preempted", aCounters.preemptions);
  addStoppedRuns("stalled", aCounters.stalledRuns);
  addStoppedRuns("lagging", aCounters.laggingRuns);
  addStoppedRuns("worker_departs", aCounters.evictedRuns);
  daemon::AddCounter(aFamilies,
                     "limpetwood_orders_unanswered_total",
                     "Orders without an answer, in this term",
                     static_cast<double>(aCounters.unansweredOrders));
  daemon::AddCounter(aFamilies,
                     "limpetwood_plans_total",
                     "Scheduling passes, in this term",
                     static_cast<double>(aCounters.planningPasses));
  AddHistogram(aFamilies,
               "limpetwood_job_wait_seconds",
               "From a job's acceptance to its first start, in this term",
               aCounters.startDelays);
  AddHistogram(aFamilies,
               "limpetwood_start_answer_seconds",
               "From a start to the worker's answer, in this term",
               aCounters.startResponseTimes);
}

} // namespace

void
AddFamilies(daemon::Families& aFamilies, const RelayCounters& aCounters)
{
  daemon::AddCounter(aFamilies,
                     "limpetwood_relay_calls_total",
                     "Requests handed to the relay",
                     static_cast<double>(aCounters.calls));
  auto addRetries = [&](const char* aReason, uint64_t aValue) {
    daemon::AddCounter(aFamilies,
                       "limpetwood_relay_retries_total",
                       "Attempts that were repeated by reason",
                       static_cast<double>(aValue),
                       { { "reason", aReason } });
  };
  addRetries("not_leader", aCounters.retriesNotLeader);
  addRetries("not_sent", aCounters.retriesNotSent);
  addRetries("no_answer", aCounters.retriesNoAnswer);
  addRetries("leader_moved", aCounters.retriesLeaderChanged);
  auto addWaits = [&](const char* aReason, uint64_t aValue) {
    daemon::AddCounter(aFamilies,
                       "limpetwood_relay_waits_total",
                       "Checks at which a request had to wait, by reason",
                       static_cast<double>(aValue),
                       { { "reason", aReason } });
  };
  addWaits("in_flight_limit", aCounters.waitedForSlot);
  addWaits("retry_budget", aCounters.waitedForBudget);
  daemon::AddCounter(aFamilies,
                     "limpetwood_relay_refused_no_leader_total",
                     "Requests refused because no leader was known",
                     static_cast<double>(aCounters.refusedNoLeader));
  daemon::AddCounter(aFamilies,
                     "limpetwood_relay_leader_changes_total",
                     "Times that another leader was found",
                     static_cast<double>(aCounters.leaderChanges));
}

void
AddFamilies(daemon::Families& aFamilies, const fleet::Node& aNode)
{
  const fleet::NodeCounters& counters = aNode.Counters();
  replication::GroupStatus status = aNode.Status();
  auto addGauge = [&](const char* aName, const char* aHelp, double aValue) {
    daemon::AddGauge(aFamilies, aName, aHelp, aValue);
  };
  addGauge("limpetwood_leading",
           "1 while this replica leads",
           aNode.IsLeading() ? 1 : 0);
  addGauge("limpetwood_term", "Term", static_cast<double>(status.term));
  addGauge("limpetwood_commit_index",
           "Index of the last committed entry",
           static_cast<double>(status.commitIndex));
  addGauge("limpetwood_voters",
           "Voters of the group",
           static_cast<double>(status.membership.voters.size()));
  addGauge("limpetwood_configuration_version",
           "Version of the configuration in force here",
           static_cast<double>(aNode.State().Version().Value()));
  addGauge("limpetwood_live_jobs",
           "Jobs that have not ended or still have runs",
           static_cast<double>(aNode.State().LiveJobs().size()));
  addGauge("limpetwood_workers",
           "Workers that are known",
           static_cast<double>(aNode.State().Workers().size()));
  addGauge("limpetwood_zones_evacuated",
           "Zones in which no run may start",
           static_cast<double>(aNode.State().EvacuatedZones().size()));
  auto addZoneOrders = [&](const char* aOrder, uint64_t aValue) {
    daemon::AddCounter(aFamilies,
                       "limpetwood_zone_orders_total",
                       "Changes of a zone's service while this replica led",
                       static_cast<double>(aValue),
                       { { "order", aOrder } });
  };
  addZoneOrders("evacuate", counters.zonesEvacuated);
  addZoneOrders("restore", counters.zonesRestored);
  auto addJobs = [&](const char* aWhat, uint64_t aValue) {
    daemon::AddCounter(aFamilies,
                       "limpetwood_jobs_total",
                       "Jobs by what became of them while this replica led",
                       static_cast<double>(aValue),
                       { { "what", aWhat } });
  };
  addJobs("accepted", counters.jobsAccepted);
  addJobs("completed", counters.jobsCompleted);
  addJobs("failed", counters.jobsFailed);
  addJobs("cancelled", counters.jobsCancelled);
  AddOutcomes(aFamilies, "limpetwood_leader_requests_total", counters.outcomes);
  daemon::AddCounter(aFamilies,
                     "limpetwood_leaderships_total",
                     "Times that this replica began to lead",
                     static_cast<double>(counters.leaderships));
  daemon::AddCounter(aFamilies,
                     "limpetwood_membership_changes_total",
                     "Changes of the group's membership that were begun",
                     static_cast<double>(counters.membershipChanges));
  daemon::AddCounter(aFamilies,
                     "limpetwood_proposals_total",
                     "Entries that were proposed",
                     static_cast<double>(counters.proposals));
  AddHistogram(aFamilies,
               "limpetwood_commit_seconds",
               "From the proposal of an entry to its outcome",
               counters.commitLatency);
  AddHistogram(aFamilies,
               "limpetwood_decision_seconds",
               "Time of one round of scheduling decisions, without the disk",
               counters.decisionTimes);
  if (const fleet::Dispatcher* dispatcher = aNode.LatestDispatcher()) {
    AddDispatcherCounters(aFamilies, dispatcher->Counters());
    addGauge("limpetwood_blocked_units",
             "Steps that wait for room",
             static_cast<double>(dispatcher->BlockedUnits()));
  }
}

void
AddOutcomes(daemon::Families& aFamilies,
            const std::string& aName,
            const std::array<uint64_t, fleet::kRequestOutcomeCount>& aOutcomes)
{
  for (int n = 0; n < fleet::kRequestOutcomeCount; ++n) {
    std::string outcome(
      fleet::RequestOutcomeName(static_cast<fleet::RequestOutcome>(n)));
    daemon::AddCounter(aFamilies,
                       aName,
                       "Requests by outcome",
                       static_cast<double>(aOutcomes[n]),
                       { { "outcome", outcome } });
  }
}

void
AddHistogram(daemon::Families& aFamilies,
             const std::string& aName,
             const std::string& aHelp,
             const LatencyHistogram& aHistogram)
{
  constexpr double kMillisPerSecond = 1000;
  prometheus::MetricFamily family;
  family.name = aName;
  family.help = aHelp;
  family.type = prometheus::MetricType::Histogram;
  prometheus::ClientMetric metric;
  uint64_t count = 0;
  for (size_t n = 0; n < aHistogram.BucketCounts().size(); ++n) {
    count += aHistogram.BucketCounts()[n];
    double bound =
      n < LatencyHistogram::kBucketBoundsMs.size()
        ? static_cast<double>(LatencyHistogram::kBucketBoundsMs[n]) /
            kMillisPerSecond
        : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back({ count, bound });
  }
  metric.histogram.sample_count = count;
  metric.histogram.sample_sum =
    static_cast<double>(aHistogram.SumMs()) / kMillisPerSecond;
  family.metric.push_back(std::move(metric));
  aFamilies.push_back(std::move(family));
}

MetricsServer::MetricsServer(boost::asio::io_context& aContext,
                             std::function<daemon::Families()> aCollect)
  : mCollect(std::move(aCollect))
  , mServer(aContext,
            ScrapeServerLimits(),
            [this](http::Request aRequest, http::Responder aRespond) {
              http::Response response;
              if (aRequest.target == "/metrics") {
                daemon::MetricRegistry registry;
                registry.Publish("process", mCollect());
                response.headers.Set("Content-Type",
                                     "text/plain; version=0.0.4");
                response.body = registry.Render();
              } else {
                response.status = 404;
              }
              aRespond(std::move(response));
            })
  , mRetryTimer(aContext)
{
}

void
MetricsServer::Listen(const http::Endpoint& aEndpoint,
                      std::function<void(std::error_code)> aOnError)
{
  mEndpoint = aEndpoint;
  mOnError = std::move(aOnError);
  TryToListen();
}

void
MetricsServer::TryToListen()
{
  auto bound = mServer.Listen(mEndpoint);
  if (bound) {
    return;
  }
  mOnError(bound.Error());
  mRetryTimer.expires_after(std::chrono::seconds(1));
  mRetryTimer.async_wait([this](auto ec) {
    if (!ec) {
      TryToListen();
    }
  });
}

} // namespace limpetwood::fleetd
