#include "http/pooled_client.h"

#include "base/error.h"

#include <algorithm>

namespace limpetwood::http {

namespace {

// One request and its response.
class PooledFetch : public std::enable_shared_from_this<PooledFetch>
{
public:
  PooledFetch(std::shared_ptr<Pool> aPool,
              Request aRequest,
              FetchOptions aOptions,
              FetchCallback aDone)
    : mPool(std::move(aPool))
    , mOptions(aOptions)
    , mDeadline(MonotonicNow() + aOptions.timeout)
    , mBody(std::move(aRequest.body))
    , mDone(std::move(aDone))
  {
    mHead.method = std::move(aRequest.method);
    mHead.target = std::move(aRequest.target);
    mHead.headers = std::move(aRequest.headers);
    mHead.contentLength = mBody.size();
  }

  void Start(const Endpoint& aEndpoint)
  {
    if (mHead.headers.Get("Host").empty()) {
      mHead.headers.Set("Host", FormatEndpoint(aEndpoint));
    }
    mPool->Acquire(aEndpoint,
                   mOptions.timeout,
                   [self = shared_from_this()](std::error_code ec,
                                               std::shared_ptr<Connection> it) {
                     if (ec) {
                       self->Finish(Verdict::kNotRun, ec);
                       return;
                     }
                     self->mConnection = std::move(it);
                     self->Send();
                   });
  }

private:
  Millis RemainingTime() const
  {
    return std::max(mDeadline - MonotonicNow(), Millis(1));
  }

  void Send()
  {
    mConnection->Send(mHead,
                      mBody,
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
    mPool->Release(mConnection);
    Finish(Verdict::kAnswered, {});
  }

  void Fail(std::error_code aError)
  {
    if (mFinished) {
      return;
    }
    bool sent = mConnection->HasSentBytes();
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
    mConnection.reset();
    mDone(std::move(result));
  }

  std::shared_ptr<Pool> mPool;
  FetchOptions mOptions;
  Millis mDeadline;
  RequestHead mHead;
  std::string mBody;
  FetchCallback mDone;
  std::shared_ptr<Connection> mConnection;
  Response mResponse;
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
  std::make_shared<PooledFetch>(
    mPool, std::move(aRequest), aOptions, std::move(aDone))
    ->Start(aEndpoint);
}

} // namespace limpetwood::http
