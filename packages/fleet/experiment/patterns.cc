#include "fleet/experiment/patterns.h"

namespace limpetwood::fleet::experiment {

namespace {

std::vector<LoadClass>
ClassesAt(double aLoad)
{
  LoadClass check{ .name = "check", .priority = 0, .perSecond = 1.9 * aLoad };
  check.meanTasks = 3.4;
  check.work = Millis(2500);
  check.accelerators = { 1, 2, 4, 8, 8 };
  check.cpu = 15'000;
  check.prefersOneRack = 0.8;
  check.worth = 4;
  check.lateWorth = 0.8;
  LoadClass stitch{ .name = "stitch",
                    .priority = 1,
                    .perSecond = 0.78 * aLoad };
  stitch.meanTasks = 5;
  stitch.work = Millis(6800);
  stitch.accelerators = { 1, 2, 4, 8, 8 };
  stitch.cpu = 52'000;
  stitch.savesCheckpoints = 0.45;
  stitch.stretch = 3;
  stitch.targetLatency = Millis(1000);
  stitch.worth = 3;
  stitch.lateWorth = 0.9;
  stitch.maxAttempts = 2;
  LoadClass count{ .name = "count", .priority = 2, .perSecond = 0.74 * aLoad };
  count.meanTasks = 16;
  count.work = Millis(6100);
  count.cpu = 11'000;
  count.gang = false;
  count.prefersOneRack = 0;
  count.savesCheckpoints = 0.45;
  count.stretch = 3;
  count.targetLatency = Millis(3000);
  count.lateWorth = 0.3;
  count.maxAttempts = 4;
  return { check, stitch, count };
}

Disturbance
Part(Disturbance::Kind aKind, double aShare, double aX)
{
  return { .kind = aKind,
           .at = Seconds(8),
           .length = Seconds(8),
           .share = aShare,
           .x = aX };
}

} // namespace

std::vector<Pattern>
AllPatterns(uint64_t aSeed, double aLoad)
{
  EmulatorOptions base;
  base.seed = aSeed;
  base.classes = ClassesAt(aLoad);
  using Kind = Disturbance::Kind;
  std::vector<std::pair<std::string, std::vector<Disturbance>>> variants = {
    { "calm", {} },
    { "burst", { Part(Kind::kBurst, 0, 2.2) } },
    { "hang", { Part(Kind::kHang, 0.12, 0) } },
    { "slow", { Part(Kind::kSlow, 0.17, 6.5) } },
    { "fail", { Part(Kind::kFail, 0.085, 0) } },
    { "loss", { Part(Kind::kLoss, 0.15, 0) } },
    { "burst+hang+slow",
      { Part(Kind::kBurst, 0, 2.2),
        Part(Kind::kHang, 0.12, 0),
        Part(Kind::kSlow, 0.17, 6.5) } },
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
  base.reclaims = false;
  base.reserves = false;
  PlannerOptions first = base;
  first.rank = RankPolicy::kArrival;
  first.bestFit = false;
  out.push_back({ "first-come first-fit", first });
  PlannerOptions best = base;
  best.rank = RankPolicy::kArrival;
  out.push_back({ "first-come best-fit", best });
  PlannerOptions shortest = base;
  shortest.rank = RankPolicy::kShortest;
  out.push_back({ "shortest-first", shortest });
  PlannerOptions unreserved;
  unreserved.reserves = false;
  out.push_back({ "no reservations", unreserved });
  PlannerOptions unreclaimed;
  unreclaimed.reclaims = false;
  out.push_back({ "no reclaims", unreclaimed });
  return out;
}

} // namespace limpetwood::fleet::experiment
