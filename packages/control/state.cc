#include "control/state.h"

#include "model/changes.h"
#include "model/delta.h"

#include <algorithm>

namespace limpetwood::control {

namespace {

gen::CommandResult
Rejected(std::string aReason)
{
  gen::CommandResult result;
  result.accepted = false;
  result.reason = std::move(aReason);
  return result;
}

JobEvent
FromWire(const gen::JobEvent& aEvent)
{
  JobEvent event;
  event.job = JobId(aEvent.job);
  event.attempt = Attempt(static_cast<uint32_t>(aEvent.attempt));
  event.kind = static_cast<JobEventKind>(aEvent.kind);
  event.reason = aEvent.reason;
  event.checkpoint = aEvent.checkpoint;
  event.at = Millis(aEvent.atMs);
  if (aEvent.__isset.crash) {
    event.crash = control::FromWire(aEvent.crash);
  }
  return event;
}

} // namespace

std::string
ControlState::Apply(uint64_t aIndex, std::string_view aCommand)
{
  Result<gen::Command> decoded = Decode<gen::Command>(aCommand);
  if (!decoded) {
    return Encode(Rejected("undecodable_command"));
  }
  const gen::Command& command = decoded.Value();
  gen::CommandResult result;
  if (command.__isset.submitConfiguration) {
    result = SubmitConfiguration(command.submitConfiguration);
  } else if (command.__isset.submitJob) {
    result = SubmitJob(command.submitJob);
  } else if (command.__isset.cancelJobs) {
    result = CancelJobs(command.cancelJobs, aIndex);
  } else if (command.__isset.assignJobs) {
    result = AssignJobs(command.assignJobs, aIndex);
  } else if (command.__isset.jobEvents) {
    result = ApplyEvents(command.jobEvents, aIndex);
  } else if (command.__isset.fenceZone) {
    result = FenceZone(command.fenceZone);
  } else if (command.__isset.evacuateZone) {
    result = ApplyZoneOrder(command.evacuateZone, true, aIndex);
  } else if (command.__isset.restoreZone) {
    result = ApplyZoneOrder(command.restoreZone, false, aIndex);
  } else {
    result = Rejected("unknown_command");
  }
  return Encode(result);
}

gen::CommandResult
ControlState::SubmitConfiguration(const gen::SubmitConfiguration& aCommand)
{
  std::string key =
    aCommand.key.empty() ? std::string() : "configuration/" + aCommand.key;
  if (auto it = mResultsByKey.find(key);
      !key.empty() && it != mResultsByKey.end()) {
    gen::CommandResult repeated = it->second;
    repeated.repeated = true;
    return repeated;
  }
  ConfigVersion base(static_cast<uint64_t>(aCommand.baseVersion));
  if (base != Version()) {
    gen::CommandResult conflict = Rejected("version_conflict");
    conflict.version = static_cast<int64_t>(Version().Value());
    conflict.changes = ChangesSince(base);
    return conflict;
  }
  const model::GuaranteePlan* earlier =
    mConfiguration ? &mConfiguration->planned.plan : nullptr;
  auto parsed = model::ParseDocument(aCommand.document, earlier);
  if (!parsed.Ok()) {
    return Rejected("invalid_document");
  }

  AcceptedConfiguration next;
  next.version = Version().Next();
  next.planned = std::move(parsed.value);
  next.text = model::WritePlannedDocument(next.planned);
  next.hash = model::FormatHash(model::ConfigurationHash(next.planned));

  static const model::PlannedDocument sEmptyDocument;
  const model::PlannedDocument& before =
    mConfiguration ? mConfiguration->planned : sEmptyDocument;
  AcceptedVersion entry;
  entry.version = next.version;
  entry.hash = next.hash;
  entry.acceptedAt = Millis(aCommand.acceptedAtMs);
  entry.changes = model::ChangedPaths(before.document, next.planned.document);
  entry.delta = model::EncodeDelta(before, next.planned);
  mHistory.push_back(std::move(entry));
  if (mHistory.size() > kMaxHistoryVersions) {
    mHistory.pop_front();
  }
  if (mHistory.size() > kMaxDeltas) {
    mHistory[mHistory.size() - 1 - kMaxDeltas].delta.clear();
  }
  mConfiguration = std::move(next);

  gen::CommandResult result;
  result.accepted = true;
  result.version = static_cast<int64_t>(Version().Value());
  result.hash = mConfiguration->hash;
  StoreResult(key, result);
  return result;
}

std::vector<std::string>
ControlState::ChangesSince(ConfigVersion aBase) const
{
  std::vector<std::string> changes;
  for (const AcceptedVersion& it : mHistory) {
    if (it.version <= aBase) {
      continue;
    }
    for (const std::string& path : it.changes) {
      if (std::find(changes.begin(), changes.end(), path) == changes.end()) {
        changes.push_back(path);
      }
    }
  }
  return changes;
}

std::optional<std::vector<std::string>>
ControlState::DeltasSince(ConfigVersion aFrom) const
{
  std::vector<std::string> deltas;
  for (const AcceptedVersion& it : mHistory) {
    if (it.version <= aFrom) {
      continue;
    }
    if (it.delta.empty() ||
        it.version.Value() != aFrom.Value() + deltas.size() + 1) {
      return std::nullopt;
    }
    deltas.push_back(it.delta);
  }
  return deltas;
}

gen::CommandResult
ControlState::SubmitJob(const gen::SubmitJob& aCommand)
{
  auto spec = model::ParseJobSpec(aCommand.spec);
  if (!spec.Ok()) {
    return Rejected("invalid_job");
  }
  IdempotencyKey key(aCommand.key);
  if (!key.empty()) {
    if (const JobRecord* known = mJobs.FindByKey(spec.value.workspace, key)) {
      gen::CommandResult repeated;
      repeated.accepted = true;
      repeated.repeated = true;
      repeated.job = known->id.Value();
      return repeated;
    }
  }
  if (!mConfiguration) {
    return Rejected("no_configuration");
  }
  JobId id(aCommand.job);
  if (mJobs.Find(id) != nullptr) {
    return Rejected("job_id_taken");
  }
  const model::Document& document = mConfiguration->planned.document;
  model::Faults faults = model::CheckJob(spec.value, document);
  if (!faults.empty()) {
    return Rejected("job_not_possible");
  }
  for (const model::Workspace& it : document.workspaces) {
    if (it.id == spec.value.workspace &&
        mJobs.ActiveJobs(it.id) >= it.quota.jobs) {
      return Rejected("quota_jobs");
    }
  }
  JobRecord record;
  record.id = id;
  record.key = key;
  record.spec = std::move(spec.value);
  record.submittedAt = Millis(aCommand.submittedAtMs);
  mJobs.Add(std::move(record));

  gen::CommandResult result;
  result.accepted = true;
  result.job = id.Value();
  return result;
}

gen::CommandResult
ControlState::CancelJobs(const gen::CancelJobs& aCommand, uint64_t aIndex)
{
  gen::CommandResult result;
  for (const std::string& it : aCommand.jobs) {
    if (mJobs.Cancel(JobId(it), aIndex)) {
      result.accepted = true;
    }
  }
  if (!result.accepted) {
    result.reason = "no_active_job";
  }
  return result;
}

gen::CommandResult
ControlState::AssignJobs(const std::vector<gen::AssignJob>& aJobs,
                         uint64_t aIndex)
{
  gen::CommandResult result;
  result.accepted = true;
  for (const gen::AssignJob& it : aJobs) {
    // The leader may have chosen the zone before the evacuation was committed.
    if (!mEvacuatedZones.contains(ZoneId(it.zone))) {
      mJobs.Assign(JobId(it.job), ZoneId(it.zone), aIndex);
    }
  }
  return result;
}

gen::CommandResult
ControlState::ApplyEvents(const gen::JobEvents& aCommand, uint64_t aIndex)
{
  ZoneId zone(aCommand.zone);
  Epoch epoch(static_cast<uint64_t>(aCommand.epoch));
  Epoch& highest = mZoneEpochs[zone];
  bool stale = epoch < highest;
  highest = std::max(highest, epoch);
  gen::CommandResult result;
  result.accepted = true;
  // `result.changes` lists the jobs whose events were not applied.
  for (const gen::JobEvent& it : aCommand.events) {
    JobEvent event = FromWire(it);
    // A superseded authority must not start jobs any more, but a success or
    // failure that it observed is final.
    bool isOutcome = event.kind == JobEventKind::kSucceeded ||
                     event.kind == JobEventKind::kFailed;
    const JobRecord* record = mJobs.Find(event.job);
    bool notOwned = record == nullptr || record->zone != zone ||
                    model::IsFinal(record->state);
    if (notOwned || (stale && !isOutcome)) {
      result.changes.push_back(it.job);
      continue;
    }
    // An executed start is recorded also in an evacuated zone, because the gang
    // runs. The job stays assigned until the authority returns it, so that it
    // is not started elsewhere while a cut-off authority may start it here.
    if (event.kind == JobEventKind::kStarting && !it.executed &&
        mEvacuatedZones.contains(zone)) {
      result.changes.push_back(it.job);
      result.reason = "zone_evacuated";
      continue;
    }
    mJobs.ApplyEvent(zone, event, aIndex);
  }
  return result;
}

gen::CommandResult
ControlState::FenceZone(const gen::FenceZone& aCommand)
{
  mJobs.UnassignJobsOf(ZoneId(aCommand.zone));
  gen::CommandResult result;
  result.accepted = true;
  return result;
}

gen::CommandResult
ControlState::ApplyZoneOrder(const gen::ZoneOrder& aOrder,
                             bool aEvacuate,
                             uint64_t aIndex)
{
  ZoneId zone(aOrder.zone);
  // Includes the order and the zone, so that a key used for another order does
  // not get this one's result.
  std::string key;
  if (!aOrder.key.empty()) {
    key =
      (aEvacuate ? "evacuate/" : "restore/") + aOrder.zone + "/" + aOrder.key;
  }
  // A copy of an order that arrives after the opposite order must not take
  // effect again.
  if (auto it = mResultsByKey.find(key);
      !key.empty() && it != mResultsByKey.end()) {
    gen::CommandResult repeated = it->second;
    repeated.repeated = true;
    return repeated;
  }
  // The order may have waited unread while its caller gave the opposite one.
  // With a key alone it could take effect, because no copy of it has yet.
  auto latest = mZoneOrderIndexes.find(zone);
  if (aOrder.__isset.knownIndex && latest != mZoneOrderIndexes.end() &&
      static_cast<uint64_t>(aOrder.knownIndex) < latest->second) {
    gen::CommandResult refused = Rejected("order_may_be_outdated");
    refused.zoneOrderIndex = static_cast<int64_t>(ZoneOrderIndex());
    return refused;
  }
  auto known = mEvacuatedZones.find(zone);
  bool evacuated = known != mEvacuatedZones.end();
  // An evacuated zone can be restored also if the configuration no longer names
  // it.
  bool isKnown = evacuated;
  if (mConfiguration) {
    const auto& zones = mConfiguration->planned.document.zones;
    isKnown =
      isKnown || std::find(zones.begin(), zones.end(), zone) != zones.end();
  }
  if (!isKnown) {
    return Rejected("unknown_zone");
  }
  if (evacuated != aEvacuate) {
    if (aEvacuate) {
      mEvacuatedZones[zone] = { Millis(aOrder.orderedAtMs), aOrder.by };
    } else {
      mEvacuatedZones.erase(known);
    }
    mEvacuationIndex = aIndex;
  }
  mZoneOrderIndexes[zone] = aIndex;
  gen::CommandResult result;
  result.accepted = true;
  result.zoneOrderIndex = static_cast<int64_t>(ZoneOrderIndex());
  StoreResult(key, result);
  return result;
}

uint64_t
ControlState::ZoneOrderIndex() const
{
  uint64_t out = 0;
  for (const auto& [zone, index] : mZoneOrderIndexes) {
    out = std::max(out, index);
  }
  return out;
}

void
ControlState::StoreResult(const std::string& aKey,
                          const gen::CommandResult& aResult)
{
  if (aKey.empty()) {
    return;
  }
  mResultsByKey.emplace(aKey, aResult);
  mResultKeysByAge.push_back(aKey);
  if (mResultKeysByAge.size() > kMaxStoredResults) {
    mResultsByKey.erase(mResultKeysByAge.front());
    mResultKeysByAge.pop_front();
  }
}

} // namespace limpetwood::control
