// What the request path reads from, removes from and adds to headers.

#pragma once

#include "base/time.h"
#include "base/verdict.h"
#include "http/stream.h"
#include "routing/request.h"

#include <optional>
#include <string>
#include <string_view>

namespace limpetwood::proxy {

// The service named in "/svc/{service}/..."; empty for any other target.
std::string_view
ServiceFromTarget(std::string_view aTarget);

// The request as the router sees it, without its id. Empty when the target
// names no service or a header of limpetwood has a value that cannot be read:
// guessing could run a request twice or wait too long.
std::optional<routing::RequestInfo>
ReadRequestInfo(const http::RequestHead& aHead, Millis aNow);

// Removes what describes one connection only: the fixed list of RFC 9110 and
// whatever the `Connection` header names.
void
RemoveHopByHop(http::Headers& aHeaders);

// The head for the backend server; `aLeft` is what remains of the deadline.
http::RequestHead
MakeServerRequestHead(const http::RequestHead& aHead, Millis aRemaining);

// True for a refusal that states that the request did not run.
bool
IsNotRunRefusal(const http::ResponseHead& aHead);

// Turns a backend server's head into the one for the caller.
void
MakeCallerResponseHead(http::ResponseHead& aHead);

// The body for a request that ended without an answer; `aHead` gets the
// headers that belong to it.
std::string
MakeErrorResponse(http::ResponseHead& aHead,
                  int aStatus,
                  Verdict aVerdict,
                  std::string_view aReason);

} // namespace limpetwood::proxy
