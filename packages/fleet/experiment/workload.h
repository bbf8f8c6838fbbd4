// Generates the load of an emulated run: jobs, their cancellations, and the
// returns of refused callers.

#pragma once

#include "base/random.h"
#include "fleet/codec.h"
#include "fleet/experiment/options.h"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace limpetwood::fleet::experiment {

// What the emulation knows about a job and the scheduler does not.
struct JobInfo
{
  const JobClass* jobClass = nullptr;
  // Time from which the latency of the job counts.
  Millis submittedAt{};
  Millis objective{};
  // Weight of the job by its size, multiplied with the value of its class.
  double value = 1;
  // Run time of a task of each step at normal speed, unless the task is long.
  std::vector<Millis> work{};
  // Steps and indexes of the long tasks.
  std::set<std::pair<uint32_t, uint32_t>> longTasks{};
  uint32_t refusals = 0;
  bool accepted = false;
  bool started = false;
  // The job has ended, or its caller gave up.
  bool accounted = false;
  // Its last task crashes each worker that starts it.
  bool deadly = false;
  // It belongs to the workspace that floods the fleet.
  bool flooding = false;
};

// Sum of the run times of the longest chain of dependent steps.
Millis
LongestChain(const JobSpec& aSpec, const std::vector<Millis>& aWork);

class Workload
{
public:
  // The service of all jobs and workers.
  static const ServiceId kService;

  // `aOptions` must outlive the workload.
  Workload(const EmulatorOptions& aOptions, Millis aBegin);

  static std::string WorkspaceName(size_t aIndex);

  // Returns the jobs that arrived since the last call.
  std::vector<gen::SubmitJob> TakeArrivals(Millis aNow);
  // Returns the refused jobs that are due to be submitted again.
  std::vector<gen::SubmitJob> TakeReturns(Millis aNow);
  // Returns the jobs whose callers cancel them now.
  std::vector<JobId> TakeCancellations(Millis aNow);

  // Schedules the return of a refused caller. Returns false if the caller gives
  // up.
  bool OnRefused(gen::SubmitJob aJob, Millis aRetryAfter, Millis aNow);

  // Run time of the task at normal speed.
  Millis WorkOf(const TaskRef& aTask) const;

  JobInfo& Find(const JobId& aId) { return mJobs.at(aId); }
  const JobInfo& Find(const JobId& aId) const { return mJobs.at(aId); }
  const std::map<JobId, JobInfo>& Jobs() const { return mJobs; }
  // Number of refused callers that will return.
  size_t Returning() const { return mReturns.size(); }

private:
  // Returns the disturbance of this kind that is in effect, or null.
  const Disturbance* FindActive(Disturbance::Kind aKind, Millis aNow) const;
  gen::SubmitJob MakeJob(const JobClass& aClass, Millis aNow);
  StepSpec MakeStep(const JobClass& aClass);
  // Draws the run time and the estimate of the tasks of a step.
  Millis DrawWork(const JobClass& aClass, StepSpec& aStep);
  // Draws which tasks are long, and adapts the estimates of steps of which all
  // are.
  void DrawLongTasks(JobSpec& aSpec, JobInfo& aInfo);
  // Run time of the longest task of each step.
  std::vector<Millis> LongestTasks(const JobInfo& aInfo) const;
  size_t DrawWorkspace(Millis aNow);

  const EmulatorOptions& mOptions;
  const Millis mBegin;
  // Separate from the random numbers of the workers, so that the load is the
  // same for all policies, and separate for each kind of load, so that one kind
  // does not change the others.
  Random mRandom;
  Random mDeadlyJobs;
  Random mLongTasks;
  Random mQueues;
  Random mWorkspaces;
  Random mCancellations;
  std::map<JobId, JobInfo> mJobs;
  // Milliseconds from the start of the run, by class.
  std::map<std::string, double> mNextArrival;
  std::map<std::string, size_t> mArrivals;
  std::multimap<Millis, gen::SubmitJob> mReturns;
  std::multimap<Millis, JobId> mPendingCancellations;
  uint64_t mNextJob = 1;
};

} // namespace limpetwood::fleet::experiment
