// The order in which waiting jobs are tried.
//
// Urgent jobs come first, in the order of their submission. Then the workspace
// with the least use above its guarantee for its share comes first, where use
// within the guarantee counts as none. Within a workspace, the weight of the
// completion time favours jobs that have waited long compared with their
// expected run time, and the weight of the fragmentation favours large jobs.
// Both terms grow with the wait, so no job stays last.

#pragma once

#include "model/document.h"
#include "scheduler/gang.h"
#include "scheduler/run_time_history.h"

#include <deque>
#include <vector>

namespace limpetwood::scheduler {

// What the order needs to know of a workspace.
struct WorkspaceLoad
{
  double share = 1.0;
  // Accelerators in use above the guarantee.
  double aboveGuarantee = 0;
  // Accelerators of the guarantee that are not in use.
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

  // The first jobs to try, at most `aLimit`.
  std::vector<JobSlot> Order(const std::deque<Job>& aJobs,
                             std::vector<WorkspaceLoad> aLoads,
                             const RunTimeHistory& aHistory,
                             const model::PolicyWeights& aWeights,
                             Millis aNow,
                             std::size_t aLimit) const;

private:
  std::vector<JobSlot> mSlots;
  // Position in `mSlots` by slot, or `kNone`.
  std::vector<uint32_t> mPositions;
};

} // namespace limpetwood::scheduler
