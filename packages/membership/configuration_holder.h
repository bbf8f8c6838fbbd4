// Tracks the configuration version that an instance has in force and decides
// whether an offered version may replace it. Free of I/O: the owner persists
// and applies configurations.
//
// The following rules ensure that an accepted configuration never reverts to an
// older one:
// - A version is adopted only if it is larger than the one in force.
// - An instance with a disk adopts a version only after it has been synced to
//   disk, and starts from the synced version.
// - An instance without a disk serves nothing after a restart until it has
//   received a version from a linearizable read through the control leader.

#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace limpetwood::membership {

struct VersionedConfiguration
{
  ConfigVersion version;
  uint64_t hash = 0;
  // Text of `model::WritePlannedDocument`: the document and its plan.
  std::string document;

  bool operator==(const VersionedConfiguration&) const = default;
};

enum class OfferResult
{
  // Not newer than the version in force or the pending version.
  kStale,
  // Must be written to disk and synced before it comes into force; call
  // `OnSynced` afterwards.
  kPersistFirst,
  // Now in force.
  kAdopted,
  // Cannot be adopted before a linearizable read; request one from the control
  // leader.
  kNeedsLinearizableRead,
};

class ConfigurationHolder
{
public:
  // For an instance without a disk, or with an empty one.
  explicit ConfigurationHolder(bool aHasDisk)
    : mHasDisk(aHasDisk)
  {
  }

  // For an instance whose disk contains a synced configuration.
  explicit ConfigurationHolder(VersionedConfiguration aSynced)
    : mHasDisk(true)
    , mHasVersionFloor(true)
    , mInForce(std::move(aSynced))
  {
  }

  // Offers a version that the control leader has committed. `aLinearizable` is
  // true if the version was read through the leader after this process started.
  OfferResult OnOffer(VersionedConfiguration aOffered, bool aLinearizable);

  // Reports that the pending version is durable. Returns true if `aVersion` is
  // the pending version and is now in force.
  bool OnSynced(ConfigVersion aVersion);

  // True once the instance may serve. The configuration in force is then at
  // least as new as any that this instance served before a restart.
  bool Ready() const { return mHasVersionFloor && mInForce.has_value(); }

  const std::optional<VersionedConfiguration>& InForce() const
  {
    return mInForce;
  }

  ConfigVersion Version() const
  {
    return mInForce ? mInForce->version : ConfigVersion();
  }

private:
  bool mHasDisk;
  // True once an older version than any that this instance served before a
  // restart can no longer be adopted: after a linearizable read, or from the
  // start if the disk contains a synced version.
  bool mHasVersionFloor = false;
  // The version in force never decreases.
  std::optional<VersionedConfiguration> mInForce;
  // Offered, but not yet reported as synced.
  std::optional<VersionedConfiguration> mPending;
};

} // namespace limpetwood::membership
