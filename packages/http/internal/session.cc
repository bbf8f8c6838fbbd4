#include "http/internal/session.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <utility>

namespace limpetwood::http {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

// Maximum bytes of one socket read while a head or a body is received.
constexpr size_t kHeadReadBytes = 2048;
constexpr size_t kBodyReadBytes = 64U << 10U;

// Limits on discarding what a peer sends after the response is complete. Many
// callers read nothing before they have sent their whole body, so the size
// limit equals the default body limit.
constexpr uint64_t kMaxLingerBytes = 16U << 20U;
constexpr Millis kMaxLingerTime = Seconds(2);

std::error_code
ConnectionLostError()
{
  return make_error_code(Errc::kUnavailable);
}

} // namespace

void
Session::Start()
{
  std::weak_ptr<Session> weak = shared_from_this();
  auto expire = [weak] {
    if (auto self = weak.lock()) {
      ++self->mServer->counters.timedOut;
      self->Close(UnansweredReason::kTimedOut);
    }
  };
  mReadTimer.SetCallback(expire);
  mWriteTimer.SetCallback(expire);
  mArrivedAfter = mServer->noneWaitedAt;
  AwaitRequest();
}

void
Session::AwaitRequest()
{
  mReader.Begin(mServer->limits.maxHeaderBytes, mServer->limits.maxBodyBytes);
  mIdle = mReader.Buffered() == 0;
  mAwaitedSince = MonotonicNow();
  mReadTimer.Set(mIdle ? mServer->limits.idleTimeout
                       : mServer->limits.readTimeout);
  ReadHead();
}

void
Session::ReadHead()
{
  ErrorCode error;
  switch (mReader.ParseHead(error)) {
    case Progress::kReady:
      OnHead();
      return;
    case Progress::kError:
      RejectBadInput(error);
      return;
    case Progress::kNeedMore:
      break;
  }
  mSocket.async_read_some(mReader.Prepare(kHeadReadBytes),
                          [self = shared_from_this()](ErrorCode ec, size_t n) {
                            if (self->mClosed || ec) {
                              self->Close();
                              return;
                            }
                            if (self->mIdle) {
                              self->OnRequestBegins();
                            }
                            self->mReader.Commit(n);
                            self->ReadHead();
                          });
}

void
Session::OnRequestBegins()
{
  mIdle = false;
  // The head must be complete within the read timeout, so that a slow sender
  // cannot occupy a connection.
  mReadTimer.Set(mServer->limits.readTimeout);
  // An earlier time says nothing about this request: its bytes may have arrived
  // behind the previous one, or before the connection was accepted.
  if (mServer->progress.InputHandledUntil() > mAwaitedSince) {
    mArrivedAfter = mServer->progress.InputHandledUntil();
  }
}

void
Session::OnHead()
{
  const auto& parser = mReader.GetParser();
  const auto& message = parser.get();
  RequestHead head;
  head.method.assign(message.method_string().data(),
                     message.method_string().size());
  head.target.assign(message.target().data(), message.target().size());
  CopyHead(parser, head);
  mKeepAlive = parser.keep_alive();
  mContinuePending =
    EqualsIgnoreCase(head.headers.Get("Expect"), "100-continue") &&
    head.HasBody();
  mReadTimer.Clear();
  ++mServer->counters.requests;
  ++mServer->inFlight;
  mInExchange = true;
  mRequestReceivedAt = MonotonicNow();
  mResponseStarted = false;
  mServer->handler(std::make_shared<Exchange>(
    shared_from_this(), std::move(head), mArrivedAfter));
}

void
Session::ReadBody(const Exchange& aExchange, BodyCallback aDone)
{
  mReadDone = std::move(aDone);
  if (mClosed || mReader.Done()) {
    asio::post(mServer->context, [self = shared_from_this()] {
      self->CompleteRead(
        self->mClosed ? ConnectionLostError() : std::error_code(), {}, true);
    });
    return;
  }
  mReadTimer.Set(mServer->limits.readTimeout);
  if (std::exchange(mContinuePending, false) && !aExchange.ResponseStarted()) {
    static constexpr std::string_view kContinue =
      "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(mSocket,
                      asio::buffer(kContinue),
                      [self = shared_from_this()](ErrorCode ec, size_t) {
                        if (ec) {
                          self->Close();
                        } else if (!self->mClosed) {
                          self->ReadMoreBody();
                        }
                      });
    return;
  }
  ReadMoreBody();
}

