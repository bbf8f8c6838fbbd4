// Tests of the HTTP server's limits: invalid input gets an error response or
// closes its connection, and does not affect other connections.

#include "base/error.h"
#include "http/client.h"
#include "http/pool.h"
#include "http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <future>
#include <set>
#include <stdexcept>
#include <thread>

namespace limpetwood::http {
namespace {

using tcp = boost::asio::ip::tcp;

// A server on its own thread that echoes request bodies.
class EchoServer
{
public:
  explicit EchoServer(ServerLimits aLimits)
    : mServer(mContext, aLimits, [](Request aRequest, Responder aRespond) {
      Response response;
      response.body = aRequest.body;
      aRespond(response);
    })
  {
    mEndpoint = mServer.Listen({ "127.0.0.1", 0 }).Value();
    mThread = std::thread([this] { mContext.run(); });
  }

  ~EchoServer()
  {
    boost::asio::post(mContext, [this] { mServer.Close(); });
    mThread.join();
  }

  const Endpoint& Address() const { return mEndpoint; }

  ServerLimits Limits() const { return mServer.Limits(); }
  // Returns once the limits are in effect.
  void SetLimits(const ServerLimits& aLimits)
  {
    std::promise<void> done;
    boost::asio::post(mContext, [&] {
      mServer.SetLimits(aLimits);
      done.set_value();
    });
    done.get_future().wait();
  }

private:
  boost::asio::io_context mContext;
  Server mServer;
  Endpoint mEndpoint;
  std::thread mThread;
};

// Sends raw bytes and returns all bytes received until the peer closes the
// connection.
std::string
SendRaw(const Endpoint& aEndpoint, const std::string& aBytes)
{
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect(
    { boost::asio::ip::make_address(aEndpoint.address), aEndpoint.port });
  boost::asio::write(socket, boost::asio::buffer(aBytes));
  std::string response;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
  return response;
}

FetchResult
Echo(const Endpoint& aEndpoint, std::string aBody)
{
  Request request;
  request.method = "POST";
  request.body = std::move(aBody);
  return FetchAndWait(aEndpoint, request, {});
}

// Guards against a body that is lost or changed between client and server.
TEST(Server, EchoesABody)
{
  EchoServer server{ {} };
  FetchResult result = Echo(server.Address(), "mesh");
  EXPECT_EQ(result.verdict, Verdict::kAnswered);
  EXPECT_EQ(result.response.body, "mesh");
}

// Guards against a request body that exhausts the memory of an instance.
TEST(Server, OversizedBodyIsRefused)
{
  ServerLimits limits;
  limits.maxBodyBytes = 100;
  EchoServer server{ limits };
  std::string response = SendRaw(
    server.Address(), "POST / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n");
  EXPECT_NE(response.find("413"), std::string::npos);
  EXPECT_NE(response.find("request_too_large"), std::string::npos);
  EXPECT_EQ(Echo(server.Address(), "ok").response.body, "ok");
}

// Guards against closing the connection on malformed input without an error
// response that gives the reason.
TEST(Server, MalformedRequestIsRefused)
{
  EchoServer server{ {} };
  std::string response = SendRaw(server.Address(), "nonsense\r\n\r\n");
  EXPECT_NE(response.find("400"), std::string::npos);
  EXPECT_NE(response.find("malformed_request"), std::string::npos);
}

// Guards against an incomplete request that occupies a connection forever.
TEST(Server, HalfSentRequestIsClosed)
{
  ServerLimits limits;
  limits.readTimeout = Millis(50);
  EchoServer server{ limits };
  EXPECT_EQ(SendRaw(server.Address(), "GET / HT"), "");
}

// Guards against new limits that apply only to new connections. An open
// connection applies them after the message for which it is already waiting.
TEST(Server, ChangedLimitsHoldForOpenConnections)
{
  EchoServer server{ {} };
  boost::asio::io_context context;
  tcp::socket socket(context);
  socket.connect({ boost::asio::ip::make_address(server.Address().address),
                   server.Address().port });
  std::string request = "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nmesh";
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string response(16, ' ');
  boost::asio::read(socket, boost::asio::buffer(response));
  EXPECT_EQ(response.substr(0, 12), "HTTP/1.1 200");

  ServerLimits limits = server.Limits();
  limits.maxHeaderBytes = 200;
  limits.readTimeout = Millis(50);
  server.SetLimits(limits);
  boost::asio::write(socket, boost::asio::buffer(request));
  std::string longHeader =
    "GET / HTTP/1.1\r\nA: " + std::string(1000, 'a') + "\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(longHeader));
  std::string responses;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(responses), ec);
  size_t secondResponse = responses.find("HTTP/1.1 200");
  EXPECT_NE(secondResponse, std::string::npos) << responses;
  EXPECT_NE(responses.find("HTTP/1.1 4", secondResponse), std::string::npos)
    << responses;
  EXPECT_EQ(SendRaw(server.Address(), "GET / HT"), "");
}

// Guards against reporting a refused connection as a request that may have run,
// which a caller could not retry safely.
// Guards against one group of callers that takes the descriptors of others:
// connections above the limit are closed at once and counted.
TEST(Server, ConnectionsAboveTheLimitAreClosed)
{
  boost::asio::io_context context;
  ServerLimits limits;
  limits.maxConnections = 2;
  Server server(context, limits, [](Request, Responder aRespond) {
    aRespond({ .status = 204, .headers = {}, .body = {} });
  });
  Endpoint endpoint = server.Listen({ "127.0.0.1", 0 }).Value();
  std::vector<tcp::socket> sockets;
  for (int n = 0; n < 5; ++n) {
    sockets.emplace_back(context).connect(
      { boost::asio::ip::make_address("127.0.0.1"), endpoint.port });
  }
  context.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(server.Counters().accepted, 2U);
  EXPECT_EQ(server.Counters().refusedConnections, 3U);
}

// Guards against a process that ends because the handler of one request failed.
TEST(Server, ExceptionOfAHandlerEndsOneRequest)
{
  boost::asio::io_context context;
  Server server(context, {}, [](Request aRequest, Responder aRespond) {
    if (aRequest.target == "/bad") {
      throw std::out_of_range("no such element");
    }
    aRespond({ .status = 204, .headers = {}, .body = {} });
  });
  std::string text;
  server.SetFailureCallback([&](std::string_view aText) { text = aText; });
  Endpoint endpoint = server.Listen({ "127.0.0.1", 0 }).Value();
  std::vector<int> statuses;
  for (const char* target : { "/bad", "/good" }) {
    Request request;
    request.target = target;
    Fetch(context, endpoint, request, {}, [&](const FetchResult& aResult) {
      statuses.push_back(aResult.response.status);
      context.stop();
    });
    context.run();
    context.restart();
  }
  EXPECT_EQ(statuses, (std::vector<int>{ 500, 204 }));
  EXPECT_EQ(server.Failures(), 1U);
  EXPECT_EQ(text, "no such element");
}

// A server and one caller's connection on one thread, so that a test decides
// what has arrived when the server begins to drain.
class DrainTest : public testing::Test
{
protected:
  void SetUp() override
  {
    mEndpoint = mServer.Listen({ "127.0.0.1", 0 }).Value();
    Connect();
  }

