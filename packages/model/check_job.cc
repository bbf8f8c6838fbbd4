// Checks a job specification against the accepted configuration.

#include "model/validate.h"

#include <algorithm>
#include <map>
#include <set>

namespace limpetwood::model {

namespace {

// Number of members that one unused worker of a rack can run.
uint64_t
MembersPerWorker(const JobSpec& aSpec, const Rack& aRack)
{
  uint64_t n =
    std::min<uint64_t>(aRack.coresPerWorker / aSpec.coresPerMember,
                       aRack.memoryMbPerWorker / aSpec.memoryMbPerMember);
  uint32_t accelerators = aSpec.acceleratorsPerMember.Value();
  if (accelerators > 0) {
    n =
      std::min<uint64_t>(n, aRack.acceleratorsPerWorker.Value() / accelerators);
  }
  return n;
}

// Maximum number of members that one worker, rack or zone can run, depending on
// the topology scope. Other jobs are ignored: all declared capacity counts as
// free, so a job passes if it could run alone.
uint64_t
MaxGangSize(const JobSpec& aSpec, const Document& aDocument)
{
  std::map<ZoneId, uint64_t> zones;
  uint64_t largest = 0;
  for (const Rack& it : aDocument.racks) {
    uint64_t perWorker = MembersPerWorker(aSpec, it);
    uint64_t perRack = perWorker * it.workers;
    switch (aSpec.topologyScope) {
      case TopologyScope::kWorker:
        largest = std::max(largest, perWorker);
        break;
      case TopologyScope::kRack:
        largest = std::max(largest, perRack);
        break;
      case TopologyScope::kZone:
        zones[it.zone] += perRack;
        largest = std::max(largest, zones[it.zone]);
        break;
    }
  }
  return largest;
}

} // namespace

Faults
CheckJob(const JobSpec& aSpec, const Document& aDocument)
{
  Faults faults;
  auto workspace =
    std::find_if(aDocument.workspaces.begin(),
                 aDocument.workspaces.end(),
                 [&](const Workspace& x) { return x.id == aSpec.workspace; });
  if (workspace == aDocument.workspaces.end()) {
    faults.push_back({ "/workspace",
                       aSpec.workspace.Value(),
                       "a workspace of the configuration" });
  } else {
    const Quota& quota = workspace->quota;
    if (quota.jobs == 0) {
      faults.push_back({ "/workspace",
                         aSpec.workspace.Value(),
                         "a workspace whose quota allows jobs" });
    }
    uint64_t total =
      uint64_t(aSpec.members) * aSpec.acceleratorsPerMember.Value();
    if (total > quota.accelerators.Value()) {
      faults.push_back({ "/members",
                         std::to_string(total) + " accelerators in all",
                         "at most " +
                           std::to_string(quota.accelerators.Value()) +
                           ", the workspace's quota" });
    }
  }
  uint64_t largest = MaxGangSize(aSpec, aDocument);
  if (aSpec.members > largest) {
    faults.push_back({ "/members",
                       std::to_string(aSpec.members),
                       "at most " + std::to_string(largest) +
                         ", the members that one " +
                         TopologyScopeName(aSpec.topologyScope) +
                         " of the declared racks can hold" });
  }
  return faults;
}

} // namespace limpetwood::model
