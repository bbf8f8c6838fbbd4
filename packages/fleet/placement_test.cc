// Guards against urgent gangs on slow workers, and against fast workers taken
// by work that can wait or by gangs that they do not make faster.

#include "fleet/placement.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace limpetwood::fleet {
namespace {

class PlacementTest : public testing::Test
{
protected:
  // Adds idle workers with eight accelerators each.
  void Add(SpeedClass aSpeed, int aCount, const std::string& aRack = "r1")
  {
    for (int n = 0; n < aCount; ++n) {
      auto report = std::make_unique<WorkerReport>();
      report->service = mService;
      report->rack = RackId(aRack);
      report->capacity = { .cpu = 64'000,
                           .memoryMb = 64'000,
                           .accelerators = 8 };
      mCandidates.push_back({ .service = mService,
                              .report = report.get(),
                              .available = report->capacity,
                              .idle = true,
                              .speed = aSpeed });
      mReports.push_back(std::move(report));
    }
  }

  // Places tasks that each need a whole worker; returns the number of them on
  // workers of each class.
  std::array<int, 3> PlaceTasks(uint32_t aTasks, SpeedPreference aSpeed)
  {
    mStep.tasks = aTasks;
    mStep.resources.accelerators = 8;
    NumberRacks(mCandidates);
    std::array<int, 3> out{};
    for (size_t it : Place({ .step = &mStep,
                             .service = &mService,
                             .tasks = aTasks,
                             .speed = aSpeed },
                           mCandidates)) {
      ++out[static_cast<size_t>(mCandidates[it].speed)];
    }
    return out;
  }

  ServiceId mService{ "service" };
  StepSpec mStep;
  std::vector<std::unique_ptr<WorkerReport>> mReports;
  std::vector<Candidate> mCandidates;
};

using Counts = std::array<int, 3>;

TEST_F(PlacementTest, UrgentGangTakesFastWorkers)
{
  Add(SpeedClass::kNormal, 4);
  Add(SpeedClass::kFast, 2);
  mStep.gang = true;
  EXPECT_EQ(PlaceTasks(2, SpeedPreference::kFast), (Counts{ 0, 0, 2 }));
  EXPECT_EQ(PlaceTasks(2, SpeedPreference::kSlow), (Counts{ 0, 2, 0 }));
}

TEST_F(PlacementTest, GangThatIsNotAllFastLeavesFastWorkersFree)
{
  Add(SpeedClass::kSlow, 2);
  Add(SpeedClass::kNormal, 3);
  Add(SpeedClass::kFast, 2);
  mStep.gang = true;
  EXPECT_EQ(PlaceTasks(3, SpeedPreference::kFast), (Counts{ 0, 3, 0 }));
  EXPECT_EQ(PlaceTasks(4, SpeedPreference::kFast), (Counts{ 0, 3, 1 }));
  EXPECT_EQ(PlaceTasks(7, SpeedPreference::kFast), (Counts{ 2, 3, 2 }));
  // Each single task ends for itself.
  mStep.gang = false;
  EXPECT_EQ(PlaceTasks(3, SpeedPreference::kFast), (Counts{ 0, 1, 2 }));
}

TEST_F(PlacementTest, RackWithTheFastestWorkersIsChosen)
{
  Add(SpeedClass::kNormal, 2, "r1");
  Add(SpeedClass::kFast, 1, "r2");
  Add(SpeedClass::kNormal, 1, "r2");
  Add(SpeedClass::kFast, 2, "r3");
  Add(SpeedClass::kNormal, 4, "r3");
  mStep.gang = true;
  mStep.prefersOneRack = true;
  EXPECT_EQ(PlaceTasks(2, SpeedPreference::kFast), (Counts{ 0, 0, 2 }));
  EXPECT_EQ(PlaceTasks(2, SpeedPreference::kSlow), (Counts{ 0, 2, 0 }));
}

// Speed does not outweigh faults: the gang would fail there again.
TEST_F(PlacementTest, FaultyFastWorkersAreAvoided)
{
  Add(SpeedClass::kNormal, 2);
  Add(SpeedClass::kFast, 2);
  for (Candidate& it : mCandidates) {
    it.faultScore = it.speed == SpeedClass::kFast ? 2 : 0;
  }
  mStep.gang = true;
  EXPECT_EQ(PlaceTasks(2, SpeedPreference::kFast), (Counts{ 0, 2, 0 }));
}

TEST_F(PlacementTest, WithoutAPreferenceSpeedDoesNotMatter)
{
  Add(SpeedClass::kSlow, 1);
  Add(SpeedClass::kFast, 1);
  mStep.gang = true;
  EXPECT_EQ(PlaceTasks(1, SpeedPreference::kNone), (Counts{ 1, 0, 0 }));
}

} // namespace
} // namespace limpetwood::fleet
