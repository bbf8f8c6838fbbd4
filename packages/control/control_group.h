// One member of the control group: the replicated control state and, while
// this replica leads, the duties of the control leader.
//
// The leader answers heartbeats with orders, accepts commands and queries from
// all instances, votes in zones with an even number of instances, assigns jobs
// to zones, sends out accepted configurations, fences zones whose autonomy has
// ended and repairs the group's membership.
//
// Single-threaded; driven by `OnReplication`, `OnControl` and `Tick`.

#pragma once

#include "base/log_event.h"
#include "base/result.h"
#include "control/assigner.h"
#include "control/codec.h"
#include "control/query.h"
#include "control/state.h"
#include "membership/instance_table.h"
#include "membership/zone_lease.h"
#include "model/settings.h"
#include "replication/group.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace limpetwood::control {

struct ControlGroupOptions
{
  replication::GroupOptions group;
  std::vector<model::DeclaredInstance> instances;
  Millis zoneAutonomy = Hours(2);
  Millis workerLease = Seconds(15);
  Millis repairAfter = Seconds(60);
};

// What the control group needs from its process.
class ControlGroupEnvironment
{
public:
  virtual ~ControlGroupEnvironment() = default;

  virtual void SendReplication(const InstanceId& aTo, std::string aBytes) = 0;
  virtual void SendControl(const InstanceId& aTo,
                           const gen::ControlMessage& aMessage) = 0;
  // One line for a change of state.
  virtual void Log(const LogEvent& aEvent) = 0;
};

struct ControlGroupCounters
{
  uint64_t heartbeats = 0;
  uint64_t notLeader = 0;
  uint64_t proposals = 0;
  uint64_t queries = 0;
  uint64_t configurationsSent = 0;
  uint64_t deltasSent = 0;
  uint64_t assignments = 0;
  uint64_t zonesFenced = 0;
  uint64_t repairsStarted = 0;
  // From acceptance of the last configuration to its report by the last live
  // instance.
  Millis lastConvergence;
};

class ControlGroup : private replication::StateMachine
{
public:
  static Result<std::unique_ptr<ControlGroup>> Open(
    ControlGroupOptions aOptions,
    ControlGroupEnvironment& aEnvironment);

  void OnReplication(const InstanceId& aFrom,
                     std::string_view aBytes,
                     Millis aNow);
  void OnControl(const InstanceId& aFrom,
                 const gen::ControlMessage& aMessage,
                 Millis aNow);
  void Tick(Millis aNow);
  Millis NextTick() const;

  // Hands leadership to another voter if this replica leads.
  void PrepareShutdown(Millis aNow);

  bool IsLeading() const { return mLeading; }
  replication::GroupStatus Status() const { return mGroup->Status(); }
  const ControlGroupCounters& Counters() const { return mCounters; }
  const ControlState& State() const { return mState; }

private:
  ControlGroup(ControlGroupOptions aOptions,
               ControlGroupEnvironment& aEnvironment);

  // replication::StateMachine
  std::string Apply(uint64_t aIndex, std::string_view aCommand) override;
  std::string TakeSnapshot() const override { return mState.TakeSnapshot(); }
  bool Restore(std::string_view aSnapshot) override;

  void OnHeartbeat(const InstanceId& aFrom,
                   const gen::Heartbeat& aHeartbeat,
                   Millis aNow);
  void OnPropose(const InstanceId& aFrom,
                 const gen::Propose& aPropose,
                 Millis aNow);
  void OnQuery(const InstanceId& aFrom, const gen::Query& aQuery, Millis aNow);
  void OnConfigurationRequest(const InstanceId& aFrom,
                              const gen::ConfigurationRequest& aRequest,
                              Millis aNow);
  void OnLeaseRequest(const InstanceId& aFrom,
                      const gen::LeaseRequest& aRequest,
                      Millis aNow);
  void RefuseAsFollower(const InstanceId& aFrom,
                        const gen::ControlMessage& aMessage);

  void UpdateLeadership(Millis aNow);
  void Publish(Millis aNow);
  void SendConfiguration(const InstanceId& aTo,
                         ConfigVersion aKnown,
                         bool aLinearizable);
  void SendOrders(const InstanceId& aAuthority,
                  const ZoneId& aZone,
                  uint64_t aAfter,
                  int64_t aSentAtMs);
  void AssignJobs(Millis aNow);
  void FenceLostZones(Millis aNow);
  void MeasureConvergence(Millis aNow);
  void Repair(Millis aNow);
  void Propose(const gen::Command& aCommand, Millis aNow);
  QuerySources Sources() const;

  ControlGroupOptions mOptions;
  ControlGroupEnvironment& mEnvironment;
  ControlState mState;
  std::unique_ptr<replication::Group> mGroup;

  // The rest is used only while leading, and reset when leadership is gained.
  bool mLeading = false;
  Millis mLeadingSince;
  membership::InstanceTable mInstances;
  std::map<ZoneId, membership::LeaseVoter> mTieBreakers;
  std::optional<Assigner> mAssigner;
  ConfigVersion mAssignerVersion;
  bool mAssignInFlight = false;
  bool mMembershipInFlight = false;
  Millis mNextDuties;

  // Set by `Apply`, handled by the next `Publish`.
  bool mConfigurationChanged = false;
  bool mOrdersChanged = false;
  // Log index up to which orders were pushed to the authority of each zone.
  std::map<ZoneId, uint64_t> mOrdersPushed;
  std::optional<std::pair<ConfigVersion, Millis>> mConverging;
  std::map<std::string, QuerySources::Alarm> mAlarms;
  ControlGroupCounters mCounters;
};

} // namespace limpetwood::control
