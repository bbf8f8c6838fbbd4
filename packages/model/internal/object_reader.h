// Reads the fields of one JSON object and reports every fault.
//
// Each accessor marks its key as known; `Finish` reports the keys that no
// accessor was called for. After a fault, an accessor returns the default or a
// placeholder value, so that reading continues and finds the remaining faults.
//
//   ObjectReader rack(node, "/racks/0", faults);
//   rack.Identifier("id");
//   rack.Integer("workers", { 1, 256 });
//   rack.Finish();

#pragma once

#include "model/internal/json_text.h"

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <vector>

namespace limpetwood::model::internal {

// Inclusive range of accepted values.
template<typename T>
struct Range
{
  T low;
  T high;
};

// True for 1 to 63 lower-case letters, digits, '.', '_' or '-' that start with
// a letter or digit. Such identifiers are safe in paths, header fields and
// metric labels without escaping.
bool
IsIdentifier(std::string_view aText);

// Text of the `expected` field of faults in identifiers.
extern const char* const kIdentifierExpected;

class ObjectReader
{
public:
  ObjectReader(const Json& aNode, std::string aPath, FaultList& aFaults);

  // Returns the value of a key, or null if it is absent. A missing required key
  // is a fault.
  const Json* Find(const char* aKey, bool aRequired);

  // Without a default, the key is required.
  uint64_t Integer(const char* aKey,
                   Range<uint64_t> aRange,
                   std::optional<uint64_t> aDefault = std::nullopt);
  double Number(const char* aKey,
                Range<double> aRange,
                std::optional<double> aDefault = std::nullopt);
  bool Boolean(const char* aKey, std::optional<bool> aDefault = std::nullopt);

  std::string Identifier(const char* aKey);
  // Returns nothing if the key is absent or its value is not an identifier.
  std::optional<std::string> OptionalIdentifier(const char* aKey);

  std::string Text(const char* aKey,
                   Range<size_t> aBytes,
                   std::optional<std::string> aDefault = std::nullopt);

  // Reads a string that `aParse` maps to a value, or to nothing if the string
  // is not valid.
  template<typename T, typename Parse>
  T Choice(const char* aKey,
           Parse aParse,
           const char* aExpected,
           std::optional<T> aDefault = std::nullopt)
  {
    const Json* node = Find(aKey, !aDefault);
    T fallback = aDefault.value_or(T{});
    if (!node) {
      return fallback;
    }
    const auto* text = node->get_ptr<const std::string*>();
    std::optional<T> value = text ? aParse(*text) : std::nullopt;
    if (!value) {
      Reject(aKey, *node, aExpected);
      return fallback;
    }
    return *value;
  }

  // Calls `aItem(node, path)` for each item of an array. A number of items
  // outside of `aCount` is a fault, and no item is read.
  template<typename Item>
  void Array(const char* aKey, Range<size_t> aCount, bool aRequired, Item aItem)
  {
    const Json* node = Find(aKey, aRequired);
    if (!node || !CheckArray(aKey, *node, aCount)) {
      return;
    }
    std::string path = PathOf(aKey);
    for (size_t n = 0; n < node->size(); ++n) {
      aItem((*node)[n], AppendToPointer(path, n));
    }
  }

  void Reject(const char* aKey, const Json& aValue, std::string aExpected);

  std::string PathOf(const char* aKey) const
  {
    return AppendToPointer(mPath, aKey);
  }

  const std::string& Path() const { return mPath; }

  // Reports each unknown key as a fault that lists the known keys. Call it
  // after all accessors.
  void Finish();

private:
  bool CheckArray(const char* aKey, const Json& aNode, Range<size_t> aCount);

  const Json& mNode;
  std::string mPath;
  FaultList& mFaults;
  std::vector<const char*> mKnown;
};

} // namespace limpetwood::model::internal
