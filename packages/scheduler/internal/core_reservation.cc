// Prevents starvation of large jobs: reserves capacity for the job that has
// waited longest and relocates checkpointable work that blocks it.
//
// Other jobs are backfilled on reserved workers only if they are expected to
// end before the reserving job could start. The expectation is based on the run
// time history of the workspace. A backfilled job that overruns it is
// preempted at the next update of the reservations, so a wrong declaration
// delays the reserving job by about `kReservationUpdateInterval` and the time
// of a checkpoint.

#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

// Minimum run time of a job before it may be relocated.
constexpr Millis kRelocationCooldown = Minutes(3);
// Upper bound on the saved waiting time that counts towards the benefit of a
// relocation.
constexpr Millis kMaxCountedWait = Hours(1);
// Interval at which reservations and relocations are re-evaluated.
constexpr Millis kReservationUpdateInterval = Seconds(5);

double
SizeOf(const Job& aJob)
{
  return aJob.spec.TotalAccelerators().Value();
}

} // namespace

Millis
Core::ExpectedEnd(const Job& aJob, double aQuantile) const
{
  return aJob.startedAt + mRunTimeHistory.Predict(aJob.workspace,
                                                  aJob.spec.declaredRunTime,
                                                  mNow - aJob.startedAt,
                                                  aQuantile);
}

JobSlot
Core::OldestBlockedJob() const
{
  JobSlot best = kNoIndex;
  for (JobSlot slot : mQueue.Slots()) {
    const Job& job = mJobs[slot];
    bool reserved =
      std::any_of(mReservations.begin(),
                  mReservations.end(),
                  [&](const Reservation& it) { return it.job == slot; });
    bool waits = job.need.accelerators > 0 && job.notBefore <= mNow &&
                 mNow - job.submittedAt >= mOptions.reservationDelay;
    if (!reserved && waits && QuotaAllows(job) &&
        (best == kNoIndex || job.submittedAt < mJobs[best].submittedAt)) {
      best = slot;
    }
  }
  return best;
}

// Estimates when the gang could start in a domain if no other job started
// there, and which workers it would use.
Core::Reservation
Core::EstimateReservation(JobSlot aSlot,
                          const std::vector<WorkerIndex>& aDomain) const
{
  struct TaskEnd
  {
    Millis at;
    std::size_t worker = 0;
    MemberResources need;
  };
  struct Capacity
  {
    int64_t accelerators = 0;
    int64_t cores = 0;
    int64_t memoryMb = 0;
    uint32_t fits = 0;
  };
  const Job& job = mJobs[aSlot];
  std::vector<TaskEnd> ends;
  std::vector<Capacity> capacities(aDomain.size());
  uint64_t sumOfFits = 0;
  uint32_t mostOnWorker = 0;
  auto update = [&](std::size_t n) {
    Capacity& capacity = capacities[n];
    sumOfFits -= capacity.fits;
    capacity.fits = CountFits(
      capacity.accelerators, capacity.cores, capacity.memoryMb, job.need);
    sumOfFits += capacity.fits;
    mostOnWorker = std::max(mostOnWorker, capacity.fits);
  };
  for (std::size_t i = 0; i < aDomain.size(); ++i) {
    const Worker& worker = mWorkers.At(aDomain[i]);
    capacities[i] = {
      worker.FreeAccelerators(), worker.FreeCores(), worker.FreeMemoryMb(), 0
    };
    update(i);
    for (const TaskRef& task : worker.tasks) {
      const Job& other = mJobs[task.job];
      bool running = other.phase == Phase::kRunning;
      // The median of the expected end.
      ends.push_back(
        { running ? ExpectedEnd(other, 0.5) : mNow, i, other.need });
    }
  }
  std::sort(ends.begin(), ends.end(), [](const TaskEnd& x, const TaskEnd& y) {
    return x.at < y.at;
  });
  bool single = job.spec.topologyScope == model::TopologyScope::kWorker;
  auto isReady = [&] {
    return (single ? mostOnWorker : sumOfFits) >= job.spec.members;
  };
  Reservation reservation;
  reservation.job = aSlot;
  reservation.expectedStart = mNow;
  for (auto it = ends.begin(); !isReady() && it != ends.end(); ++it) {
    capacities[it->worker].accelerators += it->need.accelerators;
    capacities[it->worker].cores += it->need.cores;
    capacities[it->worker].memoryMb += static_cast<int64_t>(it->need.memoryMb);
    reservation.expectedStart = std::max(reservation.expectedStart, it->at);
    update(it->worker);
  }
  if (!isReady()) {
    reservation.expectedStart = Millis::Max();
    return reservation;
  }
  uint64_t covered = 0;
  for (std::size_t i = 0; i < aDomain.size() && covered < job.spec.members;
       ++i) {
    bool enough = !single || capacities[i].fits >= job.spec.members;
    if (capacities[i].fits > 0 && enough) {
      reservation.workers.push_back(aDomain[i]);
      covered += capacities[i].fits;
    }
  }
  return reservation;
}

std::optional<Core::Reservation>
Core::FindReservation(JobSlot aSlot) const
{
  const Job& job = mJobs[aSlot];
  auto limit = [&](WorkerIndex it) {
    bool reserved = it < mReservationOfWorker.size() &&
                    mReservationOfWorker[it] != 0 &&
                    mReservations[mReservationOfWorker[it] - 1U].job != aSlot;
    return reserved ? 0 : mWorkers.At(it).accelerators;
  };
  std::optional<Reservation> best;
  for (const auto& domain : DomainsOf(job, job.spec.topologyScope, limit)) {
    Reservation reservation = EstimateReservation(aSlot, domain);
    if (!reservation.workers.empty() &&
        (!best || reservation.expectedStart < best->expectedStart)) {
      best = std::move(reservation);
    }
  }
  return best;
}

