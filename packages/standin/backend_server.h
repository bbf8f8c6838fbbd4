// Test double of a service's process on a backend server: announces itself to
// one of several instances, executes as many requests at once as it has slots,
// and injects configured faults.
//
// A request takes the time given in its header `Standin-Work-Ms`, or else
// `executionTime`. The response body contains the server's id and the request
// id from `Standin-Request-Id`, and is padded to `Standin-Answer-Bytes`.
//
// Not thread-safe: call all methods on the thread that runs the io_context.

#pragma once

#include "base/random.h"
#include "http/stream_server.h"
#include "standin/control_client.h"
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
  // Fractions, in [0, 1], of requests that are executed and then fail in one of
  // these ways:
  // No response. The connection stays open; the slot is freed.
  double stallShare = 0;
  // Status 500.
  double failShare = 0;
  // A truncated response.
  double truncateShare = 0;
  // The connection is closed without a response.
  double closeShare = 0;
  // Time after construction from which the server neither announces itself nor
  // responds. Connections stay open. 0 disables it.
  Millis freezeAfter{ 0 };
  std::string eventLog{};
};

class BackendServer
{
public:
  BackendServer(boost::asio::io_context& aContext, BackendOptions aOptions);

  // Binds the listening port, sends the first announcement and starts to serve.
  // Returns the bound address, or the error of the bind.
  Result<http::Endpoint> Start();

  // Announces that the server leaves, finishes its open requests, then calls
  // `aDone`.
  void Leave(std::function<void()> aDone);

  // Closes the listening port and all connections without notifying anyone,
  // like the kill of the process.
  void Kill();

  uint64_t Executed() const { return mExecuted; }
  uint64_t Refused() const { return mRefused; }
  uint32_t Busy() const { return mBusySlots; }
  const http::ServerCounters& Counters() const { return mServer.Counters(); }

private:
  // How the server responds to a request.
  enum class ResponseMode
  {
    kAnswer,
    kStall,
    kFail,
    kTruncate,
    kClose,
  };

  // A request that occupies a slot.
  struct ActiveRequest;

  void Handle(std::shared_ptr<http::Exchange> aExchange);
  void ReadBody(const std::shared_ptr<ActiveRequest>& aRequest);
  void Execute(const std::shared_ptr<ActiveRequest>& aRequest);
  void Answer(const std::shared_ptr<ActiveRequest>& aRequest,
              ResponseMode aMode);
  void WritePadding(const std::shared_ptr<ActiveRequest>& aRequest);
  void Announce();
  void ScheduleAnnounce();
  bool Frozen() const;
  ResponseMode ChooseResponseMode();

  boost::asio::io_context& mContext;
  BackendOptions mOptions;
  EventLog mLog;
  ControlClient mControlClient;
  boost::asio::steady_timer mAnnounceTimer;
  Random mRandom;
  http::Endpoint mAddress;
  Millis mStarted;
  int64_t mIncarnation = 0;
  uint32_t mBusySlots = 0;
  uint64_t mExecuted = 0;
  uint64_t mRefused = 0;
  bool mLeaving = false;
  bool mKilled = false;
  // Requests that get no response. Keeping them keeps their connections open.
  std::vector<std::shared_ptr<http::Exchange>> mStalledExchanges;
  http::StreamServer mServer;
};

} // namespace limpetwood::standin
