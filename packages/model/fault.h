// A validation error in a configuration document, settings file or request.

#pragma once

#include <string>
#include <vector>

namespace limpetwood::model {

struct Fault
{
  // JSON pointer into the document, such as "/workspaces/2/quota".
  std::string path;
  // The invalid value as it appears in the document, truncated.
  std::string value;
  // Description of the values that are accepted.
  std::string expected;

  bool operator==(const Fault&) const = default;
};

using Faults = std::vector<Fault>;

} // namespace limpetwood::model
