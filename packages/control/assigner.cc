#include "control/assigner.h"

#include <algorithm>

namespace limpetwood::control {

namespace {

using model::JobSpec;
using model::Rack;
using model::TopologyScope;

// Number of members that one worker of a rack can hold; UINT32_MAX if members
// need no resources.
uint64_t
MembersPerWorker(const JobSpec& aSpec, const Rack& aRack)
{
  uint64_t members = UINT32_MAX;
  auto limit = [&members](uint64_t aAvailable, uint64_t aNeeded) {
    if (aNeeded > 0) {
      members = std::min(members, aAvailable / aNeeded);
    }
  };
  limit(aRack.acceleratorsPerWorker.Value(),
        aSpec.acceleratorsPerMember.Value());
  limit(aRack.coresPerWorker, aSpec.coresPerMember);
  limit(aRack.memoryMbPerWorker, aSpec.memoryMbPerMember);
  return members;
}

} // namespace

Assigner::Assigner(const model::PlannedDocument& aPlanned)
{
  for (const ZoneId& id : aPlanned.document.zones) {
    Zone zone;
    zone.id = id;
    for (const Rack& rack : aPlanned.document.racks) {
      if (rack.zone == id) {
        zone.racks.push_back(rack);
        zone.accelerators +=
          uint64_t{ rack.workers } * rack.acceleratorsPerWorker.Value();
      }
    }
    for (const model::PinnedShape& it : aPlanned.plan.shapes) {
      if (it.zone == id) {
        zone.pinned[it.workspace] += it.shape.accelerators.Value();
      }
    }
    mZones.push_back(std::move(zone));
  }
}

bool
Assigner::Fits(const JobSpec& aSpec, const ZoneId& aZone) const
{
  auto zone = std::find_if(mZones.begin(), mZones.end(), [&](const Zone& it) {
    return it.id == aZone;
  });
  if (zone == mZones.end()) {
    return false;
  }
  uint64_t total = 0;
  for (const Rack& rack : zone->racks) {
    uint64_t perWorker = MembersPerWorker(aSpec, rack);
    if (rack.workers == 0 || perWorker == 0) {
      continue;
    }
    uint64_t perRack = perWorker * rack.workers;
    if ((aSpec.topologyScope == TopologyScope::kWorker &&
         perWorker >= aSpec.members) ||
        (aSpec.topologyScope == TopologyScope::kRack &&
         perRack >= aSpec.members)) {
      return true;
    }
    total += perRack;
  }
  return aSpec.topologyScope == TopologyScope::kZone && total >= aSpec.members;
}

const Assigner::Zone*
Assigner::Choose(const JobRecord& aJob,
                 const JobTable& aJobs,
                 const std::vector<LiveZone>& aLive,
                 const PlannedAccelerators& aPlanned) const
{
  const Zone* best = nullptr;
  double bestLoad = 0;
  bool bestPinned = false;
  bool urgent = aJob.spec.priority == model::Priority::kUrgent;
  uint64_t needed = aJob.spec.TotalAccelerators().Value();
  for (const LiveZone& it : aLive) {
    const Zone* zone = it.zone;
    if (it.accelerators < needed || !Fits(aJob.spec, zone->id)) {
      continue;
    }
    auto planned = aPlanned.find(zone->id);
    uint64_t assigned = aJobs.AssignedAccelerators(zone->id) +
                        (planned == aPlanned.end() ? 0 : planned->second);
    double capacity =
      static_cast<double>(std::max<uint64_t>(it.accelerators, 1));
    double load = static_cast<double>(assigned) / capacity;
    bool pinned = zone->pinned.contains(aJob.spec.workspace);
    if (!urgent && !pinned && load >= kMaxBacklogRatio) {
      continue;
    }
    bool better = best == nullptr || (pinned && !bestPinned) ||
                  (pinned == bestPinned && load < bestLoad);
    if (better) {
      best = zone;
      bestLoad = load;
      bestPinned = pinned;
    }
  }
  return best;
}

std::vector<Assignment>
Assigner::Assign(const JobTable& aJobs,
                 const membership::InstanceTable& aInstances,
                 Millis aNow,
                 const std::set<ZoneId>& aEvacuated) const
{
  std::vector<LiveZone> live;
  for (const Zone& it : mZones) {
    if (aEvacuated.contains(it.id)) {
      continue;
    }
    if (auto authority = aInstances.AuthorityOf(it.id, aNow)) {
      live.push_back({ &it, authority->liveAccelerators });
    }
  }
  std::vector<Assignment> result;
  if (live.empty()) {
    return result;
  }
  PlannedAccelerators planned;
  // The first iteration takes urgent jobs, the second one all others.
  for (bool urgent : { true, false }) {
    for (const auto& [submittedAt, id] : aJobs.Unassigned()) {
      if (result.size() >= kMaxAssignmentsPerPass) {
        return result;
      }
      const JobRecord& job = *aJobs.Find(id);
      if ((job.spec.priority == model::Priority::kUrgent) != urgent) {
        continue;
      }
      if (const Zone* zone = Choose(job, aJobs, live, planned)) {
        planned[zone->id] += job.spec.TotalAccelerators().Value();
        result.push_back({ id, zone->id });
      }
    }
  }
  return result;
}

} // namespace limpetwood::control
