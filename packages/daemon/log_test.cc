// Tests the non-blocking log under load: it limits the number of lines, does
// not wait for a reader, writes only complete JSON lines and counts dropped
// ones.

#include "daemon/log.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <sstream>
#include <thread>

namespace limpetwood::daemon {
namespace {

// Replaces standard output by a pipe.
class CapturedOutput
{
public:
  CapturedOutput()
    : mSaved(::dup(STDOUT_FILENO))
  {
    EXPECT_EQ(::pipe(mEnds.data()), 0);
    ::dup2(mEnds[1], STDOUT_FILENO);
  }
  ~CapturedOutput()
  {
    ::dup2(mSaved, STDOUT_FILENO);
    ::close(mSaved);
    ::close(mEnds[0]);
    ::close(mEnds[1]);
  }
  CapturedOutput(const CapturedOutput&) = delete;
  CapturedOutput& operator=(const CapturedOutput&) = delete;

  // Returns the lines that were written since the last call.
  std::vector<nlohmann::json> Lines()
  {
    ::fcntl(mEnds[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buf{};
    for (ssize_t n = 0; (n = ::read(mEnds[0], buf.data(), buf.size())) > 0;) {
      text.append(buf.data(), static_cast<size_t>(n));
    }
    std::vector<nlohmann::json> out;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
      out.push_back(nlohmann::json::parse(line));
    }
    return out;
  }

private:
  int mSaved;
  std::array<int, 2> mEnds{};
};

// A log that waits for its reader would block the process while the reader is
// stalled. One test case, because the log is set up once per process.
TEST(BoundedLog, LogIsRateLimitedAndDoesNotBlock)
{
  CapturedOutput output;
  OpenNonBlockingLog(InstanceId("entry-1"));
  LogWarn(LogEvent("request_refused").Add("path", "/q/\"a\\"));
  std::vector<nlohmann::json> lines = output.Lines();
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0]["event"], "request_refused");
  EXPECT_EQ(lines[0]["path"], "/q/\"a\\");
  EXPECT_EQ(lines[0]["instance"], "entry-1");
  EXPECT_EQ(lines[0]["level"], "WARN");
  EXPECT_EQ(lines[0]["time"].get<std::string>().size(), 24U);

  // The pipe is not read during the loop, and its capacity is much smaller than
  // the total size of the lines.
  constexpr int kLinesLogged = 20'000;
  constexpr uint64_t kLinesPerSecond = 400;
  auto start = std::chrono::steady_clock::now();
  for (int n = 0; n < kLinesLogged; ++n) {
    LogInfo(LogEvent("request_refused").Add("path", std::string(300, 'x')));
  }
  auto elapsed = std::chrono::steady_clock::now() - start;
  EXPECT_LT(elapsed, std::chrono::seconds(2));
  lines = output.Lines();
  // The initial burst, and what the limit allows in at most 2 s.
  EXPECT_LE(lines.size(), kLinesPerSecond * 3);

  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  LogInfo(LogEvent("stopped"));
  std::vector<nlohmann::json> lastLines = output.Lines();
  ASSERT_EQ(lastLines.size(), 1U);
  EXPECT_EQ(lastLines[0]["event"], "stopped");
  uint64_t dropped = lastLines[0]["dropped_lines_before"];
  for (const nlohmann::json& it : lines) {
    dropped += it.value("dropped_lines_before", uint64_t{ 0 });
  }
  EXPECT_EQ(dropped + lines.size(), static_cast<uint64_t>(kLinesLogged));
}

} // namespace
} // namespace limpetwood::daemon
