// Errors and warnings of a configuration document, with their positions.

#include "model/check.h"

#include "model/internal/json_text.h"
#include "model/internal/text_position.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <tuple>

namespace limpetwood::model {

namespace {

using internal::AppendToPointer;

// The paths of the faults, for the question whether an entry is free of them.
class FaultyPaths
{
public:
  explicit FaultyPaths(const Faults& aFaults)
  {
    for (const Fault& it : aFaults) {
      mExact.insert(it.path);
      for (size_t at = it.path.size(); at != std::string::npos;
           at = at == 0 ? std::string::npos : it.path.rfind('/', at - 1)) {
        mAround.insert(it.path.substr(0, at));
      }
    }
  }

  // True if a fault is at the path, below it or at something around it.
  bool Touch(const std::string& aPath) const
  {
    if (mAround.contains(aPath)) {
      return true;
    }
    for (size_t at = aPath.size(); at != std::string::npos && at != 0;) {
      at = aPath.rfind('/', at - 1);
      if (at != std::string::npos && mExact.contains(aPath.substr(0, at))) {
        return true;
      }
    }
    return false;
  }

private:
  std::set<std::string> mExact;
  // The paths of the faults and of everything around them.
  std::set<std::string> mAround;
};

std::string
ProblemOf(const Fault& aFault)
{
  if (aFault.expected.starts_with("JSON: ")) {
    return "the text is not valid JSON";
  }
  // A zone may have the id "missing".
  if (aFault.value == "missing" && aFault.expected == "this key is required") {
    return "a required key is missing";
  }
  if (aFault.value == "unknown key") {
    return "the key is not known";
  }
  if (aFault.value == "given twice") {
    return "the key is given more than once";
  }
  return "the value is not accepted";
}

// Offset of a syntax error, which has no path. `ParseText` states the number of
// bytes that were read, including the one in error, as "byte N".
std::optional<size_t>
SyntaxErrorOffset(const Fault& aFault)
{
  constexpr std::string_view kPrefix = "byte ";
  if (!aFault.path.empty() || !aFault.expected.starts_with("JSON: ") ||
      !aFault.value.starts_with(kPrefix)) {
    return std::nullopt;
  }
  size_t bytes = 0;
  const char* end = aFault.value.data() + aFault.value.size();
  auto read = std::from_chars(aFault.value.data() + kPrefix.size(), end, bytes);
  if (read.ec != std::errc() || read.ptr != end || bytes == 0) {
    return std::nullopt;
  }
  return bytes - 1;
}

// How many shapes of the class of `aShape` the guarantees of a workspace have
// room for. A larger shape, or one within a smaller scope, can be used for
// several smaller ones.
uint64_t
RoomFor(const Shape& aShape, const std::vector<Guarantee>& aGuarantees)
{
  uint64_t room = 0;
  for (const Guarantee& it : aGuarantees) {
    if (it.shape.topologyScope <= aShape.topologyScope) {
      room += uint64_t(it.count) *
              (it.shape.accelerators.Value() / aShape.accelerators.Value());
    }
  }
  return room;
}

class WarningList
{
public:
  explicit WarningList(const Faults& aFaults)
    : mFaulty(aFaults)
  {
  }

  void CheckZones(const Document& aDocument)
  {
    if (mFaulty.Touch("/zones") || mFaulty.Touch("/racks")) {
      return;
    }
    std::set<ZoneId> used;
    for (const Rack& it : aDocument.racks) {
      used.insert(it.zone);
    }
    for (size_t n = 0; n < aDocument.zones.size(); ++n) {
      const ZoneId& zone = aDocument.zones[n];
      if (!used.contains(zone)) {
        Add(FindingKind::kZoneWithoutRacks,
            AppendToPointer("/zones", n),
            Quote(zone.Value()),
            "no rack is in this zone, so nothing can be placed there",
            "at least one rack in the zone, or no such zone");
      }
    }
  }

  void CheckWorkspaces(const Document& aDocument)
  {
    for (size_t n = 0; n < aDocument.workspaces.size(); ++n) {
      std::string path = AppendToPointer("/workspaces", n);
      if (!mFaulty.Touch(path)) {
        CheckQuota(aDocument.workspaces[n], path);
      }
    }
  }

