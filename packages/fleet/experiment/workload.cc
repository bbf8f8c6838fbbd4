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

} // namespace

const ServiceId Workload::kService("service");
const std::string Workload::kWorkspace = "workspace";

Workload::Workload(const EmulatorOptions& aOptions, Millis aBegin)
  : mOptions(aOptions)
  , mBegin(aBegin)
  , mRandom(aOptions.seed)
  , mDeadlyJobs(aOptions.seed + 2)
{
}

std::vector<gen::SubmitJob>
Workload::TakeArrivals(Millis aNow)
{
  std::vector<gen::SubmitJob> out;
  double boost = 1;
  for (const Disturbance& it : mOptions.disturbances) {
    bool active =
      it.kind == Disturbance::Kind::kBurst && IsActive(it, aNow - mBegin);
    boost = active ? std::max(boost, it.factor) : boost;
  }
  for (const JobClass& it : mOptions.classes) {
    Millis& next = mNextArrival[it.name];
    double rate =
      it.arrivalsPerSecond * (&it == &mOptions.classes[0] ? boost : 1);
    while (next <= aNow) {
      if (next > Millis(0)) {
        out.push_back(MakeJob(it, aNow));
      }
      double gap = -std::log(1 - mRandom.UniformDouble()) / rate * 1000;
      next = std::max(next, aNow) + Millis(static_cast<int64_t>(gap) + 1);
    }
  }
  return out;
}

gen::SubmitJob
Workload::MakeJob(const JobClass& aClass, Millis aNow)
{
  StepSpec step;
  double tasks = -std::log(1 - mRandom.UniformDouble()) * aClass.meanTasks;
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
  auto mean = static_cast<double>(aClass.meanRunTime.Count());
  Millis work(
    static_cast<int64_t>(mean * (0.6 + 0.8 * mRandom.UniformDouble())));
  // Callers' estimates are wrong by up to a factor of two.
  step.estimate =
    Millis(static_cast<int64_t>(static_cast<double>(work.Count()) *
                                std::exp2(mRandom.UniformDouble() * 2 - 1)));
  JobSpec spec;
  spec.steps = { step };
  gen::SubmitJob job;
  job.id = JobName(mNextJob++);
  job.queue = aClass.name;
  job.workspace = kWorkspace;
  job.serviceId = kService.Value();
  job.spec = ToWire(spec);
  job.acceptedAtMs = aNow.Count();
  job.priority = aClass.priority;
  job.maxAttempts = static_cast<int32_t>(aClass.maxAttempts);
  job.stretch = aClass.stretch;
  job.targetLatencyMs = aClass.targetLatency.Count();
  JobInfo& info = mJobs[JobId(job.id)];
  info.jobClass = &aClass;
  info.submittedAt = aNow;
  info.work = work;
  info.objective = aClass.targetLatency +
                   Millis(static_cast<int64_t>(
                     static_cast<double>(work.Count()) * aClass.stretch));
  // Larger jobs have more value, up to four times the mean size.
  info.value = 0.3 + 0.7 * std::min(step.tasks / aClass.meanTasks, 4.0);
  for (const Disturbance& it : mOptions.disturbances) {
    bool active =
      it.kind == Disturbance::Kind::kDeadly && IsActive(it, aNow - mBegin);
    info.deadly = info.deadly || (active && &aClass == &mOptions.classes[0] &&
                                  mDeadlyJobs.Chance(it.share));
  }
  return job;
}

} // namespace limpetwood::fleet::experiment
