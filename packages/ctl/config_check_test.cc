// Tests `config check` and the check of `config submit`: exit codes, on which
// scripts rely, the text and JSON output, and that a document with warnings is
// submitted only with `--force`.

#include "ctl/test_control.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fstream>
#include <iterator>
#include <map>
#include <sstream>
#include <utility>

namespace limpetwood::ctl {
namespace {

using Json = nlohmann::json;
using nlohmann::literals::operator""_json_pointer;

const char* const kDocument = R"({
  "zones": ["z"],
  "racks": [ { "id": "r", "zone": "z", "workers": 2, "acceleratorsPerWorker": 8,
               "coresPerWorker": 8, "memoryMbPerWorker": 1024 } ],
  "workspaces": [
    { "id": "a",
      "guarantees": [
        { "shape": { "accelerators": 4, "closeness": "worker" }, "count": 2 } ],
      "quota": { "accelerators": 16, "jobs": 10, "requests": 10 } } ],
  "services": [ { "id": "mesh" } ]
})";

std::string
DocumentWith(const std::string& aFrom, const std::string& aTo)
{
  std::string text = kDocument;
  size_t at = text.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return text.replace(at, aFrom.size(), aTo);
}

std::string
DocumentWithLessGuaranteed()
{
  return DocumentWith("\"count\": 2", "\"count\": 1");
}

// A system of two instances with `kDocument` in force as version 7. A backend
// server of the service `aService` is announced to the second instance.
class System
{
public:
  explicit System(const std::string& aService = "mesh")
    : second([=](const Request& aRequest) {
      return aRequest.target == "/v1/backend-servers"
               ? MakeResponse(200,
                              R"({"servers":[{"server":"b","service":")" +
                                aService + "\"}]}")
               : MakeResponse(404, "{}");
    })
    , control([this](const Request& aRequest) {
      if (aRequest.method == "PUT") {
        return MakeResponse(200, R"({"version":8,"hash":"x"})");
      }
      if (aRequest.target == "/v1/backend-servers") {
        return MakeResponse(200, R"({"servers":[]})");
      }
      if (aRequest.target == "/v1/instances") {
        return MakeResponse(
          200,
          Json{ { "instances",
                  { { { "instance", "i-1" },
                      { "controlAddress", control.Address() } },
                    { { "instance", "i-2" },
                      { "controlAddress",
                        secondAddress.empty() ? second.Address()
                                              : secondAddress } } } } }
            .dump());
      }
      return MakeResponse(
        200,
        std::string(R"({"version":7,"hash":"y","plan":[)") +
          R"({"workspace":"a","accelerators":4,"closeness":"worker","zone":"z"},
             {"workspace":"a","accelerators":4,"closeness":"worker","zone":"z"}
             ],"document":)" +
          kDocument + "}");
    })
  {
  }

  // The number of documents that were submitted.
  size_t Submitted()
  {
    size_t count = 0;
    for (const Request& it : control.Requests()) {
      count += it.method == "PUT" ? 1 : 0;
    }
    return count;
  }

  // Instead of the address of the second instance.
  std::string secondAddress;
  FakeControl second;
  FakeControl control;
};

CommandResult
Submit(System& aSystem, const std::string& aText, const char* aBase = "7")
{
  return RunWith(
    aSystem.control.Address(),
    { "config", "submit", TempFile("submit", aText), "--base-version", aBase });
}

// Pipelines stop or go on by the exit code, also without a running system.
TEST(ConfigCheck, ExitCodeOfAFileAlone)
{
  std::string sound = TempFile("sound", kDocument);
  std::string warned =
    TempFile("warned", DocumentWith("\"requests\": 10", "\"requests\": 0"));
  EXPECT_EQ(RunLocally({ "config", "check", sound, "--strict" }).code, 0);
  EXPECT_EQ(RunLocally({ "config", "check", warned }).code, 0);
  EXPECT_EQ(RunLocally({ "config", "check", warned, "--strict" }).code, 1);
  EXPECT_EQ(RunLocally({ "config", "check", TempFile("refused", "{}") }).code,
            2);
}

