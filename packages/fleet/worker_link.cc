#include "fleet/worker_link.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// Maximum drift of a worker's clock behind the leader's, in percent, as
// specified by the platform.
constexpr int64_t kMaxClockDriftPercent = 2;
// Allowance for rounding and scheduling delays on both sides.
constexpr Millis kLeaseMargin(100);

Millis
MinWorkerElapsed(Millis aElapsed)
{
  return aElapsed * (100 - kMaxClockDriftPercent) / 100;
}

} // namespace

WorkerLink::WorkerLink(Incarnation aIncarnation, Millis aNow, Millis aMaxLease)
  : lastHeard(aNow)
  , nextRenewalAt(aNow)
  , mIncarnation(aIncarnation)
  , mCreatedAt(aNow)
  , mEarlierLeasesEndAt(aNow + aMaxLease * 100 / (100 - kMaxClockDriftPercent) +
                        kLeaseMargin)
{
}

void
WorkerLink::OnClock(Millis aClock, Millis aNow)
{
  auto lowerBound = ClockLowerBound(aNow);
  if (!lowerBound || aClock > *lowerBound) {
    mClockLowerBound = aClock;
    mClockObservedAt = aNow;
  }
}

std::optional<Millis>
WorkerLink::ClockLowerBound(Millis aNow) const
{
  if (!mClockLowerBound) {
    return std::nullopt;
  }
  return *mClockLowerBound + MinWorkerElapsed(aNow - mClockObservedAt);
}

void
WorkerLink::OnDrainState(const WorkerReport& aReport)
{
  draining = aReport.draining;
  departsAt.reset();
  if (aReport.draining && aReport.departsIn) {
    departsAt = aReport.clock + *aReport.departsIn;
  }
}

std::optional<Millis>
WorkerLink::TimeToDeparture(Millis aNow) const
{
  auto clock = ClockLowerBound(aNow);
  if (!departsAt || !clock) {
    return std::nullopt;
  }
  return *departsAt - *clock;
}

Millis
WorkerLink::GrantLease(Millis aNow, Millis aLength)
{
  Millis clock = ClockLowerBound(aNow).value_or(Millis(0));
  mGrants.erase(mGrants.begin(), mGrants.lower_bound(clock - kLeaseMargin));
  Millis until = clock + aLength;
  if (!mGrants.empty()) {
    until = std::max(until, *mGrants.rbegin());
  }
  mGrants.insert(until);
  return until;
}

void
WorkerLink::WithdrawLease(Millis aUntil)
{
  if (auto it = mGrants.find(aUntil); it != mGrants.end()) {
    mGrants.erase(it);
  }
}

bool
WorkerLink::HasLeaseExpired(Millis aNow) const
{
  if (aNow < mEarlierLeasesEndAt) {
    return false;
  }
  if (mGrants.empty()) {
    return true;
  }
  auto lowerBound = ClockLowerBound(aNow);
  return lowerBound && *lowerBound > *mGrants.rbegin() + kLeaseMargin;
}

} // namespace limpetwood::fleet
