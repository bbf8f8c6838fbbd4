// The actors of the daemon. They run the control group and the instance core
// with a mailbox, timers and a thread each.

#pragma once

#include "control/control_group.h"
#include "daemon/instance_core.h"

#include <caf/all.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace limpetwood::daemon {

// A message from another instance on the replication channel.
struct ReplicationBytes
{
  InstanceId from;
  std::string bytes;
};

// A message from another instance on the control channel, as encoded by
// `EncodeControlMessage`.
struct ControlBytes
{
  InstanceId from;
  std::string bytes;
};

// A call of the control API. `done` runs on the actor's thread.
struct ApiRequest
{
  ApiCall call;
  ApiCallback done;
};

// The result of a worker call, with the callback to run on the actor's thread.
struct WorkerResult
{
  WorkerAnswer answer;
  std::function<void(WorkerAnswer)> done;
};

// Services that the process provides to the actors. Callable from any thread.
class ActorHost
{
public:
  virtual ~ActorHost() = default;

  virtual void SendReplicationBytes(const InstanceId& aTo,
                                    std::string aBytes) = 0;
  virtual void SendControlMessage(
    const InstanceId& aTo,
    const control::gen::ControlMessage& aMessage) = 0;
  // Sends a POST request with a JSON body to a worker. `aDone` runs on the I/O
  // thread.
  virtual void CallWorker(const std::string& aAddress,
                          const std::string& aPath,
                          std::string aBody,
                          std::function<void(WorkerAnswer)> aDone) = 0;
  // Called when a configuration comes into force on this instance.
  virtual void ConfigurationInForce(ConfigVersion aVersion,
                                    const model::PlannedDocument& aPlanned) = 0;
  // Called when the set of evacuated zones changes.
  virtual void EvacuatedZonesChanged(uint64_t aIndex,
                                     const std::set<ZoneId>& aZones) = 0;
  // Starts the drain of the process.
  virtual void RequestDrain() = 0;
  // Sets the answer of the readiness check.
  virtual void SetReady(bool aReady) = 0;
  // Publish the metrics of the control group or the instance core. Called on
  // the thread of the respective actor.
  virtual void PublishControlGroup(const control::ControlGroup& aGroup) = 0;
  virtual void PublishInstance(const InstanceCore& aCore) = 0;
};

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using DrainAtom = caf::atom_constant<caf::atom("drain")>;

// Runs the control group, on a dedicated thread because it blocks on disk
// syncs.
class ControlGroupActor
  : public caf::event_based_actor
  , private control::ControlGroupEnvironment
{
public:
  ControlGroupActor(caf::actor_config& aConfig,
                    ActorHost* aHost,
                    control::ControlGroupOptions aOptions);

  caf::behavior make_behavior() override;

private:
  void SendReplication(const InstanceId& aTo, std::string aBytes) override;
  void SendControl(const InstanceId& aTo,
                   const control::gen::ControlMessage& aMessage) override;
  void Log(const LogEvent& aEvent) override;

  // Queues a tick behind the messages that are already in the mailbox, so that
  // one disk sync covers all of them.
  void ScheduleTick();
  void OnTick();

  ActorHost* mHost;
  control::ControlGroupOptions mOptions;
  std::unique_ptr<control::ControlGroup> mGroup;
  bool mTickQueued = false;
  // Time of the earliest pending delayed tick. `Millis::Max()` before the first
  // one; a time in the past means that none is pending.
  Millis mTimerAt = Millis::Max();
  Millis mNextPublish;
};

// Runs the instance core and, while elected, the zone authority.
class InstanceActor
  : public caf::event_based_actor
  , private InstanceEnvironment
{
public:
  InstanceActor(caf::actor_config& aConfig,
                ActorHost* aHost,
                model::Settings aSettings,
                std::optional<membership::VersionedConfiguration> aStored);

  caf::behavior make_behavior() override;

private:
  void SendControl(const InstanceId& aTo,
                   const control::gen::ControlMessage& aMessage) override;
  void CallWorker(const std::string& aAddress,
                  const std::string& aPath,
                  std::string aBody,
                  std::function<void(WorkerAnswer)> aDone) override;
  std::error_code Persist(
    const membership::VersionedConfiguration& aConfiguration) override;
  void OnConfigurationInForce(
    const membership::VersionedConfiguration& aConfiguration,
    const model::PlannedDocument& aPlanned) override;
  void OnEvacuatedZones(uint64_t aIndex,
                        const std::set<ZoneId>& aZones) override;
  void RequestDrain() override;
  void Log(const LogEvent& aEvent) override;

  void OnTick();
  void ArmTimer();

  ActorHost* mHost;
  model::Settings mSettings;
  std::unique_ptr<InstanceCore> mCore;
  // As in `ControlGroupActor`.
  Millis mTimerAt = Millis::Max();
  Millis mNextPublish;
};

} // namespace limpetwood::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::ReplicationBytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::ControlBytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::ApiRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::WorkerResult)