  void CheckServices(const Document& aDocument,
                     const Document& aInForce,
                     const std::set<ServiceId>& aAnnounced)
  {
    // A service that is not in force yet cannot have servers.
    std::set<ServiceId> inForce;
    for (const Service& it : aInForce.services) {
      inForce.insert(it.id);
    }
    for (size_t n = 0; n < aDocument.services.size(); ++n) {
      const ServiceId& id = aDocument.services[n].id;
      std::string path = AppendToPointer("/services", n);
      if (!mFaulty.Touch(path) && inForce.contains(id) &&
          !aAnnounced.contains(id)) {
        Add(
          FindingKind::kServiceWithoutServer,
          path + "/id",
          Quote(id.Value()),
          "no backend server announces this service, so its requests cannot be "
          "answered",
          "a service that a backend server announces");
      }
    }
  }

  void CheckChanges(const Document& aDocument, const Document& aInForce)
  {
    std::map<WorkspaceId, const Workspace*> before;
    for (const Workspace& it : aInForce.workspaces) {
      before[it.id] = &it;
    }
    std::set<WorkspaceId> kept;
    for (size_t n = 0; n < aDocument.workspaces.size(); ++n) {
      const Workspace& it = aDocument.workspaces[n];
      kept.insert(it.id);
      auto found = before.find(it.id);
      std::string path = AppendToPointer("/workspaces", n);
      if (found != before.end() && !mFaulty.Touch(path)) {
        CheckGuarantees(it, *found->second, path);
      }
    }
    if (mFaulty.Touch("/workspaces")) {
      return;
    }
    for (const auto& [id, unused] : before) {
      if (!kept.contains(id)) {
        Add(FindingKind::kWorkspaceRemoved,
            "/workspaces",
            Quote(id.Value()),
            "the workspace is in force and would be removed; its jobs and "
            "requests would be rejected",
            "the workspace, unless its removal is intended");
      }
    }
  }

  std::vector<Finding> Take() { return std::move(mFindings); }

private:
  static std::string Quote(const std::string& aText)
  {
    return internal::DescribeValue(internal::Json(aText));
  }

  void Add(FindingKind aKind,
           std::string aPath,
           std::string aValue,
           std::string aProblem,
           std::string aExpected)
  {
    Finding finding;
    finding.severity = Severity::kWarning;
    finding.kind = aKind;
    finding.path = std::move(aPath);
    finding.value = std::move(aValue);
    finding.problem = std::move(aProblem);
    finding.expected = std::move(aExpected);
    mFindings.push_back(std::move(finding));
  }

  void CheckQuota(const Workspace& aWorkspace, const std::string& aPath)
  {
    const Quota& quota = aWorkspace.quota;
    if (quota.jobs == 0 && quota.requests == 0) {
      Add(FindingKind::kWorkspaceCannotSubmit,
          aPath + "/quota",
          "jobs 0, requests 0",
          "the workspace can submit neither jobs nor requests",
          "a quota of jobs or of requests above 0, or no such workspace");
      return;
    }
    auto zero = [&](const char* aKey, const char* aProblem) {
      Add(FindingKind::kZeroQuota,
          aPath + "/quota/" + aKey,
          "0",
          aProblem,
          "at least 1, unless this is intended");
    };
    if (quota.jobs == 0) {
      // Accelerators are used by jobs only, so that their quota says nothing.
      zero("jobs", "every job of the workspace is rejected");
    } else if (quota.accelerators.Value() == 0) {
      zero("accelerators",
           "every job of the workspace that needs an accelerator is rejected");
    }
    if (quota.requests == 0) {
      zero("requests", "every request of the workspace is rejected");
    }
  }

  void CheckGuarantees(const Workspace& aWorkspace,
                       const Workspace& aInForce,
                       const std::string& aPath)
  {
    // All shapes in force, and single accelerators for the total.
    // The largest shape comes first, because smaller ones fit into it.
    std::set<Shape, std::greater<>> shapes{ { Accelerators(1),
                                              TopologyScope::kZone } };
    for (const Guarantee& it : aInForce.guarantees) {
      if (it.shape.accelerators.Value() > 0) {
        shapes.insert(it.shape);
      }
    }
    for (const Shape& it : shapes) {
      uint64_t before = RoomFor(it, aInForce.guarantees);
      uint64_t after = RoomFor(it, aWorkspace.guarantees);
      if (after < before) {
        std::string shape = std::to_string(before) + " x " + FormatShape(it);
        Add(FindingKind::kGuaranteeReduced,
            aPath + "/guarantees",
            std::to_string(after) + " x " + FormatShape(it),
            "the guarantee of workspace " + aWorkspace.id.Value() +
              " is smaller than in the version in force",
            "room for " + shape + ", unless the reduction is intended");
        return;
      }
    }
  }

