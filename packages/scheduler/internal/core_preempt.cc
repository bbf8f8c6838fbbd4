// Preemption for guarantees, and the selection of domains and victims for
// reservations and relocations.

#include "scheduler/internal/core.h"

#include <algorithm>
#include <map>

namespace limpetwood::scheduler {

namespace {

// Maximum number of workers per domain that a preemption plan considers, in
// order of decreasing free accelerators. Bounds the work in zones with
// thousands of workers.
constexpr std::size_t kMaxWorkersPerDomain = 160;

} // namespace

std::vector<std::size_t>
Core::MovableCells(const Job& aJob) const
{
  std::vector<std::size_t> out;
  const std::vector<Cell>& cells = mGuarantees.Cells();
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const Cell& cell = cells[i];
    bool seen = std::any_of(out.begin(), out.end(), [&](std::size_t it) {
      return cells[it].shape == cell.shape && cells[it].zone == cell.zone;
    });
    if (cell.workspace == aJob.workspace && !seen &&
        cell.shape.accelerators.Value() >=
          aJob.spec.TotalAccelerators().Value() &&
        mOptions.guaranteeMode != GuaranteeMode::kFixedCells &&
        mGuarantees.IsMovable(i)) {
      out.push_back(i);
    }
  }
  std::sort(out.begin(), out.end(), [&](std::size_t x, std::size_t y) {
    return cells[x].shape.accelerators < cells[y].shape.accelerators;
  });
  return out;
}

std::optional<double>
Core::VictimCost(const Job& aVictim) const
{
  if (aVictim.guaranteed) {
    return std::nullopt;
  }
  switch (aVictim.phase) {
    case Phase::kRunning:
      return LostWork(aVictim, mNow, mOptions.restartOverhead);
    case Phase::kCheckpointing:
    case Phase::kThrottling:
    case Phase::kStopping:
      return 0.0;
    default:
      return std::nullopt;
  }
}

std::vector<std::vector<WorkerIndex>>
Core::DomainsOf(const Job& aJob,
                model::TopologyScope aTopologyScope,
                const std::function<uint32_t(WorkerIndex)>& aLimit) const
{
  // The key is the index of the zone, rack or worker, depending on the topology
  // scope.
  std::map<uint32_t, std::vector<WorkerIndex>> workersByDomain;
  bool zone =
    aTopologyScope == model::TopologyScope::kZone && aJob.spec.members > 1;
  bool single = aTopologyScope == model::TopologyScope::kWorker;
  for (const RackEntry& rack : mWorkers.Racks()) {
    for (WorkerIndex it : rack.workers) {
      if (!mWorkers.At(it).IsUsable() || AvoidsWorker(aJob, it) ||
          aLimit(it) < aJob.need.accelerators) {
        continue;
      }
      uint32_t domain = mWorkers.At(it).rack;
      if (zone) {
        domain = rack.zone;
      } else if (single) {
        domain = it;
      }
      workersByDomain[domain].push_back(it);
    }
  }
  std::vector<std::vector<WorkerIndex>> out;
  std::vector<std::pair<uint32_t, uint32_t>> order;
  for (auto& [domain, workers] : workersByDomain) {
    uint32_t free = 0;
    for (WorkerIndex it : workers) {
      free += mWorkers.At(it).FreeAccelerators();
    }
    order.emplace_back(free, domain);
  }
  // Domains with the most free accelerators are usually the cheapest to clear.
  // At most `maxDomainsPerSearch` are examined, which bounds the work of a
  // pass.
  std::sort(order.rbegin(), order.rend());
  for (std::size_t i = 0; i < order.size() && i < mOptions.maxDomainsPerSearch;
       ++i) {
    std::vector<WorkerIndex>& workers = workersByDomain[order[i].second];
    if (workers.size() > kMaxWorkersPerDomain) {
      std::partial_sort(workers.begin(),
                        workers.begin() + kMaxWorkersPerDomain,
                        workers.end(),
                        [&](WorkerIndex x, WorkerIndex y) {
                          return mWorkers.At(x).FreeAccelerators() >
                                 mWorkers.At(y).FreeAccelerators();
                        });
      workers.resize(kMaxWorkersPerDomain);
    }
    out.push_back(std::move(workers));
  }
  return out;
}

std::optional<Core::ReclaimPlan>
Core::PlanInOwnCells(const Job& aJob) const
{
  auto limit = [&](WorkerIndex it) {
    return mGuarantees.AvailableAccelerators(aJob.workspace, it);
  };
  std::optional<ReclaimPlan> best;
  for (auto& domain : DomainsOf(aJob, aJob.spec.topologyScope, limit)) {
    auto plan = PlanPreemption(
      mWorkers,
      mJobs,
      { aJob.need, aJob.spec.members, domain, limit, [this](const Job& it) {
         return VictimCost(it);
       } });
    if (plan && (!best || plan->cost < best->plan.cost)) {
      best = ReclaimPlan{ std::move(*plan), /*cell=*/SIZE_MAX };
    }
  }
  return best;
}

