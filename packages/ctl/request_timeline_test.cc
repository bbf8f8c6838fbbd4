// Tests the timeline of a request: which lines it selects, how it orders them,
// and that it reports missing and unreadable lines.

#include "ctl/request_timeline.h"

#include "ctl/run.h"

#include <gtest/gtest.h>

#include <sstream>

namespace limpetwood::ctl {
namespace {

constexpr const char* kId = "00000000000000a1";

std::string
LineAt(const std::string& aTime,
       const std::string& aInstance,
       const std::string& aRest)
{
  return R"({"time":"2026-12-04T10:00:)" + aTime +
         R"(Z","level":"INFO","instance":")" + aInstance + R"(",)" + aRest +
         "}\n";
}

std::string
FormatTimeline(const std::string& aText)
{
  RequestTimeline timeline(kId);
  timeline.Add(aText);
  std::ostringstream out;
  timeline.Print(out);
  return out.str();
}

const std::string kAccepted =
  LineAt("01.000",
         "core-1",
         R"("event":"job_accepted","job":"00000000000000a1")");
const std::string kStarted =
  LineAt("01.250",
         "core-1",
         R"("event":"runs_started","first":"00000000000000a1.0.0.0#1",)"
         R"("workers":"w1,w2")");
const std::string kEnded = LineAt(
  "09.000",
  "core-1",
  R"("event":"job_ended","job":"00000000000000a1","status":"completed")");

TEST(RequestTimeline, OrdersLinesOfAllProcesses)
{
  std::string text = FormatTimeline(
    kEnded + kStarted + kAccepted +
    LineAt("01.010",
           "entry-1",
           R"("event":"request","path":"/q/00000000000000a1","took_ms":12)"));
  size_t accepted = text.find("job_accepted");
  size_t answered = text.find("took_ms=12");
  size_t started = text.find("runs_started");
  ASSERT_NE(started, std::string::npos);
  EXPECT_LT(accepted, answered);
  EXPECT_LT(answered, started);
  EXPECT_NE(text.find("waited 250 ms for its first start"), std::string::npos);
}

TEST(RequestTimeline, ShowsStateChangesAndEventsOfItsWorkersWithinMarginOnly)
{
  std::string text = FormatTimeline(
    kAccepted + kStarted + kEnded +
    LineAt("05.000", "core-1", R"("event":"worker_gone","worker":"w2")") +
    LineAt("05.000", "core-1", R"("event":"worker_gone","worker":"w9")") +
    LineAt("06.000", "entry-1", R"("event":"leader_lost","leader":"core-1")") +
    LineAt("40.000", "entry-1", R"("event":"leader_found","leader":"x")"));
  EXPECT_NE(text.find("worker=w2"), std::string::npos);
  EXPECT_EQ(text.find("worker=w9"), std::string::npos);
  EXPECT_NE(text.find("leader_lost"), std::string::npos);
  EXPECT_EQ(text.find("leader_found"), std::string::npos);
}

TEST(RequestTimeline, CountsFailuresOfRequestAndOfOtherJobsOnSameWorkers)
{
  std::string text = FormatTimeline(
    kAccepted + kStarted +
    LineAt("03.000",
           "core-1",
           R"("event":"run_ended","run":"00000000000000a1.0.0.0#1",)"
           R"("how":"failed","worker":"w1")") +
    LineAt("04.000",
           "core-1",
           R"("event":"run_ended","run":"00000000000000b7.0.0.0#1",)"
           R"("how":"failed","worker":"w1")"));
  EXPECT_NE(text.find("run_ended failed: 1"), std::string::npos);
  EXPECT_NE(text.find("worker w1 also failed 1 runs of other jobs"),
            std::string::npos);
  EXPECT_NE(text.find("no end in these lines"), std::string::npos);
}

