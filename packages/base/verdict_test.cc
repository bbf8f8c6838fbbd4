// Tests that `kNotRun` is reported only if no attempt may have run.

#include "base/verdict.h"

#include <gtest/gtest.h>

namespace limpetwood {
namespace {

// If a refused attempt replaced the verdict of an earlier attempt that may have
// run, the caller would repeat the request and could run it twice.
TEST(Verdict, EarlierPossibleRunIsNotForgotten)
{
  EXPECT_EQ(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kNotRun),
            Verdict::kMayHaveRun);
  EXPECT_EQ(CombineVerdicts(Verdict::kNotRun, Verdict::kNotRun),
            Verdict::kNotRun);
  EXPECT_EQ(CombineVerdicts(Verdict::kMayHaveRun, Verdict::kAnswered),
            Verdict::kAnswered);
}

// Guards against a verdict whose name the receiver cannot parse.
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
