#include "fleet/experiment/patterns.h"

namespace limpetwood::fleet::experiment {

namespace {

std::vector<JobClass>
ClassesAt(double aLoad)
{
  JobClass check{ .name = "check",
                  .priority = 0,
                  .arrivalsPerSecond = 1.9 * aLoad };
  check.meanTasks = 3.4;
  check.meanRunTime = Millis(2500);
  check.accelerators = { 1, 2, 4, 8, 8 };
  check.cpu = 15'000;
  check.oneRackProbability = 0.8;
  check.value = 4;
  check.lateValue = 0.8;
  JobClass stitch{ .name = "stitch",
                   .priority = 1,
                   .arrivalsPerSecond = 0.78 * aLoad };
  stitch.meanTasks = 5;
  stitch.meanRunTime = Millis(6800);
  stitch.accelerators = { 1, 2, 4, 8, 8 };
  stitch.cpu = 52'000;
  stitch.checkpointProbability = 0.45;
  stitch.stretch = 3;
  stitch.targetLatency = Millis(1000);
  stitch.value = 3;
  stitch.lateValue = 0.9;
  stitch.maxAttempts = 2;
  JobClass count{ .name = "count",
                  .priority = 2,
                  .arrivalsPerSecond = 0.74 * aLoad };
  count.meanTasks = 16;
  count.meanRunTime = Millis(6100);
  count.cpu = 11'000;
  count.gang = false;
  count.oneRackProbability = 0;
  count.checkpointProbability = 0.45;
  count.stretch = 3;
  count.targetLatency = Millis(3000);
  count.lateValue = 0.3;
  count.maxAttempts = 4;
  return { check, stitch, count };
}

Disturbance
DisturbanceOf(Disturbance::Kind aKind, double aShare, double aFactor)
{
  return { .kind = aKind,
           .at = Seconds(8),
           .duration = Seconds(8),
           .share = aShare,
           .factor = aFactor };
}

// Number of workers for which `ClassesAt(1)` is the usual load.
constexpr double kUsualWorkers = 48;
// Rate at which the usual classes leave hardly any accelerators idle.
constexpr double kFullLoad = 1.2;
// Rate at which less urgent jobs are refused within the first minute.
constexpr double kRefusalLoad = 3.2;

EmulatorOptions
OverloadBase(uint64_t aSeed, double aLoad, size_t aWorkers)
{
  EmulatorOptions out;
  out.seed = aSeed;
  out.workers = aWorkers;
  out.classes =
    ClassesAt(aLoad * static_cast<double>(aWorkers) / kUsualWorkers);
  out.duration = Seconds(60);
  // Three times the objective of the longest jobs is about 540 s. With less,
  // jobs that are restarted again and again would remain unrated. The run ends
  // as soon as all jobs have ended.
  out.drainTime = Seconds(600);
  out.workspaces = 4;
  // With few queues the run times are learned within seconds, and wrong
  // estimates have no effect.
  out.queuesPerClass = 12;
  out.admissionEnabled = true;
  return out;
}

} // namespace

std::vector<Pattern>
OverloadPatterns(uint64_t aSeed, double aLoad, size_t aWorkers)
{
  using Kind = Disturbance::Kind;
  auto base = [&](double aFactor) {
    return OverloadBase(aSeed, aLoad * aFactor, aWorkers);
  };
  EmulatorOptions heavyTail = base(1);
  heavyTail.longShare = 0.03;
  EmulatorOptions longTasks = heavyTail;
  longTasks.longShareOf = LongShare::kTasks;
  EmulatorOptions uneven = base(1);
  uneven.slowWorkerShare = 0.25;
  EmulatorOptions estimates = base(1);
  estimates.minEstimateFactor = 0.1;
  estimates.maxEstimateFactor = 1.9;
  EmulatorOptions burst = base(kFullLoad);
  burst.disturbances = { { .kind = Kind::kBurst,
                           .at = Seconds(20),
                           .duration = Seconds(15),
                           .factor = 3 } };
  EmulatorOptions flood = base(1);
  flood.disturbances = { { .kind = Kind::kFlood,
                           .at = Seconds(15),
                           .duration = Seconds(30),
                           .factor = 6 } };
  EmulatorOptions cancellations = base(kFullLoad);
  cancellations.disturbances = { { .kind = Kind::kCancel,
                                   .at = Seconds(30),
                                   .duration = Seconds(5),
                                   .share = 0.5 } };
  EmulatorOptions all = base(kFullLoad);
  all.longShare = longTasks.longShare;
  all.longShareOf = longTasks.longShareOf;
  all.slowWorkerShare = uneven.slowWorkerShare;
  all.minEstimateFactor = estimates.minEstimateFactor;
  all.maxEstimateFactor = estimates.maxEstimateFactor;
  for (const EmulatorOptions* it : { &burst, &flood, &cancellations }) {
    all.disturbances.push_back(it->disturbances[0]);
  }
  return { { .name = "usual", .options = base(1) },
           { .name = "heavy-tail", .options = heavyTail },
           { .name = "long-tasks", .options = longTasks },
           { .name = "uneven", .options = uneven },
           { .name = "estimates", .options = estimates },
           { .name = "urgent-burst", .options = burst },
           { .name = "flood", .options = flood },
           { .name = "cancellations", .options = cancellations },
           { .name = "returns", .options = base(kRefusalLoad) },
           { .name = "all", .options = all } };
}

std::vector<Pattern>
AllPatterns(uint64_t aSeed, double aLoad)
{
  EmulatorOptions base;
  base.seed = aSeed;
  base.classes = ClassesAt(aLoad);
  using Kind = Disturbance::Kind;
  std::vector<std::pair<std::string, std::vector<Disturbance>>> variants = {
    { "calm", {} },
    { "burst", { DisturbanceOf(Kind::kBurst, 0, 2.2) } },
    { "hang", { DisturbanceOf(Kind::kHang, 0.12, 0) } },
    { "slow", { DisturbanceOf(Kind::kSlow, 0.17, 6.5) } },
    { "fail", { DisturbanceOf(Kind::kFail, 0.085, 0) } },
    { "loss", { DisturbanceOf(Kind::kLoss, 0.15, 0) } },
    { "deadly", { DisturbanceOf(Kind::kDeadly, 0.3, 0) } },
    { "resize", { DisturbanceOf(Kind::kResize, 0.25, 0) } },
    { "burst+hang+slow",
      { DisturbanceOf(Kind::kBurst, 0, 2.2),
        DisturbanceOf(Kind::kHang, 0.12, 0),
        DisturbanceOf(Kind::kSlow, 0.17, 6.5) } },
  };
  std::vector<Pattern> out;
  for (auto& [name, disturbances] : variants) {
    Pattern pattern{ .name = name, .options = base };
    pattern.options.disturbances = disturbances;
    out.push_back(std::move(pattern));
  }
  return out;
}

std::vector<Policy>
AllPolicies()
{
  std::vector<Policy> out;
  out.push_back({ "planner", {} });
  PlannerOptions base;
  base.preemptionEnabled = false;
  base.reservationsEnabled = false;
  PlannerOptions first = base;
  first.rankPolicy = RankPolicy::kArrivalOrder;
  first.bestFit = false;
  out.push_back({ "first-come first-fit", first });
  PlannerOptions best = base;
  best.rankPolicy = RankPolicy::kArrivalOrder;
  out.push_back({ "first-come best-fit", best });
  PlannerOptions shortest = base;
  shortest.rankPolicy = RankPolicy::kShortestFirst;
  out.push_back({ "shortest-first", shortest });
  PlannerOptions unreserved;
  unreserved.reservationsEnabled = false;
  out.push_back({ "no reservations", unreserved });
  PlannerOptions unreclaimed;
  unreclaimed.preemptionEnabled = false;
  out.push_back({ "no reclaims", unreclaimed });
  return out;
}

} // namespace limpetwood::fleet::experiment
