// Reads and writes the JSON form of the configuration document.

#include "model/internal/document_json.h"

#include "model/internal/document_rules.h"
#include "model/internal/object_reader.h"

namespace limpetwood::model::internal {

namespace {

uint32_t
Narrow(uint64_t aValue)
{
  return static_cast<uint32_t>(aValue);
}

Millis
ToMillis(uint64_t aValue)
{
  return Millis(static_cast<int64_t>(aValue));
}

Rack
ReadRack(const Json& aNode, const std::string& aPath, FaultList& aFaults)
{
  ObjectReader object(aNode, aPath, aFaults);
  Rack rack;
  rack.id = RackId(object.Identifier("id"));
  rack.zone = ZoneId(object.Identifier("zone"));
  rack.workers = Narrow(object.Integer("workers", { 1, kMaxWorkersPerRack }));
  rack.acceleratorsPerWorker = Accelerators(Narrow(
    object.Integer("acceleratorsPerWorker", { 0, kMaxAcceleratorsPerWorker })));
  rack.coresPerWorker =
    Narrow(object.Integer("coresPerWorker", { 1, kMaxCoresPerWorker }));
  rack.memoryMbPerWorker =
    object.Integer("memoryMbPerWorker", { 1, kMaxMemoryMb });
  object.Finish();
  return rack;
}

Shape
ReadShape(ObjectReader& aParent, FaultList& aFaults)
{
  Shape shape;
  const Json* node = aParent.Find("shape", true);
  if (!node) {
    return shape;
  }
  ObjectReader object(*node, aParent.PathOf("shape"), aFaults);
  shape.accelerators = Accelerators(
    Narrow(object.Integer("accelerators", { 1, kMaxAccelerators })));
  shape.topologyScope = object.Choice<TopologyScope>(
    "closeness", ParseTopologyScope, kTopologyScopeExpected);
  object.Finish();
  return shape;
}

Guarantee
ReadGuarantee(const Json& aNode, const std::string& aPath, FaultList& aFaults)
{
  ObjectReader object(aNode, aPath, aFaults);
  Guarantee guarantee;
  guarantee.shape = ReadShape(object, aFaults);
  guarantee.count =
    Narrow(object.Integer("count", { 1, kMaxShapesPerGuarantee }, 1));
  std::optional<std::string> zone = object.OptionalIdentifier("zone");
  if (zone) {
    guarantee.zone = ZoneId(std::move(*zone));
  }
  object.Finish();
  return guarantee;
}

Quota
ReadQuota(ObjectReader& aParent, FaultList& aFaults)
{
  Quota quota;
  const Json* node = aParent.Find("quota", true);
  if (!node) {
    return quota;
  }
  ObjectReader object(*node, aParent.PathOf("quota"), aFaults);
  quota.accelerators = Accelerators(
    Narrow(object.Integer("accelerators", { 0, kMaxAccelerators })));
  quota.jobs = Narrow(object.Integer("jobs", { 0, kMaxQuotaJobs }));
  quota.requests = Narrow(object.Integer("requests", { 0, kMaxQuotaRequests }));
  object.Finish();
  return quota;
}

Workspace
ReadWorkspace(const Json& aNode, const std::string& aPath, FaultList& aFaults)
{
  ObjectReader object(aNode, aPath, aFaults);
  Workspace workspace;
  workspace.id = WorkspaceId(object.Identifier("id"));
  object.Array("guarantees",
               { 0, kMaxGuaranteesPerWorkspace },
               false,
               [&](const Json& aItem, const std::string& aItemPath) {
                 workspace.guarantees.push_back(
                   ReadGuarantee(aItem, aItemPath, aFaults));
               });
  workspace.quota = ReadQuota(object, aFaults);
  workspace.share = object.Number("share", { 0.001, 1000.0 }, 1.0);
  object.Finish();
  return workspace;
}

Service
ReadService(const Json& aNode, const std::string& aPath, FaultList& aFaults)
{
  ObjectReader object(aNode, aPath, aFaults);
  Service service;
  auto time = [&](const char* aKey, Millis aDefault) {
    return ToMillis(object.Integer(
      aKey, { 1, kMaxServiceTimeMs }, static_cast<uint64_t>(aDefault.Count())));
  };
  service.id = ServiceId(object.Identifier("id"));
  service.attemptTimeout = time("attemptTimeoutMs", service.attemptTimeout);
  service.defaultDeadline = time("defaultDeadlineMs", service.defaultDeadline);
  service.maxRequestBytes = object.Integer(
    "maxRequestBytes", { 1, kMaxBodyBytes }, service.maxRequestBytes);
  service.maxResponseBytes = object.Integer(
    "maxResponseBytes", { 1, kMaxBodyBytes }, service.maxResponseBytes);
  service.queueLimit =
    Narrow(object.Integer("queueLimit", { 1, 1000000 }, service.queueLimit));
  object.Finish();
  return service;
}

PolicyWeights
ReadPolicy(ObjectReader& aParent, FaultList& aFaults)
{
  PolicyWeights policy;
  const Json* node = aParent.Find("policy", false);
  if (!node) {
    return policy;
  }
  ObjectReader object(*node, aParent.PathOf("policy"), aFaults);
  policy.completionTime =
    object.Number("completionTime", { 0.0, 1000.0 }, policy.completionTime);
  policy.fragmentation =
    object.Number("fragmentation", { 0.0, 1000.0 }, policy.fragmentation);
  object.Finish();
  return policy;
}

ZoneId
ReadZone(const Json& aNode, const std::string& aPath, FaultList& aFaults)
{
  const auto* text = aNode.get_ptr<const std::string*>();
  if (!text || !IsIdentifier(*text)) {
    aFaults.Add(aPath, DescribeValue(aNode), kIdentifierExpected);
    return {};
  }
  return ZoneId(*text);
}

template<typename T, typename Write>
Json
WriteList(const std::vector<T>& aItems, Write aWrite)
{
  Json list = Json::array();
  for (const T& it : aItems) {
    list.push_back(aWrite(it));
  }
  return list;
}

template<typename T>
Json
WriteId(const T& aId)
{
  return aId.Value();
}

Json
WriteRack(const Rack& aRack)
{
  return { { "id", aRack.id.Value() },
           { "zone", aRack.zone.Value() },
           { "workers", aRack.workers },
           { "acceleratorsPerWorker", aRack.acceleratorsPerWorker.Value() },
           { "coresPerWorker", aRack.coresPerWorker },
           { "memoryMbPerWorker", aRack.memoryMbPerWorker } };
}

Json
WriteGuarantee(const Guarantee& aGuarantee)
{
  Json json{
    { "shape",
      { { "accelerators", aGuarantee.shape.accelerators.Value() },
        { "closeness", TopologyScopeName(aGuarantee.shape.topologyScope) } } },
    { "count", aGuarantee.count }
  };
  if (aGuarantee.zone) {
    json["zone"] = aGuarantee.zone->Value();
  }
  return json;
}

Json
WriteWorkspace(const Workspace& aWorkspace)
{
  return { { "id", aWorkspace.id.Value() },
           { "guarantees", WriteList(aWorkspace.guarantees, WriteGuarantee) },
           { "quota",
             { { "accelerators", aWorkspace.quota.accelerators.Value() },
               { "jobs", aWorkspace.quota.jobs },
               { "requests", aWorkspace.quota.requests } } },
           { "share", aWorkspace.share } };
}

Json
WriteService(const Service& aService)
{
  return { { "id", aService.id.Value() },
           { "attemptTimeoutMs", aService.attemptTimeout.Count() },
           { "defaultDeadlineMs", aService.defaultDeadline.Count() },
           { "maxRequestBytes", aService.maxRequestBytes },
           { "maxResponseBytes", aService.maxResponseBytes },
           { "queueLimit", aService.queueLimit } };
}

} // namespace

const char* const kTopologyScopeExpected =
  "one of \"worker\", \"rack\", \"zone\"";

Document
ReadDocument(const Json& aRoot, FaultList& aFaults)
{
  ObjectReader root(aRoot, "", aFaults);
  Document document;
  auto list =
    [&](const char* aKey, Range<size_t> aCount, auto& aOut, auto aRead) {
      root.Array(
        aKey, aCount, true, [&](const Json& aNode, const std::string& aPath) {
          aOut.push_back(aRead(aNode, aPath, aFaults));
        });
    };
  list("zones", { 1, kMaxZones }, document.zones, ReadZone);
  list("racks", { 0, kMaxRacks }, document.racks, ReadRack);
  list("workspaces", { 0, kMaxWorkspaces }, document.workspaces, ReadWorkspace);
  list("services", { 0, kMaxServices }, document.services, ReadService);
  document.policy = ReadPolicy(root, aFaults);
  root.Finish();
  return document;
}

Json
DocumentToJson(const Document& aDocument)
{
  return { { "zones", WriteList(aDocument.zones, WriteId<ZoneId>) },
           { "racks", WriteList(aDocument.racks, WriteRack) },
           { "workspaces", WriteList(aDocument.workspaces, WriteWorkspace) },
           { "services", WriteList(aDocument.services, WriteService) },
           { "policy",
             { { "completionTime", aDocument.policy.completionTime },
               { "fragmentation", aDocument.policy.fragmentation } } } };
}

} // namespace limpetwood::model::internal
