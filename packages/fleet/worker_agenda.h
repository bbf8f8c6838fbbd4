// When each worker is to be looked at next.
//
// Answers a fleet of thousands of workers of which few need attention at any
// moment: a tick costs the workers that are due, not all.

#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace limpetwood::fleet {

class WorkerAgenda
{
public:
  // The worker is due at `aTime`, or earlier if it is already.
  void Wake(const WorkerId& aWorker, Millis aTime)
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

  // `Millis::Max()` if no worker is due.
  Millis Next() const
  {
    return mOrder.empty() ? Millis::Max() : mOrder.begin()->first;
  }

private:
  // Both hold the same entries.
  std::map<WorkerId, Millis> mDueAt;
  std::set<std::pair<Millis, WorkerId>> mOrder;
};

} // namespace limpetwood::fleet
