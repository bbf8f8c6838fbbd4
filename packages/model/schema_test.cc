// Tests that the published schemas and examples agree with the parsers. The
// operators' console builds its forms from the schemas, so a difference would
// make it reject valid values or submit invalid ones.

#include "model/settings.h"
#include "model/validate.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iterator>
#include <set>

namespace limpetwood::model {
namespace {

using Json = nlohmann::json;
using Parser = std::function<Faults(const std::string&)>;

std::string
ReadFile(const std::string& aName)
{
  std::ifstream file(std::string(LIMPETWOOD_SOURCE_DIR) + "/" + aName);
  EXPECT_TRUE(file.is_open()) << aName;
  return { std::istreambuf_iterator<char>(file),
           std::istreambuf_iterator<char>() };
}

Faults
DocumentFaults(const std::string& aText)
{
  return ParseDocument(aText).faults;
}

Faults
SettingsFaults(const std::string& aText)
{
  return ParseSettings(aText).faults;
}

// Returns the fault at a path, or null.
const Fault*
FindFault(const Faults& aFaults, const std::string& aPath)
{
  auto found = std::find_if(aFaults.begin(),
                            aFaults.end(),
                            [&](const Fault& x) { return x.path == aPath; });
  return found == aFaults.end() ? nullptr : &*found;
}

// Compares each object of an example that contains all fields with its schema:
// changes copies of the example and checks that the parser reports faults as
// the schema requires.
class SchemaChecker
{
public:
  SchemaChecker(Json aExample, Parser aParse)
    : mExample(std::move(aExample))
    , mParse(std::move(aParse))
  {
    EXPECT_TRUE(ParseFaults(mExample).empty());
  }

  // Checks the example at a path against `aSchema`. Returns the number of
  // fields checked.
  size_t Check(const Json& aSchema, const Json::json_pointer& aAt)
  {
    if (aSchema.contains("items")) {
      EXPECT_FALSE(mExample[aAt].empty()) << aAt.to_string();
      return Check(aSchema["items"], aAt / 0);
    }
    if (!aSchema.contains("properties")) {
      CheckRange(aSchema, aAt);
      return 1;
    }
    EXPECT_EQ(aSchema.at("additionalProperties"), false) << aAt.to_string();
    CheckKeys(aSchema, aAt);
    size_t fields = 0;
    for (const auto& [key, schema] : aSchema["properties"].items()) {
      CheckRequired(aSchema, aAt, key);
      EXPECT_TRUE(mExample[aAt].contains(key)) << aAt.to_string() << key;
      fields += Check(schema, aAt / key);
    }
    return fields;
  }

private:
  Faults ParseFaults(const Json& aJson) { return mParse(aJson.dump()); }

  // Compares the keys in the schema with those that the parser lists in the
  // fault of an unknown key.
  void CheckKeys(const Json& aSchema, const Json::json_pointer& aAt)
  {
    Json changed = mExample;
    changed[aAt]["unknownKey"] = 1;
    Faults faults = ParseFaults(changed);
    const Fault* fault = FindFault(faults, (aAt / "unknownKey").to_string());
    ASSERT_TRUE(fault) << aAt.to_string();
    std::set<std::string> known;
    std::string list = fault->expected.substr(sizeof("one of the keys ") - 1);
    for (size_t at = 0; at <= list.size();) {
      size_t end = std::min(list.find(", ", at), list.size());
      known.insert(list.substr(at, end - at));
      at = end + 2;
    }
    std::set<std::string> published;
    for (const auto& [key, schema] : aSchema["properties"].items()) {
      published.insert(key);
    }
    EXPECT_EQ(known, published) << aAt.to_string();
  }

  void CheckRequired(const Json& aSchema,
                     const Json::json_pointer& aAt,
                     const std::string& aKey)
  {
    const Json& required = aSchema["required"];
    bool published =
      std::find(required.begin(), required.end(), aKey) != required.end();
    Json changed = mExample;
    changed[aAt].erase(aKey);
    Faults faults = ParseFaults(changed);
    const Fault* fault = FindFault(faults, (aAt / aKey).to_string());
    bool actual = fault && fault->expected == "this key is required";
    EXPECT_EQ(actual, published) << (aAt / aKey).to_string();
  }

  // Values just outside of the schema's range must cause a range fault; the
  // bounds themselves must not.
  void CheckRange(const Json& aSchema, const Json::json_pointer& aAt)
  {
    for (const auto& [key, step] :
         { std::pair("minimum", -1), std::pair("maximum", 1) }) {
      if (!aSchema.contains(key)) {
        continue;
      }
      for (int outside : { 0, 1 }) {
        Json changed = mExample;
        const Json& bound = aSchema[key];
        changed[aAt] = bound.is_number_integer()
                         ? Json(bound.get<int64_t>() + step * outside)
                         : Json(bound.get<double>() + step * outside);
        Faults faults = ParseFaults(changed);
        const Fault* fault = FindFault(faults, aAt.to_string());
        bool ranged =
          fault && fault->expected.find(" from ") != std::string::npos;
        EXPECT_EQ(ranged, outside == 1)
          << aAt.to_string() << " " << changed[aAt];
      }
    }
  }

  Json mExample;
  Parser mParse;
};

Json
ReadCommentedJson(const std::string& aName)
{
  return Json::parse(ReadFile(aName), nullptr, true, true);
}

TEST(Schema, AgreesWithTheDocumentParser)
{
  Parsed<PlannedDocument> parsed =
    ParseDocument(ReadFile("conf/fjellnett.configuration.json"));
  ASSERT_TRUE(parsed.Ok());
  Document document = parsed.value.document;
  document.workspaces[0].guarantees[0].zone = document.zones[0];
  document.workspaces[0].guarantees[0].count = 1;
  SchemaChecker checker(Json::parse(WriteDocument(document)), DocumentFaults);
  EXPECT_GE(checker.Check(ReadCommentedJson("docs/configuration.schema.json"),
                          Json::json_pointer()),
            // Guards against skipped parts of the schema.
            24U);
}

TEST(Schema, AgreesWithTheSettingsParser)
{
  Parsed<Settings> parsed =
    ParseSettings(ReadFile("conf/fjellnett.settings.json"));
  ASSERT_TRUE(parsed.Ok());
  SchemaChecker checker(Json::parse(WriteSettings(parsed.value)),
                        SettingsFaults);
  EXPECT_GE(checker.Check(ReadCommentedJson("docs/settings.schema.json"),
                          Json::json_pointer()),
            // Guards against skipped parts of the schema.
            34U);
}

// Operators start from the published examples, so an example that is rejected
// would block their first deployment.
TEST(Examples, AreAccepted)
{
  for (const char* user : { "fjellnett", "corbillard" }) {
    std::string base = std::string("conf/") + user;
    Parsed<PlannedDocument> document =
      ParseDocument(ReadFile(base + ".configuration.json"));
    for (const Fault& it : document.faults) {
      ADD_FAILURE() << FormatFault(base, it);
    }
    EXPECT_EQ(document.value.document.workspaces.size(), 4U);
    Parsed<Settings> settings =
      ParseSettings(ReadFile(base + ".settings.json"));
    for (const Fault& it : settings.faults) {
      ADD_FAILURE() << FormatFault(base, it);
    }
    EXPECT_EQ(settings.value.instances.size(), 8U);
  }
}

} // namespace
} // namespace limpetwood::model
