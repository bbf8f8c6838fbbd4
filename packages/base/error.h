// Error codes common to all packages, as a `std::error_code` category.

#pragma once

#include <string_view>
#include <system_error>

namespace limpetwood {

enum class Errc
{
  kOk = 0,
  kInvalidArgument,
  kNotFound,
  kAlreadyExists,
  kConflict,
  kUnavailable,
  kTimeout,
  kCorrupt,
  kTruncated,
  kTooLarge,
  kIo,
  kNoSpace,
  kNotLeader,
  kRefused,
};

// The category of `Errc`; its messages are plain English phrases.
const std::error_category&
ErrorCategory();

std::error_code
make_error_code(Errc aCode);

} // namespace limpetwood

template<>
struct std::is_error_code_enum<limpetwood::Errc> : std::true_type
{
};
