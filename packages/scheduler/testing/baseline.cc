// FIFO first-fit, best-fit and backfill that trusts declared run times, as
// simple loops over the same arrivals. They know no guarantees, start gangs at
// once, reject impossible jobs at submission and avoid, for one job, workers
// on which it failed.

#include "scheduler/testing/workload.h"

#include <algorithm>
#include <set>

namespace limpetwood::scheduler::testing {

using model::TopologyScope;

namespace {

constexpr Millis kSample = Seconds(30);
constexpr Millis kFailsAfter = Seconds(2);

struct Waiting
{
  const Arrival* arrival = nullptr;
  std::set<std::size_t> avoided;
};

struct Running
{
  Waiting job;
  std::vector<std::size_t> workers;
  Millis startedAt;
  Millis endsAt;
  Millis declaredEnd;
  bool fails = false;
  std::size_t failedOn = 0;
};

class Replay
{
public:
  Replay(Baseline aKind, const Workload& aWorkload);
  Figures Run();

private:
  using Free = std::vector<uint32_t>;

  std::vector<std::size_t> Place(const Free& aFree, const Waiting& aJob) const;
  void Start(std::size_t aIndex, std::vector<std::size_t> aWorkers);
  void Schedule();
  Millis ShadowTime(const Waiting& aHead) const;
  void EndDue();
  void CancelDue();
  void Sample();
  bool Possible(const model::JobSpec& aSpec) const;
  bool Faulty(std::size_t aWorker) const;

