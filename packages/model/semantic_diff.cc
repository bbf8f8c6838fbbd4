// Comparison of two configuration documents by meaning.

#include "model/semantic_diff.h"

#include "model/internal/json_text.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace limpetwood::model {

namespace {

// A guarantee without its count.
using GuaranteeClass = std::pair<Shape, std::optional<ZoneId>>;
using Fields = std::map<std::string, std::string>;

std::string
FormatCount(uint64_t aCount, const std::string& aWhat)
{
  return std::to_string(aCount) + " x " + aWhat;
}

std::string
FormatNumber(double aValue)
{
  return internal::Json(aValue).dump();
}

// Fields of the items. The keys are those of the document.

Fields
FieldsOf(const ZoneId&)
{
  return {};
}

Fields
FieldsOf(const Rack& aRack)
{
  return { { "zone", aRack.zone.Value() },
           { "workers", std::to_string(aRack.workers) },
           { "acceleratorsPerWorker",
             std::to_string(aRack.acceleratorsPerWorker.Value()) },
           { "coresPerWorker", std::to_string(aRack.coresPerWorker) },
           { "memoryMbPerWorker", std::to_string(aRack.memoryMbPerWorker) } };
}

Fields
FieldsOf(const Workspace& aWorkspace)
{
  std::map<GuaranteeClass, uint64_t> counts;
  for (const Guarantee& it : aWorkspace.guarantees) {
    counts[{ it.shape, it.zone }] += it.count;
  }
  Fields fields{
    { "quota/accelerators",
      std::to_string(aWorkspace.quota.accelerators.Value()) },
    { "quota/jobs", std::to_string(aWorkspace.quota.jobs) },
    { "quota/requests", std::to_string(aWorkspace.quota.requests) },
    { "share", FormatNumber(aWorkspace.share) },
  };
  for (const auto& [key, count] : counts) {
    const auto& [shape, zone] = key;
    std::string what = FormatShape(shape);
    if (zone) {
      what += " in " + zone->Value();
    }
    fields["guarantees: " + what] = FormatCount(count, what);
  }
  return fields;
}

Fields
FieldsOf(const Service& aService)
{
  return {
    { "attemptTimeoutMs", std::to_string(aService.attemptTimeout.Count()) },
    { "defaultDeadlineMs", std::to_string(aService.defaultDeadline.Count()) },
    { "maxRequestBytes", std::to_string(aService.maxRequestBytes) },
    { "maxResponseBytes", std::to_string(aService.maxResponseBytes) },
    { "queueLimit", std::to_string(aService.queueLimit) }
  };
}

Fields
FieldsOf(const PolicyWeights& aPolicy)
{
  return { { "completionTime", FormatNumber(aPolicy.completionTime) },
           { "fragmentation", FormatNumber(aPolicy.fragmentation) } };
}

std::string
Summarize(const Fields& aFields)
{
  std::string text;
  for (const auto& [field, value] : aFields) {
    if (!text.empty()) {
      text += ", ";
    }
    // The value of a guarantee names its shape.
    if (!field.starts_with("guarantees: ")) {
      text += field;
      text += ' ';
    }
    text += value;
  }
  return text;
}

class Comparison
{
public:
  template<typename T>
  void Items(const char* aItem,
             const std::vector<T>& aFrom,
             const std::vector<T>& aTo)
  {
    std::map<std::string, Fields> from = ById(aFrom);
    std::map<std::string, Fields> to = ById(aTo);
    for (const auto& [id, fields] : from) {
      auto other = to.find(id);
      if (other == to.end()) {
        Add(ChangeKind::kRemoved, aItem, id, "", Summarize(fields), "");
      } else {
        CompareFields(aItem, id, fields, other->second);
      }
    }
    for (const auto& [id, fields] : to) {
      if (!from.contains(id)) {
        Add(ChangeKind::kAdded, aItem, id, "", "", Summarize(fields));
      }
    }
  }

  void CompareFields(const char* aItem,
                     const std::string& aId,
                     const Fields& aFrom,
                     const Fields& aTo)
  {
    Fields all = aFrom;
    all.insert(aTo.begin(), aTo.end());
    for (const auto& [field, unused] : all) {
      auto from = aFrom.find(field);
      auto to = aTo.find(field);
      // Only guarantees may be absent on one side.
      std::string key = field.substr(0, field.find(':'));
      if (from == aFrom.end()) {
        Add(ChangeKind::kAdded, aItem, aId, key, "", to->second);
      } else if (to == aTo.end()) {
        Add(ChangeKind::kRemoved, aItem, aId, key, from->second, "");
      } else if (from->second != to->second) {
        Add(ChangeKind::kChanged, aItem, aId, key, from->second, to->second);
      }
    }
  }

