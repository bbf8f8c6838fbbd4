#include "fleet/planner.h"

#include "fleet/reclaim.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace limpetwood::fleet {

namespace {

// When the result should be there (wall clock).
Millis
ObjectiveOf(const Unit& aUnit)
{
  const Job& job = *aUnit.job;
  auto chain = static_cast<double>(LongestChain(job.spec).Count());
  return aUnit.due + job.targetLatency +
         Millis(static_cast<int64_t>(chain * job.stretch));
}

void
SortByRank(std::vector<Unit>& aUnits)
{
  auto key = [](const Unit& aUnit) {
    return std::make_tuple(
      aUnit.job->priority, ObjectiveOf(aUnit), aUnit.job->id.Value());
  };
  std::stable_sort(
    aUnits.begin(), aUnits.end(), [&](const Unit& x, const Unit& y) {
      return key(x) < key(y);
    });
}

// Tasks of one step of an occurrence that may start now.
std::vector<uint32_t>
WaitingTasks(const Job& aJob, uint32_t aOccurrence, uint32_t aStep)
{
  std::vector<uint32_t> out;
  const StepSpec& spec = aJob.spec.steps[aStep];
  if (aOccurrence >= aJob.occurrences.size()) {
    for (uint32_t n = 0; n < spec.tasks; ++n) {
      out.push_back(n);
    }
    return out;
  }
  const Step& step = aJob.occurrences[aOccurrence].steps[aStep];
  if (spec.gang && step.active > 0) {
    return out;
  }
  for (uint32_t n = 0; n < spec.tasks; ++n) {
    if (step.tasks[n].phase == Task::Phase::kWaiting) {
      out.push_back(n);
    }
  }
  return out;
}

bool
DependenciesDone(const Job& aJob, uint32_t aOccurrence, uint32_t aStep)
{
  const std::vector<uint32_t>& after = aJob.spec.steps[aStep].after;
  return std::all_of(after.begin(), after.end(), [&](uint32_t aEarlier) {
    return aJob.StepDone(aOccurrence, aEarlier);
  });
}

Attempt
LastRunOf(const Unit& aUnit, uint32_t aTask)
{
  if (aUnit.occurrence >= aUnit.job->occurrences.size()) {
    return {};
  }
  const Step& step = aUnit.job->occurrences[aUnit.occurrence].steps[aUnit.step];
  // Members of a gang share the number of their run.
  return aUnit.Spec().gang ? step.lastRun : step.tasks[aTask].run;
}

uint32_t
TasksOn(const Unit& aUnit, const WorkerId& aWorker)
{
  if (aUnit.occurrence >= aUnit.job->occurrences.size()) {
    return 0;
  }
  const Step& step = aUnit.job->occurrences[aUnit.occurrence].steps[aUnit.step];
  return static_cast<uint32_t>(std::count_if(
    step.tasks.begin(), step.tasks.end(), [&](const Task& aTask) {
      return aTask.phase == Task::Phase::kActive && aTask.worker == aWorker;
    }));
}

} // namespace

Millis
LongestChain(const JobSpec& aSpec)
{
  std::vector<Millis> ends(aSpec.steps.size());
  Millis longest;
  for (size_t n = 0; n < aSpec.steps.size(); ++n) {
    Millis start;
    for (uint32_t it : aSpec.steps[n].after) {
      start = std::max(start, ends[it]);
    }
    ends[n] = start + aSpec.steps[n].estimate;
    longest = std::max(longest, ends[n]);
  }
  return longest;
}

std::vector<Unit>
Planner::CollectUnits(const FleetView& aView, Plan& aPlan) const
{
  std::vector<Unit> out;
  for (const JobId& id : aView.state->LiveJobs()) {
    const Job& job = *aView.state->FindJob(id);
    if (job.Ended()) {
      continue;
    }
    for (uint32_t k = 0; k < job.spec.OccurrenceCount(); ++k) {
      Millis due = job.acceptedAt;
      if (job.spec.occurrences > 0) {
        due = job.spec.firstRunAt + job.spec.interval * k;
      }
      if (due > aView.wallNow && job.spec.occurrences > 0) {
        aPlan.nextDue = std::min(aPlan.nextDue, due);
        break;
      }
      for (uint32_t step = 0; step < job.spec.steps.size(); ++step) {
        if (job.StepDone(k, step) || !DependenciesDone(job, k, step)) {
          continue;
        }
        std::vector<uint32_t> tasks = WaitingTasks(job, k, step);
        if (!tasks.empty()) {
          out.push_back({ .job = &job,
                          .occurrence = k,
                          .step = step,
                          .tasks = std::move(tasks),
                          .due = due });
        }
      }
    }
  }
  return out;
}

