// Decides which configuration version an instance may put in force. Pure.
//
// Rules that keep an accepted configuration from reverting:
// - a version is adopted only if it is larger than the one in force;
// - an instance with a disk adopts a version only after it has been synced,
//   and starts from the synced one;
// - an instance without one serves nothing after a restart until it has a
//   version from a linearizable read through the control leader.

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
  // Canonical JSON of the document.
  std::string document;

  bool operator==(const VersionedConfiguration&) const = default;
};

enum class OfferResult
{
  // Older than or equal to the version in force.
  kStale,
  // Must be written and synced; call `Synced` afterwards.
  kPersistFirst,
  // Now in force.
  kAdopted,
  // Not usable before a linearizable read; ask the leader for one.
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

  // For an instance whose disk holds a synced configuration.
  explicit ConfigurationHolder(VersionedConfiguration aSynced)
    : mHasDisk(true)
    , mKnowsFloor(true)
    , mInForce(std::move(aSynced))
  {
  }

  // Offers a version that the leader has committed. `aLinearizable` says that
  // it was read through the leader after this process started.
  OfferResult OnOffer(VersionedConfiguration aOffered, bool aLinearizable);

  // The pending version is durable. Returns true if it came into force.
  bool OnSynced(ConfigVersion aVersion);

  // True once the instance may serve: nothing older than what this instance
  // served before can be in force here.
  bool Ready() const { return mKnowsFloor && mInForce.has_value(); }

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
  bool mKnowsFloor = false;
  // The version in force only grows.
  std::optional<VersionedConfiguration> mInForce;
  std::optional<VersionedConfiguration> mPending;
};

} // namespace limpetwood::membership
