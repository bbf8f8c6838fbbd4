#include "fleet/reclaim.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <tuple>

namespace limpetwood::fleet {

namespace {

// Identifies the runs that end together when one of them is stopped: a gang, or
// a single run.
using GroupKey = std::tuple<const Job*, uint32_t, uint32_t, uint32_t>;

struct Victim
{
  // Refers to the view's cache.
  const RunEstimate* run = nullptr;
  GroupKey group;
  // Index of the run's group among the groups of all options.
  size_t groupIndex = 0;
  // Cost of ending the whole group.
  double cost = 0;
  // The run is already being stopped, so its resources become free without
  // another stop.
  bool stopping = false;
};

// Returns the runs on one worker that may be stopped, ordered by cost.
std::vector<Victim>
VictimsOn(const Candidate& aWorker, int32_t aPriority, const FleetView& aView)
{
  std::vector<Victim> out;
  for (const RunEstimate& it : aView.RunsOf(aWorker)) {
    if (!it.cost.stopping && it.job->priority <= aPriority) {
      continue;
    }
    const TaskRef& task = it.run.task;
    const StepSpec& step = it.job->spec.steps[task.step];
    uint32_t members = step.gang ? step.tasks : 1;
    double lostSeconds = static_cast<double>(it.cost.lostWork.Count()) / 1000;
    double lostWork = ResourceWeight(step.resources) * members * lostSeconds *
                      (1 + it.cost.restarts);
    out.push_back({ .run = &it,
                    .group = { it.job,
                               task.occurrence,
                               task.step,
                               step.gang ? 0 : task.index },
                    .cost = it.cost.stopping ? 0 : lostWork + it.callerLoss,
                    .stopping = it.cost.stopping });
  }
  std::sort(out.begin(), out.end(), [](const Victim& x, const Victim& y) {
    return x.cost < y.cost;
  });
  return out;
}

// The runs to stop on one worker so that at least one task fits there.
struct PreemptionOption
{
  const Candidate* worker = nullptr;
  std::vector<Victim> victims{};
  uint32_t tasks = 0;
};

// Accounts for groups that several options would end, so that the cost of a
// group counts once.
class VictimGroups
{
public:
  explicit VictimGroups(std::vector<PreemptionOption>& aOptions)
  {
    std::map<GroupKey, size_t> groupIndexes;
    for (PreemptionOption& option : aOptions) {
      for (Victim& it : option.victims) {
        it.groupIndex =
          groupIndexes.try_emplace(it.group, groupIndexes.size()).first->second;
        mVictimCounts.resize(groupIndexes.size());
        ++mVictimCounts[it.groupIndex];
      }
    }
    mEnded.resize(mVictimCounts.size());
  }

  // Additional cost of an option, given the groups that are already ended.
  double CostOf(const PreemptionOption& aOption) const
  {
    double cost = 0;
    for (const Victim& it : aOption.victims) {
      cost += mEnded[it.groupIndex] ? 0 : it.cost;
    }
    return cost;
  }

  // The additional cost per task. The cost of a group is divided by the number
  // of its victims in the options not chosen yet, at most `aTasks`, because
  // other options then need not pay it again. `aTasks` is the number of tasks
  // that remain to be placed.
  double SharedCostOf(const PreemptionOption& aOption, uint32_t aTasks) const
  {
    double cost = 0;
    for (const Victim& it : aOption.victims) {
      double shares = std::min(mVictimCounts[it.groupIndex], aTasks);
      cost += mEnded[it.groupIndex] ? 0 : it.cost / shares;
    }
    return cost / aOption.tasks;
  }

