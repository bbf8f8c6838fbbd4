// HTTP requests and responses as value types, independent of the library that
// parses and serializes them.

#pragma once

#include "base/time.h"

#include <algorithm>
#include <cctype>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace limpetwood::http {

inline bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

// Header fields in order of arrival. Names are compared case-insensitively.
class Headers
{
public:
  using Field = std::pair<std::string, std::string>;

  // Returns the first value of a field, or an empty view if there is none.
  std::string_view Get(std::string_view aName) const
  {
    for (const Field& it : mFields) {
      if (EqualsIgnoreCase(it.first, aName)) {
        return it.second;
      }
    }
    return {};
  }

  // Replaces all values of a field.
  void Set(std::string_view aName, std::string_view aValue)
  {
    Remove(aName);
    Add(aName, aValue);
  }

  void Add(std::string_view aName, std::string_view aValue)
  {
    mFields.emplace_back(aName, aValue);
  }

  void Remove(std::string_view aName)
  {
    std::erase_if(mFields, [&](const Field& aField) {
      return EqualsIgnoreCase(aField.first, aName);
    });
  }

  // Removes the fields for whose names `aPredicate` holds.
  template<typename Predicate>
  void RemoveIf(Predicate aPredicate)
  {
    std::erase_if(mFields, [&](const Field& aField) {
      return aPredicate(std::string_view(aField.first));
    });
  }

  const std::vector<Field>& Fields() const { return mFields; }

private:
  std::vector<Field> mFields;
};

struct Request
{
  std::string method = "GET";
  // Path and query as received.
  std::string target = "/";
  Headers headers;
  std::string body;
  // Set by `Server`, callable until the response: whether the peer has shut
  // down its sending side or lost its connection. Most such peers have left.
  std::function<bool()> peerStoppedSending = [] { return false; };
  // Set by `Server`: a time of `MonotonicNow()` at which no byte of the request
  // had arrived. The request may have waited since, unread, such as while the
  // process was stopped. Precise only in event loops run by `RunEventLoop`.
  Millis arrivedAfter{};
};

struct Response
{
  int status = 200;
  Headers headers;
  std::string body;
};

} // namespace limpetwood::http
