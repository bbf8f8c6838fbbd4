#include "e2e/relay.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <set>

namespace limpetwood::e2e {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;

} // namespace

// One relayed connection.
class RelayedConnection : public std::enable_shared_from_this<RelayedConnection>
{
public:
  RelayedConnection(asio::io_context& aContext, tcp::socket aClient)
    : mClient(std::move(aClient))
    , mServer(aContext)
  {
  }

  void Start(const tcp::endpoint& aTarget)
  {
    mServer.async_connect(aTarget, [self = shared_from_this()](error_code ec) {
      if (ec) {
        self->Close();
        return;
      }
      self->ForwardData(self->mClient, self->mServer, self->mClientToServer);
      self->ForwardData(self->mServer, self->mClient, self->mServerToClient);
    });
  }

  // From now on reads data in both directions and discards it.
  void DiscardData() { mDiscardsData = true; }

  void Close()
  {
    error_code ec;
    mClient.close(ec);
    mServer.close(ec);
  }

private:
  using Buffer = std::array<char, 16384>;

  void ForwardData(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer)
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self = shared_from_this(), &aFrom, &aTo, &aBuffer](error_code ec,
                                                          size_t n) {
        if (ec) {
          // A connection that discards data does not propagate a close either.
          if (!self->mDiscardsData) {
            self->Close();
          }
          return;
        }
        if (self->mDiscardsData) {
          self->ForwardData(aFrom, aTo, aBuffer);
          return;
        }
        asio::async_write(
          aTo,
          asio::buffer(aBuffer, n),
          [self, &aFrom, &aTo, &aBuffer](error_code ec, size_t) {
            if (ec) {
              self->Close();
              return;
            }
            self->ForwardData(aFrom, aTo, aBuffer);
          });
      });
  }

  tcp::socket mClient;
  tcp::socket mServer;
  Buffer mClientToServer{};
  Buffer mServerToClient{};
  bool mDiscardsData = false;
};

class Relay : public std::enable_shared_from_this<Relay>
{
public:
  Relay(asio::io_context& aContext,
        const http::Endpoint& aTarget,
        const http::Endpoint& aListen)
    : mContext(aContext)
    , mAcceptor(aContext,
                { asio::ip::make_address(aListen.address), aListen.port })
    , mTarget(asio::ip::make_address(aTarget.address), aTarget.port)
  {
  }

  http::Endpoint Address() const
  {
    tcp::endpoint local = mAcceptor.local_endpoint();
    return { local.address().to_string(), local.port() };
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](error_code ec, tcp::socket it) {
        if (ec) {
          return;
        }
        self->OnAccept(std::move(it));
        self->Accept();
      });
  }

  void SetMode(RelayMode aMode)
  {
    mMode = aMode;
    for (const auto& it : mConnections) {
      if (aMode == RelayMode::kClosed) {
        it->Close();
      } else if (aMode != RelayMode::kForward) {
        it->DiscardData();
      }
    }
    if (aMode != RelayMode::kForward) {
      // Silent connections never recover, as in a middlebox that lost their
      // state, so later modes do not apply to them.
      mConnections.clear();
    }
  }

  void Close()
  {
    error_code ec;
    mAcceptor.close(ec);
    for (const auto& it : mConnections) {
      it->Close();
    }
    mConnections.clear();
  }

private:
  void OnAccept(tcp::socket aClient)
  {
    if (mMode == RelayMode::kClosed) {
      error_code ec;
      aClient.close(ec);
      return;
    }
    auto connection =
      std::make_shared<RelayedConnection>(mContext, std::move(aClient));
    if (mMode == RelayMode::kSilent) {
      connection->DiscardData();
    }
    connection->Start(mTarget);
    mConnections.insert(connection);
  }

  asio::io_context& mContext;
  tcp::acceptor mAcceptor;
  tcp::endpoint mTarget;
  RelayMode mMode = RelayMode::kForward;
  std::set<std::shared_ptr<RelayedConnection>> mConnections;
};

RelayGroup::RelayGroup()
  : mWorkGuard(mContext.get_executor())
  , mThread([this] { mContext.run(); })
{
}

RelayGroup::~RelayGroup()
{
  asio::post(mContext, [this] {
    for (const auto& it : mRelays) {
      it->Close();
    }
    mWorkGuard.reset();
    mContext.stop();
  });
  mThread.join();
}

size_t
RelayGroup::Add(const http::Endpoint& aTarget, const http::Endpoint& aListen)
{
  auto relay = std::make_shared<Relay>(mContext, aTarget, aListen);
  mRelays.push_back(relay);
  asio::post(mContext, [relay] { relay->Accept(); });
  return mRelays.size() - 1;
}

http::Endpoint
RelayGroup::AddressOf(size_t aRelay) const
{
  return mRelays[aRelay]->Address();
}

void
RelayGroup::SetMode(size_t aRelay, RelayMode aMode)
{
  std::promise<void> done;
  asio::post(mContext, [&] {
    mRelays[aRelay]->SetMode(aMode);
    done.set_value();
  });
  done.get_future().wait();
}

} // namespace limpetwood::e2e