void
Session::ReadMoreBody()
{
  ErrorCode error;
  std::string_view part;
  switch (mReader.ParseBody(part, error)) {
    case Progress::kReady:
      asio::post(mServer->context,
                 [self = shared_from_this(), part, done = mReader.Done()] {
                   self->CompleteRead({}, part, done);
                 });
      return;
    case Progress::kError:
      mKeepAlive = false;
      ++(error == bhttp::error::body_limit ? mServer->counters.oversized
                                           : mServer->counters.malformed);
      CompleteRead(make_error_code(error == bhttp::error::body_limit
                                     ? Errc::kTooLarge
                                     : Errc::kCorrupt),
                   {},
                   false);
      return;
    case Progress::kNeedMore:
      break;
  }
  mReadingBody = true;
  mSocket.async_read_some(mReader.Prepare(kBodyReadBytes),
                          [self = shared_from_this()](ErrorCode ec, size_t n) {
                            if (self->mClosed) {
                              return;
                            }
                            self->mReadingBody = false;
                            if (self->mLingering) {
                              self->Linger();
                              return;
                            }
                            if (ec) {
                              // The handler can still respond to a truncated
                              // request, in case the peer has shut down only
                              // its sending side.
                              self->mKeepAlive = false;
                              self->CompleteRead(
                                make_error_code(ec == asio::error::eof
                                                  ? Errc::kTruncated
                                                  : Errc::kUnavailable),
                                {},
                                false);
                              return;
                            }
                            self->mReader.Commit(n);
                            self->ReadMoreBody();
                          });
}

void
Session::CompleteRead(std::error_code aError,
                      std::string_view aPart,
                      bool aLast)
{
  mReadTimer.Clear();
  if (auto done = std::exchange(mReadDone, nullptr)) {
    done(aError, aPart, aLast);
  }
}

void
Session::RejectBadInput(ErrorCode aError)
{
  mKeepAlive = false;
  if (aError == bhttp::error::body_limit ||
      aError == bhttp::error::header_limit) {
    ++mServer->counters.oversized;
    Reject(aError == bhttp::error::body_limit ? 413 : 431, "request_too_large");
  } else {
    ++mServer->counters.malformed;
    Reject(400, "malformed_request");
  }
}

void
Session::Reject(int aStatus, std::string_view aReason)
{
  mReadTimer.Clear();
  ResponseHead head;
  head.status = aStatus;
  head.headers.Set("Content-Type", "application/json");
  head.headers.Set("Limpetwood-Verdict", "not_run");
  head.headers.Set("Limpetwood-Reason", aReason);
  auto body = std::make_shared<std::string>(
    R"({"verdict":"not_run","reason":")" + std::string(aReason) + "\"}\n");
  head.contentLength = body->size();
  mFraming = Framing::kContentLength;
  Write(FormatResponseHead(head, mFraming, false),
        *body,
        true,
        [body](std::error_code) {});
}

void
Session::Respond(Exchange& aExchange,
                 const ResponseHead& aHead,
                 std::string_view aPart,
                 bool aLast,
                 WriteCallback aDone)
{
  aExchange.mResponseStarted = true;
  mResponseStarted = true;
  bool bodiless = aExchange.Head().method == "HEAD" || aHead.status == 204 ||
                  aHead.status == 304;
  if (bodiless) {
    mFraming = Framing::kNone;
  } else if (aHead.contentLength) {
    mFraming = Framing::kContentLength;
  } else {
    // HTTP/1.0 has no chunked encoding.
    bool supportsChunks = mReader.GetParser().get().version() >= 11;
    mFraming = supportsChunks ? Framing::kChunked : Framing::kCloseDelimited;
    mKeepAlive = mKeepAlive && supportsChunks;
  }
  // While the server drains, the connection stays open only for a request that
  // has arrived behind this one.
  mKeepAlive = mKeepAlive && mReader.Done() && !aHead.close &&
               (!mServer->draining || mReader.Buffered() > 0 || HasInput());
  Write(FormatResponseHead(aHead, mFraming, mKeepAlive),
        aPart,
        aLast,
        std::move(aDone));
}

void
Session::WriteBody(std::string_view aPart, bool aLast, WriteCallback aDone)
{
  Write({}, aPart, aLast, std::move(aDone));
}

void
Session::Write(std::string aHead,
               std::string_view aPart,
               bool aLast,
               WriteCallback aDone)
{
  mWriteDone = std::move(aDone);
  if (mClosed) {
    asio::post(mServer->context, [self = shared_from_this()] {
      if (auto done = std::exchange(self->mWriteDone, nullptr)) {
        done(ConnectionLostError());
      }
    });
    return;
  }
  mOutgoing.Assign(std::move(aHead), aPart, aLast, mFraming);
  mWriteTimer.Set(mServer->limits.writeTimeout);
  asio::async_write(mSocket,
                    mOutgoing.Buffers(),
                    [self = shared_from_this(), aLast](ErrorCode ec, size_t) {
                      self->OnWritten(ec, aLast);
                    });
}

