// Reads fields of untrusted JSON objects without exceptions.

#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace limpetwood::daemon {

// Returns an unsigned number, or 0 if the field is absent or of another type.
inline uint64_t
UnsignedField(const nlohmann::json& aObject, const char* aName)
{
  auto it = aObject.find(aName);
  return it != aObject.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                         : 0;
}

// Returns an unsigned number, or 0 if the field is absent, of another type or
// above the range.
inline uint32_t
Uint32Field(const nlohmann::json& aObject, const char* aName)
{
  uint64_t value = UnsignedField(aObject, aName);
  return value <= UINT32_MAX ? static_cast<uint32_t>(value) : 0;
}

// Returns a string, or an empty one if the field is absent or of another type.
inline std::string
StringField(const nlohmann::json& aObject, const char* aName)
{
  auto it = aObject.find(aName);
  return it != aObject.end() && it->is_string() ? it->get<std::string>()
                                                : std::string();
}

} // namespace limpetwood::daemon
