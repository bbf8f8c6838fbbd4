#include "routing/simulation.h"

#include "routing/codec.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// Maximum time for which a leaving server may still receive grants: 3 s until a
// server that stopped announcing itself is dropped, and 1 s for a digest.
constexpr Millis kLeavingLimit = Seconds(4);
constexpr Millis kConnectTimeout = Millis(50);

} // namespace

Simulation::Simulation(SimulationOptions aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.seed)
{
  if (mOptions.service.id.empty()) {
    mOptions.service.id = ServiceId("render");
  }
  mConfig.version = ConfigVersion(1);
  mConfig.services.push_back(mOptions.service);
  for (uint32_t n = 0; n < mOptions.workspaces; ++n) {
    mConfig.workspaces.push_back(
      { .id = WorkspaceId("w" + std::to_string(n)) });
  }
  for (uint32_t zone = 0; zone < mOptions.zones; ++zone) {
    ZoneId id("z" + std::to_string(zone));
    for (uint32_t n = 0; n < mOptions.instancesPerZone; ++n) {
      Instance instance;
      instance.id = InstanceId("e" + std::to_string(mInstances.size()));
      instance.zone = id;
      mConfig.instances.push_back({ instance.id, id });
      mInstanceIndex[instance.id] = static_cast<uint32_t>(mInstances.size());
      mInstances.push_back(std::move(instance));
    }
    for (uint32_t n = 0; n < mOptions.serversPerZone; ++n) {
      Server server;
      server.id = ServerId("b" + std::to_string(mServers.size()));
      server.zone = id;
      server.home =
        zone * mOptions.instancesPerZone + n % mOptions.instancesPerZone;
      mServerIndex[server.id.Value()] = static_cast<uint32_t>(mServers.size());
      mServers.push_back(std::move(server));
    }
  }
  for (uint32_t n = 0; n < mInstances.size(); ++n) {
    StartRouter(n);
  }
  for (uint32_t n = 0; n < mServers.size(); ++n) {
    At(mRandom.Between(Millis(0), Millis(999)),
       [this, n] { Announce(n, false); });
  }
}

Simulation::~Simulation() = default;

void
Simulation::At(Millis aTime, std::function<void()> aAction)
{
  mEvents.push(Event{ aTime, mOrder++, std::move(aAction) });
}

void
Simulation::RunUntil(Millis aTime)
{
  while (!mEvents.empty() && mEvents.top().at <= aTime) {
    Event event = mEvents.top();
    mEvents.pop();
    mNow = event.at;
    event.action();
  }
  mNow = aTime;
}

Millis
Simulation::Delay()
{
  return mRandom.Between(mOptions.delayMin, mOptions.delayMax);
}

bool
Simulation::IsPartitioned(const ZoneId& aZone, const ZoneId& aOther) const
{
  return aZone != aOther && mPartitions.contains(std::minmax(aZone, aOther));
}

bool
Simulation::CanReach(const Instance& aFrom, const Server& aTo) const
{
  return aFrom.up && aTo.up && !aFrom.isolated &&
         !IsPartitioned(aFrom.zone, aTo.zone);
}

bool
Simulation::CanReach(const Instance& aFrom, const Instance& aTo) const
{
  return aFrom.up && aTo.up && !aFrom.isolated && !aTo.isolated &&
         !IsPartitioned(aFrom.zone, aTo.zone);
}

void
Simulation::RecordViolation(uint64_t& aCounter, const std::string& aText)
{
  ++aCounter;
  if (mViolations.firstReport.empty()) {
    mViolations.firstReport =
      "at " + std::to_string(mNow.Count()) + " ms: " + aText;
  }
}

// --- Instances ---

void
Simulation::StartRouter(uint32_t aInstance)
{
  Instance& instance = mInstances[aInstance];
  ++instance.generation;
  instance.up = true;
  instance.router = std::make_unique<Router>(
    mOptions.router, instance.id, instance.zone, mRandom());
  ApplyEffects(aInstance, instance.router->ConfigurationChanged(mConfig, mNow));
  ScheduleTick(aInstance);
}

