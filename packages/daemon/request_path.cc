#include "daemon/request_path.h"

#include "base/json.h"
#include "daemon/internal/json_fields.h"
#include "daemon/log.h"
#include "http/endpoint.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood::daemon {

namespace {

using nlohmann::json;

routing::RouterOptions
RouterOptionsFor(const model::Settings& aSettings)
{
  routing::RouterOptions options;
  options.serverTimeToLive = aSettings.timings.serverTtl;
  options.leaseDuration = aSettings.timings.slotLease;
  options.keyLifetime = aSettings.timings.keyLifetime;
  return options;
}

proxy::ProxyOptions
ProxyOptionsFor(const model::Settings& aSettings)
{
  proxy::ProxyOptions options;
  options.server.maxConnections = aSettings.limits.callerConnections;
  options.server.maxBodyBytes = aSettings.limits.requestBodyBytes;
  options.log = LogWarn;
  return options;
}

// Whether all members that an announcement may have are of their type and in
// range, and the address can be connected to.
bool
IsAnnouncement(const json& aBody)
{
  if (!aBody.is_object() ||
      !http::ParseEndpoint(StringField(aBody, "address"))) {
    return false;
  }
  auto isCount = [&](const char* aName) {
    auto it = aBody.find(aName);
    return it == aBody.end() ||
           (it->is_number_unsigned() && it->get<uint64_t>() <= UINT32_MAX);
  };
  auto leaving = aBody.find("leaving");
  return isCount("slots") && isCount("connections") && isCount("busy") &&
         (leaving == aBody.end() || leaving->is_boolean());
}

ApiAnswer
Refuse(int aStatus, std::string_view aReason)
{
  json body = { { "verdict", "not_run" }, { "reason", aReason } };
  return { aStatus, body.dump() + "\n" };
}

int
StatusOf(routing::AnnounceStatus aStatus)
{
  switch (aStatus) {
    case routing::AnnounceStatus::kAccepted:
      return 200;
    case routing::AnnounceStatus::kStaleIncarnation:
      return 409;
    case routing::AnnounceStatus::kUnknownService:
      return 404;
    case routing::AnnounceStatus::kInvalid:
      return 400;
    case routing::AnnounceStatus::kDraining:
      break;
  }
  // On status 503, a backend server announces itself to another instance.
  return 503;
}

} // namespace

RequestPath::RequestPath(boost::asio::io_context& aContext,
                         const model::Settings& aSettings,
                         proxy::SendToPeer aSend)
  : mSettings(aSettings)
  , mProxy(aContext,
           ProxyOptionsFor(aSettings),
           routing::Router(RouterOptionsFor(aSettings),
                           aSettings.instance,
                           aSettings.zone,
                           static_cast<uint64_t>(WallNow().Count())),
           std::move(aSend))
{
}

void
RequestPath::OnConfiguration(ConfigVersion aVersion,
                             const model::Document& aDocument)
{
  routing::RoutingConfig config;
  config.version = aVersion;
  std::map<ServiceId, proxy::BodyLimits> limits;
  for (const model::Service& it : aDocument.services) {
    config.services.push_back(
      { it.id, it.attemptTimeout, it.defaultDeadline, it.queueLimit });
    limits[it.id] = {
      std::min(it.maxRequestBytes, mSettings.limits.requestBodyBytes),
      std::min(it.maxResponseBytes, mSettings.limits.responseBodyBytes)
    };
  }
  for (const model::Workspace& it : aDocument.workspaces) {
    config.workspaces.push_back({ it.id, it.share, it.quota.requests });
  }
  for (const model::DeclaredInstance& it : mSettings.instances) {
    config.instances.push_back({ it.id, it.zone });
  }
  mProxy.Configure(config, std::move(limits));
}

bool
RequestPath::Handles(const ApiCall& aCall) const
{
  return aCall.target.starts_with("/v1/backend-servers");
}

ApiAnswer
RequestPath::OnApiCall(const ApiCall& aCall)
{
  if (aCall.method == "GET") {
    return ListServers();
  }
  return Announce(aCall.body);
}

ApiAnswer
RequestPath::ListServers() const
{
  json servers = json::array();
  for (const routing::ServerView& it :
       mProxy.Router().Servers(MonotonicNow())) {
    const char* state = it.leaving           ? "leaving"
                        : it.ejected         ? "ejected"
                        : it.takeoverPending ? "settling"
                                             : "ready";
    servers.push_back(
      { { "server", it.identity.id.Value() },
        { "service", it.identity.service.Value() },
        { "zone", it.identity.zone.Value() },
        { "address", it.identity.address },
        { "home", mSettings.instance.Value() },
        { "state", state },
        { "slots", it.slots },
        { "busy", it.localAttempts + it.lentSlots + it.unattributedBusy } });
  }
  json body = { { "servers", servers } };
  return { 200, body.dump() + "\n" };
}

