#include "daemon/control_server.h"

namespace limpetwood::daemon {

namespace {

// The content type is that of the Prometheus text format; health checks use it
// too.
http::Response
PlainText(int aStatus, std::string aBody)
{
  http::Response response;
  response.status = aStatus;
  response.headers.Set("Content-Type", "text/plain; version=0.0.4");
  response.body = std::move(aBody);
  return response;
}

// Returns the verdict named in an error body. For a body that names neither
// "not run" nor "answered", the outcome of the call is unknown.
std::string_view
VerdictOf(std::string_view aBody)
{
  for (Verdict it : { Verdict::kNotRun, Verdict::kAnswered }) {
    std::string field = "\"verdict\":\"" + std::string(VerdictName(it)) + "\"";
    if (aBody.find(field) != std::string_view::npos) {
      return VerdictName(it);
    }
  }
  return VerdictName(Verdict::kMayHaveRun);
}

http::ServerLimits
LimitsFor(const model::Settings& aSettings)
{
  http::ServerLimits limits;
  limits.maxBodyBytes = aSettings.limits.controlBodyBytes;
  limits.maxConnections = aSettings.limits.controlConnections;
  return limits;
}

} // namespace

ControlServer::ControlServer(boost::asio::io_context& aContext,
                             const model::Settings& aSettings,
                             const MetricRegistry& aMetrics,
                             CallHandler aHandler)
  : mMetrics(aMetrics)
  , mHandler(std::move(aHandler))
  , mServer(aContext,
            LimitsFor(aSettings),
            [this](http::Request aRequest, http::Responder aRespond) {
              Handle(std::move(aRequest), std::move(aRespond));
            })
{
}

void
ControlServer::Handle(http::Request aRequest, http::Responder aRespond)
{
  if (aRequest.target == "/healthz") {
    aRespond(PlainText(200, "ok\n"));
    return;
  }
  if (aRequest.target == "/readyz") {
    bool ready = mReady && !mDraining;
    aRespond(PlainText(ready ? 200 : 503,
                       ready       ? "ready\n"
                       : mDraining ? "draining\n"
                                   : "no configuration in force\n"));
    return;
  }
  if (aRequest.target == "/metrics") {
    aRespond(PlainText(200, mMetrics.Render()));
    return;
  }
  ApiCall call;
  call.method = std::move(aRequest.method);
  call.target = std::move(aRequest.target);
  call.baseVersion = aRequest.headers.Get("Limpetwood-Base-Version");
  call.key = aRequest.headers.Get("Limpetwood-Idempotency-Key");
  call.body = std::move(aRequest.body);
  call.arrivedAfter = aRequest.arrivedAfter;
  mHandler(std::move(call), [aRespond](ApiAnswer aAnswer) {
    http::Response response;
    response.status = aAnswer.status;
    response.headers.Set("Content-Type", "application/json");
    if (aAnswer.status >= 400) {
      response.headers.Set("Limpetwood-Verdict", VerdictOf(aAnswer.body));
    }
    response.body = std::move(aAnswer.body);
    aRespond(std::move(response));
  });
}

} // namespace limpetwood::daemon
