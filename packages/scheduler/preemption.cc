#include "scheduler/preemption.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

bool
Contains(const std::vector<JobSlot>& aSlots, JobSlot aSlot)
{
  return std::find(aSlots.begin(), aSlots.end(), aSlot) != aSlots.end();
}

// Free capacity of a worker, taking into account the members already placed and
// the victims already chosen. `limit` is what remains of the request's limit.
struct FreeCapacity
{
  int64_t accelerators = 0;
  int64_t cores = 0;
  int64_t memory = 0;
  int64_t limit = 0;

  bool Fits(const MemberResources& aNeed) const
  {
    return limit >= aNeed.accelerators && accelerators >= aNeed.accelerators &&
           cores >= aNeed.cores &&
           memory >= static_cast<int64_t>(aNeed.memoryMb);
  }
  void Take(const MemberResources& aNeed)
  {
    limit -= aNeed.accelerators;
    accelerators -= aNeed.accelerators;
    cores -= aNeed.cores;
    memory -= static_cast<int64_t>(aNeed.memoryMb);
  }
};

class Planner
{
public:
  Planner(const WorkerTable& aTable,
          const std::deque<Job>& aJobs,
          const PreemptionRequest& aRequest)
    : mTable(aTable)
    , mJobs(aJobs)
    , mRequest(aRequest)
  {
  }

  std::optional<PreemptionPlan> Run();

private:
  struct Extension
  {
    double cost = 0;
    std::vector<JobSlot> victims;
  };

  FreeCapacity FreeCapacityOf(WorkerIndex aWorker,
                              const std::vector<JobSlot>& aVictims) const;
  uint32_t PlacedOn(WorkerIndex aWorker) const;
  std::optional<Extension> CheapestExtension(WorkerIndex aWorker) const;
  void DropUnneededVictims();

  const WorkerTable& mTable;
  const std::deque<Job>& mJobs;
  const PreemptionRequest& mRequest;
  PreemptionPlan mPlan;
};

uint32_t
Planner::PlacedOn(WorkerIndex aWorker) const
{
  return static_cast<uint32_t>(
    std::count(mPlan.workers.begin(), mPlan.workers.end(), aWorker));
}

FreeCapacity
Planner::FreeCapacityOf(WorkerIndex aWorker,
                        const std::vector<JobSlot>& aVictims) const
{
  const Worker& worker = mTable.At(aWorker);
  FreeCapacity capacity;
  capacity.accelerators =
    CountBits(FreeAcceleratorsAfter(mTable, mJobs, aWorker, aVictims));
  capacity.cores = worker.FreeCores();
  capacity.memory = worker.FreeMemoryMb();
  capacity.limit = mRequest.limit(aWorker);
  for (const TaskRef& task : worker.tasks) {
    if (Contains(aVictims, task.job)) {
      capacity.cores += mJobs[task.job].need.cores;
      capacity.memory += static_cast<int64_t>(mJobs[task.job].need.memoryMb);
    }
  }
  for (uint32_t i = PlacedOn(aWorker); i > 0; --i) {
    capacity.Take(mRequest.need);
  }
  return capacity;
}

// Returns the cheapest additional victims on a worker that free capacity for
// one more member.
std::optional<Planner::Extension>
Planner::CheapestExtension(WorkerIndex aWorker) const
{
  if (!mTable.At(aWorker).IsUsable()) {
    return std::nullopt;
  }
  Extension extension;
  std::vector<JobSlot> victims = mPlan.victims;
  if (FreeCapacityOf(aWorker, victims).Fits(mRequest.need)) {
    return extension;
  }
  if (mRequest.limit(aWorker) <
      (PlacedOn(aWorker) + 1) * mRequest.need.accelerators) {
    return std::nullopt;
  }
  struct Candidate
  {
    double rate = 0;
    double cost = 0;
    JobSlot job = kNoIndex;
  };
  std::vector<Candidate> candidates;
  for (const TaskRef& task : mTable.At(aWorker).tasks) {
    const Job& job = mJobs[task.job];
    bool seen =
      Contains(victims, task.job) ||
      std::any_of(candidates.begin(),
                  candidates.end(),
                  [&](const Candidate& it) { return it.job == task.job; });
    std::optional<double> cost;
    if (!seen && (cost = mRequest.cost(job))) {
      double size = job.need.accelerators + 0.01 * job.need.cores;
      candidates.push_back({ *cost / size, *cost, task.job });
    }
  }
  std::sort(
    candidates.begin(),
    candidates.end(),
    [](const Candidate& x, const Candidate& y) { return x.rate < y.rate; });
  for (const Candidate& it : candidates) {
    victims.push_back(it.job);
    extension.victims.push_back(it.job);
    extension.cost += it.cost;
    if (FreeCapacityOf(aWorker, victims).Fits(mRequest.need)) {
      return extension;
    }
  }
  return std::nullopt;
}

