// Times at which workers are due for their next check.
//
// Keeps the cost of a tick proportional to the number of workers that are due,
// in fleets of thousands of workers.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace limpetwood::fleet {

class WorkerTimers
{
public:
  // Schedules a check at `aTime` unless an earlier one is scheduled.
  void Schedule(const WorkerId& aWorker, Millis aTime)
  {
    auto [it, inserted] = mDueAt.try_emplace(aWorker, aTime);
    if (!inserted) {
      if (it->second <= aTime) {
        return;
      }
      mOrder.erase({ it->second, aWorker });
      it->second = aTime;
    }
    mOrder.emplace(aTime, aWorker);
  }

  // Removes and returns the workers that are due.
  std::vector<WorkerId> TakeDue(Millis aNow)
  {
    std::vector<WorkerId> out;
    while (!mOrder.empty() && mOrder.begin()->first <= aNow) {
      out.push_back(mOrder.begin()->second);
      mDueAt.erase(out.back());
      mOrder.erase(mOrder.begin());
    }
    return out;
  }

  // Time of the next check; `Millis::Max()` if none is scheduled.
  Millis NextDue() const
  {
    return mOrder.empty() ? Millis::Max() : mOrder.begin()->first;
  }

private:
  // Invariant: both containers hold the same entries.
  std::map<WorkerId, Millis> mDueAt;
  std::set<std::pair<Millis, WorkerId>> mOrder;
};

} // namespace limpetwood::fleet
