#include "daemon/instance_core.h"

#include "control/evacuated_plan.h"
#include "model/delta.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood::daemon {

namespace {

using nlohmann::json;
namespace gen = control::gen;

// Longest time between two ticks.
constexpr Millis kTickInterval = Millis(50);
// Interval of configuration requests until the instance is ready.
constexpr Millis kConfigurationRequestInterval = Millis(500);

std::vector<InstanceId>
ReplicasOf(const model::Settings& aSettings)
{
  // The initial voters come first, since one of them is likely to lead.
  std::vector<InstanceId> replicas = aSettings.voters;
  for (const model::DeclaredInstance& it : aSettings.instances) {
    if (it.hasDisk &&
        std::find(replicas.begin(), replicas.end(), it.id) == replicas.end()) {
      replicas.push_back(it.id);
    }
  }
  return replicas;
}

std::set<InstanceId>
InstancesOf(const model::Settings& aSettings, const ZoneId& aZone)
{
  std::set<InstanceId> instances;
  for (const model::DeclaredInstance& it : aSettings.instances) {
    if (it.zone == aZone) {
      instances.insert(it.id);
    }
  }
  return instances;
}

membership::ConfigurationHolder
MakeHolder(bool aHasDisk,
           std::optional<membership::VersionedConfiguration> aStored)
{
  if (aStored) {
    return membership::ConfigurationHolder(std::move(*aStored));
  }
  return membership::ConfigurationHolder(aHasDisk);
}

} // namespace

InstanceCore::InstanceCore(
  model::Settings aSettings,
  std::optional<membership::VersionedConfiguration> aStored,
  InstanceEnvironment& aEnvironment,
  uint64_t aSeed,
  Millis aNow)
  : mSettings(std::move(aSettings))
  , mEnvironment(aEnvironment)
  , mRandom(aSeed)
  , mIncarnation(static_cast<uint64_t>(WallNow().Count()))
  , mHolder(MakeHolder(mSettings.dataFolder.has_value(), std::move(aStored)))
  , mLeader(ReplicasOf(mSettings),
            aSeed,
            membership::HeartbeatInterval(mSettings.instances.size()),
            [this](const InstanceId& aTo, const gen::ControlMessage& aMessage) {
              mEnvironment.SendControl(aTo, aMessage);
            })
  , mVoter(mSettings.instance, mSettings.zone, aNow)
  , mCandidate(mSettings.instance,
               mSettings.zone,
               membership::LeaseCandidate::ElectorateOf(
                 InstancesOf(mSettings, mSettings.zone)),
               // The wall-clock time in seconds, which grows between restarts.
               Epoch(static_cast<uint64_t>(WallNow().Count()) / 1000),
               mRandom(),
               aNow)
  // Random, so that late replies to an earlier process match no call.
  , mLastCallId(static_cast<int64_t>(mRandom.Below(1ULL << 40U)))
  , mNextHeartbeat(aNow)
  , mNextConfigurationRequest(aNow)
  , mNextTick(aNow)
{
  if (mHolder.InForce()) {
    ActivateConfiguration();
  }
}

void
InstanceCore::OnControl(const InstanceId& aFrom,
                        const gen::ControlMessage& aMessage,
                        Millis aNow)
{
  if (aMessage.__isset.heartbeatReply) {
    OnHeartbeatReply(aMessage.heartbeatReply, aFrom, aNow);
  } else if (aMessage.__isset.configurationUpdate) {
    OnConfigurationUpdate(aMessage.configurationUpdate);
  } else if (aMessage.__isset.proposeReply) {
    mLeader.OnProposeReply(aFrom, aMessage.proposeReply, aNow);
  } else if (aMessage.__isset.queryReply) {
    mLeader.OnQueryReply(aFrom, aMessage.queryReply, aNow);
  } else if (aMessage.__isset.notLeader) {
    mLeader.OnNotLeader(aFrom, aMessage.notLeader, aNow);
  } else if (aMessage.__isset.leaseRequest) {
    OnLeaseRequest(aFrom, aMessage.leaseRequest, aNow);
  } else if (aMessage.__isset.leaseReply) {
    ApplyElectionOutput(
      mCandidate.OnReply(control::FromWire(aMessage.leaseReply), aNow), aNow);
  } else if (aMessage.__isset.instanceCall) {
    OnInstanceCall(aFrom, aMessage.instanceCall, aNow);
  } else if (aMessage.__isset.instanceCallReply) {
    const gen::InstanceCallReply& reply = aMessage.instanceCallReply;
    auto it = mForwarded.find(reply.id);
    if (it != mForwarded.end()) {
      ApiCallback done = std::move(it->second.done);
      mForwarded.erase(it);
      done({ reply.status, reply.body });
    }
  }
}

