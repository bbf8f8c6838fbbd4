// Differences in meaning between two configuration documents.
//
// The order of items, comments, whitespace and keys that repeat a default make
// no difference. Items are matched by id. Guarantees have no id; equal ones of
// a workspace are added up and compared by number.

#pragma once

#include "model/validate.h"

#include <string>
#include <vector>

namespace limpetwood::model {

enum class ChangeKind
{
  kAdded,
  kRemoved,
  kChanged,
};

// "added", "removed" or "changed".
const char*
ChangeKindName(ChangeKind aKind);

struct SemanticChange
{
  ChangeKind kind = ChangeKind::kChanged;
  // "zone", "rack", "workspace", "service" or "policy".
  std::string item;
  // Empty for the policy.
  std::string id;
  // Key within the item, such as "quota/jobs". Empty if the whole item was
  // added or removed.
  std::string field;
  // Human-readable values. Empty where there is none.
  std::string before;
  std::string after;

  bool operator==(const SemanticChange&) const = default;
};

// All changes from `aFrom` to `aTo`, ordered by item, id and field.
std::vector<SemanticChange>
SemanticChanges(const Document& aFrom, const Document& aTo);

// In addition, the guaranteed shapes that both versions have and that the plan
// moves to other zones, as changes of the field "plan".
std::vector<SemanticChange>
SemanticChanges(const PlannedDocument& aFrom, const PlannedDocument& aTo);

// For example "16 accelerators (rack)".
std::string
FormatShape(const Shape& aShape);

} // namespace limpetwood::model
