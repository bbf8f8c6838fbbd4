// Parsing and validation of settings files.

#include "model/settings.h"

#include "model/internal/address.h"
#include "model/internal/object_reader.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <set>

namespace limpetwood::model {

namespace {

using internal::FaultList;
using internal::IsAddress;
using internal::Json;
using internal::ObjectReader;
using internal::Range;

constexpr size_t kMaxInstances = 256;
constexpr size_t kMaxVoters = 5;
constexpr size_t kMaxPathBytes = 4000;
constexpr internal::TextLimits kTextLimits{ /*maxBytes=*/1U << 20U,
                                            /*maxDepth=*/8 };

const char* const kListenExpected =
  "a numeric address with a port, such as \"0.0.0.0:7001\" or \"[::]:7001\"";
const char* const kAddressExpected =
  "a numeric address with a port from 1 to 65535, such as "
  "\"10.0.0.1:7003\" or \"[::1]:7003\"";

std::string
ReadAddress(ObjectReader& aObject, const char* aKey, bool aAllowAnyPort)
{
  return aObject.Choice<std::string>(
    aKey,
    [&](const std::string& aText) {
      return IsAddress(aText, aAllowAnyPort) ? std::optional(aText)
                                             : std::nullopt;
    },
    aAllowAnyPort ? kListenExpected : kAddressExpected);
}

std::optional<std::string>
ReadAbsolutePath(ObjectReader& aObject, const char* aKey)
{
  const Json* node = aObject.Find(aKey, false);
  if (!node) {
    return std::nullopt;
  }
  const auto* text = node->get_ptr<const std::string*>();
  if (!text || !text->starts_with('/') || text->size() > kMaxPathBytes) {
    // The text repeats `kMaxPathBytes`.
    aObject.Reject(aKey, *node, "an absolute path of at most 4000 bytes");
    return std::nullopt;
  }
  return *text;
}

// Reads an optional section. If it is absent, all of its fields have their
// defaults.
template<typename T, typename Read>
T
ReadSection(ObjectReader& aParent,
            const char* aKey,
            FaultList& aFaults,
            Read aRead)
{
  static const Json sEmpty = Json::object();
  const Json* node = aParent.Find(aKey, false);
  ObjectReader section(node ? *node : sEmpty, aParent.PathOf(aKey), aFaults);
  T value = aRead(section);
  section.Finish();
  return value;
}

LogSettings
ReadLog(ObjectReader& aObject)
{
  LogSettings log;
  log.level = aObject.Choice<LogLevel>(
    "level",
    ParseLogLevel,
    "one of \"trace\", \"debug\", \"info\", \"warn\", \"error\"",
    log.level);
  log.file = ReadAbsolutePath(aObject, "file");
  return log;
}

LimitSettings
ReadLimits(ObjectReader& aObject)
{
  LimitSettings limits;
  auto count = [&](const char* aKey, uint32_t& aField, Range<uint64_t> aRange) {
    aField = static_cast<uint32_t>(aObject.Integer(aKey, aRange, aField));
  };
  auto bytes = [&](const char* aKey, uint64_t& aField, Range<uint64_t> aRange) {
    aField = aObject.Integer(aKey, aRange, aField);
  };
  count("callerConnections", limits.callerConnections, { 1, 65536 });
  count("controlConnections", limits.controlConnections, { 1, 16384 });
  count("connectionsPerServer", limits.connectionsPerServer, { 1, 1024 });
  bytes("requestBodyBytes", limits.requestBodyBytes, { 1024, 1U << 30U });
  bytes("responseBodyBytes", limits.responseBodyBytes, { 1024, 1U << 30U });
  bytes("controlBodyBytes", limits.controlBodyBytes, { 65536, 64U << 20U });
  count("queuedRequests", limits.queuedRequests, { 1, 1000000 });
  bytes(
    "bufferedBytes", limits.bufferedBytes, { 1U << 20U, uint64_t(64) << 30U });
  return limits;
}

TimingSettings
ReadTimings(ObjectReader& aObject)
{
  TimingSettings timings;
  auto time = [&](const char* aKey, Millis& aField, Range<uint64_t> aRange) {
    aField = Millis(static_cast<int64_t>(
      aObject.Integer(aKey, aRange, static_cast<uint64_t>(aField.Count()))));
  };
  time("authorityLeaseMs", timings.authorityLease, { 1000, 60000 });
  time("authorityRenewMs", timings.authorityRenew, { 100, 30000 });
  time("workerLeaseMs", timings.workerLease, { 1000, 300000 });
  time("workerRenewMs", timings.workerRenew, { 100, 150000 });
  time("slotLeaseMs", timings.slotLease, { 100, 30000 });
  time("serverTtlMs", timings.serverTtl, { 500, 60000 });
  time("electionMinMs", timings.electionMin, { 100, 60000 });
  time("electionMaxMs", timings.electionMax, { 100, 60000 });
  time("zoneAutonomyMs", timings.zoneAutonomy, { 10000, 604800000 });
  time("drainDeadlineMs", timings.drainDeadline, { 0, 86400000 });
  time("repairAfterMs", timings.repairAfter, { 5000, 86400000 });
  time("keyLifetimeMs", timings.keyLifetime, { 10000, 86400000 });
  return timings;
}

void
CheckTimings(const TimingSettings& aTimings, FaultList& aFaults)
{
  auto atLeast = [&](const char* aKey,
                     Millis aValue,
                     Millis aBound,
                     const char* aBoundName) {
    if (aValue < aBound) {
      aFaults.Add(internal::AppendToPointer("/timings", aKey),
                  std::to_string(aValue.Count()),
                  "at least " + std::to_string(aBound.Count()) + ": " +
                    aBoundName);
    }
  };
  // A lease must survive one lost renewal.
  atLeast("authorityLeaseMs",
          aTimings.authorityLease,
          aTimings.authorityRenew * 2,
          "twice authorityRenewMs");
  atLeast("workerLeaseMs",
          aTimings.workerLease,
          aTimings.workerRenew * 2,
          "twice workerRenewMs");
  // Election timeouts need a wide enough interval to randomize over; otherwise
  // candidates time out together and split the vote repeatedly.
  atLeast("electionMaxMs",
          aTimings.electionMax,
          aTimings.electionMin * 3 / 2,
          "1.5 times electionMinMs");
  atLeast("zoneAutonomyMs",
          aTimings.zoneAutonomy,
          aTimings.workerLease,
          "workerLeaseMs");
}

DeclaredInstance
ReadInstance(const Json& aNode, const std::string& aPath, FaultList& aFaults)
{
  ObjectReader object(aNode, aPath, aFaults);
  DeclaredInstance instance;
  instance.id = InstanceId(object.Identifier("id"));
  instance.zone = ZoneId(object.Identifier("zone"));
  instance.peerAddress = ReadAddress(object, "peerAddress", false);
  instance.controlAddress = ReadAddress(object, "controlAddress", false);
  instance.hasDisk = object.Boolean("hasDisk", false);
  object.Finish();
  return instance;
}

void
CheckInstances(const Settings& aSettings, FaultList& aFaults)
{
  std::set<InstanceId> ids;
  std::set<std::string> addresses;
  for (size_t n = 0; n < aSettings.instances.size(); ++n) {
    const DeclaredInstance& it = aSettings.instances[n];
    std::string path = internal::AppendToPointer("/instances", n);
    if (!it.id.empty() && !ids.insert(it.id).second) {
      aFaults.Add(path + "/id", it.id.Value(), "an id declared only once");
    }
    for (const auto& [key, address] :
         { std::pair("/peerAddress", it.peerAddress),
           std::pair("/controlAddress", it.controlAddress) }) {
      if (!address.empty() && !addresses.insert(address).second) {
        aFaults.Add(path + key, address, "an address declared only once");
      }
    }
  }
}

const DeclaredInstance*
FindInstance(const Settings& aSettings, const InstanceId& aId)
{
  auto found =
    std::find_if(aSettings.instances.begin(),
                 aSettings.instances.end(),
                 [&](const DeclaredInstance& x) { return x.id == aId; });
  return found == aSettings.instances.end() ? nullptr : &*found;
}

void
CheckThisInstance(const Settings& aSettings, FaultList& aFaults)
{
  if (aSettings.instance.empty() || aFaults.HasFaultUnder("/instances")) {
    return;
  }
  const DeclaredInstance* self = FindInstance(aSettings, aSettings.instance);
  if (!self) {
    aFaults.Add("/instance",
                aSettings.instance.Value(),
                "the id of an entry of /instances");
    return;
  }
  if (!aSettings.zone.empty() && self->zone != aSettings.zone) {
    aFaults.Add("/zone",
                aSettings.zone.Value(),
                "the zone of this instance in /instances, " +
                  self->zone.Value());
  }
  if (self->hasDisk != aSettings.dataFolder.has_value() &&
      !aFaults.HasFaultUnder("/dataFolder")) {
    aFaults.Add("/dataFolder",
                aSettings.dataFolder.value_or("missing"),
                self->hasDisk ? "a folder, because this instance is declared "
                                "with hasDisk"
                              : "no folder, because this instance is declared "
                                "without hasDisk");
  }
}

void
CheckVoters(const Settings& aSettings, FaultList& aFaults)
{
  size_t count = aSettings.voters.size();
  if (count > 0 && count % 2 == 0) {
    // A group with an even number of voters needs one more voter for a majority
    // and tolerates no more failures than the next smaller odd group.
    aFaults.Add("/voters", std::to_string(count) + " voters", "1, 3 or 5");
  }
  std::set<InstanceId> seen;
  for (size_t n = 0; n < count; ++n) {
    const InstanceId& id = aSettings.voters[n];
    std::string path = internal::AppendToPointer("/voters", n);
    if (id.empty()) {
      continue;
    }
    if (!seen.insert(id).second) {
      aFaults.Add(path, id.Value(), "each voter once");
    }
    const DeclaredInstance* declared = FindInstance(aSettings, id);
    if ((!declared || !declared->hasDisk) &&
        !aFaults.HasFaultUnder("/instances")) {
      aFaults.Add(path, id.Value(), "an instance declared with hasDisk");
    }
  }
}

Settings
ReadSettings(const Json& aRoot, FaultList& aFaults)
{
  ObjectReader root(aRoot, "", aFaults);
  Settings settings;
  settings.instance = InstanceId(root.Identifier("instance"));
  settings.zone = ZoneId(root.Identifier("zone"));
  settings.callerAddress = ReadAddress(root, "callerAddress", true);
  settings.controlAddress = ReadAddress(root, "controlAddress", true);
  settings.peerAddress = ReadAddress(root, "peerAddress", true);
  settings.dataFolder = ReadAbsolutePath(root, "dataFolder");
  root.Array("instances",
             { 1, kMaxInstances },
             true,
             [&](const Json& aNode, const std::string& aPath) {
               settings.instances.push_back(
                 ReadInstance(aNode, aPath, aFaults));
             });
  root.Array("voters",
             { 1, kMaxVoters },
             true,
             [&](const Json& aNode, const std::string& aPath) {
               const auto* text = aNode.get_ptr<const std::string*>();
               bool valid = text && internal::IsIdentifier(*text);
               if (!valid) {
                 aFaults.Add(aPath,
                             internal::DescribeValue(aNode),
                             internal::kIdentifierExpected);
               }
               settings.voters.emplace_back(valid ? *text : std::string());
             });
  settings.log = ReadSection<LogSettings>(root, "log", aFaults, ReadLog);
  settings.limits =
    ReadSection<LimitSettings>(root, "limits", aFaults, ReadLimits);
  settings.timings =
    ReadSection<TimingSettings>(root, "timings", aFaults, ReadTimings);
  root.Finish();
  return settings;
}

} // namespace

const char*
LogLevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::kTrace:
      return "trace";
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      break;
  }
  return "error";
}