// If a check that did not take place had the code of an error, a script would
// blame the document; with the code 0 it would submit it.
TEST(ConfigCheck, WhatCannotBeCheckedExitsWithThree)
{
  std::string sound = TempFile("sound", kDocument);
  EXPECT_EQ(RunLocally({ "config", "check", "/nonexistent" }).code, 3);
  EXPECT_EQ(RunLocally({ "config", "check", testing::TempDir() }).code, 3);
  EXPECT_EQ(RunLocally({ "config", "check" }).code, 3);
  EXPECT_EQ(RunLocally({ "config", "check", sound, "--colour" }).code, 3);
  CommandResult unreachable =
    RunWith("127.0.0.1:1", { "config", "check", sound });
  EXPECT_EQ(unreachable.code, 3);
  EXPECT_TRUE(Contains(unreachable.out, "not checked: changes"));
  // An error in the file is certain without the system.
  EXPECT_EQ(
    RunWith("127.0.0.1:1", { "config", "check", TempFile("refused", "{}") })
      .code,
    2);
}

// Guards against an answer of another form that passes for a check.
TEST(ConfigCheck, UnknownFormOfTheVersionInForceExitsWithThree)
{
  for (const char* body : { "",
                            "[]",
                            R"({"version":"x","document":{}})",
                            R"({"version":7,"document":{}})",
                            R"({"version":7,"document":null,"plan":[1]})" }) {
    FakeControl control(
      [&](const Request&) { return MakeResponse(200, body); });
    EXPECT_EQ(RunWith(control.Address(),
                      { "config", "check", TempFile("sound", kDocument) })
                .code,
              3)
      << body;
  }
}

// Editors and scripts take the place of a finding from its line.
TEST(ConfigCheck, FindingIsOneLineWithItsPosition)
{
  std::string file =
    TempFile("refused", DocumentWith("\"workers\": 2", "\"workers\": -2"));
  CommandResult result = RunLocally({ "config", "check", file });
  EXPECT_TRUE(Contains(
    result.out,
    file + ":3:51: error: /racks/0/workers: -2: the value is not accepted; "
           "expected an integer from 1 to 1024 [rejected]\n"))
    << result.out;
  EXPECT_TRUE(Contains(result.out, "errors: 1, warnings: 0\n"));
}

// Text from the file must not control the operator's terminal.
TEST(ConfigCheck, ControlCharactersAreNotPrinted)
{
  CommandResult result = RunLocally(
    { "config",
      "check",
      TempFile("control",
               DocumentWith("\"id\": \"r\"",
                            "\"id\": \"r\", \"\\u001b[2J\\u009b\": 1")) });
  EXPECT_EQ(result.code, 2);
  EXPECT_EQ(result.out.find('\x1b'), std::string::npos);
  EXPECT_EQ(result.out.find('\x9b'), std::string::npos);
}

// The operator must see what would change in the running system, by meaning.
TEST(ConfigCheck, ShowsChangesAndResultAgainstTheVersionInForce)
{
  System system;
  CommandResult result =
    RunWith(system.control.Address(),
            { "config",
              "check",
              TempFile("changed", DocumentWith("\"jobs\": 10", "\"jobs\": 11")),
              "--strict",
              "--show-result" });
  EXPECT_EQ(result.code, 0) << result.out << result.err;
  EXPECT_TRUE(Contains(result.out,
                       "changes against version 7, which is in force: 1\n"
                       "CHANGE   ITEM       ID  FIELD       IN FORCE  FILE\n"
                       "changed  workspace  a   quota/jobs  10        11\n"))
    << result.out;
  EXPECT_TRUE(Contains(result.out, "would become version 8, hash "));
  EXPECT_TRUE(Contains(result.out, "\"attemptTimeoutMs\": 30000"));
  EXPECT_EQ(system.Submitted(), 0U);
}

