#include "daemon/actors.h"

#include "daemon/configuration_file.h"
#include "daemon/log.h"
#include "daemon/message_routing.h"

#include <algorithm>
#include <chrono>

namespace limpetwood::daemon {

namespace {

// Interval at which metrics are published.
constexpr Millis kPublishInterval = Seconds(1);

std::chrono::milliseconds
Until(Millis aAt, Millis aNow)
{
  return std::chrono::milliseconds(std::max<int64_t>(0, (aAt - aNow).Count()));
}

uint64_t
SeedOf(const InstanceId& aInstance)
{
  return static_cast<uint64_t>(WallNow().Count()) ^
         std::hash<InstanceId>()(aInstance);
}

} // namespace

ControlGroupActor::ControlGroupActor(caf::actor_config& aConfig,
                                     ActorHost* aHost,
                                     control::ControlGroupOptions aOptions)
  : caf::event_based_actor(aConfig)
  , mHost(aHost)
  , mOptions(std::move(aOptions))
{
}

caf::behavior
ControlGroupActor::make_behavior()
{
  mOptions.group.seed = SeedOf(mOptions.group.self);
  auto opened = control::ControlGroup::Open(mOptions, *this);
  if (!opened) {
    LogError(LogEvent("control_state_not_opened")
               .Add("folder", mOptions.group.folder)
               .Add("error", opened.Error().message()));
    return {};
  }
  mGroup = std::move(opened).Value();
  ScheduleTick();
  return {
    [this](const ReplicationBytes& aMessage) {
      mGroup->OnReplication(aMessage.from, aMessage.bytes, MonotonicNow());
      ScheduleTick();
    },
    [this](const ControlBytes& aMessage) {
      auto decoded = DecodeControlMessage(aMessage.bytes);
      if (decoded) {
        mGroup->OnControl(aMessage.from, decoded.Value(), MonotonicNow());
        ScheduleTick();
      }
    },
    [this](TickAtom) { OnTick(); },
    [this](DrainAtom) {
      mGroup->PrepareShutdown(MonotonicNow());
      ScheduleTick();
    },
  };
}

void
ControlGroupActor::ScheduleTick()
{
  if (!mTickQueued) {
    mTickQueued = true;
    send(this, TickAtom::value);
  }
}

void
ControlGroupActor::OnTick()
{
  mTickQueued = false;
  Millis now = MonotonicNow();
  mGroup->Tick(now);
  if (now >= mNextPublish) {
    mNextPublish = now + kPublishInterval;
    mHost->PublishControlGroup(*mGroup);
  }
  Millis next = mGroup->NextTick();
  if (next <= now) {
    ScheduleTick();
  } else if (mTimerAt <= now || next < mTimerAt) {
    mTimerAt = next;
    delayed_send(this, Until(next, now), TickAtom::value);
  }
}

void
ControlGroupActor::SendReplication(const InstanceId& aTo, std::string aBytes)
{
  mHost->SendReplicationBytes(aTo, std::move(aBytes));
}

void
ControlGroupActor::SendControl(const InstanceId& aTo,
                               const control::gen::ControlMessage& aMessage)
{
  mHost->SendControlMessage(aTo, aMessage);
}

void
ControlGroupActor::Log(const LogEvent& aEvent)
{
  LogInfo(aEvent);
}

InstanceActor::InstanceActor(
  caf::actor_config& aConfig,
  ActorHost* aHost,
  model::Settings aSettings,
  std::optional<membership::VersionedConfiguration> aStored)
  : caf::event_based_actor(aConfig)
  , mHost(aHost)
  , mSettings(std::move(aSettings))
{
  InstanceEnvironment& environment = *this;
  mCore = std::make_unique<InstanceCore>(mSettings,
                                         std::move(aStored),
                                         environment,
                                         SeedOf(mSettings.instance),
                                         MonotonicNow());
}

caf::behavior
InstanceActor::make_behavior()
{
  ArmTimer();
  return {
    [this](const ControlBytes& aMessage) {
      auto decoded = DecodeControlMessage(aMessage.bytes);
      if (decoded) {
        mCore->OnControl(aMessage.from, decoded.Value(), MonotonicNow());
        ArmTimer();
      }
    },
    [this](const ApiRequest& aRequest) {
      mCore->OnApiCall(aRequest.call, MonotonicNow(), aRequest.done);
      ArmTimer();
    },
    [this](const WorkerResult& aResult) {
      aResult.done(aResult.answer);
      OnTick();
    },
    [this](TickAtom) { OnTick(); },
    [this](DrainAtom) {
      mCore->StartDrain(MonotonicNow());
      OnTick();
    },
  };
}

void
InstanceActor::OnTick()
{
  Millis now = MonotonicNow();
  mCore->Tick(now);
  mHost->SetReady(mCore->Ready());
  if (now >= mNextPublish) {
    mNextPublish = now + kPublishInterval;
    mHost->PublishInstance(*mCore);
  }
  ArmTimer();
}

void
InstanceActor::ArmTimer()
{
  Millis now = MonotonicNow();
  Millis next = mCore->NextTick();
  if (mTimerAt <= now || next < mTimerAt) {
    mTimerAt = std::max(next, now + Millis(1));
    delayed_send(this, Until(mTimerAt, now), TickAtom::value);
  }
}

void
InstanceActor::SendControl(const InstanceId& aTo,
                           const control::gen::ControlMessage& aMessage)
{
  mHost->SendControlMessage(aTo, aMessage);
}

void
InstanceActor::CallWorker(const std::string& aAddress,
                          const std::string& aPath,
                          std::string aBody,
                          std::function<void(WorkerAnswer)> aDone)
{
  caf::actor self(this);
  mHost->CallWorker(
    aAddress,
    aPath,
    std::move(aBody),
    [self, done = std::move(aDone)](WorkerAnswer aAnswer) {
      caf::anon_send(self, WorkerResult{ std::move(aAnswer), done });
    });
}

std::error_code
InstanceActor::Persist(const membership::VersionedConfiguration& aConfiguration)
{
  return StoreConfiguration(*mSettings.dataFolder, aConfiguration);
}

void
InstanceActor::OnConfigurationInForce(
  const membership::VersionedConfiguration& aConfiguration,
  const model::PlannedDocument& aPlanned)
{
  mHost->ConfigurationInForce(aConfiguration.version, aPlanned);
}

void
InstanceActor::OnEvacuatedZones(uint64_t aIndex, const std::set<ZoneId>& aZones)
{
  mHost->EvacuatedZonesChanged(aIndex, aZones);
}

void
InstanceActor::RequestDrain()
{
  mHost->RequestDrain();
}

void
InstanceActor::Log(const LogEvent& aEvent)
{
  LogInfo(aEvent);
}

} // namespace limpetwood::daemon