std::optional<LogLevel>
ParseLogLevel(std::string_view aName)
{
  for (LogLevel it : { LogLevel::kTrace,
                       LogLevel::kDebug,
                       LogLevel::kInfo,
                       LogLevel::kWarn,
                       LogLevel::kError }) {
    if (aName == LogLevelName(it)) {
      return it;
    }
  }
  return std::nullopt;
}

Parsed<Settings>
ParseSettings(std::string_view aText)
{
  FaultList faults;
  Parsed<Settings> parsed;
  std::optional<Json> root = internal::ParseText(aText, kTextLimits, faults);
  if (root) {
    parsed.value = ReadSettings(*root, faults);
    CheckInstances(parsed.value, faults);
    CheckThisInstance(parsed.value, faults);
    CheckVoters(parsed.value, faults);
    if (!faults.HasFaultUnder("/timings")) {
      CheckTimings(parsed.value.timings, faults);
    }
  }
  parsed.faults = faults.Take();
  return parsed;
}

Parsed<Settings>
LoadSettings(const std::string& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(file),
                    std::istreambuf_iterator<char>() };
  if (!file.is_open() || file.bad()) {
    return { {}, { { "", "unreadable", "a readable settings file" } } };
  }
  return ParseSettings(text);
}

std::string
FormatFault(std::string_view aFile, const Fault& aFault)
{
  return std::string(aFile) + ": " +
         (aFault.path.empty() ? "document" : aFault.path) + ": " +
         aFault.value + "; expected " + aFault.expected;
}

} // namespace limpetwood::model
