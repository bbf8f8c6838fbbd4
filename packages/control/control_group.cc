#include "control/control_group.h"

#include "base/error.h"
#include "control/evacuated_plan.h"

#include <algorithm>
#include <set>

namespace limpetwood::control {

namespace {

using replication::ProposeOutcome;

// Interval of the leader's periodic checks: convergence, fencing, membership
// and job assignment.
constexpr Millis kMaintenanceInterval = Millis(200);
// Job orders in one message to an authority. Orders of one log index are not
// split, so that a message may exceed this.
constexpr size_t kMaxOrdersPerMessage = 256;
// Used in place of a log index if the receiver is not a zone authority and gets
// no orders.
constexpr uint64_t kNotAuthority = UINT64_MAX;
// Jobs of an unreachable zone are reassigned only after its workers have
// certainly stopped: the zone's autonomy, plus this share of it for clock
// drift, the worker lease and `kLeaseEndMargin`.
constexpr int64_t kClockDriftPercent = 1;
constexpr Millis kLeaseEndMargin = Seconds(1);

gen::JobOrder
OrderFor(const JobRecord& aJob)
{
  gen::JobOrder order;
  order.job = aJob.id.Value();
  order.spec = model::WriteJobSpec(aJob.spec);
  order.attempts = static_cast<int32_t>(aJob.attempt.Value());
  order.checkpoint = aJob.checkpoint;
  order.submittedAtMs = aJob.submittedAt.Count();
  order.cancelled = aJob.cancelRequested;
  if (aJob.crashes != model::CrashHistory()) {
    order.__set_crashes(ToWire(aJob.crashes));
  }
  return order;
}

std::set<ZoneId>
EvacuatedZonesOf(const ControlState& aState)
{
  std::set<ZoneId> zones;
  for (const auto& [zone, evacuation] : aState.EvacuatedZones()) {
    zones.insert(zone);
  }
  return zones;
}

membership::InstanceStatus
StatusOf(const gen::Heartbeat& aHeartbeat)
{
  membership::InstanceStatus status;
  status.instance = InstanceId(aHeartbeat.instance);
  status.zone = ZoneId(aHeartbeat.zone);
  status.incarnation =
    Incarnation(static_cast<uint64_t>(aHeartbeat.incarnation));
  status.version = ConfigVersion(static_cast<uint64_t>(aHeartbeat.version));
  status.ready = aHeartbeat.ready;
  status.draining = aHeartbeat.draining;
  if (aHeartbeat.__isset.authorityEpoch) {
    status.authority = Epoch(static_cast<uint64_t>(aHeartbeat.authorityEpoch));
  }
  status.liveAccelerators = static_cast<uint32_t>(aHeartbeat.liveAccelerators);
  status.freeAccelerators = static_cast<uint32_t>(aHeartbeat.freeAccelerators);
  status.queuedAccelerators =
    static_cast<uint32_t>(aHeartbeat.queuedAccelerators);
  return status;
}

} // namespace

ControlGroup::ControlGroup(ControlGroupOptions aOptions,
                           ControlGroupEnvironment& aEnvironment)
  : mOptions(std::move(aOptions))
  , mEnvironment(aEnvironment)
  , mInstances(mOptions.instances.size())
{
}

Result<std::unique_ptr<ControlGroup>>
ControlGroup::Open(ControlGroupOptions aOptions,
                   ControlGroupEnvironment& aEnvironment)
{
  std::unique_ptr<ControlGroup> control(
    new ControlGroup(std::move(aOptions), aEnvironment));
  auto send = [&aEnvironment](const InstanceId& aTo, std::string aBytes) {
    aEnvironment.SendReplication(aTo, std::move(aBytes));
  };
  auto opened =
    replication::Group::Open(control->mOptions.group, *control, send);
  if (!opened) {
    return opened.Error();
  }
  control->mGroup = std::move(opened).Value();
  return control;
}

std::string
ControlGroup::Apply(uint64_t aIndex, std::string_view aCommand)
{
  ConfigVersion before = mState.Version();
  uint64_t evacuationBefore = mState.EvacuationIndex();
  std::map<ZoneId, ZoneEvacuation> zonesBefore = mState.EvacuatedZones();
  std::string result = mState.Apply(aIndex, aCommand);
  mConfigurationChanged |= mState.Version() != before;
  if (mState.EvacuationIndex() != evacuationBefore) {
    mEvacuationChanged = true;
    // Replicas that follow or replay their log do not repeat the leader's log
    // lines and counts.
    if (mLeading) {
      LogZoneOrders(zonesBefore);
    }
  }
  mOrdersChanged = true;
  return result;
}

bool
ControlGroup::Restore(std::string_view aSnapshot)
{
  mConfigurationChanged = true;
  mEvacuationChanged = true;
  mOrdersChanged = true;
  return mState.Restore(aSnapshot);
}

void
ControlGroup::LogZoneOrders(const std::map<ZoneId, ZoneEvacuation>& aBefore)
{
  for (const auto& [zone, evacuation] : mState.EvacuatedZones()) {
    if (!aBefore.contains(zone)) {
      ++mCounters.zonesEvacuated;
      mEnvironment.Log(
        LogEvent("zone_evacuated").Add("zone", zone).Add("by", evacuation.by));
    }
  }
  for (const auto& [zone, evacuation] : aBefore) {
    if (!mState.EvacuatedZones().contains(zone)) {
      ++mCounters.zonesRestored;
      mEnvironment.Log(LogEvent("zone_restored").Add("zone", zone));
    }
  }
}

void
ControlGroup::OnReplication(const InstanceId& aFrom,
                            std::string_view aBytes,
                            Millis aNow)
{
  mGroup->Receive(aFrom, aBytes, aNow);
}

void
ControlGroup::OnControl(const InstanceId& aFrom,
                        const gen::ControlMessage& aMessage,
                        Millis aNow)
{
  UpdateLeadership(aNow);
  if (!mLeading) {
    RefuseAsFollower(aFrom, aMessage);
    return;
  }
  if (aMessage.__isset.heartbeat) {
    OnHeartbeat(aFrom, aMessage.heartbeat, aNow);
  } else if (aMessage.__isset.propose) {
    OnPropose(aFrom, aMessage.propose, aNow);
  } else if (aMessage.__isset.query) {
    OnQuery(aFrom, aMessage.query, aNow);
  } else if (aMessage.__isset.configurationRequest) {
    OnConfigurationRequest(aFrom, aMessage.configurationRequest, aNow);
  } else if (aMessage.__isset.leaseRequest) {
    OnLeaseRequest(aFrom, aMessage.leaseRequest, aNow);
  }
}

void
ControlGroup::RefuseAsFollower(const InstanceId& aFrom,
                               const gen::ControlMessage& aMessage)
{
  if (aMessage.__isset.leaseRequest) {
    return;
  }
  ++mCounters.notLeader;
  gen::NotLeader answer;
  if (auto leader = mGroup->Leader()) {
    answer.leader = leader->Value();
  }
  if (aMessage.__isset.propose) {
    answer.__set_requestId(aMessage.propose.id);
  } else if (aMessage.__isset.query) {
    answer.__set_requestId(aMessage.query.id);
  }
  gen::ControlMessage message;
  message.__set_notLeader(answer);
  mEnvironment.SendControl(aFrom, message);
}

void
ControlGroup::OnHeartbeat(const InstanceId& aFrom,
                          const gen::Heartbeat& aHeartbeat,
                          Millis aNow)
{
  ++mCounters.heartbeats;
  membership::InstanceStatus status = StatusOf(aHeartbeat);
  if (status.instance != aFrom || !mInstances.OnHeartbeat(status, aNow)) {
    return;
  }
  if (status.ready && status.version < mState.Version()) {
    SendConfiguration(aFrom, status.version, false);
  }
  uint64_t after = status.authority
                     ? static_cast<uint64_t>(aHeartbeat.ordersIndex)
                     : kNotAuthority;
  if (status.authority) {
    uint64_t& pushedIndex = mPushedOrdersIndex[status.zone];
    pushedIndex = std::max(pushedIndex, after);
  }
  SendHeartbeatReply(aFrom, status.zone, after, aHeartbeat.sentAtMs);
}

void
ControlGroup::SendHeartbeatReply(const InstanceId& aInstance,
                                 const ZoneId& aZone,
                                 uint64_t aAfter,
                                 int64_t aSentAtMs)
{
  gen::HeartbeatReply reply;
  reply.sentAtMs = aSentAtMs;
  reply.term = static_cast<int64_t>(mGroup->Term());
  reply.version = static_cast<int64_t>(mState.Version().Value());
  if (mState.ZoneOrderIndex() > 0) {
    gen::EvacuatedZones evacuated;
    evacuated.index = static_cast<int64_t>(mState.EvacuationIndex());
    evacuated.zoneOrderIndex = static_cast<int64_t>(mState.ZoneOrderIndex());
    for (const auto& [zone, evacuation] : mState.EvacuatedZones()) {
      evacuated.zones.push_back(zone.Value());
    }
    reply.__set_evacuated(evacuated);
  }
  if (!mStateComplete) {
    reply.__set_stateIncomplete(true);
  }
  if (aAfter != kNotAuthority) {
    reply.ordersIndex = static_cast<int64_t>(aAfter);
    reply.__set_afterIndex(static_cast<int64_t>(aAfter));
    auto orders = mState.Jobs().OrdersFor(aZone, aAfter, kMaxOrdersPerMessage);
    for (const JobRecord* it : orders) {
      reply.orders.push_back(OrderFor(*it));
    }
    if (!orders.empty()) {
      reply.ordersIndex = static_cast<int64_t>(orders.back()->orderIndex);
      reply.moreOrders = orders.size() >= kMaxOrdersPerMessage;
    }
  }
  gen::ControlMessage message;
  message.__set_heartbeatReply(reply);
  mEnvironment.SendControl(aInstance, message);
}

void
ControlGroup::OnPropose(const InstanceId& aFrom,
                        const gen::Propose& aPropose,
                        Millis aNow)
{
  ++mCounters.proposals;
  int64_t id = aPropose.id;
  auto done = [this, aFrom, id](ProposeOutcome aOutcome) {
    gen::ProposeReply reply;
    reply.id = id;
    reply.verdict = static_cast<int32_t>(aOutcome.verdict);
    if (aOutcome.verdict == Verdict::kAnswered) {
      auto result = Decode<gen::CommandResult>(aOutcome.result);
      if (result) {
        reply.__set_result(result.Value());
      }
    } else {
      reply.reason = aOutcome.error.message();
    }
    gen::ControlMessage message;
    message.__set_proposeReply(reply);
    mEnvironment.SendControl(aFrom, message);
  };
  mGroup->Propose(aPropose.command, aNow, done);
}

void
ControlGroup::OnQuery(const InstanceId& aFrom,
                      const gen::Query& aQuery,
                      Millis aNow)
{
  ++mCounters.queries;
  auto done = [this, aFrom, aQuery, aNow](std::error_code aError) {
    gen::QueryReply reply;
    reply.id = aQuery.id;
    if (aError) {
      reply.status = 503;
    } else {
      QueryAnswer answer =
        AnswerQuery(aQuery.target, CollectQuerySources(), aNow);
      reply.status = answer.status;
      reply.body = std::move(answer.body);
    }
    gen::ControlMessage message;
    message.__set_queryReply(reply);
    mEnvironment.SendControl(aFrom, message);
  };
  mGroup->Read(aNow, done);
}

void
ControlGroup::OnConfigurationRequest(const InstanceId& aFrom,
                                     const gen::ConfigurationRequest& aRequest,
                                     Millis aNow)
{
  ConfigVersion known(static_cast<uint64_t>(aRequest.knownVersion));
  if (!aRequest.linearizable) {
    SendConfiguration(aFrom, known, false);
    return;
  }
  mGroup->Read(aNow, [this, aFrom, known](std::error_code aError) {
    if (!aError) {
      SendConfiguration(aFrom, known, true);
    }
  });
}

void
ControlGroup::SendConfiguration(const InstanceId& aTo,
                                ConfigVersion aKnown,
                                bool aLinearizable)
{
  gen::ConfigurationUpdate update;
  update.version = static_cast<int64_t>(mState.Version().Value());
  update.linearizable = aLinearizable;
  if (const auto& accepted = mState.Configuration()) {
    update.hash = accepted->hash;
    auto deltas = mState.DeltasSince(aKnown);
    // An update holds at most one delta. Instances that are further behind, and
    // those without a configuration (version 0), get the full document.
    bool sendDelta = deltas && deltas->size() == 1 && aKnown.Value() > 0;
    if (sendDelta) {
      update.__set_baseVersion(static_cast<int64_t>(aKnown.Value()));
      update.body = deltas->front();
      ++mCounters.deltasSent;
    } else {
      update.body = accepted->text;
    }
  }
  ++mCounters.configurationsSent;
  gen::ControlMessage message;
  message.__set_configurationUpdate(update);
  mEnvironment.SendControl(aTo, message);
}

void
ControlGroup::OnLeaseRequest(const InstanceId& aFrom,
                             const gen::LeaseRequest& aRequest,
                             Millis aNow)
{
  ZoneId zone(aRequest.zone);
  // A new leader does not know which leases its predecessor granted. It grants
  // none for one lease duration, as a restarted voter does.
  auto [it, inserted] = mTieBreakers.try_emplace(
    zone, membership::LeaseCandidate::TieBreaker(), zone, mLeadingSince);
  membership::LeaseRequest request;
  request.zone = zone;
  request.candidate = aFrom;
  request.epoch = Epoch(static_cast<uint64_t>(aRequest.epoch));
  request.round = static_cast<uint64_t>(aRequest.round);
  request.leaderContactAge = Millis(aRequest.contactAgeMs);
  gen::ControlMessage message;
  message.__set_leaseReply(ToWire(it->second.OnRequest(request, aNow)));
  mEnvironment.SendControl(aFrom, message);
}

void
ControlGroup::Tick(Millis aNow)
{
  mGroup->Tick(aNow);
  UpdateLeadership(aNow);
  if (!mLeading) {
    mConfigurationChanged = false;
    mEvacuationChanged = false;
    mOrdersChanged = false;
    return;
  }
  ConfirmState(aNow);
  UpdateEvacuatedPlan();
  PushUpdates(aNow);
  if (aNow >= mNextMaintenance || mOrdersChanged) {
    AssignJobs(aNow);
  }
  mOrdersChanged = false;
  if (aNow < mNextMaintenance) {
    return;
  }
  mNextMaintenance = aNow + kMaintenanceInterval;
  MeasureConvergence(aNow);
  FenceUnreachableZones(aNow);
  RepairMembership(aNow);
}

Millis
ControlGroup::NextTick() const
{
  Millis next = mGroup->NextTick();
  return mLeading ? std::min(next, mNextMaintenance) : next;
}

void
ControlGroup::UpdateLeadership(Millis aNow)
{
  bool leading = mGroup->IsLeader(aNow);
  if (leading == mLeading) {
    return;
  }
  mLeading = leading;
  mEnvironment.Log(LogEvent(leading ? "leading" : "leadership_lost")
                     .Add("term", mGroup->Term()));
  if (!leading) {
    return;
  }
  mLeadingSince = aNow;
  mStateComplete = false;
  mStateReadInFlight = false;
  mInstances.Clear();
  mTieBreakers.clear();
  mPushedOrdersIndex.clear();
  mConvergingVersion.reset();
  mAssignInFlight = false;
  mMembershipInFlight = false;
  mNextMaintenance = aNow;
}

void
ControlGroup::ConfirmState(Millis aNow)
{
  if (mStateComplete || mStateReadInFlight) {
    return;
  }
  mStateReadInFlight = true;
  mGroup->Read(aNow, [this, since = mLeadingSince](std::error_code aError) {
    if (since == mLeadingSince) {
      mStateReadInFlight = false;
      mStateComplete = !aError;
    }
  });
}

void
ControlGroup::PushUpdates(Millis aNow)
{
  if (mEvacuationChanged) {
    mEvacuationChanged = false;
    // Pushed to all instances at once, because the evacuation must take effect
    // within 5 s and the heartbeats of large deployments are seconds apart.
    for (const membership::InstanceStatus& it : mInstances.All()) {
      SendHeartbeatReply(it.instance, it.zone, kNotAuthority, 0);
    }
  }
  if (mConfigurationChanged) {
    mConfigurationChanged = false;
    mConvergingVersion = std::pair(mState.Version(), aNow);
    for (const membership::InstanceStatus& it : mInstances.All()) {
      if (it.ready && it.version < mState.Version()) {
        SendConfiguration(it.instance, it.version, false);
      }
    }
  }
  if (!mOrdersChanged) {
    return;
  }
  for (const ZoneId& zone : mState.Configuration()
                              ? mState.Configuration()->planned.document.zones
                              : std::vector<ZoneId>()) {
    auto authority = mInstances.AuthorityOf(zone, aNow);
    uint64_t& pushedIndex = mPushedOrdersIndex[zone];
    if (!authority || mState.Jobs().OrdersFor(zone, pushedIndex, 1).empty()) {
      continue;
    }
    SendHeartbeatReply(authority->instance, zone, pushedIndex, 0);
    auto orders =
      mState.Jobs().OrdersFor(zone, pushedIndex, kMaxOrdersPerMessage);
    pushedIndex = orders.back()->orderIndex;
  }
}

void
ControlGroup::UpdateEvacuatedPlan()
{
  std::pair key(mState.Version(), mState.EvacuationIndex());
  if (!mState.Configuration() || (mAssigner && mPlannedFor == key)) {
    return;
  }
  mPlannedFor = key;
  model::PlannedDocument planned = mState.Configuration()->planned;
  EvacuatedPlan evacuated = PlanWithout(EvacuatedZonesOf(mState), planned);
  planned.plan = std::move(evacuated.plan);
  mAssigner.emplace(planned);
  constexpr const char* kAlarm = "zone_evacuation_breaks_guarantees";
  if (evacuated.missing.empty()) {
    if (mAlarms.erase(kAlarm) > 0) {
      mEnvironment.Log(LogEvent("alarm_ended").Add("reason", kAlarm));
    }
    return;
  }
  // Names the first guarantee; the number shows whether there are more.
  const model::Fault& first = evacuated.missing.front();
  std::string detail = std::to_string(evacuated.missing.size()) +
                       " faults without the evacuated zones; " + first.path +
                       ": " + first.value + ", expected " + first.expected;
  auto [alarm, added] =
    mAlarms.try_emplace(kAlarm, QuerySources::Alarm{ kAlarm, "", WallNow() });
  alarm->second.detail = detail;
  if (added) {
    mEnvironment.Log(
      LogEvent("alarm").Add("reason", kAlarm).Add("detail", detail));
  }
}

void
ControlGroup::AssignJobs(Millis aNow)
{
  if (mAssignInFlight || !mState.Configuration() ||
      mState.Jobs().Unassigned().empty()) {
    return;
  }
  std::set<ZoneId> evacuated = EvacuatedZonesOf(mState);
  auto chosen = mAssigner->Assign(mState.Jobs(), mInstances, aNow, evacuated);
  if (chosen.empty()) {
    return;
  }
  gen::Command command;
  std::vector<gen::AssignJob> jobs;
  for (const Assignment& it : chosen) {
    gen::AssignJob job;
    job.job = it.job.Value();
    job.zone = it.zone.Value();
    jobs.push_back(std::move(job));
  }
  mCounters.assignments += jobs.size();
  command.__set_assignJobs(jobs);
  mAssignInFlight = true;
  mGroup->Propose(
    Encode(command), aNow, [this](ProposeOutcome) { mAssignInFlight = false; });
}

void
ControlGroup::FenceUnreachableZones(Millis aNow)
{
  if (!mState.Configuration()) {
    return;
  }
  Millis fenceAfter = mOptions.zoneAutonomy +
                      mOptions.zoneAutonomy * kClockDriftPercent / 100 +
                      mOptions.workerLease + kLeaseEndMargin;
  for (const ZoneId& zone : mState.Configuration()->planned.document.zones) {
    Millis lastContact = std::max(
      mInstances.LastHeartbeat(zone).value_or(mLeadingSince), mLeadingSince);
    if (aNow - lastContact < fenceAfter ||
        mState.Jobs().OrdersFor(zone, 0, 1).empty()) {
      continue;
    }
    ++mCounters.zonesFenced;
    mEnvironment.Log(LogEvent("zone_fenced")
                       .Add("zone", zone)
                       .Add("reason", "autonomy_passed"));
    gen::FenceZone fence;
    fence.zone = zone.Value();
    gen::Command command;
    command.__set_fenceZone(fence);
    Propose(command, aNow);
  }
}

void
ControlGroup::MeasureConvergence(Millis aNow)
{
  if (!mConvergingVersion) {
    return;
  }
  auto at = mInstances.ConvergedAt(mConvergingVersion->first, aNow);
  if (at) {
    mCounters.lastConvergence =
      std::max(*at - mConvergingVersion->second, Millis(0));
    mConvergingVersion.reset();
  }
}

void
ControlGroup::RepairMembership(Millis aNow)
{
  if (mMembershipInFlight) {
    return;
  }
  replication::GroupStatus status = mGroup->Status();
  auto onChangeDone = [this](ProposeOutcome) { mMembershipInFlight = false; };
  // A reachable learner is promoted if a voter is unreachable or the group has
  // fewer voters than configured; `Promote` fails until the learner has caught
  // up. An unreachable voter is removed only after the promotion, so that the
  // number of voters does not fall below the configured one.
  const replication::PeerStatus* unreachableVoter = nullptr;
  const replication::PeerStatus* promotableLearner = nullptr;
  for (const replication::PeerStatus& it : status.peers) {
    bool unreachable = aNow - it.lastHeard > mOptions.repairAfter;
    if (it.voter && unreachable) {
      unreachableVoter = &it;
    } else if (!it.voter && !unreachable && !it.repairing) {
      promotableLearner = &it;
    }
  }
  size_t targetVoters = mOptions.group.voters.size();
  size_t voters = status.membership.voters.size();
  if (voters > targetVoters && unreachableVoter != nullptr) {
    mEnvironment.Log(LogEvent("membership_change")
                       .Add("change", "remove")
                       .Add("member", unreachableVoter->member.instance));
    mMembershipInFlight = true;
    mGroup->Remove(unreachableVoter->member, aNow, onChangeDone);
    return;
  }
  bool promotionNeeded =
    voters < targetVoters ||
    (unreachableVoter != nullptr && voters == targetVoters);
  if (promotionNeeded && promotableLearner != nullptr) {
    mEnvironment.Log(LogEvent("membership_change")
                       .Add("change", "promote")
                       .Add("member", promotableLearner->member.instance));
    ++mCounters.learnerPromotions;
    mMembershipInFlight = true;
    mGroup->Promote(promotableLearner->member, aNow, onChangeDone);
    return;
  }
  if (promotionNeeded) {
    mAlarms["repair_no_standby"] = {
      "repair_no_standby",
      unreachableVoter != nullptr
        ? "voter " + unreachableVoter->member.instance.Value() +
            " is unreachable and no learner can replace it"
        : std::string("too few voters and no learner can be promoted"),
      WallNow()
    };
  } else {
    mAlarms.erase("repair_no_standby");
  }
  if (!status.applicants.empty()) {
    const replication::Member& applicant = status.applicants.front();
    mEnvironment.Log(LogEvent("membership_change")
                       .Add("change", "admit")
                       .Add("member", applicant.instance));
    mMembershipInFlight = true;
    mGroup->AddLearner(applicant, aNow, onChangeDone);
  }
}

void
ControlGroup::Propose(const gen::Command& aCommand, Millis aNow)
{
  mGroup->Propose(Encode(aCommand), aNow, [](ProposeOutcome) {});
}

QuerySources
ControlGroup::CollectQuerySources() const
{
  QuerySources sources{ mState, mInstances, mOptions.instances, {}, 0, {}, {} };
  sources.leader = mGroup->Leader().value_or(InstanceId());
  sources.term = mGroup->Term();
  for (const replication::Member& it : mGroup->Status().membership.voters) {
    sources.voters.push_back(it.instance);
  }
  for (const auto& [reason, alarm] : mAlarms) {
    sources.alarms.push_back(alarm);
  }
  return sources;
}

void
ControlGroup::PrepareShutdown(Millis aNow)
{
  replication::GroupStatus status = mGroup->Status();
  for (const replication::PeerStatus& it : status.peers) {
    if (it.voter && it.matchIndex == status.lastIndex &&
        !mGroup->Transfer(it.member, aNow)) {
      return;
    }
  }
}

} // namespace limpetwood::control
