// Tests of what a server knows about the time for which a request has waited
// unread.

#include "http/event_loop.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace limpetwood::http {
namespace {

using stream_protocol = boost::asio::local::stream_protocol;
using tcp = boost::asio::ip::tcp;

// Time for which the loop of the server stands still.
constexpr Millis kStandstill(400);

void
Sleep(Millis aTime)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aTime.Count()));
}

// A server on its own thread that records the requests that it handles.
class ArrivalTest : public ::testing::Test
{
protected:
  struct Handled
  {
    std::string target;
    Millis arrivedAfter;
    Millis handledAt;
  };

  ArrivalTest()
    : mServer(mContext, {}, [this](Request aRequest, Responder aRespond) {
      mHandled.push_back(
        { aRequest.target, aRequest.arrivedAfter, MonotonicNow() });
      if (aRequest.target == "/slow") {
        Sleep(kStandstill);
      }
      aRespond({});
      if (mHandled.size() == mAwaited) {
        mAllHandled.set_value();
      }
    })
  {
    mEndpoint = mServer.Listen({ "127.0.0.1", 0 }).Value();
    mThread = std::thread([this] { RunEventLoop(mContext); });
  }

  ~ArrivalTest() override
  {
    boost::asio::post(mContext, [this] { mServer.Close(); });
    mThread.join();
  }

  tcp::socket Connect()
  {
    tcp::socket socket(mClientContext);
    socket.connect(
      { boost::asio::ip::make_address(mEndpoint.address), mEndpoint.port });
    return socket;
  }

  static void Send(tcp::socket& aSocket, const std::string& aTarget)
  {
    boost::asio::write(
      aSocket,
      boost::asio::buffer("GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n"));
  }

  // Stops the loop for a while. Returns once it stands still.
  void StandStill()
  {
    std::promise<void> begun;
    boost::asio::post(mContext, [&] {
      begun.set_value();
      Sleep(kStandstill);
    });
    begun.get_future().wait();
  }

  // Returns the requests in the order in which they were handled.
  const std::vector<Handled>& Await(size_t aRequests)
  {
    std::promise<void> checked;
    boost::asio::post(mContext, [&] {
      mAwaited = aRequests;
      if (mHandled.size() >= aRequests) {
        mAllHandled.set_value();
      }
      checked.set_value();
    });
    checked.get_future().wait();
    mAllHandled.get_future().wait();
    return mHandled;
  }

  boost::asio::io_context mContext;
  boost::asio::io_context mClientContext;
  Server mServer;
  Endpoint mEndpoint;
  // Used by the server's thread, and by the test once all are handled.
  std::vector<Handled> mHandled;
  size_t mAwaited = 0;
  std::promise<void> mAllHandled;
  std::thread mThread;
};

// Guards against a request that waited on a new connection while the process
// stood still and is taken for one that has just arrived.
TEST_F(ArrivalTest, WaitOnANewConnectionIsKnown)
{
  StandStill();
  tcp::socket socket = Connect();
  Send(socket, "/a");
  Millis sentAt = MonotonicNow();
  const Handled& it = Await(1).front();
  EXPECT_LE(it.arrivedAfter, sentAt);
  EXPECT_GT(it.handledAt, sentAt);
}

// The same if many connections wait, which are accepted one by one.
TEST_F(ArrivalTest, WaitBehindOtherConnectionsIsKnown)
{
  StandStill();
  std::vector<tcp::socket> sockets;
  for (int n = 0; n < 50; ++n) {
    sockets.push_back(Connect());
    Send(sockets.back(), "/a");
  }
  Millis sentAt = MonotonicNow();
  for (const Handled& it : Await(sockets.size())) {
    EXPECT_LE(it.arrivedAfter, sentAt);
    EXPECT_GT(it.handledAt, sentAt);
  }
}

// The same on a connection that is in use.
TEST_F(ArrivalTest, WaitOnAnOpenConnectionIsKnown)
{
  tcp::socket socket = Connect();
  Send(socket, "/a");
  Sleep(Millis(300));
  StandStill();
  Send(socket, "/b");
  Millis sentAt = MonotonicNow();
  const Handled& it = Await(2).back();
  EXPECT_EQ(it.target, "/b");
  EXPECT_LE(it.arrivedAfter, sentAt);
}

