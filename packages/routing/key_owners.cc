#include "routing/key_owners.h"

#include "base/hash.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

uint64_t
SetIdOf(const std::vector<InstanceConfig>& aSorted)
{
  uint64_t id = 1;
  for (const InstanceConfig& it : aSorted) {
    id = Hash64(it.id.Value(), id);
    id = Hash64(it.zone.Value(), id);
  }
  return id;
}

ZoneId
ChooseZone(uint64_t aKeyHash, const std::vector<InstanceConfig>& aInstances)
{
  uint64_t best = 0;
  ZoneId chosen;
  for (const InstanceConfig& it : aInstances) {
    uint64_t rank = Hash64(it.zone.Value(), aKeyHash);
    if (chosen.empty() || rank > best) {
      best = rank;
      chosen = it.zone;
    }
  }
  return chosen;
}

std::vector<InstanceId>
ChooseOwners(const IdempotencyKey& aKey,
             const ZoneId& aZone,
             const std::vector<InstanceConfig>& aInstances)
{
  struct Candidate
  {
    bool otherZone;
    uint64_t rank;
    const InstanceId* id;
  };
  uint64_t hash = Hash64(aKey.Value(), 0);
  ZoneId zone = aZone.empty() ? ChooseZone(hash, aInstances) : aZone;
  std::vector<Candidate> all;
  all.reserve(aInstances.size());
  for (const InstanceConfig& it : aInstances) {
    all.push_back(
      Candidate{ it.zone != zone, Hash64(it.id.Value(), hash), &it.id });
  }
  std::size_t count = std::min(kOwnersPerKey, all.size());
  std::partial_sort(all.begin(),
                    all.begin() + static_cast<std::ptrdiff_t>(count),
                    all.end(),
                    [](const Candidate& x, const Candidate& y) {
                      return x.otherZone != y.otherZone ? y.otherZone
                                                        : x.rank > y.rank;
                    });
  std::vector<InstanceId> owners;
  for (std::size_t n = 0; n < count; ++n) {
    owners.push_back(*all[n].id);
  }
  return owners;
}

} // namespace

void
KeyOwners::Update(std::vector<InstanceConfig> aInstances,
                  Millis aOverlap,
                  Millis aNow)
{
  std::sort(aInstances.begin(), aInstances.end());
  uint64_t id = SetIdOf(aInstances);
  if (!mSets.empty()) {
    if (mSets.back().id == id) {
      return;
    }
    mSets.back().endsAt = aNow + aOverlap;
  }
  mSets.push_back(InstanceSet{ id, std::move(aInstances), Millis::Max() });
}

void
KeyOwners::Expire(Millis aNow)
{
  std::erase_if(mSets,
                [&](const InstanceSet& aSet) { return aSet.endsAt <= aNow; });
}

std::vector<std::vector<InstanceId>>
KeyOwners::OwnersOf(const IdempotencyKey& aKey, const ZoneId& aZone) const
{
  std::vector<std::vector<InstanceId>> owners;
  for (const InstanceSet& it : mSets) {
    owners.push_back(ChooseOwners(aKey, aZone, it.instances));
  }
  return owners;
}

std::vector<uint64_t>
KeyOwners::SetIds() const
{
  std::vector<uint64_t> ids;
  for (const InstanceSet& it : mSets) {
    ids.push_back(it.id);
  }
  return ids;
}

} // namespace limpetwood::routing
