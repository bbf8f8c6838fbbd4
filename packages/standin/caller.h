// Load generator that stands in for callers: sends a limited number of requests
// to several instances in turn and counts their outcomes by verdict.
//
// Not thread-safe: call all methods on the thread that runs the io_context.

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
  // Maximum number of requests in flight.
  uint32_t concurrency = 4;
  // Requests per second; 0 sends as fast as the concurrency allows.
  double rate = 0;
  // Time after the start at which no more requests are sent.
  Millis duration = Seconds(60);
  // Time limit of each request.
  Millis timeout = Seconds(30);
  // Deadline sent with each request; 0 sends none.
  Millis deadline{ 0 };
  // Execution time requested from the server; 0 leaves it to the server.
  Millis executionTime{ 0 };
  size_t bodyBytes = 0;
  size_t answerBytes = 0;
  bool repeatable = true;
  // Send an idempotency key with each request that is not repeatable.
  bool keyed = false;
  // Header `Limpetwood-Key-Zone` of each request that is not repeatable; empty
  // sends none.
  std::string keyZone{};
  std::string workspace{};
  // Prefix of request ids, unique for each of several callers.
  std::string idPrefix = "c1";
  std::string eventLog{};
};

class Caller
{
public:
  Caller(boost::asio::io_context& aContext, CallerOptions aOptions);

  // Sends requests until `requests` or `duration` is reached and all of them
  // have ended, then calls `aDone` with the result of `Summary()`.
  void Start(std::function<void(const nlohmann::json&)> aDone);

  // Counts of outcomes by verdict, status and reason; percentiles of the
  // latency of answered requests and the total time, both in milliseconds; and
  // the number of responses that belong to another request (`wrongAnswers`).
  nlohmann::json Summary();

private:
  void SendDueRequests();
  void Send();
  void OnResult(const std::string& aId,
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
  uint32_t mInFlight = 0;
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mMayHaveRun = 0;
  uint64_t mWrongAnswers = 0;
  std::map<std::string, uint64_t> mReasons;
  std::map<int, uint64_t> mStatuses;
  std::vector<double> mLatenciesMs;
};

} // namespace limpetwood::standin
