// Tests that adding a duration to `Millis::Max()` does not overflow, which
// would turn a time that is never reached into one in the past.

#include "base/time.h"

#include <gtest/gtest.h>

namespace limpetwood {
namespace {

TEST(Millis, MaxLeavesHeadroomForDurations)
{
  EXPECT_GT(Millis::Max() + Hours(24 * 365), Millis::Max());
}

} // namespace
} // namespace limpetwood
