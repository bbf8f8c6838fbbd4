// One accepted connection: reads a request, passes it to the handler as an
// exchange, writes the response, and repeats until the connection closes.

#pragma once

#include "http/deadline_timer.h"
#include "http/event_loop.h"
#include "http/internal/message_reader.h"
#include "http/internal/wire.h"
#include "http/stream_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <set>

namespace limpetwood::http {

struct StreamServerImpl : std::enable_shared_from_this<StreamServerImpl>
{
  StreamServerImpl(boost::asio::io_context& aContext,
                   ServerLimits aLimits,
                   StreamHandler aHandler)
    : context(aContext)
    , progress(EventLoopProgress::Of(aContext))
    , acceptor(aContext)
    , drainTimer(aContext)
    , acceptTimer(aContext)
    , limits(aLimits)
    , handler(std::move(aHandler))
  {
  }

  void Accept();
  // Accepts again after a delay.
  void AcceptLater();
  // Accepts the connections that the kernel has established already; closing
  // the acceptor would reset them.
  void AcceptArrived();
  void OnAccepted(boost::asio::ip::tcp::socket aSocket);
  void Remove(const std::shared_ptr<Session>& aSession);
  void FinishDrainIfIdle();

  boost::asio::io_context& context;
  const EventLoopProgress& progress;
  boost::asio::ip::tcp::acceptor acceptor;
  DeadlineTimer drainTimer;
  DeadlineTimer acceptTimer;
  ServerLimits limits;
  StreamHandler handler;
  ServerCounters counters;
  UnansweredCallback onUnanswered;
  // Every session with an open socket.
  std::set<std::shared_ptr<Session>> sessions;
  size_t inFlight = 0;
  // Since when the server waits for the next connection; `Max` if it does not.
  Millis acceptingSince = Millis::Max();
  // Latest time at which it is known that no connection waited to be accepted.
  Millis noneWaitedAt{};
  bool draining = false;
  // Connections are closed as soon as they are idle.
  bool drainGraceOver = false;
  std::function<void()> drainDone;
};

class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<StreamServerImpl> aServer,
          boost::asio::ip::tcp::socket aSocket)
    : mServer(std::move(aServer))
    , mSocket(std::move(aSocket))
    , mReadTimer(mServer->context)
    , mWriteTimer(mServer->context)
  {
  }

  void Start();
  // Closes the connection unless a request is in progress or has arrived.
  void CloseIfIdle();
  // Closes the connection; a pending body read and the peer watch complete.
  // `aReason` is reported if a request is left unanswered.
  void Close(UnansweredReason aReason = UnansweredReason::kPeerClosed);
  // Closes the connection with a TCP reset.
  void Reset();

  // Called by `Exchange`.
  void ReadBody(const Exchange& aExchange, BodyCallback aDone);
  void Respond(Exchange& aExchange,
               const ResponseHead& aHead,
               std::string_view aPart,
               bool aLast,
               WriteCallback aDone);
  void WriteBody(std::string_view aPart, bool aLast, WriteCallback aDone);
  void WatchPeer(std::function<void()> aDone);
  bool PeerStoppedSending();
  boost::asio::io_context& Context() { return mServer->context; }

private:
  using ErrorCode = boost::beast::error_code;
  using Progress = MessageReader<true>::Progress;

  void AwaitRequest();
  // The first byte of a request has been read.
  void OnRequestBegins();
  // Whether bytes have arrived that were not read yet.
  bool HasInput();
  void ReadHead();
  void OnHead();
  void ReadMoreBody();
  void CompleteRead(std::error_code aError, std::string_view aPart, bool aLast);
  // Responds to a parser error with status 400, 413 or 431.
  void RejectBadInput(ErrorCode aError);
  // Sends an error response with the verdict "not_run".
  void Reject(int aStatus, std::string_view aReason);
  void Write(std::string aHead,
             std::string_view aPart,
             bool aLast,
             WriteCallback aDone);
  void OnWritten(ErrorCode aError, bool aLast);
  void EndExchange();
  // Reads and discards what the peer still sends, since closing a socket with
  // unread bytes would reset the connection before the peer has read the
  // response.
  void Linger();
  void OnPeerReadable(ErrorCode aError);
  void ReportUnanswered(UnansweredReason aReason);
  // Detects whether a peer that has shut down its sending side still reads.
  void ProbePeer();

  std::shared_ptr<StreamServerImpl> mServer;
  boost::asio::ip::tcp::socket mSocket;
  MessageReader<true> mReader;
  DeadlineTimer mReadTimer;
  DeadlineTimer mWriteTimer;
  OutgoingPart mOutgoing;
  BodyCallback mReadDone;
  WriteCallback mWriteDone;
  std::function<void()> mPeerLostDone;
  uint64_t mLingeredBytes = 0;
  Millis mRequestReceivedAt;
  // When the wait for the current request began, and the latest time at which
  // it is known that no byte of it had arrived.
  Millis mAwaitedSince;
  Millis mArrivedAfter;
  Framing mFraming = Framing::kNone;
  // True while no byte of a request has arrived.
  bool mIdle = true;
  // The connection stays open after the current response.
  bool mKeepAlive = true;
  // "100 Continue" must be sent before the body is read.
  bool mContinuePending = false;
  bool mInExchange = false;
  // Stays true after the response, until the next request head.
  bool mResponseStarted = false;
  // A wait for input from the peer, or for an error of its socket, is pending.
  bool mPeerWaitPending = false;
  // A read of the socket for the body is in progress.
  bool mReadingBody = false;
  bool mLingering = false;
  bool mClosed = false;
};

} // namespace limpetwood::http
