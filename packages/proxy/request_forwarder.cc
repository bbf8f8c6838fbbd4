#include "proxy/request_forwarder.h"

#include "base/error.h"
#include "proxy/headers.h"

#include <algorithm>
#include <utility>

namespace limpetwood::proxy {

using routing::AttemptResult;

struct Forwarding::Attempt
{
  uint32_t number = 0;
  Millis begun;
  // No part of an answer by then means that the attempt has failed.
  Millis limit;
  Millis timeLimit;
  std::shared_ptr<http::Connection> connection;
  http::ResponseHead head;
  bool allSent = false;
  bool headReceived = false;
  bool waitsForCaller = false;
};

Forwarding::Forwarding(ForwardingOwner& aOwner,
                       const ProxyOptions& aOptions,
                       BodyLimits aLimits,
                       std::shared_ptr<http::Pool> aPool,
                       std::shared_ptr<http::Exchange> aExchange,
                       routing::RequestInfo aInfo)
  : mOwner(&aOwner)
  , mOptions(aOptions)
  , mLimits(aLimits)
  , mPool(std::move(aPool))
  , mExchange(std::move(aExchange))
  , mInfo(std::move(aInfo))
{
}

void
Forwarding::Start()
{
  const auto& head = mExchange->Head();
  if (head.contentLength.value_or(0) > mLimits.maxRequestBytes) {
    Reply(413, Verdict::kNotRun, "request_too_large");
    return;
  }
  if (head.HasBody()) {
    ReadPrefix();
    return;
  }
  mPrefixIsAll = true;
  WatchCaller();
  mOwner->OnReady(*this);
}

void
Forwarding::ReadPrefix()
{
  mExchange->ReadBody([self = shared_from_this()](std::error_code aError,
                                                  std::string_view aPart,
                                                  bool aLast) {
    if (!self->mOwner) {
      return;
    }
    if (aError || !self->CountBody(aPart.size())) {
      self->OnBodyFailed(aError ? aError : make_error_code(Errc::kTooLarge));
      return;
    }
    self->mPrefix.append(aPart);
    if (!aLast && self->mPrefix.size() < self->mOptions.replayBytes) {
      self->ReadPrefix();
      return;
    }
    self->mPrefixIsAll = aLast;
    if (aLast) {
      self->WatchCaller();
    }
    self->mOwner->OnReady(*self);
  });
}

bool
Forwarding::CountBody(size_t aBytes)
{
  mBodyBytes += aBytes;
  return mBodyBytes <= mLimits.maxRequestBytes;
}

void
Forwarding::OnBodyFailed(std::error_code aError)
{
  // Before the first attempt the router does not know the request.
  bool known = mAttempt != nullptr;
  bool sent = HasSentBytes();
  AbandonAttempt();
  Verdict verdict = sent ? Verdict::kMayHaveRun : Verdict::kNotRun;
  if (aError == Errc::kTooLarge) {
    mOwnStatus = 413;
    mOwnReason = "request_too_large";
  } else if (aError == Errc::kCorrupt) {
    mOwnStatus = 400;
    mOwnReason = "malformed_request";
  } else {
    mCallerLost = true;
  }
  if (known) {
    mOwner->OnCallerFailed(*this, sent);
  } else if (mCallerLost) {
    mExchange->Abort();
    Finish(verdict, "cancelled");
  } else {
    Reply(mOwnStatus, verdict, mOwnReason);
  }
}

void
Forwarding::WatchCaller()
{
  if (mOptions.testOnly.keepAfterCallerLost) {
    return;
  }
  std::weak_ptr<Forwarding> weak = shared_from_this();
  mExchange->WatchPeer([weak] {
    if (auto self = weak.lock()) {
      self->LoseCaller();
    }
  });
}

void
Forwarding::LoseCaller()
{
  if (!mOwner) {
    return;
  }
  mCallerLost = true;
  if (mAnswered) {
    // The router has its outcome; only the caller's side broke.
    mExchange->Abort();
    Finish(Verdict::kAnswered, "cancelled");
    return;
  }
  bool sent = HasSentBytes();
  AbandonAttempt();
  mOwner->OnCallerFailed(*this, sent);
}

bool
Forwarding::Replayable() const
{
  return !mPassedOn || mOptions.testOnly.repeatPartialBodies;
}

bool
Forwarding::HasSentBytes() const
{
  return mAttempt && mAttempt->connection &&
         mAttempt->connection->HasSentBytes();
}

Millis
Forwarding::TimeLeft() const
{
  Millis now = MonotonicNow();
  if (!mExchange->Responded()) {
    return std::max(mAttempt->limit - now, Millis(0));
  }
  // A caller that states a deadline has no use for the rest of an answer after
  // it; without one, only progress matters.
  Millis left = mInfo.deadline.value_or(Millis::Max()) - now;
  return std::clamp(left, Millis(0), mOptions.stallTimeout);
}

void
Forwarding::StartAttempt(const routing::Grant& aGrant)
{
  if (!mOwner || mCallerLost || !Replayable()) {
    // Cancelled at the router after it had granted this.
    return;
  }
  auto attempt = std::make_shared<Attempt>();
  attempt->number = aGrant.attempt;
  attempt->begun = MonotonicNow();
  attempt->timeLimit = aGrant.timeLimit;
  attempt->limit = attempt->begun + aGrant.timeLimit;
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
Forwarding::OnAcquired(const AttemptRef& aAttempt,
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
  Send(aAttempt);
}

void
Forwarding::Send(const AttemptRef& aAttempt)
{
  Millis left = TimeLeft();
  auto& connection = *aAttempt->connection;
  connection.Send(
    MakeForwardedHead(mExchange->Head(), left),
    mPrefix,
    mPrefixIsAll,
    left,
    [self = shared_from_this(), aAttempt](std::error_code aError) {
      self->OnSent(aAttempt, aError);
    });
  aAttempt->allSent = mPrefixIsAll;
  connection.ReadHead(left,
                      mLimits.maxResponseBytes,
                      [self = shared_from_this(), aAttempt](
                        std::error_code aError, http::ResponseHead aHead) {
                        self->OnAnswerHead(aAttempt, aError, std::move(aHead));
                      });
}

void
Forwarding::OnSent(const AttemptRef& aAttempt, std::error_code aError)
{
  // After an error the reading side decides: a refusal may have arrived.
  if (mAttempt != aAttempt || aError || aAttempt->allSent) {
    return;
  }
  PassBodyOn(aAttempt);
}

void
Forwarding::PassBodyOn(const AttemptRef& aAttempt)
{
  mPassedOn = true;
  aAttempt->waitsForCaller = true;
  mExchange->ReadBody(
    [self = shared_from_this(),
     aAttempt](std::error_code aError, std::string_view aPart, bool aLast) {
      if (self->mAttempt != aAttempt) {
        return;
      }
      aAttempt->waitsForCaller = false;
      if (aError || !self->CountBody(aPart.size())) {
        self->OnBodyFailed(aError ? aError : make_error_code(Errc::kTooLarge));
        return;
      }
      aAttempt->allSent = aLast;
      if (aLast) {
        self->WatchCaller();
      }
      if (!aAttempt->headReceived) {
        // The server cannot be expected to answer before it has the request.
        aAttempt->limit = MonotonicNow() + aAttempt->timeLimit;
        if (self->mInfo.deadline) {
          aAttempt->limit = std::min(aAttempt->limit, *self->mInfo.deadline);
        }
        aAttempt->connection->ExtendRead(self->TimeLeft());
      }
      aAttempt->connection->SendBody(
        aPart,
        aLast,
        std::min(self->mOptions.stallTimeout, aAttempt->timeLimit),
        [self, aAttempt](std::error_code aError) {
          self->OnSent(aAttempt, aError);
        });
    });
}

void
Forwarding::OnAnswerHead(const AttemptRef& aAttempt,
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
  if (IsRefusal(aHead)) {
    EndAttempt(AttemptResult::kServerRefused);
    return;
  }
  MakeAnswerHead(aHead);
  bool empty = aHead.contentLength == uint64_t{ 0 };
  aAttempt->head = std::move(aHead);
  if (empty) {
    CompleteAnswer(aAttempt, {});
  } else {
    ReadAnswer(aAttempt);
  }
}

void
Forwarding::ReadAnswer(const AttemptRef& aAttempt)
{
  aAttempt->connection->ReadBody(
    TimeLeft(),
    [self = shared_from_this(),
     aAttempt](std::error_code aError, std::string_view aPart, bool aLast) {
      if (self->mAttempt != aAttempt) {
        return;
      }
      bool accepted = self->mOptions.testOnly.acceptShortAnswers &&
                      aError == Errc::kTruncated;
      if (aError && !accepted) {
        self->FailAttempt(aError);
      } else if (aLast || accepted) {
        self->CompleteAnswer(aAttempt, aPart);
      } else {
        self->PassAnswerOn(aAttempt, aPart);
      }
    });
}

void
Forwarding::WriteToCaller(http::ResponseHead& aHead,
                          std::string_view aPart,
                          bool aLast,
                          http::WriteCallback aDone)
{
  if (mExchange->Responded()) {
    mExchange->WriteBody(aPart, aLast, std::move(aDone));
    return;
  }
  aHead.close = mOwner->ClosesConnections();
  mExchange->Respond(aHead, aPart, aLast, std::move(aDone));
}

void
Forwarding::PassAnswerOn(const AttemptRef& aAttempt, std::string_view aPart)
{
  WriteToCaller(aAttempt->head,
                aPart,
                false,
                [self = shared_from_this(), aAttempt](std::error_code aError) {
                  if (self->mAttempt != aAttempt) {
                    return;
                  }
                  if (aError) {
                    self->LoseCaller();
                  } else {
                    self->ReadAnswer(aAttempt);
                  }
                });
}

void
Forwarding::CompleteAnswer(const AttemptRef& aAttempt, std::string_view aPart)
{
  // Copied, because the connection serves other requests from here on.
  mTail.assign(aPart);
  mAnswered = true;
  EndAttempt(AttemptResult::kAnswered);
  if (!mOwner) {
    return;
  }
  WriteToCaller(aAttempt->head,
                mTail,
                true,
                [self = shared_from_this()](std::error_code aError) {
                  if (aError) {
                    self->LoseCaller();
                  } else {
                    self->Finish(Verdict::kAnswered, {});
                  }
                });
}

void
Forwarding::FailAttempt(std::error_code aError)
{
  if (aError == Errc::kTooLarge) {
    mOwnReason = "answer_too_large";
  }
  if (aError == Errc::kTimeout && mAttempt->waitsForCaller) {
    // The caller was too slow, which must not count against the server.
    bool sent = HasSentBytes();
    mOwnStatus = 504;
    mOwnReason = "deadline_passed";
    AbandonAttempt();
    mOwner->OnCallerFailed(*this, sent);
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
Forwarding::EndAttempt(AttemptResult aResult)
{
  auto attempt = std::exchange(mAttempt, nullptr);
  if (attempt->connection) {
    // Kept only if the exchange is complete. Otherwise it is closed here, and
    // nothing refers to the caller's buffers any more.
    mPool->Release(attempt->connection);
  }
  routing::AttemptOutcome outcome;
  outcome.result = aResult;
  outcome.latency = MonotonicNow() - attempt->begun;
  outcome.serverError = attempt->head.status >= 500;
  // A repetition would meet the same limit.
  outcome.answerStarted =
    mExchange->Responded() || mOwnReason == "answer_too_large";
  mOwner->OnAttemptEnded(*this, attempt->number, outcome);
}

void
Forwarding::AbandonAttempt()
{
  auto attempt = std::exchange(mAttempt, nullptr);
  if (attempt && attempt->connection) {
    attempt->connection->Close();
    mPool->Release(attempt->connection);
  }
}

void
Forwarding::End(Verdict aVerdict, routing::Reason aReason)
{
  if (!mOwner || mAnswered) {
    return;
  }
  AbandonAttempt();
  std::string_view reason = routing::ReasonName(aReason);
  int status = routing::HttpStatusFor(aVerdict, aReason);
  if (!mOwnReason.empty()) {
    reason = mOwnReason;
    status = mOwnStatus != 0 ? mOwnStatus : status;
  } else if (aReason == routing::Reason::kCancelled && !Replayable()) {
    reason = "body_not_replayable";
  }
  if (mCallerLost || mExchange->Responded()) {
    mExchange->Abort();
    Finish(aVerdict, reason);
    return;
  }
  Reply(status, aVerdict, reason);
}

void
Forwarding::Shutdown()
{
  if (!mOwner) {
    return;
  }
  if (mAnswered) {
    mExchange->Abort();
    Finish(Verdict::kAnswered, routing::ReasonName(routing::Reason::kShutdown));
    return;
  }
  End(Verdict::kNotRun, routing::Reason::kShutdown);
}

void
Forwarding::Abandon()
{
  mOwner = nullptr;
  AbandonAttempt();
  mExchange->Abort();
}

void
Forwarding::Reply(int aStatus, Verdict aVerdict, std::string_view aReason)
{
  http::ResponseHead head;
  auto body = std::make_shared<std::string>(
    MakeErrorAnswer(head, aStatus, aVerdict, aReason));
  head.close = mOwner->ClosesConnections();
  mExchange->Respond(
    head,
    *body,
    true,
    [self = shared_from_this(), body, aVerdict, reason = std::string(aReason)](
      std::error_code) { self->Finish(aVerdict, reason); });
}

void
Forwarding::Finish(Verdict aVerdict, std::string_view aReason)
{
  if (auto* owner = std::exchange(mOwner, nullptr)) {
    owner->OnFinished(*this, aVerdict, aReason);
  }
}

} // namespace limpetwood::proxy
