#include "fleetd/settings.h"

#include "base/json.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace limpetwood::fleetd {

namespace {

using nlohmann::json;

// Reads typed members of a JSON object and collects faults.
class ObjectReader
{
public:
  ObjectReader(const json& aObject, std::string aPath, model::Faults& aFaults)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFaults(aFaults)
  {
  }

  const json* Find(const std::string& aKey, bool aRequired)
  {
    mKnownKeys.insert(aKey);
    auto it = mObject.find(aKey);
    if (it == mObject.end() || it->is_null()) {
      if (aRequired) {
        AddFault(aKey, "nothing", "a value");
      }
      return nullptr;
    }
    return &*it;
  }

  void ReadString(const std::string& aKey,
                  std::string& aOut,
                  bool aRequired = true)
  {
    const json* value = Find(aKey, aRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string()) {
      AddFault(aKey, value->dump(), "a string");
      return;
    }
    aOut = value->get<std::string>();
  }

  void ReadInteger(const std::string& aKey,
                   int64_t aMin,
                   int64_t aMax,
                   int64_t& aOut,
                   bool aRequired = true)
  {
    const json* value = Find(aKey, aRequired);
    if (value == nullptr) {
      return;
    }
    bool valid = value->is_number_integer() && value->get<int64_t>() >= aMin &&
                 value->get<int64_t>() <= aMax;
    if (!valid) {
      AddFault(aKey,
               value->dump(),
               "an integer from " + std::to_string(aMin) + " to " +
                 std::to_string(aMax));
      return;
    }
    aOut = value->get<int64_t>();
  }

  void ReadDuration(const std::string& aKey, Millis& aOut)
  {
    int64_t count = aOut.Count();
    ReadInteger(aKey, 1, Hours(1).Count(), count);
    aOut = Millis(count);
  }

  void ReadBool(const std::string& aKey, bool& aOut)
  {
    const json* value = Find(aKey, true);
    if (value == nullptr) {
      return;
    }
    if (!value->is_boolean()) {
      AddFault(aKey, value->dump(), "true or false");
      return;
    }
    aOut = value->get<bool>();
  }

  void ReadEndpoint(const std::string& aKey,
                    std::optional<http::Endpoint>& aOut)
  {
    std::string text;
    ReadString(aKey, text, false);
    if (text.empty()) {
      return;
    }
    auto parsed = http::ParseEndpoint(text);
    if (!parsed) {
      AddFault(aKey, text, "a numeric address with a port");
      return;
    }
    aOut = parsed.Value();
  }

  void AddFault(const std::string& aKey,
                std::string aValue,
                std::string aExpected)
  {
    mFaults.push_back({ .path = mPath + "/" + aKey,
                        .value = std::move(aValue),
                        .expected = std::move(aExpected) });
  }

