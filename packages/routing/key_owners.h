// Determines the instances that own an idempotency key.
//
// Owners are chosen by rendezvous hashing, so a change of the declared
// instances moves few keys. Previous instance sets remain in force for the
// lifetime of a key. A key must be recorded by a majority of its owners under
// each set in force, so that a repeated request finds the record regardless of
// the set that the first sender knew.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/options.h"

#include <cstdint>
#include <vector>

namespace limpetwood::routing {

// Three owners per key tolerate the failure of one.
constexpr std::size_t kOwnersPerKey = 3;

class KeyOwners
{
public:
  // Sets the current instances. If they differ from the previous set, the
  // previous one remains in force for `aOverlap`.
  void Update(std::vector<InstanceConfig> aInstances,
              Millis aOverlap,
              Millis aNow);

  // Removes previous sets whose overlap has ended.
  void Expire(Millis aNow);

  // The owners of the key under each set in force.
  std::vector<std::vector<InstanceId>> OwnersOf(const IdempotencyKey& aKey,
                                                const ZoneId& aZone) const;

  // Ids of the sets in force, oldest first.
  std::vector<uint64_t> SetIds() const;

private:
  struct InstanceSet
  {
    uint64_t id = 0;
    std::vector<InstanceConfig> instances{};
    // End of the overlap; `Max()` for the current set.
    Millis endsAt{};
  };

  std::vector<InstanceSet> mSets;
};

} // namespace limpetwood::routing
