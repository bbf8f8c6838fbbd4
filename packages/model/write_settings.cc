// Canonical JSON of settings.

#include "model/settings.h"

#include <nlohmann/json.hpp>

namespace limpetwood::model {

namespace {

using Json = nlohmann::json;

Json
WriteInstance(const DeclaredInstance& aInstance)
{
  return { { "id", aInstance.id.Value() },
           { "zone", aInstance.zone.Value() },
           { "peerAddress", aInstance.peerAddress },
           { "controlAddress", aInstance.controlAddress },
           { "hasDisk", aInstance.hasDisk } };
}

Json
WriteLimits(const LimitSettings& aLimits)
{
  return { { "callerConnections", aLimits.callerConnections },
           { "controlConnections", aLimits.controlConnections },
           { "connectionsPerServer", aLimits.connectionsPerServer },
           { "requestBodyBytes", aLimits.requestBodyBytes },
           { "responseBodyBytes", aLimits.responseBodyBytes },
           { "controlBodyBytes", aLimits.controlBodyBytes },
           { "queuedRequests", aLimits.queuedRequests },
           { "bufferedBytes", aLimits.bufferedBytes } };
}

Json
WriteTimings(const TimingSettings& aTimings)
{
  return { { "authorityLeaseMs", aTimings.authorityLease.Count() },
           { "authorityRenewMs", aTimings.authorityRenew.Count() },
           { "workerLeaseMs", aTimings.workerLease.Count() },
           { "workerRenewMs", aTimings.workerRenew.Count() },
           { "slotLeaseMs", aTimings.slotLease.Count() },
           { "serverTtlMs", aTimings.serverTtl.Count() },
           { "electionMinMs", aTimings.electionMin.Count() },
           { "electionMaxMs", aTimings.electionMax.Count() },
           { "zoneAutonomyMs", aTimings.zoneAutonomy.Count() },
           { "drainDeadlineMs", aTimings.drainDeadline.Count() },
           { "repairAfterMs", aTimings.repairAfter.Count() },
           { "keyLifetimeMs", aTimings.keyLifetime.Count() } };
}

} // namespace

std::string
WriteSettings(const Settings& aSettings)
{
  Json instances = Json::array();
  for (const DeclaredInstance& it : aSettings.instances) {
    instances.push_back(WriteInstance(it));
  }
  Json voters = Json::array();
  for (const InstanceId& it : aSettings.voters) {
    voters.push_back(it.Value());
  }
  Json json{
    { "instance", aSettings.instance.Value() },
    { "zone", aSettings.zone.Value() },
    { "callerAddress", aSettings.callerAddress },
    { "controlAddress", aSettings.controlAddress },
    { "peerAddress", aSettings.peerAddress },
    { "instances", instances },
    { "voters", voters },
    { "log", { { "level", LogLevelName(aSettings.log.level) } } },
    { "limits", WriteLimits(aSettings.limits) },
    { "timings", WriteTimings(aSettings.timings) },
  };
  if (aSettings.dataFolder) {
    json["dataFolder"] = *aSettings.dataFolder;
  }
  if (aSettings.log.file) {
    json["log"]["file"] = *aSettings.log.file;
  }
  return json.dump();
}

} // namespace limpetwood::model
