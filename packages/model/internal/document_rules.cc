// Rules between fields of the configuration document.

#include "model/internal/document_rules.h"

#include <set>
#include <string>

namespace limpetwood::model::internal {

namespace {

// Skips empty ids, for which the reader already reported a fault.
template<typename Id>
void
CheckUnique(std::set<Id>& aSeen,
            const Id& aId,
            const std::string& aPath,
            FaultList& aFaults)
{
  if (!aId.empty() && !aSeen.insert(aId).second) {
    aFaults.Add(aPath, aId.Value(), "an id that is used only once");
  }
}

void
CheckZone(const ZoneId& aZone,
          const std::set<ZoneId>& aZones,
          const std::string& aPath,
          FaultList& aFaults)
{
  if (!aZone.empty() && !aZones.contains(aZone) &&
      !aFaults.HasFaultUnder("/zones")) {
    aFaults.Add(aPath, aZone.Value(), "a zone listed in /zones");
  }
}

void
CheckRacks(const Document& aDocument,
           const std::set<ZoneId>& aZones,
           FaultList& aFaults)
{
  std::set<RackId> seen;
  uint64_t workers = 0;
  for (size_t n = 0; n < aDocument.racks.size(); ++n) {
    const Rack& it = aDocument.racks[n];
    std::string path = AppendToPointer("/racks", n);
    CheckUnique(seen, it.id, path + "/id", aFaults);
    CheckZone(it.zone, aZones, path + "/zone", aFaults);
    workers += it.workers;
  }
  if (workers > kMaxWorkers) {
    aFaults.Add("/racks",
                std::to_string(workers) + " workers",
                "at most " + std::to_string(kMaxWorkers) +
                  " workers in all racks together");
  }
}

void
CheckQuota(const Workspace& aWorkspace,
           const std::string& aPath,
           FaultList& aFaults)
{
  uint64_t guaranteed = 0;
  uint64_t shapes = 0;
  for (const Guarantee& it : aWorkspace.guarantees) {
    guaranteed += uint64_t(it.shape.accelerators.Value()) * it.count;
    shapes += it.count;
  }
  if (aFaults.HasFaultUnder(aPath + "/guarantees") ||
      aFaults.HasFaultUnder(aPath + "/quota")) {
    return;
  }
  const Quota& quota = aWorkspace.quota;
  if (quota.accelerators.Value() < guaranteed) {
    aFaults.Add(aPath + "/quota/accelerators",
                std::to_string(quota.accelerators.Value()),
                "at least " + std::to_string(guaranteed) +
                  ", the sum of the workspace's guarantees");
  }
  if (quota.jobs < shapes) {
    aFaults.Add(aPath + "/quota/jobs",
                std::to_string(quota.jobs),
                "at least " + std::to_string(shapes) +
                  ", one job for each guaranteed shape");
  }
}

void
CheckWorkspaces(const Document& aDocument,
                const std::set<ZoneId>& aZones,
                FaultList& aFaults)
{
  std::set<WorkspaceId> seen;
  uint64_t shapes = 0;
  for (size_t n = 0; n < aDocument.workspaces.size(); ++n) {
    const Workspace& it = aDocument.workspaces[n];
    std::string path = AppendToPointer("/workspaces", n);
    CheckUnique(seen, it.id, path + "/id", aFaults);
    for (size_t g = 0; g < it.guarantees.size(); ++g) {
      const Guarantee& guarantee = it.guarantees[g];
      shapes += guarantee.count;
      if (guarantee.zone) {
        CheckZone(*guarantee.zone,
                  aZones,
                  AppendToPointer(path + "/guarantees", g) + "/zone",
                  aFaults);
      }
    }
    CheckQuota(it, path, aFaults);
  }
  if (shapes > kMaxShapes) {
    aFaults.Add("/workspaces",
                std::to_string(shapes) + " guaranteed shapes",
                "at most " + std::to_string(kMaxShapes) +
                  " in all workspaces together");
  }
}

void
CheckServices(const Document& aDocument, FaultList& aFaults)
{
  std::set<ServiceId> seen;
  for (size_t n = 0; n < aDocument.services.size(); ++n) {
    const Service& it = aDocument.services[n];
    std::string path = AppendToPointer("/services", n);
    CheckUnique(seen, it.id, path + "/id", aFaults);
    if (it.attemptTimeout > it.defaultDeadline &&
        !aFaults.HasFaultUnder(path)) {
      aFaults.Add(path + "/attemptTimeoutMs",
                  std::to_string(it.attemptTimeout.Count()),
                  "at most defaultDeadlineMs, " +
                    std::to_string(it.defaultDeadline.Count()));
    }
  }
}

} // namespace

void
CheckDocumentRules(const Document& aDocument, FaultList& aFaults)
{
  std::set<ZoneId> zones;
  for (size_t n = 0; n < aDocument.zones.size(); ++n) {
    CheckUnique(
      zones, aDocument.zones[n], AppendToPointer("/zones", n), aFaults);
  }
  CheckRacks(aDocument, zones, aFaults);
  CheckWorkspaces(aDocument, zones, aFaults);
  CheckServices(aDocument, aFaults);
  if (aDocument.policy.completionTime + aDocument.policy.fragmentation <= 0 &&
      !aFaults.HasFaultUnder("/policy")) {
    aFaults.Add("/policy", "both weights 0", "at least one weight above 0");
  }
}

} // namespace limpetwood::model::internal