void
Simulation::ScheduleTick(uint32_t aInstance)
{
  Instance& instance = mInstances[aInstance];
  Millis at = std::max(instance.router->NextDeadline(), mNow + Millis(1));
  At(at, [this, aInstance, generation = instance.generation] {
    Instance& self = mInstances[aInstance];
    if (self.up && self.generation == generation) {
      ApplyEffects(aInstance, self.router->Tick(mNow));
      ScheduleTick(aInstance);
    }
  });
}

void
Simulation::Stop(uint32_t aInstance)
{
  Instance& instance = mInstances[aInstance];
  instance.up = false;
  std::erase_if(mConnections,
                [&](const auto& it) { return it.first.second == aInstance; });
  for (Call& it : mCalls) {
    it.instanceStopped =
      it.instanceStopped || (it.instance == aInstance && !it.ended);
  }
}

void
Simulation::Start(uint32_t aInstance)
{
  if (!mInstances[aInstance].up) {
    StartRouter(aInstance);
  }
}

void
Simulation::Isolate(uint32_t aInstance, bool aIsolated)
{
  mInstances[aInstance].isolated = aIsolated;
}

void
Simulation::Partition(uint32_t aZone, uint32_t aOther, bool aPartitioned)
{
  ZoneId left("z" + std::to_string(aZone));
  ZoneId right("z" + std::to_string(aOther));
  auto pair = std::minmax(left, right);
  if (aPartitioned) {
    mPartitions.insert(pair);
  } else {
    mPartitions.erase(pair);
  }
}

void
Simulation::Reconfigure(const RoutingConfig& aConfig)
{
  mConfig = aConfig;
  for (uint32_t n = 0; n < mInstances.size(); ++n) {
    if (mInstances[n].up) {
      ApplyEffects(n,
                   mInstances[n].router->ConfigurationChanged(mConfig, mNow));
    }
  }
}

void
Simulation::ApplyEffects(uint32_t aInstance, const Effects& aEffects)
{
  for (const SendToPeer& it : aEffects.messages) {
    SendMessage(aInstance, it);
  }
  for (const RequestEnd& it : aEffects.endedRequests) {
    RecordEnd(it.request.Value(), it);
  }
  for (const ConnectionLimit& it : aEffects.connectionLimits) {
    auto found = mConnections.find({ IndexOf(it.server->id), aInstance });
    if (found != mConnections.end()) {
      Connections& open = found->second;
      open.limit = it.limit;
      open.idle = std::min(open.idle, it.limit - std::min(it.limit, open.busy));
    }
  }
  for (const Grant& it : aEffects.grants) {
    StartAttempt(aInstance, it);
  }
}

void
Simulation::OpenConnection(uint32_t aInstance,
                           uint32_t aServer,
                           uint32_t aLimit)
{
  Connections& open = mConnections[{ aServer, aInstance }];
  open.limit = aLimit;
  open.idle -= open.idle > 0 ? 1 : 0;
  ++open.busy;
  uint32_t sum = 0;
  std::string holders;
  for (auto it = mConnections.lower_bound({ aServer, 0 });
       it != mConnections.end() && it->first.first == aServer;
       ++it) {
    sum += it->second.busy + it->second.idle;
    holders += " " + mInstances[it->first.second].id.Value() + ":" +
               std::to_string(it->second.busy) + "+" +
               std::to_string(it->second.idle);
  }
  if (sum > mOptions.connections) {
    RecordViolation(mViolations.connectionsExceeded,
                    mServers[aServer].id.Value() + " has connections" +
                      holders + ", home e" +
                      std::to_string(mServers[aServer].home) + " since " +
                      std::to_string(mServers[aServer].homeSince.Count()));
  }
}

void
Simulation::CloseConnection(const Call& aCall, bool aReusable)
{
  Connections& open = mConnections[{ aCall.server, aCall.instance }];
  open.busy -= open.busy > 0 ? 1 : 0;
  if (aReusable && open.busy + open.idle < open.limit) {
    ++open.idle;
  }
}

