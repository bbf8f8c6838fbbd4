// Seeded workloads for the policy benchmark, and the baseline policies that the
// scheduler is compared with.

#pragma once

#include "scheduler/testing/cluster.h"

#include <string>
#include <vector>

namespace limpetwood::scheduler::testing {

struct Arrival
{
  Millis at;
  JobId job;
  model::JobSpec spec;
  JobBehavior behavior;
  // Time of the cancellation; never cancelled if zero.
  Millis cancelAt;
  // "small", "medium", "large" or "reclaim". A "reclaim" job is a gang of
  // exactly the shape that its otherwise idle workspace is guaranteed.
  std::string kind;
};

struct Deployment
{
  std::string name;
  uint32_t zones = 3;
  uint32_t racksPerZone = 2;
  uint32_t workersPerRack = 8;
  uint32_t coresPerWorker = 130;
  model::PolicyWeights weights;
};

struct FaultyPeriod
{
  std::size_t worker = 0;
  Millis from;
  Millis to;
};

struct Workload
{
  model::PlannedDocument planned;
  std::vector<Arrival> arrivals;
  // Periods in which a worker fails every task that it starts.
  std::vector<FaultyPeriod> faulty;
  // Jobs arrive within this time from the start; averages are taken over it.
  Millis window = Hours(12);
  // Of all workers.
  uint32_t accelerators = 0;
};

// Generates a workload. `aBurst` is the kind of the jobs in bursts, "small" or
// "large". `aLoad` is the offered accelerator time divided by the capacity of
// the window.
Workload
MakeWorkload(const Deployment& aDeployment,
             const std::string& aBurst,
             double aLoad,
             uint64_t aSeed);

// Results of one policy on a workload.
struct PolicyResult
{
  struct SucceededJob
  {
    std::string kind;
    Millis wait;
    Millis completion;
  };
  std::vector<SucceededJob> succeededJobs;
  // Time from submission to first start of each "reclaim" job.
  std::vector<Millis> reclaimWaits;
  // "reclaim" jobs that started later than `ReclaimBound`, or never.
  std::size_t missedReclaims = 0;
  // Averages over the window, 0 to 1.
  double fragmentation = 0;
  double utilization = 0;
  // Share of the used accelerator time that did not lead to a success.
  double lostWorkShare = 0;
  // Time from the end of the window until the last job ended.
  Millis drainTime;
  // Violated invariants; 0 for baselines, which are not checked.
  std::size_t violations = 0;
};

// Returns the share of the free accelerators that lie in racks or workers where
// `aLargest` does not fit. `aFree` lists free accelerators by rack and worker.
double
FragmentedShare(const std::vector<std::vector<uint32_t>>& aFree,
                const model::JobSpec& aLargest);

// Returns true if `aLeft` is the larger request: more accelerators, then
// narrower topology scope, then more accelerators per member.
bool
IsLarger(const model::JobSpec& aLeft, const model::JobSpec& aRight);

enum class Baseline
{
  // Starts jobs in queue order and stops at the first that does not fit.
  kFirstFit,
  // Chooses the rack and workers with the least remaining accelerators, and
  // skips jobs that do not fit.
  kBestFit,
  // Like first-fit, but also starts later jobs that, by their declared run
  // times, end before the first waiting job can start.
  kBackfill,
};

PolicyResult
RunBaseline(Baseline aKind, const Workload& aWorkload);

// Runs the workload on the real scheduler in a simulated cluster.
PolicyResult
RunLimpetwood(const Workload& aWorkload, const SchedulerOptions& aOptions);

// Time within which a reclaiming gang must run: the deadlines of a preemption
// plus those of the two-phase start.
Millis
ReclaimBound(const SchedulerOptions& aOptions);

} // namespace limpetwood::scheduler::testing
