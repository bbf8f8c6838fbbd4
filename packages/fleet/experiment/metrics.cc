#include "fleet/experiment/metrics.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood::fleet::experiment {

namespace {

// A result has no value when its latency exceeds the objective by this factor.
constexpr int64_t kMaxLatenessFactor = 3;

double
Ratio(double aPart, size_t aWhole)
{
  return aWhole > 0 ? aPart / static_cast<double>(aWhole) : 0;
}

} // namespace

double
PriorityOutcome::InTimeShare() const
{
  return Ratio(static_cast<double>(inTime), rated);
}

double
PriorityOutcome::MeanValue() const
{
  return Ratio(value, rated);
}

double
PriorityOutcome::OthersMeanValue() const
{
  return Ratio(othersValue, othersRated);
}

void
PriorityOutcome::Add(const PriorityOutcome& aOther)
{
  jobs += aOther.jobs;
  refusals += aOther.refusals;
  givenUp += aOther.givenUp;
  cancelled += aOther.cancelled;
  open += aOther.open;
  rated += aOther.rated;
  inTime += aOther.inTime;
  value += aOther.value;
  othersRated += aOther.othersRated;
  othersValue += aOther.othersValue;
  tooSlow += aOther.tooSlow;
  stalled += aOther.stalled;
  preempted += aOther.preempted;
  repeatedlyTooSlow += aOther.repeatedlyTooSlow;
  mostTooSlow = std::max(mostTooSlow, aOther.mostTooSlow);
  usedAcceleratorSeconds += aOther.usedAcceleratorSeconds;
  lostAcceleratorSeconds += aOther.lostAcceleratorSeconds;
  brokenGangs += aOther.brokenGangs;
}

double
Outcomes::ValueRatio() const
{
  double earnedValue = 0;
  double maxValue = 0;
  for (const auto& [name, it] : classes) {
    earnedValue += it.earnedValue;
    maxValue += it.maxValue;
  }
  return maxValue > 0 ? earnedValue / maxValue : 0;
}

void
Metrics::OnSubmitted(const JobId& aJob)
{
  const JobInfo& job = mWorkload.Find(aJob);
  ++mOutcomes.counts.submitted;
  if (job.deadly) {
    return;
  }
  ++PriorityOf(job).jobs;
  ClassOutcome& outcome = mOutcomes.classes[job.jobClass->name];
  ++outcome.jobs;
  outcome.maxValue += job.jobClass->value * job.value;
}

void
Metrics::OnRefused(const JobId& aJob, bool aGivesUp)
{
  const JobInfo& job = mWorkload.Find(aJob);
  mOutcomes.counts.givenUp += aGivesUp ? 1 : 0;
  if (job.deadly) {
    return;
  }
  ++PriorityOf(job).refusals;
  if (aGivesUp) {
    ++PriorityOf(job).givenUp;
    ++mOutcomes.classes[job.jobClass->name].withoutValue;
    Rate(job, 0, false);
  }
}

void
Metrics::OnRunStarted(const JobId& aJob, Millis aNow)
{
  ++mOutcomes.counts.runsStarted;
  JobInfo& job = mWorkload.Find(aJob);
  if (!job.started && !job.deadly) {
    job.started = true;
    mOutcomes.classes[job.jobClass->name].startDelays.push_back(
      aNow - job.submittedAt);
  }
}

bool
Metrics::IsCancelled(const JobId& aJob) const
{
  const Job* job = mState.FindJob(aJob);
  return job != nullptr && job->status == JobStatus::kCancelled;
}

void
Metrics::OnRunEnded(const TaskRef& aTask, Millis aDuration, bool aWasted)
{
  ++mOutcomes.counts.runsEnded;
  const StepSpec& step = mState.FindJob(aTask.job)->spec.steps[aTask.step];
  double used = static_cast<double>(aDuration.Count()) / 1000 *
                static_cast<double>(step.resources.accelerators);
  double lost = aWasted && !IsCancelled(aTask.job) ? used : 0;
  mOutcomes.usedAcceleratorSeconds += used;
  mOutcomes.wastedAcceleratorSeconds += lost;
  const JobInfo& job = mWorkload.Find(aTask.job);
  if (!job.deadly) {
    PriorityOf(job).usedAcceleratorSeconds += used;
    PriorityOf(job).lostAcceleratorSeconds += lost;
  }
}

void
Metrics::OnChange(const Change& aChange, Millis aNow)
{
  switch (aChange.kind) {
    case Change::Kind::kJobAccepted:
      ++mOutcomes.counts.accepted;
      mWorkload.Find(aChange.run.task.job).accepted = true;
      break;
    case Change::Kind::kJobEnded:
      AccountEndedJob(aChange.run.task.job, aNow);
      break;
    case Change::Kind::kRunEnded:
      OnRunEndCommitted(aChange);
      break;
    default:
      break;
  }
}

