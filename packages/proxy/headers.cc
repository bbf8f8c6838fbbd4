#include "proxy/headers.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace limpetwood::proxy {

namespace {

using http::EqualsIgnoreCase;

constexpr std::string_view kServicePrefix = "/svc/";
constexpr std::string_view kDeadlineHeader = "Limpetwood-Deadline-Ms";
constexpr std::string_view kVerdictHeader = "Limpetwood-Verdict";
constexpr std::string_view kReasonHeader = "Limpetwood-Reason";

// Longer deadlines are clamped to 30 days, so that adding one to the current
// time cannot overflow.
constexpr int64_t kMaxDeadlineMs = 30LL * 24 * 3600 * 1000;

// `Content-Length` is set again from the parsed length. `Expect` is not
// forwarded because the proxy itself sends "100 Continue".
constexpr std::array<std::string_view, 11> kHopByHopHeaders = {
  "Connection",
  "Keep-Alive",
  "Proxy-Connection",
  "TE",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Proxy-Authenticate",
  "Expect",
  "Proxy-Authorization"
};

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Returns the header names listed in the `Connection` headers.
std::vector<std::string>
ParseConnectionOptions(const http::Headers& aHeaders)
{
  std::vector<std::string> names;
  for (const auto& [name, value] : aHeaders.Fields()) {
    if (!EqualsIgnoreCase(name, "Connection")) {
      continue;
    }
    std::string_view remaining = value;
    while (!remaining.empty()) {
      auto comma = std::min(remaining.find(','), remaining.size());
      names.emplace_back(Trim(remaining.substr(0, comma)));
      remaining.remove_prefix(std::min(comma + 1, remaining.size()));
    }
  }
  return names;
}

} // namespace

std::string_view
ServiceFromTarget(std::string_view aTarget)
{
  if (!aTarget.starts_with(kServicePrefix)) {
    return {};
  }
  aTarget.remove_prefix(kServicePrefix.size());
  return aTarget.substr(0, aTarget.find_first_of("/?"));
}

std::optional<routing::RequestInfo>
ReadRequestInfo(const http::RequestHead& aHead, Millis aNow)
{
  const http::Headers& headers = aHead.headers;
  routing::RequestInfo info;
  info.service = ServiceId(ServiceFromTarget(aHead.target));
  if (info.service.empty()) {
    return std::nullopt;
  }
  info.workspace = WorkspaceId(headers.Get("Limpetwood-Workspace"));
  info.key = IdempotencyKey(headers.Get("Limpetwood-Idempotency-Key"));
  info.keyZone = ZoneId(headers.Get("Limpetwood-Key-Zone"));
  std::string_view priority = headers.Get("Limpetwood-Priority");
  if (EqualsIgnoreCase(priority, "urgent")) {
    info.priority = routing::Priority::kUrgent;
  } else if (!priority.empty() && !EqualsIgnoreCase(priority, "normal")) {
    return std::nullopt;
  }
  std::string_view repeatable = headers.Get("Limpetwood-Repeatable");
  info.repeatable = !EqualsIgnoreCase(repeatable, "no");
  if (info.repeatable && !repeatable.empty() &&
      !EqualsIgnoreCase(repeatable, "yes")) {
    return std::nullopt;
  }
  if (std::string_view text = headers.Get(kDeadlineHeader); !text.empty()) {
    int64_t remainingMs = 0;
    const char* end = text.data() + text.size();
    auto [parsedEnd, ec] = std::from_chars(text.data(), end, remainingMs);
    if (ec != std::errc() || parsedEnd != end || remainingMs < 0) {
      return std::nullopt;
    }
    info.deadline = aNow + Millis(std::min(remainingMs, kMaxDeadlineMs));
  }
  return info;
}

void
RemoveHopByHop(http::Headers& aHeaders)
{
  std::vector<std::string> connectionOptions = ParseConnectionOptions(aHeaders);
  aHeaders.RemoveIf([&](std::string_view aName) {
    auto matches = [aName](std::string_view it) {
      return it.size() == aName.size() && EqualsIgnoreCase(it, aName);
    };
    return std::any_of(
             kHopByHopHeaders.begin(), kHopByHopHeaders.end(), matches) ||
           std::any_of(
             connectionOptions.begin(), connectionOptions.end(), matches);
  });
}

http::RequestHead
MakeServerRequestHead(const http::RequestHead& aHead, Millis aRemaining)
{
  http::RequestHead head = aHead;
  RemoveHopByHop(head.headers);
  head.headers.Set(kDeadlineHeader,
                   std::to_string(std::max<int64_t>(aRemaining.Count(), 0)));
  return head;
}

bool
IsNotRunRefusal(const http::ResponseHead& aHead)
{
  return aHead.status == 503 &&
         aHead.headers.Get(kVerdictHeader) == VerdictName(Verdict::kNotRun);
}

void
RewriteResponseHead(http::ResponseHead& aHead)
{
  RemoveHopByHop(aHead.headers);
  aHead.headers.Remove(kReasonHeader);
  aHead.headers.Set(kVerdictHeader, VerdictName(Verdict::kAnswered));
}

std::string
MakeErrorResponse(http::ResponseHead& aHead,
                  int aStatus,
                  Verdict aVerdict,
                  std::string_view aReason)
{
  aHead.status = aStatus;
  aHead.headers.Set("Content-Type", "application/json");
  aHead.headers.Set(kVerdictHeader, VerdictName(aVerdict));
  aHead.headers.Set(kReasonHeader, aReason);
  std::string body = R"({"verdict":")";
  body.append(VerdictName(aVerdict)).append(R"(","reason":")");
  body.append(aReason).append("\"}\n");
  aHead.contentLength = body.size();
  return body;
}

} // namespace limpetwood::proxy
