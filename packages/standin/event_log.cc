#include "standin/event_log.h"

#include "base/time.h"

namespace limpetwood::standin {

EventLog::EventLog(const std::string& aPath)
{
  if (!aPath.empty()) {
    mFile = std::fopen(aPath.c_str(), "ae");
    mOk = mFile != nullptr;
  }
}

EventLog::~EventLog()
{
  if (mFile) {
    std::fclose(mFile);
  }
}

void
EventLog::Write(nlohmann::json aEvent)
{
  if (!mFile) {
    return;
  }
  aEvent["atMs"] = WallNow().Count();
  std::string line = aEvent.dump() + "\n";
  std::fwrite(line.data(), 1, line.size(), mFile);
  std::fflush(mFile);
}

} // namespace limpetwood::standin
