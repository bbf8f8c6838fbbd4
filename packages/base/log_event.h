// A structured log event: an event name and its fields, written as one line.
//
//   LogEvent("lease_expired").Add("worker", id).Add("age_ms", age);
//
// Each line is a JSON object, so that tools can parse it without knowing every
// event. Names of fields that hold a duration end with their unit. Text values
// are truncated to 400 bytes, and invalid UTF-8 in them is replaced.

#pragma once

#include "base/strong.h"
#include "base/time.h"

#include <concepts>
#include <functional>
#include <string>
#include <string_view>

namespace limpetwood {

class LogEvent
{
public:
  // `aName` is in snake_case, as is each `aField`, which is written unescaped.
  explicit LogEvent(std::string_view aName);

  LogEvent& Add(std::string_view aField, std::string_view aValue);
  LogEvent& Add(std::string_view aField, const std::string& aValue)
  {
    return Add(aField, std::string_view(aValue));
  }
  LogEvent& Add(std::string_view aField, const char* aValue)
  {
    return Add(aField, std::string_view(aValue));
  }
  LogEvent& Add(std::string_view aField, bool aValue)
  {
    return AddLiteral(aField, aValue ? "true" : "false");
  }
  template<std::integral T>
  LogEvent& Add(std::string_view aField, T aValue)
  {
    return AddLiteral(aField, std::to_string(aValue));
  }
  LogEvent& Add(std::string_view aField, Millis aValue)
  {
    return Add(aField, aValue.Count());
  }
  template<typename Tag>
  LogEvent& Add(std::string_view aField, const StrongString<Tag>& aValue)
  {
    return Add(aField, aValue.Value());
  }
  template<typename Tag, typename Rep>
  LogEvent& Add(std::string_view aField, StrongInt<Tag, Rep> aValue)
  {
    return Add(aField, aValue.Value());
  }

  // The members of the JSON object, without its braces.
  const std::string& JsonMembers() const { return mMembers; }

private:
  LogEvent& AddLiteral(std::string_view aField, std::string_view aLiteral);

  std::string mMembers;
};

using LogFunction = std::function<void(const LogEvent&)>;

} // namespace limpetwood
