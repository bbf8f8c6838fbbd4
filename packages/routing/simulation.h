// Simulates several routers in virtual time, with an in-memory network, backend
// servers and callers. For tests and benchmarks only.
//
// The simulation knows which server executes which request and counts every
// violation of a guarantee in `Violations`.

#pragma once

#include "base/random.h"
#include "routing/router.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::routing {

struct SimulationOptions
{
  uint64_t seed = 1;
  uint32_t zones = 1;
  uint32_t instancesPerZone = 2;
  uint32_t serversPerZone = 4;
  uint32_t slots = 8;
  uint32_t connections = 60;
  // Range of the one-way delay; uniformly distributed.
  Millis delayMin = Millis(0);
  Millis delayMax = Millis(1);
  // Probabilities for messages between instances.
  double messageLossRate = 0;
  double messageDuplicationRate = 0;
  // Maximum extra delay, applied to one message in ten, which reorders
  // messages.
  Millis maxExtraDelay{};
  // Range of the time a server takes to execute a request; uniformly
  // distributed.
  Millis executionTimeMin = Millis(10);
  Millis executionTimeMax = Millis(30);
  // Encodes and decodes every message and counts its bytes.
  bool useCodec = false;
  uint32_t workspaces = 2;
  RouterOptions router{};
  ServiceConfig service{};
  // Time until a server that crashed is back.
  Millis restartTime = Seconds(3);
};

// Violations of guarantees; all counts are zero in a correct run.
struct Violations
{
  // Grants that gave a server more concurrent work than it has slots.
  uint64_t overcommitted = 0;
  // Executions of a non-repeatable request, or of one idempotency key, beyond
  // the first.
  uint64_t startedTwice = 0;
  // Requests that were reported as not run although a server started them.
  uint64_t falseNotRun = 0;
  // Grants on a server more than `kLeavingLimit` after it began to leave.
  uint64_t grantedToLeaving = 0;
  // Requests that ended twice, or never.
  uint64_t endedTwice = 0;
  uint64_t neverEnded = 0;
  // Times at which a server had more open connections than it allows.
  uint64_t connectionsExceeded = 0;
  std::string firstReport{};

  uint64_t Total() const
  {
    return overcommitted + startedTwice + falseNotRun + grantedToLeaving +
           endedTwice + neverEnded + connectionsExceeded;
  }
};

struct SimulationCounts
{
  // Attempts sent to servers.
  uint64_t sends = 0;
  // Refusals because all slots of the server were in use.
  uint64_t serverRefusals = 0;
  uint64_t peerMessages = 0;
  uint64_t peerBytes = 0;
  // Executions that a server started.
  uint64_t starts = 0;
  uint64_t homeChanges = 0;
  // Servers that a request crashed.
  uint64_t crashes = 0;
};

class Simulation
{
public:
  struct Server
  {
    ServerId id;
    ZoneId zone;
    uint32_t home = 0;
    Incarnation incarnation{ 1 };
    // Requests that the server executes, and granted attempts that have not
    // arrived yet.
    std::set<uint64_t> running;
    std::set<uint64_t> inTransit;
    // Factor on the execution time.
    int64_t slowdown = 1;
    bool up = true;
    // Accepts requests and never completes them.
    bool stalled = false;
    // Refuses or resets every request.
    bool failing = false;
    // Announcements to this instance are lost; requests from it still arrive.
    std::optional<uint32_t> notHeardBy;
    std::optional<Millis> leavingSince;
    Millis homeSince;
    // Sequence numbers of the last announcement and of the last answered one.
    uint64_t lastAnnouncement = 0;
    uint64_t lastAnswered = 0;
    uint64_t served = 0;
  };

  struct Instance
  {
    InstanceId id;
    ZoneId zone;
    std::unique_ptr<Router> router;
    uint64_t generation = 0;
    bool up = true;
    bool isolated = false;
    uint64_t bytesOut = 0;
  };

  struct Call
  {
    RequestInfo info;
    uint32_t instance = 0;
    uint32_t workspace = 0;
    Millis sentAt;
    Millis endedAt;
    uint32_t starts = 0;
    uint32_t attempts = 0;
    // Crashes each server that executes it, at the end of its execution time.
    bool crashesServer = false;
    uint32_t crashes = 0;
    // The instance that handled the request stopped before its end.
    bool instanceStopped = false;
    std::optional<RequestEnd> ended;
    uint32_t attempt = 0;
    uint32_t server = 0;
    Millis grantedAt;
  };