void
Simulation::SendMessage(uint32_t aFrom, const SendToPeer& aSend)
{
  auto to = mInstanceIndex.find(aSend.to);
  ++mCounts.peerMessages;
  if (to == mInstanceIndex.end()) {
    return;
  }
  if (mOptions.useCodec) {
    // Includes 5 bytes for the length and channel of the frame.
    std::string bytes = EncodePeerMessage(aSend.message);
    mCounts.peerBytes += bytes.size() + 5;
    mInstances[aFrom].bytesOut += bytes.size() + 5;
    auto decoded = DecodePeerMessage(bytes);
    if (!decoded || !(decoded.Value() == aSend.message)) {
      RecordViolation(mViolations.neverEnded, "message changed by the codec");
    }
  }
  if (!mRandom.Chance(mOptions.messageLossRate)) {
    Transmit(aFrom, to->second, aSend.message);
  }
  if (mRandom.Chance(mOptions.messageDuplicationRate)) {
    Transmit(aFrom, to->second, aSend.message);
  }
}

void
Simulation::Transmit(uint32_t aFrom, uint32_t aTo, const PeerMessage& aMessage)
{
  Millis delay = Delay();
  if (mOptions.maxExtraDelay > Millis(0) && mRandom.Chance(0.1)) {
    delay += mRandom.Between(Millis(0), mOptions.maxExtraDelay);
  }
  At(mNow + delay, [this, aFrom, aTo, aMessage] {
    if (CanReach(mInstances[aFrom], mInstances[aTo])) {
      Instance& to = mInstances[aTo];
      ApplyEffects(
        aTo,
        to.router->PeerMessageReceived(mInstances[aFrom].id, aMessage, mNow));
    }
  });
}

// --- Requests ---

uint64_t
Simulation::Send(uint32_t aInstance,
                 uint32_t aWorkspace,
                 RequestInfo aInfo,
                 bool aCrashesServer)
{
  uint64_t id = mCalls.size();
  aInfo.id = RequestId(id);
  aInfo.workspace = WorkspaceId("w" + std::to_string(aWorkspace));
  aInfo.service = mOptions.service.id;
  Call call;
  call.info = aInfo;
  call.instance = aInstance;
  call.workspace = aWorkspace;
  call.crashesServer = aCrashesServer;
  call.sentAt = mNow;
  call.instanceStopped = !mInstances[aInstance].up;
  mCalls.push_back(call);
  if (!call.instanceStopped) {
    ApplyEffects(aInstance, mInstances[aInstance].router->Admit(aInfo, mNow));
  }
  return id;
}

void
Simulation::Cancel(uint64_t aCall)
{
  Call& call = mCalls[aCall];
  if (!call.ended && !call.instanceStopped) {
    if (call.attempt != 0) {
      call.attempt = 0;
      CloseConnection(call, false);
    }
    ApplyEffects(call.instance,
                 mInstances[call.instance].router->Cancelled(
                   RequestId(aCall), true, mNow));
  }
}

void
Simulation::StartAttempt(uint32_t aInstance, const Grant& aGrant)
{
  uint64_t id = aGrant.request.Value();
  Call& call = mCalls[id];
  uint32_t index = IndexOf(aGrant.server->id);
  Server& server = mServers[index];
  ++mCounts.sends;
  ++call.attempts;
  call.attempt = aGrant.attempt;
  call.server = index;
  call.grantedAt = mNow;
  OpenConnection(aInstance, index, aGrant.connectionLimit);
  uint32_t attempt = aGrant.attempt;
  if (server.leavingSince && mNow > *server.leavingSince + kLeavingLimit) {
    RecordViolation(mViolations.grantedToLeaving,
                    server.id.Value() + " is leaving");
  }
  At(mNow + aGrant.timeLimit, [this, id, attempt, at = mNow] {
    EndAttempt(id, attempt, { AttemptResult::kTimedOut, mNow - at });
  });
  bool sameIncarnation = aGrant.server->incarnation == server.incarnation;
  if (!CanReach(mInstances[aInstance], server) || !sameIncarnation) {
    At(mNow + kConnectTimeout, [this, id, attempt] {
      EndAttempt(id, attempt, { AttemptResult::kNotSent, kConnectTimeout });
    });
    return;
  }
  server.inTransit.insert(id);
  if (server.inTransit.size() + server.running.size() > mOptions.slots) {
    RecordViolation(
      mViolations.overcommitted,
      server.id.Value() + " has " + std::to_string(server.running.size()) +
        " running, " + std::to_string(server.inTransit.size()) +
        " in transit; home since " + std::to_string(server.homeSince.Count()));
  }
  At(mNow + Delay(),
     [this, id, attempt, index] { OnArrival(id, attempt, index); });
}

