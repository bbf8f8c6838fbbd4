#include "ctl/client.h"

#include "http/client.h"

#include <optional>

namespace limpetwood::ctl {

namespace {

// Whether the response is final or, for status 429 and 5xx, whether the call
// ran. Without a verdict header, 429 means that it did not run, and 5xx that it
// may have run.
Verdict
VerdictOf(const http::Response& aResponse)
{
  if (aResponse.status < 500 && aResponse.status != 429) {
    return Verdict::kAnswered;
  }
  std::optional<Verdict> stated =
    ParseVerdict(aResponse.headers.Get("Limpetwood-Verdict"));
  if (stated) {
    return *stated;
  }
  return aResponse.status == 429 ? Verdict::kNotRun : Verdict::kMayHaveRun;
}

} // namespace

CallResult
Client::Call(const http::Request& aRequest) const
{
  bool repeatable = aRequest.method == "GET" ||
                    !aRequest.headers.Get("Limpetwood-Idempotency-Key").empty();
  CallResult result;
  for (const http::Endpoint& it : mInstances) {
    http::FetchOptions options;
    options.timeout = mTimeout;
    http::FetchResult fetched = http::FetchAndWait(it, aRequest, options);
    Verdict verdict = fetched.verdict;
    std::string reason = fetched.error.message();
    if (verdict == Verdict::kAnswered) {
      verdict = VerdictOf(fetched.response);
      reason = "status " + std::to_string(fetched.response.status) + " " +
               std::string(fetched.response.headers.Get("Limpetwood-Reason"));
      result.response = std::move(fetched.response);
    }
    result.verdict = CombineVerdicts(result.verdict, verdict);
    if (verdict == Verdict::kAnswered) {
      return result;
    }
    result.attempts.push_back(http::FormatEndpoint(it) + ": " +
                              std::string(VerdictName(verdict)) + ": " +
                              reason);
    if (verdict == Verdict::kMayHaveRun && !repeatable) {
      break;
    }
  }
  return result;
}

} // namespace limpetwood::ctl
