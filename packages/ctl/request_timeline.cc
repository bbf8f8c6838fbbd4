#include "ctl/request_timeline.h"

#include "base/json.h"
#include "ctl/table.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <map>
#include <optional>

namespace limpetwood::ctl {

namespace {

using Json = nlohmann::ordered_json;

// Margin before and after the request's lines within which state changes and
// worker events of all processes are shown. Covers about two leader elections.
constexpr Millis kContextMargin = Seconds(3);

// Leadership, membership, disk, configuration and process events, shown
// whichever request or worker they concern.
constexpr std::array kStateChangeEvents = {
  "leading",     "leadership_lost",   "leader_found",
  "leader_lost", "membership_change", "disk_failed",
  "node_failed", "node_reopened",     "configuration_in_force",
  "started",     "stopping",          "stopped"
};

std::string
TextOf(const Json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

std::optional<int64_t>
ParseDigits(std::string_view aText, size_t aAt, size_t aLength)
{
  if (aText.size() < aAt + aLength) {
    return std::nullopt;
  }
  int64_t value = 0;
  const char* end = aText.data() + aAt + aLength;
  auto [stop, ec] = std::from_chars(aText.data() + aAt, end, value);
  return ec == std::errc() && stop == end ? std::optional(value) : std::nullopt;
}

// Parses the log's time format, "2026-12-04T10:00:00.000Z".
std::optional<Millis>
ParseTime(std::string_view aText)
{
  auto year = ParseDigits(aText, 0, 4);
  auto month = ParseDigits(aText, 5, 2);
  auto day = ParseDigits(aText, 8, 2);
  auto hour = ParseDigits(aText, 11, 2);
  auto minute = ParseDigits(aText, 14, 2);
  auto second = ParseDigits(aText, 17, 2);
  auto milli = ParseDigits(aText, 20, 3);
  if (!year || !month || !day || !hour || !minute || !second || !milli) {
    return std::nullopt;
  }
  std::chrono::sys_days date =
    std::chrono::year(static_cast<int>(*year)) /
    std::chrono::month(static_cast<unsigned>(*month)) /
    std::chrono::day(static_cast<unsigned>(*day));
  auto days = std::chrono::duration_cast<std::chrono::milliseconds>(
    date.time_since_epoch());
  return Millis(days.count()) + Minutes(*hour * 60 + *minute) +
         Seconds(*second) + Millis(*milli);
}

// The field as text, or an empty string if it is absent.
std::string
FieldOf(const Json& aFields, const char* aName)
{
  auto it = aFields.find(aName);
  return it == aFields.end() ? std::string() : TextOf(*it);
}

// Adds the workers of a comma-separated list.
void
AddWorkers(const std::string& aList, std::set<std::string>& aWorkers)
{
  for (size_t at = 0; at < aList.size();) {
    size_t end = std::min(aList.find(',', at), aList.size());
    aWorkers.insert(aList.substr(at, end - at));
    at = end + 1;
  }
}

// One step of the request that waits: where its tasks could run, and what keeps
// them from there.
std::string
WaitingText(const Json& aFields)
{
  std::string out = "step " + FieldOf(aFields, "step") + " has waited " +
                    FieldOf(aFields, "waited_ms") + " ms: of " +
                    FieldOf(aFields, "matching_workers") + " workers, " +
                    FieldOf(aFields, "without_room") + " have no room";
  auto add = [&](const char* aCount, const char* aList, const char* aWhat) {
    std::string count = FieldOf(aFields, aCount);
    if (!count.empty()) {
      out += "; " + count + " " + aWhat + " (" + FieldOf(aFields, aList) + ")";
    }
  };
  add("with_room", "obstacles", "have room but are ruled out");
  std::string rackWait = FieldOf(aFields, "rack_wait_ms");
  if (!rackWait.empty()) {
    out += "; one rack is expected to have room in " + rackWait + " ms";
  }
  add("held", "held_workers", "are kept");
  add("unusable", "unusable_workers", "take no tasks");
  return out;
}

std::string
DetailsOf(const Json& aFields)
{
  std::string out;
  for (const auto& [name, value] : aFields.items()) {
    if (name != "time" && name != "instance" && name != "event" &&
        name != "level" && name != "dropped_lines_before") {
      out += (out.empty() ? "" : " ") + name + "=" + TextOf(value);
    }
  }
  return out;
}

} // namespace

void
RequestTimeline::Add(std::string_view aText)
{
  while (!aText.empty()) {
    size_t end = std::min(aText.find('\n'), aText.size());
    std::string_view text = aText.substr(0, end);
    aText.remove_prefix(std::min(end + 1, aText.size()));
    size_t brace = text.find('{');
    if (brace == std::string_view::npos) {
      mUnreadableLines += text.empty() ? 0 : 1;
      continue;
    }
    Line line;
    line.fields = ParseJson(text.substr(brace));
    if (!line.fields.is_object()) {
      ++mUnreadableLines;
      continue;
    }
    line.time = FieldOf(line.fields, "time");
    line.instance = FieldOf(line.fields, "instance");
    line.event = FieldOf(line.fields, "event");
    auto at = ParseTime(line.time);
    if (!at || line.event.empty()) {
      ++mUnreadableLines;
      continue;
    }
    line.at = *at;
    line.namesRequest = std::any_of(
      line.fields.begin(), line.fields.end(), [&](const Json& aValue) {
        return aValue.is_string() && aValue.get_ref<const std::string&>().find(
                                       mId) != std::string::npos;
      });
    mLines.push_back(std::move(line));
  }
}

bool
RequestTimeline::HasRequest() const
{
  return std::any_of(mLines.begin(), mLines.end(), [](const Line& it) {
    return it.namesRequest;
  });
}

std::set<std::string>
RequestTimeline::WorkersOf() const
{
  std::set<std::string> out;
  for (const Line& it : mLines) {
    if (it.namesRequest) {
      AddWorkers(FieldOf(it.fields, "worker"), out);
      AddWorkers(FieldOf(it.fields, "workers"), out);
    }
  }
  return out;
}

std::pair<Millis, Millis>
RequestTimeline::ContextWindow() const
{
  Millis first = Millis::Max();
  Millis last;
  for (const Line& it : mLines) {
    if (it.namesRequest) {
      first = std::min(first, it.at);
      last = std::max(last, it.at);
    }
  }
  return { first - kContextMargin, last + kContextMargin };
}

std::vector<const RequestTimeline::Line*>
RequestTimeline::SelectedLines() const
{
  auto [from, to] = ContextWindow();
  std::set<std::string> workers = WorkersOf();
  std::vector<const Line*> out;
  for (const Line& it : mLines) {
    bool inWindow = it.at >= from && it.at <= to;
    bool isStateChange = std::find(kStateChangeEvents.begin(),
                                   kStateChangeEvents.end(),
                                   it.event) != kStateChangeEvents.end();
    bool isOfWorker = it.event.starts_with("worker_") &&
                      workers.contains(FieldOf(it.fields, "worker"));
    if (it.namesRequest || (inWindow && (isStateChange || isOfWorker))) {
      out.push_back(&it);
    }
  }
  std::stable_sort(out.begin(), out.end(), [](const Line* x, const Line* y) {
    return x->at < y->at;
  });
  return out;
}

std::map<std::string, const RequestTimeline::Line*>
RequestTimeline::WaitingSteps() const
{
  std::map<std::string, const Line*> out;
  for (const Line* it : SelectedLines()) {
    std::string step = FieldOf(it->fields, "step");
    if (it->event == "job_waiting" && step.starts_with(mId)) {
      out[step] = it;
    } else if (it->event == "runs_started") {
      std::string first = FieldOf(it->fields, "first");
      std::erase_if(out, [&](const auto& aEntry) {
        return first.starts_with(aEntry.first + ".");
      });
    }
  }
  return out;
}

void
RequestTimeline::Print(std::ostream& aOut) const
{
  std::vector<std::vector<std::string>> rows;
  for (const Line* it : SelectedLines()) {
    rows.push_back({ it->time,
                     it->instance,
                     (it->namesRequest ? "" : "- ") + it->event,
                     DetailsOf(it->fields) });
  }
  PrintTable(aOut, { "TIME", "INSTANCE", "EVENT", "DETAILS" }, rows);
  aOut << '\n';
  PrintSummary(aOut);
  PrintMissingLines(aOut);
}

void
RequestTimeline::PrintSummary(std::ostream& aOut) const
{
  std::optional<Millis> accepted;
  std::optional<Millis> started;
  bool ended = false;
  std::string reason;
  uint64_t starts = 0;
  std::map<std::string, uint64_t> failureCounts;
  std::vector<std::string> crashes;
  // Failed runs of other jobs on this request's workers, by worker.
  std::set<std::string> workers = WorkersOf();
  std::map<std::string, uint64_t> otherFailures;
  for (const Line& it : mLines) {
    std::string worker = FieldOf(it.fields, "worker");
    bool failed =
      it.event == "run_ended" && FieldOf(it.fields, "how") == "failed";
    if (!it.namesRequest) {
      otherFailures[worker] += failed && workers.contains(worker) ? 1 : 0;
      continue;
    }
    if (it.event == "job_accepted") {
      accepted = it.at;
    } else if (it.event == "runs_started") {
      started = started.value_or(it.at);
      ++starts;
    } else if (it.event == "run_ended") {
      ++failureCounts["run_ended " + FieldOf(it.fields, "how")];
      if (FieldOf(it.fields, "how") == "worker_crashed") {
        crashes.push_back(
          "worker " + worker + " crashed under " + FieldOf(it.fields, "run") +
          ", recorded at " + it.time + ", evidence " +
          FieldOf(it.fields, "evidence") + ", crashes of the task " +
          FieldOf(it.fields, "crashes"));
      }
    } else if (it.event.starts_with("run_") || it.event.starts_with("start_")) {
      ++failureCounts[it.event];
    }
    ended = ended || it.event == "job_ended";
    if (it.event == "job_ended") {
      reason = FieldOf(it.fields, "reason");
    }
  }
  if (accepted && started) {
    aOut << "waited " << (*started - *accepted).Count()
         << " ms for its first start; " << starts << " starts of steps\n";
  } else if (accepted) {
    aOut << "accepted; no start in these lines\n";
  }
  for (const auto& [what, count] : failureCounts) {
    aOut << what << ": " << count << '\n';
  }
  for (const std::string& it : crashes) {
    aOut << it << '\n';
  }
  if (!ended) {
    for (const auto& [step, report] : WaitingSteps()) {
      aOut << WaitingText(report->fields) << ", at " << report->time << '\n';
    }
  }
  if (!reason.empty()) {
    aOut << "ended because " << reason << '\n';
  }
  for (const auto& [worker, count] : otherFailures) {
    if (count > 0) {
      aOut << "worker " << worker << " also failed " << count
           << " runs of other jobs\n";
    }
  }
  if (accepted && !ended) {
    aOut << "no end in these lines\n";
  }
  if (!accepted && (started || ended)) {
    aOut
      << "no line of its acceptance: lines of the instance that led then are "
         "missing\n";
  }
}

void
RequestTimeline::PrintMissingLines(std::ostream& aOut) const
{
  auto [from, to] = ContextWindow();
  for (const Line& it : mLines) {
    std::string dropped = FieldOf(it.fields, "dropped_lines_before");
    if (!dropped.empty() && it.at >= from && it.at <= to) {
      aOut << dropped << " lines of " << it.instance << " are missing before "
           << it.time << '\n';
    }
  }
  if (mUnreadableLines > 0) {
    aOut << mUnreadableLines << " lines could not be read\n";
  }
}

Json
RequestTimeline::AsJson() const
{
  Json out = Json::array();
  for (const Line* it : SelectedLines()) {
    out.push_back(it->fields);
  }
  return out;
}

} // namespace limpetwood::ctl
