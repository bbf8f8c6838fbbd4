#include "routing/server_table.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// How long the incarnation of a removed server is remembered; longer than an
// announcement can be in transit.
constexpr Millis kRemovedServerRetention = Minutes(1);
// Bounds the memory for removed servers, in entries.
constexpr std::size_t kMaxRemovedServers = 4096;
// Limits of an announcement: the size of each text field, and the slots.
constexpr std::size_t kMaxFieldBytes = 256;
constexpr uint32_t kMaxSlotsPerServer = 1024;

bool
IsValid(const ServerAnnouncement& aFrom)
{
  auto bounded = [](const std::string& x) {
    return !x.empty() && x.size() <= kMaxFieldBytes;
  };
  return bounded(aFrom.server.Value()) && bounded(aFrom.address) &&
         bounded(aFrom.zone.Value()) && aFrom.slots > 0 &&
         aFrom.slots <= kMaxSlotsPerServer;
}

// Each attempt needs a connection, so the connection limit bounds the slots.
uint32_t
UsableSlots(const ServerAnnouncement& aFrom)
{
  return std::min(aFrom.slots, std::max(1U, aFrom.connections));
}

AttemptOutcome
OutcomeOf(const ReturnedLease& aLease)
{
  AttemptOutcome outcome;
  outcome.result = aLease.result;
  outcome.latency = aLease.latency;
  outcome.serverError = aLease.serverError;
  return outcome;
}

// True if the server is known to no longer execute the attempt.
bool
IsKnownFinished(AttemptResult aResult)
{
  return VerdictOf(aResult) != Verdict::kMayHaveRun;
}

} // namespace

std::string_view
AnnounceStatusName(AnnounceStatus aStatus)
{
  switch (aStatus) {
    case AnnounceStatus::kAccepted:
      return "accepted";
    case AnnounceStatus::kStaleIncarnation:
      return "stale_incarnation";
    case AnnounceStatus::kUnknownService:
      return "unknown_service";
    case AnnounceStatus::kInvalid:
      return "invalid";
    case AnnounceStatus::kDraining:
      break;
  }
  return "draining";
}

ServerTable::ServerTable(const RouterOptions& aOptions, ZoneId aZone)
  : mOptions(aOptions)
  , mZone(std::move(aZone))
{
}

bool
ServerTable::IsStale(const ServerAnnouncement& aFrom, Millis aNow) const
{
  auto known = mById.find(aFrom.server);
  if (known != mById.end() &&
      aFrom.incarnation < At(known->second).identity->incarnation) {
    return true;
  }
  auto removed = mRemovedServers.find(aFrom.server);
  if (removed == mRemovedServers.end() || removed->second.expiresAt <= aNow) {
    return false;
  }
  const RemovedServer& entry = removed->second;
  return aFrom.incarnation < entry.incarnation ||
         (aFrom.incarnation == entry.incarnation && entry.announcedLeaving &&
          !mOptions.testOnly.ignoreLeaving);
}

ServerTable::Change
ServerTable::Announce(const ServerAnnouncement& aAnnouncement,
                      uint32_t aService,
                      Millis aNow)
{
  Change change;
  if (!IsValid(aAnnouncement)) {
    change.status = AnnounceStatus::kInvalid;
    return change;
  }
  if (IsStale(aAnnouncement, aNow)) {
    change.status = AnnounceStatus::kStaleIncarnation;
    return change;
  }
  if (aService >= mPools.size()) {
    mPools.resize(aService + 1);
  }
  auto known = mById.find(aAnnouncement.server);
  if (known != mById.end()) {
    const HomeServer& server = At(known->second);
    bool same = server.identity->incarnation == aAnnouncement.incarnation &&
                server.identity->address == aAnnouncement.address &&
                server.identity->zone == aAnnouncement.zone &&
                server.serviceIndex == aService &&
                aNow < server.lastAnnouncedAt + mOptions.serverTimeToLive;
    if (!same) {
      change.endedLeases = server.ledger.Leases();
      change.replacedServer = Remove(known->second, aNow);
      known = mById.end();
    }
  }
  if (known == mById.end()) {
    change.server = Insert(aAnnouncement, aService, aNow);
    change.added = true;
  } else {
    change.server = known->second;
  }
  HomeServer& server = Get(*change.server);
  bool wasLeaving = server.leaving;
  Update(server, aAnnouncement, aNow);
  change.startedLeaving = server.leaving && !wasLeaving;
  UpdateCandidate(*change.server, aNow);
  return change;
}

