// The control logic of one instance: takes part in the election of its zone's
// authority, runs the zone's scheduler while elected, holds the configuration
// in force, sends heartbeats to the control leader and answers the control API.
//
// Single-threaded and without I/O of its own; driven by `OnControl`,
// `OnApiCall` and `Tick`.

#pragma once

#include "base/revision_history.h"
#include "daemon/instance_environment.h"
#include "daemon/leader_client.h"
#include "daemon/zone_authority.h"
#include "membership/configuration_holder.h"
#include "membership/instance_table.h"
#include "membership/zone_lease.h"
#include "model/settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace limpetwood::daemon {

struct ApiCall
{
  std::string method;
  // Path and query of the request.
  std::string target;
  std::string body;
  // Values of the headers Limpetwood-Base-Version and
  // Limpetwood-Idempotency-Key; empty if absent, and in forwarded calls.
  std::string baseVersion;
  std::string key;
  // The time of `MonotonicNow()` after which the call arrived; 0 if unknown.
  Millis arrivedAfter{};
};

using ApiCallback = std::function<void(ApiAnswer)>;

struct InstanceCounters
{
  uint64_t apiCalls = 0;
  uint64_t configurationsAdopted = 0;
  uint64_t configurationsStale = 0;
  uint64_t deltasApplied = 0;
  uint64_t deltasRefused = 0;
  uint64_t callsForwarded = 0;
  uint64_t authorityElections = 0;
  uint64_t authorityLosses = 0;
  // Refused calls by the reason in the answer.
  std::map<std::string, uint64_t> refusals;
};

class InstanceCore
{
public:
  // `aStored` is the configuration that was loaded from disk, if any. `aSeed`
  // must differ at each start of the process, because the ids of requests and
  // forwarded calls derive from it.
  InstanceCore(model::Settings aSettings,
               std::optional<membership::VersionedConfiguration> aStored,
               InstanceEnvironment& aEnvironment,
               uint64_t aSeed,
               Millis aNow);

  void OnControl(const InstanceId& aFrom,
                 const control::gen::ControlMessage& aMessage,
                 Millis aNow);
  // `aDone` runs exactly once, possibly before the call returns.
  void OnApiCall(ApiCall aCall, Millis aNow, ApiCallback aDone);
  void Tick(Millis aNow);
  Millis NextTick() const { return mNextTick; }

  // Resigns as the zone's authority and reports the drain to the control
  // leader.
  void StartDrain(Millis aNow);

  bool Ready() const { return mHolder.Ready() && !mDraining; }
  ConfigVersion Version() const { return mHolder.Version(); }
  bool IsAuthority(Millis aNow) const { return mCandidate.IsAuthority(aNow); }
  const ZoneAuthority* Authority() const { return mAuthority.get(); }
  const InstanceCounters& Counters() const { return mCounters; }
  bool HasLeaderContact(Millis aNow) const { return mLeader.HasContact(aNow); }

private:
  struct ForwardedCall
  {
    ApiCallback done;
    Millis deadline;
  };
  // Collects the worker lists of all zones for one API call.
  struct WorkerListCollector;

  void OnConfigurationUpdate(const control::gen::ConfigurationUpdate& aUpdate);
  // Passes an offered configuration to the holder, stores it if the holder
  // requires that, and activates it if it is now in force.
  void OnOfferedConfiguration(membership::VersionedConfiguration aOffered,
                              bool aLinearizable);
  void ActivateConfiguration();
  // Takes the evacuated zones from a message of the control leader, unless they
  // are older than the known ones.
  void OnEvacuatedZones(const control::gen::EvacuatedZones& aEvacuated,
                        Millis aNow);
  void OnHeartbeatReply(const control::gen::HeartbeatReply& aReply,
                        const InstanceId& aFrom,
                        Millis aNow);
  void OnLeaseRequest(const InstanceId& aFrom,
                      const control::gen::LeaseRequest& aRequest,
                      Millis aNow);
  void OnInstanceCall(const InstanceId& aFrom,
                      const control::gen::InstanceCall& aCall,
                      Millis aNow);
  void ApplyElectionOutput(const membership::CandidateOutput& aOutput,
                           Millis aNow);
  void BecomeAuthority(Millis aNow);
  // Passes the configuration to the zone authority, with the plan that applies
  // while zones are evacuated.
  void ConfigureAuthority(Millis aNow);
  void LoseAuthority();
  void SendHeartbeat(Millis aNow);
  void RequestConfiguration(Millis aNow);
  void ReportUncommittedEvents(Millis aNow);

  // Counts a refusal and returns its answer.
  ApiAnswer Refuse(int aStatus, std::string_view aReason);
  void SubmitConfiguration(const ApiCall& aCall,
                           Millis aNow,
                           ApiCallback aDone);
  ApiAnswer ValidateConfiguration(const ApiCall& aCall);
  void SubmitJob(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  void CancelJob(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  void FenceZone(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  // Handles the calls that evacuate and restore a zone.
  void OrderZone(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  // Proposes the order, and again if it is refused as possibly outdated while
  // its caller certainly waits for the answer.
  void ProposeZoneOrder(const control::gen::ZoneOrder& aOrder,
                        bool aEvacuate,
                        Millis aArrivedAfter,
                        Millis aNow,
                        ApiCallback aDone);
  void DrainInstance(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  void CallAuthority(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  void ListWorkers(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  void ReadFromLeader(const ApiCall& aCall, Millis aNow, ApiCallback aDone);
  void Forward(const InstanceId& aTo,
               const ApiCall& aCall,
               Millis aNow,
               ApiCallback aDone);
  ApiAnswer AnswerAsAuthority(const ApiCall& aCall, Millis aNow);
  std::string NewJobId();
  // Returns this instance if it is the zone's authority, else the holder of the
  // lease that this instance has granted, or nullopt if there is none.
  std::optional<InstanceId> KnownAuthority(Millis aNow) const;

  model::Settings mSettings;
  InstanceEnvironment& mEnvironment;
  Random mRandom;
  Incarnation mIncarnation;
  membership::ConfigurationHolder mHolder;
  std::optional<model::PlannedDocument> mPlanned;
  LeaderClient mLeader;
  membership::LeaseVoter mVoter;
  membership::LeaseCandidate mCandidate;
  // Exists from this instance's election until `LoseAuthority`. May briefly
  // outlast the authority lease, so check `IsAuthority` before use.
  std::unique_ptr<ZoneAuthority> mAuthority;
  // Time of the election that created `mAuthority`.
  Millis mAuthoritySince;
  // The evacuated zones as of the log index of their last known change. The
  // index never decreases, so that a late message of an earlier leader has no
  // effect.
  std::set<ZoneId> mEvacuatedZones;
  uint64_t mEvacuationIndex = 0;
  // Log indexes of the latest orders about zones, by the control leader.
  RevisionHistory mZoneOrderIndexes;
  // Events that this instance executed as an authority while cut off and that
  // were not committed when it lost authority.
  std::vector<control::gen::JobEvent> mUncommittedEvents;
  Epoch mUncommittedEpoch;
  bool mUncommittedInFlight = false;
  std::map<int64_t, ForwardedCall> mForwarded;
  int64_t mLastCallId;
  Millis mNextHeartbeat;
  Millis mNextConfigurationRequest;
  Millis mNextTick;
  bool mDraining = false;
  InstanceCounters mCounters;
};

} // namespace limpetwood::daemon