void
Session::OnWritten(ErrorCode aError, bool aLast)
{
  mWriteTimer.Clear();
  auto done = std::exchange(mWriteDone, nullptr);
  if (aError) {
    Close();
  }
  if (done) {
    done(aError ? ConnectionLostError() : std::error_code());
  }
  if (!aError && aLast) {
    EndExchange();
  }
}

void
Session::EndExchange()
{
  if (std::exchange(mInExchange, false)) {
    --mServer->inFlight;
  }
  mPeerLostDone = nullptr;
  if (mClosed) {
    return;
  }
  if (mKeepAlive && mReader.Done()) {
    if (mServer->drainGraceOver && mReader.Buffered() == 0 && !HasInput()) {
      Close();
      return;
    }
    AwaitRequest();
    return;
  }
  if (mReader.Done() && mReader.Buffered() == 0 && !HasInput()) {
    Close();
    return;
  }
  CompleteRead(ConnectionLostError(), {}, false);
  ErrorCode ignored;
  mSocket.shutdown(tcp::socket::shutdown_send, ignored);
  mLingering = true;
  mReadTimer.Set(kMaxLingerTime);
  if (!mReadingBody) {
    Linger();
  }
}

void
Session::Linger()
{
  mSocket.async_read_some(mReader.Prepare(kBodyReadBytes),
                          [self = shared_from_this()](ErrorCode ec, size_t n) {
                            self->mLingeredBytes += n;
                            if (ec || self->mClosed ||
                                self->mLingeredBytes > kMaxLingerBytes) {
                              self->Close();
                              return;
                            }
                            self->Linger();
                          });
}

void
Session::WatchPeer(std::function<void()> aDone)
{
  mPeerLostDone = std::move(aDone);
  if (mClosed || mPeerWaitPending) {
    return;
  }
  mPeerWaitPending = true;
  mSocket.async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](ErrorCode ec) { self->OnPeerReadable(ec); });
}

void
Session::OnPeerReadable(ErrorCode aError)
{
  mPeerWaitPending = false;
  if (mClosed || !mPeerLostDone) {
    return;
  }
  if (!aError) {
    char byte = 0;
    auto n = ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) {
      // Bytes of a pipelined request, which is read after this response.
      return;
    }
    if (n == 0) {
      ProbePeer();
      return;
    }
    if (errno == EAGAIN || errno == EWOULDBLOCK) {
      WatchPeer(std::exchange(mPeerLostDone, nullptr));
      return;
    }
  }
  Close();
}

void
Session::ProbePeer()
{
  static constexpr std::string_view kInterimResponse =
    "HTTP/1.1 102 Processing\r\n\r\n";
  // Once the response has started, its writes detect a closed peer. HTTP/1.0
  // has no interim responses.
  if (mResponseStarted || mReader.GetParser().get().version() < 11) {
    return;
  }
  mPeerWaitPending = true;
  auto n = ::send(mSocket.native_handle(),
                  kInterimResponse.data(),
                  kInterimResponse.size(),
                  MSG_DONTWAIT | MSG_NOSIGNAL);
  if (n != static_cast<ssize_t>(kInterimResponse.size())) {
    Close();
    return;
  }
  mSocket.async_wait(tcp::socket::wait_error,
                     [self = shared_from_this()](ErrorCode) {
                       self->mPeerWaitPending = false;
                       if (self->mInExchange && !self->mClosed) {
                         self->Close();
                       }
                     });
}

void
Session::CloseIfIdle()
{
  if (mIdle && !HasInput()) {
    Close();
  }
}

bool
Session::HasInput()
{
  char byte = 0;
  return ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
Session::PeerStoppedSending()
{
  char byte = 0;
  auto n = ::recv(mSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
Session::Reset()
{
  ErrorCode ignored;
  mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
  Close(UnansweredReason::kAbandoned);
}

void
Session::ReportUnanswered(UnansweredReason aReason)
{
  ++mServer->counters.unanswered[static_cast<size_t>(aReason)];
  if (mServer->onUnanswered) {
    mServer->onUnanswered({ .reason = aReason,
                            .age = MonotonicNow() - mRequestReceivedAt,
                            .responseStarted = mResponseStarted,
                            .draining = mServer->draining });
  }
}

void
Session::Close(UnansweredReason aReason)
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  auto self = shared_from_this();
  mReadTimer.Stop();
  mWriteTimer.Stop();
  ErrorCode ignored;
  mSocket.close(ignored);
  if (std::exchange(mInExchange, false)) {
    --mServer->inFlight;
    if (mReader.Done()) {
      ReportUnanswered(aReason);
    }
  }
  mServer->Remove(self);
  // A write in progress completes through its own handler.
  CompleteRead(ConnectionLostError(), {}, false);
  if (auto done = std::exchange(mPeerLostDone, nullptr)) {
    done();
  }
}

} // namespace limpetwood::http
