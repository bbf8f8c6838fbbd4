// Announcements of backend servers and lending of their slots.

#include "routing/internal/router_impl.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// Interval of the checks for expired servers, expired leases and ended
// ejections. Grants check the time to live themselves, so the interval only
// delays the release of resources.
constexpr Millis kHousekeepingInterval = Millis(100);
// A service that has lost its last server stays in digests for this time, so
// that other instances learn of it even if a digest is lost.
constexpr Millis kEmptyServiceListingTime = Seconds(5);

} // namespace

AnnounceResult
Router::Impl::Announce(const ServerAnnouncement& aAnnouncement, Millis aNow)
{
  AnnounceResult answer;
  answer.renewAfter = mOptions.announceInterval;
  answer.timeToLive = mOptions.serverTimeToLive;
  auto service = mServiceIndex.find(aAnnouncement.service);
  if (service == mServiceIndex.end()) {
    answer.status = AnnounceStatus::kUnknownService;
    return answer;
  }
  if (mDraining) {
    answer.status = AnnounceStatus::kDraining;
    return answer;
  }
  ServerTable::Change change =
    mServers.Announce(aAnnouncement, service->second, aNow);
  answer.status = change.status;
  if (change.status != AnnounceStatus::kAccepted) {
    mCounters.staleAnnouncements +=
      change.status == AnnounceStatus::kStaleIncarnation ? 1 : 0;
    return answer;
  }
  answer.renewAfter = mServers.RenewAfter(*change.server, aNow);
  if (change.replacedServer) {
    ForgetEndedLeases(change.endedLeases, /*aRevoke=*/true, answer.effects);
    answer.effects.connectionLimits.push_back(
      ConnectionLimit{ change.replacedServer, 0 });
  }
  if (change.added) {
    Broadcast(HomeClaim{ aAnnouncement.server, aAnnouncement.incarnation },
              answer.effects);
  }
  if (change.startedLeaving) {
    const HomeServer& server = mServers.At(*change.server);
    std::vector<LentLease> leases = server.ledger.Leases();
    for (const LentLease& it : leases) {
      answer.effects.messages.push_back(
        SendToPeer{ it.borrower, RevokeLeases{ { it.lease } } });
    }
    answer.effects.connectionLimits.push_back(
      ConnectionLimit{ server.identity, server.ledger.LocalAttempts() });
  }
  if (change.added || change.startedLeaving) {
    OnServersChanged(service->second, aNow, answer.effects);
    UpdateAvoidedServers(aNow, answer.effects);
  }
  ServeQueue(service->second, aNow, answer.effects);
  return answer;
}

void
Router::Impl::ForgetEndedLeases(const std::vector<LentLease>& aEndedLeases,
                                bool aRevoke,
                                Effects& aEffects)
{
  for (const LentLease& it : aEndedLeases) {
    mLender.RemoveLease(LeaseKey{ it.borrower, it.lease });
    if (aRevoke) {
      aEffects.messages.push_back(
        SendToPeer{ it.borrower, RevokeLeases{ { it.lease } } });
    }
  }
}

bool
Router::Impl::SetEvacuatedZones(const EvacuatedZones& aEvacuated,
                                Millis aNow,
                                Effects& aEffects)
{
  if (aEvacuated.index <= mEvacuated.index) {
    return false;
  }
  mEvacuated = aEvacuated;
  mServers.SetEvacuatedZones(mEvacuated.zones);
  for (uint32_t n = 0; n < mServices.size(); ++n) {
    // Update the candidates also if the decision below stays the same.
    mServers.SetAvoidEvacuated(n, mServices[n].avoidsEvacuated, aNow);
  }
  UpdateAvoidedServers(aNow, aEffects);
  return true;
}

