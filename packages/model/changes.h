// Differences between two configuration documents in human-readable form.

#pragma once

#include "model/document.h"

#include <cstddef>
#include <string>
#include <vector>

namespace limpetwood::model {

// One difference between two documents.
//
// Paths identify racks, workspaces and services by id instead of index, as in
// "/workspaces/reports/quota/jobs", because indexes shift when items are added
// or removed.
struct Change
{
  std::string path;
  // Truncated JSON; "absent" if the document does not contain the item. If only
  // the order of items differs, "same items" and "in another order".
  std::string before;
  std::string after;

  bool operator==(const Change&) const = default;
};

// Returns at most `aLimit` changes, ordered by path. If there are more, an
// additional last entry with an empty path states how many were omitted.
std::vector<Change>
ChangesBetween(const Document& aFrom, const Document& aTo, size_t aLimit = 50);

// Returns the paths of `ChangesBetween`. If entries were omitted, the last one
// states their number, for example "and 12 more".
std::vector<std::string>
ChangedPaths(const Document& aFrom, const Document& aTo, size_t aLimit = 50);

} // namespace limpetwood::model
