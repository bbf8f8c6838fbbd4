// Strict JSON parsing and collection of faults.
//
// Besides syntax errors, duplicate keys, oversized text and deep nesting are
// faults. Comments are accepted, because operators annotate their documents.

#pragma once

#include "model/fault.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limpetwood::model::internal {

using Json = nlohmann::json;

// Collects faults. Keeps the first `kMaxFaults` and only counts further ones,
// so that a malicious document cannot cause a response larger than the
// document.
class FaultList
{
public:
  static constexpr size_t kMaxFaults = 1000;

  void Add(std::string aPath, std::string aValue, std::string aExpected);

  size_t Count() const { return mFaults.size() + mOmitted; }

  // True if there may be a fault at or below `aPath`: a fault has such a path
  // or applies to the whole document, or faults were omitted.
  bool HasFaultUnder(std::string_view aPath) const;

  // Moves out the collected faults. If faults were omitted, the last one states
  // how many.
  Faults Take();

private:
  Faults mFaults;
  size_t mOmitted = 0;
};

// Describes a value for a fault: strings truncated to 60 bytes, other scalars
// as JSON, containers by their kind and size.
std::string
DescribeValue(const Json& aNode);

// Returns at most `aMaxBytes` bytes of the text, cut at a UTF-8 character
// boundary and followed by "..." if something was cut off.
std::string
Truncate(std::string_view aText, size_t aMaxBytes);

// Appends one reference token to a JSON pointer, with the escapes of RFC 6901.
std::string
AppendToPointer(std::string_view aPath, std::string_view aKey);

std::string
AppendToPointer(std::string_view aPath, size_t aIndex);

// Limits of a JSON text: its size in bytes and its nesting.
struct TextLimits
{
  size_t maxBytes = 4U << 20U;
  size_t maxDepth = 16;
};

// Parses JSON with comments. Returns nothing if the text is not valid JSON
// within the limits; `aFaults` then contains the reason. Each duplicate key is
// added to `aFaults`, and the last value is kept.
std::optional<Json>
ParseText(std::string_view aText, TextLimits aLimits, FaultList& aFaults);

} // namespace limpetwood::model::internal
