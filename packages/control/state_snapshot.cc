// Encodes the control state as a snapshot and restores it.

#include "control/state.h"
#include "model/delta.h"

namespace limpetwood::control {

namespace {

gen::JobSnapshot
ToWire(const JobRecord& aRecord)
{
  gen::JobSnapshot job;
  job.job = aRecord.id.Value();
  job.key = aRecord.key.Value();
  job.spec = model::WriteJobSpec(aRecord.spec);
  job.state = static_cast<int32_t>(aRecord.state);
  job.zone = aRecord.zone.Value();
  job.orderIndex = static_cast<int64_t>(aRecord.orderIndex);
  job.attempt = static_cast<int32_t>(aRecord.attempt.Value());
  job.reason = aRecord.reason;
  job.checkpoint = aRecord.checkpoint;
  job.submittedAtMs = aRecord.submittedAt.Count();
  job.startedAtMs = aRecord.startedAt.Count();
  job.endedAtMs = aRecord.endedAt.Count();
  job.cancelRequested = aRecord.cancelRequested;
  if (aRecord.crashes != model::CrashHistory()) {
    job.__set_crashes(control::ToWire(aRecord.crashes));
  }
  return job;
}

std::optional<JobRecord>
FromWire(const gen::JobSnapshot& aJob)
{
  auto spec = model::ParseJobSpec(aJob.spec);
  if (!spec.Ok()) {
    return std::nullopt;
  }
  JobRecord record;
  record.id = JobId(aJob.job);
  record.key = IdempotencyKey(aJob.key);
  record.spec = std::move(spec.value);
  record.state = static_cast<model::JobState>(aJob.state);
  record.zone = ZoneId(aJob.zone);
  record.orderIndex = static_cast<uint64_t>(aJob.orderIndex);
  record.attempt = Attempt(static_cast<uint32_t>(aJob.attempt));
  record.reason = aJob.reason;
  record.checkpoint = aJob.checkpoint;
  record.submittedAt = Millis(aJob.submittedAtMs);
  record.startedAt = Millis(aJob.startedAtMs);
  record.endedAt = Millis(aJob.endedAtMs);
  record.cancelRequested = aJob.cancelRequested;
  if (aJob.__isset.crashes) {
    record.crashes = control::FromWire(aJob.crashes);
  }
  return record;
}

gen::VersionSnapshot
ToWire(const AcceptedVersion& aVersion)
{
  gen::VersionSnapshot version;
  version.version = static_cast<int64_t>(aVersion.version.Value());
  version.hash = aVersion.hash;
  version.acceptedAtMs = aVersion.acceptedAt.Count();
  version.changes = aVersion.changes;
  version.delta = aVersion.delta;
  return version;
}

AcceptedVersion
FromWire(const gen::VersionSnapshot& aVersion)
{
  AcceptedVersion version;
  version.version = ConfigVersion(static_cast<uint64_t>(aVersion.version));
  version.hash = aVersion.hash;
  version.acceptedAt = Millis(aVersion.acceptedAtMs);
  version.changes = aVersion.changes;
  version.delta = aVersion.delta;
  return version;
}

} // namespace

std::string
ControlState::TakeSnapshot() const
{
  gen::StateSnapshot snapshot;
  snapshot.version = static_cast<int64_t>(Version().Value());
  if (mConfiguration) {
    snapshot.document = mConfiguration->text;
  }
  for (const AcceptedVersion& it : mHistory) {
    snapshot.history.push_back(ToWire(it));
  }
  for (const auto& [id, record] : mJobs.All()) {
    snapshot.jobs.push_back(ToWire(record));
  }
  for (const std::string& key : mResultKeysByAge) {
    gen::KeySnapshot entry;
    entry.key = key;
    entry.result = mResultsByKey.at(key);
    snapshot.keys.push_back(std::move(entry));
  }
  for (const auto& [zone, epoch] : mZoneEpochs) {
    snapshot.zoneEpochs[zone.Value()] = static_cast<int64_t>(epoch.Value());
  }
  for (const auto& [zone, evacuation] : mEvacuatedZones) {
    gen::ZoneEvacuation entry;
    entry.zone = zone.Value();
    entry.by = evacuation.by;
    entry.sinceMs = evacuation.since.Count();
    snapshot.evacuatedZones.push_back(std::move(entry));
  }
  snapshot.evacuationIndex = static_cast<int64_t>(mEvacuationIndex);
  for (const auto& [zone, index] : mZoneOrderIndexes) {
    snapshot.zoneOrderIndexes[zone.Value()] = static_cast<int64_t>(index);
  }
  return Encode(snapshot);
}

bool
ControlState::Restore(std::string_view aSnapshot)
{
  Result<gen::StateSnapshot> decoded = Decode<gen::StateSnapshot>(aSnapshot);
  if (!decoded) {
    return false;
  }
  const gen::StateSnapshot& snapshot = decoded.Value();
  ControlState next;
  if (snapshot.version != 0) {
    auto planned = model::ReadPlannedDocument(snapshot.document);
    if (!planned) {
      return false;
    }
    AcceptedConfiguration configuration;
    configuration.version =
      ConfigVersion(static_cast<uint64_t>(snapshot.version));
    configuration.text = snapshot.document;
    configuration.planned = std::move(planned).Value();
    configuration.hash =
      model::FormatHash(model::ConfigurationHash(configuration.planned));
    next.mConfiguration = std::move(configuration);
  }
  for (const gen::VersionSnapshot& it : snapshot.history) {
    next.mHistory.push_back(FromWire(it));
  }
  for (const gen::JobSnapshot& it : snapshot.jobs) {
    std::optional<JobRecord> record = FromWire(it);
    if (!record) {
      return false;
    }
    next.mJobs.RestoreRecord(std::move(*record));
  }
  for (const gen::KeySnapshot& it : snapshot.keys) {
    next.mResultsByKey.emplace(it.key, it.result);
    next.mResultKeysByAge.push_back(it.key);
  }
  for (const auto& [zone, epoch] : snapshot.zoneEpochs) {
    next.mZoneEpochs[ZoneId(zone)] = Epoch(static_cast<uint64_t>(epoch));
  }
  for (const gen::ZoneEvacuation& it : snapshot.evacuatedZones) {
    next.mEvacuatedZones[ZoneId(it.zone)] = { Millis(it.sinceMs), it.by };
  }
  next.mEvacuationIndex = static_cast<uint64_t>(snapshot.evacuationIndex);
  for (const auto& [zone, index] : snapshot.zoneOrderIndexes) {
    next.mZoneOrderIndexes[ZoneId(zone)] = static_cast<uint64_t>(index);
  }
  *this = std::move(next);
  return true;
}

} // namespace limpetwood::control
