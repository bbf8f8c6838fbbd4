// The replicated control state: accepted configurations, jobs, evacuated zones,
// and the results of configuration submissions and zone orders. Deterministic:
// replicas that apply the same commands in the same order have the same state.

#pragma once

#include "base/ids.h"
#include "control/codec.h"
#include "control/job_table.h"
#include "model/validate.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace limpetwood::control {

struct AcceptedVersion
{
  ConfigVersion version;
  // Hash of document and plan, as 16 hexadecimal digits.
  std::string hash;
  // Wall-clock time since the Unix epoch.
  Millis acceptedAt;
  // Document paths that changed since the previous version.
  std::vector<std::string> changes;
  // Delta from the previous version; empty for versions older than the last
  // `kMaxDeltas`.
  std::string delta;
};

struct AcceptedConfiguration
{
  ConfigVersion version;
  std::string hash;
  // Canonical JSON of the document and its plan.
  std::string text;
  model::PlannedDocument planned;
};

// An evacuated zone starts no tasks and is assigned no jobs until it is
// restored.
struct ZoneEvacuation
{
  // Wall-clock time since the Unix epoch.
  Millis since;
  // Who ordered the evacuation.
  std::string by;
};

class ControlState
{
public:
  // Versions whose acceptance time and changed paths are retained: two days at
  // 5,000 versions a day.
  static constexpr size_t kMaxHistoryVersions = 10'000;
  // Newest versions whose deltas are retained; older deltas take no space in
  // memory and snapshots.
  static constexpr size_t kMaxDeltas = 256;
  // Results of accepted configuration submissions and zone orders that are
  // retained to answer resent ones.
  static constexpr size_t kMaxStoredResults = 20'000;

  // Applies the committed command at log index `aIndex` and returns an encoded
  // `CommandResult`.
  std::string Apply(uint64_t aIndex, std::string_view aCommand);

  std::string TakeSnapshot() const;

  // Replaces the state. Returns false and leaves the state unchanged if the
  // snapshot cannot be decoded.
  bool Restore(std::string_view aSnapshot);

  const std::optional<AcceptedConfiguration>& Configuration() const
  {
    return mConfiguration;
  }
  ConfigVersion Version() const
  {
    return mConfiguration ? mConfiguration->version : ConfigVersion();
  }
  const std::deque<AcceptedVersion>& History() const { return mHistory; }
  const JobTable& Jobs() const { return mJobs; }
  const std::map<ZoneId, ZoneEvacuation>& EvacuatedZones() const
  {
    return mEvacuatedZones;
  }
  // Log index of the last change of `EvacuatedZones()`; 0 before the first one.
  uint64_t EvacuationIndex() const { return mEvacuationIndex; }
  // Log index of the last accepted order about a zone, which may have changed
  // nothing; 0 before the first one.
  uint64_t ZoneOrderIndex() const;

  // Returns the deltas from `aFrom` to the current version, oldest first, or
  // nullopt if one of them is no longer retained.
  std::optional<std::vector<std::string>> DeltasSince(
    ConfigVersion aFrom) const;

private:
  gen::CommandResult SubmitConfiguration(
    const gen::SubmitConfiguration& aCommand);
  gen::CommandResult SubmitJob(const gen::SubmitJob& aCommand);
  gen::CommandResult CancelJobs(const gen::CancelJobs& aCommand,
                                uint64_t aIndex);
  gen::CommandResult AssignJobs(const std::vector<gen::AssignJob>& aJobs,
                                uint64_t aIndex);
  gen::CommandResult ApplyEvents(const gen::JobEvents& aCommand,
                                 uint64_t aIndex);
  gen::CommandResult FenceZone(const gen::FenceZone& aCommand);
  gen::CommandResult ApplyZoneOrder(const gen::ZoneOrder& aOrder,
                                    bool aEvacuate,
                                    uint64_t aIndex);
  std::vector<std::string> ChangesSince(ConfigVersion aBase) const;
  void StoreResult(const std::string& aKey, const gen::CommandResult& aResult);

  // Versions increase by one; an accepted version is never changed.
  std::optional<AcceptedConfiguration> mConfiguration;
  std::deque<AcceptedVersion> mHistory;
  JobTable mJobs;
  // Results of accepted configuration submissions and zone orders by
  // idempotency key, and the keys from oldest to newest. Resent jobs are found
  // in `mJobs`.
  std::unordered_map<std::string, gen::CommandResult> mResultsByKey;
  std::deque<std::string> mResultKeysByAge;
  // Highest authority epoch seen for each zone. From an authority with a lower
  // epoch, only the outcomes of jobs (success or failure) are applied.
  std::map<ZoneId, Epoch> mZoneEpochs;
  // Kept apart from the configuration, because each submitted configuration
  // replaces the previous one as a whole.
  std::map<ZoneId, ZoneEvacuation> mEvacuatedZones;
  uint64_t mEvacuationIndex = 0;
  // Log index of the last accepted order about each zone.
  std::map<ZoneId, uint64_t> mZoneOrderIndexes;
};

} // namespace limpetwood::control
