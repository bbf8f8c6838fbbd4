// Tests of the connections between instances over loopback.

#include "peer/transport.h"

#include <gtest/gtest.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace limpetwood::peer {
namespace {

using boost::asio::io_context;

http::Endpoint
AnyPort()
{
  return { "127.0.0.1", 0 };
}

// Finds a free port, so that a peer's endpoint is known before it listens.
http::Endpoint
FindFreePort(io_context& aContext)
{
  boost::asio::ip::tcp::acceptor acceptor(
    aContext, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

// Runs the context until the predicate holds; false after 5 s.
template<typename Predicate>
bool
RunUntil(io_context& aContext, Predicate aDone)
{
  for (int n = 0; n < 500 && !aDone(); ++n) {
    aContext.restart();
    aContext.run_for(std::chrono::milliseconds(10));
  }
  return aDone();
}

// A transport that records the messages that it receives.
struct Node
{
  Node(io_context& aContext,
       const char* aSelf,
       http::Endpoint aListen,
       std::map<InstanceId, http::Endpoint> aPeers)
    : transport(aContext,
                { .self = InstanceId(aSelf),
                  .listen = std::move(aListen),
                  .peers = std::move(aPeers) },
                [this](const InstanceId& aFrom, Channel, std::string aPayload) {
                  received.push_back(aFrom.Value() + ":" + aPayload);
                })
  {
  }

  std::vector<std::string> received;
  Transport transport;
};

// Guards against a connection that is not dialled again after the peer
// restarts.
TEST(Transport, ReconnectsToARestartedPeer)
{
  io_context context;
  http::Endpoint address = FindFreePort(context);
  InstanceId a("a");
  InstanceId b("b");
  Node first(context, "a", AnyPort(), { { b, address } });
  ASSERT_TRUE(first.transport.Start().Ok());
  for (int round = 0; round < 2; ++round) {
    Node second(context, "b", address, { { a, { "127.0.0.1", 1 } } });
    ASSERT_TRUE(second.transport.Start().Ok());
    ASSERT_TRUE(
      RunUntil(context, [&] { return first.transport.IsConnected(b); }));
    first.transport.Send(b, Channel::kControl, "hello");
    ASSERT_TRUE(RunUntil(context, [&] { return !second.received.empty(); }));
    EXPECT_EQ(second.received[0], "a:hello");
    second.transport.Close();
    ASSERT_TRUE(
      RunUntil(context, [&] { return !first.transport.IsConnected(b); }));
  }
  first.transport.Close();
}

// Guards against processes outside the system: an unknown instance, a first
// frame other than hello, or arbitrary bytes must lead to a disconnect.
TEST(Transport, UnknownPeersAreDisconnected)
{
  io_context context;
  Node node(context, "a", AnyPort(), {});
  http::Endpoint bound = node.transport.Start().Value();
  for (std::string bytes : { EncodeFrame(Channel::kHello, "limpetwood/1 z"),
                             EncodeFrame(Channel::kControl, "x"),
                             std::string("GET / HTTP/1.1\r\n\r\n") }) {
    boost::asio::ip::tcp::socket socket(context);
    socket.connect(
      { boost::asio::ip::make_address(bound.address), bound.port });
    boost::asio::write(socket, boost::asio::buffer(bytes));
    uint64_t before = node.transport.Counters().protocolErrors;
    EXPECT_TRUE(RunUntil(context, [&] {
      return node.transport.Counters().protocolErrors > before;
    }));
  }
  EXPECT_TRUE(node.received.empty());
}

// Guards against a silent connection that is kept: the peer accepts bytes but
// never answers probes, as when a middlebox has dropped the connection's state.
TEST(Transport, SilentConnectionIsReplaced)
{
  io_context context;
  boost::asio::ip::tcp::acceptor silent(
    context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
  std::vector<boost::asio::ip::tcp::socket> accepted;
  std::function<void()> accept = [&] {
    silent.async_accept(
      [&](boost::system::error_code ec, boost::asio::ip::tcp::socket it) {
        if (!ec) {
          accepted.push_back(std::move(it));
          accept();
        }
      });
  };
  accept();
  http::Endpoint address{ "127.0.0.1", silent.local_endpoint().port() };
  Transport transport(context,
                      { .self = InstanceId("a"),
                        .listen = AnyPort(),
                        .peers = { { InstanceId("b"), address } },
                        .probeInterval = Millis(50) },
                      [](const InstanceId&, Channel, std::string) {});
  ASSERT_TRUE(transport.Start().Ok());
  EXPECT_TRUE(RunUntil(context, [&] { return accepted.size() >= 2; }));
  EXPECT_GE(transport.Counters().connectionsLost, 1U);
  transport.Close();
}

// Guards against messages to the own instance that are dropped for lack of a
// connection.
TEST(Transport, MessageToItselfIsDelivered)
{
  io_context context;
  Node node(context, "a", AnyPort(), {});
  ASSERT_TRUE(node.transport.Start().Ok());
  node.transport.Send(InstanceId("a"), Channel::kControl, "x");
  EXPECT_TRUE(RunUntil(context, [&] { return node.received.size() == 1; }));
}

} // namespace
} // namespace limpetwood::peer
