// Tests that the configuration in force never reverts to an older version.

#include "membership/configuration_holder.h"

#include <gtest/gtest.h>

namespace limpetwood::membership {
namespace {

// The hash equals the version number.
VersionedConfiguration
MakeConfiguration(uint64_t aVersion)
{
  return { ConfigVersion(aVersion), aVersion, "{}" };
}

// Guards against a delayed update that replaces a newer configuration.
TEST(ConfigurationHolder, OlderVersionIsIgnored)
{
  ConfigurationHolder holder(false);
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(5), true), OfferResult::kAdopted);
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(4), false), OfferResult::kStale);
  EXPECT_EQ(holder.Version(), ConfigVersion(5));
}

// Guards against adopting an outdated version after a restart: an instance
// without a disk does not know which version it served before, and an update
// relayed by a peer may be older than that.
TEST(ConfigurationHolder, RestartWithoutDiskWaitsForLinearizableRead)
{
  ConfigurationHolder holder(false);
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(4), false),
            OfferResult::kNeedsLinearizableRead);
  EXPECT_FALSE(holder.Ready());
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(5), true), OfferResult::kAdopted);
  EXPECT_TRUE(holder.Ready());
}

// Guards against adopting a version before it is durable: a crash between
// adoption and sync would revert the configuration.
TEST(ConfigurationHolder, VersionIsAdoptedOnlyAfterSync)
{
  ConfigurationHolder holder(MakeConfiguration(3));
  EXPECT_TRUE(holder.Ready());
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(4), false),
            OfferResult::kPersistFirst);
  EXPECT_EQ(holder.Version(), ConfigVersion(3));
  EXPECT_TRUE(holder.OnSynced(ConfigVersion(4)));
  EXPECT_EQ(holder.Version(), ConfigVersion(4));
}

// Guards against adopting a version that was superseded while it was being
// written.
TEST(ConfigurationHolder, SupersededWriteIsNotAdopted)
{
  ConfigurationHolder holder(MakeConfiguration(3));
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(4), false),
            OfferResult::kPersistFirst);
  EXPECT_EQ(holder.OnOffer(MakeConfiguration(5), false),
            OfferResult::kPersistFirst);
  EXPECT_FALSE(holder.OnSynced(ConfigVersion(4)));
  EXPECT_TRUE(holder.OnSynced(ConfigVersion(5)));
  EXPECT_EQ(holder.Version(), ConfigVersion(5));
}

} // namespace
} // namespace limpetwood::membership