void
Metrics::OnRunEndCommitted(const Change& aChange)
{
  const TaskRef& task = aChange.run.task;
  const JobInfo& job = mWorkload.Find(task.job);
  bool broken = aChange.end != EndKind::kDone &&
                aChange.end != EndKind::kRejected && !IsCancelled(task.job) &&
                mState.FindJob(task.job)->spec.steps[task.step].gang;
  if (!broken || job.deadly) {
    return;
  }
  RunRef gang = aChange.run;
  gang.task.index = 0;
  PriorityOf(job).brokenGangs += mBrokenGangs.insert(gang).second ? 1 : 0;
}

void
Metrics::OnEvent(const LogEvent& aEvent)
{
  auto event = nlohmann::json::parse("{" + aEvent.JsonMembers() + "}");
  const std::string& name = event.at("event").get_ref<const std::string&>();
  if (name != "run_lagging" && name != "run_stalled" &&
      name != "run_preempted") {
    return;
  }
  std::string run = event.at("run").get<std::string>();
  const JobInfo& job = mWorkload.Find(JobId(run.substr(0, run.find('.'))));
  if (job.deadly) {
    return;
  }
  PriorityOutcome& outcome = PriorityOf(job);
  if (name == "run_lagging") {
    ++outcome.tooSlow;
    size_t hash = run.find('#');
    std::string task =
      run.substr(0, job.jobClass->gang ? run.rfind('.', hash) : hash);
    std::set<std::string>& attempts = mTooSlowAttempts[task];
    bool added = attempts.insert(run.substr(hash)).second;
    outcome.repeatedlyTooSlow += added && attempts.size() == 2 ? 1 : 0;
    outcome.mostTooSlow = std::max(outcome.mostTooSlow, attempts.size());
  } else if (name == "run_stalled") {
    ++outcome.stalled;
  } else {
    ++outcome.preempted;
  }
}

void
Metrics::Rate(const JobInfo& aJob, double aValue, bool aInTime)
{
  PriorityOutcome& outcome = PriorityOf(aJob);
  ++outcome.rated;
  outcome.inTime += aInTime ? 1 : 0;
  outcome.value += aValue;
  if (!aJob.flooding) {
    ++outcome.othersRated;
    outcome.othersValue += aValue;
  }
}

void
Metrics::AccountEndedJob(const JobId& aJob, Millis aNow)
{
  JobInfo& info = mWorkload.Find(aJob);
  info.accounted = true;
  JobStatus status = mState.FindJob(aJob)->status;
  bool done = status == JobStatus::kCompleted;
  Counts& counts = mOutcomes.counts;
  ++(done                              ? counts.completed
     : status == JobStatus::kCancelled ? counts.cancelled
                                       : counts.failed);
  if (info.deadly) {
    return;
  }
  const JobClass& jobClass = *info.jobClass;
  ClassOutcome& outcome = mOutcomes.classes[jobClass.name];
  if (status == JobStatus::kCancelled) {
    ++PriorityOf(info).cancelled;
    outcome.maxValue -= jobClass.value * info.value;
    return;
  }
  mOutcomes.soundJobsFailed += status == JobStatus::kFailed ? 1 : 0;
  Millis took = aNow - info.submittedAt;
  if (done) {
    outcome.latencies.push_back(took);
  }
  if (done && took <= info.objective) {
    ++outcome.inTime;
    outcome.earnedValue += jobClass.value * info.value;
    Rate(info, 1, true);
  } else if (done && took <= info.objective * kMaxLatenessFactor) {
    ++outcome.late;
    outcome.earnedValue += jobClass.lateValue * info.value;
    Rate(info, jobClass.lateValue / jobClass.value, false);
  } else {
    ++outcome.withoutValue;
    Rate(info, 0, false);
  }
}

void
Metrics::Finish(Millis aNow)
{
  mOutcomes.counts.returning = mWorkload.Returning();
  for (const auto& [id, job] : mWorkload.Jobs()) {
    if (job.accounted) {
      continue;
    }
    mOutcomes.counts.live += job.accepted ? 1 : 0;
    if (job.deadly) {
      continue;
    }
    ++mOutcomes.classes[job.jobClass->name].withoutValue;
    if (aNow - job.submittedAt > job.objective * kMaxLatenessFactor) {
      Rate(job, 0, false);
    } else {
      ++PriorityOf(job).open;
    }
  }
}

} // namespace limpetwood::fleet::experiment
