// Keeps large jobs from starving: capacity is held for the job that has waited
// longest, and work that can be checkpointed is moved out of its way.
//
// Other jobs are backfilled on held workers only if they are expected to end
// before the held job could start. The expectation comes from the workspace's
// own history. A backfilled job that outlasts it is preempted, so a false
// declaration delays the held job by no more than a checkpoint.

#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

// Work that was started or moved less than this ago is not moved.
constexpr Millis kMoveAgain = Minutes(3);
// The gain of a move counts at most this much saved waiting time.
constexpr Millis kMaxGain = Hours(1);
// Holds and moves are looked at again after this time.
constexpr Millis kHoldPeriod = Seconds(5);

double
SizeOf(const Job& aJob)
{
  return aJob.spec.TotalAccelerators().Value();
}

} // namespace

Millis
Core::ExpectedEnd(const Job& aJob, double aQuantile) const
{
  return aJob.startedAt + mHistory.Predict(aJob.workspace,
                                           aJob.spec.declaredRunTime,
                                           mNow - aJob.startedAt,
                                           aQuantile);
}

JobSlot
Core::OldestBlocked() const
{
  JobSlot best = kNone;
  for (JobSlot slot : mQueue.Slots()) {
    const Job& job = mJobs[slot];
    bool held = std::any_of(mHolds.begin(), mHolds.end(), [&](const Hold& it) {
      return it.job == slot;
    });
    bool waits = job.need.accelerators > 0 && job.notBefore <= mNow &&
                 mNow - job.submittedAt >= mOptions.reserveAfter;
    if (!held && waits && QuotaAllows(job) &&
        (best == kNone || job.submittedAt < mJobs[best].submittedAt)) {
      best = slot;
    }
  }
  return best;
}

// When the gang could start in a domain if nothing else came, and the workers
// that it would use.
Core::Hold
Core::ExpectReady(JobSlot aSlot, const std::vector<WorkerIndex>& aDomain) const
{
  struct End
  {
    Millis at;
    std::size_t worker = 0;
    Need need;
  };
  struct Room
  {
    int64_t accelerators = 0;
    int64_t cores = 0;
    int64_t memory = 0;
    uint32_t fits = 0;
  };
  const Job& job = mJobs[aSlot];
  std::vector<End> ends;
  std::vector<Room> rooms(aDomain.size());
  uint64_t sum = 0;
  uint32_t most = 0;
  auto update = [&](std::size_t n) {
    Room& room = rooms[n];
    sum -= room.fits;
    room.fits = CountFits(room.accelerators, room.cores, room.memory, job.need);
    sum += room.fits;
    most = std::max(most, room.fits);
  };
  for (std::size_t i = 0; i < aDomain.size(); ++i) {
    const Worker& worker = mWorkers.At(aDomain[i]);
    rooms[i] = {
      worker.FreeAccelerators(), worker.FreeCores(), worker.FreeMemory(), 0
    };
    update(i);
    for (const TaskRef& task : worker.tasks) {
      const Job& other = mJobs[task.job];
      bool running = other.phase == Phase::kRunning;
      ends.push_back(
        { running ? ExpectedEnd(other, 0.5) : mNow, i, other.need });
    }
  }
  std::sort(ends.begin(), ends.end(), [](const End& x, const End& y) {
    return x.at < y.at;
  });
  bool single = job.spec.topologyScope == model::TopologyScope::kWorker;
  auto ready = [&] { return (single ? most : sum) >= job.spec.members; };
  Hold hold;
  hold.job = aSlot;
  hold.readyAt = mNow;
  for (auto it = ends.begin(); !ready() && it != ends.end(); ++it) {
    rooms[it->worker].accelerators += it->need.accelerators;
    rooms[it->worker].cores += it->need.cores;
    rooms[it->worker].memory += static_cast<int64_t>(it->need.memoryMb);
    hold.readyAt = std::max(hold.readyAt, it->at);
    update(it->worker);
  }
  if (!ready()) {
    hold.readyAt = Millis::Max();
    return hold;
  }
  uint64_t covered = 0;
  for (std::size_t i = 0; i < aDomain.size() && covered < job.spec.members;
       ++i) {
    bool enough = !single || rooms[i].fits >= job.spec.members;
    if (rooms[i].fits > 0 && enough) {
      hold.workers.push_back(aDomain[i]);
      covered += rooms[i].fits;
    }
  }
  return hold;
}

std::optional<Core::Hold>
Core::FindHold(JobSlot aSlot) const
{
  const Job& job = mJobs[aSlot];
  auto limit = [&](WorkerIndex it) {
    bool held = it < mHeld.size() && mHeld[it] != 0 &&
                mHolds[mHeld[it] - 1U].job != aSlot;
    return held ? 0 : mWorkers.At(it).accelerators;
  };
  std::optional<Hold> best;
  for (const auto& domain : DomainsOf(job, job.spec.topologyScope, limit)) {
    Hold hold = ExpectReady(aSlot, domain);
    if (!hold.workers.empty() && (!best || hold.readyAt < best->readyAt)) {
      best = std::move(hold);
    }
  }
  return best;
}