// Removes victims that are unnecessary because larger ones were chosen later.
void
Planner::DropUnneededVictims()
{
  for (std::size_t i = mPlan.victims.size(); i-- > 0;) {
    std::vector<JobSlot> remaining = mPlan.victims;
    remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(i));
    bool fits = std::all_of(
      mPlan.workers.begin(), mPlan.workers.end(), [&](WorkerIndex it) {
        FreeCapacity capacity = FreeCapacityOf(it, remaining);
        return capacity.accelerators >= 0 && capacity.cores >= 0 &&
               capacity.memory >= 0;
      });
    if (fits) {
      mPlan.cost -= *mRequest.cost(mJobs[mPlan.victims[i]]);
      mPlan.victims = std::move(remaining);
    }
  }
}

std::optional<PreemptionPlan>
Planner::Run()
{
  std::vector<std::optional<Extension>> extensions;
  extensions.reserve(mRequest.domain.size());
  for (WorkerIndex it : mRequest.domain) {
    extensions.push_back(CheapestExtension(it));
  }
  for (uint32_t i = 0; i < mRequest.members; ++i) {
    std::size_t best = extensions.size();
    for (std::size_t n = 0; n < extensions.size(); ++n) {
      if (extensions[n] && (best == extensions.size() ||
                            extensions[n]->cost < extensions[best]->cost)) {
        best = n;
      }
    }
    if (best == extensions.size()) {
      return std::nullopt;
    }
    Extension extension = std::move(*extensions[best]);
    mPlan.cost += extension.cost;
    mPlan.victims.insert(
      mPlan.victims.end(), extension.victims.begin(), extension.victims.end());
    mPlan.workers.push_back(mRequest.domain[best]);
    // Victims also free capacity on other workers, so new victims invalidate
    // all cached extensions.
    for (std::size_t n = 0; n < extensions.size(); ++n) {
      if (n == best || !extension.victims.empty()) {
        extensions[n] = CheapestExtension(mRequest.domain[n]);
      }
    }
  }
  DropUnneededVictims();
  return std::move(mPlan);
}

} // namespace

double
LostWork(const Job& aJob, Millis aNow, Millis aRestartCost)
{
  double size = 0;
  for (const Member& it : aJob.members) {
    size += HoldsCapacity(it.state)
              ? aJob.need.accelerators + 0.01 * aJob.need.cores
              : 0;
  }
  Millis lost =
    aJob.spec.checkpointable ? aRestartCost : aNow - aJob.resumePointAt;
  return size * static_cast<double>(std::max<int64_t>(lost.Count(), 0));
}

AcceleratorMask
FreeAcceleratorsAfter(const WorkerTable& aTable,
                      const std::deque<Job>& aJobs,
                      WorkerIndex aWorker,
                      const std::vector<JobSlot>& aVictims)
{
  const Worker& worker = aTable.At(aWorker);
  AcceleratorMask busyAccelerators = worker.busyAccelerators;
  for (const TaskRef& task : worker.tasks) {
    if (Contains(aVictims, task.job)) {
      busyAccelerators &= ~aJobs[task.job].members[task.member].mask;
    }
  }
  return worker.AllAccelerators() &
         ~(busyAccelerators | worker.claimedAccelerators);
}

std::optional<PreemptionPlan>
PlanPreemption(const WorkerTable& aTable,
               const std::deque<Job>& aJobs,
               const PreemptionRequest& aRequest)
{
  return Planner(aTable, aJobs, aRequest).Run();
}

} // namespace limpetwood::scheduler
