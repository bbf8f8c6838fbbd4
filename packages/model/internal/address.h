// Validation of numeric addresses with ports in settings files.

#pragma once

#include <string_view>

namespace limpetwood::model::internal {

// True for addresses such as "127.0.0.1:7003" or "[::1]:7003". Host names are
// rejected, because name resolution can block or fail while a zone is isolated.
// Port 0 is accepted only if `aAllowAnyPort` is set.
bool
IsAddress(std::string_view aText, bool aAllowAnyPort);

} // namespace limpetwood::model::internal
