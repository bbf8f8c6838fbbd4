#include "e2e/child.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>
#include <utility>

namespace limpetwood::e2e {

Child::~Child()
{
  Kill();
}

Child::Child(Child&& aOther) noexcept
  : mPid(std::exchange(aOther.mPid, 0))
  , mExit(std::exchange(aOther.mExit, std::nullopt))
{
}

Child&
Child::operator=(Child&& aOther) noexcept
{
  if (this != &aOther) {
    Kill();
    mPid = std::exchange(aOther.mPid, 0);
    mExit = std::exchange(aOther.mExit, std::nullopt);
  }
  return *this;
}

Child
Child::Start(const std::vector<std::string>& aCommand,
             const std::string& aOutput)
{
  std::vector<char*> arguments;
  for (const std::string& it : aCommand) {
    arguments.push_back(const_cast<char*>(it.c_str())); // NOLINT
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutput.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0640);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // Otherwise the child would inherit the test's sockets and keep them open.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  Child child;
  if (posix_spawn(&child.mPid,
                  arguments[0],
                  &actions,
                  nullptr,
                  arguments.data(),
                  environ) != 0) {
    child.mPid = 0;
    child.mExit = 127;
  }
  posix_spawn_file_actions_destroy(&actions);
  return child;
}

bool
Child::Running()
{
  return !Wait(0).has_value();
}

void
Child::Signal(int aSignal)
{
  if (mPid != 0) {
    ::kill(mPid, aSignal);
  }
}

void
Child::Kill()
{
  if (mPid != 0) {
    ::kill(mPid, SIGKILL);
    Wait(5000);
  }
}

std::optional<int>
Child::Wait(int aMillis)
{
  auto end =
    std::chrono::steady_clock::now() + std::chrono::milliseconds(aMillis);
  while (mPid != 0) {
    int status = 0;
    if (::waitpid(mPid, &status, WNOHANG) == mPid) {
      mPid = 0;
      mExit = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return mExit;
}

} // namespace limpetwood::e2e
