// One member of the control group: the replicated control state and, while
// this replica leads, the duties of the control leader.
//
// The leader answers heartbeats with job orders, accepts commands and queries
// from all instances, casts the tie-breaking vote in authority elections of
// zones with an even number of instances, assigns jobs to zones, distributes
// accepted configurations, fences zones whose autonomy has ended and replaces
// unreachable voters.
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
  // All instances that the settings declare.
  std::vector<model::DeclaredInstance> instances;
  // Time for which a zone may run jobs without contact to the control leader.
  Millis zoneAutonomy = Hours(2);
  // Duration of a worker's lease. Part of the time after which the jobs of an
  // unreachable zone are reassigned.
  Millis workerLease = Seconds(15);
  // A voter that was not heard from for longer than this is replaced.
  Millis repairAfter = Seconds(60);
};

// Services that the hosting process provides to the control group.
class ControlGroupEnvironment
{
public:
  virtual ~ControlGroupEnvironment() = default;

  virtual void SendReplication(const InstanceId& aTo, std::string aBytes) = 0;
  virtual void SendControl(const InstanceId& aTo,
                           const gen::ControlMessage& aMessage) = 0;
  // Writes one log line for a change of state.
  virtual void Log(const LogEvent& aEvent) = 0;
};

struct ControlGroupCounters
{
  uint64_t heartbeats = 0;
  // Messages refused because this replica does not lead.
  uint64_t notLeader = 0;
  // Commands received from instances, without those of the leader itself.
  uint64_t proposals = 0;
  uint64_t queries = 0;
  // Configurations sent, in full or as a delta.
  uint64_t configurationsSent = 0;
  uint64_t deltasSent = 0;
  // Counted when proposed, whether or not the proposal is committed: jobs in
  // assignment commands, fence commands and promotions of learners.
  uint64_t assignments = 0;
  uint64_t zonesFenced = 0;
  uint64_t learnerPromotions = 0;
  // Zone orders applied while leading that changed the set of evacuated zones.
  uint64_t zonesEvacuated = 0;
  uint64_t zonesRestored = 0;
  // Time from the start of the distribution of the last converged configuration
  // by this leader until the last live instance reported it.
  Millis lastConvergence;
};

class ControlGroup : private replication::StateMachine
{
public:
  // Opens the replica's log in `aOptions.group.folder`. Fails as
  // `replication::Group::Open` does. `aEnvironment` must outlive the group.
  static Result<std::unique_ptr<ControlGroup>> Open(
    ControlGroupOptions aOptions,
    ControlGroupEnvironment& aEnvironment);

  // Handle a message of the replication or control channel. Replies go to the
  // environment. All times are monotonic.
  void OnReplication(const InstanceId& aFrom,
                     std::string_view aBytes,
                     Millis aNow);
  void OnControl(const InstanceId& aFrom,
                 const gen::ControlMessage& aMessage,
                 Millis aNow);
  // Does all work that is due. Call after messages and at `NextTick()`.
  void Tick(Millis aNow);
  Millis NextTick() const;

  // Transfers leadership to a voter with a complete log if this replica leads.
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
  // Replies `NotLeader`. Lease requests get no reply, because only the leader
  // has the tie-breaking vote.
  void RefuseAsFollower(const InstanceId& aFrom,
                        const gen::ControlMessage& aMessage);

  void UpdateLeadership(Millis aNow);
  void PushUpdates(Millis aNow);
  void SendConfiguration(const InstanceId& aTo,
                         ConfigVersion aKnown,
                         bool aLinearizable);
  // Sends the term, the configuration version, the evacuated zones and, to a
  // zone authority, the job orders that follow log index `aAfter`. `aAfter` is
  // `kNotAuthority` for other instances. `aSentAtMs` is copied from the
  // heartbeat; 0 if the message does not answer one.
  void SendHeartbeatReply(const InstanceId& aInstance,
                          const ZoneId& aZone,
                          uint64_t aAfter,
                          int64_t aSentAtMs);
  // Reads the state once after leadership is gained, to learn when all commands
  // of earlier leaders have been applied.
  void ConfirmState(Millis aNow);
  void LogZoneOrders(const std::map<ZoneId, ZoneEvacuation>& aBefore);
  // Plans the guarantees anew after a change of the configuration or of the
  // evacuated zones, and raises or ends the alarm for missing ones.
  void UpdateEvacuatedPlan();
  void AssignJobs(Millis aNow);
  void FenceUnreachableZones(Millis aNow);
  void MeasureConvergence(Millis aNow);
  void RepairMembership(Millis aNow);
  void Propose(const gen::Command& aCommand, Millis aNow);
  QuerySources CollectQuerySources() const;

  ControlGroupOptions mOptions;
  ControlGroupEnvironment& mEnvironment;
  ControlState mState;
  std::unique_ptr<replication::Group> mGroup;

  // Leader state from here to `mNextMaintenance`: used only while leading.
  // `UpdateLeadership` resets it when leadership is gained, except for the
  // cached assigner.
  bool mLeading = false;
  Millis mLeadingSince;
  // True if all commands of earlier leaders have been applied.
  bool mStateComplete = false;
  bool mStateReadInFlight = false;
  membership::InstanceTable mInstances;
  std::map<ZoneId, membership::LeaseVoter> mTieBreakers;
  std::optional<Assigner> mAssigner;
  // Configuration version and evacuation index that `mAssigner` and the alarm
  // `zone_evacuation_breaks_guarantees` are based on.
  std::pair<ConfigVersion, uint64_t> mPlannedFor;
  // At most one assignment command and one membership change are proposed at a
  // time.
  bool mAssignInFlight = false;
  bool mMembershipInFlight = false;
  Millis mNextMaintenance;

  // Set by `Apply` and `Restore`; the next `Tick` pushes the changes while
  // leading and clears the flags.
  bool mConfigurationChanged = false;
  bool mEvacuationChanged = false;
  bool mOrdersChanged = false;
  // Log index up to which orders were sent to the authority of each zone.
  std::map<ZoneId, uint64_t> mPushedOrdersIndex;
  // Version that not all live instances have reported yet, and the time at
  // which this leader started to distribute it.
  std::optional<std::pair<ConfigVersion, Millis>> mConvergingVersion;
  std::map<std::string, QuerySources::Alarm> mAlarms;
  ControlGroupCounters mCounters;
};

} // namespace limpetwood::control
