// Check of a configuration document before it is submitted.
//
// Errors are exactly the faults of `ParseDocument`, without the plan in force
// and, if that finds none, with it. Warnings are entries that are accepted but
// have no effect, and changes against the version in force that are more often
// mistakes than intended.
//
//   CheckOutcome outcome = CheckDocument({ text, &inForce });
//   if (outcome.Count(Severity::kError) > 0) { ... }

#pragma once

#include "model/semantic_diff.h"
#include "model/validate.h"

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::model {

enum class Severity
{
  kError,
  kWarning,
};

enum class FindingKind
{
  // A fault of `ParseDocument`.
  kRejected,
  // A zone without workers: no job and no guarantee can be placed there.
  kZoneWithoutRacks,
  // A quota of 0 for accelerators, jobs or requests.
  kZeroQuota,
  // A workspace whose quotas allow neither jobs nor requests.
  kWorkspaceCannotSubmit,
  // A service in force that no backend server announces.
  kServiceWithoutServer,
  // A workspace has less guaranteed than in the version in force.
  kGuaranteeReduced,
  // A workspace of the version in force is absent.
  kWorkspaceRemoved,
};

// "error" or "warning".
const char*
SeverityName(Severity aSeverity);

// Names for output, for example "zone_without_racks". Scripts depend on them.
const char*
FindingKindName(FindingKind aKind);

struct Finding
{
  Severity severity = Severity::kError;
  FindingKind kind = FindingKind::kRejected;
  // Position in the text, from 1. The column counts characters. For a value
  // that is missing, the position of the innermost value around it.
  size_t line = 1;
  size_t column = 1;
  // JSON pointer into the text.
  std::string path;
  // At most `kMaxFindingValue` bytes and "...".
  std::string value;
  // What is wrong.
  std::string problem;
  // What would be correct.
  std::string expected;

  bool operator==(const Finding&) const = default;
};

constexpr size_t kMaxFindingValue = 100;

struct CheckInput
{
  std::string_view text;
  // The version in force. Without it, changes are not checked.
  const PlannedDocument* inForce = nullptr;
  // Services that backend servers announce. Without them, or without a version
  // in force, services are not checked.
  const std::set<ServiceId>* announced = nullptr;
};

struct CheckOutcome
{
  // Ordered by position. There are no warnings about entries that have errors.
  std::vector<Finding> findings;
  // The version that would result. Absent if there are errors.
  std::optional<PlannedDocument> result;
  // Changes from the version in force to `result`.
  std::vector<SemanticChange> changes;

  size_t Count(Severity aSeverity) const;
};

// Deterministic, and takes any bytes as text.
CheckOutcome
CheckDocument(const CheckInput& aInput);

} // namespace limpetwood::model
