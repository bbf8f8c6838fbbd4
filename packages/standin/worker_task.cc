#include "standin/worker_task.h"

#include <algorithm>
#include <charconv>

namespace limpetwood::standin {

namespace {

constexpr std::string_view kHandlePrefix = "progress-ms:";

// A throttled task needs this many times as long for the same work.
constexpr int64_t kThrottleFactor = 2;

Millis
MillisField(const nlohmann::json& aObject, const char* aName, Millis aDefault)
{
  auto it = aObject.find(aName);
  bool number = it != aObject.end() && it->is_number_integer();
  return number ? Millis(it->get<int64_t>()) : aDefault;
}

} // namespace

const char*
TaskStateName(TaskState aState)
{
  switch (aState) {
    case TaskState::kPrepared:
      return "prepared";
    case TaskState::kRunning:
      return "running";
    case TaskState::kSucceeded:
      return "succeeded";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kStopped:
      return "stopped";
  }
  return "";
}

TaskPayload
ParsePayload(const nlohmann::json& aPayload)
{
  if (aPayload.is_string()) {
    auto inner = nlohmann::json::parse(
      aPayload.get_ref<const std::string&>(), nullptr, false, true);
    return inner.is_object() ? ParsePayload(inner) : TaskPayload{};
  }
  TaskPayload payload;
  if (!aPayload.is_object()) {
    return payload;
  }
  payload.runTime = MillisField(aPayload, "runMs", payload.runTime);
  if (aPayload.contains("failAfterMs")) {
    payload.failAfter = MillisField(aPayload, "failAfterMs", Millis(0));
  }
  // The exit code is read as an integer through the same function.
  payload.exitCode = static_cast<int>(
    MillisField(aPayload, "exit", Millis(payload.exitCode)).Count());
  return payload;
}

void
Task::Start(Millis aNow, std::string_view aCheckpoint)
{
  state = TaskState::kRunning;
  holdUntil = Millis::Max();
  progressAt = aNow;
  if (aCheckpoint.starts_with(kHandlePrefix)) {
    aCheckpoint.remove_prefix(kHandlePrefix.size());
    int64_t done = 0;
    std::from_chars(
      aCheckpoint.data(), aCheckpoint.data() + aCheckpoint.size(), done);
    progress = Millis(std::max<int64_t>(done, 0));
  }
}

void
Task::Throttle(Millis aNow)
{
  Advance(aNow);
  throttled = true;
}

std::string
Task::Checkpoint(Millis aNow)
{
  Advance(aNow);
  return std::string(kHandlePrefix) + std::to_string(progress.Count());
}

Millis
Task::Remaining(Millis aNow) const
{
  Task now = *this;
  now.Advance(aNow);
  Millis end = payload.runTime;
  if (payload.failAfter) {
    end = std::min(end, *payload.failAfter);
  }
  Millis work = std::max(end - now.progress, Millis(0));
  return throttled ? work * kThrottleFactor : work;
}

TaskState
Task::EndState() const
{
  bool fails = payload.exitCode != 0 ||
               (payload.failAfter && *payload.failAfter < payload.runTime);
  return fails ? TaskState::kFailed : TaskState::kSucceeded;
}

void
Task::Advance(Millis aNow)
{
  if (state != TaskState::kRunning) {
    return;
  }
  Millis passed = aNow - progressAt;
  progress += throttled ? passed / kThrottleFactor : passed;
  progressAt = aNow;
}

} // namespace limpetwood::standin
