// The HTTP server of the control port: health checks, metrics and the control
// API.

#pragma once

#include "daemon/instance_core.h"
#include "daemon/metrics.h"
#include "http/server.h"
#include "model/settings.h"

#include <atomic>
#include <functional>

namespace limpetwood::daemon {

class ControlServer
{
public:
  using CallHandler = std::function<void(ApiCall, ApiCallback)>;

  // `aMetrics` must outlive the server. `aHandler` runs on the thread of
  // `aContext` and must run its callback exactly once, on the same thread.
  ControlServer(boost::asio::io_context& aContext,
                const model::Settings& aSettings,
                const MetricRegistry& aMetrics,
                CallHandler aHandler);

  Result<http::Endpoint> Listen(const http::Endpoint& aEndpoint)
  {
    return mServer.Listen(aEndpoint);
  }

  // Both may be called from any thread.
  void SetReady(bool aReady) { mReady = aReady; }
  void SetDraining() { mDraining = true; }

  void Close() { mServer.Close(); }

private:
  void Handle(http::Request aRequest, http::Responder aRespond);

  const MetricRegistry& mMetrics;
  CallHandler mHandler;
  std::atomic<bool> mReady = false;
  std::atomic<bool> mDraining = false;
  http::Server mServer;
};

} // namespace limpetwood::daemon
