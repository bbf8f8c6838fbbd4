// Stand-in for a service's process on a backend server: announces itself to
// one instance, executes requests within its slots and misbehaves on demand.
//
// A request takes the time of its header `Standin-Work-Ms`, else the
// configured one. The answer's body names the server and the request id from
// `Standin-Request-Id`, and is padded to `Standin-Answer-Bytes`.
//
// All calls happen on the thread that runs the io_context.

#pragma once

#include "base/random.h"
#include "http/stream_server.h"
#include "standin/control_link.h"
#include "standin/event_log.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace limpetwood::standin {

struct BackendOptions
{
  std::string id = "server-1";
  std::string service = "demo";
  std::string zone = "sogn";
  uint32_t slots = 8;
  uint32_t connections = 60;
  http::Endpoint listen{ "127.0.0.1", 0 };
  std::vector<InstanceAddress> instances{};
  Millis executionTime{ 5 };
  Millis announceInterval = Seconds(1);
  uint64_t seed = 1;
  // Shares of requests, in [0, 1], that are executed and then never answered,
  // answered with status 500, answered in part, or lose their connection.
  double stallShare = 0;
  double failShare = 0;
  double truncateShare = 0;
  double closeShare = 0;
  // After this time nothing is sent any more; 0 means never.
  Millis freezeAfter{ 0 };
  std::string eventLog{};
};

class BackendServer
{
public:
  BackendServer(boost::asio::io_context& aContext, BackendOptions aOptions);

  // Binds, announces itself, and starts to serve.
  Result<http::Endpoint> Start();

  // Announces that it leaves, finishes its requests, then calls `aDone`.
  void Leave(std::function<void()> aDone);

  // Closes everything at once, as a kill does.
  void Kill();

  uint64_t Executed() const { return mExecuted; }
  uint64_t Refused() const { return mRefused; }
  uint32_t Busy() const { return mBusy; }
  const http::ServerCounters& Counters() const { return mServer.Counters(); }

private:
  enum class Conduct
  {
    kAnswer,
    kStall,
    kFail,
    kTruncate,
    kClose,
  };

  // One request that holds a slot.
  struct Serving;

  void Handle(std::shared_ptr<http::Exchange> aExchange);
  void ReadBody(const std::shared_ptr<Serving>& aServing);
  void Execute(const std::shared_ptr<Serving>& aServing);
  void Answer(const std::shared_ptr<Serving>& aServing, Conduct aConduct);
  void WriteMore(const std::shared_ptr<Serving>& aServing);
  void Announce();
  void ScheduleAnnounce();
  bool Frozen() const;
  Conduct ChooseConduct();

  boost::asio::io_context& mContext;
  BackendOptions mOptions;
  EventLog mLog;
  ControlLink mLink;
  boost::asio::steady_timer mAnnounceTimer;
  Random mRandom;
  http::Endpoint mAddress;
  Millis mStarted;
  int64_t mIncarnation = 0;
  uint32_t mBusy = 0;
  uint64_t mExecuted = 0;
  uint64_t mRefused = 0;
  bool mLeaving = false;
  bool mKilled = false;
  // Requests that are never answered, so that their connections stay open.
  std::vector<std::shared_ptr<http::Exchange>> mStalled;
  http::StreamServer mServer;
};

} // namespace limpetwood::standin
