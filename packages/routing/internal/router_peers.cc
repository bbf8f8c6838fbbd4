// Digests, borrowing of slots, and dispatch of the messages from other
// instances.

#include "routing/internal/router_impl.h"

#include <algorithm>
#include <map>

namespace limpetwood::routing {

namespace {

// Maximum number of slots requested from one instance at a time.
constexpr uint32_t kMaxSlotsPerBorrowRequest = 8;
// Maximum number of instances asked per service each time its queue is served.
constexpr uint32_t kMaxBorrowRequestsPerRound = 4;
// Maximum number of leases in one message, within the limit of the codec
// (`kMaxPeerListEntries`).
constexpr std::size_t kMaxLeasesPerMessage = 100;
// A workspace is left out of digests if its usage is at most its even share of
// the quota (quota / instances) divided by this value. The usage left out
// therefore totals at most an eighth of the quota.
constexpr uint32_t kUnreportedQuotaDivisor = 8;

} // namespace

void
Router::Impl::OnPeerMessage(const InstanceId& aFrom,
                            const PeerMessage& aMessage,
                            Millis aNow,
                            Effects& aEffects)
{
  if (!mPeers.Contains(aFrom)) {
    ++mCounters.messagesIgnored;
    return;
  }
  if (const auto* digest = std::get_if<Digest>(&aMessage)) {
    if (mPeers.AcceptDigest(aFrom, *digest, aNow)) {
      if (!SetEvacuatedZones(digest->evacuated, aNow, aEffects)) {
        UpdateAvoidedServers(aNow, aEffects);
      }
      ServeAllQueues(aNow, aEffects);
    }
  } else if (const auto* claim = std::get_if<HomeClaim>(&aMessage)) {
    std::vector<LentLease> ended;
    ServerRef removed =
      mServers.RemoveClaimed(claim->server, claim->incarnation, aNow, ended);
    if (removed) {
      ForgetEndedLeases(ended, /*aRevoke=*/true, aEffects);
      aEffects.connectionLimits.push_back(ConnectionLimit{ removed, 0 });
      OnServersChanged(mServiceIndex.at(removed->service), aNow, aEffects);
    }
  } else if (const auto* borrow = std::get_if<BorrowRequest>(&aMessage)) {
    OnBorrowRequest(aFrom, *borrow, aNow, aEffects);
  } else if (const auto* reply = std::get_if<BorrowReply>(&aMessage)) {
    OnBorrowReply(aFrom, *reply, aNow, aEffects);
  } else if (const auto* returned = std::get_if<ReturnLeases>(&aMessage)) {
    OnLeasesReturned(aFrom, *returned, aNow, aEffects);
  } else if (const auto* renewed = std::get_if<RenewLeases>(&aMessage)) {
    OnLeasesRenewed(aFrom, *renewed, aNow);
  } else if (const auto* revoked = std::get_if<RevokeLeases>(&aMessage)) {
    for (LeaseId it : revoked->leases) {
      BorrowedLease* borrowed = mBorrower.Find(it);
      if (borrowed && borrowed->home == aFrom) {
        borrowed->revoked = true;
      }
    }
  } else if (const auto* record = std::get_if<KeyRecord>(&aMessage)) {
    aEffects.messages.push_back(
      SendToPeer{ aFrom, mKeys.Record(*record, mKeyOwners.SetIds(), aNow) });
  } else if (const auto* answer = std::get_if<KeyReply>(&aMessage)) {
    OnKeyReply(aFrom, *answer, aNow, aEffects);
  } else if (const auto* outcome = std::get_if<KeyOutcome>(&aMessage)) {
    mKeys.ApplyOutcome(*outcome);
  }
}

void
Router::Impl::OnBorrowReply(const InstanceId& aFrom,
                            const BorrowReply& aReply,
                            Millis aNow,
                            Effects& aEffects)
{
  ReturnLeases unwanted;
  std::vector<BorrowedLease> usable =
    mBorrower.OnReply(aFrom, aReply, unwanted.leases, aNow);
  if (!unwanted.leases.empty()) {
    aEffects.messages.push_back(SendToPeer{ aFrom, std::move(unwanted) });
  }
  for (const BorrowedLease& it : usable) {
    ++mCounters.leasesBorrowed;
    UseLease(it, nullptr, aNow, aEffects);
  }
  if (aReply.leases.empty()) {
    ServeAllQueues(aNow, aEffects);
  }
}

void
Router::Impl::BorrowSlots(uint32_t aService, Millis aNow, Effects& aEffects)
{
  ServiceState& service = mServices[aService];
  // If no instance has free slots, waiting at another instance helps only if
  // this instance has no slots or a queue of more than twice its slots.
  bool mayWaitElsewhere = service.queue.Size() > 2 * service.capacity.slots;
  for (uint32_t round = 0; round < kMaxBorrowRequestsPerRound; ++round) {
    uint32_t expected = mBorrower.PendingSlots(aService, aNow);
    if (service.queue.Size() <= expected) {
      return;
    }
    uint32_t need = service.queue.Size() - expected;
    uint32_t free = 0;
    auto asking = [&](const InstanceId& aId) {
      return mBorrower.HasPendingRequest(aId, aService, aNow);
    };
    auto lender = mPeers.PickLender(service.config.id,
                                    mayWaitElsewhere,
                                    service.avoidsEvacuated,
                                    aNow,
                                    mRandom,
                                    asking,
                                    free);
    if (!lender) {
      return;
    }
    uint32_t count = std::min(need, kMaxSlotsPerBorrowRequest);
    count = free > 0 ? std::min(count, free) : count;
    BorrowRequest message = mBorrower.CreateRequest(
      *lender, service.config.id, aService, count, aNow);
    message.exclude = service.excludedServers;
    mPeers.DeductFreeSlots(*lender, service.config.id, count);
    aEffects.messages.push_back(SendToPeer{ *lender, std::move(message) });
  }
}

void
Router::Impl::ReturnLease(const BorrowedLease& aLease,
                          const AttemptOutcome* aOutcome,
                          Effects& aEffects)
{
  ReturnedLease returned{ .lease = aLease.lease };
  if (aOutcome) {
    returned.used = true;
    returned.result = aOutcome->result;
    returned.serverError = aOutcome->serverError;
    returned.latency = std::clamp(aOutcome->latency, Millis(0), Hours(1));
  }
  aEffects.connectionLimits.push_back(ConnectionLimit{
    aLease.server, mBorrower.ConnectionsTo(aLease.server->id) });
  aEffects.messages.push_back(
    SendToPeer{ aLease.home, ReturnLeases{ { returned } } });
}

void
Router::Impl::RenewBorrowedLeases(Millis aNow, Effects& aEffects)
{
  // Four renewals within the lease duration, so that three may be lost.
  mNextRenewal = aNow + mOptions.leaseDuration / 4;
  std::map<InstanceId, RenewLeases> byHome;
  for (const auto& [id, lease] : mBorrower.Leases()) {
    RenewLeases& message = byHome[lease.home];
    message.leases.push_back(id);
    if (message.leases.size() >= kMaxLeasesPerMessage) {
      aEffects.messages.push_back(SendToPeer{ lease.home, std::move(message) });
      message = RenewLeases{};
    }
  }
  for (auto& [home, message] : byHome) {
    if (!message.leases.empty()) {
      aEffects.messages.push_back(SendToPeer{ home, std::move(message) });
    }
  }
}

void
Router::Impl::Broadcast(const PeerMessage& aMessage, Effects& aEffects) const
{
  for (const Peer& it : mPeers.All()) {
    aEffects.messages.push_back(SendToPeer{ it.id, aMessage });
  }
}

void
Router::Impl::OnServersChanged(uint32_t aService,
                               Millis aNow,
                               Effects& aEffects)
{
  std::vector<ServerTable::Capacity> capacities(mServices.size());
  mServers.Capacities(capacities);
  ServiceState& service = mServices[aService];
  if (service.capacity.servers > 0 && capacities[aService].servers == 0) {
    // The same time as `kEmptyServiceListingTime` in router_servers.cc.
    service.listEmptyUntil = aNow + Seconds(5);
  }
  service.capacity = capacities[aService];
  service.digestPending = true;
  mDeltaPending = true;
  if (aNow >= mLastDelta + mOptions.deltaInterval) {
    SendDigest(true, aNow, aEffects);
  }
}

std::vector<ServiceDigest>
Router::Impl::DigestServices(bool aDelta, Millis aNow)
{
  std::vector<ServiceDigest> entries;
  auto count = static_cast<uint32_t>(mServices.size());
  for (uint32_t n = 0; n < count; ++n) {
    uint32_t index = aDelta ? n : (n + mDigestOffset) % count;
    ServiceState& service = mServices[index];
    bool listed =
      aDelta ? service.digestPending
             : service.capacity.servers > 0 || aNow < service.listEmptyUntil;
    if (!listed) {
      continue;
    }
    if (entries.size() == kMaxDigestServices) {
      mDigestOffset = aDelta ? mDigestOffset : index;
      break;
    }
    service.digestPending = false;
    // Local requests are served first, so no slots are offered while some are
    // queued.
    bool idle = service.queue.Empty();
    entries.push_back(ServiceDigest{ service.config.id,
                                     service.capacity.servers,
                                     idle ? service.capacity.freeSlots : 0,
                                     service.capacity.evacuatedServers });
  }
  return entries;
}

std::vector<WorkspaceUse>
Router::Impl::DigestWorkspaces() const
{
  std::vector<WorkspaceUse> entries;
  for (const WorkspaceState& it : mWorkspaces) {
    uint32_t quota = it.config.requests;
    if (quota > 0 &&
        it.view.inProgress > quota / mInstanceCount / kUnreportedQuotaDivisor) {
      entries.push_back(WorkspaceUse{ it.hash, it.view.inProgress });
    }
  }
  std::sort(entries.begin(), entries.end(), [](const auto& x, const auto& y) {
    return x.requests > y.requests;
  });
  entries.resize(std::min(entries.size(), kMaxDigestWorkspaces));
  return entries;
}

void
Router::Impl::SendDigest(bool aDelta, Millis aNow, Effects& aEffects)
{
  Digest digest;
  digest.version = ++mDigestVersion;
  digest.delta = aDelta;
  digest.services = DigestServices(aDelta, aNow);
  mDeltaPending = false;
  if (aDelta) {
    mLastDelta = aNow;
    mDeltaPending =
      std::any_of(mServices.begin(), mServices.end(), [](const auto& it) {
        return it.digestPending;
      });
  } else {
    mNextDigest = aNow + mOptions.digestInterval;
    digest.workspaces = DigestWorkspaces();
    digest.evacuated = mEvacuated;
    bool empty = digest.services.empty() && digest.workspaces.empty() &&
                 digest.evacuated.zones.empty();
    if (empty && mLastDigestEmpty) {
      return;
    }
    mLastDigestEmpty = empty;
  }
  Broadcast(digest, aEffects);
}

} // namespace limpetwood::routing
