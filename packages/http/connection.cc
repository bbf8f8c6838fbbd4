#include "http/connection.h"

#include "base/error.h"
#include "http/deadline_timer.h"
#include "http/internal/message_reader.h"
#include "http/internal/wire.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <utility>

namespace limpetwood::http {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::beast::error_code;

// Maximum bytes of one socket read while a head or a body is received.
constexpr size_t kHeadReadBytes = 4096;
constexpr size_t kBodyReadBytes = 64U << 10U;

// TCP keep-alive settings. They detect idle connections whose state a middlebox
// has lost, without spending a request on them.
constexpr int kKeepAliveIdleSeconds = 5;
constexpr int kKeepAliveIntervalSeconds = 2;
constexpr int kKeepAliveProbes = 3;

class ConnectionImpl final : public Connection
{
public:
  ConnectionImpl(asio::io_context& aContext, ConnectionLimits aLimits)
    : mContext(aContext)
    , mSocket(aContext)
    , mLimits(aLimits)
    , mReadTimer(aContext)
    , mWriteTimer(aContext)
  {
  }

  ~ConnectionImpl() override = default;

  void Connect(const Endpoint& aEndpoint,
               Millis aTimeout,
               WriteCallback aDone) override;
  void Send(const RequestHead& aHead,
            std::string_view aPart,
            bool aLast,
            Millis aTimeout,
            WriteCallback aDone) override;
  void SendBody(std::string_view aPart,
                bool aLast,
                Millis aTimeout,
                WriteCallback aDone) override;
  void ReadHead(Millis aTimeout,
                uint64_t aMaxBodyBytes,
                HeadCallback aDone) override;
  void ReadBody(Millis aTimeout, BodyCallback aDone) override;
  // It is unknown how much of a write in progress the kernel has accepted, so a
  // pending write counts as sent.
  bool HasSentBytes() const override { return mSentBytes > 0 || mWriting; }
  void ExtendRead(Millis aTimeout) override;
  bool Reusable() const override;
  bool IsLive() override;
  void Close() override;
  const Endpoint& Peer() const override { return mPeer; }
  Millis LastReceiveTime() const override { return mLastReceiveTime; }
  Millis LastExchangeStart() const override { return mLastExchangeStart; }

private:
  using Progress = MessageReader<false>::Progress;

  std::shared_ptr<ConnectionImpl> Self()
  {
    return std::static_pointer_cast<ConnectionImpl>(shared_from_this());
  }

  void InstallTimeoutHandlers();
  void Write(std::string aHead,
             std::string_view aPart,
             bool aLast,
             Millis aTimeout);
  void ReadMoreHead();
  void OnResponseHead();
  void ReadMoreBody();
  void CompleteWrite(std::error_code aError);
  void CompleteHead(std::error_code aError, ResponseHead aHead = {});
  void CompleteBody(std::error_code aError, std::string_view aPart, bool aLast);
  // Closes the connection and completes all pending callbacks with `aError`.
  void Fail(std::error_code aError);
  void CloseSocket();

