// One caller's request on its way: reads it, carries out the attempts that the
// router grants, one at a time, and writes the answer or the reason for none.
//
// An attempt that was given up is unreachable: its callbacks compare the
// attempt that they belong to with the present one, so a late answer goes
// nowhere.

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

// What a forwarding tells the part that owns it and talks to the router.
class ForwarderDelegate
{
public:
  virtual ~ForwarderDelegate() = default;

  // Enough of the body is here to ask for a server.
  virtual void OnReady(RequestForwarder& aForwarder) = 0;
  virtual void OnAttemptEnded(RequestForwarder& aForwarder,
                              uint32_t aAttempt,
                              const routing::AttemptOutcome& aOutcome) = 0;
  // The request cannot continue, for a reason of the caller's side. `aSent`:
  // bytes of the attempt in progress were handed to the kernel.
  virtual void OnCallerFailed(RequestForwarder& aForwarder, bool aSent) = 0;
  // The caller has its answer, or never will. `aVerdict` and `aReason` are what
  // it was told.
  virtual void OnFinished(RequestForwarder& aForwarder,
                          Verdict aVerdict,
                          std::string_view aReason) = 0;
  // Whether responses announce that the connection closes.
  virtual bool ClosesConnections() const = 0;
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

  // Reads the part of the body that is held for repetition, then reports
  // `OnReady`; or refuses the request.
  void Start();

  void StartAttempt(const routing::Grant& aGrant);

  bool HasAttempt() const { return mAttempt != nullptr; }

  // False once parts of the body were passed on without being held.
  bool Replayable() const;

  // The router's last word. The answer of an answered request is already being
  // written.
  void End(Verdict aVerdict, routing::Reason aReason);

  // Ends the request without waiting for anything.
  void Shutdown();

  // Closes everything without reporting to the owner.
  void Abandon();

  bool CallerDisconnected() const { return mCallerDisconnected; }

private:
  struct Attempt;
  using AttemptRef = std::shared_ptr<Attempt>;

  void FillReplayBuffer();
  void OnRequestBodyError(std::error_code aError);
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
  void FailAttempt(std::error_code aError);
  void EndAttempt(routing::AttemptResult aResult);
  void AbandonAttempt();
  bool HasSentBytes() const;
  // Time left for the attempt, or for the answer once it has begun.
  Millis RemainingTime() const;

  void Reply(int aStatus, Verdict aVerdict, std::string_view aReason);
  void Finish(Verdict aVerdict, std::string_view aReason);

  // Null once finished.
  ForwarderDelegate* mDelegate;
  const ProxyOptions& mOptions;
  BodyLimits mLimits;
  std::shared_ptr<http::Pool> mPool;
  std::shared_ptr<http::Exchange> mExchange;
  routing::RequestInfo mInfo;

  // The held beginning of the body, and whether it is all of it.
  std::string mReplayBuffer;
  bool mBodyFullyBuffered = false;
  uint64_t mReceivedBodyBytes = 0;
  bool mStreamedPastBuffer = false;

  AttemptRef mAttempt;
  // Last part of the answer, kept while it is written to the caller.
  std::string mFinalBodyPart;
  bool mAnswered = false;
  bool mCallerDisconnected = false;
  // Replace the router's reason and status where the cause is of this layer.
  std::string_view mReasonOverride;
  int mStatusOverride = 0;
};

} // namespace limpetwood::proxy
