// Implements the commands of the groups workspace, worker, server, instance,
// zone and alarm of limpetctl.

#include "ctl/command.h"
#include "ctl/table.h"

#include <cstdlib>

namespace limpetwood::ctl {

namespace {

namespace po = boost::program_options;

void
NoOptions(po::options_description&)
{
}

void
AddFenceOptions(po::options_description& aOptions)
{
  aOptions.add_options()("confirm-down",
                         po::bool_switch(),
                         "confirms that nothing runs in the zone any more");
  AddKeyOption(aOptions);
}

// Prints the objects of the list `aList` in `aBody`, one column for each key.
template<size_t N>
void
PrintList(Context& aContext,
          const Json& aBody,
          const char* aList,
          const char* const (&aKeys)[N])
{
  std::vector<std::string> header;
  for (const char* key : aKeys) {
    std::string name;
    for (const char* it = key; *it != '\0'; ++it) {
      name += static_cast<char>(std::toupper(static_cast<unsigned char>(*it)));
    }
    header.push_back(name);
  }
  std::vector<std::vector<std::string>> rows;
  for (const Json& it : aBody.value(aList, Json::array())) {
    std::vector<std::string> row;
    for (const char* key : aKeys) {
      row.push_back(FieldText(it, key));
    }
    rows.push_back(std::move(row));
  }
  PrintTable(aContext.out, header, rows);
}

// The columns are the fields of the first workspace that the instance returns.
void
PrintWorkspaces(Context& aContext, const Json& aBody)
{
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;
  for (const Json& it : aBody.value("workspaces", Json::array())) {
    if (header.empty()) {
      header.emplace_back("workspace");
      for (const auto& [key, value] : it.items()) {
        if (key != "workspace") {
          header.push_back(key);
        }
      }
    }
    std::vector<std::string> row;
    row.reserve(header.size());
    for (const std::string& key : header) {
      row.push_back(FieldText(it, key.c_str()));
    }
    rows.push_back(std::move(row));
  }
  PrintTable(aContext.out, header, rows);
}

int
Workspaces(Context& aContext)
{
  return GetAndPrint(aContext, "/v1/workspaces", PrintWorkspaces);
}

int
Workers(Context& aContext)
{
  return GetAndPrint(
    aContext, "/v1/workers", [](Context& aPrintContext, const Json& aBody) {
      PrintList(aPrintContext,
                aBody,
                "workers",
                { "worker",
                  "zone",
                  "rack",
                  "state",
                  "accelerators",
                  "used",
                  "leaseMs" });
    });
}

int
Servers(Context& aContext)
{
  return GetAndPrint(
    aContext,
    "/v1/backend-servers",
    [](Context& aPrintContext, const Json& aBody) {
      PrintList(
        aPrintContext,
        aBody,
        "servers",
        { "server", "service", "zone", "home", "state", "slots", "busy" });
    });
}

int
Instances(Context& aContext)
{
  return GetAndPrint(
    aContext, "/v1/instances", [](Context& aPrintContext, const Json& aBody) {
      PrintList(aPrintContext,
                aBody,
                "instances",
                { "instance",
                  "zone",
                  "role",
                  "term",
                  "leader",
                  "version",
                  "ready",
                  "authority" });
    });
}

int
Alarms(Context& aContext)
{
  return GetAndPrint(
    aContext, "/v1/alarms", [](Context& aPrintContext, const Json& aBody) {
      std::vector<std::vector<std::string>> rows;
      for (const Json& it : aBody.value("alarms", Json::array())) {
        rows.push_back({ FieldText(it, "reason"),
                         TimeText(it, "sinceMs"),
                         FieldText(it, "detail") });
      }
      PrintTable(aPrintContext.out, { "REASON", "SINCE", "DETAIL" }, rows);
    });
}

int
Drain(Context& aContext)
{
  http::Request request;
  request.method = "POST";
  request.target = "/v1/instances/drain";
  request.body = Json{ { "instance", aContext.arguments[0] } }.dump();
  return SendChange(aContext, request);
}

int
Fence(Context& aContext)
{
  if (!aContext.options["confirm-down"].as<bool>()) {
    aContext.err << "zone fence reassigns the zone's jobs at once; if any of "
                    "them still runs there, it runs twice. Add --confirm-down "
                    "when the zone is down.\n";
    return kUsage;
  }
  http::Request request;
  request.method = "POST";
  request.target = "/v1/zones/fence";
  request.body = Json{ { "zone", aContext.arguments[0] } }.dump();
  return SendChange(aContext, request);
}

void
AddZoneOrderOptions(po::options_description& aOptions)
{
  aOptions.add_options()(
    "by",
    po::value<std::string>(),
    "who orders it, shown by zone list; the login name if not given");
  AddKeyOption(aOptions);
}

int
OrderZone(Context& aContext, const char* aTarget)
{
  std::string by = "unknown";
  if (aContext.options.count("by") > 0) {
    by = aContext.Option("by");
  } else if (const char* user = std::getenv("USER");
             user != nullptr && *user != '\0') {
    by = user;
  }
  http::Request request;
  request.method = "POST";
  request.target = aTarget;
  request.body = Json{ { "zone", aContext.arguments[0] }, { "by", by } }.dump();
  return SendChange(aContext, request);
}

int
Evacuate(Context& aContext)
{
  return OrderZone(aContext, "/v1/zones/evacuate");
}

int
Restore(Context& aContext)
{
  return OrderZone(aContext, "/v1/zones/restore");
}

int
Zones(Context& aContext)
{
  return GetAndPrint(
    aContext, "/v1/zones", [](Context& aPrintContext, const Json& aBody) {
      std::vector<std::vector<std::string>> rows;
      for (const Json& it : aBody.value("zones", Json::array())) {
        rows.push_back({ FieldText(it, "zone"),
                         FieldText(it, "state"),
                         TimeText(it, "sinceMs"),
                         FieldText(it, "remainingRuns"),
                         FieldText(it, "by") });
      }
      PrintTable(aPrintContext.out,
                 { "ZONE", "STATE", "SINCE", "REMAINING RUNS", "BY" },
                 rows);
    });
}

} // namespace

const std::vector<Command>&
SystemCommands()
{
  static const std::vector<Command> sCommands{
    { "workspace", "list", "", 0, 0, "list workspaces", NoOptions, Workspaces },
    { "worker", "list", "", 0, 0, "list workers", NoOptions, Workers },
    { "server", "list", "", 0, 0, "list backend servers", NoOptions, Servers },
    { "instance", "list", "", 0, 0, "list instances", NoOptions, Instances },
    { "instance",
      "drain",
      "INSTANCE",
      1,
      1,
      "let an instance finish its requests and leave",
      AddKeyOption,
      Drain },
    { "zone",
      "fence",
      "ZONE",
      1,
      1,
      "declare a zone down and reassign its jobs",
      AddFenceOptions,
      Fence },
    { "zone",
      "evacuate",
      "ZONE",
      1,
      1,
      "take a zone out of service for new work",
      AddZoneOrderOptions,
      Evacuate },
    { "zone",
      "restore",
      "ZONE",
      1,
      1,
      "return an evacuated zone to service",
      AddZoneOrderOptions,
      Restore },
    { "zone", "list", "", 0, 0, "list zones", NoOptions, Zones },
    { "alarm", "list", "", 0, 0, "list alarms", NoOptions, Alarms },
  };
  return sCommands;
}

} // namespace limpetwood::ctl
