#include "standin/backend_server.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <memory>

namespace limpetwood::standin {

namespace {

// Upper bound for sizes in bytes and times in milliseconds from request
// headers, so that a wrong value cannot exhaust the machine's resources.
constexpr int64_t kMaxHeaderValue = 256LL << 20U;

// Size of the block from which response bodies are padded.
constexpr size_t kPaddingBlockBytes = 64U << 10U;

const std::string&
PaddingBlock()
{
  static const std::string sBlock(kPaddingBlockBytes, 'x');
  return sBlock;
}

int64_t
NumberHeader(const http::RequestHead& aHead,
             const char* aName,
             int64_t aDefault)
{
  std::string_view text = aHead.headers.Get(aName);
  int64_t value = aDefault;
  auto [end, ec] =
    std::from_chars(text.data(), text.data() + text.size(), value);
  bool valid = ec == std::errc() && value >= 0 && value <= kMaxHeaderValue;
  return valid ? value : aDefault;
}

void
Refuse(const std::shared_ptr<http::Exchange>& aExchange,
       std::string_view aReason)
{
  http::ResponseHead head;
  head.status = 503;
  head.headers.Set("Limpetwood-Verdict", "not_run");
  head.headers.Set("Limpetwood-Reason", aReason);
  aExchange->Respond(head, {}, true, [](std::error_code) {});
}

} // namespace

// Occupies a slot for its lifetime.
struct BackendServer::ActiveRequest
{
  ActiveRequest(BackendServer& aServer,
                std::shared_ptr<http::Exchange> aExchange)
    : server(aServer)
    , exchange(std::move(aExchange))
  {
    ++server.mBusySlots;
  }

  ~ActiveRequest() { --server.mBusySlots; }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;

