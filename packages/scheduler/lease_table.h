// Tracks the lease of each worker.
//
// A worker measures its lease from the time it sends a renewal, the table from
// the time the renewal arrives. The worker therefore stops its tasks before the
// table considers them stopped. Each lease has two deadlines: when it ends,
// gangs on the worker are stopped; after a further margin for clock drift, the
// worker's tasks are known to have ended.

#pragma once

#include "base/time.h"
#include "scheduler/worker_table.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace limpetwood::scheduler {

class LeaseTable
{
public:
  LeaseTable(Millis aLength, Millis aMargin);

  // Grants or extends the lease of a worker.
  void Renew(WorkerIndex aWorker, Millis aNow);

  // Returns when the worker's lease ends or has ended; zero if it never had
  // one.
  Millis End(WorkerIndex aWorker) const;

  struct Expiry
  {
    WorkerIndex worker = kNoIndex;
    // False at the end of the lease, true at the end of the margin.
    bool marginPassed = false;
  };

  // Removes and returns at most `aLimit` deadlines that have passed.
  std::vector<Expiry> TakeExpired(Millis aNow, std::size_t aLimit);

  // Returns the earliest time at which `TakeExpired` may return a deadline;
  // `Millis::Max()` if there is none.
  Millis NextDeadline() const;

private:
  struct QueueEntry
  {
    Millis at;
    WorkerIndex worker = kNoIndex;

    bool operator>(const QueueEntry& aOther) const { return at > aOther.at; }
  };

  struct Lease
  {
    Millis end;
    bool active = false;
    bool expired = false;
    // True if `mQueue` contains an entry for this lease. A renewal leaves the
    // entry in place; it is queued again with the later time when it is
    // reached.
    bool queued = false;
  };

  void Enqueue(WorkerIndex aWorker);

  Millis mLength;
  Millis mMargin;
  std::vector<Lease> mLeases;
  std::priority_queue<QueueEntry, std::vector<QueueEntry>, std::greater<>>
    mQueue;
};

} // namespace limpetwood::scheduler
