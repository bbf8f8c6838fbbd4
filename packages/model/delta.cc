// Serialization and deltas of accepted configurations; see `delta.h`.

#include "model/delta.h"

#include "base/error.h"
#include "base/hash.h"
#include "model/internal/document_json.h"

#include <map>
#include <optional>
#include <vector>

namespace limpetwood::model {

namespace {

using internal::FaultList;
using internal::Json;

// Sections of the document that are arrays of items with ids.
constexpr const char* kSections[] = { "racks", "workspaces", "services" };

// Larger than the limit for documents, because the text also contains the plan.
constexpr internal::TextLimits kPlannedLimits{ /*maxBytes=*/16U << 20U,
                                               /*maxDepth=*/16 };

// The plan as JSON: for each workspace id an array with one entry per
// guarantee, which lists the zones of the guarantee's shapes in plan order.
Json
PlanToJson(const PlannedDocument& aPlanned)
{
  Json plan = Json::object();
  size_t next = 0;
  for (const Workspace& workspace : aPlanned.document.workspaces) {
    Json guarantees = Json::array();
    for (const Guarantee& it : workspace.guarantees) {
      Json zones = Json::array();
      for (uint32_t n = 0; n < it.count; ++n) {
        zones.push_back(next < aPlanned.plan.shapes.size()
                          ? aPlanned.plan.shapes[next].zone.Value()
                          : std::string());
        ++next;
      }
      guarantees.push_back(std::move(zones));
    }
    plan[workspace.id.Value()] = std::move(guarantees);
  }
  return plan;
}

Json
PlannedToJson(const PlannedDocument& aPlanned)
{
  Json json;
  json["document"] = internal::DocumentToJson(aPlanned.document);
  json["plan"] = PlanToJson(aPlanned);
  return json;
}

bool
ReadPlan(const Json& aPlan, PlannedDocument& aPlanned)
{
  if (!aPlan.is_object() ||
      aPlan.size() != aPlanned.document.workspaces.size()) {
    return false;
  }
  for (const Workspace& workspace : aPlanned.document.workspaces) {
    auto guarantees = aPlan.find(workspace.id.Value());
    if (guarantees == aPlan.end() || !guarantees->is_array() ||
        guarantees->size() != workspace.guarantees.size()) {
      return false;
    }
    for (size_t g = 0; g < workspace.guarantees.size(); ++g) {
      const Json& zones = (*guarantees)[g];
      if (!zones.is_array() || zones.size() != workspace.guarantees[g].count) {
        return false;
      }
      for (const Json& it : zones) {
        if (!it.is_string()) {
          return false;
        }
        aPlanned.plan.shapes.push_back({ workspace.id,
                                         workspace.guarantees[g].shape,
                                         ZoneId(it.get<std::string>()) });
      }
    }
  }
  return true;
}

Result<PlannedDocument>
PlannedFromJson(const Json& aJson)
{
  if (!aJson.is_object() || !aJson.contains("document") ||
      !aJson.contains("plan") || aJson.size() != 2) {
    return make_error_code(Errc::kCorrupt);
  }
  PlannedDocument planned;
  FaultList faults;
  planned.document = internal::ReadDocument(aJson["document"], faults);
  if (faults.Count() > 0 || !ReadPlan(aJson["plan"], planned)) {
    return make_error_code(Errc::kCorrupt);
  }
  return planned;
}

using IdOrder = std::vector<std::string>;

IdOrder
IdsOf(const Json& aArray)
{
  IdOrder order;
  for (const Json& it : aArray) {
    order.push_back(it["id"].get<std::string>());
  }
  return order;
}

// Converts each section from an array of items to an object keyed by id.
Json
KeyItemsById(Json aPlanned)
{
  for (const char* section : kSections) {
    Json keyed = Json::object();
    for (Json& it : aPlanned["document"][section]) {
      std::string id = it["id"].get<std::string>();
      keyed[id] = std::move(it);
    }
    aPlanned["document"][section] = std::move(keyed);
  }
  return aPlanned;
}

// The inverse of `KeyItemsById`. Returns false if the ids in `aOrders` are not
// exactly those of the items.
bool
RestoreItemArrays(Json& aPlanned, const std::map<std::string, IdOrder>& aOrders)
{
  for (const char* section : kSections) {
    Json& keyed = aPlanned["document"][section];
    const IdOrder& order = aOrders.at(section);
    if (!keyed.is_object() || keyed.size() != order.size()) {
      return false;
    }
    Json array = Json::array();
    for (const std::string& id : order) {
      if (!keyed.contains(id)) {
        return false;
      }
      array.push_back(std::move(keyed[id]));
    }
    keyed = std::move(array);
  }
  return true;
}

// The order of items if a delta does not specify one: existing items keep their
// order, new ones follow, sorted by id.
IdOrder
DefaultOrder(const IdOrder& aFrom, const Json& aKeyed)
{
  IdOrder order;
  std::map<std::string, bool> placed;
  for (const std::string& it : aFrom) {
    if (aKeyed.contains(it)) {
      order.push_back(it);
      placed[it] = true;
    }
  }
  for (auto it = aKeyed.begin(); it != aKeyed.end(); ++it) {
    if (!placed[it.key()]) {
      order.push_back(it.key());
    }
  }
  return order;
}

// The RFC 7396 merge patch that turns one object into another. Null means
// removal; this is unambiguous because documents contain no null.
Json
MergeDiff(const Json& aFrom, const Json& aTo)
{
  Json patch = Json::object();
  for (auto it = aTo.begin(); it != aTo.end(); ++it) {
    auto from = aFrom.find(it.key());
    if (from == aFrom.end()) {
      patch[it.key()] = *it;
    } else if (*from != *it) {
      patch[it.key()] =
        from->is_object() && it->is_object() ? MergeDiff(*from, *it) : *it;
    }
  }
  for (auto it = aFrom.begin(); it != aFrom.end(); ++it) {
    if (!aTo.contains(it.key())) {
      patch[it.key()] = nullptr;
    }
  }
  return patch;
}

struct Delta
{
  std::string base;
  std::string result;
  Json patch;
  // Item order of the sections that differ from `DefaultOrder`.
  std::map<std::string, IdOrder> orders;
};

std::optional<Delta>
ReadDelta(std::string_view aText)
{
  FaultList faults;
  std::optional<Json> json = internal::ParseText(aText, kPlannedLimits, faults);
  if (!json || faults.Count() > 0 || !json->is_object()) {
    return std::nullopt;
  }
  Delta delta;
  for (const auto& [key, field] :
       { std::pair("base", &delta.base), std::pair("result", &delta.result) }) {
    auto found = json->find(key);
    if (found == json->end() || !found->is_string()) {
      return std::nullopt;
    }
    *field = found->get<std::string>();
  }
  delta.patch = json->value("patch", Json());
  Json order = json->value("order", Json::object());
  if (!delta.patch.is_object() || !order.is_object()) {
    return std::nullopt;
  }
  for (auto it = order.begin(); it != order.end(); ++it) {
    if (!it->is_array()) {
      return std::nullopt;
    }
    for (const Json& id : *it) {
      if (!id.is_string()) {
        return std::nullopt;
      }
      delta.orders[it.key()].push_back(id.get<std::string>());
    }
  }
  return delta;
}

} // namespace

std::string
WritePlannedDocument(const PlannedDocument& aPlanned)
{
  return PlannedToJson(aPlanned).dump();
}

Result<PlannedDocument>
ReadPlannedDocument(std::string_view aText)
{
  FaultList faults;
  std::optional<Json> json = internal::ParseText(aText, kPlannedLimits, faults);
  if (!json || faults.Count() > 0) {
    return make_error_code(Errc::kCorrupt);
  }
  return PlannedFromJson(*json);
}

uint64_t
ConfigurationHash(const PlannedDocument& aPlanned)
{
  return Hash64(WritePlannedDocument(aPlanned));
}

std::string
FormatHash(uint64_t aHash)
{
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (size_t n = 16; n-- > 0; aHash >>= 4U) {
    text[n] = kDigits[aHash & 15U];
  }
  return text;
}

std::string
EncodeDelta(const PlannedDocument& aFrom, const PlannedDocument& aTo)
{
  Json from = PlannedToJson(aFrom);
  Json to = PlannedToJson(aTo);
  Json delta;
  delta["base"] = FormatHash(Hash64(from.dump()));
  delta["result"] = FormatHash(Hash64(to.dump()));
  std::map<std::string, std::pair<IdOrder, IdOrder>> orders;
  for (const char* it : kSections) {
    orders[it] = { IdsOf(from["document"][it]), IdsOf(to["document"][it]) };
  }
  from = KeyItemsById(std::move(from));
  to = KeyItemsById(std::move(to));
  for (const char* it : kSections) {
    const auto& [before, after] = orders[it];
    if (DefaultOrder(before, to["document"][it]) != after) {
      delta["order"][it] = after;
    }
  }
  delta["patch"] = MergeDiff(from, to);
  return delta.dump();
}

Result<PlannedDocument>
ApplyDelta(const PlannedDocument& aFrom, std::string_view aDelta)
{
  std::optional<Delta> delta = ReadDelta(aDelta);
  if (!delta) {
    return make_error_code(Errc::kCorrupt);
  }
  Json json = PlannedToJson(aFrom);
  if (FormatHash(Hash64(json.dump())) != delta->base) {
    return make_error_code(Errc::kConflict);
  }
  std::map<std::string, IdOrder> orders;
  for (const char* it : kSections) {
    orders[it] = IdsOf(json["document"][it]);
  }
  json = KeyItemsById(std::move(json));
  json.merge_patch(delta->patch);
  if (!json.contains("document") || !json["document"].is_object()) {
    return make_error_code(Errc::kCorrupt);
  }
  for (const char* it : kSections) {
    Json& keyed = json["document"][it];
    if (!keyed.is_object()) {
      return make_error_code(Errc::kCorrupt);
    }
    auto explicitOrder = delta->orders.find(it);
    orders[it] = explicitOrder == delta->orders.end()
                   ? DefaultOrder(orders[it], keyed)
                   : explicitOrder->second;
  }
  if (!RestoreItemArrays(json, orders)) {
    return make_error_code(Errc::kCorrupt);
  }
  Result<PlannedDocument> planned = PlannedFromJson(json);
  if (planned &&
      FormatHash(ConfigurationHash(planned.Value())) != delta->result) {
    return make_error_code(Errc::kCorrupt);
  }
  return planned;
}

} // namespace limpetwood::model
