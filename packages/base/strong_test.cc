// Tests the ordering of fencing tokens across epochs.

#include "base/ids.h"

#include <gtest/gtest.h>

namespace limpetwood {
namespace {

// If a token of an earlier epoch compared above one of a later epoch, a worker
// would accept orders of a replaced authority. The largest token of epoch 7
// must therefore compare below the first token of epoch 8.
TEST(FencingToken, LaterEpochIsAlwaysLarger)
{
  FencingToken last(FirstTokenOf(Epoch(8)).Value() - 1);
  EXPECT_LT(last, FirstTokenOf(Epoch(8)));
  EXPECT_EQ(EpochOf(last), Epoch(7));
  EXPECT_EQ(EpochOf(FirstTokenOf(Epoch(8))), Epoch(8));
}

} // namespace
} // namespace limpetwood
