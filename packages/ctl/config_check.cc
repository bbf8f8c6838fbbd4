// Runs the configuration check against a file and the version in force, and
// prints its report.

#include "ctl/config_check.h"

#include "ctl/table.h"
#include "model/check.h"
#include "model/delta.h"

#include <algorithm>
#include <set>
#include <utility>

namespace limpetwood::ctl {

namespace {

namespace po = boost::program_options;

using model::Severity;

// Rows of the table of changes. `--json` has all of them.
constexpr size_t kMaxPrintedChanges = 50;

// The version in force, or version 0 if there is none yet.
struct InForce
{
  uint64_t version = 0;
  std::optional<model::PlannedDocument> planned;
};

// A part of the check that was left out.
struct Omission
{
  std::string what;
  std::string reason;
};

struct Report
{
  std::string file;
  model::CheckOutcome outcome;
  std::optional<InForce> inForce;
  std::vector<Omission> notChecked;
  // True if a part was left out although it was asked for.
  bool failed = false;
};

int
ExitCodeOf(const Report& aReport, bool aStrict)
{
  if (aReport.outcome.Count(Severity::kError) > 0) {
    return kCheckErrors;
  }
  if (aReport.failed) {
    return kNotChecked;
  }
  bool warned = aReport.outcome.Count(Severity::kWarning) > 0;
  return warned && aStrict ? kCheckWarnings : kCheckPassed;
}

const char*
VerdictOf(const Report& aReport)
{
  switch (ExitCodeOf(aReport, /*aStrict=*/true)) {
    case kCheckErrors:
      return "errors";
    case kNotChecked:
      return "not_checked";
    case kCheckWarnings:
      return "warnings";
    default:
      return "passed";
  }
}

// Replaces control characters, which could change what the terminal shows.
std::string
Printable(std::string aText)
{
  for (size_t n = 0; n < aText.size(); ++n) {
    auto byte = static_cast<unsigned char>(aText[n]);
    auto next =
      static_cast<unsigned char>(n + 1 < aText.size() ? aText[n + 1] : 0);
    if (byte < 0x20 || byte == 0x7f) {
      aText[n] = '?';
    } else if (byte == 0xc2 && next >= 0x80 && next < 0xa0) {
      // U+0080 to U+009F.
      aText.replace(n, 2, "?");
    }
  }
  return aText;
}

// Reads the plan of the answer to `GET /v1/configuration`. Throws
// `Json::exception` if it has another form.
std::optional<model::GuaranteePlan>
PlanOf(const Json& aBody)
{
  if (!aBody.contains("plan")) {
    return std::nullopt;
  }
  model::GuaranteePlan plan;
  for (const Json& it : aBody["plan"]) {
    auto scope =
      model::ParseTopologyScope(it.at("closeness").get<std::string>());
    if (!scope) {
      return std::nullopt;
    }
    plan.shapes.push_back(
      { WorkspaceId(it.at("workspace").get<std::string>()),
        { Accelerators(it.at("accelerators").get<uint32_t>()), *scope },
        ZoneId(it.at("zone").get<std::string>()) });
  }
  return plan;
}

// Reads the version in force. On failure prints the cause to the error stream
// and returns the exit code as second value.
std::pair<std::optional<InForce>, int>
ReadInForce(Context& aContext)
{
  http::Request request;
  request.target = "/v1/configuration";
  CallResult result = aContext.client.Call(request);
  Json body = BodyOf(result.response);
  if (result.verdict == Verdict::kAnswered && result.response.status == 404 &&
      FieldText(body, "reason") == "no_configuration") {
    return { InForce{}, kSuccess };
  }
  int code = ReportResult(aContext, request, result);
  if (code != kSuccess) {
    return { std::nullopt, code };
  }
  try {
    InForce inForce;
    inForce.version = body.at("version").get<uint64_t>();
    std::optional<model::GuaranteePlan> plan = PlanOf(body);
    auto parsed =
      model::ParseDocument(body.at("document").dump(), plan ? &*plan : nullptr);
    if (parsed.Ok()) {
      inForce.planned = std::move(parsed.value);
      if (plan) {
        inForce.planned->plan = std::move(*plan);
      }
      return { std::move(inForce), kSuccess };
    }
  } catch (const Json::exception&) {
    // Reported below.
  }
  aContext.err << "the version in force is not a document that this release of "
                  "limpetctl knows\n";
  return { std::nullopt, kRejected };
}

// Adds the services of the backend servers that an instance lists. Returns
// false and prints the cause to the error stream if they cannot be read.
bool
AddAnnouncedServices(Context& aContext,
                     const std::string& aControlAddress,
                     std::set<ServiceId>& aServices)
{
  Result<http::Endpoint> endpoint = http::ParseEndpoint(aControlAddress);
  if (!endpoint) {
    aContext.err << "not a numeric address with a port: " << aControlAddress
                 << '\n';
    return false;
  }
  http::Request request;
  request.target = "/v1/backend-servers";
  Millis timeout(aContext.options["timeout-ms"].as<int64_t>());
  CallResult result = Client({ endpoint.Value() }, timeout).Call(request);
  if (ReportResult(aContext, request, result) != kSuccess) {
    return false;
  }
  Json body = BodyOf(result.response);
  if (!body.is_object() || !body.contains("servers") ||
      !body["servers"].is_array()) {
    aContext.err << "unexpected answer to GET " << request.target << '\n';
    return false;
  }
  for (const Json& it : body["servers"]) {
    aServices.insert(ServiceId(FieldText(it, "service")));
  }
  return true;
}

// The services that backend servers announce. Each instance lists only the
// servers that announce themselves to it, so all instances are asked. Returns
// nothing if the list is incomplete: some instance could not be asked, and the
// others do not list every service in force.
std::optional<std::set<ServiceId>>
ReadAnnouncedServices(Context& aContext, const model::Document& aInForce)
{
  http::Request request;
  request.target = "/v1/instances";
  CallResult result = aContext.client.Call(request);
  if (ReportResult(aContext, request, result) != kSuccess) {
    return std::nullopt;
  }
  Json body = BodyOf(result.response);
  if (!body.is_object() || !body.contains("instances") ||
      !body["instances"].is_array()) {
    aContext.err << "unexpected answer to GET " << request.target << '\n';
    return std::nullopt;
  }
  std::set<ServiceId> services;
  bool complete = true;
  for (const Json& it : body["instances"]) {
    // An instance that is not alive is asked as well: it may only be cut off
    // from the control group.
    if (!AddAnnouncedServices(
          aContext, FieldText(it, "controlAddress"), services)) {
      aContext.err << "the backend servers of instance "
                   << FieldText(it, "instance") << " could not be read\n";
      complete = false;
    }
  }
  bool allFound = std::all_of(
    aInForce.services.begin(),
    aInForce.services.end(),
    [&](const model::Service& x) { return services.contains(x.id); });
  if (!complete && !allFound) {
    return std::nullopt;
  }
  return services;
}

// A finding as one line in the form of compilers, which editors can follow.
std::string
FormatFinding(const std::string& aFile, const model::Finding& aFinding)
{
  std::string text = aFile + ":" + std::to_string(aFinding.line) + ":" +
                     std::to_string(aFinding.column) + ": " +
                     model::SeverityName(aFinding.severity) + ": ";
  if (!aFinding.path.empty()) {
    text += aFinding.path + ": ";
  }
  text += aFinding.value + ": " + aFinding.problem + "; expected " +
          aFinding.expected + " [" + model::FindingKindName(aFinding.kind) +
          "]";
  return Printable(std::move(text));
}

void
PrintFindings(std::ostream& aOut,
              const std::string& aFile,
              const model::CheckOutcome& aOutcome)
{
  for (const model::Finding& it : aOutcome.findings) {
    aOut << FormatFinding(aFile, it) << '\n';
  }
}

void
PrintChanges(std::ostream& aOut,
             const std::vector<model::SemanticChange>& aChanges)
{
  std::vector<std::vector<std::string>> rows;
  for (const model::SemanticChange& it : aChanges) {
    if (rows.size() == kMaxPrintedChanges) {
      break;
    }
    auto cell = [](const std::string& aText) {
      return aText.empty() ? std::string("-") : aText;
    };
    rows.push_back({ model::ChangeKindName(it.kind),
                     it.item,
                     cell(it.id),
                     cell(it.field),
                     cell(it.before),
                     cell(it.after) });
  }
  PrintTable(
    aOut, { "CHANGE", "ITEM", "ID", "FIELD", "IN FORCE", "FILE" }, rows);
  if (aChanges.size() > rows.size()) {
    aOut << "and " << aChanges.size() - rows.size()
         << " more changes; --json lists all\n";
  }
}

// Totals of a document, for the summary of the resulting version.
Json
TotalsOf(const model::PlannedDocument& aPlanned)
{
  uint64_t workers = 0;
  uint64_t accelerators = 0;
  for (const model::Rack& it : aPlanned.document.racks) {
    workers += it.workers;
    accelerators += uint64_t(it.workers) * it.acceleratorsPerWorker.Value();
  }
  return { { "zones", aPlanned.document.zones.size() },
           { "racks", aPlanned.document.racks.size() },
           { "workers", workers },
           { "accelerators", accelerators },
           { "workspaces", aPlanned.document.workspaces.size() },
           { "guaranteedShapes", aPlanned.plan.shapes.size() },
           { "services", aPlanned.document.services.size() } };
}

// Each accepted document is a new version, also one without changes.
uint64_t
ResultingVersion(const InForce& aInForce)
{
  return aInForce.version + 1;
}

std::string
HashOf(const model::PlannedDocument& aPlanned)
{
  return model::FormatHash(model::ConfigurationHash(aPlanned));
}

void
PrintText(Context& aContext, const Report& aReport)
{
  std::ostream& out = aContext.out;
  PrintFindings(out, aReport.file, aReport.outcome);
  for (const Omission& it : aReport.notChecked) {
    out << "not checked: " << it.what << ": " << it.reason << '\n';
  }
  out << "errors: " << aReport.outcome.Count(Severity::kError)
      << ", warnings: " << aReport.outcome.Count(Severity::kWarning) << '\n';
  if (!aReport.outcome.result) {
    return;
  }
  const model::PlannedDocument& result = *aReport.outcome.result;
  if (aReport.inForce && aReport.inForce->planned) {
    out << "changes against version " << aReport.inForce->version
        << ", which is in force: " << aReport.outcome.changes.size() << '\n';
    if (!aReport.outcome.changes.empty()) {
      PrintChanges(out, aReport.outcome.changes);
    }
  }
  if (aReport.inForce) {
    out << "would become version " << ResultingVersion(*aReport.inForce)
        << ", hash " << HashOf(result) << ':';
  } else {
    out << "the document has:";
  }
  const char* separator = " ";
  const Json totals = TotalsOf(result);
  for (const auto& [key, value] : totals.items()) {
    out << separator << key << ' ' << value;
    separator = ", ";
  }
  out << '\n';
  if (aContext.options["show-result"].as<bool>()) {
    out << Json::parse(model::WriteDocument(result.document)).dump(2) << '\n';
  }
}

// The form is published as `docs/config-check.schema.json`.
void
PrintJson(std::ostream& aOut, const Report& aReport)
{
  const model::CheckOutcome& outcome = aReport.outcome;
  Json findings = Json::array();
  for (const model::Finding& it : outcome.findings) {
    findings.push_back({ { "severity", model::SeverityName(it.severity) },
                         { "kind", model::FindingKindName(it.kind) },
                         { "file", aReport.file },
                         { "line", it.line },
                         { "column", it.column },
                         { "path", it.path },
                         { "value", it.value },
                         { "problem", it.problem },
                         { "expected", it.expected } });
  }
  Json notChecked = Json::array();
  for (const Omission& it : aReport.notChecked) {
    notChecked.push_back({ { "what", it.what }, { "reason", it.reason } });
  }
  Json changes = Json::array();
  for (const model::SemanticChange& it : outcome.changes) {
    changes.push_back({ { "change", model::ChangeKindName(it.kind) },
                        { "item", it.item },
                        { "id", it.id },
                        { "field", it.field },
                        { "before", it.before },
                        { "after", it.after } });
  }
  Json report{ { "file", aReport.file },
               { "verdict", VerdictOf(aReport) },
               { "errors", outcome.Count(Severity::kError) },
               { "warnings", outcome.Count(Severity::kWarning) },
               { "findings", std::move(findings) },
               { "notChecked", std::move(notChecked) },
               { "versionInForce", nullptr },
               { "changes", std::move(changes) },
               { "result", nullptr } };
  if (aReport.inForce) {
    report["versionInForce"] = aReport.inForce->version;
  }
  if (outcome.result) {
    Json& result = report["result"];
    result["document"] =
      Json::parse(model::WriteDocument(outcome.result->document));
    result["totals"] = TotalsOf(*outcome.result);
    result["version"] = nullptr;
    result["hash"] = nullptr;
    if (aReport.inForce) {
      result["version"] = ResultingVersion(*aReport.inForce);
      result["hash"] = HashOf(*outcome.result);
    }
  }
  // The name of the file may be any bytes.
  aOut << report.dump(-1, ' ', false, Json::error_handler_t::replace) << '\n';
}

constexpr const char* kChanges = "changes against the version in force";
constexpr const char* kServices = "services without backend servers";

// Reads from the running system what the check compares with, and notes in the
// report what could not be read.
void
ReadSystem(Context& aContext,
           Report& aReport,
           std::optional<std::set<ServiceId>>& aAnnounced)
{
  aReport.inForce = ReadInForce(aContext).first;
  if (!aReport.inForce) {
    const char* reason = "the version in force could not be read";
    aReport.failed = true;
    aReport.notChecked.push_back({ kChanges, reason });
    aReport.notChecked.push_back({ kServices, reason });
  } else if (!aReport.inForce->planned) {
    aReport.notChecked.push_back({ kChanges, "no version is in force" });
    aReport.notChecked.push_back({ kServices, "no version is in force" });
  } else if (!(aAnnounced = ReadAnnouncedServices(
                 aContext, aReport.inForce->planned->document))) {
    aReport.failed = true;
    aReport.notChecked.push_back(
      { kServices, "the backend servers of some instance could not be read" });
  }
}

} // namespace

void
AddCheckOptions(po::options_description& aOptions)
{
  aOptions.add_options()(
    "strict", po::bool_switch(), "exit with 1 if there are warnings");
  aOptions.add_options()("show-result",
                         po::bool_switch(),
                         "print the resulting document with all defaults");
}

int
CheckConfiguration(Context& aContext)
{
  Report report;
  report.file = aContext.arguments[0];
  std::optional<std::string> text = ReadInput(aContext, report.file);
  std::optional<std::set<ServiceId>> announced;
  if (!text) {
    report.failed = true;
    report.notChecked.push_back({ "the document", "the file cannot be read" });
  } else if (aContext.options["instance"].defaulted()) {
    const char* reason = "no --instance was given";
    report.notChecked.push_back({ kChanges, reason });
    report.notChecked.push_back({ kServices, reason });
  } else {
    ReadSystem(aContext, report, announced);
  }
  if (text) {
    const model::PlannedDocument* planned =
      report.inForce && report.inForce->planned ? &*report.inForce->planned
                                                : nullptr;
    report.outcome = model::CheckDocument(
      { *text, planned, announced ? &*announced : nullptr });
  }
  if (aContext.json) {
    PrintJson(aContext.out, report);
  } else if (text) {
    PrintText(aContext, report);
  }
  return ExitCodeOf(report, aContext.options["strict"].as<bool>());
}

std::optional<int>
CheckBeforeSubmit(Context& aContext,
                  const std::string& aText,
                  uint64_t aBaseVersion)
{
  bool force = aContext.options["force"].as<bool>();
  Report report;
  report.file = aContext.arguments[0];
  report.outcome = model::CheckDocument({ aText });
  if (report.outcome.Count(Severity::kError) > 0) {
    PrintFindings(aContext.err, report.file, report.outcome);
    return std::nullopt;
  }
  int code = kSuccess;
  std::tie(report.inForce, code) = ReadInForce(aContext);
  if (!report.inForce) {
    aContext.err << "the document could not be compared with the version in "
                    "force"
                 << (force ? "" : "; not submitted, --force submits it")
                 << '\n';
    if (!force) {
      return code;
    }
  } else if (report.inForce->planned &&
             report.inForce->version == aBaseVersion) {
    // Services are not checked, because an outage of their servers must not
    // hold up a change of the configuration.
    report.outcome = model::CheckDocument({ aText, &*report.inForce->planned });
  }
  PrintFindings(aContext.err, report.file, report.outcome);
  size_t warnings = report.outcome.Count(Severity::kWarning);
  if (warnings == 0 || force) {
    return std::nullopt;
  }
  aContext.err << "not submitted, warnings: " << warnings
               << "; --force submits the document\n";
  if (aContext.json) {
    PrintJson(aContext.out, report);
  }
  return kRejected;
}

} // namespace limpetwood::ctl
