// Random documents for property tests.

#pragma once

#include "model/validate.h"

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace limpetwood::model {

// Guarantees are single accelerators, so most documents are accepted. Ids are
// drawn from a small set, so that two documents have some in common.
inline Document
ArbitraryDocument()
{
  Document document;
  auto zones = *rc::gen::inRange<size_t>(1, 4);
  for (size_t n = 0; n < zones; ++n) {
    document.zones.emplace_back("zone-" + std::to_string(n));
  }
  auto ids = [](const char* aPrefix) {
    std::vector<std::string> names;
    for (int n = 0; n < 8; ++n) {
      if (*rc::gen::arbitrary<bool>()) {
        // Inserting at either end makes the order of ids vary.
        names.insert(*rc::gen::arbitrary<bool>() ? names.begin() : names.end(),
                     aPrefix + std::to_string(n));
      }
    }
    return names;
  };
  for (const std::string& id : ids("rack-")) {
    document.racks.push_back({ RackId(id),
                               *rc::gen::elementOf(document.zones),
                               *rc::gen::inRange(1U, 9U),
                               Accelerators(*rc::gen::inRange(0U, 9U)),
                               *rc::gen::inRange(1U, 131U),
                               *rc::gen::inRange<uint64_t>(1, 500000) });
  }
  for (const std::string& id : ids("team-")) {
    Workspace workspace;
    workspace.id = WorkspaceId(id);
    if (*rc::gen::arbitrary<bool>() && !document.racks.empty()) {
      workspace.guarantees.push_back(
        { { Accelerators(1),
            *rc::gen::element(TopologyScope::kWorker,
                              TopologyScope::kRack,
                              TopologyScope::kZone) },
          *rc::gen::inRange(1U, 3U),
          std::nullopt });
    }
    workspace.quota = { Accelerators(*rc::gen::inRange(4U, 100U)),
                        *rc::gen::inRange(4U, 100U),
                        *rc::gen::inRange(0U, 100U) };
    workspace.share = *rc::gen::inRange(1, 1000000) / 1001.0;
    document.workspaces.push_back(std::move(workspace));
  }
  for (const std::string& id : ids("service-")) {
    Service service;
    service.id = ServiceId(id);
    service.attemptTimeout = Millis(*rc::gen::inRange(1, 60000));
    service.queueLimit = *rc::gen::inRange(1U, 1000U);
    document.services.push_back(service);
  }
  document.policy.completionTime = *rc::gen::inRange(1, 1000) / 7.0;
  return document;
}

} // namespace limpetwood::model
