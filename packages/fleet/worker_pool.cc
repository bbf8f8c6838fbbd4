#include "fleet/worker_pool.h"

#include <algorithm>
#include <iterator>

namespace limpetwood::fleet {

namespace {

// A worker that was not heard for this many report intervals takes no tasks.
constexpr int64_t kSilentReports = 3;
// At most one of so many workers is left out for its failures.
constexpr size_t kMostExcludedPart = 2;

} // namespace

bool
WorkerPool::IsUsable(const WorkerId& aWorker, Millis aNow) const
{
  auto it = mLinks.find(aWorker);
  if (it == mLinks.end()) {
    return false;
  }
  const WorkerLink& link = it->second;
  return link.fenced && link.reachable && !link.draining &&
         link.suspects.empty() && aNow >= link.unhealthyUntil &&
         aNow - link.lastHeard < mHeartbeat * kSilentReports &&
         link.ClockFloor(aNow).has_value();
}

int64_t
WorkerPool::UsableAccelerators(Millis aNow) const
{
  int64_t out = 0;
  for (const auto& [id, worker] : mState.Workers()) {
    out += IsUsable(id, aNow) ? worker.report.capacity.accelerators : 0;
  }
  return out;
}

std::vector<Candidate>
WorkerPool::Candidates(Millis aNow) const
{
  std::vector<Candidate> out;
  std::vector<Candidate> excluded;
  for (const auto& [id, worker] : mState.Workers()) {
    bool usable = IsUsable(id, aNow) && !worker.report.draining &&
                  !mProposals.IsLeaving(id);
    if (!usable) {
      continue;
    }
    auto& into = mHealth.IsExcluded(id, aNow) ? excluded : out;
    into.push_back({ .id = id,
                     .service = worker.report.service,
                     .report = &worker.report,
                     .room = worker.report.capacity - worker.used,
                     .suspicion = mHealth.SuspicionOf(id, aNow) });
  }
  // When so many look faulty, the jobs are more likely at fault.
  if (excluded.size() > out.size() / kMostExcludedPart) {
    std::move(excluded.begin(), excluded.end(), std::back_inserter(out));
  }
  NumberRacks(out);
  return out;
}

} // namespace limpetwood::fleet
