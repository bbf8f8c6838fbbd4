// Prints plain-text tables.

#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace limpetwood::ctl {

// Prints left-aligned columns separated by two spaces, without trailing spaces.
// Each row must have as many cells as the header.
void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aHeader,
           const std::vector<std::vector<std::string>>& aRows);

} // namespace limpetwood::ctl
