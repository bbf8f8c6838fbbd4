#include "fleet/types.h"

namespace limpetwood::fleet {

std::string
NameOf(const RunRef& aRun)
{
  return aRun.task.job.Value() + "." + std::to_string(aRun.task.occurrence) +
         "." + std::to_string(aRun.task.step) + "." +
         std::to_string(aRun.task.index) + "#" +
         std::to_string(aRun.run.Value());
}

std::string_view
EndName(EndKind aKind)
{
  switch (aKind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kAlone:
      return "alone";
    case EndKind::kRejected:
      return "rejected";
    case EndKind::kLost:
      break;
  }
  return "lost";
}

} // namespace limpetwood::fleet
