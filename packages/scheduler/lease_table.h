// The lease of each worker.
//
// A worker counts its lease from the moment it sends a renewal, the table from
// the moment the renewal arrives, so a worker stops its tasks before the table
// regards them as stopped. A lease passes through two deadlines: its end, when
// gangs on the worker are stopped, and its end plus a margin for clock drift,
// when the worker's tasks no longer run.

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

  Millis End(WorkerIndex aWorker) const;

  struct Expiry
  {
    WorkerIndex worker = kNoIndex;
    // False at the end of the lease, true after the margin.
    bool marginPassed = false;
  };

  // Removes and returns at most `aLimit` deadlines that have passed.
  std::vector<Expiry> TakeExpired(Millis aNow, std::size_t aLimit);

  // The next time at which `TakeDue` may return something.
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
    // An entry for this lease is in the queue; a renewal leaves it there and
    // it is put back with the later time when it comes up.
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
