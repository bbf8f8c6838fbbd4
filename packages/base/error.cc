// Messages of the error codes.

#include "base/error.h"

#include <string>

namespace limpetwood {

namespace {

class Category : public std::error_category
{
public:
  const char* name() const noexcept override { return "limpetwood"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<Errc>(aValue)) {
      case Errc::kOk:
        return "success";
      case Errc::kInvalidArgument:
        return "invalid argument";
      case Errc::kNotFound:
        return "not found";
      case Errc::kAlreadyExists:
        return "already exists";
      case Errc::kConflict:
        return "conflicting change";
      case Errc::kUnavailable:
        return "temporarily unavailable";
      case Errc::kTimeout:
        return "timed out";
      case Errc::kCorrupt:
        return "data is corrupt";
      case Errc::kTruncated:
        return "data is truncated";
      case Errc::kTooLarge:
        return "size limit exceeded";
      case Errc::kIo:
        return "input/output error";
      case Errc::kNoSpace:
        return "no space left on disk";
      case Errc::kNotLeader:
        return "this instance is not the leader";
      case Errc::kRefused:
        return "refused";
    }
    return "unknown error";
  }
};

} // namespace

const std::error_category&
ErrorCategory()
{
  static const Category sCategory;
  return sCategory;
}

std::error_code
make_error_code(Errc aCode)
{
  return { static_cast<int>(aCode), ErrorCategory() };
}

} // namespace limpetwood
