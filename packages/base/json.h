// Parser for JSON texts from outside the process: requests, responses, settings
// and logs.
//
//   nlohmann::json body = ParseJson(text);
//   if (!body.is_object()) { ... }
//
// The library destroys, copies and writes a value recursively, so a text that
// is nested deeply enough overflows the stack. Such a text is refused here
// while it is read.

#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace limpetwood {

// Arrays and objects that may contain each other. Far above the nesting of any
// valid message.
inline constexpr size_t kMaxJsonDepth = 32;

enum class JsonComments
{
  kRefused,
  kIgnored,
};

// Returns a discarded value, which is of no type, if the text is not valid JSON
// or is nested more than `kMaxJsonDepth` deep. Takes time linear in the text.
nlohmann::json
ParseJson(std::string_view aText,
          JsonComments aComments = JsonComments::kRefused);

} // namespace limpetwood
