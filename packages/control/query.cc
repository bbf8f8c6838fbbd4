#include "control/query.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <map>

namespace limpetwood::control {

namespace {

using nlohmann::json;

// Maximum number of jobs or versions in one answer; the newest are listed.
constexpr size_t kMaxListEntries = 1000;

struct Target
{
  std::string path;
  std::map<std::string, std::string> parameters;
};

Target
ParseTarget(std::string_view aTarget)
{
  Target target;
  size_t queryStart = aTarget.find('?');
  target.path = aTarget.substr(0, queryStart);
  if (queryStart == std::string_view::npos) {
    return target;
  }
  std::string_view remaining = aTarget.substr(queryStart + 1);
  while (!remaining.empty()) {
    size_t end = remaining.find('&');
    std::string_view pair = remaining.substr(0, end);
    size_t equals = pair.find('=');
    if (equals != std::string_view::npos) {
      target.parameters.emplace(pair.substr(0, equals),
                                pair.substr(equals + 1));
    }
    remaining = end == std::string_view::npos ? "" : remaining.substr(end + 1);
  }
  return target;
}

QueryAnswer
Answer(const json& aBody)
{
  return { 200, aBody.dump() + "\n" };
}

QueryAnswer
NotFound(std::string_view aReason)
{
  json body = { { "verdict", "answered" }, { "reason", aReason } };
  return { 404, body.dump() + "\n" };
}

json
DescribeCrashes(const model::CrashHistory& aHistory)
{
  json crashes = json::array();
  for (const model::WorkerCrash& it : aHistory.Crashes()) {
    crashes.push_back({ { "attempt", it.attempt.Value() },
                        { "member", it.member.Value() },
                        { "worker", it.worker.Value() },
                        { "afterStart", it.afterStart },
                        { "alone", it.alone } });
  }
  return crashes;
}

json
Describe(const JobRecord& aJob)
{
  return { { "job", aJob.id.Value() },
           { "workspace", aJob.spec.workspace.Value() },
           { "name", aJob.spec.name },
           { "state", model::JobStateName(aJob.state) },
           { "reason", aJob.reason },
           { "zone", aJob.zone.Value() },
           { "attempt", aJob.attempt.Value() },
           { "members", aJob.spec.members },
           { "accelerators", aJob.spec.TotalAccelerators().Value() },
           { "checkpoint", aJob.checkpoint },
           { "crashes", DescribeCrashes(aJob.crashes) },
           { "cancelRequested", aJob.cancelRequested },
           { "submittedAtMs", aJob.submittedAt.Count() },
           { "startedAtMs", aJob.startedAt.Count() },
           { "endedAtMs", aJob.endedAt.Count() } };
}

QueryAnswer
ListJobs(const Target& aTarget, const JobTable& aJobs)
{
  auto matches = [&aTarget](const char* aName, std::string_view aValue) {
    auto it = aTarget.parameters.find(aName);
    return it == aTarget.parameters.end() || it->second == aValue;
  };
  std::vector<const JobRecord*> found;
  for (const auto& [id, record] : aJobs.All()) {
    if (matches("workspace", record.spec.workspace.Value()) &&
        matches("state", model::JobStateName(record.state))) {
      found.push_back(&record);
    }
  }
  std::sort(found.begin(), found.end(), [](const auto* x, const auto* y) {
    return std::pair(x->submittedAt, x->id) > std::pair(y->submittedAt, y->id);
  });
  json jobs = json::array();
  for (size_t n = 0; n < std::min(found.size(), kMaxListEntries); ++n) {
    jobs.push_back(Describe(*found[n]));
  }
  return Answer({ { "jobs", jobs }, { "total", found.size() } });
}

QueryAnswer
History(const ControlState& aState)
{
  json versions = json::array();
  const auto& history = aState.History();
  for (auto it = history.rbegin();
       it != history.rend() && versions.size() < kMaxListEntries;
       ++it) {
    versions.push_back({ { "version", it->version.Value() },
                         { "hash", it->hash },
                         { "acceptedAtMs", it->acceptedAt.Count() },
                         { "changes", it->changes } });
  }
  return Answer({ { "versions", versions } });
}

json
DescribePlan(const model::GuaranteePlan& aPlan)
{
  json plan = json::array();
  for (const model::PinnedShape& it : aPlan.shapes) {
    plan.push_back(
      { { "workspace", it.workspace.Value() },
        { "accelerators", it.shape.accelerators.Value() },
        { "closeness", model::TopologyScopeName(it.shape.topologyScope) },
        { "zone", it.zone.Value() } });
  }
  return plan;
}

QueryAnswer
Configuration(const ControlState& aState)
{
  const auto& accepted = aState.Configuration();
  if (!accepted) {
    return NotFound("no_configuration");
  }
  return Answer(
    { { "version", accepted->version.Value() },
      { "hash", accepted->hash },
      { "document",
        json::parse(model::WriteDocument(accepted->planned.document)) },
      { "plan", DescribePlan(accepted->planned.plan) } });
}

QueryAnswer
Workspaces(const ControlState& aState)
{
  json workspaces = json::array();
  if (aState.Configuration()) {
    const model::PlannedDocument& planned = aState.Configuration()->planned;
    for (const model::Workspace& it : planned.document.workspaces) {
      uint64_t guaranteed = 0;
      for (const model::PinnedShape& shape : planned.plan.shapes) {
        if (shape.workspace == it.id) {
          guaranteed += shape.shape.accelerators.Value();
        }
      }
      workspaces.push_back({ { "workspace", it.id.Value() },
                             { "guaranteed", guaranteed },
                             { "quota", it.quota.accelerators.Value() },
                             { "activeJobs", aState.Jobs().ActiveJobs(it.id) },
                             { "jobQuota", it.quota.jobs },
                             { "share", it.share } });
    }
  }
  return Answer({ { "workspaces", workspaces } });
}

QueryAnswer
Instances(const QuerySources& aSources, Millis aNow)
{
  std::map<InstanceId, membership::InstanceStatus> known;
  for (const auto& it : aSources.instances.All()) {
    known.emplace(it.instance, it);
  }
  json instances = json::array();
  for (const model::DeclaredInstance& it : aSources.declared) {
    bool alive = aSources.instances.IsAlive(it.id, aNow);
    bool voter =
      std::find(aSources.voters.begin(), aSources.voters.end(), it.id) !=
      aSources.voters.end();
    const membership::InstanceStatus& status = known[it.id];
    const char* role = it.id == aSources.leader ? "leader"
                       : voter                  ? "voter"
                       : it.hasDisk             ? "standby"
                                                : "entry";
    instances.push_back(
      { { "instance", it.id.Value() },
        { "zone", it.zone.Value() },
        { "controlAddress", it.controlAddress },
        { "role", role },
        { "term", aSources.term },
        { "leader", aSources.leader.Value() },
        { "alive", alive },
        { "version", status.version.Value() },
        { "ready", alive && status.ready },
        { "draining", alive && status.draining },
        { "authority", alive && status.authority.has_value() } });
  }
  return Answer({ { "instances", instances } });
}

// Lists the zones of the configuration, and zones that are evacuated although
// the configuration no longer names them.
QueryAnswer
Zones(const ControlState& aState)
{
  std::vector<ZoneId> names;
  if (aState.Configuration()) {
    names = aState.Configuration()->planned.document.zones;
  }
  for (const auto& [zone, evacuation] : aState.EvacuatedZones()) {
    if (std::find(names.begin(), names.end(), zone) == names.end()) {
      names.push_back(zone);
    }
  }
  json zones = json::array();
  for (const ZoneId& it : names) {
    auto orders = aState.Jobs().OrdersFor(it, 0, SIZE_MAX);
    auto active =
      std::count_if(orders.begin(), orders.end(), [](const JobRecord* aJob) {
        return aJob->state != model::JobState::kQueued;
      });
    json zone = { { "zone", it.Value() },
                  { "state", "in_service" },
                  { "remainingRuns", active } };
    auto evacuation = aState.EvacuatedZones().find(it);
    if (evacuation != aState.EvacuatedZones().end()) {
      zone["state"] = "evacuated";
      zone["sinceMs"] = evacuation->second.since.Count();
      zone["by"] = evacuation->second.by;
    }
    zones.push_back(std::move(zone));
  }
  return Answer({ { "zones", zones } });
}

QueryAnswer
Alarms(const QuerySources& aSources)
{
  json alarms = json::array();
  for (const QuerySources::Alarm& it : aSources.alarms) {
    alarms.push_back({ { "reason", it.reason },
                       { "detail", it.detail },
                       { "sinceMs", it.since.Count() } });
  }
  return Answer({ { "alarms", alarms } });
}

} // namespace

QueryAnswer
AnswerQuery(std::string_view aTarget, const QuerySources& aSources, Millis aNow)
{
  constexpr std::string_view kJobPrefix = "/v1/jobs/";
  Target target = ParseTarget(aTarget);
  const std::string& path = target.path;
  if (path == "/v1/jobs") {
    return ListJobs(target, aSources.state.Jobs());
  }
  if (path.starts_with(kJobPrefix)) {
    JobId id(path.substr(kJobPrefix.size()));
    const JobRecord* job = aSources.state.Jobs().Find(id);
    return job != nullptr ? Answer(Describe(*job)) : NotFound("unknown_job");
  }
  if (path == "/v1/configuration") {
    return Configuration(aSources.state);
  }
  if (path == "/v1/configuration/history") {
    return History(aSources.state);
  }
  if (path == "/v1/workspaces") {
    return Workspaces(aSources.state);
  }
  if (path == "/v1/instances") {
    return Instances(aSources, aNow);
  }
  if (path == "/v1/zones") {
    return Zones(aSources.state);
  }
  if (path == "/v1/alarms") {
    return Alarms(aSources);
  }
  return NotFound("unknown_target");
}

} // namespace limpetwood::control
