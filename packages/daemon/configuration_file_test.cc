// Tests that a stored configuration survives a restart and that a damaged one
// is rejected.

#include "daemon/configuration_file.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace limpetwood::daemon {
namespace {

class ConfigurationFileTest : public testing::Test
{
protected:
  void SetUp() override
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "limpetwood-XXXXXX").string();
    mFolder = ::mkdtemp(pattern.data());
  }
  void TearDown() override { std::filesystem::remove_all(mFolder); }

  std::string mFolder;
};

// A restart must load the version that was stored last, and none from an empty
// folder.
TEST_F(ConfigurationFileTest, StoredVersionIsLoaded)
{
  EXPECT_FALSE(LoadConfiguration(mFolder).Value());
  membership::VersionedConfiguration stored{ ConfigVersion(7), 0, "{\"a\":1}" };
  ASSERT_FALSE(StoreConfiguration(mFolder, stored));
  stored.version = ConfigVersion(8);
  ASSERT_FALSE(StoreConfiguration(mFolder, stored));
  auto loaded = LoadConfiguration(mFolder);
  ASSERT_TRUE(loaded.Ok());
  EXPECT_EQ(loaded.Value()->version, ConfigVersion(8));
  EXPECT_EQ(loaded.Value()->document, "{\"a\":1}");
}

// A bit flip on disk must not bring a different configuration or version into
// force.
TEST_F(ConfigurationFileTest, EveryDamagedByteIsDetected)
{
  ASSERT_FALSE(StoreConfiguration(
    mFolder, { ConfigVersion(7), 0, "{\"jobs\":100,\"zones\":[]}" }));
  std::string path = mFolder + "/configuration";
  std::ifstream in(path, std::ios::binary);
  std::string bytes{ std::istreambuf_iterator<char>(in), {} };
  for (size_t n = 0; n < bytes.size(); ++n) {
    std::string damaged = bytes;
    damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
    std::ofstream(path, std::ios::binary) << damaged;
    EXPECT_FALSE(LoadConfiguration(mFolder).Ok()) << "byte " << n;
  }
}

// A write that failed must not be reported as stored.
TEST_F(ConfigurationFileTest, MissingFolderIsAnError)
{
  EXPECT_TRUE(
    StoreConfiguration(mFolder + "/missing", { ConfigVersion(1), 0, "{}" }));
}

} // namespace
} // namespace limpetwood::daemon
