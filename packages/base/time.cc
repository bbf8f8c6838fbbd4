// Access to the system clocks.

#include "base/time.h"

#include <ctime>

namespace limpetwood {

namespace {

Millis
ReadClock(clockid_t aClock)
{
  timespec now{};
  ::clock_gettime(aClock, &now);
  return Seconds(now.tv_sec) + Millis(now.tv_nsec / 1'000'000);
}

} // namespace

Millis
MonotonicNow()
{
  // Unlike the steady clock of the standard library, this one goes on while the
  // machine is suspended, so a lease cannot outlast a suspension unnoticed.
  return ReadClock(CLOCK_BOOTTIME);
}

Millis
WallNow()
{
  return ReadClock(CLOCK_REALTIME);
}

} // namespace limpetwood
