// Tests of connections to backend servers that are closed, have stopped
// responding or carry unsolicited bytes. Such a connection must not make more
// than one request fail, give a caller the response to another request, or lead
// to a wrong verdict.

#include "proxy/test_support.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <atomic>
#include <list>

namespace limpetwood::proxy {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// A server that runs a script for each connection, to send bytes that a
// conforming server would not send.
class ScriptedServer
{
public:
  // Called with the connection and its number, counted from 0.
  using Script = std::function<void(tcp::socket&, int)>;

  explicit ScriptedServer(Script aScript)
    : mAcceptor(mContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mThread([this, script = std::move(aScript)] {
      for (int n = 0;; ++n) {
        tcp::socket socket(mContext);
        boost::system::error_code ec;
        mAcceptor.accept(socket, ec);
        if (ec || mStopping) {
          return;
        }
        mConnections.emplace_back(
          [script, n, it = std::move(socket)]() mutable { script(it, n); });
      }
    })
  {
  }

  ~ScriptedServer()
  {
    mStopping = true;
    try {
      RawConnection unblockAccept(Address());
    } catch (const boost::system::system_error&) {
      // The acceptor is closed already.
    }
    mThread.join();
    for (auto& it : mConnections) {
      it.join();
    }
  }

  http::Endpoint Address() const
  {
    return { "127.0.0.1", mAcceptor.local_endpoint().port() };
  }

private:
  asio::io_context mContext;
  tcp::acceptor mAcceptor;
  std::atomic<bool> mStopping = false;
  std::list<std::thread> mConnections;
  std::thread mThread;
};

// Reads one head; false when the peer has closed.
bool
ReadHead(tcp::socket& aSocket, std::string& aBuffer)
{
  boost::system::error_code ec;
  size_t n =
    asio::read_until(aSocket, asio::dynamic_buffer(aBuffer), "\r\n\r\n", ec);
  aBuffer.erase(0, n);
  return !ec;
}

void
SendResponse(tcp::socket& aSocket, const std::string& aText)
{
  boost::system::error_code ignored;
  asio::write(aSocket, asio::buffer(aText), ignored);
}

constexpr const char* kExpectedResponse =
  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";

// Returns the response body of the second request when the server sends an
// additional, unsolicited response after the first one.
std::string
ResponseAfterUnsolicitedOne(TestInstanceOptions aOptions)
{
  ScriptedServer server([](tcp::socket& aSocket, int) {
    std::string buffer;
    for (int n = 0; ReadHead(aSocket, buffer); ++n) {
      std::string text = kExpectedResponse;
      if (n == 0) {
        text += "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
      }
      SendResponse(aSocket, text);
    }
  });
  TestInstance instance(aOptions);
  instance.Announce("s1", server.Address());
  http::Request request = MakeRequest("r1");
  request.method = "GET";
  EXPECT_EQ(instance.Call(request).response.body, "right");
  return instance.Call(request).response.body;
}

TEST(Connections, UnsolicitedBytesAreNotReadAsTheNextResponse)
{
  EXPECT_EQ(ResponseAfterUnsolicitedOne({}), "right");
}

// Verifies that the check above fails without the safeguard.
TEST(Connections, CheckDetectsReuseAfterUnsolicitedBytes)
{
  TestInstanceOptions options;
  options.proxy.pool.testOnly.reuseIncompleteConnections = true;
  options.proxy.pool.testOnly.skipLivenessCheck = true;
  EXPECT_EQ(ResponseAfterUnsolicitedOne(options), "wrong");
}

// Counts requests that fail because the server closed an idle connection before
// it was reused.
int
CountFailuresOnClosedConnections(TestInstanceOptions aOptions)
{
  ScriptedServer server([](tcp::socket& aSocket, int) {
    std::string buffer;
    if (ReadHead(aSocket, buffer)) {
      SendResponse(aSocket, kExpectedResponse);
    }
    // Closes after one response without having sent "Connection: close".
    aSocket.shutdown(tcp::socket::shutdown_both);
  });
  TestInstance instance(aOptions);
  instance.Announce("s1", server.Address());
  int failures = 0;
  for (int n = 0; n < 5; ++n) {
    auto request = MakeRequest("r1", { { "Limpetwood-Repeatable", "no" } });
    request.method = "GET";
    failures += FormatOutcome(instance.Call(request)) != "answered 200" ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return failures;
}

TEST(Connections, ClosedConnectionsAreNotReused)
{
  EXPECT_EQ(CountFailuresOnClosedConnections({}), 0);
}

// Verifies that the check above fails without the safeguard.
TEST(Connections, CheckDetectsReuseOfClosedConnections)
{
  TestInstanceOptions options;
  options.proxy.pool.testOnly.skipLivenessCheck = true;
  EXPECT_GT(CountFailuresOnClosedConnections(options), 0);
}

// Counts requests that fail after all idle connections have stopped forwarding
// while new connections work.
int
CountFailuresOnBlackholedConnections(TestInstanceOptions aOptions)
{
  constexpr int kConnections = 6;
  aOptions.attemptTimeout = Millis(150);
  TestServer server({ .id = "s1", .executionTime = Millis(60) });
  Relay relay(server.Address());
  TestInstance instance(aOptions);
  instance.Announce("s1", relay.Address());
  std::list<std::thread> callers;
  for (int n = 0; n < kConnections; ++n) {
    callers.emplace_back([&] { instance.Call(MakeRequest("warm")); });
  }
  for (auto& it : callers) {
    it.join();
  }
  EXPECT_GT(instance.PoolCounters().opened, 1U);
  relay.BlackholeOpenConnections();
  int failures = 0;
  for (int n = 0; n < kConnections; ++n) {
    auto request = MakeRequest("r", { { "Limpetwood-Repeatable", "no" } });
    std::string outcome = FormatOutcome(instance.Call(request));
    failures += outcome != "answered 200" ? 1 : 0;
    EXPECT_EQ(outcome.find("not_run"), std::string::npos) << outcome;
  }
  return failures;
}

TEST(Connections, BlackholedConnectionsFailAtMostOneRequest)
{
  EXPECT_LE(CountFailuresOnBlackholedConnections({}), 1);
}

// Verifies that the check above fails without the safeguard.
TEST(Connections, CheckDetectsKeptBlackholedConnections)
{
  TestInstanceOptions options;
  options.proxy.pool.testOnly.keepIdleAfterTimeout = true;
  EXPECT_GT(CountFailuresOnBlackholedConnections(options), 1);
}

// Guards against the late response to a timed-out attempt that reaches the
// caller of a later request to the same server.
TEST(Connections, LateResponsesAreDiscarded)
{
  TestServer server({ .id = "s1" });
  TestInstance instance({ .attemptTimeout = Millis(800) });
  instance.Announce("s1", server.Address());
  for (int n = 0; n < 5; ++n) {
    std::string late = "late" + std::to_string(n);
    auto slow = MakeRequest(
      late,
      { { "Standin-Work-Ms", "1200" }, { "Limpetwood-Repeatable", "no" } });
    EXPECT_EQ(instance.Call(slow).response.headers.Get("Limpetwood-Verdict"),
              "may_have_run");
    std::string id = "quick" + std::to_string(n);
    auto result =
      instance.Call(MakeRequest(id, { { "Standin-Work-Ms", "600" } }));
    EXPECT_EQ(result.response.body, "s1 " + id + "\n");
  }
}

// Guards against reporting "not_run" for a request of which the kernel accepted
// bytes before the connection was reset.
TEST(Connections, ResetAfterPartOfARequestMayHaveRun)
{
  ScriptedServer server([](tcp::socket& aSocket, int) {
    std::string buffer;
    ReadHead(aSocket, buffer);
    aSocket.set_option(asio::socket_base::linger(true, 0));
    aSocket.close();
  });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  for (size_t bytes : { 10U, 8000000U }) {
    auto request = MakeRequest("r1", { { "Limpetwood-Repeatable", "no" } });
    request.body.assign(bytes, 'b');
    EXPECT_EQ(FormatOutcome(instance.Call(request)).substr(0, 17),
              "may_have_run 502 ");
  }
}

// Guards against accepting a response that only the close of the connection
// ends, since it could be truncated.
TEST(Connections, AnswerEndedOnlyByCloseIsBroken)
{
  ScriptedServer server([](tcp::socket& aSocket, int) {
    std::string buffer;
    ReadHead(aSocket, buffer);
    SendResponse(aSocket, "HTTP/1.1 200 OK\r\n\r\nsome of it");
    aSocket.shutdown(tcp::socket::shutdown_send);
    ReadHead(aSocket, buffer);
  });
  TestInstance instance;
  instance.Announce("s1", server.Address());
  auto request = MakeRequest("r1", { { "Limpetwood-Repeatable", "no" } });
  EXPECT_EQ(FormatOutcome(instance.Call(request)).substr(0, 17),
            "may_have_run 502 ");
}

} // namespace
} // namespace limpetwood::proxy
