// Expected run times of tasks, learned from completed tasks.
//
// Callers' estimates are often wrong by a factor of two or more. The mean run
// time of a queue's completed tasks replaces the estimate as soon as there are
// enough samples.

#pragma once

#include "fleet/progress.h"
#include "fleet/types.h"

#include <map>
#include <optional>

namespace limpetwood::fleet {

class Forecast
{
public:
  // Records that a run of a whole task of `aQueue`, not resumed from a
  // checkpoint, took `aTime`.
  void OnDone(const QueueId& aQueue, Millis aTime);

  // Expected run time of one task; `aEstimate` until enough samples exist.
  Millis ExpectedTime(const QueueId& aQueue, Millis aEstimate) const;

  // Expected remaining time of a run; `Millis::Max()` if there is neither
  // progress nor a learned time.
  Millis RemainingTime(const QueueId& aQueue,
                       const Progress& aProgress,
                       Millis aNow) const;

  std::optional<Millis> LearnedTime(const QueueId& aQueue) const;

private:
  struct Record
  {
    double meanMs = 0;
    uint32_t samples = 0;
  };

  std::map<QueueId, Record> mQueues;
};

} // namespace limpetwood::fleet
