// Seeded arrival lists for the policy benchmark, and the baselines that
// limpetwood is compared with.

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
  // Cancelled at this time; never if zero.
  Millis cancelAt;
  // "small", "medium", "large" or "reclaim": a gang of exactly the shape that
  // its otherwise idle workspace is guaranteed.
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
  // Workers that fail every task that they start.
  std::vector<FaultyPeriod> faulty;
  Millis window = Hours(12);
  uint32_t accelerators = 0;
};

// `aBurst` is "small" or "large". `aLoad` is the offered accelerator time over
// the capacity of the window.
Workload
MakeWorkload(const Deployment& aDeployment,
             const std::string& aBurst,
             double aLoad,
             uint64_t aSeed);

// What one policy did with a workload.
struct PolicyResult
{
  struct SucceededJob
  {
    std::string kind;
    Millis wait;
    Millis completion;
  };
  std::vector<SucceededJob> succeededJobs;
  std::vector<Millis> reclaimWaits;
  std::size_t missedReclaims = 0;
  // Time-weighted over the window.
  double fragmentation = 0;
  double utilization = 0;
  // Accelerator time used without leading to a success, over all used.
  double lostWorkShare = 0;
  // From the end of the window until the last job ended.
  Millis drainTime;
  std::size_t violations = 0;
};

// Share of the free accelerators that lie where the largest shape does not fit.
// `aFree` holds free accelerators by rack and worker.
double
FragmentedShare(const std::vector<std::vector<uint32_t>>& aFree,
                const model::JobSpec& aLargest);

// The larger request: more accelerators, then closer, then larger members.
bool
IsLarger(const model::JobSpec& aLeft, const model::JobSpec& aRight);

enum class Baseline
{
  kFirstFit,
  kBestFit,
  kBackfill,
};

PolicyResult
RunBaseline(Baseline aKind, const Workload& aWorkload);

PolicyResult
RunLimpetwood(const Workload& aWorkload, const SchedulerOptions& aOptions);

// A reclaim is met if the gang runs within the deadlines of a preemption plus
// the two-phase start.
Millis
ReclaimBound(const SchedulerOptions& aOptions);

} // namespace limpetwood::scheduler::testing