  asio::io_context& mContext;
  tcp::socket mSocket;
  ConnectionLimits mLimits;
  MessageReader<false> mReader;
  DeadlineTimer mReadTimer;
  DeadlineTimer mWriteTimer;
  OutgoingPart mOutgoing;
  Endpoint mPeer;
  WriteCallback mWriteDone;
  HeadCallback mHeadDone;
  BodyCallback mBodyDone;
  // Framing of the request body.
  Framing mFraming = Framing::kContentLength;
  uint64_t mSentBytes = 0;
  uint64_t mMaxBodyBytes = 0;
  Millis mLastReceiveTime;
  Millis mLastExchangeStart;
  bool mWriting = false;
  // The request method is HEAD, so the response has no body.
  bool mSkipBody = false;
  bool mRequestComplete = true;
  bool mResponseComplete = true;
  // False once the peer has announced that it closes the connection, or a write
  // has failed.
  bool mKeepAlive = true;
  bool mClosed = false;
};

std::error_code
TranslateError(ErrorCode aError)
{
  if (aError == asio::error::eof || aError == bhttp::error::partial_message ||
      aError == bhttp::error::end_of_stream) {
    return make_error_code(Errc::kTruncated);
  }
  if (aError == bhttp::error::body_limit ||
      aError == bhttp::error::header_limit) {
    return make_error_code(Errc::kTooLarge);
  }
  // All other errors of Beast's HTTP parser. `bad_method` only serves to name
  // their category.
  if (aError.category() ==
      make_error_code(bhttp::error::bad_method).category()) {
    return make_error_code(Errc::kCorrupt);
  }
  return aError;
}

void
ConnectionImpl::InstallTimeoutHandlers()
{
  std::weak_ptr<ConnectionImpl> weak = Self();
  auto onTimeout = [weak] {
    if (auto self = weak.lock()) {
      self->Fail(make_error_code(Errc::kTimeout));
    }
  };
  mReadTimer.SetCallback(onTimeout);
  mWriteTimer.SetCallback(onTimeout);
}

void
ConnectionImpl::Connect(const Endpoint& aEndpoint,
                        Millis aTimeout,
                        WriteCallback aDone)
{
  mPeer = aEndpoint;
  mWriteDone = std::move(aDone);
  ErrorCode error;
  auto address = asio::ip::make_address(aEndpoint.address, error);
  if (error) {
    asio::post(mContext, [self = Self(), error] { self->Fail(error); });
    return;
  }
  InstallTimeoutHandlers();
  mWriteTimer.Set(aTimeout);
  mSocket.async_connect(
    tcp::endpoint(address, aEndpoint.port), [self = Self()](ErrorCode ec) {
      if (self->mClosed) {
        return;
      }
      if (ec) {
        self->Fail(ec);
        return;
      }
      auto& socket = self->mSocket;
      socket.set_option(tcp::no_delay(true), ec);
      socket.set_option(asio::socket_base::keep_alive(true), ec);
      int fd = socket.native_handle();
      for (auto [option, value] :
           { std::pair(TCP_KEEPIDLE, kKeepAliveIdleSeconds),
             std::pair(TCP_KEEPINTVL, kKeepAliveIntervalSeconds),
             std::pair(TCP_KEEPCNT, kKeepAliveProbes) }) {
        ::setsockopt(fd, IPPROTO_TCP, option, &value, sizeof value);
      }
      self->mLastReceiveTime = MonotonicNow();
      self->CompleteWrite({});
    });
}

void
ConnectionImpl::Send(const RequestHead& aHead,
                     std::string_view aPart,
                     bool aLast,
                     Millis aTimeout,
                     WriteCallback aDone)
{
  mWriteDone = std::move(aDone);
  mSentBytes = 0;
  mLastExchangeStart = MonotonicNow();
  mRequestComplete = false;
  mResponseComplete = false;
  mKeepAlive = true;
  mSkipBody = aHead.method == "HEAD";
  mFraming = aHead.contentLength ? Framing::kContentLength : Framing::kChunked;
  Write(FormatRequestHead(aHead), aPart, aLast, aTimeout);
}

void
ConnectionImpl::SendBody(std::string_view aPart,
                         bool aLast,
                         Millis aTimeout,
                         WriteCallback aDone)
{
  mWriteDone = std::move(aDone);
  Write({}, aPart, aLast, aTimeout);
}

void
ConnectionImpl::Write(std::string aHead,
                      std::string_view aPart,
                      bool aLast,
                      Millis aTimeout)
{
  if (mClosed) {
    asio::post(mContext, [self = Self()] {
      self->CompleteWrite(make_error_code(Errc::kUnavailable));
    });
    return;
  }
  mOutgoing.Assign(std::move(aHead), aPart, aLast, mFraming);
  mWriteTimer.Set(aTimeout);
  mWriting = true;
  asio::async_write(mSocket,
                    mOutgoing.Buffers(),
                    [self = Self(), aLast](ErrorCode ec, size_t n) {
                      self->mWriting = false;
                      self->mSentBytes += n;
                      if (self->mClosed) {
                        return;
                      }
                      if (ec) {
                        // Only the write fails: a response may have arrived
                        // before the connection was reset, such as a refusal of
                        // a large body.
                        self->mKeepAlive = false;
                        self->CompleteWrite(ec);
                        return;
                      }
                      self->mRequestComplete = aLast;
                      self->CompleteWrite({});
                    });
}

void
ConnectionImpl::ReadHead(Millis aTimeout,
                         uint64_t aMaxBodyBytes,
                         HeadCallback aDone)
{
  mHeadDone = std::move(aDone);
  mMaxBodyBytes = aMaxBodyBytes;
  if (mClosed) {
    asio::post(mContext, [self = Self()] {
      self->CompleteHead(make_error_code(Errc::kUnavailable));
    });
    return;
  }
  mReader.Begin(mLimits.maxHeaderBytes, mMaxBodyBytes, mSkipBody);
  mReadTimer.Set(aTimeout);
  ReadMoreHead();
}

void
ConnectionImpl::ReadMoreHead()
{
  mSocket.async_read_some(
    mReader.Prepare(kHeadReadBytes), [self = Self()](ErrorCode ec, size_t n) {
      if (self->mClosed) {
        return;
      }
      if (ec) {
        self->Fail(TranslateError(ec));
        return;
      }
      self->mLastReceiveTime = MonotonicNow();
      self->mReader.Commit(n);
      ErrorCode error;
      auto progress = self->mReader.ParseHead(error);
      // Interim responses (100 to 199) precede the final response.
      while (progress == Progress::kReady &&
             self->mReader.GetParser().get().result_int() / 100 == 1) {
        self->mReader.Begin(
          self->mLimits.maxHeaderBytes, self->mMaxBodyBytes, self->mSkipBody);
        progress = self->mReader.ParseHead(error);
      }
      if (progress == Progress::kReady) {
        self->OnResponseHead();
      } else if (progress == Progress::kError) {
        self->Fail(TranslateError(error));
      } else {
        self->ReadMoreHead();
      }
    });
}

void
ConnectionImpl::OnResponseHead()
{
  const auto& parser = mReader.GetParser();
  ResponseHead head;
  head.status = static_cast<int>(parser.get().result_int());
  CopyHead(parser, head);
  mReadTimer.Clear();
  if (parser.need_eof() && !mSkipBody) {
    // The end of this body is indistinguishable from a lost connection.
    Fail(make_error_code(Errc::kTruncated));
    return;
  }
  mKeepAlive = mKeepAlive && parser.keep_alive();
  mResponseComplete = mReader.Done();
  CompleteHead({}, std::move(head));
}

void
ConnectionImpl::ReadBody(Millis aTimeout, BodyCallback aDone)
{
  mBodyDone = std::move(aDone);
  if (mClosed || mReader.Done()) {
    asio::post(mContext, [self = Self()] {
      self->CompleteBody(self->mClosed ? make_error_code(Errc::kUnavailable)
                                       : std::error_code(),
                         {},
                         true);
    });
    return;
  }
  mReadTimer.Set(aTimeout);
  ReadMoreBody();
}

void
ConnectionImpl::ReadMoreBody()
{
  ErrorCode error;
  std::string_view part;
  switch (mReader.ParseBody(part, error)) {
    case Progress::kReady:
      mResponseComplete = mReader.Done();
      asio::post(mContext, [self = Self(), part, done = mResponseComplete] {
        self->CompleteBody({}, part, done);
      });
      return;
    case Progress::kError:
      asio::post(mContext,
                 [self = Self(), error] { self->Fail(TranslateError(error)); });
      return;
    case Progress::kNeedMore:
      break;
  }
  mSocket.async_read_some(mReader.Prepare(kBodyReadBytes),
                          [self = Self()](ErrorCode ec, size_t n) {
                            if (self->mClosed) {
                              return;
                            }
                            if (ec) {
                              self->Fail(TranslateError(ec));
                              return;
                            }
                            self->mLastReceiveTime = MonotonicNow();
                            self->mReader.Commit(n);
                            self->ReadMoreBody();
                          });
}

void
ConnectionImpl::CompleteWrite(std::error_code aError)
{
  mWriteTimer.Clear();
  if (auto done = std::exchange(mWriteDone, nullptr)) {
    done(aError);
  }
}

void
ConnectionImpl::CompleteHead(std::error_code aError, ResponseHead aHead)
{
  mReadTimer.Clear();
  if (auto done = std::exchange(mHeadDone, nullptr)) {
    done(aError, std::move(aHead));
  }
}

void
ConnectionImpl::CompleteBody(std::error_code aError,
                             std::string_view aPart,
                             bool aLast)
{
  mReadTimer.Clear();
  if (auto done = std::exchange(mBodyDone, nullptr)) {
    done(aError, aPart, aLast);
  }
}

void
ConnectionImpl::Fail(std::error_code aError)
{
  if (mClosed) {
    return;
  }
  auto self = Self();
  CloseSocket();
  auto write = std::exchange(mWriteDone, nullptr);
  auto head = std::exchange(mHeadDone, nullptr);
  auto body = std::exchange(mBodyDone, nullptr);
  if (write) {
    write(aError);
  }
  if (head) {
    head(aError, {});
  }
  if (body) {
    body(aError, {}, false);
  }
}

void
ConnectionImpl::ExtendRead(Millis aTimeout)
{
  if (!mClosed && (mHeadDone || mBodyDone)) {
    mReadTimer.Set(aTimeout);
  }
}

bool
ConnectionImpl::Reusable() const
{
  return !mClosed && mRequestComplete && mResponseComplete && mKeepAlive &&
         mReader.Buffered() == 0;
}

bool
ConnectionImpl::IsLive()
{
  if (mClosed) {
    return false;
  }
  char byte = 0;
  auto n = ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
ConnectionImpl::Close()
{
  if (mClosed) {
    return;
  }
  auto self = Self();
  CloseSocket();
  mWriteDone = nullptr;
  mHeadDone = nullptr;
  mBodyDone = nullptr;
}

void
ConnectionImpl::CloseSocket()
{
  mClosed = true;
  mReadTimer.Stop();
  mWriteTimer.Stop();
  ErrorCode ignored;
  mSocket.close(ignored);
}

} // namespace

std::shared_ptr<Connection>
Connection::Create(asio::io_context& aContext, ConnectionLimits aLimits)
{
  return std::make_shared<ConnectionImpl>(aContext, aLimits);
}

} // namespace limpetwood::http