void
Simulation::OnArrival(uint64_t aCall, uint32_t aAttempt, uint32_t aServer)
{
  Call& call = mCalls[aCall];
  Server& server = mServers[aServer];
  server.inTransit.erase(aCall);
  if (!CanReach(mInstances[call.instance], server)) {
    // No reply arrives; the time limit ends the attempt.
    return;
  }
  Incarnation incarnation = server.incarnation;
  if (server.running.size() >= mOptions.slots || server.failing) {
    mCounts.serverRefusals += server.failing ? 0 : 1;
    AttemptResult result = server.failing && mRandom.Chance(0.5)
                             ? AttemptResult::kConnectionLost
                             : AttemptResult::kServerRefused;
    At(mNow + Delay(), [this, aCall, aAttempt, result] {
      EndAttempt(aCall, aAttempt, { result, Millis(1) });
    });
    return;
  }
  server.running.insert(aCall);
  ++mCounts.starts;
  ++call.starts;
  bool again = !call.info.repeatable && call.starts > 1;
  if (!call.info.repeatable && !call.info.key.empty()) {
    uint32_t starts = ++mKeyStarts[call.info.key];
    again = again || starts > 1;
  }
  if (again) {
    RecordViolation(mViolations.startedTwice,
                    "request " + std::to_string(aCall));
  }
  if (server.stalled) {
    return;
  }
  Millis executionTime =
    mRandom.Between(mOptions.executionTimeMin, mOptions.executionTimeMax);
  At(mNow + executionTime * server.slowdown,
     [=, this] { Complete(aCall, aAttempt, aServer, incarnation); });
}

void
Simulation::Complete(uint64_t aCall,
                     uint32_t aAttempt,
                     uint32_t aServer,
                     Incarnation aIncarnation)
{
  Server& server = mServers[aServer];
  if (server.incarnation != aIncarnation || !server.up) {
    return;
  }
  if (mCalls[aCall].crashesServer) {
    Crash(aCall, aServer);
    return;
  }
  server.running.erase(aCall);
  ++server.served;
  if (!CanReach(mInstances[mCalls[aCall].instance], server)) {
    return;
  }
  At(mNow + Delay(), [this, aCall, aAttempt] {
    Millis latency = mNow - mCalls[aCall].grantedAt;
    EndAttempt(aCall, aAttempt, { AttemptResult::kAnswered, latency });
  });
}

void
Simulation::Crash(uint64_t aCall, uint32_t aServer)
{
  ++mCounts.crashes;
  ++mCalls[aCall].crashes;
  StopServer(aServer);
  At(mNow + mOptions.restartTime, [this, aServer] { StartServer(aServer); });
}

void
Simulation::EndAttempt(uint64_t aCall,
                       uint32_t aAttempt,
                       AttemptOutcome aOutcome)
{
  Call& call = mCalls[aCall];
  if (call.ended || call.instanceStopped || call.attempt != aAttempt) {
    return;
  }
  call.attempt = 0;
  CloseConnection(call, aOutcome.result == AttemptResult::kAnswered);
  ApplyEffects(call.instance,
               mInstances[call.instance].router->AttemptEnded(
                 RequestId(aCall), aAttempt, aOutcome, mNow));
}

void
Simulation::RecordEnd(uint64_t aCall, const RequestEnd& aEnd)
{
  Call& call = mCalls[aCall];
  if (call.ended) {
    RecordViolation(mViolations.endedTwice, "request " + std::to_string(aCall));
    return;
  }
  call.ended = aEnd;
  call.endedAt = mNow;
  if (onRequestEnd) {
    onRequestEnd(call);
  }
}

void
Simulation::CheckAtEnd()
{
  for (uint64_t n = 0; n < mCalls.size(); ++n) {
    const Call& call = mCalls[n];
    if (!call.ended && !call.instanceStopped) {
      RecordViolation(mViolations.neverEnded, "request " + std::to_string(n));
    }
    if (call.ended && call.ended->verdict == Verdict::kNotRun &&
        call.starts > 0) {
      RecordViolation(mViolations.falseNotRun, "request " + std::to_string(n));
    }
  }
}

} // namespace limpetwood::routing