// Guards against a pipelined request whose wait behind the one before it is
// not known.
TEST_F(ArrivalTest, WaitBehindAnotherRequestIsKnown)
{
  tcp::socket socket = Connect();
  Send(socket, "/slow");
  Send(socket, "/b");
  Millis sentAt = MonotonicNow();
  const Handled& it = Await(2).back();
  EXPECT_EQ(it.target, "/b");
  EXPECT_LE(it.arrivedAfter, sentAt);
  EXPECT_GE(it.handledAt - it.arrivedAfter, kStandstill);
}

// Guards against a request that is taken for an old one because nothing else
// arrives: callers wait for a second.
TEST_F(ArrivalTest, RequestThatIsReadAtOnceIsKnownToBeNew)
{
  tcp::socket socket = Connect();
  Send(socket, "/a");
  Sleep(Millis(1500));
  Send(socket, "/b");
  for (const Handled& it : Await(2)) {
    EXPECT_LT(it.handledAt - it.arrivedAfter, Seconds(1)) << it.target;
  }
}

// Guards against requests that are taken for old ones because the loop is
// always busy.
TEST_F(ArrivalTest, RequestToABusyLoopIsKnownToBeNew)
{
  tcp::socket socket = Connect();
  std::function<void()> repeat = [&] { boost::asio::post(mContext, repeat); };
  boost::asio::post(mContext, repeat);
  Sleep(Millis(1500));
  Send(socket, "/a");
  const Handled& it = Await(1).front();
  EXPECT_LT(it.handledAt - it.arrivedAfter, Seconds(1));
  // The function must not be called once it is destroyed.
  std::promise<void> ended;
  boost::asio::post(mContext, [&] { repeat = [&] { ended.set_value(); }; });
  ended.get_future().wait();
}

// The same with more sockets ready at any time than one poll returns.
TEST(EventLoop, AdvancesWhileManySocketsAreReady)
{
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  rlimit lower{ 1024, limit.rlim_max };
  setrlimit(RLIMIT_NOFILE, &lower);
  boost::asio::io_context context;
  EventLoopProgress& progress = EventLoopProgress::Of(context);
  setrlimit(RLIMIT_NOFILE, &limit);

  constexpr size_t kSockets = 400;
  std::deque<stream_protocol::socket> sockets;
  char byte = 0;
  // Each socket of a pair sends back what it receives.
  std::function<void(stream_protocol::socket&)> receive = [&](auto& aSocket) {
    aSocket.async_read_some(
      boost::asio::buffer(&byte, 1), [&](boost::system::error_code ec, size_t) {
        if (!ec) {
          receive(aSocket);
          boost::asio::write(aSocket, boost::asio::buffer(&byte, 1));
        }
      });
  };
  while (sockets.size() < kSockets) {
    auto& first = sockets.emplace_back(context);
    auto& second = sockets.emplace_back(context);
    boost::asio::local::connect_pair(first, second);
    receive(first);
    receive(second);
    boost::asio::write(first, boost::asio::buffer(&byte, 1));
    boost::asio::write(second, boost::asio::buffer(&byte, 1));
  }
  Millis begin = MonotonicNow();
  Millis longest{};
  boost::asio::steady_timer timer(context);
  std::function<void()> check = [&] {
    longest = std::max(longest, MonotonicNow() - progress.InputHandledUntil());
    if (MonotonicNow() - begin > Seconds(2)) {
      context.stop();
      return;
    }
    timer.expires_after(std::chrono::milliseconds(1));
    timer.async_wait([&](boost::system::error_code) { check(); });
  };
  check();
  RunEventLoop(context);
  EXPECT_LT(longest, Seconds(1));
}

// Guards against an exception of a handler that ends the loop for good.
TEST(EventLoop, GoesOnAfterAnException)
{
  boost::asio::io_context context;
  bool called = false;
  boost::asio::post(context, [] { throw std::runtime_error("handler"); });
  boost::asio::post(context, [&] { called = true; });
  EXPECT_THROW(RunEventLoop(context), std::runtime_error);
  RunEventLoop(context);
  EXPECT_TRUE(called);
}

} // namespace
} // namespace limpetwood::http