  explicit Simulation(SimulationOptions aOptions);
  ~Simulation();

  Millis Now() const { return mNow; }
  void RunUntil(Millis aTime);
  void At(Millis aTime, std::function<void()> aAction);

  // Sends a request through one instance and returns its number, the index into
  // `Calls()`. The id, workspace and service of `aInfo` are set here.
  uint64_t Send(uint32_t aInstance,
                uint32_t aWorkspace,
                RequestInfo aInfo = {},
                bool aCrashesServer = false);
  void Cancel(uint64_t aCall);

  void Stop(uint32_t aInstance);
  void Start(uint32_t aInstance);
  void Isolate(uint32_t aInstance, bool aIsolated);
  void Partition(uint32_t aZone, uint32_t aOther, bool aPartitioned);
  void StopServer(uint32_t aServer);
  void StartServer(uint32_t aServer);
  // Blocks the announcements of a server to its current home instance, or ends
  // the blocking.
  void BlockAnnouncements(uint32_t aServer, bool aBlocked);
  void LeaveServer(uint32_t aServer);
  void Reconfigure(const RoutingConfig& aConfig);

  // Checks at the end of a run for requests that never ended and for false "not
  // run" verdicts.
  void CheckAtEnd();

  std::vector<Server>& Servers() { return mServers; }
  std::vector<Instance>& Instances() { return mInstances; }
  const std::vector<Call>& Calls() const { return mCalls; }
  const Violations& ObservedViolations() const { return mViolations; }
  const SimulationCounts& Counts() const { return mCounts; }
  RoutingConfig& Config() { return mConfig; }
  Random& RandomSource() { return mRandom; }
  // Called at the end of each request.
  std::function<void(const Call&)> onRequestEnd;

private:
  struct Event
  {
    Millis at;
    uint64_t order;
    std::function<void()> action;
    bool operator>(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  Millis Delay();
  bool IsPartitioned(const ZoneId& aZone, const ZoneId& aOther) const;
  bool CanReach(const Instance& aFrom, const Server& aTo) const;
  bool CanReach(const Instance& aFrom, const Instance& aTo) const;
  void RecordViolation(uint64_t& aCounter, const std::string& aText);
  void StartRouter(uint32_t aInstance);
  void ScheduleTick(uint32_t aInstance);
  void ApplyEffects(uint32_t aInstance, const Effects& aEffects);
  void SendMessage(uint32_t aFrom, const SendToPeer& aSend);
  void Transmit(uint32_t aFrom, uint32_t aTo, const PeerMessage& aMessage);
  void StartAttempt(uint32_t aInstance, const Grant& aGrant);
  void OnArrival(uint64_t aCall, uint32_t aAttempt, uint32_t aServer);
  void Complete(uint64_t aCall,
                uint32_t aAttempt,
                uint32_t aServer,
                Incarnation aIncarnation);
  void Crash(uint64_t aCall, uint32_t aServer);
  void EndAttempt(uint64_t aCall, uint32_t aAttempt, AttemptOutcome aOutcome);
  void RecordEnd(uint64_t aCall, const RequestEnd& aEnd);
  void Announce(uint32_t aServer, bool aChangeHome);
  void ChooseHome(uint32_t aServer);
  void OpenConnection(uint32_t aInstance, uint32_t aServer, uint32_t aLimit);
  void CloseConnection(const Call& aCall, bool aReusable);
  uint32_t IndexOf(const ServerId& aServer) const;

  SimulationOptions mOptions;
  Random mRandom;
  Millis mNow;
  uint64_t mOrder = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  std::vector<Instance> mInstances;
  std::vector<Server> mServers;
  std::vector<Call> mCalls;
  std::map<std::string, uint32_t> mServerIndex;
  std::map<InstanceId, uint32_t> mInstanceIndex;
  std::set<std::pair<ZoneId, ZoneId>> mPartitions;
  std::map<IdempotencyKey, uint32_t> mKeyStarts;
  struct Connections
  {
    uint32_t busy = 0;
    uint32_t idle = 0;
    uint32_t limit = 0;
  };
  // Keyed by server and instance.
  std::map<std::pair<uint32_t, uint32_t>, Connections> mConnections;
  RoutingConfig mConfig;
  Violations mViolations;
  SimulationCounts mCounts;
};

} // namespace limpetwood::routing