// Guards against a check that reads the system but leaves out what depends on
// it.
TEST(ConfigCheck, WarnsOfChangesAndOfServicesWithoutServers)
{
  System system("other");
  CommandResult result =
    RunWith(system.control.Address(),
            { "config",
              "check",
              TempFile("changed", DocumentWithLessGuaranteed()),
              "--strict" });
  EXPECT_EQ(result.code, 1);
  EXPECT_TRUE(Contains(result.out, "[guarantee_reduced]"));
  EXPECT_TRUE(Contains(result.out, "[service_without_server]"));
}

// Each instance lists its own backend servers only. If one cannot be asked, a
// service may have a server there, and a warning could be false.
TEST(ConfigCheck, ServiceIsNotReportedIfAnInstanceCannotBeAsked)
{
  System system;
  system.secondAddress = "127.0.0.1:1";
  CommandResult result =
    RunWith(system.control.Address(),
            { "config", "check", TempFile("partial", kDocument) });
  EXPECT_EQ(result.code, 3);
  EXPECT_FALSE(Contains(result.out, "[service_without_server]"));
  EXPECT_TRUE(Contains(result.out, "not checked: services"));
  EXPECT_TRUE(Contains(result.err, "instance i-2"));
}

// Before the first version there is nothing to compare with, which is not a
// failure of the check.
TEST(ConfigCheck, SystemWithoutAVersionIsCheckedAsAFile)
{
  FakeControl control([](const Request&) {
    return MakeResponse(404, R"({"reason":"no_configuration"})");
  });
  CommandResult result =
    RunWith(control.Address(),
            { "config", "check", TempFile("first", kDocument), "--strict" });
  EXPECT_EQ(result.code, 0);
  EXPECT_TRUE(Contains(result.out, "would become version 1, hash "));
}

// Checks a value against the keywords that the published schema uses. Any other
// keyword is a failure, so that none is ignored.
void
CheckSchema(const Json& aValue, const Json& aSchema, const std::string& aPath)
{
  auto isOfType = [&](const std::string& aType) {
    return (aType == "null" && aValue.is_null()) ||
           (aType == "object" && aValue.is_object()) ||
           (aType == "array" && aValue.is_array()) ||
           (aType == "string" && aValue.is_string()) ||
           (aType == "integer" && aValue.is_number_integer());
  };
  for (const auto& [keyword, rule] : aSchema.items()) {
    if (keyword == "type") {
      Json types = rule.is_array() ? rule : Json::array({ rule });
      bool matches = false;
      for (const Json& it : types) {
        matches = matches || isOfType(it.get<std::string>());
      }
      EXPECT_TRUE(matches) << aPath << ": " << aValue;
    } else if (keyword == "enum") {
      EXPECT_NE(std::find(rule.begin(), rule.end(), aValue), rule.end())
        << aPath << ": " << aValue;
    } else if (keyword == "minimum" && !aValue.is_null()) {
      EXPECT_GE(aValue, rule) << aPath;
    } else if (keyword == "maxLength") {
      EXPECT_LE(aValue.get<std::string>().size(), rule) << aPath;
    } else if (keyword == "items") {
      for (size_t n = 0; n < aValue.size(); ++n) {
        std::string path = aPath;
        path.append("/").append(std::to_string(n));
        CheckSchema(aValue[n], rule, path);
      }
    } else if (keyword == "properties" && aValue.is_object()) {
      // All keys are published and given.
      for (const auto& [key, value] : aValue.items()) {
        ASSERT_TRUE(rule.contains(key)) << aPath << "/" << key;
        std::string path = aPath;
        path.append("/").append(key);
        CheckSchema(value, rule[key], path);
      }
    } else if (keyword == "required" && aValue.is_object()) {
      for (const Json& it : rule) {
        EXPECT_TRUE(aValue.contains(it.get<std::string>())) << aPath << it;
      }
    } else {
      EXPECT_TRUE(keyword == "$schema" || keyword == "title" ||
                  keyword == "description" || keyword == "$ref" ||
                  (keyword == "additionalProperties" && rule == false) ||
                  aValue.is_null())
        << aPath << ": " << keyword;
    }
  }
}

