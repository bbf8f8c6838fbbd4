// Names of verdicts in messages and headers.

#include "base/verdict.h"

namespace limpetwood {

std::string_view
VerdictName(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::kAnswered:
      return "answered";
    case Verdict::kNotRun:
      return "not_run";
    case Verdict::kMayHaveRun:
      break;
  }
  return "may_have_run";
}

std::optional<Verdict>
ParseVerdict(std::string_view aName)
{
  for (Verdict v :
       { Verdict::kAnswered, Verdict::kNotRun, Verdict::kMayHaveRun }) {
    if (VerdictName(v) == aName) {
      return v;
    }
  }
  return std::nullopt;
}

} // namespace limpetwood
