// Expected run times of tasks, learned from those that were done.
//
// Answers estimates that are off by a factor of two or more: the mean of what
// tasks of the same queue really took says more than the caller's figure once a
// few have ended.

#pragma once

#include "fleet/progress.h"
#include "fleet/types.h"

#include <map>
#include <optional>

namespace limpetwood::fleet {

class Forecast
{
public:
  // A run of a task of `aQueue` took `aTime`, without restarts.
  void OnDone(const QueueId& aQueue, Millis aTime);

  // Expected time of one task; `aEstimate` while nothing was learned.
  Millis Expect(const QueueId& aQueue, Millis aEstimate) const;

  // Expected rest of a run; `Millis::Max()` while there is nothing to go by but
  // the caller's estimate.
  Millis Rest(const QueueId& aQueue,
              const Progress& aProgress,
              Millis aNow) const;

  std::optional<Millis> Learned(const QueueId& aQueue) const;

private:
  struct Record
  {
    double meanMs = 0;
    uint32_t samples = 0;
  };

  std::map<QueueId, Record> mQueues;
};

} // namespace limpetwood::fleet