Plan
Planner::Decide(FleetView aView)
{
  Plan plan;
  std::vector<Unit> units = CollectUnits(aView, plan);
  SortByRank(units);
  std::erase_if(mReclaims, [&](const auto& aEntry) {
    const Job* job = aView.state->FindJob(aEntry.first);
    return aEntry.second.until <= aView.now || job == nullptr || job->Ended();
  });
  std::map<UnitKey, Millis> waiting;
  for (const Unit& it : units) {
    auto since = mWaitingSince.find(KeyOf(it));
    waiting[KeyOf(it)] =
      since == mWaitingSince.end() ? aView.now : since->second;
  }
  mWaitingSince = std::move(waiting);
  for (const Unit& it : units) {
    if (PlaceUnit(it, aView, plan)) {
      mReclaims.erase(it.job->id);
      continue;
    }
    ++plan.blocked;
    if (it.job->priority == 0 && !mReclaims.contains(it.job->id)) {
      ReclaimFor(it, aView, plan);
    }
    // Keeps room that is being made from units of lower rank.
    auto held = mReclaims.find(it.job->id);
    if (held != mReclaims.end()) {
      std::erase_if(aView.candidates, [&](const Candidate& aCandidate) {
        const auto& workers = held->second.workers;
        return std::find(workers.begin(), workers.end(), aCandidate.id) !=
               workers.end();
      });
    }
  }
  return plan;
}

Planner::UnitKey
Planner::KeyOf(const Unit& aUnit)
{
  return { aUnit.job->id, aUnit.occurrence, aUnit.step };
}

bool
Planner::MaySpread(const Unit& aUnit, const FleetView& aView) const
{
  const StepSpec& step = aUnit.Spec();
  if (!step.rackSensitive || aUnit.tasks.size() < 2) {
    return false;
  }
  auto tasks = static_cast<uint32_t>(aUnit.tasks.size());
  std::map<RackId, uint32_t> fit;
  int64_t idle = 0;
  int64_t all = 0;
  for (const Candidate& it : aView.candidates) {
    if (!MayRun(step, aUnit.job->service, *it.report)) {
      continue;
    }
    fit[it.rack] += TasksThatFit(step, it.report->capacity, tasks);
    idle += it.room.accelerators;
    all += it.report->capacity.accelerators;
  }
  bool neverFits = std::all_of(
    fit.begin(), fit.end(), [&](const auto& it) { return it.second < tasks; });
  auto since = mWaitingSince.find(KeyOf(aUnit));
  bool waited = since != mWaitingSince.end() &&
                aView.now - since->second >= mOptions.spreadAfter;
  return neverFits || (waited && idle * 2 > all);
}

bool
Planner::PlaceUnit(const Unit& aUnit, FleetView& aView, Plan& aPlan)
{
  const StepSpec& step = aUnit.Spec();
  PlacementRequest request{
    .step = &step,
    .service = &aUnit.job->service,
    .tasks = static_cast<uint32_t>(aUnit.tasks.size()),
    .placed =
      [&](const WorkerId& aWorker) { return TasksOn(aUnit, aWorker); },
    .maySpread = MaySpread(aUnit, aView),
  };
  std::vector<size_t> chosen = Place(request, aView.candidates);
  for (size_t n = 0; n < chosen.size(); ++n) {
    Candidate& it = aView.candidates[chosen[n]];
    it.room -= step.Counted();
    Attempt run = LastRunOf(aUnit, aUnit.tasks[n]).Next();
    aPlan.starts.push_back(
      { .run = { { aUnit.job->id, aUnit.occurrence, aUnit.step, aUnit.tasks[n] },
                 run },
        .worker = it.id,
        .incarnation = it.report->incarnation });
  }
  return chosen.size() == aUnit.tasks.size();
}

void
Planner::ReclaimFor(const Unit& aUnit, FleetView& aView, Plan& aPlan)
{
  ReclaimRequest request{ .step = &aUnit.Spec(),
                          .service = &aUnit.job->service,
                          .tasks = static_cast<uint32_t>(aUnit.tasks.size()),
                          .priority = aUnit.job->priority };
  std::optional<ReclaimChoice> choice = ChooseVictims(request, aView);
  if (!choice || choice->victims.size() > mOptions.maxVictims) {
    return;
  }
  mReclaims[aUnit.job->id] = { .workers = choice->workers,
                               .until =
                                 aView.now + mOptions.reclaimPatience };
  for (auto& it : choice->victims) {
    aPlan.victims.push_back(std::move(it));
  }
}

} // namespace limpetwood::fleet