  BackendServer& server;
  std::shared_ptr<http::Exchange> exchange;
  std::string id;
  std::string answer;
  // Bytes of padding still to be sent.
  uint64_t padding = 0;
  uint64_t bodyBytes = 0;
};

BackendServer::BackendServer(boost::asio::io_context& aContext,
                             BackendOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mLog(mOptions.eventLog)
  , mControlClient(aContext, mOptions.instances)
  , mAnnounceTimer(aContext)
  , mRandom(mOptions.seed)
  , mStarted(MonotonicNow())
  , mIncarnation(WallNow().Count())
  , mServer(
      aContext,
      // 256 MiB, as `kMaxHeaderValue`.
      { .maxBodyBytes = 256U << 20U, .maxConnections = mOptions.connections },
      [this](std::shared_ptr<http::Exchange> aExchange) {
        Handle(std::move(aExchange));
      })
{
}

Result<http::Endpoint>
BackendServer::Start()
{
  auto bound = mServer.Listen(mOptions.listen);
  if (bound) {
    mAddress = bound.Value();
    Announce();
    ScheduleAnnounce();
  }
  return bound;
}

void
BackendServer::Leave(std::function<void()> aDone)
{
  mLeaving = true;
  Announce();
  mServer.Drain([this, done = std::move(aDone)] {
    mAnnounceTimer.cancel();
    done();
  });
}

void
BackendServer::Kill()
{
  mKilled = true;
  mAnnounceTimer.cancel();
  mServer.Close();
}

bool
BackendServer::Frozen() const
{
  return mOptions.freezeAfter > Millis(0) &&
         MonotonicNow() >= mStarted + mOptions.freezeAfter;
}

BackendServer::ResponseMode
BackendServer::ChooseResponseMode()
{
  double sample = mRandom.UniformDouble();
  for (auto [share, mode] :
       { std::pair(mOptions.stallShare, ResponseMode::kStall),
         std::pair(mOptions.failShare, ResponseMode::kFail),
         std::pair(mOptions.truncateShare, ResponseMode::kTruncate),
         std::pair(mOptions.closeShare, ResponseMode::kClose) }) {
    if (sample < share) {
      return mode;
    }
    sample -= share;
  }
  return ResponseMode::kAnswer;
}

void
BackendServer::Handle(std::shared_ptr<http::Exchange> aExchange)
{
  if (Frozen()) {
    mStalledExchanges.push_back(std::move(aExchange));
    return;
  }
  if (mBusySlots >= mOptions.slots) {
    ++mRefused;
    Refuse(aExchange, "slots_exhausted");
    return;
  }
  auto active = std::make_shared<ActiveRequest>(*this, std::move(aExchange));
  const auto& head = active->exchange->Head();
  active->id = head.headers.Get("Standin-Request-Id");
  if (head.HasBody()) {
    ReadBody(active);
  } else {
    Execute(active);
  }
}

void
BackendServer::ReadBody(const std::shared_ptr<ActiveRequest>& aRequest)
{
  aRequest->exchange->ReadBody([this, aRequest](std::error_code aError,
                                                std::string_view aPart,
                                                bool aLast) {
    if (aError) {
      // Requests with an incomplete body are not executed.
      aRequest->exchange->Abort();
      return;
    }
    aRequest->bodyBytes += aPart.size();
    if (aLast) {
      Execute(aRequest);
    } else {
      ReadBody(aRequest);
    }
  });
}

void
BackendServer::Execute(const std::shared_ptr<ActiveRequest>& aRequest)
{
  ++mExecuted;
  mLog.Write({ { "event", "executed" },
               { "request", aRequest->id },
               { "server", mOptions.id },
               { "bodyBytes", aRequest->bodyBytes } });
  ResponseMode mode = ChooseResponseMode();
  if (mode == ResponseMode::kStall) {
    mStalledExchanges.push_back(aRequest->exchange);
    return;
  }
  auto work = NumberHeader(aRequest->exchange->Head(),
                           "Standin-Work-Ms",
                           mOptions.executionTime.Count());
  if (work == 0) {
    Answer(aRequest, mode);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
    mContext, std::chrono::milliseconds(work));
  timer->async_wait([this, timer, aRequest, mode](boost::system::error_code) {
    if (Frozen()) {
      mStalledExchanges.push_back(aRequest->exchange);
    } else if (!mKilled) {
      Answer(aRequest, mode);
    }
  });
}

void
BackendServer::Answer(const std::shared_ptr<ActiveRequest>& aRequest,
                      ResponseMode aMode)
{
  if (aMode == ResponseMode::kClose) {
    aRequest->exchange->Abort();
    return;
  }
  const auto& request = aRequest->exchange->Head();
  aRequest->answer = mOptions.id + " " + aRequest->id + "\n";
  auto bytes =
    static_cast<uint64_t>(NumberHeader(request, "Standin-Answer-Bytes", 0));
  uint64_t total = std::max<uint64_t>(bytes, aRequest->answer.size());
  http::ResponseHead head;
  head.status = aMode == ResponseMode::kFail ? 500 : 200;
  head.headers.Set("Standin-Server", mOptions.id);
  head.headers.Set("Standin-Request-Id", aRequest->id);
  head.headers.Set("Standin-Body-Bytes", std::to_string(aRequest->bodyBytes));
  head.contentLength = total;
  if (request.headers.Get("Standin-Chunked") == "yes") {
    head.contentLength = std::nullopt;
  }
  aRequest->padding = total - aRequest->answer.size();
  if (aMode == ResponseMode::kTruncate) {
    // Sends less than the announced content length and then closes the
    // connection with a FIN instead of a reset, so that only the length shows
    // the truncation.
    head.contentLength = total;
    head.close = true;
    aRequest->answer.resize(aRequest->answer.size() / 2);
    aRequest->padding = 0;
  }
  aRequest->exchange->Respond(head,
                              aRequest->answer,
                              aRequest->padding == 0,
                              [this, aRequest](std::error_code aError) {
                                if (!aError && aRequest->padding > 0) {
                                  WritePadding(aRequest);
                                }
                              });
}

void
BackendServer::WritePadding(const std::shared_ptr<ActiveRequest>& aRequest)
{
  auto part = std::min<uint64_t>(aRequest->padding, kPaddingBlockBytes);
  aRequest->padding -= part;
  aRequest->exchange->WriteBody(
    std::string_view(PaddingBlock()).substr(0, part),
    aRequest->padding == 0,
    [this, aRequest](std::error_code aError) {
      if (!aError && aRequest->padding > 0) {
        WritePadding(aRequest);
      }
    });
}

void
BackendServer::Announce()
{
  if (Frozen() || mKilled) {
    return;
  }
  nlohmann::json body = {
    { "server", mOptions.id },
    { "service", mOptions.service },
    { "address", http::FormatEndpoint(mAddress) },
    { "zone", mOptions.zone },
    { "incarnation", mIncarnation },
    { "slots", mOptions.slots },
    { "connections", mOptions.connections },
    { "busy", mBusySlots },
    { "leaving", mLeaving },
  };
  mControlClient.Post("/v1/backend-servers/announce",
                      body,
                      [this](int aStatus, const nlohmann::json&) {
                        // If the instance did not respond, announces to the
                        // next one at once instead of waiting for the
                        // announcement interval. After a response with a server
                        // error it waits.
                        if (aStatus == 0 && mControlClient.ConsumeFailover() &&
                            mOptions.instances.size() > 1) {
                          Announce();
                        }
                      });
}

void
BackendServer::ScheduleAnnounce()
{
  mAnnounceTimer.expires_after(
    std::chrono::milliseconds(mOptions.announceInterval.Count()));
  mAnnounceTimer.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Announce();
      ScheduleAnnounce();
    }
  });
}

} // namespace limpetwood::standin
