#include "fleet/worker_link.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

// A worker's clock may run this much slower than the leader's (from the
// platform's pages).
constexpr int64_t kSlowPercent = 2;
// Rounding and scheduling on both sides.
constexpr Millis kLeaseMargin(100);

Millis
SlowestProgress(Millis aElapsed)
{
  return aElapsed * (100 - kSlowPercent) / 100;
}

} // namespace

WorkerLink::WorkerLink(Incarnation aIncarnation,
                       Millis aNow,
                       Millis aLongestLease)
  : lastHeard(aNow)
  , renewDue(aNow)
  , mIncarnation(aIncarnation)
  , mEarlierOver(aNow + aLongestLease * 100 / (100 - kSlowPercent) +
                 kLeaseMargin)
{
}

void
WorkerLink::OnClock(Millis aClock, Millis aNow)
{
  auto floor = ClockFloor(aNow);
  if (!floor || aClock > *floor) {
    mClock = aClock;
    mClockAt = aNow;
  }
}

std::optional<Millis>
WorkerLink::ClockFloor(Millis aNow) const
{
  if (!mClock) {
    return std::nullopt;
  }
  return *mClock + SlowestProgress(aNow - mClockAt);
}

Millis
WorkerLink::GrantUntil(Millis aNow, Millis aLength)
{
  Millis until = ClockFloor(aNow).value_or(Millis(0)) + aLength;
  mGranted = std::max(mGranted.value_or(until), until);
  return *mGranted;
}

bool
WorkerLink::LeaseOver(Millis aNow) const
{
  if (aNow < mEarlierOver) {
    return false;
  }
  if (!mGranted) {
    return true;
  }
  auto floor = ClockFloor(aNow);
  return floor && *floor > *mGranted + kLeaseMargin;
}

} // namespace limpetwood::fleet
