// TCP connections with probes, backoff and bounded queues; see `transport.h`.

#include "peer/transport.h"

#include "base/error.h"
#include "base/random.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <set>
#include <vector>

namespace limpetwood::peer {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using TcpUserTimeout =
  asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

// Precedes the sender's instance id in the first frame of a connection.
constexpr std::string_view kHelloPrefix = "limpetwood/1 ";
// Pause before the first new attempt; doubles with each failed one.
constexpr Millis kInitialBackoff = Millis(100);

std::chrono::milliseconds
ToChrono(Millis aTime)
{
  return std::chrono::milliseconds(aTime.Count());
}

tcp::endpoint
ToAsio(const http::Endpoint& aEndpoint, error_code& aError)
{
  return { asio::ip::make_address(aEndpoint.address, aError), aEndpoint.port };
}

} // namespace

class OutboundConnection;
class InboundConnection;

struct TransportImpl : std::enable_shared_from_this<TransportImpl>
{
  TransportImpl(asio::io_context& aContext,
                TransportOptions aOptions,
                ReceiveFunction aReceive)
    : context(aContext)
    , acceptor(aContext)
    , options(std::move(aOptions))
    , receive(std::move(aReceive))
    , random(std::hash<InstanceId>()(options.self))
  {
  }

  void Accept();
  // The connection to a peer, which is dialled if the peer is not listed and
  // has none yet. Null if the peer is unknown.
  OutboundConnection* FindOrDial(const InstanceId& aPeer);

  asio::io_context& context;
  tcp::acceptor acceptor;
  TransportOptions options;
  ReceiveFunction receive;
  Random random;
  TransportCounters counters;
  std::map<InstanceId, std::shared_ptr<OutboundConnection>> outbound;
  std::set<std::shared_ptr<InboundConnection>> inbound;
  bool closed = false;
};

// The dialled connection to one peer. Connects, writes the queued frames,
// probes the connection and reconnects after a failure.
class OutboundConnection
  : public std::enable_shared_from_this<OutboundConnection>
{
public:
  OutboundConnection(std::shared_ptr<TransportImpl> aOwner,
                     http::Endpoint aEndpoint,
                     std::optional<InstanceId> aUnlistedPeer)
    : mOwner(std::move(aOwner))
    , mEndpoint(std::move(aEndpoint))
    , mUnlistedPeer(std::move(aUnlistedPeer))
    , mLastSendAt(MonotonicNow())
    , mSocket(mOwner->context)
    , mTimer(mOwner->context)
  {
  }

  void Dial()
  {
    if (mOwner->closed) {
      return;
    }
    error_code ec;
    tcp::endpoint remote = ToAsio(mEndpoint, ec);
    mSocket = tcp::socket(mOwner->context);
    mTimer.expires_after(ToChrono(mOwner->options.connectTimeout));
    mTimer.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && !self->mConnected) {
        self->mSocket.close(ec);
      }
    });
    mSocket.async_connect(remote, [self = shared_from_this()](error_code ec) {
      self->mTimer.cancel();
      self->OnConnect(ec);
    });
  }

  void Send(Channel aChannel, std::string_view aPayload)
  {
    TransportCounters& counters = mOwner->counters;
    mLastSendAt = MonotonicNow();
    if (!mConnected) {
      ++counters.droppedUnreachable;
      return;
    }
    if (mQueuedBytes > mOwner->options.maxQueueBytes) {
      ++counters.droppedQueueFull;
      return;
    }
    auto n = static_cast<size_t>(aChannel);
    ++counters.messagesSent[n];
    counters.bytesSent[n] += aPayload.size() + kFrameHeaderBytes;
    Enqueue(EncodeFrame(aChannel, aPayload));
  }

  bool Connected() const { return mConnected; }

  void Close()
  {
    error_code ec;
    mTimer.cancel();
    mSocket.close(ec);
    mConnected = false;
  }

