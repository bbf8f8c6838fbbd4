#include "routing/server_table.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// Longer than any announcement stays on its way.
constexpr Millis kRememberDeparted = Minutes(1);
constexpr std::size_t kMaxDeparted = 4096;
constexpr std::size_t kMaxFieldBytes = 256;
constexpr uint32_t kMaxSlots = 1024;

bool
IsValid(const ServerAnnouncement& aFrom)
{
  auto bounded = [](const std::string& x) {
    return !x.empty() && x.size() <= kMaxFieldBytes;
  };
  return bounded(aFrom.server.Value()) && bounded(aFrom.address) &&
         bounded(aFrom.zone.Value()) && aFrom.slots > 0 &&
         aFrom.slots <= kMaxSlots;
}

// Each attempt needs a connection.
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

// Whether the server certainly no longer works on the attempt.
bool
IsOver(AttemptResult aResult)
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
  auto departed = mDeparted.find(aFrom.server);
  if (departed == mDeparted.end() || departed->second.forgetAt <= aNow) {
    return false;
  }
  const Departed& gone = departed->second;
  return aFrom.incarnation < gone.incarnation ||
         (aFrom.incarnation == gone.incarnation && gone.left &&
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
                server.service == aService &&
                aNow < server.renewed + mOptions.serverTimeToLive;
    if (!same) {
      change.ended = server.ledger.Leases();
      change.replaced = Remove(known->second, aNow);
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
  change.leftNow = server.leaving && !wasLeaving;
  Refresh(*change.server, aNow);
  return change;
}

ServerIndex
ServerTable::Insert(const ServerAnnouncement& aFrom,
                    uint32_t aService,
                    Millis aNow)
{
  ServerIndex index = static_cast<ServerIndex>(mServers.size());
  if (mFree.empty()) {
    mServers.emplace_back();
  } else {
    index = mFree.back();
    mFree.pop_back();
  }
  auto identity =
    std::make_shared<const ServerIdentity>(ServerIdentity{ aFrom.server,
                                                           aFrom.service,
                                                           aFrom.zone,
                                                           aFrom.address,
                                                           aFrom.incarnation });
  HomeServer& server =
    mServers[index].emplace(aFrom, std::move(identity), aNow);
  server.service = aService;
  server.settlesAt = mOptions.testOnly.skipHomeWait
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
  aServer.renewed = aNow;
  uint32_t slots = UsableSlots(aFrom);
  uint32_t factor = mOptions.testOnly.ignoreConnections ? 8 : 1;
  aServer.connections = ConnectionBudget(aFrom.connections * factor, slots);
  bool settling = !aServer.settled;
  aServer.settled = aServer.settled || aNow >= aServer.settlesAt;
  uint32_t busy = mOptions.testOnly.ignoreBusy ? 0 : aFrom.busy;
  aServer.ledger.Report(slots, busy, settling, aNow);
  // An incarnation that is leaving does not change its mind.
  aServer.leaving =
    !mOptions.testOnly.ignoreLeaving && (aServer.leaving || aFrom.leaving);
}

ServerRef
ServerTable::Remove(ServerIndex aServer, Millis aNow)
{
  HomeServer& server = Get(aServer);
  ServerRef identity = server.identity;
  if (mDeparted.size() >= kMaxDeparted) {
    std::erase_if(mDeparted,
                  [&](const auto& it) { return it.second.forgetAt <= aNow; });
  }
  if (mDeparted.size() < kMaxDeparted) {
    mDeparted[identity->id] = Departed{ identity->incarnation,
                                        aNow + kRememberDeparted,
                                        server.leaving };
  }
  mPools[server.service].Set(aServer, identity->zone == mZone, false);
  mById.erase(identity->id);
  mServers[aServer].reset();
  mFree.push_back(aServer);
  return identity;
}

ServerRef
ServerTable::Claimed(const ServerId& aServer,
                     Incarnation aIncarnation,
                     Millis aNow,
                     std::vector<LentLease>& aEnded)
{
  auto known = mById.find(aServer);
  if (known == mById.end() ||
      At(known->second).identity->incarnation > aIncarnation) {
    return nullptr;
  }
  aEnded = At(known->second).ledger.Leases();
  return Remove(known->second, aNow);
}

std::vector<ServerRef>
ServerTable::Expire(Millis aNow, std::vector<LentLease>& aEnded)
{
  std::vector<ServerRef> gone;
  for (ServerIndex n = 0; n < mServers.size(); ++n) {
    if (!mServers[n]) {
      continue;
    }
    HomeServer& server = Get(n);
    if (aNow >= server.renewed + mOptions.serverTimeToLive) {
      const auto& leases = server.ledger.Leases();
      aEnded.insert(aEnded.end(), leases.begin(), leases.end());
      gone.push_back(Remove(n, aNow));
      continue;
    }
    if (!mOptions.testOnly.ignoreLeaseExpiry) {
      server.ledger.Expire(aNow, aEnded);
    }
    mReadmissions += server.health.Readmit(mOptions, aNow) ? 1 : 0;
    Refresh(n, aNow);
  }
  return gone;
}

bool
ServerTable::Usable(const HomeServer& aServer, Millis aNow) const
{
  return !aServer.leaving && !aServer.health.Ejected() && aServer.settled &&
         aNow < aServer.renewed + mOptions.serverTimeToLive;
}

void
ServerTable::Refresh(ServerIndex aServer, Millis aNow)
{
  const HomeServer& server = At(aServer);
  bool free = server.ledger.Free() > 0 || mOptions.testOnly.ignoreSlots;
  mPools[server.service].Set(
    aServer, server.identity->zone == mZone, free && Usable(server, aNow));
}

Millis
ServerTable::RenewAfter(ServerIndex aServer, Millis aNow) const
{
  const HomeServer& server = At(aServer);
  if (server.settled) {
    return mOptions.announceInterval;
  }
  Millis wait = std::max(server.settlesAt - aNow, Millis(1));
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
    if (aNow >= server.renewed + mOptions.serverTimeToLive ||
        aExcluded(*server.identity)) {
      return -1.0;
    }
    uint32_t inUse = server.ledger.Slots() - server.ledger.Free();
    return server.health.Score(inUse, mOptions, aNow);
  });
}

