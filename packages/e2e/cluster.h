// Runs a small limpetwood system of real processes on 127.0.0.1 for failure
// tests. TCP relays between the instances simulate network faults.
//
// Not thread-safe, except that `Fetch`, `Get`, `Metric` and `VersionAt` may be
// called from any thread at any time.
//
// All files are in a temporary folder, which is deleted at the end. Set the
// environment variable LIMPETWOOD_KEEP to keep it with its logs, settings and
// data for inspection.

#pragma once

#include "base/time.h"
#include "e2e/child.h"
#include "e2e/relay.h"
#include "http/client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace limpetwood::e2e {

struct InstanceSpec
{
  std::string id;
  std::string zone;
  bool hasDisk = true;
};

struct ClusterSpec
{
  std::vector<InstanceSpec> instances;
  // Initial voters; if empty, all instances with a disk.
  std::vector<std::string> voters;
  // Entries of "timings" and "limits" in the settings file of each instance.
  nlohmann::json timings = nlohmann::json::object();
  nlohmann::json limits = nlohmann::json::object();
};

// Verdicts that callers received, checked against the requests that backend
// servers executed.
struct VerdictCounts
{
  uint64_t answered = 0;
  uint64_t notRun = 0;
  uint64_t mayHaveRun = 0;
  // Requests that servers executed more than once.
  uint64_t executedRepeatedly = 0;
  // Callers received "not run", although a server executed the request.
  uint64_t executedButNotRun = 0;
  // Callers received an answer, although no server executed the request.
  uint64_t answeredButNotExecuted = 0;
};

class Cluster
{
public:
  explicit Cluster(ClusterSpec aSpec);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  void StartAll();
  void Start(const std::string& aId);
  void Kill(const std::string& aId);
  void Signal(const std::string& aId, int aSignal);
  std::optional<int> WaitForExit(const std::string& aId, Millis aLimit);
  // Deletes the data folder of a stopped instance.
  void DeleteDataFolder(const std::string& aId);

  // Sets the mode of all relays between the zone's instances and those of other
  // zones, in both directions.
  void PartitionZone(const std::string& aZone, RelayMode aMode);
  // The same between one instance and all others.
  void PartitionInstance(const std::string& aId, RelayMode aMode);
  // Sets the mode of the relay for connections from `aFrom` to `aTo` only.
  void PartitionLink(const std::string& aFrom,
                     const std::string& aTo,
                     RelayMode aMode);
  // Sets all relays to forward.
  void HealPartitions();

  // Starts a stand-in worker with eight accelerators in the zone's rack. Its
  // event log is read by `CountStartsByAttempt` and `CountSuccesses`.
  void StartWorker(const std::string& aId,
                   const std::string& aZone,
                   const std::vector<std::string>& aExtraOptions = {});
  // Starts a stand-in backend server of the service `analysis`.
  void StartServer(const std::string& aId,
                   const std::string& aZone,
                   const std::vector<std::string>& aExtraOptions = {});
  Child& Process(const std::string& aId) { return mProcesses.at(aId); }

  // Runs the stand-in caller, for at most 60 s, and returns its summary like
  // `FinishCaller`.
  nlohmann::json RunCaller(const std::vector<std::string>& aInstances,
                           const std::vector<std::string>& aExtraOptions);
  // Starts the stand-in caller in the background.
  void StartCaller(const std::vector<std::string>& aInstances,
                   const std::vector<std::string>& aExtraOptions);
  // Waits at most `aLimit` for the caller, kills it if it is still running, and
  // returns its summary, or a discarded JSON value if it printed none.
  nlohmann::json FinishCaller(Millis aLimit);
  // Compares the event logs of callers with those of backend servers.
  VerdictCounts CountVerdicts() const;

  // Number of members of a job that workers started, by attempt, from the
  // workers' event logs.
  std::map<int, int> CountStartsByAttempt(const std::string& aJob) const;
  // Number of successful member runs of a job, from the workers' event logs.
  int CountSuccesses(const std::string& aJob) const;

  // Sends a request to the control port of an instance. The status is 0 if no
  // complete response arrived within 6 s.
  http::FetchResult Fetch(
    const std::string& aId,
    const std::string& aMethod,
    const std::string& aTarget,
    const std::string& aBody = {},
    const std::map<std::string, std::string>& aHeaders = {});
  // Returns the response body, or an empty object if it is not a JSON object.
  nlohmann::json Get(const std::string& aId, const std::string& aTarget);

  // A configuration document for all zones of the cluster, with one rack of
  // four workers with eight accelerators each in every zone. Different quotas
  // give different documents, which tests use to create new versions.
  std::string Document(int aJobQuota = 100) const;
  // Submits the document repeatedly under one idempotency key until it is
  // accepted, for at most 20 s. Returns its version, or 0 if it was not
  // accepted.
  uint64_t Configure(const std::string& aId,
                     const std::string& aDocument,
                     uint64_t aBaseVersion);
  // Submits the job repeatedly under `aKey` until it is accepted, for at most
  // 20 s. Returns its id, or an empty string if it was not accepted.
  std::string SubmitJob(const std::string& aId,
                        const nlohmann::json& aSpec,
                        const std::string& aKey);
  // The job's state as the instance reports it, or an empty string.
  std::string JobState(const std::string& aId, const std::string& aJob);

  // Version of the configuration in force on the instance; 0 if there is none
  // or the instance does not respond.
  uint64_t VersionAt(const std::string& aId);
  // The first instance that reports to be the leader, or an empty string.
  std::string Leader();
  // The first instance of the zone that reports to be its authority, or an
  // empty string.
  std::string AuthorityOf(const std::string& aZone);

  // Value of a metric, summed over all label values; 0 if absent.
  double Metric(const std::string& aId, const std::string& aName);

  const std::vector<InstanceSpec>& Instances() const { return mSpec.instances; }
  std::string ReadLog(const std::string& aId) const;

private:
  struct Ports
  {
    uint16_t caller = 0;
    uint16_t control = 0;
    uint16_t peer = 0;
  };

  void WriteSettings(const InstanceSpec& aInstance);
  std::string ControlAddresses() const;
  std::vector<nlohmann::json> ReadEvents(const std::string& aSuffix) const;

  ClusterSpec mSpec;
  std::string mFolder;
  std::map<std::string, Ports> mPorts;
  RelayGroup mRelays;
  // Relay for connections from the first instance to the second.
  std::map<std::pair<std::string, std::string>, size_t> mRelayByLink;
  std::map<std::string, Child> mProcesses;
  Child mCaller;
  std::string mCallerOutput;
  int mCallerRuns = 0;
};

// Polls `aCondition` until it is true or `aLimit` has passed. Returns whether
// it became true.
bool
Eventually(Millis aLimit, const std::function<bool()>& aCondition);

} // namespace limpetwood::e2e
