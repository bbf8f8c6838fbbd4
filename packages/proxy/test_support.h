// Loopback environment for proxy tests: a proxy and stand-in backend servers,
// each on its own I/O thread, and a TCP relay that can stop forwarding on open
// connections without closing them.

#pragma once

#include "http/client.h"
#include "http/deadline_timer.h"
#include "proxy/proxy.h"
#include "standin/backend_server.h"
#include "standin/caller.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace limpetwood::proxy {

// An io_context that runs on its own thread.
class IoThread
{
public:
  IoThread();
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  boost::asio::io_context& Context() { return mContext; }

  // Runs `aTask` on the thread, waits for it and returns its result.
  template<typename Task>
  auto Run(Task aTask)
  {
    std::packaged_task<decltype(aTask())()> task(std::move(aTask));
    auto result = task.get_future();
    boost::asio::post(mContext, [&task] { task(); });
    return result.get();
  }

private:
  boost::asio::io_context mContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
    mWorkGuard;
  std::thread mThread;
};

// A stand-in backend server on its own thread.
class TestServer
{
public:
  explicit TestServer(standin::BackendOptions aOptions);
  ~TestServer();

  const http::Endpoint& Address() const { return mAddress; }
  // Requests whose execution has started so far.
  uint64_t Executed();
  // Requests that occupy a slot now, including those whose body is still being
  // read.
  uint32_t Busy();
  // Closes the listening port and all connections without notifying anyone,
  // like the kill of the process.
  void Kill();

private:
  IoThread mIoThread;
  std::unique_ptr<standin::BackendServer> mServer;
  http::Endpoint mAddress;
};

// Forwards TCP connections to one target. Not suitable for load tests.
class Relay
{
public:
  explicit Relay(http::Endpoint aTarget);
  ~Relay();

  const http::Endpoint& Address() const { return mAddress; }

  // Stops forwarding on all open connections without closing them, as when a
  // middlebox has lost their state. Connections opened later are forwarded.
  void BlackholeOpenConnections();

private:
  struct RelayedConnection;
  void Accept();

  IoThread mIoThread;
  http::Endpoint mTarget;
  http::Endpoint mAddress;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::vector<std::shared_ptr<RelayedConnection>> mConnections;
};

struct TestInstanceOptions
{
  ProxyOptions proxy{};
  routing::RouterOptions router{};
  BodyLimits limits{};
  Millis attemptTimeout = Seconds(10);
};

// One instance: a proxy with a router on its own thread, configured with the
// service "demo" and the workspace "w".
class TestInstance
{
public:
  explicit TestInstance(TestInstanceOptions aOptions = {});
  ~TestInstance();

  const http::Endpoint& Address() const { return mAddress; }

  // Announces a backend server every 100 ms and waits until it can receive
  // requests. The announcement never reports busy slots, so the server limits
  // its load only by refusing requests.
  void Announce(const std::string& aId,
                const http::Endpoint& aAddress,
                uint32_t aSlots = 8);

  // Sends a request to the proxy and waits for the result, for up to 20 s.
  http::FetchResult Call(http::Request aRequest = {});

  // Runs a stand-in caller until it has sent all its requests; returns its
  // summary.
  nlohmann::json RunCaller(standin::CallerOptions aOptions);

  // Starts a drain and returns its future result.
  std::future<DrainResult> Drain(Millis aGrace);

  size_t InFlight();
  ProxyCounters Counters();
  http::PoolCounters PoolCounters();
  IoThread& ProxyIoThread() { return mIoThread; }
  Proxy& GetProxy() { return *mProxy; }

private:
  IoThread mIoThread;
  std::unique_ptr<Proxy> mProxy;
  http::Endpoint mAddress;
  std::vector<routing::ServerAnnouncement> mAnnouncements;
  http::DeadlineTimer mAnnounceTimer;
};

// A POST request to the service "demo" for the workspace "w". The stand-in
// server identifies the request by `aId` (`Standin-Request-Id`).
http::Request
MakeRequest(std::string aId, std::initializer_list<http::Headers::Field> = {});

// The outcome as the caller sees it, such as "answered 200" or
// "not_run 503 no_servers"; "connection " and the verdict of the client, such
// as "connection may_have_run", if no complete response arrived.
std::string
FormatOutcome(const http::FetchResult& aResult);

// Waits until `aCondition` holds; returns false after 5 s.
bool
WaitUntil(const std::function<bool()>& aCondition);

// A blocking TCP connection, for tests that send or read raw bytes.
class RawConnection
{
public:
  explicit RawConnection(const http::Endpoint& aEndpoint);

  void Send(const std::string& aBytes);
  void ShutdownSend();
  // Reads until the peer closes the connection.
  std::string ReadAll();
  // Reads `aBytes` bytes, or fewer if the peer closes the connection; returns
  // the number of bytes read.
  size_t Read(size_t aBytes);
  void Close();
  boost::asio::ip::tcp::socket& Socket() { return mSocket; }

private:
  boost::asio::io_context mContext;
  boost::asio::ip::tcp::socket mSocket;
};

} // namespace limpetwood::proxy
