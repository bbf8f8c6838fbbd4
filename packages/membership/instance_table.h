// What the control leader knows about the instances, from their heartbeats.
// Pure: no clock, no socket.
//
// The heartbeat interval grows with the number of instances, so that the bytes
// the leader receives for it stay constant however many instances there are.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetwood::membership {

// Interval of heartbeats for a system of `aInstances` instances: 1 s, or 50 ms
// for each instance where that is more. At 72 instances and 250 bytes a
// heartbeat with its reply the leader spends 5 KB/s.
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
  ConfigVersion version;
  bool ready = false;
  bool draining = false;
  // Set while the instance is the authority of its zone.
  std::optional<Epoch> authority;
  // Accelerators of the zone's live workers, the free ones among them, and
  // those that queued jobs ask for; meaningful for an authority.
  uint32_t liveAccelerators = 0;
  uint32_t freeAccelerators = 0;
  uint32_t queuedAccelerators = 0;
};

class InstanceTable
{
public:
  // Instances that are silent for this many heartbeat intervals count as
  // failed.
  static constexpr int64_t kFailedIntervals = 4;

  explicit InstanceTable(size_t aDeclaredInstances)
    : mInterval(HeartbeatInterval(aDeclaredInstances))
  {
  }

  // Returns false for a heartbeat of an older incarnation, which is ignored.
  bool OnHeartbeat(const InstanceStatus& aStatus, Millis aNow);

  // Forgets everything; used when leadership is gained, since the former
  // leader's knowledge was not replicated.
  void Clear() { mEntries.clear(); }

  bool IsAlive(const InstanceId& aInstance, Millis aNow) const;

  // The live authority of a zone with the largest epoch.
  std::optional<InstanceStatus> AuthorityOf(const ZoneId& aZone,
                                            Millis aNow) const;

  // The last heartbeat of any instance of a zone.
  std::optional<Millis> LastHeartbeat(const ZoneId& aZone) const;

  std::vector<InstanceStatus> All() const;

  // The time at which the last live instance reported `aVersion` or a later
  // one; empty while a live instance is still behind.
  std::optional<Millis> ConvergedAt(ConfigVersion aVersion, Millis aNow) const;

private:
  struct Entry
  {
    InstanceStatus status;
    Millis seenAt;
    // When this instance first reported its present version.
    Millis versionSince;
  };

  bool IsAlive(const Entry& aEntry, Millis aNow) const
  {
    return aNow - aEntry.seenAt < mInterval * kFailedIntervals;
  }

  Millis mInterval;
  // Incarnations of an entry never decrease.
  std::map<InstanceId, Entry> mEntries;
};

} // namespace limpetwood::membership
