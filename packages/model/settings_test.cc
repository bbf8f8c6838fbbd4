// Tests that an invalid settings file is rejected with all of its faults. A
// daemon that started with it would fail later, at run time.

#include "model/settings.h"

#include <gtest/gtest.h>

#include <fstream>

namespace limpetwood::model {
namespace {

const char* const kSettings = R"({
  "instance": "sogn-1",
  "zone": "sogn",
  "callerAddress": "0.0.0.0:7001",
  "controlAddress": "[::]:7002",
  "peerAddress": "10.1.0.1:7003",
  "dataFolder": "/var/lib/limpetwood",
  "instances": [
    { "id": "sogn-1", "zone": "sogn", "peerAddress": "10.1.0.1:7003",
      "controlAddress": "10.1.0.1:7002", "hasDisk": true },
    { "id": "sogn-2", "zone": "sogn", "peerAddress": "10.1.0.2:7003",
      "controlAddress": "10.1.0.2:7002" }
  ],
  "voters": ["sogn-1"],
  "log": { "level": "debug" },
  "timings": { "zoneAutonomyMs": 3600000 }
})";

// Returns `kSettings` with the first occurrence of `aFrom` replaced by `aTo`.
std::string
SettingsWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kSettings;
  size_t at = text.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return text.replace(at, aFrom.size(), aTo);
}

std::vector<std::string>
FaultPaths(const Faults& aFaults)
{
  std::vector<std::string> paths;
  for (const Fault& it : aFaults) {
    paths.push_back(it.path);
  }
  return paths;
}

std::vector<std::string>
FaultsWith(const std::string& aFrom, const std::string& aTo)
{
  return FaultPaths(ParseSettings(SettingsWith(aFrom, aTo)).faults);
}

using Lines = std::vector<std::string>;

TEST(ParseSettings, ReadsFieldsAndDefaults)
{
  Parsed<Settings> parsed = ParseSettings(kSettings);
  ASSERT_EQ(FaultPaths(parsed.faults), Lines{});
  const Settings& settings = parsed.value;
  EXPECT_EQ(settings.instance, InstanceId("sogn-1"));
  EXPECT_EQ(settings.dataFolder, "/var/lib/limpetwood");
  EXPECT_EQ(settings.instances.at(1).controlAddress, "10.1.0.2:7002");
  EXPECT_FALSE(settings.instances[1].hasDisk);
  EXPECT_EQ(settings.log.level, LogLevel::kDebug);
  EXPECT_EQ(settings.timings.zoneAutonomy, Hours(1));
  EXPECT_EQ(settings.timings.workerLease, Seconds(15));
  EXPECT_EQ(settings.limits, LimitSettings{});
}

TEST(ParseSettings, RoundTripsThroughText)
{
  Settings settings = ParseSettings(kSettings).value;
  settings.log.file = "/var/log/limpetwood.log";
  Parsed<Settings> again = ParseSettings(WriteSettings(settings));
  EXPECT_EQ(FaultPaths(again.faults), Lines{});
  EXPECT_EQ(again.value, settings);
}

// An instance that the others do not know, or know with another zone or without
// its disk, could never join.
TEST(ParseSettings, ThisInstanceMustMatchItsDeclaration)
{
  EXPECT_EQ(FaultsWith("\"instance\": \"sogn-1\"", "\"instance\": \"sogn-9\""),
            Lines{ "/instance" });
  EXPECT_EQ(FaultsWith("\"zone\": \"sogn\"", "\"zone\": \"voss\""),
            Lines{ "/zone" });
  EXPECT_EQ(FaultsWith("\"dataFolder\": \"/var/lib/limpetwood\",", ""),
            Lines{ "/dataFolder" });
}

// Guards against a voter without a disk, which would forget its votes, and
// against an even number of voters, which tolerates no more failures than the
// next smaller odd one.
TEST(ParseSettings, VotersNeedDisksAndAnOddNumber)
{
  EXPECT_EQ(FaultsWith("[\"sogn-1\"]", "[\"sogn-2\"]"), Lines{ "/voters/0" });
  EXPECT_EQ(FaultsWith("[\"sogn-1\"]", "[\"sogn-1\", \"sogn-1\"]"),
            (Lines{ "/voters", "/voters/1" }));
}

// Guards against addresses that depend on name resolution, or that two
// instances share.
TEST(ParseSettings, AddressesAreNumericAndUnique)
{
  EXPECT_EQ(FaultsWith("10.1.0.2:7003", "sogn-2:7003"),
            Lines{ "/instances/1/peerAddress" });
  EXPECT_EQ(FaultsWith("10.1.0.2:7003", "10.1.0.2:0"),
            Lines{ "/instances/1/peerAddress" });
  EXPECT_EQ(FaultsWith("10.1.0.2:7003", "10.1.0.1:7003"),
            Lines{ "/instances/1/peerAddress" });
  EXPECT_EQ(FaultsWith("0.0.0.0:7001", "0.0.0.0:0"), Lines{});
}

// If a lease were shorter than two renewal intervals, one lost renewal would
// end it and stop the work of a zone unnecessarily.
TEST(ParseSettings, LeasesOutlastTwoRenewals)
{
  EXPECT_EQ(FaultsWith("\"zoneAutonomyMs\": 3600000",
                       "\"workerLeaseMs\": 9000, \"authorityRenewMs\": 3001, "
                       "\"electionMaxMs\": 1500"),
            (Lines{ "/timings/authorityLeaseMs",
                    "/timings/workerLeaseMs",
                    "/timings/electionMaxMs" }));
}

TEST(ParseSettings, ValuesOutOfRangeAndUnknownKeysAreFaults)
{
  EXPECT_EQ(FaultsWith("\"zoneAutonomyMs\": 3600000",
                       "\"zoneAutonomyMs\": 9999, \"leaseMs\": 1"),
            (Lines{ "/timings/zoneAutonomyMs", "/timings/leaseMs" }));
  EXPECT_EQ(FaultsWith("\"debug\"", "\"loud\""), Lines{ "/log/level" });
}

// Guards against messages from which an operator cannot find the fault.
TEST(LoadSettings, FaultNamesFilePathValueAndExpectation)
{
  std::string file = testing::TempDir() + "limpetwood-settings-test.json";
  std::ofstream(file) << SettingsWith("\"zoneAutonomyMs\": 3600000",
                                      "\"repairAfterMs\": 4999");
  Parsed<Settings> parsed = LoadSettings(file);
  ASSERT_EQ(parsed.faults.size(), 1U);
  EXPECT_EQ(FormatFault(file, parsed.faults[0]),
            file + ": /timings/repairAfterMs: 4999; expected an integer from "
                   "5000 to 86400000");
  EXPECT_EQ(LoadSettings(file + ".absent").faults.at(0).value, "unreadable");
}

} // namespace
} // namespace limpetwood::model
