// Small stand-ins for the review's scripts: HTTP server and client on blocking
// sockets, processes of the project, executors, and a link that can fail.
//
// One thread a connection; all addresses are loopback addresses.

#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace lab {

using nlohmann::json;

int64_t
NowMs();
int64_t
UnixMs();
void
SleepMs(int64_t aMs);

// Opens record.txt; each line begins with the seconds since then.
void
OpenRecord(const std::string& aPath);
void
Record(const std::string& aLine);

struct Endpoint
{
  std::string address;
  uint16_t port = 0;
  std::string Text() const { return address + ":" + std::to_string(port); }
  auto operator<=>(const Endpoint&) const = default;
};

Endpoint
ParseEndpoint(const std::string& aText);

struct Request
{
  std::string method{};
  std::string target{};
  // Names in lower case.
  std::map<std::string, std::string> headers{};
  std::string body{};
};

struct Response
{
  int status = 0; // 0: no answer
  std::string body;
};

// A connection that stays open, as executors and clients use them.
class Connection
{
public:
  explicit Connection(Endpoint aPeer)
    : mPeer(std::move(aPeer))
  {
  }
  ~Connection() { Close(); }
  Response Call(const Request& aRequest, int64_t aTimeoutMs);
  // Sends the request without waiting for the answer.
  bool Send(const Request& aRequest, int64_t aTimeoutMs);
  void Close();

private:
  bool Open(int64_t aTimeoutMs);
  Endpoint mPeer;
  int mFd = -1;
};

// Calls the handler for each request; no answer is sent for a status of 0, and
// the connection is closed.
class Server
{
public:
  using Handler = std::function<Response(const Request&)>;
  Server(Endpoint aListen, Handler aHandler);
  ~Server();
  // Closes the listener and resets all connections, as a crash does.
  void Close();

private:
  void Accept();
  void Serve(int aFd);
  Endpoint mListen;
  Handler mHandler;
  std::atomic<bool> mClosed{ false };
  int mFd = -1;
  std::thread mThread;
  std::mutex mMutex;
  std::set<int> mConnections;
};

// A link from a listening address to a target. While a direction is cut,
// nothing passes in it; what was sent meanwhile passes when the cut is over,
// unless the sender has reset its connection.
class Link
{
public:
  Link(Endpoint aListen, Endpoint aTarget);
  ~Link();
  std::atomic<bool> cutToTarget{ false };
  std::atomic<bool> cutFromTarget{ false };

private:
  void Accept();
  void Pump(int aFrom, int aTo, std::atomic<bool>& aCut);
  Endpoint mListen;
  Endpoint mTarget;
  std::atomic<bool> mClosed{ false };
  int mFd = -1;
  std::thread mThread;
};

// One of the project's processes.
class Process
{
public:
  Process(std::string aName, std::string aSettingsFile, std::string aLogFile);
  ~Process();
  void Start(const std::string& aBinary);
  void Signal(int aSignal);
  // Waits for the end; kills it after the time.
  void Stop();
  bool Running();
  const std::string& Name() const { return mName; }

private:
  std::string mName;
  std::string mSettingsFile;
  std::string mLogFile;
  pid_t mPid = -1;
};

// Three control and some entry processes with the settings that
// deploy/settings.json.in yields for the small deployment.
class Deployment
{
public:
  Deployment(std::string aBinary, std::string aFolder, int aEntries);
  ~Deployment();
  Endpoint Control(int aNumber) const;
  Endpoint Entry(int aNumber) const;
  std::vector<Endpoint> Controls() const;
  Process& EntryProcess(int aNumber) { return *mEntries[aNumber]; }
  Process& ControlProcess(int aNumber) { return *mControls[aNumber]; }
  // Sends the configuration until it is acknowledged.
  bool PutConfiguration(const json& aConfiguration, int64_t aTimeoutMs);
  // Waits until the entries are ready.
  bool WaitReady(int64_t aTimeoutMs);
  // A port that is free on all addresses of the deployment; for executors.
  uint16_t ExecutorPort() const { return mFirstPort + 9; }
  // A loopback address of this deployment's network.
  std::string AddressIn(int aSubnet, int aNumber) const
  {
    return mNetwork + std::to_string(aSubnet) + "." + std::to_string(aNumber);
  }

private:
  json Settings(const std::string& aName,
                const std::string& aZone,
                const std::string& aAddress) const;
  std::string mBinary;
  std::string mFolder;
  std::string mNetwork;
  uint16_t mFirstPort = 0;
  std::vector<std::unique_ptr<Process>> mControls;
  std::vector<std::unique_ptr<Process>> mEntries;
};

