#include "fleet/experiment/workload.h"

#include <algorithm>
#include <cmath>

namespace limpetwood::fleet::experiment {

namespace {

std::string
JobName(uint64_t aNumber)
{
  std::string digits = std::to_string(aNumber);
  return std::string(16 - digits.size(), '0') + digits;
}

Millis
Scale(Millis aTime, double aFactor)
{
  return Millis(
    static_cast<int64_t>(static_cast<double>(aTime.Count()) * aFactor));
}

// Removes and returns the entries that are due.
template<typename T>
std::vector<T>
TakeDue(std::multimap<Millis, T>& aEntries, Millis aNow)
{
  std::vector<T> out;
  while (!aEntries.empty() && aEntries.begin()->first <= aNow) {
    out.push_back(std::move(aEntries.begin()->second));
    aEntries.erase(aEntries.begin());
  }
  return out;
}

} // namespace

const ServiceId Workload::kService("service");

Millis
LongestChain(const JobSpec& aSpec, const std::vector<Millis>& aWork)
{
  // Dependencies refer to earlier steps.
  std::vector<Millis> ends;
  Millis longest;
  for (size_t n = 0; n < aSpec.steps.size(); ++n) {
    Millis start;
    for (uint32_t it : aSpec.steps[n].dependencies) {
      start = std::max(start, ends[it]);
    }
    ends.push_back(start + aWork[n]);
    longest = std::max(longest, ends.back());
  }
  return longest;
}

Workload::Workload(const EmulatorOptions& aOptions, Millis aBegin)
  : mOptions(aOptions)
  , mBegin(aBegin)
  , mRandom(aOptions.seed)
  , mDeadlyJobs(aOptions.seed + 2)
  , mLongTasks(aOptions.seed + 5)
  , mQueues(aOptions.seed + 8)
  , mWorkspaces(aOptions.seed + 6)
  , mCancellations(aOptions.seed + 7)
{
}

std::string
Workload::WorkspaceName(size_t aIndex)
{
  return "workspace" + std::to_string(aIndex);
}

const Disturbance*
Workload::FindActive(Disturbance::Kind aKind, Millis aNow) const
{
  for (const Disturbance& it : mOptions.disturbances) {
    if (it.kind == aKind && IsActive(it, aNow - mBegin)) {
      return &it;
    }
  }
  return nullptr;
}

std::vector<gen::SubmitJob>
Workload::TakeArrivals(Millis aNow)
{
  std::vector<gen::SubmitJob> out;
  const Disturbance* burst = FindActive(Disturbance::Kind::kBurst, aNow);
  const Disturbance* flood = FindActive(Disturbance::Kind::kFlood, aNow);
  double boost = burst != nullptr ? std::max(1.0, burst->factor) : 1;
  auto workspaces = static_cast<double>(mOptions.workspaces);
  double growth =
    flood != nullptr ? (workspaces - 1 + flood->factor) / workspaces : 1;
  for (const JobClass& it : mOptions.classes) {
    double& next = mNextArrival[it.name];
    double rate =
      it.arrivalsPerSecond * growth * (&it == &mOptions.classes[0] ? boost : 1);
    // The exact times are kept, because rounding each gap up to the interval of
    // the emulation would lower high rates.
    while (next <= static_cast<double>((aNow - mBegin).Count())) {
      if (next > 0 && mArrivals[it.name]++ < it.maxJobs) {
        out.push_back(MakeJob(it, aNow));
      }
      next += -std::log(1 - mRandom.UniformDouble()) / rate * 1000;
    }
  }
  return out;
}

std::vector<gen::SubmitJob>
Workload::TakeReturns(Millis aNow)
{
  std::vector<gen::SubmitJob> out = TakeDue(mReturns, aNow);
  for (gen::SubmitJob& it : out) {
    it.acceptedAtMs = aNow.Count();
    if (!mOptions.countsFromFirstSubmission) {
      Find(JobId(it.id)).submittedAt = aNow;
    }
  }
  return out;
}

bool
Workload::OnRefused(gen::SubmitJob aJob, Millis aRetryAfter, Millis aNow)
{
  JobInfo& info = Find(JobId(aJob.id));
  if (++info.refusals > mOptions.maxReturns) {
    info.accounted = true;
    return false;
  }
  mReturns.emplace(aNow + aRetryAfter, std::move(aJob));
  return true;
}

std::vector<JobId>
Workload::TakeCancellations(Millis aNow)
{
  for (const Disturbance& it : mOptions.disturbances) {
    if (it.kind != Disturbance::Kind::kCancel || aNow != mBegin + it.at) {
      continue;
    }
    for (const auto& [id, job] : mJobs) {
      if (job.accepted && !job.accounted && mCancellations.Chance(it.share)) {
        mPendingCancellations.emplace(
          aNow + mCancellations.Between(Millis(0), it.duration), id);
      }
    }
  }
  std::vector<JobId> out = TakeDue(mPendingCancellations, aNow);
  std::erase_if(out, [&](const JobId& aId) { return Find(aId).accounted; });
  return out;
}

StepSpec
Workload::MakeStep(const JobClass& aClass)
{
  StepSpec step;
  double tasks = -std::log(1 - mRandom.UniformDouble()) * aClass.meanTasks;
  tasks = aClass.exactSize ? aClass.meanTasks : tasks;
  step.tasks =
    static_cast<uint32_t>(std::clamp(tasks, 1.0, aClass.meanTasks * 6));
  step.gang = aClass.gang;
  step.resources = {
    .cpu = aClass.cpu,
    .memoryMb = 1000,
    .accelerators =
      aClass.accelerators[mRandom.Below(aClass.accelerators.size())]
  };
  step.prefersOneRack = mRandom.Chance(aClass.oneRackProbability);
  step.savesCheckpoints = mRandom.Chance(aClass.checkpointProbability);
  return step;
}

Millis
Workload::DrawWork(const JobClass& aClass, StepSpec& aStep)
{
  double factor = 0.6 + 0.8 * mRandom.UniformDouble();
  Millis work = Scale(aClass.meanRunTime, aClass.exactSize ? 1 : factor);
  double low = std::log2(mOptions.minEstimateFactor);
  double high = std::log2(mOptions.maxEstimateFactor);
  aStep.estimate =
    Scale(work, std::exp2(low + mRandom.UniformDouble() * (high - low)));
  return work;
}

void
Workload::DrawLongTasks(JobSpec& aSpec, JobInfo& aInfo)
{
  bool isLong = mLongTasks.Chance(mOptions.longShare);
  for (uint32_t n = 0; n < aSpec.steps.size(); ++n) {
    StepSpec& step = aSpec.steps[n];
    size_t count = 0;
    for (uint32_t index = 0; index < step.tasks; ++index) {
      bool together = step.gang && index > 0;
      if (mOptions.longShareOf == LongShare::kTasks && !together) {
        isLong = mLongTasks.Chance(mOptions.longShare);
      }
      if (isLong) {
        aInfo.longTasks.emplace(n, index);
        ++count;
      }
    }
    // There is one estimate for all tasks of a step, so callers cannot tell
    // that some of them are long.
    if (count == step.tasks) {
      step.estimate = Scale(step.estimate, mOptions.longFactor);
    }
  }
}

std::vector<Millis>
Workload::LongestTasks(const JobInfo& aInfo) const
{
  std::vector<Millis> out = aInfo.work;
  for (const auto& [step, index] : aInfo.longTasks) {
    out[step] = Scale(aInfo.work[step], mOptions.longFactor);
  }
  return out;
}

Millis
Workload::WorkOf(const TaskRef& aTask) const
{
  const JobInfo& job = Find(aTask.job);
  bool isLong = job.longTasks.contains({ aTask.step, aTask.index });
  return Scale(job.work[aTask.step], isLong ? mOptions.longFactor : 1);
}

size_t
Workload::DrawWorkspace(Millis aNow)
{
  const Disturbance* flood = FindActive(Disturbance::Kind::kFlood, aNow);
  double first = flood != nullptr ? flood->factor : 1;
  auto others = static_cast<double>(mOptions.workspaces - 1);
  double drawn = mWorkspaces.UniformDouble() * (first + others) - first;
  return drawn < 0 ? 0 : 1 + static_cast<size_t>(drawn);
}

gen::SubmitJob
Workload::MakeJob(const JobClass& aClass, Millis aNow)
{
  size_t workspace = DrawWorkspace(aNow);
  JobSpec spec;
  std::vector<Millis> work;
  StepSpec step = MakeStep(aClass);
  for (uint32_t n = 0; n < aClass.steps; ++n) {
    work.push_back(DrawWork(aClass, step));
    spec.steps.push_back(step);
    step.dependencies = { n };
  }
  JobId id(JobName(mNextJob++));
  JobInfo& info = mJobs[id];
  info.work = std::move(work);
  DrawLongTasks(spec, info);
  gen::SubmitJob job;
  job.id = id.Value();
  job.queue = aClass.name;
  if (mOptions.queuesPerClass > 1) {
    job.queue += std::to_string(mQueues.Below(mOptions.queuesPerClass));
  }
  job.workspace = WorkspaceName(workspace);
  job.serviceId = kService.Value();
  job.spec = ToWire(spec);
  job.acceptedAtMs = aNow.Count();
  job.priority = aClass.priority;
  job.maxAttempts = static_cast<int32_t>(aClass.maxAttempts);
  job.stretch = aClass.stretch;
  job.targetLatencyMs = aClass.targetLatency.Count();
  info.jobClass = &aClass;
  info.submittedAt = aNow;
  info.objective =
    aClass.targetLatency +
    Scale(LongestChain(spec, LongestTasks(info)), aClass.stretch);
  // Larger jobs have more value, up to four times the mean size.
  info.value = 0.3 + 0.7 * std::min(step.tasks / aClass.meanTasks, 4.0);
  info.flooding =
    workspace == 0 && std::any_of(mOptions.disturbances.begin(),
                                  mOptions.disturbances.end(),
                                  [](const Disturbance& it) {
                                    return it.kind == Disturbance::Kind::kFlood;
                                  });
  const Disturbance* deadly = FindActive(Disturbance::Kind::kDeadly, aNow);
  info.deadly = deadly != nullptr && &aClass == &mOptions.classes[0] &&
                mDeadlyJobs.Chance(deadly->share);
  return job;
}

} // namespace limpetwood::fleet::experiment
