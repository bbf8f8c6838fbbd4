// The control part of one instance: takes part in the election of its zone's
// authority, runs the zone's scheduler while elected, keeps the configuration
// in force, reports to the control leader and answers the control API.
//
// Single-threaded and without sockets: driven by `OnControl`, `OnApiCall` and
// `Tick`.

#pragma once

#include "daemon/environment.h"
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
#include <string>
#include <vector>

namespace limpetwood::daemon {

struct ApiCall
{
  std::string method;
  std::string target;
  std::string body;
  std::string baseVersion;
  std::string key;
};

using ApiDone = std::function<void(ApiAnswer)>;

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
  // Refusals by the reason given to the caller.
  std::map<std::string, uint64_t> refusals;
};

class InstanceCore
{
public:
  // `aHeld` is the synced configuration of an instance with a disk.
  InstanceCore(model::Settings aSettings,
               std::optional<membership::VersionedConfiguration> aHeld,
               Environment& aEnvironment,
               uint64_t aSeed,
               Millis aNow);

  void OnControl(const InstanceId& aFrom,
                 const control::gen::ControlMessage& aMessage,
                 Millis aNow);
  // `aDone` runs exactly once, possibly before the call returns.
  void OnApiCall(ApiCall aCall, Millis aNow, ApiDone aDone);
  void Tick(Millis aNow);
  Millis NextTick() const { return mNextTick; }

  // Gives up the zone's authority and reports the drain to the leader.
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
    ApiDone done;
    Millis deadline;
  };
  // Collects the worker lists of all zones.
  struct Gather;

  void OnConfigurationUpdate(const control::gen::ConfigurationUpdate& aUpdate);
  void Offer(membership::VersionedConfiguration aOffered, bool aLinearizable);
  void EnterForce();
  void OnHeartbeatReply(const control::gen::HeartbeatReply& aReply,
                        const InstanceId& aFrom,
                        Millis aNow);
  void OnLeaseRequest(const InstanceId& aFrom,
                      const control::gen::LeaseRequest& aRequest,
                      Millis aNow);
  void OnInstanceCall(const InstanceId& aFrom,
                      const control::gen::InstanceCall& aCall,
                      Millis aNow);
  void Handle(const membership::CandidateOutput& aOutput, Millis aNow);
  void BecomeAuthority(Millis aNow);
  void LoseAuthority();
  void SendHeartbeat(Millis aNow);
  void RequestConfiguration(Millis aNow);
  void ReportLeftovers(Millis aNow);

  ApiAnswer Refuse(int aStatus, std::string_view aReason);
  void SubmitConfiguration(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  ApiAnswer ValidateConfiguration(const ApiCall& aCall);
  void SubmitJob(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void CancelJob(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void FenceZone(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void DrainInstance(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void CallAuthority(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void ListWorkers(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void ReadFromLeader(const ApiCall& aCall, Millis aNow, ApiDone aDone);
  void Forward(const InstanceId& aTo,
               const ApiCall& aCall,
               Millis aNow,
               ApiDone aDone);
  ApiAnswer AnswerAsAuthority(const ApiCall& aCall, Millis aNow);
  std::string NewJobId();
  std::optional<InstanceId> AuthorityInstance(Millis aNow) const;

  model::Settings mSettings;
  Environment& mEnvironment;
  Random mRandom;
  Incarnation mIncarnation;
  membership::ConfigurationHolder mHolder;
  std::optional<model::PlannedDocument> mPlanned;
  LeaderClient mLeader;
  membership::LeaseVoter mVoter;
  membership::LeaseCandidate mCandidate;
  // Exists while this instance is, or was until a moment ago, the authority.
  std::unique_ptr<ZoneAuthority> mAuthority;
  // Events of a former authority here that the leader has not committed.
  std::vector<control::gen::JobEvent> mLeftovers;
  Epoch mLeftoversEpoch;
  bool mLeftoversInFlight = false;
  std::map<int64_t, ForwardedCall> mForwarded;
  int64_t mNextCall;
  Millis mNextHeartbeat;
  Millis mNextConfigurationRequest;
  Millis mNextTick;
  bool mDraining = false;
  InstanceCounters mCounters;
};

} // namespace limpetwood::daemon
