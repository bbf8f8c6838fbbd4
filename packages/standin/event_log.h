// Appends one JSON line per event to a file. Tests compare the event logs of
// several processes.

#pragma once

#include <nlohmann/json.hpp>

#include <cstdio>
#include <string>

namespace limpetwood::standin {

class EventLog
{
public:
  // An empty path discards all events.
  explicit EventLog(const std::string& aPath);
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // False if the file could not be opened.
  bool Ok() const { return mOk; }

  // Adds the wall-clock time in milliseconds as "atMs" and flushes the line, so
  // that it survives a kill of the process. Write errors are ignored.
  void Write(nlohmann::json aEvent);

private:
  std::FILE* mFile = nullptr;
  bool mOk = true;
};

} // namespace limpetwood::standin