private:
  void OnConnect(error_code aError)
  {
    if (aError || mOwner->closed) {
      ScheduleRedial();
      return;
    }
    mSocket.set_option(tcp::no_delay(true), aError);
    auto timeoutMs =
      static_cast<int>(mOwner->options.unacknowledgedTimeout.Count());
    mSocket.set_option(TcpUserTimeout(timeoutMs), aError);
    mConnected = true;
    mBackoff = kInitialBackoff;
    Enqueue(
      EncodeFrame(Channel::kHello,
                  std::string(kHelloPrefix) + mOwner->options.self.Value()));
    mUnansweredProbes = 0;
    ReadProbeAnswers();
    SendProbe();
  }

  // On this connection the peer sends only one byte for each probe.
  void ReadProbeAnswers()
  {
    mSocket.async_read_some(asio::buffer(mProbeAnswers),
                            [self = shared_from_this(),
                             generation = mGeneration](error_code ec, size_t) {
                              if (generation != self->mGeneration) {
                                return;
                              }
                              if (ec) {
                                self->OnConnectionLost(generation);
                                return;
                              }
                              self->mUnansweredProbes = 0;
                              self->ReadProbeAnswers();
                            });
  }

  // Removes the connection to an unlisted peer that is no longer in use; false
  // if the peer is to be dialled again.
  bool RemoveIfIdle()
  {
    if (!mUnlistedPeer || MonotonicNow() - mLastSendAt <
                            mOwner->options.unlistedPeerIdleTimeout) {
      return false;
    }
    auto self = shared_from_this();
    mOwner->outbound.erase(*mUnlistedPeer);
    return true;
  }

  void SendProbe()
  {
    if (mUnansweredProbes >= mOwner->options.maxUnansweredProbes) {
      OnConnectionLost(mGeneration);
      return;
    }
    ++mUnansweredProbes;
    Enqueue(EncodeFrame(Channel::kHello, {}));
    mTimer.expires_after(ToChrono(mOwner->options.probeInterval));
    mTimer.async_wait(
      [self = shared_from_this(), generation = mGeneration](error_code ec) {
        if (!ec && generation == self->mGeneration) {
          self->SendProbe();
        }
      });
  }

  void Enqueue(std::string aFrame)
  {
    mQueuedBytes += aFrame.size();
    mQueue.push_back(std::move(aFrame));
    if (!mWriting) {
      Write();
    }
  }

  // Writes all queued frames with one call.
  void Write()
  {
    mWriting = true;
    mFramesInWrite.swap(mQueue);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(mFramesInWrite.size());
    for (const std::string& it : mFramesInWrite) {
      buffers.emplace_back(asio::buffer(it));
    }
    asio::async_write(mSocket,
                      buffers,
                      [self = shared_from_this(),
                       generation = mGeneration](error_code ec, size_t) {
                        if (generation != self->mGeneration) {
                          return;
                        }
                        if (ec) {
                          self->OnConnectionLost(generation);
                          return;
                        }
                        for (const std::string& it : self->mFramesInWrite) {
                          self->mQueuedBytes -= it.size();
                        }
                        self->mFramesInWrite.clear();
                        self->mWriting = false;
                        if (!self->mQueue.empty()) {
                          self->Write();
                        }
                      });
  }

  void OnConnectionLost(uint64_t aGeneration)
  {
    if (aGeneration != mGeneration || !mConnected) {
      return;
    }
    ++mOwner->counters.connectionsLost;
    ScheduleRedial();
  }

  void ScheduleRedial()
  {
    error_code ec;
    mSocket.close(ec);
    ++mGeneration;
    mConnected = false;
    mWriting = false;
    mQueue.clear();
    mFramesInWrite.clear();
    mQueuedBytes = 0;
    if (mOwner->closed || RemoveIfIdle()) {
      return;
    }
    Millis backoff = mOwner->random.Between(mBackoff / 2, mBackoff);
    mBackoff = std::min(mBackoff * 2, mOwner->options.maxBackoff);
    mTimer.expires_after(ToChrono(backoff));
    mTimer.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) {
        self->Dial();
      }
    });
  }

  std::shared_ptr<TransportImpl> mOwner;
  http::Endpoint mEndpoint;
  // Set if the peer is not in `TransportOptions::peers`.
  std::optional<InstanceId> mUnlistedPeer;
  Millis mLastSendAt;
  tcp::socket mSocket;
  asio::steady_timer mTimer;
  Millis mBackoff = kInitialBackoff;
  // Increases with each connection. Callbacks of an earlier connection carry a
  // lower number and are ignored.
  uint64_t mGeneration = 0;
  bool mConnected = false;
  bool mWriting = false;
  int mUnansweredProbes = 0;
  std::deque<std::string> mQueue;
  std::deque<std::string> mFramesInWrite;
  // Bytes of `mQueue` and `mFramesInWrite`.
  size_t mQueuedBytes = 0;
  std::array<char, 16> mProbeAnswers{};
};

// An accepted connection. Its first frame names the sender, and later frames
// are messages or probes.
class InboundConnection : public std::enable_shared_from_this<InboundConnection>
{
public:
  InboundConnection(std::shared_ptr<TransportImpl> aOwner, tcp::socket aSocket)
    : mOwner(std::move(aOwner))
    , mSocket(std::move(aSocket))
  {
  }

  void Read()
  {
    mSocket.async_read_some(
      asio::buffer(mReadBuffer),
      [self = shared_from_this()](error_code ec, size_t n) {
        if (ec || self->mOwner->closed || !self->OnBytes(n)) {
          self->Close();
          return;
        }
        self->Read();
      });
  }

  void Close()
  {
    error_code ec;
    mSocket.close(ec);
    mOwner->inbound.erase(shared_from_this());
  }

private:
  void AnswerProbe()
  {
    static constexpr char kAnswer = 1;
    // Only probe answers are sent in this direction. The error is ignored: if
    // the send buffer is full, the peer does not read the answers and closes
    // the connection by itself.
    error_code ec;
    mSocket.non_blocking(true, ec);
    mSocket.write_some(asio::buffer(&kAnswer, 1), ec);
  }

