// Heartbeat records and the queries on them; see `instance_table.h`.

#include "membership/instance_table.h"

#include <algorithm>

namespace limpetwood::membership {

bool
InstanceTable::OnHeartbeat(const InstanceStatus& aStatus, Millis aNow)
{
  auto it = mEntries.find(aStatus.instance);
  if (it == mEntries.end()) {
    mEntries.emplace(aStatus.instance, Entry{ aStatus, aNow, aNow });
    return true;
  }
  Entry& entry = it->second;
  if (aStatus.incarnation < entry.status.incarnation) {
    return false;
  }
  if (aStatus.version != entry.status.version) {
    entry.versionSince = aNow;
  }
  entry.status = aStatus;
  entry.lastHeartbeatAt = aNow;
  return true;
}

bool
InstanceTable::IsAlive(const InstanceId& aInstance, Millis aNow) const
{
  auto it = mEntries.find(aInstance);
  return it != mEntries.end() && IsAlive(it->second, aNow);
}

std::optional<InstanceStatus>
InstanceTable::AuthorityOf(const ZoneId& aZone, Millis aNow) const
{
  std::optional<InstanceStatus> best;
  for (const auto& [id, entry] : mEntries) {
    const InstanceStatus& status = entry.status;
    if (status.zone != aZone || !status.authority || !IsAlive(entry, aNow)) {
      continue;
    }
    if (!best || *status.authority > *best->authority) {
      best = status;
    }
  }
  return best;
}

std::optional<Millis>
InstanceTable::LastHeartbeat(const ZoneId& aZone) const
{
  std::optional<Millis> last;
  for (const auto& [id, entry] : mEntries) {
    if (entry.status.zone == aZone) {
      last =
        last ? std::max(*last, entry.lastHeartbeatAt) : entry.lastHeartbeatAt;
    }
  }
  return last;
}

std::vector<InstanceStatus>
InstanceTable::All() const
{
  std::vector<InstanceStatus> all;
  all.reserve(mEntries.size());
  for (const auto& [id, entry] : mEntries) {
    all.push_back(entry.status);
  }
  return all;
}

std::optional<Millis>
InstanceTable::ConvergedAt(ConfigVersion aVersion, Millis aNow) const
{
  Millis latest;
  for (const auto& [id, entry] : mEntries) {
    if (!IsAlive(entry, aNow)) {
      continue;
    }
    if (entry.status.version < aVersion) {
      return std::nullopt;
    }
    latest = std::max(latest, entry.versionSince);
  }
  return latest;
}

} // namespace limpetwood::membership
