// The scheduling pass: which waiting jobs start where.

#include "scheduler/internal/core.h"

#include <algorithm>
#include <set>

namespace limpetwood::scheduler {

namespace {

// Passes are at least this far apart, so that a burst of events costs one pass.
// Urgent jobs do not wait for it.
constexpr Millis kPassInterval{ 20 };
// While jobs wait, holds and moves are looked at again after this time.
constexpr Millis kPassPeriod = Seconds(5);
// Candidates considered by one pass and its continuations.
constexpr std::size_t kCandidates = 512;
// A job expected to run longer than this counts as long.
constexpr Millis kLongJob = Minutes(30);
// A job avoids workers on which it failed, for this long after it may start.
constexpr Millis kAvoidFor = Minutes(1);

} // namespace

void
Core::PassIfDue()
{
  bool due = mNow >= mNextPass || mUrgent;
  if ((mDirty || mMore) && due) {
    Pass();
  }
}

std::vector<WorkspaceLoad>
Core::Loads() const
{
  std::vector<WorkspaceLoad> loads(mWorkspaces.size());
  for (uint32_t i = 0; i < loads.size(); ++i) {
    uint32_t guaranteed = mGuarantees.UsedBy(i);
    loads[i].share = mWorkspaces[i].share;
    loads[i].above = static_cast<double>(mWorkspaces[i].used - guaranteed);
    loads[i].guaranteeLeft =
      mGuarantees.Total(i) - std::min(guaranteed, mGuarantees.Total(i));
  }
  return loads;
}

void
Core::Pass()
{
  if (mDirty) {
    mCursor = 0;
  }
  mDirty = false;
  mUrgent = false;
  mMore = false;
  mNextPass = mNow + kPassInterval;
  if (mRepair) {
    RepairGuarantees();
  }
  if (!mConfigured || mQueue.size() == 0) {
    UpdateHolds();
    return;
  }
  std::vector<JobSlot> order =
    mQueue.Order(mJobs, Loads(), mHistory, mWeights, mNow, kCandidates);
  // A request that found no place is not tried again for the same workspace in
  // this pass, nor is one of the same kind that needs more.
  using Tried = std::tuple<uint32_t, uint32_t, Need, int, bool>;
  std::set<Tried> tried;
  uint32_t searches = 0;
  for (; mCursor < order.size(); ++mCursor) {
    const Job& job = mJobs[order[mCursor]];
    bool urgent = job.spec.priority == model::Priority::kUrgent;
    Tried key(job.workspace,
              job.spec.members,
              job.need,
              static_cast<int>(job.spec.topologyScope),
              urgent);
    if (job.failedOn.empty() && tried.count(key) != 0) {
      continue;
    }
    if (searches >= mOptions.jobsPerPass) {
      mMore = true;
      break;
    }
    ++searches;
    if (!TryStart(order[mCursor])) {
      tried.insert(key);
    }
  }
  UpdateHolds();
  // Starting a job only takes capacity, so the pass need not run again because
  // of it.
  if (mQueue.size() > 0) {
    SetTimer(mNow + kPassPeriod, TimerKind::kPass);
  }
}

bool
Core::QuotaAllows(const Job& aJob) const
{
  const WorkspaceState& workspace = mWorkspaces[aJob.workspace];
  return workspace.used + aJob.spec.TotalAccelerators().Value() <=
         workspace.quota;
}

bool
Core::IsLong(const Job& aJob) const
{
  return mHistory.Predict(
           aJob.workspace, aJob.spec.declaredRunTime, Millis(), 0.5) > kLongJob;
}

PlacementRequest
Core::RequestFor(const Job& aJob) const
{
  return {
    aJob.need, aJob.spec.members, aJob.spec.topologyScope, IsLong(aJob)
  };
}

bool
Core::AvoidsWorker(const Job& aJob, WorkerIndex aWorker) const
{
  return !aJob.failedOn.empty() && mNow < aJob.notBefore + kAvoidFor &&
         std::find(aJob.failedOn.begin(), aJob.failedOn.end(), aWorker) !=
           aJob.failedOn.end();
}

// Tries, in this order: the workspace's own cells, a cell moved to free
// capacity, free capacity, and cells reclaimed by preemption.
bool
Core::TryStart(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  if (!QuotaAllows(job)) {
    job.reason = "quota_reached";
    return false;
  }
  uint32_t total = job.spec.TotalAccelerators().Value();
  uint32_t promised = mGuarantees.Total(job.workspace);
  bool eligible =
    total > 0 && mGuarantees.UsedBy(job.workspace) + total <= promised;
  if (eligible && mOptions.guaranteeMode != GuaranteeMode::kPreemptOnly &&
      (TryGuaranteed(aSlot) || TryMovingCell(aSlot))) {
    return true;
  }
  if (TryFree(aSlot)) {
    return true;
  }
  bool urgent = job.spec.priority == model::Priority::kUrgent;
  if (total > 0 && (eligible || (urgent && total <= promised)) &&
      TryReclaim(aSlot)) {
    return true;
  }
  job.reason = eligible ? "guarantee_in_use" : "waiting_for_capacity";
  return false;
}

bool
Core::TryGuaranteed(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  auto fits = [&](WorkerIndex it) -> uint32_t {
    uint32_t room = mGuarantees.Room(job.workspace, it);
    if (room < job.need.accelerators || AvoidsWorker(job, it)) {
      return 0;
    }
    return std::min(CountFits(mWorkers.At(it), job.need),
                    room / job.need.accelerators);
  };
  auto place = FindPlacement(mWorkers, RequestFor(job), mMix, mPolicy, fits);
  if (!place) {
    return false;
  }
  Launch(aSlot, *place, {}, true);
  return true;
}

bool
Core::TryMovingCell(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  for (std::size_t cell : MovableCells(job)) {
    const Cell& moved = mGuarantees.Cells()[cell];
    uint32_t zone = mWorkers.FindZone(moved.zone);
    PlacementRequest request = RequestFor(job);
    request.closeness = std::min(request.closeness, moved.shape.topologyScope);
    auto fits = [&](WorkerIndex it) -> uint32_t {
      const Worker& at = mWorkers.At(it);
      uint32_t room = mGuarantees.Unreserved(at, it, cell);
      if (at.zone != zone || room < job.need.accelerators ||
          AvoidsWorker(job, it)) {
        return 0;
      }
      return std::min(CountFits(at, job.need), room / job.need.accelerators);
    };
    auto place = FindPlacement(mWorkers, request, mMix, mPolicy, fits);
    if (!place) {
      continue;
    }
    std::vector<CellPart> cover = CoverOf(*place, job.need.accelerators);
    if (mGuarantees.MoveToCover(mWorkers, cell, cover)) {
      Launch(aSlot, *place, {}, true);
      return true;
    }
  }
  return false;
}

uint32_t
Core::FitsFree(const Job& aJob,
               WorkerIndex aWorker,
               bool aOutsideCells,
               Millis aExpectedEnd) const
{
  const Worker& worker = mWorkers.At(aWorker);
  uint32_t fits = CountFits(worker, aJob.need);
  if (fits == 0 || AvoidsWorker(aJob, aWorker)) {
    return 0;
  }
  if (aWorker < mHeld.size() && mHeld[aWorker] != 0) {
    const Hold& hold = mHolds[mHeld[aWorker] - 1U];
    if (&mJobs[hold.job] != &aJob && aExpectedEnd > hold.readyAt) {
      return 0;
    }
  }
  if (aJob.need.accelerators == 0) {
    // Leaves cores for the tasks that will use the free accelerators.
    int64_t perAccelerator =
      worker.accelerators == 0 ? 0 : worker.cores / (2 * worker.accelerators);
    int64_t kept = perAccelerator * worker.FreeAccelerators();
    int64_t cores = worker.FreeCores() - kept;
    return CountFits(0, cores, worker.FreeMemory(), aJob.need);
  }
  if (aOutsideCells) {
    uint32_t used = CountBits(worker.busy | worker.claimed);
    int64_t others = used - static_cast<int64_t>(mGuarantees.Used(aWorker));
    int64_t outside = worker.accelerators - others -
                      static_cast<int64_t>(mGuarantees.Reserved(aWorker));
    if (outside < aJob.need.accelerators) {
      return 0;
    }
    return std::min(fits,
                    static_cast<uint32_t>(outside) / aJob.need.accelerators);
  }
  return fits;
}

// Capacity that nobody uses; outside of guaranteed cells if possible.
bool
Core::TryFree(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  Millis end = mNow + mHistory.Predict(
                        job.workspace, job.spec.declaredRunTime, Millis(), 0.9);
  PlacementRequest request = RequestFor(job);
  for (bool outside : { true, false }) {
    if (outside && job.need.accelerators == 0) {
      continue;
    }
    auto place =
      FindPlacement(mWorkers, request, mMix, mPolicy, [&](WorkerIndex it) {
        return FitsFree(job, it, outside, end);
      });
    if (place) {
      Launch(aSlot, *place, {}, false);
      return true;
    }
  }
  return false;
}

} // namespace limpetwood::scheduler