void
Router::Impl::UpdateAvoidedServers(Millis aNow, Effects& aEffects)
{
  bool anyAffected =
    std::any_of(mServices.begin(), mServices.end(), [](const auto& it) {
      return it.avoidsEvacuated || it.capacity.evacuatedServers > 0;
    });
  if (mEvacuated.zones.empty() && !anyAffected) {
    return;
  }
  std::vector<ServerTable::Capacity> capacities(mServices.size());
  mServers.Capacities(capacities);
  for (uint32_t n = 0; n < mServices.size(); ++n) {
    ServiceState& service = mServices[n];
    bool avoid = !mEvacuated.zones.empty() &&
                 (capacities[n].servers > capacities[n].evacuatedServers ||
                  mPeers.HasServersOutsideEvacuated(service.config.id, aNow));
    bool changed =
      avoid != service.avoidsEvacuated ||
      capacities[n].evacuatedServers != service.capacity.evacuatedServers;
    if (!changed) {
      continue;
    }
    service.avoidsEvacuated = avoid;
    mServers.SetAvoidEvacuated(n, avoid, aNow);
    OnServersChanged(n, aNow, aEffects);
    ServeQueue(n, aNow, aEffects);
  }
}

void
Router::Impl::ServeAllQueues(Millis aNow, Effects& aEffects)
{
  for (uint32_t n = 0; n < mServices.size(); ++n) {
    if (!mServices[n].queue.Empty() || mLender.FirstWaiting(n, aNow)) {
      ServeQueue(n, aNow, aEffects);
    }
  }
}

void
Router::Impl::Housekeeping(Millis aNow, Effects& aEffects)
{
  mNextHousekeeping = aNow + kHousekeepingInterval;
  mKeyOwners.Expire(aNow);
  mKeys.Tick(aNow);
  mBorrower.Expire(aNow);
  std::vector<LentLease> ended;
  for (const ServerRef& removed : mServers.Expire(aNow, ended)) {
    ++mCounters.serversExpired;
    aEffects.connectionLimits.push_back(ConnectionLimit{ removed, 0 });
    auto service = mServiceIndex.find(removed->service);
    if (service != mServiceIndex.end()) {
      OnServersChanged(service->second, aNow, aEffects);
    }
  }
  mCounters.leasesExpired += ended.size();
  ForgetEndedLeases(ended, /*aRevoke=*/false, aEffects);
  std::vector<ServerTable::Capacity> capacities(mServices.size());
  mServers.Capacities(capacities);
  for (std::size_t n = 0; n < mServices.size(); ++n) {
    ServiceState& service = mServices[n];
    if (service.capacity.servers > 0 && capacities[n].servers == 0) {
      service.listEmptyUntil = aNow + kEmptyServiceListingTime;
    }
    service.capacity = capacities[n];
  }
  UpdateAvoidedServers(aNow, aEffects);
  ServeAllQueues(aNow, aEffects);
}

LeaseGrant
Router::Impl::MakeLeaseGrant(LeaseId aLease,
                             ServerIndex aServer,
                             Millis aNow) const
{
  const HomeServer& server = mServers.At(aServer);
  Millis margin = mOptions.leaseDuration - mOptions.leaseStartWindow;
  Millis timeLeft =
    server.lastAnnouncedAt + mOptions.serverTimeToLive - aNow - margin;
  Millis start = std::clamp(timeLeft, Millis(0), mOptions.leaseStartWindow);
  return LeaseGrant{
    aLease, *server.identity, start, server.connections.PerLease()
  };
}

void
Router::Impl::RecordLease(const LeaseKey& aKey,
                          ServerIndex aServer,
                          Effects& aEffects)
{
  mLender.AddLease(aKey, aServer);
  const HomeServer& server = mServers.At(aServer);
  if (!server.connections.IsHomeLimitFixed()) {
    aEffects.connectionLimits.push_back(ConnectionLimit{
      server.identity,
      server.connections.HomeLimit(server.ledger.OccupiedElsewhere()) });
  }
}