// Guards against a job given up for crashes whose workers must be searched for
// by hand.
TEST(RequestTimeline, ListsEachCrashUnderTheRequest)
{
  std::string text = FormatTimeline(
    kAccepted + kStarted +
    LineAt("03.000",
           "core-1",
           R"("event":"run_ended","run":"00000000000000a1.0.0.0#1",)"
           R"("how":"worker_crashed","worker":"w1","evidence":"at_start",)"
           R"("crashes":1,"crashes_at_start":1)") +
    LineAt("07.000",
           "core-2",
           R"("event":"run_ended","run":"00000000000000a1.0.0.0#2",)"
           R"("how":"worker_crashed","worker":"w2",)"
           R"("evidence":"alone_at_start","crashes":2,"crashes_at_start":2)") +
    LineAt("07.000",
           "core-2",
           R"("event":"job_ended","job":"00000000000000a1",)"
           R"("status":"failed","reason":"a task crashed 2 workers")"));
  EXPECT_NE(text.find("run_ended worker_crashed: 2"), std::string::npos);
  EXPECT_NE(text.find("worker w1 crashed under 00000000000000a1.0.0.0#1, "
                      "recorded at 2026-12-04T10:00:03.000Z, evidence "
                      "at_start"),
            std::string::npos);
  EXPECT_NE(text.find("worker w2 crashed under 00000000000000a1.0.0.0#2"),
            std::string::npos);
  EXPECT_NE(text.find("ended because a task crashed 2 workers"),
            std::string::npos);
}

// Guards against a wait whose cause must be guessed: for each step that waits,
// the summary says what keeps it from which workers, and for whom they are
// kept.
TEST(RequestTimeline, SaysWhatAStepWaitsFor)
{
  std::string waiting = LineAt(
    "05.000",
    "core-1",
    R"("event":"job_waiting","step":"00000000000000a1.0.0","tasks":2,)"
    R"("waited_ms":1000,"matching_workers":5,"without_room":2,"with_room":1,)"
    R"("obstacles":"w3 one_rack","rack_wait_ms":700,"held":1,"held_workers":)"
    R"("w4 for 00000000000000b7.0.0 by preemption for 900 ms","unusable":1,)"
    R"("unusable_workers":"w5 draining")");
  std::string summary =
    "step 00000000000000a1.0.0 has waited 1000 ms: of 5 workers, 2 have no "
    "room; 1 have room but are ruled out (w3 one_rack); one rack is expected "
    "to "
    "have room in 700 ms; 1 are kept (w4 for 00000000000000b7.0.0 by "
    "preemption for 900 ms); 1 take no tasks (w5 draining), at "
    "2026-12-04T10:00:05.000Z";
  EXPECT_NE(FormatTimeline(kAccepted + waiting).find(summary),
            std::string::npos);
  std::string started =
    LineAt("06.000",
           "core-2",
           R"("event":"runs_started","first":"00000000000000a1.0.0.0#1")");
  EXPECT_EQ(FormatTimeline(started + kAccepted + waiting).find(summary),
            std::string::npos);
}

TEST(RequestTimeline, ReportsMissingAndUnreadableLines)
{
  std::string text = FormatTimeline(
    kStarted + kEnded + "half a line {\"time\":\"2026-\n" +
    LineAt(
      "02.000", "core-1", R"("event":"leading","dropped_lines_before":17)"));
  EXPECT_NE(text.find("no line of its acceptance"), std::string::npos);
  EXPECT_NE(text.find("17 lines of core-1 are missing before"),
            std::string::npos);
  EXPECT_NE(text.find("1 lines could not be read"), std::string::npos);
}

// Log collectors prepend fields to each line. Such lines must not count as
// unreadable.
TEST(RequestTimeline, IgnoresPrefixOfLogCollectors)
{
  EXPECT_NE(FormatTimeline("Dec  4 host limpetwoodd[7]: " + kAccepted)
              .find("job_accepted"),
            std::string::npos);
}

TEST(RequestTimeline, CommandReportsAnUnknownRequest)
{
  std::ostringstream out;
  std::ostringstream err;
  EXPECT_EQ(ctl::Run({ "log", "explain", kId, "/dev/null" }, out, err), 6);
  EXPECT_NE(err.str().find("no line names"), std::string::npos);
}

} // namespace
} // namespace limpetwood::ctl
