#include "routing/slot_ledger.h"

#include <algorithm>

namespace limpetwood::routing {

namespace {

auto
Find(std::vector<LentLease>& aLeases,
     const InstanceId& aBorrower,
     LeaseId aLease)
{
  return std::find_if(aLeases.begin(), aLeases.end(), [&](const auto& it) {
    return it.lease == aLease && it.borrower == aBorrower;
  });
}

} // namespace

SlotLedger::SlotLedger(uint32_t aSlots, uint32_t aBusy)
  : mSlots(aSlots)
  , mUnattributed(aBusy)
{
}

void
SlotLedger::Lend(const InstanceId& aBorrower, LeaseId aLease, Millis aExpires)
{
  mLentLeases.push_back(LentLease{ aBorrower, aLease, aExpires });
}

void
SlotLedger::ReleaseLocalSlot(Millis aStartedAt, bool aFinished)
{
  mLocalStarts.erase(
    std::find(mLocalStarts.begin(), mLocalStarts.end(), aStartedAt));
  mUncertainAttempts += aFinished ? 0 : 1;
}

bool
SlotLedger::Renew(const InstanceId& aBorrower, LeaseId aLease, Millis aExpires)
{
  auto found = Find(mLentLeases, aBorrower, aLease);
  if (found == mLentLeases.end()) {
    return false;
  }
  found->expires = std::max(found->expires, aExpires);
  return true;
}

bool
SlotLedger::Return(const InstanceId& aBorrower, LeaseId aLease, bool aFinished)
{
  auto found = Find(mLentLeases, aBorrower, aLease);
  if (found == mLentLeases.end()) {
    return false;
  }
  mLentLeases.erase(found);
  mUncertainAttempts += aFinished ? 0 : 1;
  return true;
}

void
SlotLedger::Expire(Millis aNow, std::vector<LentLease>& aEndedLeases)
{
  auto due = std::stable_partition(
    mLentLeases.begin(), mLentLeases.end(), [&](const LentLease& aLease) {
      return aLease.expires > aNow;
    });
  mUncertainAttempts += static_cast<uint32_t>(mLentLeases.end() - due);
  aEndedLeases.insert(aEndedLeases.end(), due, mLentLeases.end());
  mLentLeases.erase(due, mLentLeases.end());
}

void
SlotLedger::Report(uint32_t aSlots,
                   uint32_t aBusy,
                   bool aTakeoverPending,
                   Millis aNow)
{
  mSlots = aSlots;
  auto arrived = std::count_if(
    mLocalStarts.begin(), mLocalStarts.end(), [&](Millis aStartedAt) {
      return aStartedAt + kTransitMargin <= aNow;
    });
  // Busy slots that no local attempt accounts for.
  uint32_t unattributedNow =
    aBusy - std::min(aBusy, static_cast<uint32_t>(arrived));
  uint32_t before = mUnattributed;
  mUnattributed = aTakeoverPending ? unattributedNow
                                   : std::min(mUnattributed, unattributedNow);
  if (aTakeoverPending || mUnattributed < before || mUnattributed == 0) {
    mUnattributedSince = aNow;
  } else if (!aTakeoverPending &&
             aNow >= mUnattributedSince + kUncertainSlotTimeout) {
    --mUnattributed;
    mUnattributedSince = aNow;
  }
  if (mUncertainAttempts > 0) {
    // A new uncertain slot restarts the timeout, so that each one stays
    // occupied for the full `kUncertainSlotTimeout`.
    mUnattributedSince = aNow;
  }
  mUnattributed += mUncertainAttempts;
  mUncertainAttempts = 0;
}

} // namespace limpetwood::routing
