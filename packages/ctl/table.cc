#include "ctl/table.h"

#include <algorithm>

namespace limpetwood::ctl {

void
PrintTable(std::ostream& aOut,
           const std::vector<std::string>& aHeader,
           const std::vector<std::vector<std::string>>& aRows)
{
  std::vector<size_t> widths;
  for (size_t n = 0; n < aHeader.size(); ++n) {
    size_t width = aHeader[n].size();
    for (const auto& row : aRows) {
      width = std::max(width, row[n].size());
    }
    widths.push_back(width);
  }
  auto print = [&](const std::vector<std::string>& aRow) {
    std::string line;
    for (size_t n = 0; n < aRow.size(); ++n) {
      line += aRow[n];
      line.append(widths[n] - aRow[n].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    aOut << line << '\n';
  };
  print(aHeader);
  for (const auto& row : aRows) {
    print(row);
  }
}

} // namespace limpetwood::ctl
