// Stand-ins of the platform, executors, operators and clients for the cases of
// this review: plain sockets and threads, one process for each case.
//
// They do what the users' pages say (PROTOCOL.md, DEPLOY.md), and where a page
// is silent, what a sound one would do. The daemons are the project's own
// program, started as separate processes with the command of
// deploy/system.toml.

#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           Clock::now().time_since_epoch())
    .count();
}

inline int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

inline void
SleepMs(int64_t aMs)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

// Writes what was sent, answered and run to record.txt.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : mFile(aFile)
    , mStart(NowMs())
  {
  }

  void operator()(const std::string& aText)
  {
    std::lock_guard lock(mMutex);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f s  ", (NowMs() - mStart) / 1000.0);
    mFile << time << aText << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mFile;
  const int64_t mStart;
};

struct Response
{
  // 0 if there was no complete response.
  int status = 0;
  std::string body{};
};

inline sockaddr_in
ToSockaddr(const std::string& aAddress, int aPort)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aAddress.c_str(), &out.sin_addr);
  return out;
}

inline bool
WaitFor(int aFd, short aEvents, int64_t aUntil)
{
  int64_t left = aUntil - NowMs();
  pollfd entry{ aFd, aEvents, 0 };
  return left > 0 && poll(&entry, 1, static_cast<int>(left)) > 0;
}

// Reads one HTTP message with a Content-Length; empty at the end.
inline std::optional<std::pair<std::string, std::string>>
ReadMessage(int aFd, std::string& aBuffer, int64_t aUntil)
{
  size_t head = std::string::npos;
  size_t need = std::string::npos;
  while (true) {
    if (head == std::string::npos) {
      head = aBuffer.find("\r\n\r\n");
      if (head != std::string::npos) {
        std::string lower = aBuffer.substr(0, head);
        std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
        size_t at = lower.find("\r\ncontent-length:");
        size_t length =
          at == std::string::npos ? 0 : std::stoul(lower.substr(at + 17));
        need = head + 4 + length;
      }
    }
    if (head != std::string::npos && aBuffer.size() >= need) {
      std::pair out(aBuffer.substr(0, head),
                    aBuffer.substr(head + 4, need - head - 4));
      aBuffer.erase(0, need);
      return out;
    }
    if (!WaitFor(aFd, POLLIN, aUntil)) {
      return std::nullopt;
    }
    char bytes[16384];
    ssize_t n = recv(aFd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      return std::nullopt;
    }
    aBuffer.append(bytes, static_cast<size_t>(n));
  }
}

