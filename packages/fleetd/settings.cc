#include "fleetd/settings.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace limpetwood::fleetd {

namespace {

using nlohmann::json;

// Reads one object and collects what is wrong with it.
class Reader
{
public:
  Reader(const json& aObject, std::string aPath, model::Faults& aFaults)
    : mObject(aObject)
    , mPath(std::move(aPath))
    , mFaults(aFaults)
  {
  }

  const json* Find(const std::string& aKey, bool aRequired)
  {
    mKnown.insert(aKey);
    auto it = mObject.find(aKey);
    if (it == mObject.end() || it->is_null()) {
      if (aRequired) {
        Fault(aKey, "nothing", "a value");
      }
      return nullptr;
    }
    return &*it;
  }

  void Text(const std::string& aKey, std::string& aOut, bool aRequired = true)
  {
    const json* value = Find(aKey, aRequired);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string()) {
      Fault(aKey, value->dump(), "a text");
      return;
    }
    aOut = value->get<std::string>();
  }

  void Whole(const std::string& aKey,
             int64_t aLow,
             int64_t aHigh,
             int64_t& aOut)
  {
    const json* value = Find(aKey, true);
    if (value == nullptr) {
      return;
    }
    bool valid = value->is_number_integer() && value->get<int64_t>() >= aLow &&
                 value->get<int64_t>() <= aHigh;
    if (!valid) {
      Fault(aKey,
            value->dump(),
            "a whole number from " + std::to_string(aLow) + " to " +
              std::to_string(aHigh));
      return;
    }
    aOut = value->get<int64_t>();
  }

  void Time(const std::string& aKey, Millis& aOut)
  {
    int64_t count = aOut.Count();
    Whole(aKey, 1, Hours(1).Count(), count);
    aOut = Millis(count);
  }

  void Flag(const std::string& aKey, bool& aOut)
  {
    const json* value = Find(aKey, true);
    if (value == nullptr) {
      return;
    }
    if (!value->is_boolean()) {
      Fault(aKey, value->dump(), "true or false");
      return;
    }
    aOut = value->get<bool>();
  }

  void Address(const std::string& aKey, std::optional<http::Endpoint>& aOut)
  {
    std::string text;
    Text(aKey, text, false);
    if (text.empty()) {
      return;
    }
    auto parsed = http::ParseEndpoint(text);
    if (!parsed) {
      Fault(aKey, text, "a numeric address with a port");
      return;
    }
    aOut = parsed.Value();
  }

  void Fault(const std::string& aKey, std::string aValue, std::string aExpected)
  {
    mFaults.push_back({ .path = mPath + "/" + aKey,
                        .value = std::move(aValue),
                        .expected = std::move(aExpected) });
  }

  void RefuseUnknown()
  {
    for (const auto& [key, value] : mObject.items()) {
      if (!mKnown.contains(key)) {
        Fault(key, value.dump(), "no such key");
      }
    }
  }

private:
  const json& mObject;
  std::string mPath;
  model::Faults& mFaults;
  std::set<std::string> mKnown;
};

void
ReadBounds(const json& aObject, Bounds& aOut, model::Faults& aFaults)
{
  Reader reader(aObject, "/bounds", aFaults);
  reader.Time("longestLeaseMs", aOut.maxLease);
  reader.Time("stopTimeMs", aOut.maxStopTime);
  reader.Time("heartbeatMs", aOut.heartbeatInterval);
  reader.Time("shutdownMs", aOut.shutdownTimeout);
  int64_t tolerated = aOut.toleratedInstances;
  reader.Whole("toleratedInstances", 0, 16, tolerated);
  aOut.toleratedInstances = static_cast<uint32_t>(tolerated);
  reader.RefuseUnknown();
}

void
ReadSeeds(Reader& aReader, Settings& aOut)
{
  const json* seeds = aReader.Find("seeds", true);
  if (seeds == nullptr) {
    return;
  }
  if (!seeds->is_array()) {
    aReader.Fault("seeds", seeds->dump(), "a list of addresses");
    return;
  }
  for (const json& it : *seeds) {
    auto parsed = http::ParseEndpoint(it.is_string() ? it.get<std::string>()
                                                     : std::string());
    if (parsed) {
      aOut.seeds.push_back(parsed.Value().address);
    } else {
      aReader.Fault("seeds", it.dump(), "a numeric address with a port");
    }
  }
}

} // namespace

SettingsResult
ParseSettings(std::string_view aText)
{
  SettingsResult out;
  json root = json::parse(aText, nullptr, false, true);
  if (!root.is_object()) {
    out.faults.push_back(
      { .path = "/", .value = "text", .expected = "a JSON object" });
    return out;
  }
  Reader reader(root, "", out.faults);
  Settings& settings = out.value;
  std::string instance;
  std::string zone;
  reader.Text("instance", instance);
  reader.Text("zone", zone);
  settings.instance = InstanceId(instance);
  settings.zone = ZoneId(zone);
  reader.Text("address", settings.address);
  settings.bindAddress = settings.address;
  reader.Text("bindAddress", settings.bindAddress, false);
  int64_t port = 0;
  reader.Whole("firstInternalPort", 1, 65000, port);
  settings.firstPort = static_cast<uint16_t>(port);
  ReadSeeds(reader, settings);
  reader.Flag("firstStart", settings.firstStart);
  std::string folder;
  reader.Text("dataFolder", folder, false);
  if (!folder.empty()) {
    settings.dataFolder = folder;
  }
  reader.Address("callerAddress", settings.callerEndpoint);
  reader.Address("readinessAddress", settings.readinessEndpoint);
  reader.Address("controlAddress", settings.controlEndpoint);
  if (const json* bounds = reader.Find("bounds", true)) {
    if (bounds->is_object()) {
      ReadBounds(*bounds, settings.bounds, out.faults);
    } else {
      reader.Fault("bounds", bounds->dump(), "an object");
    }
  }
  reader.RefuseUnknown();
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
