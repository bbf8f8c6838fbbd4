// Guards against missing, unknown or out-of-range settings that are accepted,
// and against faults that lack the path of the setting.

#include "fleetd/file_budget.h"
#include "fleetd/settings.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood::fleetd {
namespace {

nlohmann::json
ValidSettings()
{
  return nlohmann::json::parse(R"({
    "instance": "core-1", "zone": "sogn", "address": "10.1.0.7",
    "firstInternalPort": 9000, "seeds": ["10.1.0.7:8080"], "firstStart": true,
    "dataFolder": "/data", "controlAddress": "10.1.0.7:8081",
    "bounds": { "longestLeaseMs": 10000, "stopTimeMs": 900,
                "heartbeatMs": 1500, "shutdownMs": 6000,
                "toleratedInstances": 1,
                "openFiles": 4096 } })");
}

bool
HasFaultAt(const nlohmann::json& aSettings, const std::string& aPath)
{
  model::Faults faults = ParseSettings(aSettings.dump()).faults;
  return std::any_of(faults.begin(), faults.end(), [&](const auto& it) {
    return it.path == aPath && !it.expected.empty();
  });
}

TEST(FleetSettings, ReadsValidSettings)
{
  SettingsResult result =
    ParseSettings("// a comment\n" + ValidSettings().dump());
  ASSERT_TRUE(result.Ok()) << result.faults.front().path;
  EXPECT_EQ(result.value.instance, InstanceId("core-1"));
  EXPECT_EQ(result.value.bindAddress, "10.1.0.7");
  EXPECT_EQ(result.value.firstPort, 9000);
  EXPECT_EQ(result.value.seeds, std::vector<std::string>{ "10.1.0.7" });
  EXPECT_EQ(result.value.dataFolder, "/data");
  EXPECT_EQ(result.value.bounds.maxLease, Seconds(10));
  EXPECT_EQ(result.value.controlEndpoint->port, 8081);
}

// Guards against a misspelled list of zones that lets every zone order fail.
TEST(FleetSettings, ReadsZones)
{
  nlohmann::json settings = ValidSettings();
  settings["zones"] = { "sogn", "hardanger" };
  SettingsResult result = ParseSettings(settings.dump());
  ASSERT_TRUE(result.Ok());
  EXPECT_EQ(result.value.zones,
            (std::vector{ ZoneId("sogn"), ZoneId("hardanger") }));
  settings["zones"] = { "sogn", 3 };
  EXPECT_TRUE(HasFaultAt(settings, "/zones"));
  settings["zones"] = "sogn";
  EXPECT_TRUE(HasFaultAt(settings, "/zones"));
}

// Guards against a misspelled policy that silently keeps the default.
TEST(FleetSettings, ReadsTheOverloadPolicy)
{
  nlohmann::json settings = ValidSettings();
  EXPECT_EQ(ParseSettings(settings.dump()).value.overloadPolicy,
            OverloadPolicy::kPriority);
  settings["overloadPolicy"] = "caller_cost";
  SettingsResult result = ParseSettings(settings.dump());
  ASSERT_TRUE(result.Ok());
  EXPECT_EQ(result.value.overloadPolicy, OverloadPolicy::kCallerCost);
  settings["overloadPolicy"] = "callercost";
  EXPECT_TRUE(HasFaultAt(settings, "/overloadPolicy"));
}

TEST(FleetSettings, MissingValuesAreFaults)
{
  for (const char* key : { "instance",
                           "zone",
                           "address",
                           "firstInternalPort",
                           "seeds",
                           "firstStart",
                           "bounds" }) {
    nlohmann::json settings = ValidSettings();
    settings.erase(key);
    EXPECT_TRUE(HasFaultAt(settings, std::string("/") + key)) << key;
  }
}

TEST(FleetSettings, InvalidValuesAndUnknownKeysAreFaults)
{
  nlohmann::json settings = ValidSettings();
  settings["firstInternalPort"] = 70000;
  settings["bounds"]["stopTimeMs"] = 0;
  settings["bounds"]["toleratedInstances"] = -1;
  settings["controlAddress"] = "somewhere";
  settings["seeds"].push_back(7);
  settings["extra"] = 1;
  for (const char* path : { "/firstInternalPort",
                            "/bounds/stopTimeMs",
                            "/bounds/toleratedInstances",
                            "/controlAddress",
                            "/seeds",
                            "/extra" }) {
    EXPECT_TRUE(HasFaultAt(settings, path)) << path;
  }
}

TEST(FleetSettings, InvalidJsonAndUnreadableFilesAreFaults)
{
  EXPECT_FALSE(ParseSettings("[]").Ok());
  EXPECT_FALSE(ParseSettings("{").Ok());
  EXPECT_FALSE(LoadSettings("/does/not/exist").Ok());
}

// Guards against shares that together exceed the descriptors of the process,
// and against a deployment whose workers or entry instances do not fit.
TEST(FileBudget, SharesFitTheDeploymentAndTheLimit)
{
  FileBudget budget = DivideFiles(4096);
  EXPECT_LE(budget.requestConnections + budget.controlConnections +
              budget.workerConnections + kReservedFiles,
            4096U);
  // 540 workers with two connections each, and their heartbeats.
  EXPECT_GE(budget.workerConnections, 540U * 2);
  EXPECT_GE(budget.controlConnections, 540U * 2);
  // 97 entry instances with 10 requests in flight each.
  EXPECT_GE(budget.requestConnections, 97U * 10);
  EXPECT_EQ(DivideFiles(100).requestConnections, 0U);
}

} // namespace
} // namespace limpetwood::fleetd
