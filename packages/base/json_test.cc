// Tests of the JSON parser against texts that a process must survive.

#include "base/json.h"

#include <gtest/gtest.h>

#include <string>

namespace limpetwood {
namespace {

std::string
Nested(size_t aDepth, const std::string& aOpen, const std::string& aClose)
{
  std::string out;
  for (size_t n = 0; n < aDepth; ++n) {
    out += aOpen;
  }
  out += "1";
  for (size_t n = 0; n < aDepth; ++n) {
    out += aClose;
  }
  return out;
}

// Guards against a process that ends because of one deeply nested text.
TEST(ParseJson, RefusesDeepNesting)
{
  for (size_t depth : { size_t{ 33 }, size_t{ 50'000 }, size_t{ 400'000 } }) {
    EXPECT_TRUE(ParseJson(Nested(depth, "[", "]")).is_discarded());
    EXPECT_TRUE(ParseJson(Nested(depth, "{\"a\":", "}")).is_discarded());
    EXPECT_TRUE(ParseJson(Nested(depth, "[{\"a\":", "}]")).is_discarded());
    EXPECT_TRUE(ParseJson(Nested(depth, "[", "")).is_discarded());
    EXPECT_TRUE(
      ParseJson("{\"unread\":" + Nested(depth, "[", "]") + "}").is_discarded());
  }
}

// Guards against a bound that refuses valid texts: brackets in texts and beside
// each other do not nest.
TEST(ParseJson, ReadsWhatIsNotNestedDeeply)
{
  EXPECT_TRUE(ParseJson(Nested(32, "[", "]")).is_array());
  EXPECT_TRUE(ParseJson("\"" + std::string(1000, '[') + "\"").is_string());
  std::string flat = "[";
  for (int n = 0; n < 10'000; ++n) {
    flat += "[1],{},";
  }
  EXPECT_EQ(ParseJson(flat + "0]").size(), 20'001U);
}

TEST(ParseJson, ReadsCommentsOnlyWhereAsked)
{
  std::string text = "// [ [\n" + Nested(20, "[", "]");
  EXPECT_TRUE(ParseJson(text).is_discarded());
  EXPECT_TRUE(ParseJson(text, JsonComments::kIgnored).is_array());
}

// Guards against exceptions from numbers that no type holds and from bytes that
// are no text.
TEST(ParseJson, RefusesUnreadableTexts)
{
  for (const char* it :
       { "", "1e999", "{\"a\":1e999}", "\"\xff\"", "[1", "nul", "[1]]" }) {
    EXPECT_TRUE(ParseJson(it).is_discarded()) << it;
  }
  EXPECT_TRUE(ParseJson(std::string(100'000, '9')).is_discarded() ||
              ParseJson(std::string(100'000, '9')).is_number());
}

} // namespace
} // namespace limpetwood
