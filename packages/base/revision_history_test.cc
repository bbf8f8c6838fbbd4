// Guards against a request that is taken to have been sent with the knowledge
// of a revision that was learned only after it.

#include "base/revision_history.h"

#include <gtest/gtest.h>

namespace limpetwood {
namespace {

TEST(RevisionHistory, ReturnsWhatWasKnownBeforeATime)
{
  RevisionHistory history;
  EXPECT_EQ(history.Latest(), 0U);
  EXPECT_EQ(history.At(Millis::Max()), 0U);
  history.Note(Millis(100), 7);
  history.Note(Millis(200), 9);
  // Known already.
  history.Note(Millis(300), 9);
  EXPECT_EQ(history.At(Millis(50)), 0U);
  EXPECT_EQ(history.At(Millis(100)), 0U);
  EXPECT_EQ(history.At(Millis(101)), 7U);
  EXPECT_EQ(history.At(Millis(200)), 7U);
  EXPECT_EQ(history.At(Millis(201)), 9U);
  EXPECT_EQ(history.At(Millis::Max()), 9U);
  EXPECT_EQ(history.Latest(), 9U);
}

TEST(RevisionHistory, ForgetsTheEarliestRevisions)
{
  RevisionHistory history;
  for (int64_t n = 1; n <= 1000; ++n) {
    history.Note(Millis(n), static_cast<uint64_t>(n));
  }
  EXPECT_EQ(history.At(Millis(10)), 0U);
  EXPECT_EQ(history.At(Millis(1000)), 999U);
}

} // namespace
} // namespace limpetwood