void
Router::Impl::OnBorrowRequest(const InstanceId& aFrom,
                              const BorrowRequest& aRequest,
                              Millis aNow,
                              Effects& aEffects)
{
  auto service = mServiceIndex.find(aRequest.service);
  if (aRequest.count == 0 ||
      aRequest.count > SlotBorrower::kMaxSlotsPerRequest) {
    ++mCounters.messagesIgnored;
    return;
  }
  BorrowReply reply{ aRequest.firstLease, {} };
  // Without a server outside the evacuated zones, the borrower is told at once,
  // so that it asks another instance.
  bool avoidsAll = service != mServiceIndex.end() &&
                   mServices[service->second].avoidsEvacuated &&
                   mServices[service->second].capacity.servers <=
                     mServices[service->second].capacity.evacuatedServers;
  if (service == mServiceIndex.end() || mDraining || avoidsAll ||
      !mServers.HasServers(service->second)) {
    aEffects.messages.push_back(SendToPeer{ aFrom, reply });
    return;
  }
  bool lendNow = mServices[service->second].queue.Empty();
  SlotLender::WaitingBorrower waiting{
    aFrom,          aRequest.firstLease, aRequest.firstLease,
    aRequest.count, aRequest.exclude,    aNow + mOptions.borrowTimeout
  };
  while (waiting.remaining > 0) {
    LeaseKey key{ aFrom, waiting.nextLease };
    auto server = mLender.ServerOf(key);
    if (!server && lendNow) {
      server = mServers.Lend(
        service->second, aRequest.exclude, aFrom, key.lease, aNow, mRandom);
      mCounters.leasesLent += server ? 1 : 0;
    }
    if (!server) {
      break;
    }
    RecordLease(key, *server, aEffects);
    reply.leases.push_back(MakeLeaseGrant(key.lease, *server, aNow));
    waiting.nextLease = waiting.nextLease.Next();
    --waiting.remaining;
  }
  if (!reply.leases.empty()) {
    aEffects.messages.push_back(SendToPeer{ aFrom, std::move(reply) });
  }
  mLender.AddWaiting(service->second, std::move(waiting));
}

bool
Router::Impl::LendToWaiting(uint32_t aService, Millis aNow, Effects& aEffects)
{
  SlotLender::WaitingBorrower* first = mLender.FirstWaiting(aService, aNow);
  if (!first) {
    return false;
  }
  LeaseKey key{ first->borrower, first->nextLease };
  auto server = mServers.Lend(
    aService, first->exclude, key.borrower, key.lease, aNow, mRandom);
  if (!server) {
    mLender.MoveFirstToBack(aService);
    return false;
  }
  ++mCounters.leasesLent;
  RecordLease(key, *server, aEffects);
  BorrowReply reply{ first->firstLease,
                     { MakeLeaseGrant(key.lease, *server, aNow) } };
  mLender.OnSlotLent(aService);
  aEffects.messages.push_back(SendToPeer{ key.borrower, std::move(reply) });
  return true;
}

void
Router::Impl::OnLeasesReturned(const InstanceId& aFrom,
                               const ReturnLeases& aMessage,
                               Millis aNow,
                               Effects& aEffects)
{
  for (const ReturnedLease& it : aMessage.leases) {
    LeaseKey key{ aFrom, it.lease };
    auto server = mLender.ServerOf(key);
    if (server) {
      mServers.Return(*server, aFrom, it, aNow);
      mLender.RemoveLease(key);
    }
  }
  ServeAllQueues(aNow, aEffects);
}

void
Router::Impl::OnLeasesRenewed(const InstanceId& aFrom,
                              const RenewLeases& aMessage,
                              Millis aNow)
{
  for (LeaseId it : aMessage.leases) {
    if (auto server = mLender.ServerOf(LeaseKey{ aFrom, it })) {
      mServers.Renew(*server, aFrom, it, aNow);
    }
  }
}

} // namespace limpetwood::routing