ServerIndex
ServerTable::Insert(const ServerAnnouncement& aFrom,
                    uint32_t aService,
                    Millis aNow)
{
  ServerIndex index = static_cast<ServerIndex>(mServers.size());
  if (mFreeIndices.empty()) {
    mServers.emplace_back();
  } else {
    index = mFreeIndices.back();
    mFreeIndices.pop_back();
  }
  auto identity =
    std::make_shared<const ServerIdentity>(ServerIdentity{ aFrom.server,
                                                           aFrom.service,
                                                           aFrom.zone,
                                                           aFrom.address,
                                                           aFrom.incarnation });
  HomeServer& server =
    mServers[index].emplace(aFrom, std::move(identity), aNow);
  server.serviceIndex = aService;
  server.takeoverReadyAt = mOptions.testOnly.skipHomeWait
                             ? aNow
                             : aNow + mOptions.leaseDuration + kTransitMargin;
  mById[aFrom.server] = index;
  return index;
}

void
ServerTable::Update(HomeServer& aServer,
                    const ServerAnnouncement& aFrom,
                    Millis aNow)
{
  aServer.lastAnnouncedAt = aNow;
  uint32_t slots = UsableSlots(aFrom);
  uint32_t factor = mOptions.testOnly.ignoreConnectionLimit ? 8 : 1;
  aServer.connections = ConnectionBudget(aFrom.connections * factor, slots);
  bool takeoverPending = !aServer.takeoverComplete;
  aServer.takeoverComplete =
    aServer.takeoverComplete || aNow >= aServer.takeoverReadyAt;
  uint32_t busy = mOptions.testOnly.ignoreReportedBusy ? 0 : aFrom.busy;
  aServer.ledger.Report(slots, busy, takeoverPending, aNow);
  // Leaving is final for an incarnation, even if a later announcement omits it.
  aServer.leaving =
    !mOptions.testOnly.ignoreLeaving && (aServer.leaving || aFrom.leaving);
}

ServerRef
ServerTable::Remove(ServerIndex aServer, Millis aNow)
{
  HomeServer& server = Get(aServer);
  ServerRef identity = server.identity;
  if (mRemovedServers.size() >= kMaxRemovedServers) {
    std::erase_if(mRemovedServers,
                  [&](const auto& it) { return it.second.expiresAt <= aNow; });
  }
  if (mRemovedServers.size() < kMaxRemovedServers) {
    mRemovedServers[identity->id] = RemovedServer{
      identity->incarnation, aNow + kRemovedServerRetention, server.leaving
    };
  }
  mPools[server.serviceIndex].SetCandidate(
    aServer, identity->zone == mZone, false);
  mById.erase(identity->id);
  mServers[aServer].reset();
  mFreeIndices.push_back(aServer);
  return identity;
}

ServerRef
ServerTable::RemoveClaimed(const ServerId& aServer,
                           Incarnation aIncarnation,
                           Millis aNow,
                           std::vector<LentLease>& aEndedLeases)
{
  auto known = mById.find(aServer);
  if (known == mById.end() ||
      At(known->second).identity->incarnation > aIncarnation) {
    return nullptr;
  }
  aEndedLeases = At(known->second).ledger.Leases();
  return Remove(known->second, aNow);
}

std::vector<ServerRef>
ServerTable::Expire(Millis aNow, std::vector<LentLease>& aEndedLeases)
{
  std::vector<ServerRef> removed;
  for (ServerIndex n = 0; n < mServers.size(); ++n) {
    if (!mServers[n]) {
      continue;
    }
    HomeServer& server = Get(n);
    if (aNow >= server.lastAnnouncedAt + mOptions.serverTimeToLive) {
      const auto& leases = server.ledger.Leases();
      aEndedLeases.insert(aEndedLeases.end(), leases.begin(), leases.end());
      removed.push_back(Remove(n, aNow));
      continue;
    }
    if (!mOptions.testOnly.ignoreLeaseExpiry) {
      server.ledger.Expire(aNow, aEndedLeases);
    }
    mReadmissions += server.health.Readmit(mOptions, aNow) ? 1 : 0;
    UpdateCandidate(n, aNow);
  }
  return removed;
}

