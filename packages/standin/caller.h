// Stand-in for callers: sends a bounded number of requests to several
// instances and counts what came of them, by verdict.
//
// All calls happen on the thread that runs the io_context.

#pragma once

#include "http/client.h"
#include "standin/event_log.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace limpetwood::standin {

struct CallerOptions
{
  std::vector<http::Endpoint> instances{};
  std::string service = "demo";
  std::string path = "/work";
  uint64_t requests = 100;
  // Requests open at once.
  uint32_t concurrency = 4;
  // Requests a second; 0 sends as fast as the concurrency allows.
  double rate = 0;
  // No request is sent after this time.
  Millis duration = Seconds(60);
  Millis timeout = Seconds(30);
  // 0 sends no deadline.
  Millis deadline{ 0 };
  // 0 leaves the work time to the server.
  Millis executionTime{ 0 };
  size_t bodyBytes = 0;
  size_t answerBytes = 0;
  bool repeatable = true;
  // Sends an idempotency key with each request that is not repeatable.
  bool keyed = false;
  std::string keyZone{};
  std::string workspace{};
  // Distinguishes the request ids of several callers.
  std::string idPrefix = "c1";
  std::string eventLog{};
};

class Caller
{
public:
  Caller(boost::asio::io_context& aContext, CallerOptions aOptions);

  // Sends all requests; `aDone` gets the summary of `Summary()`.
  void Start(std::function<void(const nlohmann::json&)> aDone);

  // Counts, latencies in milliseconds and the number of answers that belong to
  // another request.
  nlohmann::json Summary();

private:
  void Pump();
  void Send();
  void OnDone(const std::string& aId,
              size_t aInstance,
              Millis aSent,
              std::chrono::steady_clock::time_point aStart,
              const http::FetchResult& aResult);
  bool MaySend() const;

  boost::asio::io_context& mContext;
  CallerOptions mOptions;
  EventLog mLog;
  boost::asio::steady_timer mTimer;
  std::function<void(const nlohmann::json&)> mDone;
  Millis mStart;
  uint64_t mSent = 0;
  uint32_t mOpen = 0;
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mMayHaveRun = 0;
  uint64_t mWrongAnswers = 0;
  std::map<std::string, uint64_t> mReasons;
  std::map<int, uint64_t> mStatuses;
  std::vector<double> mLatenciesMs;
};

} // namespace limpetwood::standin
