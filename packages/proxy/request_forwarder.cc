#include "proxy/request_forwarder.h"

#include "base/error.h"
#include "proxy/headers.h"

#include <algorithm>
#include <utility>

namespace limpetwood::proxy {

using routing::AttemptResult;

struct RequestForwarder::Attempt
{
  uint32_t number = 0;
  Millis startTime;
  // The attempt fails if no part of the response has been passed to the caller
  // by this time.
  Millis deadline;
  // Time limit of the attempt, set by the router. Restarts with each streamed
  // part of the request body until the response head arrives.
  Millis timeLimit;
  std::shared_ptr<http::Connection> connection;
  http::ResponseHead responseHead;
  // The last part of the request body has been passed to the connection.
  bool bodySent = false;
  bool headReceived = false;
  // The next part of the request body is being read from the caller.
  bool waitingForCaller = false;
};

RequestForwarder::RequestForwarder(ForwarderDelegate& aDelegate,
                                   const ProxyOptions& aOptions,
                                   BodyLimits aLimits,
                                   std::shared_ptr<http::Pool> aPool,
                                   std::shared_ptr<http::Exchange> aExchange,
                                   routing::RequestInfo aInfo)
  : mDelegate(&aDelegate)
  , mOptions(aOptions)
  , mLimits(aLimits)
  , mPool(std::move(aPool))
  , mExchange(std::move(aExchange))
  , mInfo(std::move(aInfo))
{
}

void
RequestForwarder::Start()
{
  const auto& head = mExchange->Head();
  if (head.contentLength.value_or(0) > mLimits.maxRequestBytes) {
    Reply(413, Verdict::kNotRun, "request_too_large");
    return;
  }
  if (head.HasBody()) {
    FillReplayBuffer();
    return;
  }
  mBodyFullyBuffered = true;
  WatchForCallerDisconnect();
  mDelegate->OnReadyForAdmission(*this);
}

void
RequestForwarder::FillReplayBuffer()
{
  mExchange->ReadBody([self = shared_from_this()](std::error_code aError,
                                                  std::string_view aPart,
                                                  bool aLast) {
    if (!self->mDelegate) {
      return;
    }
    if (aError || !self->AddReceivedBytes(aPart.size())) {
      self->OnRequestBodyError(aError ? aError
                                      : make_error_code(Errc::kTooLarge));
      return;
    }
    self->mReplayBuffer.append(aPart);
    if (!aLast &&
        self->mReplayBuffer.size() < self->mOptions.replayBufferBytes) {
      self->FillReplayBuffer();
      return;
    }
    self->mBodyFullyBuffered = aLast;
    if (aLast) {
      self->WatchForCallerDisconnect();
    }
    self->mDelegate->OnReadyForAdmission(*self);
  });
}

bool
RequestForwarder::AddReceivedBytes(size_t aBytes)
{
  mReceivedBodyBytes += aBytes;
  return mReceivedBodyBytes <= mLimits.maxRequestBytes;
}

void
RequestForwarder::OnRequestBodyError(std::error_code aError)
{
  // Without an attempt the body was still being buffered, and the router has
  // not admitted the request.
  bool admitted = mAttempt != nullptr;
  bool sent = HasSentBytes();
  AbandonAttempt();
  Verdict verdict = sent ? Verdict::kMayHaveRun : Verdict::kNotRun;
  if (aError == Errc::kTooLarge) {
    mStatusOverride = 413;
    mReasonOverride = "request_too_large";
  } else if (aError == Errc::kCorrupt) {
    mStatusOverride = 400;
    mReasonOverride = "malformed_request";
  } else {
    mCallerDisconnected = true;
  }
  if (admitted) {
    mDelegate->OnCallerFailed(*this, sent);
  } else if (mCallerDisconnected) {
    mExchange->Abort();
    Finish(verdict, "cancelled");
  } else {
    Reply(mStatusOverride, verdict, mReasonOverride);
  }
}

void
RequestForwarder::WatchForCallerDisconnect()
{
  if (mOptions.testOnly.ignoreCallerDisconnect) {
    return;
  }
  std::weak_ptr<RequestForwarder> weak = shared_from_this();
  mExchange->WatchPeer([weak] {
    if (auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
}

void
RequestForwarder::OnCallerDisconnected()
{
  if (!mDelegate) {
    return;
  }
  mCallerDisconnected = true;
  if (mResponseReceived) {
    // The response from the server was complete, so the router already has the
    // outcome; only the write to the caller failed.
    mExchange->Abort();
    Finish(Verdict::kAnswered, "cancelled");
    return;
  }
  bool sent = HasSentBytes();
  AbandonAttempt();
  mDelegate->OnCallerFailed(*this, sent);
}

bool
RequestForwarder::Replayable() const
{
  return !mStreamedPastBuffer || mOptions.testOnly.retryPartialBodies;
}

bool
RequestForwarder::HasSentBytes() const
{
  return mAttempt && mAttempt->connection &&
         mAttempt->connection->HasSentBytes();
}

Millis
RequestForwarder::RemainingTime() const
{
  Millis now = MonotonicNow();
  if (!mExchange->ResponseStarted()) {
    return std::max(mAttempt->deadline - now, Millis(0));
  }
  // A response that has started is limited by the caller's deadline, if there
  // is one, and by the time between two parts.
  Millis remaining = mInfo.deadline.value_or(Millis::Max()) - now;
  return std::clamp(remaining, Millis(0), mOptions.stallTimeout);
}

void
RequestForwarder::StartAttempt(const routing::Grant& aGrant)
{
  if (!mDelegate || mCallerDisconnected || !Replayable()) {
    // After the router issued the grant, the request finished, the caller
    // disconnected or the body became impossible to send again.
    return;
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->number = aGrant.attempt;
  attempt->startTime = MonotonicNow();
  attempt->timeLimit = aGrant.timeLimit;
  attempt->deadline = attempt->startTime + aGrant.timeLimit;
  mAttempt = attempt;
  auto endpoint = http::ParseEndpoint(aGrant.server->address);
  if (!endpoint) {
    EndAttempt(AttemptResult::kNotSent);
    return;
  }
  mPool->SetLimit(endpoint.Value(), std::max(aGrant.connectionLimit, 1U));
  mPool->Acquire(endpoint.Value(),
                 aGrant.timeLimit,
                 [self = shared_from_this(),
                  attempt](std::error_code aError,
                           std::shared_ptr<http::Connection> aConnection) {
                   self->OnAcquired(attempt, aError, std::move(aConnection));
                 });
}

void
RequestForwarder::OnAcquired(const AttemptRef& aAttempt,
                             std::error_code aError,
                             std::shared_ptr<http::Connection> aConnection)
{
  if (mAttempt != aAttempt) {
    if (aConnection) {
      mPool->Release(aConnection);
    }
    return;
  }
  if (aError) {
    EndAttempt(AttemptResult::kNotSent);
    return;
  }
  aAttempt->connection = std::move(aConnection);
  SendRequest(aAttempt);
}

void
RequestForwarder::SendRequest(const AttemptRef& aAttempt)
{
  Millis remaining = RemainingTime();
  auto& connection = *aAttempt->connection;
  connection.Send(
    MakeServerRequestHead(mExchange->Head(), remaining),
    mReplayBuffer,
    mBodyFullyBuffered,
    remaining,
    [self = shared_from_this(), aAttempt](std::error_code aError) {
      self->OnRequestPartSent(aAttempt, aError);
    });
  aAttempt->bodySent = mBodyFullyBuffered;
  connection.ReadHead(
    remaining,
    mLimits.maxResponseBytes,
    [self = shared_from_this(), aAttempt](std::error_code aError,
                                          http::ResponseHead aHead) {
      self->OnResponseHead(aAttempt, aError, std::move(aHead));
    });
}

void
RequestForwarder::OnRequestPartSent(const AttemptRef& aAttempt,
                                    std::error_code aError)
{
  // After a write error the attempt ends with the result of the read, since the
  // server may have sent a refusal before it closed the connection.
  if (mAttempt != aAttempt || aError || aAttempt->bodySent) {
    return;
  }
  StreamRequestBody(aAttempt);
}

void
RequestForwarder::StreamRequestBody(const AttemptRef& aAttempt)
{
  mStreamedPastBuffer = true;
  aAttempt->waitingForCaller = true;
  mExchange->ReadBody(
    [self = shared_from_this(),
     aAttempt](std::error_code aError, std::string_view aPart, bool aLast) {
      if (self->mAttempt != aAttempt) {
        return;
      }
      aAttempt->waitingForCaller = false;
      if (aError || !self->AddReceivedBytes(aPart.size())) {
        self->OnRequestBodyError(aError ? aError
                                        : make_error_code(Errc::kTooLarge));
        return;
      }
      aAttempt->bodySent = aLast;
      if (aLast) {
        self->WatchForCallerDisconnect();
      }
      if (!aAttempt->headReceived) {
        // The time limit restarts with each part, since the server cannot
        // respond before it has the whole request.
        aAttempt->deadline = MonotonicNow() + aAttempt->timeLimit;
        if (self->mInfo.deadline) {
          aAttempt->deadline =
            std::min(aAttempt->deadline, *self->mInfo.deadline);
        }
        aAttempt->connection->ExtendRead(self->RemainingTime());
      }
      aAttempt->connection->SendBody(
        aPart,
        aLast,
        std::min(self->mOptions.stallTimeout, aAttempt->timeLimit),
        [self, aAttempt](std::error_code aError) {
          self->OnRequestPartSent(aAttempt, aError);
        });
    });
}

void
RequestForwarder::OnResponseHead(const AttemptRef& aAttempt,
                                 std::error_code aError,
                                 http::ResponseHead aHead)
{
  if (mAttempt != aAttempt) {
    return;
  }
  if (aError) {
    FailAttempt(aError);
    return;
  }
  aAttempt->headReceived = true;
  if (IsNotRunRefusal(aHead)) {
    EndAttempt(AttemptResult::kServerRefused);
    return;
  }
  RewriteResponseHead(aHead);
  bool empty = aHead.contentLength == uint64_t{ 0 };
  aAttempt->responseHead = std::move(aHead);
  if (empty) {
    CompleteResponse(aAttempt, {});
  } else {
    ReadResponseBody(aAttempt);
  }
}

void
RequestForwarder::ReadResponseBody(const AttemptRef& aAttempt)
{
  aAttempt->connection->ReadBody(
    RemainingTime(),
    [self = shared_from_this(),
     aAttempt](std::error_code aError, std::string_view aPart, bool aLast) {
      if (self->mAttempt != aAttempt) {
        return;
      }
      bool ignoreTruncation =
        self->mOptions.testOnly.acceptTruncatedResponses &&
        aError == Errc::kTruncated;
      if (aError && !ignoreTruncation) {
        self->FailAttempt(aError);
      } else if (aLast || ignoreTruncation) {
        self->CompleteResponse(aAttempt, aPart);
      } else {
        self->StreamResponse(aAttempt, aPart);
      }
    });
}

void
RequestForwarder::WriteToCaller(http::ResponseHead& aHead,
                                std::string_view aPart,
                                bool aLast,
                                http::WriteCallback aDone)
{
  if (mExchange->ResponseStarted()) {
    mExchange->WriteBody(aPart, aLast, std::move(aDone));
    return;
  }
  aHead.close = mDelegate->ShouldCloseConnections();
  mExchange->Respond(aHead, aPart, aLast, std::move(aDone));
}

void
RequestForwarder::StreamResponse(const AttemptRef& aAttempt,
                                 std::string_view aPart)
{
  WriteToCaller(aAttempt->responseHead,
                aPart,
                false,
                [self = shared_from_this(), aAttempt](std::error_code aError) {
                  if (self->mAttempt != aAttempt) {
                    return;
                  }
                  if (aError) {
                    self->OnCallerDisconnected();
                  } else {
                    self->ReadResponseBody(aAttempt);
                  }
                });
}

void
RequestForwarder::CompleteResponse(const AttemptRef& aAttempt,
                                   std::string_view aPart)
{
  // Copied because `EndAttempt` returns the connection, and its buffer, to the
  // pool.
  mFinalBodyPart.assign(aPart);
  mResponseReceived = true;
  EndAttempt(AttemptResult::kAnswered);
  if (!mDelegate) {
    return;
  }
  WriteToCaller(aAttempt->responseHead,
                mFinalBodyPart,
                true,
                [self = shared_from_this()](std::error_code aError) {
                  if (aError) {
                    self->OnCallerDisconnected();
                  } else {
                    self->Finish(Verdict::kAnswered, {});
                  }
                });
}

void
RequestForwarder::FailAttempt(std::error_code aError)
{
  if (aError == Errc::kTooLarge) {
    mReasonOverride = "answer_too_large";
  }
  if (aError == Errc::kTimeout && mAttempt->waitingForCaller) {
    // The caller sent its body too slowly; this must not count as a failure of
    // the server.
    bool sent = HasSentBytes();
    mStatusOverride = 504;
    mReasonOverride = "deadline_passed";
    AbandonAttempt();
    mDelegate->OnCallerFailed(*this, sent);
    return;
  }
  if (!HasSentBytes()) {
    EndAttempt(AttemptResult::kNotSent);
  } else if (aError == Errc::kTimeout) {
    mPool->ReleaseUnresponsive(std::exchange(mAttempt->connection, nullptr));
    EndAttempt(AttemptResult::kTimedOut);
  } else {
    EndAttempt(AttemptResult::kConnectionLost);
  }
}

void
RequestForwarder::EndAttempt(AttemptResult aResult)
{
  auto attempt = std::exchange(mAttempt, nullptr);
  if (attempt->connection) {
    // The pool closes the connection unless the exchange is complete, so no
    // pending write refers to the caller's buffers after this.
    mPool->Release(attempt->connection);
  }
  routing::AttemptOutcome outcome;
  outcome.result = aResult;
  outcome.latency = MonotonicNow() - attempt->startTime;
  outcome.serverError = attempt->responseHead.status >= 500;
  // A response above the size limit is not retried: the next one would exceed
  // it too.
  outcome.answerStarted =
    mExchange->ResponseStarted() || mReasonOverride == "answer_too_large";
  mDelegate->OnAttemptEnded(*this, attempt->number, outcome);
}

void
RequestForwarder::AbandonAttempt()
{
  auto attempt = std::exchange(mAttempt, nullptr);
  if (attempt && attempt->connection) {
    attempt->connection->Close();
    mPool->Release(attempt->connection);
  }
}

void
RequestForwarder::End(Verdict aVerdict, routing::Reason aReason)
{
  if (!mDelegate || mResponseReceived) {
    return;
  }
  AbandonAttempt();
  std::string_view reason = routing::ReasonName(aReason);
  int status = routing::HttpStatusFor(aVerdict, aReason);
  if (!mReasonOverride.empty()) {
    reason = mReasonOverride;
    status = mStatusOverride != 0 ? mStatusOverride : status;
  } else if (aReason == routing::Reason::kCancelled && !Replayable()) {
    reason = "body_not_replayable";
  }
  if (mCallerDisconnected || mExchange->ResponseStarted()) {
    mExchange->Abort();
    Finish(aVerdict, reason);
    return;
  }
  Reply(status, aVerdict, reason);
}

void
RequestForwarder::Shutdown()
{
  if (!mDelegate) {
    return;
  }
  if (mResponseReceived) {
    mExchange->Abort();
    Finish(Verdict::kAnswered, routing::ReasonName(routing::Reason::kShutdown));
    return;
  }
  End(Verdict::kNotRun, routing::Reason::kShutdown);
}

void
RequestForwarder::Abandon()
{
  mDelegate = nullptr;
  AbandonAttempt();
  mExchange->Abort();
}

void
RequestForwarder::Reply(int aStatus, Verdict aVerdict, std::string_view aReason)
{
  http::ResponseHead head;
  auto body = std::make_shared<std::string>(
    MakeErrorResponse(head, aStatus, aVerdict, aReason));
  head.close = mDelegate->ShouldCloseConnections();
  mExchange->Respond(
    head,
    *body,
    true,
    [self = shared_from_this(), body, aVerdict, reason = std::string(aReason)](
      std::error_code) { self->Finish(aVerdict, reason); });
}

void
RequestForwarder::Finish(Verdict aVerdict, std::string_view aReason)
{
  if (auto* delegate = std::exchange(mDelegate, nullptr)) {
    delegate->OnFinished(*this, aVerdict, aReason);
  }
}

} // namespace limpetwood::proxy
