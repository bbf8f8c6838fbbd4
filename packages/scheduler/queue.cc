#include "scheduler/queue.h"

#include <algorithm>

namespace limpetwood::scheduler {

namespace {

struct Scored
{
  double score = 0;
  JobSlot slot = kNoIndex;
};

// Waiting time, in milliseconds, that doubles the fragmentation term. For the
// largest job, the initial term equals a response ratio of one.
constexpr double kSizeAgingMs = 600'000;
// Added to waiting and run time, in milliseconds, to bound the response ratio
// of very short jobs.
constexpr double kRatioOffsetMs = 60'000;

double
Score(const Job& aJob,
      const RunTimeHistory& aHistory,
      const model::PolicyWeights& aWeights,
      double aLargest,
      Millis aNow)
{
  if (aJob.relocating) {
    // Above all other scores, so that relocated jobs come first in their
    // workspace.
    return 1e12;
  }
  Millis predicted =
    aHistory.Predict(aJob.workspace, aJob.spec.declaredRunTime, Millis(), 0.5);
  auto wait = static_cast<double>(
    std::max<int64_t>((aNow - aJob.submittedAt).Count(), 0));
  double ratio = (wait + kRatioOffsetMs) /
                 (static_cast<double>(predicted.Count()) + kRatioOffsetMs);
  double size = aJob.spec.TotalAccelerators().Value() / aLargest;
  double score = aWeights.completionTime * ratio +
                 aWeights.fragmentation * size * (1 + wait / kSizeAgingMs);
  bool batch = aJob.spec.priority == model::Priority::kBatch;
  // Batch jobs have half the score of normal jobs.
  return batch ? score / 2 : score;
}

// Size in accelerators; a core counts as a twentieth of an accelerator, so that
// jobs without accelerators have a size as well. This weight is separate from
// the one that preemption.cc uses for lost work.
double
SizeOf(const Job& aJob)
{
  return std::max<double>(aJob.spec.TotalAccelerators().Value(),
                          0.05 * aJob.spec.members * aJob.spec.coresPerMember);
}

} // namespace

void
JobQueue::Push(JobSlot aSlot)
{
  if (Contains(aSlot)) {
    return;
  }
  if (aSlot >= mPositions.size()) {
    mPositions.resize(aSlot + 1, kNoIndex);
  }
  mPositions[aSlot] = static_cast<uint32_t>(mSlots.size());
  mSlots.push_back(aSlot);
}

void
JobQueue::Remove(JobSlot aSlot)
{
  if (!Contains(aSlot)) {
    return;
  }
  uint32_t position = mPositions[aSlot];
  JobSlot last = mSlots.back();
  mSlots[position] = last;
  mPositions[last] = position;
  mSlots.pop_back();
  mPositions[aSlot] = kNoIndex;
}

bool
JobQueue::Contains(JobSlot aSlot) const
{
  return aSlot < mPositions.size() && mPositions[aSlot] != kNoIndex;
}

std::vector<JobSlot>
JobQueue::Order(const std::deque<Job>& aJobs,
                std::vector<WorkspaceLoad> aLoads,
                const RunTimeHistory& aHistory,
                const model::PolicyWeights& aWeights,
                Millis aNow,
                std::size_t aLimit) const
{
  std::vector<std::vector<Scored>> byWorkspace(aLoads.size());
  std::vector<JobSlot> out;
  double largest = 1;
  for (JobSlot slot : mSlots) {
    largest =
      std::max<double>(largest, aJobs[slot].spec.TotalAccelerators().Value());
  }
  for (JobSlot slot : mSlots) {
    const Job& job = aJobs[slot];
    if (job.notBefore > aNow) {
      continue;
    }
    if (job.spec.priority == model::Priority::kUrgent) {
      out.push_back(slot);
    } else {
      byWorkspace[job.workspace].push_back(
        { Score(job, aHistory, aWeights, largest, aNow), slot });
    }
  }
  std::sort(out.begin(), out.end(), [&](JobSlot x, JobSlot y) {
    return std::pair(aJobs[x].submittedAt, x) <
           std::pair(aJobs[y].submittedAt, y);
  });
  for (std::vector<Scored>& jobs : byWorkspace) {
    auto sortedEnd =
      jobs.begin() + static_cast<std::ptrdiff_t>(std::min(jobs.size(), aLimit));
    std::partial_sort(
      jobs.begin(), sortedEnd, jobs.end(), [](const auto& x, const auto& y) {
        return std::pair(-x.score, x.slot) < std::pair(-y.score, y.slot);
      });
  }
  // Interleave the workspaces, accounting each selected job as started.
  std::vector<std::size_t> next(aLoads.size());
  while (out.size() < aLimit) {
    std::size_t best = aLoads.size();
    double bestKey = 0;
    for (std::size_t i = 0; i < aLoads.size(); ++i) {
      if (next[i] >= byWorkspace[i].size()) {
        continue;
      }
      // The lower bound avoids a division by a share of 0.
      double key =
        aLoads[i].unusedGuarantee > 0
          ? -1
          : aLoads[i].aboveGuarantee / std::max(aLoads[i].share, 1e-6);
      if (best == aLoads.size() || key < bestKey) {
        best = i;
        bestKey = key;
      }
    }
    if (best == aLoads.size()) {
      break;
    }
    JobSlot slot = byWorkspace[best][next[best]++].slot;
    double size = SizeOf(aJobs[slot]);
    double guaranteed = std::min(size, aLoads[best].unusedGuarantee);
    aLoads[best].unusedGuarantee -= guaranteed;
    aLoads[best].aboveGuarantee += size - guaranteed;
    out.push_back(slot);
  }
  if (out.size() > aLimit) {
    out.resize(aLimit);
  }
  return out;
}

} // namespace limpetwood::scheduler
