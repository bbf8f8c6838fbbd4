// Tests of times and of the clocks that they are read from.

#include "base/time.h"

#include <gtest/gtest.h>

#include <ctime>

namespace limpetwood {
namespace {

// Guards against an overflow that would turn a time that is never reached into
// one in the past.
TEST(Millis, MaxLeavesHeadroomForDurations)
{
  EXPECT_GT(Millis::Max() + Hours(24 * 365), Millis::Max());
}

Millis
Read(clockid_t aClock)
{
  timespec now{};
  ::clock_gettime(aClock, &now);
  return Seconds(now.tv_sec) + Millis(now.tv_nsec / 1'000'000);
}

// Guards against leases that outlast a suspension of the machine. Shows a
// difference only on a machine that has been suspended since its start.
TEST(Clock, MonotonicTimeCountsSuspensions)
{
  Millis before = Read(CLOCK_BOOTTIME);
  Millis now = MonotonicNow();
  EXPECT_GE(now, before);
  EXPECT_LE(now, Read(CLOCK_BOOTTIME));
}

} // namespace
} // namespace limpetwood
