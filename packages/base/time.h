// The project's only time type: signed milliseconds.
//
// `Millis` is used both for durations and for points in time since an
// arbitrary epoch. The scheduler, the router and the replication core never
// read a clock; their callers pass in `now`.
//
//   Millis now = MonotonicNow();
//   Millis deadline = now + Seconds(3);
//   if (now >= deadline) { ... }

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace limpetwood {

class Millis
{
public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t aCount)
    : mCount(aCount)
  {
  }

  constexpr int64_t Count() const { return mCount; }

  constexpr auto operator<=>(const Millis&) const = default;

  constexpr Millis operator+(Millis aOther) const
  {
    return Millis(mCount + aOther.mCount);
  }
  constexpr Millis operator-(Millis aOther) const
  {
    return Millis(mCount - aOther.mCount);
  }
  constexpr Millis operator*(int64_t aFactor) const
  {
    return Millis(mCount * aFactor);
  }
  constexpr Millis operator/(int64_t aDivisor) const
  {
    return Millis(mCount / aDivisor);
  }
  constexpr Millis& operator+=(Millis aOther)
  {
    mCount += aOther.mCount;
    return *this;
  }
  constexpr Millis& operator-=(Millis aOther)
  {
    mCount -= aOther.mCount;
    return *this;
  }

  // Later than any time that is computed from a clock, with headroom so that
  // adding a duration does not overflow.
  static constexpr Millis Max() { return Millis(INT64_MAX / 4); }

private:
  int64_t mCount = 0;
};

constexpr Millis
Seconds(int64_t aCount)
{
  return Millis(aCount * 1000);
}

constexpr Millis
Minutes(int64_t aCount)
{
  return Seconds(aCount * 60);
}

constexpr Millis
Hours(int64_t aCount)
{
  return Minutes(aCount * 60);
}

// Milliseconds of the monotonic clock. Not comparable between processes.
Millis
MonotonicNow();

// Milliseconds since the Unix epoch. May jump when the system clock is
// adjusted, so it is used only for timestamps that people read and for seeding
// epochs.
Millis
WallNow();

} // namespace limpetwood
