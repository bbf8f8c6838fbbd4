// Test double of the agent on a worker: announces itself to an instance, renews
// its lease, runs simulated tasks under fencing tokens, and stops all tasks
// when the lease expires.
//
// Not thread-safe: call all methods on the thread that runs the io_context.

#pragma once

#include "http/server.h"
#include "standin/control_client.h"
#include "standin/event_log.h"
#include "standin/worker_task.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace limpetwood::standin {

struct WorkerOptions
{
  std::string id = "worker-1";
  std::string zone = "sogn";
  std::string rack = "sogn-r1";
  uint32_t cores = 130;
  uint64_t memoryMb = 500000;
  uint32_t accelerators = 8;
  http::Endpoint listen{ "127.0.0.1", 0 };
  std::vector<InstanceAddress> instances{};
  // Lease duration used until a response of an instance contains another one.
  Millis lease = Seconds(15);
  // Every task fails immediately after its start.
  bool failAll = false;
  // Every prepare call is rejected with status 503.
  bool refusePrepare = false;
  // Time after construction at which the worker stops sending calls and
  // responding to requests. Its tasks run on until the lease expires. 0
  // disables it.
  Millis freezeAfter{ 0 };
  std::string eventLog{};
};

class Worker
{
public:
  Worker(boost::asio::io_context& aContext, WorkerOptions aOptions);

  // Binds the listening port, sends the first announcement and starts to serve.
  // Returns the bound address, or the error of the bind.
  Result<http::Endpoint> Start();

  // Closes the listening port and all connections and stops the timers without
  // notifying anyone, like the kill of the process.
  void Kill();

  uint32_t AcceleratorsHeld() const;
  uint64_t TasksStarted() const { return mTasksStarted; }

private:
  // What a fencing token protects: one member (second) of one job (first).
  using Resource = std::pair<std::string, uint32_t>;

  struct Answer
  {
    int status = 200;
    nlohmann::json body = nlohmann::json::object();
  };

  // A task state that no instance has acknowledged yet. The sequence number
  // tells whether the state changed while a renewal was in flight, in which
  // case the acknowledgement does not cover it.
  struct Report
  {
    nlohmann::json body;
    uint64_t sequence = 0;
  };

  void Handle(const http::Request& aRequest, const http::Responder& aRespond);
  Answer Dispatch(std::string_view aAction, const nlohmann::json& aBody);
  // Returns the rejection of a message whose token or epoch is older than one
  // seen before. Otherwise records both and returns nullopt.
  std::optional<Answer> CheckToken(const TaskName& aName, uint64_t aToken);
  Answer Prepare(const TaskName& aName,
                 uint64_t aToken,
                 const nlohmann::json& aBody);
  Answer StartTask(const TaskName& aName,
                   Task& aTask,
                   const nlohmann::json& aBody);
  Answer Checkpoint(const TaskName& aName, Task& aTask);
  Answer Stop(const TaskName& aName, Task& aTask);

  void EndTask(const TaskName& aName, Task& aTask, TaskState aState);
  // Stops all tasks. `aCause` is written to the event log as the task's state.
  void StopAll(const char* aCause);
  void AddReport(const TaskName& aName,
                 const Task& aTask,
                 const char* aState,
                 const std::string& aCheckpoint = {});
  void LogTask(const char* aEvent,
               const TaskName& aName,
               const Task& aTask,
               const char* aState);

  void Announce();
  // Sends a renewal with the unacknowledged reports. Marks it as pending
  // instead if a call is in flight or the worker is not registered.
  void Renew();
  // Handles the end of an announcement or renewal that was sent at `aSent`
  // (monotonic): extends the lease, or announces the worker again if the
  // instance does not know it.
  void OnCallDone(int aStatus, const nlohmann::json& aBody, Millis aSent);
  // Sets the timer for the next renewal, or announcement if not registered.
  void ScheduleNextCall();
  // Sets the task timer to the earliest end of a task, a hold or the lease.
  void ArmTaskTimer();
  // Ends tasks that are due and frees expired holds. Stops all tasks if the
  // lease has expired.
  void HandleExpirations();
  bool Frozen() const;

  WorkerOptions mOptions;
  EventLog mLog;
  ControlClient mControlClient;
  boost::asio::steady_timer mCallTimer;
  boost::asio::steady_timer mTaskTimer;
  http::Endpoint mAddress;
  Millis mStarted;
  int64_t mIncarnation = 0;
  std::map<TaskName, Task> mTasks;
  // Highest token seen for each resource.
  std::map<Resource, uint64_t> mTokens;
  // Highest epoch seen for any resource.
  uint64_t mEpoch = 0;
  std::map<TaskName, Report> mReports;
  uint64_t mReportSequence = 0;
  // Monotonic time. The lease runs from the time at which the acknowledged call
  // was sent, so that it never ends later than the instance assumes.
  Millis mLeaseEnd;
  Millis mLeaseDuration;
  // True while the last call was acknowledged by an instance that knows this
  // worker; if false, the worker has to announce itself.
  bool mRegistered = false;
  // An announcement or renewal is in flight.
  bool mCallInFlight = false;
  // A renewal was requested while none could be sent; it follows the next
  // acknowledgement.
  bool mRenewalPending = false;
  bool mKilled = false;
  uint64_t mTasksStarted = 0;
  // Responders of requests received while frozen. Keeping them keeps their
  // connections open.
  std::vector<http::Responder> mFrozenResponders;
  http::Server mServer;
};

} // namespace limpetwood::standin