  FaultyPaths mFaulty;
  std::vector<Finding> mFindings;
};

// Parses the document as it is parsed when it is submitted: an instance parses
// it without the plan in force, and the control leader with it. For a large
// document one may find a plan where the other finds none.
Parsed<PlannedDocument>
ParseLikeTheSystem(const CheckInput& aInput)
{
  Parsed<PlannedDocument> parsed = ParseDocument(aInput.text);
  if (parsed.Ok() && aInput.inForce) {
    return ParseDocument(aInput.text, &aInput.inForce->plan);
  }
  return parsed;
}

// Sets the line and column of each finding. `aSyntaxError` is the offset of a
// syntax error, which all findings without a path have in common.
void
Locate(std::string_view aText,
       std::optional<size_t> aSyntaxError,
       std::vector<Finding>& aFindings)
{
  // The limits of the parser: beyond them it refuses the text as a whole.
  constexpr internal::TextLimits kLimits;
  std::vector<std::string> paths;
  paths.reserve(aFindings.size());
  for (const Finding& it : aFindings) {
    paths.push_back(it.path);
  }
  std::vector<size_t> offsets(paths.size());
  if (aText.size() <= kLimits.maxBytes) {
    offsets = internal::FindOffsets(aText, paths, kLimits.maxDepth);
  }
  for (size_t n = 0; n < offsets.size(); ++n) {
    if (paths[n].empty() && aSyntaxError) {
      offsets[n] = *aSyntaxError;
    }
  }
  std::vector<internal::TextPosition> positions =
    internal::PositionsOf(aText, offsets);
  for (size_t n = 0; n < positions.size(); ++n) {
    aFindings[n].line = positions[n].line;
    aFindings[n].column = positions[n].column;
  }
}

} // namespace

const char*
SeverityName(Severity aSeverity)
{
  return aSeverity == Severity::kError ? "error" : "warning";
}

const char*
FindingKindName(FindingKind aKind)
{
  switch (aKind) {
    case FindingKind::kZoneWithoutRacks:
      return "zone_without_racks";
    case FindingKind::kZeroQuota:
      return "zero_quota";
    case FindingKind::kWorkspaceCannotSubmit:
      return "workspace_cannot_submit";
    case FindingKind::kServiceWithoutServer:
      return "service_without_server";
    case FindingKind::kGuaranteeReduced:
      return "guarantee_reduced";
    case FindingKind::kWorkspaceRemoved:
      return "workspace_removed";
    case FindingKind::kRejected:
      break;
  }
  return "rejected";
}

size_t
CheckOutcome::Count(Severity aSeverity) const
{
  return static_cast<size_t>(
    std::count_if(findings.begin(), findings.end(), [&](const Finding& x) {
      return x.severity == aSeverity;
    }));
}

CheckOutcome
CheckDocument(const CheckInput& aInput)
{
  Parsed<PlannedDocument> parsed = ParseLikeTheSystem(aInput);
  const Document& document = parsed.value.document;
  WarningList warnings(parsed.faults);
  warnings.CheckZones(document);
  warnings.CheckWorkspaces(document);
  if (aInput.inForce) {
    warnings.CheckChanges(document, aInput.inForce->document);
    if (aInput.announced) {
      warnings.CheckServices(
        document, aInput.inForce->document, *aInput.announced);
    }
  }
  CheckOutcome outcome;
  std::optional<size_t> syntaxError;
  for (const Fault& it : parsed.faults) {
    Finding finding;
    finding.path = it.path;
    finding.value = internal::Truncate(it.value, kMaxFindingValue);
    finding.problem = ProblemOf(it);
    finding.expected = it.expected;
    outcome.findings.push_back(std::move(finding));
    std::optional<size_t> offset = SyntaxErrorOffset(it);
    syntaxError = offset ? offset : syntaxError;
  }
  for (Finding& it : warnings.Take()) {
    outcome.findings.push_back(std::move(it));
  }
  Locate(aInput.text, syntaxError, outcome.findings);
  std::stable_sort(outcome.findings.begin(),
                   outcome.findings.end(),
                   [](const Finding& x, const Finding& y) {
                     return std::tie(x.line, x.column) <
                            std::tie(y.line, y.column);
                   });
  if (parsed.Ok()) {
    if (aInput.inForce) {
      outcome.changes = SemanticChanges(*aInput.inForce, parsed.value);
    }
    outcome.result = std::move(parsed.value);
  }
  return outcome;
}

} // namespace limpetwood::model