void
InstanceCore::Tick(Millis aNow)
{
  mNextTick = aNow + kTickInterval;
  mLeader.Tick(aNow);
  ApplyElectionOutput(mCandidate.Tick(aNow), aNow);
  if (!mHolder.Ready() && aNow >= mNextConfigurationRequest) {
    RequestConfiguration(aNow);
  }
  if (aNow >= mNextHeartbeat) {
    SendHeartbeat(aNow);
  }
  if (mAuthority) {
    bool cutOff = !mLeader.HasContact(aNow);
    if (cutOff &&
        mCandidate.LeaderContactAge(aNow) >= mSettings.timings.zoneAutonomy &&
        !mAuthority->Suspended()) {
      mEnvironment.Log(
        LogEvent("zone_autonomy_ended").Add("zone", mSettings.zone));
      mAuthority->Suspend();
    }
    mAuthority->Tick(aNow, cutOff);
    mNextTick = std::min(mNextTick, std::max(mAuthority->NextDeadline(), aNow));
    if (mAuthority->Suspended() && !cutOff &&
        !mAuthority->HasUncommittedEvents()) {
      // Contact is restored and all executed events are committed: start anew
      // and receive all orders of the leader again.
      LoseAuthority();
      BecomeAuthority(aNow);
    }
  }
  ReportUncommittedEvents(aNow);
  std::vector<ApiCallback> overdue;
  for (auto it = mForwarded.begin(); it != mForwarded.end();) {
    if (aNow >= it->second.deadline) {
      overdue.push_back(std::move(it->second.done));
      it = mForwarded.erase(it);
    } else {
      ++it;
    }
  }
  for (const ApiCallback& it : overdue) {
    json body = { { "verdict", "may_have_run" }, { "reason", "no_answer" } };
    it({ 502, body.dump() + "\n" });
  }
}

void
InstanceCore::SendHeartbeat(Millis aNow)
{
  mNextHeartbeat =
    aNow + membership::HeartbeatInterval(mSettings.instances.size());
  gen::Heartbeat heartbeat;
  heartbeat.instance = mSettings.instance.Value();
  heartbeat.zone = mSettings.zone.Value();
  heartbeat.incarnation = static_cast<int64_t>(mIncarnation.Value());
  heartbeat.version = static_cast<int64_t>(mHolder.Version().Value());
  heartbeat.ready = mHolder.Ready();
  heartbeat.draining = mDraining;
  heartbeat.sentAtMs = aNow.Count();
  if (mAuthority && mCandidate.IsAuthority(aNow)) {
    heartbeat.__set_authorityEpoch(
      static_cast<int64_t>(mAuthority->CurrentEpoch().Value()));
    heartbeat.liveAccelerators =
      static_cast<int32_t>(mAuthority->LiveAccelerators());
    heartbeat.freeAccelerators =
      static_cast<int32_t>(mAuthority->FreeAccelerators());
    heartbeat.queuedAccelerators =
      static_cast<int32_t>(mAuthority->QueuedAccelerators());
    heartbeat.ordersIndex = static_cast<int64_t>(mAuthority->OrdersIndex());
  }
  gen::ControlMessage message;
  message.__set_heartbeat(heartbeat);
  mEnvironment.SendControl(mLeader.Target(), message);
}

void
InstanceCore::OnHeartbeatReply(const gen::HeartbeatReply& aReply,
                               const InstanceId& aFrom,
                               Millis aNow)
{
  mLeader.OnLeaderMessage(aFrom, aNow);
  if (aReply.sentAtMs > 0) {
    mCandidate.OnLeaderContact(Millis(aReply.sentAtMs));
  }
  if (aReply.__isset.evacuated) {
    OnEvacuatedZones(aReply.evacuated, aNow);
  }
  if (!mAuthority || !mCandidate.IsAuthority(aNow)) {
    return;
  }
  // A pushed message or an answer to an earlier heartbeat may have been sent
  // before the election, with an evacuation state that is out of date.
  if (aReply.sentAtMs > 0 && Millis(aReply.sentAtMs) >= mAuthoritySince &&
      !aReply.stateIncomplete) {
    mAuthority->OnLeaderContact(aNow);
  }
  // Ignore a reply whose orders begin after the last known index, because the
  // orders in between would be missing. The next heartbeat requests them.
  if (!aReply.__isset.afterIndex ||
      static_cast<uint64_t>(aReply.afterIndex) > mAuthority->OrdersIndex()) {
    return;
  }
  mAuthority->OnOrders(
    aReply.orders, static_cast<uint64_t>(aReply.ordersIndex), aNow);
  if (aReply.moreOrders) {
    SendHeartbeat(aNow);
  }
}