std::optional<Core::ReclaimPlan>
Core::PlanInMovedCell(const Job& aJob) const
{
  std::optional<ReclaimPlan> best;
  for (std::size_t cell : MovableCells(aJob)) {
    const Cell& moved = mGuarantees.Cells()[cell];
    uint32_t zone = mWorkers.FindZone(moved.zone);
    auto limit = [&](WorkerIndex it) {
      const Worker& worker = mWorkers.At(it);
      return worker.zone == zone ? mGuarantees.Unreserved(worker, it, cell)
                                 : 0U;
    };
    auto topologyScope =
      std::min(aJob.spec.topologyScope, moved.shape.topologyScope);
    for (auto& domain : DomainsOf(aJob, topologyScope, limit)) {
      auto plan = PlanPreemption(
        mWorkers,
        mJobs,
        { aJob.need, aJob.spec.members, domain, limit, [this](const Job& it) {
           return VictimCost(it);
         } });
      if (plan && (!best || plan->cost < best->plan.cost)) {
        best = ReclaimPlan{ std::move(*plan), cell };
      }
    }
  }
  return best;
}

// Plans for an urgent job to replace guaranteed work of its own workspace that
// is not urgent.
std::optional<Core::ReclaimPlan>
Core::PlanReplacingOwnGuaranteedWork(const Job& aJob) const
{
  auto own = [&](const Job& it) {
    return it.guaranteed && it.workspace == aJob.workspace &&
           it.phase == Phase::kRunning &&
           it.spec.priority != model::Priority::kUrgent;
  };
  // Returns the accelerators that the job may use on a worker if the work in
  // `aVictims` stops; if null, all work that `own` selects.
  auto availableWithout = [&](WorkerIndex aWorker,
                              const std::vector<JobSlot>* aVictims) {
    uint32_t sum = mGuarantees.AvailableAccelerators(aJob.workspace, aWorker);
    for (const TaskRef& task : mWorkers.At(aWorker).tasks) {
      bool chosen = aVictims == nullptr ||
                    std::find(aVictims->begin(), aVictims->end(), task.job) !=
                      aVictims->end();
      if (chosen && own(mJobs[task.job])) {
        sum += mJobs[task.job].need.accelerators;
      }
    }
    return sum;
  };
  auto limit = [&](WorkerIndex it) { return availableWithout(it, nullptr); };
  std::optional<ReclaimPlan> best;
  for (auto& domain : DomainsOf(aJob, aJob.spec.topologyScope, limit)) {
    auto plan = PlanPreemption(
      mWorkers,
      mJobs,
      { aJob.need, aJob.spec.members, domain, limit, [&](const Job& it) {
         return own(it) ? LostWork(it, mNow, mOptions.restartOverhead)
                        : VictimCost(it);
       } });
    if (!plan || (best && plan->cost >= best->plan.cost)) {
      continue;
    }
    bool covered = std::all_of(
      plan->workers.begin(), plan->workers.end(), [&](WorkerIndex it) {
        auto members =
          std::count(plan->workers.begin(), plan->workers.end(), it);
        return availableWithout(it, &plan->victims) >=
               static_cast<uint32_t>(members) * aJob.need.accelerators;
      });
    if (covered) {
      best = ReclaimPlan{ std::move(*plan), /*cell=*/SIZE_MAX };
    }
  }
  return best;
}

// For `GuaranteeMode::kPreemptOnly`: plans wherever victims free capacity.
std::optional<Core::ReclaimPlan>
Core::PlanAnywhere(const Job& aJob) const
{
  auto limit = [&](WorkerIndex it) { return mWorkers.At(it).accelerators; };
  std::optional<ReclaimPlan> best;
  for (auto& domain : DomainsOf(aJob, aJob.spec.topologyScope, limit)) {
    auto plan = PlanPreemption(
      mWorkers,
      mJobs,
      { aJob.need, aJob.spec.members, domain, limit, [this](const Job& it) {
         return VictimCost(it);
       } });
    if (plan && (!best || plan->cost < best->plan.cost)) {
      best = ReclaimPlan{ std::move(*plan), /*cell=*/SIZE_MAX };
    }
  }
  return best;
}

bool
Core::TryReclaim(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  bool urgent = job.spec.priority == model::Priority::kUrgent;
  std::optional<ReclaimPlan> best;
  if (mOptions.guaranteeMode == GuaranteeMode::kPreemptOnly) {
    best = PlanAnywhere(job);
  } else {
    best = PlanInOwnCells(job);
    std::optional<ReclaimPlan> moved = PlanInMovedCell(job);
    if (moved && (!best || moved->plan.cost < best->plan.cost)) {
      best = std::move(moved);
    }
    if (!best && urgent) {
      best = PlanReplacingOwnGuaranteedWork(job);
    }
  }
  if (!best) {
    return false;
  }
  if (best->cell != SIZE_MAX) {
    std::vector<CellPart> cover =
      AcceleratorsByWorker(best->plan.workers, job.need.accelerators);
    if (!mGuarantees.MoveToCover(mWorkers, best->cell, cover)) {
      return false;
    }
  }
  mCounters.Add(urgent ? CounterKind::kPreemptedForUrgent
                       : CounterKind::kPreemptedForGuarantee,
                best->plan.victims.size());
  // Victims that are guaranteed work of the same workspace must release their
  // cell first.
  for (JobSlot it : best->plan.victims) {
    MakePreemptible(it);
  }
  BeginAttempt(aSlot, best->plan.workers, std::move(best->plan.victims), true);
  return true;
}

} // namespace limpetwood::scheduler