ApiAnswer
RequestPath::Announce(std::string_view aBody)
{
  json body = ParseJson(aBody);
  if (!IsAnnouncement(body)) {
    return Refuse(400, "malformed_announcement");
  }
  routing::ServerAnnouncement announcement;
  announcement.server = ServerId(StringField(body, "server"));
  announcement.service = ServiceId(StringField(body, "service"));
  announcement.zone = ZoneId(StringField(body, "zone"));
  announcement.address = StringField(body, "address");
  announcement.incarnation = Incarnation(UnsignedField(body, "incarnation"));
  announcement.slots = Uint32Field(body, "slots");
  announcement.connections = Uint32Field(body, "connections");
  announcement.busy = Uint32Field(body, "busy");
  announcement.leaving = body.value("leaving", false);
  routing::AnnounceResult answer = mProxy.Announce(announcement);
  json reply = { { "status", routing::AnnounceStatusName(answer.status) },
                 { "renewAfterMs", answer.renewAfter.Count() },
                 { "timeToLiveMs", answer.timeToLive.Count() } };
  return { StatusOf(answer.status), reply.dump() + "\n" };
}

void
RequestPath::Drain(std::function<void(uint64_t)> aDone)
{
  mProxy.Drain(mSettings.timings.drainDeadline,
               [done = std::move(aDone)](proxy::DrainResult aResult) {
                 done(aResult.endedEarly);
               });
}

Families
RequestPath::MetricFamilies() const
{
  Families families;
  const routing::RouterCounters& counts = mProxy.Router().Counters();
  auto number = [](uint64_t n) { return static_cast<double>(n); };
  AddCounter(families,
             "limpetwood_requests_admitted_total",
             "Requests that were accepted.",
             number(counts.admitted));
  AddCounter(families,
             "limpetwood_requests_answered_total",
             "Requests that were answered.",
             number(counts.answered));
  AddCounter(families,
             "limpetwood_attempts_total",
             "Attempts sent to backend servers.",
             number(counts.attempts));
  for (size_t n = 1; n < counts.endedByReason.size(); ++n) {
    AddCounter(families,
               "limpetwood_requests_ended_total",
               "Requests that ended without an answer, by reason.",
               number(counts.endedByReason[n]),
               { { "reason",
                   std::string(
                     routing::ReasonName(static_cast<routing::Reason>(n))) } });
  }
  for (size_t n = 0; n < counts.retriesByReason.size(); ++n) {
    AddCounter(families,
               "limpetwood_retries_total",
               "Retries by reason.",
               number(counts.retriesByReason[n]),
               { { "reason",
                   std::string(routing::RetryReasonName(
                     static_cast<routing::RetryReason>(n))) } });
  }
  AddCounter(families,
             "limpetwood_slot_leases_total",
             "Slot leases by kind.",
             number(counts.leasesBorrowed),
             { { "kind", "borrowed" } });
  AddCounter(families,
             "limpetwood_slot_leases_total",
             "Slot leases by kind.",
             number(counts.leasesLent),
             { { "kind", "lent" } });
  AddCounter(families,
             "limpetwood_slot_leases_total",
             "Slot leases by kind.",
             number(counts.leasesExpired),
             { { "kind", "expired" } });
  AddCounter(families,
             "limpetwood_server_ejections_total",
             "Ejections of backend servers.",
             number(counts.ejections));
  AddCounter(families,
             "limpetwood_servers_expired_total",
             "Backend servers that stopped announcing themselves.",
             number(counts.serversExpired));
  const proxy::ProxyCounters& proxied = mProxy.Counters();
  for (const auto& [verdict, n] :
       { std::pair("answered", proxied.answered),
         std::pair("not_run", proxied.notRun),
         std::pair("may_have_run", proxied.mayHaveRun) }) {
    AddCounter(families,
               "limpetwood_request_verdicts_total",
               "Requests by the verdict that the caller was given.",
               number(n),
               { { "verdict", verdict } });
  }
  AddCounter(families,
             "limpetwood_requests_callers_lost_total",
             "Requests whose caller went away before the answer.",
             number(proxied.callerDisconnects));
  AddCounter(families,
             "limpetwood_requests_ended_by_shutdown_total",
             "Requests ended by a shutdown that was cut short.",
             number(proxied.endedByShutdown));
  const http::PoolCounters& pool = mProxy.PoolCounters();
  for (const auto& [reason, n] :
       { std::pair("stale", pool.closedStale),
         std::pair("idle", pool.closedIdle),
         std::pair("silent", pool.closedUnresponsive) }) {
    AddCounter(families,
               "limpetwood_server_connections_closed_total",
               "Connections to backend servers that were closed, by reason.",
               number(n),
               { { "reason", reason } });
  }
  const http::ServerCounters& server = mProxy.ServerCounters();
  for (const auto& [reason, n] :
       { std::pair("connections", server.refusedConnections),
         std::pair("malformed", server.malformed),
         std::pair("oversized", server.oversized),
         std::pair("timed_out", server.timedOut) }) {
    AddCounter(families,
               "limpetwood_caller_refusals_total",
               "Bad or excessive input on the caller port, by reason.",
               number(n),
               { { "reason", reason } });
  }
  return families;
}

} // namespace limpetwood::daemon