std::optional<ServerIndex>
ServerTable::TakeOwn(uint32_t aService,
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
    server.ledger.TakeOwn(aNow);
    server.health.AttemptStarted(aNow, server.ledger.Own());
    Refresh(*picked, aNow);
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
    // Never beyond the server's own time to live: if it falls silent here it
    // may already be with another home instance.
    Millis expires = std::min(aNow + mOptions.leaseDuration,
                              server.renewed + mOptions.serverTimeToLive);
    server.ledger.Lend(aBorrower, aLease, expires);
    Refresh(*picked, aNow);
  }
  return picked;
}

bool
ServerTable::ReleaseOwn(ServerIndex aServer,
                        const ServerRef& aIdentity,
                        Millis aBegan,
                        const AttemptOutcome& aOutcome,
                        Millis aNow)
{
  if (aServer >= mServers.size() || !mServers[aServer] ||
      At(aServer).identity != aIdentity) {
    return false;
  }
  HomeServer& server = Get(aServer);
  server.ledger.ReleaseOwn(aBegan, IsOver(aOutcome.result));
  NoteOutcome(server, aOutcome, aNow);
  Refresh(aServer, aNow);
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
  bool over = !aLease.used || IsOver(aLease.result);
  if (!server.ledger.Return(aBorrower, aLease.lease, over)) {
    return;
  }
  if (aLease.used) {
    NoteOutcome(server, OutcomeOf(aLease), aNow);
  }
  Refresh(aServer, aNow);
}

void
ServerTable::NoteOutcome(HomeServer& aServer,
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
  if (mOptions.testOnly.noEjectionFloor) {
    return true;
  }
  uint32_t pool = 0;
  uint32_t ejected = 0;
  for (const auto& it : mServers) {
    if (it && it->service == aServer.service && !it->leaving &&
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
        it->service >= aCapacities.size()) {
      continue;
    }
    Capacity& capacity = aCapacities[it->service];
    ++capacity.servers;
    uint32_t elsewhere = it->ledger.Elsewhere();
    uint32_t slots = it->ledger.Slots();
    capacity.slots += slots - std::min(slots, elsewhere);
    capacity.freeSlots += it->ledger.Free();
  }
}

bool
ServerTable::HasServers(uint32_t aService) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& it) {
    return it && it->service == aService && !it->leaving;
  });
}

bool
ServerTable::HasOther(uint32_t aService,
                      const std::vector<ServerRef>& aTried) const
{
  return std::any_of(mServers.begin(), mServers.end(), [&](const auto& it) {
    return it && it->service == aService && !it->leaving &&
           !it->health.Ejected() &&
           std::none_of(aTried.begin(), aTried.end(), [&](const auto& x) {
             return x->id == it->identity->id;
           });
  });
}

} // namespace limpetwood::routing
