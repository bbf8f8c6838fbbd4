// HTTP calls of the zone authority to workers, and the scheduler events that
// their responses cause. A call without an answer causes no event.

#include "daemon/internal/json_fields.h"
#include "daemon/zone_authority.h"

#include "base/json.h"

#include <nlohmann/json.hpp>

namespace limpetwood::daemon {

namespace {

using nlohmann::json;
using namespace scheduler;

json
TaskFields(const TaskAddress& aTask)
{
  return { { "job", aTask.job.Value() },
           { "attempt", aTask.attempt.Value() },
           { "member", aTask.member.Value() },
           { "token", aTask.token.Value() } };
}

} // namespace

void
ZoneAuthority::PostToWorker(const TaskAddress& aTask,
                            const char* aAction,
                            std::string aBody,
                            std::function<void(const WorkerAnswer&)> aDone)
{
  auto worker = mScheduler.FindWorker(aTask.worker);
  if (!worker) {
    return;
  }
  ++mCounters.workerCalls;
  mEnvironment.CallWorker(worker->address,
                          std::string("/v1/tasks/") + aAction,
                          std::move(aBody),
                          [this, alive = mAlive, done = std::move(aDone)](
                            const WorkerAnswer& aAnswer) {
                            if (!*alive) {
                              return;
                            }
                            if (aAnswer.verdict != Verdict::kAnswered) {
                              ++mCounters.workerCallsFailed;
                            }
                            if (done) {
                              done(aAnswer);
                            }
                          });
}

void
ZoneAuthority::SendPrepare(const scheduler::SendPrepare& aEffect)
{
  json body = TaskFields(aEffect.task);
  body["gangSize"] = aEffect.gangSize;
  body["accelerators"] = aEffect.accelerators;
  body["cores"] = aEffect.cores;
  body["memoryMb"] = aEffect.memoryMb;
  body["durationMs"] = aEffect.durationMs;
  TaskAddress task = aEffect.task;
  PostToWorker(
    task, "prepare", body.dump(), [this, task](const WorkerAnswer& aAnswer) {
      if (aAnswer.verdict != Verdict::kAnswered) {
        return;
      }
      if (aAnswer.status == 200) {
        Step(
          PrepareAcknowledged{
            task.worker, task.job, task.attempt, task.member, task.token },
          mNow);
      } else {
        json reason = ParseJson(aAnswer.body);
        Step(PrepareRefused{ task.worker,
                             task.job,
                             task.attempt,
                             task.member,
                             task.token,
                             reason.is_object() ? StringField(reason, "reason")
                                                : std::string() },
             mNow);
      }
    });
}

void
ZoneAuthority::SendStart(const scheduler::SendStart& aEffect)
{
  json body = TaskFields(aEffect.task);
  body["accelerators"] = aEffect.accelerators;
  body["durationMs"] = aEffect.durationMs;
  body["checkpoint"] = aEffect.checkpoint;
  if (auto it = mOrders.find(aEffect.task.job); it != mOrders.end()) {
    body["payload"] = it->second.spec.payload;
  }
  TaskAddress task = aEffect.task;
  PostToWorker(
    task, "start", body.dump(), [this, task](const WorkerAnswer& aAnswer) {
      if (aAnswer.verdict == Verdict::kAnswered && aAnswer.status == 200) {
        Step(
          StartAcknowledged{
            task.worker, task.job, task.attempt, task.member, task.token },
          mNow);
      }
    });
}

void
ZoneAuthority::SendStop(const scheduler::SendStop& aEffect)
{
  json body = TaskFields(aEffect.task);
  body["durationMs"] = aEffect.durationMs;
  TaskAddress task = aEffect.task;
  PostToWorker(
    task, "stop", body.dump(), [this, task](const WorkerAnswer& aAnswer) {
      if (aAnswer.verdict == Verdict::kAnswered && aAnswer.status == 200) {
        TaskReport report;
        report.worker = task.worker;
        report.job = task.job;
        report.attempt = task.attempt;
        report.member = task.member;
        report.token = task.token;
        report.state = TaskState::kStopped;
        Step(report, mNow);
      }
    });
}

void
ZoneAuthority::SendIgnoringResponse(const TaskAddress& aTask,
                                    const char* aAction,
                                    int64_t aDurationMs)
{
  json body = TaskFields(aTask);
  body["durationMs"] = aDurationMs;
  PostToWorker(aTask, aAction, body.dump(), nullptr);
}

} // namespace limpetwood::daemon