void
InstanceCore::OnEvacuatedZones(const gen::EvacuatedZones& aEvacuated,
                               Millis aNow)
{
  mZoneOrderIndexes.Note(
    aNow,
    std::max(static_cast<uint64_t>(aEvacuated.zoneOrderIndex),
             mZoneOrderIndexes.Latest()));
  auto index = static_cast<uint64_t>(aEvacuated.index);
  if (index <= mEvacuationIndex) {
    return;
  }
  std::set<ZoneId> zones;
  for (const std::string& it : aEvacuated.zones) {
    zones.emplace(it);
  }
  mEvacuationIndex = index;
  bool wasEvacuated = mEvacuatedZones.contains(mSettings.zone);
  mEvacuatedZones = std::move(zones);
  bool evacuated = mEvacuatedZones.contains(mSettings.zone);
  if (evacuated != wasEvacuated) {
    mEnvironment.Log(
      LogEvent(evacuated ? "own_zone_evacuated" : "own_zone_restored")
        .Add("zone", mSettings.zone));
  }
  if (mAuthority) {
    if (evacuated != mAuthority->Evacuated()) {
      mAuthority->SetEvacuated(evacuated, aNow);
    }
    if (mPlanned) {
      ConfigureAuthority(aNow);
    }
    mNextTick = aNow;
  }
  mEnvironment.OnEvacuatedZones(mEvacuationIndex, mEvacuatedZones);
}

void
InstanceCore::RequestConfiguration(Millis aNow)
{
  mNextConfigurationRequest = aNow + kConfigurationRequestInterval;
  gen::ConfigurationRequest request;
  request.knownVersion = 0;
  request.linearizable = true;
  gen::ControlMessage message;
  message.__set_configurationRequest(request);
  mEnvironment.SendControl(mLeader.Target(), message);
}

void
InstanceCore::OnConfigurationUpdate(const gen::ConfigurationUpdate& aUpdate)
{
  membership::VersionedConfiguration offered;
  offered.version = ConfigVersion(static_cast<uint64_t>(aUpdate.version));
  if (offered.version == ConfigVersion()) {
    // No configuration has been accepted yet. The instance becomes ready when
    // the first one arrives.
    return;
  }
  offered.document = aUpdate.body;
  if (aUpdate.__isset.baseVersion) {
    ConfigVersion base(static_cast<uint64_t>(aUpdate.baseVersion));
    if (!mPlanned || mHolder.Version() != base) {
      ++mCounters.deltasRefused;
      return;
    }
    // `ApplyDelta` checks the hashes of both documents, which are in the delta.
    auto applied = model::ApplyDelta(*mPlanned, aUpdate.body);
    if (!applied) {
      ++mCounters.deltasRefused;
      mNextConfigurationRequest = Millis();
      return;
    }
    offered.document = model::WritePlannedDocument(applied.Value());
    ++mCounters.deltasApplied;
  }
  OnOfferedConfiguration(std::move(offered), aUpdate.linearizable);
}

void
InstanceCore::OnOfferedConfiguration(
  membership::VersionedConfiguration aOffered,
  bool aLinearizable)
{
  membership::VersionedConfiguration copy = aOffered;
  switch (mHolder.OnOffer(std::move(aOffered), aLinearizable)) {
    case membership::OfferResult::kAdopted:
      ActivateConfiguration();
      return;
    case membership::OfferResult::kPersistFirst:
      if (std::error_code ec = mEnvironment.Persist(copy)) {
        mEnvironment.Log(LogEvent("configuration_not_stored")
                           .Add("version", copy.version)
                           .Add("error", ec.message()));
        return;
      }
      if (mHolder.OnSynced(copy.version)) {
        ActivateConfiguration();
      }
      return;
    case membership::OfferResult::kStale:
      ++mCounters.configurationsStale;
      return;
    case membership::OfferResult::kNeedsLinearizableRead:
      return;
  }
}

void
InstanceCore::ActivateConfiguration()
{
  const membership::VersionedConfiguration& inForce = *mHolder.InForce();
  // Use the plan that the leader accepted with the document. A plan computed
  // here could differ, because a plan depends on its predecessors.
  auto planned = model::ReadPlannedDocument(inForce.document);
  if (!planned) {
    mEnvironment.Log(
      LogEvent("configuration_unreadable").Add("version", inForce.version));
    return;
  }
  ++mCounters.configurationsAdopted;
  mPlanned = std::move(planned).Value();
  mEnvironment.Log(
    LogEvent("configuration_in_force").Add("version", inForce.version));
  mEnvironment.OnConfigurationInForce(inForce, *mPlanned);
  if (mAuthority) {
    ConfigureAuthority(MonotonicNow());
  }
  // Report the new version with the next tick.
  mNextHeartbeat = Millis();
}