Json
CheckAsJson(const CommandResult& aResult)
{
  static const Json sSchema = [] {
    std::ifstream file(LIMPETWOOD_SOURCE_DIR "/docs/config-check.schema.json");
    return Json::parse(file);
  }();
  Json report = Json::parse(aResult.out);
  CheckSchema(report, sSchema, "");
  return report;
}

// Programs rely on the published schema, so each kind of report must have its
// form.
TEST(ConfigCheck, JsonHasThePublishedForm)
{
  std::string changed = TempFile("json", DocumentWithLessGuaranteed());
  System system("other");
  Json report = CheckAsJson(RunWith(system.control.Address(),
                                    { "config", "check", changed, "--json" }));
  EXPECT_EQ(report["verdict"], "warnings");
  EXPECT_EQ(report["warnings"], 2);
  EXPECT_EQ(report["findings"].size(), 2U);
  EXPECT_EQ(report["changes"][0]["field"], "guarantees");
  EXPECT_EQ(report["versionInForce"], 7);
  EXPECT_EQ(report["result"]["version"], 8);
  EXPECT_EQ(report["result"]["totals"]["accelerators"], 16);

  report = CheckAsJson(RunLocally({ "config", "check", changed, "--json" }));
  EXPECT_EQ(report["verdict"], "passed");
  EXPECT_EQ(report["notChecked"].size(), 2U);
  EXPECT_TRUE(report["result"]["version"].is_null());

  // The name of the file and the text are not valid UTF-8.
  std::string bytes = TempFile("bytes-\xff", "{\"a\": \"\xfe\"}");
  report = CheckAsJson(RunLocally({ "config", "check", bytes, "--json" }));
  EXPECT_EQ(report["verdict"], "errors");
  EXPECT_TRUE(report["result"].is_null());

  report =
    CheckAsJson(RunLocally({ "config", "check", "/nonexistent", "--json" }));
  EXPECT_EQ(report["verdict"], "not_checked");
}

std::string
ReadSource(const std::string& aName)
{
  std::ifstream file(LIMPETWOOD_SOURCE_DIR "/" + aName);
  EXPECT_TRUE(file.is_open()) << aName;
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

// The indented block of a page that starts with `aStart`.
std::string
BlockOf(const std::string& aPage, const std::string& aStart)
{
  std::string block;
  std::istringstream lines(aPage.substr(aPage.find("    " + aStart)));
  for (std::string line;
       std::getline(lines, line) && line.starts_with("    ");) {
    block += line.substr(4) + '\n';
  }
  return block;
}

// Guards against a kind of finding without an example, and against examples
// that differ from what the check prints.
TEST(ConfigCheck, PageHasACurrentExampleOfEachKind)
{
  std::string page = ReadSource("docs/limpetctl.md");
  std::string site = BlockOf(page, "{\n      \"zones\"");
  ASSERT_TRUE(Json::accept(site)) << site;
  std::string servers;
  FakeControl control([&](const Request& aRequest) {
    if (aRequest.target == "/v1/instances") {
      return MakeResponse(
        200,
        R"({"instances":[{"instance":"i","controlAddress":")" +
          control.Address() + "\"}]}");
    }
    return MakeResponse(200,
                        aRequest.target == "/v1/backend-servers"
                          ? "{\"servers\":[" + servers + "]}"
                          : "{\"version\":1,\"document\":" + site + "}");
  });
  // Each example by the text that it replaces in the file.
  const std::map<std::string, std::pair<std::string, std::string>> examples{
    { "rejected",
      { "\"hardanger-r1\", \"zone\": \"hardanger\"",
        "\"hardanger-r1\", \"zone\": \"hardangr\"" } },
    { "zone_without_racks", { "\"hardanger\"]", "\"hardanger\", \"voss\"]" } },
    { "zero_quota", { "16, \"jobs\"", "0, \"jobs\"" } },
    { "workspace_cannot_submit",
      { "\"jobs\": 20, \"requests\": 10", "\"jobs\": 0, \"requests\": 0" } },
    { "service_without_server", { "mesh", "mesh" } },
    { "guarantee_reduced", { "16, \"closeness\"", "8, \"closeness\"" } },
    { "workspace_removed", { "research", "reserch" } },
  };
  Json schema = Json::parse(ReadSource("docs/config-check.schema.json"));
  for (const Json& it : schema.at("/properties/findings/items/properties/kind"
                                  "/enum"_json_pointer)) {
    auto kind = it.get<std::string>();
    ASSERT_TRUE(examples.contains(kind)) << kind;
    const auto& [from, to] = examples.at(kind);
    std::string text = site;
    ASSERT_NE(text.find(from), std::string::npos) << kind;
    text.replace(text.find(from), from.size(), to);
    servers = kind == "service_without_server" ? "" : R"({"service":"mesh"})";
    std::string file = TempFile("example", text);
    CommandResult result =
      RunWith(control.Address(), { "config", "check", file });
    std::string line = result.out.substr(0, result.out.find('\n'));
    ASSERT_TRUE(line.starts_with(file)) << kind << ": " << result.out;
    EXPECT_TRUE(line.ends_with("[" + kind + "]")) << line;
    EXPECT_TRUE(
      Contains(page, "\n    site.json" + line.substr(file.size()) + "\n"))
      << line;
  }
  // One example is shown with its whole output.
  std::string text = site;
  text.replace(text.find("16, \"closeness\""), 2, "8");
  std::string file = TempFile("example", text);
  CommandResult result =
    RunWith(control.Address(), { "config", "check", file });
  EXPECT_EQ("site.json" + result.out.substr(file.size()),
            BlockOf(page, "site.json:13:21"));
}

