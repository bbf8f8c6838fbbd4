#include "proxy/test_support.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>

namespace limpetwood::proxy {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

IoThread::IoThread()
  : mWorkGuard(mContext.get_executor())
  , mThread([this] { mContext.run(); })
{
}

IoThread::~IoThread()
{
  mWorkGuard.reset();
  mContext.stop();
  mThread.join();
}

TestServer::TestServer(standin::BackendOptions aOptions)
{
  mAddress = mIoThread.Run([&] {
    mServer =
      std::make_unique<standin::BackendServer>(mIoThread.Context(), aOptions);
    return mServer->Start().Value();
  });
}

TestServer::~TestServer()
{
  Kill();
}

uint64_t
TestServer::Executed()
{
  return mIoThread.Run([this] { return mServer->Executed(); });
}

uint32_t
TestServer::Busy()
{
  return mIoThread.Run([this] { return mServer->Busy(); });
}

void
TestServer::Kill()
{
  mIoThread.Run([this] { mServer->Kill(); });
}

struct Relay::RelayedConnection
  : std::enable_shared_from_this<Relay::RelayedConnection>
{
  RelayedConnection(asio::io_context& aContext, tcp::socket aCaller)
    : caller(std::move(aCaller))
    , server(aContext)
  {
  }

  void ForwardBytes(tcp::socket& aFrom,
                    tcp::socket& aTo,
                    std::array<char, 4096>& aBuf)
  {
    aFrom.async_read_some(
      asio::buffer(aBuf),
      [self = shared_from_this(), &aFrom, &aTo, &aBuf](
        boost::system::error_code ec, size_t n) {
        if (self->blackholed) {
          return;
        }
        if (ec) {
          boost::system::error_code ignored;
          aTo.shutdown(tcp::socket::shutdown_send, ignored);
          return;
        }
        asio::async_write(
          aTo,
          asio::buffer(aBuf.data(), n),
          [self, &aFrom, &aTo, &aBuf](boost::system::error_code ec, size_t) {
            if (!ec) {
              self->ForwardBytes(aFrom, aTo, aBuf);
            }
          });
      });
  }

  tcp::socket caller;
  tcp::socket server;
  std::array<char, 4096> callerToServer{};
  std::array<char, 4096> serverToCaller{};
  bool blackholed = false;
};

Relay::Relay(http::Endpoint aTarget)
  : mTarget(std::move(aTarget))
  , mAcceptor(mIoThread.Context(), { asio::ip::make_address("127.0.0.1"), 0 })
{
  mAddress = { "127.0.0.1", mAcceptor.local_endpoint().port() };
  mIoThread.Run([this] { Accept(); });
}

Relay::~Relay()
{
  mIoThread.Run([this] {
    mAcceptor.close();
    mConnections.clear();
  });
}

void
Relay::Accept()
{
  mAcceptor.async_accept([this](boost::system::error_code ec, tcp::socket it) {
    if (ec) {
      return;
    }
    auto connection =
      std::make_shared<RelayedConnection>(mIoThread.Context(), std::move(it));
    mConnections.push_back(connection);
    connection->server.async_connect(
      { asio::ip::make_address(mTarget.address), mTarget.port },
      [connection](boost::system::error_code ec) {
        if (!ec) {
          connection->ForwardBytes(
            connection->caller, connection->server, connection->callerToServer);
          connection->ForwardBytes(
            connection->server, connection->caller, connection->serverToCaller);
        }
      });
    Accept();
  });
}

void
Relay::BlackholeOpenConnections()
{
  mIoThread.Run([this] {
    for (const auto& it : mConnections) {
      it->blackholed = true;
    }
  });
}

TestInstance::TestInstance(TestInstanceOptions aOptions)
  : mAnnounceTimer(mIoThread.Context())
{
  // The tests run a single instance, so no previous home of a server has to be
  // waited for.
  aOptions.router.testOnly.skipHomeWait = true;
  mAddress = mIoThread.Run([&] {
    InstanceId self("i1");
    ZoneId zone("sogn");
    mProxy = std::make_unique<Proxy>(
      mIoThread.Context(),
      aOptions.proxy,
      routing::Router(aOptions.router, self, zone, /*aSeed=*/7),
      [](const InstanceId&, std::string) {});
    routing::RoutingConfig config;
    config.version = ConfigVersion(1);
    config.services.push_back(
      { .id = ServiceId("demo"), .attemptTimeout = aOptions.attemptTimeout });
    config.workspaces.push_back({ .id = WorkspaceId("w") });
    config.instances.push_back({ self, zone });
    mAnnounceTimer.SetCallback([this] {
      for (const auto& it : mAnnouncements) {
        mProxy->Announce(it);
      }
      mAnnounceTimer.Set(Millis(100));
    });
    mAnnounceTimer.Set(Millis(100));
    mProxy->Configure(config, { { ServiceId("demo"), aOptions.limits } });
    return mProxy->Listen({ "127.0.0.1", 0 }).Value();
  });
}

TestInstance::~TestInstance()
{
  mIoThread.Run([this] {
    mAnnounceTimer.Stop();
    mProxy->Close();
  });
}

void
TestInstance::Announce(const std::string& aId,
                       const http::Endpoint& aAddress,
                       uint32_t aSlots)
{
  mIoThread.Run([&] {
    mAnnouncements.push_back({ .server = ServerId(aId),
                               .service = ServiceId("demo"),
                               .zone = ZoneId("sogn"),
                               .address = http::FormatEndpoint(aAddress),
                               .incarnation = Incarnation(1),
                               .slots = aSlots,
                               // The server's limit over all instances.
                               .connections = 60 });
    mProxy->Announce(mAnnouncements.back());
  });
  WaitUntil([&] {
    return mIoThread.Run([&] {
      for (const auto& it : mProxy->Router().Servers(MonotonicNow())) {
        if (it.identity.id.Value() == aId) {
          return !it.takeoverPending;
        }
      }
      return false;
    });
  });
}

http::FetchResult
TestInstance::Call(http::Request aRequest)
{
  return http::FetchAndWait(
    mAddress, std::move(aRequest), { .timeout = Seconds(20) });
}

nlohmann::json
TestInstance::RunCaller(standin::CallerOptions aOptions)
{
  aOptions.instances = { mAddress };
  aOptions.workspace = "w";
  asio::io_context context;
  nlohmann::json summary;
  standin::Caller caller(context, std::move(aOptions));
  caller.Start([&](const nlohmann::json& aSummary) { summary = aSummary; });
  context.run();
  return summary;
}

std::future<DrainResult>
TestInstance::Drain(Millis aGrace)
{
  auto promise = std::make_shared<std::promise<DrainResult>>();
  mIoThread.Run([&] {
    mProxy->Drain(
      aGrace, [promise](DrainResult aResult) { promise->set_value(aResult); });
  });
  return promise->get_future();
}

size_t
TestInstance::InFlight()
{
  return mIoThread.Run([this] { return mProxy->InFlight(); });
}

ProxyCounters
TestInstance::Counters()
{
  return mIoThread.Run([this] { return mProxy->Counters(); });
}

http::PoolCounters
TestInstance::PoolCounters()
{
  return mIoThread.Run([this] { return mProxy->PoolCounters(); });
}

http::Request
MakeRequest(std::string aId,
            std::initializer_list<http::Headers::Field> aHeaders)
{
  http::Request request;
  request.method = "POST";
  request.target = "/svc/demo/x";
  request.headers.Set("Limpetwood-Workspace", "w");
  request.headers.Set("Standin-Request-Id", aId);
  for (const auto& [name, value] : aHeaders) {
    request.headers.Set(name, value);
  }
  return request;
}

std::string
FormatOutcome(const http::FetchResult& aResult)
{
  if (aResult.verdict != Verdict::kAnswered) {
    return "connection " + std::string(VerdictName(aResult.verdict));
  }
  const auto& headers = aResult.response.headers;
  std::string text(headers.Get("Limpetwood-Verdict"));
  text += " " + std::to_string(aResult.response.status);
  if (auto reason = headers.Get("Limpetwood-Reason"); !reason.empty()) {
    text.append(" ").append(reason);
  }
  return text;
}

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  Millis end = MonotonicNow() + Seconds(5);
  while (!aCondition()) {
    if (MonotonicNow() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return true;
}

RawConnection::RawConnection(const http::Endpoint& aEndpoint)
  : mSocket(mContext)
{
  mSocket.connect(
    { asio::ip::make_address(aEndpoint.address), aEndpoint.port });
}

void
RawConnection::Send(const std::string& aBytes)
{
  asio::write(mSocket, asio::buffer(aBytes));
}

void
RawConnection::ShutdownSend()
{
  mSocket.shutdown(tcp::socket::shutdown_send);
}

std::string
RawConnection::ReadAll()
{
  std::string answer;
  boost::system::error_code ec;
  asio::read(mSocket, asio::dynamic_buffer(answer), ec);
  return answer;
}

size_t
RawConnection::Read(size_t aBytes)
{
  std::string bytes(aBytes, '\0');
  boost::system::error_code ec;
  return asio::read(mSocket, asio::buffer(bytes), ec);
}

void
RawConnection::Close()
{
  mSocket.close();
}

} // namespace limpetwood::proxy
