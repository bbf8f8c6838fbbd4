// A simulated task of the stand-in worker. It runs for the time given in its
// payload, at half speed while throttled, and can be checkpointed and resumed.
//
// Reads no clock: callers pass the monotonic time.

#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace limpetwood::standin {

enum class TaskState
{
  kPrepared,
  kRunning,
  kSucceeded,
  kFailed,
  kStopped,
};

const char*
TaskStateName(TaskState aState);

// Run time and result that the job payload requests. Absent fields keep the
// defaults below.
struct TaskPayload
{
  Millis runTime{ 1000 };
  // Work after which the task fails, as run time at full speed.
  std::optional<Millis> failAfter;
  // The task fails if this is not 0.
  int exitCode = 0;
};

// Accepts a JSON object or a string that contains one.
TaskPayload
ParsePayload(const nlohmann::json& aPayload);

// The identity of a task in the worker protocol.
struct TaskName
{
  std::string job;
  uint32_t attempt = 0;
  uint32_t member = 0;

  auto operator<=>(const TaskName&) const = default;
};

struct Task
{
  uint64_t token = 0;
  uint32_t accelerators = 0;
  // Number of members of the task's gang. Announced so that an authority can
  // rebuild its state.
  uint32_t gangSize = 1;
  TaskPayload payload;
  TaskState state = TaskState::kPrepared;
  // Monotonic time at which the accelerators of a prepared task are freed.
  Millis holdUntil = Millis::Max();
  // Work done up to the monotonic time `progressAt`, as run time at full speed.
  Millis progress;
  Millis progressAt;
  bool throttled = false;

  bool HoldsAccelerators() const
  {
    return state == TaskState::kPrepared || state == TaskState::kRunning;
  }

  // Starts the task with the progress encoded in `aCheckpoint`, or with none if
  // that is not a checkpoint handle.
  void Start(Millis aNow, std::string_view aCheckpoint);

  // Halves the speed of the task from `aNow` on.
  void Throttle(Millis aNow);

  // Returns a handle that encodes the progress made until `aNow`.
  std::string Checkpoint(Millis aNow);

  // Time until the task ends if it is not stopped.
  Millis Remaining(Millis aNow) const;
  // State in which the task ends if it is not stopped.
  TaskState EndState() const;

private:
  // Adds the work done since the last update to `progress`.
  void Advance(Millis aNow);
};

} // namespace limpetwood::standin
