#include "e2e/cluster.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <deque>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace limpetwood::e2e {

namespace {

using nlohmann::json;
namespace fs = std::filesystem;

// Folder with the programs under test, set by the build.
const std::string kBinaries = LIMPETWOOD_BINARIES;

// Reserves free ports on 127.0.0.1. They stay bound for the lifetime of the
// reservation, so that relays, which bind any free port, do not get one of
// them.
class PortReservation
{
public:
  explicit PortReservation(size_t aCount)
  {
    using boost::asio::ip::tcp;
    tcp::endpoint any(boost::asio::ip::make_address("127.0.0.1"), 0);
    for (size_t n = 0; n < aCount; ++n) {
      mAcceptors.emplace_back(mContext, any);
    }
  }

  uint16_t operator[](size_t aIndex) const
  {
    return mAcceptors[aIndex].local_endpoint().port();
  }

private:
  boost::asio::io_context mContext;
  std::deque<boost::asio::ip::tcp::acceptor> mAcceptors;
};

std::string
Address(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string
MakeFolder()
{
  std::string pattern = (fs::temp_directory_path() / "limpetwood-XXXXXX");
  return ::mkdtemp(pattern.data()) != nullptr ? pattern : std::string();
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

} // namespace

bool
Eventually(Millis aLimit, const std::function<bool()>& aCondition)
{
  Millis end = MonotonicNow() + aLimit;
  while (!aCondition()) {
    if (MonotonicNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return true;
}

Cluster::Cluster(ClusterSpec aSpec)
  : mSpec(std::move(aSpec))
  , mFolder(MakeFolder())
{
  PortReservation ports(mSpec.instances.size() * 3);
  for (size_t n = 0; n < mSpec.instances.size(); ++n) {
    mPorts[mSpec.instances[n].id] = { ports[n * 3],
                                      ports[n * 3 + 1],
                                      ports[n * 3 + 2] };
  }
  for (const InstanceSpec& from : mSpec.instances) {
    for (const InstanceSpec& to : mSpec.instances) {
      if (from.id != to.id) {
        mRelayByLink[{ from.id, to.id }] =
          mRelays.Add({ "127.0.0.1", mPorts[to.id].peer });
      }
    }
  }
  for (const InstanceSpec& it : mSpec.instances) {
    WriteSettings(it);
  }
}

Cluster::~Cluster()
{
  mCaller.Kill();
  mProcesses.clear();
  std::error_code ec;
  if (std::getenv("LIMPETWOOD_KEEP") == nullptr) {
    fs::remove_all(mFolder, ec);
  }
}

void
Cluster::WriteSettings(const InstanceSpec& aInstance)
{
  json instances = json::array();
  json voters = json::array();
  for (const InstanceSpec& it : mSpec.instances) {
    uint16_t peer = mPorts[it.id].peer;
    if (it.id != aInstance.id) {
      peer = mRelays.AddressOf(mRelayByLink[{ aInstance.id, it.id }]).port;
    }
    instances.push_back(
      { { "id", it.id },
        { "zone", it.zone },
        { "hasDisk", it.hasDisk },
        { "peerAddress", Address(peer) },
        { "controlAddress", Address(mPorts[it.id].control) } });
    if (it.hasDisk && mSpec.voters.empty()) {
      voters.push_back(it.id);
    }
  }
  for (const std::string& it : mSpec.voters) {
    voters.push_back(it);
  }
  const Ports& ports = mPorts[aInstance.id];
  json settings = { { "instance", aInstance.id },
                    { "zone", aInstance.zone },
                    { "callerAddress", Address(ports.caller) },
                    { "controlAddress", Address(ports.control) },
                    { "peerAddress", Address(ports.peer) },
                    { "instances", instances },
                    { "voters", voters } };
  if (!mSpec.timings.empty()) {
    settings["timings"] = mSpec.timings;
  }
  if (!mSpec.limits.empty()) {
    settings["limits"] = mSpec.limits;
  }
  if (aInstance.hasDisk) {
    settings["dataFolder"] = mFolder + "/data-" + aInstance.id;
  }
  std::ofstream(mFolder + "/" + aInstance.id + ".json") << settings.dump(1);
}

void
Cluster::StartAll()
{
  for (const InstanceSpec& it : mSpec.instances) {
    Start(it.id);
  }
}

void
Cluster::Start(const std::string& aId)
{
  mProcesses[aId] = Child::Start({ kBinaries + "/daemon/limpetwoodd",
                                   "--settings",
                                   mFolder + "/" + aId + ".json" },
                                 mFolder + "/" + aId + ".log");
}

void
Cluster::Kill(const std::string& aId)
{
  mProcesses.at(aId).Kill();
}

void
Cluster::Signal(const std::string& aId, int aSignal)
{
  mProcesses.at(aId).Signal(aSignal);
}

std::optional<int>
Cluster::WaitForExit(const std::string& aId, Millis aLimit)
{
  return mProcesses.at(aId).Wait(static_cast<int>(aLimit.Count()));
}

void
Cluster::DeleteDataFolder(const std::string& aId)
{
  std::error_code ec;
  fs::remove_all(mFolder + "/data-" + aId, ec);
}

void
Cluster::PartitionZone(const std::string& aZone, RelayMode aMode)
{
  std::map<std::string, std::string> zones;
  for (const InstanceSpec& it : mSpec.instances) {
    zones[it.id] = it.zone;
  }
  for (const auto& [link, relay] : mRelayByLink) {
    if ((zones[link.first] == aZone) != (zones[link.second] == aZone)) {
      mRelays.SetMode(relay, aMode);
    }
  }
}

void
Cluster::PartitionInstance(const std::string& aId, RelayMode aMode)
{
  for (const auto& [link, relay] : mRelayByLink) {
    if (link.first == aId || link.second == aId) {
      mRelays.SetMode(relay, aMode);
    }
  }
}

void
Cluster::PartitionLink(const std::string& aFrom,
                       const std::string& aTo,
                       RelayMode aMode)
{
  mRelays.SetMode(mRelayByLink.at({ aFrom, aTo }), aMode);
}

void
Cluster::HealPartitions()
{
  for (const auto& [link, relay] : mRelayByLink) {
    mRelays.SetMode(relay, RelayMode::kForward);
  }
}

std::string
Cluster::ControlAddresses() const
{
  std::string text;
  for (const InstanceSpec& it : mSpec.instances) {
    text += (text.empty() ? "" : ",") + it.zone + "@" +
            Address(mPorts.at(it.id).control);
  }
  return text;
}

void
Cluster::StartWorker(const std::string& aId,
                     const std::string& aZone,
                     const std::vector<std::string>& aExtraOptions)
{
  std::vector<std::string> command = { kBinaries + "/standin/standin_worker",
                                       "--id",
                                       aId,
                                       "--zone",
                                       aZone,
                                       "--rack",
                                       aZone + "-r1",
                                       "--cores",
                                       "64",
                                       "--memory-mb",
                                       "100000",
                                       "--accelerators",
                                       "8",
                                       "--listen",
                                       "127.0.0.1:0",
                                       "--instances",
                                       ControlAddresses(),
                                       "--event-log",
                                       mFolder + "/" + aId + ".worker-events" };
  command.insert(command.end(), aExtraOptions.begin(), aExtraOptions.end());
  mProcesses[aId] = Child::Start(command, mFolder + "/" + aId + ".log");
}

void
Cluster::StartServer(const std::string& aId,
                     const std::string& aZone,
                     const std::vector<std::string>& aExtraOptions)
{
  std::vector<std::string> command = { kBinaries +
                                         "/standin/standin_backend_server",
                                       "--id",
                                       aId,
                                       "--service",
                                       "analysis",
                                       "--zone",
                                       aZone,
                                       "--listen",
                                       "127.0.0.1:0",
                                       "--instances",
                                       ControlAddresses(),
                                       "--event-log",
                                       mFolder + "/" + aId + ".server-events" };
  command.insert(command.end(), aExtraOptions.begin(), aExtraOptions.end());
  mProcesses[aId] = Child::Start(command, mFolder + "/" + aId + ".log");
}

void
Cluster::StartCaller(const std::vector<std::string>& aInstances,
                     const std::vector<std::string>& aExtraOptions)
{
  std::string addresses;
  for (const std::string& it : aInstances) {
    addresses += (addresses.empty() ? "" : ",") + Address(mPorts.at(it).caller);
  }
  std::string name = "caller-" + std::to_string(++mCallerRuns);
  std::vector<std::string> command = { kBinaries + "/standin/standin_caller",
                                       "--instances",
                                       addresses,
                                       "--service",
                                       "analysis",
                                       "--workspace",
                                       "surveys",
                                       "--id-prefix",
                                       name + "-",
                                       "--event-log",
                                       mFolder + "/" + name +
                                         ".caller-events" };
  command.insert(command.end(), aExtraOptions.begin(), aExtraOptions.end());
  mCallerOutput = mFolder + "/" + name + ".json";
  mCaller = Child::Start(command, mCallerOutput);
}

json
Cluster::FinishCaller(Millis aLimit)
{
  mCaller.Wait(static_cast<int>(aLimit.Count()));
  mCaller.Kill();
  return json::parse(ReadFile(mCallerOutput), nullptr, false);
}

json
Cluster::RunCaller(const std::vector<std::string>& aInstances,
                   const std::vector<std::string>& aExtraOptions)
{
  StartCaller(aInstances, aExtraOptions);
  return FinishCaller(Seconds(60));
}

std::vector<json>
Cluster::ReadEvents(const std::string& aSuffix) const
{
  std::vector<json> events;
  for (const auto& it : fs::directory_iterator(mFolder)) {
    if (it.path().extension() != aSuffix) {
      continue;
    }
    std::ifstream in(it.path());
    for (std::string line; std::getline(in, line);) {
      json event = json::parse(line, nullptr, false);
      if (event.is_object()) {
        events.push_back(std::move(event));
      }
    }
  }
  return events;
}

VerdictCounts
Cluster::CountVerdicts() const
{
  std::map<std::string, int> executed;
  for (const json& it : ReadEvents(".server-events")) {
    if (it.value("event", "") == "executed") {
      ++executed[it.value("request", "")];
    }
  }
  VerdictCounts counts;
  for (const auto& [request, n] : executed) {
    counts.executedRepeatedly += n > 1 ? 1 : 0;
  }
  for (const json& it : ReadEvents(".caller-events")) {
    std::string verdict = it.value("verdict", "");
    bool ran = executed.contains(it.value("request", ""));
    if (verdict == "answered") {
      ++counts.answered;
      counts.answeredButNotExecuted += ran ? 0 : 1;
    } else if (verdict == "not_run") {
      ++counts.notRun;
      counts.executedButNotRun += ran ? 1 : 0;
    } else {
      ++counts.mayHaveRun;
    }
  }
  return counts;
}

std::map<int, int>
Cluster::CountStartsByAttempt(const std::string& aJob) const
{
  std::map<int, int> starts;
  for (const json& it : ReadEvents(".worker-events")) {
    if (it.value("event", "") == "start" && it.value("job", "") == aJob) {
      ++starts[it.value("attempt", 0)];
    }
  }
  return starts;
}

int
Cluster::CountSuccesses(const std::string& aJob) const
{
  int successes = 0;
  for (const json& it : ReadEvents(".worker-events")) {
    bool success =
      it.value("event", "") == "end" && it.value("state", "") == "succeeded";
    successes += success && it.value("job", "") == aJob ? 1 : 0;
  }
  return successes;
}

http::FetchResult
Cluster::Fetch(const std::string& aId,
               const std::string& aMethod,
               const std::string& aTarget,
               const std::string& aBody,
               const std::map<std::string, std::string>& aHeaders)
{
  http::Request request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  for (const auto& [name, value] : aHeaders) {
    request.headers.Set(name, value);
  }
  http::FetchResult result =
    http::FetchAndWait({ "127.0.0.1", mPorts.at(aId).control },
                       request,
                       { .timeout = Seconds(6) });
  if (result.verdict != Verdict::kAnswered) {
    result.response = {};
    result.response.status = 0;
  }
  return result;
}

json
Cluster::Get(const std::string& aId, const std::string& aTarget)
{
  http::FetchResult result = Fetch(aId, "GET", aTarget);
  json body = json::parse(result.response.body, nullptr, false);
  return body.is_object() ? body : json::object();
}

std::string
Cluster::Document(int aJobQuota) const
{
  json zones = json::array();
  json racks = json::array();
  for (const InstanceSpec& it : mSpec.instances) {
    if (std::find(zones.begin(), zones.end(), it.zone) != zones.end()) {
      continue;
    }
    zones.push_back(it.zone);
    racks.push_back({ { "id", it.zone + "-r1" },
                      { "zone", it.zone },
                      { "workers", 4 },
                      { "acceleratorsPerWorker", 8 },
                      { "coresPerWorker", 64 },
                      { "memoryMbPerWorker", 100000 } });
  }
  json guarantee = { { "shape",
                       { { "accelerators", 16 }, { "closeness", "rack" } } },
                     { "count", 1 } };
  json document = { { "zones", zones },
                    { "racks", racks },
                    { "workspaces",
                      { { { "id", "surveys" },
                          { "guarantees", { guarantee } },
                          { "quota",
                            { { "accelerators", 1000 },
                              { "jobs", aJobQuota },
                              { "requests", 10000 } } } } } },
                    { "services", { { { "id", "analysis" } } } } };
  return document.dump();
}

uint64_t
Cluster::Configure(const std::string& aId,
                   const std::string& aDocument,
                   uint64_t aBaseVersion)
{
  uint64_t version = 0;
  // Two calls within one millisecond must not share a key.
  static uint64_t sCalls = 0;
  std::string key =
    "k-" + std::to_string(WallNow().Count()) + "-" + std::to_string(++sCalls);
  Eventually(Seconds(20), [&] {
    http::FetchResult result =
      Fetch(aId,
            "PUT",
            "/v1/configuration",
            aDocument,
            { { "Limpetwood-Base-Version", std::to_string(aBaseVersion) },
              { "Limpetwood-Idempotency-Key", key } });
    json body = json::parse(result.response.body, nullptr, false);
    if (result.response.status == 200 && body.is_object()) {
      version = body.value("version", 0U);
    }
    return version > 0;
  });
  return version;
}

std::string
Cluster::SubmitJob(const std::string& aId,
                   const json& aSpec,
                   const std::string& aKey)
{
  std::string job;
  Eventually(Seconds(20), [&] {
    http::FetchResult result =
      Fetch(aId,
            "POST",
            "/v1/jobs",
            aSpec.dump(),
            { { "Limpetwood-Idempotency-Key", aKey } });
    json body = json::parse(result.response.body, nullptr, false);
    if (result.response.status == 200 && body.is_object()) {
      job = body.value("job", "");
    }
    return !job.empty();
  });
  return job;
}

std::string
Cluster::JobState(const std::string& aId, const std::string& aJob)
{
  return Get(aId, "/v1/jobs/" + aJob).value("state", "");
}

uint64_t
Cluster::VersionAt(const std::string& aId)
{
  return static_cast<uint64_t>(Metric(aId, "limpetwood_configuration_version"));
}

std::string
Cluster::Leader()
{
  for (const InstanceSpec& it : mSpec.instances) {
    auto found = mProcesses.find(it.id);
    if (found != mProcesses.end() && found->second.Running() &&
        Metric(it.id, "limpetwood_control_leading") > 0) {
      return it.id;
    }
  }
  return {};
}

std::string
Cluster::AuthorityOf(const std::string& aZone)
{
  for (const InstanceSpec& it : mSpec.instances) {
    auto found = mProcesses.find(it.id);
    if (it.zone == aZone && found != mProcesses.end() &&
        found->second.Running() &&
        Metric(it.id, "limpetwood_zone_authority") > 0) {
      return it.id;
    }
  }
  return {};
}

double
Cluster::Metric(const std::string& aId, const std::string& aName)
{
  std::istringstream lines(Fetch(aId, "GET", "/metrics").response.body);
  double sum = 0;
  for (std::string line; std::getline(lines, line);) {
    bool named = line.starts_with(aName + " ") || line.starts_with(aName + "{");
    if (named) {
      sum += std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
  }
  return sum;
}

std::string
Cluster::ReadLog(const std::string& aId) const
{
  return ReadFile(mFolder + "/" + aId + ".log");
}

} // namespace limpetwood::e2e
