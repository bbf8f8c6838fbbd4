#include "standin/control_client.h"

#include "base/error.h"

#include <algorithm>

namespace limpetwood::standin {

namespace {

// Shorter than the time after which an instance removes a silent server, 3 s by
// default (setting serverTtlMs), so that the server fails over to another
// instance before it is removed.
constexpr Millis kCallTimeout{ 800 };

} // namespace

Result<std::vector<InstanceAddress>>
ParseInstances(std::string_view aText, std::string_view aZone)
{
  std::vector<InstanceAddress> all;
  while (!aText.empty()) {
    auto comma = std::min(aText.find(','), aText.size());
    std::string_view entry = aText.substr(0, comma);
    aText.remove_prefix(std::min(comma + 1, aText.size()));
    InstanceAddress address;
    if (auto at = entry.find('@'); at != std::string_view::npos) {
      address.zone = entry.substr(0, at);
      entry.remove_prefix(at + 1);
    }
    auto endpoint = http::ParseEndpoint(entry);
    if (!endpoint) {
      return endpoint.Error();
    }
    address.endpoint = endpoint.Value();
    all.push_back(std::move(address));
  }
  std::stable_partition(all.begin(), all.end(), [&](const auto& aEntry) {
    return aEntry.zone.empty() || aEntry.zone == aZone;
  });
  return all;
}

void
ControlClient::Post(std::string aPath, const nlohmann::json& aBody, Done aDone)
{
  if (mInstances.empty()) {
    return;
  }
  http::Request request;
  request.method = "POST";
  request.target = std::move(aPath);
  request.headers.Set("Content-Type", "application/json");
  request.body = aBody.dump();
  size_t used = mCurrent;
  http::Fetch(
    mContext,
    mInstances[used].endpoint,
    std::move(request),
    { .timeout = kCallTimeout },
    [this, used, done = std::move(aDone)](http::FetchResult aResult) {
      bool answered = aResult.verdict == Verdict::kAnswered;
      int status = answered ? aResult.response.status : 0;
      if (status == 0 || status >= 500) {
        if (used == mCurrent) {
          mCurrent = (mCurrent + 1) % mInstances.size();
          mFailedOver = true;
        }
      }
      auto body =
        nlohmann::json::parse(aResult.response.body, nullptr, false, true);
      done(status, body.is_object() ? body : nlohmann::json::object());
    });
}

} // namespace limpetwood::standin
