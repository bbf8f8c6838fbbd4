// Generates the jobs of an emulated run.

#pragma once

#include "base/random.h"
#include "fleet/codec.h"
#include "fleet/experiment/options.h"

#include <map>
#include <string>
#include <vector>

namespace limpetwood::fleet::experiment {

// What the emulation knows about a job and the scheduler does not.
struct JobInfo
{
  const JobClass* jobClass = nullptr;
  Millis submittedAt{};
  Millis objective{};
  // Weight of the job by its size, multiplied with the value of its class.
  double value = 1;
  // Run time of a task at normal speed.
  Millis work{};
  bool started = false;
  bool accounted = false;
  // Its last task crashes each worker that starts it.
  bool deadly = false;
};

class Workload
{
public:
  // The service of all jobs and workers, and the workspace of all jobs.
  static const ServiceId kService;
  static const std::string kWorkspace;

  // `aOptions` must outlive the workload.
  Workload(const EmulatorOptions& aOptions, Millis aBegin);

  // Returns the jobs that arrived since the last call.
  std::vector<gen::SubmitJob> TakeArrivals(Millis aNow);

  JobInfo& Find(const JobId& aId) { return mJobs.at(aId); }
  const JobInfo& Find(const JobId& aId) const { return mJobs.at(aId); }
  std::map<JobId, JobInfo>& Jobs() { return mJobs; }

private:
  gen::SubmitJob MakeJob(const JobClass& aClass, Millis aNow);

  const EmulatorOptions& mOptions;
  const Millis mBegin;
  // Separate from the random numbers of the workers, so that the load is the
  // same for all policies.
  Random mRandom;
  Random mDeadlyJobs;
  std::map<JobId, JobInfo> mJobs;
  std::map<std::string, Millis> mNextArrival;
  uint64_t mNextJob = 1;
};

} // namespace limpetwood::fleet::experiment
