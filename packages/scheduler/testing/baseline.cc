// Baseline policies: FIFO first-fit, best-fit, and backfill based on declared
// run times. They replay the same arrivals without guarantees, start gangs at
// once, reject impossible jobs at submission, and keep a job off workers on
// which it failed.

#include "scheduler/testing/workload.h"

#include <algorithm>
#include <set>

namespace limpetwood::scheduler::testing {

using model::TopologyScope;

namespace {

constexpr Millis kSampleInterval = Seconds(30);
// Time until a run on a faulty worker fails.
constexpr Millis kFaultyRunTime = Seconds(2);

struct QueuedJob
{
  const Arrival* arrival = nullptr;
  // Workers on which the job has failed.
  std::set<std::size_t> avoided;
};

struct RunningJob
{
  QueuedJob job;
  std::vector<std::size_t> workers;
  Millis startedAt;
  Millis endsAt;
  Millis declaredEnd;
  bool fails = false;
  std::size_t failedWorker = 0;
};

class BaselineSimulation
{
public:
  BaselineSimulation(Baseline aKind, const Workload& aWorkload);
  PolicyResult Run();

private:
  using FreeByWorker = std::vector<uint32_t>;

  std::vector<std::size_t> Place(const FreeByWorker& aFree,
                                 const QueuedJob& aJob) const;
  void Start(std::size_t aIndex, std::vector<std::size_t> aWorkers);
  void Schedule();
  Millis ShadowTime(const QueuedJob& aHead) const;
  void EndDue();
  void CancelDue();
  void Sample();
  bool FitsRack(const model::JobSpec& aSpec) const;
  bool Faulty(std::size_t aWorker) const;

