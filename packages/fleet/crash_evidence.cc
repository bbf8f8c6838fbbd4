#include "fleet/crash_evidence.h"

#include <algorithm>

namespace limpetwood::fleet {

namespace {

bool
IsSameStep(const TaskRef& x, const TaskRef& y)
{
  return x.job == y.job && x.occurrence == y.occurrence && x.step == y.step;
}

bool
RunsOneStep(const Worker& aWorker)
{
  return std::all_of(
    aWorker.active.begin(), aWorker.active.end(), [&](const RunRef& it) {
      return IsSameStep(it.task, aWorker.active.begin()->task);
    });
}

} // namespace

std::map<RunRef, CrashEvidence>
JudgeCrash(const Worker& aWorker, const WorkerLink& aLink, Millis aNow)
{
  Millis crashedAt = aLink.unreachableSince.value_or(aNow);
  bool alone = RunsOneStep(aWorker);
  std::map<RunRef, CrashEvidence> out;
  for (const RunRef& it : aWorker.active) {
    auto found = aLink.runs.find(it);
    if (found == aLink.runs.end()) {
      continue;
    }
    const RunView& view = found->second;
    bool notSent = !view.startSentAt && view.phase == RunView::Phase::kStarting;
    if (notSent) {
      continue;
    }
    if (view.crash) {
      // The run was active on a process before the one that ended now.
      out.emplace(it, *view.crash);
      continue;
    }
    // For a run that an earlier leader started this is the least age.
    Millis age = crashedAt - view.startSentAt.value_or(view.trackedSince);
    CrashEvidence evidence = CrashEvidence::kNone;
    if (age >= kExonerationTime) {
      evidence = CrashEvidence::kExonerated;
    } else if (view.startSentAt && age < kStartWatchTime) {
      evidence = alone ? CrashEvidence::kAloneAtStart : CrashEvidence::kAtStart;
    }
    out.emplace(it, evidence);
  }
  return out;
}

bool
IsSuspect(const FleetState& aState, const RunRef& aRun)
{
  const Task* task = aState.FindTask(aRun.task);
  if (task == nullptr) {
    return false;
  }
  const Job& job = *aState.FindJob(aRun.task.job);
  if (!job.spec.steps[aRun.task.step].gang) {
    return IsSuspect(*task);
  }
  const Step& step =
    job.occurrences[aRun.task.occurrence].steps[aRun.task.step];
  return std::any_of(step.tasks.begin(), step.tasks.end(), [](const Task& it) {
    return IsSuspect(it);
  });
}

uint32_t
FirstMemberOfTrial(const Step& aStep)
{
  auto worst = std::max_element(
    aStep.tasks.begin(), aStep.tasks.end(), [](const Task& x, const Task& y) {
      return std::pair(x.crashesAtStart, x.crashes) <
             std::pair(y.crashesAtStart, y.crashes);
    });
  return static_cast<uint32_t>(worst - aStep.tasks.begin());
}

} // namespace limpetwood::fleet
