// The scheduling pass: selects the waiting jobs to start and their workers.

#include "scheduler/internal/core.h"

#include <algorithm>
#include <set>

namespace limpetwood::scheduler {

namespace {

// Minimum time between passes, so that a burst of events causes one pass.
// Urgent jobs start a pass at once.
constexpr Millis kPassInterval{ 20 };
// Interval of passes while jobs wait, which update reservations and
// relocations.
constexpr Millis kRecheckInterval = Seconds(5);
// Maximum number of candidates of one pass and its continuations.
constexpr std::size_t kMaxCandidates = 512;
// Jobs with a longer predicted run time count as long.
constexpr Millis kLongRunTime = Minutes(30);
// How long after its earliest restart a job avoids workers on which it failed
// or which crashed under it.
constexpr Millis kFailedWorkerAvoidance = Minutes(1);

} // namespace

void
Core::RunPassIfDue()
{
  bool due = mNow >= mNextPass || mUrgentWaiting;
  if ((mPassNeeded || mPassIncomplete) && due) {
    RunPass();
  }
}

std::vector<WorkspaceLoad>
Core::WorkspaceLoads() const
{
  std::vector<WorkspaceLoad> loads(mWorkspaces.size());
  for (uint32_t i = 0; i < loads.size(); ++i) {
    uint32_t guaranteed = mGuarantees.UsedByWorkspace(i);
    loads[i].share = mWorkspaces[i].share;
    loads[i].aboveGuarantee =
      static_cast<double>(mWorkspaces[i].used - guaranteed);
    loads[i].unusedGuarantee =
      mGuarantees.GuaranteedAccelerators(i) -
      std::min(guaranteed, mGuarantees.GuaranteedAccelerators(i));
  }
  return loads;
}

void
Core::RunPass()
{
  if (mPassNeeded) {
    mPassCursor = 0;
  }
  mPassNeeded = false;
  mUrgentWaiting = false;
  mPassIncomplete = false;
  mNextPass = mNow + kPassInterval;
  if (mRepairNeeded) {
    RepairGuarantees();
  }
  if (!mStartsAllowed) {
    // The reservations would preempt work for jobs that cannot start.
    mReservations.clear();
    MarkReservedWorkers();
    return;
  }
  if (!mConfigured || mQueue.size() == 0) {
    UpdateReservations();
    return;
  }
  std::vector<JobSlot> candidates = mQueue.Order(
    mJobs, WorkspaceLoads(), mRunTimeHistory, mWeights, mNow, kMaxCandidates);
  // Skip requests equal to one that already found no placement in this pass.
  using RequestKey = std::tuple<uint32_t, uint32_t, MemberResources, int, bool>;
  std::set<RequestKey> failedRequests;
  uint32_t searches = 0;
  for (; mPassCursor < candidates.size(); ++mPassCursor) {
    const Job& job = mJobs[candidates[mPassCursor]];
    bool urgent = job.spec.priority == model::Priority::kUrgent;
    RequestKey key(job.workspace,
                   job.spec.members,
                   job.need,
                   static_cast<int>(job.spec.topologyScope),
                   urgent);
    bool avoidsWorkers =
      !job.failedWorkers.empty() || !job.crashedWorkers.empty();
    if (!avoidsWorkers && failedRequests.count(key) != 0) {
      continue;
    }
    if (searches >= mOptions.maxJobsPerPass) {
      mPassIncomplete = true;
      break;
    }
    ++searches;
    if (!TryStart(candidates[mPassCursor])) {
      failedRequests.insert(key);
    }
  }
  UpdateReservations();
  // Starting a job only takes capacity, so it does not require another pass at
  // once. While jobs wait, passes are repeated to update the reservations.
  if (mQueue.size() > 0) {
    SetTimer(mNow + kRecheckInterval, TimerKind::kPass);
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
Core::IsLongRunning(const Job& aJob) const
{
  // Uses the median of the predicted run time.
  return mRunTimeHistory.Predict(
           aJob.workspace, aJob.spec.declaredRunTime, Millis(), 0.5) >
         kLongRunTime;
}

PlacementRequest
Core::RequestFor(const Job& aJob) const
{
  return {
    aJob.need, aJob.spec.members, aJob.spec.topologyScope, IsLongRunning(aJob)
  };
}

bool
Core::AvoidsWorker(const Job& aJob, WorkerIndex aWorker) const
{
  if (mNow >= aJob.notBefore + kFailedWorkerAvoidance) {
    return false;
  }
  bool failed =
    std::find(aJob.failedWorkers.begin(), aJob.failedWorkers.end(), aWorker) !=
    aJob.failedWorkers.end();
  return failed || (!aJob.crashedWorkers.empty() &&
                    aJob.crashedWorkers.contains(mWorkers.At(aWorker).id));
}

// Tries, in this order: the workspace's own cells, a cell moved to free
// capacity, any free capacity, and preemption of work in the workspace's cells.
bool
Core::TryStart(JobSlot aSlot)
{
  Job& job = mJobs[aSlot];
  if (!QuotaAllows(job)) {
    job.reason = "quota_reached";
    return false;
  }
  uint32_t total = job.spec.TotalAccelerators().Value();
  uint32_t guaranteed = mGuarantees.GuaranteedAccelerators(job.workspace);
  bool eligible =
    total > 0 &&
    mGuarantees.UsedByWorkspace(job.workspace) + total <= guaranteed;
  if (eligible && mOptions.guaranteeMode != GuaranteeMode::kPreemptOnly &&
      (TryOwnCells(aSlot) || TryMovedCell(aSlot))) {
    return true;
  }
  if (TryFreeCapacity(aSlot)) {
    return true;
  }
  bool urgent = job.spec.priority == model::Priority::kUrgent;
  if (total > 0 && (eligible || (urgent && total <= guaranteed)) &&
      TryReclaim(aSlot)) {
    return true;
  }
  job.reason = eligible ? "guarantee_in_use" : "waiting_for_capacity";
  return false;
}

bool
Core::TryOwnCells(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  auto fits = [&](WorkerIndex it) -> uint32_t {
    uint32_t available = mGuarantees.AvailableAccelerators(job.workspace, it);
    if (available < job.need.accelerators || AvoidsWorker(job, it)) {
      return 0;
    }
    return std::min(CountFits(mWorkers.At(it), job.need),
                    available / job.need.accelerators);
  };
  auto placement = FindPlacement(
    mWorkers, RequestFor(job), mRackRunTimeMix, mPlacementPolicy, fits);
  if (!placement) {
    return false;
  }
  BeginAttempt(aSlot, *placement, {}, true);
  return true;
}

bool
Core::TryMovedCell(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  for (std::size_t cell : MovableCells(job)) {
    const Cell& moved = mGuarantees.Cells()[cell];
    uint32_t zone = mWorkers.FindZone(moved.zone);
    PlacementRequest request = RequestFor(job);
    request.topologyScope =
      std::min(request.topologyScope, moved.shape.topologyScope);
    auto fits = [&](WorkerIndex it) -> uint32_t {
      const Worker& worker = mWorkers.At(it);
      uint32_t available = mGuarantees.Unreserved(worker, it, cell);
      if (worker.zone != zone || available < job.need.accelerators ||
          AvoidsWorker(job, it)) {
        return 0;
      }
      return std::min(CountFits(worker, job.need),
                      available / job.need.accelerators);
    };
    auto placement =
      FindPlacement(mWorkers, request, mRackRunTimeMix, mPlacementPolicy, fits);
    if (!placement) {
      continue;
    }
    std::vector<CellPart> cover =
      AcceleratorsByWorker(*placement, job.need.accelerators);
    if (mGuarantees.MoveToCover(mWorkers, cell, cover)) {
      BeginAttempt(aSlot, *placement, {}, true);
      return true;
    }
  }
  return false;
}

uint32_t
Core::CountFreeFits(const Job& aJob,
                    WorkerIndex aWorker,
                    bool aOutsideCells,
                    Millis aExpectedEnd) const
{
  const Worker& worker = mWorkers.At(aWorker);
  uint32_t fits = CountFits(worker, aJob.need);
  if (fits == 0 || AvoidsWorker(aJob, aWorker)) {
    return 0;
  }
  if (aWorker < mReservationOfWorker.size() &&
      mReservationOfWorker[aWorker] != 0) {
    const Reservation& reservation =
      mReservations[mReservationOfWorker[aWorker] - 1U];
    if (&mJobs[reservation.job] != &aJob &&
        aExpectedEnd > reservation.expectedStart) {
      return 0;
    }
  }
  if (aJob.need.accelerators == 0) {
    // For the tasks that will use the free accelerators, keep half of the
    // worker's cores per accelerator for each of them.
    int64_t perAccelerator =
      worker.accelerators == 0 ? 0 : worker.cores / (2 * worker.accelerators);
    int64_t reservedCores = perAccelerator * worker.FreeAccelerators();
    int64_t cores = worker.FreeCores() - reservedCores;
    return CountFits(0, cores, worker.FreeMemoryMb(), aJob.need);
  }
  if (aOutsideCells) {
    uint32_t used =
      CountBits(worker.busyAccelerators | worker.claimedAccelerators);
    int64_t usedByOtherWork =
      used - static_cast<int64_t>(mGuarantees.Used(aWorker));
    int64_t availableOutsideCells =
      worker.accelerators - usedByOtherWork -
      static_cast<int64_t>(mGuarantees.Reserved(aWorker));
    if (availableOutsideCells < aJob.need.accelerators) {
      return 0;
    }
    return std::min(fits,
                    static_cast<uint32_t>(availableOutsideCells) /
                      aJob.need.accelerators);
  }
  return fits;
}

// Starts the job on unused capacity, outside guaranteed cells if possible.
bool
Core::TryFreeCapacity(JobSlot aSlot)
{
  const Job& job = mJobs[aSlot];
  // Backfill uses a high quantile, because an overrun delays the reservation.
  Millis end = mNow + mRunTimeHistory.Predict(
                        job.workspace, job.spec.declaredRunTime, Millis(), 0.9);
  PlacementRequest request = RequestFor(job);
  for (bool outside : { true, false }) {
    if (outside && job.need.accelerators == 0) {
      continue;
    }
    auto placement = FindPlacement(
      mWorkers,
      request,
      mRackRunTimeMix,
      mPlacementPolicy,
      [&](WorkerIndex it) { return CountFreeFits(job, it, outside, end); });
    if (placement) {
      BeginAttempt(aSlot, *placement, {}, false);
      return true;
    }
  }
  return false;
}

} // namespace limpetwood::scheduler
