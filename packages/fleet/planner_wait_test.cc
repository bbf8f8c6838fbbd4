// Searches random fleets for tasks that wait without end although they could
// run: nothing ends by itself, and once the planner has no more to do, no
// waiting unit may fit into what is free.

#include "base/random.h"
#include "fleet/planner.h"
#include "fleet/testing/planner_fleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace limpetwood::fleet {
namespace {

using testing::JobName;
using testing::PlannerFleet;
using testing::StepOf;

// Longer than every time for which the planner lets tasks wait for something.
constexpr Millis kSettleTime = Minutes(2);
constexpr Millis kPassInterval(250);

StepSpec
RandomStep(Random& aRandom)
{
  auto below = [&](uint64_t aCount) { return aRandom() % aCount; };
  StepSpec step = StepOf(static_cast<uint32_t>(1 + below(6)),
                         static_cast<int64_t>(1 + below(8)),
                         below(3) == 0);
  step.longRunning = below(2) == 0;
  step.prefersOneRack = below(2) == 0;
  step.perWorkerLimit = static_cast<uint32_t>(below(3));
  step.label = below(3) == 0 ? "" : below(2) == 0 ? "a" : "b";
  step.estimate = below(4) == 0 ? Seconds(30) : Seconds(4);
  return step;
}

// Free accelerators and tasks of the step on each worker that may run it.
struct Room
{
  std::string rack{};
  int64_t free = 0;
  uint32_t active = 0;
};

std::vector<Room>
RoomFor(const Job& aJob, const FleetState& aState)
{
  const StepSpec& spec = aJob.spec.steps[0];
  std::vector<Room> out;
  for (const auto& [id, worker] : aState.Workers()) {
    const auto& labels = worker.report.labels;
    bool mayRun =
      spec.label.empty() ||
      std::find(labels.begin(), labels.end(), spec.label) != labels.end();
    if (!mayRun) {
      continue;
    }
    auto active =
      std::count_if(worker.active.begin(), worker.active.end(), [&](auto& it) {
        return it.task.job == aJob.id;
      });
    out.push_back(
      { .rack = worker.report.rack.Value(),
        .free = worker.report.capacity.accelerators - worker.used.accelerators,
        .active = static_cast<uint32_t>(active) });
  }
  return out;
}

// Whether waiting tasks of the job fit into what is free: one of them, or all
// members if it is a gang.
bool
CouldStart(const Job& aJob, const FleetState& aState)
{
  const StepSpec& spec = aJob.spec.steps[0];
  uint32_t active =
    aJob.occurrences.empty() ? 0 : aJob.occurrences[0].steps[0].active;
  uint32_t waiting = spec.tasks - active;
  uint32_t fit = 0;
  for (const Room& it : RoomFor(aJob, aState)) {
    auto tasks = static_cast<uint32_t>(it.free / spec.resources.accelerators);
    if (spec.perWorkerLimit > 0) {
      tasks = std::min(
        tasks, spec.perWorkerLimit - std::min(spec.perWorkerLimit, it.active));
    }
    fit += tasks;
  }
  return waiting > 0 && fit >= (spec.gang ? waiting : 1);
}

// Stops the members that are left of gangs that lost one.
void
StopBrokenGangs(PlannerFleet& aFleet)
{
  for (const auto& [id, job] : aFleet.State().Jobs()) {
    const StepSpec& spec = job.spec.steps[0];
    if (!spec.gang || job.occurrences.empty() ||
        job.occurrences[0].steps[0].active == spec.tasks) {
      continue;
    }
    std::vector<Task> tasks = job.occurrences[0].steps[0].tasks;
    for (uint32_t n = 0; n < tasks.size(); ++n) {
      if (tasks[n].phase == Task::Phase::kActive) {
        aFleet.StopRun(
          { .task = { .job = id, .index = n }, .attempt = tasks[n].attempt },
          tasks[n].worker.Value());
      }
    }
  }
}

// Plays one fleet with jobs that arrive, a worker that is lost and may return,
// and a change of leader. Returns the jobs that wait in the end although they
// could start.
std::string
StuckJobs(uint64_t aSeed)
{
  Random random(aSeed);
  PlannerFleet fleet;
  fleet.Guarantee(static_cast<int64_t>(random() % 3) * 16);
  auto workers = 2 + random() % 8;
  auto racks = 1 + random() % 4;
  for (uint64_t n = 0; n < workers; ++n) {
    fleet.AddWorker("w" + std::to_string(n),
                    "r" + std::to_string(random() % racks),
                    random() % 2 == 0 ? "a" : "b");
  }
  auto jobs = 2 + random() % 8;
  // Each of these happens in half of the fleets.
  auto randomPass = [&] {
    return kPassInterval * static_cast<int64_t>(random() % 160) *
           (random() % 2 == 0 ? 1 : -1);
  };
  Millis removalAt = randomPass();
  Millis returnAt = randomPass();
  Millis newLeaderAt = randomPass();
  uint64_t submitted = 0;
  for (Millis time; time < kSettleTime; time += kPassInterval) {
    if (submitted < jobs && random() % 4 == 0) {
      auto number = static_cast<int>(++submitted);
      fleet.Submit(JobName(number),
                   RandomStep(random),
                   static_cast<int32_t>(random() % 3));
    }
    if (time == removalAt) {
      fleet.RemoveWorker("w0");
      StopBrokenGangs(fleet);
    }
    if (time == returnAt) {
      fleet.AddWorker("w0", "r0", "a");
    }
    if (time == newLeaderAt) {
      fleet.ReplacePlanner();
    }
    Plan plan = fleet.Decide();
    for (const PlannedStop& it : plan.stops) {
      fleet.StopRun(it.run, it.worker.Value());
    }
    StopBrokenGangs(fleet);
    for (const PlannedStart& it : plan.starts) {
      fleet.StartRun(it.run.task.job.Value(),
                     it.run.task.index,
                     it.worker.Value(),
                     Seconds(1),
                     // Never comes nearer.
                     random() % 2 == 0 ? Minutes(10) : Millis::Max(),
                     it.run.attempt.Value());
    }
    fleet.Advance(kPassInterval);
  }
  std::string out;
  for (const auto& [id, job] : fleet.State().Jobs()) {
    if (CouldStart(job, fleet.State())) {
      out += id.Value() + " ";
    }
  }
  return out;
}

// Guards against every wait without end of a kind that the planner's other
// tests do not name.
TEST(PlannerWait, NoTaskWaitsForEverWhereItCouldRun)
{
  for (uint64_t seed = 1; seed <= 500; ++seed) {
    EXPECT_EQ(StuckJobs(seed), "") << "seed " << seed;
  }
}

} // namespace
} // namespace limpetwood::fleet
