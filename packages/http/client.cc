#include "http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <memory>

namespace limpetwood::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;

class FetchOperation : public std::enable_shared_from_this<FetchOperation>
{
public:
  FetchOperation(asio::io_context& aContext,
                 FetchOptions aOptions,
                 FetchCallback aDone)
    : mContext(aContext)
    , mStream(aContext)
    , mOptions(aOptions)
    , mDone(std::move(aDone))
  {
  }

  void Start(const Endpoint& aEndpoint, Request aRequest)
  {
    beast::error_code ec;
    auto address = asio::ip::make_address(aEndpoint.address, ec);
    if (ec) {
      asio::post(mContext, [self = shared_from_this(), ec] {
        self->Finish(Verdict::kNotRun, ec);
      });
      return;
    }
    BuildRequest(aEndpoint, std::move(aRequest));
    mStream.expires_after(std::chrono::milliseconds(mOptions.timeout.Count()));
    mStream.async_connect(tcp::endpoint(address, aEndpoint.port),
                          [self = shared_from_this()](beast::error_code ec) {
                            self->OnConnect(ec);
                          });
  }

private:
  void BuildRequest(const Endpoint& aEndpoint, Request aRequest)
  {
    mRequest.version(11);
    mRequest.method_string(aRequest.method);
    mRequest.target(aRequest.target);
    for (const auto& it : aRequest.headers.Fields()) {
      mRequest.insert(it.first, it.second);
    }
    mRequest.set(bhttp::field::host, FormatEndpoint(aEndpoint));
    mRequest.body() = std::move(aRequest.body);
    mRequest.keep_alive(false);
    mRequest.prepare_payload();
  }

  void OnConnect(beast::error_code aError)
  {
    if (aError) {
      Finish(Verdict::kNotRun, aError);
      return;
    }
    mStream.socket().set_option(tcp::no_delay(true), aError);
    bhttp::async_write(
      mStream,
      mRequest,
      [self = shared_from_this()](beast::error_code ec, size_t) {
        if (ec) {
          self->Finish(Verdict::kMayHaveRun, ec);
          return;
        }
        self->ReadResponse();
      });
  }

  void ReadResponse()
  {
    mParser.body_limit(mOptions.maxBodyBytes);
    bhttp::async_read(
      mStream,
      mBuffer,
      mParser,
      [self = shared_from_this()](beast::error_code ec, size_t) {
        self->Finish(ec ? Verdict::kMayHaveRun : Verdict::kAnswered, ec);
      });
  }

  void Finish(Verdict aVerdict, beast::error_code aError)
  {
    FetchResult result;
    result.verdict = aVerdict;
    result.error = aError;
    if (aVerdict == Verdict::kAnswered) {
      auto message = mParser.release();
      result.response.status = static_cast<int>(message.result_int());
      for (const auto& it : message) {
        result.response.headers.Add(std::string_view(it.name_string()),
                                    std::string_view(it.value()));
      }
      result.response.body = std::move(message.body());
    }
    mStream.close();
    mDone(std::move(result));
  }

  asio::io_context& mContext;
  beast::tcp_stream mStream;
  FetchOptions mOptions;
  FetchCallback mDone;
  bhttp::request<bhttp::string_body> mRequest;
  beast::flat_buffer mBuffer;
  bhttp::response_parser<bhttp::string_body> mParser;
};

} // namespace

void
Fetch(asio::io_context& aContext,
      const Endpoint& aEndpoint,
      Request aRequest,
      FetchOptions aOptions,
      FetchCallback aDone)
{
  auto operation =
    std::make_shared<FetchOperation>(aContext, aOptions, std::move(aDone));
  operation->Start(aEndpoint, std::move(aRequest));
}

FetchResult
FetchAndWait(const Endpoint& aEndpoint, Request aRequest, FetchOptions aOptions)
{
  asio::io_context context;
  FetchResult result;
  Fetch(context,
        aEndpoint,
        std::move(aRequest),
        aOptions,
        [&result](FetchResult aResult) { result = std::move(aResult); });
  context.run();
  return result;
}

} // namespace limpetwood::http