  void MarkChosen(const PreemptionOption& aOption)
  {
    for (const Victim& it : aOption.victims) {
      mEnded[it.groupIndex] = true;
      --mVictimCounts[it.groupIndex];
    }
  }

private:
  // Number of victims of each group in the options that were not chosen.
  std::vector<uint32_t> mVictimCounts;
  std::vector<bool> mEnded;
};

// Drops the victims without which `aTasks` tasks fit all the same, the most
// costly ones first.
void
DropUnneededVictims(const ReclaimRequest& aRequest,
                    uint32_t aTasks,
                    PreemptionOption& aOption)
{
  auto room = WorkerRoom::On(aRequest.placement, *aOption.worker);
  for (const Victim& it : aOption.victims) {
    room->Release(it.run->run.task, it.run->resources);
  }
  for (size_t n = aOption.victims.size(); n-- > 0;) {
    const RunEstimate& run = *aOption.victims[n].run;
    room->Retake(run.run.task, run.resources);
    if (room->Tasks() >= aTasks) {
      aOption.victims.erase(aOption.victims.begin() +
                            static_cast<ptrdiff_t>(n));
    } else {
      room->Release(run.run.task, run.resources);
    }
  }
  aOption.tasks = room->Tasks();
}

// Selects runs by ascending cost until `aTasks` tasks fit on the candidate, or
// as many as can if they are fewer. Returns nothing if no task fits even when
// all runs that may be stopped have ended.
std::optional<PreemptionOption>
FindOption(const ReclaimRequest& aRequest,
           const Candidate& aCandidate,
           uint32_t aTasks,
           const FleetView& aView)
{
  auto room = WorkerRoom::On(aRequest.placement, aCandidate);
  if (!room) {
    return std::nullopt;
  }
  PreemptionOption out{ .worker = &aCandidate, .tasks = room->Tasks() };
  if (out.tasks >= aTasks) {
    return out;
  }
  for (const Victim& it : VictimsOn(aCandidate, aRequest.priority, aView)) {
    room->Release(it.run->run.task, it.run->resources);
    out.victims.push_back(it);
    out.tasks = room->Tasks();
    if (out.tasks >= aTasks) {
      break;
    }
  }
  if (out.tasks == 0) {
    return std::nullopt;
  }
  // Later victims can make earlier ones unnecessary.
  DropUnneededVictims(aRequest, out.tasks, out);
  return out;
}

uint32_t
TasksOf(const std::vector<PreemptionOption>& aOptions)
{
  return std::accumulate(
    aOptions.begin(),
    aOptions.end(),
    uint32_t{ 0 },
    [](uint32_t aSum, const PreemptionOption& it) { return aSum + it.tasks; });
}

// Repeatedly chooses the option with the lowest shared cost per task until all
// tasks are placed. Returns nothing if the options do not fit all tasks.
std::optional<ReclaimChoice>
CombineOptions(const ReclaimRequest& aRequest,
               std::vector<PreemptionOption> aOptions,
               uint32_t aTasks)
{
  ReclaimChoice out;
  VictimGroups groups(aOptions);
  std::vector<bool> chosen(aOptions.size());
  uint32_t placed = 0;
  for (size_t round = 0; round < aOptions.size() && placed < aTasks; ++round) {
    size_t best = aOptions.size();
    double least = std::numeric_limits<double>::infinity();
    for (size_t n = 0; n < aOptions.size(); ++n) {
      if (chosen[n]) {
        continue;
      }
      double cost = groups.SharedCostOf(aOptions[n], aTasks - placed);
      if (cost < least) {
        least = cost;
        best = n;
      }
    }
    if (best == aOptions.size()) {
      break;
    }
    PreemptionOption& option = aOptions[best];
    if (option.tasks > aTasks - placed) {
      DropUnneededVictims(aRequest, aTasks - placed, option);
    }
    chosen[best] = true;
    placed += option.tasks;
    out.cost += groups.CostOf(option);
    out.workers.push_back(option.worker->id);
    for (const Victim& it : option.victims) {
      if (it.stopping) {
        ++out.runsStopping;
      } else {
        out.victims.emplace_back(option.worker->id, it.run->run);
      }
    }
    groups.MarkChosen(option);
  }
  if (placed < aTasks) {
    return std::nullopt;
  }
  return out;
}

} // namespace

std::optional<ReclaimChoice>
ChooseVictims(const ReclaimRequest& aRequest, const FleetView& aView)
{
  const PlacementRequest& placement = aRequest.placement;
  bool oneRack = NeedsOneRack(placement);
  bool mayStartInParts = !oneRack && !placement.step->gang;
  // Room is made for few tasks on each worker first, because their cheapest
  // runs are the first to go.
  for (uint32_t perWorker = 1;;) {
    bool isLast = perWorker == placement.tasks;
    std::map<uint32_t, std::vector<PreemptionOption>> groups;
    for (const Candidate& it : aView.candidates) {
      if (auto option = FindOption(aRequest, it, perWorker, aView)) {
        groups[oneRack ? it.rack : 0].push_back(std::move(*option));
      }
    }
    std::optional<ReclaimChoice> best;
    bool fits = false;
    for (auto& [rack, options] : groups) {
      uint32_t tasks = placement.tasks;
      if (mayStartInParts && isLast) {
        tasks = std::min(tasks, TasksOf(options));
      }
      auto choice = CombineOptions(aRequest, std::move(options), tasks);
      fits = fits || choice;
      if (choice && choice->cost <= aRequest.maxCost &&
          (!best || choice->cost < best->cost)) {
        best = std::move(choice);
      }
    }
    // More tasks on each worker cost more.
    if (fits || isLast) {
      return best;
    }
    perWorker = std::min(perWorker * 2, placement.tasks);
  }
}

} // namespace limpetwood::fleet