// A guarantee that is reduced by mistake must not take effect unnoticed.
TEST(ConfigSubmit, DocumentWithWarningsNeedsForce)
{
  System system;
  CommandResult refused = Submit(system, DocumentWithLessGuaranteed());
  EXPECT_EQ(refused.code, 3);
  EXPECT_TRUE(Contains(refused.err, "[guarantee_reduced]"));
  EXPECT_TRUE(Contains(refused.err, "--force"));
  EXPECT_EQ(system.Submitted(), 0U);
  CommandResult forced =
    RunWith(system.control.Address(),
            { "config",
              "submit",
              TempFile("forced", DocumentWithLessGuaranteed()),
              "--base-version",
              "7",
              "--force" });
  EXPECT_EQ(forced.code, 0);
  EXPECT_TRUE(Contains(forced.err, "[guarantee_reduced]"));
  EXPECT_EQ(system.Submitted(), 1U);
}

// An outage of a service's servers must not hold up a change of the
// configuration, and neither may a check without warnings.
TEST(ConfigSubmit, DocumentWithoutWarningsNeedsNoForce)
{
  System system("other");
  EXPECT_EQ(Submit(system, kDocument).code, 0);
  EXPECT_EQ(system.Submitted(), 1U);
}

// With another base version the document either conflicts or repeats a
// submission whose answer was lost. Warnings about changes of others would hide
// the conflict and stop the repetition.
TEST(ConfigSubmit, ChangesAreCheckedAgainstTheBaseVersionOnly)
{
  System system;
  EXPECT_EQ(Submit(system, DocumentWithLessGuaranteed(), "6").code, 0);
  EXPECT_EQ(system.Submitted(), 1U);
}

// A document that could not be compared must not be submitted unnoticed.
TEST(ConfigSubmit, NeedsForceIfTheVersionInForceIsUnknown)
{
  FakeControl control([](const Request& aRequest) {
    return aRequest.method == "PUT"
             ? MakeResponse(200, R"({"version":8})")
             : MakeResponse(503, R"({"reason":"no_quorum"})", "not_run");
  });
  std::vector<std::string> arguments{
    "config", "submit", TempFile("unknown", kDocument), "--base-version", "7"
  };
  EXPECT_EQ(RunWith(control.Address(), arguments).code, 4);
  EXPECT_EQ(control.Requests().size(), 1U);
  arguments.emplace_back("--force");
  EXPECT_EQ(RunWith(control.Address(), arguments).code, 0);
}

} // namespace
} // namespace limpetwood::ctl