bool
ServerTable::IsUsable(const HomeServer& aServer, Millis aNow) const
{
  return !aServer.leaving && !aServer.health.Ejected() &&
         aServer.takeoverComplete &&
         aNow < aServer.lastAnnouncedAt + mOptions.serverTimeToLive;
}

void
ServerTable::UpdateCandidate(ServerIndex aServer, Millis aNow)
{
  const HomeServer& server = At(aServer);
  bool free = server.ledger.FreeSlots() > 0 || mOptions.testOnly.ignoreSlots;
  mPools[server.serviceIndex].SetCandidate(aServer,
                                           server.identity->zone == mZone,
                                           free && IsUsable(server, aNow) &&
                                             !IsAvoided(server));
}

Millis
ServerTable::RenewAfter(ServerIndex aServer, Millis aNow) const
{
  const HomeServer& server = At(aServer);
  if (server.takeoverComplete) {
    return mOptions.announceInterval;
  }
  Millis wait = std::max(server.takeoverReadyAt - aNow, Millis(1));
  return std::min(mOptions.announceInterval, wait);
}

template<typename Excluded>
std::optional<ServerIndex>
ServerTable::Pick(uint32_t aService,
                  Excluded aExcluded,
                  Millis aNow,
                  Random& aRandom)
{
  if (aService >= mPools.size()) {
    return std::nullopt;
  }
  return mPools[aService].Pick(aRandom, [&](ServerIndex aServer) {
    const HomeServer& server = At(aServer);
    if (aNow >= server.lastAnnouncedAt + mOptions.serverTimeToLive ||
        aExcluded(*server.identity)) {
      // A negative score excludes the server.
      return -1.0;
    }
    uint32_t inUse = server.ledger.Slots() - server.ledger.FreeSlots();
    return server.health.Score(inUse, mOptions, aNow);
  });
}

std::optional<ServerIndex>
ServerTable::TakeLocalSlot(uint32_t aService,
                           const std::vector<ServerRef>& aTried,
                           Millis aNow,
                           Random& aRandom)
{
  auto excluded = [&](const ServerIdentity& aServer) {
    return std::any_of(aTried.begin(), aTried.end(), [&](const auto& it) {
      return it->id == aServer.id;
    });
  };
  auto picked = Pick(aService, excluded, aNow, aRandom);
  if (picked) {
    HomeServer& server = Get(*picked);
    server.ledger.TakeLocalSlot(aNow);
    server.health.AttemptStarted(aNow, server.ledger.LocalAttempts());
    UpdateCandidate(*picked, aNow);
  }
  return picked;
}

std::optional<ServerIndex>
ServerTable::Lend(uint32_t aService,
                  const std::vector<ServerId>& aExclude,
                  const InstanceId& aBorrower,
                  LeaseId aLease,
                  Millis aNow,
                  Random& aRandom)
{
  auto excluded = [&](const ServerIdentity& aServer) {
    return std::find(aExclude.begin(), aExclude.end(), aServer.id) !=
           aExclude.end();
  };
  auto picked = Pick(aService, excluded, aNow, aRandom);
  if (picked) {
    HomeServer& server = Get(*picked);
    // A lease ends no later than the server's own time to live, since a server
    // that stopped announcing itself here may already have another home
    // instance.
    Millis expires =
      std::min(aNow + mOptions.leaseDuration,
               server.lastAnnouncedAt + mOptions.serverTimeToLive);
    server.ledger.Lend(aBorrower, aLease, expires);
    UpdateCandidate(*picked, aNow);
  }
  return picked;
}

bool
ServerTable::ReleaseLocalSlot(ServerIndex aServer,
                              const ServerRef& aIdentity,
                              Millis aStartedAt,
                              const AttemptOutcome& aOutcome,
                              Millis aNow)
{
  if (aServer >= mServers.size() || !mServers[aServer] ||
      At(aServer).identity != aIdentity) {
    return false;
  }
  HomeServer& server = Get(aServer);
  server.ledger.ReleaseLocalSlot(aStartedAt, IsKnownFinished(aOutcome.result));
  RecordAttemptOutcome(server, aOutcome, aNow);
  UpdateCandidate(aServer, aNow);
  return true;
}

