// Tests of the emulator itself. They guard against figures that look like
// decisions of the scheduler and are faults of the emulation.

#include "fleet/experiment/emulator.h"

#include "fleet/experiment/patterns.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <tuple>

namespace limpetwood::fleet::experiment {
namespace {

// Start and end of a job take a few steps of the emulation each.
constexpr int64_t kOverheadMs = 200;

// One job of `aTasks` tasks that run for 4 s, each on a worker of its own.
EmulatorOptions
OneJob(size_t aTasks, bool aGang)
{
  JobClass job{ .name = "job", .arrivalsPerSecond = 100 };
  job.meanTasks = static_cast<double>(aTasks);
  job.meanRunTime = Seconds(4);
  job.accelerators = { 8 };
  job.gang = aGang;
  job.oneRackProbability = 0;
  job.exactSize = true;
  job.maxJobs = 1;
  EmulatorOptions out;
  out.workers = aTasks;
  out.classes = { job };
  out.duration = Seconds(1);
  out.drainTime = Seconds(60);
  return out;
}

// Latency of the job in milliseconds; -1 if it does not complete.
int64_t
LatencyOf(const EmulatorOptions& aOptions)
{
  Outcomes outcomes = Emulator(aOptions).Run();
  const std::vector<Millis>& latencies = outcomes.classes["job"].latencies;
  return latencies.size() == 1 ? latencies[0].Count() : -1;
}

// Patterns on few workers for a short time.
std::vector<Pattern>
ShortPatterns()
{
  std::vector<Pattern> out = OverloadPatterns(7, 1, 12);
  for (Pattern& it : AllPatterns(7, 1)) {
    it.options.workers = 12;
    for (JobClass& jobClass : it.options.classes) {
      jobClass.arrivalsPerSecond /= 4;
    }
    out.push_back(std::move(it));
  }
  return out;
}

class EveryPattern : public testing::TestWithParam<Pattern>
{};

std::string
PatternName(const testing::TestParamInfo<Pattern>& aInfo)
{
  std::string out = std::to_string(aInfo.index) + "_" + aInfo.param.name;
  std::replace_if(
    out.begin(), out.end(), [](char it) { return !std::isalnum(it); }, '_');
  return out;
}

INSTANTIATE_TEST_SUITE_P(Emulator,
                         EveryPattern,
                         testing::ValuesIn(ShortPatterns()),
                         PatternName);

// Guards against jobs and runs that the emulation loses or counts twice.
TEST_P(EveryPattern, AccountsForAllJobsAndRuns)
{
  Emulator emulator(GetParam().options);
  Outcomes outcomes = emulator.Run();
  const Counts& counts = outcomes.counts;
  EXPECT_GT(counts.accepted, 0U);
  EXPECT_EQ(counts.submitted,
            counts.accepted + counts.givenUp + counts.returning);
  EXPECT_EQ(counts.accepted,
            counts.completed + counts.failed + counts.cancelled + counts.live);
  EXPECT_EQ(counts.runsStarted, counts.runsEnded + counts.runsActive);

  // The replicated state has counted independently.
  Counts stored;
  for (const auto& [id, job] : emulator.State().Jobs()) {
    ++stored.accepted;
    stored.completed += job.status == JobStatus::kCompleted;
    stored.failed += job.status == JobStatus::kFailed;
    stored.cancelled += job.status == JobStatus::kCancelled;
    stored.live += !job.Ended();
  }
  EXPECT_EQ(counts.accepted, stored.accepted);
  EXPECT_EQ(counts.completed, stored.completed);
  EXPECT_EQ(counts.failed, stored.failed);
  EXPECT_EQ(counts.cancelled, stored.cancelled);
  EXPECT_EQ(counts.live, stored.live);
  EXPECT_EQ(outcomes.violations, 0U);
  EXPECT_EQ(outcomes.limitViolations, 0U);
}

// Guards against jobs that are missing from the rows of the table, and stops
// that are missing from its columns.
TEST_P(EveryPattern, RatesEachJobOnce)
{
  Emulator emulator(GetParam().options);
  Outcomes outcomes = emulator.Run();
  PriorityOutcome sum;
  for (const auto& [priority, it] : outcomes.priorities) {
    EXPECT_EQ(it.jobs, it.rated + it.cancelled + it.open) << priority;
    EXPECT_LE(it.value, static_cast<double>(it.rated));
    EXPECT_GE(it.value, static_cast<double>(it.inTime));
    EXPECT_LE(it.lostAcceleratorSeconds, it.usedAcceleratorSeconds);
    sum.Add(it);
  }
  bool deadly =
    std::any_of(GetParam().options.disturbances.begin(),
                GetParam().options.disturbances.end(),
                [](auto& it) { return it.kind == Disturbance::Kind::kDeadly; });
  if (!deadly) {
    EXPECT_EQ(sum.jobs, outcomes.counts.submitted);
    EXPECT_EQ(sum.tooSlow, emulator.Counters().laggingRuns);
    EXPECT_EQ(sum.stalled, emulator.Counters().stalledRuns);
    EXPECT_EQ(sum.preempted, emulator.Counters().preemptions);
  }
}

// Guards against gangs that look as if they were stopped once because each stop
// names another member.
TEST(Metrics, CountsStopsOfAGangTogether)
{
  for (bool gang : { false, true }) {
    EmulatorOptions options = OneJob(2, gang);
    Workload workload(options, Millis(0));
    std::vector<gen::SubmitJob> jobs;
    for (Millis now; jobs.empty() && now < Seconds(5); now += kTickInterval) {
      jobs = workload.TakeArrivals(now);
    }
    ASSERT_EQ(jobs.size(), 1U);
    FleetState state;
    Metrics metrics(state, workload);
    for (const char* run : { ".0.0.0#1", ".0.0.1#1", ".0.0.1#2", ".0.0.0#3" }) {
      metrics.OnEvent(LogEvent("run_lagging").Add("run", jobs[0].id + run));
    }
    const PriorityOutcome& it = metrics.Result().priorities.at(0);
    EXPECT_EQ(it.tooSlow, 4U);
    EXPECT_EQ(it.repeatedlyTooSlow, gang ? 1U : 2U);
    EXPECT_EQ(it.mostTooSlow, gang ? 3U : 2U);
  }
}

// Guards against results that cannot be replayed.
TEST(Emulator, RepeatsARunWithTheSameSeed)
{
  auto valueOf = [](uint64_t aSeed) {
    PriorityOutcome sum;
    EmulatorOptions options = OverloadPatterns(aSeed, 1, 12).back().options;
    for (const auto& [priority, it] : Emulator(options).Run().priorities) {
      sum.Add(it);
    }
    return std::make_tuple(sum.jobs, sum.value, sum.usedAcceleratorSeconds);
  };
  auto first = valueOf(3);
  EXPECT_EQ(valueOf(3), first);
  EXPECT_NE(valueOf(4), first);
}

// Guards against slow workers that are slow in name only.
TEST(Emulator, ScalesTheRunTimeWithTheSpeedOfTheWorker)
{
  EmulatorOptions options = OneJob(1, false);
  EXPECT_NEAR(LatencyOf(options), 4000, kOverheadMs);
  options.slowWorkerShare = 1;
  options.slowWorkerSpeed = 0.5;
  EXPECT_NEAR(LatencyOf(options), 8000, kOverheadMs);
  options.slowWorkerSpeed = 0.25;
  EXPECT_NEAR(LatencyOf(options), 16000, kOverheadMs);
}

// Guards against gangs that end with their fastest or average member.
TEST(Emulator, RunsAGangAtTheSpeedOfItsSlowestMember)
{
  for (GangPace pace : { GangPace::kSlowestMember, GangPace::kOwnSpeed }) {
    EmulatorOptions options = OneJob(4, true);
    options.gangPace = pace;
    EXPECT_NEAR(LatencyOf(options), 4000, kOverheadMs);
    options.slowWorkerShare = 0.25;
    options.slowWorkerSpeed = 0.5;
    EXPECT_NEAR(LatencyOf(options), 8000, kOverheadMs);
  }
}

// Guards against a slow worker that slows tasks on other workers although they
// are not members of a gang.
TEST(Emulator, SlowsOnlyTheTaskOnTheSlowWorker)
{
  EmulatorOptions options = OneJob(4, false);
  options.slowWorkerShare = 0.25;
  options.slowWorkerSpeed = 0.5;
  Outcomes outcomes = Emulator(options).Run();
  // Three tasks take 4 s and one takes 8 s, on 8 accelerators each.
  EXPECT_NEAR(outcomes.usedAcceleratorSeconds, 8 * (3 * 4 + 8), 8 * 4 * 0.2);
}

// Guards against an objective that depends on the estimate or on the worker.
TEST(Workload, DerivesTheObjectiveFromTheTrueRunTime)
{
  EmulatorOptions options = OneJob(2, false);
  JobClass& jobClass = options.classes[0];
  jobClass.steps = 3;
  jobClass.stretch = 1.5;
  jobClass.targetLatency = Millis(250);
  options.slowWorkerShare = 1;
  options.minEstimateFactor = 0.1;
  options.maxEstimateFactor = 0.1;
  Workload workload(options, Millis(0));
  std::vector<gen::SubmitJob> jobs;
  for (Millis now; now < options.duration; now += kTickInterval) {
    for (gen::SubmitJob& it : workload.TakeArrivals(now)) {
      jobs.push_back(std::move(it));
    }
  }
  ASSERT_EQ(jobs.size(), 1U);
  const JobInfo& job = workload.Find(JobId(jobs[0].id));
  EXPECT_EQ(job.objective, Millis(250 + 3 * 4000 * 3 / 2));
  EXPECT_EQ(jobs[0].spec.steps[0].estimateMs, 400);
}

// Guards against chains that add up steps which run at the same time.
TEST(Workload, FindsTheLongestChain)
{
  JobSpec spec;
  spec.steps.resize(4);
  spec.steps[2].dependencies = { 0 };
  spec.steps[3].dependencies = { 1, 2 };
  EXPECT_EQ(LongestChain(spec, { Millis(1), Millis(20), Millis(5), Millis(3) }),
            Millis(23));
  EXPECT_EQ(LongestChain(spec, { Millis(1), Millis(2), Millis(5), Millis(3) }),
            Millis(9));
}

// Guards against a load that has another share of long jobs, or other wrong
// estimates, than its options say.
TEST(Workload, DrawsLongJobsAndWrongEstimates)
{
  EmulatorOptions options = OneJob(1, false);
  options.classes[0].maxJobs = 4000;
  options.classes[0].arrivalsPerSecond = 20;
  options.longShare = 0.03;
  options.longFactor = 7;
  options.minEstimateFactor = 0.1;
  options.maxEstimateFactor = 1.9;
  Workload workload(options, Millis(0));
  size_t jobs = 0;
  size_t longJobs = 0;
  double lowest = 1;
  double highest = 1;
  for (Millis now; now < Seconds(300); now += kTickInterval) {
    for (const gen::SubmitJob& it : workload.TakeArrivals(now)) {
      Millis work = workload.WorkOf({ .job = JobId(it.id) });
      EXPECT_TRUE(work == Seconds(4) || work == Seconds(28));
      double ratio = static_cast<double>(it.spec.steps[0].estimateMs) /
                     static_cast<double>(work.Count());
      lowest = std::min(lowest, ratio);
      highest = std::max(highest, ratio);
      ++jobs;
      longJobs += work == Seconds(28) ? 1 : 0;
    }
  }
  ASSERT_EQ(jobs, 4000U);
  EXPECT_NEAR(static_cast<double>(longJobs) / 4000, 0.03, 0.01);
  EXPECT_NEAR(lowest, 0.1, 0.01);
  EXPECT_NEAR(highest, 1.9, 0.05);
}

// Guards against long tasks that make a whole job or none of it long, gangs
// whose members differ, and objectives that ignore a long task.
TEST(Workload, DrawsLongTasksIndependently)
{
  for (bool gang : { false, true }) {
    EmulatorOptions options = OneJob(20, gang);
    options.classes[0].maxJobs = 200;
    options.longShare = 0.1;
    options.longShareOf = LongShare::kTasks;
    Workload workload(options, Millis(0));
    size_t jobs = 0;
    size_t partlyLong = 0;
    size_t longTasks = 0;
    for (Millis now; now < Seconds(20); now += kTickInterval) {
      for (const gen::SubmitJob& it : workload.TakeArrivals(now)) {
        size_t count = 0;
        TaskRef task{ .job = JobId(it.id) };
        for (; task.index < 20; ++task.index) {
          count += workload.WorkOf(task) == Seconds(28) ? 1 : 0;
        }
        ++jobs;
        longTasks += count;
        partlyLong += count > 0 && count < 20 ? 1 : 0;
        Millis longest = count > 0 ? Seconds(28) : Seconds(4);
        EXPECT_EQ(workload.Find(task.job).objective,
                  Millis(250) + longest * 3 / 2);
      }
    }
    ASSERT_EQ(jobs, 200U);
    EXPECT_NEAR(static_cast<double>(longTasks) / (200 * 20), 0.1, 0.07);
    EXPECT_EQ(partlyLong > 0, !gang);
  }
}

// Guards against a load that falls behind its rate on large fleets, where
// several jobs arrive in one step of the emulation.
TEST(Workload, KeepsHighRatesOfArrivals)
{
  EmulatorOptions options = OneJob(1, false);
  options.classes[0].maxJobs = SIZE_MAX;
  options.classes[0].arrivalsPerSecond = 400;
  Workload workload(options, Millis(0));
  size_t jobs = 0;
  for (Millis now; now < Seconds(20); now += kTickInterval) {
    jobs += workload.TakeArrivals(now).size();
  }
  // Three standard deviations of the number of arrivals.
  EXPECT_NEAR(static_cast<double>(jobs), 8000, 270);
}

// Guards against refused callers that return early, never, or without end.
TEST(Workload, ReturnsRefusedCallersAfterTheDelay)
{
  EmulatorOptions options = OneJob(1, false);
  options.maxReturns = 2;
  Workload workload(options, Millis(0));
  std::vector<gen::SubmitJob> jobs;
  Millis now;
  for (; jobs.empty() && now < Seconds(5); now += kTickInterval) {
    jobs = workload.TakeArrivals(now);
  }
  ASSERT_EQ(jobs.size(), 1U);
  const JobInfo& job = workload.Find(JobId(jobs[0].id));
  for (int n = 0; n < 2; ++n) {
    EXPECT_TRUE(workload.OnRefused(jobs[0], Seconds(3), now));
    EXPECT_EQ(workload.Returning(), 1U);
    EXPECT_TRUE(workload.TakeReturns(now + Millis(2990)).empty());
    now += Seconds(3);
    jobs = workload.TakeReturns(now);
    ASSERT_EQ(jobs.size(), 1U);
    EXPECT_EQ(job.submittedAt, now);
    EXPECT_EQ(jobs[0].acceptedAtMs, now.Count());
  }
  EXPECT_FALSE(workload.OnRefused(jobs[0], Seconds(3), now));
  EXPECT_EQ(workload.Returning(), 0U);
}

// Guards against a flood that grows all workspaces, and against a wave of
// cancellations that does not take place.
TEST(Workload, AppliesFloodsAndCancellations)
{
  for (const Pattern& pattern : OverloadPatterns(5, 2, 48)) {
    Workload workload(pattern.options, Millis(0));
    std::map<std::string, size_t> jobs;
    size_t cancelled = 0;
    for (Millis now; now < pattern.options.duration; now += kTickInterval) {
      for (const gen::SubmitJob& it : workload.TakeArrivals(now)) {
        ++jobs[it.workspace];
        workload.Find(JobId(it.id)).accepted = true;
      }
      cancelled += workload.TakeCancellations(now).size();
    }
    size_t first = jobs[Workload::WorkspaceName(0)];
    size_t second = jobs[Workload::WorkspaceName(1)];
    if (pattern.name == "flood") {
      EXPECT_GT(first, second * 2);
    } else if (pattern.name != "all") {
      EXPECT_LT(first, second * 2);
    }
    EXPECT_EQ(cancelled > 0,
              pattern.name == "cancellations" || pattern.name == "all");
  }
}

} // namespace
} // namespace limpetwood::fleet::experiment