  Baseline mKind;
  const Workload& mWorkload;
  std::size_t mWorkersPerRack;
  FreeByWorker mFree;
  std::vector<QueuedJob> mQueue;
  std::vector<RunningJob> mRunning;
  std::map<JobId, Millis> mFirstStart;
  Millis mNow;
  double mUsedTime = 0;
  double mUsefulTime = 0;
  double mSamples = 0;
  PolicyResult mResult;
};

BaselineSimulation::BaselineSimulation(Baseline aKind,
                                       const Workload& aWorkload)
  : mKind(aKind)
  , mWorkload(aWorkload)
  , mWorkersPerRack(aWorkload.planned.document.racks.front().workers)
  // Each worker has 8 accelerators, see `MakeWorkload`.
  , mFree(aWorkload.accelerators / 8, 8)
{
}

bool
BaselineSimulation::FitsRack(const model::JobSpec& aSpec) const
{
  return aSpec.members * aSpec.acceleratorsPerMember.Value() <=
         mWorkersPerRack * 8;
}

bool
BaselineSimulation::Faulty(std::size_t aWorker) const
{
  return std::any_of(mWorkload.faulty.begin(),
                     mWorkload.faulty.end(),
                     [&](const FaultyPeriod& it) {
                       return it.worker == aWorker && it.from <= mNow &&
                              mNow < it.to;
                     });
}

std::vector<std::size_t>
BaselineSimulation::Place(const FreeByWorker& aFree,
                          const QueuedJob& aJob) const
{
  const model::JobSpec& spec = aJob.arrival->spec;
  uint32_t need = spec.acceleratorsPerMember.Value();
  std::vector<std::size_t> best;
  uint32_t bestLeft = UINT32_MAX;
  // `Run` has dropped jobs that do not fit into one rack.
  for (std::size_t rack = 0; rack < aFree.size() / mWorkersPerRack; ++rack) {
    std::vector<std::size_t> candidates;
    for (std::size_t i = rack * mWorkersPerRack;
         i < (rack + 1) * mWorkersPerRack;
         ++i) {
      if (aFree[i] >= need && aJob.avoided.count(i) == 0) {
        candidates.push_back(i);
      }
    }
    if (mKind == Baseline::kBestFit) {
      std::stable_sort(candidates.begin(),
                       candidates.end(),
                       [&](auto x, auto y) { return aFree[x] < aFree[y]; });
    }
    std::vector<std::size_t> chosen;
    uint32_t left = 0;
    for (std::size_t worker : candidates) {
      for (uint32_t available = aFree[worker];
           available >= need && chosen.size() < spec.members;
           available -= need) {
        chosen.push_back(worker);
        left += available - need;
      }
      if (spec.topologyScope == TopologyScope::kWorker &&
          chosen.size() < spec.members) {
        chosen.clear();
      }
    }
    if (chosen.size() < spec.members) {
      continue;
    }
    if (mKind != Baseline::kBestFit) {
      return chosen;
    }
    if (left < bestLeft) {
      bestLeft = left;
      best = std::move(chosen);
    }
  }
  return best;
}

void
BaselineSimulation::Start(std::size_t aIndex, std::vector<std::size_t> aWorkers)
{
  RunningJob run;
  run.job = std::move(mQueue[aIndex]);
  mQueue.erase(mQueue.begin() + static_cast<std::ptrdiff_t>(aIndex));
  const Arrival& arrival = *run.job.arrival;
  mFirstStart.emplace(arrival.job, mNow);
  run.startedAt = mNow;
  run.endsAt = mNow + arrival.behavior.runTime;
  run.declaredEnd = mNow + arrival.spec.declaredRunTime;
  for (std::size_t worker : aWorkers) {
    mFree[worker] -= arrival.spec.acceleratorsPerMember.Value();
    if (Faulty(worker) && !run.fails) {
      run.fails = true;
      run.failedWorker = worker;
      run.endsAt = mNow + kFaultyRunTime;
    }
  }
  run.workers = std::move(aWorkers);
  mRunning.push_back(std::move(run));
}

// Returns when the first waiting job fits if all declared run times are right.
Millis
BaselineSimulation::ShadowTime(const QueuedJob& aHead) const
{
  std::vector<const RunningJob*> order;
  for (const RunningJob& it : mRunning) {
    order.push_back(&it);
  }
  std::sort(order.begin(), order.end(), [](const auto* x, const auto* y) {
    return x->declaredEnd < y->declaredEnd;
  });
  FreeByWorker free = mFree;
  for (const RunningJob* it : order) {
    for (std::size_t worker : it->workers) {
      free[worker] += it->job.arrival->spec.acceleratorsPerMember.Value();
    }
    if (!Place(free, aHead).empty()) {
      return std::max(it->declaredEnd, mNow);
    }
  }
  return Millis::Max();
}

void
BaselineSimulation::Schedule()
{
  Millis shadow = Millis::Max();
  for (std::size_t i = 0; i < mQueue.size();) {
    const QueuedJob& job = mQueue[i];
    bool delaysFirstJob = mKind == Baseline::kBackfill && i > 0 &&
                          mNow + job.arrival->spec.declaredRunTime > shadow;
    std::vector<std::size_t> workers;
    if (!delaysFirstJob) {
      workers = Place(mFree, job);
    }
    if (!workers.empty()) {
      Start(i, std::move(workers));
      continue;
    }
    if (mKind == Baseline::kFirstFit) {
      return;
    }
    if (i == 0 && mKind == Baseline::kBackfill) {
      shadow = ShadowTime(job);
    }
    ++i;
  }
}

void
BaselineSimulation::EndDue()
{
  for (std::size_t i = 0; i < mRunning.size();) {
    RunningJob& run = mRunning[i];
    if (run.endsAt > mNow) {
      ++i;
      continue;
    }
    const Arrival& arrival = *run.job.arrival;
    double size = arrival.spec.TotalAccelerators().Value();
    mUsedTime +=
      size * static_cast<double>((run.endsAt - run.startedAt).Count());
    for (std::size_t worker : run.workers) {
      mFree[worker] += arrival.spec.acceleratorsPerMember.Value();
    }
    if (run.fails) {
      run.job.avoided.insert(run.failedWorker);
      mQueue.push_back(std::move(run.job));
    } else {
      mUsefulTime +=
        size * static_cast<double>(arrival.behavior.runTime.Count());
      mResult.succeededJobs.push_back({ arrival.kind,
                                        mFirstStart[arrival.job] - arrival.at,
                                        run.endsAt - arrival.at });
    }
    mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void
BaselineSimulation::CancelDue()
{
  auto due = [this](const QueuedJob& it) {
    Millis at = it.arrival->cancelAt;
    return at > Millis() && at <= mNow;
  };
  std::erase_if(mQueue, due);
  std::erase_if(mRunning, [&](const RunningJob& it) {
    if (!due(it.job)) {
      return false;
    }
    for (std::size_t worker : it.workers) {
      mFree[worker] += it.job.arrival->spec.acceleratorsPerMember.Value();
    }
    mUsedTime += it.job.arrival->spec.TotalAccelerators().Value() *
                 static_cast<double>((mNow - it.startedAt).Count());
    return true;
  });
}

void
BaselineSimulation::Sample()
{
  std::vector<std::vector<uint32_t>> racks;
  double free = 0;
  for (std::size_t i = 0; i < mFree.size(); ++i) {
    if (i % mWorkersPerRack == 0) {
      racks.emplace_back();
    }
    racks.back().push_back(mFree[i]);
    free += mFree[i];
  }
  model::JobSpec largest;
  largest.members = 4;
  largest.acceleratorsPerMember = Accelerators(8);
  largest.topologyScope = TopologyScope::kRack;
  for (const QueuedJob& it : mQueue) {
    if (IsLarger(it.arrival->spec, largest)) {
      largest = it.arrival->spec;
    }
  }
  mResult.fragmentation += FragmentedShare(racks, largest);
  mResult.utilization += 1 - free / mWorkload.accelerators;
  mSamples += 1;
}

PolicyResult
BaselineSimulation::Run()
{
  std::size_t next = 0;
  Millis sample;
  const std::vector<Arrival>& arrivals = mWorkload.arrivals;
  while (next < arrivals.size() || !mQueue.empty() || !mRunning.empty()) {
    mNow += Seconds(1);
    EndDue();
    CancelDue();
    for (; next < arrivals.size() && arrivals[next].at <= mNow; ++next) {
      if (FitsRack(arrivals[next].spec)) {
        mQueue.push_back({ &arrivals[next], {} });
      }
    }
    Schedule();
    if (mNow >= sample && mNow <= mWorkload.window) {
      sample = mNow + kSampleInterval;
      Sample();
    }
    // Gives up on jobs that have not ended by then.
    if (mNow > mWorkload.window * 4) {
      break;
    }
  }
  mResult.drainTime = mNow - mWorkload.window;
  mResult.fragmentation /= mSamples;
  mResult.utilization /= mSamples;
  mResult.lostWorkShare = mUsedTime > 0 ? 1 - mUsefulTime / mUsedTime : 0;
  Millis bound = ReclaimBound({});
  for (const Arrival& it : arrivals) {
    if (it.kind == "reclaim") {
      auto found = mFirstStart.find(it.job);
      Millis wait =
        found == mFirstStart.end() ? Millis::Max() : found->second - it.at;
      mResult.reclaimWaits.push_back(wait);
      mResult.missedReclaims += wait > bound ? 1 : 0;
    }
  }
  return std::move(mResult);
}

} // namespace

PolicyResult
RunBaseline(Baseline aKind, const Workload& aWorkload)
{
  return BaselineSimulation(aKind, aWorkload).Run();
}

} // namespace limpetwood::scheduler::testing