  void Add(ChangeKind aKind,
           const char* aItem,
           const std::string& aId,
           std::string aField,
           std::string aBefore,
           std::string aAfter)
  {
    mChanges.push_back({ aKind,
                         aItem,
                         aId,
                         std::move(aField),
                         std::move(aBefore),
                         std::move(aAfter) });
  }

  std::vector<SemanticChange> Take()
  {
    auto order = [](const SemanticChange& x) {
      return std::tie(x.item, x.id, x.field);
    };
    std::stable_sort(mChanges.begin(),
                     mChanges.end(),
                     [&](const SemanticChange& x, const SemanticChange& y) {
                       return order(x) < order(y);
                     });
    return std::move(mChanges);
  }

private:
  static const std::string& IdOf(const ZoneId& aZone) { return aZone.Value(); }
  template<typename T>
  static const std::string& IdOf(const T& aItem)
  {
    return aItem.id.Value();
  }

  template<typename T>
  static std::map<std::string, Fields> ById(const std::vector<T>& aItems)
  {
    std::map<std::string, Fields> items;
    for (const T& it : aItems) {
      items[IdOf(it)] = FieldsOf(it);
    }
    return items;
  }

  std::vector<SemanticChange> mChanges;
};

void
CompareDocuments(Comparison& aComparison,
                 const Document& aFrom,
                 const Document& aTo)
{
  aComparison.Items("zone", aFrom.zones, aTo.zones);
  aComparison.Items("rack", aFrom.racks, aTo.racks);
  aComparison.Items("workspace", aFrom.workspaces, aTo.workspaces);
  aComparison.Items("service", aFrom.services, aTo.services);
  aComparison.CompareFields(
    "policy", "", FieldsOf(aFrom.policy), FieldsOf(aTo.policy));
}

// Number of shapes for each zone, for each shape of each workspace.
using Placement =
  std::map<std::pair<WorkspaceId, Shape>, std::map<ZoneId, uint64_t>>;

Placement
PlacementOf(const GuaranteePlan& aPlan)
{
  Placement placement;
  for (const PinnedShape& it : aPlan.shapes) {
    ++placement[{ it.workspace, it.shape }][it.zone];
  }
  return placement;
}

uint64_t
CountIn(const std::map<ZoneId, uint64_t>& aZones, const ZoneId& aZone)
{
  auto found = aZones.find(aZone);
  return found == aZones.end() ? 0 : found->second;
}

// True if one zone gains shapes and another one loses some. If the number of
// shapes changed and none moved, the change of the guarantee says everything.
bool
Moved(const std::map<ZoneId, uint64_t>& aFrom,
      const std::map<ZoneId, uint64_t>& aTo)
{
  bool gains = std::any_of(aTo.begin(), aTo.end(), [&](const auto& x) {
    return x.second > CountIn(aFrom, x.first);
  });
  bool loses = std::any_of(aFrom.begin(), aFrom.end(), [&](const auto& x) {
    return x.second > CountIn(aTo, x.first);
  });
  return gains && loses;
}

std::string
FormatZones(const Shape& aShape, const std::map<ZoneId, uint64_t>& aZones)
{
  std::string text = FormatShape(aShape) + ":";
  const char* separator = " ";
  for (const auto& [zone, count] : aZones) {
    text += separator + std::to_string(count) + " in " + zone.Value();
    separator = ", ";
  }
  return text;
}

} // namespace

const char*
ChangeKindName(ChangeKind aKind)
{
  switch (aKind) {
    case ChangeKind::kAdded:
      return "added";
    case ChangeKind::kRemoved:
      return "removed";
    case ChangeKind::kChanged:
      break;
  }
  return "changed";
}

std::string
FormatShape(const Shape& aShape)
{
  uint32_t count = aShape.accelerators.Value();
  return std::to_string(count) +
         (count == 1 ? " accelerator (" : " accelerators (") +
         TopologyScopeName(aShape.topologyScope) + ")";
}

std::vector<SemanticChange>
SemanticChanges(const Document& aFrom, const Document& aTo)
{
  Comparison comparison;
  CompareDocuments(comparison, aFrom, aTo);
  return comparison.Take();
}

std::vector<SemanticChange>
SemanticChanges(const PlannedDocument& aFrom, const PlannedDocument& aTo)
{
  Comparison comparison;
  CompareDocuments(comparison, aFrom.document, aTo.document);
  Placement from = PlacementOf(aFrom.plan);
  Placement to = PlacementOf(aTo.plan);
  for (const auto& [key, zones] : from) {
    auto other = to.find(key);
    if (other != to.end() && Moved(zones, other->second)) {
      const auto& [workspace, shape] = key;
      comparison.Add(ChangeKind::kChanged,
                     "workspace",
                     workspace.Value(),
                     "plan",
                     FormatZones(shape, zones),
                     FormatZones(shape, other->second));
    }
  }
  return comparison.Take();
}

} // namespace limpetwood::model
