// Table of the instances that send heartbeats to the control leader. Free of
// I/O and clocks: times are passed in by the caller.
//
// The heartbeat interval grows with the number of instances, so that the
// traffic received by the leader stays constant.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetwood::membership {

// Returns the heartbeat interval for a system of `aInstances` instances: 50 ms
// per instance, but at least 1 s. With 72 instances and 250 bytes per heartbeat
// and reply, the leader handles 5 KB/s.
constexpr Millis
HeartbeatInterval(size_t aInstances)
{
  Millis scaled(static_cast<int64_t>(aInstances) * 50);
  return scaled > Seconds(1) ? scaled : Seconds(1);
}

struct InstanceStatus
{
  InstanceId instance;
  ZoneId zone;
  Incarnation incarnation;
  // Version of the configuration in force on the instance.
  ConfigVersion version;
  bool ready = false;
  bool draining = false;
  // The epoch of the instance's zone authority lease; set while the instance is
  // the authority of its zone.
  std::optional<Epoch> authority;
  // Total and free accelerators of the live workers in the zone, and
  // accelerators requested by its queued jobs. Valid only if `authority` is
  // set.
  uint32_t liveAccelerators = 0;
  uint32_t freeAccelerators = 0;
  uint32_t queuedAccelerators = 0;
};

class InstanceTable
{
public:
  // An instance counts as failed after this many heartbeat intervals without a
  // heartbeat.
  static constexpr int64_t kFailureIntervals = 4;

  explicit InstanceTable(size_t aDeclaredInstances)
    : mInterval(HeartbeatInterval(aDeclaredInstances))
  {
  }

  // Records a heartbeat. Returns false, and ignores the heartbeat, if it comes
  // from an older incarnation of the instance.
  bool OnHeartbeat(const InstanceStatus& aStatus, Millis aNow);

  // Removes all entries. Called when this replica gains leadership, because the
  // table of the former leader is not replicated.
  void Clear() { mEntries.clear(); }

  bool IsAlive(const InstanceId& aInstance, Millis aNow) const;

  // Returns the live authority of a zone. If several instances claim the
  // authority, returns the one with the largest epoch.
  std::optional<InstanceStatus> AuthorityOf(const ZoneId& aZone,
                                            Millis aNow) const;

  // Returns the time of the most recent heartbeat from any instance of a zone,
  // or nothing if there was none.
  std::optional<Millis> LastHeartbeat(const ZoneId& aZone) const;

  std::vector<InstanceStatus> All() const;

  // Returns when all live instances had reported `aVersion` or a later version:
  // the latest of the times at which each first reported the version that it
  // reports now. The result is too late if an instance has meanwhile changed
  // from `aVersion` to a later version. Returns nothing while a live instance
  // reports an earlier version, and zero if no instance is live.
  std::optional<Millis> ConvergedAt(ConfigVersion aVersion, Millis aNow) const;

private:
  struct Entry
  {
    InstanceStatus status;
    Millis lastHeartbeatAt;
    // When the instance first reported the version in `status`.
    Millis versionSince;
  };

  bool IsAlive(const Entry& aEntry, Millis aNow) const
  {
    return aNow - aEntry.lastHeartbeatAt < mInterval * kFailureIntervals;
  }

  Millis mInterval;
  // The incarnation of an entry never decreases.
  std::map<InstanceId, Entry> mEntries;
};

} // namespace limpetwood::membership
