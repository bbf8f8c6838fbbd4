// Sends JSON calls to the control port of one of several instances and fails
// over to the next one if that one gives no response or a server error.

#pragma once

#include "base/result.h"
#include "http/client.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace limpetwood::standin {

// The control port of an instance, and its zone, empty if unknown.
struct InstanceAddress
{
  std::string zone;
  http::Endpoint endpoint;
};

// Parses a list such as "127.0.0.1:7001,sogn@127.0.0.1:7002". Entries in
// `aZone` and entries without a zone come first; otherwise the order is kept.
// Returns the error of the first address that cannot be parsed.
Result<std::vector<InstanceAddress>>
ParseInstances(std::string_view aText, std::string_view aZone);

// Must outlive its calls. Not thread-safe.
class ControlClient
{
public:
  // Called with the status and the JSON body of the response. The status is 0
  // if there was no complete response; the body is an empty object if it is not
  // a JSON object.
  using Done = std::function<void(int, const nlohmann::json&)>;

  ControlClient(boost::asio::io_context& aContext,
                std::vector<InstanceAddress> aInstances)
    : mContext(aContext)
    , mInstances(std::move(aInstances))
  {
  }

  // Posts to the current instance. If there is no response or its status is 500
  // or above, the next instance becomes the current one. Does nothing, and does
  // not call `aDone`, if there are no instances.
  void Post(std::string aPath, const nlohmann::json& aBody, Done aDone);

  // Returns whether the current instance changed since the last call of this
  // method.
  bool ConsumeFailover() { return std::exchange(mFailedOver, false); }

private:
  boost::asio::io_context& mContext;
  std::vector<InstanceAddress> mInstances;
  size_t mCurrent = 0;
  bool mFailedOver = false;
};

} // namespace limpetwood::standin
