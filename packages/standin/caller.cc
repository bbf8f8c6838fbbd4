#include "standin/caller.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace limpetwood::standin {

namespace {

using Clock = std::chrono::steady_clock;

double
Percentile(const std::vector<double>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  auto last = static_cast<double>(aSorted.size() - 1);
  return aSorted[static_cast<size_t>(std::lround(last * aShare))];
}

// The outcome of a request as the caller sees it. A complete response may state
// it in the header `Limpetwood-Verdict`. Without a complete response it is the
// verdict of `http::Fetch`: the request may have run if the connection broke
// after bytes were sent.
Verdict
VerdictOf(const http::FetchResult& aResult)
{
  if (aResult.verdict != Verdict::kAnswered) {
    return aResult.verdict;
  }
  auto stated =
    ParseVerdict(aResult.response.headers.Get("Limpetwood-Verdict"));
  return stated.value_or(Verdict::kAnswered);
}

} // namespace

Caller::Caller(boost::asio::io_context& aContext, CallerOptions aOptions)
  : mContext(aContext)
  , mOptions(std::move(aOptions))
  , mLog(mOptions.eventLog)
  , mTimer(aContext)
{
}

void
Caller::Start(std::function<void(const nlohmann::json&)> aDone)
{
  mDone = std::move(aDone);
  mStart = MonotonicNow();
  mLatenciesMs.reserve(mOptions.requests);
  SendDueRequests();
}

bool
Caller::MaySend() const
{
  return mSent < mOptions.requests &&
         MonotonicNow() < mStart + mOptions.duration &&
         !mOptions.instances.empty();
}

void
Caller::SendDueRequests()
{
  while (mInFlight < mOptions.concurrency && MaySend()) {
    if (mOptions.rate > 0) {
      auto due = mStart + Millis(static_cast<int64_t>(
                            static_cast<double>(mSent) * 1000 / mOptions.rate));
      Millis now = MonotonicNow();
      if (due > now) {
        mTimer.expires_after(std::chrono::milliseconds((due - now).Count()));
        mTimer.async_wait([this](boost::system::error_code ec) {
          if (!ec) {
            SendDueRequests();
          }
        });
        return;
      }
    }
    Send();
  }
  if (mInFlight == 0 && mDone && !MaySend()) {
    std::exchange(mDone, nullptr)(Summary());
  }
}

void
Caller::Send()
{
  std::string id = mOptions.idPrefix + "-" + std::to_string(mSent);
  size_t instance = mSent % mOptions.instances.size();
  ++mSent;
  ++mInFlight;
  http::Request request;
  request.method = "POST";
  request.target = "/svc/" + mOptions.service + mOptions.path;
  auto& headers = request.headers;
  headers.Set("Standin-Request-Id", id);
  if (mOptions.executionTime > Millis(0)) {
    headers.Set("Standin-Work-Ms",
                std::to_string(mOptions.executionTime.Count()));
  }
  if (mOptions.answerBytes > 0) {
    headers.Set("Standin-Answer-Bytes", std::to_string(mOptions.answerBytes));
  }
  if (mOptions.deadline > Millis(0)) {
    headers.Set("Limpetwood-Deadline-Ms",
                std::to_string(mOptions.deadline.Count()));
  }
  if (!mOptions.workspace.empty()) {
    headers.Set("Limpetwood-Workspace", mOptions.workspace);
  }
  if (!mOptions.repeatable) {
    headers.Set("Limpetwood-Repeatable", "no");
    if (mOptions.keyed) {
      headers.Set("Limpetwood-Idempotency-Key", id);
    }
    if (!mOptions.keyZone.empty()) {
      headers.Set("Limpetwood-Key-Zone", mOptions.keyZone);
    }
  }
  request.body.assign(mOptions.bodyBytes, 'b');
  Millis sent = MonotonicNow();
  auto start = Clock::now();
  http::Fetch(mContext,
              mOptions.instances[instance],
              std::move(request),
              { .timeout = mOptions.timeout },
              [this, id, instance, sent, start](http::FetchResult aResult) {
                OnResult(id, instance, sent, start, aResult);
                SendDueRequests();
              });
}

void
Caller::OnResult(const std::string& aId,
                 size_t aInstance,
                 Millis aSent,
                 Clock::time_point aStart,
                 const http::FetchResult& aResult)
{
  --mInFlight;
  Verdict verdict = VerdictOf(aResult);
  const auto& headers = aResult.response.headers;
  std::string reason(headers.Get("Limpetwood-Reason"));
  int status =
    aResult.verdict == Verdict::kAnswered ? aResult.response.status : 0;
  ++mStatuses[status];
  std::chrono::duration<double, std::milli> took = Clock::now() - aStart;
  if (verdict == Verdict::kAnswered) {
    ++mAnswered;
    mLatenciesMs.push_back(took.count());
    std::string_view answeredId = headers.Get("Standin-Request-Id");
    mWrongAnswers += !answeredId.empty() && answeredId != aId ? 1 : 0;
  } else {
    ++(verdict == Verdict::kNotRun ? mNotRun : mMayHaveRun);
    // Without a response there is no reason header either.
    ++mReasons[reason.empty() ? "connection" : reason];
  }
  mLog.Write({ { "event", "result" },
               { "request", aId },
               { "verdict", VerdictName(verdict) },
               { "reason", reason },
               { "status", status },
               { "instance", aInstance },
               { "repeatable", mOptions.repeatable },
               { "sentMs", aSent.Count() },
               { "tookMs", took.count() } });
}

nlohmann::json
Caller::Summary()
{
  std::sort(mLatenciesMs.begin(), mLatenciesMs.end());
  nlohmann::json statuses = nlohmann::json::object();
  for (auto [status, count] : mStatuses) {
    statuses[std::to_string(status)] = count;
  }
  return { { "sent", mSent },
           { "answered", mAnswered },
           { "notRun", mNotRun },
           { "mayHaveRun", mMayHaveRun },
           { "wrongAnswers", mWrongAnswers },
           { "medianMs", Percentile(mLatenciesMs, 0.5) },
           { "p95Ms", Percentile(mLatenciesMs, 0.95) },
           { "p99Ms", Percentile(mLatenciesMs, 0.99) },
           { "tookMs", (MonotonicNow() - mStart).Count() },
           { "statuses", std::move(statuses) },
           { "reasons", mReasons } };
}

} // namespace limpetwood::standin
