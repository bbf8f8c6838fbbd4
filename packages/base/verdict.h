// Says whether a request may have run.
//
// Every place that can end a request states one of these, and it reaches the
// caller in the header `Limpetwood-Verdict`.

#pragma once

#include <optional>
#include <string_view>

namespace limpetwood {

enum class Verdict
{
  // A complete answer was received.
  kAnswered,
  // The request was certainly not executed by anyone.
  kNotRun,
  // Bytes of the request were handed over and no complete answer arrived, so
  // nothing certain can be said.
  kMayHaveRun,
};

// "answered", "not_run" or "may_have_run".
std::string_view
VerdictName(Verdict aVerdict);

// The inverse of `VerdictName`; empty for any other text.
std::optional<Verdict>
ParseVerdict(std::string_view aName);

// The verdict on a request that was tried several times: it may have run if
// any attempt may have run, unless the last one was answered.
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
