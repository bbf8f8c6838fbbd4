// Tests when the crashes of workers are held against the job that ran on them.

#include "model/crash_history.h"

#include <gtest/gtest.h>

namespace limpetwood::model {
namespace {

WorkerCrash
MakeCrash(uint32_t aAttempt, uint32_t aMember, const char* aWorker)
{
  return {
    Attempt(aAttempt), MemberIndex(aMember), WorkerId(aWorker), true, true
  };
}

// A resent or delayed record must not count a crash twice or bring back one
// that a sound run has cleared.
TEST(CrashHistory, RepeatedAndLateRecordsChangeNothing)
{
  CrashHistory history;
  EXPECT_TRUE(history.Add(MakeCrash(1, 0, "a")));
  EXPECT_FALSE(history.Add(MakeCrash(1, 0, "a")));
  EXPECT_FALSE(history.Reaches({}));
  EXPECT_TRUE(history.ClearBefore(Attempt(3)));
  EXPECT_FALSE(history.Add(MakeCrash(2, 0, "b")));
  EXPECT_FALSE(history.ClearBefore(Attempt(2)));
  EXPECT_TRUE(history.Add(MakeCrash(3, 0, "b")));
  EXPECT_EQ(history.Crashes().size(), 1U);
}

// A faulty worker must not use up the limits on distinct workers.
TEST(CrashHistory, CrashesOfOneWorkerCountOnlyTowardsTheTotal)
{
  CrashHistory history;
  for (uint32_t i = 1; i < 5; ++i) {
    history.Add(MakeCrash(i, 0, "a"));
    EXPECT_FALSE(history.Reaches({})) << i;
  }
  history.Add(MakeCrash(5, 0, "a"));
  EXPECT_TRUE(history.Reaches({}));
}

// Sound neighbours of a deadly task must not be given up as soon as the task.
TEST(CrashHistory, CrashesInCompanyNeedThreeWorkers)
{
  CrashHistory history;
  uint32_t attempt = 0;
  for (const char* worker : { "a", "b", "c" }) {
    EXPECT_FALSE(history.Reaches({}));
    WorkerCrash crash = MakeCrash(++attempt, 0, worker);
    crash.alone = false;
    history.Add(crash);
  }
  EXPECT_TRUE(history.Reaches({}));
}

// One cause that takes down the workers of several members must not end the
// gang at once.
TEST(CrashHistory, MembersAreCountedApart)
{
  CrashHistory history;
  history.Add(MakeCrash(1, 0, "a"));
  history.Add(MakeCrash(1, 1, "b"));
  history.Add(MakeCrash(1, 2, "c"));
  EXPECT_FALSE(history.Reaches({}));
  history.Add(MakeCrash(2, 1, "d"));
  EXPECT_TRUE(history.Reaches({}));
}

} // namespace
} // namespace limpetwood::model
