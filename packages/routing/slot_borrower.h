// Slot leases that this instance has requested or borrowed from other
// instances.
//
// A lease serves one attempt at a time. An attempt may be started on it only
// within `leaseStartWindow` after its borrow request was sent, regardless of
// message delays. The lease is returned as soon as no queued request can use
// it.

#pragma once

#include "routing/messages.h"
#include "routing/options.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace limpetwood::routing {

struct BorrowedLease
{
  InstanceId home{};
  LeaseId lease{};
  ServerRef server{};
  uint32_t serviceIndex = 0;
  Millis startBefore{};
  uint32_t connections = 0;
  // Revoked by the home instance: no new attempt may use the lease.
  bool revoked = false;
};

class SlotBorrower
{
public:
  // Maximum number of slots in one borrow request.
  static constexpr uint32_t kMaxSlotsPerRequest = 32;

  SlotBorrower(const RouterOptions& aOptions, uint64_t aSeed)
    : mOptions(aOptions)
    , mNextLease(aSeed)
  {
  }

  // Creates a borrow request and registers it as pending. Precondition:
  // `aCount` is at most `kMaxSlotsPerRequest`.
  BorrowRequest CreateRequest(const InstanceId& aHome,
                              const ServiceId& aService,
                              uint32_t aServiceIndex,
                              uint32_t aCount,
                              Millis aNow);

  // Slots of the service that were requested and not yet granted.
  uint32_t PendingSlots(uint32_t aService, Millis aNow) const;
  // True if a borrow request for the service to `aHome` has not timed out.
  bool HasPendingRequest(const InstanceId& aHome,
                         uint32_t aService,
                         Millis aNow) const;
  // Earliest timeout of a pending request; `Max()` if there is none.
  Millis NextTimeout() const;
  // Removes satisfied and timed-out requests, and the ids of accepted leases
  // that can no longer be duplicated.
  void Expire(Millis aNow);

  // Returns the leases of the reply that may start an attempt. Leases that
  // arrived too late or were not requested are added to `aUnwanted`.
  std::vector<BorrowedLease> OnReply(const InstanceId& aHome,
                                     const BorrowReply& aReply,
                                     std::vector<ReturnedLease>& aUnwanted,
                                     Millis aNow);

  void Add(const BorrowedLease& aLease) { mLeases[aLease.lease] = aLease; }
  // Null if the lease is not borrowed.
  BorrowedLease* Find(LeaseId aLease);
  void Remove(LeaseId aLease) { mLeases.erase(aLease); }
  const std::unordered_map<LeaseId, BorrowedLease>& Leases() const
  {
    return mLeases;
  }

  // Connections to the server that the borrowed leases allow.
  uint32_t ConnectionsTo(const ServerId& aServer) const;

private:
  struct PendingRequest
  {
    InstanceId home{};
    LeaseId firstLease{};
    uint32_t count = 0;
    uint32_t received = 0;
    uint32_t serviceIndex = 0;
    Millis sentAt{};
    // The reply was empty: the instance lends no slots of the service, because
    // it does not know the service, has no servers of it or is draining.
    bool refused = false;
  };

  const RouterOptions& mOptions;
  LeaseId mNextLease;
  std::vector<PendingRequest> mPendingRequests;
  // Recently accepted leases. A duplicated reply must neither restore a lease
  // that was returned, nor cause a second return that reports it as unused.
  std::unordered_set<LeaseId> mAcceptedLeases;
  std::deque<std::pair<Millis, LeaseId>> mAcceptedTimes;
  std::unordered_map<LeaseId, BorrowedLease> mLeases;
};

} // namespace limpetwood::routing