  void AddUnknownKeyFaults()
  {
    for (const auto& [key, value] : mObject.items()) {
      if (!mKnownKeys.contains(key)) {
        AddFault(key, value.dump(), "a known key");
      }
    }
  }

private:
  const json& mObject;
  std::string mPath;
  model::Faults& mFaults;
  std::set<std::string> mKnownKeys;
};

void
ReadBounds(const json& aObject, Bounds& aOut, model::Faults& aFaults)
{
  ObjectReader reader(aObject, "/bounds", aFaults);
  reader.ReadDuration("longestLeaseMs", aOut.maxLease);
  reader.ReadDuration("stopTimeMs", aOut.maxStopTime);
  reader.ReadDuration("heartbeatMs", aOut.heartbeatInterval);
  reader.ReadDuration("shutdownMs", aOut.shutdownTimeout);
  int64_t tolerated = aOut.toleratedInstances;
  reader.ReadInteger("toleratedInstances", 0, 16, tolerated);
  aOut.toleratedInstances = static_cast<uint32_t>(tolerated);
  int64_t openFiles = aOut.openFiles;
  reader.ReadInteger("openFiles", 512, 1'000'000, openFiles, false);
  aOut.openFiles = static_cast<uint32_t>(openFiles);
  reader.AddUnknownKeyFaults();
}

void
ReadSeeds(ObjectReader& aReader, Settings& aOut)
{
  const json* seeds = aReader.Find("seeds", true);
  if (seeds == nullptr) {
    return;
  }
  if (!seeds->is_array()) {
    aReader.AddFault("seeds", seeds->dump(), "an array of addresses");
    return;
  }
  // The port of a seed is ignored: the relay and the transport derive theirs
  // from `firstInternalPort`.
  for (const json& it : *seeds) {
    auto parsed = http::ParseEndpoint(it.is_string() ? it.get<std::string>()
                                                     : std::string());
    if (parsed) {
      aOut.seeds.push_back(parsed.Value().address);
    } else {
      aReader.AddFault("seeds", it.dump(), "a numeric address with a port");
    }
  }
}

void
ReadZones(ObjectReader& aReader, Settings& aOut)
{
  const json* zones = aReader.Find("zones", false);
  if (zones == nullptr) {
    return;
  }
  bool valid = zones->is_array() &&
               std::all_of(zones->begin(), zones->end(), [](const json& it) {
                 return it.is_string() && !it.get<std::string>().empty();
               });
  if (!valid) {
    aReader.AddFault("zones", zones->dump(), "an array of zone names");
    return;
  }
  for (const json& it : *zones) {
    aOut.zones.emplace_back(it.get<std::string>());
  }
}

void
ReadOverloadPolicy(ObjectReader& aReader, Settings& aOut)
{
  std::string text = "priority";
  aReader.ReadString("overloadPolicy", text, false);
  if (text == "caller_cost") {
    aOut.overloadPolicy = OverloadPolicy::kCallerCost;
  } else if (text != "priority") {
    aReader.AddFault("overloadPolicy", text, "priority or caller_cost");
  }
}

} // namespace

SettingsResult
ParseSettings(std::string_view aText)
{
  SettingsResult out;
  json root = ParseJson(aText, JsonComments::kIgnored);
  if (!root.is_object()) {
    out.faults.push_back(
      { .path = "/", .value = "text", .expected = "a JSON object" });
    return out;
  }
  ObjectReader reader(root, "", out.faults);
  Settings& settings = out.value;
  std::string instance;
  std::string zone;
  reader.ReadString("instance", instance);
  reader.ReadString("zone", zone);
  settings.instance = InstanceId(instance);
  settings.zone = ZoneId(zone);
  reader.ReadString("address", settings.address);
  settings.bindAddress = settings.address;
  reader.ReadString("bindAddress", settings.bindAddress, false);
  int64_t port = 0;
  // Leaves room for the offsets of the internal ports below 65536.
  reader.ReadInteger("firstInternalPort", 1, 65000, port);
  settings.firstPort = static_cast<uint16_t>(port);
  ReadSeeds(reader, settings);
  ReadZones(reader, settings);
  ReadOverloadPolicy(reader, settings);
  reader.ReadBool("firstStart", settings.firstStart);
  std::string folder;
  reader.ReadString("dataFolder", folder, false);
  if (!folder.empty()) {
    settings.dataFolder = folder;
  }
  reader.ReadEndpoint("callerAddress", settings.callerEndpoint);
  reader.ReadEndpoint("readinessAddress", settings.readinessEndpoint);
  reader.ReadEndpoint("controlAddress", settings.controlEndpoint);
  if (const json* bounds = reader.Find("bounds", true)) {
    if (bounds->is_object()) {
      ReadBounds(*bounds, settings.bounds, out.faults);
    } else {
      reader.AddFault("bounds", bounds->dump(), "an object");
    }
  }
  reader.AddUnknownKeyFaults();
  return out;
}

SettingsResult
LoadSettings(const std::string& aFile)
{
  std::ifstream file(aFile);
  std::stringstream text;
  text << file.rdbuf();
  if (!file) {
    SettingsResult out;
    out.faults.push_back(
      { .path = "/", .value = aFile, .expected = "a readable file" });
    return out;
  }
  return ParseSettings(text.str());
}

} // namespace limpetwood::fleetd
