// Client of the control port that fails over between instances.

#pragma once

#include "base/time.h"
#include "base/verdict.h"
#include "http/endpoint.h"
#include "http/message.h"

#include <string>
#include <vector>

namespace limpetwood::ctl {

struct CallResult
{
  // Combined verdict of all attempts.
  Verdict verdict = Verdict::kNotRun;
  // The final response if `verdict` is `kAnswered`. Otherwise the last complete
  // response, which was not final, or an empty one if there was none.
  http::Response response;
  // One line for each attempt without a final response, with the cause.
  std::vector<std::string> attempts;
};

class Client
{
public:
  // `aTimeout` limits each attempt, not the whole call.
  Client(std::vector<http::Endpoint> aInstances, Millis aTimeout)
    : mInstances(std::move(aInstances))
    , mTimeout(aTimeout)
  {
  }

  // Tries the instances in order until one gives a final response. Goes on to
  // the next one only if the previous attempt certainly did not run or the call
  // is safe to repeat: it is a GET, or it carries an idempotency key, under
  // which the system applies it at most once.
  CallResult Call(const http::Request& aRequest) const;

private:
  std::vector<http::Endpoint> mInstances;
  Millis mTimeout;
};

} // namespace limpetwood::ctl
