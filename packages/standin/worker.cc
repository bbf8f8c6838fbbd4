#include "standin/worker.h"

#include "base/ids.h"

#include <algorithm>
#include <chrono>

namespace limpetwood::standin {

namespace {

using nlohmann::json;

// Delay before a failed announcement is retried.
constexpr Millis kAnnounceRetryDelay{ 250 };

std::chrono::milliseconds
ToChrono(Millis aTime)
{
  return std::chrono::milliseconds(aTime.Count());
}

uint64_t
UnsignedField(const json& aBody, const char* aName)
{
  auto it = aBody.find(aName);
  return it != aBody.end() && it->is_number_unsigned() ? it->get<uint64_t>()
                                                       : 0;
}

std::string
TextField(const json& aBody, const char* aName)
{
  auto it = aBody.find(aName);
  return it != aBody.end() && it->is_string() ? it->get<std::string>() : "";
}

// The field "accelerators" is either a count or a list of accelerator indexes.
uint32_t
AcceleratorCount(const json& aBody)
{
  auto it = aBody.find("accelerators");
  if (it != aBody.end() && it->is_array()) {
    return static_cast<uint32_t>(it->size());
  }
  return static_cast<uint32_t>(UnsignedField(aBody, "accelerators"));
}

json
RejectionBody(const char* aReason)
{
  return { { "verdict", "not_run" }, { "reason", aReason } };
}

json
NameFields(const TaskName& aName, const Task& aTask)
{
  return { { "job", aName.job },
           { "attempt", aName.attempt },
           { "member", aName.member },
           { "token", aTask.token } };
}

} // namespace

Worker::Worker(boost::asio::io_context& aContext, WorkerOptions aOptions)
  : mOptions(std::move(aOptions))
  , mLog(mOptions.eventLog)
  , mControlClient(aContext, mOptions.instances)
  , mCallTimer(aContext)
  , mTaskTimer(aContext)
  , mStarted(MonotonicNow())
  , mIncarnation(WallNow().Count())
  , mLeaseDuration(mOptions.lease)
  , mServer(aContext,
            {},
            [this](http::Request aRequest, http::Responder aRespond) {
              Handle(aRequest, aRespond);
            })
{
}

Result<http::Endpoint>
Worker::Start()
{
  auto bound = mServer.Listen(mOptions.listen);
  if (bound) {
    mAddress = bound.Value();
    mLeaseEnd = MonotonicNow() + mLeaseDuration;
    Announce();
    ScheduleNextCall();
  }
  return bound;
}

void
Worker::Kill()
{
  mKilled = true;
  mCallTimer.cancel();
  mTaskTimer.cancel();
  mServer.Close();
}

uint32_t
Worker::AcceleratorsHeld() const
{
  uint32_t held = 0;
  for (const auto& [name, task] : mTasks) {
    held += task.HoldsAccelerators() ? task.accelerators : 0;
  }
  return held;
}

bool
Worker::Frozen() const
{
  return mOptions.freezeAfter > Millis(0) &&
         MonotonicNow() >= mStarted + mOptions.freezeAfter;
}

void
Worker::Handle(const http::Request& aRequest, const http::Responder& aRespond)
{
  if (Frozen()) {
    mFrozenResponders.push_back(aRespond);
    return;
  }
  constexpr std::string_view kPrefix = "/v1/tasks/";
  Answer answer{ .status = 404, .body = RejectionBody("not_found") };
  std::string_view target = aRequest.target;
  if (aRequest.method == "POST" && target.starts_with(kPrefix)) {
    json body = json::parse(aRequest.body, nullptr, false, true);
    answer =
      body.is_object()
        ? Dispatch(target.substr(kPrefix.size()), body)
        : Answer{ .status = 400, .body = RejectionBody("malformed_json") };
  }
  http::Response response;
  response.status = answer.status;
  response.headers.Set("Content-Type", "application/json");
  response.body = answer.body.dump() + "\n";
  aRespond(std::move(response));
  ArmTaskTimer();
}

std::optional<Worker::Answer>
Worker::CheckToken(const TaskName& aName, uint64_t aToken)
{
  uint64_t epoch = EpochOf(FencingToken(aToken)).Value();
  uint64_t& seen = mTokens[{ aName.job, aName.member }];
  if (epoch < mEpoch || aToken < seen) {
    json body = RejectionBody("outdated_token");
    body["token"] = seen;
    return Answer{ .status = 409, .body = std::move(body) };
  }
  mEpoch = epoch;
  seen = aToken;
  return std::nullopt;
}

Worker::Answer
Worker::Dispatch(std::string_view aAction, const json& aBody)
{
  TaskName name{ TextField(aBody, "job"),
                 static_cast<uint32_t>(UnsignedField(aBody, "attempt")),
                 static_cast<uint32_t>(UnsignedField(aBody, "member")) };
  uint64_t token = UnsignedField(aBody, "token");
  if (name.job.empty() || token == 0) {
    return { .status = 400, .body = RejectionBody("job_and_token_required") };
  }
  if (auto refused = CheckToken(name, token)) {
    return *refused;
  }
  if (aAction == "prepare") {
    return Prepare(name, token, aBody);
  }
  auto found = mTasks.find(name);
  if (found == mTasks.end()) {
    // Stop and release are idempotent: they succeed for an unknown task.
    bool done = aAction == "stop" || aAction == "release";
    return done
             ? Answer{}
             : Answer{ .status = 404, .body = RejectionBody("unknown_task") };
  }
  Task& task = found->second;
  task.token = token;
  if (aAction == "start") {
    return StartTask(name, task, aBody);
  }
  if (aAction == "checkpoint") {
    return Checkpoint(name, task);
  }
  if (aAction == "throttle") {
    task.Throttle(MonotonicNow());
    return {};
  }
  if (aAction == "stop") {
    return Stop(name, task);
  }
  if (aAction == "release") {
    Answer answer = Stop(name, task);
    mTasks.erase(found);
    return answer;
  }
  return { .status = 404, .body = RejectionBody("not_found") };
}

Worker::Answer
Worker::Prepare(const TaskName& aName, uint64_t aToken, const json& aBody)
{
  if (mOptions.refusePrepare) {
    return { .status = 503, .body = RejectionBody("prepare_refused") };
  }
  if (mTasks.contains(aName)) {
    return {};
  }
  Task task;
  task.token = aToken;
  task.accelerators = AcceleratorCount(aBody);
  task.gangSize = static_cast<uint32_t>(UnsignedField(aBody, "gangSize"));
  if (AcceleratorsHeld() + task.accelerators > mOptions.accelerators) {
    return { .status = 503, .body = RejectionBody("no_capacity") };
  }
  if (uint64_t hold = UnsignedField(aBody, "durationMs"); hold > 0) {
    task.holdUntil = MonotonicNow() + Millis(static_cast<int64_t>(hold));
  }
  if (aBody.contains("payload")) {
    task.payload = ParsePayload(aBody["payload"]);
  }
  mTasks.emplace(aName, task);
  return {};
}

Worker::Answer
Worker::StartTask(const TaskName& aName, Task& aTask, const json& aBody)
{
  if (aTask.state == TaskState::kRunning) {
    return {};
  }
  if (aTask.state != TaskState::kPrepared) {
    return { .status = 409, .body = RejectionBody("task_ended") };
  }
  if (aBody.contains("payload")) {
    aTask.payload = ParsePayload(aBody["payload"]);
  }
  if (mOptions.failAll) {
    aTask.payload.failAfter = Millis(0);
  }
  aTask.Start(MonotonicNow(), TextField(aBody, "checkpoint"));
  ++mTasksStarted;
  LogTask("start", aName, aTask, "running");
  AddReport(aName, aTask, "running");
  Renew();
  return {};
}

Worker::Answer
Worker::Checkpoint(const TaskName& aName, Task& aTask)
{
  if (aTask.state != TaskState::kRunning) {
    return { .status = 409, .body = RejectionBody("task_not_running") };
  }
  std::string handle = aTask.Checkpoint(MonotonicNow());
  AddReport(aName, aTask, "checkpointed", handle);
  Renew();
  return { .status = 200, .body = { { "checkpoint", handle } } };
}

Worker::Answer
Worker::Stop(const TaskName& aName, Task& aTask)
{
  if (aTask.state == TaskState::kRunning) {
    EndTask(aName, aTask, TaskState::kStopped);
  } else if (aTask.state == TaskState::kPrepared) {
    aTask.state = TaskState::kStopped;
  }
  return {};
}

void
Worker::EndTask(const TaskName& aName, Task& aTask, TaskState aState)
{
  aTask.state = aState;
  bool stopped = aState == TaskState::kStopped;
  LogTask(stopped ? "stop" : "end", aName, aTask, TaskStateName(aState));
  AddReport(aName, aTask, TaskStateName(aState));
  Renew();
}

void
Worker::StopAll(const char* aCause)
{
  for (auto& [name, task] : mTasks) {
    if (task.state == TaskState::kRunning) {
      LogTask("stop", name, task, aCause);
      AddReport(name, task, "stopped");
    }
    if (task.HoldsAccelerators()) {
      task.state = TaskState::kStopped;
    }
  }
}

void
Worker::AddReport(const TaskName& aName,
                  const Task& aTask,
                  const char* aState,
                  const std::string& aCheckpoint)
{
  json body = NameFields(aName, aTask);
  body["state"] = aState;
  if (!aCheckpoint.empty()) {
    body["checkpoint"] = aCheckpoint;
  }
  mReports[aName] = { std::move(body), ++mReportSequence };
}

void
Worker::LogTask(const char* aEvent,
                const TaskName& aName,
                const Task& aTask,
                const char* aState)
{
  json line = NameFields(aName, aTask);
  line["event"] = aEvent;
  line["worker"] = mOptions.id;
  line["state"] = aState;
  mLog.Write(std::move(line));
}

void
Worker::Announce()
{
  if (Frozen() || mKilled || mCallInFlight) {
    return;
  }
  json tasks = json::array();
  for (const auto& [name, task] : mTasks) {
    if (task.HoldsAccelerators()) {
      json fields = NameFields(name, task);
      fields["state"] = TaskStateName(task.state);
      fields["accelerators"] = task.accelerators;
      fields["gangSize"] = task.gangSize;
      tasks.push_back(std::move(fields));
    }
  }
  json body = {
    { "worker", mOptions.id },
    { "zone", mOptions.zone },
    { "rack", mOptions.rack },
    { "address", http::FormatEndpoint(mAddress) },
    { "incarnation", mIncarnation },
    { "cores", mOptions.cores },
    { "memoryMb", mOptions.memoryMb },
    { "accelerators", mOptions.accelerators },
    { "tasks", std::move(tasks) },
  };
  mCallInFlight = true;
  Millis sent = MonotonicNow();
  mControlClient.Post("/v1/workers/announce",
                      body,
                      [this, sent](int aStatus, const json& aAnswer) {
                        mRegistered = aStatus / 100 == 2;
                        OnCallDone(aStatus, aAnswer, sent);
                      });
}

void
Worker::Renew()
{
  if (Frozen() || mKilled) {
    return;
  }
  if (mCallInFlight || !mRegistered) {
    mRenewalPending = true;
    return;
  }
  json reports = json::array();
  for (const auto& [name, report] : mReports) {
    reports.push_back(report.body);
  }
  json body = {
    { "worker", mOptions.id },
    { "incarnation", mIncarnation },
    { "usage", { { "accelerators", AcceleratorsHeld() } } },
    { "reports", std::move(reports) },
  };
  mCallInFlight = true;
  mRenewalPending = false;
  Millis sent = MonotonicNow();
  uint64_t sequence = mReportSequence;
  mControlClient.Post(
    "/v1/workers/renew",
    body,
    [this, sent, sequence](int aStatus, const json& aAnswer) {
      mRegistered = aStatus / 100 == 2 && aAnswer.value("known", true);
      // With `keepReports` the end of a job is not durable yet, so the reports
      // are kept and sent again.
      if (mRegistered && !aAnswer.value("keepReports", false)) {
        std::erase_if(mReports, [&](const auto& aReport) {
          return aReport.second.sequence <= sequence;
        });
      }
      OnCallDone(aStatus, aAnswer, sent);
    });
}

void
Worker::OnCallDone(int aStatus, const json& aBody, Millis aSent)
{
  mCallInFlight = false;
  if (mKilled) {
    return;
  }
  if (mRegistered) {
    if (uint64_t lease = UnsignedField(aBody, "leaseMs"); lease > 0) {
      mLeaseDuration = Millis(static_cast<int64_t>(lease));
    }
    mLeaseEnd = std::max(mLeaseEnd, aSent + mLeaseDuration);
    ArmTaskTimer();
    if (mRenewalPending) {
      Renew();
      return;
    }
  } else if (aStatus / 100 == 2) {
    Announce();
    return;
  }
  ScheduleNextCall();
}

void
Worker::ScheduleNextCall()
{
  // Renews three times per lease duration.
  mCallTimer.expires_after(ToChrono(mRegistered
                                      ? std::max(mLeaseDuration / 3, Millis(1))
                                      : kAnnounceRetryDelay));
  mCallTimer.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    if (mRegistered) {
      Renew();
    } else {
      Announce();
    }
    if (!mCallInFlight && !Frozen()) {
      ScheduleNextCall();
    }
  });
}

void
Worker::ArmTaskTimer()
{
  Millis now = MonotonicNow();
  Millis next = Millis::Max();
  for (const auto& [name, task] : mTasks) {
    if (task.state == TaskState::kRunning) {
      next = std::min(next, now + task.Remaining(now));
    }
    if (task.HoldsAccelerators()) {
      next = std::min({ next, task.holdUntil, mLeaseEnd });
    }
  }
  if (mKilled || next == Millis::Max()) {
    return;
  }
  mTaskTimer.expires_after(ToChrono(std::max(next - now, Millis(1))));
  mTaskTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      HandleExpirations();
    }
  });
}

void
Worker::HandleExpirations()
{
  Millis now = MonotonicNow();
  if (now >= mLeaseEnd) {
    StopAll("lease_ended");
    return;
  }
  for (auto& [name, task] : mTasks) {
    if (task.state == TaskState::kPrepared && now >= task.holdUntil) {
      task.state = TaskState::kStopped;
    }
    if (task.state == TaskState::kRunning && task.Remaining(now) <= Millis(0)) {
      EndTask(name, task, task.EndState());
    }
  }
  ArmTaskTimer();
}

} // namespace limpetwood::standin
