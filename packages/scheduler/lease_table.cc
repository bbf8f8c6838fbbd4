#include "scheduler/lease_table.h"

namespace limpetwood::scheduler {

LeaseTable::LeaseTable(Millis aLength, Millis aMargin)
  : mLength(aLength)
  , mMargin(aMargin)
{
}

void
LeaseTable::Renew(WorkerIndex aWorker, Millis aNow)
{
  if (aWorker >= mLeases.size()) {
    mLeases.resize(aWorker + 1);
  }
  Lease& lease = mLeases[aWorker];
  lease.end = aNow + mLength;
  lease.active = true;
  lease.expired = false;
  Enqueue(aWorker);
}

Millis
LeaseTable::End(WorkerIndex aWorker) const
{
  return aWorker < mLeases.size() ? mLeases[aWorker].end : Millis();
}

void
LeaseTable::Enqueue(WorkerIndex aWorker)
{
  Lease& lease = mLeases[aWorker];
  if (lease.queued) {
    return;
  }
  lease.queued = true;
  mQueue.push({ lease.expired ? lease.end + mMargin : lease.end, aWorker });
}

std::vector<LeaseTable::Expiry>
LeaseTable::TakeExpired(Millis aNow, std::size_t aLimit)
{
  std::vector<Expiry> due;
  while (!mQueue.empty() && mQueue.top().at <= aNow && due.size() < aLimit) {
    WorkerIndex worker = mQueue.top().worker;
    mQueue.pop();
    Lease& lease = mLeases[worker];
    lease.queued = false;
    Millis at = lease.expired ? lease.end + mMargin : lease.end;
    if (at > aNow) {
      Enqueue(worker);
    } else if (!lease.expired) {
      lease.expired = true;
      due.push_back({ worker, false });
      Enqueue(worker);
    } else {
      lease.active = false;
      due.push_back({ worker, true });
    }
  }
  return due;
}

Millis
LeaseTable::NextDeadline() const
{
  return mQueue.empty() ? Millis::Max() : mQueue.top().at;
}

} // namespace limpetwood::scheduler
