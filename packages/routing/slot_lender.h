// The leases that this instance has granted, with the server of each, and the
// instances that wait to borrow a slot.

#pragma once

#include "routing/messages.h"
#include "routing/server_pool.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace limpetwood::routing {

struct LeaseKey
{
  InstanceId borrower{};
  LeaseId lease{};

  bool operator==(const LeaseKey&) const = default;
};

struct LeaseKeyHash
{
  std::size_t operator()(const LeaseKey& aKey) const
  {
    return std::hash<InstanceId>()(aKey.borrower) * 31 +
           std::hash<LeaseId>()(aKey.lease);
  }
};

class SlotLender
{
public:
  struct WaitingBorrower
  {
    InstanceId borrower{};
    // Identifies the borrow request in replies.
    LeaseId firstLease{};
    // Id of the next lease, and the number of slots still to be lent.
    LeaseId nextLease{};
    uint32_t remaining = 0;
    std::vector<ServerId> exclude{};
    Millis expiresAt{};
  };

  void AddLease(const LeaseKey& aKey, ServerIndex aServer)
  {
    mServerByLease[aKey] = aServer;
  }
  std::optional<ServerIndex> ServerOf(const LeaseKey& aKey) const;
  void RemoveLease(const LeaseKey& aKey) { mServerByLease.erase(aKey); }

  // Adds a borrower to the end of the service's queue, or updates its entry in
  // place.
  void AddWaiting(uint32_t aService, WaitingBorrower aWaiting);
  // The borrower at the front of the queue, or null. Removes borrowers whose
  // request has timed out or has been satisfied.
  WaitingBorrower* FirstWaiting(uint32_t aService, Millis aNow);
  // Counts a slot lent to the first borrower and moves it to the end of the
  // queue. Precondition: the queue is not empty.
  void OnSlotLent(uint32_t aService);
  // Moves the first borrower to the end of the queue.
  void MoveFirstToBack(uint32_t aService);

private:
  std::unordered_map<LeaseKey, ServerIndex, LeaseKeyHash> mServerByLease;
  // Indexed by service.
  std::vector<std::deque<WaitingBorrower>> mWaiting;
};

} // namespace limpetwood::routing