inline bool
SendAll(int aFd, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    ssize_t n =
      send(aFd, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

// One request on a connection of its own.
inline Response
Call(const std::string& aAddress,
     int aPort,
     const std::string& aMethod,
     const std::string& aPath,
     const std::string& aBody,
     int64_t aTimeoutMs,
     const std::string& aHeaders = "")
{
  Response out;
  int64_t until = NowMs() + aTimeoutMs;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in to = ToSockaddr(aAddress, aPort);
  int rc = connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to);
  int error = 0;
  socklen_t size = sizeof error;
  bool connected =
    rc == 0 ||
    (errno == EINPROGRESS && WaitFor(fd, POLLOUT, until) &&
     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0);
  if (connected) {
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::string host = aHeaders.find("Host:") == std::string::npos
                         ? "Host: " + aAddress + "\r\n"
                         : "";
    SendAll(fd,
            aMethod + " " + aPath + " HTTP/1.1\r\n" + host + aHeaders +
              "Content-Type: application/json\r\nContent-Length: " +
              std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    std::string buffer;
    // Interim responses precede the final one.
    while (auto message = ReadMessage(fd, buffer, until)) {
      int status = std::atoi(message->first.substr(9, 3).c_str());
      if (status >= 200) {
        out = { status, message->second };
        break;
      }
    }
  }
  close(fd);
  return out;
}

struct DaemonSpec
{
  std::string name;
  std::string zone;
  std::string address;
  bool control = false;
};

// The deployment: the project's daemons on loopback addresses.
class Deployment
{
public:
  static constexpr int kInternalPort = 7000;
  static constexpr int kFrontPort = 8521;
  static constexpr int kReadyPort = 8523;
  static constexpr int kControlPort = 8526;
  static constexpr int kExecutorPort = 8080;

  Deployment(Record& aRecord, std::string aRoot, std::string aFolder)
    : record(aRecord)
    , mRoot(std::move(aRoot))
    , mFolder(std::move(aFolder))
  {
    // A network of its own for each process, so that cases do not meet.
    int id = static_cast<int>(getpid());
    mNet = "127." + std::to_string(64 + id / 200 % 128) + "." +
           std::to_string(1 + id % 200) + ".";
  }

  ~Deployment()
  {
    for (auto& [name, pid] : mPids) {
      kill(pid, SIGCONT);
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
  }

  std::string Address(int aNumber) const
  {
    return mNet + std::to_string(aNumber);
  }

  void AddControl(const std::string& aName,
                  const std::string& aZone,
                  int aNumber)
  {
    daemons[aName] = { aName, aZone, Address(aNumber), true };
    seeds.push_back(Address(aNumber) + ":" + std::to_string(kControlPort));
    controls.push_back(aName);
  }

  void AddEntry(const std::string& aName, const std::string& aZone, int aNumber)
  {
    daemons[aName] = { aName, aZone, Address(aNumber), false };
    entries.push_back(aName);
  }

  std::string DataFolder(const std::string& aName) const
  {
    return mFolder + "/data-" + aName;
  }

  // Writes the settings that deploy/settings.json.in yields, and starts the
  // program as deploy/system.toml says.
  void Start(const std::string& aName, bool aBootstrap)
  {
    const DaemonSpec& spec = daemons.at(aName);
    json settings = { { "instance", spec.name },
                      { "zone", spec.zone },
                      { "address", spec.address },
                      { "firstInternalPort", kInternalPort },
                      { "seeds", seeds },
                      { "zones", zones },
                      { "overloadPolicy", "caller_cost" },
                      { "firstStart", aBootstrap },
                      { "bounds",
                        { { "longestLeaseMs", maxHoldMs },
                          { "stopTimeMs", stopTimeoutMs },
                          { "heartbeatMs", heartbeatMs },
                          { "shutdownMs", 6000 },
                          { "toleratedInstances", 1 },
                          { "openFiles", 4096 } } } };
    auto listen = [&](int aPort) {
      return spec.address + ":" + std::to_string(aPort);
    };
    if (spec.control) {
      std::filesystem::create_directories(DataFolder(aName));
      settings["dataFolder"] = DataFolder(aName);
      settings["controlAddress"] = listen(kControlPort);
    } else {
      settings["callerAddress"] = listen(kFrontPort);
      settings["readinessAddress"] = listen(kReadyPort);
    }
    std::string file = mFolder + "/" + aName + ".json";
    std::ofstream(file) << settings.dump(2);
    std::string log = mFolder + "/" + aName + ".log";
    pid_t pid = fork();
    if (pid == 0) {
      int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(fd, 1);
      dup2(fd, 2);
      if (chdir(mRoot.c_str()) != 0) {
        _exit(127);
      }
      std::string variable = "LIMPETWOOD_NODE_FILE=" + file;
      std::string path = "PATH=/usr/bin:/bin";
      std::string home = "HOME=/";
      std::string lang = "LANG=C.UTF-8";
      char* environment[] = {
        variable.data(), path.data(), home.data(), lang.data(), nullptr
      };
      char program[] = "target/packages/daemon/limpetwoodd";
      char flag[] = "--platform";
      char* arguments[] = { program, flag, nullptr };
      execve(program, arguments, environment);
      _exit(127);
    }
    mPids[aName] = pid;
    record("platform  starts " + aName + " at " + spec.address +
           (aBootstrap ? ", bootstrap" : ", not bootstrap"));
  }

  void Signal(const std::string& aName, int aSignal)
  {
    kill(mPids.at(aName), aSignal);
    record("platform  signal " + std::string(strsignal(aSignal)) + " to " +
           aName);
  }

  void Kill(const std::string& aName)
  {
    Signal(aName, SIGKILL);
    waitpid(mPids.at(aName), nullptr, 0);
    mPids.erase(aName);
  }

  bool Running(const std::string& aName)
  {
    auto it = mPids.find(aName);
    return it != mPids.end() && waitpid(it->second, nullptr, WNOHANG) == 0;
  }

  // The control daemon that leads, by its answer to a heartbeat; empty if
  // unknown.
  std::string NameAt(const std::string& aAddress) const
  {
    for (const auto& [name, spec] : daemons) {
      if (aAddress.starts_with(spec.address + ":") ||
          aAddress == spec.address) {
        return name;
      }
    }
    return {};
  }

  // One attempt of an operator's order at one daemon.
  Response Order(const std::string& aDaemon,
                 const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aBody,
                 int64_t aTimeoutMs = 1000)
  {
    record("operator  " + aMethod + " " + aPath + " to " + aDaemon);
    Response out = Call(daemons.at(aDaemon).address,
                        kControlPort,
                        aMethod,
                        aPath,
                        aBody,
                        aTimeoutMs);
    record("operator  " + aMethod + " " + aPath + " at " + aDaemon + " -> " +
           (out.status == 0 ? "no response" : std::to_string(out.status)));
    return out;
  }

  // Sends the order to one daemon after the other until it is acknowledged.
  bool OrderUntilAcknowledged(const std::vector<std::string>& aDaemons,
                              const std::string& aPath,
                              const std::string& aBody,
                              int64_t aTimeoutMs)
  {
    int64_t until = NowMs() + aTimeoutMs;
    for (size_t n = 0; NowMs() < until; ++n) {
      Response it = Order(aDaemons[n % aDaemons.size()], "POST", aPath, aBody);
      if (it.status / 100 == 2) {
        return true;
      }
      if (it.status == 400 || it.status == 409) {
        return false;
      }
      // Increasing backoff, bounded.
      SleepMs(std::min<int64_t>(50 * (static_cast<int64_t>(n) + 1), 300));
    }
    return false;
  }

  Record& record;
  std::map<std::string, DaemonSpec> daemons;
  std::vector<std::string> controls;
  std::vector<std::string> entries;
  std::vector<std::string> seeds;
  std::vector<std::string> zones{ "sogn", "hardanger", "nordfjord" };
  int maxHoldMs = 10000;
  int stopTimeoutMs = 900;
  int heartbeatMs = 1500;

private:
  std::string mRoot;
  std::string mFolder;
  std::string mNet;
  std::map<std::string, pid_t> mPids;
};

// What all executors have seen of the tasks.
struct Ledger
{
  struct Start
  {
    std::string task;
    int64_t run = 0;
    std::string executor;
    int64_t at = 0;
  };
  struct End
  {
    std::string task;
    int64_t run = 0;
    std::string how;
    int64_t at = 0;
    // When `ackCursor` reached it; 0 if it did not.
    int64_t noted = 0;
    // The executor's lease has lapsed since.
    bool lapsed = false;
  };
  std::mutex mutex;
  std::vector<Start> starts;
  std::vector<std::shared_ptr<End>> ends;
};

// An executor with one address. `Crash` and `Start` end and begin a life.
class Executor
{
public:
  Executor(Deployment& aDeployment,
           Ledger& aLedger,
           std::string aId,
           std::string aZone,
           std::string aAddress,
           std::vector<std::string> aLabels)
    : id(std::move(aId))
    , zone(std::move(aZone))
    , address(std::move(aAddress))
    , labels(std::move(aLabels))
    , mDeployment(aDeployment)
    , mLedger(aLedger)
  {
  }
  ~Executor() { Crash(); }

  // Milliseconds of work of a task of a job; 0 for tasks that last.
  std::function<int64_t(const std::string& aTask)> workOf;
  // Milliseconds after its start at which a run fails; 0 if it does not.
  std::function<int64_t(const std::string& aTask, int64_t aRun)> failAfter;
  // Control daemons in the order in which this executor calls them.
  std::vector<std::string> daemons;

  void Start()
  {
    std::lock_guard lock(mMutex);
    mLife = std::make_shared<Life>();
    mLife->born = UnixMs();
    mLife->startedAt = NowMs();
    mLife->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(mLife->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in at = ToSockaddr(address, Deployment::kExecutorPort);
    if (bind(mLife->listener, reinterpret_cast<sockaddr*>(&at), sizeof at) !=
          0 ||
        listen(mLife->listener, 64) != 0) {
      std::perror("executor cannot listen");
      std::_Exit(2);
    }
    mDeployment.record("executor  " + id + " starts at " + address + ", born " +
                       std::to_string(mLife->born));
    auto life = mLife;
    Spawn(life, [this, life] { Accept(life); });
    Spawn(life, [this, life] { Work(life); });
    Spawn(life, [this, life] { Beat(life); });
  }

  // The process ends without notice; its connections break.
  void Crash()
  {
    std::shared_ptr<Life> life;
    {
      std::lock_guard lock(mMutex);
      life = std::exchange(mLife, nullptr);
      if (!life) {
        return;
      }
      life->over = true;
      shutdown(life->listener, SHUT_RDWR);
      for (int fd : life->connections) {
        linger reset{ 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown(fd, SHUT_RDWR);
      }
      mDeployment.record("executor  " + id + " ends without notice, " +
                         std::to_string(life->running.size()) + " running");
      mChanged.notify_all();
    }
    for (std::thread& it : life->threads) {
      it.join();
    }
    close(life->listener);
  }

  bool Runs(const std::string& aTaskPrefix)
  {
    std::lock_guard lock(mMutex);
    return mLife && std::any_of(mLife->running.begin(),
                                mLife->running.end(),
                                [&](const auto& it) {
                                  return it.first.starts_with(aTaskPrefix);
                                });
  }

  // Time for which a task has been running; -1 if it is not.
  int64_t RunningFor(const std::string& aTaskPrefix)
  {
    std::lock_guard lock(mMutex);
    if (mLife) {
      for (const auto& [task, run] : mLife->running) {
        if (task.starts_with(aTaskPrefix)) {
          return NowMs() - run.startedAt;
        }
      }
    }
    return -1;
  }

  // The daemon that the latest acknowledged heartbeat named.
  std::string HeartbeatAddress()
  {
    std::lock_guard lock(mMutex);
    return mLife ? mLife->heartbeatAddress : "";
  }

  const std::string id;
  const std::string zone;
  const std::string address;
  const std::vector<std::string> labels;
  json capacity{ { "cpu", 128000 },
                 { "memoryRequestMb", 524288 },
                 { "gpu", 8 } };

private:
  struct Run
  {
    int64_t number = 0;
    int64_t startedAt = 0;
    int64_t work = 0;
    int64_t stopAt = INT64_MAX;
    int64_t failAt = INT64_MAX;
  };
  struct Life
  {
    int64_t born = 0;
    int64_t startedAt = 0;
    std::atomic<bool> over = false;
    int listener = -1;
    std::set<int> connections;
    std::vector<std::thread> threads;
    int64_t fence = 0;
    int64_t leaseUntil = 0;
    int64_t lastEnd = 0;
    std::map<std::string, Run> running;
    // Highest run of each task that was stopped or has ended here.
    std::map<std::string, int64_t> highest;
    // [N, task, run, how, saved], with the ledger's entry.
    std::vector<std::pair<json, std::shared_ptr<Ledger::End>>> ended;
    std::vector<std::shared_ptr<Ledger::End>> allEnds;
    std::string heartbeatAddress;
    int64_t sequence = 0;
  };

  template<typename F>
  void Spawn(const std::shared_ptr<Life>& aLife, F aFunction)
  {
    aLife->threads.emplace_back(aFunction);
  }

  int64_t ClockOf(const Life& aLife) const { return NowMs() - aLife.startedAt; }

  void Accept(const std::shared_ptr<Life>& aLife)
  {
    std::vector<std::thread> sessions;
    while (!aLife->over) {
      int fd = accept4(aLife->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        break;
      }
      {
        std::lock_guard lock(mMutex);
        aLife->connections.insert(fd);
      }
      sessions.emplace_back([this, aLife, fd] { Serve(aLife, fd); });
    }
    for (std::thread& it : sessions) {
      it.join();
    }
  }

  void Serve(const std::shared_ptr<Life>& aLife, int aFd)
  {
    int one = 1;
    setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    std::string buffer;
    while (!aLife->over) {
      auto message = ReadMessage(aFd, buffer, NowMs() + 600000);
      if (!message || aLife->over) {
        break;
      }
      auto [status, body] = Handle(aLife, message->first, message->second);
      if (aLife->over) {
        break;
      }
      SendAll(aFd,
              "HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Type: application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    std::lock_guard lock(mMutex);
    aLife->connections.erase(aFd);
    close(aFd);
  }

  static std::string Header(const std::string& aHead, const std::string& aName)
  {
    std::string lower = aHead;
    std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
    size_t at = lower.find("\r\n" + aName + ":");
    if (at == std::string::npos) {
      return {};
    }
    at += aName.size() + 3;
    size_t end = aHead.find("\r\n", at);
    std::string value = aHead.substr(at, end - at);
    value.erase(0, value.find_first_not_of(' '));
    return value;
  }

  std::pair<int, std::string> Handle(const std::shared_ptr<Life>& aLife,
                                     const std::string& aHead,
                                     const std::string& aBody)
  {
    std::unique_lock lock(mMutex);
    Life& life = *aLife;
    std::string path = aHead.substr(aHead.find(' ') + 1);
    path = path.substr(0, path.find(' '));
    if (path == "/health") {
      return { 200, "{}" };
    }
    std::string expected = Header(aHead, "x-limpetwood-expected-instance");
    if (!expected.empty() && expected != id) {
      return { 421, "{}" };
    }
    json body = json::parse(aBody, nullptr, false);
    if (!body.is_object()) {
      return { 400, "{}" };
    }
    auto refuse = [&](const char* aReason) {
      return std::pair(
        409,
        json({ { "clockMs", ClockOf(life) }, { "reason", aReason } }).dump());
    };
    int64_t token = body.value("fencingToken", int64_t{ 0 });
    if (token < life.fence) {
      return refuse("fence");
    }
    life.fence = token;
    auto extend = [&] {
      int64_t until = std::min<int64_t>(body.value("untilMs", int64_t{ 0 }),
                                        ClockOf(life) + mDeployment.maxHoldMs);
      life.leaseUntil = std::max(life.leaseUntil, until);
    };
    if (path == "/run-start") {
      std::string task = body.value("task", "");
      int64_t run = body.value("run", int64_t{ 0 });
      auto it = life.running.find(task);
      if (it != life.running.end() && it->second.number == run) {
        return { 200, json({ { "clockMs", ClockOf(life) } }).dump() };
      }
      if (it != life.running.end() || life.highest[task] >= run) {
        extend();
        return refuse("old");
      }
      if (body.value("untilMs", int64_t{ 0 }) <= ClockOf(life)) {
        return refuse("late");
      }
      extend();
      Run& started = life.running[task];
      started = { run, NowMs(), workOf(task) };
      if (int64_t after = failAfter ? failAfter(task, run) : 0; after > 0) {
        started.failAt = NowMs() + after;
      }
      {
        std::lock_guard ledger(mLedger.mutex);
        mLedger.starts.push_back({ task, run, id, NowMs() });
      }
      mDeployment.record("executor  " + id + " starts " + task + " run " +
                         std::to_string(run));
      return { 200, json({ { "clockMs", ClockOf(life) } }).dump() };
    }
    if (path == "/run-stop") {
      std::string task = body.value("task", "");
      int64_t run = body.value("run", int64_t{ 0 });
      auto it = life.running.find(task);
      if (it != life.running.end() && it->second.number <= run) {
        it->second.stopAt = std::min(it->second.stopAt, NowMs() + 50);
        mDeployment.record("executor  " + id + " is told to stop " + task +
                           " run " + std::to_string(it->second.number));
      }
      life.highest[task] = std::max(life.highest[task], run);
      return { 200, json({ { "clockMs", ClockOf(life) } }).dump() };
    }
    if (path != "/hold") {
      return { 404, "{}" };
    }
    int64_t cursor = body.value("ackCursor", int64_t{ 0 });
    std::erase_if(life.ended, [&](auto& aEnd) {
      if (aEnd.first[0].template get<int64_t>() > cursor) {
        return false;
      }
      aEnd.second->noted = NowMs();
      mDeployment.record(
        "executor  " + id + " forgets end " +
        std::to_string(aEnd.first[0].template get<int64_t>()) + " (" +
        aEnd.second->task + " run " + std::to_string(aEnd.second->run) + " " +
        aEnd.second->how + "): hold with ackCursor " + std::to_string(cursor));
      return true;
    });
    if (body.contains("untilMs")) {
      extend();
    }
    int64_t wait = std::min<int64_t>(body.value("waitMs", int64_t{ 0 }), 2000);
    mChanged.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return life.over || !life.ended.empty();
    });
    json running = json::array();
    for (const auto& [task, run] : life.running) {
      int64_t percent =
        run.work == 0
          ? 100
          : std::min<int64_t>((NowMs() - run.startedAt) * 100 / run.work, 99);
      running.push_back({ task, run.number, "", percent, 1000 });
    }
    json ended = json::array();
    for (const auto& it : life.ended) {
      ended.push_back(it.first);
    }
    return { 200,
             json({ { "clockMs", ClockOf(life) },
                    { "born", life.born },
                    { "running", running },
                    { "ended", ended } })
               .dump() };
  }

  void EndRun(Life& aLife, const std::string& aTask, const std::string& aHow)
  {
    Run run = aLife.running.at(aTask);
    aLife.running.erase(aTask);
    aLife.highest[aTask] = std::max(aLife.highest[aTask], run.number);
    auto end = std::make_shared<Ledger::End>();
    *end = { aTask, run.number, aHow, NowMs(), 0, false };
    {
      std::lock_guard ledger(mLedger.mutex);
      mLedger.ends.push_back(end);
    }
    aLife.allEnds.push_back(end);
    aLife.ended.emplace_back(
      json::array({ ++aLife.lastEnd, aTask, run.number, aHow, "" }), end);
    mDeployment.record("executor  " + id + " ends " + aTask + " run " +
                       std::to_string(run.number) + ": " + aHow + " (end " +
                       std::to_string(aLife.lastEnd) + ")");
    mChanged.notify_all();
  }

  void Work(const std::shared_ptr<Life>& aLife)
  {
    while (!aLife->over) {
      SleepMs(5);
      std::lock_guard lock(mMutex);
      int64_t now = NowMs();
      std::vector<std::pair<std::string, std::string>> over;
      bool lapsed = ClockOf(*aLife) > aLife->leaseUntil;
      for (const auto& [task, run] : aLife->running) {
        if (lapsed) {
          over.emplace_back(task, "lapsed");
        } else if (run.stopAt <= now) {
          over.emplace_back(task, "stopped");
        } else if (run.failAt <= now) {
          over.emplace_back(task, "failed");
        } else if (run.work > 0 && now - run.startedAt >= run.work) {
          over.emplace_back(task, "done");
        }
      }
      if (lapsed) {
        for (auto& it : aLife->allEnds) {
          it->lapsed = it->lapsed || it->noted == 0;
        }
      }
      for (const auto& [task, how] : over) {
        EndRun(*aLife, task, how);
      }
    }
  }

  void Beat(const std::shared_ptr<Life>& aLife)
  {
    size_t next = 0;
    while (!aLife->over) {
      int64_t begun = NowMs();
      for (size_t tries = 0; tries < daemons.size() + 1 && !aLife->over;
           ++tries) {
        std::string to;
        json body;
        {
          std::lock_guard lock(mMutex);
          body = { { "service", "nettsyn" },
                   { "address",
                     address + ":" +
                       std::to_string(Deployment::kExecutorPort) },
                   { "zone", zone },
                   { "version", "v1" },
                   { "slots", 8 },
                   { "state", "ready" },
                   { "coldRemainingMs", 0 },
                   { "capacity", capacity },
                   { "labels", labels },
                   { "machine", "m-" + id },
                   { "clockMs", ClockOf(*aLife) },
                   { "born", aLife->born },
                   { "sequence", ++aLife->sequence } };
          to = aLife->heartbeatAddress;
        }
        bool named = !to.empty();
        if (!named) {
          to = mDeployment.daemons.at(daemons[next % daemons.size()]).address +
               ":" + std::to_string(Deployment::kControlPort);
        }
        Response it = Call(to.substr(0, to.find(':')),
                           Deployment::kControlPort,
                           "POST",
                           "/Instances.Heartbeat/" + id,
                           body.dump(),
                           1000);
        if (aLife->over) {
          return;
        }
        if (it.status / 100 == 2) {
          json answer = json::parse(it.body, nullptr, false);
          std::lock_guard lock(mMutex);
          if (answer.is_object()) {
            aLife->heartbeatAddress = answer.value("heartbeatAddress", to);
          }
          if (body["sequence"] == 1 || tries > 0) {
            mDeployment.record("executor  " + id + " heartbeat " +
                               body["sequence"].dump() + " acknowledged by " +
                               mDeployment.NameAt(to));
          }
          break;
        }
        mDeployment.record(
          "executor  " + id + " heartbeat " + body["sequence"].dump() + " at " +
          mDeployment.NameAt(to) + " -> " +
          (it.status == 0 ? "no response" : std::to_string(it.status)));
        if (named) {
          std::lock_guard lock(mMutex);
          aLife->heartbeatAddress.clear();
        } else {
          ++next;
        }
        if (it.status != 0) {
          SleepMs(50);
        }
      }
      while (!aLife->over && NowMs() - begun < mDeployment.heartbeatMs) {
        SleepMs(10);
      }
    }
  }

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::shared_ptr<Life> mLife;
  Deployment& mDeployment;
  Ledger& mLedger;
};

// A client of one tenant.
class Client
{
public:
  explicit Client(Deployment& aDeployment)
    : mDeployment(aDeployment)
  {
  }

  static constexpr const char* kKey = "d4a3hwrr6x73d3zji9n7";
  static constexpr const char* kHost = "nony24.example";
  static constexpr const char* kPrefix = "/lohu930/";

  Response Send(const std::string& aMethod,
                const std::string& aJob,
                const std::string& aBody,
                int aEntry,
                bool aRecorded = true)
  {
    const std::string& entry =
      mDeployment
        .entries[static_cast<size_t>(aEntry) % mDeployment.entries.size()];
    if (aRecorded) {
      mDeployment.record("client    " + aMethod + " " + aJob + " to " + entry);
    }
    Response out =
      Call(mDeployment.daemons.at(entry).address,
           Deployment::kFrontPort,
           aMethod,
           kPrefix + aJob,
           aBody,
           3000,
           std::string("Host: ") + kHost + "\r\nX-Api-Key: " + kKey +
             "\r\nX-Limpetwood-Deadline-Milliseconds: 3000\r\n");
    if (aRecorded) {
      mDeployment.record(
        "client    " + aMethod + " " + aJob + " -> " +
        (out.status == 0 ? "no response" : std::to_string(out.status)) + " " +
        out.body);
    }
    return out;
  }

  // Hands a job in until it is accepted.
  bool Submit(const std::string& aJob, const json& aSteps, int64_t aTimeoutMs)
  {
    std::string body =
      json({ { "taskSpec", "x" }, { "steps", aSteps } }).dump();
    int64_t until = NowMs() + aTimeoutMs;
    for (int n = 0; NowMs() < until; ++n) {
      if (Send("POST", aJob, body, n).status / 100 == 2) {
        return true;
      }
      SleepMs(200);
    }
    return false;
  }

  std::string StateOf(const std::string& aJob)
  {
    for (int n = 0; n < 4; ++n) {
      Response it = Send("GET", aJob, "", n, false);
      if (it.status == 200) {
        json answer = json::parse(it.body, nullptr, false);
        return answer.is_object() ? answer.value("state", "") : "";
      }
      if (it.status == 410) {
        return "410";
      }
    }
    return "";
  }

  // Returns the state after at most `aTimeoutMs`, earlier if it is `aState`.
  std::string AwaitState(const std::string& aJob,
                         const std::string& aState,
                         int64_t aTimeoutMs)
  {
    int64_t until = NowMs() + aTimeoutMs;
    std::string state;
    do {
      state = StateOf(aJob);
      if (state == aState) {
        break;
      }
      SleepMs(100);
    } while (NowMs() < until);
    mDeployment.record("client    sees " + aJob + " as '" + state + "'");
    return state;
  }

private:
  Deployment& mDeployment;
};

inline std::string
Configuration(int aVersion)
{
  return json({ { "version", aVersion },
                { "routes",
                  { { { "name", "r-7ejsmzz" },
                      { "host", Client::kHost },
                      { "pathPrefix", Client::kPrefix },
                      { "kind", "unsafe" },
                      { "timeoutMs", 3000 },
                      { "targetLatencyMs", 250 },
                      { "priority", 0 },
                      { "service", "nettsyn" },
                      { "maxAttempts", 3 },
                      { "stretch", 1.5 },
                      { "public", false } } } },
                { "services",
                  { { { "name", "nettsyn" },
                      { "healthCheckPath", "/health" },
                      { "maxConnections", 64 },
                      { "protocol", "h1" },
                      { "tls", false },
                      { "admissionCheck", false },
                      { "spare", false } } } },
                { "limits",
                  { { "maxHeaderBytes", 16384 },
                    { "maxBodyBytes", 262144 },
                    { "headerTimeoutMs", 3000 },
                    { "idleTimeoutMs", 15000 } } },
                { "tenants",
                  { { { "name", "kaje80" },
                      { "apiKeys", { Client::kKey } },
                      { "priority", 1 },
                      { "guaranteedGpus", { { "gpu", 24 } } } } } } })
    .dump();
}

inline json
OneStep(int aCount, const std::string& aLabel, int64_t aEstimateMs)
{
  return json::array({ { { "count", aCount },
                         { "cpu", 15000 },
                         { "memoryRequestMb", 11000 },
                         { "gpu", 8 },
                         { "estimatedMs", aEstimateMs },
                         { "requirements", aLabel } } });
}

// Exit codes of the cases.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline bool
WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Arguments: the repository's root, a temporary folder, the record's file.
inline int
Main(int aCount,
     char** aArguments,
     const std::function<int(Record&, Deployment&)>& aCase)
{
  if (aCount != 4) {
    std::cerr << "usage: CASE ROOT FOLDER RECORD\n";
    return kCouldNotRun;
  }
  signal(SIGPIPE, SIG_IGN);
  Record record(aArguments[3]);
  record(WithTrouble() ? "with the disruption" : "without the disruption");
  int code = kCouldNotRun;
  {
    Deployment deployment(record, aArguments[1], aArguments[2]);
    code = aCase(record, deployment);
  }
  record(code == kHeld     ? "the rule held"
         : code == kBroken ? "THE RULE WAS BROKEN"
                           : "the case could not run");
  return code;
}

} // namespace standin
