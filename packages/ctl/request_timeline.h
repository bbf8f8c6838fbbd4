// Merges the log lines of several processes into a timeline of one request, for
// `limpetctl log explain`.
//
//   RequestTimeline timeline("00000000000000a1");
//   timeline.Add(text);
//   timeline.Print(std::cout);
//
// The timeline holds each line with a text field that contains the request's
// id. Within a margin around these lines it also holds leadership, membership,
// disk, configuration and process events of all processes, and events of the
// workers that the request ran on. Lines are ordered by the timestamps of the
// processes that wrote them, so clock skew between hosts can reorder them.

#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::ctl {

class RequestTimeline
{
public:
  explicit RequestTimeline(std::string aId)
    : mId(std::move(aId))
  {
  }

  // Adds log lines. `aText` must not end within a line. Text before the first
  // brace of a line is ignored, because log collectors prepend fields.
  void Add(std::string_view aText);

  // True if at least one line contains the request's id.
  bool HasRequest() const;

  // Prints the timeline as a table, followed by a summary and by the numbers of
  // missing and unreadable lines. The table is empty if no line contains the
  // request's id.
  void Print(std::ostream& aOut) const;
  // The lines that `Print` shows, with all fields as logged.
  nlohmann::ordered_json AsJson() const;

private:
  struct Line
  {
    Millis at;
    std::string time;
    std::string instance;
    std::string event;
    nlohmann::ordered_json fields;
    // True if a text field contains the request's id.
    bool namesRequest = false;
  };

  // Lines that belong to the timeline (see the head of this file), sorted by
  // time.
  std::vector<const Line*> SelectedLines() const;
  // The latest report of each step of the request that has waited since its
  // last start, by the step's name.
  std::map<std::string, const Line*> WaitingSteps() const;
  // Workers named in lines that contain the request's id.
  std::set<std::string> WorkersOf() const;
  // Times of the first and last line that contain the request's id, extended
  // by a margin on both sides; an interval without any time if there is none.
  std::pair<Millis, Millis> ContextWindow() const;
  void PrintSummary(std::ostream& aOut) const;
  void PrintMissingLines(std::ostream& aOut) const;

  const std::string mId;
  std::vector<Line> mLines;
  // Lines that are not JSON objects with a time and an event.
  uint64_t mUnreadableLines = 0;
};

} // namespace limpetwood::ctl
