// Starts, signals and awaits a child process of a test.

#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace limpetwood::e2e {

class Child
{
public:
  Child() = default;
  // Kills the process if it is still running.
  ~Child();
  Child(Child&& aOther) noexcept;
  Child& operator=(Child&& aOther) noexcept;

  // Starts `aCommand`, whose first element is the path of the program. Standard
  // output and standard error are appended to the file `aOutput`. If the
  // process cannot be started, its exit code is 127.
  static Child Start(const std::vector<std::string>& aCommand,
                     const std::string& aOutput);

  bool Running();
  // 0 if the process did not start, or if its end has been noticed by `Wait`,
  // `Running` or `Kill`.
  pid_t ProcessId() const { return mPid; }
  void Signal(int aSignal);
  // Sends SIGKILL and waits at most 5 s for the process to end.
  void Kill();

  // Waits at most `aMillis` milliseconds. Returns the exit code, or nullopt if
  // the process is still running. The exit code of a process that was ended by
  // a signal is 128 + signal.
  std::optional<int> Wait(int aMillis);

private:
  pid_t mPid = 0;
  std::optional<int> mExit;
};

} // namespace limpetwood::e2e
