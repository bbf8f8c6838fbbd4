// The actors of the daemon: thin shells that give the control group and the
// instance core a thread, timers and a mailbox.

#pragma once

#include "control/control_group.h"
#include "daemon/instance_core.h"

#include <caf/all.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace limpetwood::daemon {

// Bytes from a peer on one channel.
struct ReplicationBytes
{
  InstanceId from;
  std::string bytes;
};

struct ControlBytes
{
  InstanceId from;
  std::string bytes;
};

// A call of the control API; `done` may run on the actor's thread.
struct ApiRequest
{
  ApiCall call;
  ApiDone done;
};

struct WorkerResult
{
  WorkerAnswer answer;
  std::function<void(WorkerAnswer)> done;
};

// What the actors need from the process; callable from any thread.
class ActorHost
{
public:
  virtual ~ActorHost() = default;

  virtual void SendReplicationBytes(const InstanceId& aTo,
                                    std::string aBytes) = 0;
  virtual void SendControlMessage(
    const InstanceId& aTo,
    const control::gen::ControlMessage& aMessage) = 0;
  virtual void CallWorker(const std::string& aAddress,
                          const std::string& aPath,
                          std::string aBody,
                          std::function<void(WorkerAnswer)> aDone) = 0;
  virtual void ConfigurationInForce(ConfigVersion aVersion,
                                    const model::PlannedDocument& aPlanned) = 0;
  virtual void RequestDrain() = 0;
  virtual void SetReady(bool aReady) = 0;
  virtual void PublishGroup(const control::ControlGroup& aGroup) = 0;
  virtual void PublishInstance(const InstanceCore& aCore) = 0;
};

using TickAtom = caf::atom_constant<caf::atom("tick")>;
using DrainAtom = caf::atom_constant<caf::atom("drain")>;

// Runs the control group on a thread of its own, because it waits for the
// disk.
class GroupActor
  : public caf::event_based_actor
  , private control::ControlGroupEnvironment
{
public:
  GroupActor(caf::actor_config& aConfig,
             ActorHost* aHost,
             control::ControlGroupOptions aOptions);

  caf::behavior make_behavior() override;

private:
  void SendReplication(const InstanceId& aTo, std::string aBytes) override;
  void SendControl(const InstanceId& aTo,
                   const control::gen::ControlMessage& aMessage) override;
  void Log(const LogEvent& aEvent) override;

  // Ticks after all messages that are in the mailbox now, so that they share
  // one disk sync.
  void TickSoon();
  void OnTick();

  ActorHost* mHost;
  control::ControlGroupOptions mOptions;
  std::unique_ptr<control::ControlGroup> mGroup;
  bool mTickQueued = false;
  Millis mTimerAt = Millis::Max();
  Millis mNextPublish;
};

// Runs the instance core.
class InstanceActor
  : public caf::event_based_actor
  , private Environment
{
public:
  InstanceActor(caf::actor_config& aConfig,
                ActorHost* aHost,
                model::Settings aSettings,
                std::optional<membership::VersionedConfiguration> aHeld);

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
  void InForce(const membership::VersionedConfiguration& aConfiguration,
               const model::PlannedDocument& aPlanned) override;
  void Drain() override;
  void Log(const LogEvent& aEvent) override;

  void OnTick();
  void ArmTimer();

  ActorHost* mHost;
  model::Settings mSettings;
  std::unique_ptr<InstanceCore> mCore;
  Millis mTimerAt = Millis::Max();
  Millis mNextPublish;
};

} // namespace limpetwood::daemon

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::ReplicationBytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::ControlBytes)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::ApiRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(limpetwood::daemon::WorkerResult)
