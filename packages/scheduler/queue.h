// Determines the order in which waiting jobs are tried.
//
// Urgent jobs come first, in submission order. Then the workspace with the
// lowest ratio of use above its guarantee to its share comes first; use within
// the guarantee counts as zero. Within a workspace, the completion time weight
// favours jobs that have waited long compared with their predicted run time,
// and the fragmentation weight favours large jobs. Both terms grow with the
// waiting time, which prevents starvation.

#pragma once

#include "model/document.h"
#include "scheduler/gang.h"
#include "scheduler/run_time_history.h"

#include <deque>
#include <vector>

namespace limpetwood::scheduler {

// Resource use of a workspace, as needed for the order.
struct WorkspaceLoad
{
  double share = 1.0;
  // Accelerators in use beyond the guarantee.
  double aboveGuarantee = 0;
  // Guaranteed accelerators that are not in use.
  double unusedGuarantee = 0;
};

class JobQueue
{
public:
  void Push(JobSlot aSlot);
  void Remove(JobSlot aSlot);
  bool Contains(JobSlot aSlot) const;
  std::size_t size() const { return mSlots.size(); }
  const std::vector<JobSlot>& Slots() const { return mSlots; }

  // Returns the first jobs to try, at most `aLimit`.
  std::vector<JobSlot> Order(const std::deque<Job>& aJobs,
                             std::vector<WorkspaceLoad> aLoads,
                             const RunTimeHistory& aHistory,
                             const model::PolicyWeights& aWeights,
                             Millis aNow,
                             std::size_t aLimit) const;

private:
  std::vector<JobSlot> mSlots;
  // Position in `mSlots` by slot; `kNoIndex` if the job is not queued.
  std::vector<uint32_t> mPositions;
};

} // namespace limpetwood::scheduler