  Baseline mKind;
  const Workload& mWorkload;
  std::size_t mPerRack;
  Free mFree;
  std::vector<Waiting> mQueue;
  std::vector<Running> mRunning;
  std::map<JobId, Millis> mFirstStart;
  Millis mNow;
  double mUsed = 0;
  double mUseful = 0;
  double mSamples = 0;
  Figures mOut;
};

Replay::Replay(Baseline aKind, const Workload& aWorkload)
  : mKind(aKind)
  , mWorkload(aWorkload)
  , mPerRack(aWorkload.planned.document.racks.front().workers)
  , mFree(aWorkload.accelerators / 8, 8)
{
}

bool
Replay::Possible(const model::JobSpec& aSpec) const
{
  return aSpec.members * aSpec.acceleratorsPerMember.Value() <= mPerRack * 8;
}

bool
Replay::Faulty(std::size_t aWorker) const
{
  return std::any_of(
    mWorkload.faulty.begin(), mWorkload.faulty.end(), [&](const Outage& it) {
      return it.worker == aWorker && it.from <= mNow && mNow < it.to;
    });
}

std::vector<std::size_t>
Replay::Place(const Free& aFree, const Waiting& aJob) const
{
  const model::JobSpec& spec = aJob.arrival->spec;
  uint32_t need = spec.acceleratorsPerMember.Value();
  std::vector<std::size_t> best;
  uint32_t bestLeft = UINT32_MAX;
  // All generated jobs fit into one rack.
  for (std::size_t rack = 0; rack < aFree.size() / mPerRack; ++rack) {
    std::vector<std::size_t> order;
    for (std::size_t i = rack * mPerRack; i < (rack + 1) * mPerRack; ++i) {
      if (aFree[i] >= need && aJob.avoided.count(i) == 0) {
        order.push_back(i);
      }
    }
    if (mKind == Baseline::kBestFit) {
      std::stable_sort(order.begin(), order.end(), [&](auto x, auto y) {
        return aFree[x] < aFree[y];
      });
    }
    std::vector<std::size_t> chosen;
    uint32_t left = 0;
    for (std::size_t worker : order) {
      for (uint32_t room = aFree[worker];
           room >= need && chosen.size() < spec.members;
           room -= need) {
        chosen.push_back(worker);
        left += room - need;
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
Replay::Start(std::size_t aIndex, std::vector<std::size_t> aWorkers)
{
  Running run;
  run.job = std::move(mQueue[aIndex]);
  mQueue.erase(mQueue.begin() + static_cast<std::ptrdiff_t>(aIndex));
  const Arrival& arrival = *run.job.arrival;
  mFirstStart.emplace(arrival.job, mNow);
  run.startedAt = mNow;
  run.endsAt = mNow + arrival.truth.runTime;
  run.declaredEnd = mNow + arrival.spec.declaredRunTime;
  for (std::size_t worker : aWorkers) {
    mFree[worker] -= arrival.spec.acceleratorsPerMember.Value();
    if (Faulty(worker) && !run.fails) {
      run.fails = true;
      run.failedOn = worker;
      run.endsAt = mNow + kFailsAfter;
    }
  }
  run.workers = std::move(aWorkers);
  mRunning.push_back(std::move(run));
}

// When the first waiting job fits, if declared run times are right.
Millis
Replay::ShadowTime(const Waiting& aHead) const
{
  std::vector<const Running*> order;
  for (const Running& it : mRunning) {
    order.push_back(&it);
  }
  std::sort(order.begin(), order.end(), [](const auto* x, const auto* y) {
    return x->declaredEnd < y->declaredEnd;
  });
  Free free = mFree;
  for (const Running* it : order) {
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
Replay::Schedule()
{
  Millis shadow = Millis::Max();
  for (std::size_t i = 0; i < mQueue.size();) {
    const Waiting& job = mQueue[i];
    bool late = mKind == Baseline::kBackfill && i > 0 &&
                mNow + job.arrival->spec.declaredRunTime > shadow;
    std::vector<std::size_t> workers;
    if (!late) {
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
Replay::EndDue()
{
  for (std::size_t i = 0; i < mRunning.size();) {
    Running& run = mRunning[i];
    if (run.endsAt > mNow) {
      ++i;
      continue;
    }
    const Arrival& arrival = *run.job.arrival;
    double size = arrival.spec.TotalAccelerators().Value();
    mUsed += size * static_cast<double>((run.endsAt - run.startedAt).Count());
    for (std::size_t worker : run.workers) {
      mFree[worker] += arrival.spec.acceleratorsPerMember.Value();
    }
    if (run.fails) {
      run.job.avoided.insert(run.failedOn);
      mQueue.push_back(std::move(run.job));
    } else {
      mUseful += size * static_cast<double>(arrival.truth.runTime.Count());
      mOut.ended.push_back({ arrival.kind,
                             mFirstStart[arrival.job] - arrival.at,
                             run.endsAt - arrival.at });
    }
    mRunning.erase(mRunning.begin() + static_cast<std::ptrdiff_t>(i));
  }
}

void
Replay::CancelDue()
{
  auto due = [this](const Waiting& it) {
    Millis at = it.arrival->cancelAt;
    return at > Millis() && at <= mNow;
  };
  std::erase_if(mQueue, due);
  std::erase_if(mRunning, [&](const Running& it) {
    if (!due(it.job)) {
      return false;
    }
    for (std::size_t worker : it.workers) {
      mFree[worker] += it.job.arrival->spec.acceleratorsPerMember.Value();
    }
    mUsed += it.job.arrival->spec.TotalAccelerators().Value() *
             static_cast<double>((mNow - it.startedAt).Count());
    return true;
  });
}

void
Replay::Sample()
{
  std::vector<std::vector<uint32_t>> racks;
  double free = 0;
  for (std::size_t i = 0; i < mFree.size(); ++i) {
    if (i % mPerRack == 0) {
      racks.emplace_back();
    }
    racks.back().push_back(mFree[i]);
    free += mFree[i];
  }
  model::JobSpec largest;
  largest.members = 4;
  largest.acceleratorsPerMember = Accelerators(8);
  largest.topologyScope = TopologyScope::kRack;
  for (const Waiting& it : mQueue) {
    if (IsLarger(it.arrival->spec, largest)) {
      largest = it.arrival->spec;
    }
  }
  mOut.fragmentation += FragmentedShare(racks, largest);
  mOut.utilization += 1 - free / mWorkload.accelerators;
  mSamples += 1;
}

Figures
Replay::Run()
{
  std::size_t next = 0;
  Millis sample;
  const std::vector<Arrival>& arrivals = mWorkload.arrivals;
  while (next < arrivals.size() || !mQueue.empty() || !mRunning.empty()) {
    mNow += Seconds(1);
    EndDue();
    CancelDue();
    for (; next < arrivals.size() && arrivals[next].at <= mNow; ++next) {
      if (Possible(arrivals[next].spec)) {
        mQueue.push_back({ &arrivals[next], {} });
      }
    }
    Schedule();
    if (mNow >= sample && mNow <= mWorkload.window) {
      sample = mNow + kSample;
      Sample();
    }
    if (mNow > mWorkload.window * 4) {
      break;
    }
  }
  mOut.drain = mNow - mWorkload.window;
  mOut.fragmentation /= mSamples;
  mOut.utilization /= mSamples;
  mOut.lostWork = mUsed > 0 ? 1 - mUseful / mUsed : 0;
  Millis bound = ReclaimBound({});
  for (const Arrival& it : arrivals) {
    if (it.kind == "reclaim") {
      auto found = mFirstStart.find(it.job);
      Millis wait =
        found == mFirstStart.end() ? Millis::Max() : found->second - it.at;
      mOut.reclaims.push_back(wait);
      mOut.reclaimsMissed += wait > bound ? 1 : 0;
    }
  }
  return std::move(mOut);
}

} // namespace

Figures
RunBaseline(Baseline aKind, const Workload& aWorkload)
{
  return Replay(aKind, aWorkload).Run();
}

} // namespace limpetwood::scheduler::testing