void
ServerTable::Renew(ServerIndex aServer,
                   const InstanceId& aBorrower,
                   LeaseId aLease,
                   Millis aNow)
{
  if (aServer < mServers.size() && mServers[aServer]) {
    Get(aServer).ledger.Renew(aBorrower, aLease, aNow + mOptions.leaseDuration);
  }
}

void
ServerTable::Return(ServerIndex aServer,
                    const InstanceId& aBorrower,
                    const ReturnedLease& aLease,
                    Millis aNow)
{
  if (aServer >= mServers.size() || !mServers[aServer]) {
    return;
  }
  HomeServer& server = Get(aServer);
  bool finished = !aLease.used || IsKnownFinished(aLease.result);
  if (!server.ledger.Return(aBorrower, aLease.lease, finished)) {
    return;
  }
  if (aLease.used) {
    RecordAttemptOutcome(server, OutcomeOf(aLease), aNow);
  }
  UpdateCandidate(aServer, aNow);
}

void
ServerTable::RecordAttemptOutcome(HomeServer& aServer,
                                  const AttemptOutcome& aOutcome,
                                  Millis aNow)
{
  if (!aServer.health.AttemptEnded(aOutcome, mOptions, aNow)) {
    return;
  }
  if (MayEject(aServer, aOutcome.result == AttemptResult::kNotSent)) {
    aServer.health.Eject(mOptions, aNow);
    ++mEjections;
  } else {
    ++mEjectionsWithheld;
  }
}

bool
ServerTable::MayEject(const HomeServer& aServer, bool aUnreachable) const
{
  if (mOptions.testOnly.ignoreEjectionLimit) {
    return true;
  }
  uint32_t pool = 0;
  uint32_t ejected = 0;
  for (const auto& it : mServers) {
    if (it && it->serviceIndex == aServer.serviceIndex && !it->leaving &&
        it->identity->zone == aServer.identity->zone) {
      ++pool;
      ejected += it->health.Ejected() ? 1 : 0;
    }
  }
  return aUnreachable ? ejected + 1 < pool : (ejected + 1) * 2 <= pool;
}

std::vector<const HomeServer*>
ServerTable::All() const
{
  std::vector<const HomeServer*> all;
  for (const auto& it : mServers) {
    if (it) {
      all.push_back(&*it);
    }
  }
  return all;
}

void
ServerTable::Capacities(std::vector<Capacity>& aCapacities) const
{
  for (const auto& it : mServers) {
    if (!it || it->leaving || it->health.Ejected() ||
        it->serviceIndex >= aCapacities.size()) {
      continue;
    }
    Capacity& capacity = aCapacities[it->serviceIndex];
    ++capacity.servers;
    capacity.evacuatedServers += IsEvacuated(*it) ? 1 : 0;
    if (IsAvoided(*it)) {
      continue;
    }
    uint32_t elsewhere = it->ledger.OccupiedElsewhere();
    uint32_t slots = it->ledger.Slots();
    capacity.slots += slots - std::min(slots, elsewhere);
    capacity.freeSlots += it->ledger.FreeSlots();
  }
}

void
ServerTable::SetEvacuatedZones(std::set<ZoneId> aZones)
{
  mEvacuatedZones = std::move(aZones);
}

void
ServerTable::SetAvoidEvacuated(uint32_t aService, bool aAvoid, Millis aNow)
{
  if (aService >= mAvoidEvacuated.size()) {
    mAvoidEvacuated.resize(aService + 1);
  }
  mAvoidEvacuated[aService] = aAvoid;
  for (ServerIndex n = 0; n < mServers.size(); ++n) {
    if (mServers[n] && mServers[n]->serviceIndex == aService) {
      UpdateCandidate(n, aNow);
    }
  }
}

bool
ServerTable::HasServers(uint32_t aService) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& it) {
    return it && it->serviceIndex == aService && !it->leaving;
  });
}

bool
ServerTable::HasUntriedServer(uint32_t aService,
                              const std::vector<ServerRef>& aTried) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& it) {
    return it && it->serviceIndex == aService && !it->leaving &&
           !it->health.Ejected() && !IsAvoided(*it) &&
           std::none_of(aTried.begin(), aTried.end(), [&](const auto& x) {
             return x->id == it->identity->id;
           });
  });
}

} // namespace limpetwood::routing
