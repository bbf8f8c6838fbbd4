#include "routing/slot_borrower.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

// Longer than a lease, or a duplicate of its grant, can be in transit.
constexpr Millis kAcceptedLeaseRetention = Seconds(10);

} // namespace

BorrowRequest
SlotBorrower::CreateRequest(const InstanceId& aHome,
                            const ServiceId& aService,
                            uint32_t aServiceIndex,
                            uint32_t aCount,
                            Millis aNow)
{
  BorrowRequest message;
  message.firstLease = mNextLease;
  message.count = aCount;
  message.service = aService;
  mPendingRequests.push_back(
    PendingRequest{ aHome, mNextLease, aCount, 0, aServiceIndex, aNow, false });
  mNextLease += LeaseId(aCount);
  return message;
}

uint32_t
SlotBorrower::PendingSlots(uint32_t aService, Millis aNow) const
{
  uint32_t pendingSlots = 0;
  for (const PendingRequest& it : mPendingRequests) {
    if (it.serviceIndex == aService && !it.refused &&
        aNow < it.sentAt + mOptions.borrowTimeout) {
      pendingSlots += it.count - it.received;
    }
  }
  return pendingSlots;
}

bool
SlotBorrower::HasPendingRequest(const InstanceId& aHome,
                                uint32_t aService,
                                Millis aNow) const
{
  return std::any_of(mPendingRequests.begin(),
                     mPendingRequests.end(),
                     [&](const PendingRequest& it) {
                       return it.serviceIndex == aService && it.home == aHome &&
                              aNow < it.sentAt + mOptions.borrowTimeout;
                     });
}

Millis
SlotBorrower::NextTimeout() const
{
  Millis next = Millis::Max();
  for (const PendingRequest& it : mPendingRequests) {
    next = std::min(next, it.sentAt + mOptions.borrowTimeout);
  }
  return next;
}

void
SlotBorrower::Expire(Millis aNow)
{
  std::erase_if(mPendingRequests, [&](const PendingRequest& it) {
    return it.received == it.count ||
           aNow >= it.sentAt + mOptions.borrowTimeout;
  });
  while (!mAcceptedTimes.empty() &&
         aNow >= mAcceptedTimes.front().first + kAcceptedLeaseRetention) {
    if (!mLeases.contains(mAcceptedTimes.front().second)) {
      mAcceptedLeases.erase(mAcceptedTimes.front().second);
      mAcceptedTimes.pop_front();
    } else {
      // Still borrowed: checked again later.
      mAcceptedTimes.emplace_back(aNow, mAcceptedTimes.front().second);
      mAcceptedTimes.pop_front();
    }
  }
}

std::vector<BorrowedLease>
SlotBorrower::OnReply(const InstanceId& aHome,
                      const BorrowReply& aReply,
                      std::vector<ReturnedLease>& aUnwanted,
                      Millis aNow)
{
  std::vector<BorrowedLease> usable;
  auto pending = std::find_if(
    mPendingRequests.begin(), mPendingRequests.end(), [&](const auto& it) {
      return it.firstLease == aReply.firstLease && it.home == aHome;
    });
  if (pending != mPendingRequests.end() && aReply.leases.empty()) {
    pending->refused = true;
  }
  for (const LeaseGrant& it : aReply.leases) {
    if (mAcceptedLeases.contains(it.lease)) {
      continue;
    }
    bool wanted = pending != mPendingRequests.end() &&
                  it.lease >= pending->firstLease &&
                  it.lease < pending->firstLease + LeaseId(pending->count);
    // Measured from the time of the request: the home instance cannot have
    // granted the lease earlier.
    Millis until = wanted ? pending->sentAt + it.startWithin : aNow;
    if (!wanted || aNow >= until) {
      aUnwanted.push_back(ReturnedLease{ .lease = it.lease });
      continue;
    }
    ++pending->received;
    mAcceptedLeases.insert(it.lease);
    mAcceptedTimes.emplace_back(aNow, it.lease);
    usable.push_back(BorrowedLease{
      .home = aHome,
      .lease = it.lease,
      .server = std::make_shared<const ServerIdentity>(it.server),
      .serviceIndex = pending->serviceIndex,
      .startBefore = until,
      .connections = it.connections });
  }
  return usable;
}

BorrowedLease*
SlotBorrower::Find(LeaseId aLease)
{
  auto found = mLeases.find(aLease);
  return found == mLeases.end() ? nullptr : &found->second;
}

uint32_t
SlotBorrower::ConnectionsTo(const ServerId& aServer) const
{
  uint32_t sum = 0;
  for (const auto& [id, lease] : mLeases) {
    sum += lease.server->id == aServer ? lease.connections : 0;
  }
  return sum;
}

} // namespace limpetwood::routing
