// The story of one request, from the log lines of all processes.
//
//   LogStory story("00000000000000a1");
//   story.Add(text);
//   story.Print(std::cout);
//
// A line belongs to the story if one of its fields holds the request's id.
// Lines on what the processes believed meanwhile, and on the workers that the
// request ran on, stand between them. Lines of different instances are ordered
// by the instances' own clocks.

#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::ctl {

class LogStory
{
public:
  explicit LogStory(std::string aId)
    : mId(std::move(aId))
  {
  }

  // Whole lines; what stands before the first brace of each is skipped, as
  // collectors put their own fields there.
  void Add(std::string_view aText);

  // False if no line names the request.
  bool Found() const;

  void Print(std::ostream& aOut) const;
  // The same lines as they were logged.
  nlohmann::ordered_json AsJson() const;

private:
  struct Line
  {
    Millis at;
    std::string time;
    std::string instance;
    std::string event;
    nlohmann::ordered_json fields;
    // The request's own line, not one of its surroundings.
    bool own = false;
  };

  // Lines that belong to the story, by time.
  std::vector<const Line*> Selected() const;
  // Workers that the request's lines name.
  std::set<std::string> WorkersOf() const;
  // From the first to the last line of the request, with some time around.
  std::pair<Millis, Millis> Span() const;
  void PrintFindings(std::ostream& aOut) const;
  void PrintGaps(std::ostream& aOut) const;

  const std::string mId;
  std::vector<Line> mLines;
  uint64_t mUnreadable = 0;
};

} // namespace limpetwood::ctl