  void Connect()
  {
    mSocket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), mEndpoint.port });
  }

  void Send()
  {
    boost::asio::write(
      mSocket, boost::asio::buffer("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 27));
  }

  // Runs the server and returns all that the caller can read.
  std::string Receive(Millis aTime)
  {
    mContext.run_for(std::chrono::milliseconds(aTime.Count()));
    mContext.restart();
    mSocket.non_blocking(true);
    std::string out;
    boost::system::error_code ec;
    boost::asio::read(mSocket, boost::asio::dynamic_buffer(out), ec);
    mSocket.non_blocking(false);
    return out;
  }

  void Drain()
  {
    mServer.Drain([this] { mDrained = true; });
  }

  boost::asio::io_context mContext;
  // Answers all requests that the server holds.
  void AnswerHeld()
  {
    mHold = false;
    for (const Responder& it : std::exchange(mHeld, {})) {
      it({ .status = 204, .headers = {}, .body = {} });
    }
  }

  // Requests are held until `AnswerHeld`.
  bool mHold = false;
  std::vector<Responder> mHeld;
  Server mServer{ mContext, {}, [this](Request, Responder aRespond) {
                   mHeld.push_back(std::move(aRespond));
                   if (!mHold) {
                     AnswerHeld();
                   }
                 } };
  Endpoint mEndpoint;
  tcp::socket mSocket{ mContext };
  bool mDrained = false;
};

constexpr Millis kRound(30);
// Longer than `ServerLimits::drainGrace`.
constexpr Millis kAfterGrace(400);

// Guards against closing a connection on which a request has arrived: the
// caller could not know whether it ran.
TEST_F(DrainTest, RequestThatHasArrivedIsAnswered)
{
  Send();
  EXPECT_NE(Receive(kRound).find("204"), std::string::npos);
  Send();
  Drain();
  std::string response = Receive(kAfterGrace);
  EXPECT_NE(response.find("204"), std::string::npos);
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(mDrained);
}

// Guards against the same for a request that was on its way.
TEST_F(DrainTest, RequestThatArrivesWithinTheGraceIsAnswered)
{
  Send();
  Receive(kRound);
  Drain();
  Receive(kRound);
  Send();
  EXPECT_NE(Receive(kAfterGrace).find("204"), std::string::npos);
  EXPECT_TRUE(mDrained);
}

// Guards against resetting a connection that the server has not accepted yet.
TEST_F(DrainTest, RequestOnAnUnacceptedConnectionIsAnswered)
{
  Send();
  Drain();
  EXPECT_NE(Receive(kAfterGrace).find("204"), std::string::npos);
  EXPECT_TRUE(mDrained);
}

// Returns the number of responses in `aText`.
size_t
CountResponses(const std::string& aText)
{
  size_t count = 0;
  for (size_t at = 0; (at = aText.find("HTTP/1.1 204", at)) != aText.npos;
       ++at) {
    ++count;
  }
  return count;
}

// Guards against discarding a request that the server has read together with
// the one before it.
TEST_F(DrainTest, PipelinedRequestIsAnswered)
{
  Send();
  Send();
  Drain();
  EXPECT_EQ(CountResponses(Receive(kAfterGrace)), 2U);
  EXPECT_TRUE(mDrained);
}

// Guards against the same for a request that arrives while the one before it is
// in progress.
TEST_F(DrainTest, RequestThatArrivesBehindOneInProgressIsAnswered)
{
  mHold = true;
  Send();
  Receive(kRound);
  Drain();
  Send();
  Receive(kRound);
  AnswerHeld();
  EXPECT_EQ(CountResponses(Receive(kAfterGrace)), 2U);
  EXPECT_TRUE(mDrained);
}

// Guards against a drain that waits for callers that send nothing.
TEST_F(DrainTest, IdleConnectionsAreClosedAfterTheGrace)
{
  Send();
  Receive(kRound);
  Drain();
  Receive(kAfterGrace);
  EXPECT_TRUE(mDrained);
}

// A server that answers nothing by itself, and one caller's connection.
class UnansweredTest : public testing::Test
{
protected:
  void SetUp() override
  {
    mServer.SetUnansweredCallback(
      [this](const UnansweredRequest& it) { mReported.push_back(it); });
    mEndpoint = mServer.Listen({ "127.0.0.1", 0 }).Value();
    mSocket.connect(
      { boost::asio::ip::make_address("127.0.0.1"), mEndpoint.port });
  }

  void Send(std::string_view aBytes)
  {
    boost::asio::write(mSocket,
                       boost::asio::buffer(aBytes.data(), aBytes.size()));
    Run();
  }

  void Run()
  {
    mContext.run_for(std::chrono::milliseconds(kRound.Count()));
    mContext.restart();
  }

  uint64_t Count(UnansweredReason aReason) const
  {
    return mServer.Counters().unanswered[static_cast<size_t>(aReason)];
  }

  boost::asio::io_context mContext;
  std::vector<Responder> mResponders;
  std::vector<UnansweredRequest> mReported;
  Server mServer{ mContext, {}, [this](Request, Responder aRespond) {
                   mResponders.push_back(std::move(aRespond));
                 } };
  Endpoint mEndpoint;
  tcp::socket mSocket{ mContext };
};

constexpr std::string_view kRequestBytes = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

// Guards against a shutdown that cuts a request without a trace.
TEST_F(UnansweredTest, RequestCutByTheServerIsReported)
{
  Send(kRequestBytes);
  ASSERT_EQ(mResponders.size(), 1U);
  mServer.Drain([] {});
  mServer.Close();
  Run();
  EXPECT_EQ(Count(UnansweredReason::kServerClosed), 1U);
  ASSERT_EQ(mReported.size(), 1U);
  EXPECT_EQ(mReported[0].reason, UnansweredReason::kServerClosed);
  EXPECT_TRUE(mReported[0].draining);
  EXPECT_FALSE(mReported[0].responseStarted);
}

// Guards against a request that its handler forgets without a trace.
TEST_F(UnansweredTest, RequestWithoutAResponderIsReported)
{
  Send(kRequestBytes);
  mResponders.clear();
  Run();
  EXPECT_EQ(Count(UnansweredReason::kAbandoned), 1U);
  ASSERT_EQ(mReported.size(), 1U);
  EXPECT_FALSE(mReported[0].draining);
}

// Guards against reports of answered requests and of incomplete ones.
TEST_F(UnansweredTest, AnsweredAndIncompleteRequestsAreNotReported)
{
  Send(kRequestBytes);
  ASSERT_EQ(mResponders.size(), 1U);
  mResponders[0]({ .status = 204, .headers = {}, .body = {} });
  Run();
  mResponders.clear();
  Send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf");
  mServer.Close();
  Run();
  EXPECT_TRUE(mReported.empty());
}

// Guards against a reason that is counted under the name of another.
TEST(UnansweredReasons, HaveDistinctNames)
{
  std::set<std::string_view> names;
  for (int n = 0; n < kUnansweredReasonCount; ++n) {
    names.insert(UnansweredReasonName(static_cast<UnansweredReason>(n)));
  }
  EXPECT_EQ(names.size(), static_cast<size_t>(kUnansweredReasonCount));
}

// Guards against connections to many servers that use up the descriptors of the
// process, so that it can accept nothing more.
TEST(Pool, ConnectionsToAllServersAreBounded)
{
  boost::asio::io_context context;
  auto handler = [](Request, Responder) {};
  Server first(context, {}, handler);
  Server second(context, {}, handler);
  Endpoint a = first.Listen({ "127.0.0.1", 0 }).Value();
  Endpoint b = second.Listen({ "127.0.0.1", 0 }).Value();
  PoolLimits limits;
  limits.maxTotalConnections = 1;
  Pool pool(context, limits);
  std::shared_ptr<Connection> connection;
  std::error_code error;
  auto acquire = [&](const Endpoint& aServer) {
    connection = nullptr;
    bool done = false;
    pool.Acquire(aServer,
                 Seconds(1),
                 [&](std::error_code ec, std::shared_ptr<Connection> it) {
                   error = ec;
                   connection = std::move(it);
                   done = true;
                 });
    while (!done) {
      context.run_one();
    }
  };
  acquire(a);
  ASSERT_NE(connection, nullptr);
  pool.Release(connection);
  // An idle connection makes room, one in use does not.
  acquire(b);
  ASSERT_NE(connection, nullptr);
  EXPECT_EQ(pool.Open(), 1U);
  EXPECT_EQ(pool.Idle(), 0U);
  std::shared_ptr<Connection> held = connection;
  acquire(a);
  EXPECT_EQ(connection, nullptr);
  EXPECT_EQ(error, Errc::kUnavailable);
  EXPECT_EQ(pool.Counters().refused, 1U);
  EXPECT_EQ(pool.Open(), 1U);
  pool.Release(held);
}

TEST(Client, RefusedConnectionDidNotRun)
{
  Endpoint unused;
  {
    EchoServer server{ {} };
    unused = server.Address();
  }
  EXPECT_EQ(Echo(unused, "").verdict, Verdict::kNotRun);
}

} // namespace
} // namespace limpetwood::http