void
InstanceCore::OnLeaseRequest(const InstanceId& aFrom,
                             const gen::LeaseRequest& aRequest,
                             Millis aNow)
{
  if (ZoneId(aRequest.zone) != mSettings.zone) {
    return;
  }
  membership::LeaseRequest request = control::FromWire(aRequest);
  request.candidate = aFrom;
  gen::ControlMessage message;
  message.__set_leaseReply(control::ToWire(mVoter.OnRequest(request, aNow)));
  mEnvironment.SendControl(aFrom, message);
}

void
InstanceCore::ApplyElectionOutput(const membership::CandidateOutput& aOutput,
                                  Millis aNow)
{
  for (const membership::LeaseRequest& it : aOutput.requests) {
    gen::ControlMessage message;
    message.__set_leaseRequest(control::ToWire(it));
    auto zone = InstancesOf(mSettings, mSettings.zone);
    for (const InstanceId& to : zone) {
      mEnvironment.SendControl(to, message);
    }
    if (zone.size() % 2 == 0) {
      mEnvironment.SendControl(mLeader.Target(), message);
    }
  }
  if (aOutput.lostAuthority) {
    LoseAuthority();
  }
  if (aOutput.becameAuthority) {
    BecomeAuthority(aNow);
  }
}

void
InstanceCore::BecomeAuthority(Millis aNow)
{
  ++mCounters.authorityElections;
  mAuthority = std::make_unique<ZoneAuthority>(mSettings.zone,
                                               mCandidate.CurrentEpoch(),
                                               mSettings.timings.workerLease,
                                               mEnvironment,
                                               mLeader);
  mAuthoritySince = aNow;
  mAuthority->SetEvacuated(mEvacuatedZones.contains(mSettings.zone), aNow);
  mEnvironment.Log(LogEvent("zone_authority")
                     .Add("zone", mSettings.zone)
                     .Add("epoch", mCandidate.CurrentEpoch()));
  if (mPlanned) {
    ConfigureAuthority(aNow);
  }
  SendHeartbeat(aNow);
}

void
InstanceCore::ConfigureAuthority(Millis aNow)
{
  if (mEvacuatedZones.empty()) {
    mAuthority->OnConfiguration(*mPlanned, aNow);
    return;
  }
  model::PlannedDocument planned = *mPlanned;
  planned.plan = control::PlanWithout(mEvacuatedZones, planned).plan;
  mAuthority->OnConfiguration(planned, aNow);
}

void
InstanceCore::LoseAuthority()
{
  if (!mAuthority) {
    return;
  }
  ++mCounters.authorityLosses;
  mEnvironment.Log(LogEvent("zone_authority_lost").Add("zone", mSettings.zone));
  mUncommittedEpoch = mAuthority->CurrentEpoch();
  for (gen::JobEvent& it : mAuthority->TakeUncommittedEvents()) {
    mUncommittedEvents.push_back(std::move(it));
  }
  mAuthority.reset();
}

void
InstanceCore::ReportUncommittedEvents(Millis aNow)
{
  if (mUncommittedEvents.empty() || mUncommittedInFlight ||
      !mLeader.HasContact(aNow)) {
    return;
  }
  gen::JobEvents events;
  events.zone = mSettings.zone.Value();
  events.epoch = static_cast<int64_t>(mUncommittedEpoch.Value());
  events.events = mUncommittedEvents;
  gen::Command command;
  command.__set_jobEvents(events);
  mUncommittedInFlight = true;
  mLeader.Propose(
    control::Encode(command), aNow, [this](const ProposeAnswer& aAnswer) {
      mUncommittedInFlight = false;
      if (aAnswer.verdict != Verdict::kAnswered) {
        return;
      }
      if (!aAnswer.result.accepted) {
        mEnvironment.Log(
          LogEvent("journal_refused").Add("reason", aAnswer.result.reason));
        return;
      }
      mUncommittedEvents.clear();
    });
}

void
InstanceCore::StartDrain(Millis aNow)
{
  if (mDraining) {
    return;
  }
  mDraining = true;
  ApplyElectionOutput(mCandidate.Resign(aNow), aNow);
  SendHeartbeat(aNow);
}

std::optional<InstanceId>
InstanceCore::KnownAuthority(Millis aNow) const
{
  if (mAuthority && mCandidate.IsAuthority(aNow)) {
    return mSettings.instance;
  }
  auto holder = mVoter.Holder(aNow);
  if (holder && *holder != mSettings.instance) {
    return holder;
  }
  return std::nullopt;
}

} // namespace limpetwood::daemon
