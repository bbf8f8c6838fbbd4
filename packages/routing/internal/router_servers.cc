// Announcements of backend servers and lending of their slots.

#include "routing/internal/router_impl.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// How often expiry of servers, lent leases and ejections is looked for. Grants
// check the time to live themselves, so this only delays the giving back.
constexpr Millis kHousekeepingInterval = Millis(100);
// A service without servers stays in digests this long, so that other
// instances learn of it although a message is lost.
constexpr Millis kAnnounceEmpty = Seconds(5);

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
  if (change.replaced) {
    ReturnEnded(change.ended, true, answer.effects);
    answer.effects.connectionLimits.push_back(
      ConnectionLimit{ change.replaced, 0 });
  }
  if (change.added) {
    Broadcast(HomeClaim{ aAnnouncement.server, aAnnouncement.incarnation },
              answer.effects);
  }
  if (change.leftNow) {
    const HomeServer& server = mServers.At(*change.server);
    std::vector<LentLease> leases = server.ledger.Leases();
    for (const LentLease& it : leases) {
      answer.effects.messages.push_back(
        SendToPeer{ it.borrower, RevokeLeases{ { it.lease } } });
    }
    answer.effects.connectionLimits.push_back(
      ConnectionLimit{ server.identity, server.ledger.Own() });
  }
  if (change.added || change.leftNow) {
    ServersChanged(service->second, aNow, answer.effects);
  }
  Serve(service->second, aNow, answer.effects);
  return answer;
}

void
Router::Impl::ReturnEnded(const std::vector<LentLease>& aEnded,
                          bool aRevoke,
                          Effects& aEffects)
{
  for (const LentLease& it : aEnded) {
    mLender.Ended(LeaseKey{ it.borrower, it.lease });
    if (aRevoke) {
      aEffects.messages.push_back(
        SendToPeer{ it.borrower, RevokeLeases{ { it.lease } } });
    }
  }
}

void
Router::Impl::ServeAll(Millis aNow, Effects& aEffects)
{
  for (uint32_t n = 0; n < mServices.size(); ++n) {
    if (!mServices[n].queue.Empty() || mLender.FirstWaiting(n, aNow)) {
      Serve(n, aNow, aEffects);
    }
  }
}

void
Router::Impl::Housekeeping(Millis aNow, Effects& aEffects)
{
  mNextHousekeeping = aNow + kHousekeepingInterval;
  mKeyOwners.Expire(aNow);
  mKeys.Tick(aNow);
  mBorrower.DropOld(aNow);
  std::vector<LentLease> ended;
  for (const ServerRef& gone : mServers.Expire(aNow, ended)) {
    ++mCounters.serversExpired;
    aEffects.connectionLimits.push_back(ConnectionLimit{ gone, 0 });
    auto service = mServiceIndex.find(gone->service);
    if (service != mServiceIndex.end()) {
      ServersChanged(service->second, aNow, aEffects);
    }
  }
  mCounters.leasesExpired += ended.size();
  ReturnEnded(ended, false, aEffects);
  std::vector<ServerTable::Capacity> capacities(mServices.size());
  mServers.Capacities(capacities);
  for (std::size_t n = 0; n < mServices.size(); ++n) {
    ServiceState& service = mServices[n];
    if (service.capacity.servers > 0 && capacities[n].servers == 0) {
      service.announceEmptyUntil = aNow + kAnnounceEmpty;
    }
    service.capacity = capacities[n];
  }
  ServeAll(aNow, aEffects);
}

LeaseGrant
Router::Impl::GrantOf(LeaseId aLease, ServerIndex aServer, Millis aNow) const
{
  const HomeServer& server = mServers.At(aServer);
  Millis margin = mOptions.leaseDuration - mOptions.leaseStartTime;
  Millis rest = server.renewed + mOptions.serverTimeToLive - aNow - margin;
  Millis start = std::clamp(rest, Millis(0), mOptions.leaseStartTime);
  return LeaseGrant{
    aLease, *server.identity, start, server.connections.PerLease()
  };
}

void
Router::Impl::NoteLent(const LeaseKey& aKey,
                       ServerIndex aServer,
                       Effects& aEffects)
{
  mLender.Lent(aKey, aServer);
  const HomeServer& server = mServers.At(aServer);
  if (!server.connections.Fixed()) {
    aEffects.connectionLimits.push_back(ConnectionLimit{
      server.identity, server.connections.Own(server.ledger.Elsewhere()) });
  }
}

void
Router::Impl::LendTo(const InstanceId& aFrom,
                     const BorrowRequest& aRequest,
                     Millis aNow,
                     Effects& aEffects)
{
  auto service = mServiceIndex.find(aRequest.service);
  if (aRequest.count == 0 || aRequest.count > SlotBorrower::kMaxAsk) {
    ++mCounters.messagesIgnored;
    return;
  }
  BorrowReply reply{ aRequest.first, {} };
  if (service == mServiceIndex.end() || mDraining ||
      !mServers.HasServers(service->second)) {
    aEffects.messages.push_back(SendToPeer{ aFrom, reply });
    return;
  }
  bool lendNow = mServices[service->second].queue.Empty();
  SlotLender::Waiting rest{
    aFrom,          aRequest.first,   aRequest.first,
    aRequest.count, aRequest.exclude, aNow + mOptions.borrowTimeout
  };
  while (rest.count > 0) {
    LeaseKey key{ aFrom, rest.next };
    auto server = mLender.ServerOf(key);
    if (!server && lendNow) {
      server = mServers.Lend(
        service->second, aRequest.exclude, aFrom, key.lease, aNow, mRandom);
      mCounters.leasesLent += server ? 1 : 0;
    }
    if (!server) {
      break;
    }
    NoteLent(key, *server, aEffects);
    reply.leases.push_back(GrantOf(key.lease, *server, aNow));
    rest.next = rest.next.Next();
    --rest.count;
  }
  if (!reply.leases.empty()) {
    aEffects.messages.push_back(SendToPeer{ aFrom, std::move(reply) });
  }
  mLender.Wait(service->second, std::move(rest));
}

bool
Router::Impl::LendToWaiting(uint32_t aService, Millis aNow, Effects& aEffects)
{
  SlotLender::Waiting* first = mLender.FirstWaiting(aService, aNow);
  if (!first) {
    return false;
  }
  LeaseKey key{ first->borrower, first->next };
  auto server = mServers.Lend(
    aService, first->exclude, key.borrower, key.lease, aNow, mRandom);
  if (!server) {
    mLender.Rotate(aService);
    return false;
  }
  ++mCounters.leasesLent;
  NoteLent(key, *server, aEffects);
  BorrowReply reply{ first->first, { GrantOf(key.lease, *server, aNow) } };
  mLender.Served(aService);
  aEffects.messages.push_back(SendToPeer{ key.borrower, std::move(reply) });
  return true;
}

void
Router::Impl::TakeBack(const InstanceId& aFrom,
                       const ReturnLeases& aMessage,
                       Millis aNow,
                       Effects& aEffects)
{
  for (const ReturnedLease& it : aMessage.leases) {
    LeaseKey key{ aFrom, it.lease };
    auto server = mLender.ServerOf(key);
    if (server) {
      mServers.Return(*server, aFrom, it, aNow);
      mLender.Ended(key);
    }
  }
  ServeAll(aNow, aEffects);
}

void
Router::Impl::Renew(const InstanceId& aFrom,
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