void
Core::UpdateReservations()
{
  std::erase_if(mReservations, [this](const Reservation& it) {
    return mJobs[it.job].phase != Phase::kQueued || !mJobs[it.job].occupied;
  });
  MarkReservedWorkers();
  if (mNow >= mNextReservationUpdate) {
    mNextReservationUpdate = mNow + kReservationUpdateInterval;
    for (Reservation& reservation : mReservations) {
      bool started = mNow >= reservation.expectedStart &&
                     TryPreemptOverdueBackfill(reservation);
      started = started || TryRelocation(reservation);
      std::optional<Reservation> updated;
      if (!started && (updated = FindReservation(reservation.job))) {
        // The expected start is postponed only if the set of workers changes
        // or the start is overdue, so that backfilled jobs cannot delay it.
        if (updated->workers == reservation.workers &&
            mNow < reservation.expectedStart) {
          updated->expectedStart =
            std::min(updated->expectedStart, reservation.expectedStart);
        }
        reservation = std::move(*updated);
      }
    }
    JobSlot oldest = kNoIndex;
    if (mReservations.size() < mZones.size() &&
        (oldest = OldestBlockedJob()) != kNoIndex) {
      if (std::optional<Reservation> reservation = FindReservation(oldest)) {
        mReservations.push_back(std::move(*reservation));
      }
    }
  }
  MarkReservedWorkers();
}

void
Core::MarkReservedWorkers()
{
  mReservationOfWorker.assign(mWorkers.Size(), 0);
  for (std::size_t i = 0; i < mReservations.size(); ++i) {
    for (WorkerIndex it : mReservations[i].workers) {
      mReservationOfWorker[it] = static_cast<uint8_t>(i + 1);
    }
  }
}

bool
Core::PreemptAndBegin(
  JobSlot aSlot,
  const std::vector<std::vector<WorkerIndex>>& aDomains,
  const std::function<std::optional<double>(const Job&)>& aCost,
  const std::function<bool(const PreemptionPlan&)>& aAccept,
  CounterKind aCounter)
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
  mCounters.Add(aCounter, best->victims.size());
  for (JobSlot it : best->victims) {
    mJobs[it].relocating = aCounter == CounterKind::kPreemptedForRelocation;
  }
  BeginAttempt(aSlot, best->workers, std::move(best->victims), false);
  return true;
}

// Preempts backfilled work that runs past the reservation's expected start.
bool
Core::TryPreemptOverdueBackfill(const Reservation& aReservation)
{
  auto cost = [&](const Job& it) -> std::optional<double> {
    bool preemptible = it.backfilled || it.phase != Phase::kRunning;
    return preemptible ? VictimCost(it) : std::nullopt;
  };
  return PreemptAndBegin(
    aReservation.job,
    { aReservation.workers },
    cost,
    [](const PreemptionPlan&) { return true; },
    CounterKind::kPreemptedForReservation);
}

// Relocates checkpointable work if the waiting time saved is worth more than
// the work lost.
bool
Core::TryRelocation(const Reservation& aReservation)
{
  const Job& job = mJobs[aReservation.job];
  if (mNow - job.submittedAt < mOptions.relocationDelay ||
      job.spec.members == 0) {
    return false;
  }
  // Only checkpointable jobs of at most half the size of the blocked job are
  // relocated.
  auto cost = [&](const Job& it) -> std::optional<double> {
    bool running = it.phase == Phase::kRunning;
    if (running &&
        (!it.spec.checkpointable || mNow - it.startedAt < kRelocationCooldown ||
         2 * SizeOf(it) > SizeOf(job))) {
      return std::nullopt;
    }
    return VictimCost(it);
  };
  Millis saved = std::min(aReservation.expectedStart - mNow, kMaxCountedWait);
  double gain = SizeOf(job) * static_cast<double>(saved.Count());
  auto accept = [&](const PreemptionPlan& it) {
    // The policy weights balance the shorter wait of the large job
    // (fragmentation) against the lost work (completion time).
    if (gain * mWeights.fragmentation <= it.cost * mWeights.completionTime) {
      return false;
    }
    // The relocated work must fit into free capacity elsewhere.
    std::vector<bool> inside(mWorkers.Size());
    for (WorkerIndex worker : it.workers) {
      inside[worker] = true;
    }
    double elsewhere = 0;
    for (WorkerIndex n = 0; n < mWorkers.Size(); ++n) {
      bool usable =
        mWorkers.At(n).IsUsable() && !inside[n] && mReservationOfWorker[n] == 0;
      elsewhere += usable ? mWorkers.At(n).FreeAccelerators() : 0;
    }
    for (JobSlot victim : it.victims) {
      elsewhere -= SizeOf(mJobs[victim]);
    }
    return elsewhere >= 0;
  };
  auto limit = [&](WorkerIndex it) { return mWorkers.At(it).accelerators; };
  return PreemptAndBegin(aReservation.job,
                         DomainsOf(job, job.spec.topologyScope, limit),
                         cost,
                         accept,
                         CounterKind::kPreemptedForRelocation);
}

} // namespace limpetwood::scheduler
