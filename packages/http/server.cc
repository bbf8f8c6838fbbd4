#include "http/server.h"

#include "base/error.h"

#include <memory>

namespace limpetwood::http {

namespace {

Response
ErrorResponse(int aStatus, std::string_view aVerdict, std::string_view aReason)
{
  Response response;
  response.status = aStatus;
  response.headers.Set("Content-Type", "application/json");
  response.headers.Set("Limpetwood-Verdict", aVerdict);
  response.headers.Set("Limpetwood-Reason", aReason);
  response.body = R"({"verdict":")" + std::string(aVerdict) +
                  R"(","reason":")" + std::string(aReason) + "\"}\n";
  return response;
}

void
SendResponse(const std::shared_ptr<Exchange>& aExchange, Response aResponse)
{
  ResponseHead head;
  head.status = aResponse.status;
  head.headers = std::move(aResponse.headers);
  head.contentLength = aResponse.body.size();
  auto body = std::make_shared<std::string>(std::move(aResponse.body));
  aExchange->Respond(head, *body, true, [aExchange, body](std::error_code) {});
}

// Reads the whole body of one request and then calls the handler.
class BodyCollector : public std::enable_shared_from_this<BodyCollector>
{
public:
  BodyCollector(const Handler& aHandler,
                const std::function<void(std::string_view)>& aOnFailure,
                std::shared_ptr<Exchange> aExchange)
    : mHandler(aHandler)
    , mOnFailure(aOnFailure)
    , mExchange(std::move(aExchange))
  {
  }

  void Start()
  {
    if (mExchange->Head().HasBody()) {
      Read();
    } else {
      CallHandler();
    }
  }

private:
  void Read()
  {
    mExchange->ReadBody([self = shared_from_this()](std::error_code aError,
                                                    std::string_view aPart,
                                                    bool aLast) {
      if (aError) {
        self->RejectBody(aError);
        return;
      }
      self->mBody.append(aPart);
      if (aLast) {
        self->CallHandler();
      } else {
        self->Read();
      }
    });
  }

  void RejectBody(std::error_code aError)
  {
    if (aError == Errc::kTooLarge) {
      SendResponse(mExchange,
                   ErrorResponse(413, "not_run", "request_too_large"));
    } else if (aError == Errc::kCorrupt) {
      SendResponse(mExchange,
                   ErrorResponse(400, "not_run", "malformed_request"));
    } else {
      mExchange->Abort();
    }
  }

  void CallHandler()
  {
    RequestHead& head = mExchange->Head();
    Request request;
    request.method = head.method;
    request.target = std::move(head.target);
    request.headers = std::move(head.headers);
    request.body = std::move(mBody);
    request.peerStoppedSending = [exchange = mExchange] {
      return exchange->PeerStoppedSending();
    };
    request.arrivedAfter = mExchange->ArrivedAfter();
    Responder respond = [exchange = mExchange](Response aResponse) {
      if (!exchange->ResponseStarted()) {
        SendResponse(exchange, std::move(aResponse));
      }
    };
    // An exception ends this request, not the process. The handler may have
    // acted before it failed.
    try {
      mHandler(std::move(request), respond);
    } catch (const std::exception& error) {
      mOnFailure(error.what());
      respond(ErrorResponse(500, "may_have_run", "internal_error"));
    }
  }

  const Handler& mHandler;
  const std::function<void(std::string_view)>& mOnFailure;
  std::shared_ptr<Exchange> mExchange;
  std::string mBody;
};

} // namespace

Server::Server(boost::asio::io_context& aContext,
               ServerLimits aLimits,
               Handler aHandler)
  : mState(std::make_shared<State>())
  , mServer(aContext,
            aLimits,
            [state = mState,
             handler = std::move(aHandler)](std::shared_ptr<Exchange> it) {
              std::make_shared<BodyCollector>(
                handler, state->onFailure, std::move(it))
                ->Start();
            })
{
  mState->onFailure = [state = mState.get()](std::string_view aError) {
    ++state->failures;
    if (state->failureCallback) {
      state->failureCallback(aError);
    }
  };
}

void
Server::SetFailureCallback(std::function<void(std::string_view)> aCallback)
{
  mState->failureCallback = std::move(aCallback);
}

Result<Endpoint>
Server::Listen(const Endpoint& aEndpoint)
{
  return mServer.Listen(aEndpoint);
}

void
Server::Drain(std::function<void()> aDone)
{
  mServer.Drain(std::move(aDone));
}

void
Server::Close()
{
  mServer.Close();
}

size_t
Server::InFlight() const
{
  return mServer.InFlight();
}

const ServerCounters&
Server::Counters() const
{
  return mServer.Counters();
}

} // namespace limpetwood::http
