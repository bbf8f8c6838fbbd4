// Field accessors that report each invalid value as a fault.

#include "model/internal/object_reader.h"

#include <algorithm>

namespace limpetwood::model::internal {

namespace {

std::string
FormatNumber(double aValue)
{
  return Json(aValue).dump();
}

template<typename T>
std::string
FormatRange(const char* aKind, T aLow, T aHigh)
{
  std::string low;
  std::string high;
  if constexpr (std::is_floating_point_v<T>) {
    low = FormatNumber(aLow);
    high = FormatNumber(aHigh);
  } else {
    low = std::to_string(aLow);
    high = std::to_string(aHigh);
  }
  return std::string(aKind) + " from " + low + " to " + high;
}

bool
IsLowerCaseLetterOrDigit(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= '0' && aChar <= '9');
}

} // namespace

const char* const kIdentifierExpected =
  "1 to 63 lower-case letters, digits, '.', '_' or '-', starting with a letter "
  "or digit";

bool
IsIdentifier(std::string_view aText)
{
  // At most 63 bytes, as `kIdentifierExpected` says.
  return !aText.empty() && aText.size() <= 63 &&
         IsLowerCaseLetterOrDigit(aText.front()) &&
         std::all_of(aText.begin(), aText.end(), [](char x) {
           return IsLowerCaseLetterOrDigit(x) || x == '.' || x == '_' ||
                  x == '-';
         });
}

ObjectReader::ObjectReader(const Json& aNode,
                           std::string aPath,
                           FaultList& aFaults)
  : mNode(aNode)
  , mPath(std::move(aPath))
  , mFaults(aFaults)
{
  if (!mNode.is_object()) {
    mFaults.Add(mPath, DescribeValue(mNode), "an object");
  }
}

const Json*
ObjectReader::Find(const char* aKey, bool aRequired)
{
  mKnown.push_back(aKey);
  if (!mNode.is_object()) {
    return nullptr;
  }
  auto found = mNode.find(aKey);
  if (found == mNode.end()) {
    if (aRequired) {
      mFaults.Add(PathOf(aKey), "missing", "this key is required");
    }
    return nullptr;
  }
  return &*found;
}

void
ObjectReader::Reject(const char* aKey,
                     const Json& aValue,
                     std::string aExpected)
{
  mFaults.Add(PathOf(aKey), DescribeValue(aValue), std::move(aExpected));
}

uint64_t
ObjectReader::Integer(const char* aKey,
                      Range<uint64_t> aRange,
                      std::optional<uint64_t> aDefault)
{
  const Json* node = Find(aKey, !aDefault);
  uint64_t fallback = aDefault.value_or(aRange.low);
  if (!node) {
    return fallback;
  }
  // The library stores non-negative integers as unsigned when it parses text,
  // but as signed when a document is built in memory from signed values.
  bool nonNegative = node->is_number_unsigned() ||
                     (node->is_number_integer() && node->get<int64_t>() >= 0);
  if (!nonNegative || node->get<uint64_t>() < aRange.low ||
      node->get<uint64_t>() > aRange.high) {
    Reject(aKey, *node, FormatRange("an integer", aRange.low, aRange.high));
    return fallback;
  }
  return node->get<uint64_t>();
}

double
ObjectReader::Number(const char* aKey,
                     Range<double> aRange,
                     std::optional<double> aDefault)
{
  const Json* node = Find(aKey, !aDefault);
  double fallback = aDefault.value_or(aRange.low);
  if (!node) {
    return fallback;
  }
  if (!node->is_number() || !(node->get<double>() >= aRange.low) ||
      !(node->get<double>() <= aRange.high)) {
    Reject(aKey, *node, FormatRange("a number", aRange.low, aRange.high));
    return fallback;
  }
  return node->get<double>();
}

bool
ObjectReader::Boolean(const char* aKey, std::optional<bool> aDefault)
{
  const Json* node = Find(aKey, !aDefault);
  if (!node) {
    return aDefault.value_or(false);
  }
  if (!node->is_boolean()) {
    Reject(aKey, *node, "true or false");
    return aDefault.value_or(false);
  }
  return node->get<bool>();
}

std::string
ObjectReader::Identifier(const char* aKey)
{
  // Reports a missing key. `OptionalIdentifier` marks the key as known again,
  // so the first mark is removed.
  Find(aKey, true);
  mKnown.pop_back();
  return OptionalIdentifier(aKey).value_or(std::string());
}

std::optional<std::string>
ObjectReader::OptionalIdentifier(const char* aKey)
{
  const Json* node = Find(aKey, false);
  if (!node) {
    return std::nullopt;
  }
  const auto* text = node->get_ptr<const std::string*>();
  if (!text || !IsIdentifier(*text)) {
    Reject(aKey, *node, kIdentifierExpected);
    return std::nullopt;
  }
  return *text;
}

std::string
ObjectReader::Text(const char* aKey,
                   Range<size_t> aBytes,
                   std::optional<std::string> aDefault)
{
  const Json* node = Find(aKey, !aDefault);
  std::string fallback = aDefault.value_or(std::string());
  if (!node) {
    return fallback;
  }
  const auto* text = node->get_ptr<const std::string*>();
  if (!text || text->size() < aBytes.low || text->size() > aBytes.high) {
    Reject(aKey,
           *node,
           FormatRange("a string of", aBytes.low, aBytes.high) + " bytes");
    return fallback;
  }
  return *text;
}

bool
ObjectReader::CheckArray(const char* aKey,
                         const Json& aNode,
                         Range<size_t> aCount)
{
  if (!aNode.is_array() || aNode.size() < aCount.low ||
      aNode.size() > aCount.high) {
    Reject(aKey,
           aNode,
           FormatRange("an array of", aCount.low, aCount.high) + " items");
    return false;
  }
  return true;
}

void
ObjectReader::Finish()
{
  if (!mNode.is_object()) {
    return;
  }
  std::string names;
  for (const char* it : mKnown) {
    names += names.empty() ? it : std::string(", ") + it;
  }
  for (auto it = mNode.begin(); it != mNode.end(); ++it) {
    bool known = std::any_of(mKnown.begin(), mKnown.end(), [&](const char* x) {
      return it.key() == x;
    });
    if (!known) {
      mFaults.Add(AppendToPointer(mPath, it.key()),
                  "unknown key",
                  "one of the keys " + names);
    }
  }
}

} // namespace limpetwood::model::internal
