// Whether a request was answered, was not run, or may have run.
//
// All code that ends a request sets a verdict. The caller receives it in the
// header `Limpetwood-Verdict` and can tell whether repeating the request could
// run it twice.

#pragma once

#include <optional>
#include <string_view>

namespace limpetwood {

enum class Verdict
{
  // A complete response was received.
  kAnswered,
  // No backend server executed the request.
  kNotRun,
  // Bytes of the request were sent but no complete response was received, so a
  // backend server may or may not have executed the request.
  kMayHaveRun,
};

// "answered", "not_run" or "may_have_run".
std::string_view
VerdictName(Verdict aVerdict);

// The inverse of `VerdictName`; empty for any other text.
std::optional<Verdict>
ParseVerdict(std::string_view aName);

// The verdict of a request with several attempts. `kAnswered` if the last
// attempt was answered; otherwise `kMayHaveRun` if any attempt may have run.
constexpr Verdict
CombineVerdicts(Verdict aEarlier, Verdict aLast)
{
  if (aLast == Verdict::kAnswered) {
    return Verdict::kAnswered;
  }
  if (aEarlier == Verdict::kMayHaveRun || aLast == Verdict::kMayHaveRun) {
    return Verdict::kMayHaveRun;
  }
  return Verdict::kNotRun;
}

} // namespace limpetwood
