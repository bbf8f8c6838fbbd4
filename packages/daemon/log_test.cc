// Guards the log of a process under load: a bounded number of lines, no wait
// for a reader, whole JSON lines, and a count of what was left out.

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

// A pipe in the place of standard output.
class Output
{
public:
  Output()
    : mSaved(::dup(STDOUT_FILENO))
  {
    EXPECT_EQ(::pipe(mEnds.data()), 0);
    ::dup2(mEnds[1], STDOUT_FILENO);
  }
  ~Output()
  {
    ::dup2(mSaved, STDOUT_FILENO);
    ::close(mSaved);
    ::close(mEnds[0]);
    ::close(mEnds[1]);
  }
  Output(const Output&) = delete;
  Output& operator=(const Output&) = delete;

  // What was written since the last call.
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

// One test, because a process sets up its log once.
TEST(BoundedLog, FloodStaysInItsBudgetAndBlocksNothing)
{
  Output output;
  OpenNonBlockingLog(InstanceId("entry-1"));
  LogWarn(LogEvent("request_refused").Add("path", "/q/\"a\\"));
  std::vector<nlohmann::json> lines = output.Lines();
  ASSERT_EQ(lines.size(), 1U);
  EXPECT_EQ(lines[0]["event"], "request_refused");
  EXPECT_EQ(lines[0]["path"], "/q/\"a\\");
  EXPECT_EQ(lines[0]["instance"], "entry-1");
  EXPECT_EQ(lines[0]["level"], "WARN");
  EXPECT_EQ(lines[0]["time"].get<std::string>().size(), 24U);

  // Nobody reads meanwhile, and the lines would fill the pipe many times.
  constexpr int kFlood = 20'000;
  constexpr uint64_t kBudget = 400;
  auto begun = std::chrono::steady_clock::now();
  for (int n = 0; n < kFlood; ++n) {
    LogInfo(LogEvent("request_refused").Add("path", std::string(300, 'x')));
  }
  auto took = std::chrono::steady_clock::now() - begun;
  EXPECT_LT(took, std::chrono::seconds(2));
  lines = output.Lines();
  EXPECT_LE(lines.size(), kBudget * 3);

  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  LogInfo(LogEvent("stopped"));
  std::vector<nlohmann::json> last = output.Lines();
  ASSERT_EQ(last.size(), 1U);
  EXPECT_EQ(last[0]["event"], "stopped");
  uint64_t dropped = last[0]["dropped_lines_before"];
  for (const nlohmann::json& it : lines) {
    dropped += it.value("dropped_lines_before", uint64_t{ 0 });
  }
  EXPECT_EQ(dropped + lines.size(), static_cast<uint64_t>(kFlood));
}

} // namespace
} // namespace limpetwood::daemon
