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
  int64_t memoryMb = 0;
  int64_t limit = 0;

  bool Fits(const MemberResources& aNeed) const
  {
    return limit >= aNeed.accelerators && accelerators >= aNeed.accelerators &&
           cores >= aNeed.cores &&
           memoryMb >= static_cast<int64_t>(aNeed.memoryMb);
  }
  void Take(const MemberResources& aNeed)
  {
    limit -= aNeed.accelerators;
    accelerators -= aNeed.accelerators;
    cores -= aNeed.cores;
    memoryMb -= static_cast<int64_t>(aNeed.memoryMb);
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
  struct AdditionalVictims
  {
    double cost = 0;
    std::vector<JobSlot> victims;
  };

  FreeCapacity FreeCapacityOf(WorkerIndex aWorker,
                              const std::vector<JobSlot>& aVictims) const;
  uint32_t MembersPlacedOn(WorkerIndex aWorker) const;
  std::optional<AdditionalVictims> CheapestVictimsForOneMember(
    WorkerIndex aWorker) const;
  void DropUnneededVictims();

  const WorkerTable& mTable;
  const std::deque<Job>& mJobs;
  const PreemptionRequest& mRequest;
  PreemptionPlan mPlan;
};

uint32_t
Planner::MembersPlacedOn(WorkerIndex aWorker) const
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
  capacity.memoryMb = worker.FreeMemoryMb();
  capacity.limit = mRequest.limit(aWorker);
  for (const TaskRef& task : worker.tasks) {
    if (Contains(aVictims, task.job)) {
      capacity.cores += mJobs[task.job].need.cores;
      capacity.memoryMb += static_cast<int64_t>(mJobs[task.job].need.memoryMb);
    }
  }
  for (uint32_t i = MembersPlacedOn(aWorker); i > 0; --i) {
    capacity.Take(mRequest.need);
  }
  return capacity;
}

// Returns the cheapest additional victims on a worker that free capacity for
// one more member.
std::optional<Planner::AdditionalVictims>
Planner::CheapestVictimsForOneMember(WorkerIndex aWorker) const
{
  if (!mTable.At(aWorker).IsUsable()) {
    return std::nullopt;
  }
  AdditionalVictims additional;
  std::vector<JobSlot> victims = mPlan.victims;
  if (FreeCapacityOf(aWorker, victims).Fits(mRequest.need)) {
    return additional;
  }
  if (mRequest.limit(aWorker) <
      (MembersPlacedOn(aWorker) + 1) * mRequest.need.accelerators) {
    return std::nullopt;
  }
  struct Candidate
  {
    double costPerAccelerator = 0;
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
      // A core counts as a hundredth of an accelerator; see preemption.h.
      double size = job.need.accelerators + 0.01 * job.need.cores;
      candidates.push_back({ *cost / size, *cost, task.job });
    }
  }
  std::sort(candidates.begin(),
            candidates.end(),
            [](const Candidate& x, const Candidate& y) {
              return x.costPerAccelerator < y.costPerAccelerator;
            });
  for (const Candidate& it : candidates) {
    victims.push_back(it.job);
    additional.victims.push_back(it.job);
    additional.cost += it.cost;
    if (FreeCapacityOf(aWorker, victims).Fits(mRequest.need)) {
      return additional;
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
               capacity.memoryMb >= 0;
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
  std::vector<std::optional<AdditionalVictims>> additionalByWorker;
  additionalByWorker.reserve(mRequest.domain.size());
  for (WorkerIndex it : mRequest.domain) {
    additionalByWorker.push_back(CheapestVictimsForOneMember(it));
  }
  for (uint32_t i = 0; i < mRequest.members; ++i) {
    std::size_t best = additionalByWorker.size();
    for (std::size_t n = 0; n < additionalByWorker.size(); ++n) {
      if (additionalByWorker[n] &&
          (best == additionalByWorker.size() ||
           additionalByWorker[n]->cost < additionalByWorker[best]->cost)) {
        best = n;
      }
    }
    if (best == additionalByWorker.size()) {
      return std::nullopt;
    }
    AdditionalVictims additional = std::move(*additionalByWorker[best]);
    mPlan.cost += additional.cost;
    mPlan.victims.insert(mPlan.victims.end(),
                         additional.victims.begin(),
                         additional.victims.end());
    mPlan.workers.push_back(mRequest.domain[best]);
    // Victims also free capacity on other workers, so new victims invalidate
    // all cached selections.
    for (std::size_t n = 0; n < additionalByWorker.size(); ++n) {
      if (n == best || !additional.victims.empty()) {
        additionalByWorker[n] = CheapestVictimsForOneMember(mRequest.domain[n]);
      }
    }
  }
  DropUnneededVictims();
  return std::move(mPlan);
}

} // namespace

double
LostWork(const Job& aJob, Millis aNow, Millis aRestartOverhead)
{
  // In accelerators; a core counts as a hundredth of one.
  double size = 0;
  for (const Member& it : aJob.members) {
    size += HoldsCapacity(it.state)
              ? aJob.need.accelerators + 0.01 * aJob.need.cores
              : 0;
  }
  Millis lost =
    aJob.spec.checkpointable ? aRestartOverhead : aNow - aJob.resumePointAt;
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
