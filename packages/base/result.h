// A value or a `std::error_code`, for functions that report errors without
// exceptions.
//
//   Result<Snapshot> loaded = LoadSnapshot(path);
//   if (!loaded) {
//     return loaded.Error();
//   }
//   Use(loaded.Value());

#pragma once

#include <cassert>
#include <system_error>
#include <utility>
#include <variant>

namespace limpetwood {

template<typename T>
class [[nodiscard]] Result
{
public:
  Result(T aValue) // NOLINT(google-explicit-constructor)
    : mState(std::in_place_index<0>, std::move(aValue))
  {
  }
  Result(std::error_code aError) // NOLINT(google-explicit-constructor)
    : mState(std::in_place_index<1>, aError)
  {
    assert(aError);
  }

  bool Ok() const { return mState.index() == 0; }
  explicit operator bool() const { return Ok(); }

  // Precondition: `Ok()`.
  const T& Value() const& { return std::get<0>(mState); }
  T& Value() & { return std::get<0>(mState); }
  T&& Value() && { return std::get<0>(std::move(mState)); }

  // The error, or a zero code if there is a value.
  std::error_code Error() const
  {
    return Ok() ? std::error_code() : std::get<1>(mState);
  }

private:
  std::variant<T, std::error_code> mState;
};

} // namespace limpetwood
