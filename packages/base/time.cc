// Access to the system clocks.

#include "base/time.h"

#include <chrono>

namespace limpetwood {

namespace {

template<typename Clock>
Millis
ReadClock()
{
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto since = Clock::now().time_since_epoch();
  return Millis(duration_cast<milliseconds>(since).count());
}

} // namespace

Millis
MonotonicNow()
{
  return ReadClock<std::chrono::steady_clock>();
}

Millis
WallNow()
{
  return ReadClock<std::chrono::system_clock>();
}

} // namespace limpetwood
