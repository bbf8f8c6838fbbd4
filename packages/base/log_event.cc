// JSON encoding of log fields, with escaping and truncation of their values.

#include "base/log_event.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace limpetwood {

namespace {

// Truncates field values to this size. Longer values come from external input,
// and their tail carries little information.
constexpr size_t kMaxValueBytes = 400;

void
AppendString(std::string& aText, std::string_view aValue)
{
  aValue = aValue.substr(0, kMaxValueBytes);
  bool needsNoEscape =
    std::all_of(aValue.begin(), aValue.end(), [](unsigned char it) {
      return it >= ' ' && it < 0x7f && it != '"' && it != '\\';
    });
  if (needsNoEscape) {
    aText += '"';
    aText += aValue;
    aText += '"';
    return;
  }
  // `dump` would throw on invalid UTF-8 and end the process, so invalid bytes
  // are replaced.
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