// The configuration of one service, one tenant and the given queues (name,
// prefix, priority, maximum number of attempts).
struct Queue
{
  std::string name;
  std::string prefix;
  int priority = 1;
  int maxAttempts = 3;
};
json
Configuration(int64_t aVersion, const std::vector<Queue>& aQueues);

inline constexpr const char* kHost = "jobs.example";
inline constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";

// A client's call. `aDeadlineMs` is how long the client waits.
Request
ClientRequest(const std::string& aMethod,
              const std::string& aPath,
              const json& aBody,
              int64_t aDeadlineMs = 3000);

struct StartEvent
{
  int64_t at = 0;
  std::string executor;
  std::string task;
  int64_t run = 0;
};

struct EndEvent
{
  int64_t at = 0;
  std::string executor;
  std::string task;
  int64_t run = 0;
  std::string how;
};

class Executors;

// An executor as PROTOCOL.md says. Tasks do the work that their `taskSpec`
// names ("work=MS").
class Executor
{
public:
  Executor(Executors& aAll,
           std::string aId,
           Endpoint aListen,
           Endpoint aAnnounced,
           std::vector<Endpoint> aControls);
  ~Executor();

  // Loses all state; nothing listens until `StartAgain`.
  void Crash();
  // The next life under the same id.
  void StartAgain();
  // Answers starts with 503 and does nothing; its health check stays good.
  void SetShedding(bool aShedding);
  void SetDraining();
  // Sends the leave on the connection of the last heartbeat, and waits for the
  // acknowledgement. Returns whether one came.
  bool Leave();
  // Ends: all that runs terminates.
  void End();

  bool Runs(const std::string& aTask);
  size_t RunCount();
  bool IsUp();
  const std::string& Id() const { return mId; }
  // Sends a heartbeat now; returns whether it was acknowledged.
  bool Heartbeat();
  // Maps the addresses that heartbeats are answered with to those of links.
  std::map<Endpoint, Endpoint> links;

private:
  struct Run
  {
    int64_t number = 0;
    int64_t startedAt = 0;
    int64_t workMs = 0;
    int64_t stopAt = INT64_MAX;
  };
  Response Handle(const Request& aRequest);
  void Tick();
  void HeartbeatLoop();
  void EndRun(const std::string& aTask, const char* aHow);
  int64_t Clock() const { return NowMs() - mStartedAt + 1000; }
  json Lists(int64_t aAfter);
  json Report();

  Executors& mAll;
  const std::string mId;
  const Endpoint mListen;
  const Endpoint mAnnounced;
  const std::vector<Endpoint> mControls;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::mutex mHeartbeatMutex;
  std::atomic<bool> mStopped{ false };
  bool mUp = false;
  bool mShedding = false;
  bool mDraining = false;
  int64_t mStartedAt = 0;
  int64_t mBorn = 0;
  int64_t mSequence = 0;
  int64_t mToken = 0;
  int64_t mLeaseUntil = 0;
  int64_t mLastEnd = 0;
  std::map<std::string, Run> mRuns;
  std::map<std::string, int64_t> mClosedRuns;
  std::vector<json> mEnds;
  std::atomic<int64_t> mNextHeartbeat{ 0 };
  Endpoint mTarget;
  size_t mNextControl = 0;
  std::unique_ptr<Connection> mConnection;
  std::unique_ptr<Server> mServer;
  std::thread mTicker;
  std::thread mHeartbeats;
};

// All executors of a scenario, and what they saw.
class Executors
{
public:
  void Add(std::unique_ptr<Executor> aExecutor)
  {
    all.push_back(std::move(aExecutor));
  }
  void OnStart(const StartEvent& aEvent);
  void OnEnd(const EndEvent& aEvent);
  std::vector<StartEvent> Starts();
  std::vector<EndEvent> Ends();
  // The executor that runs the task, or null.
  Executor* RunnerOf(const std::string& aTask);

  std::vector<std::unique_ptr<Executor>> all;

private:
  std::mutex mMutex;
  std::vector<StartEvent> mStarts;
  std::vector<EndEvent> mEnds;
};

} // namespace lab
