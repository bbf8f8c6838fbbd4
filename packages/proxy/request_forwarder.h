// Forwards one caller's request: reads it, performs the attempts that the
// router grants, one at a time, and writes the response, or an error response
// with the reason.
//
// Each callback of an attempt compares that attempt with the current one and
// returns when they differ. The response to an abandoned attempt is therefore
// discarded.

#pragma once

#include "http/pool.h"
#include "http/stream_server.h"
#include "proxy/options.h"
#include "routing/request.h"

#include <memory>
#include <string>
#include <string_view>

namespace limpetwood::proxy {

class RequestForwarder;

// Receives the events of a forwarder. The implementation owns the forwarder and
// calls the router.
class ForwarderDelegate
{
public:
  virtual ~ForwarderDelegate() = default;

  // The body is complete or the replay buffer is full: the request can be
  // admitted by the router.
  virtual void OnReadyForAdmission(RequestForwarder& aForwarder) = 0;
  // The attempt with the number `aAttempt` has ended. The router decides about
  // a retry or the final verdict.
  virtual void OnAttemptEnded(RequestForwarder& aForwarder,
                              uint32_t aAttempt,
                              const routing::AttemptOutcome& aOutcome) = 0;
  // The request cannot continue because of the caller: it disconnected, was too
  // slow or sent an invalid body. `aSent` is true when the kernel accepted
  // bytes of the current attempt for sending.
  virtual void OnCallerFailed(RequestForwarder& aForwarder, bool aSent) = 0;
  // The response has been written, or the caller's connection is closed.
  // `aVerdict` and `aReason` are those of the response.
  virtual void OnFinished(RequestForwarder& aForwarder,
                          Verdict aVerdict,
                          std::string_view aReason) = 0;
  // True if responses must carry "Connection: close".
  virtual bool ShouldCloseConnections() const = 0;
};

class RequestForwarder : public std::enable_shared_from_this<RequestForwarder>
{
public:
  RequestForwarder(ForwarderDelegate& aDelegate,
                   const ProxyOptions& aOptions,
                   BodyLimits aLimits,
                   std::shared_ptr<http::Pool> aPool,
                   std::shared_ptr<http::Exchange> aExchange,
                   routing::RequestInfo aInfo);

  const routing::RequestInfo& Info() const { return mInfo; }
  const std::string& Target() const { return mExchange->Head().target; }

  // Reads the body up to the size of the replay buffer and then calls
  // `OnReadyForAdmission`, or rejects the request.
  void Start();

  // Starts the attempt that the router granted. Ignored if the request has
  // finished, its caller has disconnected or its body can no longer be sent.
  void StartAttempt(const routing::Grant& aGrant);

  bool HasAttempt() const { return mAttempt != nullptr; }

  // False once a part of the body has been streamed without being buffered.
  bool Replayable() const;

  // Ends the request with the router's final verdict. No effect once a complete
  // response has been received, since that response is already being written.
  void End(Verdict aVerdict, routing::Reason aReason);

  // Ends the request at once, for the reason "shutdown".
  void Shutdown();

  // Closes both connections without calling the delegate.
  void Abandon();

  bool CallerDisconnected() const { return mCallerDisconnected; }

private:
  struct Attempt;
  using AttemptRef = std::shared_ptr<Attempt>;

  void FillReplayBuffer();
  void OnRequestBodyError(std::error_code aError);
  // Counts received body bytes; false if the request exceeds its size limit.
  bool AddReceivedBytes(size_t aBytes);
  void WatchForCallerDisconnect();
  void OnCallerDisconnected();

  void OnAcquired(const AttemptRef& aAttempt,
                  std::error_code aError,
                  std::shared_ptr<http::Connection> aConnection);
  void SendRequest(const AttemptRef& aAttempt);
  void OnRequestPartSent(const AttemptRef& aAttempt, std::error_code aError);
  void StreamRequestBody(const AttemptRef& aAttempt);
  void OnResponseHead(const AttemptRef& aAttempt,
                      std::error_code aError,
                      http::ResponseHead aHead);
  void ReadResponseBody(const AttemptRef& aAttempt);
  void StreamResponse(const AttemptRef& aAttempt, std::string_view aPart);
  void CompleteResponse(const AttemptRef& aAttempt, std::string_view aPart);
  void WriteToCaller(http::ResponseHead& aHead,
                     std::string_view aPart,
                     bool aLast,
                     http::WriteCallback aDone);
  // Ends the attempt after an error of its connection.
  void FailAttempt(std::error_code aError);
  // Returns the connection to the pool and reports the outcome of the attempt.
  void EndAttempt(routing::AttemptResult aResult);
  // Closes the connection without reporting an outcome.
  void AbandonAttempt();
  bool HasSentBytes() const;
  // Time until the current attempt fails or, once the response to the caller
  // has started, time allowed for its next part.
  Millis RemainingTime() const;

  // Sends an error response and then finishes the request.
  void Reply(int aStatus, Verdict aVerdict, std::string_view aReason);
  // Reports the end of the request to the delegate, once.
  void Finish(Verdict aVerdict, std::string_view aReason);

  // Null once the request has finished or was abandoned.
  ForwarderDelegate* mDelegate;
  const ProxyOptions& mOptions;
  BodyLimits mLimits;
  std::shared_ptr<http::Pool> mPool;
  std::shared_ptr<http::Exchange> mExchange;
  routing::RequestInfo mInfo;

  // The beginning of the request body, kept for retries, and whether it is the
  // complete body.
  std::string mReplayBuffer;
  bool mBodyFullyBuffered = false;
  // Bytes of the request body received from the caller.
  uint64_t mReceivedBodyBytes = 0;
  // A part of the body beyond the replay buffer has been requested from the
  // caller, so the body can no longer be sent again.
  bool mStreamedPastBuffer = false;

  AttemptRef mAttempt;
  // Copy of the last part of the response body while it is written to the
  // caller.
  std::string mFinalBodyPart;
  // A complete response has been received from the server.
  bool mResponseReceived = false;
  bool mCallerDisconnected = false;
  // Used in place of the router's reason and status for failures that the
  // forwarder itself detects. Empty and 0 when there is none.
  std::string_view mReasonOverride;
  int mStatusOverride = 0;
};

} // namespace limpetwood::proxy
