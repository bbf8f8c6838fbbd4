// Finds the lines and columns of JSON values from their pointers.

#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::model::internal {

// Both count from 1. The column counts characters, as editors do: bytes that
// continue a UTF-8 character are not counted.
struct TextPosition
{
  size_t line = 1;
  size_t column = 1;

  auto operator<=>(const TextPosition&) const = default;
};

// Offset in bytes of the value that each JSON pointer of `aPaths` refers to, in
// a JSON text with comments. If the text has no such value, the offset is that
// of the innermost value around it; a missing key is thus found at its object.
// If a key is given twice, the last value counts, as in `ParseText`.
//
// Takes any bytes: the scan stops where the text is not JSON or is nested more
// than `aMaxDepth` deep. Linear in the text.
std::vector<size_t>
FindOffsets(std::string_view aText,
            const std::vector<std::string>& aPaths,
            size_t aMaxDepth);

// Positions of byte offsets, in the order of `aOffsets`. Offsets beyond the
// text count as its end. Passes over the text once, because a text may consist
// of one long line.
std::vector<TextPosition>
PositionsOf(std::string_view aText, const std::vector<size_t>& aOffsets);

} // namespace limpetwood::model::internal
