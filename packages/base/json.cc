#include "base/json.h"

#include <algorithm>

namespace limpetwood {

namespace {

using nlohmann::json;

// Ends the parser, which offers no other way.
struct NestedTooDeeply
{};

bool
MayExceedDepth(std::string_view aText)
{
  auto opening = std::count_if(
    aText.begin(), aText.end(), [](char it) { return it == '[' || it == '{'; });
  return static_cast<size_t>(opening) > kMaxJsonDepth;
}

} // namespace

json
ParseJson(std::string_view aText, JsonComments aComments)
{
  bool ignoreComments = aComments == JsonComments::kIgnored;
  // The parser is faster without a callback.
  if (!MayExceedDepth(aText)) {
    return json::parse(aText, nullptr, false, ignoreComments);
  }
  auto checkDepth =
    [](int aDepth, json::parse_event_t aEvent, json& /*aValue*/) {
      bool opens = aEvent == json::parse_event_t::object_start ||
                   aEvent == json::parse_event_t::array_start;
      // `aDepth` is the number of arrays and objects around this one.
      if (opens && static_cast<size_t>(aDepth) >= kMaxJsonDepth) {
        throw NestedTooDeeply();
      }
      return true;
    };
  try {
    return json::parse(aText, checkDepth, false, ignoreComments);
  } catch (const NestedTooDeeply&) {
    return json(json::value_t::discarded);
  }
}

} // namespace limpetwood