  bool OnBytes(size_t aCount)
  {
    mReader.Append(std::string_view(mReadBuffer.data(), aCount));
    for (;;) {
      Result<std::optional<Frame>> next = mReader.Next();
      if (!next || (next.Value() && !OnFrame(std::move(*next.Value())))) {
        ++mOwner->counters.protocolErrors;
        return false;
      }
      if (!next.Value()) {
        return true;
      }
    }
  }

  bool OnFrame(Frame aFrame)
  {
    auto n = static_cast<size_t>(aFrame.channel);
    mOwner->counters.bytesReceived[n] +=
      aFrame.payload.size() + kFrameHeaderBytes;
    if (!mSender.empty()) {
      if (aFrame.channel == Channel::kHello) {
        AnswerProbe();
        return aFrame.payload.empty();
      }
      mOwner->receive(mSender, aFrame.channel, std::move(aFrame.payload));
      return true;
    }
    bool isHello = aFrame.channel == Channel::kHello &&
                   aFrame.payload.starts_with(kHelloPrefix);
    if (!isHello) {
      return false;
    }
    mSender = InstanceId(aFrame.payload.substr(kHelloPrefix.size()));
    return mOwner->options.unlistedPeerPort ||
           mOwner->options.peers.contains(mSender);
  }

  std::shared_ptr<TransportImpl> mOwner;
  tcp::socket mSocket;
  InstanceId mSender;
  FrameReader mReader;
  std::array<char, 16384> mReadBuffer{};
};

void
TransportImpl::Accept()
{
  acceptor.async_accept(
    [self = shared_from_this()](error_code ec, tcp::socket it) {
      if (ec == asio::error::operation_aborted || self->closed) {
        return;
      }
      if (!ec) {
        auto inbound = std::make_shared<InboundConnection>(self, std::move(it));
        self->inbound.insert(inbound);
        inbound->Read();
      }
      self->Accept();
    });
}

OutboundConnection*
TransportImpl::FindOrDial(const InstanceId& aPeer)
{
  auto it = outbound.find(aPeer);
  if (it != outbound.end()) {
    return it->second.get();
  }
  if (closed || !options.unlistedPeerPort) {
    return nullptr;
  }
  auto added = std::make_shared<OutboundConnection>(
    shared_from_this(),
    http::Endpoint{ aPeer.Value(), *options.unlistedPeerPort },
    aPeer);
  outbound.emplace(aPeer, added);
  added->Dial();
  return added.get();
}

Transport::Transport(asio::io_context& aContext,
                     TransportOptions aOptions,
                     ReceiveFunction aReceive)
  : mImpl(std::make_shared<TransportImpl>(aContext,
                                          std::move(aOptions),
                                          std::move(aReceive)))
{
}

Transport::~Transport()
{
  Close();
}

Result<http::Endpoint>
Transport::Start()
{
  error_code ec;
  tcp::endpoint local = ToAsio(mImpl->options.listen, ec);
  if (!ec) {
    mImpl->acceptor.open(local.protocol(), ec);
  }
  if (!ec) {
    mImpl->acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) {
    mImpl->acceptor.bind(local, ec);
  }
  if (!ec) {
    mImpl->acceptor.listen(asio::socket_base::max_listen_connections, ec);
  }
  if (ec) {
    return std::error_code(ec);
  }
  mImpl->Accept();
  for (const auto& [id, endpoint] : mImpl->options.peers) {
    auto outbound =
      std::make_shared<OutboundConnection>(mImpl, endpoint, std::nullopt);
    mImpl->outbound.emplace(id, outbound);
    outbound->Dial();
  }
  return http::Endpoint{ mImpl->options.listen.address,
                         mImpl->acceptor.local_endpoint().port() };
}

void
Transport::Send(const InstanceId& aTo, Channel aChannel, std::string aPayload)
{
  if (aTo == mImpl->options.self) {
    asio::post(mImpl->context,
               [impl = mImpl, aChannel, payload = std::move(aPayload)] {
                 if (!impl->closed) {
                   impl->receive(impl->options.self, aChannel, payload);
                 }
               });
    return;
  }
  OutboundConnection* outbound = mImpl->FindOrDial(aTo);
  if (outbound == nullptr) {
    ++mImpl->counters.droppedUnreachable;
    return;
  }
  outbound->Send(aChannel, aPayload);
}

bool
Transport::IsConnected(const InstanceId& aPeer) const
{
  auto it = mImpl->outbound.find(aPeer);
  return it != mImpl->outbound.end() && it->second->Connected();
}

const TransportCounters&
Transport::Counters() const
{
  return mImpl->counters;
}

void
Transport::Close()
{
  if (mImpl->closed) {
    return;
  }
  mImpl->closed = true;
  error_code ec;
  mImpl->acceptor.close(ec);
  for (auto& [id, it] : mImpl->outbound) {
    it->Close();
  }
  mImpl->outbound.clear();
  auto inbound = mImpl->inbound;
  for (const auto& it : inbound) {
    it->Close();
  }
}

} // namespace limpetwood::peer
