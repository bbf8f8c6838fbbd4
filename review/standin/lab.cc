#include "lab.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace lab {

namespace {

std::mutex sRecordMutex;
std::ofstream sRecord;
int64_t sRecordStart = 0;

sockaddr_in
AddressOf(const Endpoint& aEndpoint)
{
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(aEndpoint.port);
  inet_pton(AF_INET, aEndpoint.address.c_str(), &out.sin_addr);
  return out;
}

int
ListenOn(const Endpoint& aEndpoint)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = AddressOf(aEndpoint);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 128) != 0) {
    Record("cannot listen on " + aEndpoint.Text() + ": " +
           std::strerror(errno));
    close(fd);
    return -1;
  }
  return fd;
}

bool
WaitFor(int aFd, short aEvents, int64_t aUntil)
{
  int64_t left = aUntil - NowMs();
  pollfd item{ aFd, aEvents, 0 };
  return left > 0 && poll(&item, 1, static_cast<int>(left)) > 0;
}

int
ConnectTo(const Endpoint& aEndpoint, int64_t aUntil)
{
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = AddressOf(aEndpoint);
  int rc = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (rc != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  int error = 0;
  socklen_t size = sizeof error;
  if (!WaitFor(fd, POLLOUT, aUntil) ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    close(fd);
    return -1;
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
SendAll(int aFd, const std::string& aText, int64_t aUntil)
{
  size_t sent = 0;
  while (sent < aText.size()) {
    if (!WaitFor(aFd, POLLOUT, aUntil)) {
      return false;
    }
    ssize_t n =
      send(aFd, aText.data() + sent, aText.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Reads one HTTP message; `aRest` keeps what was read beyond it.
bool
ReadMessage(int aFd,
            std::string& aRest,
            std::string& aFirstLine,
            std::map<std::string, std::string>& aHeaders,
            std::string& aBody,
            int64_t aUntil)
{
  auto more = [&] {
    if (!WaitFor(aFd, POLLIN, aUntil)) {
      return false;
    }
    char buffer[16384];
    ssize_t n = recv(aFd, buffer, sizeof buffer, 0);
    if (n <= 0) {
      return false;
    }
    aRest.append(buffer, static_cast<size_t>(n));
    return true;
  };
  size_t end;
  while ((end = aRest.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) {
      return false;
    }
  }
  std::istringstream head(aRest.substr(0, end));
  aRest.erase(0, end + 4);
  std::getline(head, aFirstLine);
  std::string line;
  while (std::getline(head, line)) {
    size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    value.erase(value.find_last_not_of("\r ") + 1);
    aHeaders[name] = value;
  }
  size_t length = aHeaders.contains("content-length")
                    ? std::stoul(aHeaders["content-length"])
                    : 0;
  while (aRest.size() < length) {
    if (!more()) {
      return false;
    }
  }
  aBody = aRest.substr(0, length);
  aRest.erase(0, length);
  return true;
}

std::string
Format(const Request& aRequest, const Endpoint& aPeer)
{
  std::string out = aRequest.method + " " + aRequest.target + " HTTP/1.1\r\n";
  if (!aRequest.headers.contains("host")) {
    out += "Host: " + aPeer.Text() + "\r\n";
  }
  for (const auto& [name, value] : aRequest.headers) {
    out += name + ": " + value + "\r\n";
  }
  if (!aRequest.body.empty()) {
    out += "Content-Type: application/json\r\n";
  }
  return out + "Content-Length: " + std::to_string(aRequest.body.size()) +
         "\r\n\r\n" + aRequest.body;
}

} // namespace

int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(int64_t aMs)
{
  if (aMs <= 0) {
    return;
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(aMs));
}

void
OpenRecord(const std::string& aPath)
{
  std::lock_guard lock(sRecordMutex);
  sRecord.open(aPath, std::ios::trunc);
  sRecordStart = NowMs();
}

void
Record(const std::string& aLine)
{
  std::lock_guard lock(sRecordMutex);
  char time[32];
  std::snprintf(time,
                sizeof time,
                "%8.3f s  ",
                static_cast<double>(NowMs() - sRecordStart) / 1000);
  sRecord << time << aLine << std::endl;
}

Endpoint
ParseEndpoint(const std::string& aText)
{
  size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  return { aText.substr(0, colon),
           static_cast<uint16_t>(std::stoi(aText.substr(colon + 1))) };
}

bool
Connection::Open(int64_t aTimeoutMs)
{
  if (mFd < 0) {
    mFd = ConnectTo(mPeer, NowMs() + aTimeoutMs);
  }
  return mFd >= 0;
}

void
Connection::Close()
{
  if (mFd >= 0) {
    close(mFd);
    mFd = -1;
  }
}

bool
Connection::Send(const Request& aRequest, int64_t aTimeoutMs)
{
  if (!Open(aTimeoutMs) ||
      !SendAll(mFd, Format(aRequest, mPeer), NowMs() + aTimeoutMs)) {
    Close();
    return false;
  }
  return true;
}

Response
Connection::Call(const Request& aRequest, int64_t aTimeoutMs)
{
  int64_t until = NowMs() + aTimeoutMs;
  if (!Send(aRequest, aTimeoutMs)) {
    return {};
  }
  Response out;
  std::string rest;
  std::string first;
  std::map<std::string, std::string> headers;
  if (!ReadMessage(mFd, rest, first, headers, out.body, until)) {
    Close();
    return {};
  }
  out.status = first.size() > 12 ? std::stoi(first.substr(9, 3)) : 0;
  if (headers["connection"] == "close") {
    Close();
  }
  return out;
}

Server::Server(Endpoint aListen, Handler aHandler)
  : mListen(std::move(aListen))
  , mHandler(std::move(aHandler))
{
  mFd = ListenOn(mListen);
  if (mFd >= 0) {
    mThread = std::thread([this] { Accept(); });
  }
}

Server::~Server()
{
  Close();
  // Connection threads refer to this object.
  for (int n = 0; n < 300; ++n) {
    {
      std::lock_guard lock(mMutex);
      if (mConnections.empty()) {
        return;
      }
    }
    SleepMs(10);
  }
}

void
Server::Close()
{
  if (mClosed.exchange(true)) {
    return;
  }
  {
    std::lock_guard lock(mMutex);
    for (int it : mConnections) {
      shutdown(it, SHUT_RDWR);
    }
  }
  if (mThread.joinable()) {
    mThread.join();
  }
  if (mFd >= 0) {
    close(mFd);
  }
}

void
Server::Accept()
{
  while (!mClosed) {
    if (!WaitFor(mFd, POLLIN, NowMs() + 20)) {
      continue;
    }
    int fd = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      continue;
    }
    std::lock_guard lock(mMutex);
    mConnections.insert(fd);
    std::thread([this, fd] { Serve(fd); }).detach();
  }
}

void
Server::Serve(int aFd)
{
  std::string rest;
  while (!mClosed) {
    Request request;
    std::string first;
    if (!ReadMessage(
          aFd, rest, first, request.headers, request.body, NowMs() + 600'000)) {
      break;
    }
    std::istringstream line(first);
    line >> request.method >> request.target;
    Response response = mHandler(request);
    if (mClosed || response.status == 0) {
      break;
    }
    std::string text = "HTTP/1.1 " + std::to_string(response.status) +
                       " X\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(response.body.size()) + "\r\n\r\n" +
                       response.body;
    if (!SendAll(aFd, text, NowMs() + 5000)) {
      break;
    }
  }
  std::lock_guard lock(mMutex);
  mConnections.erase(aFd);
  close(aFd);
}

Link::Link(Endpoint aListen, Endpoint aTarget)
  : mListen(std::move(aListen))
  , mTarget(std::move(aTarget))
{
  mFd = ListenOn(mListen);
  if (mFd >= 0) {
    mThread = std::thread([this] { Accept(); });
  }
}

Link::~Link()
{
  mClosed = true;
  if (mThread.joinable()) {
    mThread.join();
  }
  close(mFd);
  // The pumps end within their poll interval.
  SleepMs(100);
}

void
Link::Accept()
{
  while (!mClosed) {
    // A new connection needs both directions.
    if (cutToTarget || cutFromTarget || !WaitFor(mFd, POLLIN, NowMs() + 20)) {
      SleepMs(1);
      continue;
    }
    int client = accept4(mFd, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) {
      continue;
    }
    int target = ConnectTo(mTarget, NowMs() + 1000);
    if (target < 0) {
      close(client);
      continue;
    }
    fcntl(target, F_SETFL, fcntl(target, F_GETFL) & ~O_NONBLOCK);
    std::thread([this, client, target] {
      std::thread back(
        [this, client, target] { Pump(target, client, cutFromTarget); });
      Pump(client, target, cutToTarget);
      back.join();
      close(client);
      close(target);
    }).detach();
  }
}

void
Link::Pump(int aFrom, int aTo, std::atomic<bool>& aCut)
{
  char buffer[16384];
  while (!mClosed) {
    if (aCut) {
      SleepMs(2);
      continue;
    }
    if (!WaitFor(aFrom, POLLIN, NowMs() + 20)) {
      continue;
    }
    ssize_t n = recv(aFrom, buffer, sizeof buffer, 0);
    if (n <= 0 || send(aTo, buffer, static_cast<size_t>(n), MSG_NOSIGNAL) < n) {
      break;
    }
  }
  shutdown(aTo, SHUT_RDWR);
  shutdown(aFrom, SHUT_RDWR);
}

Process::Process(std::string aName,
                 std::string aSettingsFile,
                 std::string aLogFile)
  : mName(std::move(aName))
  , mSettingsFile(std::move(aSettingsFile))
  , mLogFile(std::move(aLogFile))
{
}

Process::~Process()
{
  Stop();
}

void
Process::Start(const std::string& aBinary)
{
  pid_t parent = getpid();
  mPid = fork();
  if (mPid == 0) {
    int log = open(mLogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, 1);
    dup2(log, 2);
    setenv("LIMPETWOOD_NODE_FILE", mSettingsFile.c_str(), 1);
    // The process ends with the scenario, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(126);
    }
    execl(aBinary.c_str(),
          aBinary.c_str(),
          "--platform",
          static_cast<char*>(nullptr));
    _exit(127);
  }
  Record("started " + mName);
}

void
Process::Signal(int aSignal)
{
  if (mPid > 0) {
    kill(mPid, aSignal);
    Record("signal " + std::to_string(aSignal) + " to " + mName);
  }
}

void
Process::Stop()
{
  if (mPid > 0) {
    kill(mPid, SIGCONT);
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
    mPid = -1;
  }
}

bool
Process::Running()
{
  if (mPid > 0 && waitpid(mPid, nullptr, WNOHANG) == mPid) {
    mPid = -1;
  }
  return mPid > 0;
}

Deployment::Deployment(std::string aBinary, std::string aFolder, int aEntries)
  : mBinary(std::move(aBinary))
  , mFolder(std::move(aFolder))
{
  // Looks for a network of loopback addresses and a range of ports that are
  // free there. The port for metrics is fixed.
  std::mt19937 random(std::random_device{}());
  auto isFree = [&] {
    std::vector<uint16_t> ports{ 9464 };
    for (int n = 0; n < 10; ++n) {
      ports.push_back(static_cast<uint16_t>(mFirstPort + n));
    }
    for (uint16_t port : ports) {
      for (const std::string& it : { Control(0).address, Entry(0).address }) {
        int fd = ListenOn({ it, port });
        if (fd < 0) {
          return false;
        }
        close(fd);
      }
    }
    return true;
  };
  for (int attempt = 0; attempt < 50; ++attempt) {
    mNetwork = "127." + std::to_string(20 + random() % 200) + ".";
    mFirstPort = static_cast<uint16_t>(12000 + random() % 900 * 20);
    if (isFree()) {
      break;
    }
  }
  const char* zones[] = { "sogn", "hardanger", "nordfjord" };
  for (int n = 0; n < 3; ++n) {
    std::string name = std::string("core-") + zones[n] + "-1";
    json settings = Settings(name, zones[n], Control(n).address);
    settings["dataFolder"] = mFolder + "/" + name;
    settings["controlAddress"] = Control(n).Text();
    std::filesystem::create_directories(mFolder + "/" + name);
    std::string file = mFolder + "/" + name + ".json";
    std::ofstream(file) << settings.dump(2);
    mControls.push_back(
      std::make_unique<Process>(name, file, mFolder + "/" + name + ".log"));
  }
  for (int n = 0; n < aEntries; ++n) {
    std::string name =
      std::string("front-") + zones[n % 3] + "-" + std::to_string(n / 3 + 1);
    json settings = Settings(name, zones[n % 3], Entry(n).address);
    settings["callerAddress"] = Entry(n).Text();
    settings["readinessAddress"] =
      Entry(n).address + ":" + std::to_string(mFirstPort + 7);
    std::string file = mFolder + "/" + name + ".json";
    std::ofstream(file) << settings.dump(2);
    mEntries.push_back(
      std::make_unique<Process>(name, file, mFolder + "/" + name + ".log"));
  }
  for (auto* list : { &mControls, &mEntries }) {
    for (auto& it : *list) {
      it->Start(mBinary);
    }
  }
}

Deployment::~Deployment() = default;

json
Deployment::Settings(const std::string& aName,
                     const std::string& aZone,
                     const std::string& aAddress) const
{
  json seeds = json::array();
  for (const Endpoint& it : Controls()) {
    seeds.push_back(it.Text());
  }
  // The bounds of the site fjellnett-lw.
  return { { "instance", aName },
           { "zone", aZone },
           { "address", aAddress },
           { "firstInternalPort", mFirstPort },
           { "seeds", seeds },
           { "firstStart", true },
           { "bounds",
             { { "longestLeaseMs", 10000 },
               { "stopTimeMs", 900 },
               { "heartbeatMs", 1500 },
               { "shutdownMs", 6000 },
               { "toleratedInstances", 1 },
               { "openFiles", 4100 } } } };
}

Endpoint
Deployment::Control(int aNumber) const
{
  return { AddressIn(41, aNumber + 1), static_cast<uint16_t>(mFirstPort + 5) };
}

Endpoint
Deployment::Entry(int aNumber) const
{
  return { AddressIn(42, aNumber + 1), static_cast<uint16_t>(mFirstPort + 6) };
}

std::vector<Endpoint>
Deployment::Controls() const
{
  return { Control(0), Control(1), Control(2) };
}

bool
Deployment::PutConfiguration(const json& aConfiguration, int64_t aTimeoutMs)
{
  int64_t until = NowMs() + aTimeoutMs;
  for (int n = 0; NowMs() < until; ++n) {
    Connection connection(Control(n % 3));
    Response response = connection.Call({ .method = "POST",
                                          .target = "/Configuration.Put",
                                          .body = aConfiguration.dump() },
                                        1000);
    if (response.status == 200) {
      Record("configuration " + aConfiguration["version"].dump() +
             " acknowledged");
      return true;
    }
    SleepMs(200);
  }
  return false;
}

bool
Deployment::WaitReady(int64_t aTimeoutMs)
{
  int64_t until = NowMs() + aTimeoutMs;
  for (size_t n = 0; n < mEntries.size(); ++n) {
    int status = 0;
    while (status != 200 && NowMs() < until) {
      Connection connection({ Entry(static_cast<int>(n)).address,
                              static_cast<uint16_t>(mFirstPort + 7) });
      status = connection.Call({ .method = "GET", .target = "/readiness" }, 500)
                 .status;
      if (status != 200) {
        SleepMs(100);
      }
    }
    if (status != 200) {
      return false;
    }
  }
  return true;
}

json
Configuration(int64_t aVersion, const std::vector<Queue>& aQueues)
{
  json routes = json::array();
  for (const Queue& it : aQueues) {
    routes.push_back({ { "name", it.name },
                       { "host", kHost },
                       { "pathPrefix", it.prefix },
                       { "kind", "unsafe" },
                       { "timeoutMs", 3000 },
                       { "targetLatencyMs", 1000 },
                       { "priority", it.priority },
                       { "service", "huvo11a" },
                       { "maxAttempts", it.maxAttempts },
                       { "stretch", 3.0 },
                       { "public", false } });
  }
  return { { "version", aVersion },
           { "routes", routes },
           { "services",
             { { { "name", "huvo11a" },
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
                 { "apiKeys", { kKey } },
                 { "priority", 1 },
                 { "guaranteedGpus", { { "gpu", 72 } } } } } } };
}

Request
ClientRequest(const std::string& aMethod,
              const std::string& aPath,
              const json& aBody,
              int64_t aDeadlineMs)
{
  Request out{ .method = aMethod, .target = aPath };
  out.headers["host"] = kHost;
  out.headers["x-api-key"] = kKey;
  out.headers["x-limpetwood-deadline-milliseconds"] =
    std::to_string(aDeadlineMs);
  if (!aBody.is_null()) {
    out.body = aBody.dump();
  }
  return out;
}

Executor::Executor(Executors& aAll,
                   std::string aId,
                   Endpoint aListen,
                   Endpoint aAnnounced,
                   std::vector<Endpoint> aControls)
  : mAll(aAll)
  , mId(std::move(aId))
  , mListen(std::move(aListen))
  , mAnnounced(std::move(aAnnounced))
  , mControls(std::move(aControls))
{
  StartAgain();
  mTicker = std::thread([this] {
    while (!mStopped) {
      Tick();
      SleepMs(10);
    }
  });
  mHeartbeats = std::thread([this] { HeartbeatLoop(); });
}

Executor::~Executor()
{
  mStopped = true;
  Crash();
  mTicker.join();
  mHeartbeats.join();
}

void
Executor::Crash()
{
  std::unique_ptr<Server> server;
  {
    std::lock_guard lock(mMutex);
    if (!mUp) {
      return;
    }
    mUp = false;
    if (!mStopped) {
      Record("executor " + mId + " is down, with " +
             std::to_string(mRuns.size()) + " runs");
    }
    mRuns.clear();
    mEnds.clear();
    server = std::move(mServer);
  }
  mChanged.notify_all();
  server.reset();
}

void
Executor::StartAgain()
{
  std::lock_guard lock(mMutex);
  mUp = true;
  mDraining = false;
  mStartedAt = NowMs();
  mBorn = UnixMs();
  mSequence = 0;
  mToken = 0;
  mLeaseUntil = 0;
  mLastEnd = 0;
  mRuns.clear();
  mClosedRuns.clear();
  mEnds.clear();
  Record("executor " + mId + " starts, born " + std::to_string(mBorn));
  mServer = std::make_unique<Server>(
    mListen, [this](const Request& aRequest) { return Handle(aRequest); });
}

void
Executor::End()
{
  Crash();
}

void
Executor::SetShedding(bool aShedding)
{
  std::lock_guard lock(mMutex);
  mShedding = aShedding;
  Record("executor " + mId +
         (aShedding ? " refuses starts with 503" : " takes starts again"));
}

void
Executor::SetDraining()
{
  std::lock_guard lock(mMutex);
  mDraining = true;
}

bool
Executor::Runs(const std::string& aTask)
{
  std::lock_guard lock(mMutex);
  return mUp && mRuns.contains(aTask);
}

size_t
Executor::RunCount()
{
  std::lock_guard lock(mMutex);
  return mRuns.size();
}

bool
Executor::IsUp()
{
  std::lock_guard lock(mMutex);
  return mUp;
}

// Caller holds the lock.
void
Executor::EndRun(const std::string& aTask, const char* aHow)
{
  auto it = mRuns.find(aTask);
  mClosedRuns[aTask] = std::max(mClosedRuns[aTask], it->second.number);
  mEnds.push_back({ ++mLastEnd, aTask, it->second.number, aHow, "" });
  mAll.OnEnd({ NowMs(), mId, aTask, it->second.number, aHow });
  mRuns.erase(it);
  mChanged.notify_all();
}

void
Executor::Tick()
{
  std::lock_guard lock(mMutex);
  if (!mUp) {
    return;
  }
  std::vector<std::pair<std::string, const char*>> ends;
  for (const auto& [task, run] : mRuns) {
    if (run.stopAt <= NowMs()) {
      ends.emplace_back(task, "stopped");
    } else if (NowMs() - run.startedAt >= run.workMs) {
      ends.emplace_back(task, "done");
    } else if (Clock() > mLeaseUntil) {
      ends.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : ends) {
    EndRun(task, how);
  }
}

// Caller holds the lock.
json
Executor::Lists(int64_t aAfter)
{
  json running = json::array();
  for (const auto& [task, run] : mRuns) {
    int64_t percent =
      std::min<int64_t>(99, (NowMs() - run.startedAt) * 100 / run.workMs);
    running.push_back({ task, run.number, "", percent, 1000 });
  }
  json ended = json::array();
  for (const json& it : mEnds) {
    if (it[0].get<int64_t>() > aAfter) {
      ended.push_back(it);
    }
  }
  return { { "clockMs", Clock() },
           { "born", mBorn },
           { "running", running },
           { "ended", ended } };
}

Response
Executor::Handle(const Request& aRequest)
{
  std::unique_lock lock(mMutex);
  if (!mUp) {
    return {};
  }
  if (aRequest.method == "GET") {
    return { 200, "{}" };
  }
  auto expected = aRequest.headers.find("x-limpetwood-expected-instance");
  if (expected != aRequest.headers.end() && expected->second != mId) {
    return { 421, "{}" };
  }
  json body = json::parse(aRequest.body, nullptr, false);
  auto answer = [&](int aStatus, const char* aReason) {
    json out = { { "clockMs", Clock() }, { "born", mBorn } };
    if (aReason != nullptr) {
      out["reason"] = aReason;
    }
    return Response{ aStatus, out.dump() };
  };
  if (!body.is_object()) {
    return answer(400, nullptr);
  }
  int64_t token = body.value("fencingToken", int64_t{ 0 });
  if (token < mToken) {
    return answer(409, "fence");
  }
  mToken = token;
  if (aRequest.target == "/hold") {
    int64_t cursor = body.value("ackCursor", int64_t{ 0 });
    std::erase_if(
      mEnds, [&](const json& it) { return it[0].get<int64_t>() <= cursor; });
    int64_t until =
      std::min(body.value("untilMs", int64_t{ 0 }), Clock() + 10000);
    mLeaseUntil = std::max(mLeaseUntil, until);
    int64_t wait = std::min<int64_t>(body.value("waitMs", int64_t{ 0 }), 2000);
    mChanged.wait_for(lock, std::chrono::milliseconds(wait), [&] {
      return !mUp || !mEnds.empty();
    });
    return mUp ? Response{ 200, Lists(0).dump() } : Response{};
  }
  std::string task = body.value("task", "");
  int64_t run = body.value("run", int64_t{ 0 });
  auto found = mRuns.find(task);
  if (aRequest.target == "/run-stop") {
    if (found != mRuns.end() && found->second.number <= run) {
      found->second.stopAt = std::min(found->second.stopAt, NowMs() + 100);
    } else {
      mClosedRuns[task] = std::max(mClosedRuns[task], run);
    }
    return answer(200, nullptr);
  }
  if (aRequest.target != "/run-start") {
    return answer(400, nullptr);
  }
  if (mShedding) {
    Record("start of " + task + " run " + std::to_string(run) + " on " + mId +
           " refused with 503");
    return answer(503, nullptr);
  }
  if (found != mRuns.end() && found->second.number == run) {
    return answer(200, nullptr);
  }
  if (found != mRuns.end() || mClosedRuns[task] >= run) {
    return answer(409, "old");
  }
  int64_t until =
    std::min(body.value("untilMs", int64_t{ 0 }), Clock() + 10000);
  if (until <= Clock()) {
    return answer(409, "late");
  }
  mLeaseUntil = std::max(mLeaseUntil, until);
  std::string spec = body.value("taskSpec", "");
  size_t work = spec.find("work=");
  mRuns[task] = { .number = run,
                  .startedAt = NowMs(),
                  .workMs = work == std::string::npos
                              ? 1000
                              : std::stol(spec.substr(work + 5)) };
  mAll.OnStart({ NowMs(), mId, task, run });
  return answer(200, nullptr);
}

json
Executor::Report()
{
  std::lock_guard lock(mMutex);
  return {
    { "service", "huvo11a" },
    { "address", mAnnounced.Text() },
    { "zone", "sogn" },
    { "version", "v1" },
    { "slots", 8 },
    { "state", mDraining ? "draining" : "ready" },
    { "coldRemainingMs", 0 },
    { "capacity",
      { { "cpu", 128000 }, { "memoryRequestMb", 524288 }, { "gpu", 8 } } },
    { "labels", { "a", "r1-1" } },
    { "machine", "m-" + mId },
    { "clockMs", Clock() },
    { "born", mBorn },
    { "sequence", ++mSequence }
  };
}

bool
Executor::Heartbeat()
{
  std::lock_guard guard(mHeartbeatMutex);
  mNextHeartbeat = NowMs() + 1500;
  for (size_t n = 0; n <= mControls.size(); ++n) {
    if (!IsUp()) {
      return false;
    }
    if (!mConnection) {
      if (mTarget.port == 0) {
        mTarget = mControls[mNextControl++ % mControls.size()];
      }
      mConnection = std::make_unique<Connection>(mTarget);
    }
    Response response =
      mConnection->Call({ .method = "POST",
                          .target = "/Instances.Heartbeat/" + mId,
                          .body = Report().dump() },
                        1000);
    if (response.status / 100 == 2) {
      json body = json::parse(response.body, nullptr, false);
      Endpoint named = ParseEndpoint(
        body.is_object() ? body.value("heartbeatAddress", "") : "");
      if (auto link = links.find(named); link != links.end()) {
        named = link->second;
      }
      if (named.port != 0 && named != mTarget) {
        mTarget = named;
        mConnection.reset();
      }
      return true;
    }
    mConnection.reset();
    mTarget = {};
  }
  return false;
}

void
Executor::HeartbeatLoop()
{
  while (!mStopped) {
    if (IsUp() && NowMs() >= mNextHeartbeat) {
      Heartbeat();
    }
    if (!IsUp()) {
      mNextHeartbeat = NowMs();
    }
    SleepMs(10);
  }
}

bool
Executor::Leave()
{
  std::lock_guard guard(mHeartbeatMutex);
  if (!mConnection) {
    return false;
  }
  json body = Report();
  Record("executor " + mId + " sends its leave");
  Response response = mConnection->Call({ .method = "POST",
                                          .target = "/Instances.Leave/" + mId,
                                          .body = body.dump() },
                                        1000);
  Record("leave of " + mId +
         (response.status / 100 == 2
            ? " acknowledged"
            : " not acknowledged (" + std::to_string(response.status) + ")"));
  return response.status / 100 == 2;
}

void
Executors::OnStart(const StartEvent& aEvent)
{
  std::lock_guard lock(mMutex);
  mStarts.push_back(aEvent);
  Record("run  " + aEvent.task + " run " + std::to_string(aEvent.run) +
         " starts on " + aEvent.executor);
}

void
Executors::OnEnd(const EndEvent& aEvent)
{
  std::lock_guard lock(mMutex);
  mEnds.push_back(aEvent);
  Record("run  " + aEvent.task + " run " + std::to_string(aEvent.run) +
         " ends on " + aEvent.executor + ": " + aEvent.how);
}

std::vector<StartEvent>
Executors::Starts()
{
  std::lock_guard lock(mMutex);
  return mStarts;
}

std::vector<EndEvent>
Executors::Ends()
{
  std::lock_guard lock(mMutex);
  return mEnds;
}

Executor*
Executors::RunnerOf(const std::string& aTask)
{
  for (auto& it : all) {
    if (it->Runs(aTask)) {
      return it.get();
    }
  }
  return nullptr;
}

} // namespace lab
