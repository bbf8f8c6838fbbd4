#include "standin/backend_server.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <memory>

namespace limpetwood::standin {

namespace {

// Upper bound for sizes and times named in request headers, so that a stray
// value cannot exhaust the machine.
constexpr int64_t kMaxHeaderNumber = 256LL << 20U;

// Answers are padded from this block.
constexpr size_t kBlockBytes = 64U << 10U;

const std::string&
Block()
{
  static const std::string sBlock(kBlockBytes, 'x');
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
  bool valid = ec == std::errc() && value >= 0 && value <= kMaxHeaderNumber;
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

// Gives its slot back when it is dropped.
struct BackendServer::Serving
{
  Serving(BackendServer& aServer, std::shared_ptr<http::Exchange> aExchange)
    : server(aServer)
    , exchange(std::move(aExchange))
  {
    ++server.mBusy;
  }

  ~Serving() { --server.mBusy; }
  Serving(const Serving&) = delete;
  Serving& operator=(const Serving&) = delete;

  BackendServer& server;
  std::shared_ptr<http::Exchange> exchange;
  std::string id;
  std::string answer;
  // Padding still to be sent.
  uint64_t padding = 0;
  uint64_t bodyBytes = 0;
};

BackendServer::BackendServer(boost::asio::io_context& aContext,
                             BackendOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mLog(mOptions.eventLog)
  , mLink(aContext, mOptions.instances)
  , mAnnounceTimer(aContext)
  , mRandom(mOptions.seed)
  , mStarted(MonotonicNow())
  , mIncarnation(WallNow().Count())
  , mServer(
      aContext,
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

BackendServer::Conduct
BackendServer::ChooseConduct()
{
  double drawn = mRandom.UniformDouble();
  for (auto [share, conduct] :
       { std::pair(mOptions.stallShare, Conduct::kStall),
         std::pair(mOptions.failShare, Conduct::kFail),
         std::pair(mOptions.truncateShare, Conduct::kTruncate),
         std::pair(mOptions.closeShare, Conduct::kClose) }) {
    if (drawn < share) {
      return conduct;
    }
    drawn -= share;
  }
  return Conduct::kAnswer;
}

void
BackendServer::Handle(std::shared_ptr<http::Exchange> aExchange)
{
  if (Frozen()) {
    mStalled.push_back(std::move(aExchange));
    return;
  }
  if (mBusy >= mOptions.slots) {
    ++mRefused;
    Refuse(aExchange, "slots_exhausted");
    return;
  }
  auto serving = std::make_shared<Serving>(*this, std::move(aExchange));
  const auto& head = serving->exchange->Head();
  serving->id = head.headers.Get("Standin-Request-Id");
  if (head.HasBody()) {
    ReadBody(serving);
  } else {
    Execute(serving);
  }
}

void
BackendServer::ReadBody(const std::shared_ptr<Serving>& aServing)
{
  aServing->exchange->ReadBody([this, aServing](std::error_code aError,
                                                std::string_view aPart,
                                                bool aLast) {
    if (aError) {
      // A request that is not complete is not executed.
      aServing->exchange->Abort();
      return;
    }
    aServing->bodyBytes += aPart.size();
    if (aLast) {
      Execute(aServing);
    } else {
      ReadBody(aServing);
    }
  });
}

void
BackendServer::Execute(const std::shared_ptr<Serving>& aServing)
{
  ++mExecuted;
  mLog.Write({ { "event", "executed" },
               { "request", aServing->id },
               { "server", mOptions.id },
               { "bodyBytes", aServing->bodyBytes } });
  Conduct conduct = ChooseConduct();
  if (conduct == Conduct::kStall) {
    mStalled.push_back(aServing->exchange);
    return;
  }
  auto work = NumberHeader(aServing->exchange->Head(),
                           "Standin-Work-Ms",
                           mOptions.executionTime.Count());
  if (work == 0) {
    Answer(aServing, conduct);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(
    mContext, std::chrono::milliseconds(work));
  timer->async_wait(
    [this, timer, aServing, conduct](boost::system::error_code) {
      if (Frozen()) {
        mStalled.push_back(aServing->exchange);
      } else if (!mKilled) {
        Answer(aServing, conduct);
      }
    });
}

void
BackendServer::Answer(const std::shared_ptr<Serving>& aServing,
                      Conduct aConduct)
{
  if (aConduct == Conduct::kClose) {
    aServing->exchange->Abort();
    return;
  }
  const auto& request = aServing->exchange->Head();
  aServing->answer = mOptions.id + " " + aServing->id + "\n";
  auto bytes =
    static_cast<uint64_t>(NumberHeader(request, "Standin-Answer-Bytes", 0));
  uint64_t total = std::max<uint64_t>(bytes, aServing->answer.size());
  http::ResponseHead head;
  head.status = aConduct == Conduct::kFail ? 500 : 200;
  head.headers.Set("Standin-Server", mOptions.id);
  head.headers.Set("Standin-Request-Id", aServing->id);
  head.headers.Set("Standin-Body-Bytes", std::to_string(aServing->bodyBytes));
  head.contentLength = total;
  if (request.headers.Get("Standin-Chunked") == "yes") {
    head.contentLength = std::nullopt;
  }
  aServing->padding = total - aServing->answer.size();
  if (aConduct == Conduct::kTruncate) {
    // Ends in order at the TCP level, half way through the announced length.
    head.contentLength = total;
    head.close = true;
    aServing->answer.resize(aServing->answer.size() / 2);
    aServing->padding = 0;
  }
  aServing->exchange->Respond(head,
                              aServing->answer,
                              aServing->padding == 0,
                              [this, aServing](std::error_code aError) {
                                if (!aError && aServing->padding > 0) {
                                  WriteMore(aServing);
                                }
                              });
}

void
BackendServer::WriteMore(const std::shared_ptr<Serving>& aServing)
{
  auto part = std::min<uint64_t>(aServing->padding, kBlockBytes);
  aServing->padding -= part;
  aServing->exchange->WriteBody(std::string_view(Block()).substr(0, part),
                                aServing->padding == 0,
                                [this, aServing](std::error_code aError) {
                                  if (!aError && aServing->padding > 0) {
                                    WriteMore(aServing);
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
    { "busy", mBusy },
    { "leaving", mLeaving },
  };
  mLink.Post("/v1/backend-servers/announce",
             body,
             [this](int aStatus, const nlohmann::json&) {
               // A failed instance is replaced at once, not a second later.
               if (aStatus == 0 && mLink.TakeMoved() &&
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
