// Guards against a configuration that reverts.

#include "membership/configuration_holder.h"

#include <gtest/gtest.h>

namespace limpetwood::membership {
namespace {

VersionedConfiguration
Version(uint64_t aVersion)
{
  return { ConfigVersion(aVersion), aVersion, "{}" };
}

// A delayed update must not replace a newer configuration.
TEST(ConfigurationHolder, OlderVersionIsIgnored)
{
  ConfigurationHolder holder(false);
  EXPECT_EQ(holder.OnOffer(Version(5), true), OfferResult::kAdopted);
  EXPECT_EQ(holder.OnOffer(Version(4), false), OfferResult::kStale);
  EXPECT_EQ(holder.Version(), ConfigVersion(5));
}

// A restarted instance without a disk has forgotten what it served; an update
// relayed by a peer may be older than that.
TEST(ConfigurationHolder, RestartWithoutDiskWaitsForLinearizableRead)
{
  ConfigurationHolder holder(false);
  EXPECT_EQ(holder.OnOffer(Version(4), false),
            OfferResult::kNeedsLinearizableRead);
  EXPECT_FALSE(holder.Ready());
  EXPECT_EQ(holder.OnOffer(Version(5), true), OfferResult::kAdopted);
  EXPECT_TRUE(holder.Ready());
}

// A crash between adoption and sync would revert the configuration.
TEST(ConfigurationHolder, DiskComesBeforeForce)
{
  ConfigurationHolder holder(Version(3));
  EXPECT_TRUE(holder.Ready());
  EXPECT_EQ(holder.OnOffer(Version(4), false), OfferResult::kPersistFirst);
  EXPECT_EQ(holder.Version(), ConfigVersion(3));
  EXPECT_TRUE(holder.OnSynced(ConfigVersion(4)));
  EXPECT_EQ(holder.Version(), ConfigVersion(4));
}

// Only the latest pending version comes into force.
TEST(ConfigurationHolder, SupersededWriteIsNotAdopted)
{
  ConfigurationHolder holder(Version(3));
  EXPECT_EQ(holder.OnOffer(Version(4), false), OfferResult::kPersistFirst);
  EXPECT_EQ(holder.OnOffer(Version(5), false), OfferResult::kPersistFirst);
  EXPECT_FALSE(holder.OnSynced(ConfigVersion(4)));
  EXPECT_TRUE(holder.OnSynced(ConfigVersion(5)));
  EXPECT_EQ(holder.Version(), ConfigVersion(5));
}

} // namespace
} // namespace limpetwood::membership
