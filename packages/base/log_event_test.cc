// Tests that log lines are valid JSON for every field type. External text with
// quotes, line breaks or invalid UTF-8 could otherwise split a line, forge a
// field or end the process with an exception, and long text make a line
// unbounded.

#include "base/log_event.h"

#include "base/ids.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace limpetwood {
namespace {

nlohmann::json
Parse(const LogEvent& aEvent)
{
  return nlohmann::json::parse("{" + aEvent.JsonMembers() + "}");
}

TEST(LogEvent, HoldsFieldsOfAllKinds)
{
  LogEvent event("run_ended");
  event.Add("worker", WorkerId("w1"))
    .Add("term", uint64_t{ 7 })
    .Add("age_ms", Millis(-3))
    .Add("last", true)
    .Add("how", "lost");
  EXPECT_EQ(Parse(event),
            (nlohmann::json{ { "event", "run_ended" },
                             { "worker", "w1" },
                             { "term", 7 },
                             { "age_ms", -3 },
                             { "last", true },
                             { "how", "lost" } }));
}

TEST(LogEvent, TextFromOutsideStaysInItsField)
{
  LogEvent event("request");
  event.Add("path", "/a\"b\\c\n\x01\",\"event\":\"forged");
  EXPECT_EQ(Parse(event)["event"], "request");
  EXPECT_EQ(Parse(event)["path"], "/a\"b\\c\n\x01\",\"event\":\"forged");
  EXPECT_EQ(event.JsonMembers().find('\n'), std::string::npos);
}

TEST(LogEvent, TextThatIsNotUtf8IsReplaced)
{
  LogEvent event("request");
  event.Add("path", std::string("/\xff\xfe"));
  EXPECT_EQ(Parse(event)["path"], "/\xef\xbf\xbd\xef\xbf\xbd");
}

TEST(LogEvent, LongTextIsTruncated)
{
  LogEvent event("request");
  event.Add("path", std::string(100000, 'x'));
  // Values are cut to 400 bytes (`kMaxValueBytes`).
  EXPECT_LT(event.JsonMembers().size(), 500U);
}

} // namespace
} // namespace limpetwood
