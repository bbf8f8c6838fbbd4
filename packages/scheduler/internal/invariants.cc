// Checks the invariants of the scheduler's state by recomputing all usage from
// the members of the jobs.

#include "scheduler/internal/core.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

struct WorkerSums
{
  int64_t cores = 0;
  int64_t memoryMb = 0;
  int64_t coresClaimed = 0;
  AcceleratorMask busyAccelerators = 0;
  AcceleratorMask claimedAccelerators = 0;
  bool doubleBooked = false;
  std::size_t tasks = 0;
};

} // namespace

std::vector<std::string>
Core::CheckInvariants() const
{
  std::vector<std::string> out;
  std::vector<WorkerSums> sums(mWorkers.Size());
  std::map<std::pair<uint32_t, WorkerIndex>, uint32_t> guaranteed;
  for (const Job& job : mJobs) {
    if (!job.occupied) {
      continue;
    }
    std::size_t activeMembers = 0;
    for (const Member& it : job.members) {
      if (it.state == MemberState::kClaimed) {
        WorkerSums& sum = sums[it.worker];
        sum.doubleBooked =
          sum.doubleBooked || (sum.claimedAccelerators & it.mask) != 0;
        sum.claimedAccelerators |= it.mask;
        sum.coresClaimed += job.need.cores;
      }
      if (HoldsCapacity(it.state)) {
        WorkerSums& sum = sums[it.worker];
        sum.doubleBooked =
          sum.doubleBooked || (sum.busyAccelerators & it.mask) != 0;
        sum.busyAccelerators |= it.mask;
        sum.cores += job.need.cores;
        sum.memoryMb += static_cast<int64_t>(job.need.memoryMb);
        ++sum.tasks;
        if (EpochOf(it.token) > mEpoch) {
          out.push_back("job holds a fencing token of a later epoch: " +
                        job.id.Value());
        }
      }
      if (job.guaranteed && (HoldsOrClaimsCapacity(it.state))) {
        guaranteed[{ job.workspace, it.worker }] += job.need.accelerators;
      }
      activeMembers +=
        it.state == MemberState::kRunning || it.state == MemberState::kSucceeded
          ? 1
          : 0;
    }
    bool complete = activeMembers == job.members.size();
    if ((job.phase == Phase::kRunning || job.phase == Phase::kCheckpointing ||
         job.phase == Phase::kThrottling) &&
        !complete) {
      out.push_back("gang runs without all members: " + job.id.Value());
    }
    // The start deadline may be handled up to 1 s late.
    bool late = job.deadline + Seconds(1) < mNow;
    if (job.phase == Phase::kStarting && late) {
      out.push_back("partial start not undone: " + job.id.Value());
    }
    if ((job.phase == Phase::kQueued || job.phase == Phase::kEnding) &&
        std::any_of(job.members.begin(),
                    job.members.end(),
                    [](const Member& it) { return HoldsCapacity(it.state); })) {
      out.push_back("waiting job holds capacity: " + job.id.Value());
    }
    if ((job.phase == Phase::kQueued) !=
        mQueue.Contains(static_cast<JobSlot>(mSlotById.at(job.id)))) {
      out.push_back("queue does not match the jobs: " + job.id.Value());
    }
  }
  for (WorkerIndex i = 0; i < mWorkers.Size(); ++i) {
    const Worker& worker = mWorkers.At(i);
    const WorkerSums& sum = sums[i];
    if (sum.doubleBooked || sum.cores > worker.cores ||
        sum.memoryMb > static_cast<int64_t>(worker.memoryMb)) {
      out.push_back("oversubscribed: " + worker.id.Value());
    }
    if (sum.busyAccelerators != worker.busyAccelerators ||
        sum.cores != worker.coresUsed ||
        sum.claimedAccelerators != worker.claimedAccelerators ||
        sum.coresClaimed != worker.coresClaimed ||
        sum.tasks != worker.tasks.size()) {
      out.push_back("recorded usage of the worker differs from its tasks: " +
                    worker.id.Value());
    }
  }
  // Without cells, or while their repair is pending, the remaining invariants
  // do not hold.
  if (mOptions.guaranteeMode == GuaranteeMode::kPreemptOnly || mRepairNeeded) {
    return out;
  }
  for (auto [key, used] : guaranteed) {
    if (used != mGuarantees.Used(key.first, key.second)) {
      out.emplace_back(
        "recorded use of guarantees differs from the guaranteed jobs");
    }
  }
  for (std::string& it : mGuarantees.CheckInvariants(mWorkers)) {
    out.push_back(std::move(it));
  }
  if (mGuarantees.HasUnbound() && mAlarms.empty() && !IsRecovering() &&
      mConfigured) {
    out.emplace_back("guarantee unsatisfied without an alarm");
  }
  return out;
}

} // namespace limpetwood::scheduler