void
Core::UpdateHolds()
{
  std::erase_if(mHolds, [this](const Hold& it) {
    return mJobs[it.job].phase != Phase::kQueued || !mJobs[it.job].inUse;
  });
  MarkHeld();
  if (mNow >= mNextHolds) {
    mNextHolds = mNow + kHoldPeriod;
    for (Hold& hold : mHolds) {
      bool started = mNow >= hold.readyAt && TryOverrun(hold);
      started = started || TryMoves(hold);
      std::optional<Hold> again;
      if (!started && (again = FindHold(hold.job))) {
        // The date only moves to later if the domain changes, so that
        // backfilled jobs do not push it away.
        if (again->workers == hold.workers && mNow < hold.readyAt) {
          again->readyAt = std::min(again->readyAt, hold.readyAt);
        }
        hold = std::move(*again);
      }
    }
    JobSlot oldest = kNone;
    if (mHolds.size() < mZones.size() && (oldest = OldestBlocked()) != kNone) {
      if (std::optional<Hold> hold = FindHold(oldest)) {
        mHolds.push_back(std::move(*hold));
      }
    }
  }
  MarkHeld();
}

void
Core::MarkHeld()
{
  mHeld.assign(mWorkers.Size(), 0);
  for (std::size_t i = 0; i < mHolds.size(); ++i) {
    for (WorkerIndex it : mHolds[i].workers) {
      mHeld[it] = static_cast<uint8_t>(i + 1);
    }
  }
}

bool
Core::PreemptInto(JobSlot aSlot,
                  const std::vector<std::vector<WorkerIndex>>& aDomains,
                  const std::function<std::optional<double>(const Job&)>& aCost,
                  const std::function<bool(const PreemptionPlan&)>& aAccept,
                  CounterKind aCount)
{
  const Job& job = mJobs[aSlot];
  std::optional<PreemptionPlan> best;
  for (const auto& domain : aDomains) {
    auto limit = [&](WorkerIndex it) { return mWorkers.At(it).accelerators; };
    auto plan = PlanPreemption(
      mWorkers, mJobs, { job.need, job.spec.members, domain, limit, aCost });
    if (plan && (!best || plan->cost < best->cost)) {
      best = std::move(plan);
    }
  }
  if (!best || !aAccept(*best)) {
    return false;
  }
  mCounters.Add(aCount, best->victims.size());
  for (JobSlot it : best->victims) {
    mJobs[it].moved = aCount == CounterKind::kPreemptedForMove;
  }
  Launch(aSlot, best->workers, std::move(best->victims), false);
  return true;
}

// Preempts backfilled work that has outlasted its expected end.
bool
Core::TryOverrun(const Hold& aHold)
{
  auto cost = [&](const Job& it) -> std::optional<double> {
    bool over = it.backfilled || it.phase != Phase::kRunning;
    return over ? VictimCost(it) : std::nullopt;
  };
  return PreemptInto(
    aHold.job,
    { aHold.workers },
    cost,
    [](const PreemptionPlan&) { return true; },
    CounterKind::kPreemptedForReservation);
}

// Moves checkpointable work elsewhere if the waiting time that this saves is
// worth more than the work lost by it.
bool
Core::TryMoves(const Hold& aHold)
{
  const Job& job = mJobs[aHold.job];
  if (mNow - job.submittedAt < mOptions.moveAfter || job.spec.members == 0) {
    return false;
  }
  auto cost = [&](const Job& it) -> std::optional<double> {
    bool running = it.phase == Phase::kRunning;
    if (running &&
        (!it.spec.checkpointable || mNow - it.startedAt < kMoveAgain ||
         2 * SizeOf(it) > SizeOf(job))) {
      return std::nullopt;
    }
    return VictimCost(it);
  };
  Millis saved = std::min(aHold.readyAt - mNow, kMaxGain);
  double gain = SizeOf(job) * static_cast<double>(saved.Count());
  auto accept = [&](const PreemptionPlan& it) {
    if (gain * mWeights.fragmentation <= it.cost * mWeights.completionTime) {
      return false;
    }
    // The moved work must find free capacity elsewhere.
    std::vector<bool> inside(mWorkers.Size());
    for (WorkerIndex worker : it.workers) {
      inside[worker] = true;
    }
    double elsewhere = 0;
    for (WorkerIndex n = 0; n < mWorkers.Size(); ++n) {
      bool usable = mWorkers.At(n).Usable() && !inside[n] && mHeld[n] == 0;
      elsewhere += usable ? mWorkers.At(n).FreeAccelerators() : 0;
    }
    for (JobSlot victim : it.victims) {
      elsewhere -= SizeOf(mJobs[victim]);
    }
    return elsewhere >= 0;
  };
  auto limit = [&](WorkerIndex it) { return mWorkers.At(it).accelerators; };
  return PreemptInto(aHold.job,
                     DomainsOf(job, job.spec.topologyScope, limit),
                     cost,
                     accept,
                     CounterKind::kPreemptedForMove);
}

} // namespace limpetwood::scheduler
