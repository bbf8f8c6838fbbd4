// Accounts for the slots of one backend server at its home instance.
//
// Invariant: a slot is granted only while local attempts, lent leases and
// unattributed work (reported by the server, but known neither as a local
// attempt nor as a lease) occupy fewer slots than the server has.
//
// An attempt that ended without an answer may still run on the server, so its
// slot stays occupied ("uncertain") until a report shows that the server
// executes nothing that is not accounted for. At least two reports are needed,
// because the first one may have been sent before the request arrived.
//
// When a report is compared with the accounts, local attempts that began within
// `kTransitMargin` before it are not counted, since the server may not have
// received them yet. Lent slots are not counted either, since it is unknown
// whether they are in use. Under a constant load of short requests no report
// would therefore ever account for all reported work, so an uncertain slot is
// released after `kUncertainSlotTimeout`.

#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/messages.h"

#include <cstdint>
#include <vector>

namespace limpetwood::routing {

struct LentLease
{
  InstanceId borrower;
  LeaseId lease;
  Millis expires;
};

// Maximum assumed time for a request or an announcement to reach the other
// side.
constexpr Millis kTransitMargin = Millis(50);
constexpr Millis kUncertainSlotTimeout = Seconds(10);

class SlotLedger
{
public:
  // Starts with all work that the server reports unattributed.
  SlotLedger(uint32_t aSlots, uint32_t aBusy);

  uint32_t Slots() const { return mSlots; }
  uint32_t LocalAttempts() const
  {
    return static_cast<uint32_t>(mLocalStarts.size());
  }
  uint32_t LentSlots() const
  {
    return static_cast<uint32_t>(mLentLeases.size());
  }
  uint32_t UnattributedBusy() const
  {
    return mUnattributed + mUncertainAttempts;
  }
  // Slots that are, or may be, occupied by other instances.
  uint32_t OccupiedElsewhere() const
  {
    return LentSlots() + UnattributedBusy();
  }
  const std::vector<LentLease>& Leases() const { return mLentLeases; }

  uint32_t FreeSlots() const
  {
    uint32_t used = LocalAttempts() + LentSlots() + UnattributedBusy();
    return mSlots > used ? mSlots - used : 0;
  }

  // Precondition of `TakeLocalSlot` and `Lend`: `FreeSlots() > 0`.
  void TakeLocalSlot(Millis aNow) { mLocalStarts.push_back(aNow); }
  void Lend(const InstanceId& aBorrower, LeaseId aLease, Millis aExpires);

  // Releases the slot of the attempt that began at `aStartedAt`. `aFinished`:
  // the server no longer executes the attempt.
  void ReleaseLocalSlot(Millis aStartedAt, bool aFinished);

  // Both return false if the lease is unknown, because it was returned or has
  // expired. `aFinished`: the server no longer executes the lease's last
  // attempt.
  bool Renew(const InstanceId& aBorrower, LeaseId aLease, Millis aExpires);
  bool Return(const InstanceId& aBorrower, LeaseId aLease, bool aFinished);

  // Removes expired leases and appends them to `aEndedLeases`. Their attempts
  // may still run, so their slots become uncertain.
  void Expire(Millis aNow, std::vector<LentLease>& aEndedLeases);

  // Applies the slot and busy counts of an announcement. While
  // `aTakeoverPending`, the former home instance may still grant slots, so
  // unattributed work may grow; afterwards it can only shrink, apart from
  // uncertain slots.
  void Report(uint32_t aSlots,
              uint32_t aBusy,
              bool aTakeoverPending,
              Millis aNow);

private:
  uint32_t mSlots;
  // Start times of the local attempts.
  std::vector<Millis> mLocalStarts;
  std::vector<LentLease> mLentLeases;
  // Work of other instances and uncertain attempts, as seen in the last report.
  uint32_t mUnattributed;
  // Time since which `mUnattributed` has not decreased.
  Millis mUnattributedSince{};
  // Attempts that became uncertain after the last report.
  uint32_t mUncertainAttempts = 0;
};

} // namespace limpetwood::routing
