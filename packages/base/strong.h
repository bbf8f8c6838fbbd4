// Strong types for identifiers and units.
//
// `StrongString<Tag>` and `StrongInt<Tag, Rep>` wrap a value so that the
// compiler rejects one kind of identifier where another is expected. Both are
// ordered and hashable; `Value()` returns the wrapped value.
//
//   using WorkerId = StrongString<struct WorkerIdTag>;
//   using Term = StrongInt<struct TermTag>;

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace limpetwood {

template<typename Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aValue)
    : mValue(std::move(aValue))
  {
  }
  explicit StrongString(std::string_view aValue)
    : mValue(aValue)
  {
  }
  explicit StrongString(const char* aValue)
    : mValue(aValue)
  {
  }

  const std::string& Value() const { return mValue; }
  bool empty() const { return mValue.empty(); }

  auto operator<=>(const StrongString&) const = default;

private:
  std::string mValue;
};

template<typename Tag, typename Rep = uint64_t>
class StrongInt
{
public:
  constexpr StrongInt() = default;
  constexpr explicit StrongInt(Rep aValue)
    : mValue(aValue)
  {
  }

  constexpr Rep Value() const { return mValue; }

  constexpr auto operator<=>(const StrongInt&) const = default;

  constexpr StrongInt operator+(StrongInt aOther) const
  {
    return StrongInt(static_cast<Rep>(mValue + aOther.mValue));
  }
  constexpr StrongInt operator-(StrongInt aOther) const
  {
    return StrongInt(static_cast<Rep>(mValue - aOther.mValue));
  }
  constexpr StrongInt& operator+=(StrongInt aOther)
  {
    mValue = static_cast<Rep>(mValue + aOther.mValue);
    return *this;
  }
  constexpr StrongInt& operator-=(StrongInt aOther)
  {
    mValue = static_cast<Rep>(mValue - aOther.mValue);
    return *this;
  }

  // The value that follows this one, for versions, terms and counters.
  constexpr StrongInt Next() const
  {
    return StrongInt(static_cast<Rep>(mValue + 1));
  }

private:
  Rep mValue{};
};

} // namespace limpetwood

template<typename Tag>
struct std::hash<limpetwood::StrongString<Tag>>
{
  std::size_t operator()(const limpetwood::StrongString<Tag>& aId) const
  {
    return std::hash<std::string>()(aId.Value());
  }
};

template<typename Tag, typename Rep>
struct std::hash<limpetwood::StrongInt<Tag, Rep>>
{
  std::size_t operator()(const limpetwood::StrongInt<Tag, Rep>& aId) const
  {
    return std::hash<Rep>()(aId.Value());
  }
};
