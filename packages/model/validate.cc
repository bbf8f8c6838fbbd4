// Parsing of configuration documents and job specifications.

#include "model/validate.h"

#include "model/internal/document_json.h"
#include "model/internal/document_rules.h"
#include "model/internal/object_reader.h"
#include "model/plan.h"

namespace limpetwood::model {

namespace {

using internal::CheckDocumentRules;
using internal::DocumentToJson;
using internal::FaultList;
using internal::Json;
using internal::kMaxAcceleratorsPerWorker;
using internal::kMaxCoresPerWorker;
using internal::kMaxJobName;
using internal::kMaxMembers;
using internal::kMaxMemoryMb;
using internal::kMaxPayload;
using internal::kMaxRunTimeMs;
using internal::kTopologyScopeExpected;
using internal::ObjectReader;
using internal::ParseText;
using internal::ReadDocument;
using internal::TextLimits;

constexpr TextLimits kJobTextLimits{ /*maxBytes=*/1U << 20U, /*maxDepth=*/4 };

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

JobSpec
ReadJobSpec(const Json& aRoot, FaultList& aFaults)
{
  ObjectReader root(aRoot, "", aFaults);
  JobSpec spec;
  spec.workspace = WorkspaceId(root.Identifier("workspace"));
  spec.name = root.Text("name", { 0, kMaxJobName }, std::string());
  // The numeric defaults are those of `JobSpec`. Memory is in MB.
  spec.members = Narrow(root.Integer("members", { 1, kMaxMembers }, 1));
  spec.acceleratorsPerMember = Accelerators(Narrow(root.Integer(
    "acceleratorsPerMember", { 0, kMaxAcceleratorsPerWorker }, 1)));
  spec.coresPerMember =
    Narrow(root.Integer("coresPerMember", { 1, kMaxCoresPerWorker }, 1));
  spec.memoryMbPerMember =
    root.Integer("memoryMbPerMember", { 1, kMaxMemoryMb }, 1024);
  spec.topologyScope = root.Choice<TopologyScope>("closeness",
                                                  ParseTopologyScope,
                                                  kTopologyScopeExpected,
                                                  spec.topologyScope);
  spec.priority =
    root.Choice<Priority>("priority",
                          ParsePriority,
                          "one of \"batch\", \"normal\", \"urgent\"",
                          spec.priority);
  spec.declaredRunTime =
    ToMillis(root.Integer("declaredRunTimeMs",
                          { 1, kMaxRunTimeMs },
                          static_cast<uint64_t>(spec.declaredRunTime.Count())));
  spec.checkpointable = root.Boolean("checkpointable", false);
  spec.payload = root.Text("payload", { 0, kMaxPayload }, std::string());
  root.Finish();
  return spec;
}

} // namespace

Parsed<PlannedDocument>
ParseDocument(std::string_view aText, const GuaranteePlan* aPrevious)
{
  FaultList faults;
  Parsed<PlannedDocument> parsed;
  std::optional<Json> root = ParseText(aText, {}, faults);
  if (root) {
    Document& document = parsed.value.document;
    document = ReadDocument(*root, faults);
    CheckDocumentRules(document, faults);
    // A plan over invalid racks or guarantees would report shortages that do
    // not exist.
    if (!faults.HasFaultUnder("/zones") && !faults.HasFaultUnder("/racks") &&
        !faults.HasFaultUnder("/workspaces")) {
      PlanOutcome outcome = PlanGuarantees(document, aPrevious);
      parsed.value.plan = std::move(outcome.plan);
      for (Fault& it : outcome.faults) {
        faults.Add(
          std::move(it.path), std::move(it.value), std::move(it.expected));
      }
    }
  }
  parsed.faults = faults.Take();
  return parsed;
}

Parsed<JobSpec>
ParseJobSpec(std::string_view aText)
{
  FaultList faults;
  Parsed<JobSpec> parsed;
  std::optional<Json> root = ParseText(aText, kJobTextLimits, faults);
  if (root) {
    parsed.value = ReadJobSpec(*root, faults);
  }
  parsed.faults = faults.Take();
  return parsed;
}

std::string
WriteDocument(const Document& aDocument)
{
  return DocumentToJson(aDocument).dump();
}

std::string
WriteJobSpec(const JobSpec& aSpec)
{
  Json json{
    { "workspace", aSpec.workspace.Value() },
    { "name", aSpec.name },
    { "members", aSpec.members },
    { "acceleratorsPerMember", aSpec.acceleratorsPerMember.Value() },
    { "coresPerMember", aSpec.coresPerMember },
    { "memoryMbPerMember", aSpec.memoryMbPerMember },
    { "closeness", TopologyScopeName(aSpec.topologyScope) },
    { "priority", PriorityName(aSpec.priority) },
    { "declaredRunTimeMs", aSpec.declaredRunTime.Count() },
    { "checkpointable", aSpec.checkpointable },
    { "payload", aSpec.payload },
  };
  return json.dump();
}

} // namespace limpetwood::model
