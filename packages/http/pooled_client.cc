#include "http/pooled_client.h"

#include "base/error.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace limpetwood::http {

namespace {

struct Message
{
  RequestHead head;
  std::string body;
};

Message
MessageFrom(Request aRequest, const Endpoint& aEndpoint)
{
  Message out;
  out.body = std::move(aRequest.body);
  out.head.method = std::move(aRequest.method);
  out.head.target = std::move(aRequest.target);
  out.head.headers = std::move(aRequest.headers);
  out.head.contentLength = out.body.size();
  if (out.head.headers.Get("Host").empty()) {
    out.head.headers.Set("Host", FormatEndpoint(aEndpoint));
  }
  return out;
}

// One request and its response. With a `PeerCheck`, a probe and its response
// precede them on a connection whose peer is not verified.
class PooledFetch : public std::enable_shared_from_this<PooledFetch>
{
public:
  PooledFetch(std::shared_ptr<Pool> aPool,
              const Endpoint& aEndpoint,
              Request aRequest,
              std::optional<PeerCheck> aCheck,
              FetchOptions aOptions,
              FetchCallback aDone)
    : mPool(std::move(aPool))
    , mEndpoint(aEndpoint)
    , mOptions(aOptions)
    , mDeadline(MonotonicNow() + aOptions.timeout)
    , mRequest(MessageFrom(std::move(aRequest), aEndpoint))
    , mCheck(std::move(aCheck))
    , mDone(std::move(aDone))
  {
  }

  void Start()
  {
    mPool->Acquire(
      mEndpoint,
      RemainingTime(),
      [self = shared_from_this()](std::error_code ec,
                                  std::shared_ptr<Connection> it) {
        if (ec) {
          self->Finish(Verdict::kNotRun, ec);
          return;
        }
        self->mConnection = std::move(it);
        self->OnConnected();
      },
      mCheck ? mCheck->peer : std::string_view());
  }

private:
  Millis RemainingTime() const
  {
    return std::max(mDeadline - MonotonicNow(), Millis(1));
  }

  void OnConnected()
  {
    bool verified =
      !mCheck || mConnection->VerifiedPeer() == mCheck->peer || mPeerAnswered;
    if (verified) {
      Send(mRequest);
      return;
    }
    mProbing = true;
    mProbe = MessageFrom(mCheck->makeProbe(), mEndpoint);
    Send(mProbe);
  }

  void Send(const Message& aMessage)
  {
    mConnection->Send(aMessage.head,
                      aMessage.body,
                      true,
                      RemainingTime(),
                      [self = shared_from_this()](std::error_code ec) {
                        if (ec) {
                          self->Fail(ec);
                        }
                      });
    mConnection->ReadHead(
      RemainingTime(),
      mOptions.maxBodyBytes,
      [self = shared_from_this()](std::error_code ec, ResponseHead aHead) {
        self->OnHead(ec, std::move(aHead));
      });
  }

  void OnHead(std::error_code aError, ResponseHead aHead)
  {
    if (mFinished) {
      return;
    }
    if (aError) {
      Fail(aError);
      return;
    }
    mResponse.status = aHead.status;
    mResponse.headers = std::move(aHead.headers);
    if (aHead.contentLength == uint64_t{ 0 }) {
      Complete();
      return;
    }
    ReadBody();
  }

  void ReadBody()
  {
    mConnection->ReadBody(RemainingTime(),
                          [self = shared_from_this()](std::error_code ec,
                                                      std::string_view aPart,
                                                      bool aLast) {
                            if (self->mFinished) {
                              return;
                            }
                            if (ec) {
                              self->Fail(ec);
                              return;
                            }
                            self->mResponse.body.append(aPart);
                            if (aLast) {
                              self->Complete();
                            } else {
                              self->ReadBody();
                            }
                          });
  }

  void Complete()
  {
    if (std::exchange(mProbing, false)) {
      OnProbeResponse(std::exchange(mResponse, {}));
      return;
    }
    mPool->Release(mConnection);
    Finish(Verdict::kAnswered, {});
  }

  void OnProbeResponse(Response aResponse)
  {
    if (!mCheck->isFromPeer(aResponse)) {
      // Not verified, so that the next request asks again.
      mPool->Release(mConnection);
      mProbeResponse = std::move(aResponse);
      Finish(Verdict::kNotRun, {});
      return;
    }
    mPeerAnswered = true;
    mConnection->SetVerifiedPeer(mCheck->peer);
    if (mConnection->Reusable()) {
      Send(mRequest);
      return;
    }
    mPool->Release(std::exchange(mConnection, nullptr));
    Start();
  }

  void Fail(std::error_code aError)
  {
    if (mFinished) {
      return;
    }
    bool sent = !mProbing && mConnection->HasSentBytes();
    mPool->ReleaseUnresponsive(mConnection);
    Finish(sent ? Verdict::kMayHaveRun : Verdict::kNotRun, aError);
  }

  void Finish(Verdict aVerdict, std::error_code aError)
  {
    if (mFinished) {
      return;
    }
    mFinished = true;
    FetchResult result;
    result.verdict = aVerdict;
    result.error = aError;
    result.response = std::move(mResponse);
    result.probeResponse = std::move(mProbeResponse);
    mConnection.reset();
    mDone(std::move(result));
  }

  std::shared_ptr<Pool> mPool;
  const Endpoint mEndpoint;
  FetchOptions mOptions;
  Millis mDeadline;
  // Both must stay valid until they are sent.
  Message mRequest;
  Message mProbe;
  std::optional<PeerCheck> mCheck;
  FetchCallback mDone;
  std::shared_ptr<Connection> mConnection;
  Response mResponse;
  std::optional<Response> mProbeResponse;
  // The exchange in progress is that of the probe.
  bool mProbing = false;
  // The process has answered the probe on a connection that it then closed.
  bool mPeerAnswered = false;
  bool mFinished = false;
};

} // namespace

PooledClient::PooledClient(boost::asio::io_context& aContext,
                           PoolLimits aLimits)
  : mPool(std::make_shared<Pool>(aContext, aLimits))
{
}

void
PooledClient::Fetch(const Endpoint& aEndpoint,
                    Request aRequest,
                    FetchOptions aOptions,
                    FetchCallback aDone)
{
  std::make_shared<PooledFetch>(mPool,
                                aEndpoint,
                                std::move(aRequest),
                                std::nullopt,
                                aOptions,
                                std::move(aDone))
    ->Start();
}

void
PooledClient::FetchFrom(PeerCheck aCheck,
                        const Endpoint& aEndpoint,
                        Request aRequest,
                        FetchOptions aOptions,
                        FetchCallback aDone)
{
  std::make_shared<PooledFetch>(mPool,
                                aEndpoint,
                                std::move(aRequest),
                                std::move(aCheck),
                                aOptions,
                                std::move(aDone))
    ->Start();
}

} // namespace limpetwood::http
