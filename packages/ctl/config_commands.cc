// Implements the commands of the group `limpetctl config`.

#include "ctl/command.h"
#include "ctl/config_check.h"
#include "ctl/table.h"
#include "model/changes.h"
#include "model/settings.h"
#include "model/validate.h"

namespace limpetwood::ctl {

namespace {

namespace po = boost::program_options;

void
NoOptions(po::options_description&)
{
}

void
AddSubmitOptions(po::options_description& aOptions)
{
  // Required, because a default would let the document overwrite changes that
  // others made since it was written.
  aOptions.add_options()("base-version",
                         po::value<uint64_t>()->required(),
                         "version that the document was derived from; 0 for "
                         "the first one");
  aOptions.add_options()("force",
                         po::bool_switch(),
                         "submit the document although the check has warnings");
  AddKeyOption(aOptions);
}

void
AddValidateOptions(po::options_description& aOptions)
{
  aOptions.add_options()(
    "remote",
    po::bool_switch(),
    "check the document on an instance instead of locally");
}

void
PrintChanges(std::ostream& aOut, const std::vector<model::Change>& aChanges)
{
  std::vector<std::vector<std::string>> rows;
  rows.reserve(aChanges.size());
  for (const model::Change& it : aChanges) {
    rows.push_back({ it.path, it.before, it.after });
  }
  PrintTable(aOut, { "PATH", "IN FORCE", "FILE" }, rows);
}

// Prints the faults to the error stream and returns `kRejected`.
int
ReportFaults(Context& aContext,
             const std::string& aFile,
             const model::Faults& aFaults)
{
  for (const model::Fault& it : aFaults) {
    aContext.err << model::FormatFault(aFile, it) << '\n';
  }
  return kRejected;
}

// Prints the differences between the document in force and `aProposed`. Returns
// the exit code.
int
PrintDifferencesToInForce(Context& aContext, const model::Document& aProposed)
{
  http::Request request;
  request.target = "/v1/configuration";
  CallResult result = aContext.client.Call(request);
  int code = ReportResult(aContext, request, result);
  if (code != kSuccess) {
    return code;
  }
  Json body = BodyOf(result.response);
  auto inForce = model::ParseDocument(
    body.is_object() && body.contains("document") ? body["document"].dump()
                                                  : "");
  if (!inForce.Ok()) {
    return ReportFaults(aContext, "document in force", inForce.faults);
  }
  aContext.out << "version in force: " << FieldText(body, "version") << '\n';
  PrintChanges(aContext.out,
               model::ChangesBetween(inForce.value.document, aProposed));
  return kSuccess;
}

int
Validate(Context& aContext)
{
  std::optional<std::string> text = ReadInput(aContext, aContext.arguments[0]);
  if (!text) {
    return kUsage;
  }
  if (aContext.options["remote"].as<bool>()) {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/configuration/validate";
    request.body = *text;
    return ReportResult(aContext, request, aContext.client.Call(request));
  }
  auto parsed = model::ParseDocument(*text);
  if (!parsed.Ok()) {
    return ReportFaults(aContext, aContext.arguments[0], parsed.faults);
  }
  std::vector<std::vector<std::string>> rows;
  for (const model::PinnedShape& it : parsed.value.plan.shapes) {
    rows.push_back({ it.workspace.Value(),
                     std::to_string(it.shape.accelerators.Value()),
                     model::TopologyScopeName(it.shape.topologyScope),
                     it.zone.Value() });
  }
  PrintTable(
    aContext.out, { "WORKSPACE", "ACCELERATORS", "CLOSENESS", "ZONE" }, rows);
  return kSuccess;
}

int
Submit(Context& aContext)
{
  std::optional<std::string> text = ReadInput(aContext, aContext.arguments[0]);
  if (!text) {
    return kUsage;
  }
  auto baseVersion = aContext.options["base-version"].as<uint64_t>();
  if (std::optional<int> refused =
        CheckBeforeSubmit(aContext, *text, baseVersion)) {
    return *refused;
  }
  http::Request request;
  request.method = "PUT";
  request.target = "/v1/configuration";
  request.headers.Set("Limpetwood-Base-Version", std::to_string(baseVersion));
  request.headers.Set("Limpetwood-Idempotency-Key",
                      GetOrCreateIdempotencyKey(aContext));
  request.body = *text;
  CallResult result = aContext.client.Call(request);
  int code = ReportResult(aContext, request, result);
  Json body = BodyOf(result.response);
  if (code == kSuccess) {
    aContext.out << (aContext.json
                       ? result.response.body
                       : "accepted as version " + FieldText(body, "version") +
                           ", hash " + FieldText(body, "hash"))
                 << '\n';
  } else if (code == kConflict && !aContext.json) {
    aContext.out << "version " << FieldText(body, "version")
                 << " is in force; changed since your base version:\n";
    if (body.contains("changes") && body["changes"].is_array()) {
      for (const Json& it : body["changes"]) {
        aContext.out << "  " << it.get<std::string>() << '\n';
      }
    }
    auto proposed = model::ParseDocument(*text);
    if (proposed.Ok()) {
      PrintDifferencesToInForce(aContext, proposed.value.document);
    }
  }
  return code;
}

int
ShowDocument(Context& aContext)
{
  return GetAndPrint(aContext,
                     "/v1/configuration",
                     [](Context& aPrintContext, const Json& aBody) {
                       aPrintContext.out << "// version "
                                         << FieldText(aBody, "version") << '\n'
                                         << (aBody.contains("document")
                                               ? aBody["document"].dump(2)
                                               : "")
                                         << '\n';
                     });
}

int
History(Context& aContext)
{
  return GetAndPrint(
    aContext,
    "/v1/configuration/history",
    [](Context& aPrintContext, const Json& aBody) {
      std::vector<std::vector<std::string>> rows;
      for (const Json& it : aBody.value("versions", Json::array())) {
        std::string changes;
        for (const Json& path : it.value("changes", Json::array())) {
          changes += (changes.empty() ? "" : " ") + path.get<std::string>();
        }
        rows.push_back({ FieldText(it, "version"),
                         TimeText(it, "acceptedAtMs"),
                         FieldText(it, "hash"),
                         changes });
      }
      PrintTable(
        aPrintContext.out, { "VERSION", "ACCEPTED", "HASH", "CHANGES" }, rows);
    });
}

int
Diff(Context& aContext)
{
  std::optional<std::string> text = ReadInput(aContext, aContext.arguments[0]);
  if (!text) {
    return kUsage;
  }
  auto proposed = model::ParseDocument(*text);
  if (!proposed.Ok()) {
    return ReportFaults(aContext, aContext.arguments[0], proposed.faults);
  }
  return PrintDifferencesToInForce(aContext, proposed.value.document);
}

} // namespace

const std::vector<Command>&
ConfigCommands()
{
  static const std::vector<Command> sCommands{
    { "config",
      "validate",
      "FILE",
      1,
      1,
      "check a document and show its guarantee plan",
      AddValidateOptions,
      Validate },
    { "config",
      "check",
      "FILE",
      1,
      1,
      "find errors, ineffective entries and suspicious changes",
      AddCheckOptions,
      CheckConfiguration,
      kNotChecked,
      kNotChecked },
    { "config",
      "submit",
      "FILE",
      1,
      1,
      "check a document and put it in force",
      AddSubmitOptions,
      Submit },
    { "config",
      "show",
      "",
      0,
      0,
      "show the document in force",
      NoOptions,
      ShowDocument },
    { "config",
      "history",
      "",
      0,
      0,
      "list accepted versions",
      NoOptions,
      History },
    { "config",
      "diff",
      "FILE",
      1,
      1,
      "compare a document with the one in force",
      NoOptions,
      Diff },
  };
  return sCommands;
}

} // namespace limpetwood::ctl
