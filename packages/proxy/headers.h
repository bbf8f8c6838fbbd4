// Parsing and rewriting of HTTP headers on the request path.

#pragma once

#include "base/time.h"
#include "base/verdict.h"
#include "http/stream.h"
#include "routing/request.h"

#include <optional>
#include <string>
#include <string_view>

namespace limpetwood::proxy {

// Returns the service of a target "/svc/{service}/...", or an empty view for
// any other target.
std::string_view
ServiceFromTarget(std::string_view aTarget);

// Returns the request as the router sees it, without its id. Empty when the
// target names no service or a `Limpetwood-*` header has an invalid value: a
// default in its place could run a request twice or exceed its deadline.
std::optional<routing::RequestInfo>
ReadRequestInfo(const http::RequestHead& aHead, Millis aNow);

// Removes hop-by-hop headers (the fixed list of RFC 9110 and the headers named
// in `Connection`), and `Content-Length` and `Expect`, which the proxy handles
// itself.
void
RemoveHopByHop(http::Headers& aHeaders);

// Returns the request head for the backend server. `aRemaining` is the time
// until the deadline. It is sent as `Limpetwood-Deadline-Ms`, so that the
// server knows for how long its response is wanted.
http::RequestHead
MakeServerRequestHead(const http::RequestHead& aHead, Millis aRemaining);

// True for a 503 response whose verdict header states that the request did not
// run.
bool
IsNotRunRefusal(const http::ResponseHead& aHead);

// Rewrites the response head of a backend server for the caller: removes
// hop-by-hop headers and `Limpetwood-Reason`, and sets the verdict to answered.
void
RewriteResponseHead(http::ResponseHead& aHead);

// Fills `aHead` for a request that ended without a response from a backend
// server, and returns the JSON body.
std::string
MakeErrorResponse(http::ResponseHead& aHead,
                  int aStatus,
                  Verdict aVerdict,
                  std::string_view aReason);

} // namespace limpetwood::proxy
