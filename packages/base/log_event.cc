#include "base/log_event.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood {

namespace {

// Longer values come from outside; their end says little.
constexpr size_t kMostBytes = 400;

void
AppendString(std::string& aText, std::string_view aValue)
{
  aValue = aValue.substr(0, kMostBytes);
  bool plain = std::all_of(aValue.begin(), aValue.end(), [](unsigned char it) {
    return it >= ' ' && it < 0x7f && it != '"' && it != '\\';
  });
  if (plain) {
    aText += '"';
    aText += aValue;
    aText += '"';
    return;
  }
  // Bytes that are not UTF-8 must not end the process.
  aText += nlohmann::json(std::string(aValue))
             .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

LogEvent::LogEvent(std::string_view aName)
{
  mMembers = R"("event":)";
  AppendString(mMembers, aName);
}

LogEvent&
LogEvent::Add(std::string_view aField, std::string_view aValue)
{
  std::string value;
  AppendString(value, aValue);
  return AddLiteral(aField, value);
}

LogEvent&
LogEvent::AddLiteral(std::string_view aField, std::string_view aLiteral)
{
  mMembers += ",\"";
  mMembers += aField;
  mMembers += "\":";
  mMembers += aLiteral;
  return *this;
}

} // namespace limpetwood
