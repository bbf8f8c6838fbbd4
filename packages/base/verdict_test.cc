// Guards the truth of "not run" over several attempts.

#include "base/verdict.h"

#include <gtest/gtest.h>

namespace limpetwood {
namespace {

// A later refused attempt must not hide that an earlier one may have run.
TEST(Verdict, EarlierPossibleRunIsNotForgotten)
{
  EXPECT_EQ(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kNotRun),
            Verdict::kMayHaveRun);
  EXPECT_EQ(CombineVerdicts(Verdict::kNotRun, Verdict::kNotRun),
            Verdict::kNotRun);
  EXPECT_EQ(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kAnswered),
            Verdict::kAnswered);
}

TEST(Verdict, NamesRoundTrip)
{
  for (Verdict v :
       { Verdict::kAnswered, Verdict::kNotRun, Verdict::kMayHaveRun }) {
    EXPECT_EQ(ParseVerdict(VerdictName(v)), v);
  }
  EXPECT_FALSE(ParseVerdict("maybe"));
}

} // namespace
} // namespace limpetwood
